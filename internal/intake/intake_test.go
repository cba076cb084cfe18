package intake

import (
	"net/netip"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/fireflycleat/fireflycleat/pkg/codes"
	"github.com/fireflycleat/fireflycleat/pkg/ledger"
)

var (
	one = netip.MustParseAddr("192.0.2.1")
	two = netip.MustParseAddr("192.0.2.2")
)

type fixture struct {
	*Gate
	t        *testing.T
	reported []Refusal
}

func newFixture(t *testing.T) *fixture {
	f := &fixture{t: t}
	limits := ledger.NewLimits(1<<20, 16)
	limits.Address = limits.Total
	f.Gate = New(limits, func(r Refusal) { f.reported = append(f.reported, r) }, nil)
	return f
}

// body opens a connection that has sent the given number of bytes of a body. Like a handler, it ends its request when it is interrupted.
func (f *fixture) body(n int64) *Conn {
	var c *Conn
	c, ok := f.Open(one, func() { go c.EndRequest() })
	qt.Assert(f.t, ok, qt.IsTrue)
	qt.Assert(f.t, c.BeginRequest(100, true), qt.IsNil)
	for sent := int64(0); sent < n; sent += 16 << 10 {
		qt.Assert(f.t, c.Reserve(f.t.Context(), 16<<10), qt.IsNil)
		qt.Assert(f.t, c.Receive(make([]byte, 16<<10)), qt.IsNil)
	}
	return c
}

// TestRoomForNewBodies guards against a new body that is refused although others have stalled, one that waits although none has, and against the
// end of requests in progress.
func TestRoomForNewBodies(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t)
		parked, serving := f.body(400<<10), f.body(150<<10)
		qt.Check(t, serving.EndBody(), qt.IsTrue)
		start := time.Now()
		fresh, ok := f.Open(two, func() {})
		qt.Assert(t, ok, qt.IsTrue)
		err := fresh.Reserve(t.Context(), 200<<10)
		qt.Check(t, codes.Is(err, codes.OverMemory), qt.IsTrue, qt.Commentf("%v", err))
		qt.Check(t, codes.From(err).RetryAfter() > 0 && codes.From(err).Outcome() == codes.NotRun, qt.IsTrue)
		qt.Check(t, time.Since(start), qt.Equals, time.Duration(0))
		qt.Check(t, fresh.Reserve(t.Context(), 1000), qt.IsNil, qt.Commentf("small requests have a reserve"))
		time.Sleep(2 * time.Second)
		qt.Check(t, fresh.Reserve(t.Context(), 200<<10), qt.IsNil)
		qt.Check(t, parked.EndBody(), qt.IsFalse)
		qt.Check(t, serving.Interrupted(), qt.IsFalse)
		qt.Check(t, slices.Equal(f.reported, []Refusal{{Memory, two, 0}, {Stalled, one, 400 << 10}}), qt.IsTrue, qt.Commentf("%v", f.reported))
		for _, c := range []*Conn{parked, serving, fresh} {
			c.Close()
		}
		used, conns := f.Used()
		qt.Check(t, used+int64(conns), qt.Equals, int64(0))
	})
}

// TestManyConnections guards against connections that keep others out: those that wait for their client longest make room.
func TestManyConnections(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t)
		var list []*Conn
		for range 16 {
			c, ok := f.Open(one, func() {})
			qt.Assert(t, ok, qt.IsTrue)
			list = append(list, c)
		}
		_, ok := f.Open(two, func() {})
		qt.Check(t, ok, qt.IsFalse)
		list[0].setPhase(ledger.Serving)
		time.Sleep(2 * time.Second)
		_, ok = f.Open(two, func() {})
		qt.Check(t, ok, qt.IsFalse) // One is interrupted, and has not closed yet.
		interrupted := 0
		for _, c := range list {
			if c.Interrupted() {
				interrupted++
				c.Close()
			}
		}
		qt.Check(t, interrupted, qt.Equals, 1)
		qt.Check(t, list[0].Interrupted(), qt.IsFalse)
		_, ok = f.Open(two, func() {})
		qt.Check(t, ok, qt.IsTrue)
	})
}

// TestHeads guards against heads that are kept without a charge or beyond their limit, and against a charge that outlasts the request.
func TestHeads(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t)
		f.SetHeadBytes(8000)
		c, _ := f.Open(one, func() {})
		for range 2 {
			qt.Assert(t, c.Receive([]byte("GET / HTTP/1.1\r\nA: b\r\n")), qt.IsNil)
			qt.Check(t, c.Held() > 2*lineBytes, qt.IsTrue)
			qt.Assert(t, c.BeginRequest(8000, false), qt.IsNil)
			qt.Assert(t, c.Receive(make([]byte, 20_000)), qt.IsNil, qt.Commentf("not a head"))
			c.EndRequest()
			c.SetIdle()
			qt.Check(t, c.Held(), qt.Equals, int64(0))
		}
		qt.Check(t, codes.Is(c.BeginRequest(8001, false), codes.HeadTooLarge), qt.IsTrue)
		c.SetIdle()
		var err error
		read := 0
		for ; err == nil; read += 1000 {
			err = c.Receive(make([]byte, 1000))
		}
		qt.Check(t, codes.Is(err, codes.HeadTooLarge), qt.IsTrue)
		qt.Check(t, read <= 8000+headSlack+1000, qt.IsTrue)
	})
}

// TestUnreadBody guards against a connection that never ends because its handler answers without reading the body, for whose rest net/http waits.
func TestUnreadBody(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t)
		c := f.body(0)
		time.Sleep(16 * time.Second)
		f.Expire(3*time.Second, 15*time.Second)
		qt.Check(t, c.Interrupted(), qt.IsTrue)
	})
}

// TestRefusalNamesWhatWasHeld guards against a report that a stalled connection held nothing, because it released its bytes as soon as it was
// interrupted.
func TestRefusalNamesWhatWasHeld(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t)
		var c *Conn
		c, ok := f.Open(one, func() { c.EndRequest() })
		qt.Assert(t, ok, qt.IsTrue)
		qt.Assert(t, c.BeginRequest(100, true), qt.IsNil)
		qt.Assert(t, c.Reserve(t.Context(), 16<<10), qt.IsNil)
		time.Sleep(16 * time.Second)
		f.Expire(3*time.Second, 15*time.Second)
		qt.Check(t, slices.Equal(f.reported, []Refusal{{Slow, one, 16 << 10}}), qt.IsTrue, qt.Commentf("%v", f.reported))
	})
}
