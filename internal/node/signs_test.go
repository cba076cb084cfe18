package node

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/fireflycleat/fireflycleat/internal/relay"
	"github.com/fireflycleat/fireflycleat/pkg/codes"
	"github.com/fireflycleat/fireflycleat/pkg/fleet"
	"github.com/fireflycleat/fireflycleat/pkg/pick"
	"github.com/fireflycleat/fireflycleat/pkg/place"
)

func listedUpstream(born int64) fleet.Upstream {
	return fleet.Upstream{ID: "u", Born: born, Service: "s", Address: "127.0.0.1:1", DataCentre: "a", Slots: 8}
}

// choosable reports whether the host would send a request to an upstream.
func choosable(n *Node) bool {
	_, ok := n.table.Choose(time.Now(), pick.Query{Service: "s"})
	return ok
}

// TestHubListCannotUndoLeaving guards against requests to an upstream that said that it leaves, at a host whose hub does not know of that and
// sends its list, whole or only what changed, and against one that stays closed after its restart.
func TestHubListCannotUndoLeaving(t *testing.T) {
	t.Parallel()
	n := newTestNode(Settings{Limits: LimitSettings{LeaveMS: 3000, ConfigMS: 3000}})
	hub := n.members["hub"].Member
	feed := func(whole bool, u ...fleet.Upstream) {
		n.applyFeed(hub, &Feed{Whole: whole, Put: u, Generation: n.feedGeneration + 1}, bootNow())
	}
	feed(true, listedUpstream(1))
	qt.Assert(t, choosable(n), qt.IsTrue)
	n.applySigns(time.Now(), pick.Process{Upstream: "u", Born: 1}, relay.Signs{Leaving: true})
	qt.Assert(t, choosable(n), qt.IsFalse)
	qt.Assert(t, n.upstreams["u"].Leaving, qt.IsTrue, qt.Commentf("the controller and dependent hosts get it with the list"))
	for _, whole := range []bool{false, true} {
		u := listedUpstream(1)
		u.Beat = 7
		feed(whole, u)
		qt.Assert(t, n.upstreams["u"].Leaving, qt.IsTrue)
		qt.Assert(t, choosable(n), qt.IsFalse)
	}
	feed(true)
	feed(true, listedUpstream(1))
	qt.Assert(t, choosable(n), qt.IsFalse, qt.Commentf("listed again"))
	feed(true, listedUpstream(2))
	qt.Assert(t, choosable(n), qt.IsTrue)
}

// TestLeavingPassesThroughHubs guards against a host that learns only from the published list that an upstream leaves, although another one
// that depends on the same hub was told, and against a host that has no list yet and forgets what it learned.
func TestLeavingPassesThroughHubs(t *testing.T) {
	t.Parallel()
	var nodes []*Node
	for _, name := range []string{"hub", "h1", "h2", "new"} {
		n := newTestNode(Settings{Host: HostSettings{Name: name}})
		if n.hasList = name != "new"; n.hasList {
			n.applyList(time.Now(), map[string]fleet.Upstream{"u": listedUpstream(1)})
		}
		nodes = append(nodes, n)
	}
	hub, first := nodes[0], nodes[1]
	go func() { _ = hub.control.Run() }()
	t.Cleanup(hub.control.Stop)
	first.applySigns(time.Now(), pick.Process{Upstream: "u", Born: 1}, relay.Signs{Leaving: true})
	for _, n := range nodes[1:] {
		reply := new(Heartbeat)
		b := &Heartbeat{From: n.self, Leaving: n.table.ExportLeaving(time.Now(), false), Query: &FeedQuery{MembersFrom: n.membersHub}}
		qt.Assert(t, (&peerService{hub}).Beat(b, reply), qt.IsNil)
		n.applyHeartbeat(reply)
		if !n.hasList {
			n.applyList(time.Now(), map[string]fleet.Upstream{"u": listedUpstream(1)})
		}
		qt.Check(t, choosable(n), qt.IsFalse, qt.Commentf(n.self.Name))
	}
}

// TestLeavingUpstreamGetsNoOrders guards against models that are loaded on an upstream that said that it leaves, and counted as held there.
func TestLeavingUpstreamGetsNoOrders(t *testing.T) {
	t.Parallel()
	n := newTestNode(Settings{})
	n.parent = "" // Only a hub can become the controller.
	n.placing.Configure(map[string]*fleet.Engine{"s": {
		Slots: 8, MemoryMB: 100, LoadsPerSecond: 4, Models: map[string]fleet.Model{"m": {Name: "m", WeightMB: 40, FromStore: time.Second}},
	}})
	u := listedUpstream(1)
	u.Held = []fleet.Held{{Model: "m"}}
	n.applyList(time.Now(), map[string]fleet.Upstream{"u": u})
	p := place.PendingRequest{Request: "r", Service: "s", Key: place.Key{Model: "m"}, Deadline: time.Now().Add(time.Minute)}
	qt.Assert(t, n.placing.BestUpstream(time.Now(), p).Upstream, qt.Equals, "u")
	n.applySigns(time.Now(), pick.Process{Upstream: "u", Born: 1}, relay.Signs{Leaving: true})
	qt.Assert(t, n.placing.BestUpstream(time.Now(), p), qt.Equals, place.Forecast{})
}

// TestPauseIsNotPassedOn guards against an upstream that is lost to all hosts because it wants no requests of one.
func TestPauseIsNotPassedOn(t *testing.T) {
	t.Parallel()
	n := newTestNode(Settings{})
	n.applyList(time.Now(), map[string]fleet.Upstream{"u": listedUpstream(1)})
	n.applySigns(time.Now(), pick.Process{Upstream: "u", Born: 1}, relay.Signs{Pause: time.Minute})
	qt.Assert(t, choosable(n), qt.IsFalse)
	b, _ := n.heartbeat(0)
	qt.Assert(t, b.Leaving, qt.HasLen, 0)
	qt.Assert(t, n.buildFeed("other", FeedQuery{}).Put[0].Leaving, qt.IsFalse)
}

// TestStreamInProgressWaitsForAPause guards against a stream that is broken off, because its caller is past the time for a first event, when
// all upstreams that could continue it want no requests for a moment.
func TestStreamInProgressWaitsForAPause(t *testing.T) {
	t.Parallel()
	n := newTestNode(Settings{})
	u := listedUpstream(1)
	u.Held = []fleet.Held{{Model: "m"}}
	n.applyList(time.Now(), map[string]fleet.Upstream{"u": u})
	n.applySigns(time.Now(), pick.Process{Upstream: "u", Born: 1}, relay.Signs{Pause: 2 * time.Second})
	now := time.Now()
	for _, x := range []struct {
		abandon, deadline time.Duration
		paused            bool
	}{{3 * time.Second, time.Minute, true}, {time.Second, time.Minute, false}, {-time.Second, time.Minute, true}, {-time.Second, time.Second, false}} {
		c := &relay.Call{Service: "s", AbandonAt: now.Add(x.abandon), Deadline: now.Add(x.deadline)}
		c.Key.Model = "m"
		_, err := n.checkPause(now, c)
		qt.Check(t, codes.Is(err, codes.UpstreamsPaused), qt.Equals, x.paused, qt.Commentf("%+v", x))
	}
}
