package fleet

import "slices"

// EqualExceptBeat reports whether two entries of an upstream are equal except for Beat.
func (u Upstream) EqualExceptBeat(o Upstream) bool {
	return u.ID == o.ID && u.Born == o.Born && u.Service == o.Service && u.Address == o.Address && u.DataCentre == o.DataCentre &&
		u.Slots == o.Slots && u.Leaving == o.Leaving && u.TimeLeft == o.TimeLeft && u.ColdLeft == o.ColdLeft &&
		slices.EqualFunc(u.Held, o.Held, Held.equal) && equal(u.InMemory, o.InMemory) && equal(u.OnDisk, o.OnDisk)
}

func (h Held) equal(o Held) bool {
	return h.Model == o.Model && h.Version == o.Version && equal(h.Adapters, o.Adapters)
}

// equal is slices.Equal, but does not compare the elements of slices that are the same: lists of thousands of entries are compared with copies of
// themselves in which a few entries changed.
func equal(a, b []string) bool {
	return len(a) == len(b) && (len(a) == 0 || &a[0] == &b[0] || slices.Equal(a, b))
}
