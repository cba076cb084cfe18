package entry

import (
	"math/rand/v2"
	"testing"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"
)

// Guards against a request without exactly one end, a send to a leaving upstream, a second run of a call that may not be
// repeated, a late refusal, too many hedges and leaks, under late, duplicated and crossed events.
func TestMachine(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		draw := func(n int) int { return rapid.IntRange(0, n-1).Draw(t, "n") }
		w := newWorld(draw, uint64(draw(1000)), mutant{})
		for range 60 + draw(100) {
			w.step()
			if w.fault != "" {
				t.Fatal(w.fault)
			}
		}
		w.drain()
		if w.fault != "" {
			t.Fatal(w.fault)
		}
	})
}

// runSeed plays a long random history and returns the first fault.
func runSeed(seed uint64, m mutant) string {
	r := rand.New(rand.NewPCG(seed, 7))
	w := newWorld(r.IntN, seed, m)
	for i := 0; i < 1500 && w.fault == ""; i++ {
		w.step()
	}
	w.drain()
	return w.fault
}

// Guards against faults that need long histories.
func TestLongHistories(t *testing.T) {
	for seed := range uint64(100) {
		if fault := runSeed(seed, mutant{}); fault != "" {
			t.Fatalf("seed %d: %s", seed, fault)
		}
	}
}

// Guards against checks that cannot fail: each broken rule must be noticed.
func TestMutantsAreCaught(t *testing.T) {
	for name, m := range map[string]mutant{
		"doubleEnd":     {doubleEnd: true},
		"resendAll":     {resendAll: true},
		"lateRefusal":   {lateRefusal: true},
		"freeHedges":    {freeHedges: true},
		"sloppyRelease": {sloppyRelease: true},
	} {
		t.Run(name, func(t *testing.T) {
			fault := ""
			for seed := uint64(0); seed < 300 && fault == ""; seed++ {
				fault = runSeed(seed, m)
			}
			qt.Assert(t, fault, qt.Not(qt.Equals), "")
			t.Log(fault)
		})
	}
}
