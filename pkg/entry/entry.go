package entry

import (
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/fireflycleat/fireflycleat/pkg/quota"
	"github.com/fireflycleat/fireflycleat/pkg/retry"
	"github.com/fireflycleat/fireflycleat/pkg/route"
	"github.com/fireflycleat/fireflycleat/pkg/spec"
)

type (
	// Entry holds the calls to models of one entry host.
	Entry struct {
		settings Settings
		view     *spec.View
		random   *rand.Rand
		table    *route.Table
		quota    *quota.Ledger
		retries  retry.Budget
		hedges   retry.Budget
		hosts    int
		calls    map[uint64]*call
		queues   map[string]*queue
		dirty    []*queue
		timers   timers
		wake     time.Time
		draining bool
		out      []Action
		mutant   mutant
	}

	// mutant switches off single rules; only tests set it.
	mutant struct {
		doubleEnd     bool // A Done of a losing attempt completes the call again.
		resendAll     bool // Failures of calls that are not repeatable are retried.
		lateRefusal   bool // Queued calls are refused at their deadline only.
		freeHedges    bool // Hedges ignore the budget.
		endlessBulk   bool // Bulk streams are preempted without limit.
		noPromise     bool // Retry times are not spread.
		sloppyRelease bool // An abandoned queued call stays in the queue.
	}
)

// New returns a machine without calls. All random numbers come from r.
func New(s Settings, v *spec.View, r *rand.Rand) *Entry {
	e := &Entry{
		settings: s,
		view:     v,
		random:   r,
		table:    route.New(s.Route, s.DataCentre, s.OneWay, v, r),
		quota:    quota.New(),
		retries:  retry.NewBudget(s.RetryShare),
		hedges:   retry.NewHedgeBudget(s.HedgeShare),
		hosts:    1,
		calls:    make(map[uint64]*call),
		queues:   make(map[string]*queue),
	}
	e.quota.Configure(v)
	return e
}

// Handle takes over one event and returns the actions that follow, in order.
func (e *Entry) Handle(now time.Time, ev Event) []Action {
	e.out = nil
	switch ev := ev.(type) {
	case Arrive:
		e.arrive(now, ev)
	case Directory:
		changed, _ := e.table.Replace(ev.Cell, ev.Fence, ev.Seq, ev.Replicas)
		e.touch(changed...)
	case Report:
		e.report(now, ev)
	case Forecast:
		e.forecast(now, ev)
	case FirstToken:
		e.firstToken(now, ev)
	case Progress:
		e.progress(now, ev)
	case AttemptEnded:
		e.attemptEnded(now, ev)
	case Abandoned:
		e.abandoned(ev)
	case UpstreamLeaving:
		e.touch(e.table.Leaving(ev.Upstream)...)
	case UpstreamGone:
		e.touch(e.table.Gone(ev.Upstream)...)
		e.upstreamGone(now, ev.Upstream)
	case UpstreamLive:
		e.touch(e.table.Live(ev.Upstream)...)
	case ViewChanged:
		e.viewChanged(ev.View)
	case Hosts:
		e.hosts = max(ev.Live, 1)
		e.quota.Hosts(ev.Live)
		e.table.SetHosts(route.Hosts(ev))
		e.touchAll()
	case Findings:
		for _, x := range ev.Notices {
			e.table.Notice(now, x)
		}
	case Drain:
		e.draining = true
	case Tick:
	}
	e.settle(now)
	return e.out
}

// Calls returns the number of calls that are not forgotten yet: those in progress and those with a cancelled attempt.
func (e *Entry) Calls() int { return len(e.calls) }

// Notices returns what this host has found out lately about the speed of upstreams, for the others.
func (e *Entry) Notices(now time.Time) []route.Notice { return e.table.Notices(now) }

// Queued returns the number of queued calls of the model.
func (e *Entry) Queued(model string) int {
	if q := e.queues[model]; q != nil {
		return len(q.calls)
	}
	return 0
}

// InFlight returns the number of attempts in flight at replicas of the model.
func (e *Entry) InFlight(model string) int { return e.table.Load(model).Own }

// settle fires due timers, brings all touched queues to rest and asks for the next Tick.
func (e *Entry) settle(now time.Time) {
	for t := e.timers.due(now); t != nil; t = e.timers.due(now) {
		if t.call != nil {
			e.callDue(now, t.call)
		} else {
			e.mark(t.queue)
		}
	}
	for len(e.dirty) > 0 {
		q := e.dirty[0]
		e.dirty = e.dirty[1:]
		q.dirty = false
		e.settleQueue(now, q)
	}
	e.dirty = nil
	if e.table.News() {
		e.emit(Tell{Notices: e.table.Notices(now)})
	}
	if e.draining && len(e.calls) == 0 {
		e.draining = false
		e.emit(Drained{})
	}
	if len(e.timers) == 0 {
		return
	}
	next := e.timers[0].at
	// An earlier Wake that is still ahead stays valid: its Tick finds nothing due and asks again.
	if e.wake.After(now) && !next.Before(e.wake) {
		return
	}
	e.wake = next
	e.emit(Wake{At: next})
}

func (e *Entry) emit(a Action) { e.out = append(e.out, a) }

func (e *Entry) touch(models ...string) {
	for _, m := range models {
		if q := e.queues[m]; q != nil {
			e.mark(q)
		}
	}
}

func (e *Entry) touchAll() {
	// A fixed order keeps runs with the same random numbers equal.
	e.touch(slices.Sorted(maps.Keys(e.queues))...)
}

func (e *Entry) mark(q *queue) {
	if !q.dirty {
		q.dirty = true
		e.dirty = append(e.dirty, q)
	}
}

func (e *Entry) report(now time.Time, r Report) {
	model := e.table.Report(now, r.Upstream, r.Model, r.Running, r.Waiting, r.Slots, r.At)
	if q := e.queues[model]; q != nil {
		q.hint = r.Upstream
		e.reviewQueue(now, q, r)
		e.mark(q)
	}
}

func (e *Entry) viewChanged(v *spec.View) {
	e.view = v
	e.table.SetView(v)
	e.quota.Configure(v)
	e.touchAll()
}
