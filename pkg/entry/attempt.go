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
	maxMoves        = 2 // Moving an answer computes its prompt again.
	coldHedgeFactor = 3 // multiple of the expected first-token time after which a call is late, until quantiles are known
	medianFactor    = 2 // The median bounds the hedge delay: with many slow upstreams, the 95th percentile itself is slow.
	// minDelayTenths is the minimum hedge delay in tenths of the median. If first-token times vary little, 5% of all calls exceed
	// the 95th percentile by noise and would exhaust the hedge budget.
	minDelayTenths = 15
	// coldRelocateFactor is the multiple of the expected first-token time after which an urgent call is relocated, until the
	// median is known.
	coldRelocateFactor = 2
	relocateTenths     = 12 // the same in tenths, once the median is known
	minHedgeDelay      = 5 * time.Millisecond
)

// send starts the next attempt of a call at the chosen replica.
func (e *Entry) send(now time.Time, c *call, choice route.Choice, hedge bool) {
	c.sends++
	a := &attempt{number: c.sends, upstream: choice.Upstream, hedge: hedge}
	a.routeAttempt = e.table.StartAttempt(now, choice, c.Urgency, c.nextToken)
	c.attempts = append(c.attempts, a)
	if c.deadlineApplies() {
		c.queue.addUnstarted(a.upstream, c)
	}
	e.emit(Send{ID: c.id, Attempt: a.number, Upstream: a.upstream, Priority: c.Urgency, ResumeFrom: c.nextToken})
	if hedge {
		return
	}
	e.hedges.Earn()
	e.dequeue(c)
	c.state, c.newlyArrived = running, false
	c.queue.recordSend(now, c.Urgency)
	if !c.deadlineApplies() {
		return
	}
	c.hedgeAt = time.Time{}
	c.relocateAt = time.Time{}
	next := c.Deadline
	if c.Urgency == spec.Urgent {
		c.relocateAt = now.Add(c.queue.relocateDelay(choice.First))
		next = earlier(next, c.relocateAt)
	}
	if c.Repeatable && c.Urgency != spec.Bulk {
		c.hedgeAt = now.Add(choice.Wait + c.queue.hedgeDelay(choice.First))
		next = earlier(next, c.hedgeAt)
	}
	e.timers.set(&c.timer, next)
	e.probe(now, c, choice.Upstream)
}

// probe sends a second attempt to an upstream that was found slow, if a probe is due. The probe is a separate attempt because
// the call would be late there; it counts as a hedge.
func (e *Entry) probe(now time.Time, c *call, upstream string) {
	if !c.Repeatable || c.Urgency == spec.Bulk || !e.hedges.Available() {
		return
	}
	if choice, ok := e.table.Probe(now, c.query(upstream)); ok && choice.Free {
		e.hedges.Take()
		e.send(now, c, choice, true)
	}
}

// cancelProbes cancels the attempts of the call that only measure the speed of their upstream.
func (e *Entry) cancelProbes(c *call) {
	for _, a := range c.attempts {
		if a.isProbe() && a.number != c.delivering {
			e.cancel(c, a)
		}
	}
}

func (a *attempt) isProbe() bool { return a.hedge && a.routeAttempt.Probe() }

// hedgeDelay returns the delay after which a call without a first token is late and may be hedged.
func (q *queue) hedgeDelay(expected time.Duration) time.Duration {
	if q.firstLatency.P95() == 0 {
		return max(coldHedgeFactor*expected, minHedgeDelay)
	}
	return max(min(q.firstLatency.P95(), medianFactor*q.firstLatency.Median()), q.firstLatency.Median()*minDelayTenths/10)
}

// relocateDelay returns the delay after which an urgent call without a first token is assumed to wait for a slot.
func (q *queue) relocateDelay(expected time.Duration) time.Duration {
	median := q.firstLatency.Median()
	if median == 0 {
		return coldRelocateFactor * expected
	}
	return max(median*minDelayTenths, expected*relocateTenths) / 10
}

// callTimerDue handles the timer of a call that has no first token yet.
func (e *Entry) callTimerDue(now time.Time, c *call) {
	if c.state != running && c.state != suspended || !c.deadlineApplies() {
		return
	}
	if !now.Before(c.Deadline) {
		e.refuse(c, codes.DeadlineMissed, e.reserveRetry(now, c))
		return
	}
	if c.state == suspended {
		e.timers.set(&c.timer, c.Deadline)
		return
	}
	if !c.relocateAt.IsZero() && !now.Before(c.relocateAt) {
		c.relocateAt = time.Time{}
		if e.handleFullReplica(now, c) {
			return
		}
	}
	if !c.hedgeAt.IsZero() && !now.Before(c.hedgeAt) {
		c.hedgeAt = time.Time{}
		e.hedge(now, c)
	}
	e.timers.set(&c.timer, earlier(earlier(c.Deadline, c.hedgeAt), c.relocateAt))
}

// hedge handles a call whose first token is late. If another upstream certainly has a free slot, the attempt is withdrawn, at
// most once per call; otherwise a second attempt is sent if the hedge budget allows it.
func (e *Entry) hedge(now time.Time, c *call) {
	if len(c.attempts) == 0 {
		return
	}
	first := c.attempts[0]
	if first.cancelled || slices.ContainsFunc(c.attempts[1:], func(a *attempt) bool { return !a.isProbe() }) {
		return
	}
	e.table.RecordLateFirstToken(now, &first.routeAttempt, false)
	e.markDirty(c.queue)
	choice, ok := e.table.Pick(now, c.query(first.upstream))
	if !ok || !choice.Free || now.Add(choice.First).After(c.Deadline) {
		return
	}
	if choice.Sure && c.moves == 0 {
		e.withdraw(now, c, first)
		return
	}
	if !e.hedges.Available() && !e.mutant.unlimitedHedges {
		return
	}
	e.hedges.Take()
	e.send(now, c, choice, true)
}

// withdraw cancels a late attempt so that the call is sent elsewhere when the attempt has ended. Most late attempts wait in an
// engine's queue, and a hedge would keep that place and occupy a slot elsewhere. At worst, the prompt is computed again.
func (e *Entry) withdraw(now time.Time, c *call, a *attempt) {
	e.table.RecordLateFirstToken(now, &a.routeAttempt, true)
	c.moves++
	c.moving, c.state = true, suspended
	e.cancelProbes(c)
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
	latency := e.table.RecordFirstToken(now, &a.routeAttempt)
	c.queue.removeUnstarted(a.upstream, c)
	e.markDirty(c.queue)
	if c.state != running || a.cancelled || c.delivering != 0 {
		if a.isProbe() && c.delivering != a.number {
			e.cancel(c, a) // The speed of its upstream is now known.
		}
		return
	}
	if latency > 0 && c.nextToken == 0 && !a.hedge {
		c.queue.firstLatency.Add(latency)
	}
	e.deliver(now, c, a)
}

// deliver selects the attempt whose tokens are delivered to the caller and cancels the others, except probes.
func (e *Entry) deliver(now time.Time, c *call, a *attempt) {
	c.delivering, c.streamStart, c.started = a.number, now, true
	e.timers.set(&c.timer, time.Time{})
	e.emit(Deliver{ID: c.id, Attempt: a.number})
	for _, o := range c.attempts {
		if o != a && !o.cancelled && !o.isProbe() {
			e.table.RecordLateFirstToken(now, &o.routeAttempt, true)
			e.cancel(c, o)
		}
	}
	e.addPreemptible(c)
}

func (e *Entry) progress(now time.Time, ev Progress) {
	c := e.calls[ev.ID]
	if c == nil {
		return
	}
	a := c.attempt(ev.Attempt)
	if a == nil || c.delivering != a.number {
		return
	}
	e.table.RecordProgress(now, &a.routeAttempt, ev.Tokens)
	c.nextToken = max(c.nextToken, ev.Tokens)
	e.moveStraggler(now, c, a)
	e.markDirty(c.queue)
}

// moveStraggler cancels an answer at a slow upstream so that it is resumed elsewhere, if that is clearly faster.
func (e *Entry) moveStraggler(now time.Time, c *call, a *attempt) {
	if c.state != running || a.cancelled || a.upstreamGone || !c.Repeatable || c.moves >= maxMoves ||
		!a.routeAttempt.IsStraggling() {
		return
	}
	if choice, ok := e.table.Pick(now, c.query(a.upstream)); ok && e.table.WouldGain(&a.routeAttempt, choice) {
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
	if a == nil { // duplicate event
		return
	}
	if e.mutant.doubleEnd && c.state == finished && ev.Result == retry.Done {
		e.emit(Complete{ID: c.id})
	}
	if c.delivering != a.number && !a.cancelled && ev.Result != retry.Done {
		e.table.Avoid(now, &a.routeAttempt)
	}
	e.table.EndAttempt(now, &a.routeAttempt, max(ev.Tokens, c.nextToken), ev.Result == retry.Done)
	c.removeAttempt(a)
	c.queue.removeUnstarted(a.upstream, c)
	c.queue.freedUpstream = a.upstream
	e.markDirty(c.queue)
	if ev.Result != retry.NotRun {
		c.mayHaveRun = true
	}
	c.ran = c.ran || ev.Result == retry.Failed
	switch {
	case c.state == finished:
		e.removeIfFinished(c)
	case a.cancelled && c.state != suspended, c.delivering != 0 && c.delivering != a.number:
		// Another attempt delivers, or this one was replaced.
	case ev.Result == retry.Done && (c.delivering != 0 || !a.cancelled && c.state != suspended):
		if c.delivering == 0 { // No FirstToken was handled before the end, or the answer is empty.
			e.deliver(now, c, a)
		}
		e.retries.Earn()
		e.complete(c)
	default:
		if c.delivering == a.number {
			c.nextToken = max(c.nextToken, ev.Tokens)
		}
		e.attemptFailed(now, c, a.upstream, ev.Result)
	}
}

// attemptFailed retries, resumes or refuses a call after an attempt that ended without the complete answer.
func (e *Entry) attemptFailed(now time.Time, c *call, upstream string, r retry.Result) {
	if c.delivering != 0 {
		e.cancelProbes(c)
	}
	if c.hasActiveAttempt() { // Another attempt is still active.
		return
	}
	e.removePreemptible(c)
	if c.state == suspended {
		avoid := ""
		if c.moving {
			c.moving, avoid = false, upstream
		} else {
			c.preemptions++
		}
		e.requeue(now, c, avoid)
		return
	}
	delivered := c.nextToken
	if c.started {
		delivered = max(delivered, 1)
	}
	decision := retry.Decide(r, c.Repeatable || e.mutant.resendAll, delivered)
	c.failures++
	code := failureCode(r, delivered)
	// The first retry of a request that did not run is not charged: it is cheap, and a leaving upstream refuses many at once.
	uncharged := r == retry.NotRun && c.failures == 1
	switch {
	case decision == retry.Stop:
		e.refuse(c, code, 0)
	case c.failures >= e.settings.MaxAttempts || !uncharged && !e.retries.Take():
		e.refuse(c, code, e.reserveRetry(now, c))
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
	c.delivering, c.avoidUpstream, c.queuedAt, c.aged = 0, avoid, now, false
	e.timers.set(&c.timer, time.Time{})
	e.enqueue(c)
}

// upstreamGone ends the attempts at an upstream that is gone. An attempt that delivers tokens is only cancelled: its AttemptEnded
// reports the exact index of the next token.
func (e *Entry) upstreamGone(now time.Time, upstream string) {
	var affected []*call
	for _, c := range e.calls {
		if slices.ContainsFunc(c.attempts, func(a *attempt) bool { return a.upstream == upstream }) {
			affected = append(affected, c)
		}
	}
	slices.SortFunc(affected, func(a, b *call) int { return int(a.id) - int(b.id) })
	for _, c := range affected {
		for _, a := range slices.Clone(c.attempts) {
			if a.upstream != upstream || c.attempt(a.number) == nil || a.cancelled || a.upstreamGone {
				continue
			}
			a.upstreamGone = true
			e.emit(Cancel{ID: c.id, Attempt: a.number, Upstream: a.upstream})
			if c.delivering != a.number {
				e.attemptEnded(now, AttemptEnded{ID: c.id, Attempt: a.number, Result: retry.Unknown})
			}
		}
	}
}
