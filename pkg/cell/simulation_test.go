package cell

import (
	"fmt"
	"slices"
	"time"

	"github.com/fireflycleat/fireflycleat/pkg/spec"
)

type (
	// engine is a fake engine that applies every order without checks of its own, so that checkLimits detects any excess.
	engine struct {
		name        string
		checksFence bool
		gone        bool
		leaving     bool
		capacity    int64
		incarnation int
		fence       int64
		orders      map[string]OrderState
		replicas    []*engineReplica
	}

	engineReplica struct {
		order     string
		model     string
		version   string
		bytes     int64
		ready     bool
		unloading string
		adapters  []string
	}

	// sentOrder is an order held by a sender; it may reach the engine late, twice or never.
	sentOrder struct {
		from        *daemon
		order       Order
		answer      OrderState
		lostAt      time.Time // when a copy in the network is lost at the latest; set when the sender finishes
		senderHangs bool      // set when the sender neither finishes nor returns its answer, even in calm rounds
	}

	// reply is a status or a query answer in transit to a daemon.
	reply struct {
		to       *daemon
		query    Query
		upstream string
		askedAt  time.Time
		event    Event // nil until the engine was read
	}

	daemon struct {
		name        string
		c           *Controller
		paused      bool
		dead        bool
		clockOffset time.Duration // offset of the host's clock at the start
		clockDrift  float64       // rate error of the host's clock
		logPosition int
		inbox       []Event
		wake        time.Time
	}

	// record is an accepted record of the log: a lease or a permit count.
	record struct {
		at     time.Time
		holder *daemon
		model  string
		count  int
	}

	// simulation connects two controllers, a log, a host list and engines.
	simulation struct {
		now              time.Time
		disabled         disabledRules
		pinned           bool // whether orders reach only the incarnation that they name
		log              []record
		permits          map[string]int
		offsets          map[string]int64
		engines          []*engine
		daemons          []*daemon
		released         map[int]bool // log offsets of lease records known to be released
		sentOrders       []*sentOrder
		networkCopies    []*sentOrder // orders in the network whose senders have finished
		replies          []*reply
		claims           []Claim
		pendingTakeovers []*daemon // lease changes that wait for the log
		logDown          bool      // set when the log neither accepts nor returns records
		models           []string
		version          int
		nextName         int
		violation        string
		permitLimit      int // permits that the log grants for a model in calm rounds
	}
)

var simulationStart = time.Unix(1_000_000, 0)

func newSimulation(disabled disabledRules, pinned bool) *simulation {
	sm := &simulation{
		pinned: pinned, now: simulationStart, disabled: disabled, permits: make(map[string]int), offsets: make(map[string]int64),
		released: make(map[int]bool), models: []string{"a", "b", "c"}, version: 1, permitLimit: 2,
	}
	sm.log = append(sm.log, record{at: sm.now})
	for _, m := range sm.models {
		sm.setPermit(m, 1)
	}
	sm.addDaemon()
	sm.addDaemon()
	sm.addEngine(true)
	sm.addEngine(false)
	sm.addEngine(true)
	sm.takeOver(sm.daemons[0])
	sm.readLog(sm.daemons[0])
	return sm
}

func (sm *simulation) view() *spec.View {
	var list []spec.Template
	for i, m := range sm.models {
		list = append(list, spec.Template{Name: m, Kind: spec.ModelTemplate, Model: &spec.Model{
			Version: fmt.Sprint("v", sm.version), MaxReplicas: 2, MinReplicas: i % 2, WeightBytes: 40, KVBytes: 10,
			AdapterBytes: 10, Slots: 2, LoadMillis: 1000, TokenMicros: 1000,
			Adapters: []spec.Adapter{{Name: "x", Bytes: 6}, {Name: "y", Bytes: 6}},
		}})
	}
	return spec.NewView(int64(sm.version), list, nil)
}

func (sm *simulation) addDaemon() *daemon {
	sm.nextName++
	s := DefaultSettings()
	s.Cell, s.PinnedOrders = fmt.Sprint("cell", sm.nextName), sm.pinned
	d := &daemon{name: fmt.Sprint("d", sm.nextName), c: New(s)}
	d.clockOffset, d.clockDrift = time.Duration(sm.nextName*7%13-6)*time.Hour, float64(sm.nextName%3-1)/1000
	d.c.disabled = sm.disabled
	sm.daemons = append(sm.daemons, d)
	sm.handle(d, ViewChanged{View: sm.view()})
	for _, e := range sm.engines {
		if !e.gone {
			sm.handle(d, UpstreamAdded{Upstream: e.name, CapacityBytes: e.capacity, ChecksFence: e.checksFence})
		}
	}
	return d
}

func (sm *simulation) addEngine(checksFence bool) {
	sm.nextName++
	e := &engine{
		name: fmt.Sprint("e", sm.nextName), checksFence: checksFence, capacity: 130, incarnation: 1, orders: make(map[string]OrderState),
	}
	sm.engines = append(sm.engines, e)
	sm.broadcast(UpstreamAdded{Upstream: e.name, CapacityBytes: e.capacity, ChecksFence: checksFence})
}

// broadcast passes the event to every daemon; a paused daemon handles the event when it resumes.
func (sm *simulation) broadcast(e Event) {
	for _, d := range sm.daemons {
		sm.handle(d, e)
	}
}

// local returns the time by the clock of the daemon's host. These clocks are hours apart and drift by up to 0.1%.
func (d *daemon) local(now time.Time) time.Time {
	return now.Add(d.clockOffset + time.Duration(d.clockDrift*float64(now.Sub(simulationStart))))
}

func (sm *simulation) handle(d *daemon, e Event) {
	if d.dead {
		return
	}
	if d.paused {
		d.inbox = append(d.inbox, e)
		return
	}
	sm.now = sm.now.Add(time.Microsecond)
	for _, a := range d.c.Handle(d.local(sm.now), e) {
		switch a := a.(type) {
		case Order:
			sm.checkLease(d, a)
			sm.sentOrders = append(sm.sentOrders, &sentOrder{from: d, order: a})
		case Query:
			sm.replies = append(sm.replies, &reply{to: d, query: a, upstream: a.Upstream, askedAt: sm.now})
		case ReadStatus:
			sm.replies = append(sm.replies, &reply{to: d, upstream: a.Upstream, askedAt: sm.now})
		case Claim:
			sm.claims = append(sm.claims, a)
		case Wake:
			d.wake = a.At
		}
	}
}

// checkLease checks by the log that the daemon held the lease within the confirmation age before the order.
func (sm *simulation) checkLease(d *daemon, o Order) {
	held := false
	allowed := DefaultSettings().ConfirmAge*1002/1000 + time.Millisecond // The clock of the holder may be slow.
	for i, r := range sm.log {
		if r.model != "" || r.holder != d || int64(i) != o.Fence {
			continue
		}
		held = true
		for _, next := range sm.log[i+1:] {
			if next.holder != nil && next.holder != d && sm.now.Sub(next.at) > allowed {
				sm.fail("%s ordered %v %v after it lost the lease", d.name, o, sm.now.Sub(next.at))
			}
		}
	}
	if !held {
		sm.fail("%s ordered %v under a lease that it never held", d.name, o)
	}
}

func (sm *simulation) fail(format string, args ...any) {
	if sm.violation == "" {
		sm.violation = fmt.Sprintf(format, args...)
	}
}

func (sm *simulation) engine(name string) *engine {
	i := slices.IndexFunc(sm.engines, func(e *engine) bool { return e.name == name && !e.gone })
	if i < 0 {
		return nil
	}
	return sm.engines[i]
}

// deliver passes the order to the engine, which answers by the protocol of section 1.4 of the design.
func (sm *simulation) deliver(s *sentOrder) {
	o := s.order
	if e := sm.engine(o.Upstream); e != nil && (!sm.pinned || o.Incarnation == "" || o.Incarnation == e.status().Incarnation) {
		s.answer = e.apply(s.order)
		sm.checkLimits()
	}
}

// leaveInNetwork finishes the sender while the order is still in the network, from where it can reach the engine within
// Settings.DoubtDelay.
func (sm *simulation) leaveInNetwork(s *sentOrder) {
	s.lostAt = sm.now.Add(DefaultSettings().DoubtDelay * 998 / 1000) // The clock of the holder may be fast.
	sm.networkCopies = append(sm.networkCopies, s)
	sm.finishSender(s, false)
}

// deliverCopy delivers an order from the network if it is not lost yet.
func (sm *simulation) deliverCopy(s *sentOrder) {
	if sm.now.Before(s.lostAt) {
		sm.deliver(s)
	} else {
		sm.networkCopies = slices.DeleteFunc(sm.networkCopies, func(x *sentOrder) bool { return x == s })
	}
}

// finishSender makes the sender abandon the order or return the answer; nothing that it sent is delivered afterwards.
func (sm *simulation) finishSender(s *sentOrder, answered bool) {
	sm.sentOrders = slices.DeleteFunc(sm.sentOrders, func(x *sentOrder) bool { return x == s })
	r := OrderResult{OrderID: s.order.OrderID, Attempt: s.order.Attempt}
	if answered {
		r.State = s.answer
	}
	sm.handle(s.from, r)
}

func (e *engine) apply(o Order) OrderState {
	if e.checksFence && o.Fence < e.fence {
		if _, ok := e.orders[o.OrderID]; !ok {
			e.orders[o.OrderID] = OrderRefusedStale
		}
		return OrderRefusedStale
	}
	e.fence = max(e.fence, o.Fence)
	if s, ok := e.orders[o.OrderID]; ok {
		return s
	}
	s := OrderFailed
	r := e.find(o.Model, o.Version)
	switch {
	case o.Op == OpFence:
		s = OrderDone
	case o.Op == OpLoad && r == nil:
		e.replicas = append(e.replicas, &engineReplica{order: o.OrderID, model: o.Model, version: o.Version, bytes: o.Bytes})
		s = OrderPending
	case o.Op == OpUnload && r != nil:
		r.unloading, s = o.OrderID, OrderPending
	case o.Op == OpLoadAdapter && r != nil:
		r.adapters = append(r.adapters, o.Adapter)
		s = OrderDone
	case o.Op == OpUnloadAdapter && r != nil:
		r.adapters = slices.DeleteFunc(r.adapters, func(a string) bool { return a == o.Adapter })
		s = OrderDone
	}
	e.orders[o.OrderID] = s
	return s
}

func (e *engine) find(model, version string) *engineReplica {
	for _, r := range e.replicas {
		if r.model == model && r.version == version {
			return r
		}
	}
	return nil
}

// finish completes the load or unload of the replica; with fails, a load fails instead.
func (e *engine) finish(r *engineReplica, fails bool) {
	drop := func(x *engineReplica) bool { return x == r }
	switch {
	case r.unloading != "":
		e.orders[r.unloading] = OrderDone
		if !r.ready {
			e.orders[r.order] = OrderFailed
		}
		e.replicas = slices.DeleteFunc(e.replicas, drop)
	case !r.ready && fails:
		e.orders[r.order] = OrderFailed
		e.replicas = slices.DeleteFunc(e.replicas, drop)
	case !r.ready:
		e.orders[r.order], r.ready = OrderDone, true
	}
}

func (e *engine) status() Status {
	s := Status{
		Incarnation: fmt.Sprint(e.name, "-", e.incarnation), CapacityBytes: e.capacity, HighestFence: e.fence,
		Leaving: e.leaving,
	}
	for _, r := range e.replicas {
		s.UsedBytes += r.bytes
		if !r.ready || r.unloading != "" {
			s.OrdersPending++
		}
		s.Replicas = append(s.Replicas, StatusReplica{
			Model: r.model, Version: r.version, Bytes: r.bytes, Slots: 2, Ready: r.ready, Adapters: slices.Clone(r.adapters),
		})
	}
	return s
}

// readEngine takes the answer to a query or status request from the engine; the answer may be in transit for any time
// afterwards.
func (sm *simulation) readEngine(r *reply) {
	e := sm.engine(r.upstream)
	if e == nil {
		sm.dropReply(r)
		return
	}
	if r.query.OrderID == "" {
		r.event = UpstreamStatus{Upstream: r.upstream, AskedAt: r.to.local(r.askedAt), Status: e.status()}
		return
	}
	s, ok := e.orders[r.query.OrderID]
	if !ok {
		s = OrderNeverSeen
	}
	r.event = OrderResult{OrderID: r.query.OrderID, Attempt: r.query.Attempt, State: s}
}

func (sm *simulation) dropReply(r *reply) {
	sm.replies = slices.DeleteFunc(sm.replies, func(x *reply) bool { return x == r })
}

// checkLimits compares the replicas on the engines with the permits and the capacity.
func (sm *simulation) checkLimits() {
	count := make(map[string]int)
	for _, e := range sm.engines {
		used := int64(0)
		for _, r := range e.replicas {
			used += r.bytes
			count[r.model]++
		}
		if used > e.capacity {
			sm.fail("%s uses %d of %d bytes", e.name, used, e.capacity)
		}
	}
	for m, n := range count {
		if n > sm.permits[m] {
			sm.fail("%d replicas of %s under %d permits", n, m, sm.permits[m])
		}
	}
}

func (sm *simulation) setPermit(model string, n int) {
	sm.log = append(sm.log, record{at: sm.now, model: model, count: n})
	sm.permits[model], sm.offsets[model] = n, int64(len(sm.log)-1)
	sm.checkLimits()
}

func (sm *simulation) takeOver(d *daemon) {
	if sm.logDown {
		sm.pendingTakeovers = append(sm.pendingTakeovers, d)
		return
	}
	sm.log = append(sm.log, record{at: sm.now, holder: d})
}

func (sm *simulation) holder() (*daemon, int) {
	for i := len(sm.log) - 1; i > 0; i-- {
		if sm.log[i].holder != nil {
			return sm.log[i].holder, i
		}
	}
	return nil, 0
}

// readLog passes the records up to the end of the log to the daemon, in order, and then confirms its lease.
func (sm *simulation) readLog(d *daemon) {
	askedAt, end := sm.now, sm.readableEnd()
	for ; d.logPosition < end && !d.paused && !d.dead; d.logPosition++ {
		r := sm.log[d.logPosition]
		switch {
		case r.model != "":
			sm.handle(d, PermitChanged{Model: r.model, Count: r.count, Offset: int64(d.logPosition)})
		case r.holder == d:
			e := LeaseGained{Fence: int64(d.logPosition)}
			for i, p := range sm.log[:d.logPosition] {
				if p.holder != nil && p.holder != d && !sm.released[i] {
					e.EarlierTerms = append(e.EarlierTerms, LeaseTerm{Holder: p.holder.name, Fence: int64(i)})
				}
			}
			sm.handle(d, e)
		case r.holder != nil:
			sm.handle(d, LeaseLost{})
		}
	}
	if _, fence := sm.holder(); !d.paused && (sm.log[fence].holder == d || sm.logDown && fence >= end && d.c.HoldsLease()) {
		sm.handle(d, LeaseConfirmed{At: d.local(askedAt)})
	}
}

// askReleases queries whether the earlier holders have released, and reports releases to the current holder.
func (sm *simulation) askReleases() {
	h, _ := sm.holder()
	for i, r := range sm.log {
		if r.holder == nil || r.holder == h || sm.released[i] {
			continue
		}
		if p := r.holder; p.dead || !p.paused && p.c.Released(int64(i)) {
			sm.released[i] = true
			sm.handle(h, PriorReleased{Holder: p.name, Fence: int64(i)})
		}
	}
}

// appendClaim applies a claim as the package fold does: only under the current lease and base.
func (sm *simulation) appendClaim(a Claim, limit int) {
	if sm.logDown {
		return
	}
	if _, fence := sm.holder(); int64(fence) == a.Fence && sm.offsets[a.Model] == a.Base && a.Count <= limit {
		sm.setPermit(a.Model, a.Count)
	}
}
