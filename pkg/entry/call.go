package entry

import (
	"slices"
	"time"

	"github.com/fireflycleat/fireflycleat/pkg/codes"
	"github.com/fireflycleat/fireflycleat/pkg/route"
	"github.com/fireflycleat/fireflycleat/pkg/spec"
)

// States of a call.
const (
	queued    callState = iota // in its model's queue
	running                    // at least one attempt is open and not cancelled
	suspended                  // preempted or moving; requeued when the cancelled attempt ends
	finished                   // completed or refused; kept until its cancelled attempts have ended
)

type (
	callState int

	call struct {
		Request
		id            uint64
		state         callState
		queue         *queue
		timer         timer
		attempts      []*attempt // open attempts, including cancelled ones that have not ended
		sends         int
		delivering    int // number of the attempt whose tokens are delivered to the caller; 0 if none
		nextToken     int // index of the next token that the caller needs
		failures      int
		preemptions   int
		moves         int  // moves of a late or slow attempt to another upstream
		relocations   int  // moves of an urgent call to another replica before its first token
		moving        bool // set when the call continues at another upstream once its cancelled attempt has ended
		started       bool // set when the caller has received a token; the deadline then no longer applies
		inQueue       bool
		mayHaveRun    bool   // set when an attempt ended without proof that it did not run
		ran           bool   // set when an attempt is known to have run
		hasRetrySlot  bool   // set when the caller returned at the time given in an earlier refusal
		newlyArrived  bool   // set until the call is predicted to start in time or is sent; the admission margins apply until then
		aged          bool   // set when a preempted stream has been queued for ageAfter
		avoidUpstream string // upstream that is excluded while others can take the call
		notBefore     time.Time
		queuedAt      time.Time // start of the current wait in the queue
		hedgeAt       time.Time
		relocateAt    time.Time // when an urgent call without a first token is moved or preempts a bulk stream
		streamStart   time.Time // time of the first token of the delivering attempt
		streamIndex   int       // index in queue.preemptible; -1 if absent
	}

	attempt struct {
		number       int
		upstream     string
		routeAttempt route.Attempt
		cancelled    bool
		hedge        bool
		upstreamGone bool
	}
)

func (e *Entry) newCall(now time.Time, ev Arrive) *call {
	c := &call{Request: ev.Request, id: ev.ID, queuedAt: now, newlyArrived: true, streamIndex: -1}
	c.timer = timer{index: -1, call: c}
	if c.Deadline.IsZero() {
		c.Deadline = now.Add(noDeadline)
	}
	c.Urgency = min(max(c.Urgency, spec.Urgent), spec.Bulk)
	return c
}

// deadlineApplies reports whether the deadline for the first token still applies.
func (c *call) deadlineApplies() bool { return !c.started }

func (c *call) attempt(number int) *attempt {
	for _, a := range c.attempts {
		if a.number == number {
			return a
		}
	}
	return nil
}

func (c *call) removeAttempt(a *attempt) {
	c.attempts = slices.DeleteFunc(c.attempts, func(o *attempt) bool { return o == a })
}

func (c *call) hasActiveAttempt() bool {
	return slices.ContainsFunc(c.attempts, func(a *attempt) bool { return !a.cancelled })
}

// outcome returns what is known about whether the call ran.
func (c *call) outcome() codes.Outcome {
	switch {
	case c.ran || c.started:
		return codes.Ran
	case c.mayHaveRun || len(c.attempts) > 0:
		return codes.Unknown
	}
	return codes.NotRun
}

func (e *Entry) complete(c *call) {
	e.cancelAll(c)
	e.emit(Complete{ID: c.id})
	e.finish(c)
}

func (e *Entry) refuse(c *call, code codes.Code, retryAfter time.Duration) {
	e.cancelAll(c)
	e.emit(Refuse{ID: c.id, Code: code, Outcome: c.outcome(), RetryAfter: retryAfter})
	e.finish(c)
}

func (e *Entry) cancelAll(c *call) {
	for _, a := range c.attempts {
		e.cancel(c, a)
	}
}

// finish releases all resources of the call except its open attempts, which are tracked until they end.
func (e *Entry) finish(c *call) {
	e.dequeue(c)
	e.removePreemptible(c)
	e.timers.set(&c.timer, time.Time{})
	c.state = finished
	e.quota.Release(c.Team, c.Urgency)
	e.removeIfFinished(c)
	e.markDirty(c.queue)
}

func (e *Entry) cancel(c *call, a *attempt) {
	if a.cancelled {
		return
	}
	a.cancelled = true
	c.queue.removeUnstarted(a.upstream, c)
	if !a.upstreamGone {
		e.emit(Cancel{ID: c.id, Attempt: a.number, Upstream: a.upstream})
	}
}

func (e *Entry) removeIfFinished(c *call) {
	if c.state == finished && len(c.attempts) == 0 {
		delete(e.calls, c.id)
		c.queue.openCalls--
	}
}

func (e *Entry) abandoned(ev Abandoned) {
	c := e.calls[ev.ID]
	if c == nil || c.state == finished {
		return
	}
	if e.mutant.keepAbandoned && c.state == queued {
		e.emit(Refuse{ID: c.id, Code: codes.CallerLeft, Outcome: c.outcome()})
		return
	}
	e.refuse(c, codes.CallerLeft, 0)
}
