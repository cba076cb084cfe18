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

// step draws one event of a system in which anything may be late, doubled, lost, paused or killed.
func (w *world) step() {
	n := w.nodes[w.draw(len(w.nodes))]
	up := n.alive && !n.paused
	switch k := w.draw(40); {
	case k < 14:
		for range 1 + w.draw(4) {
			w.deliver(w.draw(16))
		}
	case k < 18:
		if up {
			w.now = w.now.Add(time.Duration(50+w.draw(600)) * time.Millisecond)
			w.handle(n, Tick{})
		}
	case k < 24:
		if up {
			w.begin(n, w.anyKey(n))
		}
	case k < 27:
		if up && !w.down && w.draw(8) > 0 {
			w.fold(n, 1+w.draw(2))
		} else if up && !w.down {
			w.jump(n)
		}
	case k < 30:
		if len(w.appends) > 0 && !w.down {
			w.append(w.draw(len(w.appends)), w.draw(6) == 0)
		}
	case k < 33:
		if up {
			w.peers(n, true)
		}
	case k < 37:
		if i := w.draw(len(w.calls) + 1); i < len(w.calls) && !w.calls[i].at.paused {
			w.call(i, w.draw(9))
		}
	default:
		w.disturb(n, w.draw(27))
	}
}

func (w *world) anyKey(n *node) string {
	if w.draw(4) > 0 {
		return w.keys[w.draw(len(w.keys))]
	}
	if key, err := n.h.Mint(w.draw(2)); err == nil {
		w.keys[w.draw(len(w.keys))] = key
		return key
	}
	return w.keys[0]
}

func (w *world) disturb(n *node, k int) {
	switch {
	case k < 5:
		n.paused = n.alive && !n.paused
	case k < 8:
		for _, o := range w.nodes {
			o.paused = false
		}
	case k < 10 && n.alive:
		w.kill(n)
	case k < 14 && !n.alive && !n.gone:
		w.restart(n)
	case k < 16:
		w.down = w.draw(4) == 0
	case k < 17 && n.alive && !n.paused:
		n.draining = true
		w.handle(n, Drain{})
	case k < 20:
		w.settle(4 + w.draw(12))
	case k < 22 && n.alive:
		w.stall(n)
	case k == 22: // A rack fails: a range may lose its holder and its backup.
		for _, o := range w.nodes {
			if o.alive && w.draw(3) > 0 {
				w.kill(o)
				w.restart(o)
			}
		}
		w.settle(20)
	case k == 23: // A day passes: old keys are not used again, and no process or message is that old.
		w.heal()
		w.now = w.now.Add(25 * time.Hour)
		w.newKeys()
	case k == 26 && w.draw(3) == 0:
		w.cutPair(w.draw(2))
		w.settle(w.draw(100))
		if w.draw(2) == 0 {
			w.outlast(lostDelay)
		}
	case k >= 24 && k < 26 && !w.reused: // Most of a day passes, and callers still repeat their keys.
		w.heal()
		w.now, w.reused = w.now.Add(23*time.Hour), true
	}
}

// stall pauses a host while others take its ranges over; then callers reach it before it has read the log.
func (w *world) stall(n *node) {
	n.paused = true
	w.settle(w.draw(16))
	key := w.keys[w.draw(len(w.keys))]
	if o := w.nodes[w.draw(len(w.nodes))]; o.alive && !o.paused {
		w.begin(o, key)
		w.settle(w.draw(2))
	}
	n.paused = false
	w.begin(n, key)
}

func simulate(f faults, draw func(n int) int) (*world, error) {
	w := newWorld(3+draw(3), f, draw)
	w.settle(20)
	for i := 0; i < stepsPerRun && w.err == nil; i++ {
		w.step()
	}
	if w.err != nil {
		return w, w.err
	}
	w.heal()
	if !w.runsNew() && w.err == nil {
		return w, errors.New("new keys do not run after all faults ended")
	}
	return w, w.err
}

func seeded(seed uint64) func(n int) int { return rand.New(rand.NewPCG(seed, 7)).IntN }

// Guards against a key that runs twice, an untrue "not run", the answer of another request, and a range that stays
// unusable after the faults end. Rapid shrinks what it finds.
func TestAtMostOnce(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		_, err := simulate(faults{}, func(n int) int { return rapid.IntRange(0, n-1).Draw(rt, "n") })
		if err != nil {
			rt.Fatal(err)
		}
	})
}

// Guards like TestAtMostOnce over many more runs with fixed seeds, and against a world in which hardly anything runs.
func TestAtMostOnceBulk(t *testing.T) {
	t.Parallel()
	total, blind := 0, 0
	for seed := range uint64(bulkRuns) {
		w, err := simulate(faults{}, seeded(seed))
		qt.Assert(t, err, qt.IsNil, qt.Commentf("seed %d", seed))
		total, blind = total+w.total, blind+w.blind
	}
	t.Logf("%d runs, %d calls ran, %d blind resets", bulkRuns, total, blind)
	qt.Assert(t, total > 10*bulkRuns, qt.IsTrue)
	qt.Assert(t, blind > bulkRuns/10, qt.IsTrue)
}

// Guards against checks that pass whatever the rules do: without any one of these rules a run must fail.
func TestMutantsAreCaught(t *testing.T) {
	t.Parallel()
	for name, f := range map[string]faults{
		"backup acknowledgement skipped": {skipBackup: true},
		"epoch check removed":            {anyEpoch: true},
		"blind rule removed":             {ignoreBlind: true},
		"released without proof":         {releaseAlways: true},
		"own clock for the log's":        {ownClock: true},
	} {
		caught := false
		for seed := uint64(0); seed < mutantRuns && !caught; seed++ {
			w, _ := simulate(f, seeded(seed))
			if caught = w.err != nil; caught {
				t.Logf("%s: seed %d: %v", name, seed, w.err)
			}
		}
		qt.Check(t, caught, qt.IsTrue, qt.Commentf("%s", name))
	}
}

// Guards against bookings that need the log: with all hosts up they go on while it is down.
func TestLogOutage(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		draw := func(n int) int { return rapid.IntRange(0, n-1).Draw(rt, "n") }
		w := newWorld(3+draw(3), faults{}, draw)
		w.settle(20)
		w.down = true
		for range 10 {
			w.now = w.now.Add(time.Duration(draw(3600)) * time.Second)
			w.begin(w.nodes[draw(len(w.nodes))], w.keys[draw(len(w.keys))])
			for range draw(4) {
				w.deliver(1 + draw(9))
			}
		}
		w.settle(3)
		if !w.runsNew() || w.err != nil {
			rt.Fatalf("bookings stopped in the outage: %v", w.err)
		}
	})
}
