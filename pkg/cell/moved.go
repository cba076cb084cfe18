package cell

import (
	"time"

	"github.com/fireflycleat/fireflycleat/pkg/clocks"
)

// Moved returns the event with its times shifted from the first reference time to the second; daemons send times
// relative to clocks.Epoch.
func Moved(e Event, from, to time.Time) Event {
	if d, ok := e.(Demand); ok {
		d.EarliestDeadline = clocks.Move(d.EarliestDeadline, from, to)
		return d
	}
	return e
}

// Moved returns the forecast with its times shifted from the first reference time to the second.
func (f Forecast) Moved(from, to time.Time) Forecast {
	f.ReadyAt = clocks.Move(f.ReadyAt, from, to)
	return f
}

// Moved returns the directory entry with its times shifted from the first reference time to the second.
func (r Replica) Moved(from, to time.Time) Replica {
	r.ReadyAt = clocks.Move(r.ReadyAt, from, to)
	return r
}
