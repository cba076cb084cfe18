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
	// maxSnapshotBytes bounds the memory that a peer's compressed snapshot can claim; the planned size needs 1.5 MB.
	maxSnapshotBytes = 16 << 20
	snapshotFormat   = 1

	// snapshotStagger leaves the writer before time to append its parts, so that usually one member writes.
	snapshotStagger = time.Minute
)

// image is the encoded form of a state; lists are in a fixed order so that equal states have equal snapshots.
type image struct {
	Format     int                               `json:"format"`
	Offset     int64                             `json:"offset"`
	Clock      time.Time                         `json:"clock"`
	Bad        int64                             `json:"bad"`
	SnapshotAt int64                             `json:"snapshotAt"`
	SnapshotOn time.Time                         `json:"snapshotOn"`
	Membership int64                             `json:"membership"`
	Configured int64                             `json:"configured"`
	Templates  map[string]Version[spec.Template] `json:"templates"`
	Teams      map[string]Version[spec.Team]     `json:"teams"`
	Members    []Member                          `json:"members"`
	Hosts      []hostVersion                     `json:"hosts"`
	Leases     []Lease                           `json:"leases"`
	Permits    []Permits                         `json:"permits"`
	Ranges     []KeyRange                        `json:"ranges"`
	Changes    []change                          `json:"changes"`
}

// Snapshot returns the compressed state; equal states have equal snapshots.
func (s *State) Snapshot() []byte {
	im := image{
		Format: snapshotFormat, Offset: s.offset, Clock: s.clock, Bad: s.bad, SnapshotAt: s.snapshotAt, SnapshotOn: s.snapshotOn,
		Membership: s.membership, Configured: s.configured, Templates: s.templates, Teams: s.teams, Members: s.Members(), Hosts: inOrder(s.hosts),
		Leases: s.Leases(), Permits: []Permits{}, Ranges: s.ranges[:], Changes: s.order,
	}
	for _, model := range slices.Sorted(maps.Keys(s.permits)) {
		im.Permits = append(im.Permits, s.Permits(model)...)
	}
	var out bytes.Buffer
	// Writing to a buffer and encoding these types cannot fail.
	z, _ := gzip.NewWriterLevel(&out, gzip.BestSpeed)
	_ = json.NewEncoder(z).Encode(im)
	_ = z.Close()
	return out.Bytes()
}

// Restore returns the state in a snapshot, or a BadRecord error.
func Restore(data []byte) (*State, error) {
	z, err := gzip.NewReader(bytes.NewReader(data))
	if err != nil {
		return nil, bad("snapshot", err.Error())
	}
	// The reader checks length and CRC when it reaches the end.
	text, err := io.ReadAll(io.LimitReader(z, maxSnapshotBytes+1))
	if err != nil {
		return nil, bad("snapshot", err.Error())
	}
	if len(text) > maxSnapshotBytes {
		return nil, bad("snapshot", "is larger than 16 MiB")
	}
	var im image
	d := json.NewDecoder(bytes.NewReader(text))
	d.DisallowUnknownFields()
	if err := d.Decode(&im); err != nil {
		return nil, bad("snapshot", err.Error())
	}
	return im.state()
}

func (im image) state() (*State, error) {
	if im.Format != snapshotFormat {
		return nil, bad("snapshot.format", "is unknown")
	}
	if im.Offset < 0 || len(im.Ranges) != KeyRanges {
		return nil, bad("snapshot.offset", "must not be negative, and all key ranges must be present")
	}
	s := New()
	s.offset, s.clock, s.bad, s.snapshotAt, s.membership = im.Offset, im.Clock, im.Bad, im.SnapshotAt, im.Membership
	s.configured, s.snapshotOn = im.Configured, im.SnapshotOn
	maps.Copy(s.templates, im.Templates)
	maps.Copy(s.teams, im.Teams)
	for _, m := range im.Members {
		s.members[m.Incarnation] = m
	}
	for _, h := range im.Hosts {
		s.hosts[h.Host] = h
	}
	for _, l := range im.Leases {
		s.leases[l.Cell] = l
	}
	for _, p := range im.Permits {
		if s.permits[p.Model] == nil {
			s.permits[p.Model] = make(map[string]Permits)
		}
		s.permits[p.Model][p.Cell] = p
	}
	for i, k := range im.Ranges {
		if k.Range != i {
			return nil, bad("snapshot.ranges", "are out of order")
		}
		s.ranges[i] = k
	}
	for _, c := range im.Changes {
		s.remember(c)
	}
	return s, nil
}

// Merge returns the state with the higher offset: the given one, or the one in a peer's snapshot.
func (s *State) Merge(data []byte) (*State, error) {
	other, err := Restore(data)
	if err != nil || other.offset <= s.offset {
		return s, err
	}
	other.off = s.off
	return other, nil
}

// SnapshotDue reports whether the member should append a snapshot, and if not, when to ask again. A snapshot is due when
// the last one is older than the interval, which must be well below the retention of the log: it is due even if nothing
// has changed, because the last one leaves the log as well. The oldest members write first, the others if those fail to.
func (s *State) SnapshotDue(now time.Time, self string, interval time.Duration) (due bool, next time.Time) {
	rank := slices.IndexFunc(s.Members(), func(m Member) bool { return m.Incarnation == self })
	if rank < 0 {
		return false, now.Add(interval)
	}
	last := s.snapshotOn
	if last.IsZero() {
		// Without a snapshot so far, the first member's registration is about when the log began.
		last = s.Members()[0].Up
	}
	next = last.Add(interval + time.Duration(rank)*snapshotStagger)
	return !now.Before(next), next
}

// Parts returns the state as snapshot records, one a part, whose change ids start with the given prefix.
func (s *State) Parts(by, prefix string) ([]Record, error) {
	if s.offset == 0 {
		return nil, codes.New(codes.NotReady, "there is no state to write")
	}
	chunks := slices.Collect(slices.Chunk(s.Snapshot(), maxPartSize))
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
