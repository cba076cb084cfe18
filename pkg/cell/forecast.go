package cell

import (
	"slices"
	"time"

	"github.com/fireflycleat/fireflycleat/pkg/codes"
)

const (
	// retryGrace is the time for which a model still counts as in demand after the retry time given to a caller.
	retryGrace = 10 * time.Second
	// retryMargin is the fraction by which a retry time exceeds the predicted time, so that a small prediction error
	// does not make the retry fail.
	retryMargin = 0.1
	// forecastChange is the smallest change of a prediction that is reported to the hosts.
	forecastChange = 500 * time.Millisecond
	// notHolderRetry is the retry time given by a daemon that does not hold the lease.
	notHolderRetry = time.Second
	// maxBlockedIntervals is the number of claim intervals after which a load without a permit is considered impossible
	// for now.
	maxBlockedIntervals = 3
)

// predictBlocked predicts the ready time of a model whose load may not start yet, because it waits for a permit, a
// lease confirmation or a quiesced upstream. After maxBlockedIntervals claim intervals, the model is marked as blocked
// and gets no prediction.
func (c *Controller) predictBlocked(m *model) {
	if c.now.Sub(later(m.queuedSince, c.gainedAt)) > maxBlockedIntervals*c.settings.ClaimInterval {
		m.blocked = true
		return
	}
	m.predictedReadyAt = c.now.Add(c.settings.ClaimInterval/2 + c.loadTime(m, c.nearestTier(m)))
}

// predict returns when the first replica of the model is ready; zero means that there is no prediction.
func (c *Controller) predict(m *model) time.Time {
	var at time.Time
	for _, r := range m.replicas {
		if r.retireReason != notRetired || r.lost || r.phase > loaded || r.upstream.leaving {
			continue
		}
		if r.phase == loaded && r.ready {
			return c.now
		}
		if t := predictEnd(r, c.now); at.IsZero() || t.Before(at) {
			at = t
		}
	}
	if at.IsZero() && m.missing > 0 {
		return m.predictedReadyAt
	}
	return at
}

// sendForecasts sends the forecasts that are due: the first one for each demand, and later ones when the prediction
// changed.
func (c *Controller) sendForecasts() {
	for _, m := range c.models {
		if len(m.demands) == 0 {
			continue
		}
		at, waiting := c.predict(m), m.totalWaiting()
		for i := range m.demands {
			c.sendForecast(m, &m.demands[i], at, waiting)
		}
		m.demands = slices.DeleteFunc(m.demands, func(d demand) bool {
			// The host now lets the work wait at another cell, which may request the permit.
			return d.refused && d.Elsewhere && at.IsZero()
		})
		if len(m.demands) == 0 {
			m.missing = 0
			c.markDirty(m)
		}
	}
}

func (c *Controller) sendForecast(m *model, d *demand, at time.Time, waiting int) {
	if d.refused {
		return
	}
	if d.Adapter != "" && !at.IsZero() {
		at = at.Add(c.adapterDelay(m, d.Adapter))
	}
	f := Forecast{Host: d.Host, Model: d.Model, Adapter: d.Adapter, ReadyAt: at}
	switch {
	case !m.configured:
		f.Refused, f.Code, f.RetryAfter = true, codes.UnknownModel, c.settings.RetryDefault
	case at.IsZero():
		f.Refused, f.Code, f.RetryAfter = true, codes.OverCapacity, c.settings.RetryDefault
	case at.After(c.now) && !d.EarliestDeadline.IsZero() && at.After(d.EarliestDeadline):
		wait := at.Sub(c.now)
		f.Refused, f.Code = true, codes.NoTimeToLoad
		f.RetryAfter = wait + time.Duration(float64(wait)*retryMargin)
		m.retriesUntil = later(m.retriesUntil, c.now.Add(f.RetryAfter+retryGrace))
	case d.answered && at.Sub(d.sentReadyAt).Abs() < forecastChange, d.answered && !at.After(c.now):
		return
	}
	d.answered, d.refused, d.sentReadyAt = true, f.Refused, at
	if f.Refused {
		c.totals.refusals++
	}
	for _, x := range m.demands {
		if x.Host == d.Host {
			waiting -= x.Urgent + x.Normal + x.Bulk
		}
	}
	f.Others = waiting
	c.emit(f)
}

// adapterDelay returns the predicted time until the adapter is loaded on a ready replica.
func (c *Controller) adapterDelay(m *model, name string) time.Duration {
	for _, r := range m.replicas {
		if a := r.adapter(name); a != nil && m.serving(r) && a.phase == loaded {
			return 0
		}
	}
	return c.settings.AdapterTime * time.Duration(1+c.adapterLoads/max(c.settings.AdaptersInFlight, 1))
}

// refuseNotHolder refuses a demand that reached a daemon without the lease.
func (c *Controller) refuseNotHolder(e Demand) {
	c.emit(Forecast{
		Host: e.Host, Model: e.Model, Adapter: e.Adapter, Refused: true, Code: codes.NotReady, RetryAfter: notHolderRetry,
	})
}
