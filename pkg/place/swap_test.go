package place_test

import (
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
