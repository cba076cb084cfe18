package cell

import (
	"slices"
	"time"
)

// adapter is an adapter on a replica, from the order of its load to its confirmed unload.
type adapter struct {
	name          string
	bytes         int64
	phase         phase
	order         *order
	countsAsLoad  bool // counted in Controller.adapterLoads
	orderClosedAt time.Time
	lastUsedAt    time.Time // when work last waited for the adapter
}

func (r *replica) adapter(name string) *adapter {
	for _, a := range r.adapters {
		if a.name == name {
			return a
		}
	}
	return nil
}

// loadAdapters loads the adapters that requests wait for, within the cell's limit of adapter loads in flight and the
// adapter pool of each replica.
func (c *Controller) loadAdapters(m *model) {
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
				a.lastUsedAt = c.now
				have++
			}
		}
		for have < 1+waiting/max(m.spec.Slots, 1) && c.adapterLoads < c.settings.AdaptersInFlight {
			if !c.placeAdapter(m, spec.Name, spec.Bytes) {
				break
			}
			have++
		}
	}
}

// placeAdapter loads the adapter on the least loaded replica with pool space. It reports whether a load was ordered.
func (c *Controller) placeAdapter(m *model, name string, bytes int64) bool {
	var best *replica
	for _, r := range m.replicas {
		if !m.serving(r) || !r.ready || r.phase != loaded || r.adapter(name) != nil || !c.mayOrder(r.upstream) ||
			!c.ensurePoolSpace(r, bytes) {
			continue
		}
		if best == nil || r.running+r.waiting < best.running+best.waiting {
			best = r
		}
	}
	if best == nil {
		return false
	}
	a := &adapter{name: name, bytes: bytes, lastUsedAt: c.now, countsAsLoad: true}
	best.adapters = append(best.adapters, a)
	c.adapterLoads++
	a.order = c.order(OpLoadAdapter, best, a)
	return true
}

// ensurePoolSpace reports whether the adapter pool of the replica has the given number of bytes free. If not, and if
// the unloads in progress do not free enough, it orders the unload of the least recently used adapter.
func (c *Controller) ensurePoolSpace(r *replica, bytes int64) bool {
	used, freeing := int64(0), int64(0)
	var oldest *adapter
	for _, a := range r.adapters {
		used += a.bytes
		switch {
		case a.phase == unloading:
			freeing += a.bytes
		case a.phase == loaded && a.order == nil && c.now.Sub(a.lastUsedAt) >= c.settings.DrainDelay &&
			(oldest == nil || a.lastUsedAt.Before(oldest.lastUsedAt)):
			oldest = a
		}
	}
	if used+bytes <= r.model.spec.AdapterBytes {
		return true
	}
	if oldest != nil && used-freeing+bytes > r.model.spec.AdapterBytes {
		oldest.phase = unloading
		oldest.order = c.order(OpUnloadAdapter, r, oldest)
		c.directoryStale = true
	}
	return false
}

func (c *Controller) closeAdapter(o *order, s OrderState) {
	a := o.adapter
	a.order, a.orderClosedAt = nil, c.now
	c.endAdapterLoad(a)
	switch {
	case o.op == OpLoadAdapter && s == OrderDone, o.op == OpUnloadAdapter && s != OrderDone:
		a.phase = loaded
	case o.op == OpLoadAdapter:
		a.phase = verifying
	default:
		o.replica.adapters = slices.DeleteFunc(o.replica.adapters, func(x *adapter) bool { return x == a })
	}
	c.publishNow = true
	for _, m := range c.models {
		if slices.ContainsFunc(m.demands, func(d demand) bool { return d.Adapter != "" }) {
			c.markDirty(m)
		}
	}
}

func (c *Controller) dropAdapter(a *adapter) { c.endAdapterLoad(a) }

func (c *Controller) endAdapterLoad(a *adapter) {
	if a.countsAsLoad {
		a.countsAsLoad = false
		c.adapterLoads--
	}
}

// syncAdapters updates the adapters of a replica from a status that was requested at the given time.
func (c *Controller) syncAdapters(r *replica, askedAt time.Time, names []string) {
	for _, n := range names {
		a := r.adapter(n)
		if a == nil {
			spec, _ := r.model.spec.Adapter(n)
			r.adapters = append(r.adapters, &adapter{name: n, bytes: spec.Bytes, phase: loaded, lastUsedAt: c.now})
			c.directoryStale = true
			continue
		}
		if a.phase == verifying && !askedAt.Before(a.orderClosedAt) {
			a.phase = loaded
			c.directoryStale = true
		}
	}
	r.adapters = slices.DeleteFunc(r.adapters, func(a *adapter) bool {
		gone := a.order == nil && !askedAt.Before(a.orderClosedAt) && !slices.Contains(names, a.name)
		c.directoryStale = c.directoryStale || gone
		return gone
	})
}
