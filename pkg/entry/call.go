package entry

import (
	"slices"
	"time"

	"github.com/fireflycleat/fireflycleat/pkg/codes"
	"github.com/fireflycleat/fireflycleat/pkg/route"
	"github.com/fireflycleat/fireflycleat/pkg/spec"
)

// The states of a call.
const (
	queued    callState = iota // In the queue of its model.
	running                    // At least one attempt is open and not cancelled.
	suspended                  // Preempted; waits for the end of the cancelled attempt.
	over                       // Ended; waits for the end of cancelled attempts.
)

type (
	callState int

	call struct {
		Request
		id        uint64
		state     callState
		queue     *queue
		timer     timer
		attempts  []*attempt // attempts holds the open ones.
		sends     int
		delivers  int // delivers is the number of the attempt whose tokens the caller gets; zero means none yet.
		tokens    int // tokens is the index of the next token that the caller needs.
		failures  int
		preempted int
		moves     int
		retracts  int  // retracts counts the moves before the first token.
		moving    bool // moving tells that the cancelled attempt is to be resumed at another upstream.
		started   bool // started tells that the caller got a token, so the deadline no longer applies.
		waiting   bool // waiting tells that the call is in the queue's list.
		maybeRan  bool // maybeRan tells that an attempt ended without a proof that it was not run.
		ran       bool
		promised  bool // promised tells that the caller returned at the time given in a refusal.
		fresh     bool // fresh is set until the first prediction.
		aged      bool
		avoid     string
		notBefore time.Time
		since     time.Time // since is the start of the current wait in the queue.
		hedgeAt   time.Time
		roomAt    time.Time // roomAt is when an urgent call preempts a bulk stream at its upstream.
		streamAt  time.Time // streamAt is the time of the first token of the current attempt.
		place     int       // place is the index in the queue's list of streams that may be preempted, or -1.
	}

	attempt struct {
		number    int
		upstream  string
		flight    route.Flight
		cancelled bool
		hedge     bool
		lost      bool // lost tells that the upstream is gone.
	}
)

func (e *Entry) newCall(now time.Time, ev Arrive) *call {
	c := &call{Request: ev.Request, id: ev.ID, since: now, fresh: true, place: -1}
	c.timer = timer{index: -1, call: c}
	if c.Deadline.IsZero() {
		c.Deadline = now.Add(noDeadline)
	}
	c.Urgency = min(max(c.Urgency, spec.Urgent), spec.Bulk)
	return c
}

// bound reports whether the deadline for the first token still applies.
func (c *call) bound() bool { return !c.started }

func (c *call) attempt(number int) *attempt {
	for _, a := range c.attempts {
		if a.number == number {
			return a
		}
	}
	return nil
}

func (c *call) drop(a *attempt) {
	c.attempts = slices.DeleteFunc(c.attempts, func(o *attempt) bool { return o == a })
}

func (c *call) active() bool {
	return slices.ContainsFunc(c.attempts, func(a *attempt) bool { return !a.cancelled })
}

// outcome tells what is known about whether the call ran.
func (c *call) outcome() codes.Outcome {
	switch {
	case c.ran || c.started:
		return codes.Ran
	case c.maybeRan || len(c.attempts) > 0:
		return codes.Unknown
	}
	return codes.NotRun
}

func (e *Entry) complete(c *call) {
	e.cancelAll(c)
	e.emit(Complete{ID: c.id})
	e.end(c)
}

func (e *Entry) refuse(c *call, code codes.Code, retryAfter time.Duration) {
	e.cancelAll(c)
	e.emit(Refuse{ID: c.id, Code: code, Outcome: c.outcome(), RetryAfter: retryAfter})
	e.end(c)
}

func (e *Entry) cancelAll(c *call) {
	for _, a := range c.attempts {
		e.cancel(c, a)
	}
}

// end releases everything that the call holds except its open attempts, which stay counted until they end.
func (e *Entry) end(c *call) {
	e.dequeue(c)
	e.unlist(c)
	e.timers.set(&c.timer, time.Time{})
	c.state = over
	e.quota.Release(c.Team, c.Urgency)
	e.forget(c)
	e.mark(c.queue)
}

func (e *Entry) cancel(c *call, a *attempt) {
	if a.cancelled {
		return
	}
	a.cancelled = true
	c.queue.settled(a.upstream, c)
	if !a.lost {
		e.emit(Cancel{ID: c.id, Attempt: a.number, Upstream: a.upstream})
	}
}

func (e *Entry) forget(c *call) {
	if c.state == over && len(c.attempts) == 0 {
		delete(e.calls, c.id)
		c.queue.open--
	}
}

func (e *Entry) abandoned(ev Abandoned) {
	c := e.calls[ev.ID]
	if c == nil || c.state == over {
		return
	}
	if e.mutant.sloppyRelease && c.state == queued {
		e.emit(Refuse{ID: c.id, Code: codes.CallerLeft, Outcome: c.outcome()})
		return
	}
	e.refuse(c, codes.CallerLeft, 0)
}
