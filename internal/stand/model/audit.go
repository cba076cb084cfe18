package model

import (
	"cmp"
	"slices"
	"time"

	"github.com/fireflycleat/fireflycleat/internal/wire"
)

// audit counts the actions and violations of an engine over all its incarnations.
type audit struct {
	loads, adapterLoads, restarts, staleOrders, capacityExceeded int
	maxUsedBytes                                                 int64
	// maxReplicas is the highest number of replicas of each model at one time.
	maxReplicas  map[string]int
	replicaSpans []*wire.ReplicaSpan
	requestRuns  map[string]*wire.RequestRuns
}

func newAudit() audit {
	return audit{maxReplicas: make(map[string]int), requestRuns: make(map[string]*wire.RequestRuns)}
}

// replicaReserved records that memory was reserved for a replica; replicas is the current number of replicas of its model.
func (a *audit) replicaReserved(p *replica, used, capacity int64, replicas int, now time.Time) {
	a.maxUsedBytes = max(a.maxUsedBytes, used)
	if used > capacity {
		a.capacityExceeded++
	}
	a.maxReplicas[p.model] = max(a.maxReplicas[p.model], replicas)
	p.span = &wire.ReplicaSpan{
		Model: p.model, Version: p.version, OrderID: p.loadOrderID, Bytes: p.bytes, From: now,
	}
	a.replicaSpans = append(a.replicaSpans, p.span)
}

func (a *audit) replicaFreed(p *replica, now time.Time) { p.span.To = now }

func (a *audit) requestStarted(r *request) {
	runs, ok := a.requestRuns[r.id]
	if !ok {
		runs = &wire.RequestRuns{ID: r.id}
		a.requestRuns[r.id] = runs
	}
	runs.Starts++
	if r.resumeFrom > 0 {
		runs.Resumes++
	}
}

// Audit returns the audit counts of the engine.
func (e *Engine) Audit() wire.EngineAudit {
	e.mu.Lock()
	defer e.mu.Unlock()
	a := &e.audit
	out := wire.EngineAudit{
		Loads: a.loads, AdapterLoads: a.adapterLoads, Restarts: a.restarts, StaleOrders: a.staleOrders,
		CapacityBytes: e.settings.CapacityBytes, UsedBytesMax: a.maxUsedBytes, CapacityExceeded: a.capacityExceeded,
		Models: []wire.ModelAudit{}, Replicas: []wire.ReplicaSpan{}, Requests: []wire.RequestRuns{},
	}
	for m, n := range a.maxReplicas {
		out.Models = append(out.Models, wire.ModelAudit{Model: m, MaxReplicas: n})
	}
	for _, s := range a.replicaSpans {
		out.Replicas = append(out.Replicas, *s)
	}
	for _, r := range a.requestRuns {
		out.Requests = append(out.Requests, *r)
	}
	slices.SortFunc(out.Models, func(a, b wire.ModelAudit) int { return cmp.Compare(a.Model, b.Model) })
	slices.SortFunc(out.Requests, func(a, b wire.RequestRuns) int { return cmp.Compare(a.ID, b.ID) })
	return out
}
