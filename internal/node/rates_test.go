package node

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/fireflycleat/fireflycleat/internal/relay"
	"github.com/fireflycleat/fireflycleat/pkg/codes"
	"github.com/fireflycleat/fireflycleat/pkg/fleet"
	"github.com/fireflycleat/fireflycleat/pkg/lease"
	"github.com/fireflycleat/fireflycleat/pkg/rates"
)

// TestLenderGoesOnWhileItsLeaseIsInDoubt guards against hosts without credit from the end of the controller's lease until another one lends,
// although the controller lost touch only with the store, and against one that lends after its successor has asked for its state.
func TestLenderGoesOnWhileItsLeaseIsInDoubt(t *testing.T) {
	t.Parallel()
	n := newTestNode(Settings{})
	n.direct.Store(true)
	n.parent = ""
	limits := map[string]rates.Limit{"t": {PerSecond: 10, Burst: 10, Window: time.Second}}
	n.rates.limits = limits
	took := bootNow()
	n.lease.Observe(took, lease.Newest{}, 0)
	n.lease.Appended(took, n.lease.Step(took), 4)
	fence := n.lease.Fence()
	n.term = fence
	n.updateLender()
	n.rates.lender.StopPredecessor(took.Add(-time.Minute), "")
	hosts := make([]*rates.Host, 3)
	for i := range hosts {
		name := fmt.Sprint("h", i)
		n.members[name] = &member{Member: Member{Name: name}}
		hosts[i] = rates.NewHost(name, name+".1", 1)
		hosts[i].SetLimits(bootNow(), limits)
	}
	call := func(i int) error {
		c := hosts[i].Begin(bootNow())
		reply, err := n.answerCredit(CreditArgs{Fence: fence, Call: c})
		if err == nil {
			hosts[i].Apply(bootNow(), reply.Reply)
		}
		return err
	}
	for i := range hosts {
		qt.Assert(t, call(i), qt.IsNil)
	}
	own, _, _ := n.lease.Newest(bootNow())
	n.lease.Invalidate()
	n.lease.Observe(bootNow(), own, 0)
	n.updateTerm()
	qt.Assert(t, n.lease.Confirmed(bootNow()), qt.IsFalse)
	qt.Check(t, codes.Is(call(0), codes.StaleLease), qt.IsTrue, qt.Commentf("few hosts get its answers"))
	qt.Check(t, codes.Is(call(1), codes.StaleLease), qt.IsTrue)
	qt.Check(t, call(2), qt.IsNil)
	later := lease.Newest{Record: lease.Record{Holder: "h0", Incarnation: "h0.1", Fence: fence + 1}, Offset: 5, End: 6}
	reply, err := n.handOver(CreditArgs{Fence: fence + 1, Successor: &LeaseUpdate{Known: true, Newest: later}})
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, reply.State, qt.IsNotNil)
	qt.Check(t, reply.State.Hosts, qt.HasLen, len(hosts))
	qt.Check(t, codes.Is(call(2), codes.StaleLease), qt.IsTrue)
}

// TestWaitsUntilTheLenderBegins guards against requests that are refused, and come back late, although it is known that there is credit in time.
func TestWaitsUntilTheLenderBegins(t *testing.T) {
	t.Parallel()
	n := newTestNode(Settings{})
	h := n.rates.host
	h.SetLimits(bootNow(), map[string]rates.Limit{"t": {PerSecond: 10, Burst: 10, Window: time.Second}})
	call := &relay.Call{Route: fleet.Route{Objective: 100 * time.Millisecond}, AbandonAt: time.Now().Add(5 * time.Second)}
	c := h.Begin(bootNow())
	h.Apply(bootNow(), rates.Reply{Seq: c.Seq, Beginning: true, ReadyIn: time.Second})
	wait := n.creditWait(call, bootNow())
	qt.Check(t, wait > time.Second && wait <= time.Second+maxCreditWait, qt.IsTrue, qt.Commentf("%v", wait))
	call.AbandonAt = time.Now().Add(500 * time.Millisecond)
	qt.Check(t, n.creditWait(call, bootNow()), qt.Equals, 50*time.Millisecond)
}
