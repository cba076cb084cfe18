package rates_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/fireflycleat/fireflycleat/pkg/rates"
)

const fleetSize = 80

// admitsBuckets returns the cost of the requests that fixed buckets admit, one for each key.
func admitsBuckets(list []arrival, perSecond, capacity float64, key func(arrival) any) float64 {
	type bucket struct {
		level float64
		at    time.Time
	}
	sum, all := 0.0, make(map[any]*bucket)
	for _, a := range list {
		b := all[key(a)]
		if b == nil {
			b = &bucket{capacity, a.at}
			all[key(a)] = b
		}
		b.level = min(capacity, b.level+perSecond*a.at.Sub(b.at).Seconds())
		b.at = a.at
		if b.level >= a.cost {
			b.level -= a.cost
			sum += a.cost
		}
	}
	return sum
}

// BenchmarkUse reports the share of what one bucket for all hosts would admit that hosts refuse, in percent: with this package, and with a
// fixed share of the limit for each host.
func BenchmarkUse(b *testing.B) {
	sizes := []struct {
		name     string
		requests float64 // usual requests a second
		hosts    int     // with callers of the team
	}{{"big", 170, 80}, {"middle", 20, 40}, {"small", 1.7, 8}, {"sparse", 1.7, 20}}
	for _, situation := range []string{"calm", "six times its usual", "35 percent cut off", "lender lost"} {
		for _, size := range sizes {
			b.Run(fmt.Sprintf("%s/%s", situation, size.name), func(b *testing.B) {
				lost, fixed, calls := 0.0, 0.0, 0.0
				for i := range b.N {
					limit := tokenLimit(max(1.8*size.requests*1150, 2700))
					w := newWorld(uint64(i+1), fleetSize, map[string]rates.Limit{"t": limit})
					w.run(4 * time.Second)
					w.start, w.calls = w.now, 0
					w.spreadDemand("t", size.requests, size.hosts, tokens)
					w.disturb(situation)
					w.run(24 * time.Second)
					list := w.arrivals["t"]
					exact := admitsBuckets(list, limit.PerSecond, limit.Burst, func(arrival) any { return 0 })
					static := admitsBuckets(list, limit.PerSecond/fleetSize, limit.Capacity()/fleetSize, func(a arrival) any { return a.host })
					lost += 100 * max(1-w.ran("t")/exact, 0) / float64(b.N)
					fixed += 100 * max(1-static/exact, 0) / float64(b.N)
					calls += float64(w.calls) / 24 / fleetSize / float64(b.N)
				}
				b.ReportMetric(0, "ns/op")
				b.ReportMetric(lost, "%lost")
				b.ReportMetric(fixed, "%lostFixed")
				b.ReportMetric(calls, "calls/s/host")
			})
		}
	}
}

// BenchmarkFairness reports the highest share of their requests that hosts refuse to fifteen teams at their usual demand while another one
// sends six times its usual, in percent.
func BenchmarkFairness(b *testing.B) {
	worst := 0.0
	for i := range b.N {
		limits := make(map[string]rates.Limit)
		usual := func(j int) float64 { return 1.7 * float64(1+j*j/2) }
		for j := range 16 {
			limits[fmt.Sprint("t", j)] = tokenLimit(max(1.8*usual(j)*1150, 2700))
		}
		w := newWorld(uint64(i+1), fleetSize, limits)
		w.run(4 * time.Second)
		w.start = w.now
		for j := range 16 {
			w.spreadDemand(fmt.Sprint("t", j), usual(j), min(8+5*j, fleetSize), tokens)
		}
		for _, n := range w.hosts {
			if s := n.teams["t15"]; s != nil {
				s.perSecond *= 6
			}
		}
		w.run(20 * time.Second)
		for j := range 15 {
			team := fmt.Sprint("t", j)
			worst = max(worst, 100*(1-w.ran(team)/w.wanted[team]))
		}
	}
	b.ReportMetric(0, "ns/op")
	b.ReportMetric(worst, "%lostWorst")
}

// disturb adds the events of a situation. Callers of hosts that are cut off move to others within 2 s.
func (w *world) disturb(situation string) {
	at := func(s float64, do func()) {
		w.events = append(w.events, event{time.Duration(s * float64(time.Second)), do, situation})
	}
	times := func(factor float64) {
		for _, n := range w.hosts {
			for _, s := range n.teams {
				s.perSecond *= factor
			}
		}
	}
	switch situation {
	case "six times its usual":
		at(6, func() { times(6) })
		at(14, func() { times(1.0 / 6) })
	case "35 percent cut off":
		cut := w.hosts[len(w.hosts)*65/100:]
		moved := make([]map[string]*source, len(cut))
		at(6, func() {
			for _, n := range cut {
				n.cut = true
			}
		})
		at(8, func() {
			for i, n := range cut {
				moved[i], n.teams = n.teams, nil
				for team, s := range moved[i] {
					to := w.hosts[w.random.IntN(len(w.hosts)-len(cut))]
					if to.teams[team] == nil {
						to.teams[team] = &source{0, s.cost}
					}
					to.teams[team].perSecond += s.perSecond
				}
			}
		})
		at(18, func() {
			for _, n := range cut {
				n.cut = false
			}
		})
	case "lender lost":
		at(6, func() { w.hosts[0].down = true })
	}
}
