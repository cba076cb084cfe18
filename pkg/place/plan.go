package place

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/fireflycleat/fireflycleat/pkg/fleet"
)

const (
	diskMargin   = 20 * time.Millisecond // added to the configured time of a load from a local copy, which other loads do not slow
	minGainRatio = 1.5                   // ratio of gain to loss that a load without a pending request must reach
	busyReplicas = 2                     // minimum for a model in steady use, which then survives the loss of one upstream
	urgentRatio  = 2                     // ratio of needed to existing replicas above which a shortage is urgent
	maxDrains    = 2                     // multiple of the expected drain time for which a reservation lasts longer
)

// Plan returns the orders to send and the reports to request now.
func (c *Controller) Plan(now time.Time) []Action {
	c.expire(now)
	c.preparePlan()
	needs := c.sortedNeeds()
	var actions []Action
	actions = c.planAdapters(now, needs, actions)
	actions = c.planReserved(now, actions)
	actions = c.planReplicas(now, actions, true)
	actions = c.planPending(now, needs, actions)
	actions = c.planReplicas(now, actions, false)
	actions = c.planSpread(now, actions)
	actions = c.planCopies(now, actions)
	return c.planReports(now, actions)
}

// preparePlan computes the values that a plan needs more than once.
func (c *Controller) preparePlan() {
	plan := planState{
		number: c.plan.number + 1, storeLoads: c.countStoreLoads(), loads: make(map[string]int), loading: make(map[string]int),
		copying: make(map[string]bool), needed: make(map[string]int), candidates: make(map[string][]candidate),
		deadlines: make(map[string][]modelDeadline), rareRates: make(map[*fleet.Engine]float64),
		holderSums: make(map[string]holderSums),
	}
	for _, u := range c.upstreams {
		if u.load != nil {
			plan.copying[u.load.model] = true
		}
		if u.reservedFor != "" {
			plan.copying[u.reservedFor] = true
		}
		if u.unreachable {
			continue
		}
		if u.load != nil {
			plan.loading[u.load.model]++
			if _, held := u.replicas[u.load.model]; !held && u.usable() {
				plan.loads[u.load.model]++
			}
		}
		if u.reservedFor != "" && (u.load == nil || u.load.model != u.reservedFor) {
			plan.loading[u.reservedFor]++
		}
	}
	c.plan = plan
}

// Next returns the time by which Plan must be called again, at most a second from now. Before that time Plan has nothing to do
// unless the state changes.
func (c *Controller) Next(now time.Time) time.Time {
	next := now.Add(time.Second)
	for _, u := range c.upstreams {
		due := time.Time{}
		if u.load != nil && !u.load.fromStore {
			due = u.load.due.Add(diskMargin)
		}
		for _, t := range []time.Time{u.reportAt, u.notBefore, u.pausedUntil, due} {
			if t.After(now) && t.Before(next) {
				next = t
			}
		}
	}
	return next
}

func (c *Controller) expire(now time.Time) {
	for id, p := range c.pending {
		if now.After(p.expiresAt) {
			c.RemoveRequest(id)
		}
	}
	for m := range c.blockedSince {
		if !c.modelPending(m) {
			delete(c.blockedSince, m)
		}
	}
	for _, u := range c.upstreams {
		if u.reservedFor != "" && now.After(u.reservedUntil) {
			u.reservedFor = ""
		}
		if u.load != nil && !u.load.fromStore && !now.Before(u.load.due.Add(diskMargin)) {
			c.finishLoad(now, u)
			u.assumedAt, u.reportAt = now, now.Add(c.settings.ReportLag) // Older reports are ignored; the next one corrects an error.
		}
	}
}

// planReserved orders the next step, an unload or the load itself, on the upstreams that are reserved for a load. It ends a
// reservation whose load cannot continue at once.
func (c *Controller) planReserved(now time.Time, actions []Action) []Action {
	for _, u := range c.sortedUpstreams() {
		e := c.engines[u.entry.Service]
		if u.reservedFor == "" || u.load != nil || e == nil || !c.acceptsOrder(now, u) {
			continue
		}
		t, ok := c.targetOn(now, u, u.entry.Service, e, e.Models[u.reservedFor])
		if !ok || t.wait > 0 {
			c.plan.loading[u.reservedFor]--
			u.reservedFor = ""
			continue
		}
		if t.fromStore && len(t.victims) == 0 && !c.storeLoadAllowed(now, e, c.speed.limit()) {
			continue
		}
		actions = c.orderLoad(now, t, u.reservedFor, actions)
	}
	return actions
}

// need is a model or adapter that requests wait for.
type need struct {
	service  string
	key      Key
	count    int
	deadline time.Time
	avoid    []string // upstreams that none of the requests can use
}

// sortedNeeds returns the models and adapters that requests wait for, those with the most pending requests first.
func (c *Controller) sortedNeeds() []*need {
	needs := make(map[Key]*need)
	for _, p := range c.pending {
		n, ok := needs[p.Key]
		if !ok {
			n = &need{service: p.Service, key: p.Key, deadline: p.Deadline, avoid: p.Avoid}
			needs[p.Key] = n
		}
		n.count++
		n.avoid = slices.DeleteFunc(slices.Clone(n.avoid), func(id string) bool { return !slices.Contains(p.Avoid, id) })
		if p.Deadline.Before(n.deadline) {
			n.deadline = p.Deadline
		}
	}
	return slices.SortedFunc(maps.Values(needs), func(a, b *need) int {
		return cmp.Or(cmp.Compare(b.count, a.count), a.deadline.Compare(b.deadline), cmp.Compare(a.key.Model, b.key.Model), cmp.Compare(a.key.Adapter, b.key.Adapter))
	})
}

// usableHolders returns the upstreams that hold the model and can be used by some of the requests.
func (c *Controller) usableHolders(n *need) []*upstream {
	return slices.DeleteFunc(c.holders(n.service, n.key.Model), func(u *upstream) bool { return slices.Contains(n.avoid, u.entry.ID) })
}

// planAdapters orders the adapters that requests wait for. They go before models: an upstream that loads a model takes no other order for
// a second and more, and an adapter takes milliseconds.
func (c *Controller) planAdapters(now time.Time, needs []*need, actions []Action) []Action {
	for _, n := range needs {
		if e := c.engines[n.service]; n.key.Adapter != "" && e != nil && hasModel(e, n.key.Model) {
			actions = c.planAdapter(now, e, n.key, c.usableHolders(n), actions)
		}
	}
	return actions
}

// planPending orders loads of the models that requests wait for.
func (c *Controller) planPending(now time.Time, needs []*need, actions []Action) []Action {
	for _, n := range needs {
		e := c.engines[n.service]
		if e == nil || !hasModel(e, n.key.Model) || c.plan.loading[n.key.Model] > 0 || len(c.usableHolders(n)) > 0 {
			continue
		}
		actions = c.planLoad(now, n.service, e, n.key.Model, actions)
	}
	return actions
}

// holders returns the usable upstreams that hold the model, the least loaded first.
func (c *Controller) holders(service, model string) []*upstream {
	var list []*upstream
	for _, u := range c.index.holders[model] {
		if u.entry.Service == service && u.usable() {
			list = append(list, u)
		}
	}
	running := make(map[string]int, len(list))
	for _, u := range list {
		running[u.entry.ID] = c.running.upstream[u.entry.ID]
	}
	slices.SortFunc(list, func(a, b *upstream) int {
		return cmp.Or(cmp.Compare(running[a.entry.ID], running[b.entry.ID]), cmp.Compare(a.entry.ID, b.entry.ID))
	})
	return list
}

// planAdapter orders a load of the adapter on one of the upstreams that hold its model, or an unload that frees a slot for it,
// unless the adapter is loaded or being loaded.
func (c *Controller) planAdapter(now time.Time, e *fleet.Engine, k Key, holders []*upstream, actions []Action) []Action {
	for _, u := range holders {
		if _, ok := u.replicas[k.Model].adapters[k.Adapter]; ok || u.order != nil && u.order.Op == Load && u.order.Key == k {
			return actions
		}
	}
	for _, u := range holders {
		if !c.acceptsOrder(now, u) || u.load != nil {
			continue
		}
		if u.adapterCount() < e.AdapterSlots {
			return c.appendOrder(now, u, Load, k, actions)
		}
		if victim, ok := c.idleAdapter(u); ok {
			return c.appendOrder(now, u, Unload, victim, actions)
		}
	}
	return actions
}

// idleAdapter returns the upstream's oldest adapter that has no requests pending or in progress.
func (c *Controller) idleAdapter(u *upstream) (Key, bool) {
	best, found := Key{}, false
	oldest := time.Time{}
	for m, r := range u.replicas {
		for a, at := range r.adapters {
			k := Key{m, a}
			if at.Equal(unloading) || c.running.adapter[upstreamKey{u.entry.ID, k}] > 0 || c.keyPending(k) {
				continue
			}
			if !found || at.Before(oldest) || at.Equal(oldest) && k.Adapter < best.Adapter {
				best, oldest, found = k, at, true
			}
		}
	}
	return best, found
}

func (c *Controller) keyPending(k Key) bool { return c.pendingByKey[k] > 0 }

// acceptsOrder reports whether an order can be sent to the upstream now.
func (c *Controller) acceptsOrder(now time.Time, u *upstream) bool {
	return u.known && u.order == nil && u.usable() && !now.Before(u.notBefore) && !u.paused(now)
}

func (c *Controller) appendOrder(now time.Time, u *upstream, op Op, k Key, actions []Action) []Action {
	o := &Order{Upstream: u.entry.ID, Born: u.entry.Born, Op: op, Key: k, Expect: u.accepted}
	u.order, u.lastOrderAt = o, now
	return append(actions, Action{Order: o})
}

// planLoad orders a load of a model with pending requests, or an unload that frees memory for it.
func (c *Controller) planLoad(now time.Time, service string, e *fleet.Engine, model string, actions []Action) []Action {
	fromStore := c.storeLoadAllowed(now, e, c.speed.limit())
	t, ok := c.bestTarget(now, service, e, model, search{pending: true, fromStore: fromStore})
	if _, blocked := c.blockedSince[model]; ok && t.wait >= blockedWait && !blocked {
		c.blockedSince[model] = now
	}
	if !ok || t.wait > 0 || t.fromStore && !fromStore {
		return actions
	}
	return c.orderLoad(now, t, model, actions)
}

// orderLoad orders the load of the model on the target, or the unload of the first victim, and reserves the upstream.
func (c *Controller) orderLoad(now time.Time, t target, model string, actions []Action) []Action {
	u := t.upstream
	if u.reservedFor != model {
		c.plan.loading[model]++
	}
	u.reservedFor, u.reservedUntil = model, now.Add(reservationTTL)
	if slices.ContainsFunc(t.victims, func(v victim) bool { return v.busy }) {
		u.reservedUntil = u.reservedUntil.Add(maxDrains * c.drainTime)
	}
	delete(c.blockedSince, model)
	c.plan.copying[model] = true
	if len(t.victims) > 0 {
		return c.appendOrder(now, u, Unload, Key{Model: t.victims[0].model}, actions)
	}
	if t.fromStore {
		c.plan.storeLoads++
		c.recentStoreLoads = append(c.recentStoreLoads, now)
	}
	return c.appendOrder(now, u, Load, Key{Model: model}, actions)
}

// planReports requests the reports that are due.
func (c *Controller) planReports(now time.Time, actions []Action) []Action {
	for _, u := range c.sortedUpstreams() {
		if u.reportAt.IsZero() || now.Before(u.reportAt) || !u.requestedAt.IsZero() || u.order != nil || u.paused(now) {
			continue
		}
		u.reportAt = time.Time{}
		u.requestedAt = now
		actions = append(actions, Action{Report: u.entry.ID})
	}
	return actions
}
