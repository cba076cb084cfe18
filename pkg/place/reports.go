package place

import (
	"slices"
	"time"
)

// Report takes over the report that was asked for at the given time.
func (c *Controller) Report(now, asked time.Time, id string, r Report) {
	u, ok := c.upstreams[id]
	if !ok || r.Born != 0 && u.entry.Born != 0 && r.Born != u.entry.Born {
		return
	}
	u.asked = time.Time{}
	u.dark = false
	if u.order != nil {
		return
	}
	old := asked.Sub(u.ordered) < c.settings.ReportLag
	switch {
	case u.known && r.Accepted < u.accepted:
		u.reportAt = now.Add(reportRetry) // The content is older than the last order.
		return
	case u.known && r.Accepted > u.accepted:
		// An order whose answer was lost has been accepted.
		u.accepted, u.doubt = r.Accepted, false
		if u.load != nil && !r.Busy {
			u.load = nil
		}
	case old:
		u.reportAt = now.Add(reportRetry)
		return
	}
	u.known, u.accepted, u.doubt = true, r.Accepted, false
	u.copies(r.InMemory, r.OnDisk)
	c.compare(now, u, r)
}

// compare takes over what the report says of loads and of what is held.
func (c *Controller) compare(now time.Time, u *upstream, r Report) {
	held := heldNames(r.Held)
	if u.load != nil {
		switch {
		case slices.Contains(held, u.load.model):
			c.loaded(now, u)
		case !r.Busy && now.Sub(u.load.accepted) > 2*c.settings.ReportLag:
			u.load = nil
			u.failed = now
		default:
			c.slow(now, u.load)
			u.reportAt = now.Add(reportRetry)
		}
	}
	if u.load == nil {
		u.adopt(r.Held)
	}
	for _, k := range r.Coming {
		if x, ok := u.replicas[k.Model]; ok {
			if _, ok := x.adapters[k.Adapter]; !ok {
				x.adapters[k.Adapter] = now.Add(c.settings.AdapterTime)
			}
		}
	}
	if u.unloads() {
		u.reportAt = now.Add(reportRetry)
	}
	if r.Busy && u.load == nil {
		// Another controller ordered a load. Its model is not listed before it is ready, so that the memory is not known.
		u.known = false
		u.reportAt = now.Add(reportRetry)
	}
}

func (c *Controller) loaded(now time.Time, u *upstream) {
	if _, ok := u.replicas[u.load.model]; !ok {
		u.replicas[u.load.model] = &replica{adapters: make(map[string]time.Time), used: now, fresh: now}
	}
	u.disk[u.load.model] = true
	if l := u.load; l.store {
		c.speed.finished(l.together, now.Sub(l.accepted), l.full)
		c.forecastLoads()
	}
	c.news = append(c.news, Ready{u.entry.ID, Key{Model: u.load.model}, u.load.store, now.Sub(u.load.accepted), u.load.due.Sub(u.load.accepted)})
	u.load = nil
}

// NoReport takes over that no report came.
func (c *Controller) NoReport(now time.Time, id string) {
	if u, ok := c.upstreams[id]; ok {
		u.asked = time.Time{}
		u.dark = true
		u.reportAt = now.Add(2 * reportRetry)
	}
}

// slow takes over that a load is still under way.
func (c *Controller) slow(now time.Time, l *load) {
	if l.store && c.speed.unfinished(l.together, now.Sub(l.accepted), l.full) {
		c.forecastLoads()
	}
}

// Missing takes over that an upstream refused a request, so that it may not hold the model or adapter. What it holds keeps its
// place until a report tells otherwise: it may be full, or still load the adapter.
func (c *Controller) Missing(now time.Time, id string, k Key) {
	u, ok := c.upstreams[id]
	if !ok {
		return
	}
	if r, held := u.replicas[k.Model]; held {
		if at, ok := r.adapters[k.Adapter]; ok && !at.Equal(unloading) {
			r.adapters[k.Adapter] = now.Add(c.settings.ReportLag)
		}
		if u.reportAt.IsZero() {
			u.reportAt = now
		}
	}
}
