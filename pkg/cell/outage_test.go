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
	outageStep  = 15 * time.Second // length of a step; outageSteps of them last an hour
)

// unreadTime is the time of a record that no connected daemon has read while the log is down.
var unreadTime = time.Unix(1<<40, 0)

// readableEnd returns the end of the records that a daemon can receive: all of them while the log is up, otherwise
// those that a connected daemon has read. A lease change that no connected daemon has read cannot stop the holder, so
// its record gets the time at which one first reads it.
func (sm *simulation) readableEnd() int {
	end := len(sm.log)
	if sm.logDown {
		end = 0
		for _, d := range sm.daemons {
			if !d.paused {
				end = max(end, d.logPosition)
			}
		}
	}
	for i := range sm.log[:end] {
		if sm.log[i].at.Equal(unreadTime) {
			sm.log[i].at = sm.now
		}
	}
	for i := end; i < len(sm.log); i++ {
		sm.log[i].at = unreadTime
	}
	return end
}

// restoreLog ends the outage with a burst: pending lease changes and claims reach the log in any order.
func (sm *simulation) restoreLog(t *rapid.T) {
	sm.logDown = false
	sm.readableEnd()
	for len(sm.pendingTakeovers)+len(sm.claims) > 0 {
		if n := rapid.IntRange(0, len(sm.pendingTakeovers)+len(sm.claims)-1).Draw(t, "append"); n < len(sm.pendingTakeovers) {
			if d := sm.pendingTakeovers[n]; !d.dead {
				sm.takeOver(d)
			}
			sm.pendingTakeovers = slices.Delete(sm.pendingTakeovers, n, n+1)
		} else {
			n -= len(sm.pendingTakeovers)
			sm.appendClaim(sm.claims[n], 2)
			sm.claims = slices.Delete(sm.claims, n, n+1)
		}
	}
}

// runOutage simulates an hour without the log after a random history. It reports whether the lease holder survived the
// outage with a usable permit for the demanded model, and whether the model was then loaded under it.
func runOutage(t *rapid.T, disabled disabledRules, loseHolder bool) (sm *simulation, held, served bool) {
	sm = runRandomSteps(t, disabled)
	if sm.violation != "" {
		return sm, false, false
	}
	sm.logDown, sm.claims = true, nil
	names := slices.DeleteFunc(slices.Clone(stepNames), func(n string) bool { return n == "fault" })
	// Without the log no claim is refused, so no cell requests a permit from another.
	faults := []string{"host", "takeOver", "pause"}
	for i := 0; i < outageSteps && sm.violation == ""; i++ {
		sm.advance(outageStep)
		if rapid.IntRange(0, 11).Draw(t, "fault") == 0 {
			steps[rapid.SampledFrom(faults).Draw(t, "name")](sm, t)
		}
		if loseHolder && i == outageSteps/2 {
			h, _ := sm.holder()
			if k := slices.Index(sm.daemons, h); k >= 0 {
				sm.crash(k)
			}
		}
		for range 3 {
			steps[rapid.SampledFrom(names).Draw(t, "step")](sm, t)
		}
		sm.claims = sm.claims[max(0, len(sm.claims)-20):]
	}
	h, _ := sm.holder()
	// A permit whose yield was in doubt when the outage started is not usable before the log is back.
	held = slices.Contains(sm.daemons, h) && h.c.usablePermits(h.c.model("a")) > 0
	if sm.violation == "" && held {
		sm.endFaults()
		served = sm.serves("a")
	}
	if sm.violation == "" {
		sm.restoreLog(t)
		for range 30 {
			steps[rapid.SampledFrom(stepNames).Draw(t, "step")](sm, t)
		}
		sm.endFaults()
	}
	return sm, held, served
}

// TestOutageOfAnHour guards against loads under held permits that stop during a log outage of an hour, against replicas
// beyond the permits or orders without a lease in the burst of records after it, and against a cell that does not
// recover.
func TestOutageOfAnHour(t *testing.T) {
	t.Parallel()
	for _, loseHolder := range []bool{false, true} {
		c, heldRuns := qt.New(t), 0
		for seed := range 30 {
			type result struct {
				violation            string
				held, served, serves bool
			}
			r := rapid.Custom(func(t *rapid.T) result {
				sm, held, served := runOutage(t, disabledRules{}, loseHolder)
				return result{sm.violation, held, served, sm.serves("a")}
			}).Example(seed)
			c.Assert(r.violation, qt.Equals, "", qt.Commentf("seed %d, holder lost %v", seed, loseHolder))
			c.Assert(!r.held || r.served, qt.IsTrue, qt.Commentf("seed %d, holder lost %v: no load in the outage", seed, loseHolder))
			c.Assert(r.serves, qt.IsTrue, qt.Commentf("seed %d, holder lost %v: no load after the outage", seed, loseHolder))
			if r.held {
				heldRuns++
			}
		}
		c.Assert(heldRuns > 10, qt.Equals, !loseHolder, qt.Commentf("%d", heldRuns))
	}
}
