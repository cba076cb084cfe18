package idemp

import (
	"time"

	"github.com/fireflycleat/fireflycleat/pkg/clocks"
)

// Moved returns the message with its instants as far from the second reference as they were from the first. A sender moves
// them from its present time to clocks.Epoch, and a receiver from there to its own, so that no clock of another daemon is
// read: with a clock some hours off, keys were forgotten early and ran twice.
func Moved(e Event, from, to time.Time) Event {
	switch m := e.(type) {
	case Replicate:
		m.Entries = movedEntries(m.Entries, from, to)
		return m
	case Transfer:
		m.Entries = movedEntries(m.Entries, from, to)
		return m
	case Late:
		m.Entry.StartedAt = clocks.Move(m.Entry.StartedAt, from, to)
		return m
	}
	return e
}

func movedEntries(entries []Entry, from, to time.Time) []Entry {
	moved := make([]Entry, len(entries))
	for i, e := range entries {
		e.StartedAt = clocks.Move(e.StartedAt, from, to)
		moved[i] = e
	}
	return moved
}
