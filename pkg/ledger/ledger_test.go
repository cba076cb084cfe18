package ledger

import (
	"math/rand/v2"
	"net/netip"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

var (
	start = time.Unix(1000, 0)
	one   = netip.MustParseAddr("192.0.2.1")
	two   = netip.MustParseAddr("192.0.2.2")
)

func open(t *testing.T, l *Ledger, a netip.Addr, at time.Time) *Account {
	x, err := l.Open(a, at)
	qt.Assert(t, err, qt.IsNil)
	return x
}

// fill reserves bytes until there is no room.
func fill(l *Ledger, a *Account) {
	for err := error(nil); err == nil; {
		err = l.Reserve(a, 16<<10)
	}
}

// TestSmallRequestsKeepTheirReserve guards against bodies that take the room of ordinary requests, and against new bodies that take the room of
// those in progress.
func TestSmallRequestsKeepTheirReserve(t *testing.T) {
	limits := NewLimits(1<<20, 100)
	limits.Address = limits.Total
	l := New(limits)
	large, late, small := open(t, l, one, start), open(t, l, one, start), open(t, l, one, start)
	fill(l, large)
	qt.Check(t, l.Used() > limits.Begin && l.Used() <= limits.Total-limits.Reserved, qt.IsTrue)
	qt.Check(t, l.Reserve(late, limits.Small+1), qt.Equals, ErrShort)
	qt.Check(t, l.Reserve(small, limits.Small), qt.IsNil)
	qt.Check(t, l.ReserveResponse(small, limits.Reserved), qt.Equals, ErrShort)
	for _, a := range []*Account{large, late, small} {
		l.Close(a)
		l.Close(a)
	}
	qt.Check(t, l.Used(), qt.Equals, int64(0))
	qt.Check(t, l.addresses, qt.HasLen, 0)
}

// TestOneAddress guards against one client address that occupies the room for bodies of all.
func TestOneAddress(t *testing.T) {
	l := New(NewLimits(2<<20, 100))
	a, b := open(t, l, one, start), open(t, l, two, start)
	fill(l, a)
	qt.Check(t, l.Reserve(a, 16<<10), qt.Equals, ErrAddress)
	l.EndRequest(a)
	qt.Check(t, l.Reserve(a, 1<<20), qt.IsNil)
	qt.Check(t, l.Reserve(b, 200<<10), qt.IsNil)
}

// TestConnectionsFitBudget guards against a number of descriptors that lets connections alone, with what the kernel holds of them, exceed the memory.
func TestConnectionsFitBudget(t *testing.T) {
	l := NewLimits(36<<20, 1725)
	qt.Check(t, int64(l.Connections)*l.Connection <= l.Begin+l.Reserved, qt.IsTrue, qt.Commentf("%d", l.Connections))
	qt.Check(t, l.Connections > 800, qt.IsTrue, qt.Commentf("%d", l.Connections))
	qt.Check(t, NewLimits(36<<20, 100).Connections, qt.Equals, 100)
}

// TestVictim guards against a client that makes progress, or a request in progress, that has to make room for one that has stalled.
func TestVictim(t *testing.T) {
	l := New(NewLimits(16<<20, 100))
	stalled, slow, serving := open(t, l, one, start), open(t, l, two, start), open(t, l, one, start)
	for _, a := range []*Account{stalled, slow} {
		qt.Assert(t, l.Reserve(a, 1<<20), qt.IsNil)
		l.SetPhase(a, Body, start)
	}
	l.Receive(stalled, 1<<20-1, start)
	open(t, l, one, start.Add(2500*time.Millisecond))
	l.SetPhase(serving, Serving, start)
	for i := range 30 {
		l.Receive(slow, 60<<10, start.Add(time.Duration(i)*100*time.Millisecond))
	}
	now := start.Add(3 * time.Second)
	qt.Check(t, l.Victim(nil, two, start), qt.IsNil)
	qt.Check(t, l.Victim(nil, netip.Addr{}, now) == stalled, qt.IsTrue)
	l.Close(stalled)
	qt.Check(t, l.Victim(nil, netip.Addr{}, now), qt.IsNil)
}

// TestExpired guards against connections that stay open beyond the time-outs of the configuration, and against the end of those within them.
func TestExpired(t *testing.T) {
	l := New(NewLimits(16<<20, 100))
	for _, p := range []Phase{Idle, Head, Body, Serving} {
		l.SetPhase(open(t, l, one, start), p, start)
	}
	qt.Check(t, l.Expired(3*time.Second, 15*time.Second, start.Add(3*time.Second)), qt.HasLen, 0)
	qt.Check(t, l.Expired(3*time.Second, 15*time.Second, start.Add(4*time.Second)), qt.HasLen, 1)
	qt.Check(t, l.Expired(3*time.Second, 15*time.Second, start.Add(16*time.Second)), qt.HasLen, 2)
	qt.Check(t, l.Expired(3*time.Second, 15*time.Second, start.Add(time.Hour)), qt.HasLen, 0)
}

// TestAnySequence guards against sums that differ from what the accounts hold, and against limits that a sequence of calls exceeds.
func TestAnySequence(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 2))
	limits := NewLimits(4<<20, 50)
	l := New(limits)
	var list []*Account
	for i := range 20_000 {
		now := start.Add(time.Duration(i) * time.Millisecond)
		if a, err := l.Open([]netip.Addr{one, two}[random.IntN(2)], now); err == nil {
			list = append(list, a)
		}
		at := random.IntN(len(list))
		a := list[at]
		switch random.IntN(7) {
		case 0:
			l.Close(a)
			list = append(list[:at], list[at+1:]...)
		case 1:
			l.EndRequest(a)
		case 2:
			_ = l.ReserveResponse(a, random.Int64N(64<<10))
		case 6:
			l.ReleaseResponse(a, random.Int64N(32<<10))
		case 3:
			if v := l.Victim(nil, netip.Addr{}, now); v != nil {
				l.Close(v)
				list = append([]*Account{}, list...)
				for j, x := range list {
					if x == v {
						list = append(list[:j], list[j+1:]...)
						break
					}
				}
			}
		default:
			_ = l.Reserve(a, random.Int64N(128<<10))
		}
		if len(list) == 0 {
			list = append(list, open(t, l, one, now))
		}
		held := int64(0)
		for _, x := range list {
			held += x.Held() + limits.Connection
		}
		qt.Assert(t, l.Used(), qt.Equals, held)
		qt.Assert(t, l.Used() <= limits.Total && l.Connections() <= limits.Connections, qt.IsTrue)
	}
}
