package node

import (
	"context"
	"time"

	"github.com/fireflycleat/fireflycleat/internal/peers"
	"github.com/fireflycleat/fireflycleat/pkg/codes"
	"github.com/fireflycleat/fireflycleat/pkg/rates"
)

// stateRetryInterval is the time between two calls for the state of the earlier lender.
const stateRetryInterval = 250 * time.Millisecond

// observeLease applies the newest lease record that another host knows. It reports whether this host knew only earlier ones.
func (n *Node) observeLease(u *LeaseUpdate) bool {
	if !u.Known {
		return false
	}
	fence := n.lease.Fence()
	n.lease.Observe(n.now(), u.Newest, u.Age)
	if u.Holder.Name != "" {
		n.addMember(u.Holder)
	}
	return n.lease.Fence() > fence
}

// askForState asks the process that held the lease before this host for the state of its lender, until it answers or this lender lends.
func (n *Node) askForState() {
	p := n.rates.predecessor
	m := n.members[p.Holder]
	if n.rates.stateAnswered || n.term == 0 || !n.lends() || m == nil || m.Incarnation != p.Incarnation {
		return
	}
	ready, _ := n.rates.lender.Ready(n.bootNow())
	if now := time.Now(); ready || now.Sub(n.rates.stateAskedAt) < stateRetryInterval {
		return
	}
	n.rates.stateAskedAt = time.Now()
	lender, update := n.rates.lender, n.leaseUpdate()
	args, address, name := CreditArgs{Fence: n.rates.term, Successor: &update}, m.Peers, m.Name
	n.background(func(ctx context.Context) {
		reply := new(CreditReply)
		err := n.peerClient.CallWithin(ctx, rates.CallTimeout, address, peers.ServiceName+".Credit", &args, reply)
		n.control.Post(func() {
			switch {
			case n.rates.lender != lender:
			case err != nil:
				n.log("rates").Debug("earlier controller did not hand over", "peers", address, "err", err)
				if peers.Refused(err) {
					n.observeRefusal(name)
				}
			default:
				n.continueLender(reply)
			}
		})
	})
}

// continueLender applies the answer of the earlier lender, which has stopped.
func (n *Node) continueLender(reply *CreditReply) {
	n.rates.stateAnswered = true
	if n.rates.proof.at.IsZero() {
		n.rates.proof = stopProof{at: n.bootNow()}
	}
	if reply.State != nil && n.rates.lender.Import(n.bootNow(), *reply.State) {
		n.rates.stopped = true
	}
	n.stepRates()
}

// handOver ends the lender of this host for that of a later lease, and returns its state.
func (n *Node) handOver(a CreditArgs) (CreditReply, error) {
	confirmed := n.lease.Confirmed(n.now())
	n.observeLease(a.Successor)
	n.updateTerm()
	if n.lease.Fence() != a.Fence || n.lends() {
		return CreditReply{}, codes.New(codes.StaleLease, "lease of the successor is not the newest")
	}
	l := n.rates.lender
	if l == nil || a.Fence <= n.rates.term {
		return CreditReply{}, nil
	}
	n.rates.lender = nil
	state, ok := l.Export(n.bootNow(), n.hostCount(), confirmed)
	if !ok {
		return CreditReply{}, nil
	}
	n.log("rates").Info("controller hands over what it lent", "event", eventHandOver, "fence", n.rates.term, "successor", a.Fence)
	return CreditReply{State: &state}, nil
}
