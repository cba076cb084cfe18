package node

import (
	"cmp"
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/fireflycleat/fireflycleat/internal/peers"
	"github.com/fireflycleat/fireflycleat/pkg/codes"
	"github.com/fireflycleat/fireflycleat/pkg/fleet"
	"github.com/fireflycleat/fireflycleat/pkg/lease"
	"github.com/fireflycleat/fireflycleat/pkg/pick"
	"github.com/fireflycleat/fireflycleat/pkg/place"
)

const (
	// minPlanDelay is how long events are collected before the controller plans; it is short compared with a load.
	minPlanDelay = 4 * time.Millisecond
	// maxPlanDelay limits how long a plan is delayed on a host on which plans take long.
	maxPlanDelay = 200 * time.Millisecond
	// planCostFactor is the ratio of the delay before a plan to the duration of the last plan. It leaves most of the control thread's
	// time to heartbeats, the lease and requests.
	planCostFactor = 4
	// minForecastWait is the shortest time after which a pending request gets a new forecast, unless its model becomes ready.
	minForecastWait = 50 * time.Millisecond
	// orderTimeout is long compared with the few milliseconds that an answer takes; an order without an answer may be repeated
	// at once.
	orderTimeout  = 300 * time.Millisecond
	reportTimeout = 800 * time.Millisecond
	// wantPollWait is how long the controller holds a request for an upstream before the host has to repeat it.
	wantPollWait = 800 * time.Millisecond
	wantTimeout  = wantPollWait + 500*time.Millisecond
	// maxTermCheckAge limits the time from the check of the lease to the moment at which an order is sent; usually it is microseconds.
	maxTermCheckAge = 100 * time.Millisecond
)

type (
	// WantArgs requests from the controller an upstream that serves a model. Times are relative, because the clocks of hosts differ.
	WantArgs struct {
		Want    place.PendingRequest
		Left    time.Duration // time until the request must have an upstream
		Hold    time.Duration // how long the pending request is valid without being repeated
		Missing string        // ID of an upstream that reported that it doesn't hold the model or adapter
	}

	// PlacementUpdate reports that an upstream now holds a model or no longer holds it.
	PlacementUpdate struct {
		Upstream string
		Key      place.Key
		Holds    bool
		Hops     int        // 0 at the controller, 1 at a hub, 2 at a host that depends on a hub
		Stamp    pick.Stamp // orders the updates of all controllers, because calls may arrive out of order
	}

	// WantReply is the answer to WantArgs.
	WantReply struct {
		Upstream string        // empty if no upstream holds the model yet
		Known    bool          // whether ReadyIn is a prediction
		ReadyIn  time.Duration // predicted time until the model is ready
	}
)

var errNotController = errors.New("host does not hold the lease")

// now returns the time of the boot clock, by which the lease is timed. If the machine was suspended or the process was stopped
// since the last call, it invalidates the lease, because another host may hold the lease by now.
func (n *Node) now() time.Time {
	now, suspended := n.clock.now()
	if suspended {
		n.log("lease").Warn("machine was suspended or process was stopped, lease is in doubt", "event", eventSuspended)
		n.lease.Invalidate()
	}
	return now
}

// stepLease makes the next call to read or renew the lease, if one is due.
func (n *Node) stepLease() {
	now := n.now()
	_, held := n.lease.Held(now)
	if _, stopping := n.stop.state(); stopping {
		n.callLease(n.lease.Release(now))
	} else if held || n.mayTakeLease() {
		n.callLease(n.lease.Step(now))
		wait := n.lease.Waiting(now)
		if wait > 0 && !n.leaseWaiting {
			n.log("lease").Info("lease is free, but earlier orders of this host are too recent", "event", eventLeaseWaiting, "waitMS", wait.Milliseconds())
		}
		n.leaseWaiting = wait > 0
	}
	n.updateTerm()
}

// mayTakeLease reports whether this host may take over the lease: only hubs do, because they have the most processor time. A host that
// started in an outage of the store knows no hubs before it has read the members.
func (n *Node) mayTakeLease() bool { return n.direct.Load() && n.parent == "" && n.hasMembers }

// updateTerm starts or ends the term of this host as the controller.
func (n *Node) updateTerm() {
	now := n.now()
	fence, held := n.lease.Held(now)
	switch {
	case held && fence != n.term:
		n.term = fence
		n.updatePlacing(time.Now())
		n.placing.BeginTerm(time.Now())
		n.log("lease").Info("lease taken", "event", eventLease, "fence", fence)
		n.plan()
	case !held && n.term != 0:
		n.log("lease").Info("lease lost or released", "event", eventLeaseLost, "fence", n.term, "holder", n.lease.Holder())
		n.term = 0
	}
}

func (n *Node) callLease(a lease.Action) {
	switch a.Kind {
	case lease.Read:
		n.background(func(ctx context.Context) {
			ctx, cancel := context.WithTimeout(ctx, storeTimeout)
			defer cancel()
			newest, err := n.platform.Lease(ctx)
			n.control.Post(func() {
				now := n.now()
				if err != nil {
					n.lease.Failed(now)
				} else {
					n.logOlderLease(newest)
					n.lease.ReadDone(now, newest)
				}
				n.recordDependency("lease", err)
			})
		})
	case lease.Append:
		n.background(func(ctx context.Context) {
			ctx, cancel := context.WithTimeout(ctx, storeTimeout)
			defer cancel()
			offset, ok, err := n.platform.AppendLease(ctx, a)
			n.control.Post(func() {
				now := n.now()
				switch {
				case err != nil:
					n.lease.Failed(now)
				case ok:
					n.lease.Appended(now, a, offset)
				default:
					n.log("lease").Info("lease record refused, log ends elsewhere", "event", eventLeaseAppend, "era", a.Era, "expectedEnd", a.ExpectedEnd, "fence", a.Record.Fence)
					n.lease.Refused()
				}
				n.recordDependency("lease", err)
				n.updateTerm()
			})
		})
	case lease.Nothing:
	}
}

// logOlderLease logs a lease record from the store that is older than the newest known one.
func (n *Node) logOlderLease(newest lease.Newest) {
	if known, _, _ := n.lease.Newest(n.now()); newest.Era < known.Era || newest.Era == known.Era && newest.End < known.End {
		n.log("lease").Info("lease record is older than the known one", "event", eventLeaseOlder, "holder", newest.Record.Holder,
			"era", newest.Era, "end", newest.End, "knownHolder", known.Record.Holder, "knownEra", known.Era, "knownEnd", known.End)
	}
}

// schedulePlan schedules one plan for all events of the next few milliseconds.
func (n *Node) schedulePlan() {
	if n.term == 0 || n.planScheduled {
		return
	}
	n.planScheduled = true
	time.AfterFunc(min(max(minPlanDelay, planCostFactor*n.planTime), maxPlanDelay), func() { n.control.Post(n.plan) })
}

// plan carries out the decisions of the controller, if this host holds the lease.
func (n *Node) plan() {
	n.planScheduled = false
	bootNow, now := n.now(), time.Now()
	if _, held := n.lease.Held(bootNow); !held || n.term == 0 {
		return
	}
	if !n.lease.MayOrder(bootNow) {
		n.alarm.Set(now.Add(tickInterval)) // The next renewal may be answered by then.
		return
	}
	defer func() { n.planTime = time.Since(now) }()
	current := n.upstreams
	for _, r := range n.placing.TakeReady() {
		n.log("place").Info("model loaded", "event", eventLoaded, "upstream", r.Upstream, "model", r.Key.Model, "store", r.Store,
			"tookMS", r.Took.Milliseconds(), "expectedMS", r.Expected.Milliseconds())
		n.announcePlacement(r.Upstream, r.Key, true)
	}
	for _, a := range n.placing.Plan(now) {
		switch {
		case a.Order != nil:
			n.sendOrder(*a.Order, current[a.Order.Upstream].Address)
		case a.Report != "":
			n.requestReport(current[a.Report])
		}
	}
	n.alarm.Set(n.placing.Next(now))
	for _, m := range n.placing.TakeChanged() {
		if w := n.waiting[m]; w != nil {
			close(w)
			delete(n.waiting, m)
		}
	}
}

// awaitChange returns a channel that is closed when the model may have become ready.
func (n *Node) awaitChange(model string) chan struct{} {
	w, ok := n.waiting[model]
	if !ok {
		w = make(chan struct{})
		n.waiting[model] = w
	}
	return w
}

// announcePlacement notifies all hosts that an upstream now holds a model or no longer holds it.
func (n *Node) announcePlacement(upstream string, k place.Key, holds bool) {
	n.updateCount++
	n.applyPlacement(PlacementUpdate{Upstream: upstream, Key: k, Holds: holds, Stamp: pick.Stamp{Fence: n.term, Number: n.updateCount}})
}

// applyPlacement applies a placement update and forwards it to other hosts, so that they need not wait for the list.
func (n *Node) applyPlacement(p PlacementUpdate) {
	now := time.Now()
	n.table.Update(now, p.Upstream, p.Key, p.Holds, p.Stamp)
	hubs, children := n.recipients(now, p.Hops)
	p.Hops = 1
	n.sendPlacement(hubs, p)
	p.Hops = 2
	n.sendPlacement(children, p)
}

// recipients returns the hubs and the dependent hosts to which this one forwards an update. The number of hops is limited because,
// for up to livenessTimeout, two hosts may count as dependent on each other and would send each other the same update endlessly.
func (n *Node) recipients(now time.Time, hops int) (hubs, children []Member) {
	for name, m := range n.members {
		switch {
		case !m.alive(now):
		case hops == 0 && n.hubs[name]:
			hubs = append(hubs, m.Member)
		case hops <= 1 && now.Sub(m.lastQuery) < livenessTimeout:
			children = append(children, m.Member)
		}
	}
	return hubs, children
}

func (n *Node) sendPlacement(to []Member, p PlacementUpdate) {
	for _, m := range to {
		n.background(func(ctx context.Context) {
			// A host that misses the update gets the change with the list.
			if err := n.peerClient.CallWithin(ctx, heartbeatTimeout, m.Peers, peers.ServiceName+".Placed", &p, &struct{}{}); err != nil {
				n.log("place").Debug("placement update not delivered", "peers", m.Peers, "err", err)
			}
		})
	}
}

// Placed handles a placement update from another host. It always returns nil.
func (s *peerService) Placed(p *PlacementUpdate, _ *struct{}) error {
	s.node.control.Post(func() { s.node.applyPlacement(*p) })
	return nil
}

func (n *Node) sendOrder(o place.Order, address string) {
	fence := n.term
	if o.Op == place.Unload && o.Key.Adapter == "" {
		n.announcePlacement(o.Upstream, o.Key, false)
	}
	n.background(func(ctx context.Context) {
		ctx, cancel := context.WithTimeout(ctx, orderTimeout)
		defer cancel()
		start, sent := time.Now(), false
		answer, signs := n.platform.Order(ctx, address, o, n.self.Name, fence, func() bool { return n.beginOrder(fence, &sent) })
		n.control.Post(func() {
			if sent {
				n.lease.EndOrder(n.now(), answer != place.NoAnswer)
			}
			if _, stopping := n.stop.state(); stopping {
				n.stepLease()
			}
			n.applySigns(time.Now(), pick.Process{Upstream: o.Upstream, Born: o.Born}, signs)
			n.log("place").Info("order answered", "event", eventOrder, "upstream", o.Upstream, "op", o.Op.String(), "model", o.Key.Model,
				"adapter", o.Key.Adapter, "expect", o.Expect, "fence", fence, "answer", answer.String(), "tookMS", time.Since(start).Milliseconds())
			n.placing.ApplyAnswer(time.Now(), o, answer)
			if answer == place.Fenced {
				n.log("lease").Warn("upstream has seen a higher fence", "event", eventFenceRefused, "upstream", o.Upstream, "fence", fence)
				n.lease.FenceRefused(n.now(), fence)
				n.updateTerm()
			}
			n.schedulePlan()
		})
	})
}

// beginOrder reports whether this host still holds the lease with the fence, and sets sent if the order is recorded as sent. It is called just
// before the first byte: engines that ignore fences would carry out an order of a holder that was paused since its decision.
func (n *Node) beginOrder(fence int64, sent *bool) bool {
	holds, checkedAt := false, time.Time{}
	n.control.Ask(func() {
		now := n.now()
		holds, checkedAt = n.lease.MayOrder(now) && n.lease.Fence() == fence, n.bootNow()
		if holds && !*sent {
			n.lease.BeginOrder()
			*sent = true
		}
	})
	// The process may have been paused since the check, so that another host holds the lease by now.
	return holds && n.bootNow().Sub(checkedAt) < maxTermCheckAge
}

func (n *Node) requestReport(u fleet.Upstream) {
	n.background(func(ctx context.Context) {
		ctx, cancel := context.WithTimeout(ctx, reportTimeout)
		defer cancel()
		start := time.Now()
		r, signs, err := n.platform.Report(ctx, u.Address, u.ID)
		n.control.Post(func() {
			now := time.Now()
			n.applySigns(now, pick.Process{Upstream: u.ID, Born: cmp.Or(r.Born, u.Born)}, signs)
			if err != nil {
				n.log("place").Info("upstream did not report its state", "event", eventReport, "upstream", u.ID, "err", err)
				n.placing.RecordReportFailure(now, u.ID)
			} else {
				n.placing.Report(now, start, u.ID, r)
			}
			n.schedulePlan()
		})
	})
}

// requestUpstream requests an upstream from the controller. It returns an error if no controller is known or reachable.
func (n *Node) requestUpstream(ctx context.Context, a WantArgs) (WantReply, error) {
	var holder Member
	local := false
	n.control.Ask(func() {
		bootNow := n.now()
		_, local = n.lease.Held(bootNow)
		if m, ok := n.members[n.lease.Holder()]; ok {
			holder = m.Member
		}
	})
	if local {
		var reply WantReply
		err := n.answerWant(ctx, a, &reply)
		return reply, err
	}
	if holder.Peers == "" {
		return WantReply{}, errNotController
	}
	reply := new(WantReply)
	if err := n.peerClient.CallWithin(ctx, wantTimeout, holder.Peers, peers.ServiceName+".Want", &a, reply); err != nil {
		return WantReply{}, err
	}
	return *reply, nil
}

// Want handles the request of another host for an upstream.
func (s *peerService) Want(a *WantArgs, reply *WantReply) error {
	ctx, cancel := context.WithTimeout(s.node.baseCtx, wantPollWait)
	defer cancel()
	return s.node.answerWant(ctx, *a, reply)
}

// answerWant waits for an upstream that holds the model, up to wantPollWait or until the request must have one. It fails if this host is not the
// controller.
func (n *Node) answerWant(ctx context.Context, a WantArgs, reply *WantReply) error {
	until := time.Now().Add(min(wantPollWait, max(a.Left, minForecastWait)))
	deadline := time.Now().Add(a.Left)
	for first := true; ; first = false {
		var f place.Forecast
		var changed chan struct{}
		held := false
		if !n.control.Ask(func() {
			held = n.term != 0
			now := time.Now()
			if first && a.Missing != "" {
				n.placing.RecordRefusal(now, a.Missing, a.Want.Key)
			}
			w := a.Want
			w.Deadline = deadline
			f = n.placing.AddRequest(now, w, a.Hold)
			if f.Upstream == "" && first {
				n.schedulePlan()
			}
			changed = n.awaitChange(w.Key.Model)
		}) {
			return context.Canceled
		}
		if !held {
			return codes.New(codes.StaleLease, errNotController.Error())
		}
		now := time.Now()
		*reply = WantReply{Upstream: f.Upstream, Known: !f.ReadyAt.IsZero(), ReadyIn: max(f.ReadyAt.Sub(now), 0)}
		// A request that can't be served in time is refused at once, also if the forecast changes while it waits.
		if f.Upstream != "" || a.Hold > 0 || !now.Before(until) || reply.Known && now.Add(reply.ReadyIn).After(deadline) {
			return nil
		}
		t := time.NewTimer(min(time.Until(until), max(min(time.Until(f.ReadyAt), time.Until(deadline)), minForecastWait)))
		select {
		case <-changed:
		case <-t.C:
		case <-ctx.Done():
			t.Stop()
			return nil
		}
		t.Stop()
	}
}
