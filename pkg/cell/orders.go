package cell

import (
	"slices"
	"time"
)

// minQueryInterval is the shortest interval between two queries of a load that is about to finish.
const minQueryInterval = 50 * time.Millisecond

// order tracks an order from its emission until its effect is known and no sender can deliver it any more.
type order struct {
	id               string
	op               Op
	upstream         *upstream
	replica          *replica
	adapter          *adapter
	fence            int64
	incarnation      string // incarnation of the upstream when the order was made
	attempts         int    // number of the last attempt; counts the Order and its queries
	senderFinished   bool   // set when no sender will deliver the order again
	senderFinishedAt time.Time
	accepted         bool
	outcome          OrderState // OrderDone, OrderFailed or OrderNeverSeen; valid if outcomeKnown
	outcomeKnown     bool
	nextQueryAt      time.Time
	lastQuery        int
	queriedAt        time.Time
}

// inFlight reports whether the order could still reach the engine.
func (o *order) inFlight() bool { return !o.senderFinished || !(o.accepted || o.outcomeKnown) }

func (c *Controller) order(op Op, r *replica, a *adapter) *order {
	o := &order{
		id: c.newOrderID(), op: op, upstream: r.upstream, replica: r, adapter: a, fence: c.fence,
		incarnation: r.upstream.incarnation, attempts: 1, nextQueryAt: c.now.Add(c.settings.OrderTimeout),
	}
	action := Order{
		OrderID: o.id, Attempt: 1, Upstream: r.upstream.name, Incarnation: r.upstream.incarnation, Fence: c.fence, Op: op,
		Model: r.model.name, Version: r.version,
	}
	switch op {
	case OpLoad:
		action.Bytes = r.bytes
	case OpLoadAdapter, OpUnloadAdapter:
		action.Adapter, action.Bytes = a.name, a.bytes
	}
	c.orders = append(c.orders, o)
	c.emit(action)
	return o
}

// queryOverdueOrders queries the orders whose answer is due. Queries change nothing, so they do not need the lease.
func (c *Controller) queryOverdueOrders() {
	for i := len(c.orders) - 1; i >= 0; i-- {
		o := c.orders[i]
		if c.now.Before(o.nextQueryAt) {
			continue
		}
		if c.disabled.inDoubt && !o.outcomeKnown && !o.accepted {
			c.closeOrder(o, OrderNeverSeen)
			c.freeInDoubt(o)
			continue
		}
		c.query(o)
	}
}

// freeInDoubt frees a reservation without evidence; only tests enable it.
func (c *Controller) freeInDoubt(o *order) {
	if o.replica.phase == verifying {
		c.dropReplica(o.replica)
	}
}

func (c *Controller) query(o *order) {
	o.nextQueryAt = c.now.Add(c.queryDelay(o))
	if o.upstream.gone || o.outcomeKnown {
		return
	}
	o.attempts++
	o.lastQuery, o.queriedAt = o.attempts, c.now
	c.emit(Query{OrderID: o.id, Attempt: o.attempts, Upstream: o.upstream.name})
}

// queryDelay approaches the predicted end of a load in ever shorter steps, so that a finished load is noticed at once.
func (c *Controller) queryDelay(o *order) time.Duration {
	d := c.settings.QueryInterval
	if o.op == OpLoad && o.accepted {
		d = min(d, max(minQueryInterval, o.replica.predictedEndAt.Sub(c.now)/2))
	}
	return d
}

func (c *Controller) applyResult(e OrderResult) {
	i := slices.IndexFunc(c.orders, func(o *order) bool { return o.id == e.OrderID })
	if i < 0 {
		c.applyFenceResult(e)
		return
	}
	o := c.orders[i]
	fromSender := e.Attempt == 1
	if fromSender && !o.senderFinished {
		o.senderFinished, o.senderFinishedAt = true, c.now
		o.nextQueryAt = c.now.Add(c.queryDelay(o))
	}
	switch e.State {
	case OrderPending:
		o.accepted = true
		o.nextQueryAt = c.now.Add(c.queryDelay(o))
	case OrderDone, OrderFailed:
		c.setOutcome(o, e.State)
	case OrderRefusedStale:
		c.applyStaleRefusal(o, fromSender)
	case OrderNeverSeen:
		if !fromSender && c.provesNeverSeen(o, e.Attempt) {
			c.setOutcome(o, OrderNeverSeen)
		}
	case OrderUnknown:
		if fromSender {
			o.nextQueryAt = c.now
		}
	}
	switch {
	case o.outcomeKnown && (o.senderFinished || o.upstream.gone):
		c.closeOrder(o, o.outcome)
	case o.upstream.gone && o.senderFinished:
		c.closeOrder(o, OrderNeverSeen)
	}
	c.reportReleased()
}

// provesNeverSeen reports whether the answer to a query shows that the order has no effect and cannot get one. The
// sender must have finished some time before the query, so that nothing it sent is still on its way to the engine.
func (c *Controller) provesNeverSeen(o *order, attempt int) bool {
	return (o.senderFinished || c.disabled.senderFinished) && (attempt == o.lastQuery || c.disabled.latestQuery) &&
		(!o.queriedAt.Before(o.senderFinishedAt.Add(c.settings.DoubtDelay)) || c.disabled.doubtDelay)
}

// applyStaleRefusal handles a refusal because of a stale fence. The refusal of one delivery does not show that an
// earlier delivery of the same order was refused too, so only the answer to a query is conclusive.
func (c *Controller) applyStaleRefusal(o *order, fromSender bool) {
	if c.holdsLease && o.fence == c.fence {
		c.confirmedAt = time.Time{} // A higher fence exists, so another daemon probably holds the lease.
	}
	if !fromSender && o.senderFinished || c.disabled.staleRefusal {
		c.setOutcome(o, OrderNeverSeen)
		return
	}
	o.nextQueryAt = c.now
}

func (c *Controller) applyFenceResult(e OrderResult) {
	if e.State != OrderDone {
		return
	}
	for _, u := range c.upstreams {
		if u.fenceOrder == e.OrderID && !u.quiesced {
			c.emit(ReadStatus{Upstream: u.name})
		}
	}
}

// setOutcome records the definite outcome of an order. The effect of a finished load is used at once, even while the
// sender may still repeat the order.
func (c *Controller) setOutcome(o *order, s OrderState) {
	if o.outcomeKnown {
		return
	}
	o.outcomeKnown, o.outcome = true, s
	if s == OrderDone && o.op == OpLoad {
		c.markLoaded(o.replica)
	}
}

func (c *Controller) markLoaded(r *replica) {
	if r.loadOrder != nil {
		r.loadOrder.outcomeKnown, r.loadOrder.outcome = true, OrderDone
	}
	if r.phase != loading {
		return
	}
	r.phase, r.ready, r.lost, r.loadedAt = loaded, true, false, c.now
	c.recordLoadEnd(r)
	c.publishNow = true
	c.ledgerChanged(r)
}

// closeOrder removes an order whose outcome is final, and applies its effect to the ledger.
func (c *Controller) closeOrder(o *order, s OrderState) {
	c.orders = slices.DeleteFunc(c.orders, func(x *order) bool { return x == o })
	r := o.replica
	r.orderClosedAt = c.now
	switch o.op {
	case OpLoad:
		r.loadOrder = nil
		c.closeLoad(r, s)
	case OpUnload:
		r.unloadOrder = nil
		switch {
		case s == OrderDone:
			r.phase = verifying
			r.upstream.unloadedAt = c.now
			c.emit(ReadStatus{Upstream: r.upstream.name})
		case r.phase == unloading:
			r.phase, r.retryAt = loaded, c.now.Add(c.settings.FailureDelay)
			c.emit(ReadStatus{Upstream: r.upstream.name})
		}
		if r.loadOrder == nil && s == OrderDone && c.soleWriter(o) {
			c.dropReplica(r)
		}
	case OpLoadAdapter, OpUnloadAdapter:
		c.closeAdapter(o, s)
	}
	if r.upstream.gone && r.loadOrder == nil && r.unloadOrder == nil {
		c.dropReplica(r)
		c.deleteIfGone(r.upstream)
	}
	c.ledgerChanged(r)
}

// soleWriter reports whether no other controller can have changed the upstream since the order. Otherwise another
// holder may have loaded the model again after the unload, and only a status shows what is loaded now.
func (c *Controller) soleWriter(o *order) bool {
	return c.holdsLease && o.fence == c.fence && o.upstream.quiesced && o.upstream.incarnation == o.incarnation
}

// closeLoad frees nothing by itself: the memory of a load without effect is freed by a status that was requested after
// its order ended.
func (c *Controller) closeLoad(r *replica, s OrderState) {
	if s != OrderDone && r.phase == loading {
		r.phase = verifying
		c.recordLoadEnd(r)
		r.upstream.cooldowns = append(r.upstream.cooldowns, cooldown{model: r.model, until: c.now.Add(c.settings.FailureDelay)})
	}
	if r.phase == verifying && !r.upstream.gone {
		c.emit(ReadStatus{Upstream: r.upstream.name})
	}
}
