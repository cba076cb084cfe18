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
	simHosts       = 6
	simStep        = 100 * time.Millisecond
	simSpreadLimit = 3 * time.Second // maximum time for evidence to reach all hosts
	simTarget      = "engine1"
)

var simStart = time.Unix(1_700_000_000, 0)

type (
	// simulation runs six daemons on a network that has dead links and loses up to two of three heartbeats on the others.
	simulation struct {
		draw         func(n int) int
		now          time.Time
		clockOffset  [simHosts]time.Duration // by host, at simStart
		clockDrift   [simHosts]float64       // by host, as a fraction of the elapsed time
		lists        []*List
		disconnected [simHosts][simHosts]bool
		lostInRow    [simHosts][simHosts]int // heartbeats lost in a row on each link
		inFlight     []delivery
	}

	// delivery is a heartbeat in transit.
	delivery struct {
		to        int       // receiving host
		at        time.Time // time of arrival
		heartbeat Heartbeat
	}
)

func identity(i int) Identity {
	name := fmt.Sprintf("h%d", i)
	return Identity{
		Incarnation: name + ".1", Host: name, Address: name, CallerURL: "http://" + name, DataCentre: fmt.Sprintf("dc%d", i%3),
	}
}

// localTime returns the time on the clock of host i. The platform's clock shows s.now.
func (s *simulation) localTime(i int) time.Time {
	return s.now.Add(s.clockOffset[i] + time.Duration(s.clockDrift[i]*float64(s.now.Sub(simStart))))
}

func newSimulation(disabled disabledRules, draw func(n int) int) *simulation {
	s := &simulation{draw: draw, now: simStart}
	for i := range simHosts {
		s.clockOffset[i], s.clockDrift[i] = time.Duration(draw(13)-6)*time.Hour, float64(draw(3)-1)/1000
		l := New(identity(i), 10*time.Second)
		l.disabled = disabled
		for k := range simHosts {
			l.Handle(s.localTime(i), Registered{Identity: identity(k), Offset: int64(k + 1)})
		}
		l.nextHeartbeat = s.localTime(i).Add(time.Duration(draw(10)) * simStep)
		s.lists = append(s.lists, l)
	}
	for i := range simHosts {
		s.deliverHostList(i, s.now.Add(-time.Hour), Live)
	}
	// The last host keeps all its links, so that every pair has a path of two links.
	for range 1 + draw(8) {
		a, b := draw(simHosts-1), draw(simHosts-1)
		s.disconnected[a][b], s.disconnected[b][a] = true, true
	}
	return s
}

func (s *simulation) handle(i int, e Event) {
	for _, a := range s.lists[i].Handle(s.localTime(i), e) {
		send, ok := a.(SendHeartbeat)
		if !ok {
			continue
		}
		for k := range simHosts {
			if k == i || s.disconnected[i][k] {
				continue
			}
			if s.lostInRow[i][k]++; s.lostInRow[i][k] > 2 || s.draw(2) == 0 {
				s.lostInRow[i][k] = 0
				s.inFlight = append(s.inFlight, delivery{k, s.now.Add(time.Duration(s.draw(4)) * simStep), send.Heartbeat})
			}
		}
	}
}

func (s *simulation) step() {
	s.now = s.now.Add(simStep)
	due := s.inFlight
	s.inFlight = nil
	for _, f := range due {
		if f.at.After(s.now) {
			s.inFlight = append(s.inFlight, f)
			continue
		}
		s.handle(f.to, f.heartbeat)
	}
	for i := range simHosts {
		s.handle(i, Tick{})
	}
}

// deliverHostList delivers a host list of the time asOf, which lists the upstream in the given state, to host i.
func (s *simulation) deliverHostList(i int, asOf time.Time, state HostState) {
	s.handle(i, HostList{
		AsOf: asOf, AskedAt: s.localTime(i), Earliest: s.now, Latest: s.now,
		Hosts: []ListedHost{{Name: simTarget, Upstream: true, State: state}},
	})
}

func (s *simulation) countLeaving() int {
	n := 0
	for _, l := range s.lists {
		if l.Leaving(simTarget) {
			n++
		}
	}
	return n
}

// simulateLeaving delivers evidence together with stale host lists that list the upstream as live, and then newer lists that
// list it as live. It returns an error if evidence spreads too slowly or does not end.
func (s *simulation) simulateLeaving() error {
	for range s.draw(20) {
		s.step()
	}
	first, last := s.now, s.now
	s.handle(s.draw(simHosts), UpstreamRefused{Upstream: simTarget, Incarnation: "a"})
	kinds := 4 + 2*s.draw(2)
	for age := time.Duration(0); age < 2*simSpreadLimit; age += simStep {
		switch s.draw(2 * kinds) {
		case 0, 1, 2, 3:
			s.deliverHostList(s.draw(simHosts), first.Add(-time.Duration(s.draw(100))*simStep), Live)
		case 8: // In half of the runs, other hosts find evidence themselves.
			last = s.now
			s.handle(s.draw(simHosts), UpstreamRefused{Upstream: simTarget})
		case 9:
			last = s.now
			s.deliverHostList(s.draw(simHosts), last, Leaving)
		}
		if s.now.Sub(first) >= simSpreadLimit && s.countLeaving() < simHosts {
			return errors.Newf("%d of %d hosts have the evidence after %v", s.countLeaving(), simHosts, s.now.Sub(first))
		}
		s.step()
	}
	asOf := last.Add(simStep)
	s.step()
	for i := range simHosts {
		s.deliverHostList(i, asOf, Live)
		s.step()
	}
	for range 30 {
		if s.step(); s.countLeaving() > 0 {
			return errors.Newf("evidence that a newer list ended is revived on %d hosts", s.countLeaving())
		}
	}
	return nil
}

// TestLeavingBound guards against a daemon that sends new work to a leaving upstream more than 3 s after the first evidence,
// and against evidence that never ends because peers revive it.
func TestLeavingBound(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		draw := func(n int) int { return rapid.IntRange(0, n-1).Draw(rt, "n") }
		if err := newSimulation(disabledRules{}, draw).simulateLeaving(); err != nil {
			rt.Fatal(err)
		}
	})
}

// TestLeavingMutants guards against a simulation of leaving upstreams that does not detect a disabled rule.
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
