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
	// promiseWeight is the weight of refused callers who are expected back, in the units of the urgency weights.
	promiseWeight = 0.5
	// agePeriod is the waiting time that doubles the score of a queued load, up to maxAge times the score.
	agePeriod = 10 * time.Second
	maxAge    = 3.0
	// preemptFactor is how much more the waiting work must weigh than the work of a replica that is drained for it; a
	// smaller factor lets two models of equal demand displace each other in turn.
	preemptFactor = 2.0
	// residence is the number of its load times for which a replica serves before it may be drained for other work.
	residence = 2
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
			if m.missing > 0 && !m.readyAt.IsZero() && c.placeOne(m, &p) {
				again = again || m.missing > 0
			}
		}
	}
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

// settling reports whether an upstream may soon take loads that takes none yet, as after a takeover.
func (c *Controller) settling() bool {
	return slices.ContainsFunc(c.upstreams, func(u *upstream) bool { return !u.settled && !u.leaving && !u.gone })
}

// placeOne orders or plans one load of the model; ok is false when no further load of it can be planned.
func (c *Controller) placeOne(m *model, p *plan) (ok bool) {
	if !c.mayLoad(m) || !c.canOrder() {
		c.predictBlocked(m)
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
	m.missing--
	c.addReplica(r)
	if x.tier == TierRemote {
		c.store.start(c.now, r)
	}
}

func (c *Controller) finishLoad(r *replica) {
	if r.tier == TierRemote {
		c.store.finish(r, c.now, r.phase == loaded, c.loadTime(r.model, TierRemote))
	}
	c.replan = true
}

// loadTime returns the expected time of a load from the tier.
func (c *Controller) loadTime(m *model, t Tier) time.Duration {
	f := c.store.slowdown
	switch t {
	case TierMemory:
		f = c.set.MemoryFactor
	case TierDisk:
		f = c.set.DiskFactor
	}
	return time.Duration(float64(m.spec.LoadTime()) * f)
}

// evict unloads the replicas that have been idle longest until the upstream has the memory.
func (c *Controller) evict(u *upstream, need int64) {
	for u.avail+u.soon < need {
		var victim *replica
		for _, r := range u.replicas {
			if c.evictable(r) && (victim == nil || r.model.idleAt.Before(victim.model.idleAt)) {
				victim = r
			}
		}
		if victim == nil {
			return
		}
		u.evictable -= victim.bytes
		u.soon += victim.bytes
		c.startUnload(victim)
	}
}

// makeRoom drains one replica for a model that fits nowhere and whose waiting work is worth more.
func (c *Controller) makeRoom(m *model) {
	m.blocked = true
	if r := m.preempting; r == nil || r.retire != preempt || !slices.Contains(r.up.replicas, r) {
		m.preempting = c.preemptible(m)
		if m.preempting == nil {
			return
		}
		c.startRetire(m.preempting, preempt)
	}
	m.blocked = false
	m.readyAt = c.now.Add(c.set.RetryDefault + c.loadTime(m, c.nearest(m)))
}

// preemptible returns the replica with the least valuable work whose memory would let the model in.
func (c *Controller) preemptible(m *model) *replica {
	worth := c.weight(m.waiting())
	urgent, _, _ := m.waiting()
	var best *replica
	least := 0.0
	for _, u := range c.upstreams {
		if !c.eligible(u, m) {
			continue
		}
		for _, r := range u.replicas {
			if r.retire != keep || r.phase != loaded || !c.resident(r) ||
				u.avail+u.soon+u.evictable+r.bytes < m.spec.ReplicaBytes() {
				continue
			}
			x := r.model
			first, _, _ := x.waiting()
			value := c.value(x)
			if (urgent == 0 || x.urgent+first > 0) && worth < value*preemptFactor {
				continue
			}
			if best == nil || value < least {
				best, least = r, value
			}
		}
	}
	return best
}

// value is the weight of a model's work for each of its replicas.
func (c *Controller) value(m *model) float64 {
	w := c.weight(m.waiting()) + c.weight(m.urgent, max(m.running()-m.urgent, 0), 0)
	if c.now.Before(m.promised) {
		w += promiseWeight
	}
	return w / float64(max(len(m.replicas), 1))
}

// resident reports whether a replica has served for long enough to have been worth its load.
func (c *Controller) resident(r *replica) bool {
	return r.ready && c.now.Sub(later(r.closedAt, r.readyAt)) >= residence*c.loadTime(r.model, r.tier)
}

func (c *Controller) weight(urgent, normal, bulk int) float64 {
	return float64(urgent)*c.set.UrgentWeight + float64(normal)*c.set.NormalWeight + float64(bulk)*c.set.BulkWeight
}
