package entry

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/fireflycleat/fireflycleat/pkg/codes"
	"github.com/fireflycleat/fireflycleat/pkg/retry"
	"github.com/fireflycleat/fireflycleat/pkg/spec"
)

const (
	classes      = int(spec.Bulk) + 1
	rateSpan     = 2 * time.Second // Time constant of the send rates by class.
	refreshEvery = time.Second
	usualSpan    = 10 * time.Second
	ageAfter     = 10 * time.Second // A preempted stream that waits this long goes first and may take reserved slots.
	// The predicted wait is a mean, and a waiting request takes nothing from others. At twice the capacity, a refusal at the
	// mean refused 1.7% of urgent work and lost 2.2% in all; a third of it lost 0.9%.
	urgentOptimism = 3
	quantumGrowth  = 1.25 // With 16 preemptions the quanta of 0.5 s and more add up to 69 s.
	// Normal work may fill the slots this often. At twice the capacity, 1.0 gave a goodput of 0.94, and this one 0.96.
	fairPart = 1.25
	agedPart = 10 // Aged streams may take one slot in this many, and at least one.
)

type (
	// queue holds the waiting calls of one model, and what was learned and promised about it.
	queue struct {
		model     string
		calls     []*call            // calls is sorted by order.
		unstarted map[string][]*call // unstarted lists by upstream the calls that were sent there and have no first token.
		streams   []*call            // streams lists the bulk streams that may be preempted.
		timer     timer
		dirty     bool
		open      int           // open is the number of calls that refer to the queue.
		failAt    time.Time     // failAt is when the next waiting call can no longer be in time.
		refreshAt time.Time     // refreshAt is when old reports are looked for again.
		hint      string        // hint is an upstream at which a slot may have become free.
		first     retry.Latency // first is the time to the first token.
		rates     [classes]rate // rates is the sends in a second over the last seconds.
		usual     [classes]rate // usual is the same over a longer time.
		books     [classes]book
		forecasts map[string]*forecast // forecasts is by adapter.
		demands   map[string]*demand   // demands is by adapter.
	}

	// rate is a decaying count of events in a second.
	rate struct {
		value float64
		at    time.Time
		start time.Time
	}
)

func (e *Entry) queue(model string) *queue {
	q := e.queues[model]
	if q == nil {
		q = &queue{
			model:     model,
			unstarted: make(map[string][]*call), forecasts: make(map[string]*forecast), demands: make(map[string]*demand),
		}
		q.timer = timer{index: -1, queue: q}
		e.queues[model] = q
	}
	return q
}

func (r *rate) now(now time.Time, span time.Duration) float64 {
	return r.value * math.Exp(-now.Sub(r.at).Seconds()/span.Seconds())
}

func (r *rate) add(now time.Time, span time.Duration) {
	r.value, r.at = r.now(now, span)+1/span.Seconds(), now
	if r.start.IsZero() {
		r.start = now
	}
}

// full returns the rate with a correction for the time before the first event.
func (r *rate) full(now time.Time, span time.Duration) float64 {
	known := 1 - math.Exp(-max(now.Sub(r.start), time.Second).Seconds()/span.Seconds())
	return r.now(now, span) / known
}

func (q *queue) sent(now time.Time, u spec.Urgency) {
	q.rates[u].add(now, rateSpan)
	q.usual[u].add(now, usualSpan)
}

// order sorts waiting calls: aged streams, then by urgency, started streams, promised or repeated calls, and deadline.
func order(a, b *call) int {
	return cmp.Or(cmp.Compare(a.rank(), b.rank()), a.Deadline.Compare(b.Deadline), cmp.Compare(a.id, b.id))
}

func (c *call) rank() int {
	if c.aged {
		return -1
	}
	r := int(c.Urgency) * 3
	switch {
	case c.started:
		return r
	case c.promised || c.failures > 0:
		return r + 1
	}
	return r + 2
}

func (e *Entry) enqueue(c *call) {
	q := c.queue
	i, _ := slices.BinarySearchFunc(q.calls, c, order)
	q.calls = slices.Insert(q.calls, i, c)
	c.state, c.waiting = queued, true
	q.count(c.Adapter, c.Urgency, 1)
	e.mark(q)
}

func (e *Entry) dequeue(c *call) {
	if !c.waiting {
		return
	}
	q := c.queue
	i, _ := slices.BinarySearchFunc(q.calls, c, order)
	q.calls = slices.Delete(q.calls, i, i+1)
	c.waiting = false
	q.count(c.Adapter, c.Urgency, -1)
	e.mark(q)
}

// settleQueue sends what can be sent, refuses what can no longer be in time and updates the demand.
func (e *Entry) settleQueue(now time.Time, q *queue) {
	q.expire(now)
	if len(q.calls) > 0 && !q.refreshAt.After(now) {
		e.table.Refresh(now, q.model)
		q.refreshAt = now.Add(refreshEvery)
	}
	e.age(now, q)
	e.dispatch(now, q)
	for e.refuseLate(now, q) {
		// A refused call may have kept the ones behind it from a free slot.
		e.dispatch(now, q)
	}
	e.updateDemands(now, q)
	q.hint, q.dirty = "", false
	e.dirty = slices.DeleteFunc(e.dirty, func(o *queue) bool { return o == q })
	e.timers.set(&q.timer, e.nextDue(now, q))
	if _, ok := e.view.Model(q.model); !ok && q.empty() {
		delete(e.queues, q.model)
	}
}

func (q *queue) empty() bool {
	return q.open+len(q.unstarted)+len(q.forecasts)+len(q.demands) == 0 && q.promises() == 0
}

func (e *Entry) age(now time.Time, q *queue) {
	for _, c := range slices.Clone(q.calls) {
		if c.started && !c.aged && now.Sub(c.since) >= ageAfter {
			e.dequeue(c)
			c.aged = true
			e.enqueue(c)
		}
	}
}

// dispatch sends waiting calls in order while replicas can take them.
func (e *Entry) dispatch(now time.Time, q *queue) {
	var blocked []string // The adapters without a free slot for the calls that follow.
	for _, c := range slices.Clone(q.calls) {
		if c.notBefore.After(now) || c.Urgency != spec.Urgent && slices.Contains(blocked, c.Adapter) {
			continue
		}
		if e.trySend(now, q, c) || c.Urgency == spec.Urgent && e.preempt(now, q, c) {
			continue
		}
		if c.avoid == "" && !c.aged {
			blocked = append(blocked, c.Adapter)
		}
	}
}

func (e *Entry) trySend(now time.Time, q *queue, c *call) bool {
	if c.aged && !e.mayAge(q) {
		return false
	}
	query := c.query(c.avoid)
	choice, ok := e.table.Pick(now, query)
	if !ok && c.avoid != "" {
		query.Exclude = ""
		choice, ok = e.table.Pick(now, query)
	}
	if ok && !choice.Free && q.hint != "" {
		if at, hinted := e.table.At(now, query, q.hint); hinted && at.Free {
			choice = at
		}
	}
	if !ok {
		return false
	}
	wait := choice.Wait
	if c.Urgency == spec.Urgent {
		wait /= urgentOptimism
	}
	inTime := !c.bound() || !now.Add(wait+choice.First).After(c.Deadline)
	switch {
	case c.Urgency == spec.Urgent && (!choice.Sure || c.retracts > 0) && e.preempt(now, q, c):
		// Without this, short work waits behind long streams whenever the estimate of the load is too low, as it was if the
		// call found a full replica before.
		return true
	case choice.Free && (inTime || !now.Add(choice.First/2).After(c.Deadline)):
		// The first-token time is a mean, and half of it is common with a cached prompt prefix.
	case c.Urgency == spec.Urgent && inTime:
		// Engines start waiting requests by priority, so urgent work waits there and not here.
	case c.Urgency == spec.Normal && inTime && e.belowFairShare(q):
		// Without this, a host that comes late to a saturated model finds every slot refilled by the others.
	default:
		return false
	}
	e.send(now, c, choice, false)
	return true
}

// belowFairShare reports whether this host has less than its part of the slots and of what may wait for them at engines.
// Without any waiting there, a slot stays free until the host whose turn it is learns of it.
func (e *Entry) belowFairShare(q *queue) bool {
	l := e.table.Load(q.model)
	return l.Own < max(int(fairPart*float64(l.Slots)/float64(e.hosts)+0.5), 1)
}

func (e *Entry) mayAge(q *queue) bool {
	aged := 0
	for _, c := range q.streams {
		if c.aged {
			aged++
		}
	}
	return aged < max(e.table.Load(q.model).Slots/agedPart, 1)
}

// list makes a stream of bulk work known as one that may be preempted.
func (e *Entry) list(c *call) {
	if c.Urgency == spec.Bulk && c.place < 0 {
		c.place = len(c.queue.streams)
		c.queue.streams = append(c.queue.streams, c)
	}
}

func (e *Entry) unlist(c *call) {
	if c.place < 0 {
		return
	}
	s := c.queue.streams
	last := len(s) - 1
	s[c.place] = s[last]
	s[c.place].place = c.place
	s[last] = nil
	c.queue.streams, c.place = s[:last], -1
}

// preempt cancels a bulk stream in favour of an urgent call that would wait. The engine gives the slot to the urgent call,
// because that call is sent at once and goes first there.
func (e *Entry) preempt(now time.Time, q *queue, c *call) bool {
	var victim *call
	for _, v := range q.streams {
		if e.mayPreempt(now, v) && v.better(victim) {
			if choice, ok := e.table.At(now, c.query(""), v.attempt(v.delivers).upstream); ok &&
				!now.Add(choice.First).After(c.Deadline) {
				victim = v
			}
		}
	}
	if victim == nil {
		return false
	}
	choice, _ := e.table.At(now, c.query(""), victim.attempt(victim.delivers).upstream)
	choice.Wait = 0
	choice.Free = false // The time to the first token includes the cancellation and is no sample of the upstream's speed.
	e.suspend(victim)
	e.send(now, c, choice, false)
	return true
}

func (e *Entry) suspend(v *call) {
	e.unlist(v)
	v.state = suspended
	e.cancel(v, v.attempt(v.delivers))
}

// better prefers the victim that was preempted less often, and then the one that started last.
func (c *call) better(than *call) bool {
	return than == nil || c.preempted < than.preempted || c.preempted == than.preempted && c.streamAt.After(than.streamAt)
}

// mayPreempt protects progress: a stream runs for a quantum that grows with each preemption, and their number is limited. An
// aged stream is no exception: under load most streams are aged, and urgent calls would find none to preempt.
func (e *Entry) mayPreempt(now time.Time, v *call) bool {
	a := v.attempt(v.delivers)
	if a == nil || a.cancelled || a.lost || !v.Repeatable {
		return false
	}
	if e.mutant.endlessBulk {
		return true
	}
	return v.preempted < e.settings.MaxPreemptions &&
		now.Sub(v.streamAt) >= time.Duration(float64(e.settings.Quantum)*math.Pow(quantumGrowth, float64(v.preempted)))
}

// refuseUnknown ends a waiting call whose model was removed from the configuration.
func (e *Entry) refuseUnknown(c *call) {
	if c.started {
		e.refuse(c, codes.StreamBroken, 0)
		return
	}
	e.refuse(c, codes.UnknownModel, 0)
}
