package model

import (
	"cmp"
	"slices"
	"time"

	"github.com/fireflycleat/fireflycleat/internal/wire"
)

// audit counts what an engine did, over all incarnations.
type audit struct {
	loads, adapterLoads, restarts, stale, exceeded int
	usedMax                                        int64
	replicas                                       map[string]int // replicas is the largest number of each model.
	spans                                          []*wire.ReplicaSpan
	requests                                       map[string]*wire.RequestRuns
}

func newAudit() audit {
	return audit{replicas: make(map[string]int), requests: make(map[string]*wire.RequestRuns)}
}

// reserved records that a replica took memory; held is the number of replicas of its model now.
func (a *audit) reserved(p *replica, used, capacity int64, held int, now time.Time) {
	a.usedMax = max(a.usedMax, used)
	if used > capacity {
		a.exceeded++
	}
	a.replicas[p.model] = max(a.replicas[p.model], held)
	p.span = &wire.ReplicaSpan{
		Model: p.model, Version: p.version, OrderID: p.loadID, Bytes: p.bytes, From: now,
	}
	a.spans = append(a.spans, p.span)
}

func (a *audit) freed(p *replica, now time.Time) { p.span.To = now }

func (a *audit) started(r *request) {
	runs, ok := a.requests[r.id]
	if !ok {
		runs = &wire.RequestRuns{ID: r.id}
		a.requests[r.id] = runs
	}
	runs.Starts++
	if r.from > 0 {
		runs.Resumes++
	}
}

// Audit returns the counts of the engine.
func (e *Engine) Audit() wire.EngineAudit {
	e.mu.Lock()
	defer e.mu.Unlock()
	a := &e.audit
	out := wire.EngineAudit{
		Loads: a.loads, AdapterLoads: a.adapterLoads, Restarts: a.restarts, StaleOrders: a.stale,
		CapacityBytes: e.set.CapacityBytes, UsedBytesMax: a.usedMax, CapacityExceeded: a.exceeded,
		Models: []wire.ModelAudit{}, Replicas: []wire.ReplicaSpan{}, Requests: []wire.RequestRuns{},
	}
	for m, n := range a.replicas {
		out.Models = append(out.Models, wire.ModelAudit{Model: m, MaxReplicas: n})
	}
	for _, s := range a.spans {
		out.Replicas = append(out.Replicas, *s)
	}
	for _, r := range a.requests {
		out.Requests = append(out.Requests, *r)
	}
	slices.SortFunc(out.Models, func(a, b wire.ModelAudit) int { return cmp.Compare(a.Model, b.Model) })
	slices.SortFunc(out.Requests, func(a, b wire.RequestRuns) int { return cmp.Compare(a.ID, b.ID) })
	return out
}
