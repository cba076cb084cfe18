package fold

type (
	// Finder collects the parts of snapshots while a reader scans the log from its first retained record. The reader
	// then continues at the offset after the found snapshot, which is still retained.
	Finder struct {
		partial map[writer]map[int][]byte
		found   *State
	}

	// writer tells the snapshots of several daemons apart; equal states may be compressed differently.
	writer struct {
		by    string
		asOf  int64
		parts int
	}
)

const maxPartial = 8

// NewFinder returns a finder that has seen no record.
func NewFinder() *Finder { return &Finder{partial: make(map[writer]map[int][]byte)} }

// Add takes the record at the next offset of the scan and reports whether it completed a newer snapshot.
func (f *Finder) Add(data []byte) bool {
	r, err := Decode(data)
	if err != nil || r.Kind != SnapshotKind {
		return false
	}
	p := r.Snapshot
	if f.found != nil && p.AsOf <= f.found.offset {
		return false
	}
	w := writer{r.By, p.AsOf, p.Parts}
	if f.partial[w] == nil {
		f.makeRoom()
		f.partial[w] = make(map[int][]byte, p.Parts)
	}
	f.partial[w][p.Part] = p.Data
	if len(f.partial[w]) < p.Parts {
		return false
	}
	var all []byte
	for i := range p.Parts {
		all = append(all, f.partial[w][i]...)
	}
	delete(f.partial, w)
	s, err := Restore(all)
	if err != nil || s.offset != p.AsOf {
		return false
	}
	f.found = s
	return true
}

// State returns the newest complete snapshot, or nil. The caller must not use the finder afterwards.
func (f *Finder) State() *State { return f.found }

// makeRoom drops the oldest incomplete snapshot; a writer that died left it.
func (f *Finder) makeRoom() {
	if len(f.partial) < maxPartial {
		return
	}
	first := true
	var oldest writer
	for w := range f.partial {
		if first || w.asOf < oldest.asOf || w.asOf == oldest.asOf && w.by < oldest.by {
			oldest, first = w, false
		}
	}
	delete(f.partial, oldest)
}
