package idemp

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"
)

const (
	stepsPerRun = 220
	bulkRuns    = 3000
	mutantRuns  = 1000
)

// step draws one event. Messages, calls and records may be delayed, duplicated or lost, and hosts paused or killed.
func (s *simulation) step() {
	n := s.nodes[s.draw(len(s.nodes))]
	up := n.alive && !n.paused
	switch k := s.draw(40); {
	case k < 14:
		for range 1 + s.draw(4) {
			s.deliver(s.draw(16))
		}
	case k < 18:
		if up {
			s.now = s.now.Add(time.Duration(50+s.draw(600)) * time.Millisecond)
			s.handle(n, Tick{})
		}
	case k < 24:
		if up {
			s.begin(n, s.drawKey(n))
		}
	case k < 27:
		if up && !s.logDown && s.draw(8) > 0 {
			s.applyRecords(n, 1+s.draw(2))
		} else if up && !s.logDown {
			s.loadSnapshot(n)
		}
	case k < 30:
		if len(s.proposals) > 0 && !s.logDown {
			s.appendRecord(s.draw(len(s.proposals)), s.draw(6) == 0)
		}
	case k < 33:
		if up {
			s.sendPeers(n, true)
		}
	case k < 37:
		if i := s.draw(len(s.calls) + 1); i < len(s.calls) && !s.calls[i].at.paused {
			s.finishCall(i, s.draw(9))
		}
	default:
		s.injectFault(n, s.draw(27))
	}
}

func (s *simulation) drawKey(n *node) string {
	if s.draw(4) > 0 {
		return s.keys[s.draw(len(s.keys))]
	}
	if key, err := n.h.Mint(s.draw(2)); err == nil {
		s.keys[s.draw(len(s.keys))] = key
		return key
	}
	return s.keys[0]
}

func (s *simulation) injectFault(n *node, k int) {
	switch {
	case k < 5:
		n.paused = n.alive && !n.paused
	case k < 8:
		for _, o := range s.nodes {
			o.paused = false
		}
	case k < 10 && n.alive:
		s.kill(n)
	case k < 14 && !n.alive && !n.gone:
		s.restart(n)
	case k < 16:
		s.logDown = s.draw(4) == 0
	case k < 17 && n.alive && !n.paused:
		n.draining = true
		s.handle(n, Drain{})
	case k < 20:
		s.runRounds(4 + s.draw(12))
	case k < 22 && n.alive:
		s.pauseDuringTakeOver(n)
	case k == 22: // Several hosts fail together: a range may lose its holder and its backup.
		for _, o := range s.nodes {
			if o.alive && s.draw(3) > 0 {
				s.kill(o)
				s.restart(o)
			}
		}
		s.runRounds(20)
	case k == 23: // More than the key lifetime passes: old keys are not reused, and no process or message is that old.
		s.endFaults()
		s.now = s.now.Add(25 * time.Hour)
		s.newKeys()
	case k == 26 && s.draw(3) == 0:
		s.partitionPair(s.draw(2))
		s.runRounds(s.draw(100))
		if s.draw(2) == 0 {
			s.advance(suspectedLossDelay)
		}
	case k >= 24 && k < 26 && !s.lifetimeNearlyOver: // Most of the key lifetime passes, and callers still reuse their keys.
		s.endFaults()
		s.now, s.lifetimeNearlyOver = s.now.Add(23*time.Hour), true
	}
}

// pauseDuringTakeOver pauses a host while others take over its ranges; then a caller reaches it before it has read the log.
func (s *simulation) pauseDuringTakeOver(n *node) {
	n.paused = true
	s.runRounds(s.draw(16))
	key := s.keys[s.draw(len(s.keys))]
	if o := s.nodes[s.draw(len(s.nodes))]; o.alive && !o.paused {
		s.begin(o, key)
		s.runRounds(s.draw(2))
	}
	n.paused = false
	s.begin(n, key)
}

func simulate(f faults, draw func(n int) int) (*simulation, error) {
	s := newSimulation(3+draw(3), f, draw)
	s.runRounds(20)
	for i := 0; i < stepsPerRun && s.err == nil; i++ {
		s.step()
	}
	if s.err != nil {
		return s, s.err
	}
	s.endFaults()
	if !s.newKeysRun() && s.err == nil {
		return s, errors.New("new keys do not run after all faults ended")
	}
	return s, s.err
}

func seeded(seed uint64) func(n int) int { return rand.New(rand.NewPCG(seed, 7)).IntN }

// TestAtMostOnce guards against a key that runs twice, a wrong "not run", the answer of another request, and a range that stays
// unusable after all faults have ended. Rapid shrinks failing runs.
func TestAtMostOnce(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		_, err := simulate(faults{}, func(n int) int { return rapid.IntRange(0, n-1).Draw(rt, "n") })
		if err != nil {
			rt.Fatal(err)
		}
	})
}

// TestAtMostOnceBulk guards against the failures of TestAtMostOnce in many more runs with fixed seeds, and against simulations in
// which hardly any call runs or reset occurs.
func TestAtMostOnceBulk(t *testing.T) {
	t.Parallel()
	runs, resets := 0, 0
	for seed := range uint64(bulkRuns) {
		s, err := simulate(faults{}, seeded(seed))
		qt.Assert(t, err, qt.IsNil, qt.Commentf("seed %d", seed))
		runs, resets = runs+s.runCount, resets+s.resets
	}
	t.Logf("%d simulations, %d calls ran, %d resets", bulkRuns, runs, resets)
	qt.Assert(t, runs > 10*bulkRuns, qt.IsTrue)
	qt.Assert(t, resets > bulkRuns/10, qt.IsTrue)
}

// TestMutantsAreCaught guards against checks that cannot fail: with any one of these rules disabled, the checks must report a
// violation.
func TestMutantsAreCaught(t *testing.T) {
	t.Parallel()
	for name, f := range map[string]faults{
		"backup acknowledgement skipped":   {skipBackup: true},
		"epoch check removed":              {acceptAnyEpoch: true},
		"refusal after a reset removed":    {ignoreStateLoss: true},
		"released without proof":           {releaseWithoutProof: true},
		"local clock instead of the log's": {useLocalClock: true},
	} {
		caught := false
		for seed := uint64(0); seed < mutantRuns && !caught; seed++ {
			s, _ := simulate(f, seeded(seed))
			if caught = s.err != nil; caught {
				t.Logf("%s: seed %d: %v", name, seed, s.err)
			}
		}
		qt.Check(t, caught, qt.IsTrue, qt.Commentf("%s", name))
	}
}

// TestLogOutage guards against calls that depend on the log: while all hosts are up, calls must continue to run when the log is
// down.
func TestLogOutage(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		draw := func(n int) int { return rapid.IntRange(0, n-1).Draw(rt, "n") }
		s := newSimulation(3+draw(3), faults{}, draw)
		s.runRounds(20)
		s.logDown = true
		for range 10 {
			s.now = s.now.Add(time.Duration(draw(3600)) * time.Second)
			s.begin(s.nodes[draw(len(s.nodes))], s.keys[draw(len(s.keys))])
			for range draw(4) {
				s.deliver(1 + draw(9))
			}
		}
		s.runRounds(3)
		if !s.newKeysRun() || s.err != nil {
			rt.Fatalf("new keys do not run during the log outage: %v", s.err)
		}
	})
}
