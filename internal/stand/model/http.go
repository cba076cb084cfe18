package model

import (
	"context"
	"net/http"
	"slices"
	"time"

	"github.com/fireflycleat/fireflycleat/internal/stand"
	"github.com/fireflycleat/fireflycleat/internal/wire"
)

const defaultEvents = 1000

// Handler returns the HTTP interface of the engine.
func (e *Engine) Handler() http.Handler {
	m := http.NewServeMux()
	e.faults.Register(m)
	m.HandleFunc("GET /v1/audit", func(w http.ResponseWriter, _ *http.Request) {
		stand.Reply(w, http.StatusOK, e.Audit())
	})
	m.HandleFunc("POST /v1/restart", func(w http.ResponseWriter, _ *http.Request) {
		e.Restart()
		w.WriteHeader(http.StatusNoContent)
	})
	m.HandleFunc("POST /v1/chat/completions", e.gate(e.postChat))
	m.HandleFunc("POST /v1/completions", e.gate(e.postCompletion))
	m.HandleFunc("DELETE /v1/requests/{id}", e.gate(e.deleteRequest))
	m.HandleFunc("GET /v1/requests/{id}/kv", e.gate(e.getKV))
	m.HandleFunc("POST /v1/kv", e.gate(e.postKV))
	m.HandleFunc("POST /v1/orders", e.gate(e.postOrder))
	m.HandleFunc("GET /v1/orders/{id}", e.gate(e.getOrder))
	m.HandleFunc("GET /v1/status", e.gate(e.getStatus))
	m.HandleFunc("GET /v1/events", e.gate(e.getEvents))
	return stand.ReadBodies(m)
}

// gate applies the faults that strike before a call is read, and ends the call with the incarnation.
func (e *Engine) gate(h http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		e.mu.Lock()
		l := e.life
		e.mu.Unlock()
		ctx, cancel := context.WithCancel(r.Context())
		defer cancel()
		defer context.AfterFunc(l.ctx, cancel)()
		hung := func(f Faults) bool { return f.Hang }
		if !stand.Sleep(ctx, stand.Millis(e.faults.Get().DelayMillis)) || !e.faults.Hold(ctx, hung) {
			stand.Drop()
		}
		h(w, r.WithContext(ctx))
	}
}

func (e *Engine) postOrder(w http.ResponseWriter, r *http.Request) {
	var o wire.Order
	if err := stand.Decode(r.Body, &o); err != nil {
		stand.Fail(w, http.StatusBadRequest, err.Error())
		return
	}
	if d := faultOf(o); d != "" {
		stand.Fail(w, http.StatusBadRequest, d)
		return
	}
	a, status := e.Order(o)
	if e.faults.Spend(func(f *Faults) bool { return f.LostAnswers.Hit() }) {
		stand.Drop()
	}
	stand.Reply(w, status, a)
}

func faultOf(o wire.Order) string {
	adapter := o.Op == wire.OpLoadAdapter || o.Op == wire.OpUnloadAdapter
	switch {
	case o.ID == "":
		return "order has no id"
	case !slices.Contains([]wire.Op{wire.OpLoad, wire.OpUnload, wire.OpFence}, o.Op) && !adapter:
		return "operation is unknown"
	case o.Op != wire.OpFence && o.Model == "":
		return "order names no model"
	case adapter && o.Adapter == "":
		return "order names no adapter"
	case o.Bytes < 0:
		return "bytes is negative"
	}
	return ""
}

func (e *Engine) getOrder(w http.ResponseWriter, r *http.Request) {
	a := e.OrderState(r.PathValue("id"))
	if a.State == wire.OrderUnknown {
		stand.Reply(w, http.StatusNotFound, a)
		return
	}
	stand.Reply(w, http.StatusOK, a)
}

func (e *Engine) deleteRequest(w http.ResponseWriter, r *http.Request) {
	a, ok := e.Cancel(r.PathValue("id"))
	if !ok {
		stand.Fail(w, http.StatusNotFound, "no such request is running or waiting")
		return
	}
	stand.Reply(w, http.StatusOK, a)
}

func (e *Engine) getKV(w http.ResponseWriter, r *http.Request) {
	kv, ok := e.export(r.PathValue("id"))
	if !ok {
		stand.Fail(w, http.StatusNotFound, "no such request is running")
		return
	}
	stand.Reply(w, http.StatusOK, kv)
}

func (e *Engine) export(id string) (wire.KVCache, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, q := range e.requests[id] {
		if q.started {
			return wire.KVCache{Model: q.model, Prompt: q.prompt, NextToken: q.next}, true
		}
	}
	return wire.KVCache{}, false
}

func (e *Engine) postKV(w http.ResponseWriter, r *http.Request) {
	var in wire.KVCache
	if err := stand.Decode(r.Body, &in); err != nil || in.NextToken < 0 {
		stand.Fail(w, http.StatusBadRequest, "not a KV cache")
		return
	}
	n := in.NextToken
	in.NextToken = 0
	e.mu.Lock()
	defer e.mu.Unlock()
	e.kv[in] = max(e.kv[in], n)
	w.WriteHeader(http.StatusNoContent)
}

func (e *Engine) getStatus(w http.ResponseWriter, r *http.Request) {
	if !stand.Sleep(r.Context(), stand.Millis(e.faults.Get().StatusDelayMillis)) {
		stand.Drop()
	}
	stand.Reply(w, http.StatusOK, e.Status())
}

func (e *Engine) getEvents(w http.ResponseWriter, r *http.Request) {
	from, err1 := stand.QueryInt(r, "from", 0)
	limit, err2 := stand.QueryInt(r, "limit", defaultEvents)
	if err1 != nil || err2 != nil {
		stand.Fail(w, http.StatusBadRequest, "from or limit is not a non-negative integer")
		return
	}
	e.mu.Lock()
	a := wire.EventsResponse{Incarnation: e.life.name, Next: from, Events: e.blocks.published(from, limit, time.Now())}
	e.mu.Unlock()
	if n := len(a.Events); n > 0 {
		a.Next = a.Events[n-1].Seq + 1
	}
	stand.Reply(w, http.StatusOK, a)
}

// Status returns what the engine reports of itself now.
func (e *Engine) Status() wire.EngineStatus {
	leaving := e.faults.Get().Leaving
	e.mu.Lock()
	defer e.mu.Unlock()
	f, at := e.load.Shown(time.Now())
	s := wire.EngineStatus{
		Name: e.set.Name, Incarnation: e.life.name, CapacityBytes: e.set.CapacityBytes, UsedBytes: e.used,
		HighestFence: e.fence, Leaving: leaving, ReportedAt: at, Running: f.running, Waiting: f.waiting,
		Replicas: []wire.EngineReplica{}, Cached: e.tiers.copies(),
	}
	for _, o := range e.orders {
		if o.state == wire.OrderPending {
			s.OrdersPending++
		}
	}
	for _, p := range e.replicas {
		s.Replicas = append(s.Replicas, p.status(f))
	}
	return s
}

func (p *replica) status(f loadFigures) wire.EngineReplica {
	r := wire.EngineReplica{
		Model: p.model, Version: p.version, Bytes: p.bytes, Slots: p.slots, Adapters: []string{},
		Ready: p.ready && p.unload == nil,
	}
	for a := range p.adapters {
		r.Adapters = append(r.Adapters, a)
	}
	slices.Sort(r.Adapters)
	for _, l := range f.replicas {
		if l.replica == p {
			r.Running, r.Waiting = l.running, l.waiting
		}
	}
	return r
}
