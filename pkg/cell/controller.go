package cell

import (
	"cmp"
	"slices"
	"time"

	"github.com/fireflycleat/fireflycleat/pkg/spec"
)

// scanInterval is the period of the checks that depend on time alone, such as idle replicas and expired demand.
const scanInterval = 500 * time.Millisecond

type (
	// Controller is the event machine of one cell; it is not safe for concurrent use.
	Controller struct {
		set  Settings
		view *spec.View
		now  time.Time
		out  []Action
		off  guards

		fence       int64
		holds       bool
		releasing   []int64 // releasing holds the lost fences whose orders are still in flight.
		confirmedAt time.Time
		priors      []Hold
		clearedAt   time.Time // clearedAt is when the last earlier holder released.
		gainedAt    time.Time

		upstreams []*upstream
		models    []*model
		byModel   map[string]*model
		touched   []*model
		queue     []*model
		replan    bool
		orders    []*order
		lastOrder int
		draining  []*replica // draining are the retired replicas that no status has shown to be drained.
		store     store
		near      [TierRemote]float64 // near holds the load times from the nearer tiers relative to the store at full speed.
		adapting  int                 // adapting counts the adapter loads in flight or in doubt.

		nextScan    time.Time
		nextStart   time.Time // nextStart is when the store's rate allows the next queued load.
		gaps        gaps      // gaps is the distribution of the first gaps of each model.
		sums        counters
		seq         uint64
		stale       bool // stale tells that the directory differs from the one published.
		urgent      bool // urgent tells that the directory must be published without delay.
		publishedAt time.Time
		wakeAt      time.Time // wakeAt is the time of the latest Wake.
	}

	// guards switches single safety rules off; tests use it to show that the judge notices.
	guards struct {
		confirm, reserve, doubt, settle         bool
		order, void, stale, sender, fresh, wait bool
	}
)

// New returns a controller that does not hold the lease.
func New(s Settings) *Controller {
	return &Controller{
		set: s, view: spec.NewView(0, nil, nil), byModel: make(map[string]*model), store: newStore(s),
		near: [TierRemote]float64{TierMemory: s.MemoryFactor, TierDisk: s.DiskFactor},
	}
}

// Handle applies the event and returns the actions to take, in order.
func (c *Controller) Handle(now time.Time, e Event) []Action {
	c.now, c.out = now, nil
	c.apply(e)
	c.chaseOrders()
	if c.holds {
		c.decide()
	}
	c.scheduleWake()
	return c.out
}

// Holds reports whether the controller holds the lease.
func (c *Controller) Holds() bool { return c.holds }

// Fence returns the fencing number of the latest tenure, or zero if there was none.
func (c *Controller) Fence() int64 { return c.fence }

// Released reports whether no order of the tenure with the fence, or of an older one, can still reach an engine. It is
// false for a tenure that the controller has not heard of, because its LeaseGained may still be on its way.
func (c *Controller) Released(fence int64) bool {
	if fence > c.fence || c.holds && c.fence <= fence {
		return false
	}
	return !slices.ContainsFunc(c.orders, func(o *order) bool { return o.fence <= fence && o.inFlight() })
}

func (c *Controller) apply(e Event) {
	switch e := e.(type) {
	case LeaseGained:
		c.gain(e)
	case LeaseLost:
		c.lose()
	case LeaseConfirmed:
		if c.holds && e.At.After(c.confirmedAt) {
			c.confirmedAt = e.At
			c.replan = true
		}
	case PriorReleased:
		c.clearPrior(e)
	case Demand:
		c.setDemand(e)
	case Use:
		c.setUse(e)
	case UpstreamAdded:
		c.addUpstream(e)
	case UpstreamStatus:
		c.readStatus(e)
	case OrderResult:
		c.resolve(e)
	case PermitChanged:
		c.setPermit(e)
	case PermitAsked:
		c.askPermit(e)
	case StoreReport:
		c.store.slowdown = max(e.Slowdown, 1)
		c.replan = true
	case UpstreamLeaving:
		c.leave(c.upstream(e.Upstream))
	case UpstreamGone:
		c.removeUpstream(c.upstream(e.Upstream))
	case ViewChanged:
		c.setView(e.View)
	case Tick:
	}
}

func (c *Controller) decide() {
	c.raiseFences()
	if !c.now.Before(c.nextScan) {
		c.nextScan = c.now.Add(scanInterval)
		c.sumIdle()
		for _, m := range c.models {
			c.touch(m)
		}
		c.replan = true
	}
	c.readDrained()
	for _, m := range c.queue {
		if !c.now.Before(m.claimAt) && !c.mayLoad(m) {
			c.touch(m)
		}
	}
	for i := 0; i < len(c.touched); i++ {
		m := c.touched[i]
		m.touched = false
		c.review(m)
	}
	c.touched = c.touched[:0]
	c.place()
	c.answerDemands()
	c.publish()
}

// canOrder reports whether the lease is held and was confirmed recently enough to order anything.
func (c *Controller) canOrder() bool {
	return c.holds && (c.off.confirm || c.now.Sub(c.confirmedAt) <= c.set.ConfirmAge)
}

func (c *Controller) gain(e LeaseGained) {
	if c.holds && c.fence != e.Fence {
		c.lose()
	}
	c.fence, c.holds = e.Fence, true
	c.confirmedAt, c.gainedAt, c.clearedAt = time.Time{}, c.now, c.now
	c.priors = slices.Clone(e.Earlier)
	if e.PriorHolder != "" {
		c.priors = append(c.priors, Hold{Holder: e.PriorHolder, Fence: e.PriorFence})
	}
	for _, u := range c.upstreams {
		u.settled, u.fencedAt = false, time.Time{}
		for _, r := range u.replicas {
			r.retire = keep
		}
		if u.leaving {
			c.leave(u)
		}
		c.emit(ReadStatus{Upstream: u.name})
	}
	for _, m := range c.models {
		m.yield, m.yielding, m.claimAt = noYield, noYield, time.Time{}
		m.lowSince, m.idleAt, m.seen = c.now, c.now, false
		for i := range m.demands {
			m.demands[i].answered, m.demands[i].refused = false, false
		}
	}
	c.seq, c.stale, c.urgent, c.nextScan, c.replan = 0, true, true, c.now, true
}

func (c *Controller) lose() {
	if !c.holds {
		return
	}
	c.holds = false
	c.releasing = append(c.releasing, c.fence)
	c.reportReleased()
}

// reportReleased tells successors that wait for this daemon when the last order of a lost tenure is accounted for.
func (c *Controller) reportReleased() {
	c.releasing = slices.DeleteFunc(c.releasing, func(f int64) bool {
		if !c.Released(f) {
			return false
		}
		c.emit(Released{Fence: f})
		return true
	})
}

func (c *Controller) clearPrior(e PriorReleased) {
	if len(c.priors) == 0 {
		return
	}
	c.priors = slices.DeleteFunc(c.priors, func(h Hold) bool {
		return (e.Holder == "" || e.Holder == h.Holder) && (e.Fence == 0 || h.Fence <= e.Fence)
	})
	if len(c.priors) > 0 {
		return
	}
	c.clearedAt = c.now
	for _, u := range c.upstreams {
		if !u.settled {
			c.emit(ReadStatus{Upstream: u.name})
		}
	}
}

func (c *Controller) setView(v *spec.View) {
	c.view = v
	for _, n := range v.Models() {
		c.model(n)
	}
	for _, m := range c.models {
		m.spec, m.known = v.Model(m.name)
		c.touch(m)
	}
	c.stale, c.replan = true, true
}

func (c *Controller) emit(a Action) { c.out = append(c.out, a) }

func (c *Controller) touch(m *model) {
	if !m.touched {
		m.touched = true
		c.touched = append(c.touched, m)
	}
}

func (c *Controller) model(name string) *model {
	m, ok := c.byModel[name]
	if !ok {
		m = &model{name: name, index: len(c.models), yield: noYield, yielding: noYield, lowSince: c.now, idleAt: c.now, heatAt: c.now}
		m.spec, m.known = c.view.Model(name)
		c.models = append(c.models, m)
		c.byModel[name] = m
	}
	return m
}

func (c *Controller) upstream(name string) *upstream {
	i, ok := c.findUpstream(name)
	if !ok {
		return nil
	}
	return c.upstreams[i]
}

func (c *Controller) findUpstream(name string) (int, bool) {
	return slices.BinarySearchFunc(c.upstreams, name, func(u *upstream, n string) int { return cmp.Compare(u.name, n) })
}

// scheduleWake asks for the earliest call at which time alone changes a decision.
func (c *Controller) scheduleWake() {
	var at time.Time
	sooner := func(t time.Time) {
		if at.IsZero() || t.Before(at) {
			at = t
		}
	}
	for _, o := range c.orders {
		sooner(o.dueAt)
	}
	if c.holds {
		sooner(c.nextScan)
		for _, r := range c.draining {
			sooner(c.drainReadAt(r))
		}
		if c.stale {
			sooner(c.publishedAt.Add(c.set.PublishInterval))
		}
		if len(c.queue) > 0 && c.nextStart.After(c.now) {
			sooner(c.nextStart)
		}
		for _, m := range c.queue {
			if m.claimAt.After(c.now) && !c.mayLoad(m) {
				sooner(m.claimAt)
			}
		}
	}
	if !at.IsZero() && (!at.Equal(c.wakeAt) || !c.now.Before(at)) {
		c.emit(Wake{At: at})
	}
	c.wakeAt = at
}
