package cell

import (
	"slices"
	"time"
)

// minQueryInterval is the shortest time between two queries of a load that is about to end.
const minQueryInterval = 50 * time.Millisecond

// order is an order from its emission until its effect is known and no sender can deliver it any more.
type order struct {
	id        string
	op        Op
	up        *upstream
	rep       *replica
	adapter   *adapter
	fence     int64
	on        string // on is the incarnation of the upstream at the time of the order.
	attempts  int    // attempts numbers the sending and the queries.
	ended     bool
	endedAt   time.Time
	accepted  bool
	outcome   OrderState // outcome is OrderDone, OrderFailed or OrderNeverSeen once it is definite.
	definite  bool
	dueAt     time.Time // dueAt is the time of the next query.
	lastQuery int
	queriedAt time.Time
}

// inFlight reports whether the order could still reach the engine.
func (o *order) inFlight() bool { return !o.ended || !(o.accepted || o.definite) }

func (c *Controller) order(op Op, r *replica, a *adapter) *order {
	o := &order{
		id: c.newOrderID(), op: op, up: r.up, rep: r, adapter: a, fence: c.fence, on: r.up.incarnation, attempts: 1,
		dueAt: c.now.Add(c.set.OrderTimeout),
	}
	act := Order{
		OrderID: o.id, Attempt: 1, Upstream: r.up.name, Incarnation: r.up.incarnation, Fence: c.fence, Op: op,
		Model: r.model.name, Version: r.version,
	}
	switch op {
	case OpLoad:
		act.Bytes = r.bytes
	case OpLoadAdapter, OpUnloadAdapter:
		act.Adapter, act.Bytes = a.name, a.bytes
	}
	c.orders = append(c.orders, o)
	c.emit(act)
	return o
}

// chaseOrders queries the orders whose answer is due. Queries change nothing, so they need no lease.
func (c *Controller) chaseOrders() {
	for i := len(c.orders) - 1; i >= 0; i-- {
		o := c.orders[i]
		if c.now.Before(o.dueAt) {
			continue
		}
		if c.off.doubt && !o.definite && !o.accepted {
			c.close(o, OrderNeverSeen)
			c.forgetDoubt(o)
			continue
		}
		c.query(o)
	}
}

// forgetDoubt frees a reservation without evidence; only tests switch it on.
func (c *Controller) forgetDoubt(o *order) {
	if o.rep.phase == checking {
		c.dropReplica(o.rep)
	}
}

func (c *Controller) query(o *order) {
	o.dueAt = c.now.Add(c.queryDelay(o))
	if o.up.gone || o.definite {
		return
	}
	o.attempts++
	o.lastQuery, o.queriedAt = o.attempts, c.now
	c.emit(Query{OrderID: o.id, Attempt: o.attempts, Upstream: o.up.name})
}

// queryDelay approaches the predicted end of a load in ever shorter steps, so that a finished load is noticed at once.
func (c *Controller) queryDelay(o *order) time.Duration {
	d := c.set.QueryInterval
	if o.op == OpLoad && o.accepted {
		d = min(d, max(minQueryInterval, o.rep.endAt.Sub(c.now)/2))
	}
	return d
}

func (c *Controller) resolve(e OrderResult) {
	i := slices.IndexFunc(c.orders, func(o *order) bool { return o.id == e.OrderID })
	if i < 0 {
		c.resolveFence(e)
		return
	}
	o := c.orders[i]
	sent := e.Attempt == 1
	if sent && !o.ended {
		o.ended, o.endedAt = true, c.now
		o.dueAt = c.now.Add(c.queryDelay(o))
	}
	switch e.State {
	case OrderPending:
		o.accepted = true
		o.dueAt = c.now.Add(c.queryDelay(o))
	case OrderDone, OrderFailed:
		c.determine(o, e.State)
	case OrderRefusedStale:
		c.resolveStale(o, sent)
	case OrderNeverSeen:
		if !sent && c.provesNeverSeen(o, e.Attempt) {
			c.determine(o, OrderNeverSeen)
		}
	case OrderUnknown:
		if sent {
			o.dueAt = c.now
		}
	}
	switch {
	case o.definite && (o.ended || o.up.gone):
		c.close(o, o.outcome)
	case o.up.gone && o.ended:
		c.close(o, OrderNeverSeen)
	}
	c.reportReleased()
}

// provesNeverSeen reports whether the answer to a query shows that the order has no effect and cannot get one: the sender
// had ended some time before the query, so that nothing it sent is still on its way to the engine.
func (c *Controller) provesNeverSeen(o *order, attempt int) bool {
	return (o.ended || c.off.sender) && (attempt == o.lastQuery || c.off.fresh) &&
		(!o.queriedAt.Before(o.endedAt.Add(c.set.DoubtDelay)) || c.off.wait)
}

// resolveStale handles a refusal by fence. The refusal of one delivery does not show that an earlier delivery of the same
// order was refused too, so only the answer to a query decides.
func (c *Controller) resolveStale(o *order, sent bool) {
	if c.holds && o.fence == c.fence {
		c.confirmedAt = time.Time{} // A higher fence exists: the lease has probably been taken over.
	}
	if !sent && o.ended || c.off.stale {
		c.determine(o, OrderNeverSeen)
		return
	}
	o.dueAt = c.now
}

func (c *Controller) resolveFence(e OrderResult) {
	if e.State != OrderDone {
		return
	}
	for _, u := range c.upstreams {
		if u.fenceOrder == e.OrderID && !u.settled {
			c.emit(ReadStatus{Upstream: u.name})
		}
	}
}

// determine records what became of an order. The effect of a finished load is used at once, even while the sender may
// still repeat the order.
func (c *Controller) determine(o *order, s OrderState) {
	if o.definite {
		return
	}
	o.definite, o.outcome = true, s
	if s == OrderDone && o.op == OpLoad {
		c.loadDone(o.rep)
	}
}

func (c *Controller) loadDone(r *replica) {
	if r.load != nil {
		r.load.definite, r.load.outcome = true, OrderDone
	}
	if r.phase != loading {
		return
	}
	r.phase, r.ready, r.lost, r.readyAt = loaded, true, false, c.now
	c.finishLoad(r)
	c.urgent = true
	c.ledgerChanged(r)
}

// close removes an order that is settled for good, and applies its effect to the ledger.
func (c *Controller) close(o *order, s OrderState) {
	c.orders = slices.DeleteFunc(c.orders, func(x *order) bool { return x == o })
	r := o.rep
	r.closedAt = c.now
	switch o.op {
	case OpLoad:
		r.load = nil
		c.closeLoad(r, s)
	case OpUnload:
		r.unload = nil
		switch {
		case s == OrderDone:
			r.phase = checking
			r.up.changedAt = c.now
			c.emit(ReadStatus{Upstream: r.up.name})
		case r.phase == unloading:
			r.phase, r.retryAt = loaded, c.now.Add(c.set.FailureDelay)
			c.emit(ReadStatus{Upstream: r.up.name})
		}
		if r.load == nil && s == OrderDone && c.alone(o) {
			c.dropReplica(r)
		}
	case OpLoadAdapter, OpUnloadAdapter:
		c.closeAdapter(o, s)
	}
	if r.up.gone && r.load == nil && r.unload == nil {
		c.dropReplica(r)
		c.forgetUpstream(r.up)
	}
	c.ledgerChanged(r)
}

// alone reports whether nobody else can have changed the upstream since the order: otherwise another holder may have
// loaded the model again after the unload, and only a status shows what is loaded now.
func (c *Controller) alone(o *order) bool {
	return c.holds && o.fence == c.fence && o.up.settled && o.up.incarnation == o.on
}

// closeLoad frees nothing by itself: a load without effect is freed by a status that was read after the end of its order.
func (c *Controller) closeLoad(r *replica, s OrderState) {
	if s != OrderDone && r.phase == loading {
		r.phase = checking
		c.finishLoad(r)
		r.up.cooling = append(r.up.cooling, cooldown{model: r.model, until: c.now.Add(c.set.FailureDelay)})
	}
	if r.phase == checking && !r.up.gone {
		c.emit(ReadStatus{Upstream: r.up.name})
	}
}
