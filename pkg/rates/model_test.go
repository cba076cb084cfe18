package rates_test

import (
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"github.com/fireflycleat/fireflycleat/pkg/rates"
)

func tokenLimit(perSecond float64) rates.Limit {
	return rates.Limit{PerSecond: perSecond, Burst: perSecond, Window: 8 * time.Second, Over: 0.1, Slack: 11000}
}

// TestNoWindowExceedsTheBound guards against requests beyond the limit of a team, over any faults of hosts, lenders and the network: credit
// that is lent twice, kept for too long or returned too late. It also checks that the rates of all hosts never add up to more than a lender may lend.
func TestNoWindowExceedsTheBound(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(t *rapid.T) {
		limits := map[string]rates.Limit{
			"big":   tokenLimit(rapid.SampledFrom([]float64{60000, 300000}).Draw(t, "big")),
			"small": tokenLimit(2700),
			"exact": {PerSecond: 20, Burst: 30, Window: time.Second},
		}
		w := newWorld(rapid.Uint64().Draw(t, "seed"), rapid.IntRange(2, 9).Draw(t, "hosts"), limits)
		w.returns, w.settleMax = rapid.SampledFrom([]float64{0, 0.3, 0.9}).Draw(t, "returns"), 3*time.Second
		w.lossy = rapid.SampledFrom([]float64{0, 0.02, 0.3}).Draw(t, "lossy")
		w.latency = rapid.SampledFrom([]time.Duration{2 * time.Millisecond, 100 * time.Millisecond}).Draw(t, "latency")
		for team, l := range limits {
			cost, mean := tokens, 1150.0
			if team == "exact" {
				cost, mean = func(*rand.Rand) float64 { return 1 }, 1
			}
			load := rapid.SampledFrom([]float64{0.5, 1, 4}).Draw(t, "load")
			w.spreadDemand(team, min(load*l.PerSecond/mean, 400), len(w.hosts), cost)
		}
		const length = 35 * time.Second
		lowered := time.Duration(0)
		for range rapid.IntRange(0, 14).Draw(t, "events") {
			at := time.Duration(rapid.IntRange(0, int(length/time.Millisecond)).Draw(t, "at")) * time.Millisecond
			until := at + time.Duration(rapid.IntRange(50, 20000).Draw(t, "lasts"))*time.Millisecond
			n := w.hosts[rapid.IntRange(0, len(w.hosts)-1).Draw(t, "host")]
			kind := rapid.SampledFrom([]string{"kill", "freeze", "cut", "half", "lender", "take over", "store", "lower", "move", "burst", "refuse", "stop"}).Draw(t, "kind")
			add := func(at time.Duration, do func()) { w.events = append(w.events, event{at, do, kind}) }
			switch kind {
			case "kill":
				add(at, func() { n.down = true })
				add(until, func() {
					if n.down {
						w.boot(n)
					}
				})
			case "stop":
				add(at, func() {
					if !n.down && !n.frozen {
						n.host.SetStopping(w.now)
						n.stoppingAt = w.now
					}
				})
				add(at+(until-at)/4, func() { n.down = n.down || !n.stoppingAt.IsZero() })
				add(until, func() {
					if n.down {
						w.boot(n)
					}
				})
			case "freeze":
				add(at, func() { n.frozen = true })
				add(until, func() { n.frozen = false })
			case "cut":
				add(at, func() { n.cut = true })
				add(until, func() { n.cut = false })
			case "half":
				for _, n := range w.hosts[:len(w.hosts)/2] {
					add(at, func() { n.cut = true })
					add(until, func() { n.cut = false })
				}
			case "lender":
				add(at, func() { w.holder().host.down = true })
				add(until, func() {
					for _, n := range w.hosts {
						if n.down {
							w.boot(n)
						}
					}
				})
			case "take over":
				add(at, func() { // The holder releases the lease.
					if h := w.holder(); !h.host.down && !h.host.frozen && !h.host.cut {
						h.confirmedUntil, h.host.fence = w.now, w.fence+1
						w.takeOver(n)
					}
				})
			case "store":
				add(at, func() { w.storeDown = true })
				add(until, func() { w.storeDown = false })
			case "burst":
				times := func(factor float64) func() {
					return func() {
						for _, n := range w.hosts {
							for _, s := range n.teams {
								s.perSecond *= factor
							}
						}
					}
				}
				add(at, times(20))
				add(at+(until-at)/20, times(1.0/20))
			case "refuse": // No request runs, and credit is returned.
				usual := w.returns
				add(at, func() { w.returns = 1 })
				add(at+(until-at)/4, func() { w.returns = usual })
			case "lower":
				if lowered > 0 {
					continue
				}
				lowered = at
				add(at, func() {
					lower := map[string]rates.Limit{"big": tokenLimit(5000), "small": tokenLimit(1000), "exact": limits["exact"]}
					w.setLimits(lower, 3*time.Second)
				})
			case "move":
				add(at, func() {
					x := w.hosts[0].teams
					for i := range w.hosts[1:] {
						w.hosts[i].teams = w.hosts[i+1].teams
					}
					w.hosts[len(w.hosts)-1].teams = x
				})
			}
		}
		w.run(length)
		if w.maxShare > 0.8+1e-9 {
			t.Fatalf("hosts held %v of a rate", w.maxShare)
		}
		for team, l := range limits {
			if most := w.highest(team, l.Window, w.start); most > l.Bound() {
				t.Fatalf("%s: %.0f in a window, allowed are %.0f", team, most, l.Bound())
			}
		}
		for team, l := range w.limits {
			if from := w.start.Add(lowered + 3*time.Second + l.Window); lowered > 0 {
				if most := w.highest(team, l.Window, from); most > l.Bound() {
					t.Fatalf("%s: %.0f in a window after the limit was lowered, allowed are %.0f", team, most, l.Bound())
				}
			}
		}
	})
}

// TestLimitIsUsed guards against a limiter that keeps its bound by refusing what the limit allows.
func TestLimitIsUsed(t *testing.T) {
	t.Parallel()
	for _, x := range []struct {
		name             string
		perSecond, share float64 // of the limit that is asked for
		hosts            int
		least            float64
	}{
		{"big team at its usual demand", 300000, 0.55, 80, 0.999},
		{"middle team at its usual demand", 40000, 0.55, 60, 0.995},
		{"small team at its usual demand", 2700, 0.55, 8, 0.96},
	} {
		w := newWorld(1, 80, map[string]rates.Limit{"t": tokenLimit(x.perSecond)})
		w.run(6 * time.Second)
		w.start = w.now
		w.spreadDemand("t", x.share*x.perSecond/1150, x.hosts, tokens)
		w.run(20 * time.Second)
		got := w.ran("t") / w.wanted["t"]
		t.Logf("%s: %.4f", x.name, got)
		qt.Check(t, got > x.least, qt.IsTrue, qt.Commentf("%s: %v", x.name, got))
	}
}
