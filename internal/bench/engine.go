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
	// engine is a fake upstream with continuous batching, orders, cached copies and delayed load figures.
	engine struct {
		simulation   *simulation
		name         string
		centre       string
		usedBytes    int64
		highestFence int64
		slowdown     float64       // factor on all times
		statusLag    time.Duration // age of the load figures in a status
		replicas     []*replica
		orders       map[string]cell.OrderState
		cached       []cell.CachedCopy // most recently used first
		busyTime     time.Duration     // sum of the times that requests were in a batch
	}

	// replica is a model that is loaded or loading on an engine.
	replica struct {
		engine      *engine
		model       string
		spec        spec.Model
		ready       bool
		unloaded    bool
		unloadOrder string // ID of the order that unloads the replica when its last request ends
		adapters    []string
		running     []*job
		waiting     []*job
		advancedAt  time.Time
		timer       timer
		loadFigures []loadFigure
		loadStarted time.Time
		idleSince   time.Time
		onReady     []func()
	}

	loadFigure struct {
		at               time.Time
		running, waiting int
	}

	// job is one attempt of a request on an engine.
	job struct {
		priority     spec.Urgency
		adapter      string
		prompt       int
		total        int     // tokens of the whole answer
		position     float64 // tokens generated so far
		nextReport   float64 // position at which progress is reported next
		prefillEnd   time.Time
		startedAt    time.Time
		prefilled    bool
		replica      *replica
		onFirstToken func()
		onProgress   func(tokens int)
		onEnd        func(r retry.Result, tokens int)
		resumeFrom   int
	}
)

const progressEvery = 8 // tokens between progress reports, as in the daemon

func (e *engine) findReplica(model string) *replica {
	for _, r := range e.replicas {
		if r.model == model {
			return r
		}
	}
	return nil
}

// submit queues a job and starts it if a batch slot is free. The job ends as not run if the replica is missing, is being
// unloaded or lacks the adapter, or, unless wait is set, is still loading.
func (e *engine) submit(model string, j *job, wait bool) {
	r := e.findReplica(model)
	if r == nil || !r.ready && !wait || r.unloadOrder != "" || j.adapter != "" && !slices.Contains(r.adapters, j.adapter) {
		j.onEnd(retry.NotRun, j.resumeFrom)
		return
	}
	j.replica, j.position = r, float64(j.resumeFrom)
	j.nextReport = j.position + 1
	r.advance()
	i, _ := slices.BinarySearchFunc(r.waiting, j, func(o, n *job) int {
		return cmp.Or(cmp.Compare(o.priority, n.priority), -1)
	})
	r.waiting = slices.Insert(r.waiting, i, j)
	r.process()
}

// cancel ends a job that is running or queued.
func (e *engine) cancel(j *job) {
	r := j.replica
	if r == nil {
		return
	}
	r.advance()
	if r.remove(j) {
		j.onEnd(retry.Cancelled, int(j.position))
	}
	r.process()
}

func (r *replica) remove(j *job) bool {
	before := len(r.running) + len(r.waiting)
	same := func(o *job) bool { return o == j }
	if !j.startedAt.IsZero() {
		r.engine.busyTime += r.engine.simulation.now.Sub(j.startedAt)
	}
	r.running, r.waiting = slices.DeleteFunc(r.running, same), slices.DeleteFunc(r.waiting, same)
	j.replica = nil
	return len(r.running)+len(r.waiting) < before
}

// tokenRate returns the tokens per second of each request in the batch.
func (r *replica) tokenRate() float64 {
	return 1 / (soloTokenSeconds() * (1 + batchSlope*float64(len(r.running)-1)) * r.engine.slowdown)
}

func (r *replica) advance() {
	now := r.engine.simulation.now
	if len(r.running) > 0 {
		tokens := now.Sub(r.advancedAt).Seconds() * r.tokenRate()
		for _, j := range r.running {
			if j.prefilled {
				j.position = min(j.position+tokens, float64(j.total))
			}
		}
	}
	r.advancedAt = now
}

// process reports the progress of running jobs, fills free batch slots, completes a pending unload and sets the timer.
func (r *replica) process() {
	now := r.engine.simulation.now
	for _, j := range slices.Clone(r.running) {
		if !j.prefilled && !now.Before(j.prefillEnd) {
			j.prefilled = true
		}
		if j.prefilled && j.position+1e-6 >= min(j.nextReport, float64(j.total)) {
			r.report(j)
		}
	}
	for r.ready && len(r.waiting) > 0 && len(r.running) < r.spec.Slots {
		j := r.waiting[0]
		r.waiting = r.waiting[1:]
		j.startedAt = now
		j.prefillEnd = now.Add(seconds(float64(j.prompt+j.resumeFrom) * prefillTime.Seconds() * r.engine.slowdown))
		r.running = append(r.running, j)
	}
	r.recordLoadFigure(now)
	if r.unloadOrder != "" && len(r.running)+len(r.waiting) == 0 {
		r.engine.unload(r)
	}
	r.schedule(now)
}

func (r *replica) report(j *job) {
	reached := int(j.position + 1e-6)
	if j.nextReport == float64(j.resumeFrom)+1 {
		j.onFirstToken()
	}
	if reached >= j.total {
		r.remove(j)
		j.onEnd(retry.Done, j.total)
		return
	}
	if j.nextReport > float64(j.resumeFrom)+1 {
		j.onProgress(reached)
	}
	j.nextReport = float64((reached/progressEvery + 1) * progressEvery)
}

func (r *replica) schedule(now time.Time) {
	next := math.Inf(1)
	for _, j := range r.running {
		if !j.prefilled {
			next = min(next, j.prefillEnd.Sub(now).Seconds())
			continue
		}
		next = min(next, (min(j.nextReport, float64(j.total))-j.position)/r.tokenRate())
	}
	if math.IsInf(next, 1) {
		r.timer.stop()
		return
	}
	r.timer.reset(now.Add(seconds(max(next, 0)) + timerMargin))
}

func (r *replica) step() {
	r.advance()
	r.process()
}

// recordLoadFigure records the current load for delayed statuses and tracks idle time.
func (r *replica) recordLoadFigure(now time.Time) {
	f := loadFigure{now, len(r.running), len(r.waiting)}
	if n := len(r.loadFigures); n > 0 && r.loadFigures[n-1].running == f.running && r.loadFigures[n-1].waiting == f.waiting {
		return
	}
	r.loadFigures = append(r.loadFigures, f)
	switch busy := f.running+f.waiting > 0; {
	case busy && !r.idleSince.IsZero():
		r.engine.simulation.addIdleTime(r, now.Sub(r.idleSince))
		r.idleSince = time.Time{}
	case !busy && r.idleSince.IsZero():
		r.idleSince = now
	}
}

// loadFigureAt returns the load as of the given time and discards older figures.
func (r *replica) loadFigureAt(at time.Time) loadFigure {
	for len(r.loadFigures) > 1 && !r.loadFigures[1].at.After(at) {
		r.loadFigures = r.loadFigures[1:]
	}
	if len(r.loadFigures) == 0 || r.loadFigures[0].at.After(at) {
		return loadFigure{at: at}
	}
	return r.loadFigures[0]
}

// status returns the engine's status report; its load figures are statusLag old.
func (e *engine) status() cell.Status {
	now := e.simulation.now
	s := cell.Status{
		Incarnation: e.name, CapacityBytes: upstreamMemory, UsedBytes: e.usedBytes, HighestFence: e.highestFence, ReportedAt: now.Add(-e.statusLag),
		Cached: slices.Clone(e.cached),
	}
	for _, r := range e.replicas {
		f := r.loadFigureAt(s.ReportedAt)
		s.Replicas = append(s.Replicas, cell.StatusReplica{
			Model: r.model, Version: version, Bytes: r.spec.ReplicaBytes(), Slots: r.spec.Slots, Ready: r.ready,
			Running: f.running, Waiting: f.waiting, Adapters: slices.Clone(r.adapters),
		})
	}
	return s
}

// setSlowdown changes the speed of token generation and of later prompts; prompts that are being processed keep their speed.
func (e *engine) setSlowdown(factor float64) {
	for _, r := range e.replicas {
		r.advance()
	}
	e.slowdown = factor
	for _, r := range e.replicas {
		r.process()
	}
}
