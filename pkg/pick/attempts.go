package pick

import (
	"sync/atomic"
	"time"

	"github.com/fireflycleat/fireflycleat/pkg/place"
)

// StartAttempt records the start of an attempt at the chosen upstream.
func (t *Table) StartAttempt(now time.Time, c Choice, q Query) *Attempt {
	a := &Attempt{choice: c, key: q.Key, startedAt: now, upstreamLastEvent: new(atomic.Int64), gate: t.gate(Process{c.Upstream, c.Born})}
	if s, ok := t.process(c); ok {
		a.upstreamLastEvent = s.lastEvent
		s.inFlight[a] = true
		s.started[q.Key]++
	}
	if q.Session != 0 {
		t.sessions[sessionKey{q.Key, q.Session}] = session{c.Upstream, now}
	}
	return a
}

// DropAttempt removes an attempt that is not made.
func (t *Table) DropAttempt(a *Attempt) {
	if s, ok := t.process(a.choice); ok {
		delete(s.inFlight, a)
		if s.started[a.key] > 0 { // Otherwise it has been reported already.
			s.started[a.key]--
		}
	}
}

// process returns the state of the chosen upstream, unless its process has been replaced since: attempts at the earlier one tell nothing about it.
func (t *Table) process(c Choice) (*upstreamState, bool) {
	s, ok := t.upstreams[c.Upstream]
	return s, ok && s.entry.Born == c.Born
}

// Touch records an event of the attempt; it may be called from any goroutine.
func (a *Attempt) Touch(now time.Time) {
	a.lastEvent.Store(now.UnixNano())
	a.upstreamLastEvent.Store(now.UnixNano())
}

// Stuck returns another upstream that would probably answer the request earlier, if there is one. The other upstream must hold the model
// and have free capacity. The current one must have sent no event to any request of this host for too long, or be late compared
// with its own mean and run more requests than the other.
func (t *Table) Stuck(now time.Time, a *Attempt, q Query) (other Choice, stuck bool) {
	idle := now.Sub(a.startedAt)
	if last := a.lastEvent.Load(); last != 0 {
		idle = now.Sub(time.Unix(0, last))
	}
	q.Exclude = map[string]bool{a.choice.Upstream: true}
	other, ok := t.Choose(now, q)
	if !ok || other.Running >= t.efficientSlots(other.Upstream) || t.gate(Process{other.Upstream, other.Born}).perSecond() > 0 {
		return other, false // An upstream with many requests, or with a limit, would refuse this one or serve it no earlier.
	}
	if now.Sub(time.Unix(0, a.upstreamLastEvent.Load())) > silenceLimit && idle > silenceLimit {
		return other, true
	}
	s, known := t.upstreams[a.choice.Upstream]
	mean := 0.0
	if known {
		mean = s.meanFirstEvent
	}
	return other, idle.Seconds() > max(silenceLimit.Seconds(), lateFactor*mean) && other.Running < t.running(a.choice.Upstream)
}

// RecordFirstEvent records the first event of an attempt.
func (t *Table) RecordFirstEvent(now time.Time, a *Attempt) {
	a.gotFirst, a.firstAt = true, now
	s, ok := t.process(a.choice)
	if !ok {
		return
	}
	d := now.Sub(a.startedAt).Seconds()
	if s.meanFirstEvent == 0 {
		s.meanFirstEvent = d
		return
	}
	s.meanFirstEvent = timeDecay*s.meanFirstEvent + (1-timeDecay)*d
}

// EndAttempt records the end of an attempt.
func (t *Table) EndAttempt(now time.Time, a *Attempt, r Result) {
	s, ok := t.process(a.choice)
	if !ok {
		return
	}
	delete(s.inFlight, a)
	switch r {
	case Served:
		s.errorRate *= errorDecay
		s.failures = 0
		t.recordRun(now, s, a)
		t.recordStay(now, s, a)
	case Errored:
		s.errorRate = errorDecay*s.errorRate + (1 - errorDecay)
	case Refused:
		s.refusedAt = now
	case Broken, TimedOut, Missing:
		if r == Missing && a.key.Model != "" {
			t.Learn(now, a.choice.Upstream, a.key, false)
			break
		}
		s.errorRate = errorDecay*s.errorRate + (1 - errorDecay)
		s.avoidedUntil = now.Add(min(minAvoidance<<min(s.failures, 8), maxAvoidance))
		s.failures++
	case Abandoned:
	}
	if s.removed && len(s.inFlight) == 0 {
		delete(t.upstreams, a.choice.Upstream)
	}
}

// recordRun updates the mean run times with a served attempt.
func (t *Table) recordRun(now time.Time, s *upstreamState, a *Attempt) {
	if !a.gotFirst || a.key.Model == "" {
		return
	}
	d := now.Sub(a.firstAt).Seconds()
	update := func(mean float64) float64 {
		if mean == 0 {
			return d
		}
		return timeDecay*mean + (1-timeDecay)*d
	}
	s.meanRun, t.meanRun[s.entry.Service] = update(s.meanRun), update(t.meanRun[s.entry.Service])
}

// recordStay records a served attempt, with the mean time of those at the service.
func (t *Table) recordStay(now time.Time, s *upstreamState, a *Attempt) {
	s.served[a.key]++
	if !s.removed {
		t.rates.Served(s.entry.ID, 1)
	}
	service, stay := t.service(s.entry.Service), now.Sub(a.startedAt).Seconds()
	if service.meanStay == 0 {
		service.meanStay = stay
	}
	service.meanStay += stayWeight * (stay - service.meanStay)
}

// RecordDemand counts a request that the upstream did not get because its queue is too long, so that the controller sees the demand.
func (t *Table) RecordDemand(c Choice, k place.Key) {
	if s, ok := t.upstreams[c.Upstream]; ok {
		s.started[k]++
	}
}

// efficientSlots returns the number of requests that an upstream with models can run without delaying their tokens noticeably.
func (t *Table) efficientSlots(id string) int {
	s, ok := t.upstreams[id]
	if !ok {
		return 0
	}
	return min(s.entry.Slots, maxEfficientRunning)
}
