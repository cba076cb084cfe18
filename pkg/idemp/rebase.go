package idemp

import (
	"time"

	"github.com/fireflycleat/fireflycleat/pkg/clocks"
)

// Rebased returns the message with its timestamps shifted from reference time from to reference time to. A sender shifts them
// from its current time to clocks.Epoch, a receiver from there to its own current time, so that clocks of different daemons
// are never compared. When they were, clocks that differed by hours made keys expire early and run twice.
func Rebased(e Event, from, to time.Time) Event {
	switch m := e.(type) {
	case Replicate:
		m.Entries = shiftEntries(m.Entries, from, to)
		return m
	case Transfer:
		m.Entries = shiftEntries(m.Entries, from, to)
		return m
	case Late:
		m.Entry.StartedAt = clocks.Rebase(m.Entry.StartedAt, from, to)
		return m
	}
	return e
}

func shiftEntries(entries []Entry, from, to time.Time) []Entry {
	shifted := make([]Entry, len(entries))
	for i, e := range entries {
		e.StartedAt = clocks.Rebase(e.StartedAt, from, to)
		shifted[i] = e
	}
	return shifted
}
