package lease_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/fireflycleat/fireflycleat/pkg/lease"
)

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
