package idemp

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/fireflycleat/fireflycleat/pkg/codes"
)

var start = time.Unix(1_700_000_000, 0)

// newSoleHolder returns a host with a single range that it holds without a backup.
func newSoleHolder(c *qt.C, cfg Config, a Assignment) *Host {
	cfg.Incarnation, cfg.Ranges = "a", 1
	h := New(cfg, rand.New(rand.NewPCG(1, 2)))
	a.Epoch, a.Holder = 7, "a"
	h.Handle(start, a)
	c.Assert(h.ReadyRanges(), qt.Equals, 1)
	return h
}

// firstAction returns the first action of type A.
func firstAction[A Action](actions []Action) (A, bool) {
	for _, a := range actions {
		if m, ok := a.(A); ok {
			return m, true
		}
	}
	var none A
	return none, false
}

// TestBegin guards against a wrong result code for a repeated, conflicting, malformed, lost or expired key, and for minted keys of
// other epochs.
func TestBegin(t *testing.T) {
	reset := Assignment{StateLostEpoch: 7, StateLostSince: start}
	later := mintKey(0, 8, rand.New(rand.NewPCG(1, 1)))
	current := mintKey(0, 7, rand.New(rand.NewPCG(1, 1)))
	older := mintKey(0, 6, rand.New(rand.NewPCG(1, 1)))
	day := 24 * time.Hour
	for _, test := range []struct {
		name    string
		a       Assignment
		earlier string // result of a previous call with the key: sent, ran, refused or lost; empty for no call
		key     string
		digest  string
		after   time.Duration
		code    codes.Code // OK if the call runs or the stored answer is repeated
		outcome codes.Outcome
		retry   time.Duration
	}{
		{name: "new", key: "k"},
		{name: "empty", code: codes.KeyMissing},
		{name: "long", key: strings.Repeat("x", MaxKeyLength+1), code: codes.BadRequest},
		{name: "in progress", earlier: "sent", key: "k", code: codes.KeyInProgress, outcome: codes.Unknown, retry: retryInProgress},
		{name: "repeated", earlier: "ran", key: "k"},
		{name: "conflict", earlier: "ran", key: "k", digest: "other", code: codes.KeyConflict},
		{name: "conflict in progress", earlier: "sent", key: "k", digest: "other", code: codes.KeyConflict},
		{name: "retry after not run", earlier: "refused", key: "k"},
		{name: "lost", earlier: "lost", key: "k", code: codes.KeyOutcomeLost, outcome: codes.Unknown},
		{name: "lost, just before expiry", earlier: "lost", key: "k", after: day - 1, code: codes.KeyOutcomeLost, outcome: codes.Unknown},
		{name: "expired", earlier: "lost", key: "k", after: day},
		{name: "after a reset", a: reset, key: "k", code: codes.KeyOutcomeLost, outcome: codes.Unknown, retry: day + resetMargin},
		{
			name: "after a reset, local clock may be fast", a: reset, key: "k", after: day + resetMargin, code: codes.KeyOutcomeLost,
			outcome: codes.Unknown, retry: (day + resetMargin) / 500,
		},
		{name: "all keys before the reset expired", a: reset, key: "k", after: (day + resetMargin) * 1003 / 1000},
		{name: "after a reset, minted since", a: reset, key: current},
		{name: "after a reset, minted before", a: reset, key: older, code: codes.KeyOutcomeLost, outcome: codes.Unknown, retry: day + resetMargin},
		{name: "minted in an earlier epoch, no reset", key: older},
		{name: "minted in a later epoch", key: later, code: codes.KeyRangeMoving, retry: retryMoving},
		{name: "altered", a: reset, key: current + "0", code: codes.KeyOutcomeLost, outcome: codes.Unknown, retry: day + resetMargin},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			h := newSoleHolder(c, Config{}, test.a)
			if test.earlier != "" {
				r, ok := firstAction[Run](h.Handle(start, Begin{ID: "0", Key: "k"}))
				c.Assert(ok, qt.IsTrue)
				o, finished := map[string]Outcome{
					"ran":     {Result: codes.Ran, Stored: StoredAnswer{Status: 201}},
					"refused": {Result: codes.NotRun, Proof: ServiceConfirmed},
					"lost":    {Result: codes.NotRun},
				}[test.earlier]
				if o.Attempt = r.Attempt; finished {
					h.Handle(start, o)
				}
			}
			actions := h.Handle(start.Add(test.after), Begin{ID: "1", Key: test.key, Digest: test.digest})
			got, answered := firstAction[Answer](actions)
			if test.code == codes.OK {
				_, ran := firstAction[Run](actions)
				c.Assert(ran != (answered && got.Repeated && got.Stored.Status == 201), qt.IsTrue)
				return
			}
			c.Assert(answered, qt.IsTrue)
			c.Assert(got.Err.Code(), qt.Equals, test.code)
			c.Assert(got.Err.Outcome(), qt.Equals, test.outcome)
			c.Assert(got.Err.RetryAfter(), qt.Equals, test.retry)
		})
	}
}

// TestBounds guards against tables and stored bodies that grow without bound.
func TestBounds(t *testing.T) {
	c := qt.New(t)
	h := newSoleHolder(c, Config{MaxKeys: 2, BodyLimit: 4}, Assignment{})
	r, _ := firstAction[Run](h.Handle(start, Begin{ID: "1", Key: "k1"}))
	h.Handle(start, Begin{ID: "2", Key: "k2"})
	got, _ := firstAction[Answer](h.Handle(start, Begin{ID: "3", Key: "k3"}))
	c.Assert(got.Err.Code(), qt.Equals, codes.OverCapacity)
	c.Assert(got.Err.Outcome(), qt.Equals, codes.NotRun)
	got, _ = firstAction[Answer](h.Handle(start, Outcome{Attempt: r.Attempt, Result: codes.Ran, Stored: StoredAnswer{Body: []byte("12345")}}))
	c.Assert(string(got.Stored.Body), qt.Equals, "12345")
	got, _ = firstAction[Answer](h.Handle(start, Begin{ID: "4", Key: "k1"}))
	c.Assert(got.Err.Outcome(), qt.Equals, codes.Ran)
	c.Assert(got.Err.Code(), qt.Equals, codes.KeyOutcomeLost)
	h.Handle(start.Add(defaultKeyLifetime), Tick{})
	c.Assert(h.KeyCount(), qt.Equals, 0)
}

// TestHandOver guards against a planned hand-over that loses a stored answer or the outcome of a call in progress. The table needs
// several chunks and the network duplicates messages.
func TestHandOver(t *testing.T) {
	c := qt.New(t)
	s := newSimulation(3, faults{}, seeded(1))
	for _, n := range s.nodes {
		n.h.cfg.MaxKeys = 5000
	}
	s.runRounds(20)
	drained := s.findNode(s.assigned[0].Holder)
	var keys []string
	for range 3 * chunkEntries {
		key, err := drained.h.Mint(0)
		c.Assert(err, qt.IsNil)
		keys = append(keys, key)
		s.begin(drained, key)
	}
	s.runRounds(2)
	unfinished, err := drained.h.Mint(0)
	c.Assert(err, qt.IsNil)
	s.begin(drained, unfinished)
	for i := 0; len(s.calls) == 0 && i < 1000; i++ {
		s.deliver(1 + s.draw(2))
	}
	sent := s.calls[0]
	s.calls = nil
	drained.draining = true
	s.handle(drained, Drain{})
	s.runRounds(12)
	c.Assert(drained.h.HeldRanges()+drained.h.BackupRanges(), qt.Equals, 0)
	c.Assert(drained.h.InProgress(), qt.Equals, 1)
	successor := s.findNode(s.assigned[0].Holder)
	c.Assert(successor.h.ReadyRanges() > 0, qt.IsTrue)
	status := func(key string) string {
		got, _ := firstAction[Answer](successor.h.Handle(successor.localTime(s.now), Begin{ID: "x", Key: key, Digest: "d"}))
		return fmt.Sprint(got.Repeated, string(got.Stored.Body) == s.answers[key], got.Err != nil)
	}
	got, _ := firstAction[Answer](successor.h.Handle(successor.localTime(s.now), Begin{ID: "x", Key: unfinished, Digest: "d"}))
	c.Assert(got.Err.Code(), qt.Equals, codes.KeyInProgress)
	s.handle(drained, Outcome{Attempt: sent.run.Attempt, Result: codes.Ran, Stored: s.serve(sent.run)})
	s.runRounds(2)
	for _, key := range append(keys, unfinished) {
		c.Assert(status(key), qt.Equals, "true true false", qt.Commentf("%s", key))
	}
	c.Assert(drained.h.InProgress(), qt.Equals, 0)
	c.Assert(s.err, qt.IsNil)
}

// TestRetryAtOnce guards against a retry after "not run" that is refused as in progress, and against running the retry before the
// backup has acknowledged the release.
func TestRetryAtOnce(t *testing.T) {
	c := qt.New(t)
	s := newSimulation(3, faults{}, seeded(1))
	s.runRounds(20)
	holder := s.findNode(s.assigned[0].Holder)
	key, err := holder.h.Mint(0)
	c.Assert(err, qt.IsNil)
	s.begin(holder, key)
	for len(s.packets) > 0 {
		s.deliver(inOrder)
	}
	s.finishCall(0, 1)
	retry := s.begin(holder, key)
	c.Assert(s.calls, qt.HasLen, 0)
	for len(s.packets) > 0 {
		s.deliver(inOrder)
	}
	c.Assert(s.calls, qt.HasLen, 1)
	c.Assert(s.calls[0].run.ID, qt.Equals, retry)
}

// TestMissedEpoch guards against a holder that treats its table as valid although another daemon may have run keys in an epoch that
// it missed, and against an unnecessary reset after state was restored from a snapshot.
func TestMissedEpoch(t *testing.T) {
	for _, test := range []struct {
		a     Assignment
		ready int
	}{
		{Assignment{Epoch: 9, Base: 7}, 1},
		{Assignment{Epoch: 9, Base: 8}, 0},
		{Assignment{Epoch: 9, Base: -1}, 1},
		{Assignment{Epoch: 9, Base: -1, StateLostEpoch: 7}, 1},
		{Assignment{Epoch: 9, Base: -1, StateLostEpoch: 8}, 0},
		{Assignment{Epoch: 9, Base: 8, StateLostEpoch: 9}, 1},
	} {
		c := qt.New(t)
		h := newSoleHolder(c, Config{}, Assignment{})
		test.a.Holder = "a"
		h.Handle(start, test.a)
		c.Assert(h.ReadyRanges(), qt.Equals, test.ready, qt.Commentf("%+v", test.a))
		got, refused := firstAction[Answer](h.Handle(start, Begin{ID: "1", Key: mintKey(0, 9, h.rng)}))
		c.Assert(refused, qt.Equals, test.ready == 0)
		c.Assert(!refused || got.Err.Code() == codes.KeyRangeMoving, qt.IsTrue)
		h.Handle(start, Peers{Members: []Member{{Incarnation: "a"}}})
		p, proposed := firstAction[Propose](h.Handle(start.Add(provenLossDelay), Tick{}))
		c.Assert(proposed, qt.Equals, refused)
		c.Assert(!proposed || p == Propose{Base: 9, Holder: "a", StateLost: true, Reason: "table is lost"}, qt.IsTrue)
	}
}

// TestForeignEntries guards against a faulty peer that adds keys of other ranges, or keys that are too long, to a table.
func TestForeignEntries(t *testing.T) {
	h := New(Config{Incarnation: "b", Ranges: 2}, rand.New(rand.NewPCG(1, 2)))
	h.Handle(start, Assignment{Range: 0, Epoch: 7, Holder: "a", Backup: "b"})
	for _, key := range []string{"", strings.Repeat("x", MaxKeyLength+1), mintKey(1, 7, h.rng), mintKey(0, 7, h.rng)} {
		_, acked := firstAction[Send](h.Handle(start, Transfer{From: "a", Epoch: 7, Chunks: 1, Entries: []Entry{{Key: key}}}))
		qt.Check(t, acked, qt.Equals, len(key) > 0 && h.RangeOf(key) == 0 && len(key) <= MaxKeyLength)
		qt.Check(t, h.KeyCount() == 1, qt.Equals, acked)
	}
}

// TestNoResetWhilePartitioned guards against a daemon on the minority side of a network partition that resets ranges whose holder
// and backup work. Callers could not use their own keys for a day after such a reset.
func TestNoResetWhilePartitioned(t *testing.T) {
	for _, test := range []struct {
		name  string
		lost  string        // members that "f" cannot reach
		gone  bool          // set when holder "a" and backup "b" are proven gone
		after time.Duration // earliest time of the reset's proposal, zero if none is expected
	}{
		{"partitioned from all", "abcde", false, 0},
		{"in the minority", "abcd", false, 0},
		{"in one half", "abc", false, 0},
		{"in the majority", "ab", false, suspectedLossDelay},
		{"gone, in the minority", "cd", true, provenLossDelay},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			h := New(Config{Incarnation: "f", Ranges: 1}, rand.New(rand.NewPCG(1, 2)))
			h.Handle(start, Assignment{Epoch: 7, Holder: "a", Backup: "b"})
			var list []Member
			for _, name := range strings.Split("abcdef", "") {
				if !test.gone || !strings.Contains("ab", name) {
					list = append(list, Member{Incarnation: name, Lost: strings.Contains(test.lost, name)})
				}
			}
			h.Handle(start, Peers{Members: list})
			var at time.Duration
			for age := time.Second; age <= time.Hour && at == 0; age += time.Second {
				if p, ok := firstAction[Propose](h.Handle(start.Add(age), Tick{})); ok {
					c.Assert(p.StateLost, qt.IsTrue)
					at = age
				}
			}
			c.Assert(at >= test.after && at <= test.after+6*rankDelay, qt.IsTrue, qt.Commentf("proposed after %s", at))
		})
	}
}

// TestBackupNeedsAllChunks guards against starting a new key while the backup has only part of the table: if the holder was then
// lost, the backup would not have the keys of the other chunks and would run them again.
func TestBackupNeedsAllChunks(t *testing.T) {
	c := qt.New(t)
	h := newSoleHolder(c, Config{MaxKeys: 5000}, Assignment{})
	for i := range chunkEntries + 10 {
		r, ok := firstAction[Run](h.Handle(start, Begin{ID: fmt.Sprint(i), Key: fmt.Sprint("k", i)}))
		c.Assert(ok, qt.IsTrue)
		h.Handle(start, Outcome{Attempt: r.Attempt, Result: codes.Ran, Stored: StoredAnswer{Status: 201}})
	}
	var chunks []Transfer
	for _, a := range h.Handle(start, Assignment{Epoch: 8, Base: 7, Holder: "a", Backup: "b"}) {
		if s, ok := a.(Send); ok {
			if x, ok := s.Message.(Transfer); ok {
				chunks = append(chunks, x)
			}
		}
	}
	c.Assert(len(chunks) > 1, qt.IsTrue)
	for i, x := range chunks {
		c.Assert(h.ReadyRanges(), qt.Equals, 0, qt.Commentf("%d of %d chunks are acknowledged", i, len(chunks)))
		_, ran := firstAction[Run](h.Handle(start, Begin{ID: fmt.Sprint("new", i), Key: fmt.Sprint("new", i)}))
		c.Assert(ran, qt.IsFalse)
		h.Handle(start, TransferAck{From: "b", Range: x.Range, Epoch: 8, Chunk: x.Chunk})
	}
	c.Assert(h.ReadyRanges(), qt.Equals, 1)
}
