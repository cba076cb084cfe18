package member

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"
)

// stoppingHost simulates a planned stop of a host, with callers that keep its address and peers that hand it out.
type stoppingHost struct {
	draw            func(n int) int
	stop            *Stop
	now             time.Time
	startedAt       time.Time
	ends            []time.Time // ends holds the times at which the requests in progress end.
	overdue         bool        // overdue is set when a request takes longer than the limit.
	leases          int
	ranges          int
	uninformedPeers int           // uninformedPeers counts the peers that still send calls for what was handed over.
	advertisedFor   time.Duration // advertisedFor is how long after the start of the stop peers hand out the address.
}

func (l *stoppingHost) load() Load {
	return Load{Requests: len(l.ends), Leases: l.leases, Ranges: l.ranges, UninformedPeers: l.uninformedPeers}
}

// call makes a request of a caller. It must be accepted while the caller may hold a valid address answer.
func (l *stoppingHost) call() string {
	allowed := l.startedAt.IsZero() || l.now.Sub(l.startedAt) < l.advertisedFor+l.stop.cfg.AddressLifetime
	switch {
	case !allowed:
		return ""
	case !l.stop.Accepts():
		return fmt.Sprintf("caller refused %v after the start of the stop", l.now.Sub(l.startedAt))
	}
	duration := time.Duration(l.draw(20)) * time.Second
	if l.draw(60) == 0 {
		duration, l.overdue = 2*l.stop.cfg.FinishLimit, true
	}
	l.ends = append(l.ends, l.now.Add(duration))
	return ""
}

// step advances the simulation by 100 ms. In the stage HandingOver it hands over leases and ranges at random times, unless
// stuck is set.
func (l *stoppingHost) step(stuck bool) {
	l.now = l.now.Add(simStep)
	remaining := l.ends[:0]
	for _, at := range l.ends {
		if at.After(l.now) {
			remaining = append(remaining, at)
		}
	}
	l.ends = remaining
	if l.stop.Stage() == HandingOver && !stuck && l.draw(3) == 0 {
		if l.leases+l.ranges == 0 {
			l.uninformedPeers = max(0, l.uninformedPeers-1)
		}
		l.leases, l.ranges = max(0, l.leases-1), max(0, l.ranges-1)
	}
	l.stop.Advance(l.now, l.load())
}

// simulateStop runs a planned stop and returns a description of the first fault, or an empty string.
func simulateStop(draw func(n int) int, disabled disabledStopRules) string {
	cfg := StopConfig{AddressLifetime: 10 * time.Second, FinishLimit: 30 * time.Second, HandOverLimit: 10 * time.Second}
	l := &stoppingHost{draw: draw, stop: NewStop(cfg), now: simStart, leases: draw(3), ranges: draw(4), uninformedPeers: draw(3)}
	l.stop.disabled = disabled
	l.advertisedFor = time.Duration(draw(11)) * simStep
	stuck := draw(6) == 0
	for range draw(30) {
		l.step(stuck)
		l.call()
	}
	l.startedAt = l.now
	l.stop.Begin(l.now)
	for {
		if draw(4) == 0 {
			if fault := l.call(); fault != "" {
				return fault
			}
		}
		l.step(stuck)
		if done, finished := l.stop.Done(); finished {
			return l.checkResult(done, stuck)
		}
		if l.now.Sub(l.startedAt) > time.Minute {
			return "the stop does not end"
		}
	}
}

// checkResult compares the result of the stop with the remaining load and returns a description of the fault, if any.
func (l *stoppingHost) checkResult(done StopResult, stuck bool) string {
	switch {
	case len(l.ends) > 0 && !l.overdue:
		return fmt.Sprintf("%d requests interrupted before their limit", len(l.ends))
	case l.leases+l.ranges > 0 && !stuck:
		return fmt.Sprintf("%d leases and %d ranges left", l.leases, l.ranges)
	case l.uninformedPeers > 0 && !stuck:
		return fmt.Sprintf("%d peers still send calls", l.uninformedPeers)
	case (done.Interrupted > 0) != (len(l.ends) > 0) || (done.NotHandedOver > 0) != (l.leases+l.ranges > 0):
		return fmt.Sprintf("result %+v with %d requests, %d leases and %d ranges left", done, len(l.ends), l.leases, l.ranges)
	}
	return ""
}

// Guards against a planned stop that refuses a caller who may still use the address, interrupts a request before its limit,
// leaves a lease or a range behind, reports a wrong result or never ends.
func TestPlannedStop(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		draw := func(n int) int { return rapid.IntRange(0, n-1).Draw(rt, "n") }
		if fault := simulateStop(draw, disabledStopRules{}); fault != "" {
			rt.Fatal(fault)
		}
	})
}

// Guards against a test of the planned stop that still passes when a rule is disabled.
func TestPlannedStopMutants(t *testing.T) {
	for name, disabled := range map[string]disabledStopRules{
		"":                                      {},
		"drain ends before the address expires": {lifetime: true},
		"drain ends before the peers' heartbeats": {heartbeat: true},
		"drain refuses at once":                   {accept: true},
		"exits with streams":                      {finishRequests: true},
		"exits with leases or ranges":             {handOver: true},
		"exits before peers are informed":         {informPeers: true},
		"waits for ever":                          {limit: true},
		"interruptions not counted":               {count: true},
	} {
		fault := ""
		for seed := uint64(0); seed < 300 && fault == ""; seed++ {
			fault = simulateStop(rand.New(rand.NewPCG(seed, 6)).IntN, disabled)
		}
		t.Logf("%q: %s", name, fault)
		qt.Check(t, fault != "", qt.Equals, disabled != disabledStopRules{}, qt.Commentf("%q", name))
	}
}
