package entry

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/fireflycleat/fireflycleat/pkg/retry"
	"github.com/fireflycleat/fireflycleat/pkg/route"
	"github.com/fireflycleat/fireflycleat/pkg/spec"
)

// TestStragglingAnswerMoves guards against an answer that stays at a slow upstream to its end, moves without need or without
// another replica, moves although it is not repeatable, or loses or repeats tokens when it moves.
func TestStragglingAnswerMoves(t *testing.T) {
	for _, x := range []struct {
		name       string
		tokenTime  time.Duration
		repeatable bool
		replicas   int
		moves      bool
	}{
		{"usual speed", 10 * time.Millisecond, true, 2, false},
		{"twice the time", 20 * time.Millisecond, true, 2, false},
		{"five times the time", 50 * time.Millisecond, true, 2, true},
		{"not repeatable", 50 * time.Millisecond, false, 2, false},
		{"no other replica", 50 * time.Millisecond, true, 1, false},
	} {
		t.Run(x.name, func(t *testing.T) {
			e := New(Defaults("c0", "dc0"), testView("m0"), rand.New(rand.NewPCG(1, 1)))
			now := epoch
			var out []Action
			step := func(after time.Duration, ev Event) {
				now = now.Add(after)
				out = slices.DeleteFunc(e.Handle(now, ev), func(a Action) bool {
					_, wake := a.(Wake)
					_, demand := a.(Demand)
					return wake || demand
				})
			}
			var list []route.Replica
			for _, u := range []string{"u0", "u1"}[:x.replicas] {
				list = append(list, route.Replica{Upstream: u, DataCentre: "dc0", Model: "m0", Slots: 4, Ready: true})
			}
			step(0, Directory{Cell: "c0", Seq: 1, Replicas: list})
			step(0, Arrive{ID: 1, Request: Request{
				Team: "t2", Model: "m0", Urgency: spec.Normal, Deadline: now.Add(time.Second), MaxTokens: 100, Repeatable: x.repeatable,
			}})
			sent := out[0].(Send)
			step(20*time.Millisecond, FirstToken{ID: 1, Attempt: 1})
			qt.Assert(t, out, qt.DeepEquals, []Action{Deliver{ID: 1, Attempt: 1}})
			step(32*x.tokenTime, Progress{ID: 1, Attempt: 1, Tokens: 32})
			if !x.moves {
				qt.Assert(t, out, qt.HasLen, 0)
				return
			}
			qt.Assert(t, out, qt.DeepEquals, []Action{Cancel{ID: 1, Attempt: 1, Upstream: sent.Upstream}})
			step(time.Millisecond, AttemptEnded{ID: 1, Attempt: 1, Result: retry.Cancelled, Tokens: 34})
			again := out[0].(Send)
			qt.Check(t, again.Upstream != sent.Upstream, qt.IsTrue)
			qt.Check(t, again.ResumeFrom, qt.Equals, 34)
			step(20*time.Millisecond, FirstToken{ID: 1, Attempt: 2})
			step(time.Second, AttemptEnded{ID: 1, Attempt: 2, Result: retry.Done, Tokens: 100})
			qt.Check(t, out, qt.DeepEquals, []Action{Complete{ID: 1}})
			qt.Check(t, e.Calls(), qt.Equals, 0)
		})
	}
}
