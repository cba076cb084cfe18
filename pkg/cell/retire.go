package cell

import (
	"slices"
	"time"
)

// startRetire removes a replica from the directory; the replica is unloaded when no request is left on it. A replica
// that cannot be unloaded for now stays in service, unless its upstream is leaving.
func (c *Controller) startRetire(r *replica, why reason) {
	if why != upstreamLeaving && !c.mayOrder(r.upstream) {
		return
	}
	r.retireReason, r.retiredAt = why, c.now
	c.draining = append(c.draining, r)
	c.ledgerChanged(r)
}

// outdated reports whether a replica of the model has another version than the template.
func (c *Controller) outdated(m *model) bool {
	return m.configured && slices.ContainsFunc(m.replicas, func(r *replica) bool {
		return r.version != m.spec.Version && r.retireReason == notRetired && r.phase <= loaded
	})
}

// advanceRetired returns retired replicas to service or, once they are drained, unloads them.
func (c *Controller) advanceRetired(m *model) {
	c.retireOutdated(m)
	waiting := m.totalWaiting()
	serving := slices.ContainsFunc(m.replicas, m.serving)
	for _, r := range m.replicas {
		switch {
		case r.retireReason == notRetired || r.phase != loaded:
		case r.retireReason == idle && (waiting > 0 || m.active && !serving):
			r.retireReason = notRetired
			serving = true
			c.ledgerChanged(r)
		case c.drained(r) && c.mayUnload(r):
			c.startUnload(r)
		}
	}
}

// retireOutdated retires replicas of another version: at once when a current replica serves, when the model is idle, or
// when permits or memory do not suffice to load the current version beside them.
func (c *Controller) retireOutdated(m *model) {
	if m.configured && !c.outdated(m) {
		return
	}
	ready := slices.ContainsFunc(m.replicas, func(r *replica) bool { return m.serving(r) && r.ready })
	for _, r := range m.replicas {
		if r.retireReason == notRetired && r.phase == loaded && (!m.configured || r.version != m.spec.Version) &&
			(ready || !m.configured || !c.busy(m) || !c.mayLoad(m) || m.missing > 0 && m.blocked) {
			c.startRetire(r, outdated)
		}
	}
}

// drained reports whether every host has received the directory without the replica and the engine then reported it
// empty.
func (c *Controller) drained(r *replica) bool {
	at := r.retiredAt.Add(c.settings.DrainDelay)
	return !c.now.Before(at) && !r.upstream.reportedAt.Before(at) && r.running+r.waiting == 0
}

// checkDraining reconciles the models of drained replicas once the engine figures date from after the drain, and
// requests a status as soon as such figures can exist. The lag of the figures is taken from the last status.
func (c *Controller) checkDraining() {
	c.draining = slices.DeleteFunc(c.draining, func(r *replica) bool {
		seen := !r.upstream.reportedAt.Before(r.retiredAt.Add(c.settings.DrainDelay))
		if seen {
			c.markDirty(r.model)
		}
		return seen || r.retireReason == notRetired || r.phase != loaded || r.lost
	})
	for _, r := range c.draining {
		if !c.now.Before(c.drainStatusDueAt(r)) {
			r.upstream.drainStatusAskedAt = c.now
			c.emit(ReadStatus{Upstream: r.upstream.name})
		}
	}
}

// drainStatusDueAt returns when a status is expected to show that the replica is drained.
func (c *Controller) drainStatusDueAt(r *replica) time.Time {
	lag := max(r.upstream.statusAskedAt.Sub(r.upstream.reportedAt), 0)
	return later(r.retiredAt.Add(c.settings.DrainDelay+lag), r.upstream.drainStatusAskedAt.Add(minQueryInterval))
}

// mayUnload reports whether the replica has no open order and its upstream accepts orders.
func (c *Controller) mayUnload(r *replica) bool {
	return r.phase == loaded && !r.lost && !c.now.Before(r.retryAt) && r.loadOrder == nil && r.unloadOrder == nil && c.mayOrder(r.upstream) &&
		!slices.ContainsFunc(r.adapters, func(a *adapter) bool { return a.order != nil })
}

// evictable reports whether the replica may be unloaded at once because its memory is needed. The model must have been
// idle for long enough that no request is on its way; the engine reports a later request as not run.
func (c *Controller) evictable(r *replica) bool {
	if !r.ready || r.running+r.waiting > 0 || c.busy(r.model) || !c.mayUnload(r) {
		return false
	}
	if r.retireReason != notRetired {
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
	c.totals.unloads++
	r.phase, r.ready = unloading, false
	r.unloadOrder = c.order(OpUnload, r, nil)
	c.ledgerChanged(r)
}
