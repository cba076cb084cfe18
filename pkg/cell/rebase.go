package cell

import (
	"time"

	"github.com/fireflycleat/fireflycleat/pkg/clocks"
)

// Rebased returns the event with its times shifted from the first reference time to the second; daemons send times
// relative to clocks.Epoch.
func Rebased(e Event, from, to time.Time) Event {
	if d, ok := e.(Demand); ok {
		d.EarliestDeadline = clocks.Rebase(d.EarliestDeadline, from, to)
		return d
	}
	return e
}

// Rebased returns the forecast with its times shifted from the first reference time to the second.
func (f Forecast) Rebased(from, to time.Time) Forecast {
	f.ReadyAt = clocks.Rebase(f.ReadyAt, from, to)
	return f
}

// Rebased returns the directory entry with its times shifted from the first reference time to the second.
func (r Replica) Rebased(from, to time.Time) Replica {
	r.ReadyAt = clocks.Rebase(r.ReadyAt, from, to)
	return r
}
