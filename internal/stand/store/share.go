package store

import (
	"context"
	"sync"
	"time"
)

// sharedCapacity divides a capacity equally among jobs. Each job runs at full speed while at most slots jobs are in progress,
// and proportionally slower beyond that.
type sharedCapacity struct {
	mu           sync.Mutex
	slots        float64
	slowdown     float64
	jobs         int
	workDone     float64 // work done so far for a job that has run since the start, in seconds at full speed
	advancedAt   time.Time
	speedChanged chan struct{} // closed when the speed changes
}

func newSharedCapacity(slots int) *sharedCapacity {
	return &sharedCapacity{slots: float64(max(slots, 1)), slowdown: 1, advancedAt: time.Now(), speedChanged: make(chan struct{})}
}

// run blocks until a job that needs work at full speed is done; it returns the context's error if the context ends first.
func (s *sharedCapacity) run(ctx context.Context, work time.Duration) error {
	s.update(func() { s.jobs++ })
	defer s.update(func() { s.jobs-- })
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

// progress returns the time until workDone reaches end at the current speed, a channel that is closed when the speed changes,
// and the current workDone.
func (s *sharedCapacity) progress(end float64) (left time.Duration, changed <-chan struct{}, done float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.advance(time.Now())
	// Rounding up to a microsecond ensures that the timer does not fire just before the end.
	const resolution = time.Microsecond
	if remaining := end - s.workDone; remaining > resolution.Seconds() {
		left = time.Duration(remaining/s.speed()*float64(time.Second)) + resolution
	}
	return left, s.speedChanged, s.workDone
}

func (s *sharedCapacity) update(change func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.advance(time.Now())
	change()
	close(s.speedChanged)
	s.speedChanged = make(chan struct{})
}

func (s *sharedCapacity) advance(now time.Time) {
	s.workDone += now.Sub(s.advancedAt).Seconds() * s.speed()
	s.advancedAt = now
}

func (s *sharedCapacity) speed() float64 {
	return min(1, s.slots/float64(max(s.jobs, 1))) / s.slowdown
}

func (s *sharedCapacity) setSlowdown(factor float64) {
	s.update(func() { s.slowdown = max(factor, 1) })
}

func (s *sharedCapacity) activeJobs() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.jobs
}
