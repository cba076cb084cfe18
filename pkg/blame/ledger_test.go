package blame_test

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/fireflycleat/fireflycleat/pkg/blame"
)

const (
	common uint64 = iota + 1
	theme
	deadly
	other
)

var start = time.Unix(1000, 0)

// TestPartsThatOccurTogether guards against requests that are refused for a part that they share with the deadly ones: of two parts
// that always occur together, only requests with both are refused until one of them was answered.
func TestPartsThatOccurTogether(t *testing.T) {
	l := blame.New()
	now := start
	for i := range 2 {
		qt.Assert(t, l.Judge(now, []uint64{common, theme, deadly}).Refuse, qt.IsFalse)
		l.RecordCrash(now, fmt.Sprint("u", i), 1, []uint64{common, theme, deadly}, false)
		now = now.Add(time.Second)
	}
	qt.Assert(t, l.Judge(now, []uint64{common, theme, deadly}).Refuse, qt.IsTrue)
	qt.Assert(t, l.Judge(now, []uint64{common, theme}).Refuse, qt.IsFalse)
	qt.Assert(t, l.Judge(now, []uint64{common, other, deadly}).Refuse, qt.IsFalse)
	l.RecordSound(now, []uint64{common, theme})
	qt.Assert(t, l.Judge(now, []uint64{common, other, deadly}).Refuse, qt.IsTrue)
	qt.Assert(t, l.Judge(now, []uint64{common, theme}).Crashes, qt.Equals, 0)
}

// TestBystandersAreNotRefused guards against sound requests that are refused because they waited at upstreams that others crashed: the part
// that they share with these is in each crash, and cannot be answered while the only upstream is away.
func TestBystandersAreNotRefused(t *testing.T) {
	l := blame.New()
	now := start
	for range 100 {
		l.RecordSound(now, []uint64{common})
		now = now.Add(time.Second / 10)
	}
	for i := range 2 {
		l.RecordCrash(now, fmt.Sprint("u", i), 1, []uint64{common}, false)
		qt.Assert(t, l.Judge(now, []uint64{common, deadly}).Refuse, qt.IsFalse, qt.Commentf("a bystander's crash does not count for the part"))
		l.RecordCrash(now, fmt.Sprint("u", i), 1, []uint64{common, deadly}, false)
		now = now.Add(3 * time.Second)
	}
	qt.Assert(t, l.Judge(now, []uint64{common}).Refuse, qt.IsFalse)
	qt.Assert(t, l.Judge(now, []uint64{common, theme}).Refuse, qt.IsFalse)
	qt.Assert(t, l.Judge(now, []uint64{common, deadly}).Refuse, qt.IsTrue)
	qt.Assert(t, l.Judge(now, []uint64{other, deadly}).Refuse, qt.IsTrue)
}

// TestUpstreamsThatEndForOtherReasons guards against sound requests that are refused because upstreams crash or flap while they begin to
// answer them: a complete answer acquits, and one process of an upstream counts once.
func TestUpstreamsThatEndForOtherReasons(t *testing.T) {
	l := blame.New()
	now := start
	parts := []uint64{common, theme}
	for i := range 10 {
		l.RecordCrash(now, fmt.Sprint("u", i), 1, parts, false)
		l.RecordCrash(now, fmt.Sprint("u", i), 1, parts, false)
		qt.Assert(t, l.Judge(now, parts).Refuse, qt.IsFalse, qt.Commentf("crash %d", i))
		now = now.Add(time.Second)
		l.RecordSound(now, parts)
		l.Expire(now)
	}
	l.Expire(now.Add(time.Minute))
	qt.Assert(t, l.CrashCount(), qt.Equals, 0)
}

// TestTrialReleasesParts guards against parts that are refused for ever, and against a deadly part that crashes several upstreams each time
// that it is tried again.
func TestTrialReleasesParts(t *testing.T) {
	l := blame.New()
	now := start
	parts := []uint64{common, deadly}
	for i := range 2 {
		l.RecordCrash(now, fmt.Sprint("u", i), 1, parts, false)
	}
	wait := l.Judge(now, parts).Retry
	qt.Assert(t, wait > 0, qt.IsTrue)
	now = now.Add(wait)
	v := l.Judge(now, parts)
	qt.Assert(t, v.Trial && !v.Refuse, qt.IsTrue, qt.Commentf("%+v", v))
	l.RecordCrash(now, "u2", 1, parts, false)
	longer := l.Judge(now, parts).Retry
	qt.Assert(t, longer > wait, qt.IsTrue, qt.Commentf("one crash in the trial suffices: %v, %v", wait, longer))
	l.RecordSound(now.Add(longer), parts)
	qt.Assert(t, l.Judge(now.Add(longer), parts), qt.Equals, blame.Verdict{})
}

// TestEvidenceOfSeveralHosts guards against requests that crash one upstream for each host, because each host has seen one crash only, and
// against an answer that acquits a part at one host only.
func TestEvidenceOfSeveralHosts(t *testing.T) {
	now := start
	a, b, hub := blame.New(), blame.New(), blame.New()
	parts := []uint64{common, theme, deadly}
	a.RecordCrash(now, "u1", 1, parts, false)
	b.RecordCrash(now, "u2", 1, parts, false)
	now = now.Add(100 * time.Millisecond)
	b.RecordSound(now, []uint64{common, theme})
	for _, l := range []*blame.Ledger{a, b} {
		hub.Merge(now, l.Export(now, false))
	}
	qt.Assert(t, a.Merge(now, hub.Export(now, false)), qt.IsTrue)
	qt.Assert(t, a.Merge(now, hub.Export(now, false)), qt.IsFalse, qt.Commentf("the same evidence again"))
	qt.Assert(t, a.Judge(now, []uint64{other, deadly}).Refuse, qt.IsTrue)

	c := blame.New()
	now = now.Add(time.Minute)
	c.Merge(now, hub.Export(now, false))
	qt.Assert(t, c.Judge(now, parts).Refuse, qt.IsFalse, qt.Commentf("only what is recent is sent again"))
	c.Merge(now, hub.Export(now, true))
	qt.Assert(t, c.Judge(now, parts).Refuse, qt.IsTrue, qt.Commentf("a host that starts anew gets all"))
	c.RecordSound(now, parts)
	for i := range 3 {
		c.Expire(now.Add(time.Duration(i) * time.Second))
	}
	hub.Merge(now, c.Export(now, false))
	qt.Assert(t, hub.Judge(now, parts).Crashes, qt.Equals, 0, qt.Commentf("the answer reaches the others"))
}

// TestEvidenceIsBounded guards against memory and messages that grow with the number of crashes, and against many crashes of other kinds
// that displace the evidence about a deadly part.
func TestEvidenceIsBounded(t *testing.T) {
	l := blame.New()
	now := start
	for i := range 2 {
		l.RecordCrash(now, fmt.Sprint("u", i), 1, []uint64{deadly}, false)
	}
	for i := range 1000 {
		now = now.Add(time.Millisecond)
		l.RecordCrash(now, fmt.Sprint("v", i), 1, []uint64{common, uint64(100 + i)}, false)
		l.RecordCrash(now, fmt.Sprint("v", i), 1, []uint64{theme}, false)
	}
	qt.Assert(t, l.CrashCount() <= 64, qt.IsTrue)
	qt.Assert(t, len(l.Export(now, true).Crashes) <= 64, qt.IsTrue)
	qt.Assert(t, l.Judge(now, []uint64{deadly}).Refuse, qt.IsTrue)
	for i := range 100_000 {
		l.RecordSound(now, []uint64{uint64(i)})
	}
	l.RecordSound(now, []uint64{theme})
	qt.Assert(t, l.Judge(now, []uint64{theme}).Crashes, qt.Equals, 0, qt.Commentf("parts under suspicion are always recorded"))
}
