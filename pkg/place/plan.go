package place

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"

	"github.com/fireflycleat/fireflycleat/pkg/fleet"
)

const (
	diskMargin     = 20 * time.Millisecond  // added to the configured time of a load from a local copy, which other loads do not slow
	blockedWait    = 2 * time.Second        // expected time until a full upstream can free memory; most responses take less
	maxBlockedWait = 4 * time.Second        // how long a model waits for a full upstream with a copy before it is loaded elsewhere
	unloadTime     = 150 * time.Millisecond // expected time of an unload without requests in progress
	lossWeight     = 0.5                    // weight of the cost of unloads relative to the waiting time of pending requests
	runningCost    = 0.1                    // cost, in seconds of load time, of each request in progress on the target
	minGainRatio   = 1.5                    // ratio of gain to loss that a load without a pending request must reach
	preemptRatio   = 3                      // ratio of pending requests at which a model may take an upstream reserved for another
	busyReplicas   = 2                      // minimum for a model in steady use, which then survives the loss of one upstream
	urgentRatio    = 2                      // ratio of needed to existing replicas above which a shortage is urgent
	minLoadWait    = 50 * time.Millisecond  // expected time until the end of a load that is overdue
	maxDrains      = 2                      // multiple of the expected drain time for which a reservation lasts longer
	boundTolerance = 1e-9                   // allows for rounding when a bound is compared with a cost, in seconds
	surplusCost    = 1e-3                   // base cost of unloading a replica that its model does not need
)

type (
	// target is a candidate upstream for a load, with its costs.
	target struct {
		upstream  *upstream
		wait      time.Duration // expected time until the upstream accepts the order
		duration  time.Duration // expected time of the unloads and the load
		fromStore bool
		victims   []victim // models to unload first
		loss      float64  // cost of unloading the victims; see Controller.unloadCost
	}
)

// search restricts the upstreams that bestTarget considers.
type search struct {
	pending   bool // also consider upstreams that don't accept an order at once
	fromStore bool // also consider loads from the weight store
}

// Plan returns the orders to send and the reports to request now.
func (c *Controller) Plan(now time.Time) []Action {
	c.expire(now)
	c.preparePlan()
	var actions []Action
	actions = c.planReserved(now, actions)
	actions = c.planReplicas(now, actions, true)
	actions = c.planPending(now, actions)
	actions = c.planReplicas(now, actions, false)
	actions = c.planCopies(now, actions)
	return c.planReports(now, actions)
}

// preparePlan computes the values that a plan needs more than once.
func (c *Controller) preparePlan() {
	plan := planState{
		number: c.plan.number + 1, storeLoads: c.countStoreLoads(), loads: make(map[string]int), loading: make(map[string]int),
		copying: make(map[string]bool), needed: make(map[string]int), candidates: make(map[string][]candidate),
		deadlines: make(map[string][]modelDeadline),
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
		for _, t := range []time.Time{u.reportAt, u.notBefore, due} {
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
			u.lastOrderAt, u.reportAt = now, now.Add(c.settings.ReportLag) // Older reports are ignored; the next one corrects an error.
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

// planPending orders loads for pending requests, for the models and adapters with the most pending requests first.
func (c *Controller) planPending(now time.Time, actions []Action) []Action {
	type need struct {
		service  string
		key      Key
		count    int
		deadline time.Time
	}
	needs := make(map[Key]*need)
	for _, p := range c.pending {
		n, ok := needs[p.Key]
		if !ok {
			n = &need{service: p.Service, key: p.Key, deadline: p.Deadline}
			needs[p.Key] = n
		}
		n.count++
		if p.Deadline.Before(n.deadline) {
			n.deadline = p.Deadline
		}
	}
	sorted := slices.SortedFunc(maps.Values(needs), func(a, b *need) int {
		return cmp.Or(cmp.Compare(b.count, a.count), a.deadline.Compare(b.deadline), cmp.Compare(a.key.Model, b.key.Model), cmp.Compare(a.key.Adapter, b.key.Adapter))
	})
	for _, n := range sorted {
		e := c.engines[n.service]
		if e == nil {
			continue
		}
		if _, ok := e.Models[n.key.Model]; !ok {
			continue
		}
		holders := c.holders(n.service, n.key.Model)
		switch {
		case len(holders) == 0:
			if c.plan.loading[n.key.Model] == 0 {
				actions = c.planLoad(now, n.service, e, n.key.Model, actions)
			}
		case n.key.Adapter != "":
			actions = c.planAdapter(now, e, n.key, holders, actions)
		}
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
	return u.known && u.order == nil && u.usable() && !now.Before(u.notBefore)
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

// bestTarget returns the upstream with the lowest cost for a load of the model. The cost covers the time until the model is
// ready, the unloads and the requests in progress.
func (c *Controller) bestTarget(now time.Time, service string, e *fleet.Engine, model string, s search) (target, bool) {
	m := e.Models[model]
	best, lowest := target{}, math.Inf(1)
	consider := func(u *upstream) {
		t, ok := c.targetOn(now, u, service, e, m)
		if !ok || !s.pending && t.wait > 0 {
			return
		}
		cost := c.cost(t)
		if cost < lowest || cost == lowest && compareIDs(u, best.upstream) < 0 {
			best, lowest = t, cost
		}
	}
	for _, u := range c.index.copies[model] {
		consider(u)
	}
	if !s.fromStore {
		return best, !math.IsInf(lowest, 1)
	}
	storeTime := c.storeLoadTime(m.FromStore).Seconds()
	for _, x := range c.candidates(now, service, e) {
		if x.bound+storeTime >= lowest-boundTolerance {
			break // Among equal costs the first one is as good.
		}
		if u := x.upstream; (s.pending || x.ready) && !u.memory[model] && !u.disk[model] && c.upstreams[u.entry.ID] == u {
			consider(u)
		}
	}
	return best, !math.IsInf(lowest, 1)
}

// cost returns the cost of a load on the target in seconds.
func (c *Controller) cost(t target) float64 {
	return (t.wait + t.duration).Seconds() + lossWeight*t.loss + runningCost*float64(c.running.upstream[t.upstream.entry.ID])
}

// candidates returns the upstreams that may load a model from the weight store, those with the lowest bound of the cost first.
func (c *Controller) candidates(now time.Time, service string, e *fleet.Engine) []candidate {
	if list, ok := c.plan.candidates[service]; ok {
		return list
	}
	list := make([]candidate, 0, len(c.upstreams))
	for _, u := range c.sortedUpstreams() {
		if u.entry.Service != service || !u.usable() || c.hasFailed(now, u) {
			continue
		}
		wait := c.waitTime(now, u)
		bound := wait.Seconds() + runningCost*float64(c.running.upstream[u.entry.ID])
		if u.usedMemory(e)+c.smallest[e] > c.capacity[e] {
			victims := c.victimsOf(now, u, e)
			if len(victims) == 0 {
				continue
			}
			bound += unloadTime.Seconds() + lossWeight*victims[0].cost
		}
		list = append(list, candidate{u, bound, wait == 0})
	}
	slices.SortStableFunc(list, func(a, b candidate) int { return cmp.Compare(a.bound, b.bound) })
	c.plan.candidates[service] = list
	return list
}

// reserved reports whether the upstream is reserved for another model, unless this model has far more pending requests.
func (c *Controller) reserved(u *upstream, model string) bool {
	return u.reservedFor != "" && u.reservedFor != model && c.pendingRequests(model) < preemptRatio*max(c.pendingRequests(u.reservedFor), 1)
}

// targetOn returns the costs of loading the model on the upstream, or false if that is impossible.
func (c *Controller) targetOn(now time.Time, u *upstream, service string, e *fleet.Engine, m fleet.Model) (target, bool) {
	if u.entry.Service != service || !u.usable() || c.hasFailed(now, u) {
		return target{}, false
	}
	_, held := u.replicas[m.Name]
	if held || u.load != nil && u.load.model == m.Name {
		return target{}, false
	}
	t := target{upstream: u}
	t.duration, t.fromStore = u.loadTime(m)
	if t.fromStore {
		t.duration = c.storeLoadTime(t.duration)
	}
	if c.reserved(u, m.Name) {
		return c.blockedTarget(now, t, m.Name)
	}
	t.wait = c.waitTime(now, u)
	missing := u.usedMemory(e) + m.WeightMB - c.capacity[e]
	if missing <= 0 {
		return t, true
	}
	victims := c.victimsOf(now, u, e)
	for i, v := range victims {
		if v.busy {
			if !c.needsRoom(m.Name, t.loss+v.cost) {
				break
			}
			t.duration += c.drainTime
		}
		t.victims = victims[:i+1]
		t.loss += v.cost
		t.duration += unloadTime
		if missing -= e.Models[v.model].WeightMB; missing <= 0 {
			return t, true
		}
	}
	return c.blockedTarget(now, t, m.Name)
}

// needsRoom reports whether a model with requests in progress may be unloaded for this one: requests wait for it, no usable upstream
// holds it, and they outweigh the loss.
func (c *Controller) needsRoom(model string, loss float64) bool {
	pending := c.pendingRequests(model)
	return pending > 0 && float64(pending) > loss && c.heldCount(model) == 0
}

// hasFailed reports whether the upstream gets no loads because it failed one recently.
func (c *Controller) hasFailed(now time.Time, u *upstream) bool {
	return !u.failedAt.IsZero() && now.Sub(u.failedAt) < c.settings.FailureBackoff
}

// waitTime returns the expected time until the upstream accepts an order.
func (c *Controller) waitTime(now time.Time, u *upstream) time.Duration {
	switch {
	case u.load != nil:
		return max(u.load.due.Sub(now), minLoadWait)
	case !u.drainingSince.IsZero():
		return max(u.drainingSince.Add(c.drainTime).Sub(now), conflictBackoff)
	case !c.acceptsOrder(now, u):
		return conflictBackoff
	}
	return 0
}

// blockedTarget returns the costs of loading the model on an upstream that is full or reserved. Only an upstream with a copy is
// worth waiting for, and only for a limited time: its requests in progress may take long.
func (c *Controller) blockedTarget(now time.Time, t target, model string) (target, bool) {
	since, ok := c.blockedSince[model]
	if t.fromStore || ok && now.Sub(since) > maxBlockedWait {
		return target{}, false
	}
	t.wait = max(t.wait, blockedWait)
	t.victims, t.loss = nil, 0
	return t, true
}

type victim struct {
	model    string
	cost     float64
	lastUsed time.Time
	busy     bool // whether requests are in progress, which an unload waits for
}

// victimsOf returns the result of victims, computed once per plan.
func (c *Controller) victimsOf(now time.Time, u *upstream, e *fleet.Engine) []victim {
	if u.victimsPlan != c.plan.number {
		u.victims, u.victimsPlan = c.victims(now, u, e), c.plan.number
	}
	return u.victims
}

// victims returns the models that may be unloaded from the upstream: first those without requests in progress, then the cheapest.
func (c *Controller) victims(now time.Time, u *upstream, e *fleet.Engine) []victim {
	var list []victim
	for m, r := range u.replicas {
		busy := c.running.replica[upstreamKey{u.entry.ID, Key{Model: m}}] > 0
		if busy && !c.mayDrain(now, u, e, m) || c.modelPending(m) && c.replicaCount(m) <= 1 ||
			now.Sub(r.loadedAt) < c.settings.MinResidency {
			continue
		}
		list = append(list, victim{m, c.unloadCost(now, u, e, m), r.lastUsed, busy})
	}
	slices.SortFunc(list, func(a, b victim) int {
		return cmp.Or(compareBool(a.busy, b.busy), cmp.Compare(a.cost, b.cost), a.lastUsed.Compare(b.lastUsed), cmp.Compare(a.model, b.model))
	})
	return list
}

// mayDrain reports whether the model may be unloaded although it has requests in progress: it has been loaded for a while, and another
// upstream holds it, or it can be loaded again from a local copy.
func (c *Controller) mayDrain(now time.Time, u *upstream, e *fleet.Engine, model string) bool {
	if now.Sub(u.replicas[model].since) < c.settings.BusyResidency {
		return false
	}
	_, fromStore := u.loadTime(e.Models[model])
	return !fromStore || c.replicaCount(model) > 1
}

func compareBool(a, b bool) int {
	switch {
	case a == b:
		return 0
	case b:
		return -1
	}
	return 1
}

// unloadCost returns the expected cost of unloading the model from the upstream, in seconds of load time per second.
func (c *Controller) unloadCost(now time.Time, u *upstream, e *fleet.Engine, model string) float64 {
	r := c.rate(model)
	r.decay(now, c.settings.RateTimeConstant)
	others := c.replicaCount(model) - 1
	if others >= c.neededReplicas(now, e, model) {
		return surplusCost * (1 + r.value/float64(others+1))
	}
	m := e.Models[model]
	reload, _ := u.loadTime(m)
	if others > 0 {
		reload /= 2
	}
	return max(r.value, c.priorRate(m)) * reload.Seconds()
}

// priorRate returns the minimum request rate assumed for a model. The number of adapters indicates how many teams use it.
func (c *Controller) priorRate(m fleet.Model) float64 {
	return c.settings.MinRate * (1 + math.Sqrt(float64(m.Adapters)))
}

// planReports requests the reports that are due.
func (c *Controller) planReports(now time.Time, actions []Action) []Action {
	for _, u := range c.sortedUpstreams() {
		if u.reportAt.IsZero() || now.Before(u.reportAt) || !u.requestedAt.IsZero() || u.order != nil {
			continue
		}
		u.reportAt = time.Time{}
		u.requestedAt = now
		actions = append(actions, Action{Report: u.entry.ID})
	}
	return actions
}
