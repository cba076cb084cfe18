package cell

import (
	"slices"
	"time"
)

// The phases of a replica in the ledger. Memory and permit are in use in all of them.
const (
	loading   phase = iota // loading is from the order to the confirmed end of the load.
	loaded                 // loaded is listed by the engine or confirmed by it.
	unloading              // unloading is from the order to its confirmed end.
	checking               // checking is a load without effect that waits for a status that shows so.
)

// The reasons for which a replica leaves the directory before it is unloaded.
const (
	keep     reason = iota
	idle            // idle replicas stay if work arrives before they are unloaded.
	excess          // excess replicas exceed the permits.
	outdated        // outdated replicas have another version than the template.
	departed        // departed replicas are on a leaving upstream.
	preempt         // preempt replicas make room for urgent work.
)

type (
	phase  int
	reason int

	// upstream is the ledger of one engine.
	upstream struct {
		name         string
		capacity     int64
		slots        int
		checksFence  bool
		leaving      bool
		gone         bool
		settled      bool
		incarnation  string
		past         []replaced // past holds earlier incarnations, whose late statuses are void.
		statusAt     time.Time
		reportedAt   time.Time
		drainAskedAt time.Time // drainAskedAt is when a status was last asked for because of a drain.
		fencedAt     time.Time
		fenceOrder   string
		highestFence int64
		changedAt    time.Time // changedAt is when a replica was last removed on a confirmed unload.
		foreign      int64     // foreign is memory in use beyond the listed replicas, in bytes.
		replicas     []*replica
		tiers        []Tier // tiers holds one more than the tier by model index; zero means not cached.
		cooling      []cooldown
		avail        int64 // avail, soon and evictable are used while one load plan is made.
		soon         int64
		evictable    int64
	}

	// replaced is an incarnation that another one was seen to replace.
	replaced struct {
		incarnation string
		at          time.Time
	}

	// cooldown bars a model from an upstream where its load failed.
	cooldown struct {
		model *model
		until time.Time
	}

	// replica is a model on an upstream, from the order of its load to its confirmed unload.
	replica struct {
		up        *upstream
		model     *model
		version   string
		bytes     int64
		slots     int
		phase     phase
		ready     bool
		lost      bool // lost tells that a newer incarnation does not list it while an order is still open.
		retire    reason
		retiredAt time.Time
		load      *order
		unload    *order
		retryAt   time.Time // retryAt bars another unload for a while after one that had no effect.
		readyAt   time.Time // readyAt is when the end of the load was learnt.
		closedAt  time.Time // closedAt is the end of the last order, from which a status without the replica counts.
		startedAt time.Time
		endAt     time.Time // endAt is the predicted end of the load.
		tier      Tier
		running   int
		waiting   int
		adapters  []*adapter
	}
)

// find returns the replica of the model in any version.
func (u *upstream) find(m *model) *replica {
	for _, r := range u.replicas {
		if r.model == m {
			return r
		}
	}
	return nil
}

// limit returns the slots of a replica within those of the upstream.
func (u *upstream) limit(slots int) int {
	if u.slots > 0 {
		return min(slots, u.slots)
	}
	return slots
}

func (u *upstream) tier(m *model) Tier {
	if m.index < len(u.tiers) && u.tiers[m.index] > 0 {
		return u.tiers[m.index] - 1
	}
	return TierRemote
}

// free returns the memory that is neither loaded nor reserved, in bytes.
func (c *Controller) free(u *upstream) int64 {
	n := u.capacity - u.foreign
	for _, r := range u.replicas {
		if c.counts(r) {
			n -= r.bytes
		}
	}
	return n
}

// counts reports whether the replica uses memory and a permit, which it does from the order to the confirmed unload.
func (c *Controller) counts(r *replica) bool { return !c.off.reserve || r.phase != loading }

func (c *Controller) addReplica(r *replica) {
	r.up.replicas = append(r.up.replicas, r)
	r.model.replicas = append(r.model.replicas, r)
	c.ledgerChanged(r)
}

func (c *Controller) dropReplica(r *replica) {
	same := func(x *replica) bool { return x == r }
	r.up.replicas = slices.DeleteFunc(r.up.replicas, same)
	r.model.replicas = slices.DeleteFunc(r.model.replicas, same)
	for _, a := range r.adapters {
		c.forgetAdapter(a)
	}
	c.ledgerChanged(r)
}

func (c *Controller) ledgerChanged(r *replica) {
	c.stale, c.replan = true, true
	c.touch(r.model)
}

// readStatus brings the ledger of an upstream up to date. A status is ignored when a later one was read already or when it
// is void.
func (c *Controller) readStatus(e UpstreamStatus) {
	u := c.upstream(e.Upstream)
	if u == nil || u.gone || e.AskedAt.Before(u.statusAt) && !c.off.order || u.void(e) && !c.off.void {
		return
	}
	s := &e.Status
	restarted := u.incarnation != "" && s.Incarnation != u.incarnation
	if restarted {
		u.past = append(u.past[max(0, len(u.past)-maxPast):], replaced{incarnation: u.incarnation, at: c.now})
		u.settled, u.fencedAt = false, time.Time{}
	}
	u.incarnation, u.statusAt, u.highestFence = s.Incarnation, e.AskedAt, s.HighestFence
	u.reportedAt = s.ReportedAt
	if u.reportedAt.IsZero() {
		u.reportedAt = e.AskedAt
	}
	if c.holds && s.HighestFence > c.fence {
		c.confirmedAt = time.Time{}
	}
	if s.CapacityBytes > 0 && s.CapacityBytes != u.capacity {
		u.capacity, c.replan = s.CapacityBytes, true
	}
	c.syncReplicas(u, e, restarted)
	c.readCached(u, s.Cached)
	c.settle(u, e)
	if s.Leaving {
		c.leave(u)
	}
}

// void reports whether the status is of an incarnation that has been replaced. Statuses can arrive in another order than
// that in which the engine made them; but one that was asked for after the replacement had been seen shows that its
// incarnation is the newer one, because an incarnation never comes back.
func (u *upstream) void(e UpstreamStatus) bool {
	i := slices.IndexFunc(u.past, func(p replaced) bool { return p.incarnation == e.Status.Incarnation })
	if i < 0 || e.AskedAt.Before(u.past[i].at) {
		return i >= 0
	}
	u.past = slices.Delete(u.past, i, i+1)
	return false
}

func (c *Controller) syncReplicas(u *upstream, e UpstreamStatus, restarted bool) {
	listed := int64(0)
	for i := range e.Status.Replicas {
		s := &e.Status.Replicas[i]
		listed += s.Bytes
		c.syncListed(u, e.AskedAt, s, restarted)
	}
	u.foreign = max(0, e.Status.UsedBytes-listed)
	for i := len(u.replicas) - 1; i >= 0; i-- {
		r := u.replicas[i]
		if isListed(e.Status.Replicas, r) {
			r.lost = false
			continue
		}
		switch {
		case r.load != nil || r.unload != nil:
			if !r.lost && (restarted || r.phase == loaded && !e.AskedAt.Before(r.readyAt)) {
				r.lost = true
				c.ledgerChanged(r)
			}
		case !e.AskedAt.Before(r.closedAt):
			c.dropReplica(r)
		}
	}
}

// syncListed enters a replica that the engine lists. On a settled upstream an unknown replica in a status that was asked
// for before the last confirmed unload is that replica, which is gone.
func (c *Controller) syncListed(u *upstream, asked time.Time, s *StatusReplica, restarted bool) {
	m := c.model(s.Model)
	var r *replica
	for _, x := range u.replicas {
		if x.model == m && x.version == s.Version {
			r = x
			break
		}
	}
	if r == nil {
		if u.settled && !restarted && asked.Before(u.changedAt) {
			return
		}
		r = &replica{
			up: u, model: m, version: s.Version, bytes: s.Bytes, slots: u.limit(m.spec.Slots), phase: loaded,
			startedAt: c.now, endAt: c.now.Add(m.spec.LoadTime()), tier: TierRemote,
		}
		c.addReplica(r)
	}
	r.bytes = max(r.bytes, s.Bytes)
	if s.Slots > 0 {
		r.slots = u.limit(s.Slots)
	}
	if r.running+r.waiting != s.Running+s.Waiting {
		c.touch(m)
	}
	r.running, r.waiting = s.Running, s.Waiting
	c.syncAdapters(r, asked, s.Adapters)
	switch {
	case r.phase == loading && s.Ready:
		c.loadDone(r)
		if r.load.ended {
			c.close(r.load, OrderDone)
		}
	case r.phase == checking && !asked.Before(r.closedAt):
		r.phase = loaded
		fallthrough
	case r.phase == loaded && r.ready != s.Ready && (s.Ready || !asked.Before(later(r.readyAt, r.closedAt))):
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

func (c *Controller) readCached(u *upstream, list []CachedCopy) {
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
