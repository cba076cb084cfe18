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
	"github.com/fireflycleat/fireflycleat/pkg/fold"
	"github.com/fireflycleat/fireflycleat/pkg/member"
)

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
		r.alarm.Set(a.At)
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
		r.d.control.Post(func() { r.d.upstreams.poll(a.Upstream) })
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

func (r *cellRun) post(e cell.Event) { r.d.control.Post(func() { r.handle(e) }) }

// claim asks the log for permits. Claims wait for proposeDelay, since a new controller claims for each model at home.
func (r *cellRun) claim(a cell.Claim) {
	r.claims[a.Model] = a
	if len(r.claims) == 1 {
		time.AfterFunc(proposeDelay, func() { r.d.control.Post(r.appendClaims) })
	}
}

func (r *cellRun) appendClaims() {
	var changes []fold.PermitChange
	for _, model := range slices.Sorted(maps.Keys(r.claims)) {
		a := r.claims[model]
		r.distances[model] = a.Distance
		if r.exceeds(model, a.Count) {
			r.askOthers(model) // The fold would refuse the record, and every refused claim costs an append.
			continue
		}
		changes = append(changes, fold.PermitChange{Cell: r.name, Lease: a.Fence, Model: model, Base: a.Base, Count: a.Count})
	}
	clear(r.claims)
	if len(changes) > 0 {
		r.appendPermits(changes)
	}
}

// exceeds reports whether the folded permits of the other cells leave no room for a larger count in this cell.
func (r *cellRun) exceeds(model string, count int) bool {
	own := r.d.state.Permit(model, r.name).Count
	sum, limit := r.d.state.PermitSum(model)
	return count > own && sum-own+count > limit
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
		r.d.cells.toController(most.Cell, cell.PermitAsked{
			Model: model, Count: most.Count - 1, Distance: r.distances[model],
		})
	}
}

func (r *cellRun) publish(a cell.Publish) {
	r.directory.Header = r.d.header(r.d.life)
	r.directory.Fence, r.directory.Seq, r.directory.Replicas = a.Fence, a.Seq, a.Replicas
	r.d.applyDirectory(r.directory)
	r.d.tellAll("Directory", r.directory.Outward(time.Now()))
}

func (r *cellRun) forecast(a cell.Forecast) {
	if a.Host == r.d.settings.Host.Name {
		r.d.cells.forecast(r.name, a)
		return
	}
	for _, m := range r.d.state.Members() {
		if m.Host == a.Host {
			args := peers.ForecastArgs{Header: r.d.header(r.d.life), Cell: r.name, Forecast: a}
			r.d.tellMember(m.Incarnation, "Forecast", args.Outward(time.Now()))
		}
	}
}
