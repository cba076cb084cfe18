package cell

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// want keeps the demand for the model alive through calm rounds.
func (w *world) want(model string, rounds int) {
	for range rounds {
		h, _ := w.holder()
		w.handle(h, Demand{Host: "h", Model: model, Normal: 1})
		w.calm(1)
	}
}

// heldLoad returns the only sent load of the model, whose sender hangs, and the engine that it was sent to.
func (w *world) heldLoad(c *qt.C, model string) (*send, *engine) {
	w.limit = 1
	w.calm(20)
	h, _ := w.holder()
	w.handle(h, Demand{Host: "h", Model: model, Normal: 1})
	for _, s := range w.sends {
		if s.order.Op == OpLoad && s.order.Model == model {
			s.held = true
			return s, w.engine(s.order.Upstream)
		}
	}
	c.Fatalf("no load of %s was ordered", model)
	return nil, nil
}

// remove makes the engines that check fences, or those that do not, go.
func (w *world) remove(checks bool) {
	for _, e := range w.engines {
		if e.checks == checks {
			e.gone, e.replicas = true, nil
			w.tell(UpstreamGone{Upstream: e.name})
		}
	}
}

func (e *engine) restart() {
	e.incarnation++
	e.fence, e.replicas, e.orders = 0, nil, make(map[string]OrderState)
}

// Guards against a permit that is free again while a sender that hangs can still deliver the load to a restarted engine.
func TestHeldSenderKeepsPermit(t *testing.T) {
	c := qt.New(t)
	w := newWorld(disabledRules{}, false)
	s, e := w.heldLoad(c, "a")
	w.deliver(s)
	e.finish(e.find("a", "v1"), true)
	w.want("a", 60)
	e.restart()
	w.want("a", 60)
	w.deliver(s)
	w.end(s, false)
	w.want("a", 60)
	c.Assert(w.violation, qt.Equals, "")
	c.Assert(e.find("a", "v1").ready, qt.IsTrue)
}

// Guards against a replica that a status without it frees, although the status is older than the end of its load.
func TestOldStatusDoesNotFreeReplica(t *testing.T) {
	c := qt.New(t)
	w := newWorld(disabledRules{}, false)
	s, e := w.heldLoad(c, "a")
	h, _ := w.holder()
	old := &reply{to: h, up: e.name, asked: w.now}
	w.read(old)
	w.deliver(s)
	e.finish(e.find("a", "v1"), false)
	s.answer = OrderDone
	w.end(s, true)
	w.handle(h, old.event)
	w.handle(h, Tick{})
	c.Assert(w.sends, qt.HasLen, 0, qt.Commentf("the model is loaded again"))
}

// Guards against an engine that ignores fences being used on the word of a status from before the release of the earlier
// holder, and against a load that the earlier holder ordered last.
func TestStatusBeforeReleaseDoesNotSettle(t *testing.T) {
	c := qt.New(t)
	w := newWorld(disabledRules{}, false)
	w.remove(true)
	s, e := w.heldLoad(c, "a")
	next := w.daemons[1]
	w.takeOver(next)
	w.readLog(next)
	old := &reply{to: next, up: e.name, asked: w.now}
	w.read(old)
	w.handle(next, old.event)
	w.now = w.now.Add(time.Second)
	late := &reply{to: next, up: e.name, asked: w.now}
	w.read(late)
	w.deliver(s)
	w.readLog(w.daemons[0])
	w.askReleases()
	c.Assert(next.c.earlierTerms, qt.HasLen, 1, qt.Commentf("the load is still in the hands of a sender"))
	w.end(s, true)
	w.askReleases()
	w.handle(next, late.event)
	w.readLog(next)
	w.handle(next, Demand{Host: "h", Model: "a", Normal: 1})
	c.Assert(next.c.upstream(e.name).quiesced, qt.IsFalse)
	w.want("a", 20)
	c.Assert(w.violation, qt.Equals, "")
	c.Assert(next.c.upstream(e.name).quiesced, qt.IsTrue)
	c.Assert(e.find("a", "v1").ready, qt.IsTrue)
}

// Guards against a load that an earlier holder ordered last and that reaches an engine after its restart, which made the
// engine forget the fence: no permit may be used that this load could use too.
func TestLateOrderAfterRestart(t *testing.T) {
	for _, pinned := range []bool{false, true} {
		c := qt.New(t)
		w := newWorld(disabledRules{}, pinned)
		w.remove(false)
		s, e := w.heldLoad(c, "a")
		next := w.daemons[1]
		w.takeOver(next)
		w.daemons[0].paused = true
		w.calm(10)
		c.Assert(next.c.upstream(e.name).quiesced, qt.IsFalse, qt.Commentf("the earlier holder may still order"))
		w.calm(20)
		c.Assert(next.c.upstream(e.name).quiesced, qt.Equals, pinned)
		w.tell(UpstreamLeaving{Upstream: e.name}) // The successor would load on the other engine.
		e.restart()
		w.handle(next, Demand{Host: "h", Model: "a", Normal: 1})
		for _, x := range w.sends {
			w.deliver(x)
		}
		w.want("a", 40)
		w.deliver(s)
		w.want("a", 40)
		c.Assert(w.violation, qt.Equals, "")
		c.Assert(w.serves("a"), qt.IsTrue)
	}
}

// Guards against a permit that is free again when an upstream goes, while a sender can still deliver to its successor.
func TestGoneUpstreamKeepsHeldSends(t *testing.T) {
	c := qt.New(t)
	w := newWorld(disabledRules{}, false)
	s, e := w.heldLoad(c, "a")
	w.tell(UpstreamGone{Upstream: e.name})
	w.want("a", 20)
	w.deliver(s)
	e.gone, e.replicas = true, nil
	w.end(s, false)
	w.want("a", 20)
	c.Assert(w.violation, qt.Equals, "")
	c.Assert(w.engines[0].find("a", "v1") != nil || w.engines[2].find("a", "v1") != nil, qt.IsTrue)
}
