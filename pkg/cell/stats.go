package cell

import "time"

type (
	// Stats holds the figures of a controller for metrics; counts that only grow restart at zero with the process.
	Stats struct {
		Replicas     int // replicas that use a permit
		Loading      int // loads in flight or in doubt
		Queued       int // models that wait for a load
		InDoubt      int // orders whose answer is missing
		NotQuiesced  int // upstreams to which no order may be sent yet
		AdapterLoads int // adapter loads in flight or in doubt

		UsedBytes     int64 // memory that is loaded or reserved
		CapacityBytes int64

		Loads     int           // loads ordered
		Unloads   int           // unloads ordered
		Evictions int           // unloads of idle replicas for waiting work
		Drains    int           // replicas with work that were drained for other work
		Refusals  int           // demands that were refused
		Idle      time.Duration // sum of the time for which replicas were loaded without work
	}

	// counters holds the figures of Stats that only grow.
	counters struct {
		loads     int
		unloads   int
		evictions int
		drains    int
		refusals  int
		idle      time.Duration
		idleAt    time.Time // time up to which idle is summed
	}
)

// Stats returns the current figures.
func (c *Controller) Stats() Stats {
	s := Stats{
		Queued: len(c.queue), AdapterLoads: c.adapterLoads, Loads: c.totals.loads, Unloads: c.totals.unloads,
		Evictions: c.totals.evictions, Drains: c.totals.drains, Refusals: c.totals.refusals, Idle: c.totals.idle,
	}
	for _, u := range c.upstreams {
		s.CapacityBytes += u.capacity
		s.UsedBytes += u.capacity - c.freeBytes(u)
		s.Replicas += len(u.replicas)
		if !u.quiesced {
			s.NotQuiesced++
		}
		for _, r := range u.replicas {
			if r.phase == loading {
				s.Loading++
			}
		}
	}
	for _, o := range c.orders {
		if o.senderFinished && !o.accepted && !o.outcomeKnown {
			s.InDoubt++
		}
	}
	return s
}

// addIdleTime adds the idle time of the replicas since the previous scan. The engine figures lag, so the sum is exact
// to about that lag for each idle period.
func (c *Controller) addIdleTime() {
	since := c.now.Sub(c.totals.idleAt)
	unknown := c.totals.idleAt.IsZero() || since > 2*scanInterval
	c.totals.idleAt = c.now
	if unknown {
		return // The controller did not hold the lease or was paused; the idle time since the last scan is unknown.
	}
	for _, u := range c.upstreams {
		for _, r := range u.replicas {
			if r.phase == loaded && r.ready && r.running+r.waiting == 0 {
				c.totals.idle += since
			}
		}
	}
}
