package place

import (
	"fmt"
	"maps"
	"math"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/fireflycleat/fireflycleat/pkg/fleet"
)

// randomController drives a controller of a few upstreams through random events.
func randomController(t *rapid.T) (*Controller, time.Time) {
	now := time.Unix(1000, 0)
	e := &fleet.Engine{Slots: 12, MemoryMB: 200, AdapterSlots: 4, LoadsPerSecond: 50, Models: make(map[string]fleet.Model)}
	models := rapid.IntRange(2, 12).Draw(t, "models")
	name := rapid.Custom(func(t *rapid.T) string { return fmt.Sprintf("m%d", rapid.IntRange(0, models-1).Draw(t, "model")) })
	for i := range models {
		m := fleet.Model{Name: fmt.Sprintf("m%d", i), AdapterMB: 1, Adapters: i % 3, FromStore: 8 * time.Second, FromDisk: 1500 * time.Millisecond}
		m.WeightMB = float64(rapid.IntRange(40, 75).Draw(t, "weight"))
		e.Models[m.Name] = m
	}
	c := New(DefaultSettings())
	c.Configure(map[string]*fleet.Engine{"s": e})
	list := make(map[string]fleet.Upstream)
	names := rapid.SliceOfNDistinct(name, 0, 2, rapid.ID[string])
	put := func(i int) {
		u := fleet.Upstream{ID: fmt.Sprintf("u%d", i), Born: int64(rapid.IntRange(1, 2).Draw(t, "born")), Service: "s", Slots: 12, DataCentre: "a"}
		u.Beat = list[u.ID].Beat + 1
		u.Leaving = rapid.IntRange(0, 9).Draw(t, "leaving") == 0
		for _, m := range names.Draw(t, "held") {
			u.Held = append(u.Held, fleet.Held{Model: m})
		}
		u.OnDisk = names.Draw(t, "disk")
		list[u.ID] = u
	}
	upstreams := rapid.IntRange(1, 6).Draw(t, "upstreams")
	for i := range upstreams {
		put(i)
	}
	c.SetUpstreams(now, list)
	var sent []Order
	for range rapid.IntRange(1, 30).Draw(t, "events") {
		now = now.Add(time.Duration(rapid.IntRange(1, 800).Draw(t, "ms")) * time.Millisecond)
		id := fmt.Sprintf("u%d", rapid.IntRange(0, upstreams-1).Draw(t, "upstream"))
		switch rapid.IntRange(0, 6).Draw(t, "event") {
		case 0:
			put(rapid.IntRange(0, upstreams-1).Draw(t, "changed"))
			c.SetUpstreams(now, list)
		case 1:
			delete(list, id)
			c.SetUpstreams(now, list)
		case 2:
			u := list[id]
			c.Report(now, now, id, Report{Born: u.Born, Accepted: int64(rapid.IntRange(0, 5).Draw(t, "accepted")), Held: u.Held, OnDisk: names.Draw(t, "disk")})
		case 3:
			c.RecordReportFailure(now, id)
		case 4:
			m := name.Draw(t, "wanted")
			c.AddRequest(now, PendingRequest{Request: m, Service: "s", Key: Key{Model: m}, Deadline: now.Add(time.Minute)}, 0)
		case 5:
			c.SetUses(now, "h", []Use{{Upstream: id, Key: Key{Model: name.Draw(t, "used")}, Running: rapid.IntRange(0, 9).Draw(t, "running"), Started: 1}})
		case 6:
			for i, o := range sent {
				if rapid.Bool().Draw(t, "answered") {
					c.ApplyAnswer(now, o, Answer(rapid.IntRange(0, int(NoAnswer)).Draw(t, "answer")))
					sent = slices.Delete(sent, i, i+1)
					break
				}
			}
		}
		for _, a := range c.Plan(now) {
			if a.Order != nil {
				sent = append(sent, *a.Order)
			}
		}
	}
	return c, now
}

// TestIndexMatchesUpstreams guards against an index that misses an upstream or names one that no longer holds a model: requests
// would be refused, or sent to an upstream without the model.
func TestIndexMatchesUpstreams(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c, _ := randomController(t)
		holders, copies := make(map[string][]*upstream), make(map[string][]*upstream)
		for _, u := range c.upstreams {
			for m := range u.replicas {
				insertUpstream(holders, m, u)
			}
			for m := range u.memory {
				insertUpstream(copies, m, u)
			}
			for m := range u.disk {
				insertUpstream(copies, m, u)
			}
		}
		if n := len(c.sortedUpstreams()); n != len(c.upstreams) {
			t.Fatalf("%d sorted upstreams of %d", n, len(c.upstreams))
		}
		for _, x := range []struct{ got, want map[string][]*upstream }{{c.index.holders, holders}, {c.index.copies, copies}} {
			if !maps.EqualFunc(x.got, x.want, slices.Equal) {
				t.Fatalf("index %v, upstreams %v", x.got, x.want)
			}
		}
	})
}

// TestTargetMatchesScan guards against a search that skips the best upstream: its order of candidates and its bound must not change
// the cost that a scan of all upstreams finds.
func TestTargetMatchesScan(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c, now := randomController(t)
		c.preparePlan()
		e := c.engines["s"]
		for name, m := range e.Models {
			for _, s := range []search{{}, {pending: true}, {fromStore: true}, {pending: true, fromStore: true}} {
				lowest := math.Inf(1)
				for _, u := range c.upstreams {
					x, ok := c.targetOn(now, u, "s", e, m)
					if !ok || !s.pending && x.wait > 0 || !s.fromStore && x.fromStore {
						continue
					}
					lowest = min(lowest, c.cost(x))
				}
				got, ok := c.bestTarget(now, "s", e, name, s)
				cost := math.Inf(1)
				if ok {
					cost = c.cost(got)
				}
				if cost != lowest && !(math.Abs(cost-lowest) < 1e-6) {
					t.Fatalf("model %s, search %+v: cost %v, with a scan %v", name, s, cost, lowest)
				}
			}
		}
	})
}
