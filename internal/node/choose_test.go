package node

import (
	"context"
	"net"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/fireflycleat/fireflycleat/internal/relay"
	"github.com/fireflycleat/fireflycleat/pkg/codes"
	"github.com/fireflycleat/fireflycleat/pkg/fleet"
	"github.com/fireflycleat/fireflycleat/pkg/lease"
	"github.com/fireflycleat/fireflycleat/pkg/place"
)

// newChoosingNode returns a node with a service whose upstream u is in its list.
func newChoosingNode(t *testing.T, u fleet.Upstream) *Node {
	t.Helper()
	n := newTestNode(Settings{Host: HostSettings{Name: "h"}})
	e := &fleet.Engine{
		MemoryMB: 100, Slots: 4, AdapterSlots: 1, LoadsPerSecond: 1, Models: map[string]fleet.Model{"m0": {Name: "m0", WeightMB: 40, FromStore: time.Second}},
	}
	cfg, err := fleet.NewConfig(1, []fleet.Route{{
		Name: "r", Prefix: "/", Host: "a", Kind: fleet.Stream, Timeout: time.Minute, MaxAttempts: 2, Targets: []fleet.Target{{Service: "s", Weight: 1}},
	}}, []fleet.Service{{Name: "s", Engine: e}}, fleet.Limits{})
	qt.Assert(t, err, qt.IsNil)
	n.config.Store(cfg)
	n.placing.Configure(map[string]*fleet.Engine{"s": e})
	n.table.Replace(map[string]fleet.Upstream{"u": u})
	go func() { _ = n.control.Run() }()
	t.Cleanup(n.control.Stop)
	return n
}

// newModelCall returns a request for a model whose caller waits for the given time.
func newModelCall(wait time.Duration) *relay.Call {
	now := time.Now()
	c := &relay.Call{Service: "s", Arrived: now, Deadline: now.Add(time.Minute), AbandonAt: now.Add(wait)}
	c.ID, c.Key = "r1", place.Key{Model: "m0"}
	return c
}

// TestFrozenControllerDoesNotHoldRequests guards against a request that is answered only after its caller has given up, because the controller does
// not answer.
func TestFrozenControllerDoesNotHoldRequests(t *testing.T) {
	t.Parallel()
	l, err := net.Listen("tcp", "127.0.0.1:0") // The kernel accepts connections for a process that is stopped.
	qt.Assert(t, err, qt.IsNil)
	t.Cleanup(func() { l.Close() })
	n := newChoosingNode(t, fleet.Upstream{ID: "u", Service: "s", Born: 1, Address: "a:1", Slots: 4})
	n.control.Ask(func() {
		n.members["hub"].Peers = l.Addr().String()
		n.lease.ReadDone(n.now(), lease.Newest{Record: lease.Record{Holder: "hub", Incarnation: "hub.1", Fence: 1}, Offset: 1, End: 2})
	})
	c := newModelCall(time.Second)
	ctx, cancel := context.WithDeadline(t.Context(), c.Deadline)
	defer cancel()
	_, err = n.choose(ctx, c, make(map[string]bool))
	took := time.Since(c.Arrived)
	qt.Check(t, codes.Is(err, codes.NoTimeToLoad), qt.IsTrue, qt.Commentf("%v", err))
	qt.Check(t, codes.From(err).RetryAfter() > 0, qt.IsTrue)
	qt.Check(t, took < 950*time.Millisecond, qt.IsTrue, qt.Commentf("after %v", took))
}
