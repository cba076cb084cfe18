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

// The size of the largest planned installation.
const (
	plannedMembers  = 1400
	plannedCells    = 160
	plannedModels   = 470
	plannedAdapters = 4300
)

// plannedLog returns a log of the planned size: members, models with adapters, leases, permits and key ranges, and then
// changes of models until the change ids fill ChangeWindow.
func plannedLog() *memoryLog {
	log := newMemoryLog()
	for i := range plannedMembers {
		h := fmt.Sprintf("entry-%04d", i)
		log.appendRecord(log.state.registration(randomID(i), h, h))
	}
	for i := range plannedModels {
		r := setModel("entry-0000", fmt.Sprintf("model-%03d", i), 0, 2*plannedCells)
		r.Template.Set.Model.AdapterBytes = 1 << 40
		for j := i; j < plannedAdapters; j += plannedModels {
			m := r.Template.Set.Model
			m.Adapters = append(m.Adapters, spec.Adapter{Name: fmt.Sprintf("adapter-%04d", j), Bytes: 1 << 30})
		}
		log.appendRecord(r)
	}
	for i := range plannedCells {
		h, cell := fmt.Sprintf("entry-%04d", i), fmt.Sprintf("cell-%03d", i)
		l := log.appendRecord(takeLease(h, cell, 0))
		c := Record{Kind: PermitKind, By: h}
		for j := range 10 {
			c.Permit = append(c.Permit, PermitChange{cell, l.Offset, fmt.Sprintf("model-%03d", (i*10+j)%plannedModels), 0, 1})
		}
		log.appendRecord(c)
	}
	for i := range KeyRanges {
		log.appendRecord(log.state.AssignRanges("", "entry-0000", fmt.Sprintf("entry-%04d", i), fmt.Sprintf("entry-%04d", i+1), false, i))
	}
	for i := range ChangeWindow {
		log.appendRecord(log.modelChange(i))
	}
	return log
}

// randomID returns an id that does not compress, like the ids of daemons.
func randomID(i int) string { return fmt.Sprintf("%x", sha256.Sum256([]byte(strconv.Itoa(i))))[:24] }

// modelChange returns an operator's change of one model with all its adapters.
func (l *memoryLog) modelChange(i int) Record {
	name := fmt.Sprintf("model-%03d", i%plannedModels)
	v := l.state.templates[name].Value
	r := setModel("entry-0000", name, l.state.TemplateOffset(name), 2*plannedCells)
	r.ID = randomID(int(l.state.offset))
	r.Template.Set.Model.AdapterBytes, r.Template.Set.Model.Adapters = 1<<40, v.Model.Adapters
	return r
}

// TestPlannedSize guards against a snapshot of the planned size that does not fit into a message to a peer (1 MiB) or is restored
// incompletely.
func TestPlannedSize(t *testing.T) {
	c := qt.New(t)
	log := plannedLog()
	data := log.state.Snapshot()
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
	log := plannedLog()
	b.Run("apply", func(b *testing.B) {
		b.ReportAllocs()
		for i := 0; b.Loop(); i++ {
			b.StopTimer()
			r := log.modelChange(i)
			r.Seen = log.state.offset
			data, _ := Encode(r)
			b.StartTimer()
			log.state.Apply(log.state.offset+1, epoch.Add(time.Hour), data)
		}
	})
	data := log.state.Snapshot()
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
		"snapshot": func() { log.state.Snapshot() },
		"restore":  func() { _, _ = Restore(data) },
		"view":     func() { log.state.view = nil; log.state.View() },
	} {
		b.Run(name, func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				f()
			}
		})
	}
}

// FuzzDecode guards against a record that causes a panic, and against a record that changes when it is decoded and encoded again.
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
