package place

import "time"

// Answered takes over the answer to an order.
func (c *Controller) Answered(now time.Time, o Order, a Answer) {
	u, ok := c.upstreams[o.Upstream]
	if !ok || u.entry.Born != o.Born || u.order == nil || *u.order != o {
		return
	}
	u.order = nil
	u.ordered = now
	if a == Accepted || a == Holds {
		u.conflicts, u.doubt = 0, false
	}
	if a != NoAnswer {
		u.silent = 0
	}
	switch a {
	case Accepted:
		u.accepted++
		c.apply(now, u, o)
		if o.Op == Unload && o.Key.Adapter != "" {
			// Requests that this controller did not know of still use the adapter.
			if r, ok := u.replicas[o.Key.Model]; ok {
				r.adapters[o.Key.Adapter] = unloading
			}
			u.reportAt = now.Add(c.settings.ReportLag)
		}
	case Holds:
		if o.Op == Unload {
			u.accepted++ // An adapter is unloaded at once, which counts as an order.
		}
		c.apply(now, u, o)
	case Conflict:
		u.conflicts++
		u.notBefore = now.Add(conflictWait)
		if u.conflicts >= maxConflicts || u.doubt {
			u.conflicts, u.doubt = 0, false
			u.known = false
			u.reportAt = now.Add(c.settings.ReportLag)
		}
	case NoAnswer:
		// Another order may follow at once: both expect the same number of accepted orders, so that only one takes effect.
		u.doubt = true
		if u.silent++; u.silent >= maxSilent {
			u.silent, u.known = 0, false
			u.reportAt = now
		}
	case Fenced, Rejected, Replaced:
		u.failed = now
		u.known = false
		u.reportAt = now.Add(c.settings.FailureTime)
	}
}

func (c *Controller) apply(now time.Time, u *upstream, o Order) {
	k := o.Key
	switch {
	case o.Op == Load && k.Adapter == "":
		m := c.engines[u.entry.Service].Models[k.Model]
		full, store := u.loadTime(m)
		u.load = &load{model: k.Model, store: store, accepted: now, full: full}
		if store {
			c.round.store = c.countStoreLoads()
			u.load.together = c.acceptedStoreLoads()
		}
		u.load.due = now.Add(c.speed.time(u.load))
		u.reportAt = now.Add(full + 10*time.Millisecond)
		u.intent = ""
		c.stats.Loads++
	case o.Op == Load:
		if r, ok := u.replicas[k.Model]; ok {
			r.adapters[k.Adapter] = now.Add(c.settings.AdapterTime)
		}
	case k.Adapter == "":
		delete(u.replicas, k.Model)
		c.stats.Unloads++
	default:
		if r, ok := u.replicas[k.Model]; ok {
			delete(r.adapters, k.Adapter)
		}
	}
}
