package cell

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// TestIdleTimeoutFollowsGaps guards against idle timeouts that cost more than 1.5 times the optimum for the same gaps
// known in advance.
func TestIdleTimeoutFollowsGaps(t *testing.T) {
	const loadCost = 20.0
	for name, draw := range map[string]func(*rand.Rand) float64{
		"short":       func(r *rand.Rand) float64 { return r.ExpFloat64() * 5 },
		"break even":  func(r *rand.Rand) float64 { return r.ExpFloat64() * 30 },
		"long":        func(r *rand.Rand) float64 { return r.ExpFloat64() * 300 },
		"rare":        func(r *rand.Rand) float64 { return 1000 + r.ExpFloat64()*3000 },
		"heavy tail":  func(r *rand.Rand) float64 { return math.Exp(r.NormFloat64()*1.5 + 3) },
		"bursts":      func(r *rand.Rand) float64 { return r.ExpFloat64()*3 + 600*float64(r.IntN(5)/4) },
		"bursts rare": func(r *rand.Rand) float64 { return r.ExpFloat64()*3 + 600*float64(min(r.IntN(5), 1)) },
	} {
		t.Run(name, func(t *testing.T) {
			r := rand.New(rand.NewPCG(1, 2))
			var g gapHistogram
			cost, optimum := 0.0, 0.0
			for range 5000 {
				gap, timeout := draw(r), max(g.timeout(loadCost), DefaultSettings().IdleMin.Seconds())
				cost += min(gap, timeout)
				if gap > timeout {
					cost += loadCost
				}
				optimum += min(gap, loadCost)
				g.observe(time.Duration(gap * float64(time.Second)))
			}
			qt.Assert(t, cost/optimum <= 1.5, qt.IsTrue, qt.Commentf("%.2f", cost/optimum))
		})
	}
}

// TestLateFiguresAndDrain guards against a model that stays loaded because late engine figures still show a request that
// the hosts have reported as ended, and against an unload that relies on figures from before the drain.
func TestLateFiguresAndDrain(t *testing.T) {
	c := qt.New(t)
	tc := newTestCell(1, testModel("a", 10*gib, 1))
	tc.handle(Demand{Host: "h", Model: "a", Normal: 1, EarliestDeadline: tc.now.Add(time.Minute)})
	tc.run(3 * time.Second)
	tc.handle(Use{Host: "h", Model: "a", InFlight: 1})
	tc.handle(Demand{Host: "h", Model: "a"})
	tc.running["a"] = 1
	tc.run(time.Second)
	u := tc.c.upstreams[0]
	tc.statuses[u.name].ReportedAt = tc.now
	tc.run(100 * time.Millisecond)
	c.Assert(tc.c.model("a").active, qt.IsTrue)
	tc.handle(Use{Host: "h", Model: "a"})
	c.Assert(tc.c.model("a").active, qt.IsFalse)
	tc.running["a"] = 0
	tc.run(10 * time.Second)
	c.Assert(tc.isListed("a"), qt.IsFalse)
	c.Assert(tc.countOrders(OpUnload, "a"), qt.Equals, 0, qt.Commentf("no figures from after the drain"))
	r := u.replicas[0]
	tc.statuses[u.name].ReportedAt = r.retiredAt.Add(tc.c.settings.DrainDelay)
	tc.run(300 * time.Millisecond)
	c.Assert(tc.countOrders(OpUnload, "a"), qt.Equals, 1)
	c.Assert(tc.c.draining, qt.HasLen, 0)
}
