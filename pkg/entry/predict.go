package entry

import (
	"slices"
	"time"

	"github.com/fireflycleat/fireflycleat/pkg/codes"
	"github.com/fireflycleat/fireflycleat/pkg/route"
	"github.com/fireflycleat/fireflycleat/pkg/spec"
)

const (
	// A request is admitted to the queue if it starts in time even when the queue drains slower than predicted, and is
	// refused later only if it misses although the queue drains faster. The gap keeps noise of the prediction from
	// refusing admitted requests.
	admitMargin = 1.25
	keepMargin  = 0.75
	// The same for normal and bulk work, which later requests overtake. At twice the capacity, 81% of the refusals were sent at
	// once with 1.25, and 90% with 2; with 3 fewer than 80% of the callers who returned as told succeeded in one run of six.
	patientMargin = 2

	leastShare    = 0.1              // Least share of the drain rate that a class is predicted to get.
	crowdedShare  = 0.005            // The same for bulk work while other work usually takes all slots; zero would mean unknown.
	forecastGrace = 2 * time.Second  // A forecast stays valid this long after its time, because directories lag.
	refusalTime   = time.Second      // A refused forecast answers for new requests this long at most.
	resumeLimit   = 60 * time.Second // A started stream waits this long for any replica.
)

type (
	// forecast is the last answer of the controller for a model and adapter.
	forecast struct {
		readyAt    time.Time
		refused    bool
		code       codes.Code
		retryAfter time.Duration
		crowd      float64
		until      time.Time // until is the end of validity.
	}

	// outlook is the prediction for all waiting calls of a model at one moment.
	outlook struct {
		load  route.Load
		slots int              // slots is that of one new replica.
		rate  [classes]float64 // rate is the number of calls of the class that this host can start each second.
	}

	// arrival is the expected time of a replica; known is false if the controller has not answered.
	arrival struct {
		at      time.Time
		known   bool
		refused bool
		code    codes.Code
		crowd   float64 // crowd is the number of waiting calls of all hosts for each one of this host.
	}
)

func (e *Entry) forecast(now time.Time, f Forecast) {
	q := e.queues[f.Model]
	if q == nil || len(q.demands) == 0 && len(q.calls) == 0 {
		return // Nothing waits, so the answer would only take memory.
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
		until = now.Add(min(max(f.RetryAfter, e.settings.DemandInterval), refusalTime))
	}
	q.forecasts[f.Adapter] = &forecast{
		readyAt: f.ReadyAt, refused: f.Refused, retryAfter: f.RetryAfter, until: until, code: f.Code,
		// The calls of other hosts are taken to be interleaved evenly with those of this one.
		crowd: 1 + float64(f.Others)/float64(max(len(q.calls), 1)),
	}
	e.mark(q)
}

func (e *Entry) outlook(now time.Time, q *queue) outlook {
	o := outlook{load: e.table.Load(q.model), slots: 1}
	if m, ok := e.view.Model(q.model); ok {
		o.slots = m.Slots
	}
	fair := min(max(o.load.Slots/e.hosts, 1), max(o.load.All, 1))
	share := 1.0
	if o.load.All >= o.load.Slots && o.load.Slots > 0 {
		share = min(float64(max(o.load.Own, fair))/float64(max(o.load.All, 1)), 1)
	}
	rate, higher := o.load.Rate*share, 0.0
	for c := range o.rate {
		o.rate[c] = max(rate-higher, leastShare*rate)
		higher += q.rates[c].now(now, rateSpan)
	}
	if !o.load.BulkRoom {
		o.rate[spec.Bulk] = crowdedShare * rate
	}
	return o
}

// look returns whether a replica for the adapter is ready, and otherwise when one is expected.
func (e *Entry) look(q *queue, adapter string) (bool, arrival) {
	if e.table.Candidates(q.model, adapter) > 0 {
		return true, arrival{}
	}
	if f := q.forecasts[adapter]; f != nil {
		return false, arrival{at: f.readyAt, known: true, refused: f.refused, code: f.code, crowd: f.crowd}
	}
	if at := e.table.Loading(q.model); adapter == "" && !at.IsZero() {
		return false, arrival{at: at, known: true, crowd: 1}
	}
	return false, arrival{}
}

// failAt returns the moment from which the call can no longer be in time, if nothing changes before. Ahead is the number of
// calls before it, and margin scales the predicted drain time.
func (e *Entry) failAt(now time.Time, q *queue, o *outlook, c *call, ahead int, margin float64) (time.Time, codes.Code) {
	ready, plan := e.look(q, c.Adapter)
	if !c.bound() {
		if ready {
			return now.Add(noDeadline), codes.OK
		}
		return c.since.Add(resumeLimit), codes.StreamBroken
	}
	latest := c.Deadline.Add(-o.load.First)
	switch {
	case ready:
		return latest.Add(-o.drain(c.Urgency, ahead+1, margin)), codes.OverCapacity
	case !plan.known:
		return earlier(latest, c.since.Add(e.settings.ForecastWait)), codes.NoTimeToLoad
	case plan.refused:
		return now, plan.code
	}
	place := int(float64(ahead+1) * plan.crowd)
	at := latest.Add(-o.drain(c.Urgency, place-o.slots, margin))
	if plan.at.After(at) {
		return now, codes.NoTimeToLoad
	}
	return at, codes.NoTimeToLoad
}

// drain returns the predicted time until that many calls of the class have started.
func (o *outlook) drain(u spec.Urgency, calls int, margin float64) time.Duration {
	if calls <= 0 || o.rate[u] <= 0 {
		return 0
	}
	return time.Duration(float64(calls) / o.rate[u] * margin * float64(time.Second))
}

// refuseLate refuses the waiting calls whose prediction fails, notes when the next one would, and reports whether it
// refused any.
func (e *Entry) refuseLate(now time.Time, q *queue) bool {
	q.failAt = time.Time{}
	if len(q.calls) == 0 {
		return false
	}
	_, known := e.view.Model(q.model)
	o := e.outlook(now, q)
	ahead := 0
	waiting := slices.Clone(q.calls)
	for _, c := range waiting {
		if !known {
			e.refuseUnknown(c)
			continue
		}
		at, code := e.callFailAt(now, q, &o, c, ahead)
		if !at.After(now) {
			e.refuse(c, code, e.promise(now, c))
			continue
		}
		if c.fresh { // It passed the stricter test; from now on the other margin counts.
			c.fresh = false
			at, _ = e.callFailAt(now, q, &o, c, ahead)
		}
		q.failAt = earlier(q.failAt, at)
		ahead++
	}
	return ahead < len(waiting)
}

func (e *Entry) callFailAt(now time.Time, q *queue, o *outlook, c *call, ahead int) (time.Time, codes.Code) {
	if e.mutant.lateRefusal && c.bound() {
		return c.Deadline, codes.DeadlineMissed
	}
	if !c.fresh {
		return e.failAt(now, q, o, c, ahead, keepMargin)
	}
	if !c.promised { // Callers who return as they were told go first.
		ahead += q.books[c.Urgency].dueBy(now.Add(o.drain(c.Urgency, ahead+1, 1)))
	}
	margin := admitMargin
	if c.Urgency != spec.Urgent {
		margin = patientMargin
	}
	return e.failAt(now, q, o, c, ahead, margin)
}

// nextDue returns when the queue has to be looked at again if nothing happens before.
func (e *Entry) nextDue(now time.Time, q *queue) time.Time {
	next := q.failAt
	if len(q.calls) > 0 {
		next = earlier(next, q.refreshAt)
	}
	for _, c := range q.calls {
		if c.notBefore.After(now) {
			next = earlier(next, c.notBefore)
		}
		if c.started && !c.aged {
			next = earlier(next, c.since.Add(ageAfter))
		}
	}
	for _, f := range q.forecasts {
		next = earlier(next, f.until)
	}
	for _, d := range q.demands {
		next = earlier(next, d.next)
	}
	for c := range q.books {
		next = earlier(next, q.books[c].expiry())
	}
	return next
}

// expire drops promises and forecasts whose time has passed.
func (q *queue) expire(now time.Time) {
	for c := range q.books {
		q.lapse(now, spec.Urgency(c))
	}
	for a, f := range q.forecasts {
		if !f.until.After(now) {
			delete(q.forecasts, a)
		}
	}
}
