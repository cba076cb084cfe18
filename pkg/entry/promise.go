package entry

import (
	"slices"
	"time"

	"github.com/fireflycleat/fireflycleat/pkg/spec"
)

const (
	// Share of the drain rate that is promised to returning callers. With all of it, and twice the capacity demanded, 87% of
	// them succeeded; with 0.5, 93% did, but the retry times were twice as long.
	promiseShare = 0.7
	promiseEarly = 100 * time.Millisecond // A caller may return this much before the promised time.
	promiseLate  = 2 * time.Second        // A promise is kept this long, because Retry-After has whole seconds.
	leastRetry   = 50 * time.Millisecond
	mostSpacing  = 30 * time.Second
)

type (
	// promise is a retry time that was given to a caller.
	promise struct {
		at          time.Time
		fingerprint uint64
		adapter     string
	}

	// book lists the outstanding promises of a class in order of time.
	book struct {
		next     time.Time // next is the earliest time that is not promised yet.
		promises []promise
	}
)

// promise returns the time after which the caller of a refused call should retry. The times are spread at the rate at which
// the host can start such calls, and what was promised counts as taken.
func (e *Entry) promise(now time.Time, c *call) time.Duration {
	q := c.queue
	o := e.outlook(now, q)
	base := now.Add(leastRetry)
	// Most refusals happen while the momentary rate is low, so the rate of sends over a longer time is the better measure.
	rate := max(o.rate[c.Urgency], q.usual[c.Urgency].full(now, usualSpan)) * promiseShare
	if ready, plan := e.look(q, c.Adapter); !ready {
		rate /= float64(e.hosts)
		switch f := q.forecasts[c.Adapter]; {
		case plan.refused:
			base = now.Add(max(f.retryAfter, leastRetry))
		case plan.known:
			base = later(base, plan.at)
		default:
			if m, ok := e.view.Model(c.Model); ok {
				base = now.Add(m.LoadTime())
			}
		}
	}
	spacing := mostSpacing
	if rate > 0 {
		spacing = min(time.Duration(float64(time.Second)/rate), mostSpacing)
	}
	if e.mutant.noPromise {
		return base.Sub(now)
	}
	b := &q.books[c.Urgency]
	at := later(base, b.next)
	if at.Sub(now) > e.settings.MaxRetryAfter {
		return e.jitter(e.settings.MaxRetryAfter/2, e.settings.MaxRetryAfter/2)
	}
	b.next = at.Add(spacing)
	at = at.Add(e.jitter(0, spacing/2))
	b.promises = append(b.promises, promise{at: at, fingerprint: c.Fingerprint, adapter: c.Adapter})
	q.count(c.Adapter, c.Urgency, 1)
	e.mark(q)
	return at.Sub(now)
}

// redeem reports whether the caller of the call returned at the time that it was told, and uses up the promise.
func (q *queue) redeem(now time.Time, c *call) bool {
	b := &q.books[c.Urgency]
	q.lapse(now, c.Urgency)
	if c.Fingerprint == 0 {
		return false
	}
	for i, p := range b.promises {
		if p.at.After(now.Add(promiseEarly)) {
			return false
		}
		if p.fingerprint == c.Fingerprint {
			b.promises = slices.Delete(b.promises, i, i+1)
			q.count(p.adapter, c.Urgency, -1)
			return true
		}
	}
	return false
}

func (q *queue) promises() int {
	sum := 0
	for c := range q.books {
		sum += len(q.books[c].promises)
	}
	return sum
}

// dueBy returns the number of outstanding promises up to the given time.
func (b *book) dueBy(at time.Time) int {
	i, _ := slices.BinarySearchFunc(b.promises, at, func(p promise, t time.Time) int { return p.at.Compare(t) })
	return i
}

// expiry returns when the first promise lapses; the zero time means never.
func (b *book) expiry() time.Time {
	if len(b.promises) == 0 {
		return time.Time{}
	}
	return b.promises[0].at.Add(promiseLate)
}

// lapse drops the promises of a class whose callers did not return in time.
func (q *queue) lapse(now time.Time, u spec.Urgency) {
	b := &q.books[u]
	n := 0
	for n < len(b.promises) && !b.promises[n].at.Add(promiseLate).After(now) {
		q.count(b.promises[n].adapter, u, -1)
		n++
	}
	b.promises = slices.Delete(b.promises, 0, n)
}

func later(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}
