package node

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/fireflycleat/fireflycleat/internal/peers"
	"github.com/fireflycleat/fireflycleat/internal/relay"
	"github.com/fireflycleat/fireflycleat/pkg/codes"
	"github.com/fireflycleat/fireflycleat/pkg/pace"
	"github.com/fireflycleat/fireflycleat/pkg/pick"
)

const (
	// permitTimeout limits the call for credit, and forwardTimeout that of a hub to the owner. noOwnerWait is the time after a failed call
	// without further ones.
	permitTimeout  = 200 * time.Millisecond
	forwardTimeout = 100 * time.Millisecond
	noOwnerWait    = 300 * time.Millisecond
)

// errCreditDue tells that there may be credit for a request that waits for its model elsewhere.
var errCreditDue = errors.New("credit of a limited upstream is due")

type (
	// PermitArgs asks a hub for the credit of one request to an upstream that has a limit.
	PermitArgs struct {
		Upstream  string
		Born      int64
		Limits    []pick.LimitSign // what the asking host knows about the limit
		Forwarded bool             // whether a hub passes on the request of another host
	}

	// PermitReply is the answer to PermitArgs.
	PermitReply struct {
		Wait   time.Duration    // until the host may ask again; zero if it has got the credit
		Limits []pick.LimitSign // what the answering host knows about the limit
	}
)

// takeCredit takes the credit of an attempt if its upstream has a limit, and reports whether the attempt may be made.
func (n *Node) takeCredit(ctx context.Context, t relay.Ticket) bool {
	if !t.Attempt.Limited() {
		return true
	}
	p := pick.Process{Upstream: t.Choice.Upstream, Born: t.Choice.Born}
	args := PermitArgs{Upstream: p.Upstream, Born: p.Born}
	n.control.Ask(func() { args.Limits = n.table.ExportLimit(time.Now(), p) })
	from, reply := n.requestCredit(ctx, args, permitTimeout)
	wait := reply.Wait
	if wait == 0 {
		t.Attempt.SetCredit()
		return true
	}
	n.metrics.Attempt("noCredit")
	n.control.Ask(func() {
		now := time.Now()
		n.mergeLimits(now, from, reply.Limits)
		n.table.DenyCredit(now, p, wait)
		n.table.DropAttempt(t.Attempt)
	})
	return false
}

// requestCredit takes the credit of one request, from the bucket of this host if it owns the limit, or else from the host that knows more about the
// owner. It also returns the name of the host that was asked.
func (n *Node) requestCredit(ctx context.Context, a PermitArgs, timeout time.Duration) (string, PermitReply) {
	var next Member
	reply := PermitReply{Wait: noOwnerWait}
	n.control.Ask(func() {
		now := time.Now()
		if next = n.limitOwner(a.Upstream); next.Name == n.self.Name {
			reply.Wait = n.giveCredit(now, pick.Process{Upstream: a.Upstream, Born: a.Born})
		}
	})
	if next.Name == "" || next.Name == n.self.Name {
		return n.self.Name, reply
	}
	answer := new(PermitReply)
	if err := n.peerClient.CallWithin(ctx, timeout, next.Peers, peers.ServiceName+".Permit", &a, answer); err != nil {
		n.log("signs").Debug("no credit of a limited upstream", "asked", next.Name, "upstream", a.Upstream, "err", err)
		return next.Name, reply
	}
	return next.Name, *answer
}

// limitOwner returns the host that owns the limit of the upstream, or the hub of this host, which knows more: only hubs know which hosts of other
// data centres are there, and the owner is one of the hubs. It is zero if there is none.
func (n *Node) limitOwner(upstream string) Member {
	if n.parent != "" {
		return n.members[n.parent].Member
	}
	var names []string
	if _, stopping := n.stop.state(); !stopping {
		names = append(names, n.self.Name)
	}
	for name := range n.hubs {
		if n.members[name] != nil {
			names = append(names, name)
		}
	}
	switch owner := pace.Owner(upstream, names); {
	case owner == "":
		return Member{}
	case owner == n.self.Name:
		return n.self
	default:
		return n.members[owner].Member
	}
}

// giveCredit takes the credit of one request from the bucket of this host, which must be the owner of the limit, and returns zero, or else the
// time until there is credit.
func (n *Node) giveCredit(now time.Time, p pick.Process) time.Duration {
	if young := pace.TakeoverTime - now.Sub(n.startedAt); young > 0 {
		return young
	}
	return n.table.TakeCredit(now, p)
}

// Permit handles a request for the credit of one request, and passes it on if another hub owns the limit.
func (s *peerService) Permit(a *PermitArgs, reply *PermitReply) error {
	n, forward := s.node, false
	if !n.control.Ask(func() {
		n.table.MergeLimits(time.Now(), a.Limits)
		forward = n.limitOwner(a.Upstream).Name != n.self.Name
	}) {
		return context.Canceled
	}
	if forward && a.Forwarded {
		reply.Wait = noOwnerWait // The hubs do not agree yet about which of them are there.
		return nil
	}
	next := *a
	next.Forwarded = true
	_, *reply = n.requestCredit(n.baseCtx, next, forwardTimeout)
	n.control.Ask(func() {
		reply.Limits = n.table.ExportLimit(time.Now(), pick.Process{Upstream: a.Upstream, Born: a.Born})
	})
	return nil
}

// mergeLimits adds what another host learned about limits of upstreams.
func (n *Node) mergeLimits(now time.Time, from string, list []pick.LimitSign) {
	if changed := n.table.MergeLimits(now, list); changed > 0 {
		n.log("signs").Info("another host reported limits of upstreams", "event", eventLimitsLearned, "from", from, "upstreams", changed)
	}
}

// creditTime returns when an upstream with a limit is expected to have credit for a request that only such upstreams could serve now, if the
// response can then be on time; otherwise it is zero.
func (n *Node) creditTime(c *relay.Call) (at time.Time) {
	n.control.Ask(func() {
		now := time.Now()
		wait, _, limited := n.table.Pause(now, pick.Query{Service: c.Service, Key: c.Key})
		if credit := now.Add(wait); limited && credit.Before(c.Arrived.Add(time.Duration(objectiveShare*float64(c.Route.Objective)))) {
			at = credit
		}
	})
	return at
}

// awaitUpstreamUntil is awaitUpstream for a request for which another upstream may have credit at the given time, unless that is zero. It then
// fails with errCreditDue at that time.
func (n *Node) awaitUpstreamUntil(ctx context.Context, c *relay.Call, missing string, credit time.Time) (string, error) {
	if credit.IsZero() {
		return n.awaitUpstream(ctx, c, missing)
	}
	until, cancel := context.WithDeadline(ctx, credit)
	defer cancel()
	upstream, err := n.awaitUpstream(until, c, missing)
	if err == nil || ctx.Err() != nil {
		return upstream, err
	}
	if !sleep(ctx, time.Until(credit)) {
		return "", ctx.Err()
	}
	return "", errCreditDue
}

// creditBefore returns the error of a request whose model would have to be loaded, with the time at which an upstream that has a limit may accept
// the request, if that is earlier.
func (n *Node) creditBefore(c *relay.Call, err error) error {
	e := codes.From(err)
	if e.Code() != codes.NoTimeToLoad {
		return err
	}
	n.control.Ask(func() {
		pause, _, limited := n.table.Pause(time.Now(), pick.Query{Service: c.Service, Key: c.Key})
		if limited && pause < e.RetryAfter() {
			e = e.WithRetryAfter(pause.Truncate(pauseStep) + pauseStep)
		}
	})
	return e
}
