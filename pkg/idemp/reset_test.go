package idemp

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// TestMissedReset guards against a holder and a backup that both miss a reset and continue to run keys until the new holder accepts
// earlier keys again. Only the rule that hosts with stale state refuse work prevents this: without it, a caller's key runs twice.
func TestMissedReset(t *testing.T) {
	for _, acceptWhenStale := range []bool{false, true} {
		c := qt.New(t)
		s := newSimulation(5, faults{}, seeded(1))
		s.acceptWhenStale = acceptWhenStale
		s.runRounds(20)
		old := s.findNode(s.assigned[0].Holder)
		key := s.keys[0]
		for i := 1; RangeOf(key, 2) != 0; i++ {
			key = s.keys[i]
		}
		s.partitionPair(0)
		s.advance(suspectedLossDelay)
		c.Assert(s.assigned[0].StateLostEpoch, qt.Equals, s.assigned[0].Epoch)
		next := s.findNode(s.assigned[0].Holder)
		c.Assert(next.partitioned, qt.IsFalse)
		s.begin(next, key)
		s.runRounds(2)
		c.Assert(s.runs[key], qt.Equals, 0, qt.Commentf("the new holder refuses keys from before the reset"))
		s.now = s.now.Add(24 * time.Hour)
		s.runRounds(2)
		s.begin(old, key)
		s.runRounds(2)
		c.Assert(s.runs[key] == 1, qt.Equals, acceptWhenStale)
		s.now = s.now.Add(10 * time.Minute)
		s.begin(next, key)
		s.runRounds(2)
		c.Assert(s.err != nil, qt.Equals, acceptWhenStale, qt.Commentf("%v", s.err))
		c.Assert(s.runs[key] == 2, qt.Equals, acceptWhenStale)
	}
}
