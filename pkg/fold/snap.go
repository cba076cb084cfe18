package fold

import (
	"bytes"
	"compress/gzip"
	"encoding/json"
	"io"
	"maps"
	"slices"
	"strconv"
	"time"

	"github.com/fireflycleat/fireflycleat/pkg/codes"
	"github.com/fireflycleat/fireflycleat/pkg/spec"
)

const (
	// maxSnapshotBytes bounds the memory that a peer's compressed snapshot can allocate; a state of the planned size needs 1.5 MB.
	maxSnapshotBytes = 16 << 20

	snapshotFormat = 1

	// snapshotStagger is the delay between members by rank. It leaves the previous member time to append its parts, so that
	// usually only one member writes a snapshot.
	snapshotStagger = time.Minute
)

// encodedState is the JSON form of a state. Lists are in a fixed order, so that equal states have equal snapshots.
type encodedState struct {
	Format           int                               `json:"format"`
	Offset           int64                             `json:"offset"`
	Clock            time.Time                         `json:"clock"`
	BadRecords       int64                             `json:"bad"`
	SnapshotOffset   int64                             `json:"snapshotAt"`
	SnapshotTime     time.Time                         `json:"snapshotOn"`
	MembershipOffset int64                             `json:"membership"`
	ConfiguredOffset int64                             `json:"configured"`
	Templates        map[string]Version[spec.Template] `json:"templates"`
	Teams            map[string]Version[spec.Team]     `json:"teams"`
	Members          []Member                          `json:"members"`
	Hosts            []hostRecord                      `json:"hosts"`
	Leases           []Lease                           `json:"leases"`
	Permits          []Permits                         `json:"permits"`
	Ranges           []KeyRange                        `json:"ranges"`
	Changes          []changeEntry                     `json:"changes"`
}

// Snapshot returns the state as compressed JSON; equal states have equal snapshots.
func (s *State) Snapshot() []byte {
	e := encodedState{
		Format: snapshotFormat, Offset: s.offset, Clock: s.clock, BadRecords: s.badRecords,
		SnapshotOffset: s.snapshotOffset, SnapshotTime: s.snapshotTime,
		MembershipOffset: s.membershipOffset, ConfiguredOffset: s.configuredOffset,
		Templates: s.templates, Teams: s.teams, Members: s.Members(), Hosts: sortedByKey(s.hosts),
		Leases: s.Leases(), Permits: []Permits{}, Ranges: s.keyRanges[:], Changes: s.changeOrder,
	}
	for _, model := range slices.Sorted(maps.Keys(s.permits)) {
		e.Permits = append(e.Permits, s.Permits(model)...)
	}
	var out bytes.Buffer
	// Encoding these types and writing to a buffer cannot fail.
	z, _ := gzip.NewWriterLevel(&out, gzip.BestSpeed)
	_ = json.NewEncoder(z).Encode(e)
	_ = z.Close()
	return out.Bytes()
}

// Restore returns the state in a snapshot, or a BadRecord error.
func Restore(data []byte) (*State, error) {
	z, err := gzip.NewReader(bytes.NewReader(data))
	if err != nil {
		return nil, badRecord("snapshot", err.Error())
	}
	// The gzip reader checks length and CRC when it reaches the end.
	text, err := io.ReadAll(io.LimitReader(z, maxSnapshotBytes+1))
	if err != nil {
		return nil, badRecord("snapshot", err.Error())
	}
	if len(text) > maxSnapshotBytes {
		return nil, badRecord("snapshot", "is larger than 16 MiB")
	}
	var e encodedState
	d := json.NewDecoder(bytes.NewReader(text))
	d.DisallowUnknownFields()
	if err := d.Decode(&e); err != nil {
		return nil, badRecord("snapshot", err.Error())
	}
	return e.state()
}

func (e encodedState) state() (*State, error) {
	if e.Format != snapshotFormat {
		return nil, badRecord("snapshot.format", "is unknown")
	}
	if e.Offset < 0 || len(e.Ranges) != KeyRanges {
		return nil, badRecord("snapshot.offset", "must not be negative, and all key ranges must be present")
	}
	s := New()
	s.offset, s.clock, s.badRecords, s.snapshotOffset, s.membershipOffset = e.Offset, e.Clock, e.BadRecords, e.SnapshotOffset, e.MembershipOffset
	s.configuredOffset, s.snapshotTime = e.ConfiguredOffset, e.SnapshotTime
	maps.Copy(s.templates, e.Templates)
	maps.Copy(s.teams, e.Teams)
	for _, m := range e.Members {
		s.members[m.Incarnation] = m
	}
	for _, h := range e.Hosts {
		s.hosts[h.Host] = h
	}
	for _, l := range e.Leases {
		s.leases[l.Cell] = l
	}
	for _, p := range e.Permits {
		if s.permits[p.Model] == nil {
			s.permits[p.Model] = make(map[string]Permits)
		}
		s.permits[p.Model][p.Cell] = p
	}
	for i, k := range e.Ranges {
		if k.Range != i {
			return nil, badRecord("snapshot.ranges", "are out of order")
		}
		s.keyRanges[i] = k
	}
	for _, c := range e.Changes {
		s.addChange(c)
	}
	return s, nil
}

// Merge returns the state with the higher offset: s, or the state in a peer's snapshot. For an invalid snapshot it returns
// s and a BadRecord error.
func (s *State) Merge(data []byte) (*State, error) {
	other, err := Restore(data)
	if err != nil || other.offset <= s.offset {
		return s, err
	}
	other.disabled = s.disabled
	return other, nil
}

// SnapshotDue reports whether the member self should append a snapshot, and if not, when to check again. A snapshot is due when
// the last one is older than the interval, which must be well below the retention of the log. It is due even if nothing has
// changed, because the log eventually drops the last snapshot too. The oldest members write first, the others if those fail.
func (s *State) SnapshotDue(now time.Time, self string, interval time.Duration) (due bool, next time.Time) {
	rank := slices.IndexFunc(s.Members(), func(m Member) bool { return m.Incarnation == self })
	if rank < 0 {
		return false, now.Add(interval)
	}
	last := s.snapshotTime
	if last.IsZero() {
		// There is no snapshot yet; the oldest member registered at about the time when the log began.
		last = s.Members()[0].RegisteredAt
	}
	next = last.Add(interval + time.Duration(rank)*snapshotStagger)
	return !now.Before(next), next
}

// Parts returns the state as snapshot records, one per part, whose change ids start with the prefix. The error is NotReady
// before the first record, and TooLarge if there would be too many parts.
func (s *State) Parts(by, prefix string) ([]Record, error) {
	if s.offset == 0 {
		return nil, codes.New(codes.NotReady, "there is no state to write to a snapshot")
	}
	chunks := slices.Collect(slices.Chunk(s.Snapshot(), maxPartBytes))
	if len(chunks) > maxParts {
		return nil, codes.New(codes.TooLarge, "the snapshot has too many parts")
	}
	list := make([]Record, 0, len(chunks))
	for i, c := range chunks {
		list = append(list, Record{
			Kind: SnapshotKind, ID: prefix + "." + strconv.Itoa(i), By: by, Seen: s.offset,
			Snapshot: &SnapshotPart{AsOf: s.offset, Part: i, Parts: len(chunks), Data: c},
		})
	}
	return list, nil
}
