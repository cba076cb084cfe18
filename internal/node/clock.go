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
	total, ok := suspendedTime()
	if !ok {
		return now.Add(c.suspendedTotal), stopped // Keep the last value.
	}
	suspended := !first && total-c.suspendedTotal > suspendThreshold
	c.suspendedTotal = total
	return now.Add(total), suspended || stopped
}

// suspendedTime returns for how long the machine has been suspended since it was booted; ok is false if the clocks don't tell.
func suspendedTime() (total time.Duration, ok bool) {
	var boot, monotonic unix.Timespec
	if unix.ClockGettime(unix.CLOCK_BOOTTIME, &boot) != nil || unix.ClockGettime(unix.CLOCK_MONOTONIC, &monotonic) != nil {
		return 0, false
	}
	return time.Duration(boot.Nano() - monotonic.Nano()), true
}

// bootNow returns the current time by a clock that includes suspensions. The ages of list and configuration are counted by it, because
// a suspended hub would otherwise pass on old data as new.
func bootNow() time.Time {
	total, _ := suspendedTime()
	return time.Now().Add(total)
}
