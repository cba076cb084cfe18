package bench

import (
	"slices"
	"time"
)

type (
	// sharedCapacity divides a capacity equally among jobs: up to slots jobs run at full speed, more jobs proportionally slower.
	sharedCapacity struct {
		clock      *clock
		slots      float64
		slowdown   float64
		jobs       []*shareJob
		advancedAt time.Time
		timer      timer
	}

	shareJob struct {
		remaining float64 // seconds of work at full speed
		done      func()
	}

	// store is a fake weight store. A token bucket with a burst of one second limits how often loads start; running loads share the
	// slots.
	store struct {
		*sharedCapacity
		rate      float64
		nextStart time.Time // when the rate allows the next start, without the burst
	}
)

// timerMargin is added to computed times so that rounding doesn't make a timer fire just before a job ends.
const timerMargin = time.Microsecond

func newSharedCapacity(c *clock, slots int) *sharedCapacity {
	s := &sharedCapacity{clock: c, slots: float64(slots), slowdown: 1, advancedAt: c.now}
	s.timer = timer{clock: c, run: s.step}
	return s
}

func (s *sharedCapacity) speed() float64 {
	return min(1, s.slots/float64(max(len(s.jobs), 1))) / s.slowdown
}

func (s *sharedCapacity) advance() {
	work := s.clock.now.Sub(s.advancedAt).Seconds() * s.speed()
	for _, j := range s.jobs {
		j.remaining -= work
	}
	s.advancedAt = s.clock.now
}

func (s *sharedCapacity) add(work time.Duration, done func()) {
	s.advance()
	s.jobs = append(s.jobs, &shareJob{remaining: work.Seconds(), done: done})
	s.schedule()
}

func (s *sharedCapacity) setSlowdown(factor float64) {
	s.advance()
	s.slowdown = factor
	s.schedule()
}

func (s *sharedCapacity) step() {
	s.advance()
	var ended []*shareJob
	s.jobs = slices.DeleteFunc(s.jobs, func(j *shareJob) bool {
		if j.remaining > 0 {
			return false
		}
		ended = append(ended, j)
		return true
	})
	s.schedule()
	for _, j := range ended {
		j.done()
	}
}

func (s *sharedCapacity) schedule() {
	if len(s.jobs) == 0 {
		s.timer.stop()
		return
	}
	least := s.jobs[0].remaining
	for _, j := range s.jobs {
		least = min(least, j.remaining)
	}
	s.timer.reset(s.clock.now.Add(seconds(max(least, 0)/s.speed()) + timerMargin))
}

func newStore(c *clock, rate float64, slots int) *store {
	return &store{sharedCapacity: newSharedCapacity(c, slots), rate: rate}
}

func (s *store) load(work time.Duration, done func()) {
	now := s.clock.now
	interval := seconds(1 / s.rate)
	if s.nextStart.Before(now) {
		s.nextStart = now
	}
	start := s.nextStart.Add(interval - time.Second)
	s.nextStart = s.nextStart.Add(interval)
	s.clock.at(start, func() { s.add(work, done) })
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
