package bench

import (
	"cmp"
	"slices"
	"time"

	"github.com/fireflycleat/fireflycleat/pkg/cell"
	"github.com/fireflycleat/fireflycleat/pkg/spec"
)

const (
	memoryFactor = 0.1 // Load time from memory and disk relative to the store.
	diskFactor   = 0.4
)

type (
	// need is a model that has to be loaded for the calls of a burst.
	need struct {
		model string
		at    time.Duration // at is the first arrival at a host.
		load  time.Duration
		store bool
		calls []Plan
	}
)

func tierTime(load time.Duration, t cell.Tier) time.Duration {
	switch t {
	case cell.TierMemory:
		return seconds(load.Seconds() * memoryFactor)
	case cell.TierDisk:
		return seconds(load.Seconds() * diskFactor)
	}
	return load
}

// idealFirst returns the time to the first token at an idle replica in the host's data centre.
func (d Deployment) idealFirst(p Plan) time.Duration {
	return 2*d.Client + 2*sameCentre + time.Duration(p.Prompt)*prefillTime + seconds(soloToken())
}

// bestCold returns the first-token times of the calls under the best order of loads: cached copies load at once and the
// others in the best of four list schedules on all slots of the store, at its rate, or all at once, sharing the slots. Sharing
// ends earlier than whole slots where the last loads leave slots idle. Queues for batch slots, memory and delays of
// messages are left out, so that no policy can do better than this by much.
func (t *Trace) bestCold(d Deployment, v *spec.View, calls []Plan) []time.Duration {
	needs := t.needs(d, v, calls)
	orders := []func(a, b *need) int{
		func(a, b *need) int { return cmp.Compare(a.at, b.at) },
		func(a, b *need) int { return cmp.Compare(a.load, b.load) },
		func(a, b *need) int { return cmp.Compare(b.load, a.load) },
		func(a, b *need) int {
			return cmp.Compare(float64(a.load)/float64(len(a.calls)), float64(b.load)/float64(len(b.calls)))
		},
	}
	best := d.firstTimes(needs, d.sharedLoads(needs))
	for _, o := range orders {
		times := schedule(d, slices.SortedStableFunc(slices.Values(needs), o))
		if quantile(times, rank) < quantile(best, rank) {
			best = times
		}
	}
	return best
}

func (t *Trace) needs(d Deployment, v *spec.View, calls []Plan) []*need {
	byModel := make(map[string]*need)
	var all []*need
	for _, p := range calls {
		n := byModel[p.Model]
		if n == nil {
			m, _ := v.Model(p.Model)
			tier := cell.TierRemote
			for u := range d.Upstreams {
				for _, c := range d.cached(u) {
					if c.Model == p.Model {
						tier = min(tier, c.Tier)
					}
				}
			}
			n = &need{model: p.Model, at: p.At + d.Client, load: tierTime(m.LoadTime(), tier), store: tier == cell.TierRemote}
			if n.store {
				n.load = seconds(n.load.Seconds() * t.storeFactor(p.At))
			}
			byModel[p.Model] = n
			all = append(all, n)
		}
		n.calls = append(n.calls, p)
	}
	return all
}

func (t *Trace) storeFactor(at time.Duration) float64 {
	for _, s := range t.Stores {
		if at >= seconds(s.From) && at < seconds(s.To) {
			return s.Factor
		}
	}
	return 1
}

// sharedLoads returns the ends of the loads when each begins at its first arrival and all share the store.
func (d Deployment) sharedLoads(needs []*need) []time.Duration {
	c := newClock()
	s := newStore(c, d.StoreRate, d.StoreSlots)
	ends := make([]time.Duration, len(needs))
	for i, n := range needs {
		ends[i] = n.at + n.load
		if n.store {
			c.at(epoch.Add(n.at), func() { s.load(n.load, func() { ends[i] = c.now.Sub(epoch) }) })
		}
	}
	c.runUntil(epoch.Add(24 * time.Hour))
	return ends
}

// firstTimes returns the first-token times of the calls when the loads end at the given times.
func (d Deployment) firstTimes(needs []*need, ends []time.Duration) []time.Duration {
	var times []time.Duration
	for i, n := range needs {
		for _, p := range n.calls {
			times = append(times, max(0, ends[i]-p.At-d.Client)+d.idealFirst(p))
		}
	}
	return times
}

// schedule returns the first-token times of the calls when the loads start in the given order on whole slots.
func schedule(d Deployment, needs []*need) []time.Duration {
	slot := make([]time.Duration, d.StoreSlots)
	interval := seconds(1 / d.StoreRate)
	ends := make([]time.Duration, len(needs))
	var due time.Duration
	for i, n := range needs {
		ready := n.at + n.load
		if n.store {
			slices.Sort(slot)
			due = max(due, n.at)
			start := max(n.at, slot[0], due+interval-time.Second)
			due += interval
			ready = start + n.load
			slot[0] = ready
		}
		ends[i] = ready
	}
	return d.firstTimes(needs, ends)
}

// bestIdle returns the accelerator time without work under hindsight-optimal unloading: a gap costs its length or, if that
// is less, one load; the first load of a model counts too. Replicas are weighted by their share of memory.
func bestIdle(v *spec.View, calls []Plan) time.Duration {
	free := make(map[string]time.Duration)
	sum := 0.0
	for _, p := range calls {
		m, _ := v.Model(p.Model)
		load, weight := m.LoadTime().Seconds(), float64(m.ReplicaBytes())/float64(capacity)
		until, known := free[p.Model]
		gap := load
		if known {
			gap = min(max((p.At-until).Seconds(), 0), load)
		}
		sum += gap * weight
		service := time.Duration(p.Prompt)*prefillTime + seconds(float64(p.Answer)*soloToken())
		free[p.Model] = max(until, p.At+service)
	}
	return seconds(sum)
}
