package bench

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/fireflycleat/fireflycleat/pkg/cell"
	"github.com/fireflycleat/fireflycleat/pkg/spec"
)

const (
	// warmUpTime is the virtual time before a trace starts, in which leases, fences and first permits are established.
	warmUpTime = 8 * time.Second
	// After a trace the run continues in steps of drainStep, for drainTime at most, until all callers have returned and have
	// their answers.
	drainStep = 30 * time.Second
	drainTime = 30 * time.Minute
	// addressTTL is how long a caller keeps the address of an entry host.
	addressTTL = 10 * time.Second
	// Bounds of the age of load figures in an engine's status; the heartbeat interval adds up to a second.
	minStatusLag = 500 * time.Millisecond
	maxStatusLag = time.Second
)

type (
	// Safety counts the violations that the fakes detected; all counts must be zero.
	Safety struct {
		Permits int // Loads beyond the allowed number of replicas.
		Memory  int // Loads beyond the memory of an upstream, and adapters beyond their pool.
		Ends    int // Requests that did not end exactly once.
	}

	// Outcome holds the result of one run of a trace.
	Outcome struct {
		Calls        []*Call
		Loads        int // Loads that were started.
		PeakReplicas int // Sum over all models of the largest number of replicas at a time.
		Sends        int
		Hedges       int
		IdleTime     time.Duration // Idle accelerator time, with replicas weighted by their share of memory.
		LoadTime     time.Duration // Accelerator time spent on loads, weighted likewise.
		BusyTime     map[string]time.Duration
		Slowed       []string
		Safety       Safety
		Codes        map[string]int
	}

	// Call is one request of a caller and its outcome.
	Call struct {
		Plan
		ID            uint64
		Host          int
		SentAt        time.Time
		First         time.Time
		Ended         time.Time
		Done          bool
		Refused       bool
		RetryAfter    time.Duration
		Cold          bool   // Set when no replica of the model was ready.
		Retry         bool   // Set when the caller returned after a refusal.
		LastUpstream  string // Upstream of the last attempt.
		RetryCall     *Call  // Request with which the caller returned.
		endCount      int
		addressReadAt time.Time // When the caller last read the host's address.
	}

	// simulation holds the fakes of one run and the outcome so far.
	simulation struct {
		*clock
		deploy       Deployment
		view         *spec.View
		random       *rand.Rand
		engines      []*engine
		store        *store
		adapters     *sharedCapacity
		replicas     map[string]int
		peakReplicas map[string]int
		outcome      Outcome
		traceStart   time.Time
		lastCallID   uint64
		// returning is the number of callers who were refused and will return.
		returning   int
		onArrival   func(*Call)
		startPolicy func(*simulation) // Called once before the trace starts.
	}
)

func newSimulation(d Deployment, seed uint64) *simulation {
	c := newClock()
	w := &simulation{
		clock: c, deploy: d, view: d.view(), random: rand.New(rand.NewPCG(seed, 1)),
		store: newStore(c, d.StoreRate, d.StoreSlots), adapters: newSharedCapacity(c, d.AdapterLoad),
		replicas: make(map[string]int), peakReplicas: make(map[string]int), traceStart: epoch.Add(warmUpTime),
		outcome: Outcome{Codes: make(map[string]int)},
	}
	for i := range d.Upstreams {
		w.engines = append(w.engines, &engine{
			simulation: w, name: fmt.Sprintf("u%02d", i), centre: centreName(i % dataCentres), slowdown: 1,
			statusLag: minStatusLag + seconds(w.random.Float64()*(maxStatusLag-minStatusLag).Seconds()),
			orders:    make(map[string]cell.OrderState), cached: d.initialCache(i),
		})
	}
	return w
}

func (w *simulation) engine(name string) *engine {
	for _, e := range w.engines {
		if e.name == name {
			return e
		}
	}
	return nil
}

// recordLoad counts a started load, and a permit violation if the model has more replicas than allowed.
func (w *simulation) recordLoad(r *replica) {
	w.outcome.Loads++
	w.replicas[r.model]++
	w.peakReplicas[r.model] = max(w.peakReplicas[r.model], w.replicas[r.model])
	if w.replicas[r.model] > r.spec.MaxReplicas {
		w.outcome.Safety.Permits++
	}
}

func (w *simulation) addIdleTime(r *replica, d time.Duration) {
	if w.now.After(w.traceStart) {
		w.outcome.IdleTime += r.weighByMemory(min(d, w.now.Sub(w.traceStart)))
	}
}

// weighByMemory weights a time by the share of an upstream's memory that the replica occupies.
func (r *replica) weighByMemory(d time.Duration) time.Duration {
	return seconds(d.Seconds() * float64(r.spec.ReplicaBytes()) / float64(upstreamMemory))
}

// run simulates the calls and slowdowns of a trace and returns the outcome.
func (w *simulation) run(t *Trace, plans []Plan) *Outcome {
	w.startPolicy(w)
	end := w.traceStart.Add(t.duration())
	for i := range plans {
		p := plans[i]
		w.at(w.traceStart.Add(p.At), func() { w.sendCall(p, p.Host, w.now.Add(-seconds(w.random.Float64()*addressTTL.Seconds())), nil) })
	}
	w.scheduleSlowdowns(t)
	w.runUntil(end.Add(drainStep))
	for w.hasOpenCalls() && w.now.Before(end.Add(drainTime)) {
		w.runUntil(w.now.Add(drainStep))
	}
	w.collect()
	return &w.outcome
}

// sendCall sends a caller's request; refused is the earlier request that it retries, or nil.
func (w *simulation) sendCall(p Plan, host int, addressReadAt time.Time, refused *Call) {
	w.lastCallID++
	c := &Call{
		Plan: p, ID: w.lastCallID, Host: host, SentAt: w.now, addressReadAt: addressReadAt, Retry: refused != nil,
		Cold: !w.hasReadyReplica(p.Model),
	}
	if refused != nil {
		refused.RetryCall = c
	}
	w.outcome.Calls = append(w.outcome.Calls, c)
	w.after(w.deploy.ClientDelay, func() { w.onArrival(c) })
}

// hasReadyReplica reports whether some replica of the model can serve now.
func (w *simulation) hasReadyReplica(model string) bool {
	return slices.ContainsFunc(w.engines, func(e *engine) bool {
		r := e.findReplica(model)
		return r != nil && r.ready && r.unloadOrder == ""
	})
}

// recordFirstToken records when the caller receives its first token.
func (w *simulation) recordFirstToken(c *Call) {
	if c.First.IsZero() {
		c.First = w.now.Add(w.deploy.ClientDelay)
	}
}

// finish records the end of a call and schedules the retry of a caller who obeys the retry time.
func (w *simulation) finish(c *Call, done bool, code string, retryAfter time.Duration) {
	c.endCount++
	c.Ended, c.Done, c.Refused, c.RetryAfter = w.now.Add(w.deploy.ClientDelay), done, !done, retryAfter
	if done {
		return
	}
	w.outcome.Codes[code]++
	if !c.Obeys || c.Retry || retryAfter <= 0 {
		return
	}
	// Retry-After is in whole seconds, rounded up.
	wait := (retryAfter + time.Second - 1).Truncate(time.Second)
	w.returning++
	w.at(c.Ended.Add(wait), func() {
		w.returning--
		host, addressReadAt := c.Host, c.addressReadAt
		if w.now.Sub(addressReadAt) > addressTTL {
			// The address call lists the hosts of the caller's data centre first; a client takes any of them.
			host, addressReadAt = host%dataCentres+dataCentres*w.random.IntN(hostCount/dataCentres), w.now
		}
		w.sendCall(c.Plan, host, addressReadAt, c)
	})
}

// scheduleSlowdowns schedules the speed changes of upstreams and store.
func (w *simulation) scheduleSlowdowns(t *Trace) {
	for _, s := range t.UpstreamSlowdowns {
		picked := w.pickSlowed(s)
		for _, e := range picked {
			lag := e.statusLag
			w.outcome.Slowed = append(w.outcome.Slowed, e.name)
			w.at(w.traceStart.Add(seconds(s.From)), func() {
				e.statusLag = max(lag, time.Duration(s.LagMillis)*time.Millisecond)
				e.setSlowdown(s.Factor)
			})
			w.at(w.traceStart.Add(seconds(s.To)), func() {
				e.statusLag = lag
				e.setSlowdown(1)
			})
		}
	}
	for _, s := range t.StoreSlowdowns {
		w.at(w.traceStart.Add(seconds(s.From)), func() { w.store.setSlowdown(s.Factor) })
		w.at(w.traceStart.Add(seconds(s.To)), func() { w.store.setSlowdown(1) })
	}
}

// pickSlowed returns the share of upstreams to slow, spread evenly over the list so that each data centre has some.
func (w *simulation) pickSlowed(s UpstreamSlowdown) []*engine {
	n := int(float64(len(w.engines))*s.Share + 0.5)
	var picked []*engine
	for i := range n {
		picked = append(picked, w.engines[i*len(w.engines)/n])
	}
	return picked
}

// hasOpenCalls reports whether a caller is waiting for an answer or will return.
func (w *simulation) hasOpenCalls() bool {
	return w.returning > 0 || slices.ContainsFunc(w.outcome.Calls, func(c *Call) bool { return c.endCount == 0 })
}

// collect completes the outcome at the end of the run.
func (w *simulation) collect() {
	w.outcome.BusyTime = make(map[string]time.Duration)
	for _, e := range w.engines {
		for _, r := range slices.Clone(e.replicas) {
			if !r.idleSince.IsZero() {
				w.addIdleTime(r, w.now.Sub(r.idleSince))
			}
		}
		w.outcome.BusyTime[e.name] = e.busyTime
	}
	for _, n := range w.peakReplicas {
		w.outcome.PeakReplicas += n
	}
	for _, c := range w.outcome.Calls {
		if c.endCount != 1 {
			w.outcome.Safety.Ends++
		}
	}
}
