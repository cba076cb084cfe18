package place_test

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/fireflycleat/fireflycleat/pkg/fleet"
	"github.com/fireflycleat/fireflycleat/pkg/place"
)

// Load pattern: more rarely used models than memory, so that upstreams swap models continuously while requests run.

// drain returns a controller of an upstream with two models in use, one of which is being unloaded for a pending request for m2. The
// requests are known to the controller before the order, or not.
func drain(t *testing.T, known bool) (c *place.Controller, unloaded string, now time.Time) {
	u := upstream("u", "m0", "m1")
	u.OnDisk = []string{"m0", "m1", "m2"}
	c = controller(engine(3), start, map[string]fleet.Upstream{"u": u})
	c.Plan(start)
	c.Report(start, start, "u", place.Report{Born: 1, Held: u.Held, OnDisk: u.OnDisk})
	if known {
		c.SetUses(start, "h", []place.Use{
			{Upstream: "u", Key: place.Key{Model: "m0"}, Running: 1}, {Upstream: "u", Key: place.Key{Model: "m1"}, Running: 1},
		})
	}
	for at := time.Duration(0); at < 10*time.Second; at += 100 * time.Millisecond {
		now = start.Add(at)
		addRequest(c, now, "m2", "")
		if list := orders(c.Plan(now)); len(list) > 0 {
			qt.Assert(t, list[0].Op, qt.Equals, place.Unload)
			c.ApplyAnswer(now, list[0], place.Accepted)
			return c, list[0].Key.Model, now
		}
	}
	t.Fatal("no model was unloaded")
	return c, "", now
}

// TestDrainingModelGetsNoRequests guards against requests that are sent to an upstream that refuses them: while an unload waits for
// requests in progress, reports and the list still show the model.
func TestDrainingModelGetsNoRequests(t *testing.T) {
	for _, known := range []bool{true, false} {
		c, model, now := drain(t, known)
		held := []fleet.Held{{Model: "m0"}, {Model: "m1"}}
		for range 6 {
			now = now.Add(200 * time.Millisecond)
			for _, o := range orders(c.Plan(now)) {
				c.ApplyAnswer(now, o, place.Conflict)
			}
			c.Report(now, now, "u", place.Report{Born: 1, Accepted: 1, Busy: true, Held: held, OnDisk: []string{"m0", "m1", "m2"}})
			listed := upstream("u", "m0", "m1")
			listed.Beat = now.UnixNano()
			c.SetUpstreams(now, map[string]fleet.Upstream{"u": listed})
			qt.Assert(t, addRequest(c, now, model, "").Upstream, qt.Equals, "", qt.Commentf("requests known: %v", known))
		}
		// A report that shows the end of the unload is taken as soon as it comes, and the load follows.
		other := "m0"
		if model == "m0" {
			other = "m1"
		}
		c.Report(now, now, "u", place.Report{Born: 1, Accepted: 1, Held: []fleet.Held{{Model: other}}, OnDisk: []string{"m0", "m1", "m2"}})
		addRequest(c, now, "m2", "")
		now = now.Add(100 * time.Millisecond)
		list := orders(c.Plan(now))
		qt.Assert(t, list, qt.HasLen, 1)
		qt.Assert(t, list[0].Op, qt.Equals, place.Load)
		qt.Assert(t, list[0].Key.Model, qt.Equals, "m2")
	}
}

// TestReportAfterAcceptedOrder guards against waiting for the age of a report whose count of orders shows that it is from after the
// last one.
func TestReportAfterAcceptedOrder(t *testing.T) {
	c, model, now := drain(t, true)
	other := "m0"
	if model == "m0" {
		other = "m1"
	}
	now = now.Add(100 * time.Millisecond)
	c.Report(now, now, "u", place.Report{Born: 1, Accepted: 1, Held: []fleet.Held{{Model: other}}, OnDisk: []string{"m2"}})
	addRequest(c, now, "m2", "")
	list := orders(c.Plan(now))
	qt.Assert(t, list, qt.HasLen, 1)
	qt.Assert(t, list[0].Op, qt.Equals, place.Load)
}

// TestAssignedRequestIsNotPending guards against models that keep their memory, and get a second replica, for requests that have been
// served: a rarely used model would count as twice as popular as it is.
func TestAssignedRequestIsNotPending(t *testing.T) {
	list := map[string]fleet.Upstream{"u": upstream("u", "m0"), "v": upstream("v")}
	c := controller(engine(2), start, list)
	c.Plan(start)
	for id, u := range list {
		c.Report(start, start, id, place.Report{Born: 1, Held: u.Held, OnDisk: []string{"m0", "m1"}})
	}
	for i := range 3 {
		f := c.AddRequest(start, place.PendingRequest{
			Request: fmt.Sprint("r", i), Service: "s", DataCentre: "a", Key: place.Key{Model: "m0"}, Deadline: start.Add(time.Minute),
		}, 0)
		qt.Assert(t, f.Upstream, qt.Equals, "u")
	}
	qt.Assert(t, c.Stats().PendingRequests, qt.Equals, 0)
	qt.Assert(t, orders(c.Plan(start)), qt.HasLen, 0)
	c.SetUses(start, "h", []place.Use{{Upstream: "u", Key: place.Key{Model: "m0"}, Running: 2, Started: 2}})
	qt.Assert(t, orders(c.Plan(start)), qt.HasLen, 0)
}

// TestRequestCountsOnce guards against a rate that counts a request twice, when it waits and when its host reports it as started.
func TestRequestCountsOnce(t *testing.T) {
	u := upstream("u")
	u.OnDisk = []string{"m0"}
	v := upstream("v")
	v.OnDisk = []string{"m0"}
	c := controller(engine(1), start, map[string]fleet.Upstream{"u": u, "v": v})
	c.Plan(start)
	for _, id := range []string{"u", "v"} {
		c.Report(start, start, id, place.Report{Born: 1, OnDisk: u.OnDisk})
	}
	request := func(now time.Time) (waiting bool) {
		for i := range 2 {
			f := c.AddRequest(now, place.PendingRequest{
				Request: fmt.Sprint("r", i), Service: "s", DataCentre: "a", Key: place.Key{Model: "m0"}, Deadline: start.Add(time.Minute),
			}, 0)
			waiting = waiting || f.Upstream == ""
		}
		return waiting
	}
	qt.Assert(t, request(start), qt.IsTrue)
	list := orders(c.Plan(start))
	qt.Assert(t, list, qt.HasLen, 1)
	c.ApplyAnswer(start, list[0], place.Accepted)
	now := start.Add(1050 * time.Millisecond)
	c.Plan(now)
	qt.Assert(t, request(now), qt.IsFalse)
	c.SetUses(now, "h", []place.Use{{Upstream: list[0].Upstream, Key: place.Key{Model: "m0"}, Running: 2, Started: 2}})
	qt.Assert(t, orders(c.Plan(now)), qt.HasLen, 0) // Two requests in three seconds are fewer than one a second.
}

// TestBlockedCopyStaysInTheForecast guards against requests that are refused with the time of a load from a slow weight store,
// although an upstream with a copy is only full for the moment.
func TestBlockedCopyStaysInTheForecast(t *testing.T) {
	e := engine(3)
	for name, m := range e.Models {
		m.FromStore = 30 * time.Second
		e.Models[name] = m
	}
	full, empty := upstream("full", "m0", "m1"), upstream("empty")
	full.OnDisk = []string{"m2"}
	c := controller(e, start, map[string]fleet.Upstream{"full": full, "empty": empty})
	c.Report(start, start, "full", place.Report{Born: 1, Held: full.Held, OnDisk: full.OnDisk})
	c.Report(start, start, "empty", place.Report{Born: 1})
	uses := []place.Use{{Upstream: "full", Key: place.Key{Model: "m0"}, Running: 1}, {Upstream: "full", Key: place.Key{Model: "m1"}, Running: 1}}
	for at := time.Duration(0); at < 8*time.Second; at += 500 * time.Millisecond {
		now := start.Add(at)
		c.SetUses(now, "h", uses)
		f := addRequest(c, now, "m2", "")
		qt.Assert(t, f.ReadyAt.Sub(now) <= at+4*time.Second, qt.IsTrue, qt.Commentf("at %v: ready after %v", at, f.ReadyAt.Sub(now)))
		qt.Assert(t, orders(c.Plan(now)), qt.HasLen, 0)
	}
}

// TestStoreLoadSparesOnlyCopies guards against a load from the weight store, during which an upstream takes no other order, on the
// upstream that alone has copies of other models.
func TestStoreLoadSparesOnlyCopies(t *testing.T) {
	busy, spare := upstream("a"), upstream("b")
	busy.OnDisk, spare.OnDisk = []string{"m0", "m1", "m2", "m3"}, []string{"m3"}
	c := controller(engine(5), start, map[string]fleet.Upstream{"a": busy, "b": spare})
	c.Plan(start)
	c.Report(start, start, "a", place.Report{Born: 1, OnDisk: busy.OnDisk})
	c.Report(start, start, "b", place.Report{Born: 1, OnDisk: spare.OnDisk})
	addRequest(c, start, "m4", "")
	list := orders(c.Plan(start))
	qt.Assert(t, list, qt.HasLen, 1)
	qt.Assert(t, list[0].Upstream, qt.Equals, "b")
}

// TestLoadEvictsMemoryCopies guards against forecasts by the time of a load from host memory for weights that an earlier load has evicted:
// requests are sent before the model is ready. The published list is from before that load.
func TestLoadEvictsMemoryCopies(t *testing.T) {
	e := engine(2)
	for name, m := range e.Models {
		m.FromMemory = 500 * time.Millisecond
		e.Models[name] = m
	}
	u := upstream("u")
	u.OnDisk, u.InMemory = []string{"m0", "m1"}, []string{"m0", "m1"}
	c := controller(e, start, map[string]fleet.Upstream{"u": u})
	c.Plan(start)
	c.Report(start, start, "u", place.Report{Born: 1, OnDisk: u.OnDisk, InMemory: u.InMemory})
	qt.Assert(t, addRequest(c, start, "m0", "").ReadyAt.Sub(start), qt.Equals, 500*time.Millisecond)
	list := orders(c.Plan(start))
	qt.Assert(t, list, qt.HasLen, 1)
	c.ApplyAnswer(start, list[0], place.Accepted)
	now := start.Add(400 * time.Millisecond)
	c.Report(now, now, "u", place.Report{Born: 1, Accepted: 1, Busy: true, OnDisk: u.OnDisk, InMemory: u.InMemory})
	now = start.Add(600 * time.Millisecond)
	u.Beat = 2
	c.SetUpstreams(now, map[string]fleet.Upstream{"u": u})
	c.Plan(now)
	qt.Assert(t, addRequest(c, now, "m1", "").ReadyAt.Sub(now), qt.Equals, time.Second)
	now = now.Add(time.Second)
	c.Report(now, now, "u", place.Report{Born: 1, Accepted: 1, Held: []fleet.Held{{Model: "m0"}}, OnDisk: u.OnDisk, InMemory: []string{"m0", "m1"}})
	qt.Assert(t, addRequest(c, now, "m1", "").ReadyAt.Sub(now), qt.Equals, 500*time.Millisecond)
}

// TestAdapterGoesBeforeModels guards against requests for an adapter that wait while the only upstream with its model loads another model:
// it takes no other order meanwhile.
func TestAdapterGoesBeforeModels(t *testing.T) {
	u := upstream("u", "m0")
	u.OnDisk = []string{"m0", "m1"}
	c := controller(engine(2), start, map[string]fleet.Upstream{"u": u})
	c.Plan(start)
	c.Report(start, start, "u", place.Report{Born: 1, Held: u.Held, OnDisk: u.OnDisk})
	for i := range 3 {
		c.AddRequest(start, place.PendingRequest{
			Request: fmt.Sprint("r", i), Service: "s", DataCentre: "a", Key: place.Key{Model: "m1"}, Deadline: start.Add(time.Minute),
		}, 0)
	}
	addRequest(c, start, "m0", "a1")
	for _, key := range []place.Key{{Model: "m0", Adapter: "a1"}, {Model: "m1"}} {
		list := orders(c.Plan(start))
		qt.Assert(t, list, qt.HasLen, 1)
		qt.Assert(t, list[0].Key, qt.Equals, key)
		c.ApplyAnswer(start, list[0], place.Accepted)
	}
	// A forecast for an adapter that has to wait for the load tells so.
	qt.Assert(t, addRequest(c, start, "m0", "a2").ReadyAt.Sub(start) > time.Second, qt.IsTrue)
}

// TestReplicasFollowTheMeanRate guards against one upstream that gets several times the requests of the others, whose prompts delay each
// response there, while others have memory for a replica. The load pattern is popular models, each on few upstreams.
func TestReplicasFollowTheMeanRate(t *testing.T) {
	list := make(map[string]fleet.Upstream)
	for i := range 8 {
		id := fmt.Sprint("u", i)
		list[id] = upstream(id)
	}
	list["u0"], list["u1"] = upstream("u0", "m0"), upstream("u1", "m0")
	c := controller(engine(1), start, list)
	c.Plan(start)
	for id, u := range list {
		c.Report(start, start, id, place.Report{Born: 1, Held: u.Held, OnDisk: []string{"m0"}})
	}
	// 12 requests a second in all are 1.5 for each upstream, and 6 for each replica.
	c.SetUses(start, "h", []place.Use{{Upstream: "u0", Key: place.Key{Model: "m0"}, Started: 18}, {Upstream: "u1", Key: place.Key{Model: "m0"}, Started: 18}})
	loads := orders(c.Plan(start))
	qt.Assert(t, len(loads) >= 3, qt.IsTrue, qt.Commentf("%d replicas ordered", len(loads)))
	qt.Assert(t, len(loads) <= 4, qt.IsTrue, qt.Commentf("%d replicas ordered", len(loads)))
}
