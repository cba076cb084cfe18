package cell

import (
	"slices"
	"strconv"
	"time"
)

// maxReplacedIncarnations is the number of replaced incarnations remembered for each upstream, not counting the latest.
const maxReplacedIncarnations = 7

func (c *Controller) addUpstream(e UpstreamAdded) {
	i, ok := c.findUpstream(e.Upstream)
	if !ok {
		c.upstreams = slices.Insert(c.upstreams, i, &upstream{name: e.Upstream, capacity: e.CapacityBytes})
		if c.holdsLease {
			c.emit(ReadStatus{Upstream: e.Upstream})
		}
	}
	u := c.upstreams[i]
	if u.gone {
		// The name is in use again; the process that now runs under it has not been fenced yet.
		u.gone, u.leaving, u.quiesced, u.fencedAt = false, false, false, time.Time{}
	}
	if u.leaving {
		c.cancelLeaving(u)
	}
	if u.checksFence != e.ChecksFence {
		u.quiesced = false
	}
	u.slots, u.checksFence = e.Slots, e.ChecksFence
	c.replan = true
}

// raiseFences sends the current fence to upstreams that check it, so that they refuse orders of earlier holders.
func (c *Controller) raiseFences() {
	if !c.canOrder() {
		return
	}
	for _, u := range c.upstreams {
		if u.quiesced || u.gone || !u.checksFence || c.now.Sub(u.fencedAt) < c.settings.QueryInterval {
			continue
		}
		u.fencedAt = c.now
		u.fenceOrder = c.newOrderID()
		c.emit(Order{OrderID: u.fenceOrder, Attempt: 1, Upstream: u.name, Fence: c.fence, Op: OpFence})
	}
}

// updateQuiesced marks the upstream as quiesced if the status shows every effect that orders of earlier holders can
// have on it.
func (c *Controller) updateQuiesced(u *upstream, e UpstreamStatus) {
	if !c.holdsLease || u.quiesced {
		return
	}
	released := len(c.earlierTerms) == 0 && !e.AskedAt.Before(c.earlierReleasedAt)
	if u.checksFence {
		u.quiesced = e.Status.HighestFence == c.fence && (released || c.fenceSuffices(e.AskedAt))
	} else {
		u.quiesced = released && e.Status.OrdersPending == 0
	}
	if u.quiesced {
		c.replan = true
	}
}

// fenceSuffices reports whether the fence excludes earlier holders for good, as of a status that was requested at the
// given time. An earlier holder sends orders until its last confirmation expires. Its orders name incarnations up to
// the one in the status; that one refuses them, and the others no longer run.
func (c *Controller) fenceSuffices(askedAt time.Time) bool {
	return c.settings.PinnedOrders && !askedAt.Before(c.gainedAt.Add(c.settings.ConfirmAge))
}

// mayOrder reports whether orders may be sent to the upstream. A leaving upstream still gets the orders that
// unload its retired replicas.
func (c *Controller) mayOrder(u *upstream) bool {
	return c.canOrder() && !u.gone && (u.quiesced || c.disabled.quiescence)
}

func (c *Controller) newOrderID() string {
	c.lastOrder++
	return c.settings.Cell + "-" + strconv.FormatInt(c.fence, 10) + "-" + strconv.Itoa(c.lastOrder)
}

// beginLeaving removes the replicas of an upstream from the directory; they are unloaded when their work has ended.
func (c *Controller) beginLeaving(u *upstream) {
	if u == nil {
		return
	}
	if !u.leaving {
		u.leaving = true
		c.directoryStale, c.publishNow, c.replan = true, true, true
	}
	for _, r := range u.replicas {
		if r.retireReason != upstreamLeaving {
			c.startRetire(r, upstreamLeaving)
		}
	}
}

// cancelLeaving returns a leaving upstream to service.
func (c *Controller) cancelLeaving(u *upstream) {
	u.leaving = false
	for _, r := range u.replicas {
		if r.retireReason == upstreamLeaving {
			r.retireReason = notRetired
			c.ledgerChanged(r)
		}
	}
}

// removeUpstream frees what a gone upstream had loaded. An order that a sender still holds keeps its reservation until
// the sender has finished, because the name could be in use again by then.
func (c *Controller) removeUpstream(u *upstream) {
	if u == nil || u.gone {
		return
	}
	u.gone, u.quiesced, u.unlistedBytes, u.incarnation = true, true, 0, ""
	c.directoryStale, c.publishNow, c.replan = true, true, true
	for i := len(c.orders) - 1; i >= 0; i-- {
		if o := c.orders[i]; o.upstream == u && o.senderFinished {
			c.closeOrder(o, OrderNeverSeen)
		}
	}
	for i := len(u.replicas) - 1; i >= 0; i-- {
		r := u.replicas[i]
		r.lost = true
		if r.loadOrder == nil && r.unloadOrder == nil {
			c.dropReplica(r)
		}
	}
	c.deleteIfGone(u)
}

// deleteIfGone deletes a gone upstream once nothing refers to it.
func (c *Controller) deleteIfGone(u *upstream) {
	if u.gone && len(u.replicas) == 0 {
		if i, ok := c.findUpstream(u.name); ok && c.upstreams[i] == u {
			c.upstreams = slices.Delete(c.upstreams, i, i+1)
		}
	}
}
