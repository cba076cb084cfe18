package place

import (
	"math"
	"time"
)

// slowRatio is the ratio of a load's time to its time at full speed above which the load counts as slowed down by other loads. It
// allows for reports that show the end of a load up to half a second late, which is a few percent of its time.
const slowRatio = 1.15

// storeSpeed estimates how many concurrent loads from the weight store run at full speed. Beyond that number a load's time grows
// in proportion to the number of loads at its start.
type storeSpeed struct {
	slots  int
	slowAt int // number of loads that was last seen to be slow; zero means none
}

// limit returns the number of concurrent loads to allow for pending requests. It exceeds the estimate by one until that number has
// been seen to be slow: more loads only make each of them longer.
func (s *storeSpeed) limit() int {
	if s.slowAt == s.slots+1 {
		return s.slots
	}
	return s.slots + 1
}

// slowedTime returns the time of a load that takes d at full speed and runs with the given number of loads, including itself.
func (s *storeSpeed) slowedTime(d time.Duration, concurrent int) time.Duration {
	if concurrent <= s.slots {
		return d
	}
	return d * time.Duration(concurrent) / time.Duration(s.slots)
}

// expectedTime returns the expected duration of a load.
func (s *storeSpeed) expectedTime(l *load) time.Duration {
	if !l.fromStore {
		return l.fullSpeedTime
	}
	return s.slowedTime(l.fullSpeedTime, l.concurrent)
}

// recordFinished updates the estimate with the time that a finished load took; concurrent is the number of loads at its start.
func (s *storeSpeed) recordFinished(concurrent int, took, full time.Duration) {
	if full <= 0 {
		return // The model was removed from the configuration after its load was ordered.
	}
	ratio := took.Seconds() / full.Seconds()
	if ratio < slowRatio {
		s.slots = max(s.slots, concurrent)
		if concurrent >= s.slowAt {
			s.slowAt = 0
		}
		return
	}
	s.slots = max(int(math.Round(float64(concurrent)/ratio)), 1)
	s.slowAt = s.slots + 1
}

// recordOverdue lowers the estimate if a load that is still in progress is overdue, and reports whether it did.
func (s *storeSpeed) recordOverdue(concurrent int, elapsed, full time.Duration) bool {
	if full <= 0 || concurrent <= 1 || concurrent > s.slots || elapsed.Seconds() < slowRatio*full.Seconds() {
		return false
	}
	s.slots = concurrent - 1
	s.slowAt = concurrent
	return true
}
