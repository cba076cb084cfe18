package cell

import (
	"slices"
	"time"
)

// startRetire takes a replica out of the directory; it is unloaded when no request is left on it. A replica that cannot be
// unloaded for now stays in service, unless its upstream is leaving.
func (c *Controller) startRetire(r *replica, why reason) {
	if why != departed && !c.mayOrder(r.up) {
		return
	}
	r.retire, r.retiredAt = why, c.now
	c.draining = append(c.draining, r)
	c.ledgerChanged(r)
}

// outdated reports whether a replica of the model has another version than the template.
func (c *Controller) outdated(m *model) bool {
	return m.known && slices.ContainsFunc(m.replicas, func(r *replica) bool {
		return r.version != m.spec.Version && r.retire == keep && r.phase <= loaded
	})
}

// reviewRetired moves retired replicas on: back into service, or to their unload once they are drained.
func (c *Controller) reviewRetired(m *model) {
	c.retireOutdated(m)
	waiters := m.waiters()
	serving := slices.ContainsFunc(m.replicas, m.serving)
	for _, r := range m.replicas {
		switch {
		case r.retire == keep || r.phase != loaded:
		case r.retire == idle && (waiters > 0 || m.active && !serving):
			r.retire = keep
			serving = true
			c.ledgerChanged(r)
		case c.drained(r) && c.unloadable(r):
			c.startUnload(r)
		}
	}
}

// retireOutdated retires replicas of another version: at once when a current one serves, when the model is idle or when
// permits or memory leave no room to load the current version beside them.
func (c *Controller) retireOutdated(m *model) {
	if m.known && !c.outdated(m) {
		return
	}
	ready := slices.ContainsFunc(m.replicas, func(r *replica) bool { return m.serving(r) && r.ready })
	for _, r := range m.replicas {
		if r.retire == keep && r.phase == loaded && (!m.known || r.version != m.spec.Version) &&
			(ready || !m.known || !c.busy(m) || !c.mayLoad(m) || m.missing > 0 && m.blocked) {
			c.startRetire(r, outdated)
		}
	}
}

// drained reports whether every entry has seen the directory without the replica and the engine then reported it empty.
func (c *Controller) drained(r *replica) bool {
	at := r.retiredAt.Add(c.set.DrainDelay)
	return !c.now.Before(at) && !r.up.reportedAt.Before(at) && r.running+r.waiting == 0
}

// readDrained looks at a drained replica again once the figures of its engine are from after the drain, and asks for the
// status as soon as they can be. The lag of the figures is
// that of the last status.
func (c *Controller) readDrained() {
	c.draining = slices.DeleteFunc(c.draining, func(r *replica) bool {
		seen := !r.up.reportedAt.Before(r.retiredAt.Add(c.set.DrainDelay))
		if seen {
			c.touch(r.model)
		}
		return seen || r.retire == keep || r.phase != loaded || r.lost
	})
	for _, r := range c.draining {
		if !c.now.Before(c.drainReadAt(r)) {
			r.up.drainAskedAt = c.now
			c.emit(ReadStatus{Upstream: r.up.name})
		}
	}
}

// drainReadAt returns when a status is expected to show the drained replica.
func (c *Controller) drainReadAt(r *replica) time.Time {
	lag := max(r.up.statusAt.Sub(r.up.reportedAt), 0)
	return later(r.retiredAt.Add(c.set.DrainDelay+lag), r.up.drainAskedAt.Add(minQueryInterval))
}

// unloadable reports whether the replica has no open order and its upstream may get orders.
func (c *Controller) unloadable(r *replica) bool {
	return r.phase == loaded && !r.lost && !c.now.Before(r.retryAt) && r.load == nil && r.unload == nil && c.mayOrder(r.up) &&
		!slices.ContainsFunc(r.adapters, func(a *adapter) bool { return a.order != nil })
}

// evictable reports whether the replica may be unloaded at once because its memory is needed. The model must have been
// idle for long enough that no request is on its way; an engine answers a later one as not run.
func (c *Controller) evictable(r *replica) bool {
	if !r.ready || r.running+r.waiting > 0 || c.busy(r.model) || !c.unloadable(r) {
		return false
	}
	if r.retire != keep {
		return true
	}
	serving := 0
	for _, x := range r.model.replicas {
		if r.model.serving(x) {
			serving++
		}
	}
	return serving > c.floor(r.model) || !r.model.serving(r)
}

func (c *Controller) startUnload(r *replica) {
	c.sums.unloads++
	r.phase, r.ready = unloading, false
	r.unload = c.order(OpUnload, r, nil)
	c.ledgerChanged(r)
}
