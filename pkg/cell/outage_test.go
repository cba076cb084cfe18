package cell

import (
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"
)

const (
	outageSteps = 240
	outageStep  = 15 * time.Second // outageSteps steps of this length are an hour.
)

// unread is the time of a record that nobody in contact knows of while the log is down.
var unread = time.Unix(1<<40, 0)

// readable returns the end of the records that a daemon can learn of: all while the log is up, else those that a daemon in
// contact has read. A takeover that nobody in contact has read cannot stop the holder before, so it counts from then on.
func (w *world) readable() int {
	end := len(w.log)
	if w.down {
		end = 0
		for _, d := range w.daemons {
			if !d.paused {
				end = max(end, d.pos)
			}
		}
	}
	for i := range w.log[:end] {
		if w.log[i].at.Equal(unread) {
			w.log[i].at = w.now
		}
	}
	for i := end; i < len(w.log); i++ {
		w.log[i].at = unread
	}
	return end
}

// logBack ends the outage with a burst: takeovers and claims that piled up reach the log in any order.
func (w *world) logBack(t *rapid.T) {
	w.down = false
	w.readable()
	for len(w.bids)+len(w.claims) > 0 {
		if n := rapid.IntRange(0, len(w.bids)+len(w.claims)-1).Draw(t, "append"); n < len(w.bids) {
			if d := w.bids[n]; !d.dead {
				w.takeOver(d)
			}
			w.bids = slices.Delete(w.bids, n, n+1)
		} else {
			n -= len(w.bids)
			w.appendClaim(w.claims[n], 2)
			w.claims = slices.Delete(w.claims, n, n+1)
		}
	}
}

// outage plays an hour without log in a fleet that a random history has left in any state. It reports whether a daemon
// that can hold the lease lived through it, and whether the demanded model was then loaded under held permits.
func outage(t *rapid.T, off disabledRules, lose bool) (w *world, held, served bool) {
	w = run(t, off)
	if w.violation != "" {
		return w, false, false
	}
	w.down, w.claims = true, nil
	names := slices.DeleteFunc(slices.Clone(stepNames), func(n string) bool { return n == "fault" })
	// No cell asks for a permit without a refusal by the log.
	faults := []string{"host", "takeOver", "pause"}
	for i := 0; i < outageSteps && w.violation == ""; i++ {
		w.advance(outageStep)
		if rapid.IntRange(0, 11).Draw(t, "fault") == 0 {
			steps[rapid.SampledFrom(faults).Draw(t, "name")](w, t)
		}
		if lose && i == outageSteps/2 {
			h, _ := w.holder()
			if k := slices.Index(w.daemons, h); k >= 0 {
				w.crash(k)
			}
		}
		for range 3 {
			steps[rapid.SampledFrom(names).Draw(t, "step")](w, t)
		}
		w.claims = w.claims[max(0, len(w.claims)-20):]
	}
	h, _ := w.holder()
	// A permit whose yield was in doubt when the outage began is not usable before the log is back.
	held = slices.Contains(w.daemons, h) && h.c.usablePermits(h.c.model("a")) > 0
	if w.violation == "" && held {
		w.heal()
		served = w.serves("a")
	}
	if w.violation == "" {
		w.logBack(t)
		for range 30 {
			steps[rapid.SampledFrom(stepNames).Draw(t, "step")](w, t)
		}
		w.heal()
	}
	return w, held, served
}

// Guards against loads under held permits that stop in a log outage of an hour, against replicas beyond the permits or
// orders without a lease in the burst of records after it, and against a cell that does not recover.
func TestOutageOfAnHour(t *testing.T) {
	t.Parallel()
	for _, lose := range []bool{false, true} {
		c, heldRuns := qt.New(t), 0
		for seed := range 30 {
			type result struct {
				violation            string
				held, served, serves bool
			}
			r := rapid.Custom(func(t *rapid.T) result {
				w, held, served := outage(t, disabledRules{}, lose)
				return result{w.violation, held, served, w.serves("a")}
			}).Example(seed)
			c.Assert(r.violation, qt.Equals, "", qt.Commentf("seed %d, lose %v", seed, lose))
			c.Assert(!r.held || r.served, qt.IsTrue, qt.Commentf("seed %d, lose %v: no load in the outage", seed, lose))
			c.Assert(r.serves, qt.IsTrue, qt.Commentf("seed %d, lose %v: no load after the outage", seed, lose))
			if r.held {
				heldRuns++
			}
		}
		c.Assert(heldRuns > 10, qt.Equals, !lose, qt.Commentf("%d", heldRuns))
	}
}
