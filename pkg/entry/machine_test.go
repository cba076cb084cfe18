package entry

import (
	"math/rand/v2"
	"testing"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"
)

// TestMachine guards against requests that do not end exactly once, sends to leaving upstreams, second runs of calls that are
// not repeatable, late refusals, too many hedges and leaks when events are late, duplicated or reordered.
func TestMachine(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		draw := func(n int) int { return rapid.IntRange(0, n-1).Draw(t, "n") }
		s := newRandomSim(draw, uint64(draw(1000)), mutant{})
		for range 60 + draw(100) {
			s.step()
			if s.failure != "" {
				t.Fatal(s.failure)
			}
		}
		s.drain()
		if s.failure != "" {
			t.Fatal(s.failure)
		}
	})
}

// runSeed runs 1500 random steps and returns the first failure, or an empty string.
func runSeed(seed uint64, m mutant) string {
	r := rand.New(rand.NewPCG(seed, 7))
	s := newRandomSim(r.IntN, seed, m)
	for i := 0; i < 1500 && s.failure == ""; i++ {
		s.step()
	}
	s.drain()
	return s.failure
}

// TestLongHistories guards against faults that only appear after many events.
func TestLongHistories(t *testing.T) {
	for seed := range uint64(100) {
		if failure := runSeed(seed, mutant{}); failure != "" {
			t.Fatalf("seed %d: %s", seed, failure)
		}
	}
}

// TestMutantsAreCaught guards against checks that cannot fail: each disabled rule must cause a failure.
func TestMutantsAreCaught(t *testing.T) {
	for name, m := range map[string]mutant{
		"doubleEnd":       {doubleEnd: true},
		"resendAll":       {resendAll: true},
		"lateRefusal":     {lateRefusal: true},
		"unlimitedHedges": {unlimitedHedges: true},
		"keepAbandoned":   {keepAbandoned: true},
	} {
		t.Run(name, func(t *testing.T) {
			failure := ""
			for seed := uint64(0); seed < 300 && failure == ""; seed++ {
				failure = runSeed(seed, m)
			}
			qt.Assert(t, failure, qt.Not(qt.Equals), "")
			t.Log(failure)
		})
	}
}
