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

func answer(actions []Action) (Answer, bool) {
	for _, a := range actions {
		if m, ok := a.(Answer); ok {
			return m, true
		}
	}
	return Answer{}, false
}

func runOf(actions []Action) (Run, bool) {
	for _, a := range actions {
		if m, ok := a.(Run); ok {
			return m, true
		}
	}
	return Run{}, false
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
		{name: "blind is over", a: blind, key: "k", after: day + blindSlack},
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
				r, ok := runOf(h.Handle(start, Begin{ID: "0", Key: "k"}))
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
			got, answered := answer(actions)
			if test.code == codes.OK {
				_, ran := runOf(actions)
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
	r, _ := runOf(h.Handle(start, Begin{ID: "1", Key: "k1"}))
	h.Handle(start, Begin{ID: "2", Key: "k2"})
	got, _ := answer(h.Handle(start, Begin{ID: "3", Key: "k3"}))
	c.Assert(got.Err.Code(), qt.Equals, codes.OverCapacity)
	c.Assert(got.Err.Outcome(), qt.Equals, codes.NotRun)
	got, _ = answer(h.Handle(start, Outcome{Attempt: r.Attempt, Result: codes.Ran, Stored: Stored{Body: []byte("12345")}}))
	c.Assert(string(got.Stored.Body), qt.Equals, "12345")
	got, _ = answer(h.Handle(start, Begin{ID: "4", Key: "k1"}))
	c.Assert(got.Stored.BodyOmitted && got.Stored.Body == nil, qt.IsTrue)
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
	first := w.find(w.current[0].Holder)
	var keys []string
	for range 3 * chunkEntries {
		key, err := first.h.Mint(0)
		c.Assert(err, qt.IsNil)
		keys = append(keys, key)
		w.begin(first, key)
	}
	w.settle(1)
	open, err := first.h.Mint(0)
	c.Assert(err, qt.IsNil)
	w.begin(first, open)
	for i := 0; len(w.calls) == 0; i++ {
		w.deliver(i, true)
	}
	sent := w.calls[0]
	w.calls = nil
	first.draining = true
	w.handle(first, Drain{})
	w.settle(12)
	c.Assert(first.h.Holds()+first.h.Backs(), qt.Equals, 0)
	c.Assert(first.h.InProgress(), qt.Equals, 1)
	second := w.find(w.current[0].Holder)
	c.Assert(second.h.Ready() > 0, qt.IsTrue)
	status := func(key string) string {
		got, _ := answer(second.h.Handle(w.now, Begin{ID: "x", Key: key, Digest: "d"}))
		return fmt.Sprint(got.Repeated, string(got.Stored.Body) == w.answers[key], got.Err != nil)
	}
	got, _ := answer(second.h.Handle(w.now, Begin{ID: "x", Key: open, Digest: "d"}))
	c.Assert(got.Err.Code(), qt.Equals, codes.KeyInProgress)
	w.handle(first, Outcome{Attempt: sent.run.Attempt, Result: codes.Ran, Stored: w.serve(sent.run)})
	w.settle(2)
	for _, key := range append(keys, open) {
		c.Assert(status(key), qt.Equals, "true true false", qt.Commentf("%s", key))
	}
	c.Assert(first.h.InProgress(), qt.Equals, 0)
	c.Assert(w.err, qt.IsNil)
}

// Guards against a holder that trusts its table although another daemon may have run keys in an epoch that it missed.
func TestMissedEpoch(t *testing.T) {
	c := qt.New(t)
	h := alone(c, Config{}, Assignment{})
	h.Handle(start, Assignment{Epoch: 9, Base: 8, Holder: "a"})
	got, _ := answer(h.Handle(start, Begin{ID: "1", Key: "k"}))
	c.Assert(got.Err.Code(), qt.Equals, codes.KeyRangeMoving)
	h.Handle(start, Peers{Members: []Member{{Incarnation: "a"}}})
	actions := h.Handle(start.Add(goneDelay), Tick{})
	c.Assert(actions[0], qt.Equals, Action(Propose{Base: 9, Holder: "a", Blind: true}))
}
