package node

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// TestPollTimesStayWithinTheBounds guards against a host that depends on a hub and receives a change later than the bound allows:
// the age of the hub's data, a lost heartbeat, the next heartbeat and the host's own read of the store add up.
func TestPollTimesStayWithinTheBounds(t *testing.T) {
	for _, bound := range []int{2000, 3000, 5000, 20_000} {
		p := newPollTimes(LimitSettings{ConfigMS: bound, LeaveMS: bound})
		limit := time.Duration(bound) * time.Millisecond
		qt.Check(t, p.listInterval+heartbeatInterval+heartbeatTimeout <= limit, qt.IsTrue, qt.Commentf("%+v", p))
		qt.Check(t, p.configPollWait+heartbeatInterval+heartbeatTimeout <= limit, qt.IsTrue, qt.Commentf("%+v", p))
		qt.Check(t, p.listInterval < p.maxListAge && p.maxListAge < limit, qt.IsTrue, qt.Commentf("%+v", p))
		qt.Check(t, p.configPollWait < p.maxConfigAge && p.maxConfigAge < limit, qt.IsTrue, qt.Commentf("%+v", p))
	}
}

// TestBackoff guards against retries at an unbounded rate, and against a delay so long that a host detects late that the store is
// back.
func TestBackoff(t *testing.T) {
	qt.Assert(t, backoff(1), qt.Equals, retryDelay)
	qt.Assert(t, backoff(2), qt.Equals, 2*retryDelay)
	qt.Assert(t, backoff(100), qt.Equals, maxRetryDelay)
}
