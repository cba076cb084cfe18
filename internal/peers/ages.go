package peers

import (
	"time"

	"github.com/fireflycleat/fireflycleat/pkg/cell"
	"github.com/fireflycleat/fireflycleat/pkg/clocks"
	"github.com/fireflycleat/fireflycleat/pkg/idemp"
)

// Messages between daemons carry ages instead of timestamps, because the clocks of hosts differ and may step. Each type with
// timestamps has two methods: the sender converts them to ages with its current time, and the receiver converts the ages back
// with its own.

// ToWire returns the message with its timestamps converted to ages at the given time.
func (m CellEvent) ToWire(now time.Time) CellEvent {
	m.Event = cell.Rebased(m.Event, now, clocks.Epoch)
	return m
}

// FromWire returns the message with its ages converted to timestamps at the given time.
func (m CellEvent) FromWire(now time.Time) CellEvent {
	m.Event = cell.Rebased(m.Event, clocks.Epoch, now)
	return m
}

// ToWire returns the message with its timestamps converted to ages at the given time.
func (m ForecastArgs) ToWire(now time.Time) ForecastArgs {
	m.Forecast = m.Forecast.Rebased(now, clocks.Epoch)
	return m
}

// FromWire returns the message with its ages converted to timestamps at the given time.
func (m ForecastArgs) FromWire(now time.Time) ForecastArgs {
	m.Forecast = m.Forecast.Rebased(clocks.Epoch, now)
	return m
}

// ToWire returns the message with its timestamps converted to ages at the given time.
func (d Directory) ToWire(now time.Time) Directory { return d.rebased(now, clocks.Epoch) }

// FromWire returns the message with its ages converted to timestamps at the given time.
func (d Directory) FromWire(now time.Time) Directory { return d.rebased(clocks.Epoch, now) }

func (d Directory) rebased(from, to time.Time) Directory {
	replicas, loads := make([]cell.Replica, len(d.Replicas)), make([]Load, len(d.Loads))
	for i, r := range d.Replicas {
		replicas[i] = r.Rebased(from, to)
	}
	for i, l := range d.Loads {
		l.At = clocks.Rebase(l.At, from, to)
		loads[i] = l
	}
	d.Replicas, d.Loads = replicas, loads
	return d
}

// ToWire returns the message with its timestamps converted to ages at the given time.
func (m KeyMessage) ToWire(now time.Time) KeyMessage {
	m.Message = idemp.Rebased(m.Message, now, clocks.Epoch)
	return m
}

// FromWire returns the message with its ages converted to timestamps at the given time.
func (m KeyMessage) FromWire(now time.Time) KeyMessage {
	m.Message = idemp.Rebased(m.Message, clocks.Epoch, now)
	return m
}
