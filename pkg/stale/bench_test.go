package stale

import (
	"fmt"
	"runtime"
	"testing"
	"time"
)

// plannedMembers is the number of daemons in the largest planned installation.
const plannedMembers = 1400

// plannedTracker returns a tracker with an answer of each peer, and the heartbeats of all members. If outage is set, the daemon
// has not read the log.
func plannedTracker(now time.Time, outage bool) (*Tracker, []Heartbeat) {
	t, members, heartbeats := New("m0000"), []Member{}, []Heartbeat{}
	for i := range plannedMembers {
		name := fmt.Sprintf("m%04d", i)
		members = append(members, Member{name, int64(i + 1), now.Add(-time.Hour)})
		heartbeats = append(heartbeats, Heartbeat{Incarnation: name, Offset: plannedMembers, Known: plannedMembers, HasRead: true, LogAge: time.Minute})
	}
	t.AdvanceMembers(now, plannedMembers, members)
	if !outage {
		t.RecordRead(now, plannedMembers)
	}
	for _, b := range heartbeats[1:] {
		t.ReceiveAnswer(now, b)
	}
	return t, heartbeats
}

// BenchmarkHeartbeat measures the cost of each heartbeat of a peer, of each check whether the daemon is current and of each
// change of the members, with all members as peers, and the size of the tracker.
func BenchmarkHeartbeat(b *testing.B) {
	now := time.Unix(1_700_000_000, 0)
	t, heartbeats := plannedTracker(now, true)
	if ok, reason := t.Current(now); !ok || reason != ByMajority {
		b.Fatal(reason)
	}
	connected, _ := plannedTracker(now, false)
	connected.SetPublishing(now, true)
	for _, x := range heartbeats[1:] {
		x.Noted = 1
		connected.ReceiveAnswer(now, x)
	}
	if err := connected.MayPublish(now); err != nil {
		b.Fatal(err)
	}
	for name, f := range map[string]func(i int){
		"receiveAnswer": func(i int) { t.ReceiveAnswer(now, heartbeats[1+i%(plannedMembers-1)]) },
		"heartbeat":     func(i int) { t.Heartbeat(now, heartbeats[1+i%(plannedMembers-1)].Incarnation) },
		"current":       func(int) { t.Current(now) },
		"provenAt":      func(int) { t.ProvenAt(now) },
		"currentByLog":  func(int) { connected.Current(now) },
		"mayPublish":    func(int) { _ = connected.MayPublish(now) },
		"membersChange": func(int) { t.AdvanceMembers(now, plannedMembers, t.members) },
	} {
		b.Run(name, func(b *testing.B) {
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				f(i)
			}
		})
	}
	b.Run("heap", func(b *testing.B) {
		var before, after runtime.MemStats
		for b.Loop() {
			runtime.GC()
			runtime.ReadMemStats(&before)
			x, _ := plannedTracker(now, true)
			runtime.GC()
			runtime.ReadMemStats(&after)
			runtime.KeepAlive(x)
		}
		b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/(1<<10), "KiB")
	})
}
