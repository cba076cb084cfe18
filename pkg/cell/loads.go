package cell

import (
	"cmp"
	"slices"
	"time"
)

const (
	// unloadTime is the expected time until an unload has freed its memory.
	unloadTime = 200 * time.Millisecond
	// evictPenalty is the time by which a load must be faster to be worth the eviction of an idle replica.
	evictPenalty = time.Second
	// evictAhead is how long before the predicted start of a load idle replicas are evicted for it.
	evictAhead = time.Second
	// planAhead is how long before its predicted start a load gets memory in the plan.
	planAhead = 2 * time.Second
	// promiseWeight is the weight of refused callers who are expected back, in the units of the urgency weights.
	promiseWeight = 0.5
	// helpShare is the part of the slots, one in so many, from which waiting requests make another replica worth its load.
	helpShare = 8
	// helpDelay is the time after a load in which the requests that waited for it are still counted as waiting.
	helpDelay = 500 * time.Millisecond
	// spareRoom is the free memory, in replicas of the model, from which such a replica is loaded.
	spareRoom = 2
	// agePeriod is the waiting time that doubles the score of a queued load, up to maxAge times the score.
	agePeriod = 10 * time.Second
	maxAge    = 3.0
)

// The ways in which a load can get its memory.
const (
	direct   placement = iota // direct uses memory that is free.
	awaiting                  // awaiting uses memory that an unload in progress frees.
	evicting                  // evicting uses memory of idle replicas.
)

type (
	placement int

	// candidate is an upstream that could load a model.
	candidate struct {
		up    *upstream
		tier  Tier
		how   placement
		start time.Time
		ready time.Time
		cost  time.Time // cost is ready with the penalty for evictions.
	}
)

// place orders the queued loads that can start now and predicts the others. Each model gets one replica before any gets a
// second, so that a burst for one model does not hold up the cold start of another.
func (c *Controller) place() {
	if len(c.queue) == 0 || !c.replan && c.now.Before(c.nextStart) {
		return
	}
	c.replan, c.nextStart = false, c.now.Add(scanInterval)
	for _, m := range c.queue {
		m.score = c.score(m)
		m.readyAt, m.blocked = time.Time{}, false
	}
	slices.SortStableFunc(c.queue, func(a, b *model) int {
		return cmp.Or(cmp.Compare(b.score, a.score), cmp.Compare(a.name, b.name))
	})
	for _, u := range c.upstreams {
		c.preparePlan(u)
	}
	p := c.store.plan(c.now)
	again := false
	for _, m := range c.queue {
		if m.optional {
			again = again || m.missing > 0
			continue
		}
		if m.missing > 0 && c.placeOne(m, &p) {
			again = again || m.missing > 0
		}
	}
	for range 1 + c.maxMissing() {
		if !again {
			break
		}
		again = false
		for _, m := range c.queue {
			if m.missing > 0 && (m.optional || !m.readyAt.IsZero()) && c.placeOne(m, &p) {
				again = again || m.missing > 0
			}
		}
	}
	c.store.noteWait(c.now, p.next().Sub(c.now))
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

// score is the weight of the waiting requests that one second of load time helps.
func (c *Controller) score(m *model) float64 {
	w := c.weight(m.waiting())
	age := min(c.now.Sub(m.wantedSince).Seconds()/agePeriod.Seconds(), maxAge)
	return (w + promiseWeight) * (1 + age) / max(c.loadTime(m, c.nearest(m)).Seconds(), 0.001)
}

func (c *Controller) nearest(m *model) Tier {
	t := TierRemote
	for _, u := range c.upstreams {
		if u.settled && !u.leaving && !u.gone {
			t = min(t, u.tier(m))
		}
	}
	return t
}

func (c *Controller) preparePlan(u *upstream) {
	u.cooling = slices.DeleteFunc(u.cooling, func(x cooldown) bool { return !c.now.Before(x.until) })
	u.avail, u.soon, u.evictable = c.free(u), 0, 0
	for _, r := range u.replicas {
		switch {
		case r.phase == unloading:
			u.soon += r.bytes
		case c.evictable(r):
			u.evictable += r.bytes
		}
	}
}

// takesLoads reports whether the cell has an upstream that is neither leaving nor gone. Without one, waiting work is served
// sooner by another cell.
func (c *Controller) takesLoads() bool {
	return slices.ContainsFunc(c.upstreams, func(u *upstream) bool { return !u.leaving && !u.gone })
}

// settling reports whether an upstream may soon take loads that takes none yet, as after a takeover.
func (c *Controller) settling() bool {
	return slices.ContainsFunc(c.upstreams, func(u *upstream) bool { return !u.settled && !u.leaving && !u.gone })
}

// placeOne orders or plans one load of the model; ok is false when no further load of it can be planned.
func (c *Controller) placeOne(m *model, p *plan) (ok bool) {
	if !c.mayLoad(m) && c.passesOn(m) {
		m.blocked = true
		return false
	}
	if !c.mayLoad(m) || !c.canOrder() {
		c.predictBlocked(m)
		return false
	}
	if m.optional {
		// It takes free memory and an idle store, and leaves room for the next cold model.
		best, found := c.choose(m, p)
		if !found || best.how != direct || best.start.After(c.now) || best.up.avail < spareRoom*m.spec.ReplicaBytes() {
			return false
		}
	}
	if start := p.next(); start.After(c.now.Add(planAhead)) && c.nearest(m) == TierRemote {
		// Memory is planned only for loads that start soon: until the others start, replicas come and go.
		ready := start.Add(c.loadTime(m, TierRemote))
		if m.readyAt.IsZero() {
			m.readyAt = ready
		}
		p.take(start, ready)
		return false
	}
	best, found := c.choose(m, p)
	if !found && c.settling() {
		c.predictBlocked(m)
		return false
	}
	if !found {
		c.makeRoom(m)
		return false
	}
	need := m.spec.ReplicaBytes()
	if m.readyAt.IsZero() || best.ready.Before(m.readyAt) {
		m.readyAt = best.ready
	}
	if best.how == evicting && !best.start.After(c.now.Add(evictAhead)) {
		c.evict(best.up, need)
	}
	best.up.avail -= need
	if best.tier == TierRemote {
		p.take(best.start, best.ready)
	}
	if best.how != direct || best.start.After(c.now) {
		if best.start.Before(c.nextStart) {
			c.nextStart = best.start
		}
		return false
	}
	c.startLoad(m, best)
	return true
}

// choose returns the upstream where the model is predicted to be ready first; the nearest cached copy wins by its time.
func (c *Controller) choose(m *model, p *plan) (best candidate, found bool) {
	need := m.spec.ReplicaBytes()
	remote := p.next()
	for _, u := range c.upstreams {
		if !c.eligible(u, m) {
			continue
		}
		x := candidate{up: u, tier: u.tier(m), start: c.now}
		if x.tier == TierRemote {
			x.start = remote
		}
		freed := c.now.Add(unloadTime)
		switch {
		case u.avail >= need:
		case u.avail+u.soon >= need:
			x.how = awaiting
		case u.avail+u.soon+u.evictable >= need:
			x.how = evicting
		default:
			continue
		}
		if x.how != direct && x.start.Before(freed) {
			x.start = freed
		}
		x.ready = x.start.Add(c.loadTime(m, x.tier))
		x.cost = x.ready
		if x.how == evicting {
			x.cost = x.cost.Add(evictPenalty)
		}
		if !found || x.cost.Before(best.cost) || x.cost.Equal(best.cost) && u.avail > best.up.avail {
			best, found = x, true
		}
	}
	return best, found
}

func (c *Controller) eligible(u *upstream, m *model) bool {
	return c.mayOrder(u) && !u.leaving && u.find(m) == nil && u.incarnation != "" &&
		!slices.ContainsFunc(u.cooling, func(x cooldown) bool { return x.model == m })
}

func (c *Controller) startLoad(m *model, x candidate) {
	r := &replica{
		up: x.up, model: m, version: m.spec.Version, bytes: m.spec.ReplicaBytes(),
		slots: x.up.limit(m.spec.Slots), tier: x.tier, startedAt: c.now, endAt: x.ready,
	}
	r.load = c.order(OpLoad, r, nil)
	c.sums.loads++
	m.missing--
	c.addReplica(r)
	if x.tier == TierRemote {
		c.store.start(c.now, r)
	}
}

func (c *Controller) finishLoad(r *replica) {
	c.replan = true
	switch done := r.phase == loaded; {
	case r.tier == TierRemote:
		c.store.finish(r, c.now, done, c.loadTime(r.model, TierRemote))
	case done && r.model.known:
		observed := float64(c.now.Sub(r.startedAt)) / float64(r.model.spec.LoadTime())
		c.near[r.tier] += (observed - c.near[r.tier]) * observeShare
	}
}

// loadTime returns the expected time of a load from the tier.
func (c *Controller) loadTime(m *model, t Tier) time.Duration {
	f := c.store.slowdown
	if t < TierRemote {
		f = c.near[t]
	}
	return time.Duration(float64(m.spec.LoadTime()) * f)
}

// evict unloads the least useful idle replicas until the upstream has the memory.
func (c *Controller) evict(u *upstream, need int64) {
	for u.avail+u.soon < need {
		var victim *replica
		for _, r := range u.replicas {
			if c.evictable(r) && (victim == nil || c.lessUseful(r, victim)) {
				victim = r
			}
		}
		if victim == nil {
			return
		}
		u.evictable -= victim.bytes
		u.soon += victim.bytes
		c.sums.evictions++
		c.startUnload(victim)
	}
}

// lessUseful compares idle replicas by the load time that they save for each byte, and then by the time of their last work.
func (c *Controller) lessUseful(a, b *replica) bool {
	saves := func(r *replica) float64 {
		return r.model.heat * r.model.spec.LoadTime().Seconds() / float64(max(r.bytes, 1))
	}
	x, y := saves(a), saves(b)
	return x < y || x == y && a.model.idleAt.Before(b.model.idleAt)
}

func (c *Controller) weight(urgent, normal, bulk int) float64 {
	return float64(urgent)*c.set.UrgentWeight + float64(normal)*c.set.NormalWeight + float64(bulk)*c.set.BulkWeight
}
