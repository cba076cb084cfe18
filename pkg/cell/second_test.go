package cell

import (
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// hear passes the answers that are under way to the daemon, as often as they lead to further questions.
func (w *world) hear(d *daemon) {
	for range 4 {
		for _, r := range append([]*reply(nil), w.replies...) {
			if r.to != d {
				continue
			}
			if w.read(r); r.event != nil {
				w.dropReply(r)
				w.handle(d, r.event)
			}
		}
	}
}

// query returns the latest query of the order that has no answer yet, as the engine answers it now.
func (w *world) query(c *qt.C, s *send) *reply {
	for i := len(w.replies) - 1; i >= 0; i-- {
		if r := w.replies[i]; r.query.OrderID == s.order.OrderID {
			w.read(r)
			w.dropReply(r)
			return r
		}
	}
	c.Fatalf("no query of %s", s.order.OrderID)
	return nil
}

// demand asks for the model and delivers what the holder then orders.
func (w *world) demand(d *daemon, model string) {
	w.handle(d, Demand{Host: "h", Model: model, Normal: 1})
	for _, s := range append([]*send(nil), w.sends...) {
		if !s.held {
			w.deliver(s)
		}
	}
}

func (d *daemon) open(s *send) bool {
	for _, o := range d.c.orders {
		if o.id == s.order.OrderID {
			return true
		}
	}
	return false
}

// neverSeen lets a query be answered before a copy of the order arrives: after the sender gave up, or before.
func neverSeen(c *qt.C, w *world, early bool) bool {
	s, _ := w.heldLoad(c, "a")
	d := s.from
	if early {
		w.advance(d.c.settings.OrderTimeout)
		w.handle(d, w.query(c, s).event)
		w.handle(d, LeaseConfirmed{At: d.local(w.now)})
	}
	w.linger(s)
	w.hear(d)
	w.demand(d, "a")
	w.arrive(s)
	return w.violation != ""
}

// oldAnswer lets the answer to an earlier query arrive after that to a later one could count.
func oldAnswer(c *qt.C, w *world) bool {
	s, _ := w.heldLoad(c, "a")
	d := s.from
	w.linger(s)
	old := w.query(c, s)
	w.arrive(s)
	w.advance(d.c.settings.DoubtDelay + d.c.settings.QueryInterval)
	w.query(c, s)
	w.handle(d, old.event)
	return !d.open(s)
}

// refusedTwice lets an engine refuse the second delivery of an order whose first it has accepted.
func refusedTwice(c *qt.C, w *world) bool {
	w.remove(false)
	s, e := w.heldLoad(c, "a")
	w.deliver(s)
	e.fence = s.order.Fence + 1
	w.deliver(s)
	w.end(s, true)
	return !s.from.open(s)
}

// lateStatus lets a status from before a load of the earlier holder arrive after one that lists it.
func lateStatus(c *qt.C, w *world) bool {
	w.remove(true)
	s, e := w.heldLoad(c, "a")
	w.addEngine(false)
	next := w.daemons[1]
	w.takeOver(next)
	w.readLog(next)
	old := &reply{to: next, up: e.name, asked: w.now}
	w.read(old)
	w.deliver(s)
	e.finish(e.find("a", "v1"), false)
	w.end(s, true)
	w.calm(5)
	c.Assert(next.c.upstream(e.name).quiesced, qt.IsTrue)
	w.handle(next, old.event)
	w.demand(next, "a")
	return w.violation != ""
}

// deadStatus lets a status of a replaced incarnation arrive that was asked for after that of its successor, whose answer
// was the faster. It must not list what no longer runs.
func deadStatus(c *qt.C, w *world) bool {
	s, e := w.heldLoad(c, "a")
	w.deliver(s)
	e.finish(e.find("a", "v1"), false)
	w.end(s, true)
	w.calm(2)
	h := s.from
	first := &reply{to: h, up: e.name, asked: w.now}
	w.now = w.now.Add(time.Millisecond)
	second := &reply{to: h, up: e.name, asked: w.now}
	w.read(second)
	e.restart()
	w.read(first)
	w.handle(h, first.event)
	listed := func() bool {
		return slices.ContainsFunc(h.c.upstream(e.name).replicas, func(r *replica) bool { return r.phase == loaded })
	}
	c.Assert(listed(), qt.IsFalse)
	w.handle(h, second.event)
	return listed()
}

// Guards against losing a second line of defence: the ledger frees nothing before a status shows it, so that the random
// histories rarely notice one of these rules alone. Each trace must be harmless with all rules, and not without its own.
func TestSecondLines(t *testing.T) {
	for name, test := range map[string]struct {
		off   disabledRules
		trace func(*qt.C, *world) bool
	}{
		"never seen, copy under way":  {disabledRules{doubtDelay: true}, func(c *qt.C, w *world) bool { return neverSeen(c, w, false) }},
		"never seen, sender not done": {disabledRules{senderFinished: true}, func(c *qt.C, w *world) bool { return neverSeen(c, w, true) }},
		"answer to an earlier query":  {disabledRules{latestQuery: true}, oldAnswer},
		"refusal after acceptance":    {disabledRules{staleRefusal: true}, refusedTwice},
		"status out of order":         {disabledRules{statusOrder: true}, lateStatus},
		"status of a dead engine":     {disabledRules{replacedStatus: true}, deadStatus},
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			c.Assert(test.trace(c, newWorld(disabledRules{}, false)), qt.IsFalse)
			c.Assert(test.trace(c, newWorld(test.off, false)), qt.IsTrue)
		})
	}
}
