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

// alone returns a host that holds its only range without a backup.
func alone(c *qt.C, cfg Config, a Assignment) *Host {
	cfg.Incarnation, cfg.Ranges = "a", 1
	h := New(cfg, rand.New(rand.NewPCG(1, 2)))
	a.Epoch, a.Holder = 7, "a"
	h.Handle(start, a)
	c.Assert(h.Ready(), qt.Equals, 1)
	return h
}

// first returns the first action of one type.
func first[A Action](actions []Action) (A, bool) {
	for _, a := range actions {
		if m, ok := a.(A); ok {
			return m, true
		}
	}
	var none A
	return none, false
}

// Guards against a wrong code for a repeated, conflicting, malformed, too early or unknown key.
func TestBegin(t *testing.T) {
	blind := Assignment{BlindEpoch: 7, BlindSince: start}
	early := mintKey(0, 8, rand.New(rand.NewPCG(1, 1)))
	current := mintKey(0, 7, rand.New(rand.NewPCG(1, 1)))
	older := mintKey(0, 6, rand.New(rand.NewPCG(1, 1)))
	day := 24 * time.Hour
	for _, test := range []struct {
		name    string
		a       Assignment
		before  string // before is how an earlier call of the key ended: "", sent, ran, refused, lost.
		key     string
		digest  string
		after   time.Duration
		code    codes.Code // code is OK where the call runs or the stored answer is repeated.
		outcome codes.Outcome
		retry   time.Duration
	}{
		{name: "new", key: "k"},
		{name: "empty", code: codes.KeyMissing},
		{name: "long", key: strings.Repeat("x", MaxKeyLength+1), code: codes.BadRequest},
		{name: "in progress", before: "sent", key: "k", code: codes.KeyInProgress, outcome: codes.Unknown, retry: retryInProgress},
		{name: "repeated", before: "ran", key: "k"},
		{name: "conflict", before: "ran", key: "k", digest: "other", code: codes.KeyConflict},
		{name: "conflict in progress", before: "sent", key: "k", digest: "other", code: codes.KeyConflict},
		{name: "retry after not run", before: "refused", key: "k"},
		{name: "lost", before: "lost", key: "k", code: codes.KeyOutcomeLost, outcome: codes.Unknown},
		{name: "lost, last moment", before: "lost", key: "k", after: day - 1, code: codes.KeyOutcomeLost, outcome: codes.Unknown},
		{name: "expired", before: "lost", key: "k", after: day},
		{name: "blind", a: blind, key: "k", code: codes.KeyOutcomeLost, outcome: codes.Unknown, retry: day + blindSlack},
		{
			name: "blind, own clock may be fast", a: blind, key: "k", after: day + blindSlack, code: codes.KeyOutcomeLost,
			outcome: codes.Unknown, retry: (day + blindSlack) / 500,
		},
		{name: "blind is over", a: blind, key: "k", after: (day + blindSlack) * 1003 / 1000},
		{name: "blind, minted", a: blind, key: current},
		{name: "blind, minted before", a: blind, key: older, code: codes.KeyOutcomeLost, outcome: codes.Unknown, retry: day + blindSlack},
		{name: "minted before, not blind", key: older},
		{name: "minted later", key: early, code: codes.KeyRangeMoving, retry: retryMoving},
		{name: "altered", a: blind, key: current + "0", code: codes.KeyOutcomeLost, outcome: codes.Unknown, retry: day + blindSlack},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			h := alone(c, Config{}, test.a)
			if test.before != "" {
				r, ok := first[Run](h.Handle(start, Begin{ID: "0", Key: "k"}))
				c.Assert(ok, qt.IsTrue)
				o, known := map[string]Outcome{
					"ran":     {Result: codes.Ran, Stored: Stored{Status: 201}},
					"refused": {Result: codes.NotRun, Proof: ServiceSaid},
					"lost":    {Result: codes.NotRun},
				}[test.before]
				if o.Attempt = r.Attempt; known {
					h.Handle(start, o)
				}
			}
			actions := h.Handle(start.Add(test.after), Begin{ID: "1", Key: test.key, Digest: test.digest})
			got, answered := first[Answer](actions)
			if test.code == codes.OK {
				_, ran := first[Run](actions)
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

// Guards against tables and stored bodies that grow without bound.
func TestBounds(t *testing.T) {
	c := qt.New(t)
	h := alone(c, Config{MaxKeys: 2, BodyLimit: 4}, Assignment{})
	r, _ := first[Run](h.Handle(start, Begin{ID: "1", Key: "k1"}))
	h.Handle(start, Begin{ID: "2", Key: "k2"})
	got, _ := first[Answer](h.Handle(start, Begin{ID: "3", Key: "k3"}))
	c.Assert(got.Err.Code(), qt.Equals, codes.OverCapacity)
	c.Assert(got.Err.Outcome(), qt.Equals, codes.NotRun)
	got, _ = first[Answer](h.Handle(start, Outcome{Attempt: r.Attempt, Result: codes.Ran, Stored: Stored{Body: []byte("12345")}}))
	c.Assert(string(got.Stored.Body), qt.Equals, "12345")
	got, _ = first[Answer](h.Handle(start, Begin{ID: "4", Key: "k1"}))
	c.Assert(got.Err.Outcome(), qt.Equals, codes.Ran)
	c.Assert(got.Err.Code(), qt.Equals, codes.KeyOutcomeLost)
	h.Handle(start.Add(defaultKeyLifetime), Tick{})
	c.Assert(h.Keys(), qt.Equals, 0)
}

// Guards against a planned hand-over that loses a stored answer or the outcome of a call in progress, with a table
// that needs many chunks and a network that doubles messages.
func TestHandOver(t *testing.T) {
	c := qt.New(t)
	w := newWorld(3, faults{}, seeded(1))
	for _, n := range w.nodes {
		n.h.cfg.MaxKeys = 5000
	}
	w.settle(20)
	leaver := w.find(w.assigned[0].Holder)
	var keys []string
	for range 3 * chunkEntries {
		key, err := leaver.h.Mint(0)
		c.Assert(err, qt.IsNil)
		keys = append(keys, key)
		w.begin(leaver, key)
	}
	w.settle(2)
	open, err := leaver.h.Mint(0)
	c.Assert(err, qt.IsNil)
	w.begin(leaver, open)
	for i := 0; len(w.calls) == 0 && i < 1000; i++ {
		w.deliver(1 + w.draw(2))
	}
	sent := w.calls[0]
	w.calls = nil
	leaver.draining = true
	w.handle(leaver, Drain{})
	w.settle(12)
	c.Assert(leaver.h.Holds()+leaver.h.Backs(), qt.Equals, 0)
	c.Assert(leaver.h.InProgress(), qt.Equals, 1)
	second := w.find(w.assigned[0].Holder)
	c.Assert(second.h.Ready() > 0, qt.IsTrue)
	status := func(key string) string {
		got, _ := first[Answer](second.h.Handle(second.local(w.now), Begin{ID: "x", Key: key, Digest: "d"}))
		return fmt.Sprint(got.Repeated, string(got.Stored.Body) == w.answers[key], got.Err != nil)
	}
	got, _ := first[Answer](second.h.Handle(second.local(w.now), Begin{ID: "x", Key: open, Digest: "d"}))
	c.Assert(got.Err.Code(), qt.Equals, codes.KeyInProgress)
	w.handle(leaver, Outcome{Attempt: sent.run.Attempt, Result: codes.Ran, Stored: w.serve(sent.run)})
	w.settle(2)
	for _, key := range append(keys, open) {
		c.Assert(status(key), qt.Equals, "true true false", qt.Commentf("%s", key))
	}
	c.Assert(leaver.h.InProgress(), qt.Equals, 0)
	c.Assert(w.err, qt.IsNil)
}

// Guards against a caller who obeys a "not run" and finds the key in progress, and against a run of the retry before the
// backup knows of the release.
func TestRetryAtOnce(t *testing.T) {
	c := qt.New(t)
	w := newWorld(3, faults{}, seeded(1))
	w.settle(20)
	holder := w.find(w.assigned[0].Holder)
	key, err := holder.h.Mint(0)
	c.Assert(err, qt.IsNil)
	w.begin(holder, key)
	for len(w.packets) > 0 {
		w.deliver(fine)
	}
	w.call(0, 1)
	retry := w.begin(holder, key)
	c.Assert(w.calls, qt.HasLen, 0)
	for len(w.packets) > 0 {
		w.deliver(fine)
	}
	c.Assert(w.calls, qt.HasLen, 1)
	c.Assert(w.calls[0].run.ID, qt.Equals, retry)
}

// Guards against a holder that trusts its table although another daemon may have run keys in an epoch that it missed,
// and against a needless blind reset after a state from a snapshot.
func TestMissedEpoch(t *testing.T) {
	for _, test := range []struct {
		a     Assignment
		ready int
	}{
		{Assignment{Epoch: 9, Base: 7}, 1},
		{Assignment{Epoch: 9, Base: 8}, 0},
		{Assignment{Epoch: 9, Base: -1}, 1},
		{Assignment{Epoch: 9, Base: -1, BlindEpoch: 7}, 1},
		{Assignment{Epoch: 9, Base: -1, BlindEpoch: 8}, 0},
		{Assignment{Epoch: 9, Base: 8, BlindEpoch: 9}, 1},
	} {
		c := qt.New(t)
		h := alone(c, Config{}, Assignment{})
		test.a.Holder = "a"
		h.Handle(start, test.a)
		c.Assert(h.Ready(), qt.Equals, test.ready, qt.Commentf("%+v", test.a))
		got, refused := first[Answer](h.Handle(start, Begin{ID: "1", Key: mintKey(0, 9, h.rng)}))
		c.Assert(refused, qt.Equals, test.ready == 0)
		c.Assert(!refused || got.Err.Code() == codes.KeyRangeMoving, qt.IsTrue)
		h.Handle(start, Peers{Members: []Member{{Incarnation: "a"}}})
		p, proposed := first[Propose](h.Handle(start.Add(goneDelay), Tick{}))
		c.Assert(proposed, qt.Equals, refused)
		c.Assert(!proposed || p == Propose{Base: 9, Holder: "a", Blind: true, Reason: "table is lost"}, qt.IsTrue)
	}
}

// Guards against a faulty peer that fills a table with keys of other ranges or without bound.
func TestForeignEntries(t *testing.T) {
	h := New(Config{Incarnation: "b", Ranges: 2}, rand.New(rand.NewPCG(1, 2)))
	h.Handle(start, Assignment{Range: 0, Epoch: 7, Holder: "a", Backup: "b"})
	for _, key := range []string{"", strings.Repeat("x", MaxKeyLength+1), mintKey(1, 7, h.rng), mintKey(0, 7, h.rng)} {
		_, acked := first[Send](h.Handle(start, Transfer{From: "a", Epoch: 7, Chunks: 1, Entries: []Entry{{Key: key}}}))
		qt.Check(t, acked, qt.Equals, len(key) > 0 && h.RangeOf(key) == 0 && len(key) <= MaxKeyLength)
		qt.Check(t, h.Keys() == 1, qt.Equals, acked)
	}
}

// Guards against a daemon that is cut from the others and resets ranges whose holder and backup work, which costs callers
// their keys for a day.
func TestNoResetWhileCut(t *testing.T) {
	for _, test := range []struct {
		name   string
		lost   string // Lost names the members that "f" does not hear.
		gone   bool   // Gone tells that holder "a" and backup "b" are proven gone.
		within time.Duration
	}{
		{"cut from all", "abcde", false, 0},
		{"in the smaller part", "abcd", false, 0},
		{"in half", "abc", false, 0},
		{"in the larger part", "ab", false, lostDelay},
		{"gone, in the smaller part", "cd", true, goneDelay},
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
				if p, ok := first[Propose](h.Handle(start.Add(age), Tick{})); ok {
					c.Assert(p.Blind, qt.IsTrue)
					at = age
				}
			}
			c.Assert(at >= test.within && at <= test.within+6*rankDelay, qt.IsTrue, qt.Commentf("proposed after %s", at))
		})
	}
}

// Guards against a new key that runs although the backup has only a part of the table: after the loss of the holder the backup
// would not know the keys of the other chunks and would run them again.
func TestBackupNeedsAllChunks(t *testing.T) {
	c := qt.New(t)
	h := alone(c, Config{MaxKeys: 5000}, Assignment{})
	for i := range chunkEntries + 10 {
		r, ok := first[Run](h.Handle(start, Begin{ID: fmt.Sprint(i), Key: fmt.Sprint("k", i)}))
		c.Assert(ok, qt.IsTrue)
		h.Handle(start, Outcome{Attempt: r.Attempt, Result: codes.Ran, Stored: Stored{Status: 201}})
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
		c.Assert(h.Ready(), qt.Equals, 0, qt.Commentf("%d of %d chunks are acknowledged", i, len(chunks)))
		_, ran := first[Run](h.Handle(start, Begin{ID: fmt.Sprint("new", i), Key: fmt.Sprint("new", i)}))
		c.Assert(ran, qt.IsFalse)
		h.Handle(start, TransferAck{From: "b", Range: x.Range, Epoch: 8, Chunk: x.Chunk})
	}
	c.Assert(h.Ready(), qt.Equals, 1)
}
