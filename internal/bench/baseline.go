package bench

import (
	"slices"
	"time"

	"github.com/fireflycleat/fireflycleat/pkg/cell"
	"github.com/fireflycleat/fireflycleat/pkg/retry"
	"github.com/fireflycleat/fireflycleat/pkg/spec"
)

const (
	idleTimeout       = 60 * time.Second // time without requests after which the baseline unloads a replica
	idleCheckInterval = time.Second
	missRetryInterval = 100 * time.Millisecond // delay before the baseline tries again to place a model that did not fit
)

// baseline is the reference policy: it routes to the replica with the fewest connections from the calling host, loads on
// a miss and unloads after a fixed idle time. It reads the replicas of all engines without delay, obeys the configured
// number of replicas and ignores urgency.
type baseline struct {
	*simulation
	connections [hostCount]map[*engine]int
}

// newBaseline returns a simulation that runs the baseline policy.
func newBaseline(d Deployment, seed uint64) *simulation {
	sm := newSimulation(d, seed)
	b := &baseline{simulation: sm}
	for i := range b.connections {
		b.connections[i] = make(map[*engine]int)
	}
	sm.onArrival = b.arrive
	sm.startPolicy = func(*simulation) { sm.every(0, idleCheckInterval, b.unloadIdle) }
	return sm
}

func (b *baseline) arrive(c *Call) {
	j := &job{priority: spec.Normal, adapter: c.Adapter, prompt: c.Prompt, total: c.Answer}
	finished := false
	end := func(done bool, code string) {
		if !finished {
			finished = true
			b.finish(c, done, code, 0)
		}
	}
	e := b.engineFor(c)
	j.onFirstToken = func() { b.recordFirstToken(c) }
	j.onProgress = func(int) {}
	j.onEnd = func(r retry.Result, _ int) {
		b.connections[c.Host][e]--
		end(r == retry.Done, "upstream "+r.String())
	}
	b.at(c.SentAt.Add(c.Deadline), func() {
		if c.First.IsZero() && !finished {
			finished = true
			b.finish(c, false, "caller left", 0)
			if j.replica != nil {
				e.cancel(j)
			}
		}
	})
	var try func()
	try = func() {
		switch {
		case finished:
		case e == nil:
			b.after(missRetryInterval, func() {
				e = b.engineFor(c)
				try()
			})
		default:
			b.connections[c.Host][e]++
			b.after(sameCentreDelay, func() { b.submit(e, c, j) })
		}
	}
	try()
}

// submit starts the job on the engine as soon as the model and the adapter are loaded.
func (b *baseline) submit(e *engine, c *Call, j *job) {
	r := e.findReplica(c.Model)
	switch {
	case r == nil: // The replica was evicted while the request was in transit.
		j.onEnd(retry.NotRun, 0)
	case !r.ready:
		r.onReady = append(r.onReady, func() { b.submit(e, c, j) })
	case j.adapter != "" && !slices.Contains(r.adapters, j.adapter):
		if len(r.adapters) > 0 && int64(len(r.adapters)+1)*adapterBytes > r.spec.AdapterBytes {
			r.adapters = r.adapters[1:]
		}
		e.loadAdapter(c.Model, j.adapter, func(cell.OrderState) { e.submit(c.Model, j, true) })
	case c.Ended.IsZero():
		e.submit(c.Model, j, true)
	default:
		b.connections[c.Host][e]--
	}
}

// engineFor returns the engine for a call. It prefers the replica with the fewest connections. If there is none, or its
// slots are full and another replica is allowed, it loads one on the engine with the fewest connections that has memory.
// It returns nil if there is neither a replica nor memory for one.
func (b *baseline) engineFor(c *Call) *engine {
	m, _ := b.view.Model(c.Model)
	count := b.connections[c.Host]
	var loaded, candidate *engine
	for _, e := range b.engines {
		switch {
		case e.findReplica(c.Model) != nil:
			if loaded == nil || count[e] < count[loaded] {
				loaded = e
			}
		case e.canFit(m.ReplicaBytes()):
			if candidate == nil || count[e] < count[candidate] {
				candidate = e
			}
		}
	}
	if loaded != nil && (count[loaded] < m.Slots || b.replicas[c.Model] >= m.MaxReplicas) || candidate == nil {
		return loaded
	}
	candidate.evict(m.ReplicaBytes())
	candidate.load(c.Model, func() {})
	return candidate
}

func (e *engine) canFit(need int64) bool {
	free := upstreamMemory - e.usedBytes
	for _, r := range e.replicas {
		if r.idle() {
			free += r.spec.ReplicaBytes()
		}
	}
	return free >= need
}

func (r *replica) idle() bool {
	return r.ready && !r.idleSince.IsZero() && len(r.running)+len(r.waiting) == 0
}

// evict unloads replicas, longest idle first, until the needed bytes are free or no replica is idle.
func (e *engine) evict(need int64) {
	for upstreamMemory-e.usedBytes < need {
		var victim *replica
		for _, r := range e.replicas {
			if r.idle() && (victim == nil || r.idleSince.Before(victim.idleSince)) {
				victim = r
			}
		}
		if victim == nil {
			return
		}
		e.unload(victim)
	}
}

func (b *baseline) unloadIdle() {
	for _, e := range b.engines {
		for _, r := range slices.Clone(e.replicas) {
			if r.idle() && b.now.Sub(r.idleSince) >= idleTimeout {
				e.unload(r)
			}
		}
	}
}
