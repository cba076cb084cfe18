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

// spread is a model whose requests would be delayed less with another replica.
type spread struct {
	service string
	model   string
	gain    float64 // upper bound of the gain of another replica
}

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

// spreadGain returns the delay per second, in seconds, that a replica of the model on the upstream saves, beside its other replicas. Each
// prompt that an upstream reads delays the responses in progress there, so requests that move to an upstream with a lower rate meet
// fewer prompts. The result is negative if the other replicas are on upstreams with lower rates.
func (c *Controller) spreadGain(now time.Time, u *upstream, model string) float64 {
	rate, held := c.currentRate(now, model), float64(c.heldCount(model))
	// rest returns the rate of the upstream without the model.
	rest := func(x *upstream) float64 {
		if _, ok := x.replicas[model]; ok && x.usable() {
			return c.upstreamRate(now, x) - rate/held
		}
		return c.upstreamRate(now, x)
	}
	sum, others := 0.0, 0
	for _, x := range c.index.holders[model] {
		if x != u && x.usable() {
			sum += rest(x)
			others++
		}
	}
	n := float64(others + c.plan.loading[model])
	if others == 0 || n == 0 {
		return 0
	}
	running := max(float64(c.running.model[model]), rate*responseTime)
	before := sum/float64(others) + rate/n // rate of an upstream with another replica
	moved := rate / (n + 1)
	return c.settings.PromptTime.Seconds() * running / (n + 1) * (2*(before-rest(u)) - moved - moved/n)
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
				highest = max(highest, c.upstreamRate(now, u))
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
