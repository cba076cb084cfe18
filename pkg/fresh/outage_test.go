package fresh

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

const (
	warmUp   = 100                   // ticks until every daemon is registered
	hour     = int(time.Hour / tick) // ticks of the outage
	recovery = 200
	settling = 40 // ticks after which a change of contact has its effect
	never    = 1 << 30
)

// outage runs five daemons through an hour without log. One of them dies after a quarter of it; another is cut off
// between the half and three quarters. Daemons that lost contact to the majority refuse work until they have it back.
// The rates tell how often a daemon starts a change before the outage and in it.
func outage(seed uint64, before, within int, off guards) (stopped [5]int, doubt bool, err error) {
	w := newWorld(rand.New(rand.NewPCG(seed, 4)).IntN, off, false)
	w.start(3)
	w.start(4)
	w.quiet, w.rate = true, before
	if err := w.run(warmUp); err != nil {
		return stopped, doubt, err
	}
	w.logGroup = -1
	start := w.tick
	for w.tick < start+hour {
		if err := w.run(w.tick + 1); err != nil {
			return stopped, doubt, err
		}
		if w.quarter(w.tick - start); w.tick == start+settling {
			w.rate = within
		}
		for i, d := range w.nodes {
			ok, why := d.t.Current(w.local(d))
			doubt = doubt || why == InDoubt
			if !ok && !d.dead && w.tick > start+settling {
				stopped[i]++
			}
		}
	}
	// The log comes back with everything that waits for it: appends in doubt, new changes and registrations.
	w.logGroup, w.rate = allGroups, 20
	w.start(4)
	return stopped, doubt, w.run(w.tick + recovery)
}

func (w *world) quarter(passed int) {
	switch passed {
	case hour / 4:
		w.nodes[4].dead = true
	case hour / 2:
		w.group[w.nodes[3].host] = 1
	case hour / 4 * 3:
		clear(w.group)
	}
}

// Guards against daemons that stop serving in a log outage of an hour although a majority is in contact, against a daemon
// without contact that goes on, and against work on an old configuration when the log comes back with a burst.
func TestOutageOfAnHour(t *testing.T) {
	t.Parallel()
	for _, test := range []struct {
		name           string
		before, within int
	}{
		{"no change", never, never},
		{"changes before it", 100, never},
		{"changes tried in it", never, 100},
	} {
		for seed := range uint64(2) {
			t.Run(fmt.Sprint(test.name, seed), func(t *testing.T) {
				c := qt.New(t)
				stopped, doubt, err := outage(seed, test.before, test.within, guards{})
				c.Assert(err, qt.IsNil)
				c.Assert(stopped[3] >= hour/4-settling, qt.IsTrue, qt.Commentf("%v", stopped))
				if !doubt || test.before == never {
					c.Assert(stopped[0]+stopped[1]+stopped[2]+stopped[4], qt.Equals, 0, qt.Commentf("%v", stopped))
					c.Assert(stopped[3] <= hour/4+settling, qt.IsTrue, qt.Commentf("%v", stopped))
				}
			})
		}
	}
}

// Guards against an outage check that passes whatever the rule for intents does.
func TestOutageMutant(t *testing.T) {
	stopped, _, err := outage(0, never, 100, guards{noContact: true})
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, stopped[0] > settling, qt.IsTrue, qt.Commentf("%v", stopped))
}
