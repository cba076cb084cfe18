package node

import (
	"io"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/fireflycleat/fireflycleat/internal/conns"
	"github.com/fireflycleat/fireflycleat/internal/telem"
	"github.com/fireflycleat/fireflycleat/pkg/lease"
)

// TestUpdatesEndAfterTwoHops guards against two hosts that forward the same update to each other endlessly, because each counts as
// dependent on the other.
func TestUpdatesEndAfterTwoHops(t *testing.T) {
	t.Parallel()
	now := time.Now()
	n := &Node{hubs: map[string]bool{"hub": true, "both": true}, members: map[string]*member{
		"hub":    {Member: Member{Name: "hub"}, lastSeen: now},
		"both":   {Member: Member{Name: "both"}, lastSeen: now, lastQuery: now},
		"child":  {Member: Member{Name: "child"}, lastSeen: now, lastQuery: now},
		"other":  {Member: Member{Name: "other"}, lastSeen: now},
		"silent": {Member: Member{Name: "silent"}, lastSeen: now.Add(-livenessTimeout), lastQuery: now},
	}}
	for hops, want := range []struct{ hubs, children []string }{{[]string{"both", "hub"}, []string{"child"}}, {nil, []string{"both", "child"}}, {}} {
		hubs, children := n.recipients(now, hops)
		qt.Assert(t, names(hubs), qt.DeepEquals, want.hubs)
		qt.Assert(t, names(children), qt.DeepEquals, want.children)
	}
}

func names(list []Member) []string {
	var names []string
	for _, m := range list {
		names = append(names, m.Name)
	}
	slices.Sort(names)
	return names
}

// TestPausedControllerSendsNoOrder guards against an order of a controller whose lease ran out while the order waited to be sent:
// engines that ignore fences would carry it out beside the orders of the next controller.
func TestPausedControllerSendsNoOrder(t *testing.T) {
	t.Parallel()
	n := New(Settings{}, Platform{}, conns.New(conns.Settings{}), telem.NewJSONLogs(io.Discard, "h"))
	go func() { _ = n.control.Run() }()
	t.Cleanup(n.control.Stop)
	var fence int64
	n.control.Ask(func() {
		now := n.now()
		n.lease.ReadDone(now, lease.Newest{})
		a := n.lease.Step(now)
		n.lease.Appended(n.now(), a, 7)
		fence = n.lease.Fence()
	})
	qt.Assert(t, n.beginOrder(fence, new(bool)), qt.IsTrue)
	qt.Assert(t, n.beginOrder(fence-1, new(bool)), qt.IsFalse, qt.Commentf("an order of an earlier term"))
	n.bootNow = func() time.Time { // The machine is suspended between the check of the lease and the order.
		n.bootNow = func() time.Time { return bootNow().Add(4 * time.Second) }
		return bootNow()
	}
	qt.Assert(t, n.beginOrder(fence, new(bool)), qt.IsFalse, qt.Commentf("paused after the check"))
	n.bootNow = bootNow
	qt.Assert(t, n.beginOrder(fence, new(bool)), qt.IsTrue)
	n.control.Ask(func() { n.clock.lastRead = n.clock.lastRead.Add(-2 * stoppedThreshold) }) // as after a pause of the process
	qt.Assert(t, n.beginOrder(fence, new(bool)), qt.IsFalse)
}
