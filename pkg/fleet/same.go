package fleet

import "slices"

// EqualExceptBeat reports whether two entries of an upstream are equal except for Beat.
func (u Upstream) EqualExceptBeat(o Upstream) bool {
	return u.ID == o.ID && u.Born == o.Born && u.Service == o.Service && u.Address == o.Address && u.DataCentre == o.DataCentre &&
		u.Slots == o.Slots && u.Leaving == o.Leaving && u.TimeLeft == o.TimeLeft && u.ColdLeft == o.ColdLeft &&
		slices.EqualFunc(u.Held, o.Held, Held.equal) && slices.Equal(u.InMemory, o.InMemory) && slices.Equal(u.OnDisk, o.OnDisk)
}

func (h Held) equal(o Held) bool {
	return h.Model == o.Model && h.Version == o.Version && slices.Equal(h.Adapters, o.Adapters)
}
