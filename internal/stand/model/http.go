package model

import (
	"context"
	"net/http"
	"slices"
	"time"

	"github.com/fireflycleat/fireflycleat/internal/stand"
	"github.com/fireflycleat/fireflycleat/internal/wire"
)

const defaultEventLimit = 1000

// Handler returns the HTTP interface of the engine.
func (e *Engine) Handler() http.Handler {
	m := http.NewServeMux()
	e.faults.Register(m)
	m.HandleFunc("GET /v1/audit", func(w http.ResponseWriter, _ *http.Request) {
		stand.WriteJSON(w, http.StatusOK, e.Audit())
	})
	m.HandleFunc("POST /v1/restart", func(w http.ResponseWriter, _ *http.Request) {
		e.Restart()
		w.WriteHeader(http.StatusNoContent)
	})
	m.HandleFunc("POST /v1/chat/completions", e.withFaults(e.postChat))
	m.HandleFunc("POST /v1/completions", e.withFaults(e.postCompletion))
	m.HandleFunc("DELETE /v1/requests/{id}", e.withFaults(e.deleteRequest))
	m.HandleFunc("GET /v1/requests/{id}/kv", e.withFaults(e.getKV))
	m.HandleFunc("POST /v1/kv", e.withFaults(e.postKV))
	m.HandleFunc("POST /v1/orders", e.withFaults(e.postOrder))
	m.HandleFunc("GET /v1/orders/{id}", e.withFaults(e.getOrder))
	m.HandleFunc("GET /v1/status", e.withFaults(e.getStatus))
	m.HandleFunc("GET /v1/events", e.withFaults(e.getEvents))
	return stand.BufferBodies(m)
}

// withFaults returns a handler that applies the injected faults before it calls h, and ends the call with the incarnation.
func (e *Engine) withFaults(h http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		e.mu.Lock()
		inc := e.incarnation
		e.mu.Unlock()
		ctx, cancel := context.WithCancel(r.Context())
		defer cancel()
		defer context.AfterFunc(inc.ctx, cancel)()
		hung := func(f Faults) bool { return f.Hang }
		if !stand.Sleep(ctx, stand.Milliseconds(e.faults.Get().DelayMillis)) || !e.faults.WaitWhile(ctx, hung) {
			stand.AbortConnection()
		}
		h(w, r.WithContext(ctx))
	}
}

func (e *Engine) postOrder(w http.ResponseWriter, r *http.Request) {
	var o wire.Order
	if err := stand.DecodeStrict(r.Body, &o); err != nil {
		stand.WriteProblem(w, http.StatusBadRequest, err.Error())
		return
	}
	if d := invalidOrderDetail(o); d != "" {
		stand.WriteProblem(w, http.StatusBadRequest, d)
		return
	}
	a, status := e.ApplyOrder(o)
	if e.faults.Update(func(f *Faults) bool { return f.LostAnswers.Fire() }) {
		stand.AbortConnection()
	}
	stand.WriteJSON(w, status, a)
}

func invalidOrderDetail(o wire.Order) string {
	adapter := o.Op == wire.OpLoadAdapter || o.Op == wire.OpUnloadAdapter
	switch {
	case o.ID == "":
		return "order has no id"
	case !slices.Contains([]wire.Op{wire.OpLoad, wire.OpUnload, wire.OpFence}, o.Op) && !adapter:
		return "order has an unknown operation"
	case o.Op != wire.OpFence && o.Model == "":
		return "order has no model"
	case adapter && o.Adapter == "":
		return "order has no adapter"
	case o.Bytes < 0:
		return "bytes must not be negative"
	}
	return ""
}

func (e *Engine) getOrder(w http.ResponseWriter, r *http.Request) {
	a := e.OrderState(r.PathValue("id"))
	if a.State == wire.OrderUnknown {
		stand.WriteJSON(w, http.StatusNotFound, a)
		return
	}
	stand.WriteJSON(w, http.StatusOK, a)
}

func (e *Engine) deleteRequest(w http.ResponseWriter, r *http.Request) {
	a, ok := e.Cancel(r.PathValue("id"))
	if !ok {
		stand.WriteProblem(w, http.StatusNotFound, "request is neither running nor waiting")
		return
	}
	stand.WriteJSON(w, http.StatusOK, a)
}

func (e *Engine) getKV(w http.ResponseWriter, r *http.Request) {
	kv, ok := e.exportKV(r.PathValue("id"))
	if !ok {
		stand.WriteProblem(w, http.StatusNotFound, "request is not running")
		return
	}
	stand.WriteJSON(w, http.StatusOK, kv)
}

func (e *Engine) exportKV(id string) (wire.KVCache, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, q := range e.requests[id] {
		if q.started {
			return wire.KVCache{Model: q.model, Prompt: q.prompt, NextToken: q.nextToken}, true
		}
	}
	return wire.KVCache{}, false
}

func (e *Engine) postKV(w http.ResponseWriter, r *http.Request) {
	var in wire.KVCache
	if err := stand.DecodeStrict(r.Body, &in); err != nil || in.NextToken < 0 {
		stand.WriteProblem(w, http.StatusBadRequest, "body is not a valid KV cache")
		return
	}
	n := in.NextToken
	in.NextToken = 0
	e.mu.Lock()
	defer e.mu.Unlock()
	e.importedKV[in] = max(e.importedKV[in], n)
	w.WriteHeader(http.StatusNoContent)
}

func (e *Engine) getStatus(w http.ResponseWriter, r *http.Request) {
	if !stand.Sleep(r.Context(), stand.Milliseconds(e.faults.Get().StatusDelayMillis)) {
		stand.AbortConnection()
	}
	stand.WriteJSON(w, http.StatusOK, e.Status())
}

func (e *Engine) getEvents(w http.ResponseWriter, r *http.Request) {
	from, fromErr := stand.QueryInt(r, "from", 0)
	limit, limitErr := stand.QueryInt(r, "limit", defaultEventLimit)
	if fromErr != nil || limitErr != nil {
		stand.WriteProblem(w, http.StatusBadRequest, "from and limit must be non-negative integers")
		return
	}
	e.mu.Lock()
	a := wire.EventsResponse{Incarnation: e.incarnation.name, Next: from, Events: e.blocks.publishedEvents(from, limit, time.Now())}
	e.mu.Unlock()
	if n := len(a.Events); n > 0 {
		a.Next = a.Events[n-1].Seq + 1
	}
	stand.WriteJSON(w, http.StatusOK, a)
}

// Status returns the current status of the engine; its load figures are delayed by StatusLag.
func (e *Engine) Status() wire.EngineStatus {
	leaving := e.faults.Get().Leaving
	e.mu.Lock()
	defer e.mu.Unlock()
	f, at := e.loadHistory.Visible(time.Now())
	s := wire.EngineStatus{
		Name: e.settings.Name, Incarnation: e.incarnation.name, CapacityBytes: e.settings.CapacityBytes, UsedBytes: e.usedBytes,
		HighestFence: e.highestFence, Leaving: leaving, ReportedAt: at, Running: f.running, Waiting: f.waiting,
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
		Ready: p.ready && p.unloadOrder == nil,
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
