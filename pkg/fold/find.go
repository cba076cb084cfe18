package fold

type (
	// SnapshotFinder collects the parts of snapshots while a reader scans the log from its first retained record. The
	// reader then applies the records after the offset of the snapshot, which are still retained.
	SnapshotFinder struct {
		partial map[snapshotID]map[int][]byte
		found   *State
	}

	// snapshotID distinguishes the snapshots of several daemons: their parts can't be mixed, because equal states may be
	// compressed differently.
	snapshotID struct {
		by    string
		asOf  int64
		parts int
	}
)

const maxPartialSnapshots = 8

// NewSnapshotFinder returns a finder without any records.
func NewSnapshotFinder() *SnapshotFinder {
	return &SnapshotFinder{partial: make(map[snapshotID]map[int][]byte)}
}

// Add processes the next record of the scan and reports whether it completed a snapshot newer than the one found before.
func (f *SnapshotFinder) Add(data []byte) bool {
	r, err := Decode(data)
	if err != nil || r.Kind != SnapshotKind {
		return false
	}
	p := r.Snapshot
	if f.found != nil && p.AsOf <= f.found.offset {
		return false
	}
	id := snapshotID{r.By, p.AsOf, p.Parts}
	if f.partial[id] == nil {
		f.evictOldest()
		f.partial[id] = make(map[int][]byte, p.Parts)
	}
	f.partial[id][p.Part] = p.Data
	if len(f.partial[id]) < p.Parts {
		return false
	}
	var all []byte
	for i := range p.Parts {
		all = append(all, f.partial[id][i]...)
	}
	delete(f.partial, id)
	s, err := Restore(all)
	if err != nil || s.offset != p.AsOf {
		return false
	}
	f.found = s
	return true
}

// State returns the newest complete snapshot, or nil. The caller must not use the finder afterwards.
func (f *SnapshotFinder) State() *State { return f.found }

// evictOldest drops the oldest incomplete snapshot if there are too many. A writer that stops before the last part leaves an
// incomplete snapshot.
func (f *SnapshotFinder) evictOldest() {
	if len(f.partial) < maxPartialSnapshots {
		return
	}
	first := true
	var oldest snapshotID
	for id := range f.partial {
		if first || id.asOf < oldest.asOf || id.asOf == oldest.asOf && id.by < oldest.by {
			oldest, first = id, false
		}
	}
	delete(f.partial, oldest)
}
