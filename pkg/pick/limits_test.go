package pick_test

import (
	"math"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/fireflycleat/fireflycleat/pkg/fleet"
	"github.com/fireflycleat/fireflycleat/pkg/pick"
)

// TestLimitOfAnUpstream guards against requests without credit to an upstream that has a limit, also of those that were chosen before it was
// named, against requests that wait for credit while another upstream is free, and against a limit that is kept for a new process.
func TestLimitOfAnUpstream(t *testing.T) {
	table := newTable(fleet.Upstream{ID: "near", Born: 1, DataCentre: "a"}, fleet.Upstream{ID: "far", Born: 1, DataCentre: "b"})
	q := pick.Query{Service: "s"}
	c, _ := table.Choose(start, q)
	qt.Assert(t, c.Upstream, qt.Equals, "near")
	a := table.StartAttempt(start, c, q)
	qt.Assert(t, a.Limited(), qt.IsFalse)
	qt.Assert(t, table.RecordLimit(start, process("near"), 1), qt.IsTrue)
	qt.Assert(t, table.RecordLimit(start, process("near"), 1), qt.IsFalse)
	qt.Assert(t, a.Limited(), qt.IsTrue)
	qt.Assert(t, a.Permitted(start), qt.IsFalse, qt.Commentf("chosen before the limit"))
	qt.Assert(t, choose(t, table, start, pick.Query{}), qt.Equals, "near", qt.Commentf("there may be credit"))
	wait := table.TakeCredit(start, process("near"))
	qt.Assert(t, wait, qt.Equals, time.Second)
	table.DenyCredit(start, process("near"), wait)
	table.DropAttempt(a)
	qt.Assert(t, choose(t, table, start, pick.Query{}), qt.Equals, "far")
	qt.Assert(t, table.Running("")["near"], qt.Equals, 0)
	for _, u := range table.Uses() {
		qt.Assert(t, u.Started, qt.Equals, 0)
	}
	reported := table.StartAttempt(start, c, q)
	table.Uses()
	table.DropAttempt(reported)
	for _, u := range table.Uses() {
		qt.Assert(t, u.Started, qt.Equals, 0, qt.Commentf("it has been reported"))
	}
	now := start.Add(wait)
	qt.Assert(t, choose(t, table, now, pick.Query{}), qt.Equals, "near")
	qt.Assert(t, table.TakeCredit(now, process("near")), qt.Equals, time.Duration(0))
	a = table.StartAttempt(now, c, q)
	a.SetCredit()
	qt.Assert(t, a.Permitted(now), qt.IsTrue)
	qt.Assert(t, table.TakeCredit(now, process("near")) > 0, qt.IsTrue)
	table.DenyCredit(now, process("near"), time.Minute)
	table.Replace(map[string]fleet.Upstream{"near": {ID: "near", Born: 2, Service: "s", DataCentre: "a", Slots: 48}})
	qt.Assert(t, choose(t, table, now, pick.Query{}), qt.Equals, "near")
}

// TestEndOfALimit guards against a limit that ends with a response that was on its way when the upstream named it, or that does not end.
func TestEndOfALimit(t *testing.T) {
	table := newTable(fleet.Upstream{ID: "u", Born: 1})
	named := start.Add(time.Second)
	table.RecordLimit(named, process("u"), 1)
	qt.Assert(t, table.RecordUnlimited(start.Add(2*time.Second), process("u"), start), qt.IsFalse)
	qt.Assert(t, table.Limits(), qt.HasLen, 1)
	qt.Assert(t, table.RecordUnlimited(start.Add(3*time.Second), process("u"), start.Add(1500*time.Millisecond)), qt.IsTrue)
	qt.Assert(t, table.RecordUnlimited(start.Add(3*time.Second), process("u"), start.Add(1500*time.Millisecond)), qt.IsFalse)
	qt.Assert(t, table.Limits(), qt.HasLen, 0)
	for range 10 {
		qt.Assert(t, table.TakeCredit(start.Add(3*time.Second), process("u")), qt.Equals, time.Duration(0))
	}
}

// TestLimitsBetweenHosts guards against an earlier response that replaces a later one because it grew younger on its way through several hosts,
// against the end of a limit that is forgotten before all hosts know of it, and against numbers that make a limit useless.
func TestLimitsBetweenHosts(t *testing.T) {
	a, b := newTable(fleet.Upstream{ID: "u", Born: 1}), newTable(fleet.Upstream{ID: "u", Born: 1})
	now := start
	a.RecordLimit(now, process("u"), 1)
	delayed := a.ExportLimits(now, false)
	now = now.Add(100 * time.Millisecond)
	qt.Assert(t, b.MergeLimits(now, a.ExportLimits(now, false)), qt.Equals, 1)
	qt.Assert(t, a.RecordUnlimited(now.Add(time.Millisecond), process("u"), now), qt.IsTrue)
	now = now.Add(time.Second)
	// The response that named the limit seems to be younger than the one that ended it.
	qt.Assert(t, b.MergeLimits(now, delayed), qt.Equals, 0)
	a.Expire(now)
	qt.Assert(t, a.MergeLimits(now, b.ExportLimits(now, false)), qt.Equals, 0)
	qt.Assert(t, b.MergeLimits(now, a.ExportLimits(now, false)), qt.Equals, 1)
	qt.Assert(t, b.Limits(), qt.HasLen, 0)
	now = now.Add(time.Minute)
	qt.Assert(t, a.ExportLimits(now, false), qt.HasLen, 0)
	qt.Assert(t, a.ExportLimits(now, true), qt.HasLen, 1)
	for _, x := range []float64{-1, math.NaN(), math.Inf(1)} {
		qt.Assert(t, b.MergeLimits(now, []pick.LimitSign{{Upstream: "u", Born: 1, PerSecond: x, Response: 1}}), qt.Equals, 0)
	}
}
