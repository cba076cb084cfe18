package entry

import (
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/fireflycleat/fireflycleat/pkg/retry"
	"github.com/fireflycleat/fireflycleat/pkg/route"
	"github.com/fireflycleat/fireflycleat/pkg/spec"
)

// TestUrgentCallLeavesFullReplica guards against an urgent call that waits at a full replica while another has free slots, runs
// twice although it is not repeatable, moves without gain, or is kept beyond its deadline while it moves.
func TestUrgentCallLeavesFullReplica(t *testing.T) {
	for _, x := range []struct {
		name       string
		urgency    spec.Urgency
		repeatable bool
		replicas   int
		end        retry.Result
		moves      bool
	}{
		{"urgent", spec.Urgent, true, 2, retry.Cancelled, true},
		{"whole answer crosses the cancellation", spec.Urgent, true, 2, retry.Done, true},
		{"not repeatable", spec.Urgent, false, 2, retry.Cancelled, false},
		{"normal", spec.Normal, true, 2, retry.Cancelled, false},
		{"no other replica", spec.Urgent, true, 1, retry.Cancelled, false},
	} {
		t.Run(x.name, func(t *testing.T) {
			e := New(Defaults("c0", "dc0"), testView("m0"), rand.New(rand.NewPCG(1, 1)))
			now := epoch
			var cancels []Cancel
			var sends []Send
			var refused []Refuse
			step := func(after time.Duration, ev Event) {
				now = now.Add(after)
				for _, a := range e.Handle(now, ev) {
					switch a := a.(type) {
					case Send:
						sends = append(sends, a)
					case Cancel:
						cancels = append(cancels, a)
					case Refuse:
						refused = append(refused, a)
					}
				}
			}
			var list []route.Replica
			for _, u := range []string{"u0", "u1"}[:x.replicas] {
				list = append(list, route.Replica{Upstream: u, DataCentre: "dc0", Model: "m0", Slots: 4, Ready: true})
			}
			step(0, Directory{Cell: "c0", Seq: 1, Replicas: list})
			step(0, Arrive{ID: 1, Request: Request{
				Team: "t2", Model: "m0", Urgency: x.urgency, Deadline: now.Add(time.Second), MaxTokens: 100, Repeatable: x.repeatable,
			}})
			qt.Assert(t, sends, qt.HasLen, 1)
			step(110*time.Millisecond, Tick{})
			qt.Assert(t, len(cancels) == 1, qt.Equals, x.moves)
			qt.Assert(t, sends, qt.HasLen, 1) // The second attempt waits for the end of the first.
			if !x.moves {
				return
			}
			step(time.Millisecond, AttemptEnded{ID: 1, Attempt: 1, Result: x.end})
			qt.Assert(t, sends, qt.HasLen, 2)
			qt.Check(t, sends[1].Upstream != sends[0].Upstream, qt.IsTrue)
			step(110*time.Millisecond, Tick{})
			qt.Check(t, cancels, qt.HasLen, 1) // Both replicas are known to be full now.
			step(800*time.Millisecond, Tick{})
			qt.Check(t, refused, qt.HasLen, 1)
		})
	}
}

// TestMoveKeepsDeadline guards against a moving call that is never answered because the end of its cancelled attempt is not
// reported before its deadline.
func TestMoveKeepsDeadline(t *testing.T) {
	e := New(Defaults("c0", "dc0"), testView("m0"), rand.New(rand.NewPCG(1, 1)))
	e.Handle(epoch, Directory{Cell: "c0", Seq: 1, Replicas: []route.Replica{
		{Upstream: "u0", DataCentre: "dc0", Model: "m0", Slots: 4, Ready: true},
		{Upstream: "u1", DataCentre: "dc0", Model: "m0", Slots: 4, Ready: true},
	}})
	e.Handle(epoch, Arrive{ID: 1, Request: Request{Team: "t2", Model: "m0", Deadline: epoch.Add(time.Second), Repeatable: true}})
	e.Handle(epoch.Add(110*time.Millisecond), Tick{})
	refused := 0
	for _, a := range e.Handle(epoch.Add(time.Second), Tick{}) {
		if _, ok := a.(Refuse); ok {
			refused++
		}
	}
	qt.Check(t, refused, qt.Equals, 1)
}

// TestUrgentCallLeavesLongQueue guards against an urgent call that is refused because of a long queue at its replica while
// another replica is free.
func TestUrgentCallLeavesLongQueue(t *testing.T) {
	for _, x := range []struct {
		urgency  spec.Urgency
		replicas int
		moves    bool
	}{{spec.Urgent, 2, true}, {spec.Urgent, 1, false}, {spec.Normal, 2, false}} {
		e := New(Defaults("c0", "dc0"), testView("m0"), rand.New(rand.NewPCG(1, 1)))
		now := epoch
		var list []route.Replica
		for _, u := range []string{"u0", "u1"}[:x.replicas] {
			list = append(list, route.Replica{Upstream: u, DataCentre: "dc0", Model: "m0", Slots: 4, Ready: true})
		}
		e.Handle(now, Directory{Cell: "c0", Seq: 1, Replicas: list})
		upstream := ""
		for _, a := range e.Handle(now, Arrive{ID: 1, Request: Request{
			Team: "t2", Model: "m0", Urgency: x.urgency, Deadline: now.Add(time.Second), Repeatable: true,
		}}) {
			if s, ok := a.(Send); ok {
				upstream = s.Upstream
			}
		}
		now = now.Add(50 * time.Millisecond)
		moved, refused := false, false
		report := Report{Upstream: upstream, Model: "m0", Running: 4, Waiting: 40, Slots: 4, At: now}
		for _, a := range e.Handle(now, report) {
			switch a.(type) {
			case Refuse:
				refused = true
			case Cancel:
				moved = true
			}
		}
		moved = moved && !refused // A refusal cancels the attempt as well.
		qt.Check(t, moved, qt.Equals, x.moves, qt.Commentf("%v", x))
		qt.Check(t, refused, qt.Equals, !x.moves, qt.Commentf("%v", x))
	}
}
