package cell

import (
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// deliverReplies passes the answers in transit to the daemon, and those to the queries that follow from them.
func (sm *simulation) deliverReplies(d *daemon) {
	for range 4 {
		for _, r := range append([]*reply(nil), sm.replies...) {
			if r.to != d {
				continue
			}
			if sm.readEngine(r); r.event != nil {
				sm.dropReply(r)
				sm.handle(d, r.event)
			}
		}
	}
}

// answerQuery returns the latest unanswered query of the order with the engine's present answer.
func (sm *simulation) answerQuery(c *qt.C, s *sentOrder) *reply {
	for i := len(sm.replies) - 1; i >= 0; i-- {
		if r := sm.replies[i]; r.query.OrderID == s.order.OrderID {
			sm.readEngine(r)
			sm.dropReply(r)
			return r
		}
	}
	c.Fatalf("no query of %s", s.order.OrderID)
	return nil
}

// demandAndDeliver reports demand for the model and delivers the orders that result.
func (sm *simulation) demandAndDeliver(d *daemon, model string) {
	sm.handle(d, Demand{Host: "h", Model: model, Normal: 1})
	for _, s := range append([]*sentOrder(nil), sm.sentOrders...) {
		if !s.senderHangs {
			sm.deliver(s)
		}
	}
}

func (d *daemon) isOpen(s *sentOrder) bool {
	for _, o := range d.c.orders {
		if o.id == s.order.OrderID {
			return true
		}
	}
	return false
}

// neverSeen answers a query before a copy of the order arrives: after the sender finished, or with early before that.
func neverSeen(c *qt.C, sm *simulation, early bool) bool {
	s, _ := sm.hangingLoad(c, "a")
	d := s.from
	if early {
		sm.advance(d.c.settings.OrderTimeout)
		sm.handle(d, sm.answerQuery(c, s).event)
		sm.handle(d, LeaseConfirmed{At: d.local(sm.now)})
	}
	sm.leaveInNetwork(s)
	sm.deliverReplies(d)
	sm.demandAndDeliver(d, "a")
	sm.deliverCopy(s)
	return sm.violation != ""
}

// oldAnswer delivers the answer to an earlier query when the answer to a later one would already be conclusive.
func oldAnswer(c *qt.C, sm *simulation) bool {
	s, _ := sm.hangingLoad(c, "a")
	d := s.from
	sm.leaveInNetwork(s)
	old := sm.answerQuery(c, s)
	sm.deliverCopy(s)
	sm.advance(d.c.settings.DoubtDelay + d.c.settings.QueryInterval)
	sm.answerQuery(c, s)
	sm.handle(d, old.event)
	return !d.isOpen(s)
}

// refusedAfterAcceptance makes an engine refuse the second delivery of an order after it accepted the first.
func refusedAfterAcceptance(c *qt.C, sm *simulation) bool {
	sm.removeEngines(false)
	s, e := sm.hangingLoad(c, "a")
	sm.deliver(s)
	e.fence = s.order.Fence + 1
	sm.deliver(s)
	sm.finishSender(s, true)
	return !s.from.isOpen(s)
}

// lateStatus delivers a status from before a load of the earlier holder after a status that lists the load.
func lateStatus(c *qt.C, sm *simulation) bool {
	sm.removeEngines(true)
	s, e := sm.hangingLoad(c, "a")
	sm.addEngine(false)
	next := sm.daemons[1]
	sm.takeOver(next)
	sm.readLog(next)
	old := &reply{to: next, upstream: e.name, askedAt: sm.now}
	sm.readEngine(old)
	sm.deliver(s)
	e.finish(e.find("a", "v1"), false)
	sm.finishSender(s, true)
	sm.runCalm(5)
	c.Assert(next.c.upstream(e.name).quiesced, qt.IsTrue)
	sm.handle(next, old.event)
	sm.demandAndDeliver(next, "a")
	return sm.violation != ""
}

// replacedStatus delivers a status of a replaced incarnation that was requested after the faster status of its
// successor. It must not list what no longer runs.
func replacedStatus(c *qt.C, sm *simulation) bool {
	s, e := sm.hangingLoad(c, "a")
	sm.deliver(s)
	e.finish(e.find("a", "v1"), false)
	sm.finishSender(s, true)
	sm.runCalm(2)
	h := s.from
	first := &reply{to: h, upstream: e.name, askedAt: sm.now}
	sm.now = sm.now.Add(time.Millisecond)
	second := &reply{to: h, upstream: e.name, askedAt: sm.now}
	sm.readEngine(second)
	e.restart()
	sm.readEngine(first)
	sm.handle(h, first.event)
	listed := func() bool {
		return slices.ContainsFunc(h.c.upstream(e.name).replicas, func(r *replica) bool { return r.phase == loaded })
	}
	c.Assert(listed(), qt.IsFalse)
	sm.handle(h, second.event)
	return listed()
}

// TestRedundantRules guards against the loss of a redundant rule. The ledger frees nothing before a status shows it, so
// that random histories rarely detect the loss of a single one. Each trace must be harmless with all rules, and harmful
// without the rule under test.
func TestRedundantRules(t *testing.T) {
	for name, test := range map[string]struct {
		disabled disabledRules
		trace    func(*qt.C, *simulation) bool
	}{
		"never seen, copy in transit": {disabledRules{doubtDelay: true}, func(c *qt.C, sm *simulation) bool {
			return neverSeen(c, sm, false)
		}},
		"never seen, sender not finished": {disabledRules{senderFinished: true}, func(c *qt.C, sm *simulation) bool {
			return neverSeen(c, sm, true)
		}},
		"answer to an earlier query":       {disabledRules{latestQuery: true}, oldAnswer},
		"refusal after acceptance":         {disabledRules{staleRefusal: true}, refusedAfterAcceptance},
		"status out of order":              {disabledRules{statusOrder: true}, lateStatus},
		"status of a replaced incarnation": {disabledRules{replacedStatus: true}, replacedStatus},
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			c.Assert(test.trace(c, newSimulation(disabledRules{}, false)), qt.IsFalse)
			c.Assert(test.trace(c, newSimulation(test.disabled, false)), qt.IsTrue)
		})
	}
}
