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
	classCount           = int(spec.Bulk) + 1
	rateTimeConstant     = 2 * time.Second // time constant of queue.rates
	refreshInterval      = time.Second
	longRateTimeConstant = 10 * time.Second
	ageAfter             = 10 * time.Second // queueing time after which a preempted stream goes first and may use reserved slots
	// urgentWaitDivisor divides the predicted wait of urgent calls. The prediction is a mean, and a waiting request takes nothing
	// from others. At twice the capacity, 3 loses 0.9% of urgent work; 1 loses 2.2%, of which 1.7% is refused.
	urgentWaitDivisor = 3
	quantumGrowth     = 1.25 // With 16 preemptions, the quanta from 0.5 s add up to 69 s.
	// fairShareFactor is the multiple of the fair share of slots up to which a host sends normal work to busy replicas. At twice
	// the capacity, the goodput is 0.96, compared to 0.94 with 1.0.
	fairShareFactor = 1.25
	agedSlotDivisor = 10 // Aged streams may use one slot in this many, and at least one.
)

type (
	// queue holds the waiting calls of one model, its learned rates and latencies, forecasts and reserved retries.
	queue struct {
		model          string
		calls          []*call            // waiting calls, sorted by compareCalls
		unstarted      map[string][]*call // calls that were sent and have no first token, by upstream
		preemptible    []*call            // bulk streams that may be preempted
		timer          timer
		dirty          bool
		openCalls      int              // calls that refer to the queue, including finished ones with open attempts
		refuseAt       time.Time        // when the next waiting call must be refused
		refreshAt      time.Time        // when outdated load reports are dropped next
		freedUpstream  string           // upstream at which a slot may have become free
		firstLatency   retry.Latency    // time to the first token
		rates          [classCount]rate // sends per second over rateTimeConstant
		longRates      [classCount]rate // sends per second over longRateTimeConstant
		retrySchedules [classCount]retrySchedule
		forecasts      map[string]*forecast // by adapter
		demands        map[string]*demand   // by adapter
	}

	// rate is an exponentially decaying rate of events per second.
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

func (r *rate) current(now time.Time, timeConstant time.Duration) float64 {
	return r.value * math.Exp(-now.Sub(r.at).Seconds()/timeConstant.Seconds())
}

func (r *rate) add(now time.Time, timeConstant time.Duration) {
	r.value, r.at = r.current(now, timeConstant)+1/timeConstant.Seconds(), now
	if r.start.IsZero() {
		r.start = now
	}
}

// corrected returns the rate corrected for the time before the first event.
func (r *rate) corrected(now time.Time, timeConstant time.Duration) float64 {
	observed := 1 - math.Exp(-max(now.Sub(r.start), time.Second).Seconds()/timeConstant.Seconds())
	return r.current(now, timeConstant) / observed
}

func (q *queue) recordSend(now time.Time, u spec.Urgency) {
	q.rates[u].add(now, rateTimeConstant)
	q.longRates[u].add(now, longRateTimeConstant)
}

// compareCalls orders waiting calls: aged streams first, then by urgency; within a class started streams, then calls with a retry
// slot or a failed attempt, then by deadline.
func compareCalls(a, b *call) int {
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
	case c.hasRetrySlot || c.failures > 0:
		return r + 1
	}
	return r + 2
}

func (e *Entry) enqueue(c *call) {
	q := c.queue
	i, _ := slices.BinarySearchFunc(q.calls, c, compareCalls)
	q.calls = slices.Insert(q.calls, i, c)
	c.state, c.inQueue = queued, true
	q.adjustDemand(c.Adapter, c.Urgency, 1)
	e.markDirty(q)
}

func (e *Entry) dequeue(c *call) {
	if !c.inQueue {
		return
	}
	q := c.queue
	i, _ := slices.BinarySearchFunc(q.calls, c, compareCalls)
	q.calls = slices.Delete(q.calls, i, i+1)
	c.inQueue = false
	q.adjustDemand(c.Adapter, c.Urgency, -1)
	e.markDirty(q)
}

// processQueue sends the calls that can be sent, refuses those that can no longer start in time and updates the demand.
func (e *Entry) processQueue(now time.Time, q *queue) {
	q.expire(now)
	if len(q.calls) > 0 && !q.refreshAt.After(now) {
		e.table.ExpireReports(now, q.model)
		q.refreshAt = now.Add(refreshInterval)
	}
	e.ageStreams(now, q)
	e.dispatch(now, q)
	for e.refuseLate(now, q) {
		// A refused call may have blocked the calls behind it.
		e.dispatch(now, q)
	}
	e.updateDemands(now, q)
	q.freedUpstream, q.dirty = "", false
	e.dirty = slices.DeleteFunc(e.dirty, func(o *queue) bool { return o == q })
	e.timers.set(&q.timer, e.nextDue(now, q))
	if _, ok := e.view.Model(q.model); !ok && q.empty() {
		delete(e.queues, q.model)
	}
}

func (q *queue) empty() bool {
	return q.openCalls+len(q.unstarted)+len(q.forecasts)+len(q.demands) == 0 && q.outstandingRetries() == 0
}

func (e *Entry) ageStreams(now time.Time, q *queue) {
	for _, c := range slices.Clone(q.calls) {
		if c.started && !c.aged && now.Sub(c.queuedAt) >= ageAfter {
			e.dequeue(c)
			c.aged = true
			e.enqueue(c)
		}
	}
}

// dispatch sends the waiting calls, in the order of the queue, to replicas that can accept them.
func (e *Entry) dispatch(now time.Time, q *queue) {
	var blocked []string // adapters without a free slot for the remaining calls
	for _, c := range slices.Clone(q.calls) {
		if c.notBefore.After(now) || c.Urgency != spec.Urgent && slices.Contains(blocked, c.Adapter) {
			continue
		}
		if e.trySend(now, q, c) || c.Urgency == spec.Urgent && e.preempt(now, q, c) {
			continue
		}
		if c.avoidUpstream == "" && !c.aged {
			blocked = append(blocked, c.Adapter)
		}
	}
}

func (e *Entry) trySend(now time.Time, q *queue, c *call) bool {
	if c.aged && !e.maySendAged(q) {
		return false
	}
	query := c.query(c.avoidUpstream)
	choice, ok := e.table.Pick(now, query)
	if !ok && c.avoidUpstream != "" {
		query.Exclude = ""
		choice, ok = e.table.Pick(now, query)
	}
	if ok && !choice.Free && q.freedUpstream != "" {
		if freed, listed := e.table.At(now, query, q.freedUpstream); listed && freed.Free {
			choice = freed
		}
	}
	if !ok {
		return false
	}
	wait := choice.Wait
	if c.Urgency == spec.Urgent {
		wait /= urgentWaitDivisor
	}
	inTime := !c.deadlineApplies() || !now.Add(wait+choice.First).After(c.Deadline)
	switch {
	case c.Urgency == spec.Urgent && (!choice.Sure || c.relocations > 0) && e.preempt(now, q, c):
		// Otherwise short calls wait behind long streams whenever the load estimate is too low; it was too low if the call was
		// relocated from a full replica.
		return true
	case choice.Free && (inTime || !now.Add(choice.First/2).After(c.Deadline)):
		// The expected first-token time is a mean; with a cached prompt prefix, half of it is common.
	case c.Urgency == spec.Urgent && inTime:
		// Engines start waiting requests by priority, so urgent calls wait there instead of here.
	case c.Urgency == spec.Normal && inTime && e.belowFairShare(q):
		// Otherwise a host that joins late at a saturated model finds every slot refilled by its peers.
	default:
		return false
	}
	e.send(now, c, choice, false)
	return true
}

// belowFairShare reports whether this host has fewer requests in flight than its share of the model's slots times
// fairShareFactor. The excess waits at engines: without it, a freed slot stays unused until the host that is entitled to the slot
// learns of it.
func (e *Entry) belowFairShare(q *queue) bool {
	l := e.table.Load(q.model)
	return l.Local < max(int(fairShareFactor*float64(l.Slots)/float64(e.liveHosts)+0.5), 1)
}

// maySendAged reports whether another aged stream may run without exceeding the share of slots for aged streams.
func (e *Entry) maySendAged(q *queue) bool {
	aged := 0
	for _, c := range q.preemptible {
		if c.aged {
			aged++
		}
	}
	return aged < max(e.table.Load(q.model).Slots/agedSlotDivisor, 1)
}

// addPreemptible adds the call, if it is bulk, to the streams that may be preempted.
func (e *Entry) addPreemptible(c *call) {
	if c.Urgency == spec.Bulk && c.streamIndex < 0 {
		c.streamIndex = len(c.queue.preemptible)
		c.queue.preemptible = append(c.queue.preemptible, c)
	}
}

func (e *Entry) removePreemptible(c *call) {
	if c.streamIndex < 0 {
		return
	}
	s := c.queue.preemptible
	last := len(s) - 1
	s[c.streamIndex] = s[last]
	s[c.streamIndex].streamIndex = c.streamIndex
	s[last] = nil
	c.queue.preemptible, c.streamIndex = s[:last], -1
}

// preempt suspends a bulk stream in favour of an urgent call that would otherwise wait. The engine gives the slot to that call,
// because it is sent immediately and has the highest priority there.
func (e *Entry) preempt(now time.Time, q *queue, c *call) bool {
	var victim *call
	for _, v := range q.preemptible {
		if e.mayPreempt(now, v) && v.betterVictim(victim) {
			if choice, ok := e.table.At(now, c.query(""), v.attempt(v.delivering).upstream); ok &&
				!now.Add(choice.First).After(c.Deadline) {
				victim = v
			}
		}
	}
	if victim == nil {
		return false
	}
	choice, _ := e.table.At(now, c.query(""), victim.attempt(victim.delivering).upstream)
	choice.Wait = 0
	choice.Free = false // The first-token time includes the cancellation, so it must not count as a sample.
	e.suspend(victim)
	e.send(now, c, choice, false)
	return true
}

func (e *Entry) suspend(v *call) {
	e.removePreemptible(v)
	v.state = suspended
	e.cancel(v, v.attempt(v.delivering))
}

// betterVictim reports whether the call should be preempted rather than the other: the one preempted less often, then the one
// that started last.
func (c *call) betterVictim(other *call) bool {
	return other == nil || c.preemptions < other.preemptions || c.preemptions == other.preemptions && c.streamStart.After(other.streamStart)
}

// mayPreempt reports whether a bulk stream may be preempted. To guarantee progress, a stream runs for a quantum that grows with
// each preemption, and preemptions are limited. Aged streams are not exempt: under load most streams are aged, and urgent calls
// would find none to preempt.
func (e *Entry) mayPreempt(now time.Time, v *call) bool {
	a := v.attempt(v.delivering)
	if a == nil || a.cancelled || a.upstreamGone || !v.Repeatable {
		return false
	}
	if e.mutant.unlimitedPreemption {
		return true
	}
	return v.preemptions < e.settings.MaxPreemptions &&
		now.Sub(v.streamStart) >= time.Duration(float64(e.settings.Quantum)*math.Pow(quantumGrowth, float64(v.preemptions)))
}

// refuseUnknown refuses a waiting call whose model was removed from the configuration.
func (e *Entry) refuseUnknown(c *call) {
	if c.started {
		e.refuse(c, codes.StreamBroken, 0)
		return
	}
	e.refuse(c, codes.UnknownModel, 0)
}
