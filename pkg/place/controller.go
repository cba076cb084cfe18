package place

import (
	"slices"
	"time"

	"github.com/fireflycleat/fireflycleat/pkg/fleet"
)

type (
	// Controller plans the orders of a deployment; it is not safe for concurrent use.
	Controller struct {
		settings  Settings
		engines   map[string]*fleet.Engine
		upstreams map[string]*upstream
		wants     map[string]*waiting
		uses      map[string][]Use // uses holds what each host has in progress; running sums it up.
		running   sums
		capacity  map[*fleet.Engine]float64
		round     round
		waiting   map[string]int // waiting counts the wants of each model.
		rates     map[string]*rate
		stats     Stats
		news      []Ready
		speed     storeSpeed
		// blockedSince tells since when a model waits for an upstream that has a copy of it but no room.
		blockedSince map[string]time.Time
		started      []time.Time // started holds the times of the last orders for loads from the weight store.
	}

	// Ready is a model that has become ready on an upstream.
	Ready struct {
		Upstream string
		Key      Key
		Store    bool          // Store tells that the weights came from the weight store.
		Took     time.Duration // Took is the time since the order was accepted.
		Expected time.Duration // Expected is the predicted time.
	}

	waiting struct {
		Want
		until time.Time // until is when the want ends unless it is repeated.
	}
)

// New returns a controller that knows nothing yet.
func New(s Settings) *Controller {
	return &Controller{
		settings: s, speed: storeSpeed{s.StoreSlots}, engines: make(map[string]*fleet.Engine), upstreams: make(map[string]*upstream),
		wants: make(map[string]*waiting), uses: make(map[string][]Use), running: newSums(), waiting: make(map[string]int), rates: make(map[string]*rate), blockedSince: make(map[string]time.Time),
	}
}

// Begin starts a tenure: what other controllers ordered meanwhile is read from the upstreams.
func (c *Controller) Begin(now time.Time) {
	for _, u := range c.upstreams {
		u.known, u.order, u.doubt, u.intent = false, nil, false, ""
		u.reportAt = now
		u.load = nil
		u.adopt(u.entry.Held)
	}
}

// Configure replaces the engines of the services.
func (c *Controller) Configure(engines map[string]*fleet.Engine) {
	c.engines = engines
	c.capacity = make(map[*fleet.Engine]float64, len(engines))
	for _, e := range engines {
		c.capacity[e] = capacity(e)
	}
}

// Upstreams takes over the published state of all upstreams; those that are missing are gone.
func (c *Controller) Upstreams(now time.Time, list map[string]fleet.Upstream) {
	for id := range c.upstreams {
		if _, ok := list[id]; !ok {
			delete(c.upstreams, id)
		}
	}
	for id, e := range list {
		if c.engines[e.Service] == nil {
			continue
		}
		u, ok := c.upstreams[id]
		if !ok || u.entry.Born != e.Born || u.entry.Address != e.Address {
			u = newUpstream(e)
			u.reportAt = now
			c.upstreams[id] = u
			continue
		}
		c.update(now, u, e)
	}
}

func (c *Controller) update(now time.Time, u *upstream, e fleet.Upstream) {
	fresh := e.Beat != u.entry.Beat
	u.entry = e
	if !fresh {
		return
	}
	u.copies(e.InMemory, e.OnDisk)
	if u.load != nil && now.Sub(u.load.accepted) > c.settings.ReportLag && slices.Contains(heldNames(e.Held), u.load.model) {
		c.loaded(now, u)
	}
	switch quiet := u.order == nil && u.load == nil && !u.doubt && now.Sub(u.ordered) > c.settings.Settle; {
	case !u.known:
		u.adopt(e.Held)
	case quiet && u.differs(e.Held) && u.reportAt.IsZero():
		// The published state has no time and may be older than the last report, so that it only gives cause for a new one.
		u.reportAt = now
	}
}

// Loaded returns the models that have become ready since the last call.
func (c *Controller) Loaded() []Ready {
	list := c.news
	c.news = nil
	return list
}

// Want takes over that a request waits, and returns where it can run or when. A want counts for the hold time, or for
// WantLife if that is longer, without being repeated.
func (c *Controller) Want(now time.Time, w Want, hold time.Duration) Forecast {
	x, ok := c.wants[w.Request]
	if !ok {
		x = new(waiting)
		c.wants[w.Request] = x
		c.waiting[w.Key.Model]++
		c.rate(w.Key.Model).add(now, 1, c.settings.RateTime)
	}
	x.Want, x.until = w, now.Add(max(hold, c.settings.WantLife))
	return c.Find(now, w)
}

// Done takes over that a request waits no longer.
func (c *Controller) Done(request string) {
	w, ok := c.wants[request]
	if !ok {
		return
	}
	delete(c.wants, request)
	if c.waiting[w.Key.Model]--; c.waiting[w.Key.Model] == 0 {
		delete(c.waiting, w.Key.Model)
	}
}

// Find returns where a request can run now, or when it can.
func (c *Controller) Find(now time.Time, w Want) Forecast {
	best, least := "", 0.0
	for id, u := range c.upstreams {
		if u.entry.Service != w.Service || !u.ready(now, w.Key) {
			continue
		}
		cost := float64(c.running.upstream[id]) / float64(max(u.entry.Slots, 1))
		if u.entry.DataCentre != w.DataCentre {
			cost += 0.05
		}
		if best == "" || cost < least || cost == least && id < best {
			best, least = id, cost
		}
	}
	if best != "" {
		return Forecast{Upstream: best}
	}
	return Forecast{ReadyAt: c.forecast(now, w)}
}

func (c *Controller) forecast(now time.Time, w Want) time.Time {
	first := time.Time{}
	earlier := func(t time.Time) {
		if first.IsZero() || t.Before(first) {
			first = t
		}
	}
	for _, u := range c.upstreams {
		if u.entry.Service != w.Service || !u.usable() {
			continue
		}
		if r, ok := u.replicas[w.Key.Model]; ok {
			if at, ok := r.adapters[w.Key.Adapter]; ok && !at.Equal(unloading) {
				earlier(at)
			} else {
				earlier(now.Add(c.settings.AdapterTime))
			}
		}
		if u.load != nil && u.load.model == w.Key.Model {
			earlier(u.load.due)
		}
	}
	if first.IsZero() {
		if c.round.replicas == nil {
			c.begin()
		}
		if e := c.engines[w.Service]; e != nil {
			if t, ok := c.target(now, w.Service, e, w.Key.Model, true); ok {
				if t.store {
					t.wait += c.queue(w)
				}
				return now.Add(t.wait + t.time)
			}
		}
	}
	return first
}

// queue returns the time that loads from the weight store for other waiting requests take.
func (c *Controller) queue(w Want) time.Duration {
	e := c.engines[w.Service]
	models := make(map[string]bool)
	for _, x := range c.wants {
		if x.Key.Model != w.Key.Model && x.Deadline.Before(w.Deadline) && c.copied(x.Key.Model) == 0 {
			models[x.Key.Model] = true
		}
	}
	return time.Duration(len(models)/max(c.settings.StoreSlots, 1)) * e.Models[w.Key.Model].FromStore
}

// Use replaces what a host has in progress.
func (c *Controller) Use(now time.Time, host string, uses []Use) {
	c.Forget(host)
	c.uses[host] = uses
	c.running.add(uses, 1)
	for _, x := range uses {
		if x.Started > 0 {
			c.rate(x.Key.Model).add(now, x.Started, c.settings.RateTime)
		}
		if u, ok := c.upstreams[x.Upstream]; ok {
			if r, ok := u.replicas[x.Key.Model]; ok {
				r.used, r.fresh = now, time.Time{}
			}
		}
	}
}

// Forget drops what a host had in progress, because it ended.
func (c *Controller) Forget(host string) {
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

func (c *Controller) wanted(model string) bool { return c.waiters(model) > 0 }

// waiters returns the number of requests that wait for the model or an adapter of it.
func (c *Controller) waiters(model string) int { return c.waiting[model] }

// countStoreLoads returns the number of loads from the weight store that are in progress or ordered.
func (c *Controller) countStoreLoads() int {
	n := c.acceptedStoreLoads()
	for _, u := range c.upstreams {
		if o := u.order; o != nil && o.Op == Load && o.Key.Adapter == "" {
			if _, store := u.loadTime(c.engines[u.entry.Service].Models[o.Key.Model]); store {
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
		if u.load != nil && u.load.store {
			n++
		}
	}
	return n
}

// mayLoad reports whether one more load from the weight store may be ordered. Half of the rate is used, because an earlier
// controller may have ordered as much within the window.
func (c *Controller) mayLoad(now time.Time, e *fleet.Engine, atOnce int) bool {
	c.started = slices.DeleteFunc(c.started, func(t time.Time) bool { return now.Sub(t) > c.settings.LoadWindow })
	limit := max(e.LoadsPerSecond*c.settings.LoadWindow.Seconds()/2, 1)
	return c.round.store < atOnce && float64(len(c.started)+1) <= limit
}

// stretched returns the time of a load from the weight store when one more starts now.
func (c *Controller) stretched(d time.Duration) time.Duration {
	return c.speed.stretched(d, c.round.store+1)
}

// forecastLoads predicts the ends of all loads anew.
func (c *Controller) forecastLoads() {
	for _, u := range c.upstreams {
		if u.load != nil {
			u.load.due = u.load.accepted.Add(c.speed.time(u.load))
		}
	}
}

// Stats returns the present figures.
func (c *Controller) Stats() Stats {
	s := c.stats
	s.Upstreams, s.Waiting, s.StoreLoads = len(c.upstreams), len(c.wants), c.countStoreLoads()
	copied := make(map[string]bool)
	for _, u := range c.upstreams {
		if u.load != nil {
			s.Loading++
		}
		if u.doubt {
			s.InDoubt++
		}
		for m := range u.disk {
			copied[m] = true
		}
		for m := range u.replicas {
			copied[m] = true
		}
	}
	s.Copied = len(copied)
	return s
}
