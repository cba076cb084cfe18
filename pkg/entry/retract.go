package entry

import (
	"time"

	"github.com/fireflycleat/fireflycleat/pkg/spec"
)

const maxRetracts = 3 // Each costs a round trip and the time in which the wait was noticed.

// retract looks after an urgent call whose first token is late, which shows that its replica has no free slot although the
// load figures said so. The call moves to a replica that surely has a free slot, takes the place of a bulk stream at its own
// replica, or moves to a replica that probably has a free slot, in this order. It reports whether the call moves.
func (e *Entry) retract(now time.Time, c *call) bool {
	a := c.attempts[0]
	if len(c.attempts) != 1 || a.cancelled || a.lost {
		return false
	}
	e.table.Full(&a.flight)
	e.mark(c.queue) // A higher load lowers the predictions of the calls that wait.
	choice, ok := e.table.Pick(now, c.query(a.upstream))
	ok = ok && choice.Free && c.Repeatable && c.retracts < maxRetracts && !now.Add(choice.First).After(c.Deadline)
	sure := ok && choice.Sure
	if !sure && e.makeRoom(now, c.queue, a.upstream) || !ok {
		return false
	}
	e.leave(c, a)
	return true
}

// relocate moves an urgent call that cannot start in time at its replica to one where it can, and reports whether there is one.
func (e *Entry) relocate(now time.Time, c *call) bool {
	a := c.attempts[0]
	if c.Urgency != spec.Urgent || c.state != running || !c.Repeatable || c.retracts >= maxRetracts || a.cancelled || a.lost {
		return false
	}
	choice, ok := e.table.Pick(now, c.query(a.upstream))
	if !ok || now.Add(choice.Wait+choice.First).After(c.Deadline) {
		return false
	}
	e.leave(c, a)
	return true
}

// leave cancels the only attempt of a call, so that the call is sent elsewhere when the attempt has ended.
func (e *Entry) leave(c *call, a *attempt) {
	c.retracts++
	c.moving = true
	c.state = suspended
	e.cancel(c, a)
	e.timers.set(&c.timer, c.Deadline)
}

// makeRoom preempts a bulk stream at an upstream where an urgent call waits longer than predicted.
func (e *Entry) makeRoom(now time.Time, q *queue, upstream string) bool {
	var victim *call
	for _, v := range q.streams {
		if e.mayPreempt(now, v) && v.attempt(v.delivers).upstream == upstream && v.better(victim) {
			victim = v
		}
	}
	if victim == nil {
		return false
	}
	e.suspend(victim)
	return true
}
