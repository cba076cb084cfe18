package pick_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/fireflycleat/fireflycleat/pkg/fleet"
	"github.com/fireflycleat/fireflycleat/pkg/pick"
	"github.com/fireflycleat/fireflycleat/pkg/place"
)

var start = time.Unix(1000, 0)

func newTable(list ...fleet.Upstream) *pick.Table {
	t := pick.New("a")
	all := make(map[string]fleet.Upstream)
	for _, u := range list {
		u.Service, u.Slots, u.Born = "s", 48, 1
		all[u.ID] = u
	}
	t.Replace(all)
	return t
}

func choose(t *testing.T, table *pick.Table, now time.Time, q pick.Query) string {
	t.Helper()
	q.Service = "s"
	c, _ := table.Choose(now, q)
	return c.Upstream
}

// TestPrefersNearAndIdleUpstreams guards against requests that are sent to another data centre, or to a busier upstream,
// without need.
func TestPrefersNearAndIdleUpstreams(t *testing.T) {
	table := newTable(fleet.Upstream{ID: "far", DataCentre: "b"}, fleet.Upstream{ID: "near", DataCentre: "a"})
	qt.Assert(t, choose(t, table, start, pick.Query{}), qt.Equals, "near")
	table.SetPeerRequests(start, "h2", map[string]int{"near": 12})
	qt.Assert(t, choose(t, table, start, pick.Query{}), qt.Equals, "far")
	table.SetPeerRequests(start, "h2", nil)
	qt.Assert(t, choose(t, table, start, pick.Query{}), qt.Equals, "near")
}

// TestLeavingAndRemovedGetNoRequests guards against new requests to an upstream that is stopping or no longer listed.
func TestLeavingAndRemovedGetNoRequests(t *testing.T) {
	table := newTable(fleet.Upstream{ID: "u", DataCentre: "a", Leaving: true})
	qt.Assert(t, choose(t, table, start, pick.Query{}), qt.Equals, "")
	qt.Assert(t, table.CountAccepting("s"), qt.Equals, 0)
	table.Replace(nil)
	qt.Assert(t, choose(t, table, start, pick.Query{}), qt.Equals, "")
}

// TestSilentUpstreamIsAvoided guards against more requests to an upstream that has become unreachable: a request that waits
// there without an event must divert later ones before any time-out has passed.
func TestSilentUpstreamIsAvoided(t *testing.T) {
	table := newTable(fleet.Upstream{ID: "dark", DataCentre: "a"}, fleet.Upstream{ID: "far", DataCentre: "b"})
	c, _ := table.Choose(start, pick.Query{Service: "s"})
	qt.Assert(t, c.Upstream, qt.Equals, "dark")
	table.StartAttempt(start, c, pick.Query{})
	qt.Assert(t, choose(t, table, start.Add(time.Second), pick.Query{}), qt.Equals, "dark")
	qt.Assert(t, choose(t, table, start.Add(2*time.Second), pick.Query{}), qt.Equals, "far")
}

// TestFailingUpstreamIsAvoided guards against requests to an upstream that fails some of them while another one works, and against
// avoiding that upstream when the other one has become worse.
func TestFailingUpstreamIsAvoided(t *testing.T) {
	table := newTable(fleet.Upstream{ID: "u1", DataCentre: "a"}, fleet.Upstream{ID: "u2", DataCentre: "a"})
	c, _ := table.Choose(start, pick.Query{Service: "s"})
	table.EndAttempt(start, table.StartAttempt(start, c, pick.Query{}), pick.Errored)
	other := choose(t, table, start, pick.Query{})
	qt.Assert(t, other, qt.Not(qt.Equals), c.Upstream)
	second, _ := table.Choose(start, pick.Query{Service: "s"})
	table.EndAttempt(start, table.StartAttempt(start, second, pick.Query{}), pick.Broken)
	qt.Assert(t, choose(t, table, start, pick.Query{}), qt.Equals, c.Upstream)
	qt.Assert(t, choose(t, table, start, pick.Query{Exclude: map[string]bool{c.Upstream: true}}), qt.Equals, second.Upstream)
}

// TestLearnedPlacement guards against requests to an upstream that was ordered to unload the model, and against waiting for the
// published list after a load.
func TestLearnedPlacement(t *testing.T) {
	k := place.Key{Model: "m"}
	table := newTable(fleet.Upstream{ID: "u1", DataCentre: "a", Held: []fleet.Held{{Model: "m", Adapters: []string{"a1"}}}}, fleet.Upstream{ID: "u2", DataCentre: "b"})
	qt.Assert(t, choose(t, table, start, pick.Query{Key: k}), qt.Equals, "u1")
	qt.Assert(t, choose(t, table, start, pick.Query{Key: place.Key{Model: "m", Adapter: "a1"}}), qt.Equals, "u1")
	table.Learn(start, "u1", k, false)
	table.Learn(start, "u2", k, true)
	qt.Assert(t, choose(t, table, start, pick.Query{Key: k}), qt.Equals, "u2")
	qt.Assert(t, choose(t, table, start, pick.Query{Key: place.Key{Model: "m", Adapter: "a1"}}), qt.Equals, "")
	table.Expire(start.Add(time.Minute))
	qt.Assert(t, choose(t, table, start.Add(time.Minute), pick.Query{Key: k}), qt.Equals, "u1")
}

// TestUsesCountEachRequestOnce guards against requests that are reported as started twice, so that the controller overestimates
// the demand.
func TestUsesCountEachRequestOnce(t *testing.T) {
	table := newTable(fleet.Upstream{ID: "u", DataCentre: "a"})
	c, _ := table.Choose(start, pick.Query{Service: "s"})
	attempt := table.StartAttempt(start, c, pick.Query{})
	uses := table.Uses()
	qt.Assert(t, uses, qt.HasLen, 1)
	qt.Assert(t, uses[0].Running, qt.Equals, 1)
	qt.Assert(t, uses[0].Started, qt.Equals, 1)
	table.EndAttempt(start, attempt, pick.Served)
	qt.Assert(t, table.Uses(), qt.HasLen, 0)
}

func isStuck(table *pick.Table, now time.Time, a *pick.Attempt, q pick.Query) bool {
	_, stuck := table.Stuck(now, a, q)
	return stuck
}

// TestStuck guards against needless moves of requests when all upstreams of a model are overloaded: a move adds load, so a request
// may leave only an unreachable upstream, or move to one that runs fewer requests.
func TestStuck(t *testing.T) {
	table := newTable(fleet.Upstream{ID: "u1", DataCentre: "a"}, fleet.Upstream{ID: "u2", DataCentre: "b"})
	q := pick.Query{Service: "s"}
	c, _ := table.Choose(start, q)
	attempt, other := table.StartAttempt(start, c, q), table.StartAttempt(start, c, q)
	qt.Assert(t, isStuck(table, start.Add(time.Second), attempt, q), qt.IsFalse)
	now := start.Add(2 * time.Second)
	qt.Assert(t, isStuck(table, now, attempt, q), qt.IsTrue, qt.Commentf("the upstream is unreachable"))
	other.Touch(now)
	qt.Assert(t, isStuck(table, now, attempt, q), qt.IsTrue, qt.Commentf("the other upstream runs fewer requests"))
	table.SetPeerRequests(start, "h2", map[string]int{"u2": 5})
	qt.Assert(t, isStuck(table, now, attempt, q), qt.IsFalse, qt.Commentf("the other upstream runs more requests"))
	table.Replace(map[string]fleet.Upstream{"u1": {ID: "u1", Born: 1, Service: "s", DataCentre: "a", Slots: 48}})
	qt.Assert(t, isStuck(table, now.Add(time.Minute), attempt, q), qt.IsFalse, qt.Commentf("there is no other upstream"))
}

// TestStuckAmongFullUpstreams guards against moves between full upstreams: when every replica of a model is full, a host with one
// request at an upstream mistakes its silence for an outage and moves the request to a full one that refuses it, which loses an
// answer that would have arrived.
func TestStuckAmongFullUpstreams(t *testing.T) {
	table := newTable(fleet.Upstream{ID: "u1", DataCentre: "a"}, fleet.Upstream{ID: "u2", DataCentre: "a"})
	q := pick.Query{Service: "s"}
	c, _ := table.Choose(start, q)
	attempt := table.StartAttempt(start, c, q)
	table.SetPeerRequests(start, "h2", map[string]int{"u1": 60, "u2": 50})
	qt.Assert(t, isStuck(table, start.Add(3*time.Second), attempt, q), qt.IsFalse)
	table.SetPeerRequests(start, "h2", map[string]int{"u1": 60, "u2": 2})
	qt.Assert(t, isStuck(table, start.Add(3*time.Second), attempt, q), qt.IsTrue)
}

// TestUpdateOutOfOrder guards against requests to an upstream whose model was unloaded, because the update of an earlier load
// arrived after that of the unload.
func TestUpdateOutOfOrder(t *testing.T) {
	table := newTable(fleet.Upstream{ID: "u"})
	k := place.Key{Model: "m"}
	table.Update(start, "u", k, false, pick.Stamp{Fence: 3, Number: 8})
	table.Update(start, "u", k, true, pick.Stamp{Fence: 3, Number: 7})
	qt.Assert(t, choose(t, table, start, pick.Query{Key: k}), qt.Equals, "")
	table.Update(start, "u", k, true, pick.Stamp{Fence: 2, Number: 900})
	qt.Assert(t, choose(t, table, start, pick.Query{Key: k}), qt.Equals, "")
	table.Learn(start, "u", k, true) // The controller answered a query of this host.
	qt.Assert(t, choose(t, table, start, pick.Query{Key: k}), qt.Equals, "u")
	table.Update(start, "u", k, false, pick.Stamp{Fence: 3, Number: 9})
	qt.Assert(t, choose(t, table, start, pick.Query{Key: k}), qt.Equals, "")
	table.Update(start, "u", k, true, pick.Stamp{Fence: 4, Number: 1})
	qt.Assert(t, choose(t, table, start, pick.Query{Key: k}), qt.Equals, "u")
}

// TestLongUnloadGetsNoRequests guards against requests that an upstream refuses because it unloads their model: while the unload waits for a
// long response, the list goes on showing the model. Once the list has shown the end, a later load counts as soon as the list shows it.
func TestLongUnloadGetsNoRequests(t *testing.T) {
	held := fleet.Upstream{ID: "u", Service: "s", Slots: 48, Born: 1, Held: []fleet.Held{{Model: "m", Adapters: []string{"a1"}}}}
	empty := held
	empty.Held = nil
	list := func(u fleet.Upstream) map[string]fleet.Upstream { return map[string]fleet.Upstream{"u": u} }
	k := place.Key{Model: "m"}
	for _, q := range []pick.Query{{Key: k}, {Key: place.Key{Model: "m", Adapter: "a1"}}} {
		table := newTable(held)
		table.Update(start, "u", k, false, pick.Stamp{Fence: 1, Number: 1})
		now := start
		for ; now.Before(start.Add(12 * time.Second)); now = now.Add(time.Second) {
			table.Replace(list(held))
			table.Expire(now)
			qt.Assert(t, choose(t, table, now, q), qt.Equals, "", qt.Commentf("after %v", now.Sub(start)))
		}
		table.Replace(list(empty))
		table.Expire(now)
		table.Replace(list(held))
		qt.Assert(t, choose(t, table, now, q), qt.Equals, "u")
	}
	table := newTable(held) // The upstream did not carry out the order.
	table.Update(start, "u", k, false, pick.Stamp{Fence: 1, Number: 1})
	qt.Assert(t, choose(t, table, start.Add(16*time.Second), pick.Query{Key: k}), qt.Equals, "u")
}

// TestUnloadRemovesAdapters guards against requests for an adapter that was reported as loaded, after its model was unloaded.
func TestUnloadRemovesAdapters(t *testing.T) {
	table := newTable(fleet.Upstream{ID: "u"})
	model, adapter := place.Key{Model: "m"}, place.Key{Model: "m", Adapter: "a1"}
	table.Learn(start, "u", adapter, true)
	table.Update(start.Add(time.Second), "u", model, false, pick.Stamp{Fence: 1, Number: 1})
	now := start.Add(1100 * time.Millisecond)
	qt.Assert(t, choose(t, table, now, pick.Query{Key: adapter}), qt.Equals, "")
	table.Learn(now, "u", adapter, true)
	qt.Assert(t, choose(t, table, now, pick.Query{Key: adapter}), qt.Equals, "u")
}

// TestQueueTime guards against requests that are sent to an upstream whose queue outlasts their callers' patience: 113 requests were
// in progress at an engine with 32 slots, and half of the callers left before the first event. The load pattern is a model that becomes
// popular while it has one replica.
func TestQueueTime(t *testing.T) {
	table := newTable(fleet.Upstream{ID: "u", DataCentre: "a", Held: []fleet.Held{{Model: "m"}}})
	q := pick.Query{Service: "s", Key: place.Key{Model: "m"}}
	c, ok := table.Choose(start, q)
	qt.Assert(t, ok, qt.IsTrue)
	table.SetPeerRequests(start, "h2", map[string]int{"u": 200})
	c, _ = table.Choose(start, q)
	qt.Assert(t, table.QueueTime(c), qt.Equals, time.Duration(0), qt.Commentf("no request is refused before run times are known"))
	for range 20 {
		a := table.StartAttempt(start, c, q)
		table.RecordFirstEvent(start.Add(time.Second), a)
		table.EndAttempt(start.Add(5*time.Second), a, pick.Served)
	}
	for _, x := range []struct {
		running int
		want    time.Duration
	}{{0, 0}, {47, 0}, {48, 4 * time.Second / 48}, {95, 4 * time.Second}} {
		table.SetPeerRequests(start, "h2", map[string]int{"u": x.running})
		c, _ = table.Choose(start.Add(time.Second), q)
		qt.Assert(t, table.QueueTime(c).Round(time.Millisecond), qt.Equals, x.want.Round(time.Millisecond), qt.Commentf("%d in progress", x.running))
	}
	before := len(table.Uses())
	table.RecordDemand(c, q.Key)
	uses := table.Uses()
	qt.Assert(t, uses, qt.HasLen, before, qt.Commentf("the controller sees refused requests as demand"))
	qt.Assert(t, uses[0].Started, qt.Equals, 1)
}

// TestEndsOfAnEarlierProcessAreNotBooked guards against an upstream that is avoided after its restart, because attempts at its earlier process fail.
func TestEndsOfAnEarlierProcessAreNotBooked(t *testing.T) {
	table := newTable(fleet.Upstream{ID: "u", DataCentre: "a"}, fleet.Upstream{ID: "far", DataCentre: "b"})
	c, _ := table.Choose(start, pick.Query{Service: "s"})
	qt.Assert(t, c.Upstream, qt.Equals, "u")
	var attempts []*pick.Attempt
	for range 3 {
		attempts = append(attempts, table.StartAttempt(start, c, pick.Query{}))
	}
	list := make(map[string]fleet.Upstream)
	for id, dataCentre := range map[string]string{"u": "a", "far": "b"} {
		list[id] = fleet.Upstream{ID: id, DataCentre: dataCentre, Service: "s", Slots: 48, Born: 2}
	}
	table.Replace(list)
	for _, a := range attempts {
		table.RecordFirstEvent(start, a)
		table.EndAttempt(start, a, pick.Broken)
	}
	late := table.StartAttempt(start, c, pick.Query{}) // chosen before the restart was known
	qt.Check(t, choose(t, table, start, pick.Query{}), qt.Equals, "u")
	table.EndAttempt(start, late, pick.Broken)
	qt.Check(t, choose(t, table, start, pick.Query{}), qt.Equals, "u")
	got, _ := table.Choose(start, pick.Query{Service: "s"})
	qt.Check(t, got.Running, qt.Equals, 0)
}
