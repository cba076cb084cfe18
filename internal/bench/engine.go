package bench

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/fireflycleat/fireflycleat/pkg/cell"
	"github.com/fireflycleat/fireflycleat/pkg/retry"
	"github.com/fireflycleat/fireflycleat/pkg/spec"
)

type (
	// engine is a fake upstream: replicas with continuous batching, orders, cached copies and lagged load figures.
	engine struct {
		world    *world
		name     string
		centre   string
		used     int64
		fence    int64
		slow     float64       // slow is the factor on all times.
		lag      time.Duration // lag is the age of the load figures in a status.
		replicas []*replica
		orders   map[string]cell.OrderState
		cached   []cell.CachedCopy // cached is in the order of last use, the latest first.
		busy     time.Duration     // busy sums the request time, for the load on single upstreams.
	}

	// replica is a model on an engine.
	replica struct {
		engine   *engine
		model    string
		spec     spec.Model
		ready    bool
		dropped  bool
		unload   string // unload is the order that waits for the last request to end.
		adapters []string
		running  []*job
		waiting  []*job
		mark     time.Time
		alarm    alarm
		figures  []figure
		born     time.Time
		idleFrom time.Time
		onReady  []func()
	}

	figure struct {
		at               time.Time
		running, waiting int
	}

	// job is one attempt at an engine.
	job struct {
		priority spec.Urgency
		adapter  string
		prompt   int
		total    int     // total is the index after the last token.
		position float64 // position is the token index that was reached.
		notice   float64 // notice is the next index that is reported.
		prefill  time.Time
		began    time.Time
		ready    bool // ready tells that the prompt was computed.
		replica  *replica
		first    func()
		progress func(tokens int)
		ended    func(r retry.Result, tokens int)
		from     int
	}
)

const progressEvery = 8 // Tokens between two progress reports, as in the daemon.

func (e *engine) find(model string) *replica {
	for _, r := range e.replicas {
		if r.model == model {
			return r
		}
	}
	return nil
}

// submit starts or queues a job; a replica that is missing or not ready refuses it, unless wait is set.
func (e *engine) submit(model string, j *job, wait bool) {
	r := e.find(model)
	if r == nil || !r.ready && !wait || r.unload != "" || j.adapter != "" && !slices.Contains(r.adapters, j.adapter) {
		j.ended(retry.NotRun, j.from)
		return
	}
	j.replica, j.position = r, float64(j.from)
	j.notice = j.position + 1
	r.advance()
	i, _ := slices.BinarySearchFunc(r.waiting, j, func(o, n *job) int {
		return cmp.Or(cmp.Compare(o.priority, n.priority), -1)
	})
	r.waiting = slices.Insert(r.waiting, i, j)
	r.settle()
}

// cancel ends a job wherever it is.
func (e *engine) cancel(j *job) {
	r := j.replica
	if r == nil {
		return
	}
	r.advance()
	if r.remove(j) {
		j.ended(retry.Cancelled, int(j.position))
	}
	r.settle()
}

func (r *replica) remove(j *job) bool {
	before := len(r.running) + len(r.waiting)
	same := func(o *job) bool { return o == j }
	if !j.began.IsZero() {
		r.engine.busy += r.engine.world.now.Sub(j.began)
	}
	r.running, r.waiting = slices.DeleteFunc(r.running, same), slices.DeleteFunc(r.waiting, same)
	j.replica = nil
	return len(r.running)+len(r.waiting) < before
}

// rate returns the tokens a second of each request of the batch.
func (r *replica) rate() float64 {
	return 1 / (soloToken() * (1 + batchSlope*float64(len(r.running)-1)) * r.engine.slow)
}

func (r *replica) advance() {
	now := r.engine.world.now
	if len(r.running) > 0 {
		tokens := now.Sub(r.mark).Seconds() * r.rate()
		for _, j := range r.running {
			if j.ready {
				j.position = min(j.position+tokens, float64(j.total))
			}
		}
	}
	r.mark = now
}

// settle reports what was reached, fills free slots and schedules the next step.
func (r *replica) settle() {
	now := r.engine.world.now
	for _, j := range slices.Clone(r.running) {
		if !j.ready && !now.Before(j.prefill) {
			j.ready = true
		}
		if j.ready && j.position+1e-6 >= min(j.notice, float64(j.total)) {
			r.report(j)
		}
	}
	for r.ready && len(r.waiting) > 0 && len(r.running) < r.spec.Slots {
		j := r.waiting[0]
		r.waiting = r.waiting[1:]
		j.began = now
		j.prefill = now.Add(seconds(float64(j.prompt+j.from) * prefillTime.Seconds() * r.engine.slow))
		r.running = append(r.running, j)
	}
	r.note(now)
	if r.unload != "" && len(r.running)+len(r.waiting) == 0 {
		r.engine.drop(r)
	}
	r.schedule(now)
}

func (r *replica) report(j *job) {
	reached := int(j.position + 1e-6)
	if j.notice == float64(j.from)+1 {
		j.first()
	}
	if reached >= j.total {
		r.remove(j)
		j.ended(retry.Done, j.total)
		return
	}
	if j.notice > float64(j.from)+1 {
		j.progress(reached)
	}
	j.notice = float64((reached/progressEvery + 1) * progressEvery)
}

func (r *replica) schedule(now time.Time) {
	next := math.Inf(1)
	for _, j := range r.running {
		if !j.ready {
			next = min(next, j.prefill.Sub(now).Seconds())
			continue
		}
		next = min(next, (min(j.notice, float64(j.total))-j.position)/r.rate())
	}
	if math.IsInf(next, 1) {
		r.alarm.stop()
		return
	}
	r.alarm.reset(now.Add(seconds(max(next, 0)) + grain))
}

func (r *replica) step() {
	r.advance()
	r.settle()
}

// note keeps the load figures for late statuses and counts idle time.
func (r *replica) note(now time.Time) {
	f := figure{now, len(r.running), len(r.waiting)}
	if n := len(r.figures); n > 0 && r.figures[n-1].running == f.running && r.figures[n-1].waiting == f.waiting {
		return
	}
	r.figures = append(r.figures, f)
	switch busy := f.running+f.waiting > 0; {
	case busy && !r.idleFrom.IsZero():
		r.engine.world.idle(r, now.Sub(r.idleFrom))
		r.idleFrom = time.Time{}
	case !busy && r.idleFrom.IsZero():
		r.idleFrom = now
	}
}

// shown returns the load figures as of the time.
func (r *replica) shown(at time.Time) figure {
	for len(r.figures) > 1 && !r.figures[1].at.After(at) {
		r.figures = r.figures[1:]
	}
	if len(r.figures) == 0 || r.figures[0].at.After(at) {
		return figure{at: at}
	}
	return r.figures[0]
}

// status returns what the engine says of itself.
func (e *engine) status() cell.Status {
	now := e.world.now
	s := cell.Status{
		Incarnation: e.name, CapacityBytes: capacity, UsedBytes: e.used, HighestFence: e.fence, ReportedAt: now.Add(-e.lag),
		Cached: slices.Clone(e.cached),
	}
	for _, r := range e.replicas {
		f := r.shown(s.ReportedAt)
		s.Replicas = append(s.Replicas, cell.StatusReplica{
			Model: r.model, Version: version, Bytes: r.spec.ReplicaBytes(), Slots: r.spec.Slots, Ready: r.ready,
			Running: f.running, Waiting: f.waiting, Adapters: slices.Clone(r.adapters),
		})
	}
	return s
}

// setSlow changes the speed from now on; prompts in computation keep theirs.
func (e *engine) setSlow(factor float64) {
	for _, r := range e.replicas {
		r.advance()
	}
	e.slow = factor
	for _, r := range e.replicas {
		r.settle()
	}
}
