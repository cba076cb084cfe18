package cell

import (
	"math"
	"slices"
	"time"
)

const (
	// observeShare is the weight of the last load in the estimate of the store's slowdown.
	observeShare = 0.3
	maxSlowdown  = 50.0
	// overdueShare is the part of the time a load has taken that an overdue load is expected to need still.
	overdueShare = 0.2
	// waitHalfLife is the time in which the remembered wait for the store halves; it spans several loads, so that idle
	// replicas do not come and go with every gap in the queue.
	waitHalfLife = time.Minute
	// waitCost is the cost of the wait for the store relative to a load: a load that an unload makes necessary waits
	// itself, and the loads behind it wait longer by about as much.
	waitCost = 2
)

type (
	// store models the weight store: how many loads run, when the next may start and how slow it is.
	store struct {
		interval time.Duration // interval is the time between two starts at the permitted rate.
		slots    int
		slowdown float64
		due      time.Time // due is when the starts so far are paid off at the permitted rate.
		active   []*replica
		wait     time.Duration // wait is the remembered time that a load waits for the store, as of waitAt.
		waitAt   time.Time
	}

	// plan is a projection of the store for one pass over the load queue.
	plan struct {
		now      time.Time
		interval time.Duration
		due      time.Time
		slots    []time.Time // slots holds when each slot is free.
	}
)

func newStore(s Settings) store {
	return store{
		interval: time.Duration(float64(time.Second) / max(s.StoreLoadsPerSecond, 0.001)),
		slots:    max(s.StoreSlots, 1),
		slowdown: 1,
	}
}

func (s *store) start(now time.Time, r *replica) {
	s.due = later(s.due, now).Add(s.interval)
	s.active = append(s.active, r)
}

// finish frees the slot, and learns from a load that took its course.
func (s *store) finish(r *replica, now time.Time, done bool, expected time.Duration) {
	n := len(s.active)
	s.active = slices.DeleteFunc(s.active, func(x *replica) bool { return x == r })
	if !done || len(s.active) == n || expected <= 0 {
		return
	}
	observed := s.slowdown * float64(now.Sub(r.startedAt)) / float64(expected)
	s.slowdown = min(max(s.slowdown+(observed-s.slowdown)*observeShare, 1), maxSlowdown)
}

// noteWait remembers the predicted wait of a load that is added behind the queue.
func (s *store) noteWait(now time.Time, wait time.Duration) {
	s.wait, s.waitAt = max(s.congestion(now), wait), now
}

// congestion returns the time that loads waited for the store lately.
func (s *store) congestion(now time.Time) time.Duration {
	return time.Duration(float64(s.wait) * math.Exp2(-now.Sub(s.waitAt).Seconds()/waitHalfLife.Seconds()))
}

// plan projects the slots: the store allows a burst of one second's starts.
func (s *store) plan(now time.Time) plan {
	p := plan{now: now, interval: s.interval, due: s.due, slots: make([]time.Time, max(s.slots, len(s.active)))}
	for i := range p.slots {
		p.slots[i] = now
		if i < len(s.active) {
			p.slots[i] = expectedEnd(s.active[i], now)
		}
	}
	// More loads than slots run when the share was lowered; the surplus frees no slot.
	slices.SortFunc(p.slots, time.Time.Compare)
	p.slots = p.slots[len(p.slots)-s.slots:]
	return p
}

// next returns when the next load may start.
func (p *plan) next() time.Time {
	return later(later(p.now, p.slots[0]), p.due.Add(p.interval-time.Second))
}

func (p *plan) take(start, end time.Time) {
	p.due = later(p.due, start).Add(p.interval)
	p.slots[0] = end
	for i := 1; i < len(p.slots) && p.slots[i].Before(p.slots[i-1]); i++ {
		p.slots[i-1], p.slots[i] = p.slots[i], p.slots[i-1]
	}
}

// expectedEnd returns the predicted end of a load, moved on in proportion once the load is overdue.
func expectedEnd(r *replica, now time.Time) time.Time {
	if now.Before(r.endAt) {
		return r.endAt
	}
	return now.Add(max(minQueryInterval, time.Duration(float64(now.Sub(r.startedAt))*overdueShare)))
}

func later(a, b time.Time) time.Time {
	if a.Before(b) {
		return b
	}
	return a
}
