package place_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/fireflycleat/fireflycleat/pkg/fleet"
	"github.com/fireflycleat/fireflycleat/pkg/place"
)

// BenchmarkPlan measures one plan for a deployment of the given number of upstreams: three models per upstream, nine hubs that
// report five uses per upstream, and half as many models with pending requests as upstreams.
func BenchmarkPlan(b *testing.B) {
	for _, size := range []int{60, 140, 240, 960} {
		b.Run(fmt.Sprint(size), func(b *testing.B) { benchmarkPlan(b, size) })
	}
}

func benchmarkPlan(b *testing.B, size int) {
	e := engine(3 * size)
	list := make(map[string]fleet.Upstream)
	for i := range size {
		id := fmt.Sprintf("u%03d", i)
		list[id] = upstream(id, fmt.Sprintf("m%d", 2*i), fmt.Sprintf("m%d", 2*i+1))
	}
	c := controller(e, start, list)
	for id, u := range list {
		c.Report(start, start, id, place.Report{Born: 1, Held: u.Held})
	}
	for h := range 9 {
		var uses []place.Use
		for i := range 5 * size {
			uses = append(uses, place.Use{
				Upstream: fmt.Sprintf("u%03d", i%size), Key: place.Key{Model: fmt.Sprintf("m%d", i%(2*size))}, Running: 1,
			})
		}
		c.SetUses(start, fmt.Sprint("h", h), uses)
	}
	now := start
	b.ReportAllocs()
	for b.Loop() {
		now = now.Add(10 * time.Millisecond)
		for i := range size / 2 {
			addRequest(c, now, fmt.Sprintf("m%d", 2*size+i), "")
		}
		c.Plan(now)
	}
}

// BenchmarkFewModels measures the steps of a controller of 3,000 upstreams that serve 120 models: a plan, a change of the list, the uses that a
// hub reports, and a request that waits.
func BenchmarkFewModels(b *testing.B) {
	const upstreams, models, hubs = 3000, 120, 9
	e := engine(models)
	e.Slots = 64
	list := make(map[string]fleet.Upstream)
	for i := range upstreams {
		u := upstream(fmt.Sprintf("u%04d", i), fmt.Sprintf("m%d", i%models))
		for j := range 20 {
			u.OnDisk = append(u.OnDisk, fmt.Sprintf("m%d", (i+11*j)%models))
		}
		list[u.ID] = u
	}
	c := controller(e, start, list)
	for id, u := range list {
		c.Report(start, start, id, place.Report{Born: 1, Held: u.Held, OnDisk: u.OnDisk})
	}
	uses := make([][]place.Use, hubs)
	for i := range 5 * upstreams {
		uses[i%hubs] = append(uses[i%hubs], place.Use{Upstream: fmt.Sprintf("u%04d", i%upstreams), Key: place.Key{Model: fmt.Sprintf("m%d", i%upstreams%models)}, Running: 1, Started: 1})
	}
	for h := range uses {
		c.SetUses(start, fmt.Sprint("h", h), uses[h])
	}
	now := start
	for name, step := range map[string]func(i int){
		"plan": func(int) { c.Plan(now) },
		"list": func(_ int) {
			for id, u := range list {
				u.Beat++
				list[id] = u
			}
			c.SetUpstreams(now, list)
		},
		"uses":    func(i int) { c.SetUses(now, fmt.Sprint("h", i%hubs), uses[i%hubs]) },
		"request": func(i int) { addRequest(c, now, fmt.Sprintf("m%d", i%models), fmt.Sprint("a", i%4)) },
		"next":    func(int) { c.Next(now) },
	} {
		b.Run(name, func(b *testing.B) {
			i := 0
			for b.Loop() {
				now = now.Add(10 * time.Millisecond)
				step(i)
				i++
			}
		})
	}
}
