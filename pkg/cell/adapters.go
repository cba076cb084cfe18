package cell

import (
	"slices"
	"time"
)

// adapter is an adapter on a replica, from the order of its load to its confirmed unload.
type adapter struct {
	name     string
	bytes    int64
	phase    phase
	order    *order
	counted  bool // counted tells that the adapter counts as a load in flight.
	closedAt time.Time
	usedAt   time.Time // usedAt is when work last waited for the adapter.
}

func (r *replica) adapter(name string) *adapter {
	for _, a := range r.adapters {
		if a.name == name {
			return a
		}
	}
	return nil
}

// reviewAdapters loads the adapters that work waits for, within the shared limit of loads in flight and the adapter pool
// of the replica.
func (c *Controller) reviewAdapters(m *model) {
	for i := range m.demands {
		d := &m.demands[i]
		if d.Adapter == "" {
			continue
		}
		spec, ok := m.spec.Adapter(d.Adapter)
		if !ok {
			continue
		}
		waiting, have := 0, 0
		for _, x := range m.demands {
			if x.Adapter == d.Adapter {
				waiting += x.Urgent + x.Normal + x.Bulk
			}
		}
		for _, r := range m.replicas {
			if a := r.adapter(d.Adapter); a != nil && m.serving(r) && a.phase <= loaded {
				a.usedAt = c.now
				have++
			}
		}
		for have < 1+waiting/max(m.spec.Slots, 1) && c.adapting < c.set.AdaptersInFlight {
			if !c.loadAdapter(m, spec.Name, spec.Bytes) {
				break
			}
			have++
		}
	}
}

func (c *Controller) loadAdapter(m *model, name string, bytes int64) bool {
	var best *replica
	for _, r := range m.replicas {
		if !m.serving(r) || !r.ready || r.phase != loaded || r.adapter(name) != nil || !c.mayOrder(r.up) ||
			!c.poolHas(r, bytes) {
			continue
		}
		if best == nil || r.running+r.waiting < best.running+best.waiting {
			best = r
		}
	}
	if best == nil {
		return false
	}
	a := &adapter{name: name, bytes: bytes, usedAt: c.now, counted: true}
	best.adapters = append(best.adapters, a)
	c.adapting++
	a.order = c.order(OpLoadAdapter, best, a)
	return true
}

// poolHas reports whether the adapter pool has the space, and orders the unload of the adapter that was used least
// recently when it has not.
func (c *Controller) poolHas(r *replica, bytes int64) bool {
	used, leaving := int64(0), int64(0)
	var oldest *adapter
	for _, a := range r.adapters {
		used += a.bytes
		switch {
		case a.phase == unloading:
			leaving += a.bytes
		case a.phase == loaded && a.order == nil && c.now.Sub(a.usedAt) >= c.set.DrainDelay &&
			(oldest == nil || a.usedAt.Before(oldest.usedAt)):
			oldest = a
		}
	}
	if used+bytes <= r.model.spec.AdapterBytes {
		return true
	}
	if oldest != nil && used-leaving+bytes > r.model.spec.AdapterBytes {
		oldest.phase = unloading
		oldest.order = c.order(OpUnloadAdapter, r, oldest)
		c.stale = true
	}
	return false
}

func (c *Controller) closeAdapter(o *order, s OrderState) {
	a := o.adapter
	a.order, a.closedAt = nil, c.now
	c.uncountAdapter(a)
	switch {
	case o.op == OpLoadAdapter && s == OrderDone, o.op == OpUnloadAdapter && s != OrderDone:
		a.phase = loaded
	case o.op == OpLoadAdapter:
		a.phase = checking
	default:
		o.rep.adapters = slices.DeleteFunc(o.rep.adapters, func(x *adapter) bool { return x == a })
	}
	c.urgent = true
	for _, m := range c.models {
		if slices.ContainsFunc(m.demands, func(d demand) bool { return d.Adapter != "" }) {
			c.touch(m)
		}
	}
}

func (c *Controller) forgetAdapter(a *adapter) { c.uncountAdapter(a) }

func (c *Controller) uncountAdapter(a *adapter) {
	if a.counted {
		a.counted = false
		c.adapting--
	}
}

// syncAdapters brings the adapters of a replica up to date with a status that was asked for at the given time.
func (c *Controller) syncAdapters(r *replica, asked time.Time, names []string) {
	for _, n := range names {
		a := r.adapter(n)
		if a == nil {
			spec, _ := r.model.spec.Adapter(n)
			r.adapters = append(r.adapters, &adapter{name: n, bytes: spec.Bytes, phase: loaded, usedAt: c.now})
			c.stale = true
			continue
		}
		if a.phase == checking && !asked.Before(a.closedAt) {
			a.phase = loaded
			c.stale = true
		}
	}
	r.adapters = slices.DeleteFunc(r.adapters, func(a *adapter) bool {
		gone := a.order == nil && !asked.Before(a.closedAt) && !slices.Contains(names, a.name)
		c.stale = c.stale || gone
		return gone
	})
}
