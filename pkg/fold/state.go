package fold

import (
	"cmp"
	"crypto/sha256"
	"encoding/binary"
	"encoding/json"
	"maps"
	"slices"
	"time"

	"github.com/fireflycleat/fireflycleat/pkg/codes"
	"github.com/fireflycleat/fireflycleat/pkg/spec"
)

// The outcomes of Apply.
const (
	Accepted       Outcome = iota // record applied
	Duplicate                     // record whose change id was applied or rejected before
	Rejected                      // valid record that lost to an earlier record or is not allowed
	Skipped                       // record that cannot be decoded
	AlreadyApplied                // offset processed before
	Gap                           // offset after missing records, with the state unchanged
)

type (
	// Outcome is what [State.Apply] did with a record.
	Outcome int

	// Result is the result of applying one record.
	Result struct {
		Outcome Outcome
		Record  Record // empty unless the record was decoded
		Offset  int64
		// First is the offset of the first record with the change id; it differs from Offset for a duplicate.
		First int64
		// Err is the reason why the record was not accepted; a duplicate repeats the error of the first record.
		Err *codes.Error
		// LostTo is the offset of the version or lease that a StaleBase or StaleLease change lost to, zero for none.
		LostTo int64
	}

	// rejection is a coded error with the offset that the record lost to.
	rejection struct {
		err    *codes.Error
		lostTo int64
	}

	// Version is the value of a template or team, and the offset of the record that set or deleted it.
	Version[T any] struct {
		Value   T     `json:"value"`
		Offset  int64 `json:"offset"`
		Deleted bool  `json:"deleted,omitempty"`
	}

	// Member is a registered daemon that is not recorded as gone.
	Member struct {
		Incarnation  string    `json:"incarnation"`
		Host         string    `json:"host"`
		DataCentre   string    `json:"dataCentre"`
		Addresses    Addresses `json:"addresses"`
		Offset       int64     `json:"offset"`
		RegisteredAt time.Time `json:"up"` // log time of the registration
	}

	// Holder is a daemon that holds or held a lease.
	Holder struct {
		Host        string `json:"host"`
		Incarnation string `json:"incarnation"`
		Offset      int64  `json:"offset"` // fencing number of the lease
	}

	// Lease is the last lease of a cell, which may be released, and the earlier holders that may still act on theirs.
	Lease struct {
		Cell string `json:"cell"`
		Holder
		Released bool `json:"released,omitempty"`
		// Unsettled lists earlier holders whose orders may still take effect: they have neither released their lease nor are
		// they recorded as gone.
		Unsettled []Holder `json:"unsettled,omitempty"`
	}

	// Permits is the number of replica permits of a model that a cell holds.
	Permits struct {
		Cell   string `json:"cell"`
		Model  string `json:"model"`
		Count  int    `json:"count"`
		Offset int64  `json:"offset"` // offset of the record that set the count
	}

	// KeyRange is the assignment of a range of idempotency keys to a holder and a backup.
	KeyRange struct {
		Range  int    `json:"range"`
		Holder string `json:"holder"`
		Backup string `json:"backup,omitempty"`
		Epoch  int64  `json:"epoch"` // offset of the record that made the assignment
		// StateLostAt is the log time of the last assignment with the state of the range lost, or zero.
		StateLostAt time.Time `json:"blindAt,omitzero"`
		// StateLostEpoch is the epoch of the last assignment with the state of the range lost, or zero.
		StateLostEpoch int64 `json:"blindEpoch,omitempty"`
	}

	// changeEntry is the result that is retained for a change id.
	changeEntry struct {
		ID     string     `json:"id"`
		Offset int64      `json:"offset"`
		Digest uint32     `json:"digest,omitempty"` // zero for a withdrawn change, whose content is unknown
		Code   codes.Code `json:"code,omitempty"`
		Field  string     `json:"field,omitempty"`
		Detail string     `json:"detail,omitempty"`
		LostTo int64      `json:"lostTo,omitempty"`
	}

	// hostRecord is the last member record of a host; it is retained for ChangeWindow offsets after the member is gone.
	hostRecord struct {
		Host        string `json:"host"`
		Offset      int64  `json:"offset"`
		Incarnation string `json:"incarnation"`
		Gone        bool   `json:"gone,omitempty"`
	}

	// disabledChecks disables single checks, so that tests can show that the properties depend on them.
	disabledChecks struct {
		noBase, noLease, noChangeID, noPermitSum, noWindow bool
		lostIsRefused                                      bool // whether the planner treats a missing answer as a refused append
		noExpiry                                           bool // whether the planner never reports that ChangeWindow has passed
		earlyExpiry                                        bool // whether the planner reports it after half of ChangeWindow
	}

	// State is the control state as of an offset.
	State struct {
		offset           int64
		clock            time.Time
		badRecords       int64
		snapshotOffset   int64     // highest offset of a snapshot whose last part is in the log
		snapshotTime     time.Time // log time of the last part of a snapshot
		membershipOffset int64
		configuredOffset int64 // offset of the last change of a template or team
		templates        map[string]Version[spec.Template]
		teams            map[string]Version[spec.Team]
		members          map[string]Member
		hosts            map[string]hostRecord
		leases           map[string]Lease
		permits          map[string]map[string]Permits // by model, then cell
		keyRanges        [KeyRanges]KeyRange
		changes          map[string]changeEntry
		changeOrder      []changeEntry // in ascending order of offset
		view             *spec.View    // built by View, nil after a change of configuration
		disabled         disabledChecks
	}
)

// String returns the name of the outcome as it appears in logs.
func (o Outcome) String() string {
	return [...]string{"accepted", "duplicate", "rejected", "skipped", "old", "gap"}[o]
}

// New returns the state before the first record, whose offset is 1; a record at offset 0 is not applied.
func New() *State {
	s := &State{
		templates: make(map[string]Version[spec.Template]),
		teams:     make(map[string]Version[spec.Team]),
		members:   make(map[string]Member),
		hosts:     make(map[string]hostRecord),
		leases:    make(map[string]Lease),
		permits:   make(map[string]map[string]Permits),
		changes:   make(map[string]changeEntry),
	}
	for i := range s.keyRanges {
		s.keyRanges[i].Range = i
	}
	return s
}

// Offset returns the offset of the last record that was processed, or zero.
func (s *State) Offset() int64 { return s.offset }

// Clock returns the latest log time of the records processed so far.
func (s *State) Clock() time.Time { return s.clock }

// BadRecords returns the number of records that could not be decoded.
func (s *State) BadRecords() int64 { return s.badRecords }

// SnapshotAsOf returns the highest offset of a snapshot whose last part is in the log, or zero.
func (s *State) SnapshotAsOf() int64 { return s.snapshotOffset }

// MembershipOffset returns the offset of the last accepted member record.
func (s *State) MembershipOffset() int64 { return s.membershipOffset }

// View returns the configuration as of its last change. It returns the same pointer until a template or team changes.
func (s *State) View() *spec.View {
	if s.view == nil {
		s.view = spec.NewView(s.configuredOffset, liveValues(s.templates), liveValues(s.teams))
	}
	return s.view
}

// TemplateOffset returns the offset at which the template was last set or deleted, or zero.
func (s *State) TemplateOffset(name string) int64 { return s.templates[name].Offset }

// TeamOffset returns the offset at which the team was last set or deleted, or zero.
func (s *State) TeamOffset(name string) int64 { return s.teams[name].Offset }

// Member returns the live member with the incarnation, and whether there is one.
func (s *State) Member(incarnation string) (Member, bool) {
	m, ok := s.members[incarnation]
	return m, ok
}

// Members returns the live members in the order in which they registered.
func (s *State) Members() []Member {
	return slices.SortedFunc(maps.Values(s.members), func(a, b Member) int { return cmp.Compare(a.Offset, b.Offset) })
}

// HostOffset returns the offset of the host's last member record, or zero.
func (s *State) HostOffset(host string) int64 { return s.hosts[host].Offset }

// Lease returns the last lease of the cell, and whether there was one.
func (s *State) Lease(cell string) (Lease, bool) {
	l, ok := s.leases[cell]
	return l, ok
}

// Leases returns all leases, sorted by cell.
func (s *State) Leases() []Lease { return sortedByKey(s.leases) }

// Permit returns the permits of the model that the cell holds; the count is zero if there are none.
func (s *State) Permit(model, cell string) Permits { return s.permits[model][cell] }

// Permits returns the permits of the model, sorted by cell.
func (s *State) Permits(model string) []Permits {
	list := make([]Permits, 0, len(s.permits[model]))
	for _, c := range slices.Sorted(maps.Keys(s.permits[model])) {
		list = append(list, s.permits[model][c])
	}
	return list
}

// CellPermits returns the permits that the cell holds, sorted by model.
func (s *State) CellPermits(cell string) []Permits {
	var list []Permits
	for _, cells := range s.permits {
		if p := cells[cell]; p.Count > 0 {
			list = append(list, p)
		}
	}
	slices.SortFunc(list, func(a, b Permits) int { return cmp.Compare(a.Model, b.Model) })
	return list
}

// PermitSum returns the sum of the model's permits over all cells, and the model's maxReplicas, which is zero if there is
// no such model.
func (s *State) PermitSum(model string) (sum, limit int) {
	for _, p := range s.permits[model] {
		sum += p.Count
	}
	if t := s.templates[model]; !t.Deleted && t.Value.Model != nil {
		limit = t.Value.Model.MaxReplicas
	}
	return sum, limit
}

// KeyRange returns the assignment of range i; its epoch is zero if the range was never assigned.
func (s *State) KeyRange(i int) KeyRange { return s.keyRanges[i] }

// ResultOf returns the result that is retained for the change id, and whether there is one.
func (s *State) ResultOf(id string) (Result, bool) {
	c, ok := s.changes[id]
	if !ok {
		return Result{}, false
	}
	return c.duplicateResult(c.Offset), true
}

// DuplicateResult returns the result that the record would get as a duplicate, and whether a result is retained for its change id.
func (s *State) DuplicateResult(r Record) (Result, bool) {
	c, ok := s.changes[r.ID]
	if !ok {
		return Result{}, false
	}
	return c.resultFor(c.Offset, r), true
}

// resultFor returns the result of a later record with the same change id.
func (c changeEntry) resultFor(offset int64, r Record) Result {
	if c.Digest != 0 && c.Digest != r.digest() {
		return changeIDConflict(offset, c.Offset, r)
	}
	return c.duplicateResult(offset)
}

func (c changeEntry) duplicateResult(offset int64) Result {
	res := Result{Outcome: Duplicate, Offset: offset, First: c.Offset}
	if c.Code != codes.OK {
		res.Err, res.LostTo = codes.New(c.Code, c.Detail).WithField(c.Field), c.LostTo
	}
	return res
}

func changeIDConflict(offset, first int64, r Record) Result {
	err := codes.Newf(codes.KeyConflict, "the change id was already used for a different change at offset %d", first).WithField("id")
	return Result{Outcome: Rejected, Record: r, Offset: offset, First: first, Err: err}
}

// digest returns a hash over the content of a change. It leaves out the author, Seen, and the base of a template or team,
// because an operator's resend may go through another host and name the offset that is current by then. Four bytes are
// enough to detect mistakes, though not forgeries, and keep the state small: up to ChangeWindow digests are retained.
func (r Record) digest() uint32 {
	r.ID, r.By, r.Seen = "", "", 0
	if r.Template != nil {
		t := *r.Template
		t.Base, r.Template = 0, &t
	}
	if r.Team != nil {
		t := *r.Team
		t.Base, r.Team = 0, &t
	}
	data, _ := json.Marshal(r) // Encoding these types cannot fail.
	sum := sha256.Sum256(data)
	return binary.BigEndian.Uint32(sum[:])
}

// Error returns the text of the coded error.
func (r *rejection) Error() string { return r.err.Error() }

// Unwrap returns the coded error.
func (r *rejection) Unwrap() error { return r.err }

func liveValues[T any](m map[string]Version[T]) []T {
	list := make([]T, 0, len(m))
	for _, v := range m {
		if !v.Deleted {
			list = append(list, v.Value)
		}
	}
	return list
}

func sortedByKey[T any](m map[string]T) []T {
	list := make([]T, 0, len(m))
	for _, k := range slices.Sorted(maps.Keys(m)) {
		list = append(list, m[k])
	}
	return list
}
