package place_test

import (
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/fireflycleat/fireflycleat/pkg/fleet"
	"github.com/fireflycleat/fireflycleat/pkg/place"
)

type (
	// server simulates an engine that executes one order at a time; overcommitting its memory or adapter slots fails the test.
	server struct {
		born       int64
		accepted   int64
		held       map[string]bool
		adapters   map[string]bool
		loading    string
		loadEndsAt time.Duration
		disk       map[string]bool
		history    []snapshot
	}

	snapshot struct {
		at     time.Duration
		report place.Report
	}

	delayedOrder struct {
		at    time.Duration
		order place.Order
	}

	simulation struct {
		t          *rapid.T
		engine     *fleet.Engine
		servers    map[string]*server
		delayed    []delayedOrder
		heartbeats int64
	}
)

func (s *server) report() place.Report {
	r := place.Report{Born: s.born, Accepted: s.accepted, Busy: s.loading != ""}
	for _, m := range slices.Sorted(maps.Keys(s.held)) {
		h := fleet.Held{Model: m}
		for _, a := range slices.Sorted(maps.Keys(s.adapters)) {
			if a[:len(m)] == m {
				h.Adapters = append(h.Adapters, a[len(m)+1:])
			}
		}
		r.Held = append(r.Held, h)
	}
	r.OnDisk = slices.Sorted(maps.Keys(s.disk))
	return r
}

func (sim *simulation) step(at time.Duration) {
	for _, s := range sim.servers {
		if s.loading != "" && at >= s.loadEndsAt {
			s.held[s.loading], s.disk[s.loading] = true, true
			s.loading = ""
		}
		s.history = append(s.history, snapshot{at, s.report()})
	}
	keep := sim.delayed[:0]
	for _, d := range sim.delayed {
		if at < d.at {
			keep = append(keep, d)
			continue
		}
		sim.apply(at, d.order)
	}
	sim.delayed = keep
}

// apply executes an order as an engine does, and fails the test if the memory or the adapter slots are overcommitted.
func (sim *simulation) apply(at time.Duration, o place.Order) place.Answer {
	s := sim.servers[o.Upstream]
	if s.born != o.Born {
		return place.Replaced
	}
	if s.loading != "" || s.accepted != o.Expect {
		return place.Conflict
	}
	name := o.Key.Model + "/" + o.Key.Adapter
	switch {
	case o.Op == place.Load && o.Key.Adapter == "":
		if s.held[o.Key.Model] {
			return place.AlreadyDone
		}
		s.loading = o.Key.Model
		m := sim.engine.Models[o.Key.Model]
		s.loadEndsAt = at + m.FromStore
		if s.disk[o.Key.Model] {
			s.loadEndsAt = at + m.FromDisk
		}
	case o.Op == place.Load:
		if s.adapters[name] {
			return place.AlreadyDone
		}
		if !s.held[o.Key.Model] {
			return place.Rejected
		}
		s.adapters[name] = true
	case o.Key.Adapter == "":
		delete(s.held, o.Key.Model)
		for a := range s.adapters {
			if a[:len(o.Key.Model)] == o.Key.Model {
				delete(s.adapters, a)
			}
		}
	default:
		delete(s.adapters, name)
		s.accepted++
		return place.AlreadyDone
	}
	s.accepted++
	used := float64(len(s.adapters))
	for m := range s.held {
		used += sim.engine.Models[m].WeightMB
	}
	if s.loading != "" {
		used += sim.engine.Models[s.loading].WeightMB
	}
	if used > sim.engine.MemoryMB || len(s.adapters) > sim.engine.AdapterSlots {
		sim.t.Fatalf("%s is overcommitted at %v by %+v: holds %v, loads %q, adapters %v", o.Upstream, at, o, s.held, s.loading, s.adapters)
	}
	return place.Accepted
}

func (sim *simulation) list() map[string]fleet.Upstream {
	list := make(map[string]fleet.Upstream)
	for id, s := range sim.servers {
		// After an outage of the list, an entry may be as old as the outage was long.
		published := s.history[rapid.IntRange(max(0, len(s.history)-60), len(s.history)-1).Draw(sim.t, "age")]
		sim.heartbeats++
		list[id] = fleet.Upstream{
			ID: id, Born: s.born, Beat: sim.heartbeats, Service: "s", Address: id + ":1", DataCentre: "a", Slots: 8,
			Held: published.report.Held, OnDisk: published.report.OnDisk,
		}
	}
	return list
}

// TestNeverOvercommitted guards against orders that load more onto an upstream than fits, when answers to orders are lost, orders
// are executed late, reports and entries are out of date, upstreams restart and controllers are replaced.
func TestNeverOvercommitted(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		sim := &simulation{t: t, engine: engine(5), servers: make(map[string]*server)}
		for i := range 2 {
			sim.servers[fmt.Sprintf("u%d", i)] = &server{born: 1, held: map[string]bool{"m0": true}, adapters: map[string]bool{}, disk: map[string]bool{}}
		}
		sim.step(0)
		var c *place.Controller
		for at := time.Duration(0); at < 25*time.Second; at += 100 * time.Millisecond {
			now := start.Add(at)
			sim.step(at)
			chance := rapid.IntRange(0, 100).Draw(t, "chance")
			if c == nil || chance == 0 {
				c = controller(sim.engine, now, sim.list())
			}
			if chance == 1 {
				s := sim.servers["u1"]
				*s = server{born: s.born + 1, held: map[string]bool{}, adapters: map[string]bool{}, disk: s.disk}
				sim.step(at)
				c.SetUpstreams(now, sim.list())
			}
			if chance > 80 {
				c.SetUpstreams(now, sim.list())
			}
			model := fmt.Sprintf("m%d", rapid.IntRange(0, 4).Draw(t, "model"))
			adapter := ""
			if chance%3 == 0 {
				adapter = fmt.Sprintf("a%d", chance%4)
			}
			addRequest(c, now, model, adapter)
			sim.runPlans(c, at)
		}
	})
}

// runPlans plans and executes the actions until nothing more is planned.
func (sim *simulation) runPlans(c *place.Controller, at time.Duration) {
	sim.runPlansBeside(c, at, func() {})
}

// runPlansBeside is runPlans with a function that is called before each answer to an order and each report.
func (sim *simulation) runPlansBeside(c *place.Controller, at time.Duration, before func()) {
	now := start.Add(at)
	for range 20 {
		actions := c.Plan(now)
		if len(actions) == 0 {
			return
		}
		for _, a := range actions {
			before()
			if a.Order == nil {
				s := sim.servers[a.Report]
				lag := rapid.IntRange(0, 4).Draw(sim.t, "lag")
				c.Report(now, now, a.Report, s.history[max(0, len(s.history)-1-lag)].report)
				continue
			}
			o := *a.Order
			switch rapid.IntRange(0, 9).Draw(sim.t, "fate") {
			case 0:
				sim.apply(at, o)
				c.ApplyAnswer(now, o, place.NoAnswer)
			case 1:
				sim.delayed = append(sim.delayed, delayedOrder{at + time.Duration(rapid.IntRange(1, 100).Draw(sim.t, "delay"))*100*time.Millisecond, o})
				c.ApplyAnswer(now, o, place.NoAnswer)
			default:
				c.ApplyAnswer(now, o, sim.apply(at, o))
			}
		}
	}
}
