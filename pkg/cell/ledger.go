package cell

import (
	"slices"
	"time"
)

// The phases of a replica in the ledger. Memory and a permit are in use in all of them.
const (
	loading   phase = iota // from the order to the confirmed end of the load
	loaded                 // listed or confirmed by the engine
	unloading              // from the order to the confirmed end of the unload
	verifying              // after an order whose outcome leaves no replica; a status must confirm its absence
)

// The reasons for which a replica leaves the directory before it is unloaded.
const (
	notRetired      reason = iota
	idle                   // returns to service if work arrives before the unload
	excess                 // exceeds the permits
	outdated               // has another version than the template
	upstreamLeaving        // is on a leaving upstream
	preempted              // makes room for other work
)

type (
	phase  int
	reason int

	// upstream is the ledger of one engine.
	upstream struct {
		name                 string
		capacity             int64
		slots                int
		checksFence          bool
		leaving              bool
		gone                 bool
		quiesced             bool // set when no order of an earlier holder can still take effect
		incarnation          string
		replacedIncarnations []replacedIncarnation // Their late statuses are ignored.
		statusAskedAt        time.Time             // when the latest applied status was requested
		reportedAt           time.Time             // time of the Running and Waiting figures of that status
		drainStatusAskedAt   time.Time             // when a status was last requested because of a drain
		fencedAt             time.Time
		fenceOrder           string
		highestFence         int64
		unloadedAt           time.Time // when a replica was last removed on a confirmed unload
		unlistedBytes        int64     // memory in use beyond the listed replicas
		replicas             []*replica
		tiers                []Tier // indexed by model.index; holds the tier plus one, zero means not cached
		cooldowns            []cooldown
		availableBytes       int64 // free memory; this and the next two fields are valid during one load plan
		freeingBytes         int64 // memory of replicas that are being unloaded
		evictableBytes       int64 // memory of replicas that may be evicted
	}

	// replacedIncarnation is an incarnation of an engine that was seen to be replaced by another one.
	replacedIncarnation struct {
		incarnation string
		at          time.Time // when the replacement was seen
	}

	// cooldown excludes a model from an upstream where its load failed.
	cooldown struct {
		model *model
		until time.Time
	}

	// replica is a model on an upstream, from the order of its load to its confirmed unload.
	replica struct {
		upstream       *upstream
		model          *model
		version        string
		bytes          int64
		slots          int
		phase          phase
		ready          bool
		lost           bool // set when the engine no longer lists the replica, but an order for it is still open
		retireReason   reason
		retiredAt      time.Time
		loadOrder      *order
		unloadOrder    *order
		retryAt        time.Time // after an unload without effect, the earliest time of the next one
		loadedAt       time.Time // when the end of the load became known
		orderClosedAt  time.Time // end of the last order; only statuses requested later can show the replica's absence
		startedAt      time.Time
		predictedEndAt time.Time // predicted end of the load
		tier           Tier
		running        int
		waiting        int
		adapters       []*adapter
	}
)

// findReplica returns the replica of the model in any version, or nil.
func (u *upstream) findReplica(m *model) *replica {
	for _, r := range u.replicas {
		if r.model == m {
			return r
		}
	}
	return nil
}

// limitSlots returns the slots of a replica, limited to those of the upstream if it has a limit.
func (u *upstream) limitSlots(slots int) int {
	if u.slots > 0 {
		return min(slots, u.slots)
	}
	return slots
}

// tier returns the nearest tier in which the upstream's host keeps the current checkpoint of the model.
func (u *upstream) tier(m *model) Tier {
	if m.index < len(u.tiers) && u.tiers[m.index] > 0 {
		return u.tiers[m.index] - 1
	}
	return TierRemote
}

// freeBytes returns the memory that is neither loaded nor reserved.
func (c *Controller) freeBytes(u *upstream) int64 {
	n := u.capacity - u.unlistedBytes
	for _, r := range u.replicas {
		if c.holdsResources(r) {
			n -= r.bytes
		}
	}
	return n
}

// holdsResources reports whether the replica uses memory and a permit, which it does from its order to its confirmed
// unload.
func (c *Controller) holdsResources(r *replica) bool {
	return !c.disabled.reservation || r.phase != loading
}

func (c *Controller) addReplica(r *replica) {
	r.upstream.replicas = append(r.upstream.replicas, r)
	r.model.replicas = append(r.model.replicas, r)
	c.ledgerChanged(r)
}

func (c *Controller) dropReplica(r *replica) {
	same := func(x *replica) bool { return x == r }
	r.upstream.replicas = slices.DeleteFunc(r.upstream.replicas, same)
	r.model.replicas = slices.DeleteFunc(r.model.replicas, same)
	for _, a := range r.adapters {
		c.dropAdapter(a)
	}
	c.ledgerChanged(r)
}

func (c *Controller) ledgerChanged(r *replica) {
	c.directoryStale, c.replan = true, true
	c.markDirty(r.model)
}

// applyStatus updates the ledger of an upstream. A status is ignored if a later one has been applied or if it comes
// from a replaced incarnation.
func (c *Controller) applyStatus(e UpstreamStatus) {
	u := c.upstream(e.Upstream)
	if u == nil || u.gone || e.AskedAt.Before(u.statusAskedAt) && !c.disabled.statusOrder ||
		u.fromReplaced(e) && !c.disabled.replacedStatus {
		return
	}
	s := &e.Status
	restarted := u.incarnation != "" && s.Incarnation != u.incarnation
	if restarted {
		u.replacedIncarnations = append(
			u.replacedIncarnations[max(0, len(u.replacedIncarnations)-maxReplacedIncarnations):],
			replacedIncarnation{incarnation: u.incarnation, at: c.now},
		)
		u.quiesced, u.fencedAt = false, time.Time{}
	}
	u.incarnation, u.statusAskedAt, u.highestFence = s.Incarnation, e.AskedAt, s.HighestFence
	u.reportedAt = s.ReportedAt
	if u.reportedAt.IsZero() {
		u.reportedAt = e.AskedAt
	}
	if c.holdsLease && s.HighestFence > c.fence {
		c.confirmedAt = time.Time{}
	}
	if s.CapacityBytes > 0 && s.CapacityBytes != u.capacity {
		u.capacity, c.replan = s.CapacityBytes, true
	}
	c.syncReplicas(u, e, restarted)
	c.syncCached(u, s.Cached)
	c.updateQuiesced(u, e)
	if s.Leaving {
		c.beginLeaving(u)
	}
}

// fromReplaced reports whether the status is from an incarnation that has been replaced. Statuses can arrive out of
// order. If a status was requested after the replacement was seen, however, its incarnation is the newer one, because
// an incarnation never returns.
func (u *upstream) fromReplaced(e UpstreamStatus) bool {
	i := slices.IndexFunc(u.replacedIncarnations, func(p replacedIncarnation) bool { return p.incarnation == e.Status.Incarnation })
	if i < 0 || e.AskedAt.Before(u.replacedIncarnations[i].at) {
		return i >= 0
	}
	u.replacedIncarnations = slices.Delete(u.replacedIncarnations, i, i+1)
	return false
}

func (c *Controller) syncReplicas(u *upstream, e UpstreamStatus, restarted bool) {
	listed := int64(0)
	for i := range e.Status.Replicas {
		s := &e.Status.Replicas[i]
		listed += s.Bytes
		c.syncReplica(u, e.AskedAt, s, restarted)
	}
	u.unlistedBytes = max(0, e.Status.UsedBytes-listed)
	for i := len(u.replicas) - 1; i >= 0; i-- {
		r := u.replicas[i]
		if isListed(e.Status.Replicas, r) {
			r.lost = false
			continue
		}
		switch {
		case r.loadOrder != nil || r.unloadOrder != nil:
			if !r.lost && (restarted || r.phase == loaded && !e.AskedAt.Before(r.loadedAt)) {
				r.lost = true
				c.ledgerChanged(r)
			}
		case !e.AskedAt.Before(r.orderClosedAt):
			c.dropReplica(r)
		}
	}
}

// syncReplica updates or adds a replica that the engine lists. On a quiesced upstream, an unknown replica in a status
// that was requested before the last confirmed unload is the unloaded replica and is skipped.
func (c *Controller) syncReplica(u *upstream, askedAt time.Time, s *StatusReplica, restarted bool) {
	m := c.model(s.Model)
	var r *replica
	for _, x := range u.replicas {
		if x.model == m && x.version == s.Version {
			r = x
			break
		}
	}
	if r == nil {
		if u.quiesced && !restarted && askedAt.Before(u.unloadedAt) {
			return
		}
		r = &replica{
			upstream: u, model: m, version: s.Version, bytes: s.Bytes, slots: u.limitSlots(m.spec.Slots), phase: loaded,
			startedAt: c.now, predictedEndAt: c.now.Add(m.spec.LoadTime()), tier: TierRemote,
		}
		c.addReplica(r)
	}
	r.bytes = max(r.bytes, s.Bytes)
	if s.Slots > 0 {
		r.slots = u.limitSlots(s.Slots)
	}
	if r.running+r.waiting != s.Running+s.Waiting {
		c.markDirty(m)
	}
	r.running, r.waiting = s.Running, s.Waiting
	c.syncAdapters(r, askedAt, s.Adapters)
	switch {
	case r.phase == loading && s.Ready:
		c.markLoaded(r)
		if r.loadOrder.senderFinished {
			c.closeOrder(r.loadOrder, OrderDone)
		}
	case r.phase == verifying && !askedAt.Before(r.orderClosedAt):
		r.phase = loaded
		fallthrough
	case r.phase == loaded && r.ready != s.Ready && (s.Ready || !askedAt.Before(later(r.loadedAt, r.orderClosedAt))):
		r.ready = s.Ready
		c.ledgerChanged(r)
	}
}

func isListed(list []StatusReplica, r *replica) bool {
	for i := range list {
		if list[i].Model == r.model.name && list[i].Version == r.version {
			return true
		}
	}
	return false
}

func (c *Controller) syncCached(u *upstream, list []CachedCopy) {
	clear(u.tiers)
	for i := range list {
		m := c.model(list[i].Model)
		if list[i].Version != m.spec.Version {
			continue
		}
		for len(u.tiers) <= m.index {
			u.tiers = append(u.tiers, 0)
		}
		u.tiers[m.index] = list[i].Tier + 1
	}
}
