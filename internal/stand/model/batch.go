package model

import (
	"context"
	"slices"
	"strings"
	"time"

	"github.com/fireflycleat/fireflycleat/internal/stand"
	"github.com/fireflycleat/fireflycleat/internal/wire"
)

type (
	// replica is a model that is loaded or loading; Engine.mu guards it.
	replica struct {
		model, version string
		bytes          int64
		slots          int
		ready          bool
		adapters       map[string]bool
		loadOrderID    string
		cancelLoad     context.CancelFunc
		unloadOrder    *order // order that unloads the replica, or nil
		span           *wire.ReplicaSpan
		running        []*request
		waiting        []*request // in the order in which the requests will start
		batchRunning   bool       // whether a goroutine is running the batch
	}

	// request is a request that the engine accepted; Engine.mu guards nextToken, started and finished.
	request struct {
		id, model, prompt    string
		priority, resumeFrom int
		replica              *replica
		incarnation          *incarnation
		tokens               []string
		prefilledAt          time.Time // when the prefill of the prompt is complete
		nextToken            int       // index of the first token that has not been produced yet
		started              bool
		finished             bool          // whether the request has left the batch or queue, done or cancelled
		progressed           chan struct{} // signals that nextToken or finished changed; has capacity for one signal
	}

	// loadFigures holds the load figures that the status reports, as of one time.
	loadFigures struct {
		running, waiting int
		replicas         []replicaLoad
	}

	replicaLoad struct {
		replica          *replica
		running, waiting int
	}
)

// enqueue adds the request to the queue of the replica, ordered by priority and then by arrival.
func (e *Engine) enqueue(p *replica, r *request) {
	r.replica, r.incarnation, r.nextToken = p, e.incarnation, r.resumeFrom
	r.progressed = make(chan struct{}, 1)
	i, _ := slices.BinarySearchFunc(p.waiting, r, func(o, r *request) int {
		if o.priority <= r.priority {
			return -1
		}
		return 1
	})
	p.waiting = slices.Insert(p.waiting, i, r)
	e.requests[r.id] = append(e.requests[r.id], r)
	e.recordLoad()
	e.admit(p)
	if !p.batchRunning {
		p.batchRunning = true
		go e.runBatch(p, e.incarnation)
	}
}

// runBatch produces tokens until the replica has no requests or the incarnation ends.
func (e *Engine) runBatch(p *replica, inc *incarnation) {
	for {
		e.mu.Lock()
		e.admit(p)
		batch := slices.Clone(p.running)
		if len(batch) == 0 || inc.ctx.Err() != nil {
			p.batchRunning = false
			e.mu.Unlock()
			return
		}
		e.mu.Unlock()
		factor := (1 + e.settings.BatchSlope*float64(len(batch)-1)) * e.faults.Get().slowFactor()
		stand.Sleep(inc.ctx, time.Duration(float64(e.settings.TokenTime)*factor))
		e.faults.WaitWhile(inc.ctx, func(f Faults) bool { return f.Hang })
		e.produceTokens(batch, inc)
	}
}

// admit moves requests from the queue into free slots of the batch.
func (e *Engine) admit(p *replica) {
	now := time.Now()
	for len(p.waiting) > 0 && len(p.running) < p.slots {
		r := p.waiting[0]
		p.waiting = slices.Delete(p.waiting, 0, 1)
		p.running = append(p.running, r)
		r.started = true
		r.prefilledAt = now.Add(e.prefill(r, now))
		e.audit.requestStarted(r)
		e.recordLoad()
	}
}

// prefill returns the time to compute the parts of the prompt, and of the resumed tokens, that are not cached.
func (e *Engine) prefill(r *request, now time.Time) time.Duration {
	blocks := wire.PrefixBlocks(r.model, r.prompt)
	hits := e.blocks.insert(blocks, now)
	words := len(strings.Fields(r.prompt)) - hits*wire.PrefixBlockWords + r.resumeFrom
	if imported, ok := e.importedKV[wire.KVCache{Model: r.model, Prompt: r.prompt}]; ok {
		words = max(0, r.resumeFrom-imported)
	}
	return time.Duration(float64(words) * float64(e.settings.PrefillTime) * e.faults.Get().slowFactor())
}

// produceTokens adds a token to each unfinished request of the batch whose prefill is complete.
func (e *Engine) produceTokens(batch []*request, inc *incarnation) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if inc.ctx.Err() != nil {
		return
	}
	now := time.Now()
	for _, r := range batch {
		if r.finished || now.Before(r.prefilledAt) {
			continue
		}
		r.nextToken = min(r.nextToken+1, len(r.tokens))
		if r.nextToken == len(r.tokens) {
			e.finish(r)
		}
		r.notify()
	}
}

// finish removes the request from the batch or the queue. It does nothing if the request has already finished.
func (e *Engine) finish(r *request) {
	if r.finished {
		return
	}
	r.finished = true
	r.notify()
	if r.incarnation != e.incarnation {
		return // The restart has already removed the request.
	}
	same := func(o *request) bool { return o == r }
	p := r.replica
	p.running = slices.DeleteFunc(p.running, same)
	p.waiting = slices.DeleteFunc(p.waiting, same)
	if rest := slices.DeleteFunc(e.requests[r.id], same); len(rest) > 0 {
		e.requests[r.id] = rest
	} else {
		delete(e.requests, r.id)
	}
	e.recordLoad()
	e.freeIfDrained(p)
}

func (r *request) notify() {
	select {
	case r.progressed <- struct{}{}:
	default: // A signal is already pending.
	}
}

// recordLoad records the load figures, which the status reports after StatusLag.
func (e *Engine) recordLoad() {
	var f loadFigures
	for _, p := range e.replicas {
		f.running += len(p.running)
		f.waiting += len(p.waiting)
		f.replicas = append(f.replicas, replicaLoad{p, len(p.running), len(p.waiting)})
	}
	e.loadHistory.Put(time.Now(), f)
}

// Cancel cancels the requests with the id; ok is false if there are none.
func (e *Engine) Cancel(id string) (a wire.CancelResponse, ok bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	a.ID = id
	for _, r := range slices.Clone(e.requests[id]) {
		a.Started = a.Started || r.started
		a.NextToken = max(a.NextToken, r.nextToken)
		e.finish(r)
		ok = true
	}
	return a, ok
}
