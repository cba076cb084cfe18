package clocks

import (
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// TestRemote guards against bounds that exclude the reading of the other clock, or that stay too wide. The clocks are hours apart
// and drift, answers are late, and the other clock steps once.
func TestRemote(t *testing.T) {
	for seed := range uint64(50) {
		c, rng := qt.New(t), rand.New(rand.NewPCG(seed, 1))
		start := time.Unix(1_700_000_000, 0)
		offset, drift := time.Duration(rng.IntN(12)-6)*time.Hour, float64(rng.IntN(3)-1)/2000
		remote := func(at time.Duration) time.Time {
			step := time.Duration(0)
			if at > time.Hour {
				step = -time.Hour
			}
			return start.Add(offset + step + at + time.Duration(drift*float64(at)))
		}
		var r Remote
		c.Assert([]bool{r.Known(), r.Earliest(start).IsZero(), r.Latest(start).IsZero(), r.EarliestLocal(start).IsZero()}, qt.DeepEquals,
			[]bool{false, true, true, true})
		for at := time.Duration(0); at < 2*time.Hour; {
			asked := at
			at += time.Duration(rng.IntN(200)) * time.Millisecond
			shown := remote(at).Truncate(time.Second)
			at += time.Duration(rng.IntN(200)) * time.Millisecond
			r.Observe(start.Add(asked), start.Add(at), shown, shown.Add(time.Second))
			for _, d := range []time.Duration{-time.Minute, 0, 10 * time.Minute} {
				if s := at + d; s >= 0 && (s > time.Hour) == (at > time.Hour) {
					local, want := start.Add(s), remote(s)
					c.Assert(r.Earliest(local).After(want) || r.Latest(local).Before(want), qt.IsFalse, qt.Commentf("%v %v", seed, at))
					c.Assert(r.EarliestLocal(want).After(local), qt.IsFalse)
					c.Assert(r.EstimateLocal(want).Sub(local).Abs() < 3*time.Second, qt.IsTrue)
				}
			}
			c.Assert(r.Latest(start.Add(at)).Sub(r.Earliest(start.Add(at))) < 1500*time.Millisecond, qt.IsTrue)
			at += time.Duration(rng.IntN(60_000)) * time.Millisecond
		}
	}
}

// TestRebase guards against instants that are shifted by the offset between two clocks, and against a zero time that becomes an
// instant.
func TestRebase(t *testing.T) {
	now := time.Unix(5000, 0)
	sent := Rebase(now.Add(-time.Minute), now, Epoch)
	qt.Assert(t, Rebase(sent, Epoch, now.Add(time.Hour)), qt.Equals, now.Add(59*time.Minute))
	qt.Assert(t, Rebase(time.Time{}, now, Epoch).IsZero(), qt.IsTrue)
}
