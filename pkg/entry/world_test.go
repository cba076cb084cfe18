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

// world drives one Entry with random events and checks every action against its own record of what happened.
type world struct {
	e         *Entry
	draw      func(n int) int
	now       time.Time
	wake      time.Time
	nextID    uint64
	seq       [2]int64
	calls     map[uint64]*seen
	open      []*try
	ended     []*try
	down      map[string]int // 1 is leaving, 2 is gone.
	listed    [2][]route.Replica
	demands   map[string]time.Time
	sends     int
	hedges    int
	fault     string
	withModel bool
}

type seen struct {
	Request
	ended, done, started bool
	tokens, preempted    int
	tries                []*try
	notRun               int
}

type try struct {
	id                         uint64
	number                     int
	upstream                   string
	first, over, cancelled     bool
	delivers, gone, mayPreempt bool
}

var (
	epoch    = time.Unix(1_700_000_000, 0)
	modelNow = []string{"m0", "m1", "m2"}
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

func newWorld(draw func(n int) int, seed uint64, m mutant) *world {
	w := &world{
		draw: draw, now: epoch, calls: make(map[uint64]*seen), down: make(map[string]int),
		demands: make(map[string]time.Time), withModel: true,
	}
	w.e = New(Defaults("c0", "dc0"), testView(modelNow...), rand.New(rand.NewPCG(seed, 1)))
	w.e.mutant = m
	return w
}

func (w *world) failf(format string, args ...any) {
	if w.fault == "" {
		w.fault = fmt.Sprintf("%v: ", w.now.Sub(epoch)) + fmt.Sprintf(format, args...)
	}
}

// advance moves the time and delivers each Tick that was asked for on the way.
func (w *world) advance(d time.Duration) {
	end := w.now.Add(d)
	for n := 0; !w.wake.IsZero() && !w.wake.After(end); n++ {
		if n > 10000 {
			w.failf("endless ticks")
			return
		}
		w.now = later(w.now, w.wake)
		w.wake = time.Time{}
		w.handle(Tick{})
	}
	w.now = end
}

func (w *world) handle(ev Event) {
	for _, a := range w.e.Handle(w.now, ev) {
		w.check(ev, a)
	}
	w.inspect()
}

func (w *world) check(ev Event, a Action) {
	switch a := a.(type) {
	case Wake:
		if a.At.Before(w.now) {
			w.failf("wake in the past")
		}
		w.wake = a.At
	case Send:
		w.checkSend(a)
	case Cancel:
		t := w.find(a.ID, a.Attempt)
		if t == nil || t.over && !t.gone {
			w.failf("cancel of an unknown attempt %+v", a)
			return
		}
		c := w.calls[a.ID]
		_, left := ev.(Abandoned)
		if t.delivers && !c.ended && !t.gone && !left {
			if c.preempted++; c.preempted > w.e.settings.MaxPreemptions {
				w.failf("call %d preempted without limit", a.ID)
			}
		}
		t.cancelled = true
	case Deliver:
		c, t := w.calls[a.ID], w.find(a.ID, a.Attempt)
		if c.ended || t == nil || t.cancelled {
			w.failf("deliver of %+v", a)
			return
		}
		t.delivers, c.started = true, true
	case Complete:
		c := w.calls[a.ID]
		if !c.done {
			w.failf("call %d completed without a whole answer", a.ID)
		}
		w.end(a.ID)
	case Refuse:
		w.end(a.ID)
		c := w.calls[a.ID]
		if a.Outcome == codes.NotRun && len(c.tries) != c.notRun {
			w.failf("call %d is said to be not run", a.ID)
		}
		if a.RetryAfter < 0 {
			w.failf("negative retry time")
		}
	case Demand:
		k := a.Model + "/" + a.Adapter
		if at, ok := w.demands[k]; ok && w.now.Sub(at) < w.e.settings.DemandInterval {
			w.failf("demand for %s after %v", k, w.now.Sub(at))
		}
		w.demands[k] = w.now
	}
}

func (w *world) end(id uint64) {
	c := w.calls[id]
	if c.ended {
		w.failf("call %d ended twice", id)
	}
	c.ended = true
}

func (w *world) checkSend(a Send) {
	c := w.calls[a.ID]
	w.sends++
	if c.ended {
		w.failf("send of the ended call %d", a.ID)
	}
	if w.down[a.Upstream] != 0 {
		w.failf("send to the leaving or gone upstream %s", a.Upstream)
	}
	if !w.lists(a.Upstream, c.Model, c.Adapter) {
		w.failf("send of %s/%s to %s, which does not have it", c.Model, c.Adapter, a.Upstream)
	}
	if !c.Repeatable && len(c.tries) != c.notRun {
		w.failf("second send of call %d, which may not be repeated", a.ID)
	}
	if a.ResumeFrom != c.tokens {
		w.failf("call %d resumes from %d, not %d", a.ID, a.ResumeFrom, c.tokens)
	}
	for _, t := range c.tries {
		if t.number == a.Attempt {
			w.failf("attempt number %d used twice", a.Attempt)
		}
		if !t.over && !t.cancelled {
			if w.hedges++; float64(w.hedges) > 0.05*float64(w.sends) {
				w.failf("%d hedges in %d sends", w.hedges, w.sends)
			}
		}
	}
	t := &try{id: a.ID, number: a.Attempt, upstream: a.Upstream}
	c.tries = append(c.tries, t)
	w.open = append(w.open, t)
}

func (w *world) lists(upstream, model, adapter string) bool {
	for _, cell := range w.listed {
		for _, r := range cell {
			if r.Upstream == upstream && r.Model == model && r.Ready && (adapter == "" || len(r.Adapters) > 0) {
				return true
			}
		}
	}
	return false
}

func (w *world) find(id uint64, number int) *try {
	if c := w.calls[id]; c != nil {
		for _, t := range c.tries {
			if t.number == number {
				return t
			}
		}
	}
	return nil
}

// inspect checks the machine's state: no waiting call whose prediction fails, and a Tick before the next one would.
func (w *world) inspect() {
	for _, q := range w.e.queues {
		o := w.e.outlook(w.now, q)
		for i, c := range q.calls {
			if c.state != queued || w.calls[c.id].ended {
				w.failf("call %d is in the queue after its end", c.id)
			}
			at, _ := w.e.failAt(w.now, q, &o, c, i, keepMargin)
			if !at.After(w.now) {
				w.failf("call %d waits although it cannot be in time", c.id)
			} else if w.wake.IsZero() || w.wake.After(at) {
				w.failf("no tick when call %d can no longer be in time", c.id)
			}
		}
	}
}

func (w *world) step() {
	upstream := func() string { return fmt.Sprintf("u%d", w.draw(5)) }
	switch k := w.draw(24); k {
	case 0, 1:
		w.advance(time.Duration(w.draw(3000)) * time.Millisecond)
	case 2, 3:
		w.advance(time.Duration(w.draw(100)) * time.Millisecond)
	case 4, 5, 6, 7, 8:
		w.arrive()
	case 9, 10:
		w.directory(w.draw(2))
	case 11:
		w.handle(Report{
			Upstream: upstream(), Model: modelNow[w.draw(3)], Running: w.draw(6), Waiting: w.draw(3), Slots: w.draw(2) * 4,
			At: w.now.Add(-time.Duration(w.draw(2000)-100) * time.Millisecond),
		})
	case 12:
		w.handle(Forecast{
			Model: modelNow[w.draw(3)], Adapter: []string{"", "a"}[w.draw(2)], Refused: w.draw(3) == 0,
			ReadyAt: w.now.Add(time.Duration(w.draw(5000)) * time.Millisecond), RetryAfter: time.Second,
		})
	case 13:
		u := upstream()
		w.down[u] = max(w.down[u], 1)
		w.handle(UpstreamLeaving{u})
	case 14:
		u := upstream()
		w.down[u] = 2
		for _, t := range w.open {
			t.gone = t.gone || t.upstream == u
		}
		w.handle(UpstreamGone{u})
	case 15, 16:
		u := upstream()
		delete(w.down, u)
		w.handle(UpstreamLive{u})
	case 17:
		if w.nextID > 0 {
			w.handle(Abandoned{uint64(w.draw(int(w.nextID))) + 1})
		}
	case 18:
		w.withModel = !w.withModel
		w.handle(ViewChanged{testView(modelNow[:2+b2i(w.withModel)]...)})
	case 19:
		w.handle(Hosts{Live: w.draw(4), Near: w.draw(4), Index: w.draw(3)})
	case 20:
		if len(w.ended) > 0 { // A late duplicate.
			t := w.ended[w.draw(len(w.ended))]
			w.handle([]Event{
				FirstToken{t.id, t.number}, AttemptEnded{t.id, t.number, retry.Result(w.draw(5)), 3}, Progress{t.id, t.number, 9},
			}[w.draw(3)])
		}
	default:
		w.attemptStep(retry.Result(w.draw(5)))
	}
}

func b2i(b bool) int {
	if b {
		return 1
	}
	return 0
}

func (w *world) arrive() {
	w.nextID++
	r := Request{
		Team: fmt.Sprintf("t%d", w.draw(4)), Model: modelNow[w.draw(3)], Urgency: spec.Urgency(w.draw(3)),
		Deadline:   w.now.Add(time.Duration(w.draw(8000)-50) * time.Millisecond),
		Repeatable: w.draw(4) > 0, Fingerprint: uint64(w.draw(20)), MaxTokens: 100,
	}
	if w.draw(3) == 0 {
		r.Adapter = "a"
	}
	w.calls[w.nextID] = &seen{Request: r}
	w.handle(Arrive{w.nextID, r})
}

func (w *world) directory(cell int) {
	stale := w.seq[cell] > 0 && w.draw(5) == 0
	if !stale {
		w.seq[cell]++
	}
	seq := w.seq[cell]
	var rs []route.Replica
	for u := cell; u < 5; u += 2 {
		for _, m := range modelNow {
			if w.draw(3) > 0 {
				r := route.Replica{
					Upstream: fmt.Sprintf("u%d", u), DataCentre: fmt.Sprintf("dc%d", cell), Model: m, Slots: 1 + w.draw(4),
					Ready: w.draw(4) > 0, ReadyAt: w.now.Add(time.Second),
				}
				if w.draw(2) == 0 {
					r.Adapters = []string{"a"}
				}
				rs = append(rs, r)
			}
		}
	}
	if !stale {
		w.listed[cell] = rs
	}
	w.handle(Directory{Cell: fmt.Sprintf("c%d", cell), Seq: seq, Replicas: rs})
}

// attemptStep lets one open attempt go on: a first token, progress or an end, also without a first token.
func (w *world) attemptStep(r retry.Result) {
	if len(w.open) == 0 {
		return
	}
	i := w.draw(len(w.open))
	t := w.open[i]
	c := w.calls[t.id]
	switch {
	case !t.first && w.draw(3) > 0:
		t.first = true
		w.handle(FirstToken{t.id, t.number})
		return
	case t.delivers && !c.ended && !t.cancelled && w.draw(3) == 0:
		c.tokens += w.draw(20) + 1
		w.handle(Progress{t.id, t.number, c.tokens})
		return
	}
	if t.first && r == retry.NotRun || t.cancelled && r != retry.Done {
		r = retry.Cancelled
	}
	w.finish(i, r)
}

func (w *world) finish(i int, r retry.Result) {
	t := w.open[i]
	c := w.calls[t.id]
	w.open = append(w.open[:i], w.open[i+1:]...)
	w.ended = append(w.ended, t)
	t.over = true
	if r == retry.NotRun {
		c.notRun++
	}
	c.done = c.done || r == retry.Done
	tokens := c.tokens
	if t.delivers {
		tokens += w.draw(3)
		c.tokens = tokens
	}
	w.handle(AttemptEnded{t.id, t.number, r, tokens})
}

// drain lets everything end and checks that nothing is left.
func (w *world) drain() {
	w.handle(Drain{})
	for range 100 {
		for len(w.open) > 0 {
			w.finish(0, retry.Done)
		}
		w.advance(2 * time.Second)
	}
	w.advance(20 * time.Minute)
	for id, c := range w.calls {
		if !c.ended {
			w.failf("call %d has no end", id)
		}
	}
	for _, q := range w.e.queues {
		if !q.empty() || len(q.calls)+len(q.streams) > 0 || w.e.InFlight(q.model) != 0 {
			w.failf("queue of %s keeps %d calls, %d forecasts, %d demands, %d promises", q.model, q.open, len(q.forecasts),
				len(q.demands), q.promises())
		}
	}
	if w.e.Calls() != 0 || len(w.e.timers) != 0 || w.e.quota.Total() != 0 {
		w.failf("%d calls, %d timers, %d in quota are left", w.e.Calls(), len(w.e.timers), w.e.quota.Total())
	}
}
