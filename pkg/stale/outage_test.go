package stale

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

const (
	warmUp       = 100                   // ticks until every daemon is registered
	outageTicks  = int(time.Hour / tick) // an hour
	recovery     = 200                   // ticks after the outage
	contactDelay = 40                    // ticks until lost or restored links have an effect
	noChanges    = 1 << 30               // mean interval between changes that no run reaches
)

// simulateOutage runs five daemons through a log outage of an hour. One daemon dies after a quarter of it, and another is
// disconnected in the third quarter and refuses work until it reaches the majority again. The parameters before and during
// are the mean number of ticks between the changes of a daemon. It returns for how many ticks each daemon refused work and
// whether a daemon was in doubt about a change.
func simulateOutage(seed uint64, before, during int, disabled disabledChecks) (refused [5]int, inDoubt bool, err error) {
	s := newSimulation(rand.New(rand.NewPCG(seed, 4)).IntN, disabled, false)
	s.start(3)
	s.start(4)
	s.noFaults, s.changeInterval = true, before
	if err := s.run(warmUp); err != nil {
		return refused, inDoubt, err
	}
	s.logGroup = -1
	start := s.tick
	for s.tick < start+outageTicks {
		if err := s.run(s.tick + 1); err != nil {
			return refused, inDoubt, err
		}
		if s.applyOutageFault(s.tick - start); s.tick == start+contactDelay {
			s.changeInterval = during
		}
		for i, d := range s.nodes {
			ok, reason := d.tracker.Current(s.localTime(d))
			inDoubt = inDoubt || reason == InDoubt
			if !ok && !d.dead && s.tick > start+contactDelay {
				refused[i]++
			}
		}
	}
	// When the log can be reached again, it receives everything that is waiting: appends in doubt, new changes and registrations.
	s.logGroup, s.changeInterval = allGroups, 20
	s.start(4)
	return refused, inDoubt, s.run(s.tick + recovery)
}

func (s *simulation) applyOutageFault(elapsed int) {
	switch elapsed {
	case outageTicks / 4:
		s.nodes[4].dead = true
	case outageTicks / 2:
		s.group[s.nodes[3].host] = 1
	case outageTicks / 4 * 3:
		clear(s.group)
	}
}

// TestOutageOfAnHour guards against daemons that stop serving during a log outage of an hour although they reach a majority,
// against a disconnected daemon that continues to serve, and against work on an old configuration when the log can be reached again
// and receives a burst of records.
func TestOutageOfAnHour(t *testing.T) {
	t.Parallel()
	for _, test := range []struct {
		name           string
		before, during int
	}{
		{"no change", noChanges, noChanges},
		{"changes before the outage", 100, noChanges},
		{"changes attempted during the outage", noChanges, 100},
	} {
		for seed := range uint64(2) {
			t.Run(fmt.Sprint(test.name, seed), func(t *testing.T) {
				c := qt.New(t)
				refused, inDoubt, err := simulateOutage(seed, test.before, test.during, disabledChecks{})
				c.Assert(err, qt.IsNil)
				c.Assert(refused[3] >= outageTicks/4-contactDelay, qt.IsTrue, qt.Commentf("%v", refused))
				if !inDoubt || test.before == noChanges {
					c.Assert(refused[0]+refused[1]+refused[2]+refused[4], qt.Equals, 0, qt.Commentf("%v", refused))
					c.Assert(refused[3] <= outageTicks/4+contactDelay, qt.IsTrue, qt.Commentf("%v", refused))
				}
			})
		}
	}
}

// TestOutageMutant guards against an outage test that still passes when prepared changes open without access to the log.
func TestOutageMutant(t *testing.T) {
	refused, _, err := simulateOutage(0, noChanges, 100, disabledChecks{contact: true})
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, refused[0] > contactDelay, qt.IsTrue, qt.Commentf("%v", refused))
}
