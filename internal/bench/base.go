package bench

import (
	"slices"
	"time"

	"github.com/fireflycleat/fireflycleat/pkg/cell"
	"github.com/fireflycleat/fireflycleat/pkg/retry"
	"github.com/fireflycleat/fireflycleat/pkg/spec"
)

const (
	idleTimeout  = 60 * time.Second // The fixed idle time-out of the baseline.
	idleScan     = time.Second
	missInterval = 100 * time.Millisecond // The baseline looks for memory again after this time.
)

// baseline routes to the replica with the fewest connections of the host, loads on the first miss and unloads after a
// fixed idle time. It sees all loads at once, keeps the decided number of replicas and ignores urgency.
type baseline struct {
	*world
	connections [hostCount]map[*engine]int
}

// newBaseline returns the world with the baseline as its policy.
func newBaseline(d Deployment, seed uint64) *world {
	w := newWorld(d, seed)
	b := &baseline{world: w}
	for i := range b.connections {
		b.connections[i] = make(map[*engine]int)
	}
	w.arrive = b.arrive
	w.begin = func(*world) { w.every(0, idleScan, b.unloadIdle) }
	return w
}

func (b *baseline) arrive(c *Call) {
	j := &job{priority: spec.Normal, adapter: c.Adapter, prompt: c.Prompt, total: c.Answer}
	over := false
	end := func(done bool, code string) {
		if !over {
			over = true
			b.finish(c, done, code, 0)
		}
	}
	e := b.engineFor(c)
	j.first = func() { b.first(c) }
	j.progress = func(int) {}
	j.ended = func(r retry.Result, _ int) {
		b.connections[c.Host][e]--
		end(r == retry.Done, "upstream "+r.String())
	}
	b.at(c.Arrived.Add(c.Deadline), func() {
		if c.First.IsZero() && !over {
			over = true
			b.finish(c, false, "caller left", 0)
			if j.replica != nil {
				e.cancel(j)
			}
		}
	})
	var try func()
	try = func() {
		switch {
		case over:
		case e == nil:
			b.after(missInterval, func() {
				e = b.engineFor(c)
				try()
			})
		default:
			b.connections[c.Host][e]++
			b.after(sameCentre, func() { b.submit(e, c, j) })
		}
	}
	try()
}

// submit passes the job on once the model and the adapter are loaded.
func (b *baseline) submit(e *engine, c *Call, j *job) {
	r := e.find(c.Model)
	switch {
	case r == nil: // Evicted on the way.
		j.ended(retry.NotRun, 0)
	case !r.ready:
		r.onReady = append(r.onReady, func() { b.submit(e, c, j) })
	case j.adapter != "" && !slices.Contains(r.adapters, j.adapter):
		if len(r.adapters) > 0 && int64(len(r.adapters)+1)*adapterSize > r.spec.AdapterBytes {
			r.adapters = r.adapters[1:]
		}
		e.loadAdapter(c.Model, j.adapter, func(cell.OrderState) { e.submit(c.Model, j, true) })
	case c.Ended.IsZero():
		e.submit(c.Model, j, true)
	default:
		b.connections[c.Host][e]--
	}
}

// engineFor returns the replica with the fewest connections, or loads the model where the fewest connections are.
func (b *baseline) engineFor(c *Call) *engine {
	m, _ := b.view.Model(c.Model)
	count := b.connections[c.Host]
	var have, room *engine
	for _, e := range b.engines {
		switch {
		case e.find(c.Model) != nil:
			if have == nil || count[e] < count[have] {
				have = e
			}
		case e.roomFor(m.ReplicaBytes()):
			if room == nil || count[e] < count[room] {
				room = e
			}
		}
	}
	if have != nil && (count[have] < m.Slots || b.replicas[c.Model] >= m.MaxReplicas) || room == nil {
		return have
	}
	room.evict(m.ReplicaBytes())
	room.load(c.Model, func() {})
	return room
}

func (e *engine) roomFor(need int64) bool {
	free := capacity - e.used
	for _, r := range e.replicas {
		if r.idle() {
			free += r.spec.ReplicaBytes()
		}
	}
	return free >= need
}

func (r *replica) idle() bool {
	return r.ready && !r.idleFrom.IsZero() && len(r.running)+len(r.waiting) == 0
}

// evict unloads the replicas that have been idle longest until there is room.
func (e *engine) evict(need int64) {
	for capacity-e.used < need {
		var victim *replica
		for _, r := range e.replicas {
			if r.idle() && (victim == nil || r.idleFrom.Before(victim.idleFrom)) {
				victim = r
			}
		}
		if victim == nil {
			return
		}
		e.drop(victim)
	}
}

func (b *baseline) unloadIdle() {
	for _, e := range b.engines {
		for _, r := range slices.Clone(e.replicas) {
			if r.idle() && b.now.Sub(r.idleFrom) >= idleTimeout {
				e.drop(r)
			}
		}
	}
}
