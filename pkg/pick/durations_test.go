package pick_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/fireflycleat/fireflycleat/pkg/pick"
)

// TestDurationsFollowTheEngine guards against requests that are refused although their model is ready: with the time per token of an
// engine half as fast, a request that allows many tokens would seem to miss its deadline.
func TestDurationsFollowTheEngine(t *testing.T) {
	d := pick.NewDurations()
	qt.Assert(t, d.Expected("fast", 800), qt.Equals, time.Duration(0))
	for range 50 {
		d.Record("fast", 800, 2*time.Second)
		d.Record("slow", 800, 4*time.Second)
		d.Record("slow", 0, time.Hour)
	}
	qt.Assert(t, d.Expected("fast", 400).Round(time.Millisecond), qt.Equals, time.Second)
	qt.Assert(t, d.Expected("slow", 400).Round(time.Millisecond), qt.Equals, 2*time.Second)
	for range 50 {
		d.Record("fast", 800, 4*time.Second)
	}
	qt.Assert(t, d.Expected("fast", 400) > 1900*time.Millisecond, qt.IsTrue)
}
