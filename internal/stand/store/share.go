package store

import (
	"context"
	"sync"
	"time"
)

// share divides a capacity equally among jobs. Each job runs at full speed while at most slots jobs are in progress,
// and proportionally slower beyond that.
type share struct {
	mu       sync.Mutex
	slots    float64
	slowdown float64
	jobs     int
	done     float64 // done is the work in seconds that a job present since the start would have got.
	at       time.Time
	changed  chan struct{} // changed is closed when the speed changes.
}

func newShare(slots int) *share {
	return &share{slots: float64(max(slots, 1)), slowdown: 1, at: time.Now(), changed: make(chan struct{})}
}

// run takes the time of a job that needs work at full speed; it returns the context's error if that ends first.
func (s *share) run(ctx context.Context, work time.Duration) error {
	s.alter(func() { s.jobs++ })
	defer s.alter(func() { s.jobs-- })
	_, _, end := s.progress(0)
	end += work.Seconds()
	for {
		left, changed, _ := s.progress(end)
		if left <= 0 {
			return ctx.Err()
		}
		t := time.NewTimer(left)
		select {
		case <-t.C:
		case <-changed:
		case <-ctx.Done():
			t.Stop()
			return ctx.Err()
		}
		t.Stop()
	}
}

// progress returns the time until the work reaches the end at the present speed, and the work done so far.
func (s *share) progress(end float64) (left time.Duration, changed <-chan struct{}, done float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.advance(time.Now())
	// Rounding up to a microsecond makes sure that the timer does not fire just before the end.
	const grain = time.Microsecond
	if missing := end - s.done; missing > grain.Seconds() {
		left = time.Duration(missing/s.speed()*float64(time.Second)) + grain
	}
	return left, s.changed, s.done
}

func (s *share) alter(change func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.advance(time.Now())
	change()
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *share) advance(now time.Time) {
	s.done += now.Sub(s.at).Seconds() * s.speed()
	s.at = now
}

func (s *share) speed() float64 {
	return min(1, s.slots/float64(max(s.jobs, 1))) / s.slowdown
}

func (s *share) setSlowdown(factor float64) { s.alter(func() { s.slowdown = max(factor, 1) }) }

func (s *share) inUse() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.jobs
}
