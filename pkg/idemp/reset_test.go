package idemp

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// Guards against a holder and a backup that both miss a blind reset and go on running keys until the new holder is no
// longer blind. Only the freshness rule stops them: without it the key of a caller runs twice.
func TestMissedReset(t *testing.T) {
	for _, stale := range []bool{false, true} {
		c := qt.New(t)
		w := newWorld(5, faults{}, seeded(1))
		w.stale = stale
		w.settle(20)
		old := w.find(w.assigned[0].Holder)
		key := w.keys[0]
		for i := 1; RangeOf(key, 2) != 0; i++ {
			key = w.keys[i]
		}
		w.cutPair(0)
		w.outlast(lostDelay)
		c.Assert(w.assigned[0].BlindEpoch, qt.Equals, w.assigned[0].Epoch)
		next := w.find(w.assigned[0].Holder)
		c.Assert(next.cut, qt.IsFalse)
		w.begin(next, key)
		w.settle(2)
		c.Assert(w.runs[key], qt.Equals, 0, qt.Commentf("the new holder is blind"))
		w.now = w.now.Add(24 * time.Hour)
		w.settle(2)
		w.begin(old, key)
		w.settle(2)
		c.Assert(w.runs[key] == 1, qt.Equals, stale)
		w.now = w.now.Add(10 * time.Minute)
		w.begin(next, key)
		w.settle(2)
		c.Assert(w.err != nil, qt.Equals, stale, qt.Commentf("%v", w.err))
		c.Assert(w.runs[key] == 2, qt.Equals, stale)
	}
}
