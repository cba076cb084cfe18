package cell

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// keepDemand runs calm rounds and reports demand for the model in each.
func (sm *simulation) keepDemand(model string, rounds int) {
	for range rounds {
		h, _ := sm.holder()
		sm.handle(h, Demand{Host: "h", Model: model, Normal: 1})
		sm.runCalm(1)
	}
}

// hangingLoad causes one load of the model and makes its sender hang. It returns the order and the engine that it is
// for.
func (sm *simulation) hangingLoad(c *qt.C, model string) (*sentOrder, *engine) {
	sm.permitLimit = 1
	sm.runCalm(20)
	h, _ := sm.holder()
	sm.handle(h, Demand{Host: "h", Model: model, Normal: 1})
	for _, s := range sm.sentOrders {
		if s.order.Op == OpLoad && s.order.Model == model {
			s.senderHangs = true
			return s, sm.engine(s.order.Upstream)
		}
	}
	c.Fatalf("no load of %s was ordered", model)
	return nil, nil
}

// removeEngines removes the engines that check fences, or those that do not.
func (sm *simulation) removeEngines(checksFence bool) {
	for _, e := range sm.engines {
		if e.checksFence == checksFence {
			e.gone, e.replicas = true, nil
			sm.broadcast(UpstreamGone{Upstream: e.name})
		}
	}
}

func (e *engine) restart() {
	e.incarnation++
	e.fence, e.replicas, e.orders = 0, nil, make(map[string]OrderState)
}

// TestHangingSenderKeepsPermit guards against a permit that is freed while a hanging sender can still deliver the load to
// a restarted engine.
func TestHangingSenderKeepsPermit(t *testing.T) {
	c := qt.New(t)
	sm := newSimulation(disabledRules{}, false)
	s, e := sm.hangingLoad(c, "a")
	sm.deliver(s)
	e.finish(e.find("a", "v1"), true)
	sm.keepDemand("a", 60)
	e.restart()
	sm.keepDemand("a", 60)
	sm.deliver(s)
	sm.finishSender(s, false)
	sm.keepDemand("a", 60)
	c.Assert(sm.violation, qt.Equals, "")
	c.Assert(e.find("a", "v1").ready, qt.IsTrue)
}

// TestOldStatusDoesNotFreeReplica guards against a replica that is freed because a status does not list it, although the
// status is older than the end of its load.
func TestOldStatusDoesNotFreeReplica(t *testing.T) {
	c := qt.New(t)
	sm := newSimulation(disabledRules{}, false)
	s, e := sm.hangingLoad(c, "a")
	h, _ := sm.holder()
	old := &reply{to: h, upstream: e.name, askedAt: sm.now}
	sm.readEngine(old)
	sm.deliver(s)
	e.finish(e.find("a", "v1"), false)
	s.answer = OrderDone
	sm.finishSender(s, true)
	sm.handle(h, old.event)
	sm.handle(h, Tick{})
	c.Assert(sm.sentOrders, qt.HasLen, 0, qt.Commentf("the model is loaded again"))
}

// TestStatusBeforeReleaseDoesNotQuiesce guards against an engine that ignores fences and is considered quiesced on a
// status from before the release of the earlier holder, while a last load by that holder may still arrive.
func TestStatusBeforeReleaseDoesNotQuiesce(t *testing.T) {
	c := qt.New(t)
	sm := newSimulation(disabledRules{}, false)
	sm.removeEngines(true)
	s, e := sm.hangingLoad(c, "a")
	next := sm.daemons[1]
	sm.takeOver(next)
	sm.readLog(next)
	old := &reply{to: next, upstream: e.name, askedAt: sm.now}
	sm.readEngine(old)
	sm.handle(next, old.event)
	sm.now = sm.now.Add(time.Second)
	late := &reply{to: next, upstream: e.name, askedAt: sm.now}
	sm.readEngine(late)
	sm.deliver(s)
	sm.readLog(sm.daemons[0])
	sm.askReleases()
	c.Assert(next.c.earlierTerms, qt.HasLen, 1, qt.Commentf("a sender still holds the load"))
	sm.finishSender(s, true)
	sm.askReleases()
	sm.handle(next, late.event)
	sm.readLog(next)
	sm.handle(next, Demand{Host: "h", Model: "a", Normal: 1})
	c.Assert(next.c.upstream(e.name).quiesced, qt.IsFalse)
	sm.keepDemand("a", 20)
	c.Assert(sm.violation, qt.Equals, "")
	c.Assert(next.c.upstream(e.name).quiesced, qt.IsTrue)
	c.Assert(e.find("a", "v1").ready, qt.IsTrue)
}

// TestLateOrderAfterRestart guards against a permit that is used twice: the last load that the earlier holder ordered can
// still reach an engine after a restart, in which the engine forgot the fence.
func TestLateOrderAfterRestart(t *testing.T) {
	for _, pinned := range []bool{false, true} {
		c := qt.New(t)
		sm := newSimulation(disabledRules{}, pinned)
		sm.removeEngines(false)
		s, e := sm.hangingLoad(c, "a")
		next := sm.daemons[1]
		sm.takeOver(next)
		sm.daemons[0].paused = true
		sm.runCalm(10)
		c.Assert(next.c.upstream(e.name).quiesced, qt.IsFalse, qt.Commentf("the earlier holder may still send orders"))
		sm.runCalm(20)
		c.Assert(next.c.upstream(e.name).quiesced, qt.Equals, pinned)
		sm.broadcast(UpstreamLeaving{Upstream: e.name}) // The successor would load on the other engine.
		e.restart()
		sm.handle(next, Demand{Host: "h", Model: "a", Normal: 1})
		for _, x := range sm.sentOrders {
			sm.deliver(x)
		}
		sm.keepDemand("a", 40)
		sm.deliver(s)
		sm.keepDemand("a", 40)
		c.Assert(sm.violation, qt.Equals, "")
		c.Assert(sm.serves("a"), qt.IsTrue)
	}
}

// TestGoneUpstreamKeepsUndeliveredOrders guards against a permit that is freed when an upstream is gone, while a sender
// can still deliver to a new upstream of the same name.
func TestGoneUpstreamKeepsUndeliveredOrders(t *testing.T) {
	c := qt.New(t)
	sm := newSimulation(disabledRules{}, false)
	s, e := sm.hangingLoad(c, "a")
	sm.broadcast(UpstreamGone{Upstream: e.name})
	sm.keepDemand("a", 20)
	sm.deliver(s)
	e.gone, e.replicas = true, nil
	sm.finishSender(s, false)
	sm.keepDemand("a", 20)
	c.Assert(sm.violation, qt.Equals, "")
	c.Assert(sm.engines[0].find("a", "v1") != nil || sm.engines[2].find("a", "v1") != nil, qt.IsTrue)
}
