package place_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/fireflycleat/fireflycleat/pkg/fleet"
	"github.com/fireflycleat/fireflycleat/pkg/place"
)

// BenchmarkPlan measures one plan for 60 upstreams, 185 models, nine hubs that report 300 uses each, and 30 models with pending
// requests.
func BenchmarkPlan(b *testing.B) {
	e := engine(185)
	list := make(map[string]fleet.Upstream)
	for i := range 60 {
		id := fmt.Sprintf("u%02d", i)
		list[id] = upstream(id, fmt.Sprintf("m%d", 2*i), fmt.Sprintf("m%d", 2*i+1))
	}
	c := controller(e, start, list)
	for id, u := range list {
		c.Report(start, start, id, place.Report{Born: 1, Held: u.Held})
	}
	for h := range 9 {
		var uses []place.Use
		for i := range 300 {
			uses = append(uses, place.Use{Upstream: fmt.Sprintf("u%02d", i%60), Key: place.Key{Model: fmt.Sprintf("m%d", i%120)}, Running: 1})
		}
		c.SetUses(start, fmt.Sprint("h", h), uses)
	}
	now := start
	b.ReportAllocs()
	for b.Loop() {
		now = now.Add(10 * time.Millisecond)
		for i := range 30 {
			addRequest(c, now, fmt.Sprintf("m%d", 130+i), "")
		}
		c.Plan(now)
	}
}
