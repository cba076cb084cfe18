package node

import (
	"time"

	"golang.org/x/sys/unix"
)

const (
	// suspendThreshold is how much the total suspend time must grow between two readings for the machine to count as suspended.
	suspendThreshold = 300 * time.Millisecond
	// stoppedThreshold is the time between two readings above which the process counts as stopped; the clock is read every tick.
	stoppedThreshold = time.Second
)

// bootClock is a monotonic clock that includes the time for which the machine was suspended. The clock of the Go runtime stops
// during a suspension, so a lease timed by that clock would outlast its term.
type bootClock struct {
	suspendedTotal time.Duration // how far this clock is ahead of that of the Go runtime
	lastRead       time.Time     // time of the last reading, by the clock of the Go runtime
}

// now returns the current time and whether the machine was suspended or the process was stopped since the last call.
func (c *bootClock) now() (time.Time, bool) {
	now := time.Now()
	stopped := !c.lastRead.IsZero() && now.Sub(c.lastRead) > stoppedThreshold
	first := c.lastRead.IsZero()
	c.lastRead = now
	var boot, monotonic unix.Timespec
	if unix.ClockGettime(unix.CLOCK_BOOTTIME, &boot) != nil || unix.ClockGettime(unix.CLOCK_MONOTONIC, &monotonic) != nil {
		return now.Add(c.suspendedTotal), stopped // The suspend time is unknown without these clocks; keep the last value.
	}
	total := time.Duration(boot.Nano() - monotonic.Nano())
	suspended := !first && total-c.suspendedTotal > suspendThreshold
	c.suspendedTotal = total
	return now.Add(total), suspended || stopped
}
