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
	// settleTime is the virtual time before a trace starts, in which leases, fences and first permits settle.
	settleTime = 8 * time.Second
	// drainStep and drainTime bound the virtual time after a trace, in which callers return and the last answers end.
	drainStep = 30 * time.Second
	drainTime = 30 * time.Minute
	// addressLife is how long a caller keeps the address of an entry host.
	addressLife = 10 * time.Second
	// The load figures of engines are this old at least and at most; the interval of heartbeats adds up to a second.
	leastLag = 500 * time.Millisecond
	mostLag  = time.Second
)

type (
	// Safety counts the violations that the fakes saw; all must be zero.
	Safety struct {
		Permits int // Permits counts loads beyond the decided number of replicas.
		Memory  int // Memory counts loads beyond the capacity of an upstream, and adapters beyond their pool.
		Ends    int // Ends counts the requests without exactly one end.
	}

	// Outcome is what one run of a trace gave.
	Outcome struct {
		Calls    []*Call
		Loads    int // Loads counts the started loads.
		Replicas int // Replicas sums the largest number of replicas of each model at once.
		Sends    int
		Hedges   int
		Idle     time.Duration // Idle is the idle accelerator time, with replicas weighted by their share of memory.
		LoadTime time.Duration // LoadTime is the accelerator time spent in loads.
		Busy     map[string]time.Duration
		Slowed   []string
		Safety   Safety
		Codes    map[string]int
	}

	// Call is one request of a caller.
	Call struct {
		Plan
		ID         uint64
		Host       int
		Arrived    time.Time // Arrived is when the caller sent the request.
		First      time.Time
		Ended      time.Time
		Done       bool
		Refused    bool
		RetryAfter time.Duration
		Cold       bool   // Cold tells that no replica of the model was ready.
		Retry      bool   // Retry tells that the caller obeyed a refusal.
		Via        string // Via is the upstream of the last attempt.
		Again      *Call  // Again is the request of the caller who returned.
		ends       int
		asked      time.Time // asked is when the caller learnt the address of the host.
	}

	// world is the fakes of one run and what they saw.
	world struct {
		*clock
		deploy   Deployment
		view     *spec.View
		random   *rand.Rand
		engines  []*engine
		store    *store
		adapters *share
		replicas map[string]int
		peak     map[string]int
		out      Outcome
		start    time.Time // start is the beginning of the trace.
		next     uint64
		// returning counts the callers who were refused and will return.
		returning int
		arrive    func(*Call)
		begin     func(*world) // begin sets up the policy.
	}
)

func newWorld(d Deployment, seed uint64) *world {
	c := newClock()
	w := &world{
		clock: c, deploy: d, view: d.view(), random: rand.New(rand.NewPCG(seed, 1)),
		store: newStore(c, d.StoreRate, d.StoreSlots), adapters: newShare(c, d.AdapterLoad),
		replicas: make(map[string]int), peak: make(map[string]int), start: epoch.Add(settleTime),
		out: Outcome{Codes: make(map[string]int)},
	}
	for i := range d.Upstreams {
		w.engines = append(w.engines, &engine{
			world: w, name: fmt.Sprintf("u%02d", i), centre: centreName(i % dataCentres), slow: 1,
			lag:    leastLag + seconds(w.random.Float64()*(mostLag-leastLag).Seconds()),
			orders: make(map[string]cell.OrderState), cached: d.cached(i),
		})
	}
	return w
}

func (w *world) engine(name string) *engine {
	for _, e := range w.engines {
		if e.name == name {
			return e
		}
	}
	return nil
}

// loading counts a started load.
func (w *world) loading(r *replica) {
	w.out.Loads++
	w.replicas[r.model]++
	w.peak[r.model] = max(w.peak[r.model], w.replicas[r.model])
	if w.replicas[r.model] > r.spec.MaxReplicas {
		w.out.Safety.Permits++
	}
}

func (w *world) idle(r *replica, d time.Duration) {
	if w.now.After(w.start) {
		w.out.Idle += r.share(min(d, w.now.Sub(w.start)))
	}
}

// share weights a time by the part of an upstream's memory that the replica takes.
func (r *replica) share(d time.Duration) time.Duration {
	return seconds(d.Seconds() * float64(r.spec.ReplicaBytes()) / float64(capacity))
}

// run plays the calls and the disturbances of a trace and returns what happened.
func (w *world) run(t *Trace, plans []Plan) *Outcome {
	w.begin(w)
	end := w.start.Add(t.length())
	for i := range plans {
		p := plans[i]
		w.at(w.start.Add(p.At), func() { w.call(p, p.Host, w.now.Add(-seconds(w.random.Float64()*addressLife.Seconds())), nil) })
	}
	w.disturb(t)
	w.runUntil(end.Add(drainStep))
	for w.open() && w.now.Before(end.Add(drainTime)) {
		w.runUntil(w.now.Add(drainStep))
	}
	w.close()
	return &w.out
}

// call lets a caller send a request; first is the refused request after which the caller returns.
func (w *world) call(p Plan, host int, asked time.Time, first *Call) {
	w.next++
	c := &Call{Plan: p, ID: w.next, Host: host, Arrived: w.now, asked: asked, Retry: first != nil, Cold: !w.ready(p.Model)}
	if first != nil {
		first.Again = c
	}
	w.out.Calls = append(w.out.Calls, c)
	w.after(w.deploy.Client, func() { w.arrive(c) })
}

// ready reports whether a replica of the model could serve now.
func (w *world) ready(model string) bool {
	return slices.ContainsFunc(w.engines, func(e *engine) bool {
		r := e.find(model)
		return r != nil && r.ready && r.unload == ""
	})
}

// first notes that the caller will get its first token after the client delay.
func (w *world) first(c *Call) {
	if c.First.IsZero() {
		c.First = w.now.Add(w.deploy.Client)
	}
}

// finish notes the end of a call, and lets a caller who obeys the retry time return.
func (w *world) finish(c *Call, done bool, code string, retryAfter time.Duration) {
	c.ends++
	c.Ended, c.Done, c.Refused, c.RetryAfter = w.now.Add(w.deploy.Client), done, !done, retryAfter
	if done {
		return
	}
	w.out.Codes[code]++
	if !c.Obeys || c.Retry || retryAfter <= 0 {
		return
	}
	// Retry-After has whole seconds, rounded up.
	wait := (retryAfter + time.Second - 1).Truncate(time.Second)
	w.returning++
	w.at(c.Ended.Add(wait), func() {
		w.returning--
		host, asked := c.Host, c.asked
		if w.now.Sub(asked) > addressLife {
			// The answer of the address call lists the hosts of the own data centre first; a client takes any of them.
			host, asked = host%dataCentres+dataCentres*w.random.IntN(hostCount/dataCentres), w.now
		}
		w.call(c.Plan, host, asked, c)
	})
}

// disturb schedules the changes of speed.
func (w *world) disturb(t *Trace) {
	for _, s := range t.Speeds {
		picked := w.slowed(s)
		for _, e := range picked {
			lag := e.lag
			w.out.Slowed = append(w.out.Slowed, e.name)
			w.at(w.start.Add(seconds(s.From)), func() {
				e.lag = max(lag, time.Duration(s.LagMillis)*time.Millisecond)
				e.setSlow(s.Factor)
			})
			w.at(w.start.Add(seconds(s.To)), func() {
				e.lag = lag
				e.setSlow(1)
			})
		}
	}
	for _, s := range t.Stores {
		w.at(w.start.Add(seconds(s.From)), func() { w.store.slow(s.Factor) })
		w.at(w.start.Add(seconds(s.To)), func() { w.store.slow(1) })
	}
}

// slowed picks the share of upstreams, evenly over the list so that every data centre has some.
func (w *world) slowed(s Speed) []*engine {
	n := int(float64(len(w.engines))*s.Share + 0.5)
	var picked []*engine
	for i := range n {
		picked = append(picked, w.engines[i*len(w.engines)/n])
	}
	return picked
}

// open reports whether a caller waits for an answer or will return.
func (w *world) open() bool {
	return w.returning > 0 || slices.ContainsFunc(w.out.Calls, func(c *Call) bool { return c.ends == 0 })
}

// close counts what is left at the end of the run.
func (w *world) close() {
	w.out.Busy = make(map[string]time.Duration)
	for _, e := range w.engines {
		for _, r := range slices.Clone(e.replicas) {
			if !r.idleFrom.IsZero() {
				w.idle(r, w.now.Sub(r.idleFrom))
			}
		}
		w.out.Busy[e.name] = e.busy
	}
	for _, n := range w.peak {
		w.out.Replicas += n
	}
	for _, c := range w.out.Calls {
		if c.ends != 1 {
			w.out.Safety.Ends++
		}
	}
}
