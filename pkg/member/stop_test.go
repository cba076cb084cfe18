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
	ends            []time.Time // times at which the requests in progress end
	overdue         bool        // whether a request takes longer than the limit
	leases          int
	ranges          int
	uninformedPeers int           // peers that still send calls for leases and ranges that were handed over
	advertisedFor   time.Duration // how long after the start of the stop peers hand out the address
}

func (h *stoppingHost) load() Load {
	return Load{Requests: len(h.ends), Leases: h.leases, Ranges: h.ranges, UninformedPeers: h.uninformedPeers}
}

// call makes a request of a caller and returns a description of the fault, if any. The request must be accepted while the
// caller may hold a valid address answer.
func (h *stoppingHost) call() string {
	allowed := h.startedAt.IsZero() || h.now.Sub(h.startedAt) < h.advertisedFor+h.stop.cfg.AddressLifetime
	switch {
	case !allowed:
		return ""
	case !h.stop.Accepts():
		return fmt.Sprintf("caller refused %v after the start of the stop", h.now.Sub(h.startedAt))
	}
	duration := time.Duration(h.draw(20)) * time.Second
	if h.draw(60) == 0 {
		duration, h.overdue = 2*h.stop.cfg.FinishLimit, true
	}
	h.ends = append(h.ends, h.now.Add(duration))
	return ""
}

// step advances the simulation by 100 ms. In the stage HandingOver it hands over leases and ranges at random times, unless
// stuck is set.
func (h *stoppingHost) step(stuck bool) {
	h.now = h.now.Add(simStep)
	remaining := h.ends[:0]
	for _, at := range h.ends {
		if at.After(h.now) {
			remaining = append(remaining, at)
		}
	}
	h.ends = remaining
	if h.stop.Stage() == HandingOver && !stuck && h.draw(3) == 0 {
		if h.leases+h.ranges == 0 {
			h.uninformedPeers = max(0, h.uninformedPeers-1)
		}
		h.leases, h.ranges = max(0, h.leases-1), max(0, h.ranges-1)
	}
	h.stop.Advance(h.now, h.load())
}

// simulateStop runs a planned stop and returns a description of the first fault, or an empty string.
func simulateStop(draw func(n int) int, disabled disabledStopRules) string {
	cfg := StopConfig{AddressLifetime: 10 * time.Second, FinishLimit: 30 * time.Second, HandOverLimit: 10 * time.Second}
	h := &stoppingHost{draw: draw, stop: NewStop(cfg), now: simStart, leases: draw(3), ranges: draw(4), uninformedPeers: draw(3)}
	h.stop.disabled = disabled
	h.advertisedFor = time.Duration(draw(11)) * simStep
	stuck := draw(6) == 0
	for range draw(30) {
		h.step(stuck)
		h.call()
	}
	h.startedAt = h.now
	h.stop.Begin(h.now)
	for {
		if draw(4) == 0 {
			if fault := h.call(); fault != "" {
				return fault
			}
		}
		h.step(stuck)
		if result, finished := h.stop.Done(); finished {
			return h.checkResult(result, stuck)
		}
		if h.now.Sub(h.startedAt) > time.Minute {
			return "the stop does not end"
		}
	}
}

// checkResult compares the result of the stop with the remaining load and returns a description of the fault, if any.
func (h *stoppingHost) checkResult(result StopResult, stuck bool) string {
	switch {
	case len(h.ends) > 0 && !h.overdue:
		return fmt.Sprintf("%d requests interrupted before their limit", len(h.ends))
	case h.leases+h.ranges > 0 && !stuck:
		return fmt.Sprintf("%d leases and %d ranges left", h.leases, h.ranges)
	case h.uninformedPeers > 0 && !stuck:
		return fmt.Sprintf("%d peers still send calls", h.uninformedPeers)
	case (result.Interrupted > 0) != (len(h.ends) > 0) || (result.NotHandedOver > 0) != (h.leases+h.ranges > 0):
		return fmt.Sprintf("result %+v with %d requests, %d leases and %d ranges left", result, len(h.ends), h.leases, h.ranges)
	}
	return ""
}

// TestPlannedStop guards against a planned stop that refuses a caller who may still use the address, interrupts a request
// before its limit, leaves a lease or a range behind, reports a wrong result or never ends.
func TestPlannedStop(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		draw := func(n int) int { return rapid.IntRange(0, n-1).Draw(rt, "n") }
		if fault := simulateStop(draw, disabledStopRules{}); fault != "" {
			rt.Fatal(fault)
		}
	})
}

// TestPlannedStopMutants guards against a simulation of the planned stop that does not detect a disabled rule.
func TestPlannedStopMutants(t *testing.T) {
	for name, disabled := range map[string]disabledStopRules{
		"":                                      {},
		"drain ends before the address expires": {lifetime: true},
		"drain ends before the peers' heartbeats": {heartbeat: true},
		"drain refuses at once":                   {accept: true},
		"exits with requests in progress":         {finishRequests: true},
		"exits with leases or ranges":             {handOver: true},
		"exits before peers are informed":         {informPeers: true},
		"waits forever":                           {limit: true},
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
