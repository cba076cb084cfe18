package member

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"
)

// leaver is a host that stops as planned, with callers who keep its address and peers who give it away.
type leaver struct {
	draw    func(n int) int
	stop    *Stop
	now     time.Time
	begun   time.Time
	ends    []time.Time // ends are the times at which the requests in progress end.
	overdue bool        // overdue tells that a request or a hand-over takes longer than its limit.
	leases  int
	ranges  int
	behind  int           // behind counts the peers that still send calls for what was handed over.
	given   time.Duration // given is how long after the begin a peer still gives the address away.
}

func (l *leaver) load() Load {
	return Load{Requests: len(l.ends), Leases: l.leases, Ranges: l.ranges, Behind: l.behind}
}

// call is a request from a caller. It has to be accepted while the caller may hold an address that was given away.
func (l *leaver) call() string {
	allowed := l.begun.IsZero() || l.now.Sub(l.begun) < l.given+l.stop.cfg.AddressLifetime
	switch {
	case !allowed:
		return ""
	case !l.stop.Accepts():
		return fmt.Sprintf("caller refused %v after the begin", l.now.Sub(l.begun))
	}
	last := time.Duration(l.draw(20)) * time.Second
	if l.draw(60) == 0 {
		last, l.overdue = 2*l.stop.cfg.FinishLimit, true
	}
	l.ends = append(l.ends, l.now.Add(last))
	return ""
}

// step is 100 ms. Leases and ranges are handed over at random once that is the stage.
func (l *leaver) step(stuck bool) {
	l.now = l.now.Add(simStep)
	kept := l.ends[:0]
	for _, at := range l.ends {
		if at.After(l.now) {
			kept = append(kept, at)
		}
	}
	l.ends = kept
	if l.stop.Stage() == HandingOver && !stuck && l.draw(3) == 0 {
		if l.leases+l.ranges == 0 {
			l.behind = max(0, l.behind-1)
		}
		l.leases, l.ranges = max(0, l.leases-1), max(0, l.ranges-1)
	}
	l.stop.Advance(l.now, l.load())
}

// plannedStop plays a stop and returns what is wrong with it.
func plannedStop(draw func(n int) int, off stopFaults) string {
	cfg := StopConfig{AddressLifetime: 10 * time.Second, FinishLimit: 30 * time.Second, HandOverLimit: 10 * time.Second}
	l := &leaver{draw: draw, stop: NewStop(cfg), now: simStart, leases: draw(3), ranges: draw(4), behind: draw(3)}
	l.stop.off = off
	l.given = time.Duration(draw(11)) * simStep
	stuck := draw(6) == 0
	for range draw(30) {
		l.step(stuck)
		l.call()
	}
	l.begun = l.now
	l.stop.Begin(l.now)
	for {
		if draw(4) == 0 {
			if fault := l.call(); fault != "" {
				return fault
			}
		}
		l.step(stuck)
		if done, ended := l.stop.Done(); ended {
			return l.judge(done, stuck)
		}
		if l.now.Sub(l.begun) > time.Minute {
			return "the stop does not end"
		}
	}
}

// judge compares the result of the stop with what the host still had.
func (l *leaver) judge(done Done, stuck bool) string {
	switch {
	case len(l.ends) > 0 && !l.overdue:
		return fmt.Sprintf("%d requests interrupted before their limit", len(l.ends))
	case l.leases+l.ranges > 0 && !stuck:
		return fmt.Sprintf("%d leases and %d ranges left", l.leases, l.ranges)
	case l.behind > 0 && !stuck:
		return fmt.Sprintf("%d peers still send calls", l.behind)
	case (done.Interrupted > 0) != (len(l.ends) > 0) || (done.Kept > 0) != (l.leases+l.ranges > 0):
		return fmt.Sprintf("result %+v with %d requests, %d leases and %d ranges left", done, len(l.ends), l.leases, l.ranges)
	}
	return ""
}

// Guards against a planned stop that refuses a caller who may still have the address, cuts off a request, leaves a lease or
// a range behind, reports a wrong result or never ends.
func TestPlannedStop(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		draw := func(n int) int { return rapid.IntRange(0, n-1).Draw(rt, "n") }
		if fault := plannedStop(draw, stopFaults{}); fault != "" {
			rt.Fatal(fault)
		}
	})
}

// Guards against a check of the planned stop that passes whatever the rules do.
func TestPlannedStopMutants(t *testing.T) {
	for name, off := range map[string]stopFaults{
		"":                                   {},
		"drain ends before the address":      {noLifetime: true},
		"drain ends before peers have heard": {noBeat: true},
		"drain refuses at once":              {noAccept: true},
		"exits with streams":                 {cutRequests: true},
		"exits with leases or ranges":        {keepLoad: true},
		"exits before peers know":            {noBehind: true},
		"waits for ever":                     {noLimit: true},
		"interruptions not counted":          {noCount: true},
	} {
		fault := ""
		for seed := uint64(0); seed < 300 && fault == ""; seed++ {
			fault = plannedStop(rand.New(rand.NewPCG(seed, 6)).IntN, off)
		}
		t.Logf("%q: %s", name, fault)
		qt.Check(t, fault != "", qt.Equals, off != stopFaults{}, qt.Commentf("%q", name))
	}
}
