package entry

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/fireflycleat/fireflycleat/pkg/codes"
	"github.com/fireflycleat/fireflycleat/pkg/retry"
	"github.com/fireflycleat/fireflycleat/pkg/route"
	"github.com/fireflycleat/fireflycleat/pkg/spec"
)

// randomSim drives one Entry with random events and checks every action against its own record of the calls.
type randomSim struct {
	e             *Entry
	draw          func(n int) int
	now           time.Time
	wake          time.Time
	nextID        uint64
	seq           [2]int64
	calls         map[uint64]*callRecord
	openAttempts  []*attemptRecord
	endedAttempts []*attemptRecord
	unavailable   map[string]int // 1 means leaving, 2 means gone
	listed        [2][]route.Replica
	demands       map[string]time.Time
	sends         int
	hedges        int
	failure       string
	withModel     bool
}

type callRecord struct {
	Request
	ended, done, started bool
	tokens, preempted    int
	attempts             []*attemptRecord
	notRun               int
}

type attemptRecord struct {
	id                         uint64
	number                     int
	upstream                   string
	first, ended, cancelled    bool
	delivers, gone, mayPreempt bool
}

var (
	epoch      = time.Unix(1_700_000_000, 0)
	modelNames = []string{"m0", "m1", "m2"}
)

func testView(models ...string) *spec.View {
	var ts []spec.Template
	for _, m := range models {
		ts = append(ts, spec.Template{Name: m, Kind: spec.ModelTemplate, Model: &spec.Model{
			Version: "1", MaxReplicas: 4, Slots: 4, LoadMillis: 2000, TokenMicros: 10000,
		}})
	}
	return spec.NewView(1, ts, []spec.Team{{Name: "t0", MaxInFlight: 40}, {Name: "t1", MaxInFlight: 6}, {Name: "t2"}})
}

func newRandomSim(draw func(n int) int, seed uint64, m mutant) *randomSim {
	s := &randomSim{
		draw: draw, now: epoch, calls: make(map[uint64]*callRecord), unavailable: make(map[string]int),
		demands: make(map[string]time.Time), withModel: true,
	}
	s.e = New(Defaults("c0", "dc0"), testView(modelNames...), rand.New(rand.NewPCG(seed, 1)))
	s.e.mutant = m
	return s
}

func (s *randomSim) failf(format string, args ...any) {
	if s.failure == "" {
		s.failure = fmt.Sprintf("%v: ", s.now.Sub(epoch)) + fmt.Sprintf(format, args...)
	}
}

// advance advances the time and delivers each requested Tick.
func (s *randomSim) advance(d time.Duration) {
	end := s.now.Add(d)
	for n := 0; !s.wake.IsZero() && !s.wake.After(end); n++ {
		if n > 10000 {
			s.failf("more than 10000 ticks in one advance")
			return
		}
		s.now = later(s.now, s.wake)
		s.wake = time.Time{}
		s.handle(Tick{})
	}
	s.now = end
}

func (s *randomSim) handle(ev Event) {
	for _, a := range s.e.Handle(s.now, ev) {
		s.check(ev, a)
	}
	s.checkQueues()
}

func (s *randomSim) check(ev Event, a Action) {
	switch a := a.(type) {
	case Wake:
		if a.At.Before(s.now) {
			s.failf("Wake is in the past")
		}
		s.wake = a.At
	case Send:
		s.checkSend(a)
	case Cancel:
		attempt := s.attempt(a.ID, a.Attempt)
		if attempt == nil || attempt.ended && !attempt.gone {
			s.failf("Cancel for an unknown or ended attempt: %+v", a)
			return
		}
		c := s.calls[a.ID]
		_, left := ev.(Abandoned)
		if attempt.delivers && !c.ended && !attempt.gone && !left {
			if c.preempted++; c.preempted > s.e.settings.MaxPreemptions {
				s.failf("call %d preempted more than MaxPreemptions times", a.ID)
			}
		}
		attempt.cancelled = true
	case Deliver:
		c, attempt := s.calls[a.ID], s.attempt(a.ID, a.Attempt)
		if c.ended || attempt == nil || attempt.cancelled {
			s.failf("Deliver for an ended call or an unknown or cancelled attempt: %+v", a)
			return
		}
		attempt.delivers, c.started = true, true
	case Complete:
		c := s.calls[a.ID]
		if !c.done {
			s.failf("call %d completed without a complete answer", a.ID)
		}
		s.end(a.ID)
	case Refuse:
		s.end(a.ID)
		c := s.calls[a.ID]
		if a.Outcome == codes.NotRun && len(c.attempts) != c.notRun {
			s.failf("call %d is refused as not run, but an attempt may have run", a.ID)
		}
		if a.RetryAfter < 0 {
			s.failf("negative RetryAfter")
		}
	case Demand:
		k := a.Model + "/" + a.Adapter
		if at, ok := s.demands[k]; ok && s.now.Sub(at) < s.e.settings.DemandInterval {
			s.failf("Demand for %s sent again after %v, less than DemandInterval", k, s.now.Sub(at))
		}
		s.demands[k] = s.now
	}
}

func (s *randomSim) end(id uint64) {
	c := s.calls[id]
	if c.ended {
		s.failf("call %d ended twice", id)
	}
	c.ended = true
}

func (s *randomSim) checkSend(a Send) {
	c := s.calls[a.ID]
	s.sends++
	if c.ended {
		s.failf("Send for the ended call %d", a.ID)
	}
	if s.unavailable[a.Upstream] != 0 {
		s.failf("Send to the leaving or gone upstream %s", a.Upstream)
	}
	if !s.hasReplica(a.Upstream, c.Model, c.Adapter) {
		s.failf("Send for %s/%s to %s, which has no such replica", c.Model, c.Adapter, a.Upstream)
	}
	if !c.Repeatable && len(c.attempts) != c.notRun {
		s.failf("second Send for call %d, which is not repeatable", a.ID)
	}
	if a.ResumeFrom != c.tokens {
		s.failf("call %d resumes from %d, not %d", a.ID, a.ResumeFrom, c.tokens)
	}
	for _, t := range c.attempts {
		if t.number == a.Attempt {
			s.failf("attempt number %d used twice", a.Attempt)
		}
		if !t.ended && !t.cancelled {
			if s.hedges++; float64(s.hedges) > 0.05*float64(s.sends) {
				s.failf("%d hedges in %d sends", s.hedges, s.sends)
			}
		}
	}
	attempt := &attemptRecord{id: a.ID, number: a.Attempt, upstream: a.Upstream}
	c.attempts = append(c.attempts, attempt)
	s.openAttempts = append(s.openAttempts, attempt)
}

func (s *randomSim) hasReplica(upstream, model, adapter string) bool {
	for _, cell := range s.listed {
		for _, r := range cell {
			if r.Upstream == upstream && r.Model == model && r.Ready && (adapter == "" || len(r.Adapters) > 0) {
				return true
			}
		}
	}
	return false
}

func (s *randomSim) attempt(id uint64, number int) *attemptRecord {
	if c := s.calls[id]; c != nil {
		for _, t := range c.attempts {
			if t.number == number {
				return t
			}
		}
	}
	return nil
}

// checkQueues checks that no waiting call is predicted to be late, and that a Tick is scheduled no later than the time at which a
// call would be.
func (s *randomSim) checkQueues() {
	for _, q := range s.e.queues {
		p := s.e.predict(s.now, q)
		for i, c := range q.calls {
			if c.state != queued || s.calls[c.id].ended {
				s.failf("call %d is in the queue after its end", c.id)
			}
			at, _ := s.e.refuseAt(s.now, q, &p, c, i, keepMargin)
			if !at.After(s.now) {
				s.failf("call %d waits although it can no longer start in time", c.id)
			} else if s.wake.IsZero() || s.wake.After(at) {
				s.failf("no Tick scheduled for the refusal of call %d", c.id)
			}
		}
	}
}

func (s *randomSim) step() {
	upstream := func() string { return fmt.Sprintf("u%d", s.draw(5)) }
	switch k := s.draw(24); k {
	case 0, 1:
		s.advance(time.Duration(s.draw(3000)) * time.Millisecond)
	case 2, 3:
		s.advance(time.Duration(s.draw(100)) * time.Millisecond)
	case 4, 5, 6, 7, 8:
		s.arrive()
	case 9, 10:
		s.directory(s.draw(2))
	case 11:
		s.handle(Report{
			Upstream: upstream(), Model: modelNames[s.draw(3)], Running: s.draw(6), Waiting: s.draw(3), Slots: s.draw(2) * 4,
			At: s.now.Add(-time.Duration(s.draw(2000)-100) * time.Millisecond),
		})
	case 12:
		s.handle(Forecast{
			Model: modelNames[s.draw(3)], Adapter: []string{"", "a"}[s.draw(2)], Refused: s.draw(3) == 0,
			ReadyAt: s.now.Add(time.Duration(s.draw(5000)) * time.Millisecond), RetryAfter: time.Second,
		})
	case 13:
		u := upstream()
		s.unavailable[u] = max(s.unavailable[u], 1)
		s.handle(UpstreamLeaving{u})
	case 14:
		u := upstream()
		s.unavailable[u] = 2
		for _, t := range s.openAttempts {
			t.gone = t.gone || t.upstream == u
		}
		s.handle(UpstreamGone{u})
	case 15, 16:
		u := upstream()
		delete(s.unavailable, u)
		s.handle(UpstreamLive{u})
	case 17:
		if s.nextID > 0 {
			s.handle(Abandoned{uint64(s.draw(int(s.nextID))) + 1})
		}
	case 18:
		s.withModel = !s.withModel
		s.handle(ViewChanged{testView(modelNames[:2+boolToInt(s.withModel)]...)})
	case 19:
		s.handle(Hosts{Live: s.draw(4), Near: s.draw(4), Index: s.draw(3)})
	case 20:
		if len(s.endedAttempts) > 0 { // late duplicate
			attempt := s.endedAttempts[s.draw(len(s.endedAttempts))]
			s.handle([]Event{
				FirstToken{attempt.id, attempt.number},
				AttemptEnded{attempt.id, attempt.number, retry.Result(s.draw(5)), 3},
				Progress{attempt.id, attempt.number, 9},
			}[s.draw(3)])
		}
	default:
		s.attemptStep(retry.Result(s.draw(5)))
	}
}

func boolToInt(b bool) int {
	if b {
		return 1
	}
	return 0
}

func (s *randomSim) arrive() {
	s.nextID++
	r := Request{
		Team: fmt.Sprintf("t%d", s.draw(4)), Model: modelNames[s.draw(3)], Urgency: spec.Urgency(s.draw(3)),
		Deadline:   s.now.Add(time.Duration(s.draw(8000)-50) * time.Millisecond),
		Repeatable: s.draw(4) > 0, Fingerprint: uint64(s.draw(20)), MaxTokens: 100,
	}
	if s.draw(3) == 0 {
		r.Adapter = "a"
	}
	s.calls[s.nextID] = &callRecord{Request: r}
	s.handle(Arrive{s.nextID, r})
}

func (s *randomSim) directory(cell int) {
	stale := s.seq[cell] > 0 && s.draw(5) == 0
	if !stale {
		s.seq[cell]++
	}
	seq := s.seq[cell]
	var rs []route.Replica
	for u := cell; u < 5; u += 2 {
		for _, m := range modelNames {
			if s.draw(3) > 0 {
				r := route.Replica{
					Upstream: fmt.Sprintf("u%d", u), DataCentre: fmt.Sprintf("dc%d", cell), Model: m, Slots: 1 + s.draw(4),
					Ready: s.draw(4) > 0, ReadyAt: s.now.Add(time.Second),
				}
				if s.draw(2) == 0 {
					r.Adapters = []string{"a"}
				}
				rs = append(rs, r)
			}
		}
	}
	if !stale {
		s.listed[cell] = rs
	}
	s.handle(Directory{Cell: fmt.Sprintf("c%d", cell), Seq: seq, Replicas: rs})
}

// attemptStep advances one open attempt: a first token, progress or an end, possibly without a first token.
func (s *randomSim) attemptStep(r retry.Result) {
	if len(s.openAttempts) == 0 {
		return
	}
	i := s.draw(len(s.openAttempts))
	attempt := s.openAttempts[i]
	c := s.calls[attempt.id]
	switch {
	case !attempt.first && s.draw(3) > 0:
		attempt.first = true
		s.handle(FirstToken{attempt.id, attempt.number})
		return
	case attempt.delivers && !c.ended && !attempt.cancelled && s.draw(3) == 0:
		c.tokens += s.draw(20) + 1
		s.handle(Progress{attempt.id, attempt.number, c.tokens})
		return
	}
	if attempt.first && r == retry.NotRun || attempt.cancelled && r != retry.Done {
		r = retry.Cancelled
	}
	s.finish(i, r)
}

func (s *randomSim) finish(i int, r retry.Result) {
	attempt := s.openAttempts[i]
	c := s.calls[attempt.id]
	s.openAttempts = append(s.openAttempts[:i], s.openAttempts[i+1:]...)
	s.endedAttempts = append(s.endedAttempts, attempt)
	attempt.ended = true
	if r == retry.NotRun {
		c.notRun++
	}
	c.done = c.done || r == retry.Done
	tokens := c.tokens
	if attempt.delivers {
		tokens += s.draw(3)
		c.tokens = tokens
	}
	s.handle(AttemptEnded{attempt.id, attempt.number, r, tokens})
}

// drain ends all attempts and checks that every call has ended and nothing is leaked.
func (s *randomSim) drain() {
	s.handle(Drain{})
	for range 100 {
		for len(s.openAttempts) > 0 {
			s.finish(0, retry.Done)
		}
		s.advance(2 * time.Second)
	}
	s.advance(20 * time.Minute)
	for id, c := range s.calls {
		if !c.ended {
			s.failf("call %d did not end", id)
		}
	}
	for _, q := range s.e.queues {
		if !q.empty() || len(q.calls)+len(q.preemptible) > 0 || s.e.InFlight(q.model) != 0 {
			s.failf("queue of %s is not empty: %d calls, %d forecasts, %d demands, %d retry slots", q.model, q.openCalls, len(q.forecasts),
				len(q.demands), q.outstandingRetries())
		}
	}
	if s.e.Calls() != 0 || len(s.e.timers) != 0 || s.e.quota.Total() != 0 {
		s.failf("after drain: %d calls, %d timers, %d requests in quota", s.e.Calls(), len(s.e.timers), s.e.quota.Total())
	}
}
