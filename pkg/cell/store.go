package cell

import (
	"math"
	"slices"
	"time"
)

const (
	// smoothingFactor is the weight of the latest load in the moving averages of load times.
	smoothingFactor = 0.3
	maxSlowdown     = 50.0
	// overdueFactor is the assumed remaining time of an overdue load, as a fraction of the time that it has taken so
	// far.
	overdueFactor = 0.2
	// waitHalfLife is the half-life of the remembered wait for the store. It spans several loads, so that idle replicas
	// are not unloaded and reloaded with every gap in the queue.
	waitHalfLife = time.Minute
	// waitCostFactor is the factor on the wait for the store in the cost of a later load: a load that an unload makes
	// necessary waits itself, and delays the loads behind it by about as much.
	waitCostFactor = 2
)

type (
	// store models the weight store: the loads in progress, the next permitted start and the slowdown.
	store struct {
		interval time.Duration // time between two starts at the permitted rate
		slots    int
		slowdown float64
		due      time.Time // when the starts so far are covered by the permitted rate
		active   []*replica
		wait     time.Duration // remembered wait of a load for the store, as of waitAt
		waitAt   time.Time
	}

	// plan projects the use of the store for one pass over the load queue.
	plan struct {
		now      time.Time
		interval time.Duration
		due      time.Time
		slots    []time.Time // time at which each slot becomes free, earliest first
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

// finish frees the slot of the load and, if the load completed, corrects the estimated slowdown.
func (s *store) finish(r *replica, now time.Time, done bool, expected time.Duration) {
	n := len(s.active)
	s.active = slices.DeleteFunc(s.active, func(x *replica) bool { return x == r })
	if !done || len(s.active) == n || expected <= 0 {
		return
	}
	observed := s.slowdown * float64(now.Sub(r.startedAt)) / float64(expected)
	s.slowdown = min(max(s.slowdown+(observed-s.slowdown)*smoothingFactor, 1), maxSlowdown)
}

// recordWait records the predicted wait of a load that joins the end of the queue.
func (s *store) recordWait(now time.Time, wait time.Duration) {
	s.wait, s.waitAt = max(s.expectedWait(now), wait), now
}

// expectedWait returns the recent wait of loads for the store, which decays with waitHalfLife.
func (s *store) expectedWait(now time.Time) time.Duration {
	return time.Duration(float64(s.wait) * math.Exp2(-now.Sub(s.waitAt).Seconds()/waitHalfLife.Seconds()))
}

// plan returns a projection of the slots.
func (s *store) plan(now time.Time) plan {
	p := plan{now: now, interval: s.interval, due: s.due, slots: make([]time.Time, max(s.slots, len(s.active)))}
	for i := range p.slots {
		p.slots[i] = now
		if i < len(s.active) {
			p.slots[i] = predictEnd(s.active[i], now)
		}
	}
	// After the share was lowered, more loads than slots can be in progress; the surplus loads free no slot.
	slices.SortFunc(p.slots, time.Time.Compare)
	p.slots = p.slots[len(p.slots)-s.slots:]
	return p
}

// next returns when the next load may start. The store allows a burst of one second's starts.
func (p *plan) next() time.Time {
	return later(later(p.now, p.slots[0]), p.due.Add(p.interval-time.Second))
}

// reserve books the earliest slot for a load from start to end.
func (p *plan) reserve(start, end time.Time) {
	p.due = later(p.due, start).Add(p.interval)
	p.slots[0] = end
	for i := 1; i < len(p.slots) && p.slots[i].Before(p.slots[i-1]); i++ {
		p.slots[i-1], p.slots[i] = p.slots[i], p.slots[i-1]
	}
}

// predictEnd returns the predicted end of a load. For an overdue load it lies ahead of now in proportion to the time
// taken.
func predictEnd(r *replica, now time.Time) time.Time {
	if now.Before(r.predictedEndAt) {
		return r.predictedEndAt
	}
	return now.Add(max(minQueryInterval, time.Duration(float64(now.Sub(r.startedAt))*overdueFactor)))
}

func later(a, b time.Time) time.Time {
	if a.Before(b) {
		return b
	}
	return a
}
