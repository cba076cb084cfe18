package node

import (
	"encoding/gob"
	"maps"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/fireflycleat/fireflycleat/pkg/fleet"
)

// slowLinkBytes is what a link of 10 Mbit/s carries in half of heartbeatTimeout.
const slowLinkBytes = 312_500

// query has a hub answer the query of a host, and the host apply the answer, as in a call. It returns the size of the answer.
func query(t *testing.T, host, hub *Node, packed bool) int {
	t.Helper()
	q := host.query()
	q.Packed = packed
	hub.packList(q)
	hub.listAt, hub.configAt = bootNow(), bootNow() // Packing takes a while on a busy machine.
	var f Feed
	var w countingWriter
	hub.control.Ask(func() { f = hub.buildFeed("h", q) })
	qt.Assert(t, gob.NewEncoder(&w).Encode(f), qt.IsNil)
	qt.Assert(t, f.unpack(), qt.IsNil)
	qt.Assert(t, host.applyFeed(hub.self, &f, bootNow()), qt.IsTrue)
	return w.bytes
}

// runControl runs the control thread of a node until the test ends.
func runControl(t *testing.T, n *Node) {
	go func() { _ = n.control.Run() }()
	t.Cleanup(n.control.Stop)
}

// TestListOfThousandsReachesAHostWithASlowLink guards against hosts that never get the list of a deployment with 3,000 upstreams from their
// hub: it was larger than peers.MaxMessageBytes and than a link of 10 Mbit/s carries before the call times out, so that hundreds of
// hosts read it from the store, which took longer still.
func TestListOfThousandsReachesAHostWithASlowLink(t *testing.T) {
	synctest.Test(t, func(t *testing.T) { // Otherwise the list may be too old once it is packed, with the race detector on a busy machine.
		hub, n := benchHub(), newTestNode(Settings{Limits: LimitSettings{LeaveMS: 3000, ConfigMS: 3000}})
		n.listAt = n.listAt.Add(-time.Second) // before the list of the hub
		go func() { _ = hub.control.Run() }()
		size := query(t, n, hub, true)
		qt.Check(t, size < slowLinkBytes, qt.IsTrue, qt.Commentf("%d bytes", size))
		qt.Check(t, n.upstreams, qt.DeepEquals, hub.upstreams)
		hub.control.Stop()
		synctest.Wait()
	})
}

// TestPackedListIsCurrent guards against a host that gets an outdated list: one packed earlier, without the changes since, or with upstreams that
// have disappeared since.
func TestPackedListIsCurrent(t *testing.T) {
	t.Parallel()
	s := Settings{Limits: LimitSettings{LeaveMS: 3000, ConfigMS: 3000}}
	hub := newTestNode(s)
	hub.self = Member{Name: "hub", Incarnation: "hub.1"}
	runControl(t, hub)
	list := make(map[string]fleet.Upstream)
	for i := range 100 {
		u := benchUpstream(i, 1)
		list[u.ID] = u
	}
	apply := func(change func(map[string]fleet.Upstream)) {
		next := make(map[string]fleet.Upstream)
		for id, u := range list {
			next[id] = u
		}
		change(next)
		list = next
		hub.control.Ask(func() { hub.applyList(time.Now(), next) })
	}
	apply(func(map[string]fleet.Upstream) {})
	query(t, newTestNode(s), hub, true)
	packed := hub.packed.generation
	for i := range 30 {
		apply(func(next map[string]fleet.Upstream) {
			u := benchUpstream(i, 2)
			u.Leaving = true
			next[u.ID] = u
			delete(next, benchID(i+50))
		})
		for _, understands := range []bool{true, false} {
			n := newTestNode(s)
			query(t, n, hub, understands)
			qt.Assert(t, n.upstreams, qt.DeepEquals, hub.upstreams, qt.Commentf("change %d", i))
		}
	}
	qt.Check(t, hub.packed.generation > packed, qt.IsTrue, qt.Commentf("after many changes the list is packed again"))
	hub.packed.at = time.Now().Add(-2 * maxPackedAge)
	qt.Check(t, hub.packedUsable(), qt.IsFalse, qt.Commentf("an old list has old heartbeats"))
}

// TestManyChangesArePacked guards against a hub's link that is full of changes: some percent of 3,000 upstreams change a second, and the entry of
// each has 400 B for each host.
func TestManyChangesArePacked(t *testing.T) {
	t.Parallel()
	s := Settings{Limits: LimitSettings{LeaveMS: 3000, ConfigMS: 3000}}
	hub, old, hosts := benchHub(), newTestNode(s), []*Node{newTestNode(s), newTestNode(s)}
	runControl(t, hub)
	query(t, old, hub, false)
	for _, n := range hosts {
		query(t, n, hub, true)
	}
	for round := range 3 {
		hub.control.Ask(func() {
			next := maps.Clone(hub.upstreams)
			for i := range 150 {
				u := benchUpstream(20*i+round, 2)
				u.OnDisk = u.OnDisk[:10]
				next[u.ID] = u
			}
			delete(next, benchID(2999-round))
			hub.applyList(time.Now(), next)
		})
		time.Sleep(time.Millisecond)
		for _, n := range hosts {
			size := query(t, n, hub, true)
			qt.Check(t, size < 150*200, qt.IsTrue, qt.Commentf("%d bytes", size))
			qt.Assert(t, n.upstreams, qt.DeepEquals, hub.upstreams)
		}
		query(t, old, hub, false)
		qt.Assert(t, old.upstreams, qt.DeepEquals, hub.upstreams)
	}
}

// TestMalformedPackedList guards against a host that takes a list that is cut off for a complete one, and drops the other upstreams.
func TestMalformedPackedList(t *testing.T) {
	t.Parallel()
	packed, err := packUpstreams(map[string]fleet.Upstream{"u": {ID: "u"}, "v": {ID: "v"}})
	qt.Assert(t, err, qt.IsNil)
	for i := range len(packed) - 1 {
		f := Feed{Whole: true, Packed: packed[:i+1]}
		if f.unpack() == nil {
			qt.Assert(t, f.Put, qt.HasLen, 2)
		}
	}
}

// TestHubKnowsUpstreamsForPlacement guards against a controller without upstreams: a host that depends on a hub does not apply the list to its
// placement, and may become a hub and then the controller.
func TestHubKnowsUpstreamsForPlacement(t *testing.T) {
	t.Parallel()
	n := newTestNode(Settings{Limits: LimitSettings{LeaveMS: 3000, ConfigMS: 3000}})
	n.placing.Configure(map[string]*fleet.Engine{"s": {}})
	n.applyList(time.Now(), map[string]fleet.Upstream{"u": {ID: "u", Service: "s", Born: 1}})
	qt.Assert(t, n.placing.Stats().Upstreams, qt.Equals, 0)
	n.heartbeat(0)
	qt.Assert(t, n.parent, qt.Equals, "", qt.Commentf("the hosts are few, so that each is a hub"))
	qt.Assert(t, n.placing.Stats().Upstreams, qt.Equals, 1)
}

// TestStaleListIsNotSentAgain guards against a hub's link that is full of complete lists: a list of thousands of upstreams took so long on the way to
// a host with a slow link that it was older than the limit there, and the host dropped it and got it again with each answer.
func TestStaleListIsNotSentAgain(t *testing.T) {
	t.Parallel()
	s := Settings{Limits: LimitSettings{LeaveMS: 3000, ConfigMS: 3000}}
	n, hub := newTestNode(s), newTestNode(s)
	hub.self = Member{Name: "hub", Incarnation: "hub.1"}
	hub.applyList(time.Now(), map[string]fleet.Upstream{"u": {ID: "u"}})
	now := bootNow()
	n.listAt, n.upstreams = now.Add(-2900*time.Millisecond), map[string]fleet.Upstream{"old": {ID: "old"}}
	hub.listAt, hub.configAt = now.Add(-2100*time.Millisecond), now
	f := hub.buildFeed("h", n.query())
	qt.Assert(t, f.Whole, qt.IsTrue)
	qt.Assert(t, n.applyFeed(hub.self, &f, now), qt.IsFalse, qt.Commentf("the host turns to another source"))
	qt.Assert(t, n.upstreams, qt.DeepEquals, hub.upstreams)
	qt.Assert(t, hub.buildFeed("h", n.query()).Whole, qt.IsFalse)
	// A list that the host has read later stays.
	n.applyListRead(now, ListChanges{Complete: true, Put: []fleet.Upstream{{ID: "v"}}, Cursor: Cursor{Era: 1, Next: 5}})
	f = hub.buildFeed("h", n.query())
	qt.Assert(t, n.applyFeed(hub.self, &f, now), qt.IsFalse)
	qt.Assert(t, n.upstreams, qt.HasLen, 1)
	qt.Assert(t, n.upstreams["v"].ID, qt.Equals, "v")
}
