package cell

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// Guards against idle times that cost more than one and a half times what hindsight would have paid for the same gaps.
func TestIdleTimeoutFollowsGaps(t *testing.T) {
	const load = 20.0
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
			var g gaps
			paid, least := 0.0, 0.0
			for range 5000 {
				gap, wait := draw(r), max(g.timeout(load), DefaultSettings().IdleMin.Seconds())
				paid += min(gap, wait)
				if gap > wait {
					paid += load
				}
				least += min(gap, load)
				g.observe(time.Duration(gap * float64(time.Second)))
			}
			qt.Assert(t, paid/least <= 1.5, qt.IsTrue, qt.Commentf("%.2f", paid/least))
		})
	}
}
