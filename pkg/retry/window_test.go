package retry_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/fireflycleat/fireflycleat/pkg/retry"
)

// TestWindowOfRestartedHost guards against exceeding the limit over all hosts: a restarted process must not use the fixed
// allowance again that its predecessor may have used within the same window.
func TestWindowOfRestartedHost(t *testing.T) {
	now := time.Unix(1000, 0)
	w := retry.NewWindow(now, 10*time.Second, 0, 14)
	qt.Assert(t, w.Take(now, 7), qt.IsFalse) // 15% of 14/7 repeats is less than one.
	taken := 0
	for range 100 {
		now = now.Add(100 * time.Millisecond)
		if w.Take(now, 7) {
			taken++
		}
	}
	qt.Assert(t, taken, qt.Equals, 2)
}

// TestWindowSlides guards against repeats that are dropped before the window has passed, and against a limit that stays exhausted.
func TestWindowSlides(t *testing.T) {
	now := time.Unix(1000, 0)
	w := retry.NewWindow(now, 10*time.Second, 0.2, 0)
	for range 10 {
		w.Request(now)
	}
	qt.Assert(t, w.Take(now, 1), qt.IsTrue)
	qt.Assert(t, w.Take(now, 1), qt.IsTrue)
	qt.Assert(t, w.Take(now, 1), qt.IsFalse)
	now = now.Add(9900 * time.Millisecond)
	qt.Assert(t, w.Take(now, 1), qt.IsFalse)
	now = now.Add(time.Second)
	for range 5 {
		w.Request(now)
	}
	qt.Assert(t, w.Take(now, 1), qt.IsTrue)
	qt.Assert(t, w.Take(now, 1), qt.IsFalse)
}

// TestFixedAllowanceGrowsFromProcessStart guards against hosts with few requests that refuse the first repeats although their
// process has been running for longer than a window.
func TestFixedAllowanceGrowsFromProcessStart(t *testing.T) {
	startedAt := time.Unix(1000, 0)
	w := retry.NewWindow(startedAt, 10*time.Second, 0, 14)
	now := startedAt.Add(time.Minute)
	qt.Assert(t, w.Take(now, 7), qt.IsTrue)
	qt.Assert(t, w.Take(now, 7), qt.IsTrue)
	qt.Assert(t, w.Take(now, 7), qt.IsFalse)
}

// TestAdjustKeepsCounts guards against settings that are read again and thereby allow the same repeats a second time.
func TestAdjustKeepsCounts(t *testing.T) {
	startedAt := time.Unix(1000, 0)
	w := retry.NewWindow(startedAt, 10*time.Second, 0, 14)
	now := startedAt.Add(time.Minute)
	qt.Assert(t, w.Take(now, 7), qt.IsTrue)
	w.Adjust(now, 10*time.Second, 0, 14)
	qt.Assert(t, w.Repeats(), qt.Equals, 1)
	w.Adjust(now, 5*time.Second, 0, 14)
	qt.Assert(t, w.Repeats(), qt.Equals, 1)
	qt.Assert(t, w.Take(now.Add(4*time.Second), 7), qt.IsTrue)
	qt.Assert(t, w.Take(now.Add(4*time.Second), 7), qt.IsFalse)
	qt.Assert(t, w.Take(now.Add(7*time.Second), 7), qt.IsTrue)
}
