package retry

import (
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"
)

// TestDecide guards against a second run of a request that is not repeatable, and against restarts of a stream that has delivered
// tokens.
func TestDecide(t *testing.T) {
	for _, x := range []struct {
		result     Result
		repeatable bool
		delivered  int
		want       Decision
	}{
		{Done, true, 0, Stop},
		{NotRun, false, 0, Restart},
		{NotRun, true, 0, Restart},
		{Failed, false, 0, Stop},
		{Unknown, false, 0, Stop},
		{Cancelled, false, 0, Stop},
		{Failed, true, 0, Restart},
		{Unknown, true, 0, Restart},
		{Unknown, true, 7, Resume},
		{Unknown, false, 7, Stop},
		{NotRun, false, 7, Stop}, // The tokens prove that it ran.
	} {
		qt.Check(t, Decide(x.result, x.repeatable, x.delivered), qt.Equals, x.want, qt.Commentf("%+v", x))
	}
}

// TestBudgets guards against retries and hedges beyond the share that was earned.
func TestBudgets(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		share := rapid.Float64Range(0, 0.5).Draw(t, "share")
		hedges, retries := NewHedgeBudget(share), NewBudget(share)
		earned, hedged, retried := 0, 0, 0
		for range rapid.IntRange(1, 300).Draw(t, "steps") {
			if rapid.Bool().Draw(t, "earn") {
				earned++
				hedges.Earn()
				retries.Earn()
				continue
			}
			if hedges.Take() {
				hedged++
			}
			if retries.Take() {
				retried++
			}
		}
		if float64(hedged) > share*float64(earned)+1e-9 || float64(retried) > burst+share*float64(earned)+1e-9 {
			t.Fatalf("%d hedges, %d retries, %d earned at %v", hedged, retried, earned, share)
		}
	})
}

// TestBackoff guards against synchronised retries, and against unbounded backoff.
func TestBackoff(t *testing.T) {
	r := rand.New(rand.NewPCG(1, 1))
	seen := make(map[time.Duration]bool)
	for number := range 100 {
		d := Backoff(number, r)
		qt.Check(t, d > 0 && d <= maxBackoff, qt.IsTrue)
		seen[d] = true
	}
	qt.Check(t, len(seen) > 90, qt.IsTrue)
}

// TestLatency guards against quantiles that are wrong or do not follow a change of the latency.
func TestLatency(t *testing.T) {
	var l Latency
	r := rand.New(rand.NewPCG(1, 1))
	for _, scale := range []time.Duration{time.Millisecond, 20 * time.Millisecond, 2 * time.Millisecond} {
		for range 3 * windowSamples {
			l.Add(time.Duration(r.IntN(100)) * scale)
		}
		qt.Check(t, l.Median() > 35*scale && l.Median() < 65*scale, qt.IsTrue, qt.Commentf("%v", l.Median()))
		qt.Check(t, l.P95() > 85*scale && l.P95() < 105*scale, qt.IsTrue, qt.Commentf("%v", l.P95()))
	}
}
