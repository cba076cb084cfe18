package cell

import (
	"slices"
	"strconv"
	"time"
)

// maxPast is the number of earlier incarnations of an upstream that are remembered.
const maxPast = 7

func (c *Controller) addUpstream(e UpstreamAdded) {
	i, ok := c.findUpstream(e.Upstream)
	if !ok {
		c.upstreams = slices.Insert(c.upstreams, i, &upstream{name: e.Upstream, capacity: e.CapacityBytes})
		if c.holds {
			c.emit(ReadStatus{Upstream: e.Upstream})
		}
	}
	u := c.upstreams[i]
	if u.gone {
		// The name is used again: whatever runs there now has not been fenced yet.
		u.gone, u.leaving, u.settled, u.fencedAt = false, false, false, time.Time{}
	}
	if u.leaving {
		c.stay(u)
	}
	if u.checksFence != e.ChecksFence {
		u.settled = false
	}
	u.slots, u.checksFence = e.Slots, e.ChecksFence
	c.replan = true
}

// raiseFences orders the present fence on upstreams that check it, so that orders of earlier holders are refused there.
func (c *Controller) raiseFences() {
	if !c.canOrder() {
		return
	}
	for _, u := range c.upstreams {
		if u.settled || u.gone || !u.checksFence || c.now.Sub(u.fencedAt) < c.set.QueryInterval {
			continue
		}
		u.fencedAt = c.now
		u.fenceOrder = c.newOrderID()
		c.emit(Order{OrderID: u.fenceOrder, Attempt: 1, Upstream: u.name, Fence: c.fence, Op: OpFence})
	}
}

// settle decides whether the status shows everything that earlier holders could do to the upstream.
func (c *Controller) settle(u *upstream, e UpstreamStatus) {
	if !c.holds || u.settled {
		return
	}
	released := len(c.priors) == 0 && !e.AskedAt.Before(c.clearedAt)
	if u.checksFence {
		u.settled = e.Status.HighestFence == c.fence && (released || c.fenced(e.AskedAt))
	} else {
		u.settled = released && e.Status.OrdersPending == 0
	}
	if u.settled {
		c.replan = true
	}
}

// fenced reports whether the fence holds off earlier holders for good, as of a status that was asked for at the given time.
// An earlier holder orders until its last confirmation has expired. Its orders name incarnations up to the one in the
// status; that one refuses them, and the others are dead.
func (c *Controller) fenced(asked time.Time) bool {
	return c.set.PinnedOrders && !asked.Before(c.gainedAt.Add(c.set.ConfirmAge))
}

// mayOrder reports whether the upstream may get orders; retiring replicas of a leaving upstream are still unloaded.
func (c *Controller) mayOrder(u *upstream) bool {
	return c.canOrder() && !u.gone && (u.settled || c.off.settle)
}

func (c *Controller) newOrderID() string {
	c.lastOrder++
	return c.set.Cell + "-" + strconv.FormatInt(c.fence, 10) + "-" + strconv.Itoa(c.lastOrder)
}

// leave takes the replicas of an upstream out of the directory; they are unloaded when their work has ended.
func (c *Controller) leave(u *upstream) {
	if u == nil {
		return
	}
	if !u.leaving {
		u.leaving = true
		c.stale, c.urgent, c.replan = true, true, true
	}
	for _, r := range u.replicas {
		if r.retire != departed {
			c.startRetire(r, departed)
		}
	}
}

// stay takes an upstream that was leaving back into service.
func (c *Controller) stay(u *upstream) {
	u.leaving = false
	for _, r := range u.replicas {
		if r.retire == departed {
			r.retire = keep
			c.ledgerChanged(r)
		}
	}
}

// removeUpstream frees what a gone upstream had loaded. An order that a sender still holds keeps its reservation until
// the sender has ended, because the name could be in use again by then.
func (c *Controller) removeUpstream(u *upstream) {
	if u == nil || u.gone {
		return
	}
	u.gone, u.settled, u.foreign, u.incarnation = true, true, 0, ""
	c.stale, c.urgent, c.replan = true, true, true
	for i := len(c.orders) - 1; i >= 0; i-- {
		if o := c.orders[i]; o.up == u && o.ended {
			c.close(o, OrderNeverSeen)
		}
	}
	for i := len(u.replicas) - 1; i >= 0; i-- {
		r := u.replicas[i]
		r.lost = true
		if r.load == nil && r.unload == nil {
			c.dropReplica(r)
		}
	}
	c.forgetUpstream(u)
}

// forgetUpstream deletes a gone upstream once nothing refers to it.
func (c *Controller) forgetUpstream(u *upstream) {
	if u.gone && len(u.replicas) == 0 {
		if i, ok := c.findUpstream(u.name); ok && c.upstreams[i] == u {
			c.upstreams = slices.Delete(c.upstreams, i, i+1)
		}
	}
}
