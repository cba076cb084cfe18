package fold

import (
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/fireflycleat/fireflycleat/pkg/codes"
)

// runExpiry appends a change whose answer is lost, and then other records until the change id has expired. The change itself
// reaches the log after delay other records, or never if delay is negative. runExpiry returns the result that the planner
// reports, the offset at which it does so, and whether the change was applied.
func runExpiry(c *qt.C, disabled disabledChecks, delay int, restore bool) (result *Done, at int64, applied bool) {
	log := newMemoryLog("a", "b")
	p := NewPlanner(log.state.Offset(), rand.New(rand.NewPCG(1, 1)))
	p.disabled = disabled
	change, waiting := setModel("a", "m", 0, 2), setModel("a", "n", 0, 2)
	change.ID, waiting.ID = "change", "waiting"
	p.MayPublish = func(time.Time) error { return nil }
	data := p.Handle(epoch, Submit{change, epoch.Add(time.Second)})[0].(Append).Data
	p.MayPublish = func(time.Time) error { return codes.New(codes.NoMajority, "") }
	p.Handle(epoch, Submit{waiting, epoch.Add(time.Hour)})
	p.Handle(epoch, AppendLost{"change"})
	handle := func(res Result) {
		var e Event = Applied{res}
		if restore {
			e = Restored{log.state}
		}
		for _, a := range p.Handle(epoch, e) {
			if d, ok := a.(Done); ok && result == nil {
				c.Assert(d.ID, qt.Equals, "change", qt.Commentf("a change that was never sent has expired"))
				result, at = &d, log.state.Offset()
			}
		}
	}
	for i := range ChangeWindow + 20 {
		if i == delay {
			res := log.appendRaw(data)
			if !restore {
				handle(res)
			}
		}
		if res := log.appendRaw([]byte(`{}`)); !restore || i == ChangeWindow+19 {
			handle(res)
		}
	}
	c.Assert(p.pending["waiting"], qt.IsNotNil)
	_, applied = log.state.templates["m"]
	return result, at, applied
}

// TestPlannerExpiry guards against a change that stays pending forever once its id has expired, one that is reported as not
// accepted while it can still take effect, and a result that is more certain than the planner can know after a snapshot was
// restored.
func TestPlannerExpiry(t *testing.T) {
	const sent, last = 2, 2 + ChangeWindow // offsets at which the change is sent, and at which it can be accepted at the latest
	for _, test := range []struct {
		name     string
		disabled disabledChecks
		delay    int
		restore  bool
		at       int64
		outcome  codes.Outcome
		applied  bool
	}{
		{name: "lost", delay: -1, at: last + 1, outcome: codes.NotRun},
		{name: "in time", delay: ChangeWindow - 1, at: last, applied: true},
		{name: "one too late", delay: ChangeWindow, at: last + 1, outcome: codes.NotRun},
		{name: "long after", delay: ChangeWindow + 10, at: last + 1, outcome: codes.NotRun},
		{name: "restored without the change", delay: -1, restore: true, at: sent + ChangeWindow + 20, outcome: codes.Unknown},
		{name: "restored after the change id has expired", delay: 0, restore: true, at: sent + ChangeWindow + 21, outcome: codes.Unknown, applied: true},
		{name: "mutant: no expiry", disabled: disabledChecks{noExpiry: true}, delay: -1},
		{
			name: "mutant: early expiry", disabled: disabledChecks{earlyExpiry: true}, delay: ChangeWindow - 1, at: sent + ChangeWindow/2 + 1,
			outcome: codes.NotRun, applied: true,
		},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			result, at, applied := runExpiry(c, test.disabled, test.delay, test.restore)
			c.Assert(at, qt.Equals, test.at)
			c.Assert(applied, qt.Equals, test.applied)
			switch {
			case test.at == 0:
				c.Assert(result, qt.IsNil)
			case test.applied && !test.restore && test.disabled == (disabledChecks{}):
				c.Assert(result.Result.Outcome, qt.Equals, Accepted)
			default:
				c.Assert(result.Result.Err.Code() == codes.AppendInDoubt || result.Result.Err.Code() == codes.StaleBase, qt.IsTrue)
				c.Assert(result.Result.Err.Outcome(), qt.Equals, test.outcome)
			}
		})
	}
}
