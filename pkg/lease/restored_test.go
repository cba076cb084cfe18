package lease_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/fireflycleat/fireflycleat/pkg/lease"
)

// TestHolderReclaimsTheLeaseAfterTwoReturns guards against seconds without a controller when the log returns a second time before the holder
// has begun its new term.
func TestHolderReclaimsTheLeaseAfterTwoReturns(t *testing.T) {
	l, a := fencedHolder()
	now := start.Add(time.Second)
	l.run(now, a) // renewal
	l.restore(1)
	a.Reread()
	now = now.Add(100 * time.Millisecond)
	l.run(now, a) // read
	a.Step(now)
	l.restore(1) // The store fails before the append of the new term arrives.
	a.Failed(now)
	for range 4 {
		now = now.Add(lease.DefaultSettings().RetryDelay)
		l.run(now, a)
	}
	_, held := a.Held(now)
	qt.Assert(t, held, qt.IsTrue)
}

// TestOddFenceDoesNotBlockTheLease guards against a deployment without a controller because a record in the log has a fence of no era that
// the log has had.
func TestOddFenceDoesNotBlockTheLease(t *testing.T) {
	for _, era := range []int64{0, 1} {
		for _, fence := range []int64{1 << 45, 1 << 60, 1<<63 - 1} {
			l := &log{era: era, records: []lease.Record{{Holder: "x", Incarnation: "x.1", Fence: fence}}}
			a := host("a", 0)
			now, took := start, false
			for range 300 {
				now = now.Add(100 * time.Millisecond)
				l.run(now, a)
				if f, held := a.Held(now); held {
					took = true
					qt.Check(t, f > 0 && f < 1<<53, qt.IsTrue, qt.Commentf("fence %d", f))
				}
			}
			qt.Check(t, took, qt.IsTrue, qt.Commentf("era %d, fence %d: %d records, newest %+v", era, fence, len(l.records), l.records[len(l.records)-1]))
		}
	}
}

// TestRereadIsNotForgotten guards against a holder that goes on in an earlier era for a second, because the answer to a renewal of before
// the return arrives after it has noticed the return.
func TestRereadIsNotForgotten(t *testing.T) {
	l, a := fencedHolder()
	now := start.Add(time.Second)
	action := a.Step(now)
	offset, ok := l.append(action)
	qt.Assert(t, ok, qt.IsTrue)
	l.restore(1)
	a.Reread()
	a.Appended(now, action, offset)
	qt.Assert(t, a.Step(now.Add(100*time.Millisecond)).Kind, qt.Equals, lease.Read)
}

// TestDeadHolderIsReplacedOnceAfterAReturn guards against two take-over times in a row when the holder has failed before the log returned.
func TestDeadHolderIsReplacedOnceAfterAReturn(t *testing.T) {
	l, a := fencedHolder()
	b := host("b", 0)
	l.run(start, b)
	now := start
	for range 3 {
		now = now.Add(time.Second)
		l.run(now, a)
		n, age, _ := a.Newest(now)
		b.Observe(now, n, age)
	}
	failed := now // a is killed
	l.restore(1)  // 0.5 s later the log is back, and hosts that may take over read it
	b.Reread()
	for at := failed.Add(500 * time.Millisecond); at.Before(failed.Add(20 * time.Second)); at = at.Add(50 * time.Millisecond) {
		l.run(at, b)
		if _, held := b.Held(at); held {

			qt.Assert(t, at.Sub(failed) < 500*time.Millisecond+lease.DefaultSettings().TakeOverTime+time.Second, qt.IsTrue)
			return
		}
	}
	t.Fatal("nobody took the lease")
}
