package node

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/fireflycleat/fireflycleat/pkg/fleet"
	"github.com/fireflycleat/fireflycleat/pkg/place"
)

// TestUpstreamSkippedInAFeedComesBack guards against an upstream that a dependent host lacks for good: its hub read an entry from a copy of the
// store, which the host ignores, and the next entry of the upstream differs in its beat only, so that the hub does not send it.
func TestUpstreamSkippedInAFeedComesBack(t *testing.T) {
	t.Parallel()
	s := Settings{Limits: LimitSettings{LeaveMS: 3000, ConfigMS: 3000}}
	n, hub := newTestNode(s), newTestNode(s)
	hub.self = Member{Name: "hub", Incarnation: "hub.1"}
	query := func() {
		now := bootNow()
		f := hub.buildFeed("h", FeedQuery{From: n.feedHub, Generation: n.feedGeneration})
		n.applyFeed(hub.self, &f, now)
	}
	stays := fleet.Upstream{ID: "stays", Born: 1, Beat: 20}
	old := Member{Name: "old", Incarnation: "old.1"}
	n.applyFeed(old, &Feed{Whole: true, Put: []fleet.Upstream{{ID: "u", Born: 1, Beat: 10}, stays}, Generation: 1}, bootNow())
	n.applyFeed(old, &Feed{Removed: []string{"u"}, Generation: 2}, bootNow()) // It was cut off for a while.
	time.Sleep(2 * time.Millisecond)
	// The hub started after the store came back from a copy.
	hub.applyListRead(bootNow(), ListChanges{Complete: true, Put: []fleet.Upstream{{ID: "u", Born: 1, Beat: 8}, stays}, Cursor: Cursor{Era: 2, Next: 5}})
	hub.configAt = bootNow()
	query()
	qt.Assert(t, n.upstreams, qt.HasLen, 1)
	for beat := int64(11); beat < 16; beat++ {
		time.Sleep(2 * time.Millisecond)
		hub.applyListRead(bootNow(), ListChanges{Put: []fleet.Upstream{{ID: "u", Born: 1, Beat: beat}}, Cursor: Cursor{Era: 2, Next: beat}})
		hub.configAt = bootNow()
		query()
	}
	qt.Assert(t, hub.upstreams, qt.HasLen, 2)
	qt.Assert(t, n.upstreams, qt.HasLen, 2)
	qt.Assert(t, n.feedHub, qt.Equals, "hub.1")
	qt.Assert(t, n.feedGeneration, qt.Equals, hub.changes.generation, qt.Commentf("the hub sends changes only"))
}

// TestEntryKeptInAFeedIsReplaced guards against a dependent host that takes a model for loaded for good: its hub read an older entry from a
// copy of the store, the host kept its own, and the next entry of the upstream differs from that of the copy in its beat only.
func TestEntryKeptInAFeedIsReplaced(t *testing.T) {
	t.Parallel()
	s := Settings{Limits: LimitSettings{LeaveMS: 3000, ConfigMS: 3000}}
	n, hub := newTestNode(s), newTestNode(s)
	hub.self = Member{Name: "hub", Incarnation: "hub.1"}
	loaded := fleet.Upstream{ID: "u", Born: 1, Beat: 10, Held: []fleet.Held{{Model: "m"}}}
	n.applyFeed(Member{Name: "old", Incarnation: "old.1"}, &Feed{Whole: true, Put: []fleet.Upstream{loaded}, Generation: 1}, bootNow())
	for i, beat := range []int64{8, 11} {
		time.Sleep(2 * time.Millisecond)
		u := fleet.Upstream{ID: "u", Born: 1, Beat: beat}
		hub.applyListRead(bootNow(), ListChanges{Complete: i == 0, Put: []fleet.Upstream{u}, Cursor: Cursor{Era: 2, Next: beat}})
		hub.configAt = bootNow()
		now := bootNow()
		f := hub.buildFeed("h", FeedQuery{From: n.feedHub, Generation: n.feedGeneration})
		n.applyFeed(hub.self, &f, now)
		qt.Assert(t, n.upstreams["u"].Held, qt.HasLen, 1-i)
	}
}

// TestRetainedEntriesSurviveAChangeOfTheSource guards against a service that loses its upstreams because a host turns to the store within two
// seconds of its return from a copy: the hub retained the entries that the store lost.
func TestRetainedEntriesSurviveAChangeOfTheSource(t *testing.T) {
	t.Parallel()
	s := Settings{Limits: LimitSettings{LeaveMS: 3000, ConfigMS: 3000}}
	n, hub := newTestNode(s), newTestNode(s)
	hub.self = Member{Name: "hub", Incarnation: "hub.1"}
	both := []fleet.Upstream{{ID: "u1", Born: 1, Beat: 1}, {ID: "u2", Born: 1, Beat: 1}}
	hub.applyListRead(bootNow().Add(-time.Second), ListChanges{Complete: true, Put: both, Cursor: Cursor{Era: 1, Next: 100}})
	time.Sleep(time.Millisecond)
	hub.applyListRead(bootNow(), ListChanges{Complete: true, Put: both[:1], Cursor: Cursor{Era: 2, Next: 50}})
	hub.configAt = bootNow()
	qt.Assert(t, hub.upstreams, qt.HasLen, 2)
	f := hub.buildFeed("h", FeedQuery{})
	n.applyFeed(hub.self, &f, bootNow())
	qt.Assert(t, n.upstreams, qt.HasLen, 2)
	n.setDirect(true)
	n.applyListRead(bootNow(), ListChanges{Complete: true, Put: both[:1], Cursor: Cursor{Era: 2, Next: 51}})
	qt.Assert(t, n.upstreams, qt.HasLen, 2)
}

// TestFeedTellsTheAgeOfTheLoad guards against hosts that take requests in flight for current that a hub got from others a while ago, and
// against served requests that are counted twice or not at all on their way over hubs.
func TestFeedTellsTheAgeOfTheLoad(t *testing.T) {
	t.Parallel()
	s := Settings{Limits: LimitSettings{LeaveMS: 3000, ConfigMS: 3000}}
	n, hub := newTestNode(s), newTestNode(s)
	hub.self = Member{Name: "hub", Incarnation: "hub.1"}
	hub.listAt, hub.configAt = bootNow(), bootNow()
	hub.applyList(time.Now(), map[string]fleet.Upstream{"u": {ID: "u", Born: 1, Service: "s", Slots: 4}})
	uses := []place.Use{{Upstream: "u", Running: 3, Started: 2, Served: 5}}
	hub.applyHeartbeat(&Heartbeat{From: Member{Name: "hub2", Incarnation: "hub2.1"}, Uses: uses, UsesAge: 400 * time.Millisecond})
	f := hub.buildFeed("h", FeedQuery{From: n.feedHub})
	qt.Check(t, f.Running, qt.DeepEquals, map[string]int{"u": 3})
	qt.Check(t, f.RunningAge >= 400*time.Millisecond && f.RunningAge < time.Second, qt.IsTrue, qt.Commentf("%v", f.RunningAge))
	f.Speeds = map[string]int{"u": 50}
	qt.Assert(t, n.applyFeed(hub.self, &f, bootNow()), qt.IsTrue)
	qt.Check(t, n.table.ReportAge(time.Now()) >= f.RunningAge, qt.IsTrue, qt.Commentf("%v", n.table.ReportAge(time.Now())))
	qt.Check(t, n.table.Speeds(), qt.DeepEquals, f.Speeds)
	child := hub.addMember(Member{Name: "child", Incarnation: "child.1"})
	child.lastQuery, child.uses = time.Now(), uses
	for _, want := range []place.Use{{Upstream: "u", Running: 3, Started: 2, Served: 5}, {Upstream: "u", Running: 3}} {
		merged, _ := hub.mergedUses(time.Now())
		qt.Check(t, merged, qt.DeepEquals, []place.Use{want})
	}
}
