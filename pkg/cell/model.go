package cell

import (
	"slices"
	"time"

	"github.com/fireflycleat/fireflycleat/pkg/spec"
)

// noYield is the value of a yield target when nobody asked for permits.
const noYield = -1

type (
	// model is everything the controller knows about one model.
	model struct {
		name    string
		index   int
		spec    spec.Model
		known   bool
		touched bool
		queued  bool

		permits  int
		offset   int64 // offset is that of the latest permit record.
		frozen   bool
		yield    int // yield is the permit count another cell asked for, or noYield.
		force    bool
		yielding int       // yielding is the count of a claim in flight that lowers the permits, or noYield.
		claimAt  time.Time // claimAt is when the next claim may be made.
		eager    bool      // eager tells that the last claim was for waiting work.
		claims   uint      // claims counts the claims since the last permit record.

		replicas []*replica
		demands  []demand
		uses     []Use
		inFlight int       // inFlight sums the activity reports of the entries.
		urgent   int       // urgent is the urgent part of inFlight.
		endedAt  time.Time // endedAt is when an entry last told that its work had ended.

		optional    bool // optional tells that the missing replica would help, but that the work gets by without it.
		missing     int  // missing is the number of replicas that waiting work still needs.
		score       float64
		preempting  *replica  // preempting is the replica that drains to make room for urgent work.
		wantedSince time.Time // wantedSince is when the model entered the load queue.
		promised    time.Time // promised is until when refused callers are expected back.
		readyAt     time.Time // readyAt is the predicted time of the next ready replica; zero means no prediction.
		blocked     bool      // blocked tells that no upstream has memory for the model.

		active   bool
		seen     bool      // seen tells that the model had work in this tenure, so that gaps are measured whole.
		idleAt   time.Time // idleAt is when the model last had work.
		lowSince time.Time // lowSince is since when one replica fewer would do.
		gaps     gaps
		work     int       // work is the number of requests, waiting or running, as of heatAt.
		heat     float64   // heat is the decaying sum of work over time, in request seconds.
		heatAt   time.Time // heatAt is the time of heat.
	}

	// demand is the waiting work of one host and adapter.
	demand struct {
		Demand
		at       time.Time
		expires  time.Time
		sent     time.Time // sent is the ready time last forecast.
		answered bool
		refused  bool
	}
)

func (c *Controller) setDemand(e Demand) {
	m := c.model(e.Model)
	i := slices.IndexFunc(m.demands, func(d demand) bool { return d.Host == e.Host && d.Adapter == e.Adapter })
	switch {
	case e.Urgent+e.Normal+e.Bulk <= 0:
		if i >= 0 {
			m.demands = slices.Delete(m.demands, i, i+1)
		}
	case i < 0:
		m.demands = append(m.demands, demand{Demand: e, at: c.now})
		i = len(m.demands) - 1
		fallthrough
	default:
		d := &m.demands[i]
		d.Demand, d.answered, d.refused = e, false, false
		d.expires = c.now.Add(c.set.DemandLife)
		if e.EarliestDeadline.After(d.expires) {
			d.expires = e.EarliestDeadline
		}
	}
	if !c.holds && e.Urgent+e.Normal+e.Bulk > 0 {
		c.refuseNotHolder(e)
		return
	}
	c.touch(m)
	c.replan = c.replan || m.queued
}

func (c *Controller) setUse(e Use) {
	m := c.model(e.Model)
	i := slices.IndexFunc(m.uses, func(x Use) bool { return x.Host == e.Host })
	switch {
	case i < 0 && e.InFlight > 0:
		m.uses = append(m.uses, e)
	case i >= 0 && e.InFlight > 0:
		m.uses[i] = e
	case i >= 0:
		m.uses, m.endedAt = slices.Delete(m.uses, i, i+1), c.now
	}
	m.inFlight, m.urgent = 0, 0
	for _, x := range m.uses {
		m.inFlight += x.InFlight
		m.urgent += x.Urgent
	}
	c.touch(m)
}

// waiting returns the waiting requests by urgency.
func (m *model) waiting() (urgent, normal, bulk int) {
	for _, d := range m.demands {
		urgent += d.Urgent
		normal += d.Normal
		bulk += d.Bulk
	}
	return urgent, normal, bulk
}

// elsewhere reports whether all waiting work would go to another cell if this one had no memory.
func (m *model) elsewhere() bool {
	return len(m.demands) > 0 && !slices.ContainsFunc(m.demands, func(d demand) bool { return !d.Elsewhere })
}

func (m *model) waiters() int {
	u, n, b := m.waiting()
	return u + n + b
}

// running returns the requests in progress as the entries or the engines see them, whichever is more. Once the entries know
// of none, figures of engines from before that are void: they lag by a second, for which every model would stay loaded.
func (m *model) running() int {
	n := 0
	for _, r := range m.replicas {
		if m.inFlight > 0 || !r.up.reportedAt.Before(m.endedAt) {
			n += r.running + r.waiting
		}
	}
	return max(n, m.inFlight)
}

// serving reports whether the replica counts as capacity for new work.
func (m *model) serving(r *replica) bool {
	return !r.lost && r.phase <= loaded && r.retire == keep && !r.up.leaving && r.version == m.spec.Version
}

// busy reports whether the model has work, or had it so recently that a request may still be on its way to a replica.
func (c *Controller) busy(m *model) bool {
	return m.active || c.now.Before(m.idleAt.Add(c.set.DrainDelay)) || c.now.Before(m.promised)
}

// review brings everything about one model up to date that does not depend on other models.
func (c *Controller) review(m *model) {
	m.demands = slices.DeleteFunc(m.demands, func(d demand) bool { return !c.now.Before(d.expires) })
	c.trackActivity(m)
	c.reviewPermits(m)
	c.reviewIdle(m)
	c.reviewRetired(m)
	c.reviewNeed(m)
	c.reviewAdapters(m)
}

// reviewNeed computes how many replicas the waiting work lacks. Replicas are added when more requests wait, at entries or
// engines, than all serving replicas, including those that are loading, have slots: by then a whole batch would wait for
// another. A shorter queue is worth one more replica as long as nothing else needs its memory and load.
func (c *Controller) reviewNeed(m *model) {
	serving, slots, waiters, fresh := 0, 0, m.waiters(), false
	for _, r := range m.replicas {
		if m.serving(r) {
			serving++
			slots += r.slots
			waiters += r.waiting
			fresh = fresh || !r.ready || c.now.Sub(r.closedAt) < helpDelay
		}
	}
	need := 0
	m.optional = m.known && serving > 0 && !fresh && waiters <= slots && waiters > slots/helpShare
	if m.known {
		if waiters > slots {
			need = (waiters - slots + m.spec.Slots - 1) / m.spec.Slots
		} else if m.optional {
			need = 1
		} else if serving == 0 && c.now.Before(m.promised) {
			need = 1
		}
		if c.outdated(m) && c.busy(m) {
			need = max(need, 1-serving)
		}
		need = max(need, c.floor(m)-serving)
		need = min(need, m.spec.MaxReplicas-serving)
	}
	if c.off.reserve {
		need = min(need, 1)
	}
	if need != m.missing {
		c.replan = true
	}
	m.missing = max(need, 0)
	if m.missing > 0 && !m.queued {
		m.queued, m.wantedSince = true, c.now
		c.queue = append(c.queue, m)
	}
	c.claimMore(m, serving)
}

// floor returns the number of replicas that stay loaded without work.
func (c *Controller) floor(m *model) int {
	if !m.known || !c.home(m) {
		return 0
	}
	return min(m.spec.MinReplicas, c.permitCap(m))
}

func (c *Controller) home(m *model) bool { return c.set.Home == nil || c.set.Home(m.name) }
