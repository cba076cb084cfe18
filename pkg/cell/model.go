package cell

import (
	"slices"
	"time"

	"github.com/fireflycleat/fireflycleat/pkg/spec"
)

// noYield is the value of model.yieldTarget and model.yieldClaimed while no reduction is requested or claimed.
const noYield = -1

type (
	// model is the state of one model in the controller.
	model struct {
		name       string
		index      int
		spec       spec.Model
		configured bool // whether the configuration contains the model
		dirty      bool // listed in Controller.dirtyModels
		queued     bool // listed in Controller.queue

		permits        int
		offset         int64     // log offset of the latest permit record
		frozen         bool      // whether the permits of all cells together exceed maxReplicas
		yieldTarget    int       // permit count requested by another cell, or noYield
		forceYield     bool      // whether to drain busy replicas to reach yieldTarget
		yieldClaimed   int       // permit count of an unanswered claim that lowers the permits, or noYield
		nextClaimAt    time.Time // earliest time of the next claim
		claimedForWork bool      // whether the last claim was made for waiting work
		claimAttempts  uint      // claims sent since the last permit record

		replicas   []*replica
		demands    []demand
		uses       []Use
		inFlight   int       // sum of the Use reports of all hosts
		urgent     int       // urgent part of inFlight
		useEndedAt time.Time // when a host last reported that its work had ended

		optional         bool // whether the missing replica would shorten a queue that the serving replicas can also handle
		missing          int  // replicas that waiting work still needs
		score            float64
		preemptedReplica *replica  // replica that is drained to make room for this model
		queuedSince      time.Time // when the model entered the load queue
		retriesUntil     time.Time // time until which refused callers are expected to retry
		predictedReadyAt time.Time // predicted time of the next ready replica; zero means no prediction
		blocked          bool      // set when no load of the model can be planned at present

		active       bool
		hadWork      bool      // set when the model had work in this lease term, so that the next idle gap is observed in full
		lastActiveAt time.Time // when the model last had work
		surplusSince time.Time // time since which one replica fewer would have been enough
		gaps         gapHistogram
		requests     int       // waiting and running requests as of recentWorkAt
		recentWork   float64   // exponentially decaying integral of requests over time, in request seconds
		recentWorkAt time.Time // time of the last update of recentWork
	}

	// demand is the latest Demand of a host for the model and an adapter, and the state of its forecast.
	demand struct {
		Demand
		receivedAt  time.Time
		expires     time.Time
		sentReadyAt time.Time // ready time in the last forecast sent
		answered    bool
		refused     bool
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
		m.demands = append(m.demands, demand{Demand: e, receivedAt: c.now})
		i = len(m.demands) - 1
		fallthrough
	default:
		d := &m.demands[i]
		d.Demand, d.answered, d.refused = e, false, false
		d.expires = c.now.Add(c.settings.DemandLife)
		if e.EarliestDeadline.After(d.expires) {
			d.expires = e.EarliestDeadline
		}
	}
	if !c.holdsLease && e.Urgent+e.Normal+e.Bulk > 0 {
		c.refuseNotHolder(e)
		return
	}
	c.markDirty(m)
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
		m.uses, m.useEndedAt = slices.Delete(m.uses, i, i+1), c.now
	}
	m.inFlight, m.urgent = 0, 0
	for _, x := range m.uses {
		m.inFlight += x.InFlight
		m.urgent += x.Urgent
	}
	c.markDirty(m)
}

// waiting returns the number of waiting requests by urgency.
func (m *model) waiting() (urgent, normal, bulk int) {
	for _, d := range m.demands {
		urgent += d.Urgent
		normal += d.Normal
		bulk += d.Bulk
	}
	return urgent, normal, bulk
}

// canGoElsewhere reports whether all waiting work can go to another cell if this cell has no memory.
func (m *model) canGoElsewhere() bool {
	return len(m.demands) > 0 && !slices.ContainsFunc(m.demands, func(d demand) bool { return !d.Elsewhere })
}

func (m *model) totalWaiting() int {
	u, n, b := m.waiting()
	return u + n + b
}

// running returns the requests in progress as counted by the hosts or by the engines, whichever is more. Once the hosts
// report no requests, engine figures from before that report are ignored: they lag by a second and would keep every
// model loaded for that time.
func (m *model) running() int {
	n := 0
	for _, r := range m.replicas {
		if m.inFlight > 0 || !r.upstream.reportedAt.Before(m.useEndedAt) {
			n += r.running + r.waiting
		}
	}
	return max(n, m.inFlight)
}

// serving reports whether the replica counts as capacity for new work.
func (m *model) serving(r *replica) bool {
	return !r.lost && r.phase <= loaded && r.retireReason == notRetired && !r.upstream.leaving && r.version == m.spec.Version
}

// busy reports whether the model has work, or had work so recently that a request may still be on its way to a replica.
func (c *Controller) busy(m *model) bool {
	return m.active || c.now.Before(m.lastActiveAt.Add(c.settings.DrainDelay)) || c.now.Before(m.retriesUntil)
}

// reconcile updates everything about one model that does not depend on other models.
func (c *Controller) reconcile(m *model) {
	m.demands = slices.DeleteFunc(m.demands, func(d demand) bool { return !c.now.Before(d.expires) })
	c.trackActivity(m)
	c.yieldPermits(m)
	c.retireIdle(m)
	c.advanceRetired(m)
	c.updateMissing(m)
	c.loadAdapters(m)
}

// updateMissing computes how many replicas the waiting work lacks. Replicas are added when more requests wait, at hosts
// or engines, than all serving and loading replicas have slots: beyond that, a whole batch would wait for another. A
// shorter queue justifies one more replica as long as no other model needs the memory or the store.
func (c *Controller) updateMissing(m *model) {
	serving, slots, waiting, hasNewReplica := 0, 0, m.totalWaiting(), false
	for _, r := range m.replicas {
		if m.serving(r) {
			serving++
			slots += r.slots
			waiting += r.waiting
			hasNewReplica = hasNewReplica || !r.ready || c.now.Sub(r.orderClosedAt) < newReplicaDelay
		}
	}
	need := 0
	m.optional = m.configured && serving > 0 && !hasNewReplica && waiting <= slots && waiting > slots/shortQueueDivisor
	if m.configured {
		if waiting > slots {
			need = (waiting - slots + m.spec.Slots - 1) / m.spec.Slots
		} else if m.optional {
			need = 1
		} else if serving == 0 && c.now.Before(m.retriesUntil) {
			need = 1
		}
		if c.outdated(m) && c.busy(m) {
			need = max(need, 1-serving)
		}
		need = max(need, c.floor(m)-serving)
		need = min(need, m.spec.MaxReplicas-serving)
	}
	if c.disabled.reservation {
		need = min(need, 1)
	}
	if need != m.missing {
		c.replan = true
	}
	m.missing = max(need, 0)
	if m.missing > 0 && !m.queued {
		m.queued, m.queuedSince = true, c.now
		c.queue = append(c.queue, m)
	}
	c.claimPermits(m, serving)
}

// floor returns the number of replicas that stay loaded without work.
func (c *Controller) floor(m *model) int {
	if !m.configured || !c.isPreferred(m) {
		return 0
	}
	return min(m.spec.MinReplicas, c.usablePermits(m))
}

func (c *Controller) isPreferred(m *model) bool {
	return c.settings.IsPreferred == nil || c.settings.IsPreferred(m.name)
}
