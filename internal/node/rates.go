package node

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/fireflycleat/fireflycleat/internal/ctrl"
	"github.com/fireflycleat/fireflycleat/internal/peers"
	"github.com/fireflycleat/fireflycleat/internal/relay"
	"github.com/fireflycleat/fireflycleat/pkg/codes"
	"github.com/fireflycleat/fireflycleat/pkg/lease"
	"github.com/fireflycleat/fireflycleat/pkg/rates"
)

const (
	// maxCreditWait limits the time for which a request waits for credit, and maxChangeWait that time while the controller changes.
	// objectiveShare sets both in proportion to the objective.
	maxCreditWait  = 300 * time.Millisecond
	maxChangeWait  = 2400 * time.Millisecond
	objectiveShare = 0.5
	// returnSpread is the share of its retry time by which a refused caller returns later at most.
	returnSpread = 0.5
	// refusalLogInterval is the time between two log lines about refused requests of a team.
	refusalLogInterval = time.Second
)

type (
	// CreditArgs is a call of a host to the controller for credit of teams.
	CreditArgs struct {
		Fence int64 // of the newest lease record that the host knows
		Call  rates.Call
		// Successor is set if the call asks for the state of the lender instead. It is the lease that the calling host holds.
		Successor *LeaseUpdate
	}

	// CreditReply is the answer to CreditArgs.
	CreditReply struct {
		Fence int64
		Reply rates.Reply
		// Lease is set instead of Fence and Reply if this host knows a later lease than the calling one.
		Lease *LeaseUpdate
		// State answers a call of the successor; it is nil if the state is not known.
		State *rates.State
	}

	// teamRates is the part of the control state that limits the rates of teams.
	teamRates struct {
		host   *rates.Host
		lender *rates.Lender // of the newest term of this host as the controller; nil before the first
		term   int64         // fence of the lease in that term
		// firstTerm is the fence with which the lender began; its terms since then had no other host's in between.
		firstTerm int64
		version   int64 // configuration from which the limits were taken
		limits    map[string]rates.Limit
		alarm     *ctrl.Alarm
		waiting   map[int64]chan rates.Decision
		refusals  map[string]*refusalCount
		ready     bool      // whether the lender was ready at the last tick
		askedAt   time.Time // when the last heartbeat was requested because the controller did not answer

		// predecessor is the last record of the lease that another process wrote, and replaced that of the lender's beginning. stopped is set
		// if the lender needs no proof any more that the process has stopped lending.
		predecessor, replaced lease.Record
		predecessorAt         time.Time // when the record was first known to exist
		stopped               bool
		proof                 stopProof
		stateAskedAt          time.Time // when the predecessor was last asked for its state
		stateAnswered         bool
	}

	// stopProof proves that a process has not lent since a time; it is zero without proof.
	stopProof struct {
		at    time.Time
		ended bool // whether the process had ended, and no other has its place
	}

	// refusalCount counts the refused requests of a team since the last log line.
	refusalCount struct {
		loggedAt         time.Time
		limited, orphans int // refused because the lender has no credit, and because there is no lender
	}
)

func (n *Node) newTeamRates() teamRates {
	return teamRates{
		host:  rates.NewHost(n.self.Name, n.self.Incarnation, n.startedAt.UnixNano()),
		alarm: ctrl.NewAlarm(n.control, n.stepRates), waiting: make(map[int64]chan rates.Decision), refusals: make(map[string]*refusalCount),
	}
}

// creditWait returns how long a request may wait for credit. It must run on the control thread.
func (n *Node) creditWait(c *relay.Call, now time.Time) time.Duration {
	wait := min(time.Until(c.AbandonAt), maxChangeWait)
	if at, ok := n.rates.host.ReadyAt(now); ok && at.Sub(now)+maxCreditWait < wait {
		return at.Sub(now) + maxCreditWait // It need not come back after the change, whose end is known.
	}
	if !n.rates.host.Changing(now) {
		wait = min(wait, maxCreditWait)
	}
	if o := c.Route.Objective; o > 0 {
		wait = min(wait, time.Duration(objectiveShare*float64(o)))
	}
	return wait
}

// admit takes credit for a request of a team with a limited rate, and waits for it if necessary.
func (n *Node) admit(ctx context.Context, c *relay.Call) error {
	wait := time.Duration(0)
	cost := c.Team.Rate.Cost(c.Prompt + c.Output)
	var d rates.Decision
	var id int64
	var decided chan rates.Decision
	if !n.control.Ask(func() {
		n.updateLimits()
		now := n.bootNow()
		wait = n.creditWait(c, now)
		if d, id = n.rates.host.Admit(now, c.Team.Name, cost, wait); d.Result == rates.Waiting {
			decided = make(chan rates.Decision, 1)
			n.rates.waiting[id] = decided
			n.stepRates()
		}
		n.setRatesAlarm(now)
	}) {
		return context.Canceled
	}
	if decided != nil {
		d = n.awaitCredit(ctx, c, id, decided, wait)
	}
	if d.Result == rates.Admitted {
		c.AdmittedAt = d.At
		n.metrics.TeamAdmission(c.Team.Name, "admitted")
		return nil
	}
	return n.refuse(c, d)
}

// awaitCredit waits for the decision on a request.
func (n *Node) awaitCredit(ctx context.Context, c *relay.Call, id int64, decided chan rates.Decision, wait time.Duration) rates.Decision {
	t := time.NewTimer(wait)
	defer t.Stop()
	select {
	case d := <-decided:
		return d
	case <-t.C:
	case <-ctx.Done():
	}
	n.control.Ask(func() {
		n.stepRates()
		if n.rates.waiting[id] != nil {
			n.rates.host.Cancel(c.Team.Name, id)
			delete(n.rates.waiting, id)
			decided <- rates.Decision{Result: rates.Refused, RetryAfter: maxCreditWait}
		}
	})
	select {
	case d := <-decided:
		return d
	default: // The control thread has stopped.
		return rates.Decision{Result: rates.Refused, RetryAfter: maxCreditWait}
	}
}

// refuse returns the error of a request without credit.
func (n *Node) refuse(c *relay.Call, d rates.Decision) error {
	reason, result := "rate limit of the team is reached", "limited"
	if d.Reason == rates.NoLender {
		reason, result = "credit of the team is used up and the controller does not answer", "noController"
	}
	n.metrics.TeamAdmission(c.Team.Name, result)
	n.control.Post(func() {
		x := n.rates.refusals[c.Team.Name]
		if x == nil {
			x = new(refusalCount)
			n.rates.refusals[c.Team.Name] = x
		}
		if d.Reason == rates.NoLender {
			x.orphans++
		} else {
			x.limited++
		}
	})
	return codes.New(codes.TeamLimit, reason).WithRetryAfter(spread(d.RetryAfter))
}

// spread returns a time of at least d, so that callers that were refused together do not return together, nor before there is credit.
func spread(d time.Duration) time.Duration {
	return time.Duration(float64(d) * (1 + returnSpread*rand.Float64())) //nolint:gosec // need not be unpredictable
}

// settle gives back the credit of a request that did not run.
func (n *Node) settle(c *relay.Call, ran bool) {
	if ran || c.AdmittedAt.IsZero() {
		return
	}
	n.control.Post(func() {
		if n.rates.host.Return(n.bootNow(), c.Team.Name, c.Team.Rate.Cost(c.Prompt+c.Output), c.AdmittedAt) {
			n.metrics.TeamAdmission(c.Team.Name, "returned")
			n.stepRates()
		}
	})
}

// updateLimits takes the limits from the configuration in force and the settings.
func (n *Node) updateLimits() {
	cfg := n.config.Load()
	if cfg == nil || cfg.Version() == n.rates.version {
		return
	}
	n.rates.version = cfg.Version()
	n.rates.limits = make(map[string]rates.Limit)
	s := n.settings.Limits
	for name, t := range cfg.Teams() {
		if t.Rate.Limited() {
			n.rates.limits[name] = rates.Limit{
				PerSecond: t.Rate.PerSecond, Burst: t.Rate.Burst, Window: seconds(s.RateWindowS), Over: s.RateOver, Slack: s.RateSlack,
			}
		}
	}
	now := n.bootNow()
	n.rates.host.SetLimits(now, n.rates.limits)
	if n.rates.lender != nil {
		n.rates.lender.SetLimits(now, n.rates.limits)
	}
}

// stepRates decides on waiting requests and makes the next call to the controller, if one is due. It must run on the control thread.
func (n *Node) stepRates() {
	n.updateLimits()
	n.updateLender()
	n.askForState()
	n.checkPredecessor()
	if len(n.rates.limits) == 0 && len(n.rates.waiting) == 0 {
		return
	}
	now := n.bootNow()
	if _, stopping := n.stop.state(); stopping {
		n.rates.host.SetStopping(now)
	}
	if at, ok := n.rates.host.NextCall(now); ok && !at.After(now) {
		n.callLender(now)
	}
	n.decideWaiting()
	n.setRatesAlarm(now)
}

func (n *Node) decideWaiting() {
	for id, d := range n.rates.host.TakeDecided(n.bootNow()) {
		if w := n.rates.waiting[id]; w != nil {
			w <- d
			delete(n.rates.waiting, id)
		}
	}
}

// setRatesAlarm schedules the next call to the controller if that is due before the next tick.
func (n *Node) setRatesAlarm(now time.Time) {
	if at, ok := n.rates.host.NextCall(now); ok && at.Sub(now) < tickInterval {
		n.rates.alarm.Set(time.Now().Add(max(at.Sub(now), 0)))
	}
}

// updateLender begins a new lender with each term of the controller.
func (n *Node) updateLender() {
	switch {
	case len(n.rates.limits) == 0:
		n.rates.lender = nil
	case n.term != 0 && (n.rates.lender == nil || n.rates.term != n.term):
		// Without another process in between, the loans of this one's last lender are in force.
		n.rates.stopped = n.rates.term != 0 && n.rates.predecessor == n.rates.replaced
		n.rates.replaced = n.rates.predecessor
		if l := n.rates.lender; l != nil && n.rates.stopped && l.Followed(n.bootNow(), n.hostCount()) {
			n.rates.term = n.term
			return
		}
		n.rates.lender, n.rates.term, n.rates.firstTerm, n.rates.ready = rates.NewLender(), n.term, n.term, false
		n.rates.stateAskedAt, n.rates.stateAnswered = time.Time{}, false
		n.rates.lender.SetLimits(n.bootNow(), n.rates.limits)
		n.requestHeartbeat() // Hosts get credit once they know the new controller.
	}
}

// observeLender records what a heartbeat shows about the process that held the lease before this host.
func (n *Node) observeLender(b *Heartbeat) {
	p := n.rates.predecessor
	if b.From.Name != p.Holder {
		return
	}
	r := b.Lease.Newest.Record
	knows := b.Lease.Known && r.Holder == n.self.Name && r.Incarnation == n.self.Incarnation
	switch {
	case !knows && b.From.Incarnation == p.Incarnation:
		n.rates.proof = stopProof{}
	case n.rates.proof.at.IsZero() || n.rates.proof.ended:
		n.rates.proof = stopProof{at: n.bootNow()}
	}
}

// observeRefusal records that no process listens at the address of a host.
func (n *Node) observeRefusal(host string) {
	if host == n.rates.predecessor.Holder && n.rates.proof.at.IsZero() {
		n.rates.proof = stopProof{n.bootNow(), true}
	}
}

// checkPredecessor tells the lender if the process that held the lease before this host has provably stopped lending.
func (n *Node) checkPredecessor() {
	newest, age, known := n.lease.Newest(n.now())
	r, p := newest.Record, &n.rates.predecessor
	if own := r.Holder == n.self.Name && r.Incarnation == n.self.Incarnation; known && !own && r != *p {
		if r.Holder != p.Holder || r.Incarnation != p.Incarnation {
			n.rates.proof = stopProof{}
		}
		*p, n.rates.predecessorAt = r, n.bootNow().Add(-age)
	}
	if n.rates.lender == nil || n.rates.stopped || p.Holder == "" {
		return
	}
	proof := n.rates.proof
	switch {
	case !proof.at.IsZero():
	case p.Holder == n.self.Name: // It was an earlier process of this host.
		proof.at = n.bootNow().Add(-time.Since(n.startedAt))
	case p.Released:
		proof.at = n.rates.predecessorAt
	default:
		return
	}
	n.rates.stopped = true
	ended := ""
	if proof.ended {
		ended = p.Holder
	}
	n.rates.lender.StopPredecessor(proof.at, ended)
}

// callLender reports to the controller and applies its answer.
func (n *Node) callLender(now time.Time) {
	args := CreditArgs{Fence: n.lease.Fence(), Call: n.rates.host.Begin(now)}
	if n.lends() {
		reply, err := n.answerCredit(args)
		n.applyCredit(args, reply, err)
		return
	}
	holder, ok := n.members[n.lease.Holder()]
	if !ok {
		n.rates.host.Failed(now, args.Call.Seq)
		return
	}
	address, name := holder.Peers, holder.Name
	n.background(func(ctx context.Context) {
		reply := new(CreditReply)
		if err := n.peerClient.CallWithin(ctx, rates.CallTimeout, address, peers.ServiceName+".Credit", &args, reply); err != nil {
			n.log("rates").Debug("controller did not answer", "peers", address, "err", err)
			n.control.Post(func() {
				if peers.Refused(err) {
					n.observeRefusal(name)
				}
				n.applyCredit(args, CreditReply{}, err)
			})
			return
		}
		n.control.Post(func() { n.applyCredit(args, *reply, nil) })
	})
}

// applyCredit applies the answer to a call, unless it is that of a host that no longer holds the lease.
func (n *Node) applyCredit(args CreditArgs, reply CreditReply, err error) {
	if x := reply.Lease; err == nil && x != nil && n.observeLease(x) {
		n.rates.host.Redirected(args.Call.Seq)
		n.stepRates()
		return
	}
	if err != nil || reply.Fence < n.lease.Fence() {
		n.rates.host.Failed(n.bootNow(), args.Call.Seq)
		if now := time.Now(); now.Sub(n.rates.askedAt) >= heartbeatInterval/2 {
			n.rates.askedAt = now
			n.requestHeartbeat() // The hub may know another controller.
		}
	} else {
		n.rates.host.Apply(n.bootNow(), reply.Reply)
	}
	n.decideWaiting()
	n.setRatesAlarm(n.bootNow())
}

// Credit handles the call of another host for credit of teams.
func (s *peerService) Credit(a *CreditArgs, reply *CreditReply) error {
	err := context.Canceled
	s.node.control.Ask(func() {
		s.node.updateLimits()
		s.node.updateLender()
		switch {
		case a.Successor != nil:
			*reply, err = s.node.handOver(*a)
		case a.Fence < s.node.lease.Fence() && !s.node.lends():
			update := s.node.leaseUpdate()
			reply.Lease, err = &update, nil
		default:
			*reply, err = s.node.answerCredit(*a)
		}
	})
	return err
}

// lends reports whether this host has the newest lender that it knows. That goes on lending when the lease is in doubt, for example because
// the store does not answer, while most hosts call it and know of no later lease.
func (n *Node) lends() bool {
	return n.rates.lender != nil && n.lease.Leads() && n.lease.Fence() == n.rates.term
}

// answerCredit answers the call of a host for credit of teams. It fails if this host is not the last known controller, or has lost touch with
// both the store and most hosts, or if either of the two knows a later lease than the other.
func (n *Node) answerCredit(a CreditArgs) (CreditReply, error) {
	now := n.now()
	if !n.lends() || a.Fence < n.rates.firstTerm || a.Fence > n.rates.term {
		return CreditReply{}, codes.New(codes.StaleLease, errNotController.Error())
	}
	if a.Call.Host != n.self.Name && n.members[a.Call.Host] == nil {
		return CreditReply{}, codes.New(codes.StaleLease, "host is not a known member")
	}
	r, err := n.rates.lender.Answer(n.bootNow(), a.Call, n.hostCount(), n.lease.Confirmed(now))
	return CreditReply{Fence: n.rates.term, Reply: r}, err
}

// tickRates makes calls that are due, and logs refused requests.
func (n *Node) tickRates() {
	n.stepRates()
	now := time.Now()
	for team, x := range n.rates.refusals {
		if x.limited+x.orphans == 0 || now.Sub(x.loggedAt) < refusalLogInterval {
			continue
		}
		rate, level, demand := n.rates.host.Held(n.bootNow(), team)
		n.log("rates").Info("requests of a team refused", "event", eventTeamLimit, "team", team, "limited", x.limited, "noController", x.orphans,
			"rateShare", rate, "credit", level, "demand", demand, "perSecond", n.rates.limits[team].PerSecond)
		*x = refusalCount{loggedAt: now}
	}
	if l := n.rates.lender; n.lends() {
		n.markStopping(l)
		if ready, known := l.Ready(n.bootNow()); ready && !n.rates.ready {
			n.rates.ready = true
			n.log("rates").Info("controller lends credit", "event", eventLending, "fence", n.rates.term, "allLoansKnown", known)
		}
	}
}

// markStopping tells the lender which hosts gave up their loans because they stop. The grants that they may still have expire before it
// takes this into account.
func (n *Node) markStopping(l *rates.Lender) {
	ready, known := l.Ready(n.bootNow())
	if !ready || known {
		return
	}
	for name, m := range n.members {
		if m.stopping {
			l.MarkGone(name)
		}
	}
}

// recordRates sets the metrics of teams.
func (n *Node) recordRates() {
	now := n.bootNow()
	for team := range n.rates.limits {
		rate, level, demand := n.rates.host.Held(now, team)
		n.metrics.TeamCredit(team, "hostRateShare", rate)
		n.metrics.TeamCredit(team, "hostCredit", level)
		n.metrics.TeamCredit(team, "hostDemand", demand)
	}
	if !n.lends() {
		return
	}
	for team, s := range n.rates.lender.Stats(now) {
		n.metrics.TeamCredit(team, "lentRateShare", s.Rate)
		n.metrics.TeamCredit(team, "lentCapacityShare", s.Capacity)
		n.metrics.TeamCredit(team, "granted", s.Granted)
		n.metrics.TeamCredit(team, "lenderCredit", s.Level)
		n.metrics.TeamCredit(team, "demand", s.Demand)
	}
}
