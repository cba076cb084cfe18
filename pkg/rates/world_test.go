package rates_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/fireflycleat/fireflycleat/pkg/rates"
)

const (
	step       = 10 * time.Millisecond
	patience   = 250 * time.Millisecond
	leaseHold  = 2 * time.Second
	leaseTaken = 3200 * time.Millisecond
	newsDelay  = 1200 * time.Millisecond // time until a host knows a new lease at the latest
)

type (
	// world runs hosts and lenders with a network between them on simulated time.
	world struct {
		random  *rand.Rand
		start   time.Time
		now     time.Time
		hosts   []*node
		lenders []*term
		fence   int64 // of the newest lease
		events  []event
		mail    []message
		latency time.Duration
		lossy   float64 // share of lost messages
		// storeDown stops renewals and take-overs.
		storeDown bool
		settleMax time.Duration // longest time until a request that does not run is settled
		returns   float64       // share of admitted requests that do not run
		runs      map[string][]run
		wanted    map[string]float64
		maxShare  float64 // highest sum of the rates that hosts held
		calls     int     // of hosts to lenders
		handed    int     // states that a lender continued with
		arrivals  map[string][]arrival
		limits    map[string]rates.Limit
	}

	// node is a host.
	node struct {
		name        string
		host        *rates.Host
		incarnation int64
		fence       int64 // newest lease that the host knows
		down, cut   bool
		stoppingAt  time.Time // zero unless the host is stopping, or ended after that
		frozen      bool
		teams       map[string]*source
		waiting     map[int64]request
		limits      map[string]rates.Limit
	}

	// source sends requests of one team to a host.
	source struct {
		perSecond float64 // requests a second
		cost      func(*rand.Rand) float64
	}

	// term is a lender that may still take itself for the holder of the lease.
	term struct {
		host           *node
		incarnation    int64
		lender         *rates.Lender
		fence          int64
		confirmedUntil time.Time
	}

	request struct {
		team string
		cost float64
	}

	arrival struct {
		at   time.Time
		host *node
		cost float64
	}

	run struct {
		at   time.Time
		cost float64
	}

	event struct {
		at   time.Duration
		do   func()
		name string
	}

	message struct {
		at   time.Time
		to   *node
		from *node
		do   func()
	}
)

func newWorld(seed uint64, hosts int, limits map[string]rates.Limit) *world {
	w := &world{
		random: rand.New(rand.NewPCG(seed, 1)), start: time.Unix(1000, 0), latency: 2 * time.Millisecond, limits: limits,
		runs: make(map[string][]run), wanted: make(map[string]float64), arrivals: make(map[string][]arrival),
	}
	w.now = w.start
	for i := range hosts {
		n := &node{name: fmt.Sprint("h", i), teams: make(map[string]*source)}
		w.hosts = append(w.hosts, n)
		w.boot(n)
	}
	w.takeOver(w.hosts[0])
	return w
}

// boot starts a process of the host, which knows the newest lease.
func (w *world) boot(n *node) {
	n.incarnation++
	n.down, n.frozen, n.fence, n.stoppingAt = false, false, w.fence, time.Time{}
	n.host = rates.NewHost(n.name, fmt.Sprint(n.name, ".", n.incarnation), w.now.UnixNano())
	n.waiting = make(map[int64]request)
	n.limits = w.limits
	n.host.SetLimits(w.now, n.limits)
}

// takeOver gives the lease to a host. Others learn of it within newsDelay.
func (w *world) takeOver(n *node) {
	if n.down || n.frozen || w.storeDown {
		return
	}
	w.fence++
	l := rates.NewLender()
	if len(w.lenders) > 0 {
		if h := w.holder(); h.host.down || h.host.incarnation != h.incarnation {
			l.StopPredecessor(w.now, h.host.name)
		} else if h.host.fence > h.fence {
			l.StopPredecessor(w.now, "")
		}
	}
	l.SetLimits(w.now, n.limits)
	w.handOver(n, l)
	w.lenders = append(w.lenders, &term{n, n.incarnation, l, w.fence, w.now.Add(leaseHold)})
	fence := w.fence
	n.fence = fence
	for _, m := range w.hosts {
		w.learn(m, fence)
	}
}

// handOver passes the state of the newest lender on to the next one in some of the cases in which it can be reached.
func (w *world) handOver(n *node, l *rates.Lender) {
	if len(w.lenders) == 0 || w.random.Float64() < 0.3 {
		return
	}
	h := w.holder()
	if h.host.down || h.host.frozen || h.host.cut || n.cut || h.host == n || h.host.incarnation != h.incarnation {
		return
	}
	confirmed := w.now.Before(h.confirmedUntil)
	h.host.fence = w.fence
	state, ok := h.lender.Export(w.now, len(w.hosts), confirmed)
	if !ok {
		return
	}
	delay := time.Duration(w.random.Int64N(int64(rates.CallTimeout)))
	incarnation := n.incarnation
	w.mail = append(w.mail, message{w.now.Add(delay), n, nil, func() {
		if n.incarnation == incarnation && l.Import(w.now, state) {
			w.handed++
		}
	}})
}

// learn makes a host know a lease after a random delay, and again later if it is cut off.
func (w *world) learn(m *node, fence int64) {
	incarnation := m.incarnation
	w.mail = append(w.mail, message{w.now.Add(time.Duration(w.random.Int64N(int64(newsDelay)))), m, nil, func() {
		switch {
		case m.cut && m.incarnation == incarnation:
			w.learn(m, fence)
		default:
			m.fence = max(m.fence, fence)
		}
	}})
}

// holder returns the newest lender.
func (w *world) holder() *term { return w.lenders[len(w.lenders)-1] }

func (w *world) run(d time.Duration) {
	slices.SortStableFunc(w.events, func(a, b event) int { return int(a.at - b.at) })
	for end := w.start.Add(d); w.now.Before(end); w.now = w.now.Add(step) {
		for len(w.events) > 0 && w.now.Sub(w.start) >= w.events[0].at {
			w.events[0].do()
			w.events = w.events[1:]
		}
		w.renew()
		w.deliver()
		for _, n := range w.hosts {
			if !n.down && !n.frozen {
				w.stepHost(n)
			}
		}
		w.checkShares()
	}
}

// renew renews the lease, or gives it to another host once the holder has not renewed it for long enough.
func (w *world) renew() {
	h := w.holder()
	reachable := !h.host.down && !h.host.frozen && !h.host.cut && h.host.incarnation == h.incarnation && !w.storeDown
	switch {
	case reachable && h.confirmedUntil.Sub(w.now) < leaseHold/2:
		h.confirmedUntil = w.now.Add(leaseHold)
	case !reachable && w.now.Sub(h.confirmedUntil.Add(-leaseHold)) >= leaseTaken:
		for _, n := range w.hosts {
			if !n.down && !n.frozen && !n.cut {
				w.takeOver(n)
				return
			}
		}
	}
}

// deliver handles the messages that have arrived. Those to a frozen host wait.
func (w *world) deliver() {
	due := w.mail
	w.mail = nil
	for _, m := range due {
		switch {
		case m.at.After(w.now) || m.to.frozen:
			w.mail = append(w.mail, m)
		case m.from != nil && (m.to.cut != m.from.cut || m.to.down):
		default:
			m.do()
		}
	}
}

func (w *world) send(from, to *node, do func()) {
	if w.random.Float64() >= w.lossy {
		w.mail = append(w.mail, message{w.now.Add(w.latency + time.Duration(w.random.Int64N(int64(w.latency)))), to, from, do})
	}
}

func (w *world) stepHost(n *node) {
	for team, s := range n.teams {
		for p := s.perSecond * step.Seconds(); p > 0 && w.random.Float64() < p; p-- {
			w.request(n, team, s.cost(w.random))
		}
	}
	if at, ok := n.host.NextCall(w.now); ok && !at.After(w.now) {
		w.call(n)
	}
	for id, d := range n.host.TakeDecided(w.now) {
		r := n.waiting[id]
		delete(n.waiting, id)
		if d.Result == rates.Admitted {
			w.admitted(n, r, d.At)
		}
	}
}

func (w *world) request(n *node, team string, cost float64) {
	w.wanted[team] += cost
	w.arrivals[team] = append(w.arrivals[team], arrival{w.now, n, cost})
	switch d, id := n.host.Admit(w.now, team, cost, patience); d.Result {
	case rates.Admitted:
		w.admitted(n, request{team, cost}, d.At)
	case rates.Waiting:
		n.waiting[id] = request{team, cost}
	}
}

// admitted runs a request, or returns its credit later.
func (w *world) admitted(n *node, r request, at time.Time) {
	if w.random.Float64() >= w.returns {
		w.runs[r.team] = append(w.runs[r.team], run{at, r.cost})
		return
	}
	host := n.host
	w.mail = append(w.mail, message{w.now.Add(time.Duration(w.random.Int64N(int64(w.settleMax)))), n, nil, func() { host.Return(w.now, r.team, r.cost, at) }})
}

func (w *world) call(n *node) {
	host, fence := n.host, n.fence
	w.calls++
	c := host.Begin(w.now)
	w.mail = append(w.mail, message{w.now.Add(rates.CallTimeout), n, nil, func() { host.Failed(w.now, c.Seq) }})
	for _, t := range w.lenders {
		if t.fence != fence {
			continue
		}
		w.send(n, t.host, func() {
			if t.host.incarnation != t.incarnation || t.host.fence != fence {
				return
			}
			for _, m := range w.hosts {
				if ready, _ := t.lender.Ready(w.now); ready && !m.stoppingAt.IsZero() && w.now.Sub(m.stoppingAt) > newsDelay {
					t.lender.MarkGone(m.name)
				}
			}
			reply, err := t.lender.Answer(w.now, c, len(w.hosts), w.now.Before(t.confirmedUntil))
			w.send(t.host, n, func() {
				if err != nil || fence < n.fence {
					host.Failed(w.now, c.Seq)
				} else {
					host.Apply(w.now, reply)
				}
			})
		})
	}
}

func (w *world) checkShares() {
	for team := range w.limits {
		sum := 0.0
		for _, n := range w.hosts {
			if !n.down {
				rate, _, _ := n.host.Held(w.now, team)
				sum += rate
			}
		}
		w.maxShare = max(w.maxShare, sum)
	}
}

// setLimits changes the limits at all hosts within the given time.
func (w *world) setLimits(limits map[string]rates.Limit, within time.Duration) {
	w.limits = limits
	for _, n := range w.hosts {
		w.mail = append(w.mail, message{w.now.Add(time.Duration(w.random.Int64N(int64(within)))), n, nil, func() {
			n.limits = limits
			n.host.SetLimits(w.now, limits)
			for _, t := range w.lenders {
				if t.host == n {
					t.lender.SetLimits(w.now, limits)
				}
			}
		}})
	}
}

// highest returns the highest cost of the requests of a team that ran in any window that begins at from or later.
func (w *world) highest(team string, window time.Duration, from time.Time) float64 {
	list := slices.Clone(w.runs[team])
	slices.SortFunc(list, func(a, b run) int { return a.at.Compare(b.at) })
	sum, most, first := 0.0, 0.0, 0
	for _, r := range list {
		if r.at.Before(from) {
			first++
			continue
		}
		sum += r.cost
		for list[first].at.Add(window).Before(r.at) {
			sum -= list[first].cost
			first++
		}
		most = max(most, sum)
	}
	return most
}

func (w *world) ran(team string) float64 {
	sum := 0.0
	for _, r := range w.runs[team] {
		sum += r.cost
	}
	return sum
}

// spreadDemand divides the requests of a team among the hosts from first on, unevenly.
func (w *world) spreadDemand(team string, perSecond float64, hosts int, cost func(*rand.Rand) float64) {
	sum, weights := 0.0, make([]float64, hosts)
	for i := range weights {
		weights[i] = math.Exp(w.random.NormFloat64() * 0.6)
		sum += weights[i]
	}
	for i, j := range w.random.Perm(len(w.hosts))[:hosts] {
		w.hosts[j].teams[team] = &source{perSecond * weights[i] / sum, cost}
	}
}

func tokens(r *rand.Rand) float64 { return 650 + r.Float64()*1000 }
