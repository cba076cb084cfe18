package spread_test

import (
	"math"
	"os"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/fireflycleat/fireflycleat/pkg/spread"
)

// policies choose an upstream for the model. Counts is the lowest number of known requests, in order of the upstreams.
var policies = map[string]policy{
	"fresh": func(m *model, _ int) int {
		return lowest(m.upstreams, func(i int) float64 { return float64(m.servers[i].total) + m.penalty(0, i) })
	},
	"random": func(m *model, _ int) int { return m.random.IntN(m.upstreams) },
	"counts": func(m *model, host int) int {
		others, _ := m.others(host)
		return lowest(m.upstreams, func(i int) float64 { return others[i] + m.own[host][i] + m.penalty(host, i) })
	},
	"two": func(m *model, host int) int {
		others, _ := m.others(host)
		two := [2]int{m.random.IntN(m.upstreams), m.random.IntN(m.upstreams)}
		return two[lowest(2, func(i int) float64 { return others[two[i]] + m.own[host][two[i]] + m.penalty(host, two[i]) })]
	},
	"speed": func(m *model, host int) int { // random in proportion to the learned speeds
		list := m.list(host)
		for i := range list {
			list[i].Own, list[i].Age = 0, 24*time.Hour
		}
		i, _ := spread.Draw(list, m.random.Float64())
		return i
	},
	"draw": func(m *model, host int) int {
		i, _ := spread.Draw(m.list(host), m.random.Float64())
		return i
	},
}

func lowest(n int, cost func(i int) float64) int {
	best := 0
	for i := range n {
		if cost(i) < cost(best) {
			best = i
		}
	}
	return best
}

func (m *model) penalty(host, i int) float64 { return 1.5 * float64(m.places) * m.errors[host][i] }

func (m *model) list(host int) []spread.Upstream {
	others, age := m.others(host)
	list := make([]spread.Upstream, m.upstreams)
	for i := range m.servers {
		list[i] = spread.Upstream{
			Places: float64(m.places), Speed: m.learned[i], Own: m.own[host][i], Others: max(others[i]-m.own[host][i], 0),
			Age: seconds(age), Stay: seconds(m.meanWork), Bias: 1.5 * m.errors[host][i],
		}
	}
	return list
}

// TestEvenLoad guards against hosts that overrun upstreams in turn because they all know the same old state: requests then wait while
// places are idle. The figures of the other policies are logged for comparison.
func TestEvenLoad(t *testing.T) {
	base := scenario{hosts: 75, upstreams: 6, places: 12, speeds: []float64{0.6, 1, 1.6}, work: []float64{0.5}, load: 0.7, interval: 0.5, seconds: 60}
	change := func(f func(s *scenario)) scenario {
		s := base
		f(&s)
		return s
	}
	for _, x := range []struct {
		name string
		scenario
		mean float64 // longest mean time in a queue, in seconds
	}{
		{"2 upstreams", change(func(s *scenario) { s.upstreams = 2 }), 0.03},
		{"3 upstreams", change(func(s *scenario) { s.upstreams = 3 }), 0.025},
		{"6 upstreams, reports each 0.1 s", change(func(s *scenario) { s.interval = 0.1 }), 0.01},
		{"6 upstreams", base, 0.02},
		{"6 upstreams, reports each 1 s", change(func(s *scenario) { s.interval = 1 }), 0.025},
		{"6 upstreams, reports each 2 s", change(func(s *scenario) { s.interval = 2 }), 0.03},
		{"30 upstreams, reports each 0.1 s", change(func(s *scenario) { s.upstreams, s.interval = 30, 0.1 }), 0.01},
		{"30 upstreams", change(func(s *scenario) { s.upstreams = 30 }), 0.02},
		{"30 upstreams, reports each 1 s", change(func(s *scenario) { s.upstreams, s.interval = 30, 1 }), 0.025},
		{"30 upstreams, 0.25 to 0.75 s old at different times", change(func(s *scenario) { s.upstreams, s.apart, s.lag = 30, true, 0.25 }), 0.03},
		{"100 hosts, 140 upstreams, 0.1 to 2 s old", change(func(s *scenario) {
			s.hosts, s.upstreams, s.apart, s.lag, s.interval, s.seconds = 100, 140, true, 0.1, 1.9, 20
		}), 0.2},
		{"30 upstreams, slow phases of 0.6 s", change(func(s *scenario) {
			s.upstreams, s.slowShare, s.slowFactor, s.slowPhase = 30, 0.15, 2.5, 0.6
		}), 0.03},
		{"30 upstreams, one replaced each second", change(func(s *scenario) { s.upstreams, s.lifetime = 30, 1 }), 0.05},
		{"6 upstreams, one fails at once", change(func(s *scenario) { s.failing, s.load = 1, 0.55 }), 0.05},
		{"6 upstreams, work of 0.1 and 0.9 s", change(func(s *scenario) { s.work = []float64{0.1, 0.9} }), 0.05},
		{"6 upstreams, 7 hosts without reports", change(func(s *scenario) { s.cutOff = 7 }), 0.05},
		{"4 upstreams, 6 places, work of 0.03 s", change(func(s *scenario) {
			s.upstreams, s.places, s.work, s.load = 4, 6, []float64{0.03}, 0.3
		}), 0.005},
	} {
		t.Run(x.name, func(t *testing.T) {
			t.Parallel()
			var got figures
			for _, name := range compared() {
				got = x.run(1, policies[name])
				t.Logf("%-6s mean %.3f s, p99 %.3f s, idle %.3f, highest over mean %.2f, failed %.3f", name, got.mean, got.p99, got.idle, got.uneven, got.failed)
			}
			qt.Check(t, got.mean < x.mean, qt.IsTrue, qt.Commentf("mean time in a queue %.3f s", got.mean))
			qt.Check(t, got.failed < 0.02, qt.IsTrue, qt.Commentf("share of errors %.3f", got.failed))
		})
	}
}

// compared returns the policies to run: all of them only for the table in docs/design/balancing.md, because that takes a minute.
func compared() []string {
	if os.Getenv("SPREAD_TABLE") == "" {
		return []string{"draw"}
	}
	return []string{"fresh", "random", "counts", "two", "speed", "draw"}
}

func share(list []spread.Upstream, index int) float64 {
	n := 0
	for i := range 1000 {
		if got, _ := spread.Draw(list, (float64(i)+0.5)/1000); got == index {
			n++
		}
	}
	return float64(n) / 1000
}

// TestShares guards against draws that favor an upstream that the other hosts have filled since the report, or ignore a report that is
// recent.
func TestShares(t *testing.T) {
	u := func(running float64, age time.Duration) spread.Upstream {
		return spread.Upstream{Places: 10, Speed: 1, Others: running, Age: age, Stay: time.Second}
	}
	biased, costly, fast, own := u(4, time.Second), u(4, time.Second), u(4, time.Second), u(0, 0)
	biased.Bias, costly.Cost, fast.Speed, own.Own = -0.1, 2, 3, 1
	for name, x := range map[string]struct {
		list []spread.Upstream
		want float64 // share of the first
	}{
		"one":                    {[]spread.Upstream{u(99, time.Hour)}, 1},
		"recent report":          {[]spread.Upstream{u(3, 0), u(4, 0)}, 1},
		"own request":            {[]spread.Upstream{own, u(0, 0)}, 0},
		"valley is not full yet": {[]spread.Upstream{u(1, 300*time.Millisecond), u(9, 300*time.Millisecond)}, 1},
		"valley is full":         {[]spread.Upstream{u(1, 5*time.Second), u(9, 5*time.Second)}, 0.5},
		"preferred":              {[]spread.Upstream{biased, u(4, time.Second)}, 1},
		"errors":                 {[]spread.Upstream{costly, u(4, time.Second)}, 0},
		"speed":                  {[]spread.Upstream{fast, u(4, time.Hour)}, 0.75},
		"no run times":           {[]spread.Upstream{{Places: 10, Speed: 1, Others: 5}, {Places: 10, Speed: 1, Others: 4}}, 0},
	} {
		got := share(x.list, 0)
		qt.Check(t, math.Abs(got-x.want) < 0.06, qt.IsTrue, qt.Commentf("%s: %v", name, got))
	}
	_, load := spread.Draw([]spread.Upstream{u(0, 5*time.Second), u(10, 5*time.Second)}, 0.5)
	qt.Check(t, math.Abs(load-0.5) < 0.02, qt.IsTrue, qt.Commentf("expected load %v", load))
}

// TestRates guards against a speed that follows few requests or those before a restart, or that counts errors as work.
func TestRates(t *testing.T) {
	r, now, ids := spread.NewRates(), time.Unix(1000, 0), []string{"fast", "slow", "new", "failing"}
	qt.Assert(t, r.Speeds(ids), qt.DeepEquals, []float64{1, 1, 1, 1})
	for range 100 {
		now = now.Add(600 * time.Millisecond)
		r.Served("fast", 8)
		r.Served("slow", 4)
		r.Update(now, map[string]int{"fast": 6, "slow": 6, "failing": 0})
	}
	r.Served("new", 2)
	speeds := r.Speeds(ids)
	qt.Check(t, math.Abs(speeds[0]/speeds[1]-2) < 0.2, qt.IsTrue, qt.Commentf("%v", speeds))
	qt.Check(t, speeds[2] < 1.4, qt.IsTrue, qt.Commentf("%v", speeds))
	qt.Check(t, speeds[3], qt.Equals, 1.0)
	r.Forget("fast")
	qt.Check(t, r.Speeds(ids)[0], qt.Equals, 1.0)
}

// BenchmarkDraw measures a choice among all upstreams of a large service.
func BenchmarkDraw(b *testing.B) {
	list := make([]spread.Upstream, 140)
	for i := range list {
		list[i] = spread.Upstream{Places: 12, Speed: 1, Others: float64(i % 12), Age: time.Second, Stay: time.Second}
	}
	for b.Loop() {
		spread.Draw(list, 0.5)
	}
}
