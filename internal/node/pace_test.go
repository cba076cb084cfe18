package node

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// TestPaceStaysWithinTheBounds guards against a host that depends on a hub and learns of a change later than the bound allows:
// the age of the hub's news, one heartbeat that is lost, the next one, and the host's own reading of the store.
func TestPaceStaysWithinTheBounds(t *testing.T) {
	for _, bound := range []int{2000, 3000, 5000, 20_000} {
		p := newPace(LimitSettings{ConfigMS: bound, LeaveMS: bound})
		limit := time.Duration(bound) * time.Millisecond
		qt.Check(t, p.listInterval+beatInterval+beatTimeout <= limit, qt.IsTrue, qt.Commentf("%+v", p))
		qt.Check(t, p.configWait+beatInterval+beatTimeout <= limit, qt.IsTrue, qt.Commentf("%+v", p))
		qt.Check(t, p.listInterval < p.listLife && p.listLife < limit, qt.IsTrue, qt.Commentf("%+v", p))
		qt.Check(t, p.configWait < p.configLife && p.configLife < limit, qt.IsTrue, qt.Commentf("%+v", p))
	}
}

// TestBackoff guards against refused calls at an unbounded rate, and against a host that learns too late that the store is back.
func TestBackoff(t *testing.T) {
	qt.Assert(t, backoff(1), qt.Equals, retryTime)
	qt.Assert(t, backoff(2), qt.Equals, 2*retryTime)
	qt.Assert(t, backoff(100), qt.Equals, longestRetry)
}
