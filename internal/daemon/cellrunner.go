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

// applyLease compares the lease in the log with the controller's and reports any difference to the controller. A daemon that is
// handing over its leases counts as not holding them.
func (r *cellRunner) applyLease(l fold.Lease) {
	holdsLease := l.Incarnation == r.d.incarnation && !l.Released && r.d.stopping.stage < member.HandingOver
	priorHolders := make(map[string]int64, len(l.Unsettled))
	for _, h := range l.Unsettled {
		priorHolders[h.Incarnation] = h.Offset
	}
	switch {
	case holdsLease && (!r.leaseHeld || r.fence != l.Offset):
		r.gainLease(l)
	case !holdsLease && r.leaseHeld:
		r.loseLease()
	case holdsLease:
		for holder := range r.priorHolders {
			if _, ok := priorHolders[holder]; !ok {
				r.handle(cell.PriorReleased{Holder: holder})
			}
		}
	}
	r.priorHolders = priorHolders
}

func (r *cellRunner) gainLease(l fold.Lease) {
	r.leaseHeld, r.fence = true, l.Offset
	gained := cell.LeaseGained{Fence: l.Offset}
	for i, h := range l.Unsettled {
		if i == len(l.Unsettled)-1 {
			gained.PriorHolder, gained.PriorFence = h.Incarnation, h.Offset
		} else {
			gained.EarlierTerms = append(gained.EarlierTerms, cell.LeaseTerm{Holder: h.Incarnation, Fence: h.Offset})
		}
	}
	r.d.log("cell").Info("lease gained", "cell", r.name, "fence", l.Offset, "unsettled", len(l.Unsettled))
	clear(r.permits)
	r.syncPermits()
	r.handle(gained)
	r.d.upstreams.pollHeld()
}

func (r *cellRunner) loseLease() {
	r.d.log("cell").Info("lease lost", "cell", r.name, "fence", r.fence)
	r.leaseHeld = false
	r.handle(cell.LeaseLost{})
}

// syncPermits reports changed permits to the controller and makes it release those above the model's limit.
func (r *cellRunner) syncPermits() {
	for _, model := range r.d.state.View().Models() {
		sum, limit := r.d.state.PermitSum(model)
		p := r.d.state.Permit(model, r.name)
		current := permitState{p.Count, p.Offset, sum > limit}
		if r.permits[model] == current {
			continue
		}
		r.permits[model] = current
		r.handle(cell.PermitChanged{Model: model, Count: current.count, Offset: current.offset, Frozen: current.frozen})
		if share := r.permitShare(model, limit); current.frozen && share < current.count {
			r.handle(cell.PermitAsked{Model: model, Count: share, Force: true})
		}
	}
}

// permitShare returns how many permits the cell may keep when the limit is below the sum over all cells. Cells keep their permits
// in order of name until the limit is reached.
func (r *cellRunner) permitShare(model string, limit int) int {
	for _, p := range r.d.state.Permits(model) {
		kept := min(p.Count, limit)
		if p.Cell == r.name {
			return kept
		}
		limit -= kept
	}
	return 0
}

func (r *cellRunner) handle(e cell.Event) {
	for _, a := range r.controller.Handle(time.Now(), e) {
		r.perform(a)
	}
}

func (r *cellRunner) perform(a cell.Action) {
	switch a := a.(type) {
	case cell.Order:
		r.sendOrder(a)
	case cell.Query:
		r.queryOrder(a)
	case cell.Claim:
		r.addClaim(a)
	case cell.Publish:
		r.publishDirectory(a)
	case cell.Forecast:
		r.sendForecast(a)
	case cell.Released:
		r.d.leaseReleased(r.name, a.Fence)
	case cell.ReadStatus:
		r.d.upstreams.poll(a.Upstream)
	case cell.Wake:
		r.alarm.Set(a.At)
	}
}

func (r *cellRunner) sendOrder(a cell.Order) {
	address := r.d.upstreams.address(a.Upstream)
	o := wire.Order{
		ID: a.OrderID, Fence: a.Fence, Op: wire.Op(a.Op), Model: a.Model, Version: a.Version, Adapter: a.Adapter, Bytes: a.Bytes,
	}
	r.d.log("cell").Debug("sending order to engine", "cell", r.name, "op", a.Op, "model", a.Model, "upstream", a.Upstream, "id", a.OrderID)
	r.d.background(func(ctx context.Context) {
		ctx, span := r.d.traces.Start(ctx, "engine order")
		defer span.End()
		state, err := r.d.engines.Order(ctx, address, o)
		r.postOrderResult(a.OrderID, a.Attempt, state, err)
		r.d.control.Post(func() { r.d.upstreams.poll(a.Upstream) })
	})
}

func (r *cellRunner) queryOrder(a cell.Query) {
	address := r.d.upstreams.address(a.Upstream)
	r.d.background(func(ctx context.Context) {
		state, err := r.d.engines.Query(ctx, address, a.OrderID)
		if err == nil && state == wire.OrderUnknown {
			r.post(cell.OrderResult{OrderID: a.OrderID, Attempt: a.Attempt, State: cell.OrderNeverSeen})
			return
		}
		r.postOrderResult(a.OrderID, a.Attempt, state, err)
	})
}

func (r *cellRunner) postOrderResult(id string, attempt int, state wire.OrderState, err error) {
	result := cell.OrderResult{OrderID: id, Attempt: attempt, State: cell.OrderUnknown}
	if err == nil {
		switch state {
		case wire.OrderPending:
			result.State = cell.OrderPending
		case wire.OrderDone:
			result.State = cell.OrderDone
		case wire.OrderFailed:
			result.State = cell.OrderFailed
		case wire.OrderStale:
			result.State = cell.OrderRefusedStale
		}
	}
	r.post(result)
}

func (r *cellRunner) post(e cell.Event) { r.d.control.Post(func() { r.handle(e) }) }

// addClaim queues a claim of permits. Claims are collected for batchDelay, because a new controller claims permits for every
// model that prefers its cell.
func (r *cellRunner) addClaim(a cell.Claim) {
	r.pendingClaims[a.Model] = a
	if len(r.pendingClaims) == 1 {
		time.AfterFunc(batchDelay, func() { r.d.control.Post(r.appendClaims) })
	}
}

func (r *cellRunner) appendClaims() {
	var changes []fold.PermitChange
	for _, model := range slices.Sorted(maps.Keys(r.pendingClaims)) {
		a := r.pendingClaims[model]
		r.claimDistances[model] = a.Distance
		if r.exceedsLimit(model, a.Count) {
			r.requestPermit(model) // The record would be rejected, and every rejected claim costs an append.
			continue
		}
		changes = append(changes, fold.PermitChange{Cell: r.name, Lease: a.Fence, Model: model, Base: a.Base, Count: a.Count})
	}
	clear(r.pendingClaims)
	if len(changes) > 0 {
		r.appendPermits(changes)
	}
}

// exceedsLimit reports whether the count is an increase that, with the applied permits of the other cells, exceeds the model's
// limit.
func (r *cellRunner) exceedsLimit(model string, count int) bool {
	held := r.d.state.Permit(model, r.name).Count
	sum, limit := r.d.state.PermitSum(model)
	return count > held && sum-held+count > limit
}

// appendPermits appends one record. It is accepted or rejected as a whole, so the changes of a rejected batch are retried one
// by one. When all permits of a model are in use, another cell gets a request to release one.
func (r *cellRunner) appendPermits(changes []fold.PermitChange) {
	r.d.appender.add(fold.Record{Kind: fold.PermitKind, Permit: changes}, func(_ int64, err error) {
		switch {
		case err == nil || codes.Is(err, codes.AppendInDoubt) || codes.Is(err, codes.LogUnavailable):
		case len(changes) > 1:
			for _, c := range changes {
				r.appendPermits([]fold.PermitChange{c})
			}
		case changes[0].Count > r.d.state.Permit(changes[0].Model, r.name).Count:
			r.requestPermit(changes[0].Model)
		}
	})
}

// requestPermit sends the cell with the most permits of the model a request to release one.
func (r *cellRunner) requestPermit(model string) {
	largest := fold.Permits{}
	for _, p := range r.d.state.Permits(model) {
		if p.Cell != r.name && p.Count > largest.Count {
			largest = p
		}
	}
	if largest.Count > 0 {
		r.d.cells.sendToController(largest.Cell, cell.PermitAsked{
			Model: model, Count: largest.Count - 1, Distance: r.claimDistances[model],
		})
	}
}

func (r *cellRunner) publishDirectory(a cell.Publish) {
	r.directory.Header = r.d.header(r.d.ctx)
	r.directory.Fence, r.directory.Seq, r.directory.Replicas = a.Fence, a.Seq, a.Replicas
	r.d.applyDirectory(r.directory)
	r.d.sendToAllMembers("Directory", r.directory.ToWire(time.Now()))
}

func (r *cellRunner) sendForecast(a cell.Forecast) {
	if a.Host == r.d.settings.Host.Name {
		r.d.cells.handleForecast(r.name, a)
		return
	}
	for _, m := range r.d.state.Members() {
		if m.Host == a.Host {
			args := peers.ForecastArgs{Header: r.d.header(r.d.ctx), Cell: r.name, Forecast: a}
			r.d.sendToMember(m.Incarnation, "Forecast", args.ToWire(time.Now()))
		}
	}
}
