package node

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/fireflycleat/fireflycleat/pkg/codes"
	"github.com/fireflycleat/fireflycleat/pkg/fleet"
	"github.com/fireflycleat/fireflycleat/pkg/pick"
	"github.com/fireflycleat/fireflycleat/pkg/place"
)

// TestLongQueueIsRefusedWithItsTime guards against callers that return after a second and are refused again, because a request that does not join a
// long queue is refused as if its service had no upstream.
func TestLongQueueIsRefusedWithItsTime(t *testing.T) {
	t.Parallel()
	n := newChoosingNode(t, fleet.Upstream{ID: "u", Service: "s", Born: 1, Address: "a:1", Slots: 4, Held: []fleet.Held{{Model: "m0"}}})
	n.control.Ask(func() {
		now := time.Now()
		q := pick.Query{Service: "s", Key: place.Key{Model: "m0"}}
		choice, ok := n.table.Choose(now.Add(-3*time.Second), q)
		qt.Check(t, ok, qt.IsTrue)
		a := n.table.StartAttempt(now.Add(-3*time.Second), choice, q)
		n.table.RecordFirstEvent(now.Add(-2*time.Second), a)
		n.table.EndAttempt(now, a, pick.Served)
		n.table.SetPeerRequests(now, "peer", map[string]int{"u": 43})
	})
	_, err := n.choose(t.Context(), newModelCall(time.Second), make(map[string]bool))
	qt.Assert(t, codes.Is(err, codes.OverCapacity), qt.IsTrue, qt.Commentf("%v", err))
	// 40 requests beyond the slots take 20 s, less those that have ended since the report, spread by a quarter.
	retry := codes.From(err).RetryAfter()
	qt.Assert(t, retry > 10*time.Second && retry < 25*time.Second, qt.IsTrue, qt.Commentf("%v", retry))
}
