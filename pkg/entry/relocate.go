package entry

import (
	"time"

	"github.com/fireflycleat/fireflycleat/pkg/spec"
)

const maxRelocations = 3 // Each costs a round trip and the delay until the wait is detected.

// handleFullReplica handles an urgent call whose first token is late, which indicates that its replica has no free slot despite
// the reported load. In order of preference, the call moves to a replica with a certainly free slot, preempts a bulk stream at
// its own replica, or moves to a replica with a probably free slot. It reports whether the call moves.
func (e *Entry) handleFullReplica(now time.Time, c *call) bool {
	a := c.attempts[0]
	if len(c.attempts) != 1 || a.cancelled || a.upstreamGone {
		return false
	}
	e.table.RecordFull(&a.routeAttempt)
	e.markDirty(c.queue) // The higher load delays the predicted starts of waiting calls.
	choice, ok := e.table.Pick(now, c.query(a.upstream))
	ok = ok && choice.Free && c.Repeatable && c.relocations < maxRelocations && !now.Add(choice.First).After(c.Deadline)
	sure := ok && choice.Sure
	if !sure && e.preemptStreamAt(now, c.queue, a.upstream) || !ok {
		return false
	}
	e.startRelocation(c, a)
	return true
}

// relocate moves an urgent call that cannot start in time at its replica to one where it can, and reports whether there is one.
func (e *Entry) relocate(now time.Time, c *call) bool {
	a := c.attempts[0]
	if c.Urgency != spec.Urgent || c.state != running || !c.Repeatable || c.relocations >= maxRelocations || a.cancelled || a.upstreamGone {
		return false
	}
	choice, ok := e.table.Pick(now, c.query(a.upstream))
	if !ok || now.Add(choice.Wait+choice.First).After(c.Deadline) {
		return false
	}
	e.startRelocation(c, a)
	return true
}

// startRelocation cancels the only attempt of a call, so that the call is sent elsewhere when the attempt has ended.
func (e *Entry) startRelocation(c *call, a *attempt) {
	c.relocations++
	c.moving = true
	c.state = suspended
	e.cancel(c, a)
	e.timers.set(&c.timer, c.Deadline)
}

// preemptStreamAt preempts a bulk stream at an upstream where an urgent call waits longer than predicted, and reports whether
// there was one.
func (e *Entry) preemptStreamAt(now time.Time, q *queue, upstream string) bool {
	var victim *call
	for _, v := range q.preemptible {
		if e.mayPreempt(now, v) && v.attempt(v.delivering).upstream == upstream && v.betterVictim(victim) {
			victim = v
		}
	}
	if victim == nil {
		return false
	}
	e.suspend(victim)
	return true
}
