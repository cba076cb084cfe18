package place

import (
	"time"

	"github.com/fireflycleat/fireflycleat/pkg/fleet"
)

// ApplyAnswer applies the answer to an order.
func (c *Controller) ApplyAnswer(now time.Time, o Order, a Answer) {
	u, ok := c.upstreams[o.Upstream]
	if !ok || u.entry.Born != o.Born || u.order == nil || *u.order != o {
		return
	}
	u.order = nil
	u.lastOrderAt = now
	if a == Accepted || a == AlreadyDone {
		u.conflicts, u.inDoubt = 0, false
	}
	if a != NoAnswer {
		u.unanswered = 0
	}
	switch a {
	case Accepted:
		u.accepted++
		if o.Key.Adapter == "" {
			u.unloading, u.assumedAt = "", time.Time{} // An upstream carries out one order for a model at a time.
			if o.Op == Unload {
				u.unloading = o.Key.Model
			}
		}
		c.apply(now, u, o)
		if o.Op == Unload && o.Key.Adapter != "" {
			// Requests unknown to this controller still use the adapter.
			if r, ok := u.replicas[o.Key.Model]; ok {
				r.adapters[o.Key.Adapter] = unloading
			}
			u.reportAt = now.Add(c.settings.ReportLag)
		}
	case AlreadyDone:
		if o.Op == Unload {
			u.accepted++ // The unload of an adapter that takes effect at once counts as an accepted order.
		}
		c.apply(now, u, o)
	case Conflict:
		u.conflicts++
		u.notBefore = now.Add(conflictBackoff)
		if u.conflicts >= maxConflicts || u.inDoubt {
			u.conflicts, u.inDoubt = 0, false
			u.known = false
			u.reportAt = now.Add(c.settings.ReportLag)
			if u.unloading != "" { // Its requests in progress were not known here.
				u.drainingSince, u.reportAt = now, now.Add(drainPoll)
			}
		}
	case NoAnswer:
		// Another order may follow immediately: both expect the same number of accepted orders, so only one of them takes effect.
		u.inDoubt = true
		if u.unanswered++; u.unanswered >= maxUnanswered {
			u.unanswered, u.known = 0, false
			u.reportAt = now
		}
	case Fenced, Rejected, Replaced:
		u.failedAt = now
		u.known = false
		u.reportAt = now.Add(c.settings.FailureBackoff)
	}
}

// countLoad counts a load by where it reads the weights from.
func (c *Controller) countLoad(u *upstream, m fleet.Model) {
	c.stats.Loads++
	switch d, fromStore := u.loadTime(m); {
	case fromStore:
		c.stats.StoreLoaded++
	case u.memory[m.Name] && d == m.FromMemory:
		c.stats.MemoryLoaded++
	default:
		c.stats.DiskLoaded++
	}
}

// apply updates the upstream after an order that took effect.
func (c *Controller) apply(now time.Time, u *upstream, o Order) {
	k := o.Key
	switch {
	case o.Op == Load && k.Adapter == "":
		m := c.engines[u.entry.Service].Models[k.Model]
		full, fromStore := u.loadTime(m)
		u.load = &load{model: k.Model, fromStore: fromStore, acceptedAt: now, fullSpeedTime: full}
		if fromStore {
			c.plan.storeLoads = c.countStoreLoads()
			u.load.concurrent = c.acceptedStoreLoads()
		}
		u.load.due = now.Add(c.speed.expectedTime(u.load))
		u.reportAt = now.Add(full + 10*time.Millisecond)
		u.reservedFor = ""
		c.countLoad(u, m)
		c.forgetMemory(now, u)
	case o.Op == Load:
		if r, ok := u.replicas[k.Model]; ok {
			r.adapters[k.Adapter] = now.Add(c.settings.AdapterTime)
			c.changed[k.Model] = true
		}
	case k.Adapter == "":
		c.removeReplica(u, k.Model)
		if c.running.replica[upstreamKey{u.entry.ID, k}] > 0 {
			// The upstream accepts no other order until its requests for the model have ended, which a report shows.
			u.drainingSince, u.known, u.reportAt = now, false, now.Add(drainPoll)
			c.stats.Drains++
		} else {
			u.notBefore = now.Add(idleUnloadDelay)
		}
		c.stats.Unloads++
	default:
		if r, ok := u.replicas[k.Model]; ok {
			delete(r.adapters, k.Adapter)
		}
	}
}
