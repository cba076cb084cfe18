package place_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/fireflycleat/fireflycleat/pkg/fleet"
	"github.com/fireflycleat/fireflycleat/pkg/place"
)

// takeOver returns a controller whose term begins while the upstream busy, which has a copy of m1, carries out an order of an earlier controller.
// The others hold m0 and m2, which no request is for, and have the given copies.
func takeOver(others ...fleet.Upstream) *place.Controller {
	list := map[string]fleet.Upstream{"busy": upstream("busy")}
	for _, u := range others {
		list[u.ID] = u
	}
	c := controller(engine(3), start, list)
	c.Plan(start)
	reportBusy(c, start)
	for _, u := range others {
		c.Report(start, start, u.ID, place.Report{Born: 1, Held: u.Held, OnDisk: u.OnDisk})
	}
	return c
}

func reportBusy(c *place.Controller, now time.Time) {
	c.Report(now, now, "busy", place.Report{Born: 1, Accepted: 3, Busy: true, OnDisk: []string{"m1"}})
}

// TestBusyUpstreamDoesNotHoldAModel guards against requests that wait until their end for a model on the disk of two upstreams: one stays busy with
// an order of an earlier controller, and counts as the one that can load it first all the while.
func TestBusyUpstreamDoesNotHoldAModel(t *testing.T) {
	other := upstream("other", "m0", "m2")
	other.OnDisk = []string{"m1"}
	c := takeOver(other)
	for at := time.Duration(0); at < time.Second; at += 100 * time.Millisecond {
		now := start.Add(at)
		reportBusy(c, now)
		addRequest(c, now, "m1", "")
		if list := orders(c.Plan(now)); len(list) > 0 {
			qt.Assert(t, list[0].Upstream, qt.Equals, "other")
			return
		}
	}
	t.Fatal("nothing was ordered on the upstream that accepts orders")
}

// TestBusyUpstreamIsForecastLater guards against requests that are told again and again that a model is ready in a second, while the only
// upstream with a copy stays busy with an order of an earlier controller.
func TestBusyUpstreamIsForecastLater(t *testing.T) {
	c := takeOver()
	now := start.Add(3 * time.Second)
	reportBusy(c, now)
	qt.Assert(t, addRequest(c, now, "m1", "").ReadyAt.Sub(now) > 3*time.Second, qt.IsTrue)
	c.Report(now, now, "busy", place.Report{Born: 1, Accepted: 3, OnDisk: []string{"m1"}})
	qt.Assert(t, orders(c.Plan(now)), qt.HasLen, 1)
}

// TestRefusalShowsUnloadOfAnotherController guards against requests that are sent again and again to an upstream that unloads their model on the
// order of an earlier controller: it refuses them, while its reports list the model until the responses in progress have ended.
func TestRefusalShowsUnloadOfAnotherController(t *testing.T) {
	busy, other := upstream("busy", "m0"), upstream("other")
	other.OnDisk = []string{"m0"}
	c := controller(engine(3), start, map[string]fleet.Upstream{"busy": busy, "other": other})
	c.Plan(start)
	report := func(now time.Time) {
		c.Report(now, now, "busy", place.Report{Born: 1, Accepted: 3, Busy: true, Held: busy.Held})
	}
	report(start)
	c.Report(start, start, "other", place.Report{Born: 1, OnDisk: other.OnDisk})
	key := place.Key{Model: "m0"}
	uses := func(running int) []place.Use { return []place.Use{{Upstream: "busy", Key: key, Running: running}} }
	c.SetUses(start, "h", uses(8))
	c.RecordRefusal(start, "busy", key)
	qt.Assert(t, addRequest(c, start, "m0", "").Upstream, qt.Equals, "busy", qt.Commentf("it has no slot"))
	c.SetUses(start, "h", uses(2))
	c.RecordRefusal(start, "busy", key)
	now := start.Add(100 * time.Millisecond)
	report(now)
	qt.Assert(t, addRequest(c, now, "m0", "").Upstream, qt.Equals, "")
	list := orders(c.Plan(now))
	qt.Assert(t, list, qt.HasLen, 1)
	qt.Assert(t, list[0].Upstream, qt.Equals, "other")
	c.Report(now, now, "busy", place.Report{Born: 1, Accepted: 3})
	c.Report(now.Add(time.Second), now.Add(time.Second), "busy", place.Report{Born: 1, Accepted: 4, Held: busy.Held})
	qt.Assert(t, addRequest(c, now.Add(time.Second), "m0", "").Upstream, qt.Equals, "busy", qt.Commentf("it has been loaded again"))
}
