package entry

import (
	"slices"
	"time"

	"github.com/fireflycleat/fireflycleat/pkg/spec"
)

const (
	// retryRateShare is the share of the drain rate that is reserved for retries. At twice the capacity, 87% of the retries
	// succeed with a share of 1, and 93% with 0.5, but 0.5 doubles the retry times.
	retryRateShare  = 0.7
	maxEarlyReturn  = 100 * time.Millisecond // how much earlier than its slot a retry is accepted
	maxLateReturn   = 2 * time.Second        // how long a slot is kept after its time, because Retry-After is in whole seconds
	minRetryAfter   = 50 * time.Millisecond
	maxRetrySpacing = 30 * time.Second
)

type (
	// retrySlot is a retry time that was given to a caller.
	retrySlot struct {
		at          time.Time
		fingerprint uint64
		adapter     string
	}

	// retrySchedule holds the outstanding retry slots of a class, ordered by time.
	retrySchedule struct {
		nextFree time.Time // earliest time that is not reserved yet
		slots    []retrySlot
	}
)

// reserveRetry reserves a retry slot and returns the time after which the caller of a refused call should retry. Slots are spread
// at the rate at which the host can start such calls.
func (e *Entry) reserveRetry(now time.Time, c *call) time.Duration {
	q := c.queue
	p := e.predict(now, q)
	base := now.Add(minRetryAfter)
	// Most refusals happen while the current rate is low, so the send rate over a longer time is more accurate.
	rate := max(p.rate[c.Urgency], q.longRates[c.Urgency].corrected(now, longRateTimeConstant)) * retryRateShare
	if ready, expected := e.replicaReadiness(q, c.Adapter); !ready {
		rate /= float64(e.liveHosts)
		switch f := q.forecasts[c.Adapter]; {
		case expected.refused:
			base = now.Add(max(f.retryAfter, minRetryAfter))
		case expected.known:
			base = later(base, expected.at)
		default:
			if m, ok := e.view.Model(c.Model); ok {
				base = now.Add(m.LoadTime())
			}
		}
	}
	spacing := maxRetrySpacing
	if rate > 0 {
		spacing = min(time.Duration(float64(time.Second)/rate), maxRetrySpacing)
	}
	if e.mutant.noRetrySpread {
		return base.Sub(now)
	}
	s := &q.retrySchedules[c.Urgency]
	at := later(base, s.nextFree)
	if at.Sub(now) > e.settings.MaxRetryAfter {
		return e.jitter(e.settings.MaxRetryAfter/2, e.settings.MaxRetryAfter/2)
	}
	s.nextFree = at.Add(spacing)
	at = at.Add(e.jitter(0, spacing/2))
	s.slots = append(s.slots, retrySlot{at: at, fingerprint: c.Fingerprint, adapter: c.Adapter})
	q.adjustDemand(c.Adapter, c.Urgency, 1)
	e.markDirty(q)
	return at.Sub(now)
}

// claimRetrySlot removes the retry slot of a caller who returns at the given time and reports whether there was one.
func (q *queue) claimRetrySlot(now time.Time, c *call) bool {
	s := &q.retrySchedules[c.Urgency]
	q.expireRetrySlots(now, c.Urgency)
	if c.Fingerprint == 0 {
		return false
	}
	for i, r := range s.slots {
		if r.at.After(now.Add(maxEarlyReturn)) {
			return false
		}
		if r.fingerprint == c.Fingerprint {
			s.slots = slices.Delete(s.slots, i, i+1)
			q.adjustDemand(r.adapter, c.Urgency, -1)
			return true
		}
	}
	return false
}

func (q *queue) outstandingRetries() int {
	sum := 0
	for c := range q.retrySchedules {
		sum += len(q.retrySchedules[c].slots)
	}
	return sum
}

// dueBy returns the number of outstanding slots before the given time.
func (s *retrySchedule) dueBy(at time.Time) int {
	i, _ := slices.BinarySearchFunc(s.slots, at, func(r retrySlot, t time.Time) int { return r.at.Compare(t) })
	return i
}

// nextExpiry returns when the first slot expires; the zero time means never.
func (s *retrySchedule) nextExpiry() time.Time {
	if len(s.slots) == 0 {
		return time.Time{}
	}
	return s.slots[0].at.Add(maxLateReturn)
}

// expireRetrySlots removes the slots of a class whose callers did not return in time.
func (q *queue) expireRetrySlots(now time.Time, u spec.Urgency) {
	s := &q.retrySchedules[u]
	n := 0
	for n < len(s.slots) && !s.slots[n].at.Add(maxLateReturn).After(now) {
		q.adjustDemand(s.slots[n].adapter, u, -1)
		n++
	}
	s.slots = slices.Delete(s.slots, 0, n)
}

func later(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}
