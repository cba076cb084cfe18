package daemon

import (
	"context"
	"maps"
	"slices"
	"time"

	"github.com/fireflycleat/fireflycleat/internal/peers"
	"github.com/fireflycleat/fireflycleat/internal/wire"
	"github.com/fireflycleat/fireflycleat/pkg/cell"
	"github.com/fireflycleat/fireflycleat/pkg/codes"
	"github.com/fireflycleat/fireflycleat/pkg/entry"
	"github.com/fireflycleat/fireflycleat/pkg/fold"
	"github.com/fireflycleat/fireflycleat/pkg/homes"
	"github.com/fireflycleat/fireflycleat/pkg/member"
	"github.com/fireflycleat/fireflycleat/pkg/route"
)

type (
	// cells holds a controller for each cell; those whose lease this daemon holds give orders.
	cells struct {
		d      *Daemon
		byName map[string]*cellRun
		homes  *homes.Table
		asked  map[demandKey]cell.Demand // Asked holds the last demand for each model and adapter.
	}

	demandKey struct {
		model   string
		adapter string
	}

	// cellRun carries out the actions of one cell's controller. It belongs to the control thread.
	cellRun struct {
		d         *Daemon
		name      string
		control   *cell.Controller
		alarm     *alarm
		held      bool
		fence     int64
		earlier   map[string]int64
		directory peers.Directory
		permits   map[string]permitState
		claims    map[string]cell.Claim
	}

	permitState struct {
		count  int
		offset int64
		frozen bool
	}
)

func newCells(d *Daemon) *cells {
	return &cells{d: d, byName: make(map[string]*cellRun), homes: homes.New(), asked: make(map[demandKey]cell.Demand)}
}

// get returns the run of the cell; the first call creates it.
func (c *cells) get(name string) *cellRun {
	if r, ok := c.byName[name]; ok {
		return r
	}
	s := cell.DefaultSettings()
	s.Cell = name
	s.Home = func(model string) bool { return homes.Home(model, c.d.upstreams.usable) == name }
	// Each cell plans with the whole store: the store limits rate and speed itself, and a fixed share left slots unused when
	// the cold models of a burst had the same home (docs/trials.md, trial 2).
	s.StoreLoadsPerSecond = c.d.settings.Store.LoadsPerSecond
	s.StoreSlots = c.d.settings.Store.Slots
	s.AdaptersInFlight = max(1, c.d.settings.Store.AdaptersInFlight/max(1, len(c.d.upstreams.cells)))
	r := &cellRun{
		d: c.d, name: name, control: cell.New(s), earlier: make(map[string]int64), permits: make(map[string]permitState),
		claims: make(map[string]cell.Claim),
	}
	r.directory.Cell = name
	r.alarm = newAlarm(c.d.control, func() { r.handle(cell.Tick{}) })
	c.byName[name] = r
	r.handle(cell.ViewChanged{View: c.d.state.View()})
	return r
}

// demand sends the number of waiting requests to the controller of the cell that is asked for the model.
func (c *cells) demand(a entry.Demand) {
	e := cell.Demand{
		Host: c.d.settings.Host.Name, Model: a.Model, Adapter: a.Adapter, Urgent: a.Urgent, Normal: a.Normal, Bulk: a.Bulk,
		EarliestDeadline: a.EarliestDeadline,
	}
	c.asked[demandKey{a.Model, a.Adapter}] = e
	if e.Urgent+e.Normal+e.Bulk == 0 {
		delete(c.asked, demandKey{a.Model, a.Adapter})
	}
	c.toController(a.Cell, e)
}

// forecast passes a forecast to the entry machine. A cell without memory is not the last word while another may have some:
// the demand goes there.
func (c *cells) forecast(name string, f cell.Forecast) {
	if f.Refused && f.Code == codes.OverCapacity {
		c.homes.Refused(time.Now(), f.Model, name)
		next := c.homeOf(f.Model)
		if e, ok := c.asked[demandKey{f.Model, f.Adapter}]; ok && next != "" {
			c.toController(next, e)
			return
		}
	}
	c.d.models.handle(entry.Forecast{
		Model: f.Model, Adapter: f.Adapter, ReadyAt: f.ReadyAt, Refused: f.Refused, Code: f.Code, RetryAfter: f.RetryAfter,
		Others: f.Others,
	})
}

// use tells the controllers how many attempts of this host are in progress for each model.
func (c *cells) use(counts map[modelUse]useCount) {
	for key, n := range counts {
		c.toController(key.cell, cell.Use{Host: c.d.settings.Host.Name, Model: key.model, InFlight: n.all, Urgent: n.urgent})
		if n.all == 0 {
			delete(counts, key)
		}
	}
}

// toController passes the event to the cell's controller, wherever it is. What is lost on the way is repeated by its sender.
func (c *cells) toController(name string, e cell.Event) {
	if r := c.get(name); r.held {
		r.handle(e)
		return
	}
	lease, ok := c.d.state.Lease(name)
	if !ok {
		return
	}
	c.d.tellMember(lease.Incarnation, "CellEvent", peers.CellEvent{Cell: name, Event: e})
}

// sync compares the leases and permits of the fold with what the controllers know.
func (c *cells) sync(viewChanged bool) {
	for _, l := range c.d.state.Leases() {
		c.get(l.Cell).sync(l)
	}
	for _, r := range c.byName {
		if viewChanged {
			r.handle(cell.ViewChanged{View: c.d.state.View()})
		}
		r.syncPermits()
	}
}

func (r *cellRun) sync(l fold.Lease) {
	mine := l.Incarnation == r.d.incarnation && !l.Released && r.d.stopping.stage < member.HandingOver
	earlier := make(map[string]int64, len(l.Unsettled))
	for _, h := range l.Unsettled {
		earlier[h.Incarnation] = h.Offset
	}
	switch {
	case mine && (!r.held || r.fence != l.Offset):
		r.gain(l)
	case !mine && r.held:
		r.lose()
	case mine:
		for incarnation := range r.earlier {
			if _, ok := earlier[incarnation]; !ok {
				r.handle(cell.PriorReleased{Holder: incarnation})
			}
		}
	}
	r.earlier = earlier
}

func (r *cellRun) gain(l fold.Lease) {
	r.held, r.fence = true, l.Offset
	gained := cell.LeaseGained{Fence: l.Offset}
	for i, h := range l.Unsettled {
		if i == len(l.Unsettled)-1 {
			gained.PriorHolder, gained.PriorFence = h.Incarnation, h.Offset
		} else {
			gained.Earlier = append(gained.Earlier, cell.Hold{Holder: h.Incarnation, Fence: h.Offset})
		}
	}
	r.d.log("cell").Info("lease gained", "cell", r.name, "fence", l.Offset, "unsettled", len(l.Unsettled))
	clear(r.permits)
	r.syncPermits()
	r.handle(gained)
	r.d.upstreams.pollHeld()
}

func (r *cellRun) lose() {
	r.d.log("cell").Info("lease lost", "cell", r.name, "fence", r.fence)
	r.held = false
	r.handle(cell.LeaseLost{})
}

// syncPermits tells the controller about changed permits, and to yield those above the model's limit.
func (r *cellRun) syncPermits() {
	for _, model := range r.d.state.View().Models() {
		sum, limit := r.d.state.PermitSum(model)
		p := r.d.state.Permit(model, r.name)
		now := permitState{p.Count, p.Offset, sum > limit}
		if r.permits[model] == now {
			continue
		}
		r.permits[model] = now
		r.handle(cell.PermitChanged{Model: model, Count: now.count, Offset: now.offset, Frozen: now.frozen})
		if share := r.share(model, limit); now.frozen && share < now.count {
			r.handle(cell.PermitAsked{Model: model, Count: share, Force: true})
		}
	}
}

// share returns how many permits the cell may keep when the limit is below the sum: cells keep theirs in order of name.
func (r *cellRun) share(model string, limit int) int {
	for _, p := range r.d.state.Permits(model) {
		kept := min(p.Count, limit)
		if p.Cell == r.name {
			return kept
		}
		limit -= kept
	}
	return 0
}

func (r *cellRun) handle(e cell.Event) {
	for _, a := range r.control.Handle(time.Now(), e) {
		r.act(a)
	}
}

func (r *cellRun) act(a cell.Action) {
	switch a := a.(type) {
	case cell.Order:
		r.order(a)
	case cell.Query:
		r.query(a)
	case cell.Claim:
		r.claim(a)
	case cell.Publish:
		r.publish(a)
	case cell.Forecast:
		r.forecast(a)
	case cell.Released:
		r.d.leaseReleased(r.name, a.Fence)
	case cell.ReadStatus:
		r.d.upstreams.poll(a.Upstream)
	case cell.Wake:
		r.alarm.set(a.At)
	}
}

func (r *cellRun) order(a cell.Order) {
	address := r.d.upstreams.address(a.Upstream)
	o := wire.Order{
		ID: a.OrderID, Fence: a.Fence, Op: wire.Op(a.Op), Model: a.Model, Version: a.Version, Adapter: a.Adapter, Bytes: a.Bytes,
	}
	r.d.log("cell").Debug("order", "cell", r.name, "op", a.Op, "model", a.Model, "upstream", a.Upstream, "id", a.OrderID)
	r.d.background(func(ctx context.Context) {
		ctx, span := r.d.traces.Start(ctx, "engine order")
		defer span.End()
		state, err := r.d.engines.Order(ctx, address, o)
		r.result(a.OrderID, a.Attempt, state, err)
		r.d.control.post(func() { r.d.upstreams.poll(a.Upstream) })
	})
}

func (r *cellRun) query(a cell.Query) {
	address := r.d.upstreams.address(a.Upstream)
	r.d.background(func(ctx context.Context) {
		state, err := r.d.engines.Query(ctx, address, a.OrderID)
		if err == nil && state == wire.OrderUnknown {
			r.post(cell.OrderResult{OrderID: a.OrderID, Attempt: a.Attempt, State: cell.OrderNeverSeen})
			return
		}
		r.result(a.OrderID, a.Attempt, state, err)
	})
}

func (r *cellRun) result(id string, attempt int, state wire.OrderState, err error) {
	x := cell.OrderResult{OrderID: id, Attempt: attempt, State: cell.OrderUnknown}
	if err == nil {
		switch state {
		case wire.OrderPending:
			x.State = cell.OrderPending
		case wire.OrderDone:
			x.State = cell.OrderDone
		case wire.OrderFailed:
			x.State = cell.OrderFailed
		case wire.OrderStale:
			x.State = cell.OrderRefusedStale
		}
	}
	r.post(x)
}

func (r *cellRun) post(e cell.Event) { r.d.control.post(func() { r.handle(e) }) }

// claim asks the log for permits. Claims wait for proposeDelay, since a new controller claims for each model at home.
func (r *cellRun) claim(a cell.Claim) {
	r.claims[a.Model] = a
	if len(r.claims) == 1 {
		time.AfterFunc(proposeDelay, func() { r.d.control.post(r.appendClaims) })
	}
}

func (r *cellRun) appendClaims() {
	var changes []fold.PermitChange
	for _, model := range slices.Sorted(maps.Keys(r.claims)) {
		a := r.claims[model]
		changes = append(changes, fold.PermitChange{Cell: r.name, Lease: a.Fence, Model: model, Base: a.Base, Count: a.Count})
	}
	clear(r.claims)
	r.appendPermits(changes)
}

// appendPermits appends one record. The fold takes or refuses it as a whole, so a refused batch is tried one by one; when
// all permits of a model are taken, another cell is asked to give one up.
func (r *cellRun) appendPermits(changes []fold.PermitChange) {
	r.d.appends.add(fold.Record{Kind: fold.PermitKind, Permit: changes}, func(_ int64, err error) {
		switch {
		case err == nil || codes.Is(err, codes.AppendInDoubt) || codes.Is(err, codes.LogUnavailable):
		case len(changes) > 1:
			for _, c := range changes {
				r.appendPermits([]fold.PermitChange{c})
			}
		case changes[0].Count > r.d.state.Permit(changes[0].Model, r.name).Count:
			r.askOthers(changes[0].Model)
		}
	})
}

func (r *cellRun) askOthers(model string) {
	most := fold.Permits{}
	for _, p := range r.d.state.Permits(model) {
		if p.Cell != r.name && p.Count > most.Count {
			most = p
		}
	}
	if most.Count > 0 {
		r.d.cells.toController(most.Cell, cell.PermitAsked{Model: model, Count: most.Count - 1})
	}
}

func (r *cellRun) publish(a cell.Publish) {
	r.directory.Fence, r.directory.Seq, r.directory.Replicas = a.Fence, a.Seq, a.Replicas
	r.d.applyDirectory(r.directory)
	r.d.tellAll("Directory", r.directory)
}

func (r *cellRun) forecast(a cell.Forecast) {
	if a.Host == r.d.settings.Host.Name {
		r.d.cells.forecast(r.name, a)
		return
	}
	for _, m := range r.d.state.Members() {
		if m.Host == a.Host {
			r.d.tellMember(m.Incarnation, "Forecast", peers.ForecastArgs{Cell: r.name, Forecast: a})
		}
	}
}

// status passes an engine's status to the controller and its load to all entries.
func (r *cellRun) status(h wire.Host, asked time.Time, s wire.EngineStatus) {
	var loads []peers.Load
	x := cell.Status{
		Incarnation: s.Incarnation, CapacityBytes: s.CapacityBytes, UsedBytes: s.UsedBytes, OrdersPending: s.OrdersPending,
		HighestFence: s.HighestFence, Leaving: s.Leaving, ReportedAt: s.ReportedAt,
	}
	for _, p := range s.Replicas {
		x.Replicas = append(x.Replicas, cell.StatusReplica{
			Model: p.Model, Version: p.Version, Bytes: p.Bytes, Slots: p.Slots, Ready: p.Ready, Running: p.Running,
			Waiting: p.Waiting, Adapters: p.Adapters,
		})
		loads = append(loads, peers.Load{
			Upstream: h.Name, Model: p.Model, Running: p.Running, Waiting: p.Waiting, Slots: p.Slots, At: s.ReportedAt,
		})
	}
	for _, c := range s.Cached {
		x.Cached = append(x.Cached, cell.CachedCopy{Model: c.Model, Version: c.Version, Tier: tierOf(c.Tier)})
	}
	r.handle(cell.UpstreamStatus{Upstream: h.Name, AskedAt: asked, Status: x})
	if r.held {
		r.directory.SetLoads(h.Name, loads)
	}
	for _, l := range loads {
		r.d.models.handle(reportEvent(l))
	}
}

func tierOf(t wire.Tier) cell.Tier {
	switch t {
	case wire.TierMemory:
		return cell.TierMemory
	case wire.TierDisk:
		return cell.TierDisk
	}
	return cell.TierRemote
}

func reportEvent(l peers.Load) entry.Report {
	return entry.Report{Upstream: l.Upstream, Model: l.Model, Running: l.Running, Waiting: l.Waiting, Slots: l.Slots, At: l.At}
}

// applyDirectory passes a directory and its loads to the entry machine.
func (d *Daemon) applyDirectory(x peers.Directory) {
	d.directories[x.Cell] = true
	e := entry.Directory{Cell: x.Cell, Fence: x.Fence, Seq: int64(x.Seq)}
	for _, r := range x.Replicas {
		e.Replicas = append(e.Replicas, route.Replica{
			Upstream: r.Upstream, DataCentre: x.Cell, Model: r.Model, Version: r.Version, Adapters: r.Adapters, Slots: r.Slots,
			Ready: r.Ready, ReadyAt: r.ReadyAt,
		})
	}
	d.models.handle(e)
	for _, l := range x.Loads {
		d.models.handle(reportEvent(l))
	}
}

// pollLoading asks the engines that load a model for their status, so that waiting calls go on as soon as it is ready.
func (r *cellRun) pollLoading() {
	for _, x := range r.directory.Replicas {
		if r.held && !x.Ready {
			r.d.upstreams.poll(x.Upstream)
		}
	}
}

// beat repeats the directory, so that a host that missed it or has just started learns it, and asks earlier holders
// whether they have released the lease.
func (r *cellRun) beat() {
	if !r.held {
		return
	}
	r.d.directories[r.name] = true
	r.directory.Fence = r.fence
	r.d.tellAll("Directory", r.directory)
	for holder, fence := range r.earlier {
		r.askRelease(holder, fence)
	}
}

func (r *cellRun) askRelease(holder string, fence int64) {
	m, ok := r.d.state.Member(holder)
	if !ok {
		return
	}
	r.d.background(func(ctx context.Context) {
		var reply peers.ReleaseReply
		args := peers.ReleaseArgs{Header: r.d.header(ctx), Cell: r.name, Fence: fence}
		err := r.d.peerClient.Call(ctx, m.Addresses.Peers, "Peer.Release", args, &reply)
		r.d.countPeerCall("Release", err)
		if err == nil && reply.Released {
			r.post(cell.PriorReleased{Holder: holder, Fence: fence})
		}
	})
}

// homeOf returns the cell that is asked to load a model, or an empty string if none has memory for it.
func (c *cells) homeOf(model string) string {
	x := homes.Cells{Own: c.d.settings.Host.DataCentre, Usable: c.d.upstreams.usable}
	for _, p := range c.d.state.Permits(model) {
		if p.Count > 0 {
			x.Holders = append(x.Holders, p.Cell)
		}
	}
	return c.homes.Choose(time.Now(), model, x)
}
