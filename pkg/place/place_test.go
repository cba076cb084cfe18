package place_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/fireflycleat/fireflycleat/pkg/fleet"
	"github.com/fireflycleat/fireflycleat/pkg/place"
)

var start = time.Unix(1000, 0)

func engine(models int) *fleet.Engine {
	e := &fleet.Engine{Slots: 8, MemoryMB: 100, AdapterSlots: 2, LoadsPerSecond: 4, Models: make(map[string]fleet.Model)}
	for i := range models {
		name := fmt.Sprintf("m%d", i)
		e.Models[name] = fleet.Model{Name: name, WeightMB: 45, AdapterMB: 1, Adapters: 4, FromStore: 6 * time.Second, FromDisk: time.Second, FromMemory: time.Second}
	}
	return e
}

func controller(e *fleet.Engine, now time.Time, list map[string]fleet.Upstream) *place.Controller {
	c := place.New(place.DefaultSettings())
	c.Configure(map[string]*fleet.Engine{"s": e})
	c.SetUpstreams(now, list)
	c.BeginTerm(now)
	return c
}

func upstream(id string, held ...string) fleet.Upstream {
	u := fleet.Upstream{ID: id, Born: 1, Beat: 1, Service: "s", Address: id + ":1", DataCentre: "a", Slots: 8}
	for _, m := range held {
		u.Held = append(u.Held, fleet.Held{Model: m})
	}
	return u
}

func orders(actions []place.Action) (list []place.Order) {
	for _, a := range actions {
		if a.Order != nil {
			list = append(list, *a.Order)
		}
	}
	return list
}

func addRequest(c *place.Controller, now time.Time, model, adapter string) place.Forecast {
	return c.AddRequest(now, place.PendingRequest{
		Request: model + adapter, Service: "s", DataCentre: "a", Key: place.Key{Model: model, Adapter: adapter}, Deadline: now.Add(time.Minute),
	}, 0)
}

// TestLoadOfAnotherControllerBlocksOrders guards against an overcommitted upstream: a load ordered by an earlier controller uses
// memory, but reports do not list its model until it is ready.
func TestLoadOfAnotherControllerBlocksOrders(t *testing.T) {
	c := controller(engine(3), start, map[string]fleet.Upstream{"u": upstream("u", "m0")})
	addRequest(c, start, "m2", "")
	qt.Assert(t, orders(c.Plan(start)), qt.HasLen, 0)
	c.Report(start, start, "u", place.Report{Born: 1, Accepted: 3, Busy: true, Held: []fleet.Held{{Model: "m0"}}})
	for at := time.Duration(0); at < 3*time.Second; at += 100 * time.Millisecond {
		addRequest(c, start.Add(at), "m2", "")
		qt.Assert(t, orders(c.Plan(start.Add(at))), qt.HasLen, 0, qt.Commentf("at %v", at))
	}
	now := start.Add(3 * time.Second)
	c.Report(now, now, "u", place.Report{Born: 1, Accepted: 3, Held: []fleet.Held{{Model: "m0"}, {Model: "m1"}}})
	addRequest(c, now, "m2", "")
	list := orders(c.Plan(now))
	qt.Assert(t, list, qt.HasLen, 1)
	qt.Assert(t, list[0].Op, qt.Equals, place.Unload)
	qt.Assert(t, list[0].Expect, qt.Equals, int64(3))
}

// requestThirdAdapter returns a controller of an upstream whose two adapter slots are taken, and the unload that it orders
// for a third adapter.
func requestThirdAdapter(t *testing.T) (*place.Controller, place.Order) {
	u := upstream("u")
	u.Held = []fleet.Held{{Model: "m0", Adapters: []string{"a1", "a2"}}}
	c := controller(engine(1), start, map[string]fleet.Upstream{"u": u})
	c.Plan(start)
	c.Report(start, start, "u", place.Report{Born: 1, Accepted: 7, Held: u.Held})
	addRequest(c, start, "m0", "a3")
	list := orders(c.Plan(start))
	qt.Assert(t, list, qt.HasLen, 1)
	qt.Assert(t, list[0].Op, qt.Equals, place.Unload)
	return c, list[0]
}

// TestUnloadedAdapterCountsAsOrder guards against conflicts because the unload of an adapter, answered with AlreadyDone, is not
// counted as an accepted order.
func TestUnloadedAdapterCountsAsOrder(t *testing.T) {
	c, unload := requestThirdAdapter(t)
	c.ApplyAnswer(start, unload, place.AlreadyDone)
	list := orders(c.Plan(start))
	qt.Assert(t, list, qt.HasLen, 1)
	qt.Assert(t, list[0].Key.Adapter, qt.Equals, "a3")
	qt.Assert(t, list[0].Expect, qt.Equals, int64(8))
}

// TestPublishedStateDoesNotReplaceAReport guards against an overcommitted upstream: after an outage of the published list, its
// entries are older than the reports that a new controller has received.
func TestPublishedStateDoesNotReplaceAReport(t *testing.T) {
	u := upstream("u", "m0")
	c := controller(engine(3), start, map[string]fleet.Upstream{"u": u})
	c.Plan(start)
	c.Report(start, start, "u", place.Report{Born: 1, Accepted: 4, Held: []fleet.Held{{Model: "m0"}, {Model: "m1"}}})
	now := start.Add(5 * time.Second)
	u.Beat = 2
	c.SetUpstreams(now, map[string]fleet.Upstream{"u": u})
	addRequest(c, now, "m2", "")
	for _, o := range orders(c.Plan(now)) {
		qt.Assert(t, o.Op, qt.Equals, place.Unload)
	}
}

// TestOneTargetPerReplica guards against cascading unloads: while memory is freed on one upstream for a model, later plans must
// not choose another upstream for the same replica and unload models there too.
func TestOneTargetPerReplica(t *testing.T) {
	list := make(map[string]fleet.Upstream)
	for _, id := range []string{"u1", "u2", "u3", "u4"} {
		list[id] = upstream(id, "m0", "m1")
	}
	list["u1"] = upstream("u1", "m0", "m2")
	c := controller(engine(3), start, list)
	c.Plan(start)
	for id, u := range list {
		c.Report(start, start, id, place.Report{Born: 1, Accepted: 0, Held: u.Held, OnDisk: []string{"m2"}})
	}
	c.SetUses(start, "h", []place.Use{{Upstream: "u1", Key: place.Key{Model: "m2"}, Running: 1, Started: 5}})
	unloads := 0
	for i := range 5 {
		for _, o := range orders(c.Plan(start.Add(time.Duration(i) * time.Millisecond))) {
			qt.Assert(t, o.Op, qt.Equals, place.Unload)
			unloads++
		}
	}
	qt.Assert(t, unloads, qt.Equals, 1)
}

// TestLoadRate guards against more loads from the weight store within a window than Engine.LoadsPerSecond permits, even if the
// previous controller ordered as many just before.
func TestLoadRate(t *testing.T) {
	e := engine(40)
	e.LoadsPerSecond = 0.8
	c := emptyUpstreams(e, 20)
	var loads []time.Duration
	for at := time.Duration(0); at < 20*time.Second; at += 100 * time.Millisecond {
		now := start.Add(at)
		for i := range 10 {
			addRequest(c, now, fmt.Sprintf("m%d", (int(at/time.Second)*3+i)%40), "")
		}
		for _, o := range orders(c.Plan(now)) {
			loads = append(loads, at)
			c.ApplyAnswer(now, o, place.Accepted)
		}
	}
	qt.Assert(t, len(loads) > 4, qt.IsTrue)
	for i := 2; i < len(loads); i++ {
		qt.Assert(t, loads[i]-loads[i-2] > 5*time.Second, qt.IsTrue, qt.Commentf("loads at %v", loads))
	}
}

// TestUnreachableUpstreamGetsNoOrders guards against orders and requests to an engine that crashed or hangs while its entry is
// still listed: after a failed request for a report its models are loaded elsewhere until it reports again.
func TestUnreachableUpstreamGetsNoOrders(t *testing.T) {
	c := controller(engine(1), start, map[string]fleet.Upstream{"u1": upstream("u1", "m0"), "u2": upstream("u2")})
	c.Plan(start)
	c.Report(start, start, "u1", place.Report{Born: 1, Held: []fleet.Held{{Model: "m0"}}})
	c.Report(start, start, "u2", place.Report{Born: 1})
	qt.Assert(t, addRequest(c, start, "m0", "").Upstream, qt.Equals, "u1")
	c.RecordRefusal(start, "u1", place.Key{Model: "m0"})
	c.Plan(start)
	c.RecordReportFailure(start, "u1")
	qt.Assert(t, addRequest(c, start, "m0", "").Upstream, qt.Equals, "")
	list := orders(c.Plan(start))
	qt.Assert(t, list, qt.HasLen, 1)
	qt.Assert(t, list[0].Upstream, qt.Equals, "u2")
	c.Report(start, start, "u1", place.Report{Born: 1, Held: []fleet.Held{{Model: "m0"}}})
	qt.Assert(t, addRequest(c, start, "m0", "").Upstream, qt.Equals, "u1")
}

// TestUnloadingAdapterKeepsItsSlot guards against an overcommitted upstream when the demand for adapters changes faster than uses
// are reported: an unload that still waits for requests must not free the slot.
func TestUnloadingAdapterKeepsItsSlot(t *testing.T) {
	c, unload := requestThirdAdapter(t)
	c.ApplyAnswer(start, unload, place.Accepted)
	now := start.Add(time.Second)
	addRequest(c, now, "m0", "a3")
	for _, o := range orders(c.Plan(now)) {
		qt.Assert(t, o.Op, qt.Equals, place.Unload)
		c.ApplyAnswer(now, o, place.Conflict)
	}
	c.Report(now, now, "u", place.Report{Born: 1, Accepted: 8, Held: []fleet.Held{{Model: "m0", Adapters: []string{"a1", "a2"}}}})
	now = now.Add(time.Second)
	addRequest(c, now, "m0", "a3")
	for _, o := range orders(c.Plan(now)) {
		qt.Assert(t, o.Op, qt.Equals, place.Unload)
		c.ApplyAnswer(now, o, place.Conflict)
	}
	remaining := []string{"a1", "a2"}
	remaining = slices.DeleteFunc(remaining, func(a string) bool { return a == unload.Key.Adapter })
	now = now.Add(time.Second)
	c.Report(now, now, "u", place.Report{Born: 1, Accepted: 8, Held: []fleet.Held{{Model: "m0", Adapters: remaining}}})
	addRequest(c, now, "m0", "a3")
	loads := orders(c.Plan(now))
	qt.Assert(t, loads, qt.HasLen, 1)
	qt.Assert(t, loads[0].Key, qt.Equals, place.Key{Model: "m0", Adapter: "a3"})
	qt.Assert(t, loads[0].Op, qt.Equals, place.Load)
}

// TestUnresponsiveEngineGetsFewOrders guards against a new order at each event for an engine that crashed and does not answer.
func TestUnresponsiveEngineGetsFewOrders(t *testing.T) {
	c := controller(engine(1), start, map[string]fleet.Upstream{"u": upstream("u", "m0")})
	c.Plan(start)
	c.Report(start, start, "u", place.Report{Born: 1, Held: []fleet.Held{{Model: "m0"}}})
	sent := 0
	for i := range 50 {
		now := start.Add(time.Duration(i) * 10 * time.Millisecond)
		addRequest(c, now, "m0", "a3")
		for _, o := range orders(c.Plan(now)) {
			sent++
			c.ApplyAnswer(now, o, place.NoAnswer)
		}
	}
	qt.Assert(t, sent, qt.Equals, 2)
}

// TestLoadingAdapterKeepsItsSlot guards against an overcommitted upstream when many adapters are loaded at the same time: an
// adapter that is being loaded takes a slot before a report lists it as held.
func TestLoadingAdapterKeepsItsSlot(t *testing.T) {
	u := upstream("u")
	u.Held = []fleet.Held{{Model: "m0", Adapters: []string{"a1"}}}
	c := controller(engine(1), start, map[string]fleet.Upstream{"u": u})
	c.Plan(start)
	c.Report(start, start, "u", place.Report{
		Born: 1, Accepted: 7, Held: u.Held, LoadingAdapters: []place.Key{{Model: "m0", Adapter: "a2"}},
	})
	addRequest(c, start, "m0", "a3")
	list := orders(c.Plan(start))
	qt.Assert(t, list, qt.HasLen, 1)
	qt.Assert(t, list[0].Op, qt.Equals, place.Unload)
}

// TestRefusalFreesNoSlot guards against a slot that is counted as free because a full engine refused a request, although the
// adapter is loaded.
func TestRefusalFreesNoSlot(t *testing.T) {
	u := upstream("u")
	u.Held = []fleet.Held{{Model: "m0", Adapters: []string{"a1", "a2"}}}
	c := controller(engine(1), start, map[string]fleet.Upstream{"u": u})
	c.Plan(start)
	c.Report(start, start, "u", place.Report{Born: 1, Accepted: 7, Held: u.Held})
	c.RecordRefusal(start, "u", place.Key{Model: "m0", Adapter: "a2"})
	addRequest(c, start, "m0", "a3")
	list := orders(c.Plan(start))
	qt.Assert(t, list, qt.HasLen, 1)
	qt.Assert(t, list[0].Op, qt.Equals, place.Unload)
}

// TestLoadedModelStays guards against a model that is unloaded to load another one before the requests that it was loaded for
// arrive.
func TestLoadedModelStays(t *testing.T) {
	u := upstream("u", "m0")
	u.OnDisk = []string{"m1", "m2"}
	c := controller(engine(3), start, map[string]fleet.Upstream{"u": u})
	c.Report(start, start, "u", place.Report{Born: 1, Held: u.Held, OnDisk: u.OnDisk})
	c.SetUses(start, "h", []place.Use{{Upstream: "u", Key: place.Key{Model: "m0"}, Running: 1}})
	addRequest(c, start, "m1", "")
	list := orders(c.Plan(start))
	qt.Assert(t, list, qt.HasLen, 1)
	c.ApplyAnswer(start, list[0], place.Accepted)
	now := start.Add(1100 * time.Millisecond)
	c.Report(now, now, "u", place.Report{Born: 1, Accepted: 1, Held: []fleet.Held{{Model: "m0"}, {Model: "m1"}}, OnDisk: u.OnDisk})
	qt.Assert(t, addRequest(c, now, "m1", "").Upstream, qt.Equals, "u")
	c.RemoveRequest("m1") // The host sends its request; no heartbeat has reported it yet.
	residency := place.DefaultSettings().MinResidency
	for at := time.Duration(0); at < residency; at += 100 * time.Millisecond {
		addRequest(c, now.Add(at), "m2", "")
		qt.Assert(t, orders(c.Plan(now.Add(at))), qt.HasLen, 0, qt.Commentf("after %v", at))
	}
	addRequest(c, now.Add(residency), "m2", "")
	list = orders(c.Plan(now.Add(residency)))
	qt.Assert(t, list, qt.HasLen, 1)
	qt.Assert(t, list[0].Op, qt.Equals, place.Unload)
	qt.Assert(t, list[0].Key.Model, qt.Equals, "m1")
}

// TestLoadFromDiskIsReadyAtItsTime guards against requests that wait for the report of a load whose duration is known; reports are
// half a second old. A newer report corrects a wrong duration.
func TestLoadFromDiskIsReadyAtItsTime(t *testing.T) {
	u := upstream("u")
	u.OnDisk = []string{"m0", "m1"}
	c := controller(engine(2), start, map[string]fleet.Upstream{"u": u})
	c.Report(start, start, "u", place.Report{Born: 1, OnDisk: u.OnDisk})
	forecast := addRequest(c, start, "m1", "")
	qt.Assert(t, forecast.ReadyAt, qt.Equals, start.Add(time.Second))
	list := orders(c.Plan(start))
	qt.Assert(t, list, qt.HasLen, 1)
	c.ApplyAnswer(start, list[0], place.Accepted)
	now := start.Add(900 * time.Millisecond)
	c.Plan(now)
	qt.Assert(t, addRequest(c, now, "m1", "").Upstream, qt.Equals, "")
	due := c.Next(now)
	for c.Plan(due); addRequest(c, due, "m1", "").Upstream == "" && due.Sub(start) < 1050*time.Millisecond; c.Plan(due) {
		due = c.Next(due)
	}
	qt.Assert(t, addRequest(c, due, "m1", "").Upstream, qt.Equals, "u", qt.Commentf("after %v", due.Sub(start)))
	qt.Assert(t, c.TakeReady(), qt.HasLen, 1)
	busy := place.Report{Born: 1, Accepted: 1, Busy: true, OnDisk: u.OnDisk}
	early := due.Add(100 * time.Millisecond)
	c.Report(early, early, "u", busy)
	qt.Assert(t, addRequest(c, early, "m1", "").Upstream, qt.Equals, "u")
	later := due.Add(place.DefaultSettings().ReportLag)
	c.Report(later, later, "u", busy)
	qt.Assert(t, addRequest(c, later, "m1", "").Upstream, qt.Equals, "")
	qt.Assert(t, orders(c.Plan(later)), qt.HasLen, 0)
}

// TestWaitsForFullUpstreamWithCopy guards against a slow load from the weight store, and a forecast of it, for a model that an
// upstream has a copy of but cannot load for a moment because it is full. It also guards against waiting for that upstream
// forever.
func TestWaitsForFullUpstreamWithCopy(t *testing.T) {
	full, empty := upstream("full", "m0", "m1"), upstream("empty")
	full.OnDisk = []string{"m2"}
	c := controller(engine(3), start, map[string]fleet.Upstream{"full": full, "empty": empty})
	c.Report(start, start, "full", place.Report{Born: 1, Held: full.Held, OnDisk: full.OnDisk})
	c.Report(start, start, "empty", place.Report{Born: 1})
	uses := []place.Use{{Upstream: "full", Key: place.Key{Model: "m0"}, Running: 1}, {Upstream: "full", Key: place.Key{Model: "m1"}, Running: 1}}
	c.SetUses(start, "h", uses)
	forecast := addRequest(c, start, "m2", "")
	qt.Assert(t, forecast.ReadyAt.Sub(start) <= 3500*time.Millisecond, qt.IsTrue, qt.Commentf("ready after %v", forecast.ReadyAt.Sub(start)))
	qt.Assert(t, orders(c.Plan(start)), qt.HasLen, 0)

	// Once the upstream can free memory, the model is loaded there.
	now := start.Add(time.Second)
	c.SetUses(now, "h", uses[:1])
	addRequest(c, now, "m2", "")
	list := orders(c.Plan(now))
	qt.Assert(t, list, qt.HasLen, 1)
	qt.Assert(t, list[0].Upstream, qt.Equals, "full")
	qt.Assert(t, list[0].Key.Model, qt.Equals, "m1")
	qt.Assert(t, list[0].Op, qt.Equals, place.Unload)

	// If the upstream stays full, the model is loaded elsewhere in the end.
	c = controller(engine(3), start, map[string]fleet.Upstream{"full": full, "empty": empty})
	c.Report(start, start, "full", place.Report{Born: 1, Held: full.Held, OnDisk: full.OnDisk})
	c.Report(start, start, "empty", place.Report{Born: 1})
	c.SetUses(start, "h", uses)
	list = nil
	for at := time.Duration(0); len(list) == 0 && at < 6*time.Second; at += 200 * time.Millisecond {
		addRequest(c, start.Add(at), "m2", "")
		list = orders(c.Plan(start.Add(at)))
	}
	qt.Assert(t, list, qt.HasLen, 1)
	qt.Assert(t, list[0].Upstream, qt.Equals, "empty")
	qt.Assert(t, list[0].Op, qt.Equals, place.Load)
}

// TestBusyModelMakesRoom guards against requests for a rarely used model that are refused for as long as all models of the only
// upstreams with a copy of it have requests in progress. The load pattern is many models on few engines, each with a trickle of requests.
func TestBusyModelMakesRoom(t *testing.T) {
	full, busy := upstream("full", "m0", "m1"), upstream("busy", "m1")
	full.OnDisk = []string{"m0", "m1", "m2"}
	c := controller(engine(3), start, map[string]fleet.Upstream{"full": full, "busy": busy})
	c.Report(start, start, "full", place.Report{Born: 1, Held: full.Held, OnDisk: full.OnDisk})
	c.Report(start, start, "busy", place.Report{Born: 1, Held: busy.Held})
	uses := func(model string) place.Use {
		return place.Use{Upstream: "full", Key: place.Key{Model: model}, Running: 2, Started: 2}
	}
	c.SetUses(start, "h", []place.Use{uses("m0"), uses("m1")})
	addRequest(c, start, "m2", "")
	list := orders(c.Plan(start))
	qt.Assert(t, list, qt.HasLen, 1)
	qt.Assert(t, list[0].Op, qt.Equals, place.Unload)
	qt.Assert(t, list[0].Key.Model, qt.Equals, "m1", qt.Commentf("the model with another replica gives way"))
	c.ApplyAnswer(start, list[0], place.Accepted)

	// The engine refuses orders until the requests in progress have ended, so none is sent before a report shows that.
	for at := time.Duration(0); at < 2*time.Second; at += 100 * time.Millisecond {
		now := start.Add(at)
		addRequest(c, now, "m2", "")
		for _, a := range c.Plan(now) {
			qt.Assert(t, a.Order, qt.IsNil, qt.Commentf("after %v", at))
			if a.Report != "" {
				c.Report(now, now, a.Report, place.Report{Born: 1, Accepted: 1, Busy: true, Held: full.Held[:1], OnDisk: full.OnDisk})
			}
		}
	}
	now := start.Add(2 * time.Second)
	c.Report(now, now, "full", place.Report{Born: 1, Accepted: 1, Held: full.Held[:1], OnDisk: full.OnDisk})
	addRequest(c, now, "m2", "")
	list = orders(c.Plan(now))
	qt.Assert(t, list, qt.HasLen, 1)
	qt.Assert(t, list[0].Op, qt.Equals, place.Load)
	qt.Assert(t, list[0].Key.Model, qt.Equals, "m2")
}

// TestPausedUpstreamGetsNoOrders guards against orders and requests for reports to an upstream that wants none for a while, against a
// forecast that ignores that time, and against an upstream that counts as unreachable for it.
func TestPausedUpstreamGetsNoOrders(t *testing.T) {
	c := controller(engine(2), start, map[string]fleet.Upstream{"u": upstream("u", "m0")})
	c.Pause("u", 2, start.Add(time.Hour)) // of another start of the upstream
	c.Plan(start)
	now := start.Add(time.Second)
	c.Report(now, now, "u", place.Report{Born: 1, Held: []fleet.Held{{Model: "m0"}}})
	until := now.Add(20 * time.Second)
	c.Pause("u", 1, until)
	c.Pause("u", 1, until.Add(-time.Second))
	c.RecordReportFailure(now, "u")
	qt.Assert(t, addRequest(c, now, "m0", "").Upstream, qt.Equals, "u", qt.Commentf("other hosts may use it"))
	for ; now.Before(until); now = now.Add(time.Second) {
		ready := addRequest(c, now, "m1", "").ReadyAt
		qt.Assert(t, !ready.Before(until.Add(6*time.Second)), qt.IsTrue, qt.Commentf("ready %v after the pause", ready.Sub(until)))
		qt.Assert(t, c.Plan(now), qt.HasLen, 0)
		qt.Assert(t, c.Next(now).After(until), qt.IsFalse)
	}
	actions := c.Plan(now)
	qt.Assert(t, orders(actions), qt.HasLen, 1)
	qt.Assert(t, actions[0].Order.Key.Model, qt.Equals, "m1")
}

// TestAvoidedHolderIsNoPlaceToWait guards against a request that is sent back to an upstream that its host must not use, or waits for it,
// although the model can be loaded elsewhere.
func TestAvoidedHolderIsNoPlaceToWait(t *testing.T) {
	c := controller(engine(1), start, map[string]fleet.Upstream{"u1": upstream("u1", "m0"), "u2": upstream("u2")})
	c.Plan(start)
	now := start.Add(time.Second)
	c.Report(now, now, "u1", place.Report{Born: 1, Held: []fleet.Held{{Model: "m0"}}})
	c.Report(now, now, "u2", place.Report{Born: 1})
	p := place.PendingRequest{Request: "r1", Service: "s", Key: place.Key{Model: "m0"}, Deadline: now.Add(time.Minute)}
	qt.Assert(t, c.AddRequest(now, p, 0).Upstream, qt.Equals, "u1")
	qt.Assert(t, orders(c.Plan(now)), qt.HasLen, 0)
	c.RemoveRequest("r1")
	p.Avoid = []string{"u1"}
	f := c.AddRequest(now, p, 0)
	qt.Assert(t, f.Upstream, qt.Equals, "")
	qt.Assert(t, !f.ReadyAt.Before(now.Add(6*time.Second)), qt.IsTrue, qt.Commentf("time of a load: %v", f.ReadyAt.Sub(now)))
	list := orders(c.Plan(now))
	qt.Assert(t, list, qt.HasLen, 1)
	qt.Assert(t, list[0].Upstream, qt.Equals, "u2")
}
