package lease_test

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/fireflycleat/fireflycleat/pkg/lease"
)

const (
	turnStep     = 100 * time.Millisecond
	shortestTurn = 3 * time.Second
	// orderTimeout is the time after which a host gives up an order, and orderLifetime that after which an order does not arrive any more.
	orderTimeout  = 300 * time.Millisecond
	orderLifetime = 1500 * time.Millisecond
	// historiesPerCheck makes the chains that break the rule frequent enough for the usual number of checks.
	historiesPerCheck = 20
)

type (
	// arrival is an order that reaches a receiver.
	arrival struct {
		at    time.Duration
		host  int
		fence int64
	}

	// lostOrder is an order without an answer that its host has not given up yet.
	lostOrder struct {
		lease   *lease.Lease
		givenUp time.Duration
	}

	// turnHost is a host that gives orders whenever it holds the lease.
	turnHost struct {
		*lease.Lease
		cutUntil   time.Duration // it does not reach the log
		awayUntil  time.Duration // it is paused, or its process has ended
		stopsUntil time.Duration // it stops as planned; zero if it does not
		ended      bool
	}

	// turnPlay is a random history of three hosts, and of the orders that reach a receiver that ignores fences.
	turnPlay struct {
		random   *rand.Rand
		log      *log
		ends     []int // of the log, at each step
		hosts    []*turnHost
		lost     []lostOrder
		arrivals []arrival
		late     []lateAppend
	}

	lateAppend struct {
		at     time.Duration
		action lease.Action
	}
)

// duration returns a random number of steps of up to the given time.
func (p *turnPlay) duration(most time.Duration) time.Duration {
	return time.Duration(1+p.random.IntN(int(most/turnStep))) * turnStep
}

// launch starts a process of the host.
func (p *turnPlay) launch(i int, at time.Duration) {
	s := lease.DefaultSettings()
	s.OrderLifetime, s.TurnTime, s.Joins = orderLifetime, 3200*time.Millisecond, true
	s.OrderTime = s.TakeOverTime - orderLifetime - turnStep
	name := string(rune('a' + i))
	h := &turnHost{Lease: lease.New(s, name, fmt.Sprint(name, at))}
	h.SetRank(i)
	h.Started(start.Add(at))
	p.hosts[i] = h
}

// disturb begins random disruptions.
func (p *turnPlay) disturb(at time.Duration) {
	if p.random.IntN(200) == 0 {
		end := min(p.ends[max(len(p.ends)-1-p.random.IntN(60), 0)], len(p.log.records))
		p.log.restore(end)
		for i := range p.ends {
			p.ends[i] = min(p.ends[i], end)
		}
	}
	for _, h := range p.hosts {
		if h.awayUntil > at || h.stopsUntil > 0 {
			continue
		}
		switch p.random.IntN(200) {
		case 0:
			h.awayUntil = at + p.duration(6*time.Second)
			h.Invalidate() // The clock of the host shows the pause.
		case 1:
			h.awayUntil, h.ended = at+p.duration(2*time.Second), true
		case 2, 3:
			h.cutUntil = at + p.duration(6*time.Second)
		case 4, 5:
			h.stopsUntil = at + 3*time.Second
		}
	}
}

// call makes the call that the host requests.
func (p *turnPlay) call(h *turnHost, a lease.Action, at time.Duration) {
	now := start.Add(at)
	switch {
	case a.Kind == lease.Nothing:
	case at < h.cutUntil && a.Kind == lease.Append && p.random.IntN(3) == 0:
		p.late = append(p.late, lateAppend{at + p.duration(3*time.Second), a})
		h.Failed(now)
	case at < h.cutUntil:
		h.Failed(now)
	case a.Kind == lease.Append:
		p.log.runAppend(now, h.Lease, a)
	default:
		h.ReadDone(now, p.log.newest())
	}
}

// order gives an order, whose answer may be lost. An order of a host that is killed meanwhile may arrive all the same.
func (p *turnPlay) order(i int, at time.Duration) {
	h := p.hosts[i]
	h.BeginOrder()
	if p.random.IntN(6) > 0 {
		p.arrivals = append(p.arrivals, arrival{at, i, h.Fence()})
		h.EndOrder(start.Add(at), true)
		return
	}
	p.lost = append(p.lost, lostOrder{h.Lease, at + orderTimeout})
	p.arrivals = append(p.arrivals, arrival{at + p.duration(orderLifetime), i, h.Fence()})
}

// step advances a host by one step.
func (p *turnPlay) step(i int, at time.Duration) {
	h, now := p.hosts[i], start.Add(at)
	switch {
	case at < h.awayUntil:
		return
	case h.ended:
		p.launch(i, at)
		h = p.hosts[i]
	case h.stopsUntil > 0 && at >= h.stopsUntil:
		h.awayUntil, h.ended = at+p.duration(2*time.Second), true
		return
	}
	if h.stopsUntil > 0 {
		p.call(h, h.Release(now), at)
		return
	}
	if n, age, ok := p.hosts[(i+1+int(at/turnStep)%2)%len(p.hosts)].Newest(now); ok && int(at/turnStep)%5 == i {
		h.Observe(now, n, age) // a heartbeat
	}
	p.call(h, h.Step(now), at)
	if h.MayOrder(now) {
		p.order(i, at)
	}
}

// play runs a history of the given length.
func (p *turnPlay) play(length time.Duration) {
	for i := range p.hosts {
		p.launch(i, 0)
	}
	for at := time.Duration(0); at < length; at += turnStep {
		for _, a := range p.late {
			if a.at == at {
				p.log.append(a.action)
			}
		}
		p.ends = append(p.ends, len(p.log.records))
		p.disturb(at)
		for _, o := range p.lost {
			if o.givenUp == at {
				o.lease.EndOrder(start.Add(at), false)
			}
		}
		for i := range p.hosts {
			p.step(i, at)
		}
	}
	slices.SortStableFunc(p.arrivals, func(a, b arrival) int { return cmp.Compare(a.at, b.at) })
}

// findLowerFence describes the first order with a lower fence than one before.
func (p *turnPlay) findLowerFence() string {
	highest := arrival{}
	for _, a := range p.arrivals {
		if a.fence < highest.fence {
			return fmt.Sprintf("order of host %d at %v with fence %d, after one of host %d at %v with fence %d", a.host, a.at, a.fence, highest.host,
				highest.at, highest.fence)
		}
		highest = a
	}
	return ""
}

// findTurn describes the first order whose host gave one less than shortestTurn before, with one of another host in between.
func (p *turnPlay) findTurn() string {
	for i, last := range p.arrivals {
		between := -1
		for j := i - 1; j >= 0 && last.at-p.arrivals[j].at < shortestTurn; j-- {
			switch first := p.arrivals[j]; {
			case first.host != last.host:
				between = j
			case between >= 0:
				return fmt.Sprintf("orders of host %d at %v, of host %d at %v and of host %d at %v", first.host, first.at, p.arrivals[between].host,
					p.arrivals[between].at, last.host, last.at)
			}
		}
	}
	return ""
}

// checkHistories plays random histories and fails if find describes a violation in one of them.
func checkHistories(t *testing.T, find func(*turnPlay) string) {
	rapid.Check(t, func(t *rapid.T) {
		random := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 0))
		for range historiesPerCheck {
			p := &turnPlay{random: random, log: &log{}, ends: []int{0}, hosts: make([]*turnHost, 3)}
			p.play(40 * time.Second)
			if violation := find(p); violation != "" {
				t.Fatal(violation)
			}
		}
	})
}

// TestHoldersDoNotAlternate guards against holders that take turns at a receiver that ignores fences, however a host comes to the lease: after a
// release, a kill, a cut, a pause or a return of the log from a copy.
func TestHoldersDoNotAlternate(t *testing.T) {
	checkHistories(t, (*turnPlay).findTurn)
}

// TestDelayedOrdersArriveBeforeThoseOfTheNextTerm guards against an order that arrives at a receiver that ignores fences after one of a later
// term: it was on its way when its host released the lease, lost it, or was killed.
func TestDelayedOrdersArriveBeforeThoseOfTheNextTerm(t *testing.T) {
	checkHistories(t, (*turnPlay).findLowerFence)
}
