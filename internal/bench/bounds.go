package bench

import (
	"cmp"
	"slices"
	"time"

	"github.com/fireflycleat/fireflycleat/pkg/cell"
	"github.com/fireflycleat/fireflycleat/pkg/spec"
)

// memoryFactor and diskFactor are the load times from host memory and disk, relative to the weight store.
const (
	memoryFactor = 0.1
	diskFactor   = 0.4
)

type (
	// modelLoad is one load that the calls of a burst require.
	modelLoad struct {
		model        string
		firstArrival time.Duration // arrival at a host, from the start of the trace
		loadTime     time.Duration
		fromStore    bool
		calls        []Plan
	}
)

func tierLoadTime(load time.Duration, t cell.Tier) time.Duration {
	switch t {
	case cell.TierMemory:
		return seconds(load.Seconds() * memoryFactor)
	case cell.TierDisk:
		return seconds(load.Seconds() * diskFactor)
	}
	return load
}

// idealFirstToken returns the time to the first token from an idle replica in the host's data centre.
func (d Deployment) idealFirstToken(p Plan) time.Duration {
	return 2*d.ClientDelay + 2*sameCentreDelay + time.Duration(p.Prompt)*prefillTime + seconds(soloTokenSeconds())
}

// bestColdStart returns the first-token times of the calls under the best order of loads. Models with a cached copy load at
// once. The others load in the best of four list schedules on the store's slots at its rate, or all at once, sharing the
// slots; sharing finishes earlier where the last loads of a list schedule leave slots idle. Batch slots, memory and message
// delays are ignored, so no policy can be much better than this bound.
func (t *Trace) bestColdStart(d Deployment, v *spec.View, calls []Plan) []time.Duration {
	loads := t.modelLoads(d, v, calls)
	orders := []func(a, b *modelLoad) int{
		func(a, b *modelLoad) int { return cmp.Compare(a.firstArrival, b.firstArrival) },
		func(a, b *modelLoad) int { return cmp.Compare(a.loadTime, b.loadTime) },
		func(a, b *modelLoad) int { return cmp.Compare(b.loadTime, a.loadTime) },
		func(a, b *modelLoad) int {
			return cmp.Compare(float64(a.loadTime)/float64(len(a.calls)), float64(b.loadTime)/float64(len(b.calls)))
		},
	}
	best := d.firstTokenTimes(loads, d.sharedLoadEnds(loads))
	for _, o := range orders {
		times := listSchedule(d, slices.SortedStableFunc(slices.Values(loads), o))
		if quantile(times, tailQuantile) < quantile(best, tailQuantile) {
			best = times
		}
	}
	return best
}

func (t *Trace) modelLoads(d Deployment, v *spec.View, calls []Plan) []*modelLoad {
	byModel := make(map[string]*modelLoad)
	var all []*modelLoad
	for _, p := range calls {
		n := byModel[p.Model]
		if n == nil {
			m, _ := v.Model(p.Model)
			tier := cell.TierRemote
			for u := range d.Upstreams {
				for _, c := range d.initialCache(u) {
					if c.Model == p.Model {
						tier = min(tier, c.Tier)
					}
				}
			}
			n = &modelLoad{model: p.Model, firstArrival: p.At + d.ClientDelay, loadTime: tierLoadTime(m.LoadTime(), tier), fromStore: tier == cell.TierRemote}
			if n.fromStore {
				n.loadTime = seconds(n.loadTime.Seconds() * t.storeSlowdown(p.At))
			}
			byModel[p.Model] = n
			all = append(all, n)
		}
		n.calls = append(n.calls, p)
	}
	return all
}

func (t *Trace) storeSlowdown(at time.Duration) float64 {
	for _, s := range t.StoreSlowdowns {
		if at >= seconds(s.From) && at < seconds(s.To) {
			return s.Factor
		}
	}
	return 1
}

// sharedLoadEnds returns when each load finishes if it starts at its first arrival and all loads share the store.
func (d Deployment) sharedLoadEnds(loads []*modelLoad) []time.Duration {
	c := newClock()
	s := newStore(c, d.StoreRate, d.StoreSlots)
	ends := make([]time.Duration, len(loads))
	for i, n := range loads {
		ends[i] = n.firstArrival + n.loadTime
		if n.fromStore {
			c.at(epoch.Add(n.firstArrival), func() { s.load(n.loadTime, func() { ends[i] = c.now.Sub(epoch) }) })
		}
	}
	c.runUntil(epoch.Add(24 * time.Hour))
	return ends
}

// firstTokenTimes returns the first-token times of the calls if the loads finish at the given times.
func (d Deployment) firstTokenTimes(loads []*modelLoad, ends []time.Duration) []time.Duration {
	var times []time.Duration
	for i, n := range loads {
		for _, p := range n.calls {
			times = append(times, max(0, ends[i]-p.At-d.ClientDelay)+d.idealFirstToken(p))
		}
	}
	return times
}

// listSchedule returns the first-token times of the calls if the loads start in the given order, each with a store slot to itself.
func listSchedule(d Deployment, loads []*modelLoad) []time.Duration {
	slotFreeAt := make([]time.Duration, d.StoreSlots)
	interval := seconds(1 / d.StoreRate)
	ends := make([]time.Duration, len(loads))
	var nextStart time.Duration
	for i, n := range loads {
		end := n.firstArrival + n.loadTime
		if n.fromStore {
			slices.Sort(slotFreeAt)
			nextStart = max(nextStart, n.firstArrival)
			start := max(n.firstArrival, slotFreeAt[0], nextStart+interval-time.Second)
			nextStart += interval
			end = start + n.loadTime
			slotFreeAt[0] = end
		}
		ends[i] = end
	}
	return d.firstTokenTimes(loads, ends)
}

// bestIdle returns the accelerator time without work under hindsight-optimal unloading: a gap between requests costs its
// length or one load, whichever is less, and the first load of a model counts too. Replicas are weighted by their share of
// an upstream's memory.
func bestIdle(v *spec.View, calls []Plan) time.Duration {
	busyUntil := make(map[string]time.Duration)
	sum := 0.0
	for _, p := range calls {
		m, _ := v.Model(p.Model)
		load, weight := m.LoadTime().Seconds(), float64(m.ReplicaBytes())/float64(upstreamMemory)
		until, known := busyUntil[p.Model]
		gap := load
		if known {
			gap = min(max((p.At-until).Seconds(), 0), load)
		}
		sum += gap * weight
		service := time.Duration(p.Prompt)*prefillTime + seconds(float64(p.Answer)*soloTokenSeconds())
		busyUntil[p.Model] = max(until, p.At+service)
	}
	return seconds(sum)
}
