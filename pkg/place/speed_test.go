package place_test

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/fireflycleat/fireflycleat/pkg/fleet"
	"github.com/fireflycleat/fireflycleat/pkg/place"
)

// emptyUpstreams returns a controller with the given number of empty upstreams.
func emptyUpstreams(e *fleet.Engine, upstreams int) *place.Controller {
	list := make(map[string]fleet.Upstream)
	for i := range upstreams {
		id := fmt.Sprintf("u%02d", i)
		list[id] = upstream(id)
	}
	c := controller(e, start, list)
	c.Plan(start)
	for id := range list {
		c.Report(start, start, id, place.Report{Born: 1})
	}
	return c
}

// fourLoads returns a controller and the four concurrent loads from the weight store that it has ordered.
func fourLoads(t *testing.T) (*place.Controller, []place.Order) {
	e := engine(10)
	e.LoadsPerSecond = 10
	c := emptyUpstreams(e, 10)
	for i := range 4 {
		addRequest(c, start, fmt.Sprintf("m%d", i), "")
	}
	list := orders(c.Plan(start))
	qt.Assert(t, list, qt.HasLen, 4)
	for _, o := range list {
		c.ApplyAnswer(start, o, place.Accepted)
	}
	return c, list
}

// TestForecastLearnsTheSpeedOfTheWeightStore guards against requests that wait until their deadline because of a wrong forecast:
// many rarely used models are requested at the same time, and the weight store runs fewer loads at full speed than assumed.
func TestForecastLearnsTheSpeedOfTheWeightStore(t *testing.T) {
	c, list := fourLoads(t)
	last := list[3]
	before := addRequest(c, start, last.Key.Model, "").ReadyAt
	qt.Assert(t, before, qt.Equals, start.Add(6*time.Second))
	// The store runs two concurrent loads at full speed: the third load takes 1.5 times as long, the fourth twice as long.
	for i, o := range list[:3] {
		took := 6 * time.Second * time.Duration(max(i+1, 2)) / 2
		now := start.Add(took + 100*time.Millisecond)
		c.Report(now, now, o.Upstream, place.Report{Born: 1, Accepted: 1, Held: []fleet.Held{{Model: o.Key.Model}}})
	}
	qt.Assert(t, addRequest(c, start.Add(9200*time.Millisecond), last.Key.Model, "").ReadyAt, qt.Equals, start.Add(12*time.Second))
}

// TestLateLoadCorrectsTheForecast guards against a forecast that stays unchanged while the load is overdue.
func TestLateLoadCorrectsTheForecast(t *testing.T) {
	c, list := fourLoads(t)
	now := start.Add(7 * time.Second)
	c.Report(now, now, list[3].Upstream, place.Report{Born: 1, Accepted: 1, Busy: true})
	qt.Assert(t, addRequest(c, now, list[3].Key.Model, "").ReadyAt, qt.Equals, start.Add(8*time.Second))
}

// TestMostOverloadedModelIsReplicatedFirst guards against loads from the weight store for less loaded models, or for rarely used
// models whose requests cannot be served in time, when demand shifts to a model with few replicas.
func TestMostOverloadedModelIsReplicatedFirst(t *testing.T) {
	e := engine(30)
	e.LoadsPerSecond = 10
	list := map[string]fleet.Upstream{"hot": upstream("hot", "m9"), "warm": upstream("warm", "m1")}
	for i := range 10 {
		id := fmt.Sprintf("u%02d", i)
		list[id] = upstream(id)
	}
	c := controller(e, start, list)
	c.Plan(start)
	for id, u := range list {
		c.Report(start, start, id, place.Report{Born: 1, Held: u.Held})
	}
	c.SetUses(start, "h", []place.Use{
		{Upstream: "warm", Key: place.Key{Model: "m1"}, Running: 4, Started: 3},
		{Upstream: "hot", Key: place.Key{Model: "m9"}, Running: 40, Started: 60},
	})
	for i := 10; i < 20; i++ {
		addRequest(c, start, fmt.Sprintf("m%d", i), "")
	}
	loads := orders(c.Plan(start))
	qt.Assert(t, len(loads) >= 4, qt.IsTrue)
	for _, o := range loads[:4] {
		qt.Assert(t, o.Key.Model, qt.Equals, "m9", qt.Commentf("%v", loads))
	}
}
