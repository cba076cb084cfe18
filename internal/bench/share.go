package bench

import (
	"slices"
	"time"
)

type (
	// share divides a capacity equally among jobs: full speed while at most slots jobs run, proportionally slower beyond.
	share struct {
		clock    *clock
		slots    float64
		slowdown float64
		jobs     []*shareJob
		mark     time.Time
		alarm    alarm
	}

	shareJob struct {
		left float64 // left is the remaining work in seconds at full speed.
		done func()
	}

	// store is the weight store: loads start at a limited rate, with a burst of one second, and share its slots.
	store struct {
		*share
		rate float64
		due  time.Time // due is when the starts so far are paid off.
	}
)

// grain is added to computed times so that rounding does not let a timer fire just before the end of a job.
const grain = time.Microsecond

func newShare(c *clock, slots int) *share {
	s := &share{clock: c, slots: float64(slots), slowdown: 1, mark: c.now}
	s.alarm = alarm{clock: c, run: s.step}
	return s
}

func (s *share) speed() float64 { return min(1, s.slots/float64(max(len(s.jobs), 1))) / s.slowdown }

func (s *share) advance() {
	work := s.clock.now.Sub(s.mark).Seconds() * s.speed()
	for _, j := range s.jobs {
		j.left -= work
	}
	s.mark = s.clock.now
}

func (s *share) add(work time.Duration, done func()) {
	s.advance()
	s.jobs = append(s.jobs, &shareJob{left: work.Seconds(), done: done})
	s.schedule()
}

func (s *share) slow(factor float64) {
	s.advance()
	s.slowdown = factor
	s.schedule()
}

func (s *share) step() {
	s.advance()
	var ended []*shareJob
	s.jobs = slices.DeleteFunc(s.jobs, func(j *shareJob) bool {
		if j.left > 0 {
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

func (s *share) schedule() {
	if len(s.jobs) == 0 {
		s.alarm.stop()
		return
	}
	least := s.jobs[0].left
	for _, j := range s.jobs {
		least = min(least, j.left)
	}
	s.alarm.reset(s.clock.now.Add(seconds(max(least, 0)/s.speed()) + grain))
}

func newStore(c *clock, rate float64, slots int) *store {
	return &store{share: newShare(c, slots), rate: rate}
}

func (s *store) load(work time.Duration, done func()) {
	now := s.clock.now
	interval := seconds(1 / s.rate)
	if s.due.Before(now) {
		s.due = now
	}
	start := s.due.Add(interval - time.Second)
	s.due = s.due.Add(interval)
	s.clock.at(start, func() { s.add(work, done) })
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
