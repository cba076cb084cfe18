package place_test

import (
	"testing"

	qt "github.com/frankban/quicktest"

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
