package route

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// TestNotice guards against peers' notices that are ignored, applied twice, applied after a later one, or never expire.
func TestNotice(t *testing.T) {
	c := qt.New(t)
	table := newTable(9, 8)
	now := start.Add(time.Hour)
	for _, x := range []struct {
		name    string
		after   time.Duration
		notice  Notice
		applied bool
		ejected int
	}{
		{"unknown upstream", 0, Notice{Upstream: "other", Slow: true}, false, 0},
		{"too old", 0, Notice{Upstream: "u0", Slow: true, Age: time.Minute}, false, 0},
		{"slow", 0, Notice{Upstream: "u0", Slow: true, Age: time.Second, Left: 2 * time.Second, Token: 5}, true, 1},
		{"the same by another heartbeat", time.Second, Notice{Upstream: "u0", Slow: true, Age: 1900 * time.Millisecond, Token: 5}, false, 1},
		{"an earlier recovery", 0, Notice{Upstream: "u0", Age: 3 * time.Second, Token: 1}, false, 1},
		{"within the share", 0, Notice{Upstream: "u1", Slow: true, Token: 5}, true, 2},
		{"third", 0, Notice{Upstream: "u2", Slow: true, Token: 5}, true, 3},
		{"beyond the share that may be ejected", 0, Notice{Upstream: "u3", Slow: true, Token: 5}, true, 3},
		{"recovered", time.Second, Notice{Upstream: "u0", Token: 1, First: 1}, true, 2},
	} {
		now = now.Add(x.after)
		c.Check(table.ApplyNotice(now, x.notice), qt.Equals, x.applied, qt.Commentf(x.name))
		c.Check(table.Ejected("m", ""), qt.Equals, x.ejected, qt.Commentf(x.name))
	}
	_, due := table.Probe(now.Add(probeSpread), Query{Model: "m", Repeatable: true})
	c.Check(due, qt.IsTrue)
	c.Check(table.Notices(now), qt.HasLen, 0) // Only this host's own findings are sent to peers.
}
