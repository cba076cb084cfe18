package fold

import (
	"crypto/sha256"
	"fmt"
	"runtime"
	"strconv"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/fireflycleat/fireflycleat/pkg/spec"
)

const (
	plannedMembers  = 1400
	plannedCells    = 160
	plannedModels   = 470
	plannedAdapters = 4300
)

// plannedLog returns a log of the planned size: members, models with adapters, leases, permits and key ranges, and then
// changes of models until the change ids fill ChangeWindow.
func plannedLog() *memoryLog {
	p := newMemoryLog()
	for i := range plannedMembers {
		h := fmt.Sprintf("entry-%04d", i)
		p.appendRecord(p.state.registration(randomID(i), h, h))
	}
	for i := range plannedModels {
		r := setModel("entry-0000", fmt.Sprintf("model-%03d", i), 0, 2*plannedCells)
		r.Template.Set.Model.AdapterBytes = 1 << 40
		for j := i; j < plannedAdapters; j += plannedModels {
			m := r.Template.Set.Model
			m.Adapters = append(m.Adapters, spec.Adapter{Name: fmt.Sprintf("adapter-%04d", j), Bytes: 1 << 30})
		}
		p.appendRecord(r)
	}
	for i := range plannedCells {
		h, cell := fmt.Sprintf("entry-%04d", i), fmt.Sprintf("cell-%03d", i)
		l := p.appendRecord(takeLease(h, cell, 0))
		c := Record{Kind: PermitKind, By: h}
		for j := range 10 {
			c.Permit = append(c.Permit, PermitChange{cell, l.Offset, fmt.Sprintf("model-%03d", (i*10+j)%plannedModels), 0, 1})
		}
		p.appendRecord(c)
	}
	for i := range KeyRanges {
		p.appendRecord(p.state.AssignRanges("", "entry-0000", fmt.Sprintf("entry-%04d", i), fmt.Sprintf("entry-%04d", i+1), false, i))
	}
	for i := range ChangeWindow {
		p.appendRecord(p.modelChange(i))
	}
	return p
}

// randomID returns an id that does not compress, like the ids of daemons.
func randomID(i int) string { return fmt.Sprintf("%x", sha256.Sum256([]byte(strconv.Itoa(i))))[:24] }

// modelChange returns an operator's change of one model with all its adapters.
func (t *memoryLog) modelChange(i int) Record {
	name := fmt.Sprintf("model-%03d", i%plannedModels)
	v := t.state.templates[name].Value
	r := setModel("entry-0000", name, t.state.TemplateOffset(name), 2*plannedCells)
	r.ID = randomID(int(t.state.offset))
	r.Template.Set.Model.AdapterBytes, r.Template.Set.Model.Adapters = 1<<40, v.Model.Adapters
	return r
}

// Guards against a snapshot of the planned size that does not fit into a message to a peer (1 MiB) or is restored incompletely.
func TestPlannedSize(t *testing.T) {
	c := qt.New(t)
	p := plannedLog()
	data := p.state.Snapshot()
	s, err := Restore(data)
	c.Assert(err, qt.IsNil)
	c.Assert(s.Snapshot(), qt.HasLen, len(data))
	c.Assert(len(data) < 1<<20, qt.IsTrue)
	c.Assert(s.Members(), qt.HasLen, plannedMembers)
	c.Assert(s.Leases(), qt.HasLen, plannedCells)
	c.Assert(s.View().Models(), qt.HasLen, plannedModels)
	c.Assert(s.BadRecords(), qt.Equals, int64(0))
	t.Logf("%d records, %d change ids, snapshot of %d bytes", s.Offset(), len(s.changes), len(data))
}

func BenchmarkState(b *testing.B) {
	p := plannedLog()
	b.Run("apply", func(b *testing.B) {
		b.ReportAllocs()
		for i := 0; b.Loop(); i++ {
			b.StopTimer()
			r := p.modelChange(i)
			r.Seen = p.state.offset
			data, _ := Encode(r)
			b.StartTimer()
			p.state.Apply(p.state.offset+1, epoch.Add(time.Hour), data)
		}
	})
	data := p.state.Snapshot()
	b.Run("heap", func(b *testing.B) {
		var before, after runtime.MemStats
		for b.Loop() {
			runtime.GC()
			runtime.ReadMemStats(&before)
			s, _ := Restore(data)
			runtime.GC()
			runtime.ReadMemStats(&after)
			runtime.KeepAlive(s)
		}
		b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/(1<<20), "MiB")
		b.ReportMetric(float64(len(data)), "snapshot-B")
	})
	for name, f := range map[string]func(){
		"snapshot": func() { p.state.Snapshot() },
		"restore":  func() { _, _ = Restore(data) },
		"view":     func() { p.state.view = nil; p.state.View() },
	} {
		b.Run(name, func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				f()
			}
		})
	}
}

// Guards against a record that causes a panic, and one that changes when it is decoded and encoded again.
func FuzzDecode(f *testing.F) {
	for _, d := range logWithEveryOutcome(qt.New(f)).records {
		f.Add(d)
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		c := qt.New(t)
		s := newMemoryLog("a", "b").state
		res := s.Apply(3, epoch, data)
		if res.Outcome == Skipped {
			c.Assert(res.Err.Field() != "", qt.IsTrue)
			return
		}
		first, err := Encode(res.Record)
		c.Assert(err, qt.IsNil)
		r, err := Decode(first)
		c.Assert(err, qt.IsNil)
		second, _ := Encode(r)
		c.Assert(string(second), qt.Equals, string(first))
	})
}
