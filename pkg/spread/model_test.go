package spread_test

import (
	"container/heap"
	"math"
	"math/rand/v2"
	"slices"
	"strconv"
	"time"

	"github.com/fireflycleat/fireflycleat/pkg/spread"
)

type (
	// scenario is a deployment and its load, in virtual time: hosts send requests to upstreams, which run a limited number of them at
	scenario struct {
		hosts, upstreams, places int
		speeds                   []float64 // of the upstreams in turn
		work                     []float64 // seconds of the kinds of requests at speed one, in turn
		load                     float64   // share of the capacity
		interval, lag            float64   // seconds between reports, and age of a new one
		slowShare, slowFactor    float64   // share of the upstreams that are slow at any time
		slowPhase                float64   // seconds
		lifetime                 float64   // seconds after which a new upstream replaces one; zero means never
		apart                    bool      // whether hosts get their reports at different times
		failing                  int       // upstreams that answer at once with an error
		cutOff                   int       // hosts that get no reports
		seconds                  float64
	}

	// policy returns the upstream for the next request of a host.
	policy func(m *model, host int) int

	server struct {
		id        string
		speed     float64
		slowUntil float64
		running   int
		queue     []*request
		total     int
		failed    int
	}

	request struct {
		host, upstream int
		server         *server
		sent, work     float64
	}

	event struct {
		at float64
		do func()
	}

	events []event

	model struct {
		scenario
		random              *rand.Rand
		now, step, meanWork float64
		events              events
		servers             []*server
		own                 [][]float64
		rates               *spread.Rates
		learned             []float64   // speeds that the hosts know
		errors              [][]float64 // moving averages by host and upstream
		reports             [][]float64 // by interval, requests in flight by upstream
		waits               []float64
		idle                float64 // mean share of the places that are idle while requests queue elsewhere
		uneven              float64 // mean of highest over mean load
		samples             float64
	}

	// figures are the results of a run.
	figures struct{ mean, p99, idle, uneven, failed float64 }
)

func (e events) Len() int           { return len(e) }
func (e events) Less(i, j int) bool { return e[i].at < e[j].at }
func (e events) Swap(i, j int)      { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)        { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

func (m *model) after(d float64, do func()) { heap.Push(&m.events, event{m.now + d, do}) }

func (m *model) every(d float64, do func()) {
	m.after(d, func() {
		do()
		m.every(d, do)
	})
}

// run plays the scenario and returns its figures after a tenth of the time.
func (s scenario) run(seed uint64, choose policy) figures {
	m := &model{scenario: s, rates: spread.NewRates(), random: rand.New(rand.NewPCG(seed, 1))} //nolint:gosec // repeatable
	capacity, work := 0.0, 0.0
	for i := range s.upstreams {
		m.servers = append(m.servers, &server{id: strconv.Itoa(i), speed: s.speeds[i%len(s.speeds)]})
		capacity += m.servers[i].speed * float64(s.places)
	}
	for range s.hosts {
		m.own, m.errors = append(m.own, make([]float64, s.upstreams)), append(m.errors, make([]float64, s.upstreams))
	}
	for _, w := range s.work {
		work += w / float64(len(s.work))
	}
	m.meanWork = work
	rate := s.load * capacity / work
	if s.slowShare > 0 {
		rate /= 1 + s.slowShare*(s.slowFactor-1)
		m.every(s.slowPhase, func() {
			for _, x := range m.servers {
				x.slowUntil = 0
			}
			for _, i := range m.random.Perm(s.upstreams)[:int(s.slowShare*float64(s.upstreams)+0.5)] {
				m.servers[i].slowUntil = m.now + s.slowPhase
			}
		})
	}
	if m.step = s.interval; s.apart {
		m.step = 0.05
	}
	m.report()
	m.every(m.step, m.report)
	m.every(0.05, m.sample)
	if s.lifetime > 0 {
		next := 0
		m.every(s.lifetime, func() { m.replace(next % s.upstreams); next++ })
	}
	var arrive func()
	arrive = func() {
		host := m.random.IntN(s.hosts)
		m.send(host, choose(m, host))
		m.after(m.random.ExpFloat64()/rate, arrive)
	}
	m.after(0, arrive)
	for m.now < s.seconds {
		e := heap.Pop(&m.events).(event)
		m.now = e.at
		e.do()
	}
	return m.figures()
}

func (m *model) report() {
	totals := make([]float64, m.upstreams)
	for i, x := range m.servers {
		totals[i] = float64(x.total)
	}
	m.reports = append(m.reports, totals)
	running, ids := make(map[string]int), make([]string, m.upstreams)
	for i, x := range m.servers {
		running[x.id], ids[i] = x.total, x.id
	}
	m.rates.Update(time.Unix(0, 0).Add(seconds(m.now)), running)
	m.learned = m.rates.Speeds(ids)
}

// replace starts another upstream in the place of one. The requests of the earlier one still end.
func (m *model) replace(i int) {
	m.rates.Forget(m.servers[i].id)
	m.learned[i] = 1
	m.servers[i] = &server{id: m.servers[i].id + "+", speed: m.scenario.speeds[m.random.IntN(len(m.scenario.speeds))]}
	for h := range m.own {
		m.own[h][i] = 0
	}
	for _, r := range m.reports {
		r[i] = 0
	}
}

// others returns the requests in flight of all hosts, as the host knows them, and the age of that.
func (m *model) others(host int) ([]float64, float64) {
	phase := 0.0
	if m.apart {
		phase = float64(host) / float64(m.hosts) * m.interval
	}
	at := math.Floor((m.now-m.lag-phase)/m.interval)*m.interval + phase
	if host < m.cutOff {
		at = 0
	}
	n := min(int(max(at, 0)/m.step+0.5), len(m.reports)-1)
	return m.reports[n], m.now - float64(n)*m.step
}

func (m *model) send(host, i int) {
	x := m.servers[i]
	r := &request{host, i, x, m.now, m.work[m.random.IntN(len(m.work))]}
	if i < m.failing {
		if m.after(0.001, func() { m.errors[host][i] = 0.8*m.errors[host][i] + 0.2 }); m.now > m.seconds/10 {
			x.failed++
			m.waits = append(m.waits, 0)
		}
		return
	}
	m.own[host][i]++
	x.total++
	if x.queue = append(x.queue, r); x.running < m.places {
		m.start(x)
	}
}

func (m *model) start(x *server) {
	r := x.queue[0]
	x.queue = x.queue[1:]
	x.running++
	took := r.work / x.speed
	if m.now < x.slowUntil {
		took += min(took*(m.slowFactor-1), (x.slowUntil-m.now)*(1-1/m.slowFactor))
	}
	if r.sent > m.seconds/10 {
		m.waits = append(m.waits, m.now-r.sent)
	}
	m.after(took, func() {
		x.running--
		x.total--
		if m.servers[r.upstream] == x {
			m.own[r.host][r.upstream]--
		}
		m.rates.Served(x.id, 1)
		m.errors[r.host][r.upstream] *= 0.8
		if len(x.queue) > 0 {
			m.start(x)
		}
	})
}

func (m *model) sample() {
	if m.now < m.seconds/10 {
		return
	}
	queued, free, total, highest := 0, 0, 0, 0
	for _, x := range m.servers[m.failing:] {
		queued += len(x.queue)
		free += m.places - x.running
		total += x.total
		highest = max(highest, x.total)
	}
	m.samples++
	m.idle += float64(min(queued, free)) / float64(m.places*m.upstreams)
	if total > 0 {
		m.uneven += float64(highest) * float64(m.upstreams-m.failing) / float64(total)
	}
}

func (m *model) figures() figures {
	slices.Sort(m.waits)
	sum, failed := 0.0, 0
	for _, w := range m.waits {
		sum += w
	}
	for _, x := range m.servers {
		failed += x.failed
	}
	n := float64(len(m.waits))
	return figures{sum / n, m.waits[int(n*0.99)], m.idle / m.samples, m.uneven / m.samples, float64(failed) / n}
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
