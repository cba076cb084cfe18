package cell

import (
	"slices"
	"time"

	"github.com/fireflycleat/fireflycleat/pkg/codes"
)

const (
	// promiseGrace is the time after the promised retry for which the model counts as wanted.
	promiseGrace = 10 * time.Second
	// retryMargin is the part by which a retry time exceeds the predicted time, so that small errors of the prediction do
	// not make the retry fail.
	retryMargin = 0.1
	// forecastChange is the least change of a prediction that is told to the entries.
	forecastChange = 500 * time.Millisecond
	// notHolderRetry is the retry time of a daemon that does not hold the lease.
	notHolderRetry = time.Second
	// patience is the number of claim intervals after which a load without permit is taken to be impossible for now.
	patience = 3
)

// predictBlocked estimates when a model is ready that may not be loaded yet: it waits for a permit, a lease confirmation
// or a settled upstream.
func (c *Controller) predictBlocked(m *model) {
	if c.now.Sub(later(m.wantedSince, c.gainedAt)) > patience*c.set.ClaimInterval {
		m.blocked = true
		return
	}
	m.readyAt = c.now.Add(c.set.ClaimInterval/2 + c.loadTime(m, c.nearest(m)))
}

// predict returns when the first replica of the model is ready; zero means that there is no prediction.
func (c *Controller) predict(m *model) time.Time {
	var at time.Time
	for _, r := range m.replicas {
		if r.retire != keep || r.lost || r.phase > loaded || r.up.leaving {
			continue
		}
		if r.phase == loaded && r.ready {
			return c.now
		}
		if t := expectedEnd(r, c.now); at.IsZero() || t.Before(at) {
			at = t
		}
	}
	if at.IsZero() && m.missing > 0 {
		return m.readyAt
	}
	return at
}

// answerDemands sends the forecasts that are due: the first for a demand, and later ones when the prediction changed.
func (c *Controller) answerDemands() {
	for _, m := range c.models {
		if len(m.demands) == 0 {
			continue
		}
		at, waiters := c.predict(m), m.waiters()
		for i := range m.demands {
			c.answer(m, &m.demands[i], at, waiters)
		}
		m.demands = slices.DeleteFunc(m.demands, func(d demand) bool {
			// The host has the work wait at another cell now, which may ask for the permit.
			return d.refused && d.Elsewhere && at.IsZero()
		})
		if len(m.demands) == 0 {
			m.missing = 0
			c.touch(m)
		}
	}
}

func (c *Controller) answer(m *model, d *demand, at time.Time, waiters int) {
	if d.refused {
		return
	}
	if d.Adapter != "" && !at.IsZero() {
		at = at.Add(c.adapterDelay(m, d.Adapter))
	}
	f := Forecast{Host: d.Host, Model: d.Model, Adapter: d.Adapter, ReadyAt: at}
	switch {
	case !m.known:
		f.Refused, f.Code, f.RetryAfter = true, codes.UnknownModel, c.set.RetryDefault
	case at.IsZero():
		f.Refused, f.Code, f.RetryAfter = true, codes.OverCapacity, c.set.RetryDefault
	case at.After(c.now) && !d.EarliestDeadline.IsZero() && at.After(d.EarliestDeadline):
		wait := at.Sub(c.now)
		f.Refused, f.Code = true, codes.NoTimeToLoad
		f.RetryAfter = wait + time.Duration(float64(wait)*retryMargin)
		m.promised = later(m.promised, c.now.Add(f.RetryAfter+promiseGrace))
	case d.answered && at.Sub(d.sent).Abs() < forecastChange, d.answered && !at.After(c.now):
		return
	}
	d.answered, d.refused, d.sent = true, f.Refused, at
	if f.Refused {
		c.sums.refusals++
	}
	for _, x := range m.demands {
		if x.Host == d.Host {
			waiters -= x.Urgent + x.Normal + x.Bulk
		}
	}
	f.Others = waiters
	c.emit(f)
}

// adapterDelay returns the predicted time until the adapter is loaded on a ready replica.
func (c *Controller) adapterDelay(m *model, name string) time.Duration {
	for _, r := range m.replicas {
		if a := r.adapter(name); a != nil && m.serving(r) && a.phase == loaded {
			return 0
		}
	}
	return c.set.AdapterTime * time.Duration(1+c.adapting/max(c.set.AdaptersInFlight, 1))
}

// refuseNotHolder answers a demand that reached a daemon without the lease.
func (c *Controller) refuseNotHolder(e Demand) {
	c.emit(Forecast{
		Host: e.Host, Model: e.Model, Adapter: e.Adapter, Refused: true, Code: codes.NotReady, RetryAfter: notHolderRetry,
	})
}
