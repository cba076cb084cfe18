package locate

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// TestChoose guards against hosts that choose different cells for one model, and against a search that stops at a refusal
// although another cell has memory.
func TestChoose(t *testing.T) {
	c := qt.New(t)
	now := time.Unix(1000, 0)
	usable := []string{"a", "b", "c"}
	table := New()
	preferred := PreferredCell("m", usable)
	for _, local := range usable {
		c.Assert(table.Choose(now, "m", Cells{Local: local, Usable: usable}), qt.Equals, preferred)
	}
	c.Assert(table.Choose(now, "m", Cells{Local: "a", Usable: usable, Holders: []string{"a", "b"}}), qt.Equals, "a")
	c.Assert(table.Choose(now, "m", Cells{Local: "x", Usable: []string{"b", "c"}, Holders: []string{"a", "c"}}), qt.Equals, "c")
	seen := make(map[string]bool)
	for range usable {
		cell := table.Choose(now, "m", Cells{Usable: usable})
		c.Assert(seen[cell], qt.IsFalse)
		c.Assert(table.HasAlternative(now, "m", Cells{Usable: usable}, cell), qt.Equals, len(seen) < len(usable)-1)
		seen[cell] = true
		table.RecordRefusal(now, "m", cell)
	}
	c.Assert(table.Choose(now, "m", Cells{Usable: usable}), qt.Equals, "")
	c.Assert(table.Choose(now, "other", Cells{Usable: usable}), qt.Not(qt.Equals), "")
	c.Assert(table.Choose(now.Add(refusalTTL+1), "m", Cells{Usable: usable}), qt.Equals, preferred)
	c.Assert(PreferredCell("m", nil), qt.Equals, "")
	// During an outage of the log, a holder that refused must not be replaced by a cell that cannot get the permit.
	fixed := Cells{Local: "a", Usable: usable, Holders: []string{"b"}, PermitsFixed: true}
	table = New()
	c.Assert(table.Choose(now, "m", fixed), qt.Equals, "b")
	c.Assert(table.HasAlternative(now, "m", fixed, "b"), qt.IsFalse)
	table.RecordRefusal(now, "m", "b")
	c.Assert(table.Choose(now, "m", fixed), qt.Equals, "")
	c.Assert(table.Choose(now, "m", Cells{Usable: usable, PermitsFixed: true}), qt.Equals, preferred)
}
