package rates_test

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/fireflycleat/fireflycleat/pkg/codes"
	"github.com/fireflycleat/fireflycleat/pkg/rates"
)

var start = time.Unix(1000, 0)

func newHost(name string, limits map[string]rates.Limit) *rates.Host {
	h := rates.NewHost(name, name+".1", 1)
	h.SetLimits(start, limits)
	return h
}

// readyLender returns a lender without a predecessor that has filled its bucket.
func readyLender(limits map[string]rates.Limit) *rates.Lender {
	l := rates.NewLender()
	l.SetLimits(start, limits)
	l.StopPredecessor(start.Add(-time.Minute), "")
	return l
}

// TestUnconfirmedLender guards against two lenders at once: one that can't tell whether another host has the lease must not lend unless most
// hosts report to it and get its answers.
func TestUnconfirmedLender(t *testing.T) {
	t.Parallel()
	limits := map[string]rates.Limit{"t": tokenLimit(10000)}
	l := readyLender(limits)
	call := func(now time.Time, h *rates.Host, confirmed, lost bool) error {
		r, err := l.Answer(now, h.Begin(now), 5, confirmed)
		if err == nil && !lost {
			h.Apply(now, r)
		}
		return err
	}
	var hosts []*rates.Host
	for _, name := range []string{"a", "b", "c"} {
		hosts = append(hosts, newHost(name, limits))
		qt.Check(t, call(start, hosts[len(hosts)-1], true, false), qt.IsNil)
	}
	next := start.Add(rates.CallInterval)
	qt.Check(t, codes.Is(call(next, hosts[0], false, false), codes.StaleLease), qt.IsTrue)
	qt.Check(t, codes.Is(call(next, hosts[1], false, false), codes.StaleLease), qt.IsTrue)
	qt.Check(t, call(next, hosts[2], false, false), qt.IsNil)
	for range 3 { // Calls go on arriving, but no answer.
		next = next.Add(rates.CallInterval)
		for _, h := range hosts {
			_ = call(next, h, true, true)
		}
	}
	qt.Check(t, codes.Is(call(next, hosts[2], false, true), codes.StaleLease), qt.IsTrue)
	later := next.Add(5 * time.Second)
	qt.Check(t, codes.Is(call(later, hosts[2], false, false), codes.StaleLease), qt.IsTrue)
}

// TestBeginsSoonAfterALostLender guards against a limit that is not lent for seconds after a take-over, although all but the lost host know that
// no answer of the earlier lender has come for longer than it may lend without them.
func TestBeginsSoonAfterALostLender(t *testing.T) {
	t.Parallel()
	limits := map[string]rates.Limit{"t": tokenLimit(10000)}
	for _, x := range []struct {
		silent time.Duration
		begins bool
	}{{5 * time.Second, true}, {3 * time.Second, false}} {
		earlier, next := readyLender(limits), rates.NewLender()
		next.SetLimits(start, limits)
		const count = 5 // of which one is lost
		var reply rates.Reply
		for _, name := range []string{"a", "b", "c", "d"} {
			h := newHost(name, limits)
			r, err := earlier.Answer(start, h.Begin(start), count, true)
			qt.Assert(t, err, qt.IsNil)
			h.Apply(start, r)
			now := start.Add(x.silent)
			h.Admit(now, "t", 1000, time.Second)
			reply, err = next.Answer(now, h.Begin(now), count, true)
			qt.Assert(t, err, qt.IsNil)
		}
		qt.Check(t, !reply.Beginning, qt.Equals, x.begins, qt.Commentf("%v after the last answer", x.silent))
		qt.Check(t, x.begins || reply.ReadyIn > 500*time.Millisecond && reply.ReadyIn < 600*time.Millisecond, qt.IsTrue, qt.Commentf("%v", reply.ReadyIn))
	}
}

// TestCreditExpires guards against a host that goes on with credit which the lender has lent to others by then.
func TestCreditExpires(t *testing.T) {
	t.Parallel()
	limits := map[string]rates.Limit{"t": tokenLimit(10000)}
	l := readyLender(limits)
	draw := func(name string, cost float64) (*rates.Host, rates.Loan) {
		h := newHost(name, limits)
		h.Admit(start, "t", cost, time.Second)
		reply, err := l.Answer(start, h.Begin(start), 2, true)
		qt.Assert(t, err, qt.IsNil)
		h.Apply(start, reply)
		return h, reply.Teams["t"]
	}
	a, loan := draw("a", 6000)
	b, grant := draw("b", 8000) // What is left is too little for a loan.
	qt.Assert(t, loan.Rate > 0 && grant.Rate == 0 && grant.Grant >= 8000, qt.IsTrue, qt.Commentf("%+v %+v", loan, grant))
	_, level, _ := b.Held(start.Add(rates.GrantTime-time.Millisecond), "t")
	qt.Check(t, level, qt.Equals, grant.Grant)
	_, level, _ = b.Held(start.Add(rates.GrantTime), "t")
	qt.Check(t, level, qt.Equals, 0.0)
	rate, _, _ := a.Held(start.Add(rates.LoanTime-time.Millisecond), "t")
	qt.Check(t, rate, qt.Equals, loan.Rate)
	rate, level, _ = a.Held(start.Add(rates.LoanTime), "t")
	qt.Check(t, rate+level, qt.Equals, 0.0)
}

// TestLargeRequest guards against a request that is never admitted because it is larger than the bucket, and against a second one that is
// admitted before the first is paid for.
func TestLargeRequest(t *testing.T) {
	t.Parallel()
	limits := map[string]rates.Limit{"t": {PerSecond: 100, Burst: 100, Window: 8 * time.Second}}
	l, h := readyLender(limits), newHost("a", limits)
	admit := func(now time.Time) bool {
		d, id := h.Admit(now, "t", 150, time.Second)
		reply, err := l.Answer(now, h.Begin(now), 1, true)
		qt.Assert(t, err, qt.IsNil)
		h.Apply(now, reply)
		if decided, ok := h.TakeDecided(now)[id]; ok {
			d = decided
		}
		h.Cancel("t", id)
		return d.Result == rates.Admitted
	}
	qt.Check(t, admit(start.Add(2*time.Second)), qt.IsTrue)
	qt.Check(t, admit(start.Add(3*time.Second)), qt.IsFalse)
	admitted := false
	for i := range 60 {
		admitted = admitted || admit(start.Add(4*time.Second+time.Duration(i)*200*time.Millisecond))
	}
	qt.Check(t, admitted, qt.IsTrue)
}

// TestWaitsForNewLender guards against requests that are refused although the next lender comes in time, against those that wait for one that
// does not come, and against callers that are told to return before it is expected.
func TestWaitsForNewLender(t *testing.T) {
	t.Parallel()
	h := newHost("a", map[string]rates.Limit{"t": tokenLimit(10000)})
	lost := h.Begin(start).Seq
	d, id := h.Admit(start.Add(10*time.Millisecond), "t", 1000, 300*time.Millisecond)
	qt.Assert(t, d.Result, qt.Equals, rates.Waiting)
	early := h.TakeDecided(start.Add(400 * time.Millisecond))
	qt.Check(t, early, qt.HasLen, 1)
	qt.Check(t, early[id].RetryAfter >= 3*time.Second, qt.IsTrue, qt.Commentf("%v", early[id].RetryAfter))
	h.Failed(start, lost)
	d, id = h.Admit(start.Add(time.Second), "t", 1000, 2*time.Second)
	qt.Assert(t, d.Result, qt.Equals, rates.Waiting)
	qt.Check(t, h.TakeDecided(start.Add(2*time.Second)), qt.HasLen, 0)
	refused := h.TakeDecided(start.Add(3 * time.Second))[id]
	qt.Check(t, refused.Result, qt.Equals, rates.Refused)
	qt.Check(t, refused.RetryAfter >= time.Second, qt.IsTrue, qt.Commentf("%v", refused.RetryAfter))
	d, _ = h.Admit(start.Add(5*time.Second), "t", 1000, 2*time.Second)
	qt.Check(t, d.Result, qt.Equals, rates.Refused)
	qt.Check(t, d.Reason, qt.Equals, rates.NoLender)
}

// TestHostThatIsGoneKeepsLittleBack guards against a limit of which only a fifth is used for 15 s after a change of the lender, because one host
// does not report any more and its loans are not known.
func TestHostThatIsGoneKeepsLittleBack(t *testing.T) {
	t.Parallel()
	limits := map[string]rates.Limit{"t": tokenLimit(200_000)}
	const count = 40 // of which one is gone
	l := rates.NewLender()
	l.SetLimits(start, limits)
	hosts := make([]*rates.Host, count-1)
	for i := range hosts {
		hosts[i] = newHost(fmt.Sprint("h", i), limits)
	}
	admitted := 0.0
	for at := time.Duration(0); at < 10*time.Second; at += 50 * time.Millisecond {
		now := start.Add(at)
		for _, h := range hosts {
			// Together the hosts want four fifths of the limit.
			if d, _ := h.Admit(now, "t", 200, 0); d.Result == rates.Admitted && at >= 4*time.Second {
				admitted += 200
			}
			if due, ok := h.NextCall(now); ok && !now.Before(due) {
				c := h.Begin(now)
				r, err := l.Answer(now, c, count, true)
				if err != nil {
					h.Failed(now, c.Seq)
					continue
				}
				h.Apply(now, r)
			}
		}
	}
	share := admitted / (6 * 200_000)
	qt.Assert(t, share > 0.7, qt.IsTrue, qt.Commentf("%.2f of the limit is used, 0.78 is wanted", share))
}

// TestHandOver guards against a change of the lender in which hosts get no credit for seconds, or credit that the earlier lender has lent, although
// that one can pass on what it lent.
func TestHandOver(t *testing.T) {
	t.Parallel()
	limits := map[string]rates.Limit{"t": {PerSecond: 100, Burst: 100, Window: 8 * time.Second}}
	earlier, a, b := readyLender(limits), newHost("a", limits), newHost("b", limits)
	draw := func(l *rates.Lender, now time.Time, h *rates.Host, cost float64) bool {
		d, id := h.Admit(now, "t", cost, time.Second)
		reply, err := l.Answer(now, h.Begin(now), 2, true)
		qt.Assert(t, err, qt.IsNil)
		h.Apply(now, reply)
		if decided, ok := h.TakeDecided(now)[id]; ok {
			d = decided
		}
		h.Cancel("t", id)
		return d.Result == rates.Admitted
	}
	qt.Assert(t, draw(earlier, start, a, 60), qt.IsTrue)
	qt.Assert(t, draw(earlier, start, b, 30), qt.IsTrue)
	state, ok := earlier.Export(start, 2, true)
	qt.Assert(t, ok, qt.IsTrue)
	next := rates.NewLender()
	next.SetLimits(start, limits)
	qt.Assert(t, next.Import(start, state), qt.IsTrue)
	qt.Check(t, draw(next, start, a, 40), qt.IsFalse, qt.Commentf("ten are left of the burst"))
	qt.Check(t, draw(next, start.Add(time.Second), b, 40), qt.IsTrue)
	_, ok = next.Export(start.Add(10*time.Second), 2, false)
	qt.Check(t, ok, qt.IsFalse, qt.Commentf("others may have lent since its lease ended"))
	qt.Check(t, next.Import(start, state), qt.IsFalse, qt.Commentf("it lends already"))
}
