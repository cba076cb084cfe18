package node

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/fireflycleat/fireflycleat/pkg/fleet"
)

// TestConfigReadAt guards against a hub that was stopped or slow after the store answered it and passes on an old configuration as one that
// it has just read.
func TestConfigReadAt(t *testing.T) {
	t.Parallel()
	start, wait := time.Unix(1000, 0), 900*time.Millisecond
	for _, x := range []struct {
		name      string
		took      time.Duration
		hasRecord bool
		want      time.Duration // after the start
	}{
		{"answer without a record comes after the wait", wait + 5*time.Millisecond, false, wait},
		{"host is stopped while the answer waits", wait + 5*time.Second, false, wait},
		{"clocks differ", wait - time.Millisecond, false, wait - time.Millisecond},
		{"a record may come at once", 5 * time.Second, true, 0},
	} {
		got := configReadAt(start, start.Add(x.took), wait, x.hasRecord)
		qt.Check(t, got.Sub(start), qt.Equals, x.want, qt.Commentf("%s", x.name))
	}
}

// TestAgeOfFeedIncludesItsWay guards against a host that takes the age of a list for that at its hub: the answer of a busy hub may be
// under way for half a second, and the bounds leave no time for that twice.
func TestAgeOfFeedIncludesItsWay(t *testing.T) {
	t.Parallel()
	n := newTestNode(Settings{Limits: LimitSettings{LeaveMS: 3000, ConfigMS: 3000}})
	n.listAt, n.configAt = bootNow().Add(-5*time.Second), bootNow().Add(-5*time.Second)
	f := &Feed{Whole: true, ListAge: 1600 * time.Millisecond, ConfigAge: 100 * time.Millisecond, Put: []fleet.Upstream{{ID: "u1"}}}
	queried := bootNow().Add(-400 * time.Millisecond)
	qt.Assert(t, n.applyFeed(Member{Name: "hub"}, f, queried), qt.IsFalse)
	qt.Assert(t, n.listAt, qt.Equals, queried.Add(-f.ListAge))
	queried = bootNow().Add(-200 * time.Millisecond)
	qt.Assert(t, n.applyFeed(Member{Name: "hub"}, f, queried), qt.IsTrue)
	qt.Assert(t, n.listAt, qt.Equals, queried.Add(-f.ListAge))
	qt.Assert(t, n.configAt, qt.Equals, queried.Add(-f.ConfigAge))
}

// TestFeedHasTheAgesOfTheHub guards against a hub that passes on what it got from another host without the time that it has held it.
func TestFeedHasTheAgesOfTheHub(t *testing.T) {
	t.Parallel()
	n := newTestNode(Settings{Limits: LimitSettings{LeaveMS: 3000, ConfigMS: 3000}})
	n.listAt, n.configAt = bootNow().Add(-5*time.Second), bootNow().Add(-5*time.Second)
	n.applyFeed(Member{Name: "hub"}, &Feed{Whole: true, ListAge: 700 * time.Millisecond, ConfigAge: 900 * time.Millisecond}, bootNow().Add(-300*time.Millisecond))
	f := n.buildFeed("x", FeedQuery{})
	qt.Assert(t, f.ListAge >= time.Second && f.ListAge < 1200*time.Millisecond, qt.IsTrue, qt.Commentf("%v", f.ListAge))
	qt.Assert(t, f.ConfigAge >= 1200*time.Millisecond && f.ConfigAge < 1400*time.Millisecond, qt.IsTrue, qt.Commentf("%v", f.ConfigAge))
}

// TestOlderFeedDoesNotReplaceANewerRead guards against a host that has read from the store that an upstream leaves and gives it work
// again, because a hub that has read the list before sends an entry without that. In an outage nothing would correct it.
func TestOlderFeedDoesNotReplaceANewerRead(t *testing.T) {
	t.Parallel()
	n := newTestNode(Settings{Limits: LimitSettings{LeaveMS: 3000, ConfigMS: 3000}})
	hub := Member{Name: "hub", Incarnation: "hub.1"}
	feed := &Feed{Whole: true, Generation: 1, Put: []fleet.Upstream{{ID: "u1"}, {ID: "u2"}}, ListAge: 500 * time.Millisecond}
	n.applyListRead(bootNow(), ListChanges{Complete: true, Put: []fleet.Upstream{{ID: "u1", Leaving: true}}, Cursor: Cursor{Next: 3}})
	qt.Assert(t, n.applyFeed(hub, feed, bootNow()), qt.IsTrue)
	qt.Assert(t, n.upstreams, qt.HasLen, 1)
	qt.Assert(t, n.upstreams["u1"].Leaving, qt.IsTrue)
	qt.Assert(t, n.feedHub, qt.Equals, "", qt.Commentf("the hub sends its whole list again"))
	feed.ListAge = 0
	n.applyFeed(hub, feed, bootNow())
	qt.Assert(t, n.upstreams, qt.HasLen, 2)
	qt.Assert(t, n.feedHub, qt.Equals, "hub.1")
	n.applyListRead(bootNow(), ListChanges{Put: []fleet.Upstream{{ID: "u3"}}, Cursor: Cursor{Next: 4}})
	qt.Assert(t, n.feedHub, qt.Equals, "", qt.Commentf("changes since an earlier feed may not fit the list any more"))
}

// TestHostForgetsItsListBeforeTheHub guards against a host that gives work to an upstream that left long ago: it had read the store itself
// before it depended on a hub, and took the entries of that time for ones that an outage had removed when it read the store again.
func TestHostForgetsItsListBeforeTheHub(t *testing.T) {
	t.Parallel()
	n := newTestNode(Settings{Limits: LimitSettings{LeaveMS: 4000, ConfigMS: 4000}})
	n.direct.Store(true)
	n.applyListRead(bootNow().Add(-time.Minute), ListChanges{Complete: true, Put: []fleet.Upstream{{ID: "left"}, {ID: "stays"}}, Cursor: Cursor{Next: 10}})
	n.setDirect(false)
	queried := bootNow().Add(-time.Second)
	n.applyFeed(Member{Name: "hub", Incarnation: "hub.1"}, &Feed{Whole: true, Put: []fleet.Upstream{{ID: "stays"}}, Position: 600, Rate: 10}, queried)
	n.listAt = n.listAt.Add(-2500 * time.Millisecond)
	n.progress.ReadAt = n.progress.ReadAt.Add(-2500 * time.Millisecond)
	n.chooseSource()
	qt.Assert(t, n.direct.Load(), qt.IsTrue)
	n.applyListRead(bootNow(), ListChanges{Complete: true, Put: []fleet.Upstream{{ID: "stays"}}, Cursor: Cursor{Next: 636}})
	qt.Assert(t, n.upstreams, qt.HasLen, 1)
}

// TestSuspendedHubPassesOnItsAge guards against a hub that passes on an old list as new, because the clock of the runtime stood still while
// its machine was suspended.
func TestSuspendedHubPassesOnItsAge(t *testing.T) {
	t.Parallel()
	n := newTestNode(Settings{})
	n.bootNow = func() time.Time { return bootNow().Add(5 * time.Second) }
	f := n.buildFeed("x", FeedQuery{})
	qt.Assert(t, f.ListAge >= 5*time.Second && f.ConfigAge >= 5*time.Second, qt.IsTrue, qt.Commentf("%v, %v", f.ListAge, f.ConfigAge))
	n.chooseSource()
	qt.Assert(t, n.direct.Load(), qt.IsTrue, qt.Commentf("its own updates are old, too"))
}

// TestFeedFromACopyOfTheStore guards against requests to an upstream that leaves or has left: a hub that started after the store came back from
// a copy knows only the entry of before, and its read is later than that of the host.
func TestFeedFromACopyOfTheStore(t *testing.T) {
	t.Parallel()
	n := newTestNode(Settings{Limits: LimitSettings{LeaveMS: 3000, ConfigMS: 3000}})
	hub := Member{Name: "hub", Incarnation: "hub.1"}
	n.applyFeed(hub, &Feed{Whole: true, Put: []fleet.Upstream{{ID: "leaves", Beat: 5, Leaving: true}, {ID: "left", Beat: 5}, {ID: "stays", Beat: 5}}}, bootNow())
	n.applyFeed(hub, &Feed{Removed: []string{"left"}, Generation: 1}, bootNow())
	fresh := Member{Name: "hub", Incarnation: "hub.2"}
	n.applyFeed(fresh, &Feed{Whole: true, Put: []fleet.Upstream{{ID: "leaves", Beat: 3}, {ID: "left", Beat: 3}, {ID: "stays", Beat: 3}}}, bootNow())
	qt.Assert(t, n.upstreams, qt.HasLen, 2)
	qt.Assert(t, n.upstreams["leaves"].Leaving, qt.IsTrue)
	n.applyFeed(fresh, &Feed{Put: []fleet.Upstream{{ID: "left", Beat: 6}}, Generation: 1}, bootNow())
	qt.Assert(t, n.upstreams, qt.HasLen, 3, qt.Commentf("it has registered again"))
}

// TestOldConfigurationIsNoted guards against a host that refuses requests for routes as unknown although its configuration is older than the
// operator's bound, and against one that takes a current configuration for old.
func TestOldConfigurationIsNoted(t *testing.T) {
	t.Parallel()
	n := newTestNode(Settings{Limits: LimitSettings{LeaveMS: 3000, ConfigMS: 3000}})
	n.configAt = bootNow().Add(-2500 * time.Millisecond)
	n.checkConfigAge()
	qt.Assert(t, n.configOld.Load(), qt.IsFalse)
	n.configAt = bootNow().Add(-3 * time.Second)
	n.checkConfigAge()
	qt.Assert(t, n.configOld.Load(), qt.IsTrue)
	n.settings.Limits.ConfigMS = 0
	n.checkConfigAge()
	qt.Assert(t, n.configOld.Load(), qt.IsFalse, qt.Commentf("there is no bound"))
}
