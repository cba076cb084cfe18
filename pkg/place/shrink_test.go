package place_test

import (
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"github.com/fireflycleat/fireflycleat/pkg/fleet"
	"github.com/fireflycleat/fireflycleat/pkg/place"
)

// TestServiceRemovedDuringAnOrder guards against a configuration without a service whose upstream has an order in flight: the controller
// panicked, which ends the process and each request in it.
func TestServiceRemovedDuringAnOrder(t *testing.T) {
	c := controller(engine(2), start, map[string]fleet.Upstream{"u": upstream("u")})
	c.Plan(start)
	c.Report(start, start, "u", place.Report{Born: 1})
	addRequest(c, start, "m1", "")
	list := orders(c.Plan(start))
	qt.Assert(t, list, qt.HasLen, 1)
	c.Configure(map[string]*fleet.Engine{})
	c.SetUpstreams(start, map[string]fleet.Upstream{"u": upstream("u")})
	c.Plan(start)
	c.Stats()
	c.ApplyAnswer(start, list[0], place.Accepted)
	addRequest(c, start, "m1", "")
	c.Plan(start)
}

// TestModelRemovedWhileLoaded guards against an upstream that is ordered to load more than fits, because a model that it still holds is no
// longer configured and counts as having no weights.
func TestModelRemovedWhileLoaded(t *testing.T) {
	held := []fleet.Held{{Model: "m0"}, {Model: "m1"}}
	c := controller(engine(3), start, map[string]fleet.Upstream{"u": upstream("u", "m0", "m1")})
	c.Plan(start)
	c.Report(start, start, "u", place.Report{Born: 1, Held: held})
	c.SetUses(start, "h", []place.Use{{Upstream: "u", Key: place.Key{Model: "m0"}, Running: 1}, {Upstream: "u", Key: place.Key{Model: "m1"}, Running: 1}})
	smaller := engine(3)
	delete(smaller.Models, "m0")
	c.Configure(map[string]*fleet.Engine{"s": smaller})
	c.SetUpstreams(start, map[string]fleet.Upstream{"u": upstream("u", "m0", "m1")})
	addRequest(c, start, "m2", "")
	for _, o := range orders(c.Plan(start)) {
		qt.Check(t, o.Op, qt.Equals, place.Unload, qt.Commentf("%+v", o))
	}
}

// TestUnconfiguredModelGivesWay guards against an upstream that takes no loads any more, because a model that is no longer configured is never
// unloaded.
func TestUnconfiguredModelGivesWay(t *testing.T) {
	held := []fleet.Held{{Model: "m0"}, {Model: "m1"}}
	list := map[string]fleet.Upstream{"u": upstream("u", "m0", "m1")}
	c := controller(engine(3), start, list)
	c.Plan(start)
	c.Report(start, start, "u", place.Report{Born: 1, Held: held})
	smaller := engine(3)
	delete(smaller.Models, "m0")
	c.Configure(map[string]*fleet.Engine{"s": smaller})
	c.SetUpstreams(start, list)
	var got []place.Order
	for at := time.Duration(0); at < 10*time.Second; at += 100 * time.Millisecond {
		now := start.Add(at)
		c.SetUses(now, "h", []place.Use{{Upstream: "u", Key: place.Key{Model: "m1"}, Running: 1}})
		addRequest(c, now, "m2", "")
		for _, o := range orders(c.Plan(now)) {
			got = append(got, o)
			c.ApplyAnswer(now, o, place.Accepted)
			if o.Op == place.Unload {
				held = slices.DeleteFunc(held, func(x fleet.Held) bool { return x.Model == o.Key.Model })
			}
			later := now.Add(time.Second)
			c.Report(later, later, "u", place.Report{Born: 1, Accepted: int64(len(got)), Held: held})
		}
	}
	qt.Assert(t, len(got) >= 2, qt.IsTrue, qt.Commentf("%+v", got))
	qt.Check(t, got[0].Op, qt.Equals, place.Unload)
	qt.Check(t, got[0].Key.Model, qt.Equals, "m0")
	qt.Check(t, got[1].Key.Model, qt.Equals, "m2")
}

// TestModelRemovedDuringItsLoad guards against wrong forecasts for all other loads: a model that was removed after its load was ordered
// has no configured load time, so that the weight store seemed to run one load at a time.
func TestModelRemovedDuringItsLoad(t *testing.T) {
	e := engine(10)
	e.LoadsPerSecond = 10
	c := emptyUpstreams(e, 10)
	addRequest(c, start, "m0", "")
	list := orders(c.Plan(start))
	qt.Assert(t, list[0].Key.Model, qt.Equals, "m0")
	smaller := engine(10)
	smaller.LoadsPerSecond = 10
	delete(smaller.Models, "m0")
	c.Configure(map[string]*fleet.Engine{"s": smaller})
	now := start.Add(6 * time.Second)
	for _, o := range slices.Backward(list) {
		c.ApplyAnswer(start, o, place.Accepted)
		c.Report(now, now, o.Upstream, place.Report{Born: 1, Accepted: 1, Held: []fleet.Held{{Model: o.Key.Model}}})
	}
	for i := 6; i < 10; i++ {
		addRequest(c, now, fmt.Sprintf("m%d", i), "")
	}
	for _, o := range orders(c.Plan(now)) {
		c.ApplyAnswer(now, o, place.Accepted)
	}
	for i := 6; i < 10; i++ {
		f := addRequest(c, now, fmt.Sprintf("m%d", i), "")
		qt.Check(t, f.ReadyAt, qt.Equals, now.Add(6*time.Second), qt.Commentf("m%d", i))
	}
}

// shrunkEngines returns the engines of a configuration: those of services "s" and "r", each of which may lack.
func shrunkEngines(t *rapid.T, full *fleet.Engine) map[string]*fleet.Engine {
	engines := make(map[string]*fleet.Engine)
	for _, service := range []string{"s", "r"} {
		if rapid.IntRange(0, 3).Draw(t, "removed") == 0 {
			continue
		}
		e := *full
		e.Models = maps.Clone(full.Models)
		for _, m := range slices.Sorted(maps.Keys(full.Models)) {
			if rapid.IntRange(0, 3).Draw(t, "model removed") == 0 {
				delete(e.Models, m)
			}
		}
		engines[service] = &e
	}
	return engines
}

// TestAnyConfigurationDuringOrders guards against configurations that remove, add or rename services and models while orders, loads,
// reports and requests are in progress: the controller panicked, or ordered more than an upstream holds.
func TestAnyConfigurationDuringOrders(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		sim := &simulation{t: t, engine: engine(5), servers: make(map[string]*server)}
		for i := range 2 {
			sim.servers[fmt.Sprintf("u%d", i)] = &server{born: 1, held: map[string]bool{"m0": true}, adapters: map[string]bool{}, disk: map[string]bool{}}
		}
		sim.step(0)
		c := controller(sim.engine, start, sim.list())
		for at := time.Duration(0); at < 12*time.Second; at += 100 * time.Millisecond {
			now := start.Add(at)
			sim.step(at)
			if rapid.IntRange(0, 4).Draw(t, "configure") == 0 {
				c.Configure(shrunkEngines(t, sim.engine))
				list := sim.list()
				if rapid.Bool().Draw(t, "renamed") {
					u := list["u1"]
					u.Service = "r"
					list["u1"] = u
				}
				c.SetUpstreams(now, list)
			}
			for _, service := range []string{"s", "r", "none"} {
				model := fmt.Sprintf("m%d", rapid.IntRange(0, 5).Draw(t, "model"))
				c.AddRequest(now, place.PendingRequest{Request: service + model, Service: service, Key: place.Key{Model: model}, Deadline: now.Add(time.Minute)}, 0)
			}
			sim.runPlansBeside(c, at, func() {
				if rapid.IntRange(0, 9).Draw(t, "configure in flight") == 0 {
					c.Configure(shrunkEngines(t, sim.engine))
					c.SetUpstreams(now, sim.list())
				}
			})
			c.Stats()
			c.Next(now)
			c.TakeReady()
			c.TakeChanged()
		}
	})
}
