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

// lateCall runs one normal call at three replicas, u0 to u2, and keeps the actions that followed the last event.
type lateCall struct {
	e   *Entry
	now time.Time
	out []Action
}

func newLateCall(repeatable bool, before ...Event) *lateCall {
	l := &lateCall{e: New(Defaults("c0", "dc0"), testView("m0"), rand.New(rand.NewPCG(1, 1))), now: epoch.Add(time.Hour)}
	var list []route.Replica
	for _, u := range []string{"u0", "u1", "u2"} {
		list = append(list, route.Replica{Upstream: u, DataCentre: "dc0", Model: "m0", Slots: 4, Ready: true})
	}
	l.step(0, Directory{Cell: "c0", Seq: 1, Replicas: list})
	for _, ev := range before {
		l.step(0, ev)
	}
	for range 100 {
		l.e.hedges.Earn()
	}
	l.step(3*time.Second, Arrive{ID: 1, Request: Request{
		Team: "t2", Model: "m0", Urgency: spec.Normal, Deadline: l.now.Add(7 * time.Second), MaxTokens: 100, Repeatable: repeatable,
	}})
	return l
}

func (l *lateCall) step(after time.Duration, ev Event) {
	l.now = l.now.Add(after)
	l.out = slices.DeleteFunc(l.e.Handle(l.now, ev), func(a Action) bool {
		_, wake := a.(Wake)
		_, demand := a.(Demand)
		return wake || demand
	})
}

// TestLateCallIsWithdrawn guards against a late call that stays in the queue of an engine, is sent twice although it is not
// repeatable, loses its answer because first token and cancellation cross, or waits beyond its deadline for the end of the
// cancelled attempt.
func TestLateCallIsWithdrawn(t *testing.T) {
	c := qt.New(t)
	l := newLateCall(false)
	l.step(time.Second, Tick{})
	c.Check(l.out, qt.HasLen, 0)

	l = newLateCall(true)
	first := l.out[0].(Send)
	l.step(time.Second, Tick{})
	c.Assert(l.out, qt.DeepEquals, []Action{Cancel{ID: 1, Attempt: 1, Upstream: first.Upstream}})
	l.step(time.Millisecond, FirstToken{ID: 1, Attempt: 1})
	c.Check(l.out, qt.HasLen, 0)
	l.step(time.Millisecond, AttemptEnded{ID: 1, Attempt: 1, Result: retry.Done, Tokens: 9})
	again := l.out[0].(Send)
	c.Check(again.Upstream != first.Upstream, qt.IsTrue)
	c.Check(again.ResumeFrom, qt.Equals, 0)
	l.step(50*time.Millisecond, FirstToken{ID: 1, Attempt: 2})
	c.Check(l.out, qt.DeepEquals, []Action{Deliver{ID: 1, Attempt: 2}})

	l = newLateCall(true)
	l.step(time.Second, Tick{})
	l.step(4*time.Second, Tick{})
	_, refused := l.out[0].(Refuse)
	c.Check(refused, qt.IsTrue)
}

// TestProbeAccompaniesCall guards against a probe that delays its call, keeps running after the speed of its upstream is known,
// or prevents a broken answer from being resumed.
func TestProbeAccompaniesCall(t *testing.T) {
	c := qt.New(t)
	slow := PeerNotices{Notices: []route.Notice{{Upstream: "u0", Slow: true, Token: 5}}}
	start := func() (*lateCall, Cancel) {
		l := newLateCall(true, slow)
		c.Assert(l.out, qt.HasLen, 2)
		c.Check(l.out[0].(Send).Upstream != "u0", qt.IsTrue)
		c.Check(l.out[1].(Send).Upstream, qt.Equals, "u0")
		l.step(20*time.Millisecond, FirstToken{ID: 1, Attempt: 1})
		c.Check(l.out, qt.DeepEquals, []Action{Deliver{ID: 1, Attempt: 1}})
		return l, Cancel{ID: 1, Attempt: 2, Upstream: "u0"}
	}
	l, end := start()
	l.step(200*time.Millisecond, FirstToken{ID: 1, Attempt: 2})
	c.Assert(l.out, qt.HasLen, 2)
	c.Check(l.out[0], qt.Equals, Action(end))
	notice := l.out[1].(SendNotices).Notices[0]
	c.Check(notice.Upstream, qt.Equals, "u0")
	c.Check(notice.Slow, qt.IsTrue)

	l, end = start()
	l.step(200*time.Millisecond, AttemptEnded{ID: 1, Attempt: 1, Result: retry.Failed, Tokens: 10})
	c.Assert(l.out, qt.HasLen, 1)
	c.Check(l.out[0], qt.Equals, Action(end))
	l.step(time.Second, Tick{})
	c.Assert(l.out, qt.HasLen, 1)
	c.Check(l.out[0].(Send).ResumeFrom, qt.Equals, 10)
}

// TestEngineQueueKeepsCallsWithTwoAttempts guards against a call that is refused because of a long queue at one upstream while
// its second attempt is active at another.
func TestEngineQueueKeepsCallsWithTwoAttempts(t *testing.T) {
	c := qt.New(t)
	slow := PeerNotices{Notices: []route.Notice{{Upstream: "u0", Slow: true, Token: 5}}}
	for _, attempts := range []int{2, 1} {
		var before []Event
		if attempts == 2 {
			before = []Event{slow}
		}
		l := newLateCall(true, before...)
		c.Assert(l.out, qt.HasLen, attempts)
		first := l.out[0].(Send)
		l.step(10*time.Millisecond, Report{Upstream: first.Upstream, Model: "m0", Running: 4, Waiting: 4000, Slots: 4, At: l.now})
		refused := slices.ContainsFunc(l.out, func(a Action) bool {
			_, ok := a.(Refuse)
			return ok
		})
		c.Check(refused, qt.Equals, attempts == 1, qt.Commentf("%d attempts: %+v", attempts, l.out))
	}
}
