package node

import (
	"time"

	"golang.org/x/sys/unix"
)

// suspendLimit is the difference between the clocks above which the machine counts as suspended meanwhile.
const suspendLimit = 300 * time.Millisecond

// bootClock is a clock that also counts the time for which the machine was suspended. A lease must not outlast a suspension,
// during which the clock of the runtime stands still.
type bootClock struct {
	gap time.Duration // gap is the time by which this clock is ahead of that of the runtime.
	set bool
}

// now returns the present time, and whether the machine was suspended since the last call.
func (c *bootClock) now() (time.Time, bool) {
	now := time.Now()
	var boot, steady unix.Timespec
	if unix.ClockGettime(unix.CLOCK_BOOTTIME, &boot) != nil || unix.ClockGettime(unix.CLOCK_MONOTONIC, &steady) != nil {
		return now.Add(c.gap), false // Without these clocks the gap is unknown and stays as it is.
	}
	gap := time.Duration(boot.Nano() - steady.Nano())
	suspended := c.set && gap-c.gap > suspendLimit
	c.gap, c.set = gap, true
	return now.Add(gap), suspended
}
