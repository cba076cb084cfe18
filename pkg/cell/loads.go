package cell

import (
	"cmp"
	"slices"
	"time"
)

const (
	// unloadTime is the expected time until an unload has freed its memory.
	unloadTime = 200 * time.Millisecond
	// evictPenalty is the time that a load must gain to justify the eviction of an idle replica.
	evictPenalty = time.Second
	// evictAhead is how long before the predicted start of a load idle replicas are evicted for it.
	evictAhead = time.Second
	// planAhead is how long before its predicted start a load is assigned memory in the plan.
	planAhead = 2 * time.Second
	// retryWeight is the weight of refused callers who are expected to retry, in units of the urgency weights.
	retryWeight = 0.5
	// shortQueueDivisor divides the number of slots; more waiting requests than the quotient justify one more replica.
	shortQueueDivisor = 8
	// newReplicaDelay is the time after a load during which the requests that waited for it may still be counted as
	// waiting. No optional replica is loaded in this time.
	newReplicaDelay = 500 * time.Millisecond
	// spareReplicas is the free memory, in replicas of the model, that is required to load an optional replica.
	spareReplicas = 2
	// agePeriod is the waiting time that adds the base score of a queued load once more, up to maxAge times.
	agePeriod = 10 * time.Second
	maxAge    = 3.0
)

// The ways in which a load obtains its memory.
const (
	direct   placement = iota // The memory is free.
	awaiting                  // An unload in progress frees the memory.
	evicting                  // Idle replicas must be evicted.
)

type (
	placement int

	// candidate is an upstream that could load a model.
	candidate struct {
		upstream  *upstream
		tier      Tier
		placement placement
		start     time.Time
		ready     time.Time
		cost      time.Time // ready plus the penalty for evictions
	}
)

// placeLoads orders the queued loads that can start now and predicts the others. Each model gets one replica before any
// model gets a second, so that a burst for one model does not delay the cold start of another.
func (c *Controller) placeLoads() {
	if len(c.queue) == 0 || !c.replan && c.now.Before(c.nextPlanAt) {
		return
	}
	c.replan, c.nextPlanAt = false, c.now.Add(scanInterval)
	for _, m := range c.queue {
		m.score = c.score(m)
		m.predictedReadyAt, m.blocked = time.Time{}, false
	}
	slices.SortStableFunc(c.queue, func(a, b *model) int {
		return cmp.Or(cmp.Compare(b.score, a.score), cmp.Compare(a.name, b.name))
	})
	for _, u := range c.upstreams {
		c.preparePlan(u)
	}
	p := c.store.plan(c.now)
	more := false
	for _, m := range c.queue {
		if m.optional {
			more = more || m.missing > 0
			continue
		}
		if m.missing > 0 && c.placeLoad(m, &p) {
			more = more || m.missing > 0
		}
	}
	for range 1 + c.maxMissing() {
		if !more {
			break
		}
		more = false
		for _, m := range c.queue {
			if m.missing > 0 && (m.optional || !m.predictedReadyAt.IsZero()) && c.placeLoad(m, &p) {
				more = more || m.missing > 0
			}
		}
	}
	c.store.recordWait(c.now, p.next().Sub(c.now))
	c.queue = slices.DeleteFunc(c.queue, func(m *model) bool {
		if m.missing <= 0 {
			m.queued = false
		}
		return !m.queued
	})
}

func (c *Controller) maxMissing() int {
	n := 0
	for _, m := range c.queue {
		n = max(n, m.missing)
	}
	return min(n, len(c.upstreams))
}

// score returns the weight of the waiting requests that one second of load time serves.
func (c *Controller) score(m *model) float64 {
	w := c.weight(m.waiting())
	age := min(c.now.Sub(m.queuedSince).Seconds()/agePeriod.Seconds(), maxAge)
	return (w + retryWeight) * (1 + age) / max(c.loadTime(m, c.nearestTier(m)).Seconds(), 0.001)
}

// nearestTier returns the nearest tier from which an upstream of the cell can load the model.
func (c *Controller) nearestTier(m *model) Tier {
	t := TierRemote
	for _, u := range c.upstreams {
		if u.quiesced && !u.leaving && !u.gone {
			t = min(t, u.tier(m))
		}
	}
	return t
}

// preparePlan computes the memory that a load plan can use on the upstream, and removes expired cooldowns.
func (c *Controller) preparePlan(u *upstream) {
	u.cooldowns = slices.DeleteFunc(u.cooldowns, func(x cooldown) bool { return !c.now.Before(x.until) })
	u.availableBytes, u.freeingBytes, u.evictableBytes = c.freeBytes(u), 0, 0
	for _, r := range u.replicas {
		switch {
		case r.phase == unloading:
			u.freeingBytes += r.bytes
		case c.evictable(r):
			u.evictableBytes += r.bytes
		}
	}
}

// hasUsableUpstream reports whether the cell has an upstream that is neither leaving nor gone. Without one, another
// cell serves waiting work sooner.
func (c *Controller) hasUsableUpstream() bool {
	return slices.ContainsFunc(c.upstreams, func(u *upstream) bool { return !u.leaving && !u.gone })
}

// awaitsQuiescence reports whether an upstream that does not take loads yet may soon do so, for example after a change
// of the lease holder.
func (c *Controller) awaitsQuiescence() bool {
	return slices.ContainsFunc(c.upstreams, func(u *upstream) bool { return !u.quiesced && !u.leaving && !u.gone })
}

// placeLoad orders or plans one load of the model; ok is false when no further load of it can be planned.
func (c *Controller) placeLoad(m *model, p *plan) (ok bool) {
	if !c.mayLoad(m) && c.passesToOtherCell(m) {
		m.blocked = true
		return false
	}
	if !c.mayLoad(m) || !c.canOrder() {
		c.predictBlocked(m)
		return false
	}
	if m.optional {
		// An optional load uses free memory and an idle store only, and leaves memory for the next cold model.
		best, found := c.chooseUpstream(m, p)
		if !found || best.placement != direct || best.start.After(c.now) ||
			best.upstream.availableBytes < spareReplicas*m.spec.ReplicaBytes() {
			return false
		}
	}
	if start := p.next(); start.After(c.now.Add(planAhead)) && c.nearestTier(m) == TierRemote {
		// Memory is planned only for loads that start soon: which replicas are loaded changes before the others start.
		ready := start.Add(c.loadTime(m, TierRemote))
		if m.predictedReadyAt.IsZero() {
			m.predictedReadyAt = ready
		}
		p.reserve(start, ready)
		return false
	}
	best, found := c.chooseUpstream(m, p)
	if !found && c.awaitsQuiescence() {
		c.predictBlocked(m)
		return false
	}
	if !found {
		c.planPreemption(m)
		return false
	}
	need := m.spec.ReplicaBytes()
	if m.predictedReadyAt.IsZero() || best.ready.Before(m.predictedReadyAt) {
		m.predictedReadyAt = best.ready
	}
	if best.placement == evicting && !best.start.After(c.now.Add(evictAhead)) {
		c.evict(best.upstream, need)
	}
	best.upstream.availableBytes -= need
	if best.tier == TierRemote {
		p.reserve(best.start, best.ready)
	}
	if best.placement != direct || best.start.After(c.now) {
		if best.start.Before(c.nextPlanAt) {
			c.nextPlanAt = best.start
		}
		return false
	}
	c.startLoad(m, best)
	return true
}

// chooseUpstream returns the upstream where the model is predicted to be ready first, which favours the nearest cached
// copy.
func (c *Controller) chooseUpstream(m *model, p *plan) (best candidate, found bool) {
	need := m.spec.ReplicaBytes()
	remote := p.next()
	for _, u := range c.upstreams {
		if !c.eligible(u, m) {
			continue
		}
		x := candidate{upstream: u, tier: u.tier(m), start: c.now}
		if x.tier == TierRemote {
			x.start = remote
		}
		freed := c.now.Add(unloadTime)
		switch {
		case u.availableBytes >= need:
		case u.availableBytes+u.freeingBytes >= need:
			x.placement = awaiting
		case u.availableBytes+u.freeingBytes+u.evictableBytes >= need:
			x.placement = evicting
		default:
			continue
		}
		if x.placement != direct && x.start.Before(freed) {
			x.start = freed
		}
		x.ready = x.start.Add(c.loadTime(m, x.tier))
		x.cost = x.ready
		if x.placement == evicting {
			x.cost = x.cost.Add(evictPenalty)
		}
		if !found || x.cost.Before(best.cost) || x.cost.Equal(best.cost) && u.availableBytes > best.upstream.availableBytes {
			best, found = x, true
		}
	}
	return best, found
}

func (c *Controller) eligible(u *upstream, m *model) bool {
	return c.mayOrder(u) && !u.leaving && u.findReplica(m) == nil && u.incarnation != "" &&
		!slices.ContainsFunc(u.cooldowns, func(x cooldown) bool { return x.model == m })
}

func (c *Controller) startLoad(m *model, x candidate) {
	r := &replica{
		upstream: x.upstream, model: m, version: m.spec.Version, bytes: m.spec.ReplicaBytes(),
		slots: x.upstream.limitSlots(m.spec.Slots), tier: x.tier, startedAt: c.now, predictedEndAt: x.ready,
	}
	r.loadOrder = c.order(OpLoad, r, nil)
	c.totals.loads++
	m.missing--
	c.addReplica(r)
	if x.tier == TierRemote {
		c.store.start(c.now, r)
	}
}

// recordLoadEnd frees the store slot of a load and, if the load completed, corrects the estimated load times.
func (c *Controller) recordLoadEnd(r *replica) {
	c.replan = true
	switch done := r.phase == loaded; {
	case r.tier == TierRemote:
		c.store.finish(r, c.now, done, c.loadTime(r.model, TierRemote))
	case done && r.model.configured:
		observed := float64(c.now.Sub(r.startedAt)) / float64(r.model.spec.LoadTime())
		c.cacheFactors[r.tier] += (observed - c.cacheFactors[r.tier]) * smoothingFactor
	}
}

// loadTime returns the expected time of a load from the tier.
func (c *Controller) loadTime(m *model, t Tier) time.Duration {
	f := c.store.slowdown
	if t < TierRemote {
		f = c.cacheFactors[t]
	}
	return time.Duration(float64(m.spec.LoadTime()) * f)
}

// evict unloads the least useful idle replicas until the upstream has the memory.
func (c *Controller) evict(u *upstream, need int64) {
	for u.availableBytes+u.freeingBytes < need {
		var victim *replica
		for _, r := range u.replicas {
			if c.evictable(r) && (victim == nil || c.lessUseful(r, victim)) {
				victim = r
			}
		}
		if victim == nil {
			return
		}
		u.evictableBytes -= victim.bytes
		u.freeingBytes += victim.bytes
		c.totals.evictions++
		c.startUnload(victim)
	}
}

// lessUseful reports whether idle replica a is less useful than b: it saves less load time per byte, or saves the same
// and had its last work earlier.
func (c *Controller) lessUseful(a, b *replica) bool {
	savedTime := func(r *replica) float64 {
		return r.model.recentWork * r.model.spec.LoadTime().Seconds() / float64(max(r.bytes, 1))
	}
	x, y := savedTime(a), savedTime(b)
	return x < y || x == y && a.model.lastActiveAt.Before(b.model.lastActiveAt)
}

func (c *Controller) weight(urgent, normal, bulk int) float64 {
	return float64(urgent)*c.settings.UrgentWeight + float64(normal)*c.settings.NormalWeight + float64(bulk)*c.settings.BulkWeight
}
