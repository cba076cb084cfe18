package lease_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"github.com/fireflycleat/fireflycleat/pkg/lease"
)

// log is an in-memory log with compare-and-append.
type log struct {
	records []lease.Record
	era     int64
}

// restore makes the log come back from a copy that was made when it ended at the given offset.
func (l *log) restore(end int) {
	l.records, l.era = slices.Clone(l.records[:end]), l.era+1
}

func (l *log) newest() lease.Newest {
	n := lease.Newest{Era: l.era, End: int64(len(l.records))}
	if n.End > 0 {
		n.Offset, n.Record = n.End-1, l.records[n.End-1]
	}
	return n
}

func (l *log) append(a lease.Action) (int64, bool) {
	if a.ExpectedEnd != int64(len(l.records)) {
		return 0, false
	}
	l.records = append(l.records, a.Record)
	return a.ExpectedEnd, true
}

// run makes the call that the host requests and reports the result at once.
func (l *log) run(now time.Time, h *lease.Lease) {
	switch a := h.Step(now); a.Kind {
	case lease.Read:
		h.ReadDone(now, l.newest())
	case lease.Append:
		l.runAppend(now, h, a)
	}
}

// runAppend appends as a driver does: the answer shows the era, and the condition knows only the offset.
func (l *log) runAppend(now time.Time, h *lease.Lease, a lease.Action) {
	switch offset, ok := l.append(a); {
	case a.Era != l.era:
		h.Failed(now)
	case ok:
		h.Appended(now, a, offset)
	default:
		h.Refused()
	}
}

var start = time.Unix(1000, 0)

func host(name string, rank int) *lease.Lease {
	h := lease.New(lease.DefaultSettings(), name, name+".1")
	h.SetRank(rank)
	return h
}

// fencedHolder returns a log and a host that holds its lease and sends fenced orders.
func fencedHolder() (*log, *lease.Lease) {
	s := lease.DefaultSettings()
	s.Fenced = true
	l, a := &log{}, lease.New(s, "a", "a.1")
	l.run(start, a)
	l.run(start, a)
	return l, a
}

// TestSilentHolderStopsBeforeTakeOver guards against two holders at the same time when the first one can no longer reach the log.
func TestSilentHolderStopsBeforeTakeOver(t *testing.T) {
	l, a, b := &log{}, host("a", 0), host("b", 1)
	stopped, tookOver := time.Duration(0), time.Duration(0)
	for at := time.Duration(0); at < 12*time.Second; at += 50 * time.Millisecond {
		now := start.Add(at)
		if at < 3*time.Second {
			l.run(now, a)
		}
		l.run(now, b)
		_, heldA := a.Held(now)
		_, heldB := b.Held(now)
		qt.Assert(t, heldA && heldB, qt.IsFalse, qt.Commentf("both hold at %v", at))
		if heldA {
			stopped = at
		}
		if heldB && tookOver == 0 {
			tookOver = at
		}
	}
	qt.Assert(t, tookOver > stopped+time.Second, qt.IsTrue, qt.Commentf("stopped at %v, took over at %v", stopped, tookOver))
	fence, _ := b.Held(start.Add(11900 * time.Millisecond))
	qt.Assert(t, fence > a.Fence(), qt.IsTrue)
}

// TestUnreportedRenewal guards against a take-over that waits twice: the holder fails after a renewal that it reported to no other
// host, and the others keep reporting the previous record to each other.
func TestUnreportedRenewal(t *testing.T) {
	l, a, b, c := &log{}, host("a", 0), host("b", 0), host("c", 5)
	lastRenewal := 2100 * time.Millisecond
	takenOverAt := time.Duration(0)
	for at := time.Duration(0); at < 12*time.Second; at += 50 * time.Millisecond {
		now := start.Add(at)
		if at <= lastRenewal {
			l.run(now, a)
		}
		if n, age, ok := a.Newest(now); ok && at <= 1500*time.Millisecond {
			b.Observe(now, n, age)
			c.Observe(now, n, age)
		}
		if n, age, ok := c.Newest(now); ok {
			b.Observe(now, n, age)
		}
		if at >= time.Second {
			l.run(now, b)
		}
		if _, held := b.Held(now); held && takenOverAt == 0 {
			takenOverAt = at
		}
	}
	s := lease.DefaultSettings()
	qt.Assert(t, takenOverAt > lastRenewal+s.TakeOverTime-100*time.Millisecond, qt.IsTrue, qt.Commentf("taken at %v", takenOverAt))
	qt.Assert(t, takenOverAt < lastRenewal+s.TakeOverTime+s.OverdueTime, qt.IsTrue, qt.Commentf("taken at %v", takenOverAt))
}

// TestRefusedHolderStops guards against a holder that keeps the lease after a refused renewal, because peers report its old
// record.
func TestRefusedHolderStops(t *testing.T) {
	l, a := fencedHolder()
	old, age, _ := a.Newest(start)
	l.records = append(l.records, lease.Record{Holder: "b", Incarnation: "b.1"})
	now := start.Add(lease.DefaultSettings().RenewInterval)
	l.run(now, a)
	a.Observe(now, old, age)
	_, held := a.Held(now)
	qt.Assert(t, held, qt.IsFalse)
	l.run(now, a)
	qt.Assert(t, a.Holder(), qt.Equals, "b")
	qt.Assert(t, l.records, qt.HasLen, 2)
}

// TestRestartedHolderReacquiresAtOnce guards against seconds without a holder after the process of the holder was killed and
// restarted.
func TestRestartedHolderReacquiresAtOnce(t *testing.T) {
	l, a := &log{}, host("a", 0)
	l.run(start, a)
	l.run(start, a)
	first, held := a.Held(start)
	qt.Assert(t, held, qt.IsTrue)
	restarted := lease.New(lease.DefaultSettings(), "a", "a.2")
	l.run(start, restarted)
	l.run(start, restarted)
	fence, held := restarted.Held(start)
	qt.Assert(t, held, qt.IsTrue)
	qt.Assert(t, fence > first, qt.IsTrue)
}

// TestLostAnswerIsRecoveredByReading guards against a holder that loses the lease, or appends twice, when the answer to an append
// that took effect was lost.
func TestLostAnswerIsRecoveredByReading(t *testing.T) {
	l, a := &log{}, host("a", 0)
	l.run(start, a)
	action := a.Step(start)
	_, ok := l.append(action)
	qt.Assert(t, ok, qt.IsTrue)
	a.Failed(start)
	now := start.Add(time.Second)
	l.run(now, a) // read
	l.run(now.Add(time.Second), a)
	fence, held := a.Held(now.Add(time.Second))
	qt.Assert(t, held, qt.IsTrue)
	qt.Assert(t, fence, qt.Equals, int64(1))
	qt.Assert(t, l.records, qt.HasLen, 2)
}

// TestReleasedLeaseIsFree guards against waiting for the take-over time after the holder released the lease, and against a
// stopping host that acquires it again.
func TestReleasedLeaseIsFree(t *testing.T) {
	l, a, b := &log{}, host("a", 0), host("b", 0)
	l.run(start, a)
	l.run(start, a)
	action := a.Release(start)
	qt.Assert(t, action.Kind, qt.Equals, lease.Append)
	offset, _ := l.append(action)
	a.Appended(start, action, offset)
	_, held := a.Held(start)
	qt.Assert(t, held, qt.IsFalse)
	l.run(start, b)
	l.run(start, b)
	_, held = b.Held(start)
	qt.Assert(t, held, qt.IsTrue)
	l.run(start.Add(10*time.Second), a)
	_, held = a.Held(start.Add(10 * time.Second))
	qt.Assert(t, held, qt.IsFalse, qt.Commentf("a stopping host acquired the lease again"))
}

// TestReleaseDuringARenewal guards against a lease that is not released, so that others wait for the take-over time, because the host stopped
// while a renewal was on its way.
func TestReleaseDuringARenewal(t *testing.T) {
	l, a := fencedHolder()
	now := start.Add(lease.DefaultSettings().RenewInterval)
	renewal := a.Step(now)
	qt.Assert(t, renewal.Kind, qt.Equals, lease.Append)
	qt.Assert(t, a.Release(now).Kind, qt.Equals, lease.Nothing)
	offset, _ := l.append(renewal)
	a.Appended(now, renewal, offset)
	_, held := a.Held(now)
	qt.Assert(t, held, qt.IsFalse)
	l.append(a.Release(now))
	qt.Assert(t, l.newest().Record.Released, qt.IsTrue)
}

// TestOneHolder guards against two holders under lost and late answers, pauses, restarts, and returns of the log from a copy, in any
// order. Hosts that have not noticed a return send their view to the others.
func TestOneHolder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l := &log{}
		type delayed struct {
			at     time.Duration
			action lease.Action
		}
		hosts := []*lease.Lease{host("a", 0), host("b", 1), host("c", 2)}
		for _, h := range hosts {
			l.run(start, h) // Hosts that start with the system read the log before it can return.
		}
		paused := make([]time.Duration, len(hosts))
		var pending []delayed
		ends := []int{0} // of the log, at each step
		holderOf := map[int64]string{}
		for at := time.Duration(0); at < 30*time.Second; at += 100 * time.Millisecond {
			now := start.Add(at)
			for i, p := range pending {
				if p.at == at {
					l.append(pending[i].action)
				}
			}
			if ends = append(ends, len(l.records)); rapid.IntRange(0, 60).Draw(t, "store") == 0 {
				end := min(ends[max(len(ends)-rapid.IntRange(1, 120).Draw(t, "age"), 0)], len(l.records))
				l.restore(end)
				for i := range ends {
					ends[i] = min(ends[i], end)
				}
			}
			holders := 0
			for i, h := range hosts {
				name := string(rune('a' + i))
				if at < paused[i] {
					continue
				}
				event := rapid.IntRange(0, 60).Draw(t, "fate")
				switch event {
				case 0:
					paused[i] = at + time.Duration(rapid.IntRange(1, 60).Draw(t, "pause"))*100*time.Millisecond
					continue
				case 1:
					s := lease.DefaultSettings()
					s.Joins = true
					hosts[i] = lease.New(s, name, fmt.Sprint(name, at))
					hosts[i].SetRank(i)
					h = hosts[i]
				case 4, 5, 6:
					if n, age, ok := hosts[(i+event)%len(hosts)].Newest(now); ok {
						h.Observe(now, n, age)
					}
				}
				switch a := h.Step(now); {
				case a.Kind == lease.Append && event == 2:
					pending = append(pending, delayed{at + time.Duration(rapid.IntRange(1, 40).Draw(t, "late"))*100*time.Millisecond, a})
					h.Failed(now)
				case a.Kind == lease.Append && event == 3:
					l.append(a)
					h.Failed(now)
				case a.Kind == lease.Append:
					l.runAppend(now, h, a)
				case a.Kind == lease.Read:
					h.ReadDone(now, l.newest())
				}
				if fence, ok := h.Held(now); ok {
					holders++
					if previous, known := holderOf[fence]; known && previous != name {
						t.Fatalf("fence %d was held by %s and %s", fence, previous, name)
					}
					holderOf[fence] = name
				}
			}
			if holders > 1 {
				t.Fatalf("%d holders at %v", holders, at)
			}
		}
	})
}

// TestFencesGrowWhenTheLogReturns guards against a deployment without a usable controller after the log came back from a copy: fences went
// back or were used twice, an old view hid the new log, or a refused holder tried its fence again. Receivers of orders check fences.
func TestFencesGrowWhenTheLogReturns(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l := &log{}
		s := lease.DefaultSettings()
		s.Fenced, s.Joins = true, true
		var hosts []*lease.Lease
		newHost := func(i int, incarnation string) *lease.Lease {
			h := lease.New(s, string(rune('a'+i)), incarnation)
			h.SetRank(i)
			return h
		}
		for i := range 3 {
			hosts = append(hosts, newHost(i, fmt.Sprint(i)))
		}
		cut := make([]time.Duration, len(hosts)) // until when a host does not reach the log
		ends := []int{0}
		highest, holderOf := int64(0), map[int64]int{}
		const disturbed, end = 25 * time.Second, 40 * time.Second
		for at := time.Duration(0); at < end; at += 100 * time.Millisecond {
			now := start.Add(at)
			if ends = append(ends, len(l.records)); at < disturbed && rapid.IntRange(0, 80).Draw(t, "store") == 0 {
				last := min(ends[max(len(ends)-rapid.IntRange(1, 120).Draw(t, "age"), 0)], len(l.records))
				l.restore(last)
				for i := range ends {
					ends[i] = min(ends[i], last)
				}
			}
			accepted := 0
			for i, h := range hosts {
				fate := 100
				if at < disturbed {
					fate = rapid.IntRange(0, 100).Draw(t, "fate")
				}
				switch {
				case fate == 0:
					cut[i] = at + time.Duration(rapid.IntRange(1, 80).Draw(t, "cut"))*100*time.Millisecond
				case fate == 1:
					hosts[i] = newHost(i, fmt.Sprint(i, at))
					h = hosts[i]
				case int(at/(100*time.Millisecond))%6 == i:
					if n, age, ok := hosts[(i+1+fate%2)%len(hosts)].Newest(now); ok {
						h.Observe(now, n, age) // a heartbeat
					}
				}
				switch a := h.Step(now); {
				case a.Kind != lease.Nothing && at < cut[i]:
					h.Failed(now)
				case a.Kind == lease.Append:
					l.runAppend(now, h, a)
				case a.Kind == lease.Read:
					h.ReadDone(now, l.newest())
				}
				fence, held := h.Held(now)
				switch previous, known := holderOf[fence]; {
				case !held:
				case known && previous != i:
					t.Fatalf("fence %d was held by hosts %d and %d", fence, previous, i)
				case fence < highest:
					h.FenceRefused(now, fence)
					if again, _ := h.Held(now); again == fence && h.Step(now).Record.Fence == fence {
						t.Fatalf("fence %d is used again after a refusal", fence)
					}
				default:
					highest, holderOf[fence] = fence, i
					accepted++
				}
			}
			if at == end-100*time.Millisecond && accepted != 1 {
				t.Fatalf("%d hosts whose orders are accepted, %v after the last fault", accepted, end-disturbed)
			}
		}
	})
}

// TestHolderReclaimsTheLeaseAtOnce guards against seconds without a controller after the log came back from a copy, and against another
// host that takes the lease before the holder has noticed the return.
func TestHolderReclaimsTheLeaseAtOnce(t *testing.T) {
	l, a := fencedHolder()
	b := host("b", 0)
	l.run(start, b)
	first, _ := a.Held(start)
	for at := time.Second; at <= 5*time.Second; at += time.Second {
		l.run(start.Add(at), a)
		n, age, _ := a.Newest(start.Add(at))
		b.Observe(start.Add(at), n, age)
	}
	l.restore(1)
	now := start.Add(6 * time.Second)
	l.run(now, b)
	qt.Assert(t, l.records, qt.HasLen, 1, qt.Commentf("b has just heard of the return"))
	l.run(now, a) // The renewal fails, because the log has another era.
	for range 3 {
		now = now.Add(lease.DefaultSettings().RetryDelay)
		l.run(now, a)
	}
	fence, held := a.Held(now)
	qt.Assert(t, held, qt.IsTrue)
	qt.Assert(t, fence > first, qt.IsTrue, qt.Commentf("%d after %d", fence, first))
}

// TestOldTermDoesNotComeBack guards against a former holder whose term comes back with a copy of the log: receivers of orders have seen the
// fence of the holder after it.
func TestOldTermDoesNotComeBack(t *testing.T) {
	l, a := fencedHolder()
	b := host("b", 0)
	l.run(start, b)
	now := start.Add(10 * time.Second)
	l.run(now, b)
	second, held := b.Held(now)
	qt.Assert(t, held, qt.IsTrue)
	a.ReadDone(now, l.newest())
	l.restore(1)
	a.Reread()
	l.run(now, a)
	_, held = a.Held(now)
	qt.Assert(t, held, qt.IsFalse)
	for at := now; at.Before(now.Add(10 * time.Second)); at = at.Add(100 * time.Millisecond) {
		l.run(at, a)
		if fence, held := a.Held(at); held {
			qt.Assert(t, fence > second, qt.IsTrue)
			qt.Assert(t, at.Sub(now) >= lease.DefaultSettings().TakeOverTime, qt.IsTrue, qt.Commentf("taken after %v", at.Sub(now)))
			return
		}
	}
	t.Fatal("nobody took the lease")
}

// TestFencedHolderKeepsLeaseInOutage guards against a fenced holder that stops in an outage of the log, although no host can take
// over, and against one that keeps the lease after it received a record of another holder or was suspended.
func TestFencedHolderKeepsLeaseInOutage(t *testing.T) {
	_, a := fencedHolder()
	for at := time.Second; at < 10*time.Second; at += 100 * time.Millisecond {
		if a.Step(start.Add(at)).Kind != lease.Nothing {
			a.Failed(start.Add(at))
		}
		_, held := a.Held(start.Add(at))
		qt.Assert(t, held, qt.IsTrue, qt.Commentf("at %v", at))
	}
	now := start.Add(11 * time.Second)
	b := new(lease.Lease)
	*b = *a
	b.Invalidate()
	_, held := b.Held(now)
	qt.Assert(t, held, qt.IsFalse)
	other := lease.Record{Holder: "b", Incarnation: "b.1"}
	a.Observe(now, lease.Newest{Record: other, Offset: 1, End: 2}, 0)
	_, held = a.Held(now)
	qt.Assert(t, held, qt.IsFalse)
}

// TestRefusedFenceIsNotTriedAgain guards against a holder that renews the lease with a fence that a receiver of orders has refused, and tries
// it again every second: nothing is loaded until the day ends.
func TestRefusedFenceIsNotTriedAgain(t *testing.T) {
	l, a := fencedHolder()
	first, held := a.Held(start)
	qt.Assert(t, held, qt.IsTrue)
	own, age, _ := a.Newest(start)
	a.FenceRefused(start, first)
	for at := time.Duration(0); at < 3*time.Second; at += 100 * time.Millisecond {
		now := start.Add(at)
		a.Observe(now, own, age) // Peers report its record.
		l.run(now, a)
		if fence, held := a.Held(now); held {
			qt.Assert(t, fence > first, qt.IsTrue)
			qt.Assert(t, at >= lease.DefaultSettings().RetryDelay, qt.IsTrue)
			return
		}
	}
	t.Fatal("the host that the log names does not take the lease")
}
