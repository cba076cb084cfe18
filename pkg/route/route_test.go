package route

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"github.com/fireflycleat/fireflycleat/pkg/spec"
)

var start = time.Unix(1_700_000_000, 0)

func newTable(replicas, slots int) *Table {
	v := spec.NewView(1, []spec.Template{{
		Name: "m", Kind: spec.ModelTemplate, Model: &spec.Model{Slots: slots, TokenMicros: 10000},
	}}, nil)
	t := New(Defaults(), "dc0", nil, v, rand.New(rand.NewPCG(1, 2)))
	var rs []Replica
	for i := range replicas {
		rs = append(rs, Replica{
			Upstream: fmt.Sprintf("u%d", i), DataCentre: fmt.Sprintf("dc%d", i%3), Model: "m", Slots: slots, Ready: true,
		})
	}
	t.Replace("c", 1, 1, rs)
	return t
}

// reference is the expected state after a random sequence of events.
type reference struct {
	excluded, listed map[string]bool
	remote, local    map[string]int
	attempts         []Attempt
}

// runHistory applies a random sequence of events and returns the first violated rule, or an empty string.
func runHistory(draw func(n int) int, m mutant) string {
	t := newTable(9, 4)
	t.mutant = m
	r := reference{
		excluded: make(map[string]bool), listed: make(map[string]bool), remote: make(map[string]int), local: make(map[string]int),
	}
	for i := range 9 {
		r.listed[fmt.Sprintf("u%d", i)] = true
	}
	now := start
	for seq := int64(2); seq < 150; seq++ {
		now = now.Add(time.Duration(draw(200)) * time.Millisecond)
		u := fmt.Sprintf("u%d", draw(9))
		switch draw(10) {
		case 0:
			r.excluded[u] = true
			if draw(2) == 0 {
				t.SetLeaving(u)
			} else {
				t.SetGone(u)
			}
		case 1:
			delete(r.excluded, u)
			t.SetLive(u)
		case 2:
			r.replaceDirectory(t, draw, seq)
		case 3, 4: // A report without delay is exact: its requests beyond this host's own are those of other hosts.
			if r.listed[u] {
				now = now.Add(2 * bucketWidth)
				r.remote[u] = draw(6)
				t.ApplyReport(now, u, "m", r.local[u]+r.remote[u], 0, 4, now)
				if listed := t.replicas[replicaKey{u, "m"}]; listed != nil && listed.remote != r.remote[u] && listed.reported.Equal(now) {
					return fmt.Sprintf("%s: load of other hosts is %d, want %d", u, listed.remote, r.remote[u])
				}
			}
		case 5, 6, 7:
			c, ok := t.Pick(now, Query{Model: "m", Urgency: spec.Urgency(draw(3)), Repeatable: draw(2) == 0})
			if !ok {
				continue
			}
			if r.excluded[c.Upstream] || !r.listed[c.Upstream] {
				return "chose " + c.Upstream + ", which is leaving, gone or not listed"
			}
			r.local[c.Upstream]++
			r.attempts = append(r.attempts, t.StartAttempt(now, c, spec.Urgency(draw(3)), 0))
		default:
			now = r.endAttempt(t, draw, now)
		}
		g := t.groups[groupKey{"m", ""}]
		if g != nil && g.ejected*ejectShare > len(g.replicas) {
			return fmt.Sprintf("%d of %d candidates ejected", g.ejected, len(g.replicas))
		}
		if l := t.Load("m"); l.InFlight < 0 || l.Local != len(r.attempts) {
			return fmt.Sprintf("load %+v with %d in flight", l, len(r.attempts))
		}
	}
	return r.drain(t, draw, now)
}

func (r *reference) replaceDirectory(t *Table, draw func(n int) int, seq int64) {
	var rs []Replica
	clear(r.listed)
	for i := range 9 {
		if draw(4) > 0 {
			u := fmt.Sprintf("u%d", i)
			r.listed[u] = true
			rs = append(rs, Replica{Upstream: u, DataCentre: "dc0", Model: "m", Slots: 4, Ready: true})
		}
	}
	t.Replace("c", 1, seq, rs)
	t.Replace("c", 1, seq-1, nil) // An older list arrives late.
}

func (r *reference) endAttempt(t *Table, draw func(n int) int, now time.Time) time.Time {
	if len(r.attempts) == 0 {
		return now
	}
	i := draw(len(r.attempts))
	a := r.attempts[i]
	r.local[a.Upstream()]--
	t.RecordFirstToken(now, &a)
	now = now.Add(10 * time.Millisecond)
	tokens := 100
	if a.Upstream() < "u6" { // Most upstreams are slow, so the limit on ejections applies.
		tokens = 10
	}
	t.EndAttempt(now, &a, tokens, true)
	r.attempts = append(r.attempts[:i], r.attempts[i+1:]...)
	return now
}

func (r *reference) drain(t *Table, draw func(n int) int, now time.Time) string {
	for len(r.attempts) > 0 {
		now = r.endAttempt(t, draw, now)
	}
	for u := range r.excluded {
		t.SetLive(u)
	}
	t.Replace("c", 2, 1, nil)
	if u, n, g := t.Size(); u+n+g != 0 {
		return fmt.Sprintf("%d upstreams, %d replicas and %d groups are left", u, n, g)
	}
	return ""
}

// TestHistories guards against choosing leaving or unlisted upstreams, wrong correction of reports by own requests, too many
// ejections, and leaked entries.
func TestHistories(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		draw := func(n int) int { return rapid.IntRange(0, n-1).Draw(t, "n") }
		if fault := runHistory(draw, mutant{exactRemote: true}); fault != "" {
			t.Fatal(fault)
		}
	})
}

// TestMutantsAreCaught guards against checks that cannot fail: each mutant disables one rule, which a random history must
// detect.
func TestMutantsAreCaught(t *testing.T) {
	for name, m := range map[string]mutant{
		"keepLeaving":  {keepLeaving: true, exactRemote: true},
		"noEjectLimit": {noEjectLimit: true, exactRemote: true},
	} {
		fault := ""
		for seed := uint64(0); seed < 500 && fault == ""; seed++ {
			fault = runHistory(rand.New(rand.NewPCG(seed, 1)).IntN, m)
		}
		t.Log(name, fault)
		qt.Check(t, fault, qt.Not(qt.Equals), "", qt.Commentf(name))
	}
}

func laggedLoad(m mutant) int {
	table := newTable(1, 8)
	table.mutant = m
	q := Query{Model: "m"}
	var attempts []Attempt
	for range 3 {
		choice, _ := table.Pick(start, q)
		attempts = append(attempts, table.StartAttempt(start, choice, spec.Normal, 0))
	}
	at := start.Add(500 * time.Millisecond) // The engine counts 3 requests of this host and 2 of others.
	later := start.Add(time.Second)
	table.EndAttempt(later, &attempts[0], 0, false)
	for range 2 {
		choice, _ := table.Pick(later, q)
		table.StartAttempt(later, choice, spec.Normal, 0)
	}
	table.ApplyReport(start.Add(1500*time.Millisecond), "u0", "", 5, 0, 8, at)
	table.ApplyReport(start.Add(2*time.Second), "u0", "", 9, 0, 8, at) // not newer than the last one
	// The same report again, with its age estimated from a different delay.
	table.ApplyReport(start.Add(2*time.Second), "u0", "", 9, 0, 8, at.Add(duplicateReportSpan))
	return table.Load("m").InFlight
}

// TestLaggedReport guards against a report that counts own requests twice: those sent after it, and those that it includes but
// that have ended since.
func TestLaggedReport(t *testing.T) {
	qt.Check(t, laggedLoad(mutant{}), qt.Equals, 4+2)
	qt.Check(t, laggedLoad(mutant{noCorrection: true}), qt.Not(qt.Equals), 4+2)
}

// TestReserve guards against bulk work that takes the last slots, so that urgent work has to wait.
func TestReserve(t *testing.T) {
	c := qt.New(t)
	table := newTable(1, 8)
	for range 6 {
		choice, _ := table.Pick(start, Query{Model: "m", Urgency: spec.Bulk})
		c.Check(choice.Free, qt.IsTrue)
		table.StartAttempt(start, choice, spec.Bulk, 0)
	}
	for u, free := range []bool{true, true, false} {
		choice, _ := table.Pick(start, Query{Model: "m", Urgency: spec.Urgency(u)})
		c.Check(choice.Free, qt.Equals, free)
	}
}

// TestReserveFollowsLoad guards against bulk work that takes the slots that urgent work usually needs, and against bulk work
// that never starts beside urgent work.
func TestReserveFollowsLoad(t *testing.T) {
	for _, x := range []struct {
		replicas int
		nonBulk  float64
		bulk     int
	}{{1, 0, 6}, {1, 1, 3}, {1, 4, 1}, {1, 7, 0}, {4, 0, 24}, {4, 12, 4}, {20, 60, 60}} {
		table := newTable(x.replicas, 8)
		m := table.model("m")
		m.meanNonBulk, m.meanNonBulkAt = x.nonBulk, start
		started := 0
		for range 8 * x.replicas {
			for i := range x.replicas {
				choice, _ := table.At(start, Query{Model: "m", Urgency: spec.Bulk}, fmt.Sprintf("u%d", i))
				if choice.Free {
					table.StartAttempt(start, choice, spec.Bulk, 0)
					started++
				}
			}
		}
		qt.Check(t, started, qt.Equals, x.bulk, qt.Commentf("%v", x))
	}
}

// TestNearFirst guards against preferring a replica in another data centre to an equal one in the data centre of this host.
func TestNearFirst(t *testing.T) {
	table := newTable(30, 8)
	for range 50 {
		choice, _ := table.Pick(start, Query{Model: "m"})
		qt.Assert(t, table.replicas[replicaKey{choice.Upstream, "m"}].DataCentre, qt.Equals, "dc0")
	}
}

// TestEjection guards against a slow upstream that is never ejected, or is never probed and readmitted.
func TestEjection(t *testing.T) {
	c := qt.New(t)
	table := newTable(9, 8)
	now, slow := start, 5
	probes := 0
	run := func(choice Choice) {
		a := table.StartAttempt(now, choice, spec.Normal, 0)
		factor := 1
		if choice.Upstream == "u0" {
			factor = slow
		}
		table.RecordFirstToken(now.Add(time.Duration(factor)*50*time.Millisecond), &a)
		table.EndAttempt(now.Add(time.Duration(factor)*time.Second), &a, 100, true)
	}
	round := func() (hits int) {
		for range 200 {
			now = now.Add(20 * time.Millisecond)
			q := Query{Model: "m", Repeatable: true}
			choice, _ := table.Pick(now, q)
			if choice.Upstream == "u0" {
				hits++
			}
			run(choice)
			q.Exclude = choice.Upstream
			if choice, ok := table.Probe(now, q); ok {
				probes++
				run(choice)
			}
		}
		return hits
	}
	round()
	c.Check(table.Ejected("m", ""), qt.Equals, 1)
	probes = 0
	for range 3 {
		c.Check(round(), qt.Equals, 0)
	}
	c.Check(probes > 0 && probes <= 5, qt.IsTrue, qt.Commentf("%d probes", probes))
	slow = 1
	for range 6 {
		round()
	}
	c.Check(table.Ejected("m", ""), qt.Equals, 0)
	c.Check(round() > 5, qt.IsTrue)
}

// BenchmarkDecision measures a choice and its bookkeeping at half load. The cost must not grow with the number of upstreams.
func BenchmarkDecision(b *testing.B) {
	for _, n := range []int{20, 1000, 10000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			table := newTable(n, 8)
			table.SetHosts(Hosts{Live: 6, Near: 2})
			attempts := make([]Attempt, 4*n)
			now := start
			q := Query{Model: "m", Repeatable: true}
			b.ReportAllocs()
			for i := range b.N + len(attempts) {
				if i == len(attempts) {
					b.ResetTimer()
				}
				now = now.Add(time.Millisecond)
				a := &attempts[i%len(attempts)]
				table.RecordFirstToken(now, a)
				table.EndAttempt(now, a, 1, true)
				choice, _ := table.Pick(now, q)
				*a = table.StartAttempt(now, choice, spec.Normal, 0)
			}
		})
	}
}

// TestWaitForSlotIsNotSlowness guards against ejecting an upstream as slow because requests waited there for a slot, and
// against discarding the late first tokens of an upstream that is slow.
func TestWaitForSlotIsNotSlowness(t *testing.T) {
	for _, x := range []struct {
		name  string
		token time.Duration
		slow  bool
	}{{"usual tokens", 10 * time.Millisecond, false}, {"slow tokens", 50 * time.Millisecond, true}} {
		t.Run(x.name, func(t *testing.T) {
			table := newTable(3, 8)
			now := start
			run := func(upstream string, first, token time.Duration) {
				c, _ := table.At(now, Query{Model: "m"}, upstream)
				a := table.StartAttempt(now, c, spec.Urgent, 0)
				now = now.Add(first)
				table.RecordFirstToken(now, &a)
				now = now.Add(8 * token)
				table.RecordProgress(now, &a, 8)
				table.EndAttempt(now, &a, 8, false)
			}
			for range minSamples {
				for _, u := range []string{"u1", "u2"} {
					run(u, 50*time.Millisecond, 10*time.Millisecond)
				}
			}
			for range minSamples {
				run("u0", 400*time.Millisecond, x.token)
			}
			u := table.upstreams["u0"]
			qt.Check(t, u.slowness(table.models["m"]) > 1, qt.Equals, x.slow)
			qt.Check(t, u.ejected, qt.Equals, x.slow)
		})
	}
}

// TestFull guards against calls that follow another to a replica found to be full, and against keeping it marked as full after
// the next report.
func TestFull(t *testing.T) {
	table := newTable(1, 4)
	q := Query{Model: "m", Urgency: spec.Urgent}
	c, _ := table.At(start, q, "u0")
	qt.Assert(t, c.Free, qt.IsTrue)
	a := table.StartAttempt(start, c, spec.Urgent, 0)
	table.RecordFull(&a)
	c, _ = table.At(start, q, "u0")
	qt.Check(t, c.Free, qt.IsFalse)
	qt.Check(t, table.Load("m").InFlight, qt.Equals, 5)
	now := start.Add(time.Second)
	table.ApplyReport(now, "u0", "m", 1, 0, 4, now)
	c, _ = table.At(now, q, "u0")
	qt.Check(t, c.Free, qt.IsTrue)
}
