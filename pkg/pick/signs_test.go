package pick_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/fireflycleat/fireflycleat/pkg/fleet"
	"github.com/fireflycleat/fireflycleat/pkg/pick"
	"github.com/fireflycleat/fireflycleat/pkg/place"
)

func process(id string) pick.Process { return pick.Process{Upstream: id, Born: 1} }

// listOf returns a list with one upstream.
func listOf(id, address string, born int64) map[string]fleet.Upstream {
	return map[string]fleet.Upstream{id: {ID: id, Address: address, Born: born, Service: "s", Slots: 48}}
}

// TestPausedUpstreamGetsNoRequests guards against requests to an upstream that answered that it wants none for a while, and against a pause
// that counts as a failure, is cut short by a later answer or never ends.
func TestPausedUpstreamGetsNoRequests(t *testing.T) {
	table := newTable(fleet.Upstream{ID: "near", DataCentre: "a"}, fleet.Upstream{ID: "far", DataCentre: "b"})
	q := pick.Query{Service: "s"}
	c, _ := table.Choose(start, q)
	qt.Assert(t, c.Upstream, qt.Equals, "near")
	waiting := table.StartAttempt(start, c, q)
	qt.Assert(t, waiting.Permitted(start), qt.IsTrue)
	refused := table.StartAttempt(start, c, q)
	table.RecordPause(start, process("near"), 3*time.Second)
	table.EndAttempt(start, refused, pick.Refused)
	qt.Assert(t, waiting.Permitted(start), qt.IsFalse, qt.Commentf("chosen before the pause"))
	qt.Assert(t, choose(t, table, start, pick.Query{}), qt.Equals, "far")
	qt.Assert(t, choose(t, table, start, pick.Query{Prefer: "near"}), qt.Equals, "far")

	now := start.Add(time.Second)
	table.RecordPause(now, process("near"), 500*time.Millisecond)
	now = now.Add(time.Second)
	qt.Assert(t, waiting.Permitted(now), qt.IsFalse, qt.Commentf("the first answer still counts"))
	now = start.Add(3 * time.Second)
	table.Expire(now)
	qt.Assert(t, waiting.Permitted(now), qt.IsTrue)
	table.EndAttempt(now, waiting, pick.Abandoned)
	qt.Assert(t, choose(t, table, now, pick.Query{}), qt.Equals, "near")
}

// TestPauseOfAllUpstreams guards against requests that wait for an upstream, or are told a wrong time to return, while all upstreams that
// could serve them want no requests, and against refusals while one accepts them.
func TestPauseOfAllUpstreams(t *testing.T) {
	holds := func(model string) []fleet.Held { return []fleet.Held{{Model: model}} }
	table := newTable(fleet.Upstream{ID: "u1", Held: holds("m0")}, fleet.Upstream{ID: "u2", Held: holds("m0")}, fleet.Upstream{ID: "u3", Held: holds("m1")})
	q := pick.Query{Service: "s", Key: place.Key{Model: "m0"}}
	table.RecordPause(start, process("u1"), 4*time.Second)
	d, _, _ := table.Pause(start, q)
	qt.Assert(t, d, qt.Equals, time.Duration(0))
	table.RecordPause(start, process("u2"), 2*time.Second)
	now := start.Add(500 * time.Millisecond)
	d, first, _ := table.Pause(now, q)
	qt.Assert(t, d, qt.Equals, 1500*time.Millisecond)
	qt.Assert(t, first, qt.Equals, "u2")
	_, ok := table.Choose(now, q)
	qt.Assert(t, ok, qt.IsFalse)
	qt.Assert(t, table.Closed(now, "s"), qt.DeepEquals, []string{"u1", "u2"})
	d, _, _ = table.Pause(now, pick.Query{Service: "s", Key: place.Key{Model: "m1"}})
	qt.Assert(t, d, qt.Equals, time.Duration(0))
	qt.Assert(t, table.Closed(start.Add(3*time.Second), "s"), qt.DeepEquals, []string{"u1"})
}

// TestListCannotUndoLeaving guards against requests to an upstream that said in an answer that it leaves, when a list that does not know
// of that is applied, also one that lacked the upstream in between.
func TestListCannotUndoLeaving(t *testing.T) {
	table := newTable(fleet.Upstream{ID: "u"})
	c, _ := table.Choose(start, pick.Query{Service: "s"})
	waiting := table.StartAttempt(start, c, pick.Query{Service: "s"})
	qt.Assert(t, table.RecordLeaving(start, process("u")), qt.IsTrue)
	qt.Assert(t, table.RecordLeaving(start, process("u")), qt.IsFalse)
	qt.Assert(t, waiting.Permitted(start), qt.IsFalse)
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
	table.RecordPause(start, process("u"), time.Hour)
	for _, list := range []map[string]fleet.Upstream{listOf("u", "a:1", 2), listOf("other", "a:1", 1)} {
		table.Replace(list)
		table.MarkLeaving(list)
		for id, u := range list {
			qt.Assert(t, u.Leaving, qt.IsFalse)
			c, ok := table.Choose(start, pick.Query{Service: "s"})
			qt.Assert(t, ok, qt.IsTrue)
			qt.Assert(t, c.Upstream, qt.Equals, id)
			qt.Assert(t, table.StartAttempt(start, c, pick.Query{Service: "s"}).Permitted(start), qt.IsTrue)
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
