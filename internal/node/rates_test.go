package node

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/fireflycleat/fireflycleat/pkg/codes"
	"github.com/fireflycleat/fireflycleat/pkg/lease"
	"github.com/fireflycleat/fireflycleat/pkg/rates"
)

// TestLenderGoesOnWhileItsLeaseIsInDoubt guards against hosts without credit from the end of the controller's lease until another one lends,
// although the controller lost touch only with the store, and against one that lends after a later lease is known.
func TestLenderGoesOnWhileItsLeaseIsInDoubt(t *testing.T) {
	t.Parallel()
	n := newTestNode(Settings{})
	n.direct.Store(true)
	n.parent = ""
	limits := map[string]rates.Limit{"t": {PerSecond: 10, Burst: 10, Window: time.Second}}
	n.rates.limits = limits
	took := bootNow().Add(-time.Minute)
	n.lease.Observe(took, lease.Newest{}, 0)
	n.lease.Appended(took, n.lease.Step(took), 4) // The lease has not been renewed since.
	fence := n.lease.Fence()
	n.term = fence
	n.updateLender()
	n.rates.lender.StopPredecessor(took, "")
	n.term = 0
	hosts := make([]*rates.Host, 3)
	for i := range hosts {
		name := fmt.Sprint("h", i)
		n.members[name] = &member{Member: Member{Name: name}}
		hosts[i] = rates.NewHost(name, name+".1", 1)
		hosts[i].SetLimits(bootNow(), limits)
	}
	call := func(i int) error {
		hosts[i].Admit(bootNow(), "t", 1, time.Second)
		_, err := n.answerCredit(CreditArgs{Fence: fence, Call: hosts[i].Begin(bootNow())})
		return err
	}
	qt.Check(t, codes.Is(call(0), codes.StaleLease), qt.IsTrue, qt.Commentf("few hosts call it"))
	qt.Check(t, codes.Is(call(1), codes.StaleLease), qt.IsTrue)
	qt.Check(t, call(2), qt.IsNil)
	later := lease.Newest{Record: lease.Record{Holder: "h0", Incarnation: "h0.1", Fence: fence + 1}, Offset: 5, End: 6}
	n.lease.Observe(bootNow(), later, 0)
	qt.Check(t, codes.Is(call(2), codes.StaleLease), qt.IsTrue)
}
