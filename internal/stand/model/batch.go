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
	// replica is a model that is loaded or loading; the engine's mutex guards it.
	replica struct {
		model, version string
		bytes          int64
		slots          int
		ready          bool
		adapters       map[string]bool
		loadID         string
		cancelLoad     context.CancelFunc
		unload         *order // unload is the order to unload the replica, if there is one.
		span           *wire.ReplicaSpan
		running        []*request
		waiting        []*request // waiting is in the order of start.
		stepping       bool       // stepping tells that a goroutine runs the batch.
	}

	// request is a request that the engine accepted; the engine's mutex guards next, started and ended.
	request struct {
		id, model, prompt string
		priority, from    int
		replica           *replica
		life              *life
		tokens            []string
		readyAt           time.Time // readyAt is when the prompt has been computed.
		next              int       // next is the index of the first token that was not produced.
		started           bool
		ended             bool          // ended tells that the request holds no place in the batch or queue.
		more              chan struct{} // more has room for one signal that next or ended changed.
	}

	// loadFigures are the load figures of the status at one time.
	loadFigures struct {
		running, waiting int
		replicas         []replicaLoad
	}

	replicaLoad struct {
		replica          *replica
		running, waiting int
	}
)

// accept queues the request at the replica.
func (e *Engine) accept(p *replica, r *request) {
	r.replica, r.life, r.next = p, e.life, r.from
	r.more = make(chan struct{}, 1)
	i, _ := slices.BinarySearchFunc(p.waiting, r, func(o, r *request) int {
		if o.priority <= r.priority {
			return -1
		}
		return 1
	})
	p.waiting = slices.Insert(p.waiting, i, r)
	e.requests[r.id] = append(e.requests[r.id], r)
	e.noteLoad()
	e.admit(p)
	if !p.stepping {
		p.stepping = true
		go e.run(p, e.life)
	}
}

// run produces tokens until the replica has no request left.
func (e *Engine) run(p *replica, l *life) {
	for {
		e.mu.Lock()
		e.admit(p)
		batch := slices.Clone(p.running)
		if len(batch) == 0 || l.ctx.Err() != nil {
			p.stepping = false
			e.mu.Unlock()
			return
		}
		e.mu.Unlock()
		factor := (1 + e.set.BatchSlope*float64(len(batch)-1)) * e.faults.Get().slow()
		stand.Sleep(l.ctx, time.Duration(float64(e.set.TokenTime)*factor))
		e.faults.Hold(l.ctx, func(f Faults) bool { return f.Hang })
		e.step(batch, l)
	}
}

// admit moves requests from the queue into free slots.
func (e *Engine) admit(p *replica) {
	now := time.Now()
	for len(p.waiting) > 0 && len(p.running) < p.slots {
		r := p.waiting[0]
		p.waiting = slices.Delete(p.waiting, 0, 1)
		p.running = append(p.running, r)
		r.started = true
		r.readyAt = now.Add(e.prefill(r, now))
		e.audit.started(r)
		e.noteLoad()
	}
}

// prefill returns the time to compute the parts of the prompt and of the resumed tokens that are not cached.
func (e *Engine) prefill(r *request, now time.Time) time.Duration {
	blocks := wire.PrefixBlocks(r.model, r.prompt)
	hits := e.blocks.store(blocks, now)
	words := len(strings.Fields(r.prompt)) - hits*wire.PrefixBlockWords + r.from
	if known, ok := e.kv[wire.KVCache{Model: r.model, Prompt: r.prompt}]; ok {
		words = max(0, r.from-known)
	}
	return time.Duration(float64(words) * float64(e.set.PrefillTime) * e.faults.Get().slow())
}

// step gives a token to every request of the batch that still runs and whose prompt has been computed.
func (e *Engine) step(batch []*request, l *life) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if l.ctx.Err() != nil {
		return
	}
	now := time.Now()
	for _, r := range batch {
		if r.ended || now.Before(r.readyAt) {
			continue
		}
		r.next = min(r.next+1, len(r.tokens))
		if r.next == len(r.tokens) {
			e.end(r)
		}
		r.signal()
	}
}

// end takes the request out of the batch or the queue.
func (e *Engine) end(r *request) {
	if r.ended {
		return
	}
	r.ended = true
	r.signal()
	if r.life != e.life {
		return // The restart has already forgotten it.
	}
	same := func(o *request) bool { return o == r }
	p := r.replica
	p.running = slices.DeleteFunc(p.running, same)
	p.waiting = slices.DeleteFunc(p.waiting, same)
	if l := slices.DeleteFunc(e.requests[r.id], same); len(l) > 0 {
		e.requests[r.id] = l
	} else {
		delete(e.requests, r.id)
	}
	e.noteLoad()
	e.freeIfDrained(p)
}

func (r *request) signal() {
	select {
	case r.more <- struct{}{}:
	default: // A signal is already waiting.
	}
}

// noteLoad records the load figures, which the status shows later.
func (e *Engine) noteLoad() {
	var f loadFigures
	for _, p := range e.replicas {
		f.running += len(p.running)
		f.waiting += len(p.waiting)
		f.replicas = append(f.replicas, replicaLoad{p, len(p.running), len(p.waiting)})
	}
	e.load.Put(time.Now(), f)
}

// Cancel ends the requests with the id; ok is false when there is none.
func (e *Engine) Cancel(id string) (a wire.CancelResponse, ok bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	a.ID = id
	for _, r := range slices.Clone(e.requests[id]) {
		a.Started = a.Started || r.started
		a.NextToken = max(a.NextToken, r.next)
		e.end(r)
		ok = true
	}
	return a, ok
}
