package member

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"
)

const (
	simHosts  = 6
	simStep   = 100 * time.Millisecond
	simBound  = 3 * time.Second
	simTarget = "engine1"
)

var simStart = time.Unix(1_700_000_000, 0)

type (
	// mesh is six daemons with a network that loses up to two of three heartbeats of a link and has dead links.
	mesh struct {
		draw   func(n int) int
		now    time.Time
		ahead  [simHosts]time.Duration // ahead is what the clock of each host is ahead by.
		drift  [simHosts]float64       // drift is what the clock of each host gains in a unit of time.
		lists  []*List
		cut    [simHosts][simHosts]bool
		missed [simHosts][simHosts]int // missed counts the last heartbeats of the link that were lost.
		flying []flight
	}

	flight struct {
		to int
		at time.Time
		h  Heartbeat
	}
)

func identity(i int) Identity {
	name := fmt.Sprintf("h%d", i)
	return Identity{
		Incarnation: name + ".1", Host: name, Address: name, CallerURL: "http://" + name, DataCentre: fmt.Sprintf("dc%d", i%3),
	}
}

// local returns what the clock of host i shows; the platform's clock shows m.now.
func (m *mesh) local(i int) time.Time {
	return m.now.Add(m.ahead[i] + time.Duration(m.drift[i]*float64(m.now.Sub(simStart))))
}

func newMesh(f faults, draw func(n int) int) *mesh {
	m := &mesh{draw: draw, now: simStart}
	for i := range simHosts {
		m.ahead[i], m.drift[i] = time.Duration(draw(13)-6)*time.Hour, float64(draw(3)-1)/1000
		l := New(identity(i), 10*time.Second)
		l.faults = f
		for k := range simHosts {
			l.Handle(m.local(i), Up{Identity: identity(k), Offset: int64(k + 1)})
		}
		l.nextBeat = m.local(i).Add(time.Duration(draw(10)) * simStep)
		m.lists = append(m.lists, l)
	}
	for i := range simHosts {
		m.list(i, m.now.Add(-time.Hour), Live)
	}
	// The last host keeps all its links, so that every pair has a path of two links.
	for range 1 + draw(8) {
		a, b := draw(simHosts-1), draw(simHosts-1)
		m.cut[a][b], m.cut[b][a] = true, true
	}
	return m
}

func (m *mesh) handle(i int, e Event) {
	for _, a := range m.lists[i].Handle(m.local(i), e) {
		b, ok := a.(Beat)
		if !ok {
			continue
		}
		for k := range simHosts {
			if k == i || m.cut[i][k] {
				continue
			}
			if m.missed[i][k]++; m.missed[i][k] > 2 || m.draw(2) == 0 {
				m.missed[i][k] = 0
				m.flying = append(m.flying, flight{k, m.now.Add(time.Duration(m.draw(4)) * simStep), b.Heartbeat})
			}
		}
	}
}

func (m *mesh) step() {
	m.now = m.now.Add(simStep)
	due := m.flying
	m.flying = nil
	for _, f := range due {
		if f.at.After(m.now) {
			m.flying = append(m.flying, f)
			continue
		}
		m.handle(f.to, f.h)
	}
	for i := range simHosts {
		m.handle(i, Tick{})
	}
}

func (m *mesh) list(i int, asOf time.Time, s HostState) {
	m.handle(i, HostList{AsOf: asOf, AskedAt: m.local(i), Earliest: m.now, Latest: m.now, Hosts: []ListedHost{{Name: simTarget, Upstream: true, State: s}}})
}

func (m *mesh) leaving() int {
	n := 0
	for _, l := range m.lists {
		if l.Leaving(simTarget) {
			n++
		}
	}
	return n
}

// leave lets hosts find evidence while stale lists say live, and then lets newer lists say live.
func (m *mesh) leave() error {
	for range m.draw(20) {
		m.step()
	}
	first, last := m.now, m.now
	m.handle(m.draw(simHosts), UpstreamRefused{Upstream: simTarget, Incarnation: "a"})
	kinds := 4 + 2*m.draw(2)
	for age := time.Duration(0); age < 2*simBound; age += simStep {
		switch m.draw(2 * kinds) {
		case 0, 1, 2, 3:
			m.list(m.draw(simHosts), first.Add(-time.Duration(m.draw(100))*simStep), Live)
		case 8: // Others find evidence of their own in half of the runs.
			last = m.now
			m.handle(m.draw(simHosts), UpstreamRefused{Upstream: simTarget})
		case 9:
			last = m.now
			m.list(m.draw(simHosts), last, Leaving)
		}
		if m.now.Sub(first) >= simBound && m.leaving() < simHosts {
			return errors.Newf("%d of %d hosts know after %v", m.leaving(), simHosts, m.now.Sub(first))
		}
		m.step()
	}
	asOf := last.Add(simStep)
	m.step()
	for i := range simHosts {
		m.list(i, asOf, Live)
		m.step()
	}
	for range 30 {
		if m.step(); m.leaving() > 0 {
			return errors.Newf("%d hosts take up evidence again that a newer list ended", m.leaving())
		}
	}
	return nil
}

// Guards against new work for a leaving upstream anywhere later than 3 s after the first evidence, and against
// evidence that never ends.
func TestLeavingBound(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		draw := func(n int) int { return rapid.IntRange(0, n-1).Draw(rt, "n") }
		if err := newMesh(faults{}, draw).leave(); err != nil {
			rt.Fatal(err)
		}
	})
}

// Guards against a bound check that passes whatever the rules do.
func TestLeavingMutants(t *testing.T) {
	for name, f := range map[string]faults{
		"":                              {},
		"new evidence waits for a beat": {waitForBeat: true},
		"peers' evidence not passed on": {noRelay: true},
		"stale host list believed":      {trustList: true},
	} {
		failed := 0
		for seed := range uint64(300) {
			if newMesh(f, rand.New(rand.NewPCG(seed, 3)).IntN).leave() != nil {
				failed++
			}
		}
		t.Logf("%q: %d of 300 runs fail", name, failed)
		qt.Check(t, failed > 0, qt.Equals, f != faults{}, qt.Commentf("%q", name))
	}
}
