package pick_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/fireflycleat/fireflycleat/pkg/fleet"
	"github.com/fireflycleat/fireflycleat/pkg/pick"
)

func process(id string) pick.Process { return pick.Process{Upstream: id, Born: 1} }

// listOf returns a list with one upstream.
func listOf(id, address string, born int64) map[string]fleet.Upstream {
	return map[string]fleet.Upstream{id: {ID: id, Address: address, Born: born, Service: "s", Slots: 48}}
}

// TestListCannotUndoLeaving guards against requests to an upstream that said in an answer that it leaves, when a list that does not know
// of that is applied, also one that lacked the upstream in between.
func TestListCannotUndoLeaving(t *testing.T) {
	table := newTable(fleet.Upstream{ID: "u"})
	c, _ := table.Choose(start, pick.Query{Service: "s"})
	waiting := table.StartAttempt(start, c, pick.Query{Service: "s"})
	qt.Assert(t, table.RecordLeaving(start, process("u")), qt.IsTrue)
	qt.Assert(t, table.RecordLeaving(start, process("u")), qt.IsFalse)
	qt.Assert(t, waiting.Permitted(), qt.IsFalse)
	qt.Assert(t, waiting.SaidLeaving(), qt.IsTrue)
	table.EndAttempt(start, waiting, pick.Served)
	for _, list := range []map[string]fleet.Upstream{listOf("u", "a:1", 1), nil, listOf("u", "a:1", 1)} {
		table.Replace(list)
		table.Expire(start.Add(time.Minute))
		qt.Assert(t, choose(t, table, start.Add(time.Minute), pick.Query{}), qt.Equals, "")
	}
	list := listOf("u", "a:1", 1)
	table.MarkLeaving(list)
	qt.Assert(t, list["u"].Leaving, qt.IsTrue)
}

// TestLeavingIsOfOneProcess guards against a restarted upstream, or another one at the address of the one that left, that gets no requests.
func TestLeavingIsOfOneProcess(t *testing.T) {
	table := newTable(fleet.Upstream{ID: "u", Address: "a:1"})
	table.RecordLeaving(start, process("u"))
	for _, list := range []map[string]fleet.Upstream{listOf("u", "a:1", 2), listOf("other", "a:1", 1)} {
		table.Replace(list)
		table.MarkLeaving(list)
		for id, u := range list {
			qt.Assert(t, u.Leaving, qt.IsFalse)
			c, ok := table.Choose(start, pick.Query{Service: "s"})
			qt.Assert(t, ok, qt.IsTrue)
			qt.Assert(t, c.Upstream, qt.Equals, id)
			qt.Assert(t, table.StartAttempt(start, c, pick.Query{Service: "s"}).Permitted(), qt.IsTrue)
		}
	}
}

// TestSignsAreBounded guards against memory that grows with each upstream that ever left, and with what other hosts send.
func TestSignsAreBounded(t *testing.T) {
	table := newTable(fleet.Upstream{ID: "u"})
	table.RecordLeaving(start, process("u"))
	var many []pick.LeavingSign
	for i := range 10_000 {
		many = append(many, pick.LeavingSign{Upstream: "v", Born: int64(i)})
	}
	table.MergeLeaving(start, many)
	qt.Assert(t, len(table.ExportLeaving(start, true)) <= 4096, qt.IsTrue)
	now := start.Add(11 * time.Minute)
	table.Expire(now)
	qt.Assert(t, table.ExportLeaving(now, true), qt.DeepEquals, []pick.LeavingSign{{Upstream: "u", Born: 1, Age: 11 * time.Minute}})
	table.Replace(nil)
	now = now.Add(11 * time.Minute)
	table.Expire(now)
	qt.Assert(t, table.ExportLeaving(now, true), qt.HasLen, 0)
}

// TestLeavingIsPassedOnWithItsAge guards against a sign that is sent forever, or is counted as new by each host that passes it on.
func TestLeavingIsPassedOnWithItsAge(t *testing.T) {
	first, second := newTable(fleet.Upstream{ID: "u"}), newTable(fleet.Upstream{ID: "u"})
	first.RecordLeaving(start, process("u"))
	now := start.Add(3 * time.Second)
	list := first.ExportLeaving(now, false)
	qt.Assert(t, second.MergeLeaving(now, list), qt.Equals, 1)
	qt.Assert(t, second.MergeLeaving(now, list), qt.Equals, 0)
	qt.Assert(t, choose(t, second, now, pick.Query{}), qt.Equals, "")
	now = now.Add(time.Second)
	qt.Assert(t, second.ExportLeaving(now, false), qt.DeepEquals, []pick.LeavingSign{{Upstream: "u", Born: 1, Age: 4 * time.Second}})
	now = now.Add(time.Minute)
	qt.Assert(t, second.ExportLeaving(now, false), qt.HasLen, 0)
	qt.Assert(t, second.ExportLeaving(now, true), qt.HasLen, 1)
	qt.Assert(t, second.MergeLeaving(now, []pick.LeavingSign{{Upstream: "w", Age: -time.Second}, {Upstream: "w", Age: time.Hour}}), qt.Equals, 0)
}
