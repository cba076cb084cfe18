package entry

import (
	"slices"
	"time"

	"github.com/fireflycleat/fireflycleat/pkg/codes"
	"github.com/fireflycleat/fireflycleat/pkg/retry"
	"github.com/fireflycleat/fireflycleat/pkg/route"
	"github.com/fireflycleat/fireflycleat/pkg/spec"
)

const (
	maxMoves     = 2 // Moves of an answer; each computes its prompt again.
	coldFactor   = 3 // Before quantiles are learned, a first token is late after this multiple of the expected time.
	medianFactor = 2 // With many slowed upstreams the 95th percentile is itself slow, so the median bounds the delay.
	// Where first-token times vary little, 5% of all calls pass the 95th percentile by noise and would use up the budget.
	noiseTenths = 15
	// An urgent call without a first token after this multiple of the expected time looks for another place.
	coldRoomFactor = 2
	roomTenths     = 12 // The same once the median is known, which is then the better measure.
	leastHedgeWait = 5 * time.Millisecond
)

// send starts the next attempt of a call at the chosen replica.
func (e *Entry) send(now time.Time, c *call, choice route.Choice, hedge bool) {
	c.sends++
	a := &attempt{number: c.sends, upstream: choice.Upstream, hedge: hedge}
	a.flight = e.table.Sent(now, choice, c.Urgency, c.tokens)
	c.attempts = append(c.attempts, a)
	if c.bound() {
		c.queue.await(a.upstream, c)
	}
	e.emit(Send{ID: c.id, Attempt: a.number, Upstream: a.upstream, Priority: c.Urgency, ResumeFrom: c.tokens})
	if hedge {
		return
	}
	e.hedges.Earn()
	e.dequeue(c)
	c.state, c.fresh = running, false
	c.queue.sent(now, c.Urgency)
	if !c.bound() {
		return
	}
	c.hedgeAt = time.Time{}
	c.roomAt = time.Time{}
	next := c.Deadline
	if c.Urgency == spec.Urgent {
		c.roomAt = now.Add(c.queue.roomAfter(choice.First))
		next = earlier(next, c.roomAt)
	}
	if c.Repeatable && c.Urgency != spec.Bulk {
		c.hedgeAt = now.Add(choice.Wait + c.queue.lateAfter(choice.First))
		next = earlier(next, c.hedgeAt)
	}
	e.timers.set(&c.timer, next)
	e.probe(now, c, choice.Upstream)
}

// probe sends a second attempt of the call to an upstream that was slowed, if one is due. The call itself would be late
// there; the attempt counts as a hedge.
func (e *Entry) probe(now time.Time, c *call, upstream string) {
	if !c.Repeatable || c.Urgency == spec.Bulk || !e.hedges.Available() {
		return
	}
	if choice, ok := e.table.Probe(now, c.query(upstream)); ok && choice.Free {
		e.hedges.Take()
		e.send(now, c, choice, true)
	}
}

// endProbes cancels the attempts that only measure the speed of their upstream.
func (e *Entry) endProbes(c *call) {
	for _, a := range c.attempts {
		if a.probe() && a.number != c.delivers {
			e.cancel(c, a)
		}
	}
}

func (a *attempt) probe() bool { return a.hedge && a.flight.Probe() }

// lateAfter returns the delay after which a first token is late.
func (q *queue) lateAfter(expected time.Duration) time.Duration {
	if q.first.Late() == 0 {
		return max(coldFactor*expected, leastHedgeWait)
	}
	return max(min(q.first.Late(), medianFactor*q.first.Median()), q.first.Median()*noiseTenths/10)
}

// roomAfter returns the delay after which an urgent call without a first token is known to wait for a slot.
func (q *queue) roomAfter(expected time.Duration) time.Duration {
	median := q.first.Median()
	if median == 0 {
		return coldRoomFactor * expected
	}
	return max(median*noiseTenths, expected*roomTenths) / 10
}

// callDue handles the timer of a call whose first token is missing.
func (e *Entry) callDue(now time.Time, c *call) {
	if c.state != running && c.state != suspended || !c.bound() {
		return
	}
	if !now.Before(c.Deadline) {
		e.refuse(c, codes.DeadlineMissed, e.promise(now, c))
		return
	}
	if c.state == suspended {
		e.timers.set(&c.timer, c.Deadline)
		return
	}
	if !c.roomAt.IsZero() && !now.Before(c.roomAt) {
		c.roomAt = time.Time{}
		if e.retract(now, c) {
			return
		}
	}
	if !c.hedgeAt.IsZero() && !now.Before(c.hedgeAt) {
		c.hedgeAt = time.Time{}
		e.hedge(now, c)
	}
	e.timers.set(&c.timer, earlier(earlier(c.Deadline, c.hedgeAt), c.roomAt))
}

// hedge helps a call whose first token is late: it is withdrawn once if a slot is surely free elsewhere, and otherwise sent to
// a second upstream as well.
func (e *Entry) hedge(now time.Time, c *call) {
	if len(c.attempts) == 0 {
		return
	}
	first := c.attempts[0]
	if first.cancelled || slices.ContainsFunc(c.attempts[1:], func(a *attempt) bool { return !a.probe() }) {
		return
	}
	e.table.Overdue(now, &first.flight, false)
	e.mark(c.queue)
	choice, ok := e.table.Pick(now, c.query(first.upstream))
	if !ok || !choice.Free || now.Add(choice.First).After(c.Deadline) {
		return
	}
	if choice.Sure && c.moves == 0 {
		e.withdraw(now, c, first)
		return
	}
	if !e.hedges.Available() && !e.mutant.freeHedges {
		return
	}
	e.hedges.Take()
	e.send(now, c, choice, true)
}

// withdraw cancels a late attempt, so that the call is sent elsewhere after its end. Most such attempts wait in the queue of
// an engine, and a hedge would keep a place there and take a slot elsewhere. At worst the work on the prompt is lost.
func (e *Entry) withdraw(now time.Time, c *call, a *attempt) {
	e.table.Overdue(now, &a.flight, true)
	c.moves++
	c.moving, c.state = true, suspended
	e.endProbes(c)
	e.cancel(c, a)
}

func (c *call) query(exclude string) route.Query {
	return route.Query{
		Model: c.Model, Adapter: c.Adapter, Urgency: c.Urgency, Aged: c.aged, Repeatable: c.Repeatable, Exclude: exclude,
	}
}

func (e *Entry) firstToken(now time.Time, ev FirstToken) {
	c := e.calls[ev.ID]
	if c == nil {
		return
	}
	a := c.attempt(ev.Attempt)
	if a == nil {
		return
	}
	took := e.table.First(now, &a.flight)
	c.queue.settled(a.upstream, c)
	e.mark(c.queue)
	if c.state != running || a.cancelled || c.delivers != 0 {
		if a.probe() && c.delivers != a.number {
			e.cancel(c, a) // It has shown the speed of its upstream.
		}
		return
	}
	if took > 0 && c.tokens == 0 && !a.hedge {
		c.queue.first.Add(took)
	}
	e.deliver(now, c, a)
}

// deliver makes the attempt the only one whose tokens reach the caller.
func (e *Entry) deliver(now time.Time, c *call, a *attempt) {
	c.delivers, c.streamAt, c.started = a.number, now, true
	e.timers.set(&c.timer, time.Time{})
	e.emit(Deliver{ID: c.id, Attempt: a.number})
	for _, o := range c.attempts {
		if o != a && !o.cancelled && !o.probe() {
			e.table.Overdue(now, &o.flight, true)
			e.cancel(c, o)
		}
	}
	e.list(c)
}

func (e *Entry) progress(now time.Time, ev Progress) {
	c := e.calls[ev.ID]
	if c == nil {
		return
	}
	a := c.attempt(ev.Attempt)
	if a == nil || c.delivers != a.number {
		return
	}
	e.table.Progress(now, &a.flight, ev.Tokens)
	c.tokens = max(c.tokens, ev.Tokens)
	e.move(now, c, a)
	e.mark(c.queue)
}

// move cancels an answer at a straggling upstream, so that it is resumed elsewhere.
func (e *Entry) move(now time.Time, c *call, a *attempt) {
	if c.state != running || a.cancelled || a.lost || !c.Repeatable || c.moves >= maxMoves ||
		!a.flight.Straggles() {
		return
	}
	if choice, ok := e.table.Pick(now, c.query(a.upstream)); ok && e.table.Gains(&a.flight, choice) {
		c.moves++
		c.moving = true
		e.suspend(c)
	}
}

func (e *Entry) attemptEnded(now time.Time, ev AttemptEnded) {
	c := e.calls[ev.ID]
	if c == nil {
		return
	}
	a := c.attempt(ev.Attempt)
	if a == nil { // A duplicate.
		return
	}
	if e.mutant.doubleEnd && c.state == over && ev.Result == retry.Done {
		e.emit(Complete{ID: c.id})
	}
	if c.delivers != a.number && !a.cancelled && ev.Result != retry.Done {
		e.table.Shun(now, &a.flight)
	}
	e.table.Ended(now, &a.flight, max(ev.Tokens, c.tokens), ev.Result == retry.Done)
	c.drop(a)
	c.queue.settled(a.upstream, c)
	c.queue.hint = a.upstream
	e.mark(c.queue)
	if ev.Result != retry.NotRun {
		c.maybeRan = true
	}
	c.ran = c.ran || ev.Result == retry.Failed
	switch {
	case c.state == over:
		e.forget(c)
	case a.cancelled && c.state != suspended, c.delivers != 0 && c.delivers != a.number:
		// Another attempt won, or this one was replaced.
	case ev.Result == retry.Done && (c.delivers != 0 || !a.cancelled && c.state != suspended):
		if c.delivers == 0 { // The first token and the end crossed, or the answer is empty.
			e.deliver(now, c, a)
		}
		e.retries.Earn()
		e.complete(c)
	default:
		if c.delivers == a.number {
			c.tokens = max(c.tokens, ev.Tokens)
		}
		e.failed(now, c, a.upstream, ev.Result)
	}
}

// failed decides what follows an attempt that ended without the whole answer.
func (e *Entry) failed(now time.Time, c *call, upstream string, r retry.Result) {
	if c.delivers != 0 {
		e.endProbes(c)
	}
	if c.active() { // A hedge is still under way.
		return
	}
	e.unlist(c)
	if c.state == suspended {
		avoid := ""
		if c.moving {
			c.moving, avoid = false, upstream
		} else {
			c.preempted++
		}
		e.requeue(now, c, avoid)
		return
	}
	delivered := c.tokens
	if c.started {
		delivered = max(delivered, 1)
	}
	verdict := retry.Decide(r, c.Repeatable || e.mutant.resendAll, delivered)
	c.failures++
	code := failureCode(r, delivered)
	// A request that was not run costs little, and a leaving upstream refuses many at once.
	free := r == retry.NotRun && c.failures == 1
	switch {
	case verdict == retry.Stop:
		e.refuse(c, code, 0)
	case c.failures >= e.settings.MaxAttempts || !free && !e.retries.Take():
		e.refuse(c, code, e.promise(now, c))
	default:
		c.notBefore = now.Add(retry.Backoff(c.failures, e.random))
		e.requeue(now, c, upstream)
	}
}

func failureCode(r retry.Result, tokens int) codes.Code {
	switch {
	case tokens > 0:
		return codes.StreamBroken
	case r == retry.NotRun:
		return codes.UpstreamRefused
	case r == retry.Failed:
		return codes.UpstreamFailed
	}
	return codes.UpstreamUnknown
}

func (e *Entry) requeue(now time.Time, c *call, avoid string) {
	c.delivers, c.avoid, c.since, c.aged = 0, avoid, now, false
	e.timers.set(&c.timer, time.Time{})
	e.enqueue(c)
}

// upstreamGone ends the attempts at a lost upstream. Attempts that deliver tokens are cancelled and keep their call until
// AttemptEnded tells the exact token index.
func (e *Entry) upstreamGone(now time.Time, upstream string) {
	var hit []*call
	for _, c := range e.calls {
		if slices.ContainsFunc(c.attempts, func(a *attempt) bool { return a.upstream == upstream }) {
			hit = append(hit, c)
		}
	}
	slices.SortFunc(hit, func(a, b *call) int { return int(a.id) - int(b.id) })
	for _, c := range hit {
		for _, a := range slices.Clone(c.attempts) {
			if a.upstream != upstream || c.attempt(a.number) == nil || a.cancelled || a.lost {
				continue
			}
			a.lost = true
			e.emit(Cancel{ID: c.id, Attempt: a.number, Upstream: a.upstream})
			if c.delivers != a.number {
				e.attemptEnded(now, AttemptEnded{ID: c.id, Attempt: a.number, Result: retry.Unknown})
			}
		}
	}
}
