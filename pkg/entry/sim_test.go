package entry

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/fireflycleat/fireflycleat/pkg/retry"
	"github.com/fireflycleat/fireflycleat/pkg/route"
	"github.com/fireflycleat/fireflycleat/pkg/spec"
)

const (
	simDelay          = time.Millisecond // one-way network delay
	simReportInterval = 500 * time.Millisecond
	simTokenTime      = 10 * time.Millisecond
)

// sim simulates several entry hosts and engines in virtual time. Load reports lag by up to a second.
type sim struct {
	now          time.Time
	events       simEvents
	random       *rand.Rand
	hosts        []*Entry
	wakes        []time.Time
	engines      []*engine
	jobs         map[uint64]*job
	nextID       uint64
	retryRefused bool // set when refused callers retry once, at the given time
	sends        int
	hedges       int
}

type simEvent struct {
	at time.Time
	do func()
}

type simEvents []simEvent

func (h simEvents) Len() int           { return len(h) }
func (h simEvents) Less(i, j int) bool { return h[i].at.Before(h[j].at) }
func (h simEvents) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }
func (h *simEvents) Push(x any)        { *h = append(*h, x.(simEvent)) }
func (h *simEvents) Pop() any {
	old := *h
	e := old[len(old)-1]
	*h = old[:len(old)-1]
	return e
}

// job is a call from the point of view of its caller.
type job struct {
	Request
	host, tokens  int
	resumes       int
	arrived       time.Time
	timeout       time.Duration // deadline for the first token, relative to the arrival
	first         time.Duration // time to the first token; zero means none
	live, isRetry bool
	done          bool
	refused       time.Duration // retry time of a refusal plus 1 ns; zero means not refused
	retryID       uint64        // ID of the retry after a refusal
}

type engine struct {
	s        *sim
	name     string
	slots    int
	slowdown float64
	running  []*engineAttempt
	waiting  []*engineAttempt
}

// engineAttempt is the state of an attempt at its engine.
type engineAttempt struct {
	id        uint64
	number    int
	host      int
	priority  spec.Urgency
	remaining time.Duration // remaining work at normal speed
	prefill   time.Duration // work until the first token
	total     int
	at        time.Time
	version   int
	first     bool
}

func newSim(seed uint64, hosts, engines, slots int) *sim {
	s := &sim{now: epoch, random: rand.New(rand.NewPCG(seed, 3)), jobs: make(map[uint64]*job)}
	var rs []route.Replica
	for i := range engines {
		e := &engine{s: s, name: fmt.Sprintf("u%d", i), slots: slots, slowdown: 1}
		s.engines = append(s.engines, e)
		rs = append(rs, route.Replica{Upstream: e.name, DataCentre: "dc0", Model: "m0", Slots: slots, Ready: true})
		s.after(time.Duration(s.random.Int64N(int64(simReportInterval))), e.report)
	}
	for i := range hosts {
		e := New(Defaults("c0", "dc0"), testView("m0"), rand.New(rand.NewPCG(seed, uint64(i))))
		s.hosts, s.wakes = append(s.hosts, e), append(s.wakes, time.Time{})
		s.handle(i, Hosts{Live: hosts, Near: hosts, Index: i})
		if engines > 0 {
			s.handle(i, Directory{Cell: "c0", Seq: 1, Replicas: rs})
		}
	}
	return s
}

func (s *sim) after(d time.Duration, do func()) { heap.Push(&s.events, simEvent{s.now.Add(d), do}) }

func (s *sim) run(d time.Duration) {
	end := s.now.Add(d)
	for len(s.events) > 0 && !s.events[0].at.After(end) {
		ev := heap.Pop(&s.events).(simEvent)
		s.now = ev.at
		ev.do()
	}
	s.now = end
}

func (s *sim) handle(host int, ev Event) {
	for _, a := range s.hosts[host].Handle(s.now, ev) {
		switch a := a.(type) {
		case Wake:
			s.wakes[host] = a.At
			s.after(a.At.Sub(s.now), func() {
				if s.wakes[host].Equal(a.At) {
					s.handle(host, Tick{})
				}
			})
		case Send:
			s.sends++
			if a.Attempt > 1 && a.ResumeFrom == 0 {
				s.hedges++
			}
			j := s.jobs[a.ID]
			if a.ResumeFrom > 0 {
				j.resumes++
			}
			attempt := &engineAttempt{id: a.ID, number: a.Attempt, host: host, priority: a.Priority, total: j.tokens}
			attempt.prefill = time.Duration(30+s.random.IntN(40)) * time.Millisecond
			attempt.remaining = attempt.prefill + time.Duration(j.tokens-a.ResumeFrom)*simTokenTime
			s.after(simDelay, func() { s.engine(a.Upstream).add(attempt) })
		case Cancel:
			s.after(simDelay, func() { s.engine(a.Upstream).cancel(a.ID, a.Attempt) })
		case Deliver:
			if j := s.jobs[a.ID]; j.first == 0 {
				j.first = s.now.Sub(j.arrived)
			}
		case SendNotices:
			for o := range s.hosts {
				if o != host {
					s.after(simDelay, func() { s.handle(o, PeerNotices(a)) })
				}
			}
		case Complete:
			s.jobs[a.ID].done = true
		case Refuse:
			s.refused(a)
		}
	}
}

func (s *sim) refused(a Refuse) {
	j := s.jobs[a.ID]
	j.refused = a.RetryAfter + 1
	if s.retryRefused && !j.isRetry {
		s.after(a.RetryAfter+simDelay, func() {
			r := *j
			r.isRetry, r.first, r.refused = true, 0, 0
			j.retryID = s.arrive(r)
		})
	}
}

func (s *sim) arrive(j job) uint64 {
	s.nextID++
	id := s.nextID
	j.arrived, j.Deadline = s.now, s.now.Add(j.timeout)
	if j.Fingerprint == 0 {
		j.Fingerprint = id
	}
	s.jobs[id] = &j
	s.handle(j.host, Arrive{id, j.Request})
	return id
}

// load generates calls as a Poisson process for the given time.
func (s *sim) load(rate float64, d time.Duration, u spec.Urgency, tokens int, timeout time.Duration) {
	end := s.now.Add(d)
	var next func()
	next = func() {
		if s.now.After(end) {
			return
		}
		j := job{tokens: tokens/2 + s.random.IntN(tokens+1), timeout: timeout, host: s.random.IntN(len(s.hosts))}
		j.Request = Request{Model: "m0", Urgency: u, Repeatable: true, MaxTokens: 2 * tokens}
		s.arrive(j)
		s.after(time.Duration(s.random.ExpFloat64()/rate*float64(time.Second)), next)
	}
	s.after(0, next)
}

func (s *sim) engine(name string) *engine {
	return s.engines[slices.IndexFunc(s.engines, func(e *engine) bool { return e.name == name })]
}

func (e *engine) report() {
	r := Report{Upstream: e.name, Model: "m0", Running: len(e.running), Waiting: len(e.waiting), Slots: e.slots, At: e.s.now}
	for h := range e.s.hosts {
		e.s.after(time.Duration(e.s.random.Int64N(int64(time.Second))), func() { e.s.handle(h, r) })
	}
	e.s.after(simReportInterval, e.report)
}

func (e *engine) add(a *engineAttempt) {
	e.waiting = append(e.waiting, a)
	slices.SortStableFunc(e.waiting, func(a, b *engineAttempt) int { return int(a.priority - b.priority) })
	e.start()
}

func (e *engine) start() {
	for len(e.running) < e.slots && len(e.waiting) > 0 {
		a := e.waiting[0]
		e.waiting = e.waiting[1:]
		a.at = e.s.now
		e.running = append(e.running, a)
		e.scheduleNext(a)
	}
}

// scheduleNext schedules the next event of a running attempt: its first token, a progress report or its end.
func (e *engine) scheduleNext(a *engineAttempt) {
	a.version++
	version := a.version
	step := min(a.remaining, 250*time.Millisecond)
	if !a.first {
		step = a.prefill
	}
	e.s.after(time.Duration(float64(step)*e.slowdown), func() {
		if a.version != version {
			return
		}
		a.remaining -= step
		a.at = e.s.now
		switch {
		case !a.first:
			a.first = true
			e.notify(a, FirstToken{a.id, a.number})
		case a.remaining > 0:
			e.notify(a, Progress{a.id, a.number, a.index()})
		}
		if a.remaining > 0 {
			e.scheduleNext(a)
			return
		}
		e.end(a, retry.Done)
	})
}

func (a *engineAttempt) index() int { return a.total - int((a.remaining+simTokenTime-1)/simTokenTime) }

func (e *engine) notify(a *engineAttempt, ev Event) {
	e.s.after(simDelay, func() { e.s.handle(a.host, ev) })
}

func (e *engine) end(a *engineAttempt, r retry.Result) {
	a.version++
	same := func(o *engineAttempt) bool { return o == a }
	e.running, e.waiting = slices.DeleteFunc(e.running, same), slices.DeleteFunc(e.waiting, same)
	tokens := 0
	if a.first {
		tokens = a.index()
	}
	e.notify(a, AttemptEnded{a.id, a.number, r, tokens})
	e.start()
}

func (e *engine) cancel(id uint64, number int) {
	for _, t := range slices.Concat(e.running, e.waiting) {
		if t.id == id && t.number == number {
			e.end(t, retry.Cancelled)
		}
	}
}

// tally sums up the calls of a class that arrived in a given part of the run.
type tally struct {
	calls, inTime, late, refused, done, retried, servedOnRetry int
	firstTimes                                                 []time.Duration
	work                                                       float64
}

func (s *sim) tally(u spec.Urgency, from, to time.Duration) tally {
	var t tally
	for _, j := range s.jobs {
		at := j.arrived.Sub(epoch)
		if j.Urgency != u || at < from || at >= to {
			continue
		}
		if !j.isRetry {
			t.calls++
		}
		switch {
		case j.first > 0 && j.first <= j.timeout+simDelay:
			t.inTime++
			t.work += float64(j.tokens)
		case j.first > 0:
			t.late++
		}
		if j.first > 0 {
			t.firstTimes = append(t.firstTimes, j.first)
		}
		if j.done {
			t.done++
		}
		if j.refused > 0 && !j.isRetry {
			t.refused++
			if retryJob := s.jobs[j.retryID]; retryJob != nil {
				t.retried++
				if retryJob.first > 0 {
					t.servedOnRetry++
				}
			}
		}
	}
	slices.Sort(t.firstTimes)
	return t
}

func (t tally) quantile(q float64) time.Duration {
	if len(t.firstTimes) == 0 {
		return 0
	}
	return t.firstTimes[min(int(q*float64(len(t.firstTimes))), len(t.firstTimes)-1)]
}

func (t tally) String() string {
	return fmt.Sprintf("calls %d, in time %d, late %d, refused %d, done %d, retried %d, served on retry %d, p50 %v, p99 %v", t.calls, t.inTime,
		t.late, t.refused, t.done, t.retried, t.servedOnRetry, t.quantile(0.5), t.quantile(0.99))
}
