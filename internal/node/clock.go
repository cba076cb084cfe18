package node

import (
	"time"

	"golang.org/x/sys/unix"
)

const (
	// suspendLimit is the difference between the clocks above which the machine counts as suspended meanwhile.
	suspendLimit = 300 * time.Millisecond
	// frozenLimit is the time between two readings above which the process counts as stopped meanwhile; there is one a tick.
	frozenLimit = time.Second
)

// bootClock is a clock that also counts the time for which the machine was suspended. A lease must not outlast a suspension,
// during which the clock of the runtime stands still.
type bootClock struct {
	gap  time.Duration // gap is the time by which this clock is ahead of that of the runtime.
	last time.Time     // last is when the clock was read last, by the clock of the runtime.
}

// now returns the present time, and whether the machine was suspended or the process stopped since the last call.
func (c *bootClock) now() (time.Time, bool) {
	now := time.Now()
	stopped := !c.last.IsZero() && now.Sub(c.last) > frozenLimit
	first := c.last.IsZero()
	c.last = now
	var boot, steady unix.Timespec
	if unix.ClockGettime(unix.CLOCK_BOOTTIME, &boot) != nil || unix.ClockGettime(unix.CLOCK_MONOTONIC, &steady) != nil {
		return now.Add(c.gap), stopped // Without these clocks the gap is unknown and stays as it is.
	}
	gap := time.Duration(boot.Nano() - steady.Nano())
	suspended := !first && gap-c.gap > suspendLimit
	c.gap = gap
	return now.Add(gap), suspended || stopped
}
