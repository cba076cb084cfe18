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
	// Controller is the event-driven state machine of one cell; it is not safe for concurrent use.
	Controller struct {
		settings Settings
		view     *spec.View
		now      time.Time
		out      []Action
		disabled disabledRules

		fence             int64
		holdsLease        bool
		unreleased        []int64 // fences of lost terms whose orders are still in flight
		confirmedAt       time.Time
		earlierTerms      []LeaseTerm // earlier terms that are neither released nor proven gone
		earlierReleasedAt time.Time   // when the last of earlierTerms was released
		gainedAt          time.Time

		upstreams    []*upstream
		models       []*model
		byModel      map[string]*model
		dirtyModels  []*model // models to reconcile after the current event
		queue        []*model // models that wait for a load
		replan       bool     // whether the load queue must be planned again
		orders       []*order
		lastOrder    int
		draining     []*replica // retired replicas whose engine has not reported figures from after the drain yet
		store        store
		cacheFactors [TierRemote]float64 // load times from the nearer tiers relative to the store at full speed
		adapterLoads int                 // adapter loads in flight or in doubt

		nextScan       time.Time
		nextPlanAt     time.Time    // when the load queue is planned again: at the next planned start or scan
		initialGaps    gapHistogram // distribution of the first idle gaps of every model
		totals         counters
		seq            uint64
		directoryStale bool // whether the directory differs from the published one
		publishNow     bool // whether the directory must be published without delay
		publishedAt    time.Time
		wakeAt         time.Time // time that the latest Wake names; zero means none
	}

	// disabledRules switches off single safety rules; tests use it to show that their invariant checks detect each
	// violation.
	disabledRules struct {
		leaseConfirmation, reservation, inDoubt, quiescence                                bool
		statusOrder, replacedStatus, staleRefusal, senderFinished, latestQuery, doubtDelay bool
	}
)

// New returns a controller that does not hold the lease.
func New(s Settings) *Controller {
	return &Controller{
		settings: s, view: spec.NewView(0, nil, nil), byModel: make(map[string]*model), store: newStore(s),
		cacheFactors: [TierRemote]float64{TierMemory: s.MemoryFactor, TierDisk: s.DiskFactor},
	}
}

// Handle applies the event and returns the actions to take, in order.
func (c *Controller) Handle(now time.Time, e Event) []Action {
	c.now, c.out = now, nil
	c.apply(e)
	c.queryOverdueOrders()
	if c.holdsLease {
		c.decide()
	}
	c.scheduleWake()
	return c.out
}

// HoldsLease reports whether the controller holds the lease.
func (c *Controller) HoldsLease() bool { return c.holdsLease }

// Fence returns the fencing number of the latest term, or zero if there was none.
func (c *Controller) Fence() int64 { return c.fence }

// Released reports whether no order of the term with the fence, or of an older term, can still reach an engine. It is
// false for a term that the controller does not know of, because its LeaseGained may still be on its way.
func (c *Controller) Released(fence int64) bool {
	if fence > c.fence || c.holdsLease && c.fence <= fence {
		return false
	}
	return !slices.ContainsFunc(c.orders, func(o *order) bool { return o.fence <= fence && o.inFlight() })
}

func (c *Controller) apply(e Event) {
	switch e := e.(type) {
	case LeaseGained:
		c.gainLease(e)
	case LeaseLost:
		c.loseLease()
	case LeaseConfirmed:
		if c.holdsLease && e.At.After(c.confirmedAt) {
			c.confirmedAt = e.At
			c.replan = true
		}
	case PriorReleased:
		c.clearEarlierTerms(e)
	case Demand:
		c.setDemand(e)
	case Use:
		c.setUse(e)
	case UpstreamAdded:
		c.addUpstream(e)
	case UpstreamStatus:
		c.applyStatus(e)
	case OrderResult:
		c.applyResult(e)
	case PermitChanged:
		c.setPermit(e)
	case PermitAsked:
		c.requestYield(e)
	case StoreReport:
		c.store.slowdown = max(e.Slowdown, 1)
		c.replan = true
	case UpstreamLeaving:
		c.beginLeaving(c.upstream(e.Upstream))
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
		c.addIdleTime()
		for _, m := range c.models {
			c.markDirty(m)
		}
		c.replan = true
	}
	c.checkDraining()
	for _, m := range c.queue {
		if !c.now.Before(m.nextClaimAt) && !c.mayLoad(m) {
			c.markDirty(m)
		}
	}
	for i := 0; i < len(c.dirtyModels); i++ {
		m := c.dirtyModels[i]
		m.dirty = false
		c.reconcile(m)
	}
	c.dirtyModels = c.dirtyModels[:0]
	c.placeLoads()
	c.sendForecasts()
	c.publish()
}

// canOrder reports whether the lease is held and was confirmed recently enough to send orders.
func (c *Controller) canOrder() bool {
	return c.holdsLease && (c.disabled.leaseConfirmation || c.now.Sub(c.confirmedAt) <= c.settings.ConfirmAge)
}

func (c *Controller) gainLease(e LeaseGained) {
	if c.holdsLease && c.fence != e.Fence {
		c.loseLease()
	}
	c.fence, c.holdsLease = e.Fence, true
	c.confirmedAt, c.gainedAt, c.earlierReleasedAt = time.Time{}, c.now, c.now
	c.earlierTerms = slices.Clone(e.EarlierTerms)
	if e.PriorHolder != "" {
		c.earlierTerms = append(c.earlierTerms, LeaseTerm{Holder: e.PriorHolder, Fence: e.PriorFence})
	}
	for _, u := range c.upstreams {
		u.quiesced, u.fencedAt = false, time.Time{}
		for _, r := range u.replicas {
			r.retireReason = notRetired
		}
		if u.leaving {
			c.beginLeaving(u)
		}
		c.emit(ReadStatus{Upstream: u.name})
	}
	for _, m := range c.models {
		m.yieldTarget, m.yieldClaimed, m.nextClaimAt = noYield, noYield, time.Time{}
		m.surplusSince, m.lastActiveAt, m.hadWork = c.now, c.now, false
		for i := range m.demands {
			m.demands[i].answered, m.demands[i].refused = false, false
		}
	}
	c.seq, c.directoryStale, c.publishNow, c.nextScan, c.replan = 0, true, true, c.now, true
}

func (c *Controller) loseLease() {
	if !c.holdsLease {
		return
	}
	c.holdsLease = false
	c.unreleased = append(c.unreleased, c.fence)
	c.reportReleased()
}

// reportReleased emits Released for each lost term whose last order is accounted for; the next holder waits for this.
func (c *Controller) reportReleased() {
	c.unreleased = slices.DeleteFunc(c.unreleased, func(f int64) bool {
		if !c.Released(f) {
			return false
		}
		c.emit(Released{Fence: f})
		return true
	})
}

func (c *Controller) clearEarlierTerms(e PriorReleased) {
	if len(c.earlierTerms) == 0 {
		return
	}
	c.earlierTerms = slices.DeleteFunc(c.earlierTerms, func(t LeaseTerm) bool {
		return (e.Holder == "" || e.Holder == t.Holder) && (e.Fence == 0 || t.Fence <= e.Fence)
	})
	if len(c.earlierTerms) > 0 {
		return
	}
	c.earlierReleasedAt = c.now
	for _, u := range c.upstreams {
		if !u.quiesced {
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
		m.spec, m.configured = v.Model(m.name)
		c.markDirty(m)
	}
	c.directoryStale, c.replan = true, true
}

func (c *Controller) emit(a Action) { c.out = append(c.out, a) }

func (c *Controller) markDirty(m *model) {
	if !m.dirty {
		m.dirty = true
		c.dirtyModels = append(c.dirtyModels, m)
	}
}

func (c *Controller) model(name string) *model {
	m, ok := c.byModel[name]
	if !ok {
		m = &model{
			name: name, index: len(c.models), yieldTarget: noYield, yieldClaimed: noYield,
			surplusSince: c.now, lastActiveAt: c.now, recentWorkAt: c.now,
		}
		m.spec, m.configured = c.view.Model(name)
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

// scheduleWake requests a Tick at the earliest time at which time alone changes a decision.
func (c *Controller) scheduleWake() {
	var at time.Time
	sooner := func(t time.Time) {
		if at.IsZero() || t.Before(at) {
			at = t
		}
	}
	for _, o := range c.orders {
		sooner(o.nextQueryAt)
	}
	if c.holdsLease {
		sooner(c.nextScan)
		for _, r := range c.draining {
			sooner(c.drainStatusDueAt(r))
		}
		if c.directoryStale {
			sooner(c.publishedAt.Add(c.settings.PublishInterval))
		}
		if len(c.queue) > 0 && c.nextPlanAt.After(c.now) {
			sooner(c.nextPlanAt)
		}
		for _, m := range c.queue {
			if m.nextClaimAt.After(c.now) && !c.mayLoad(m) {
				sooner(m.nextClaimAt)
			}
		}
	}
	if !at.IsZero() && (!at.Equal(c.wakeAt) || !c.now.Before(at)) {
		c.emit(Wake{At: at})
	}
	c.wakeAt = at
}
