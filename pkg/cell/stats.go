package cell

import "time"

type (
	// Stats are the figures of a controller for metrics; counts that only grow restart at zero with the process.
	Stats struct {
		Replicas  int // Replicas counts the replicas that use a permit.
		Loading   int // Loading counts the loads in flight or in doubt.
		Queued    int // Queued counts the models that wait for a load.
		InDoubt   int // InDoubt counts the orders whose answer is missing.
		Unsettled int // Unsettled counts the upstreams that get no order yet.
		Adapting  int // Adapting counts the adapter loads in flight or in doubt.

		UsedBytes     int64 // UsedBytes is the memory that is loaded or reserved.
		CapacityBytes int64

		Loads     int           // Loads counts the loads ordered.
		Unloads   int           // Unloads counts the unloads ordered.
		Evictions int           // Evictions counts the unloads of idle replicas for waiting work.
		Drains    int           // Drains counts the replicas with work that were drained for other work.
		Refusals  int           // Refusals counts the demands that were refused.
		Idle      time.Duration // Idle sums the time that replicas were loaded without work.
	}

	// counters are the figures of Stats that only grow.
	counters struct {
		loads     int
		unloads   int
		evictions int
		drains    int
		refusals  int
		idle      time.Duration
		idleAt    time.Time // idleAt is the time up to which idle is summed.
	}
)

// Stats returns the present figures.
func (c *Controller) Stats() Stats {
	s := Stats{
		Queued: len(c.queue), Adapting: c.adapting, Loads: c.sums.loads, Unloads: c.sums.unloads,
		Evictions: c.sums.evictions, Drains: c.sums.drains, Refusals: c.sums.refusals, Idle: c.sums.idle,
	}
	for _, u := range c.upstreams {
		s.CapacityBytes += u.capacity
		s.UsedBytes += u.capacity - c.free(u)
		s.Replicas += len(u.replicas)
		if !u.settled {
			s.Unsettled++
		}
		for _, r := range u.replicas {
			if r.phase == loading {
				s.Loading++
			}
		}
	}
	for _, o := range c.orders {
		if o.ended && !o.accepted && !o.definite {
			s.InDoubt++
		}
	}
	return s
}

// sumIdle adds the idle time of the replicas since the previous scan. The figures of engines lag, so the sum is exact to
// about that lag for each idle period.
func (c *Controller) sumIdle() {
	since := c.now.Sub(c.sums.idleAt)
	first := c.sums.idleAt.IsZero() || since > 2*scanInterval
	c.sums.idleAt = c.now
	if first {
		return // The controller did not hold the lease, or was paused: nothing is known of the time between.
	}
	for _, u := range c.upstreams {
		for _, r := range u.replicas {
			if r.phase == loaded && r.ready && r.running+r.waiting == 0 {
				c.sums.idle += since
			}
		}
	}
}
