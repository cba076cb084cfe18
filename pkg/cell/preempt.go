package cell

import (
	"slices"
	"time"
)

const (
	// preemptFactor is how much more the waiting work must weigh than the work of a replica that is drained for it. A
	// smaller factor lets two models of equal demand displace each other in turn.
	preemptFactor = 2.0
	// minResidence is the time for which a replica serves before it may be drained for other work, in multiples of its
	// load time.
	minResidence = 2
)

// preemption is a replica that can be drained for a model without memory.
type preemption struct {
	replica *replica
	value   float64   // weight of the work on the replica
	at      time.Time // earliest time of the drain
}

// planPreemption drains one replica for a model for which no upstream has memory, if the waiting work is worth more,
// and predicts when the model is ready. Without such a replica there is no prediction, and the waiting work is refused.
//
// Nothing is drained for work that another cell may have memory for: the drained replica would be loaded again
// elsewhere, which delays the waiting models at the store.
func (c *Controller) planPreemption(m *model) {
	m.blocked = true
	if c.passesToOtherCell(m) {
		return
	}
	at := c.now
	if r := m.preemptedReplica; r == nil || r.retireReason != preempted || !slices.Contains(r.upstream.replicas, r) {
		x := c.findPreemption(m)
		if x.replica == nil {
			return
		}
		if at = x.at; !at.After(c.now) {
			m.preemptedReplica = x.replica
			c.totals.drains++
			c.startRetire(x.replica, preempted)
		}
	}
	m.blocked = at.After(c.now)
	m.predictedReadyAt = at.Add(c.settings.DrainTime + unloadTime + c.loadTime(m, c.nearestTier(m)))
}

// passesToOtherCell reports whether no upstream has memory for the model and its waiting work can go to another cell.
// Then nothing is drained and no permit is claimed for it.
func (c *Controller) passesToOtherCell(m *model) bool {
	if len(m.replicas) > 0 || !m.canGoElsewhere() || c.awaitsQuiescence() {
		return false
	}
	return !slices.ContainsFunc(c.upstreams, func(u *upstream) bool {
		return c.eligible(u, m) && u.availableBytes+u.freeingBytes+u.evictableBytes >= m.spec.ReplicaBytes()
	})
}

// findPreemption returns the replica that may be drained first, and among equals the one with the least valuable work.
func (c *Controller) findPreemption(m *model) preemption {
	var best preemption
	weight := c.weight(m.waiting())
	urgent, _, _ := m.waiting()
	for _, u := range c.upstreams {
		if !c.eligible(u, m) {
			continue
		}
		for _, r := range u.replicas {
			if r.retireReason != notRetired || r.phase != loaded || !r.ready ||
				u.availableBytes+u.freeingBytes+u.evictableBytes+r.bytes < m.spec.ReplicaBytes() {
				continue
			}
			x := preemption{replica: r, value: c.workValue(r.model), at: c.preemptibleAt(r)}
			if (urgent == 0 || c.hasUrgent(r.model)) && weight < x.value*preemptFactor {
				continue
			}
			if best.replica == nil || x.at.Before(best.at) || x.at.Equal(best.at) && x.value < best.value {
				best = x
			}
		}
	}
	return best
}

func (c *Controller) hasUrgent(m *model) bool {
	waiting, _, _ := m.waiting()
	return m.urgent+waiting > 0
}

// workValue returns the weight of a model's work per replica. Work in progress that is not urgent counts as normal.
func (c *Controller) workValue(m *model) float64 {
	w := c.weight(m.waiting()) + c.weight(m.urgent, max(m.running()-m.urgent, 0), 0)
	if c.now.Before(m.retriesUntil) {
		w += retryWeight
	}
	return w / float64(max(len(m.replicas), 1))
}

// preemptibleAt returns when the replica has served for long enough to justify its load, or now if that time has
// passed.
func (c *Controller) preemptibleAt(r *replica) time.Time {
	return later(c.now, later(r.orderClosedAt, r.loadedAt).Add(minResidence*c.loadTime(r.model, r.tier)))
}
