package place

import (
	"math"
	"time"
)

// slowRatio is the ratio to the time at full speed above which a load was slowed by others; reports tell of its end up to half
// a second late, a few percent of such a load.
const slowRatio = 1.15

// storeSpeed estimates how many loads from the weight store run at full speed at once. Beyond that number a load takes longer in
// proportion to the number of loads at its start.
type storeSpeed struct{ slots int }

// stretched returns the time of a load that takes d at full speed and starts as one of the given number.
func (s *storeSpeed) stretched(d time.Duration, together int) time.Duration {
	if together <= s.slots {
		return d
	}
	return d * time.Duration(together) / time.Duration(s.slots)
}

// time returns the expected time of a load.
func (s *storeSpeed) time(l *load) time.Duration {
	if !l.store {
		return l.full
	}
	return s.stretched(l.full, l.together)
}

// finished takes over how long a load took that started as one of the given number.
func (s *storeSpeed) finished(together int, took, full time.Duration) {
	ratio := took.Seconds() / full.Seconds()
	if ratio < slowRatio {
		s.slots = max(s.slots, together)
		return
	}
	s.slots = max(int(math.Round(float64(together)/ratio)), 1)
}

// unfinished takes over that a load has not ended yet, and reports whether that changes the estimate.
func (s *storeSpeed) unfinished(together int, elapsed, full time.Duration) bool {
	if together <= 1 || together > s.slots || elapsed.Seconds() < slowRatio*full.Seconds() {
		return false
	}
	s.slots = together - 1
	return true
}
