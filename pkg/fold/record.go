package fold

import (
	"encoding/json"

	"github.com/fireflycleat/fireflycleat/pkg/codes"
	"github.com/fireflycleat/fireflycleat/pkg/spec"
)

// The kinds of record.
const (
	TemplateKind   Kind = "template"
	TeamKind       Kind = "team"
	MemberUpKind   Kind = "memberUp"
	MemberGoneKind Kind = "memberGone"
	CellLeaseKind  Kind = "cellLease"
	PermitKind     Kind = "permit"
	KeyRangeKind   Kind = "keyRange"
	WithdrawKind   Kind = "withdraw"
	SnapshotKind   Kind = "snapshot"
)

const (
	// MaxRecordBytes is the maximum size of an encoded record.
	MaxRecordBytes = 256 << 10

	// KeyRanges is the number of ranges that idempotency keys hash to.
	KeyRanges = 64

	// ChangeWindow is the number of offsets after [Record.Seen] within which a record may be accepted. It bounds how long
	// change ids and tombstones are retained: about half a day at 15,000 changes a day.
	ChangeWindow = 8192

	maxIDBytes   = 64
	maxEntries   = 2048
	maxPermits   = 1000
	maxPartBytes = 160 << 10 // Base64 adds a third, and the record must stay under MaxRecordBytes.
	maxParts     = 64
)

type (
	// Kind determines which body a record has.
	Kind string

	// Record is one record of the control stream. Only the body that belongs to its Kind is set.
	Record struct {
		Kind Kind   `json:"kind"`
		ID   string `json:"id"` // change id, the same in every resend
		By   string `json:"by"` // incarnation of the author
		// Seen is the offset up to which the author had applied the log when it made the change.
		Seen int64 `json:"seen"`

		Template   *TemplateChange `json:"template,omitempty"`
		Team       *TeamChange     `json:"team,omitempty"`
		MemberUp   *MemberUp       `json:"memberUp,omitempty"`
		MemberGone []string        `json:"memberGone,omitempty"` // incarnations
		CellLease  []LeaseChange   `json:"cellLease,omitempty"`
		Permit     []PermitChange  `json:"permit,omitempty"`
		KeyRange   []RangeChange   `json:"keyRange,omitempty"`
		Withdraw   *Withdraw       `json:"withdraw,omitempty"`
		Snapshot   *SnapshotPart   `json:"snapshot,omitempty"`
	}

	// TemplateChange sets or deletes a template; Base is the offset of the version that it replaces, zero for none.
	TemplateChange struct {
		Name   string         `json:"name"`
		Base   int64          `json:"base"`
		Delete bool           `json:"delete"`
		Set    *spec.Template `json:"set,omitempty"`
	}

	// TeamChange sets or deletes a team; Base is the offset of the version that it replaces, zero for none.
	TeamChange struct {
		Name   string     `json:"name"`
		Base   int64      `json:"base"`
		Delete bool       `json:"delete"`
		Set    *spec.Team `json:"set,omitempty"`
	}

	// MemberUp registers the author's incarnation; Base is the offset of the host's last member record, zero for none.
	MemberUp struct {
		Host       string    `json:"host"`
		Base       int64     `json:"base"`
		DataCentre string    `json:"dataCentre"`
		Addresses  Addresses `json:"addresses"`
	}

	// Addresses are the IP:port addresses on which a daemon listens.
	Addresses struct {
		Callers   string `json:"callers"`
		Peers     string `json:"peers"`
		Operators string `json:"operators,omitempty"`
	}

	// LeaseChange takes over or releases the lease of a cell; Base is the offset of the lease that it ends, zero for none.
	LeaseChange struct {
		Cell        string `json:"cell"`
		Base        int64  `json:"base"`
		Host        string `json:"host"`
		Incarnation string `json:"incarnation"`
		// Release is set when the incarnation releases the lease at Base, with none of its orders in flight.
		Release bool `json:"release"`
	}

	// PermitChange sets the number of replica permits that a cell holds; Lease is the lease offset of its controller, and
	// Base the offset of the record that it replaces, zero for none.
	PermitChange struct {
		Cell  string `json:"cell"`
		Lease int64  `json:"lease"`
		Model string `json:"model"`
		Base  int64  `json:"base"`
		Count int    `json:"count"`
	}

	// RangeChange sets the holder and the backup of a key range; Base is the epoch that it ends, zero for none.
	RangeChange struct {
		Range     int    `json:"range"`
		Base      int64  `json:"base"`
		Holder    string `json:"holder"`
		Backup    string `json:"backup,omitempty"`
		StateLost bool   `json:"blind"` // set when the holder starts without the table of earlier keys
	}

	// Withdraw prevents the change with the id, whose append is in doubt, from being accepted later.
	Withdraw struct {
		ID string `json:"id"`
	}

	// SnapshotPart is one part of a snapshot of the state as of an offset.
	SnapshotPart struct {
		AsOf  int64  `json:"asOf"`
		Part  int    `json:"part"`
		Parts int    `json:"parts"`
		Data  []byte `json:"data"`
	}
)

// Encode returns the record as JSON, or a BadRecord error that names the invalid field.
func Encode(r Record) ([]byte, error) {
	if err := r.check(); err != nil {
		return nil, err
	}
	data, err := json.Marshal(r)
	if err != nil {
		return nil, badRecord("record", err.Error())
	}
	if len(data) > MaxRecordBytes {
		return nil, badRecord("record", "is larger than 256 KiB")
	}
	return data, nil
}

func (r Record) check() error {
	switch {
	case r.ID == "" || len(r.ID) > maxIDBytes:
		return badRecord("id", "must have 1 to 64 bytes")
	case r.By == "" || len(r.By) > maxIDBytes:
		return badRecord("by", "must have 1 to 64 bytes")
	case r.Seen < 0:
		return badRecord("seen", "must not be negative")
	}
	bodies := []struct {
		kind  Kind
		set   bool
		check func() error
	}{
		{TemplateKind, r.Template != nil, func() error { return r.Template.check() }},
		{TeamKind, r.Team != nil, func() error { return r.Team.check() }},
		{MemberUpKind, r.MemberUp != nil, func() error { return r.MemberUp.check() }},
		{MemberGoneKind, len(r.MemberGone) > 0, r.checkGone},
		{CellLeaseKind, len(r.CellLease) > 0, r.checkLeases},
		{PermitKind, len(r.Permit) > 0, r.checkPermits},
		{KeyRangeKind, len(r.KeyRange) > 0, r.checkRanges},
		{WithdrawKind, r.Withdraw != nil, r.checkWithdraw},
		{SnapshotKind, r.Snapshot != nil, func() error { return r.Snapshot.check() }},
	}
	check := func() error { return badRecord("kind", "is unknown") }
	for _, b := range bodies {
		switch {
		case b.kind != r.Kind:
		case b.set:
			check = b.check
		default:
			check = func() error { return badRecord(string(b.kind), "is missing") }
		}
	}
	if err := check(); err != nil {
		return err
	}
	for _, b := range bodies {
		if b.set && b.kind != r.Kind {
			return badRecord(string(b.kind), "does not belong to kind "+string(r.Kind))
		}
	}
	return nil
}

func (c *TemplateChange) check() error {
	if err := checkChange("template", c.Name, c.Base, c.Delete, c.Set != nil); err != nil || c.Delete {
		return err
	}
	if c.Set.Name != c.Name {
		return badRecord("template.set.name", "must be the name of the change")
	}
	return prefixField("template.set.", c.Set.Check())
}

func (c *TeamChange) check() error {
	if err := checkChange("team", c.Name, c.Base, c.Delete, c.Set != nil); err != nil || c.Delete {
		return err
	}
	if c.Set.Name != c.Name {
		return badRecord("team.set.name", "must be the name of the change")
	}
	return prefixField("team.set.", c.Set.Check())
}

func checkChange(field, name string, base int64, remove, set bool) error {
	switch {
	case !spec.ValidName(name):
		return badRecord(field+".name", "is not a valid name")
	case base < 0:
		return badRecord(field+".base", "must not be negative")
	case remove == set:
		return badRecord(field+".set", "must be present unless delete is true")
	}
	return nil
}

func (u *MemberUp) check() error {
	switch {
	case !spec.ValidName(u.Host):
		return badRecord("memberUp.host", "is not a valid name")
	case u.Base < 0:
		return badRecord("memberUp.base", "must not be negative")
	case !spec.ValidName(u.DataCentre):
		return badRecord("memberUp.dataCentre", "is not a valid name")
	case u.Addresses.Peers == "" || u.Addresses.Callers == "":
		return badRecord("memberUp.addresses", "must name callers and peers")
	}
	return nil
}

func (r Record) checkGone() error {
	for _, i := range r.MemberGone {
		if i == "" || len(i) > maxIDBytes {
			return badRecord("memberGone", "must hold incarnations of 1 to 64 bytes")
		}
	}
	return checkEntries("memberGone", r.MemberGone, func(i string) string { return i })
}

func (r Record) checkLeases() error {
	for _, l := range r.CellLease {
		switch {
		case !spec.ValidName(l.Cell):
			return badRecord("cellLease.cell", "is not a valid name")
		case l.Base < 0 || l.Release && l.Base == 0:
			return badRecord("cellLease.base", "must not be negative, nor zero in a release")
		case !spec.ValidName(l.Host):
			return badRecord("cellLease.host", "is not a valid name")
		case l.Incarnation == "" || len(l.Incarnation) > maxIDBytes:
			return badRecord("cellLease.incarnation", "must have 1 to 64 bytes")
		}
	}
	return checkEntries("cellLease", r.CellLease, func(l LeaseChange) string { return l.Cell })
}

func (r Record) checkPermits() error {
	for _, p := range r.Permit {
		switch {
		case !spec.ValidName(p.Cell):
			return badRecord("permit.cell", "is not a valid name")
		case !spec.ValidName(p.Model):
			return badRecord("permit.model", "is not a valid name")
		case p.Base < 0:
			return badRecord("permit.base", "must not be negative")
		case p.Lease < 1:
			return badRecord("permit.lease", "must be positive")
		case p.Count < 0 || p.Count > maxPermits:
			return badRecord("permit.count", "must be between 0 and 1000")
		}
	}
	return checkEntries("permit", r.Permit, func(p PermitChange) [2]string { return [2]string{p.Cell, p.Model} })
}

func (r Record) checkRanges() error {
	for _, k := range r.KeyRange {
		switch {
		case k.Range < 0 || k.Range >= KeyRanges:
			return badRecord("keyRange.range", "must be between 0 and 63")
		case k.Base < 0:
			return badRecord("keyRange.base", "must not be negative")
		case k.Holder == "" || len(k.Holder) > maxIDBytes:
			return badRecord("keyRange.holder", "must have 1 to 64 bytes")
		case k.Backup == k.Holder || len(k.Backup) > maxIDBytes:
			return badRecord("keyRange.backup", "must differ from the holder and have at most 64 bytes")
		}
	}
	return checkEntries("keyRange", r.KeyRange, func(k RangeChange) int { return k.Range })
}

func (r Record) checkWithdraw() error {
	if id := r.Withdraw.ID; id == "" || len(id) > maxIDBytes || id == r.ID {
		return badRecord("withdraw.id", "must have 1 to 64 bytes and differ from the record's own id")
	}
	return nil
}

func (p *SnapshotPart) check() error {
	switch {
	case p.AsOf < 1:
		return badRecord("snapshot.asOf", "must be positive")
	case p.Parts < 1 || p.Parts > maxParts:
		return badRecord("snapshot.parts", "must be between 1 and 64")
	case p.Part < 0 || p.Part >= p.Parts:
		return badRecord("snapshot.part", "must be less than parts")
	case len(p.Data) == 0 || len(p.Data) > maxPartBytes:
		return badRecord("snapshot.data", "must have 1 byte to 160 KiB")
	}
	return nil
}

func checkEntries[T any, K comparable](field string, items []T, key func(T) K) error {
	if len(items) > maxEntries {
		return badRecord(field, "has too many entries")
	}
	seen := make(map[K]bool, len(items))
	for _, i := range items {
		if seen[key(i)] {
			return badRecord(field, "contains a duplicate entry")
		}
		seen[key(i)] = true
	}
	return nil
}

func prefixField(prefix string, err error) error {
	if err == nil {
		return nil
	}
	e := codes.From(err)
	return badRecord(prefix+e.Field(), e.Detail())
}

func badRecord(field, detail string) error {
	return codes.New(codes.BadRecord, detail).WithField(field)
}
