package node

import (
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/fireflycleat/fireflycleat/internal/relay"
	"github.com/fireflycleat/fireflycleat/pkg/codes"
	"github.com/fireflycleat/fireflycleat/pkg/fleet"
	"github.com/fireflycleat/fireflycleat/pkg/lease"
	"github.com/fireflycleat/fireflycleat/pkg/pick"
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

// TestChooseWaitsForTheList guards against a request that asks the controller again and again without a pause, because the controller names an
// upstream that this host's list lacks, has as leaving or knows as paused, and against one that is held until its deadline for that.
func TestChooseWaitsForTheList(t *testing.T) {
	t.Parallel()
	u := fleet.Upstream{ID: "u", Service: "s", Born: 1, Beat: 1, Address: "a:1", Slots: 4, Held: []fleet.Held{{Model: "m0"}}}
	for name, change := range map[string]func(n *Node){
		"leaving": func(n *Node) {
			leaving := u
			leaving.Leaving = true
			n.table.Replace(map[string]fleet.Upstream{"u": leaving, "v": {ID: "v", Service: "s", Born: 1, Address: "a:2", Slots: 4}})
		},
		"not listed": func(n *Node) {
			n.table.Replace(map[string]fleet.Upstream{"v": {ID: "v", Service: "s", Born: 1, Address: "a:2", Slots: 4}})
		},
		"paused": func(n *Node) { n.table.RecordPause(time.Now(), pick.Process{Upstream: "u", Born: 1}, time.Minute) },
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			n := newChoosingNode(t, u)
			n.control.Ask(func() {
				now := n.now()
				n.lease.ReadDone(now, lease.Newest{})
				n.lease.Appended(n.now(), n.lease.Step(now), 7)
				n.updateTerm()
				at := time.Now()
				n.placing.SetUpstreams(at, map[string]fleet.Upstream{"u": u})
				n.placing.Plan(at)
				n.placing.Report(at, at, "u", place.Report{Born: 1, Held: u.Held})
				qt.Check(t, n.placing.BestUpstream(at, place.PendingRequest{Request: "x", Service: "s", Key: place.Key{Model: "m0"}}).Upstream, qt.Equals, "u")
				change(n)
			})
			before := controlSteps(n)
			c := newModelCall(time.Second)
			ctx, cancel := context.WithDeadline(t.Context(), c.Deadline)
			defer cancel()
			_, err := n.choose(ctx, c, map[string]bool{"other": true})
			took, steps := time.Since(c.Arrived), controlSteps(n)-before
			t.Logf("%d steps in %v, %v", steps, took, err)
			qt.Check(t, codes.From(err).RetryAfter() > 0, qt.IsTrue, qt.Commentf("%v", err))
			qt.Check(t, steps < 200, qt.IsTrue, qt.Commentf("%d steps of the control thread", steps))
			qt.Check(t, took < 950*time.Millisecond, qt.IsTrue, qt.Commentf("after %v", took))
		})
	}
}

// controlSteps returns the number of steps that the control thread has made.
func controlSteps(n *Node) int {
	w := httptest.NewRecorder()
	n.metrics.Handler().ServeHTTP(w, httptest.NewRequest(http.MethodGet, "/", nil))
	for line := range strings.SplitSeq(w.Body.String(), "\n") {
		if text, ok := strings.CutPrefix(line, "fireflycleat_control_step_seconds_count "); ok {
			steps, _ := strconv.Atoi(text)
			return steps
		}
	}
	return 0
}
