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
	// simulation runs six daemons on a network that has dead links and loses up to two of three heartbeats on the others.
	simulation struct {
		draw         func(n int) int
		now          time.Time
		ahead        [simHosts]time.Duration // ahead is the initial clock offset of each host.
		drift        [simHosts]float64       // drift is the relative clock drift of each host.
		lists        []*List
		disconnected [simHosts][simHosts]bool
		lostInRow    [simHosts][simHosts]int // lostInRow counts the heartbeats lost in a row on each link.
		inFlight     []delivery
	}

	// delivery is a heartbeat on its way to host to.
	delivery struct {
		to        int
		at        time.Time
		heartbeat Heartbeat
	}
)

func identity(i int) Identity {
	name := fmt.Sprintf("h%d", i)
	return Identity{
		Incarnation: name + ".1", Host: name, Address: name, CallerURL: "http://" + name, DataCentre: fmt.Sprintf("dc%d", i%3),
	}
}

// local returns the time by the clock of host i. The platform's clock shows m.now.
func (m *simulation) local(i int) time.Time {
	return m.now.Add(m.ahead[i] + time.Duration(m.drift[i]*float64(m.now.Sub(simStart))))
}

func newSimulation(disabled disabledRules, draw func(n int) int) *simulation {
	m := &simulation{draw: draw, now: simStart}
	for i := range simHosts {
		m.ahead[i], m.drift[i] = time.Duration(draw(13)-6)*time.Hour, float64(draw(3)-1)/1000
		l := New(identity(i), 10*time.Second)
		l.disabled = disabled
		for k := range simHosts {
			l.Handle(m.local(i), Registered{Identity: identity(k), Offset: int64(k + 1)})
		}
		l.nextHeartbeat = m.local(i).Add(time.Duration(draw(10)) * simStep)
		m.lists = append(m.lists, l)
	}
	for i := range simHosts {
		m.deliverHostList(i, m.now.Add(-time.Hour), Live)
	}
	// The last host keeps all its links, so that every pair has a path of two links.
	for range 1 + draw(8) {
		a, b := draw(simHosts-1), draw(simHosts-1)
		m.disconnected[a][b], m.disconnected[b][a] = true, true
	}
	return m
}

func (m *simulation) handle(i int, e Event) {
	for _, a := range m.lists[i].Handle(m.local(i), e) {
		b, ok := a.(SendHeartbeat)
		if !ok {
			continue
		}
		for k := range simHosts {
			if k == i || m.disconnected[i][k] {
				continue
			}
			if m.lostInRow[i][k]++; m.lostInRow[i][k] > 2 || m.draw(2) == 0 {
				m.lostInRow[i][k] = 0
				m.inFlight = append(m.inFlight, delivery{k, m.now.Add(time.Duration(m.draw(4)) * simStep), b.Heartbeat})
			}
		}
	}
}

func (m *simulation) step() {
	m.now = m.now.Add(simStep)
	due := m.inFlight
	m.inFlight = nil
	for _, f := range due {
		if f.at.After(m.now) {
			m.inFlight = append(m.inFlight, f)
			continue
		}
		m.handle(f.to, f.heartbeat)
	}
	for i := range simHosts {
		m.handle(i, Tick{})
	}
}

// deliverHostList gives host i a list of the time asOf that has the upstream in state s.
func (m *simulation) deliverHostList(i int, asOf time.Time, s HostState) {
	m.handle(i, HostList{
		AsOf: asOf, AskedAt: m.local(i), Earliest: m.now, Latest: m.now,
		Hosts: []ListedHost{{Name: simTarget, Upstream: true, State: s}},
	})
}

func (m *simulation) countLeaving() int {
	n := 0
	for _, l := range m.lists {
		if l.Leaving(simTarget) {
			n++
		}
	}
	return n
}

// simulateLeaving delivers evidence while stale host lists have the upstream as live, and then newer lists that have it as
// live. It returns an error if evidence spreads too slowly or does not end.
func (m *simulation) simulateLeaving() error {
	for range m.draw(20) {
		m.step()
	}
	first, last := m.now, m.now
	m.handle(m.draw(simHosts), UpstreamRefused{Upstream: simTarget, Incarnation: "a"})
	kinds := 4 + 2*m.draw(2)
	for age := time.Duration(0); age < 2*simBound; age += simStep {
		switch m.draw(2 * kinds) {
		case 0, 1, 2, 3:
			m.deliverHostList(m.draw(simHosts), first.Add(-time.Duration(m.draw(100))*simStep), Live)
		case 8: // In half of the runs other hosts find evidence themselves.
			last = m.now
			m.handle(m.draw(simHosts), UpstreamRefused{Upstream: simTarget})
		case 9:
			last = m.now
			m.deliverHostList(m.draw(simHosts), last, Leaving)
		}
		if m.now.Sub(first) >= simBound && m.countLeaving() < simHosts {
			return errors.Newf("%d of %d hosts have the evidence after %v", m.countLeaving(), simHosts, m.now.Sub(first))
		}
		m.step()
	}
	asOf := last.Add(simStep)
	m.step()
	for i := range simHosts {
		m.deliverHostList(i, asOf, Live)
		m.step()
	}
	for range 30 {
		if m.step(); m.countLeaving() > 0 {
			return errors.Newf("evidence that a newer list ended is revived on %d hosts", m.countLeaving())
		}
	}
	return nil
}

// Guards against a daemon that sends new work to a leaving upstream later than 3 s after the first evidence, and against
// evidence that never ends because peers revive it.
func TestLeavingBound(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		draw := func(n int) int { return rapid.IntRange(0, n-1).Draw(rt, "n") }
		if err := newSimulation(disabledRules{}, draw).simulateLeaving(); err != nil {
			rt.Fatal(err)
		}
	})
}

// Guards against a bound test that still passes when a rule is disabled.
func TestLeavingMutants(t *testing.T) {
	for name, disabled := range map[string]disabledRules{
		"": {},
		"new evidence waits for the next heartbeat": {urgentHeartbeat: true},
		"peers' evidence not forwarded":             {relay: true},
		"stale host list accepted":                  {staleListCheck: true},
	} {
		failed := 0
		for seed := range uint64(300) {
			if newSimulation(disabled, rand.New(rand.NewPCG(seed, 3)).IntN).simulateLeaving() != nil {
				failed++
			}
		}
		t.Logf("%q: %d of 300 runs fail", name, failed)
		qt.Check(t, failed > 0, qt.Equals, disabled != disabledRules{}, qt.Commentf("%q", name))
	}
}
