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
