package cell

import (
	"math"
	"time"
)

const (
	// scaleInDelay is the minimum time for which a busy model keeps a surplus replica. A delay of about 1 s on a trace
	// whose load varied within seconds caused 71 loads instead of 17 (docs/trials.md, trial 15).
	scaleInDelay = 10 * time.Second
	gapBuckets   = 24
	// bucketsPerDoubling is the number of histogram buckets per doubling of the gap.
	bucketsPerDoubling = 2
	// gapDecay is the factor on older observations. It retains about the last fifty gaps, so that the histogram follows
	// changes within a day.
	gapDecay = 0.98
	// workHalfLife is the half-life of past work when replicas are compared for eviction.
	workHalfLife = 5 * time.Minute
	// reloadOverhead is the cost of an unload and a later load in addition to the load time: the engine loses the
	// prompt prefixes in its cache, and every host processes two directory updates.
	reloadOverhead = 2 * time.Second
	// minGapWeight is the weight of observations from which the histogram is used instead of the break-even time.
	minGapWeight = 4
)

// gapHistogram is the distribution of the idle times of a model between two periods of work.
type gapHistogram struct {
	counts [gapBuckets]float64
	total  float64
}

func (g *gapHistogram) observe(d time.Duration) {
	for i := range g.counts {
		g.counts[i] *= gapDecay
	}
	g.total = g.total*gapDecay + 1
	g.counts[bucketOf(d)]++
}

func bucketOf(d time.Duration) int {
	i := int(math.Ceil(math.Log2(max(d.Seconds(), 1)) * bucketsPerDoubling))
	return min(i, gapBuckets-1)
}

// bucketLimit returns the longest gap of a bucket in seconds.
func bucketLimit(i int) float64 { return math.Exp2(float64(i) / bucketsPerDoubling) }

// timeout returns the idle time, in seconds, after which an unload is cheaper than staying loaded. It minimizes the
// expected cost of a gap: the idle time for which the replica stays loaded, plus loadCost if the gap is longer than
// that. The argument loadCost is the cost of a later load, in seconds of idle time. Without enough observations,
// timeout returns the break-even time, which costs at most twice the optimum.
func (g *gapHistogram) timeout(loadCost float64) float64 {
	if g.total < minGapWeight {
		return loadCost
	}
	best, leastCost := 0.0, g.total*loadCost
	short, idle := 0.0, 0.0
	for i := range gapBuckets - 1 {
		short += g.counts[i]
		idle += g.counts[i] * bucketLimit(i)
		if cost := idle + (g.total-short)*(bucketLimit(i)+loadCost); cost < leastCost {
			best, leastCost = bucketLimit(i), cost
		}
	}
	return best
}

// trackActivity records when the work of a model starts and ends.
func (c *Controller) trackActivity(m *model) {
	requests := m.totalWaiting() + m.running()
	dt := c.now.Sub(m.recentWorkAt).Seconds()
	m.recentWork = m.recentWork*math.Exp2(-dt/workHalfLife.Seconds()) + float64(m.requests)*dt
	m.recentWorkAt, m.requests = c.now, requests
	active := requests > 0
	if active && !m.active {
		if gap := c.now.Sub(m.lastActiveAt); m.hadWork && gap >= c.settings.DrainDelay {
			if m.gaps.total < 2*minGapWeight {
				c.initialGaps.observe(gap)
			}
			m.gaps.observe(gap)
		}
	}
	if active || m.active {
		m.lastActiveAt = c.now
	}
	m.active = active
	m.hadWork = m.hadWork || active
}

// idleTimeout returns how long the model's replicas stay loaded without work. While loads queue at the store, a later
// load costs more than its own duration. A model with few observations uses the initial gaps of all models.
func (c *Controller) idleTimeout(m *model) time.Duration {
	tier := c.nearestTier(m)
	loadCost := c.loadTime(m, tier)
	if tier == TierRemote {
		loadCost += waitCostFactor * c.store.expectedWait(c.now)
	}
	loadCost += reloadOverhead
	g := &m.gaps
	if g.total < minGapWeight {
		g = &c.initialGaps
	}
	t := g.timeout(loadCost.Seconds() * c.settings.ColdCost)
	return min(max(time.Duration(t*float64(time.Second)), c.settings.IdleMin), c.settings.IdleMax)
}

// retireIdle retires replicas whose expected idle cost exceeds the cost of a later load.
func (c *Controller) retireIdle(m *model) {
	if len(m.replicas) == 0 {
		return
	}
	serving, slots := 0, 0
	var lastAdded time.Time // when a replica was last added
	var leastBusy *replica
	for _, r := range m.replicas {
		if !m.serving(r) || r.phase != loaded {
			continue
		}
		serving++
		slots += r.slots
		lastAdded = later(lastAdded, r.orderClosedAt)
		if leastBusy == nil || r.running+r.waiting < leastBusy.running+leastBusy.waiting {
			leastBusy = r
		}
	}
	if leastBusy == nil || serving <= c.floor(m) || c.now.Before(m.retriesUntil) {
		m.surplusSince = c.now
		return
	}
	if !m.active {
		if c.now.Sub(later(m.lastActiveAt, lastAdded)) >= c.idleTimeout(m) {
			c.startRetire(leastBusy, idle)
		}
		return
	}
	// With work, one replica fewer is enough if the others would be at most half full.
	if serving < 2 || m.totalWaiting() > 0 || 2*m.running() > slots-leastBusy.slots {
		m.surplusSince = c.now
		return
	}
	if c.now.Sub(later(m.surplusSince, lastAdded)) >= max(c.idleTimeout(m), scaleInDelay) {
		c.startRetire(leastBusy, idle)
		m.surplusSince = c.now
	}
}
