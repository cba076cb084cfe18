package node

import (
	"context"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/fireflycleat/fireflycleat/internal/relay"
	"github.com/fireflycleat/fireflycleat/pkg/codes"
	"github.com/fireflycleat/fireflycleat/pkg/fleet"
	"github.com/fireflycleat/fireflycleat/pkg/pace"
	"github.com/fireflycleat/fireflycleat/pkg/pick"
)

// TestLimitPassesThroughHubs guards against a host that an upstream has not told its limit and that sends it requests without one, or goes on
// to limit them after another host has learned that the limit has ended.
func TestLimitPassesThroughHubs(t *testing.T) {
	t.Parallel()
	var nodes []*Node
	for _, name := range []string{"hub", "h1", "h2", "new"} {
		n := newTestNode(Settings{Host: HostSettings{Name: name}})
		n.applyList(time.Now(), map[string]fleet.Upstream{"u": listedUpstream(1)})
		nodes = append(nodes, n)
	}
	hub, first := nodes[0], nodes[1]
	go func() { _ = hub.control.Run() }()
	t.Cleanup(hub.control.Stop)
	u := pick.Process{Upstream: "u", Born: 1}
	for _, limited := range []bool{true, false} {
		if limited {
			first.applySigns(time.Now(), u, relay.Signs{Limit: 1})
		} else {
			qt.Assert(t, first.table.RecordUnlimited(time.Now(), u, time.Now()), qt.IsTrue)
		}
		for _, n := range nodes[1:] {
			reply := new(Heartbeat)
			b := &Heartbeat{From: n.self, Limits: n.table.ExportLimits(time.Now(), false), Query: &FeedQuery{MembersFrom: n.membersHub}}
			qt.Assert(t, (&peerService{hub}).Beat(b, reply), qt.IsNil)
			n.applyHeartbeat(reply)
			qt.Check(t, len(n.table.Limits()) == 1, qt.Equals, limited, qt.Commentf(n.self.Name))
		}
	}
}

// TestRequestsWithoutCredit guards against requests that wait at an upstream whose limit is used up, and against a model that is loaded nowhere
// else because of that, or whose callers are told to return only when it would be.
func TestRequestsWithoutCredit(t *testing.T) {
	t.Parallel()
	n := newTestNode(Settings{})
	u := listedUpstream(1)
	u.Held = []fleet.Held{{Model: "m"}}
	n.applyList(time.Now(), map[string]fleet.Upstream{"u": u})
	go func() { _ = n.control.Run() }()
	t.Cleanup(n.control.Stop)
	n.control.Ask(func() {
		p := pick.Process{Upstream: "u", Born: 1}
		n.applySigns(time.Now(), p, relay.Signs{Limit: 0.5})
		n.table.DenyCredit(time.Now(), p, n.table.TakeCredit(time.Now(), p))
	})
	plain := &relay.Call{Service: "s", AbandonAt: time.Now().Add(time.Minute), Deadline: time.Now().Add(time.Minute)}
	err := n.paused(plain)
	qt.Assert(t, codes.Is(err, codes.UpstreamsPaused), qt.IsTrue)
	retry := codes.From(err).RetryAfter()
	qt.Check(t, retry > time.Second && retry <= 2*time.Second+pauseStep, qt.IsTrue, qt.Commentf("%v", retry))
	model := *plain
	model.Key.Model = "m"
	qt.Check(t, n.paused(&model), qt.IsNil)
	qt.Check(t, n.closedUpstreams("s"), qt.DeepEquals, []string{"u"})
	for ready, want := range map[time.Duration]time.Duration{10 * time.Second: 2 * time.Second, 100 * time.Millisecond: 100 * time.Millisecond} {
		err := n.creditBefore(&model, codes.New(codes.NoTimeToLoad, "").WithRetryAfter(ready))
		qt.Check(t, codes.From(err).RetryAfter() <= want+pauseStep, qt.IsTrue)
	}
}

// TestCreditOfTheOwner guards against credit from a host that does not own the limit, or has just started while another one goes on, and
// against an upstream that gets requests, or a caller that waits, while the owner does not answer.
func TestCreditOfTheOwner(t *testing.T) {
	t.Parallel()
	n := newTestNode(Settings{Host: HostSettings{Name: "h"}})
	go func() { _ = n.control.Run() }()
	t.Cleanup(n.control.Stop)
	own, other := pick.Process{Born: 1}, pick.Process{Born: 1}
	for _, id := range []string{"u0", "u1", "u2", "u3", "u4", "u5", "u6", "u7"} {
		if pace.Owner(id, []string{"h", "hub"}) == "h" {
			own.Upstream = id
		} else {
			other.Upstream = id
		}
	}
	n.control.Ask(func() { n.parent, n.hubs = "", map[string]bool{"h": true, "hub": true} })
	permit := func(p pick.Process, forwarded bool) time.Duration {
		reply := new(PermitReply)
		sign := pick.LimitSign{Upstream: p.Upstream, Born: 1, PerSecond: 100, Response: 1, Age: time.Second}
		qt.Assert(t, (&peerService{n}).Permit(&PermitArgs{p.Upstream, 1, []pick.LimitSign{sign}, forwarded}, reply), qt.IsNil)
		return reply.Wait
	}
	wait := permit(own, true)
	qt.Check(t, wait > 2*time.Second && wait <= pace.TakeoverTime, qt.IsTrue, qt.Commentf("%v after the start", wait))
	n.control.Ask(func() { n.startedAt = n.startedAt.Add(-pace.TakeoverTime) })
	time.Sleep(20 * time.Millisecond)
	qt.Check(t, permit(own, false), qt.Equals, time.Duration(0))
	qt.Check(t, permit(other, true), qt.Equals, noOwnerWait)
	qt.Check(t, permit(other, false), qt.Equals, noOwnerWait, qt.Commentf("the owner does not answer"))
	n.control.Ask(func() { n.parent = "hub" })
	qt.Check(t, permit(own, true), qt.Equals, noOwnerWait, qt.Commentf("only hubs own limits"))
	n.control.Ask(func() { n.parent = "" })

	n.control.Ask(func() {
		u := listedUpstream(1)
		u.ID = other.Upstream
		n.applyList(time.Now(), map[string]fleet.Upstream{u.ID: u})
		n.members["hub"].Peers = "127.0.0.1:1" // Nothing listens there.
	})
	begin := time.Now()
	_, err := n.choose(context.Background(), &relay.Call{Service: "s", AbandonAt: begin.Add(time.Minute), Deadline: begin.Add(time.Minute)}, map[string]bool{})
	qt.Check(t, codes.Is(err, codes.UpstreamsPaused), qt.IsTrue, qt.Commentf("%v", err))
	qt.Check(t, time.Since(begin) < time.Second, qt.IsTrue)

	n.control.Ask(func() { delete(n.hubs, "hub") })
	time.Sleep(20 * time.Millisecond)
	qt.Check(t, permit(other, true), qt.Equals, time.Duration(0), qt.Commentf("the other host is lost"))
}

// TestRequestWaitsForCredit guards against a request that is refused although its only upstream has credit a moment later, and against one that
// waits for credit although its response would be late.
func TestRequestWaitsForCredit(t *testing.T) {
	t.Parallel()
	for _, model := range []string{"", "m"} {
		n := newTestNode(Settings{Host: HostSettings{Name: "h"}})
		go func() { _ = n.control.Run() }()
		t.Cleanup(n.control.Stop)
		n.control.Ask(func() {
			now := time.Now()
			n.startedAt, n.parent = now.Add(-pace.TakeoverTime), ""
			u := listedUpstream(1)
			u.Held = []fleet.Held{{Model: "m"}}
			n.applyList(now, map[string]fleet.Upstream{"u": u})
			n.applySigns(now, pick.Process{Upstream: "u", Born: 1}, relay.Signs{Limit: 5})
		})
		for _, objective := range []time.Duration{time.Second, 100 * time.Millisecond} {
			begin := time.Now()
			c := &relay.Call{Service: "s", Arrived: begin, AbandonAt: begin.Add(2 * time.Second), Deadline: begin.Add(2 * time.Second)}
			c.Key.Model, c.Route.Objective = model, objective
			ticket, err := n.choose(context.Background(), c, map[string]bool{})
			if objective == time.Second {
				qt.Check(t, err, qt.IsNil)
				qt.Check(t, ticket.Attempt.Permitted(time.Now()), qt.IsTrue)
				qt.Check(t, time.Since(begin) < objective/2, qt.IsTrue, qt.Commentf("%v", time.Since(begin)))
			} else if model == "" {
				qt.Check(t, codes.Is(err, codes.UpstreamsPaused), qt.IsTrue, qt.Commentf("%v", err))
				qt.Check(t, time.Since(begin) < objective/2, qt.IsTrue, qt.Commentf("%v", time.Since(begin)))
			}
		}
	}
}
