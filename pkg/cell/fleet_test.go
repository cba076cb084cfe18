package cell

import (
	"fmt"
	"slices"
	"time"

	"github.com/fireflycleat/fireflycleat/pkg/spec"
)

type (
	// engine is a fake engine that applies every order blindly, so that the count of what it has loaded judges.
	engine struct {
		name        string
		checks      bool
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

	// send is an order in the hands of a sender; it may reach the engine late, twice or never.
	send struct {
		from   *daemon
		order  Order
		answer OrderState
		until  time.Time // until is when a copy in the network is lost at the latest, once the sender has given up.
		held   bool      // held tells that the sender hangs: it neither ends nor gives its answer, even while all else is calm.
	}

	// reply is a status or a query answer on its way back.
	reply struct {
		to    *daemon
		query Query
		up    string
		asked time.Time
		event Event // event is nil until the engine was read.
	}

	daemon struct {
		name   string
		c      *Controller
		paused bool
		dead   bool
		ahead  time.Duration // ahead is what the clock of the host was ahead by at the start.
		drift  float64       // drift is what its clock gains in a unit of time.
		pos    int
		inbox  []Event
		wake   time.Time
	}

	// record is one accepted record of the log: a lease or a permit count.
	record struct {
		at     time.Time
		holder *daemon
		model  string
		count  int
	}

	// world joins two controllers, a log, a host list and engines.
	world struct {
		now       time.Time
		off       disabledRules
		pinned    bool // pinned tells that orders reach only the incarnation that they name.
		log       []record
		permits   map[string]int
		offsets   map[string]int64
		engines   []*engine
		daemons   []*daemon
		released  map[int]bool // released holds the log offsets of lease records known to be released.
		sends     []*send
		copies    []*send // copies are orders in the network whose senders have given up.
		replies   []*reply
		claims    []Claim
		bids      []*daemon // bids are the takeovers that wait for the log.
		down      bool      // down tells that the log neither takes nor gives records.
		models    []string
		version   int
		nextName  int
		violation string
		limit     int // limit is the number of permits that the log grants for a model while all is calm.
	}
)

var worldStart = time.Unix(1_000_000, 0)

func newWorld(off disabledRules, pinned bool) *world {
	w := &world{
		pinned: pinned, now: worldStart, off: off, permits: make(map[string]int), offsets: make(map[string]int64),
		released: make(map[int]bool), models: []string{"a", "b", "c"}, version: 1, limit: 2,
	}
	w.log = append(w.log, record{at: w.now})
	for _, m := range w.models {
		w.setPermit(m, 1)
	}
	w.addDaemon()
	w.addDaemon()
	w.addEngine(true)
	w.addEngine(false)
	w.addEngine(true)
	w.takeOver(w.daemons[0])
	w.readLog(w.daemons[0])
	return w
}

func (w *world) view() *spec.View {
	var list []spec.Template
	for i, m := range w.models {
		list = append(list, spec.Template{Name: m, Kind: spec.ModelTemplate, Model: &spec.Model{
			Version: fmt.Sprint("v", w.version), MaxReplicas: 2, MinReplicas: i % 2, WeightBytes: 40, KVBytes: 10,
			AdapterBytes: 10, Slots: 2, LoadMillis: 1000, TokenMicros: 1000,
			Adapters: []spec.Adapter{{Name: "x", Bytes: 6}, {Name: "y", Bytes: 6}},
		}})
	}
	return spec.NewView(int64(w.version), list, nil)
}

func (w *world) addDaemon() *daemon {
	w.nextName++
	s := DefaultSettings()
	s.Cell, s.PinnedOrders = fmt.Sprint("cell", w.nextName), w.pinned
	d := &daemon{name: fmt.Sprint("d", w.nextName), c: New(s)}
	d.ahead, d.drift = time.Duration(w.nextName*7%13-6)*time.Hour, float64(w.nextName%3-1)/1000
	d.c.disabled = w.off
	w.daemons = append(w.daemons, d)
	w.handle(d, ViewChanged{View: w.view()})
	for _, e := range w.engines {
		if !e.gone {
			w.handle(d, UpstreamAdded{Upstream: e.name, CapacityBytes: e.capacity, ChecksFence: e.checks})
		}
	}
	return d
}

func (w *world) addEngine(checks bool) {
	w.nextName++
	e := &engine{
		name: fmt.Sprint("e", w.nextName), checks: checks, capacity: 130, incarnation: 1, orders: make(map[string]OrderState),
	}
	w.engines = append(w.engines, e)
	w.tell(UpstreamAdded{Upstream: e.name, CapacityBytes: e.capacity, ChecksFence: checks})
}

// tell gives every daemon the event; a paused daemon handles it when it resumes.
func (w *world) tell(e Event) {
	for _, d := range w.daemons {
		w.handle(d, e)
	}
}

// local returns what the clock of the daemon's host shows; hosts are hours apart and drift by up to 0.1%.
func (d *daemon) local(now time.Time) time.Time {
	return now.Add(d.ahead + time.Duration(d.drift*float64(now.Sub(worldStart))))
}

func (w *world) handle(d *daemon, e Event) {
	if d.dead {
		return
	}
	if d.paused {
		d.inbox = append(d.inbox, e)
		return
	}
	w.now = w.now.Add(time.Microsecond)
	for _, a := range d.c.Handle(d.local(w.now), e) {
		switch a := a.(type) {
		case Order:
			w.judgeOrder(d, a)
			w.sends = append(w.sends, &send{from: d, order: a})
		case Query:
			w.replies = append(w.replies, &reply{to: d, query: a, up: a.Upstream, asked: w.now})
		case ReadStatus:
			w.replies = append(w.replies, &reply{to: d, up: a.Upstream, asked: w.now})
		case Claim:
			w.claims = append(w.claims, a)
		case Wake:
			d.wake = a.At
		}
	}
}

// judgeOrder checks that the daemon held the lease, by the log, within the confirmation age before the order.
func (w *world) judgeOrder(d *daemon, o Order) {
	held := false
	allowed := DefaultSettings().ConfirmAge*1002/1000 + time.Millisecond // The clock of the holder may be slow.
	for i, r := range w.log {
		if r.model != "" || r.holder != d || int64(i) != o.Fence {
			continue
		}
		held = true
		for _, next := range w.log[i+1:] {
			if next.holder != nil && next.holder != d && w.now.Sub(next.at) > allowed {
				w.fail("%s ordered %v %v after it lost the lease", d.name, o, w.now.Sub(next.at))
			}
		}
	}
	if !held {
		w.fail("%s ordered %v under a lease that it never held", d.name, o)
	}
}

func (w *world) fail(format string, args ...any) {
	if w.violation == "" {
		w.violation = fmt.Sprintf(format, args...)
	}
}

func (w *world) engine(name string) *engine {
	i := slices.IndexFunc(w.engines, func(e *engine) bool { return e.name == name && !e.gone })
	if i < 0 {
		return nil
	}
	return w.engines[i]
}

// deliver lets the order reach the engine, which answers by the protocol of section 1.4 of the design.
func (w *world) deliver(s *send) {
	o := s.order
	if e := w.engine(o.Upstream); e != nil && (!w.pinned || o.Incarnation == "" || o.Incarnation == e.status().Incarnation) {
		s.answer = e.apply(s.order)
		w.judge()
	}
}

// linger makes the sender give up while the order is still in the network, from where it can reach the engine for as long
// as Settings.DoubtDelay allows for.
func (w *world) linger(s *send) {
	s.until = w.now.Add(DefaultSettings().DoubtDelay * 998 / 1000) // The clock of the holder may be fast.
	w.copies = append(w.copies, s)
	w.end(s, false)
}

// arrive lets a copy in the network reach the engine if it can still do so.
func (w *world) arrive(s *send) {
	if w.now.Before(s.until) {
		w.deliver(s)
	} else {
		w.copies = slices.DeleteFunc(w.copies, func(x *send) bool { return x == s })
	}
}

// end makes the sender give up or pass the answer on; afterwards nothing it sent is delivered any more.
func (w *world) end(s *send, answered bool) {
	w.sends = slices.DeleteFunc(w.sends, func(x *send) bool { return x == s })
	r := OrderResult{OrderID: s.order.OrderID, Attempt: s.order.Attempt}
	if answered {
		r.State = s.answer
	}
	w.handle(s.from, r)
}

func (e *engine) apply(o Order) OrderState {
	if e.checks && o.Fence < e.fence {
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

// finish completes one load or unload; a load may fail in the middle.
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

// read takes the answer to a query or status request from the engine; it may travel for any time afterwards.
func (w *world) read(r *reply) {
	e := w.engine(r.up)
	if e == nil {
		w.dropReply(r)
		return
	}
	if r.query.OrderID == "" {
		r.event = UpstreamStatus{Upstream: r.up, AskedAt: r.to.local(r.asked), Status: e.status()}
		return
	}
	s, ok := e.orders[r.query.OrderID]
	if !ok {
		s = OrderNeverSeen
	}
	r.event = OrderResult{OrderID: r.query.OrderID, Attempt: r.query.Attempt, State: s}
}

func (w *world) dropReply(r *reply) {
	w.replies = slices.DeleteFunc(w.replies, func(x *reply) bool { return x == r })
}

// judge compares what the engines have with the permits and with their capacity.
func (w *world) judge() {
	count := make(map[string]int)
	for _, e := range w.engines {
		used := int64(0)
		for _, r := range e.replicas {
			used += r.bytes
			count[r.model]++
		}
		if used > e.capacity {
			w.fail("%s uses %d of %d bytes", e.name, used, e.capacity)
		}
	}
	for m, n := range count {
		if n > w.permits[m] {
			w.fail("%d replicas of %s under %d permits", n, m, w.permits[m])
		}
	}
}

func (w *world) setPermit(model string, n int) {
	w.log = append(w.log, record{at: w.now, model: model, count: n})
	w.permits[model], w.offsets[model] = n, int64(len(w.log)-1)
	w.judge()
}

func (w *world) takeOver(d *daemon) {
	if w.down {
		w.bids = append(w.bids, d)
		return
	}
	w.log = append(w.log, record{at: w.now, holder: d})
}

func (w *world) holder() (*daemon, int) {
	for i := len(w.log) - 1; i > 0; i-- {
		if w.log[i].holder != nil {
			return w.log[i].holder, i
		}
	}
	return nil, 0
}

// readLog gives the daemon the records up to the end of the log, in order, and then the confirmation of its lease.
func (w *world) readLog(d *daemon) {
	asked, end := w.now, w.readable()
	for ; d.pos < end && !d.paused && !d.dead; d.pos++ {
		r := w.log[d.pos]
		switch {
		case r.model != "":
			w.handle(d, PermitChanged{Model: r.model, Count: r.count, Offset: int64(d.pos)})
		case r.holder == d:
			e := LeaseGained{Fence: int64(d.pos)}
			for i, p := range w.log[:d.pos] {
				if p.holder != nil && p.holder != d && !w.released[i] {
					e.Earlier = append(e.Earlier, Hold{Holder: p.holder.name, Fence: int64(i)})
				}
			}
			w.handle(d, e)
		case r.holder != nil:
			w.handle(d, LeaseLost{})
		}
	}
	if _, fence := w.holder(); !d.paused && (w.log[fence].holder == d || w.down && fence >= end && d.c.Holds()) {
		w.handle(d, LeaseConfirmed{At: d.local(asked)})
	}
}

// askReleases asks the earlier holders whether they released, and tells the present holder.
func (w *world) askReleases() {
	h, _ := w.holder()
	for i, r := range w.log {
		if r.holder == nil || r.holder == h || w.released[i] {
			continue
		}
		if p := r.holder; p.dead || !p.paused && p.c.Released(int64(i)) {
			w.released[i] = true
			w.handle(h, PriorReleased{Holder: p.name, Fence: int64(i)})
		}
	}
}

// appendClaim applies a claim as the fold does: under the current lease and base only.
func (w *world) appendClaim(a Claim, limit int) {
	if w.down {
		return
	}
	if _, fence := w.holder(); int64(fence) == a.Fence && w.offsets[a.Model] == a.Base && a.Count <= limit {
		w.setPermit(a.Model, a.Count)
	}
}
