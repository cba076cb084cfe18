package model

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"time"

	"github.com/fireflycleat/fireflycleat/internal/stand"
	"github.com/fireflycleat/fireflycleat/internal/wire"
)

type order struct {
	wire.Order
	state  wire.OrderState
	detail string
}

func (o *order) finish(s wire.OrderState, detail string) { o.state, o.detail = s, detail }

func (o *order) response() wire.OrderResponse {
	return wire.OrderResponse{ID: o.ID, State: o.state, Detail: o.detail}
}

// ApplyOrder executes an order and returns its state and the HTTP status. A repeated order returns the state of the first.
func (e *Engine) ApplyOrder(in wire.Order) (wire.OrderResponse, int) {
	leaving := e.faults.Get().Leaving
	e.mu.Lock()
	defer e.mu.Unlock()
	if old, ok := e.orders[in.ID]; ok {
		if old.Order != in {
			return wire.OrderResponse{ID: in.ID, State: old.state, Detail: "order id is already used by a different order"}, http.StatusBadRequest
		}
		return old.response(), httpStatus(old)
	}
	o := &order{Order: in, state: wire.OrderPending}
	e.orders[in.ID] = o
	if e.settings.ChecksFence {
		if in.Fence < e.highestFence {
			e.audit.staleOrders++
			o.finish(wire.OrderStale, fmt.Sprintf("highest fence is %d", e.highestFence))
			return o.response(), httpStatus(o)
		}
		e.highestFence = in.Fence
	}
	e.executeOrder(o, leaving)
	return o.response(), httpStatus(o)
}

// OrderState returns the state of an order, which is wire.OrderUnknown if the engine has no such order.
func (e *Engine) OrderState(id string) wire.OrderResponse {
	e.mu.Lock()
	defer e.mu.Unlock()
	if o, ok := e.orders[id]; ok {
		return o.response()
	}
	return wire.OrderResponse{ID: id, State: wire.OrderUnknown}
}

func httpStatus(o *order) int {
	if o.state == wire.OrderStale {
		return http.StatusConflict
	}
	return http.StatusAccepted
}

func (e *Engine) executeOrder(o *order, leaving bool) {
	switch {
	case o.Op == wire.OpFence:
		o.finish(wire.OrderDone, "")
	case leaving && (o.Op == wire.OpLoad || o.Op == wire.OpLoadAdapter):
		o.finish(wire.OrderFailed, "engine is leaving")
	case o.Op == wire.OpLoad:
		e.startLoad(o)
	case o.Op == wire.OpUnload:
		e.startUnload(o)
	case o.Op == wire.OpLoadAdapter:
		e.startAdapterLoad(o)
	case o.Op == wire.OpUnloadAdapter:
		for _, p := range e.replicasOf(o.Model, o.Version) {
			delete(p.adapters, o.Adapter)
		}
		o.finish(wire.OrderDone, "")
	}
}

// replicasOf returns the replicas of the model that are not being unloaded; an empty version matches any.
func (e *Engine) replicasOf(model, version string) []*replica {
	var replicas []*replica
	for _, p := range e.replicas {
		if p.model == model && (version == "" || p.version == version) && p.unloadOrder == nil {
			replicas = append(replicas, p)
		}
	}
	return replicas
}

// startLoad reserves the memory immediately, as a real engine does; the sender of the order must ensure that the model fits.
func (e *Engine) startLoad(o *order) {
	ctx, cancel := context.WithCancel(e.incarnation.ctx)
	p := &replica{
		model: o.Model, version: o.Version, bytes: o.Bytes, slots: e.settings.Slots,
		adapters: make(map[string]bool), loadOrderID: o.ID, cancelLoad: cancel,
	}
	e.replicas = append(e.replicas, p)
	e.usedBytes += p.bytes
	replicas := 0
	for _, other := range e.replicas {
		if other.model == p.model {
			replicas++
		}
	}
	e.audit.replicaReserved(p, e.usedBytes, e.settings.CapacityBytes, replicas, time.Now())
	tier := e.tiers.nearest(checkpoint{p.model, p.version})
	go e.runLoad(ctx, o, p, tier)
}

func (e *Engine) runLoad(ctx context.Context, o *order, p *replica, tier wire.Tier) {
	defer p.cancelLoad()
	err := e.performLoad(ctx, o, tier)
	e.mu.Lock()
	defer e.mu.Unlock()
	if ctx.Err() != nil {
		return // The engine restarted, or an unload released the replica during the load.
	}
	if err != nil {
		e.freeReplica(p)
		o.finish(wire.OrderFailed, err.Error())
		return
	}
	p.ready = true
	p.span.Ready = time.Now()
	e.audit.loads++
	e.tiers.recordLoad(checkpoint{p.model, p.version})
	o.finish(wire.OrderDone, string(tier))
}

// performLoad blocks for the duration of a load from the tier, and applies the load faults.
func (e *Engine) performLoad(ctx context.Context, o *order, tier wire.Tier) error {
	rate := map[wire.Tier]int64{
		wire.TierMemory: e.settings.MemoryRate, wire.TierDisk: e.settings.DiskRate, wire.TierRemote: e.settings.RemoteRate,
	}[tier]
	var d time.Duration
	if rate > 0 {
		d = time.Duration(float64(o.Bytes) / float64(rate) * float64(time.Second))
	}
	crash := e.faults.Update(func(f *Faults) bool { return f.CrashDuringLoad.Fire() })
	fail := !crash && e.faults.Update(func(f *Faults) bool { return f.LoadFails.Fire() })
	if crash || fail {
		stand.Sleep(ctx, d/2)
		if crash && ctx.Err() == nil {
			e.Restart()
		}
		return fmt.Errorf("load from %s failed", tier)
	}
	if tier == wire.TierRemote && e.settings.Remote != nil {
		return e.settings.Remote(ctx, wire.StoreLoadRequest{Model: o.Model, Version: o.Version, Micros: d.Microseconds()})
	}
	stand.Sleep(ctx, d)
	return nil
}

// freeReplica removes the replica and releases its memory.
func (e *Engine) freeReplica(p *replica) {
	e.replicas = slices.DeleteFunc(e.replicas, func(o *replica) bool { return o == p })
	e.usedBytes -= p.bytes
	e.audit.replicaFreed(p, time.Now())
}

// startUnload cancels a load in progress, or lets the accepted requests of a loaded replica finish first.
func (e *Engine) startUnload(o *order) {
	replicas := e.replicasOf(o.Model, o.Version)
	if len(replicas) == 0 {
		o.finish(wire.OrderDone, "not loaded")
		return
	}
	p := replicas[0]
	p.unloadOrder = o
	if !p.ready {
		p.cancelLoad()
		e.orders[p.loadOrderID].finish(wire.OrderFailed, "unloaded while loading")
	}
	e.freeIfDrained(p)
}

func (e *Engine) freeIfDrained(p *replica) {
	if p.unloadOrder != nil && p.unloadOrder.state == wire.OrderPending && len(p.running)+len(p.waiting) == 0 {
		e.freeReplica(p)
		p.unloadOrder.finish(wire.OrderDone, "")
	}
}

func (e *Engine) startAdapterLoad(o *order) {
	replicas := slices.DeleteFunc(e.replicasOf(o.Model, o.Version), func(p *replica) bool { return !p.ready })
	if len(replicas) == 0 {
		o.finish(wire.OrderFailed, "model is not loaded")
		return
	}
	go e.runAdapterLoad(e.incarnation.ctx, o, replicas)
}

func (e *Engine) runAdapterLoad(ctx context.Context, o *order, replicas []*replica) {
	d := e.settings.AdapterMin
	if spread := e.settings.AdapterMax - e.settings.AdapterMin; spread > 0 {
		d += rand.N(spread)
	}
	var err error
	if e.settings.Remote != nil {
		err = e.settings.Remote(ctx, wire.StoreLoadRequest{Model: o.Model, Adapter: o.Adapter, Micros: d.Microseconds()})
	} else {
		stand.Sleep(ctx, d)
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	switch {
	case ctx.Err() != nil:
		return
	case err != nil:
		o.finish(wire.OrderFailed, err.Error())
		return
	}
	for _, p := range replicas {
		p.adapters[o.Adapter] = true
	}
	e.audit.adapterLoads++
	o.finish(wire.OrderDone, "")
}
