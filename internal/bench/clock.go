package bench

import (
	"container/heap"
	"time"
)

type (
	// clock is an event queue in virtual time; events with the same time run in the order in which they were added.
	clock struct {
		now   time.Time
		added uint64
		queue events
	}

	event struct {
		at    time.Time
		order uint64
		run   func()
	}

	events []event

	// timer runs a function once; resetting it replaces the previous time.
	timer struct {
		clock      *clock
		run        func()
		generation uint64
	}
)

// epoch is the start of virtual time.
var epoch = time.Unix(1_000_000_000, 0).UTC()

// Len implements heap.Interface.
func (q events) Len() int { return len(q) }

// Less implements heap.Interface.
func (q events) Less(i, j int) bool {
	if q[i].at.Equal(q[j].at) {
		return q[i].order < q[j].order
	}
	return q[i].at.Before(q[j].at)
}

// Swap implements heap.Interface.
func (q events) Swap(i, j int) { q[i], q[j] = q[j], q[i] }

// Push implements heap.Interface.
func (q *events) Push(x any) { *q = append(*q, x.(event)) }

// Pop implements heap.Interface.
func (q *events) Pop() any {
	last := len(*q) - 1
	e := (*q)[last]
	(*q)[last] = event{}
	*q = (*q)[:last]
	return e
}

func newClock() *clock { return &clock{now: epoch} }

func (c *clock) at(t time.Time, run func()) {
	if t.Before(c.now) {
		t = c.now
	}
	c.added++
	heap.Push(&c.queue, event{at: t, order: c.added, run: run})
}

func (c *clock) after(d time.Duration, run func()) { c.at(c.now.Add(d), run) }

// every runs the function periodically, first after the phase and then at the interval.
func (c *clock) every(phase, interval time.Duration, run func()) {
	var again func()
	again = func() {
		run()
		c.after(interval, again)
	}
	c.after(phase, again)
}

// runUntil runs all events up to and including the given time and advances the clock to it.
func (c *clock) runUntil(end time.Time) {
	for len(c.queue) > 0 && !c.queue[0].at.After(end) {
		e := heap.Pop(&c.queue).(event)
		c.now = e.at
		e.run()
	}
	c.now = end
}

func (a *timer) reset(at time.Time) {
	a.generation++
	n := a.generation
	a.clock.at(at, func() {
		if a.generation == n {
			a.run()
		}
	})
}

func (a *timer) stop() { a.generation++ }
