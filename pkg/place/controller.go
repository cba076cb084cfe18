package place

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"

	"github.com/fireflycleat/fireflycleat/pkg/fleet"
)

type (
	// Controller plans the orders of a deployment. It is not safe for concurrent use.
	Controller struct {
		settings       Settings
		engines        map[string]*fleet.Engine
		models         map[*fleet.Engine][]string // names of the models, sorted
		smallest       map[*fleet.Engine]float64  // weights of the smallest model in MB
		upstreams      map[string]*upstream
		sorted         []*upstream // see sortedUpstreams
		index          modelIndex
		changed        map[string]bool // models that may have become ready since the last call of TakeChanged
		pending        map[string]*trackedRequest
		uses           map[string][]Use // requests in progress by host; running holds their sums
		running        requestCounts
		capacity       map[*fleet.Engine]float64 // memory for model weights in MB
		plan           planState
		pendingByModel map[string]int // number of pending requests of each model
		pendingByKey   map[Key]int    // number of pending requests of each model or adapter
		rates          map[string]*rate
		stats          Stats
		ready          []Ready
		speed          storeSpeed
		speeds         map[string]int // speeds of upstreams in percent of the mean
		demandSince    time.Time      // when the first request was observed; zero before
		drainTime      time.Duration  // expected time of an unload that waits for requests in progress
		// blockedSince maps a model to the time when it began to wait for an upstream that has a copy of it but no free memory.
		blockedSince     map[string]time.Time
		recentStoreLoads []time.Time // times of the loads from the weight store that were ordered within Settings.LoadWindow
	}

	// Ready is a model that has become ready on an upstream.
	Ready struct {
		Upstream string
		Key      Key
		Store    bool          // set when the weights came from the weight store
		Took     time.Duration // time from the acceptance of the order to readiness
		Expected time.Duration // forecast of Took
	}

	trackedRequest struct {
		PendingRequest
		addedAt   time.Time
		expiresAt time.Time // when the request is dropped unless it is repeated
	}
)

// New returns a controller without configuration or upstreams.
func New(s Settings) *Controller {
	return &Controller{
		settings: s, speed: storeSpeed{slots: s.StoreSlots}, drainTime: s.DrainTime, engines: make(map[string]*fleet.Engine), upstreams: make(map[string]*upstream),
		pending: make(map[string]*trackedRequest), uses: make(map[string][]Use), running: newRequestCounts(),
		index: newModelIndex(), changed: make(map[string]bool),
		pendingByModel: make(map[string]int), pendingByKey: make(map[Key]int), rates: make(map[string]*rate), blockedSince: make(map[string]time.Time),
	}
}

// BeginTerm starts a term as controller. It discards the state of an earlier term and requests reports from all upstreams,
// because other controllers may have issued orders in between.
func (c *Controller) BeginTerm(now time.Time) {
	for _, u := range c.upstreams {
		u.known, u.counted, u.order, u.inDoubt, u.reservedFor, u.drainingSince = false, false, nil, false, "", time.Time{}
		u.reportAt = now
		u.load, u.unloading, u.busySince = nil, "", time.Time{}
		c.adopt(u, u.entry.Held)
	}
}

// Configure replaces the engines, which are keyed by service name. It drops the upstreams of services that have none, so that each
// upstream has an engine; SetUpstreams adds them again when their service returns.
func (c *Controller) Configure(engines map[string]*fleet.Engine) {
	c.engines = engines
	c.capacity = make(map[*fleet.Engine]float64, len(engines))
	c.models = make(map[*fleet.Engine][]string, len(engines))
	c.smallest = make(map[*fleet.Engine]float64, len(engines))
	for _, e := range engines {
		c.capacity[e] = capacity(e)
		c.models[e] = slices.Sorted(maps.Keys(e.Models))
		c.smallest[e] = math.Inf(1)
		for _, m := range e.Models {
			c.smallest[e] = min(c.smallest[e], m.WeightMB)
		}
	}
	for _, u := range c.upstreams {
		if engines[u.entry.Service] == nil {
			c.removeUpstream(u)
		}
	}
}

// SetUpstreams applies the published state of all upstreams, and drops those that are missing from the list or now belong to another service.
func (c *Controller) SetUpstreams(now time.Time, list map[string]fleet.Upstream) {
	for id, u := range c.upstreams {
		if e, ok := list[id]; !ok || e.Service != u.entry.Service {
			c.removeUpstream(u)
		}
	}
	for id, e := range list {
		if c.engines[e.Service] == nil {
			continue
		}
		u, ok := c.upstreams[id]
		if !ok || u.entry.Born != e.Born || u.entry.Address != e.Address {
			if ok {
				c.removeUpstream(u)
			}
			c.addUpstream(e).reportAt = now
			continue
		}
		c.update(now, u, e)
	}
}

func (c *Controller) update(now time.Time, u *upstream, e fleet.Upstream) {
	updated := e.Beat != u.entry.Beat
	u.entry = e
	if !updated {
		return
	}
	if now.Sub(u.lastLoadAt) > c.settings.QuietTime { // The published state may be from before the load.
		c.setCopies(u, e.InMemory, e.OnDisk)
	}
	if u.load != nil && now.Sub(u.load.acceptedAt) > c.settings.ReportLag && slices.Contains(heldModels(e.Held), u.load.model) {
		c.finishLoad(now, u)
	}
	switch quiesced := u.order == nil && u.load == nil && !u.inDoubt && now.Sub(u.lastOrderAt) > c.settings.QuietTime && now.Sub(u.assumedAt) > c.settings.QuietTime; {
	case !u.known:
		c.adopt(u, e.Held)
	case quiesced && u.differs(e.Held) && u.reportAt.IsZero():
		// The published state has no timestamp and may be older than the last report, so it only triggers a new one.
		u.reportAt = now
	}
}

// TakeReady returns the models that have become ready since the last call.
func (c *Controller) TakeReady() []Ready {
	list := c.ready
	c.ready = nil
	return list
}

// TakeChanged returns the models that may have become ready on an upstream since the last call.
func (c *Controller) TakeChanged() []string {
	if len(c.changed) == 0 {
		return nil
	}
	list := slices.Sorted(maps.Keys(c.changed))
	clear(c.changed)
	return list
}

// AddRequest adds or renews a pending request, and returns where it can run now or when it can run. Unless it is repeated, the
// request stays pending for the hold time or for Settings.RequestTTL, whichever is longer. A request that can run now is not pending:
// its host sends it there, and reports it with its next uses.
func (c *Controller) AddRequest(now time.Time, p PendingRequest, hold time.Duration) Forecast {
	tracked, ok := c.pending[p.Request]
	if !ok {
		c.observeDemand(now)
		tracked = &trackedRequest{addedAt: now}
		c.pending[p.Request] = tracked
		c.pendingByModel[p.Key.Model]++
		c.pendingByKey[p.Key]++
		c.rate(p.Key.Model).add(now, 1, c.settings.RateTimeConstant)
	}
	tracked.PendingRequest, tracked.expiresAt = p, now.Add(max(hold, c.settings.RequestTTL))
	f := c.BestUpstream(now, p)
	if f.Upstream != "" {
		c.assign(now, tracked, f.Upstream)
	}
	return f
}

// assign ends the wait of a request that can run on the upstream now, and keeps the model there until a host reports a request for it.
func (c *Controller) assign(now time.Time, p *trackedRequest, id string) {
	c.rate(p.Key.Model).remove(now, p.addedAt, c.settings.RateTimeConstant) // The host counts it as started.
	c.RemoveRequest(p.Request)
	if r, ok := c.upstreams[id].replicas[p.Key.Model]; ok {
		r.lastUsed, r.loadedAt = now, now
	}
}

// RemoveRequest removes a pending request.
func (c *Controller) RemoveRequest(request string) {
	p, ok := c.pending[request]
	if !ok {
		return
	}
	delete(c.pending, request)
	if c.pendingByModel[p.Key.Model]--; c.pendingByModel[p.Key.Model] == 0 {
		delete(c.pendingByModel, p.Key.Model)
	}
	if c.pendingByKey[p.Key]--; c.pendingByKey[p.Key] == 0 {
		delete(c.pendingByKey, p.Key)
	}
}

// BestUpstream returns the least loaded upstream that can run the request now, or else the predicted time of readiness.
func (c *Controller) BestUpstream(now time.Time, p PendingRequest) Forecast {
	best, lowest := "", 0.0
	for _, u := range c.index.holders[p.Key.Model] {
		if u.entry.Service != p.Service || !u.ready(now, p.Key) || slices.Contains(p.Avoid, u.entry.ID) {
			continue
		}
		id := u.entry.ID
		cost := float64(c.running.upstream[id]) / float64(max(u.entry.Slots, 1)) / c.speedOf(u)
		if u.entry.DataCentre != p.DataCentre {
			cost += 0.05
		}
		if best == "" || cost < lowest || cost == lowest && id < best {
			best, lowest = id, cost
		}
	}
	if best != "" {
		return Forecast{Upstream: best}
	}
	return Forecast{ReadyAt: c.forecast(now, p)}
}

func (c *Controller) forecast(now time.Time, p PendingRequest) time.Time {
	earliest := time.Time{}
	consider := func(t time.Time) {
		if earliest.IsZero() || t.Before(earliest) {
			earliest = t
		}
	}
	for _, u := range c.index.holders[p.Key.Model] {
		if u.entry.Service != p.Service || !u.usable() || slices.Contains(p.Avoid, u.entry.ID) {
			continue
		}
		if at, ok := u.replicas[p.Key.Model].adapters[p.Key.Adapter]; ok && !at.Equal(unloading) {
			consider(at)
		} else {
			consider(now.Add(c.waitTime(now, u) + c.settings.AdapterTime))
		}
	}
	if c.plan.loading == nil {
		c.preparePlan()
	}
	if c.plan.copying[p.Key.Model] {
		for _, u := range c.sortedUpstreams() {
			if u.load != nil && u.load.model == p.Key.Model && u.entry.Service == p.Service && u.usable() && !slices.Contains(p.Avoid, u.entry.ID) {
				consider(now.Add(c.busyTime(now, u)))
			}
		}
	}
	if earliest.IsZero() {
		if e := c.engines[p.Service]; e != nil && hasModel(e, p.Key.Model) {
			if t, ok := c.bestTarget(now, p.Service, e, p.Key.Model, search{pending: true, fromStore: true}); ok {
				if t.fromStore {
					t.wait += c.storeQueueTime(p)
				}
				return now.Add(t.wait + t.duration)
			}
		}
	}
	return earliest
}

// storeQueueTime returns the expected time of the loads from the weight store for pending requests with an earlier deadline.
func (c *Controller) storeQueueTime(p PendingRequest) time.Duration {
	e := c.engines[p.Service]
	list, ok := c.plan.deadlines[p.Service]
	if !ok {
		list = c.uncopiedDeadlines(p.Service)
		c.plan.deadlines[p.Service] = list
	}
	earlier, _ := slices.BinarySearchFunc(list, p.Deadline, func(d modelDeadline, at time.Time) int { return d.deadline.Compare(at) })
	if slices.ContainsFunc(list[:earlier], func(d modelDeadline) bool { return d.model == p.Key.Model }) {
		earlier--
	}
	return time.Duration(earlier/max(c.speed.slots, 1)) * e.Models[p.Key.Model].FromStore
}

// uncopiedDeadlines returns the earliest deadline of each pending model that no upstream has a copy of, in order.
func (c *Controller) uncopiedDeadlines(service string) []modelDeadline {
	earliest := make(map[string]time.Time)
	for _, x := range c.pending {
		if x.Service != service || c.hasCopy(x.Key.Model) {
			continue
		}
		if at, ok := earliest[x.Key.Model]; !ok || x.Deadline.Before(at) {
			earliest[x.Key.Model] = x.Deadline
		}
	}
	list := make([]modelDeadline, 0, len(earliest))
	for m, at := range earliest {
		list = append(list, modelDeadline{m, at})
	}
	slices.SortFunc(list, func(a, b modelDeadline) int {
		return cmp.Or(a.deadline.Compare(b.deadline), cmp.Compare(a.model, b.model))
	})
	return list
}

// SetUses replaces a host's requests in progress.
func (c *Controller) SetUses(now time.Time, host string, uses []Use) {
	c.RemoveHost(host)
	c.uses[host] = uses
	c.running.add(uses, 1)
	for _, x := range uses {
		if x.Started > 0 {
			c.observeDemand(now)
			c.rate(x.Key.Model).add(now, x.Started, c.settings.RateTimeConstant)
		}
		if u, ok := c.upstreams[x.Upstream]; ok {
			if r, ok := u.replicas[x.Key.Model]; ok {
				r.lastUsed, r.loadedAt = now, time.Time{}
			}
		}
	}
}

// RemoveHost removes the requests in progress of a host that has stopped.
func (c *Controller) RemoveHost(host string) {
	c.running.add(c.uses[host], -1)
	delete(c.uses, host)
}

func (c *Controller) rate(model string) *rate {
	r, ok := c.rates[model]
	if !ok {
		r = new(rate)
		c.rates[model] = r
	}
	return r
}

func (c *Controller) modelPending(model string) bool { return c.pendingRequests(model) > 0 }

// pendingRequests returns the number of pending requests for the model or one of its adapters.
func (c *Controller) pendingRequests(model string) int { return c.pendingByModel[model] }

// countStoreLoads returns the number of loads from the weight store that are ordered or in progress.
func (c *Controller) countStoreLoads() int {
	n := c.acceptedStoreLoads()
	for _, u := range c.upstreams {
		if o := u.order; o != nil && o.Op == Load && o.Key.Adapter == "" {
			if _, fromStore := u.loadTime(c.engines[u.entry.Service].Models[o.Key.Model]); fromStore {
				n++
			}
		}
	}
	return n
}

// acceptedStoreLoads returns the number of loads from the weight store that are in progress.
func (c *Controller) acceptedStoreLoads() int {
	n := 0
	for _, u := range c.upstreams {
		if u.load != nil && u.load.fromStore {
			n++
		}
	}
	return n
}

// storeLoadAllowed reports whether one more load from the weight store may be ordered. Half of the permitted rate is used,
// because an earlier controller may have ordered as many loads within the window.
func (c *Controller) storeLoadAllowed(now time.Time, e *fleet.Engine, maxConcurrent int) bool {
	c.recentStoreLoads = slices.DeleteFunc(c.recentStoreLoads, func(t time.Time) bool { return now.Sub(t) > c.settings.LoadWindow })
	limit := max(e.LoadsPerSecond*c.settings.LoadWindow.Seconds()/2, 1)
	return c.plan.storeLoads < maxConcurrent && float64(len(c.recentStoreLoads)+1) <= limit
}

// storeLoadTime returns the expected time of a load from the weight store that starts now and takes d at full speed.
func (c *Controller) storeLoadTime(d time.Duration) time.Duration {
	return c.speed.slowedTime(d, c.plan.storeLoads+1)
}

// updateForecasts recomputes the expected ends of all loads.
func (c *Controller) updateForecasts() {
	for _, u := range c.upstreams {
		if u.load != nil {
			u.load.due = u.load.acceptedAt.Add(c.speed.expectedTime(u.load))
		}
	}
}

// Stats returns the current counts.
func (c *Controller) Stats() Stats {
	s := c.stats
	s.Upstreams, s.PendingRequests, s.StoreLoads = len(c.upstreams), len(c.pending), c.countStoreLoads()
	copied := make(map[string]bool)
	for _, u := range c.upstreams {
		if u.load != nil {
			s.Loading++
		}
		if u.inDoubt {
			s.InDoubt++
		}
		for m := range u.disk {
			copied[m] = true
		}
		for m := range u.replicas {
			copied[m] = true
		}
	}
	s.CopiedModels, s.Blocked = len(copied), len(c.blockedSince)
	for _, list := range c.index.copies {
		if len(list) == 1 {
			s.OnlyCopies++
		}
	}
	return s
}
