package place

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/fireflycleat/fireflycleat/pkg/fleet"
)

const (
	blockedWait    = 2 * time.Second        // expected time until a full upstream can free memory; most responses take less
	unloadTime     = 150 * time.Millisecond // expected time of an unload without requests in progress
	minLoadWait    = 50 * time.Millisecond  // expected time until the end of a load that is overdue
	lossWeight     = 0.5                    // weight of the cost of unloads relative to the waiting time of pending requests
	runningCost    = 0.1                    // cost, in seconds of load time, of each request in progress on the target
	preemptRatio   = 3                      // ratio of pending requests at which a model may take an upstream reserved for another
	onlyCopyCost   = 0.5                    // cost, in seconds, of each model whose only copy is on an upstream that loads from the weight store
	slowCost       = 2.0                    // cost, in seconds, of a target of half the mean speed; a response takes about as much longer there
	surplusCost    = 1e-3                   // base cost of unloading a replica that its model does not need
	boundTolerance = 1e-9                   // allows for rounding when a bound is compared with a cost, in seconds
)

type (
	// target is a candidate upstream for a load, with its costs.
	target struct {
		upstream  *upstream
		wait      time.Duration // expected time until the upstream accepts the order
		duration  time.Duration // expected time of the unloads and the load
		fromStore bool
		victims   []victim // models to unload first
		loss      float64  // cost of unloading the victims; see Controller.unloadCost
	}

	// search restricts the upstreams that bestTarget considers.
	search struct {
		pending   bool // also consider upstreams that don't accept an order at once
		fromStore bool // also consider loads from the weight store
	}

	victim struct {
		model    string
		cost     float64
		lastUsed time.Time
		busy     bool // whether requests are in progress, which an unload waits for
	}
)

// bestTarget returns the upstream with the lowest cost for a load of the model. The cost covers the time until the model is
// ready, the unloads and the requests in progress.
func (c *Controller) bestTarget(now time.Time, service string, e *fleet.Engine, model string, s search) (target, bool) {
	m := e.Models[model]
	best, lowest := target{}, math.Inf(1)
	consider := func(u *upstream) {
		t, ok := c.targetOn(now, u, service, e, m)
		if !ok || !s.pending && t.wait > 0 {
			return
		}
		cost := c.cost(t)
		if cost < lowest || cost == lowest && compareIDs(u, best.upstream) < 0 {
			best, lowest = t, cost
		}
	}
	for _, u := range c.index.copies[model] {
		consider(u)
	}
	if !s.fromStore {
		return best, !math.IsInf(lowest, 1)
	}
	storeTime := c.storeLoadTime(m.FromStore).Seconds()
	for _, x := range c.candidates(now, service, e) {
		if x.bound+storeTime >= lowest-boundTolerance {
			break // Among equal costs the first one is as good.
		}
		if u := x.upstream; (s.pending || x.ready) && !u.memory[model] && !u.disk[model] && c.upstreams[u.entry.ID] == u {
			consider(u)
		}
	}
	return best, !math.IsInf(lowest, 1)
}

// cost returns the cost of a load on the target in seconds.
func (c *Controller) cost(t target) float64 {
	cost := (t.wait + t.duration).Seconds() + lossWeight*t.loss + c.useCost(t.upstream)
	if t.fromStore {
		cost += c.storeBlockCost(t.upstream)
	}
	return cost
}

// useCost returns the cost, in seconds, of what slows down responses on the upstream: its requests in progress and its speed.
func (c *Controller) useCost(u *upstream) float64 {
	return runningCost*float64(c.running.upstream[u.entry.ID]) + slowCost*(1/c.speedOf(u)-1)
}

// storeBlockCost returns the cost of a load from the weight store for the models whose only copy is on the upstream: it takes no other
// order meanwhile.
func (c *Controller) storeBlockCost(u *upstream) float64 {
	if c.plan.onlyCopies == nil {
		c.plan.onlyCopies = make(map[string]int)
		for _, list := range c.index.copies {
			if len(list) == 1 {
				c.plan.onlyCopies[list[0].entry.ID]++
			}
		}
	}
	return onlyCopyCost * float64(c.plan.onlyCopies[u.entry.ID])
}

// candidates returns the upstreams that may load a model from the weight store, those with the lowest bound of the cost first.
func (c *Controller) candidates(now time.Time, service string, e *fleet.Engine) []candidate {
	if list, ok := c.plan.candidates[service]; ok {
		return list
	}
	list := make([]candidate, 0, len(c.upstreams))
	for _, u := range c.sortedUpstreams() {
		if u.entry.Service != service || !u.usable() || c.hasFailed(now, u) {
			continue
		}
		wait := c.waitTime(now, u)
		bound := wait.Seconds() + c.useCost(u) + c.storeBlockCost(u)
		if u.usedMemory(e, c.capacity[e])+c.smallest[e] > c.capacity[e] {
			victims := c.victimsOf(now, u, e)
			if len(victims) == 0 {
				continue
			}
			bound += unloadTime.Seconds() + lossWeight*victims[0].cost
		}
		list = append(list, candidate{u, bound, wait == 0})
	}
	slices.SortStableFunc(list, func(a, b candidate) int { return cmp.Compare(a.bound, b.bound) })
	c.plan.candidates[service] = list
	return list
}

// reserved reports whether the upstream is reserved for another model, unless this model has far more pending requests.
func (c *Controller) reserved(u *upstream, model string) bool {
	return u.reservedFor != "" && u.reservedFor != model && c.pendingRequests(model) < preemptRatio*max(c.pendingRequests(u.reservedFor), 1)
}

// targetOn returns the costs of loading the model on the upstream, or false if that is impossible.
func (c *Controller) targetOn(now time.Time, u *upstream, service string, e *fleet.Engine, m fleet.Model) (target, bool) {
	if u.entry.Service != service || !u.usable() || c.hasFailed(now, u) {
		return target{}, false
	}
	_, held := u.replicas[m.Name]
	if held || u.load != nil && u.load.model == m.Name {
		return target{}, false
	}
	t := target{upstream: u}
	t.duration, t.fromStore = u.loadTime(m)
	if t.fromStore {
		t.duration = c.storeLoadTime(t.duration)
	}
	if c.reserved(u, m.Name) {
		return c.blockedTarget(now, t, m.Name)
	}
	t.wait = c.waitTime(now, u)
	missing := u.usedMemory(e, c.capacity[e]) + m.WeightMB - c.capacity[e]
	if missing <= 0 {
		return t, true
	}
	victims := c.victimsOf(now, u, e)
	for i, v := range victims {
		if v.busy {
			if !c.needsRoom(m.Name, t.loss+v.cost) {
				break
			}
			t.duration += c.drainTime
		}
		t.victims = victims[:i+1]
		t.loss += v.cost
		t.duration += unloadTime
		if missing -= u.freedBy(e, c.capacity[e], v.model); missing <= 0 {
			return t, true
		}
	}
	return c.blockedTarget(now, t, m.Name)
}

// needsRoom reports whether a model with requests in progress may be unloaded for this one: requests wait for it, no usable upstream
// holds it, and they outweigh the loss.
func (c *Controller) needsRoom(model string, loss float64) bool {
	pending := c.pendingRequests(model)
	return pending > 0 && float64(pending) > loss && c.heldCount(model) == 0
}

// hasFailed reports whether the upstream gets no loads because it failed one recently.
func (c *Controller) hasFailed(now time.Time, u *upstream) bool {
	return !u.failedAt.IsZero() && now.Sub(u.failedAt) < c.settings.FailureBackoff
}

// waitTime returns the expected time until the upstream accepts an order.
func (c *Controller) waitTime(now time.Time, u *upstream) time.Duration {
	return max(c.busyTime(now, u), u.pausedUntil.Sub(now))
}

// busyTime is waitTime of an upstream that does not pause. What takes longer than expected is expected to take as long again, so that an
// upstream that stays busy does not hold a model that another one can load.
func (c *Controller) busyTime(now time.Time, u *upstream) time.Duration {
	switch {
	case u.load != nil:
		return max(u.load.due.Sub(now).Abs(), minLoadWait)
	case !u.drainingSince.IsZero():
		return max(u.drainingSince.Add(c.drainTime).Sub(now).Abs(), conflictBackoff)
	case !u.busySince.IsZero():
		return max(now.Sub(u.busySince), conflictBackoff)
	case !c.acceptsOrder(now, u):
		return conflictBackoff
	}
	return 0
}

// blockedTarget returns the costs of loading the model on an upstream that is full or reserved. Only an upstream with a copy is
// worth waiting for. The longer the model has waited, the longer it may still have to, so that the weight store is faster in the end.
func (c *Controller) blockedTarget(now time.Time, t target, model string) (target, bool) {
	if t.fromStore {
		return target{}, false
	}
	t.wait = max(t.wait, blockedWait)
	if since, ok := c.blockedSince[model]; ok {
		t.wait = max(t.wait, now.Sub(since))
	}
	t.victims, t.loss = nil, 0
	return t, true
}

// victimsOf returns the result of victims, computed once per plan.
func (c *Controller) victimsOf(now time.Time, u *upstream, e *fleet.Engine) []victim {
	if u.victimsPlan != c.plan.number {
		u.victims, u.victimsPlan = c.victims(now, u, e), c.plan.number
	}
	return u.victims
}

// victims returns the models that may be unloaded from the upstream: first those without requests in progress, then the cheapest.
func (c *Controller) victims(now time.Time, u *upstream, e *fleet.Engine) []victim {
	var list []victim
	for m, r := range u.replicas {
		busy := c.running.replica[upstreamKey{u.entry.ID, Key{Model: m}}] > 0
		if busy && !c.mayDrain(now, u, e, m) || c.modelPending(m) && c.replicaCount(m) <= 1 ||
			now.Sub(r.loadedAt) < c.settings.MinResidency {
			continue
		}
		list = append(list, victim{m, c.unloadCost(now, u, e, m), r.lastUsed, busy})
	}
	slices.SortFunc(list, func(a, b victim) int {
		return cmp.Or(compareBool(a.busy, b.busy), cmp.Compare(a.cost, b.cost), a.lastUsed.Compare(b.lastUsed), cmp.Compare(a.model, b.model))
	})
	return list
}

// mayDrain reports whether the model may be unloaded although it has requests in progress: it has been loaded for a while, and another
// upstream holds it, or it can be loaded again from a local copy.
func (c *Controller) mayDrain(now time.Time, u *upstream, e *fleet.Engine, model string) bool {
	if now.Sub(u.replicas[model].since) < c.settings.BusyResidency {
		return false
	}
	_, fromStore := u.loadTime(e.Models[model])
	return !fromStore || c.replicaCount(model) > 1
}

func compareBool(a, b bool) int {
	switch {
	case a == b:
		return 0
	case b:
		return -1
	}
	return 1
}

// unloadCost returns the expected cost of unloading the model from the upstream, in seconds of load time per second.
func (c *Controller) unloadCost(now time.Time, u *upstream, e *fleet.Engine, model string) float64 {
	r := c.rate(model)
	r.decay(now, c.settings.RateTimeConstant)
	others := c.replicaCount(model) - 1
	m := e.Models[model]
	reload, _ := u.loadTime(m)
	switch {
	case others >= c.neededReplicas(now, e, model) && c.demandKnown(now):
		return max(surplusCost*(1+r.value/float64(others+1)), c.spreadGain(now, u, model))
	case others >= c.neededReplicas(now, e, model):
		return float64(others+1) * c.minRate(m) * reload.Seconds()
	case others > 0:
		reload /= 2
	}
	return max(r.value, c.priorRate(now, e, m)) * reload.Seconds()
}

// demandKnown reports whether requests have been observed for long enough to tell which replicas are in use. Until then, such as after a start
// of all hosts, a model counts as the more popular, the more replicas it has.
func (c *Controller) demandKnown(now time.Time) bool {
	return !c.demandSince.IsZero() && now.Sub(c.demandSince) >= c.settings.RateTimeConstant
}

// observeDemand records that a request was observed.
func (c *Controller) observeDemand(now time.Time) {
	if c.demandSince.IsZero() {
		c.demandSince = now
	}
}

// priorRate returns the minimum request rate assumed for a model: at least the mean of the models that are not in steady use, because most of
// them have no requests within the time constant of the rates.
func (c *Controller) priorRate(now time.Time, e *fleet.Engine, m fleet.Model) float64 {
	return max(c.minRate(m), c.rareRate(now, e))
}

// minRate returns the minimum request rate assumed for a model while no rates are known. The number of adapters indicates how many teams use
// it.
func (c *Controller) minRate(m fleet.Model) float64 {
	return c.settings.MinRate * (1 + math.Sqrt(float64(m.Adapters)))
}

// rareRate returns the mean request rate of the engine's models that are not in steady use.
func (c *Controller) rareRate(now time.Time, e *fleet.Engine) float64 {
	if v, ok := c.plan.rareRates[e]; ok {
		return v
	}
	sum, models := 0.0, 0
	for _, model := range c.models[e] {
		rate := 0.0
		if _, ok := c.rates[model]; ok {
			rate = c.currentRate(now, model)
		}
		if rate <= c.settings.SecondReplicaRate {
			sum += rate
			models++
		}
	}
	v := sum / float64(max(models, 1))
	c.plan.rareRates[e] = v
	return v
}
