package cell

import (
	"slices"
	"time"
)

const (
	// preemptFactor is how much more the waiting work must weigh than the work of a replica that is drained for it; a
	// smaller factor lets two models of equal demand displace each other in turn.
	preemptFactor = 2.0
	// residence is the number of its load times for which a replica serves before it may be drained for other work.
	residence = 2
)

// room is the replica whose memory a model that fits nowhere gets next.
type room struct {
	replica *replica
	value   float64   // value is the weight of the work on the replica.
	at      time.Time // at is when the replica may be drained.
}

// makeRoom drains one replica for a model that fits nowhere and whose waiting work is worth more, and predicts when the
// model is ready after that. Without such a replica there is no prediction, and the waiting work is refused.
//
// Work that another cell may still have memory for drains nothing: a drained replica is loaded again elsewhere, which takes
// the store from the models that wait.
func (c *Controller) makeRoom(m *model) {
	m.blocked = true
	if c.passesOn(m) {
		return
	}
	at := c.now
	if r := m.preempting; r == nil || r.retire != preempt || !slices.Contains(r.up.replicas, r) {
		x := c.findRoom(m)
		if x.replica == nil {
			return
		}
		if at = x.at; !at.After(c.now) {
			m.preempting = x.replica
			c.sums.drains++
			c.startRetire(x.replica, preempt)
		}
	}
	m.blocked = at.After(c.now)
	m.readyAt = at.Add(c.set.DrainTime + unloadTime + c.loadTime(m, c.nearest(m)))
}

// passesOn reports whether no upstream has memory for the model and its waiting work can go to another cell. Neither a drain
// nor a claim is made for it then.
func (c *Controller) passesOn(m *model) bool {
	if len(m.replicas) > 0 || !m.elsewhere() || c.settling() {
		return false
	}
	return !slices.ContainsFunc(c.upstreams, func(u *upstream) bool {
		return c.eligible(u, m) && u.avail+u.soon+u.evictable >= m.spec.ReplicaBytes()
	})
}

// findRoom returns the replica that may be drained first, and among several that with the least valuable work.
func (c *Controller) findRoom(m *model) room {
	var best room
	worth := c.weight(m.waiting())
	urgent, _, _ := m.waiting()
	for _, u := range c.upstreams {
		if !c.eligible(u, m) {
			continue
		}
		for _, r := range u.replicas {
			if r.retire != keep || r.phase != loaded || !r.ready ||
				u.avail+u.soon+u.evictable+r.bytes < m.spec.ReplicaBytes() {
				continue
			}
			x := room{replica: r, value: c.value(r.model), at: c.residentAt(r)}
			if (urgent == 0 || c.hasUrgent(r.model)) && worth < x.value*preemptFactor {
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

// value is the weight of a model's work for each of its replicas. Work in progress that is not urgent counts as normal.
func (c *Controller) value(m *model) float64 {
	w := c.weight(m.waiting()) + c.weight(m.urgent, max(m.running()-m.urgent, 0), 0)
	if c.now.Before(m.promised) {
		w += promiseWeight
	}
	return w / float64(max(len(m.replicas), 1))
}

// residentAt returns when the replica has served for long enough to have been worth its load, but not a past time.
func (c *Controller) residentAt(r *replica) time.Time {
	return later(c.now, later(r.closedAt, r.readyAt).Add(residence*c.loadTime(r.model, r.tier)))
}
