package bench

import (
	"slices"

	"github.com/fireflycleat/fireflycleat/pkg/cell"
)

// order applies an order and returns the state of its answer.
func (e *engine) order(o cell.Order) cell.OrderState {
	if s, ok := e.orders[o.OrderID]; ok {
		return s
	}
	if o.Fence < e.fence {
		return cell.OrderRefusedStale
	}
	e.fence = o.Fence
	e.orders[o.OrderID] = cell.OrderPending
	switch o.Op {
	case cell.OpFence:
		e.orders[o.OrderID] = cell.OrderDone
	case cell.OpLoad:
		e.load(o.Model, func() { e.orders[o.OrderID] = cell.OrderDone })
	case cell.OpUnload:
		e.beginUnload(o)
	case cell.OpLoadAdapter:
		e.loadAdapter(o.Model, o.Adapter, func(s cell.OrderState) { e.orders[o.OrderID] = s })
	case cell.OpUnloadAdapter:
		if r := e.find(o.Model); r != nil {
			r.adapters = slices.DeleteFunc(r.adapters, func(a string) bool { return a == o.Adapter })
		}
		e.orders[o.OrderID] = cell.OrderDone
	}
	return e.orders[o.OrderID]
}

// query returns what became of an order.
func (e *engine) query(id string) cell.OrderState {
	if s, ok := e.orders[id]; ok {
		return s
	}
	return cell.OrderNeverSeen
}

// load reserves the memory at once and counts what exceeds permits or capacity.
func (e *engine) load(model string, done func()) *replica {
	w := e.world
	m, _ := w.view.Model(model)
	r := &replica{engine: e, model: model, spec: m, mark: w.now, born: w.now}
	r.alarm = alarm{clock: w.clock, run: r.step}
	e.replicas = append(e.replicas, r)
	e.used += m.ReplicaBytes()
	w.loading(r)
	if e.used > capacity {
		w.out.Safety.Memory++
	}
	tier := e.tier(model)
	finish := func() {
		if r.dropped {
			return
		}
		r.ready, r.mark = true, w.now
		w.out.LoadTime += r.share(w.now.Sub(r.born))
		r.idleFrom = w.now
		e.touch(model)
		done()
		for _, f := range r.onReady {
			f()
		}
		r.settle()
	}
	if tier == cell.TierRemote {
		w.store.load(m.LoadTime(), finish)
	} else {
		w.after(tierTime(m.LoadTime(), tier), finish)
	}
	return r
}

func (e *engine) beginUnload(o cell.Order) {
	r := e.find(o.Model)
	if r == nil {
		e.orders[o.OrderID] = cell.OrderDone
		return
	}
	r.unload = o.OrderID
	if len(r.running)+len(r.waiting) == 0 {
		e.drop(r)
	}
}

// drop frees a replica.
func (e *engine) drop(r *replica) {
	w := e.world
	if !r.idleFrom.IsZero() {
		w.idle(r, w.now.Sub(r.idleFrom))
	}
	r.dropped = true
	r.alarm.stop()
	e.replicas = slices.DeleteFunc(e.replicas, func(o *replica) bool { return o == r })
	e.used -= r.spec.ReplicaBytes()
	w.replicas[r.model]--
	if r.unload != "" {
		e.orders[r.unload] = cell.OrderDone
	}
}

func (e *engine) loadAdapter(model, adapter string, done func(cell.OrderState)) {
	w := e.world
	r := e.find(model)
	if r == nil || !r.ready {
		done(cell.OrderFailed)
		return
	}
	spread := w.deploy.AdapterMax - w.deploy.AdapterMin
	w.adapters.add(w.deploy.AdapterMin+seconds(w.random.Float64()*spread.Seconds()), func() {
		if r.dropped {
			done(cell.OrderFailed)
			return
		}
		if !slices.Contains(r.adapters, adapter) {
			r.adapters = append(r.adapters, adapter)
		}
		if int64(len(r.adapters))*adapterSize > r.spec.AdapterBytes {
			w.out.Safety.Memory++
		}
		done(cell.OrderDone)
	})
}

// tier returns the nearest tier that holds the checkpoint.
func (e *engine) tier(model string) cell.Tier {
	for _, c := range e.cached {
		if c.Model == model {
			return c.Tier
		}
	}
	return cell.TierRemote
}

// touch makes the checkpoint the latest in memory; those beyond the tiers' sizes move to disk and then away.
func (e *engine) touch(model string) {
	e.cached = slices.DeleteFunc(e.cached, func(c cell.CachedCopy) bool { return c.Model == model })
	e.cached = slices.Insert(e.cached, 0, cell.CachedCopy{Model: model, Version: version})
	for i := range e.cached {
		if i >= memoryTier {
			e.cached[i].Tier = cell.TierDisk
		}
	}
	if most := memoryTier + diskTier; len(e.cached) > most {
		e.cached = e.cached[:most]
	}
}
