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

func (o *order) answer() wire.OrderResponse {
	return wire.OrderResponse{ID: o.ID, State: o.state, Detail: o.detail}
}

// Order applies an order and returns its state and the HTTP status.
func (e *Engine) Order(in wire.Order) (wire.OrderResponse, int) {
	leaving := e.faults.Get().Leaving
	e.mu.Lock()
	defer e.mu.Unlock()
	if old, ok := e.orders[in.ID]; ok {
		if old.Order != in {
			return wire.OrderResponse{ID: in.ID, State: old.state, Detail: "order id was used for another order"}, http.StatusBadRequest
		}
		return old.answer(), statusOf(old)
	}
	o := &order{Order: in, state: wire.OrderPending}
	e.orders[in.ID] = o
	if e.set.ChecksFence {
		if in.Fence < e.fence {
			e.audit.stale++
			o.finish(wire.OrderStale, fmt.Sprintf("highest fence is %d", e.fence))
			return o.answer(), statusOf(o)
		}
		e.fence = in.Fence
	}
	e.apply(o, leaving)
	return o.answer(), statusOf(o)
}

// OrderState returns the state of an order.
func (e *Engine) OrderState(id string) wire.OrderResponse {
	e.mu.Lock()
	defer e.mu.Unlock()
	if o, ok := e.orders[id]; ok {
		return o.answer()
	}
	return wire.OrderResponse{ID: id, State: wire.OrderUnknown}
}

func statusOf(o *order) int {
	if o.state == wire.OrderStale {
		return http.StatusConflict
	}
	return http.StatusAccepted
}

func (e *Engine) apply(o *order, leaving bool) {
	switch {
	case o.Op == wire.OpFence:
		o.finish(wire.OrderDone, "")
	case leaving && (o.Op == wire.OpLoad || o.Op == wire.OpLoadAdapter):
		o.finish(wire.OrderFailed, "engine is leaving")
	case o.Op == wire.OpLoad:
		e.beginLoad(o)
	case o.Op == wire.OpUnload:
		e.beginUnload(o)
	case o.Op == wire.OpLoadAdapter:
		e.beginAdapter(o)
	case o.Op == wire.OpUnloadAdapter:
		for _, p := range e.replicasOf(o.Model, o.Version) {
			delete(p.adapters, o.Adapter)
		}
		o.finish(wire.OrderDone, "")
	}
}

// replicasOf returns the replicas of the model that are not being unloaded; an empty version means any.
func (e *Engine) replicasOf(model, version string) []*replica {
	var l []*replica
	for _, p := range e.replicas {
		if p.model == model && (version == "" || p.version == version) && p.unload == nil {
			l = append(l, p)
		}
	}
	return l
}

// beginLoad reserves the memory at once, as a real engine does; it is the caller's business that it fits.
func (e *Engine) beginLoad(o *order) {
	ctx, cancel := context.WithCancel(e.life.ctx)
	p := &replica{
		model: o.Model, version: o.Version, bytes: o.Bytes, slots: e.set.Slots,
		adapters: make(map[string]bool), loadID: o.ID, cancelLoad: cancel,
	}
	e.replicas = append(e.replicas, p)
	e.used += p.bytes
	held := 0
	for _, other := range e.replicas {
		if other.model == p.model {
			held++
		}
	}
	e.audit.reserved(p, e.used, e.set.CapacityBytes, held, time.Now())
	tier := e.tiers.nearest(checkpoint{p.model, p.version})
	go e.runLoad(ctx, o, p, tier)
}

func (e *Engine) runLoad(ctx context.Context, o *order, p *replica, tier wire.Tier) {
	defer p.cancelLoad()
	err := e.fetch(ctx, o, tier)
	e.mu.Lock()
	defer e.mu.Unlock()
	if ctx.Err() != nil {
		return // The engine restarted or an unload freed the replica meanwhile.
	}
	if err != nil {
		e.free(p)
		o.finish(wire.OrderFailed, err.Error())
		return
	}
	p.ready = true
	p.span.Ready = time.Now()
	e.audit.loads++
	e.tiers.used(checkpoint{p.model, p.version})
	o.finish(wire.OrderDone, string(tier))
}

// fetch takes the time of a load from the tier.
func (e *Engine) fetch(ctx context.Context, o *order, tier wire.Tier) error {
	rate := map[wire.Tier]int64{
		wire.TierMemory: e.set.MemoryRate, wire.TierDisk: e.set.DiskRate, wire.TierRemote: e.set.RemoteRate,
	}[tier]
	var d time.Duration
	if rate > 0 {
		d = time.Duration(float64(o.Bytes) / float64(rate) * float64(time.Second))
	}
	die := e.faults.Spend(func(f *Faults) bool { return f.DieInLoad.Hit() })
	fail := !die && e.faults.Spend(func(f *Faults) bool { return f.LoadFails.Hit() })
	if die || fail {
		stand.Sleep(ctx, d/2)
		if die && ctx.Err() == nil {
			e.Restart()
		}
		return fmt.Errorf("load from %s failed", tier)
	}
	if tier == wire.TierRemote && e.set.Remote != nil {
		return e.set.Remote(ctx, wire.StoreLoadRequest{Model: o.Model, Version: o.Version, Micros: d.Microseconds()})
	}
	stand.Sleep(ctx, d)
	return nil
}

// free returns the memory of a replica.
func (e *Engine) free(p *replica) {
	e.replicas = slices.DeleteFunc(e.replicas, func(o *replica) bool { return o == p })
	e.used -= p.bytes
	e.audit.freed(p, time.Now())
}

// beginUnload stops a load in progress, or lets the accepted requests of a loaded replica finish first.
func (e *Engine) beginUnload(o *order) {
	l := e.replicasOf(o.Model, o.Version)
	if len(l) == 0 {
		o.finish(wire.OrderDone, "not loaded")
		return
	}
	p := l[0]
	p.unload = o
	if !p.ready {
		p.cancelLoad()
		e.orders[p.loadID].finish(wire.OrderFailed, "unloaded while loading")
	}
	e.freeIfDrained(p)
}

func (e *Engine) freeIfDrained(p *replica) {
	if p.unload != nil && p.unload.state == wire.OrderPending && len(p.running)+len(p.waiting) == 0 {
		e.free(p)
		p.unload.finish(wire.OrderDone, "")
	}
}

func (e *Engine) beginAdapter(o *order) {
	l := slices.DeleteFunc(e.replicasOf(o.Model, o.Version), func(p *replica) bool { return !p.ready })
	if len(l) == 0 {
		o.finish(wire.OrderFailed, "model is not loaded")
		return
	}
	go e.runAdapter(e.life.ctx, o, l)
}

func (e *Engine) runAdapter(ctx context.Context, o *order, l []*replica) {
	d := e.set.AdapterMin
	if spread := e.set.AdapterMax - e.set.AdapterMin; spread > 0 {
		d += rand.N(spread)
	}
	var err error
	if e.set.Remote != nil {
		err = e.set.Remote(ctx, wire.StoreLoadRequest{Model: o.Model, Adapter: o.Adapter, Micros: d.Microseconds()})
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
	for _, p := range l {
		p.adapters[o.Adapter] = true
	}
	e.audit.adapterLoads++
	o.finish(wire.OrderDone, "")
}
