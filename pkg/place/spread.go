package place

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

const (
	// responseTime is the least duration of responses that is assumed for a model in use, in seconds. Counts of requests in progress are
	// missing at the start of a term.
	responseTime = 1.0
	// minSpreadGain is the least gain of a replica that its model does not need, in seconds of delay per second. A load keeps its upstream
	// from other orders for about a second.
	minSpreadGain = 0.25
)

type (
	// spread is a model whose requests would be delayed less with another replica.
	spread struct {
		service string
		model   string
		gain    float64 // upper bound of the gain of another replica
	}

	// holderSums describes the usable upstreams that hold a model.
	holderSums struct {
		held     int
		share    float64 // request rate of one replica
		rest     float64 // sum of the weighed rates without the model
		slowness float64 // sum
	}
)

// upstreamRate returns the request rate of the upstream, if the requests for a model are divided evenly among its replicas.
func (c *Controller) upstreamRate(now time.Time, u *upstream) float64 {
	if c.plan.rates == nil {
		c.plan.rates = make(map[*upstream]float64, len(c.upstreams))
		for _, model := range slices.Sorted(maps.Keys(c.rates)) {
			share := c.currentRate(now, model) / float64(max(c.heldCount(model), 1))
			for _, x := range c.index.holders[model] {
				if x.usable() {
					c.plan.rates[x] += share
				}
			}
		}
	}
	return c.plan.rates[u]
}

func (c *Controller) currentRate(now time.Time, model string) float64 {
	r := c.rate(model)
	r.decay(now, c.settings.RateTimeConstant)
	return r.value
}

// restOf returns the rate of the upstream without the model, weighed by its slowness.
func (c *Controller) restOf(now time.Time, u *upstream, model string, share float64) float64 {
	rate := c.upstreamRate(now, u)
	if _, ok := u.replicas[model]; ok && u.usable() {
		rate -= share
	}
	return rate * c.slowness(u)
}

// holderSums returns the sums over the usable upstreams that hold the model.
func (c *Controller) holderSums(now time.Time, model string) holderSums {
	if s, ok := c.plan.holderSums[model]; ok {
		return s
	}
	s := holderSums{held: c.heldCount(model)}
	s.share = c.currentRate(now, model) / float64(max(s.held, 1))
	for _, u := range c.index.holders[model] {
		if u.usable() {
			s.rest += c.restOf(now, u, model, s.share)
			s.slowness += c.slowness(u)
		}
	}
	c.plan.holderSums[model] = s
	return s
}

// spreadGain returns the delay per second, in seconds, that a replica of the model on the upstream saves, beside its other replicas. Each
// prompt that an upstream reads delays the responses in progress there, so requests that move to an upstream with a lower rate meet
// fewer prompts. The result is negative if the other replicas are on upstreams with lower rates.
func (c *Controller) spreadGain(now time.Time, u *upstream, model string) float64 {
	s, rest, slowness := c.holderSums(now, model), c.restOf(now, u, model, c.holderSums(now, model).share), c.slowness(u)
	if _, ok := u.replicas[model]; ok && u.usable() {
		s.held--
		s.rest -= rest
		s.slowness -= slowness
	}
	if s.held <= 0 {
		return 0
	}
	rate, n := c.currentRate(now, model), float64(s.held+c.plan.loading[model])
	running := max(float64(c.running.model[model]), rate*responseTime)
	others := s.slowness / float64(s.held)
	before := s.rest/float64(s.held) + rate/n*others // weighed rate of an upstream with another replica
	moved := rate / (n + 1)
	return c.settings.PromptTime.Seconds() * running / (n + 1) * (2*(before-rest) - moved*slowness - moved/n*others)
}

// slowness returns the weight of a request rate at the upstream: on a slow one prompts take longer and meet more responses in progress.
func (c *Controller) slowness(u *upstream) float64 { return 1 / (c.speedOf(u) * c.speedOf(u)) }

// SetSpeeds replaces the speeds of the upstreams that differ from the mean, in percent of it.
func (c *Controller) SetSpeeds(speeds map[string]int) { c.speeds = speeds }

// speedOf returns the speed of the upstream in relation to the mean.
func (c *Controller) speedOf(u *upstream) float64 {
	if s, ok := c.speeds[u.entry.ID]; ok && s > 0 {
		return float64(s) / 100
	}
	return 1
}

// spreads returns the models that may gain from another replica, those with the largest gain first.
func (c *Controller) spreads(now time.Time) []spread {
	var list []spread
	for service, e := range c.engines {
		for model := range c.rates {
			n := float64(c.heldCount(model) + c.plan.loading[model])
			if n == 0 || !hasModel(e, model) {
				continue
			}
			highest := 0.0
			for _, u := range c.index.holders[model] {
				highest = max(highest, c.upstreamRate(now, u)*c.slowness(u))
			}
			running := max(float64(c.running.model[model]), c.currentRate(now, model)*responseTime)
			if gain := c.settings.PromptTime.Seconds() * running / (n + 1) * 2 * highest; gain >= minSpreadGain {
				list = append(list, spread{service, model, gain})
			}
		}
	}
	slices.SortFunc(list, func(a, b spread) int {
		return cmp.Or(cmp.Compare(b.gain, a.gain), cmp.Compare(a.model, b.model), cmp.Compare(a.service, b.service))
	})
	return list
}

// planSpread orders replicas beyond those that models need, where the delay that they save exceeds what the evicted models' callers lose.
func (c *Controller) planSpread(now time.Time, actions []Action) []Action {
	for _, s := range c.spreads(now) {
		e := c.engines[s.service]
		for {
			t, ok := c.bestTarget(now, s.service, e, s.model, search{})
			if !ok || t.wait > 0 {
				break
			}
			if gain := c.spreadGain(now, t.upstream, s.model); gain < max(minGainRatio*t.loss, minSpreadGain) {
				break
			}
			actions = c.orderLoad(now, t, s.model, actions)
		}
	}
	return actions
}
