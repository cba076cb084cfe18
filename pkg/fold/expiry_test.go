package fold

import (
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/fireflycleat/fireflycleat/pkg/codes"
)

// runExpiry appends a change whose answer is lost, and then other records until the change id has expired. The change itself
// reaches the log late, if at all: after the given number of other records. It returns the end that the planner reports, the
// offset at which it does, and whether the change took effect.
func runExpiry(c *qt.C, off disabledChecks, late int, restore bool) (end *Done, at int64, effect bool) {
	t := newMemoryLog("a", "b")
	p := NewPlanner(t.state.Offset(), rand.New(rand.NewPCG(1, 1)))
	p.disabled = off
	change, waiting := setModel("a", "m", 0, 2), setModel("a", "n", 0, 2)
	change.ID, waiting.ID = "change", "waiting"
	p.MayPublish = func(time.Time) error { return nil }
	data := p.Handle(epoch, Submit{change, epoch.Add(time.Second)})[0].(Append).Data
	p.MayPublish = func(time.Time) error { return codes.New(codes.NoMajority, "") }
	p.Handle(epoch, Submit{waiting, epoch.Add(time.Hour)})
	p.Handle(epoch, AppendLost{"change"})
	take := func(v Verdict) {
		var e Event = Folded{v}
		if restore {
			e = Restored{t.state}
		}
		for _, a := range p.Handle(epoch, e) {
			if d, ok := a.(Done); ok && end == nil {
				c.Assert(d.ID, qt.Equals, "change", qt.Commentf("a change that was never sent has expired"))
				end, at = &d, t.state.Offset()
			}
		}
	}
	for i := range ChangeWindow + 20 {
		if i == late {
			v := t.appendRaw(data)
			if !restore {
				take(v)
			}
		}
		if v := t.appendRaw([]byte(`{}`)); !restore || i == ChangeWindow+19 {
			take(v)
		}
	}
	c.Assert(p.pending["waiting"], qt.IsNotNil)
	_, effect = t.state.templates["m"]
	return end, at, effect
}

// Guards against a change that waits for ever once its change id has expired, one that is given up while it can still take
// effect, and an end that claims more than the planner knows.
func TestPlannerExpiry(t *testing.T) {
	const sent, last = 2, 2 + ChangeWindow // sent is the offset at which the change is sent, last the last one to accept it.
	for _, test := range []struct {
		name    string
		off     disabledChecks
		late    int
		restore bool
		at      int64
		outcome codes.Outcome
		effect  bool
	}{
		{name: "lost", late: -1, at: last + 1, outcome: codes.NotRun},
		{name: "in time", late: ChangeWindow - 1, at: last, effect: true},
		{name: "one too late", late: ChangeWindow, at: last + 1, outcome: codes.NotRun},
		{name: "long after", late: ChangeWindow + 10, at: last + 1, outcome: codes.NotRun},
		{name: "restored without", late: -1, restore: true, at: sent + ChangeWindow + 20, outcome: codes.Unknown},
		{name: "restored after it was forgotten", late: 0, restore: true, at: sent + ChangeWindow + 21, outcome: codes.Unknown, effect: true},
		{name: "mutant: no expiry", off: disabledChecks{noExpiry: true}, late: -1},
		{name: "mutant: early expiry", off: disabledChecks{earlyExpiry: true}, late: ChangeWindow - 1, at: sent + ChangeWindow/2 + 1, outcome: codes.NotRun, effect: true},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			end, at, effect := runExpiry(c, test.off, test.late, test.restore)
			c.Assert(at, qt.Equals, test.at)
			c.Assert(effect, qt.Equals, test.effect)
			switch {
			case test.at == 0:
				c.Assert(end, qt.IsNil)
			case test.effect && !test.restore && test.off == (disabledChecks{}):
				c.Assert(end.Verdict.Outcome, qt.Equals, Accepted)
			default:
				c.Assert(end.Verdict.Err.Code() == codes.AppendInDoubt || end.Verdict.Err.Code() == codes.StaleBase, qt.IsTrue)
				c.Assert(end.Verdict.Err.Outcome(), qt.Equals, test.outcome)
			}
		})
	}
}
