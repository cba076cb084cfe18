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
	// drainStep and drainTime are the step and the limit by which a run continues after the trace, until all callers have
	// returned and have their answers.
	drainStep = 30 * time.Second
	drainTime = 30 * time.Minute
	// addressTTL is how long a caller keeps the address of an entry host.
	addressTTL = 10 * time.Second
	// minStatusLag and maxStatusLag bound the age of the load figures in an engine's status; the heartbeat interval adds up to a
	// second.
	minStatusLag = 500 * time.Millisecond
	maxStatusLag = time.Second
)

type (
	// Safety counts the violations that the fakes detected; all counts must be zero.
	Safety struct {
		Permits int // loads beyond the allowed number of replicas
		Memory  int // loads beyond the memory of an upstream, and adapters beyond their pool
		Ends    int // requests that did not end exactly once
	}

	// Outcome holds the result of one run of a trace.
	Outcome struct {
		Calls        []*Call
		Loads        int // loads that were started
		PeakReplicas int // sum over all models of the largest number of replicas at a time
		Sends        int
		Hedges       int
		IdleTime     time.Duration // idle accelerator time, with replicas weighted by their share of memory
		LoadTime     time.Duration // accelerator time spent on loads, weighted likewise
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
		Cold          bool   // whether no replica of the model was ready when the call was sent
		Retry         bool   // whether the call is a retry after a refusal
		LastUpstream  string // upstream of the last attempt
		RetryCall     *Call  // call with which the caller returned after a refusal, or nil
		endCount      int
		addressReadAt time.Time // when the caller last read the host's address
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
		returning    int // callers who were refused and will return
		onArrival    func(*Call)
		startPolicy  func(*simulation) // called once before the trace starts
	}
)

func newSimulation(d Deployment, seed uint64) *simulation {
	c := newClock()
	sm := &simulation{
		clock: c, deploy: d, view: d.view(), random: rand.New(rand.NewPCG(seed, 1)),
		store: newStore(c, d.StoreRate, d.StoreSlots), adapters: newSharedCapacity(c, d.AdapterLoad),
		replicas: make(map[string]int), peakReplicas: make(map[string]int), traceStart: epoch.Add(warmUpTime),
		outcome: Outcome{Codes: make(map[string]int)},
	}
	for i := range d.Upstreams {
		sm.engines = append(sm.engines, &engine{
			simulation: sm, name: fmt.Sprintf("u%02d", i), centre: centreName(i % dataCentres), slowdown: 1,
			statusLag: minStatusLag + seconds(sm.random.Float64()*(maxStatusLag-minStatusLag).Seconds()),
			orders:    make(map[string]cell.OrderState), cached: d.initialCache(i),
		})
	}
	return sm
}

func (sm *simulation) engine(name string) *engine {
	for _, e := range sm.engines {
		if e.name == name {
			return e
		}
	}
	return nil
}

// recordLoad counts a started load, and a permit violation if the model has more replicas than allowed.
func (sm *simulation) recordLoad(r *replica) {
	sm.outcome.Loads++
	sm.replicas[r.model]++
	sm.peakReplicas[r.model] = max(sm.peakReplicas[r.model], sm.replicas[r.model])
	if sm.replicas[r.model] > r.spec.MaxReplicas {
		sm.outcome.Safety.Permits++
	}
}

func (sm *simulation) addIdleTime(r *replica, d time.Duration) {
	if sm.now.After(sm.traceStart) {
		sm.outcome.IdleTime += r.weighByMemory(min(d, sm.now.Sub(sm.traceStart)))
	}
}

// weighByMemory weights a time by the share of an upstream's memory that the replica occupies.
func (r *replica) weighByMemory(d time.Duration) time.Duration {
	return seconds(d.Seconds() * float64(r.spec.ReplicaBytes()) / float64(upstreamMemory))
}

// run simulates the calls and slowdowns of a trace and returns the outcome.
func (sm *simulation) run(t *Trace, plans []Plan) *Outcome {
	sm.startPolicy(sm)
	end := sm.traceStart.Add(t.duration())
	for i := range plans {
		p := plans[i]
		sm.at(sm.traceStart.Add(p.At), func() { sm.sendCall(p, p.Host, sm.now.Add(-seconds(sm.random.Float64()*addressTTL.Seconds())), nil) })
	}
	sm.scheduleSlowdowns(t)
	sm.runUntil(end.Add(drainStep))
	for sm.hasOpenCalls() && sm.now.Before(end.Add(drainTime)) {
		sm.runUntil(sm.now.Add(drainStep))
	}
	sm.collect()
	return &sm.outcome
}

// sendCall sends a caller's request; refused is the earlier request that it retries, or nil.
func (sm *simulation) sendCall(p Plan, host int, addressReadAt time.Time, refused *Call) {
	sm.lastCallID++
	c := &Call{
		Plan: p, ID: sm.lastCallID, Host: host, SentAt: sm.now, addressReadAt: addressReadAt, Retry: refused != nil,
		Cold: !sm.hasReadyReplica(p.Model),
	}
	if refused != nil {
		refused.RetryCall = c
	}
	sm.outcome.Calls = append(sm.outcome.Calls, c)
	sm.after(sm.deploy.ClientDelay, func() { sm.onArrival(c) })
}

// hasReadyReplica reports whether some replica of the model can serve now.
func (sm *simulation) hasReadyReplica(model string) bool {
	return slices.ContainsFunc(sm.engines, func(e *engine) bool {
		r := e.findReplica(model)
		return r != nil && r.ready && r.unloadOrder == ""
	})
}

// recordFirstToken records when the caller receives its first token.
func (sm *simulation) recordFirstToken(c *Call) {
	if c.First.IsZero() {
		c.First = sm.now.Add(sm.deploy.ClientDelay)
	}
}

// finish records the end of a call and schedules the retry of a caller who obeys the retry time.
func (sm *simulation) finish(c *Call, done bool, code string, retryAfter time.Duration) {
	c.endCount++
	c.Ended, c.Done, c.Refused, c.RetryAfter = sm.now.Add(sm.deploy.ClientDelay), done, !done, retryAfter
	if done {
		return
	}
	sm.outcome.Codes[code]++
	if !c.Obeys || c.Retry || retryAfter <= 0 {
		return
	}
	// Retry-After is in whole seconds, rounded up.
	wait := (retryAfter + time.Second - 1).Truncate(time.Second)
	sm.returning++
	sm.at(c.Ended.Add(wait), func() {
		sm.returning--
		host, addressReadAt := c.Host, c.addressReadAt
		if sm.now.Sub(addressReadAt) > addressTTL {
			// The address call lists the hosts of the caller's data centre first; a client takes any of them.
			host, addressReadAt = host%dataCentres+dataCentres*sm.random.IntN(hostCount/dataCentres), sm.now
		}
		sm.sendCall(c.Plan, host, addressReadAt, c)
	})
}

// scheduleSlowdowns schedules the speed changes of upstreams and store.
func (sm *simulation) scheduleSlowdowns(t *Trace) {
	for _, s := range t.UpstreamSlowdowns {
		picked := sm.pickSlowed(s)
		for _, e := range picked {
			lag := e.statusLag
			sm.outcome.Slowed = append(sm.outcome.Slowed, e.name)
			sm.at(sm.traceStart.Add(seconds(s.From)), func() {
				e.statusLag = max(lag, time.Duration(s.LagMillis)*time.Millisecond)
				e.setSlowdown(s.Factor)
			})
			sm.at(sm.traceStart.Add(seconds(s.To)), func() {
				e.statusLag = lag
				e.setSlowdown(1)
			})
		}
	}
	for _, s := range t.StoreSlowdowns {
		sm.at(sm.traceStart.Add(seconds(s.From)), func() { sm.store.setSlowdown(s.Factor) })
		sm.at(sm.traceStart.Add(seconds(s.To)), func() { sm.store.setSlowdown(1) })
	}
}

// pickSlowed returns the share of upstreams to slow, spread evenly over the list so that each data centre has some.
func (sm *simulation) pickSlowed(s UpstreamSlowdown) []*engine {
	n := int(float64(len(sm.engines))*s.Share + 0.5)
	var picked []*engine
	for i := range n {
		picked = append(picked, sm.engines[i*len(sm.engines)/n])
	}
	return picked
}

// hasOpenCalls reports whether a caller is waiting for an answer or will return.
func (sm *simulation) hasOpenCalls() bool {
	return sm.returning > 0 || slices.ContainsFunc(sm.outcome.Calls, func(c *Call) bool { return c.endCount == 0 })
}

// collect completes the outcome at the end of the run.
func (sm *simulation) collect() {
	sm.outcome.BusyTime = make(map[string]time.Duration)
	for _, e := range sm.engines {
		for _, r := range slices.Clone(e.replicas) {
			if !r.idleSince.IsZero() {
				sm.addIdleTime(r, sm.now.Sub(r.idleSince))
			}
		}
		sm.outcome.BusyTime[e.name] = e.busyTime
	}
	for _, n := range sm.peakReplicas {
		sm.outcome.PeakReplicas += n
	}
	for _, c := range sm.outcome.Calls {
		if c.endCount != 1 {
			sm.outcome.Safety.Ends++
		}
	}
}
