package bench

import (
	"slices"

	"github.com/fireflycleat/fireflycleat/pkg/cell"
)

// applyOrder applies an order once and returns its state; an order with an older fence is refused.
func (e *engine) applyOrder(o cell.Order) cell.OrderState {
	if s, ok := e.orders[o.OrderID]; ok {
		return s
	}
	if o.Fence < e.highestFence {
		return cell.OrderRefusedStale
	}
	e.highestFence = o.Fence
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
		if r := e.findReplica(o.Model); r != nil {
			r.adapters = slices.DeleteFunc(r.adapters, func(a string) bool { return a == o.Adapter })
		}
		e.orders[o.OrderID] = cell.OrderDone
	}
	return e.orders[o.OrderID]
}

// orderState returns the state of an order, which is OrderNeverSeen if the engine has not received the order.
func (e *engine) orderState(id string) cell.OrderState {
	if s, ok := e.orders[id]; ok {
		return s
	}
	return cell.OrderNeverSeen
}

// load reserves the memory, starts to load the model and counts violations of permits and memory.
func (e *engine) load(model string, done func()) *replica {
	sm := e.simulation
	m, _ := sm.view.Model(model)
	r := &replica{engine: e, model: model, spec: m, advancedAt: sm.now, loadStarted: sm.now}
	r.timer = timer{clock: sm.clock, run: r.step}
	e.replicas = append(e.replicas, r)
	e.usedBytes += m.ReplicaBytes()
	sm.recordLoad(r)
	if e.usedBytes > upstreamMemory {
		sm.outcome.Safety.Memory++
	}
	tier := e.cacheTier(model)
	finish := func() {
		if r.unloaded {
			return
		}
		r.ready, r.advancedAt = true, sm.now
		sm.outcome.LoadTime += r.weighByMemory(sm.now.Sub(r.loadStarted))
		r.idleSince = sm.now
		e.markRecentlyUsed(model)
		done()
		for _, f := range r.onReady {
			f()
		}
		r.process()
	}
	if tier == cell.TierRemote {
		sm.store.load(m.LoadTime(), finish)
	} else {
		sm.after(tierLoadTime(m.LoadTime(), tier), finish)
	}
	return r
}

func (e *engine) beginUnload(o cell.Order) {
	r := e.findReplica(o.Model)
	if r == nil {
		e.orders[o.OrderID] = cell.OrderDone
		return
	}
	r.unloadOrder = o.OrderID
	if len(r.running)+len(r.waiting) == 0 {
		e.unload(r)
	}
}

// unload removes a replica, frees its memory and completes its unload order.
func (e *engine) unload(r *replica) {
	sm := e.simulation
	if !r.idleSince.IsZero() {
		sm.addIdleTime(r, sm.now.Sub(r.idleSince))
	}
	r.unloaded = true
	r.timer.stop()
	e.replicas = slices.DeleteFunc(e.replicas, func(o *replica) bool { return o == r })
	e.usedBytes -= r.spec.ReplicaBytes()
	sm.replicas[r.model]--
	if r.unloadOrder != "" {
		e.orders[r.unloadOrder] = cell.OrderDone
	}
}

func (e *engine) loadAdapter(model, adapter string, done func(cell.OrderState)) {
	sm := e.simulation
	r := e.findReplica(model)
	if r == nil || !r.ready {
		done(cell.OrderFailed)
		return
	}
	spread := sm.deploy.AdapterMax - sm.deploy.AdapterMin
	sm.adapters.add(sm.deploy.AdapterMin+seconds(sm.random.Float64()*spread.Seconds()), func() {
		if r.unloaded {
			done(cell.OrderFailed)
			return
		}
		if !slices.Contains(r.adapters, adapter) {
			r.adapters = append(r.adapters, adapter)
		}
		if int64(len(r.adapters))*adapterBytes > r.spec.AdapterBytes {
			sm.outcome.Safety.Memory++
		}
		done(cell.OrderDone)
	})
}

// cacheTier returns the tier that holds the model's checkpoint, which is TierRemote if no copy is cached.
func (e *engine) cacheTier(model string) cell.Tier {
	for _, c := range e.cached {
		if c.Model == model {
			return c.Tier
		}
	}
	return cell.TierRemote
}

// markRecentlyUsed moves the checkpoint to the front of the memory tier. Checkpoints that no longer fit in the memory tier
// move to disk, and those that no longer fit on disk are deleted.
func (e *engine) markRecentlyUsed(model string) {
	e.cached = slices.DeleteFunc(e.cached, func(c cell.CachedCopy) bool { return c.Model == model })
	e.cached = slices.Insert(e.cached, 0, cell.CachedCopy{Model: model, Version: version})
	for i := range e.cached {
		if i >= memoryTierSize {
			e.cached[i].Tier = cell.TierDisk
		}
	}
	if limit := memoryTierSize + diskTierSize; len(e.cached) > limit {
		e.cached = e.cached[:limit]
	}
}
