package cell

import (
	"math"
	"time"
)

const (
	// scaleInDelay is the least time for which a busy model keeps a replica more than it needs. With about 1 s a trace with
	// swings of seconds started 71 loads instead of 17 (docs/trials.md, trial 15).
	scaleInDelay = 10 * time.Second
	gapBuckets   = 24
	// bucketsPerDouble is the number of gap buckets in each doubling of the gap.
	bucketsPerDouble = 2
	// gapDecay is the factor on older observations; it keeps about the last fifty gaps, so that the distribution follows
	// changes within a day.
	gapDecay = 0.98
	// heatHalfLife is the time in which past work counts half when replicas are compared for eviction.
	heatHalfLife = 5 * time.Minute
	// churnCost is the cost of an unload and a later load beside the load time: the prompt prefixes in the engine's cache are
	// lost, and every entry learns of both.
	churnCost = 2 * time.Second
	// minGaps is the weight of observations from which the distribution is used instead of the break-even time.
	minGaps = 4
)

// gaps is the distribution of the idle times of a model between two periods of work.
type gaps struct {
	counts [gapBuckets]float64
	total  float64
}

func (g *gaps) observe(d time.Duration) {
	for i := range g.counts {
		g.counts[i] *= gapDecay
	}
	g.total = g.total*gapDecay + 1
	g.counts[bucket(d)]++
}

func bucket(d time.Duration) int {
	i := int(math.Ceil(math.Log2(max(d.Seconds(), 1)) * bucketsPerDouble))
	return min(i, gapBuckets-1)
}

// edge returns the longest gap of the bucket in seconds.
func edge(i int) float64 { return math.Exp2(float64(i) / bucketsPerDouble) }

// timeout returns the idle time after which an unload is cheaper than waiting: the one with the least expected sum of idle
// time and of the cost of a later load, which is given in seconds of idle time. Without enough observations it is the
// break-even time, which costs at most twice the optimum.
func (g *gaps) timeout(load float64) float64 {
	if g.total < minGaps {
		return load
	}
	best, least := 0.0, g.total*load
	short, idle := 0.0, 0.0
	for i := range gapBuckets - 1 {
		short += g.counts[i]
		idle += g.counts[i] * edge(i)
		if cost := idle + (g.total-short)*(edge(i)+load); cost < least {
			best, least = edge(i), cost
		}
	}
	return best
}

// trackActivity notes when the work of a model begins and ends.
func (c *Controller) trackActivity(m *model) {
	work := m.waiters() + m.running()
	dt := c.now.Sub(m.heatAt).Seconds()
	m.heat = m.heat*math.Exp2(-dt/heatHalfLife.Seconds()) + float64(m.work)*dt
	m.heatAt, m.work = c.now, work
	active := work > 0
	if active && !m.active {
		if gap := c.now.Sub(m.idleAt); m.seen && gap >= c.set.DrainDelay {
			if m.gaps.total < 2*minGaps {
				c.gaps.observe(gap)
			}
			m.gaps.observe(gap)
		}
	}
	if active || m.active {
		m.idleAt = c.now
	}
	m.active = active
	m.seen = m.seen || active
}

// idleTimeout returns how long the model's replicas stay loaded without work. While loads queue at the store, a later load
// costs more than its own time. A model of which little is known is taken to be like others at their first gaps.
func (c *Controller) idleTimeout(m *model) time.Duration {
	tier := c.nearest(m)
	load := c.loadTime(m, tier)
	if tier == TierRemote {
		load += waitCost * c.store.congestion(c.now)
	}
	load += churnCost
	g := &m.gaps
	if g.total < minGaps {
		g = &c.gaps
	}
	t := g.timeout(load.Seconds() * c.set.ColdCost)
	return min(max(time.Duration(t*float64(time.Second)), c.set.IdleMin), c.set.IdleMax)
}

// reviewIdle retires replicas whose expected idle cost exceeds that of a later load.
func (c *Controller) reviewIdle(m *model) {
	if len(m.replicas) == 0 {
		return
	}
	serving, slots := 0, 0
	var changed time.Time // changed is when the replicas last became more.
	var least *replica
	for _, r := range m.replicas {
		if !m.serving(r) || r.phase != loaded {
			continue
		}
		serving++
		slots += r.slots
		changed = later(changed, r.closedAt)
		if least == nil || r.running+r.waiting < least.running+least.waiting {
			least = r
		}
	}
	if least == nil || serving <= c.floor(m) || c.now.Before(m.promised) {
		m.lowSince = c.now
		return
	}
	if !m.active {
		if c.now.Sub(later(m.idleAt, changed)) >= c.idleTimeout(m) {
			c.startRetire(least, idle)
		}
		return
	}
	// With work, one replica fewer is enough when the others would be at most half full.
	if serving < 2 || m.waiters() > 0 || 2*m.running() > slots-least.slots {
		m.lowSince = c.now
		return
	}
	if c.now.Sub(later(m.lowSince, changed)) >= max(c.idleTimeout(m), scaleInDelay) {
		c.startRetire(least, idle)
		m.lowSince = c.now
	}
}
