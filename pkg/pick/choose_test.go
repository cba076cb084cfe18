package pick_test

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/fireflycleat/fireflycleat/pkg/fleet"
	"github.com/fireflycleat/fireflycleat/pkg/pick"
	"github.com/fireflycleat/fireflycleat/pkg/place"
)

// serveFor records served requests that took the given time at the upstream, so that the table knows how long requests last.
func serveFor(table *pick.Table, took time.Duration, upstream string) {
	q := pick.Query{Service: "s"}
	a := table.StartAttempt(start.Add(-took), pick.Choice{Upstream: upstream, Born: 1}, q)
	table.RecordFirstEvent(start, a)
	table.EndAttempt(start, a, pick.Served)
}

// shares returns how many of a hundred hosts choose each upstream for their next request.
func shares(now time.Time, q pick.Query, set func(table *pick.Table)) map[string]int {
	counts := make(map[string]int)
	for host := range 100 {
		table := newTable(fleet.Upstream{ID: "a", DataCentre: "a"}, fleet.Upstream{ID: "b", DataCentre: "a"}, fleet.Upstream{ID: "c", DataCentre: "b"})
		table.Random = pick.NewRandom(fmt.Sprint(host))
		set(table)
		q.Service = "s"
		c, _ := table.Choose(now, q)
		counts[c.Upstream]++
	}
	return counts
}

// TestOldReportsSpreadTheChoices guards against hosts that all choose the upstream with the lowest count in an old report, and against hosts
// that ignore a new report.
func TestOldReportsSpreadTheChoices(t *testing.T) {
	report := func(table *pick.Table) {
		serveFor(table, time.Second, "a")
		table.SetPeerRequests(start, "h2", map[string]int{"a": 10, "b": 20, "c": 20})
	}
	qt.Check(t, shares(start, pick.Query{}, report)["a"], qt.Equals, 100)
	old := shares(start.Add(2*time.Second), pick.Query{}, report)
	qt.Check(t, old["a"] > 30 && old["b"] > 30, qt.IsTrue, qt.Commentf("%v", old))
	repeated := shares(start.Add(2*time.Second), pick.Query{}, report)
	qt.Check(t, repeated, qt.DeepEquals, old, qt.Commentf("choices can be repeated"))
}

// TestCrossingOldReports guards against requests that leave their data centre without need, and against those that stay there although it
// gets more requests than the others: if requests are shorter than reports are old, the expected loads don't show that.
func TestCrossingOldReports(t *testing.T) {
	now := start.Add(600 * time.Millisecond)
	for _, x := range []struct {
		near, far, least, most int
	}{{3, 6, 0, 0}, {24, 2, 10, 60}, {40, 2, 20, 60}} {
		got := shares(now, pick.Query{}, func(table *pick.Table) {
			serveFor(table, 20*time.Millisecond, "a")
			table.SetPeerRequests(start, "h2", map[string]int{"a": x.near, "b": x.near, "c": x.far})
		})
		qt.Check(t, got["c"] >= x.least && got["c"] <= x.most, qt.IsTrue, qt.Commentf("%d near, %d far: %v", x.near, x.far, got))
	}
}

// TestSessionStaysWithOldReports guards against requests of a session that are drawn away from the upstream that has their prompt cached, and
// against those that follow it to an upstream with a long queue.
func TestSessionStaysWithOldReports(t *testing.T) {
	q := pick.Query{Service: "s", Session: 7}
	for load, want := range map[int]int{10: 100, 60: 0} {
		got := shares(start.Add(500*time.Millisecond), q, func(table *pick.Table) {
			serveFor(table, time.Second, "a")
			table.EndAttempt(start, table.StartAttempt(start, pick.Choice{Upstream: "a", Born: 1}, q), pick.Abandoned)
			table.SetPeerRequests(start, "h2", map[string]int{"a": load, "b": 10, "c": 10})
		})
		qt.Check(t, got["a"], qt.Equals, want, qt.Commentf("%d requests at the upstream of the session", load))
	}
}

// TestFastErrorsDoNotAttract guards against requests to an upstream that looks idle because it fails them at once.
func TestFastErrorsDoNotAttract(t *testing.T) {
	got := shares(start.Add(time.Second), pick.Query{}, func(table *pick.Table) {
		serveFor(table, time.Second, "b")
		for range 3 {
			table.EndAttempt(start, table.StartAttempt(start, pick.Choice{Upstream: "a", Born: 1}, pick.Query{}), pick.Errored)
		}
		table.SetPeerRequests(start, "h2", map[string]int{"b": 15, "c": 15})
	})
	qt.Check(t, got["a"], qt.Equals, 0)
}

// TestSpeedsOfOthers guards against a slow upstream that hosts take for one of mean speed, because each of them gets few of its answers, and
// against speeds that outlast a restart.
func TestSpeedsOfOthers(t *testing.T) {
	list := []fleet.Upstream{{ID: "fast", DataCentre: "a"}, {ID: "slow", DataCentre: "a"}, {ID: "mean", DataCentre: "a"}}
	hub, host := newTable(list...), newTable(list...)
	now := start
	for range 50 {
		now = now.Add(600 * time.Millisecond)
		hub.SetPeerRequests(now, "h2", map[string]int{"fast": 10, "slow": 10, "mean": 10})
		for id, n := range map[string]int{"fast": 9, "slow": 3, "mean": 6, "unknown": 9} {
			hub.RecordServed(id, n)
		}
		hub.UpdateRates(now)
	}
	hub.LearnSpeeds()
	speeds := hub.Speeds()
	qt.Check(t, speeds["fast"] > 135 && speeds["slow"] < 65, qt.IsTrue, qt.Commentf("%v", speeds))
	qt.Check(t, speeds, qt.HasLen, 2, qt.Commentf("the others have the mean speed"))
	host.SetSpeeds(speeds)
	qt.Check(t, host.Speeds(), qt.DeepEquals, speeds)
	host.SetSpeeds(nil)
	qt.Check(t, host.Speeds(), qt.HasLen, 0)
	restarted := map[string]fleet.Upstream{"fast": {ID: "fast", Service: "s", Born: 2}, "slow": {ID: "slow", Service: "s", Born: 1}}
	hub.Replace(restarted)
	hub.LearnSpeeds()
	qt.Check(t, hub.Speeds()["fast"], qt.Equals, 0)
}

// TestFastUpstreamBeforeIdleSlowOne guards against responses that pause at a slow upstream while a fast one has places: with speeds of 0.6 to
// 1.6, 20% of the responses were late at idle slow upstreams and 5% at fast ones with eight requests in progress. The load pattern is a popular
// model with replicas on upstreams of different speeds.
func TestFastUpstreamBeforeIdleSlowOne(t *testing.T) {
	list := []fleet.Upstream{{ID: "fast", DataCentre: "a"}, {ID: "slow", DataCentre: "a"}}
	for i := range list {
		list[i].Held = []fleet.Held{{Model: "m"}}
	}
	table := newTable(list...)
	table.SetSpeeds(map[string]int{"fast": 160, "slow": 60})
	choose := func(running int) string {
		table.SetPeerRequests(start, "h2", map[string]int{"fast": running})
		choice, ok := table.Choose(start, pick.Query{Service: "s", Key: place.Key{Model: "m"}})
		qt.Assert(t, ok, qt.IsTrue)
		return choice.Upstream
	}
	qt.Check(t, choose(8), qt.Equals, "fast")
	qt.Check(t, choose(20), qt.Equals, "slow") // The fast one queues.
}

// TestReportAge guards against a host that passes on counts as new that it got from others.
func TestReportAge(t *testing.T) {
	table := newTable(fleet.Upstream{ID: "u", DataCentre: "a"})
	qt.Check(t, table.ReportAge(start), qt.Equals, time.Duration(0))
	table.SetPeerRequests(start, "h2", map[string]int{"u": 3})
	table.SetPeerRequests(start.Add(400*time.Millisecond), "h3", map[string]int{"u": 1})
	qt.Check(t, table.ReportAge(start.Add(time.Second)).Round(time.Millisecond), qt.Equals, 900*time.Millisecond)
	table.StartAttempt(start, pick.Choice{Upstream: "u", Born: 1}, pick.Query{})
	qt.Check(t, table.ReportAge(start.Add(time.Second)).Round(time.Millisecond), qt.Equals, 720*time.Millisecond)
	mean, highest := table.Loads()
	qt.Check(t, mean, qt.Equals, 5.0/48)
	qt.Check(t, highest, qt.Equals, 5.0/48)
}

// BenchmarkChoose measures a choice among the replicas of a model, in a service with many upstreams.
func BenchmarkChoose(b *testing.B) {
	list, running := make(map[string]fleet.Upstream), make(map[string]int)
	for i := range 140 {
		id := fmt.Sprintf("i-%03d", i)
		u := fleet.Upstream{ID: id, Service: "s", DataCentre: string(rune('a' + i%4)), Slots: 12, Born: 1}
		for j := range 4 {
			u.Held = append(u.Held, fleet.Held{Model: fmt.Sprintf("m%d", (4*i+j)%200)})
		}
		list[id], running[id] = u, i%12
	}
	for _, key := range []place.Key{{Model: "m7"}, {}} {
		table := pick.New("a")
		table.Replace(list)
		table.SetPeerRequests(start, "h2", running)
		serveFor(table, time.Second, "i-001")
		b.Run("model="+key.Model, func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				table.Choose(start.Add(time.Second), pick.Query{Service: "s", Key: key})
			}
		})
	}
}
