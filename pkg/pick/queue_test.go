package pick_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/fireflycleat/fireflycleat/pkg/fleet"
	"github.com/fireflycleat/fireflycleat/pkg/pick"
	"github.com/fireflycleat/fireflycleat/pkg/place"
)

// TestStandingQueueIsJoinedOnTime guards against a queue in which each caller waits as long as it can: a popular model has one copy and gets more
// requests than it serves, so that all responses are late although no more are served than with a short queue. The queue of a burst, which has
// not lasted as long, is joined by whoever can wait for its end.
func TestStandingQueueIsJoinedOnTime(t *testing.T) {
	table := newTable(fleet.Upstream{ID: "u", DataCentre: "a", Held: []fleet.Held{{Model: "m"}}})
	q := pick.Query{Service: "s", Key: place.Key{Model: "m"}}
	c, _ := table.Choose(start, q)
	for range 20 {
		a := table.StartAttempt(start, c, q)
		table.RecordFirstEvent(start.Add(time.Second), a)
		table.EndAttempt(start.Add(5*time.Second), a, pick.Served)
	}
	wait := pick.Wait{Patience: 3 * time.Second, Left: 3 * time.Second, Objective: 800 * time.Millisecond}
	now := start.Add(6 * time.Second)
	refuse := func(running int, w pick.Wait) time.Duration {
		table.SetPeerRequests(now, "h2", map[string]int{"u": running})
		table.Expire(now)
		c, _ := table.Choose(now, q)
		return table.Refuse(now, c, w)
	}
	// A request that is the nth beyond the 48 slots waits for n/12 s.
	qt.Assert(t, refuse(77, wait), qt.Equals, time.Duration(0), qt.Commentf("the queue of a burst"))
	qt.Assert(t, refuse(87, wait) > wait.Left, qt.IsTrue, qt.Commentf("a queue that outlasts its caller's patience"))
	now = now.Add(3100 * time.Millisecond)
	qt.Assert(t, refuse(77, wait) >= wait.Patience, qt.IsTrue, qt.Commentf("the queue stands"))
	qt.Assert(t, refuse(53, wait), qt.Equals, time.Duration(0), qt.Commentf("the response can be on time"))
	qt.Assert(t, refuse(77, pick.Wait{Patience: 3 * time.Second, Left: 3 * time.Second}), qt.Equals, time.Duration(0), qt.Commentf("without an objective"))
	urgent := wait
	urgent.Ranks = 3
	qt.Assert(t, refuse(77, urgent), qt.Equals, time.Duration(0), qt.Commentf("it overtakes others"))
	qt.Assert(t, refuse(77, pick.Wait{}), qt.Equals, time.Duration(0), qt.Commentf("it waits as long as necessary"))
	refuse(40, wait)
	qt.Assert(t, refuse(77, wait), qt.Equals, time.Duration(0), qt.Commentf("the queue has ended in between"))
}
