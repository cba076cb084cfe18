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
