package entry

import (
	"slices"
	"time"

	"github.com/fireflycleat/fireflycleat/pkg/codes"
	"github.com/fireflycleat/fireflycleat/pkg/route"
	"github.com/fireflycleat/fireflycleat/pkg/spec"
)

const (
	// admitMargin and keepMargin are factors on the predicted drain time. A request is admitted only if it starts in time even
	// when the queue drains slower than predicted (admitMargin), and is refused later only if it would be late even when the
	// queue drains faster (keepMargin). The gap prevents prediction noise from refusing admitted requests.
	admitMargin = 1.25
	keepMargin  = 0.75
	// nonUrgentAdmitMargin is the admission margin for normal and bulk requests, which later requests may overtake. At twice the
	// capacity, 90% of the refusals are sent on arrival, compared to 81% with 1.25; with 3, fewer than 80% of the retries at the
	// given time succeed in one run of six.
	nonUrgentAdmitMargin = 2

	minRateShare       = 0.1              // minimum share of the drain rate that a class is predicted to get
	saturatedBulkShare = 0.005            // the same for bulk work if other work usually takes all slots; 0 would mean an unknown rate
	forecastGrace      = 2 * time.Second  // validity of a forecast beyond its ready time, because directories lag
	maxRefusalValidity = time.Second      // maximum time for which a refused forecast applies to new requests
	maxResumeWait      = 60 * time.Second // how long a started stream waits for any replica
)

type (
	// forecast is the last forecast of the controller for a model and adapter.
	forecast struct {
		readyAt        time.Time
		refused        bool
		code           codes.Code
		retryAfter     time.Duration
		allHostsFactor float64 // waiting calls of all hosts per waiting call of this host
		validUntil     time.Time
	}

	// prediction holds the inputs for the predicted start times of the queued calls of a model.
	prediction struct {
		load            route.Load
		newReplicaSlots int                 // slots of one newly loaded replica
		rate            [classCount]float64 // calls per second that this host can start, by urgency
	}

	// expectedReplica is the expected ready time of a replica; known is false if neither a forecast nor a directory gives one.
	expectedReplica struct {
		at             time.Time
		known          bool
		refused        bool
		code           codes.Code
		allHostsFactor float64 // waiting calls of all hosts per waiting call of this host
	}
)

func (e *Entry) forecast(now time.Time, f Forecast) {
	q := e.queues[f.Model]
	if q == nil || len(q.demands) == 0 && len(q.calls) == 0 {
		return // no pending requests, so the forecast would only use memory
	}
	if !f.Refused && f.ReadyAt.IsZero() {
		delete(q.forecasts, f.Adapter)
		return
	}
	if f.Code == codes.OK {
		f.Code = codes.OverCapacity
	}
	until := f.ReadyAt.Add(forecastGrace)
	if f.Refused {
		until = now.Add(min(max(f.RetryAfter, e.settings.DemandInterval), maxRefusalValidity))
	}
	q.forecasts[f.Adapter] = &forecast{
		readyAt: f.ReadyAt, refused: f.Refused, retryAfter: f.RetryAfter, validUntil: until, code: f.Code,
		// Assumes that the calls of other hosts are evenly interleaved with those of this host.
		allHostsFactor: 1 + float64(f.PeerRequests)/float64(max(len(q.calls), 1)),
	}
	e.markDirty(q)
}

func (e *Entry) predict(now time.Time, q *queue) prediction {
	p := prediction{load: e.table.Load(q.model), newReplicaSlots: 1}
	if m, ok := e.view.Model(q.model); ok {
		p.newReplicaSlots = m.Slots
	}
	fairSlots := min(max(p.load.Slots/e.liveHosts, 1), max(p.load.InFlight, 1))
	share := 1.0
	if p.load.InFlight >= p.load.Slots && p.load.Slots > 0 {
		share = min(float64(max(p.load.Local, fairSlots))/float64(max(p.load.InFlight, 1)), 1)
	}
	rate, higherRate := p.load.Rate*share, 0.0
	for c := range p.rate {
		p.rate[c] = max(rate-higherRate, minRateShare*rate)
		higherRate += q.rates[c].current(now, rateTimeConstant)
	}
	if !p.load.BulkAllowed {
		p.rate[spec.Bulk] = saturatedBulkShare * rate
	}
	return p
}

// replicaReadiness reports whether a replica with the adapter is ready, and otherwise when one is expected.
func (e *Entry) replicaReadiness(q *queue, adapter string) (bool, expectedReplica) {
	if e.table.Candidates(q.model, adapter) > 0 {
		return true, expectedReplica{}
	}
	if f := q.forecasts[adapter]; f != nil {
		return false, expectedReplica{at: f.readyAt, known: true, refused: f.refused, code: f.code, allHostsFactor: f.allHostsFactor}
	}
	if at := e.table.EarliestReady(q.model); adapter == "" && !at.IsZero() {
		return false, expectedReplica{at: at, known: true, allHostsFactor: 1}
	}
	return false, expectedReplica{}
}

// refuseAt returns the time at which the call has to be refused if nothing changes until then, because it can no longer start
// in time, and the code of that refusal. The queue holds ahead calls before it; margin scales the predicted drain time.
func (e *Entry) refuseAt(now time.Time, q *queue, p *prediction, c *call, ahead int, margin float64) (time.Time, codes.Code) {
	ready, expected := e.replicaReadiness(q, c.Adapter)
	if !c.deadlineApplies() {
		if ready {
			return now.Add(noDeadline), codes.OK
		}
		return c.queuedAt.Add(maxResumeWait), codes.StreamBroken
	}
	latest := c.Deadline.Add(-p.load.First)
	switch {
	case ready:
		return latest.Add(-p.drainTime(c.Urgency, ahead+1, margin)), codes.OverCapacity
	case !expected.known:
		return earlier(latest, c.queuedAt.Add(e.settings.ForecastWait)), codes.NoTimeToLoad
	case expected.refused:
		return now, expected.code
	}
	position := int(float64(ahead+1) * expected.allHostsFactor)
	at := latest.Add(-p.drainTime(c.Urgency, position-p.newReplicaSlots, margin))
	if expected.at.After(at) {
		return now, codes.NoTimeToLoad
	}
	return at, codes.NoTimeToLoad
}

// drainTime returns the predicted time until the given number of calls of the class have started.
func (p *prediction) drainTime(u spec.Urgency, calls int, margin float64) time.Duration {
	if calls <= 0 || p.rate[u] <= 0 {
		return 0
	}
	return time.Duration(float64(calls) / p.rate[u] * margin * float64(time.Second))
}

// refuseLate refuses the queued calls that are predicted to miss their deadline, sets q.refuseAt to the time of the next
// such refusal and reports whether it refused any call.
func (e *Entry) refuseLate(now time.Time, q *queue) bool {
	q.refuseAt = time.Time{}
	if len(q.calls) == 0 {
		return false
	}
	_, known := e.view.Model(q.model)
	p := e.predict(now, q)
	ahead := 0
	waiting := slices.Clone(q.calls)
	for _, c := range waiting {
		if !known {
			e.refuseUnknown(c)
			continue
		}
		at, code := e.callRefuseAt(now, q, &p, c, ahead)
		if !at.After(now) {
			e.refuse(c, code, e.reserveRetry(now, c))
			continue
		}
		if c.newlyArrived { // admitted; keepMargin applies from now on
			c.newlyArrived = false
			at, _ = e.callRefuseAt(now, q, &p, c, ahead)
		}
		q.refuseAt = earlier(q.refuseAt, at)
		ahead++
	}
	return ahead < len(waiting)
}

func (e *Entry) callRefuseAt(now time.Time, q *queue, p *prediction, c *call, ahead int) (time.Time, codes.Code) {
	if e.mutant.lateRefusal && c.deadlineApplies() {
		return c.Deadline, codes.DeadlineMissed
	}
	if !c.newlyArrived {
		return e.refuseAt(now, q, p, c, ahead, keepMargin)
	}
	if !c.hasRetrySlot { // Callers who retry at the given time go first.
		ahead += q.retrySchedules[c.Urgency].dueBy(now.Add(p.drainTime(c.Urgency, ahead+1, 1)))
	}
	margin := admitMargin
	if c.Urgency != spec.Urgent {
		margin = nonUrgentAdmitMargin
	}
	return e.refuseAt(now, q, p, c, ahead, margin)
}

// nextDue returns when the queue must be processed again if no event touches it before.
func (e *Entry) nextDue(now time.Time, q *queue) time.Time {
	next := q.refuseAt
	if len(q.calls) > 0 {
		next = earlier(next, q.refreshAt)
	}
	for _, c := range q.calls {
		if c.notBefore.After(now) {
			next = earlier(next, c.notBefore)
		}
		if c.started && !c.aged {
			next = earlier(next, c.queuedAt.Add(ageAfter))
		}
	}
	for _, f := range q.forecasts {
		next = earlier(next, f.validUntil)
	}
	for _, d := range q.demands {
		next = earlier(next, d.nextCheck)
	}
	for c := range q.retrySchedules {
		next = earlier(next, q.retrySchedules[c].nextExpiry())
	}
	return next
}

// expire removes expired retry slots and forecasts.
func (q *queue) expire(now time.Time) {
	for c := range q.retrySchedules {
		q.expireRetrySlots(now, spec.Urgency(c))
	}
	for a, f := range q.forecasts {
		if !f.validUntil.After(now) {
			delete(q.forecasts, a)
		}
	}
}
