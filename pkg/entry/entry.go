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
	// Entry is the state machine for the calls to models that arrive at one entry host.
	Entry struct {
		settings  Settings
		view      *spec.View
		random    *rand.Rand
		table     *route.Table
		quota     *quota.Ledger
		retries   retry.Budget
		hedges    retry.Budget
		liveHosts int
		calls     map[uint64]*call
		queues    map[string]*queue
		dirty     []*queue
		timers    timers
		wakeAt    time.Time
		draining  bool
		actions   []Action
		mutant    mutant
	}

	// mutant disables single rules so that tests can show that their checks detect the violation.
	mutant struct {
		doubleEnd           bool // complete a call again when an attempt ends with Done after the call has finished
		resendAll           bool // retry failed calls that are not repeatable
		lateRefusal         bool // refuse queued calls only at their deadline
		unlimitedHedges     bool // ignore the hedge budget
		unlimitedPreemption bool // preempt bulk streams without limit
		noRetrySpread       bool // do not spread retry times
		keepAbandoned       bool // leave abandoned calls in the queue
	}
)

// New returns an Entry without calls. All random numbers are drawn from r.
func New(s Settings, v *spec.View, r *rand.Rand) *Entry {
	e := &Entry{
		settings:  s,
		view:      v,
		random:    r,
		table:     route.New(s.Route, s.DataCentre, s.OneWay, v, r),
		quota:     quota.New(),
		retries:   retry.NewBudget(s.RetryShare),
		hedges:    retry.NewHedgeBudget(s.HedgeShare),
		liveHosts: 1,
		calls:     make(map[uint64]*call),
		queues:    make(map[string]*queue),
	}
	e.quota.Configure(v)
	return e
}

// Handle processes one event and returns the resulting actions in the order in which they must be executed.
func (e *Entry) Handle(now time.Time, ev Event) []Action {
	e.actions = nil
	switch ev := ev.(type) {
	case Arrive:
		e.arrive(now, ev)
	case Directory:
		changed, _ := e.table.Replace(ev.Cell, ev.Fence, ev.Seq, ev.Replicas)
		e.markModelsDirty(changed...)
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
		e.markModelsDirty(e.table.SetLeaving(ev.Upstream)...)
	case UpstreamGone:
		e.markModelsDirty(e.table.SetGone(ev.Upstream)...)
		e.upstreamGone(now, ev.Upstream)
	case UpstreamLive:
		e.markModelsDirty(e.table.SetLive(ev.Upstream)...)
	case ViewChanged:
		e.viewChanged(ev.View)
	case Hosts:
		e.liveHosts = max(ev.Live, 1)
		e.quota.SetHosts(ev.Live)
		e.table.SetHosts(route.Hosts(ev))
		e.markAllDirty()
	case PeerNotices:
		for _, x := range ev.Notices {
			e.table.ApplyNotice(now, x)
		}
	case Drain:
		e.draining = true
	case Tick:
	}
	e.process(now)
	return e.actions
}

// Calls returns the number of tracked calls: those in progress, and finished ones with a cancelled attempt that has not ended.
func (e *Entry) Calls() int { return len(e.calls) }

// Notices returns the recent notices of this host about the speed of upstreams, for its peers.
func (e *Entry) Notices(now time.Time) []route.Notice { return e.table.Notices(now) }

// Queued returns the number of queued calls to the model.
func (e *Entry) Queued(model string) int {
	if q := e.queues[model]; q != nil {
		return len(q.calls)
	}
	return 0
}

// InFlight returns the number of attempts of this host in flight at replicas of the model.
func (e *Entry) InFlight(model string) int { return e.table.Load(model).Local }

// process fires due timers, processes all dirty queues and schedules the next Tick.
func (e *Entry) process(now time.Time) {
	for t := e.timers.popDue(now); t != nil; t = e.timers.popDue(now) {
		if t.call != nil {
			e.callTimerDue(now, t.call)
		} else {
			e.markDirty(t.queue)
		}
	}
	for len(e.dirty) > 0 {
		q := e.dirty[0]
		e.dirty = e.dirty[1:]
		q.dirty = false
		e.processQueue(now, q)
	}
	e.dirty = nil
	if e.table.TakeUpdate() {
		e.emit(SendNotices{Notices: e.table.Notices(now)})
	}
	if e.draining && len(e.calls) == 0 {
		e.draining = false
		e.emit(Drained{})
	}
	if len(e.timers) == 0 {
		return
	}
	next := e.timers[0].at
	// An earlier Wake in the future stays valid: its Tick finds no due timer and schedules the next one.
	if e.wakeAt.After(now) && !next.Before(e.wakeAt) {
		return
	}
	e.wakeAt = next
	e.emit(Wake{At: next})
}

func (e *Entry) emit(a Action) { e.actions = append(e.actions, a) }

func (e *Entry) markModelsDirty(models ...string) {
	for _, m := range models {
		if q := e.queues[m]; q != nil {
			e.markDirty(q)
		}
	}
}

func (e *Entry) markAllDirty() {
	// Sorted, so that runs with the same random numbers are reproducible.
	e.markModelsDirty(slices.Sorted(maps.Keys(e.queues))...)
}

func (e *Entry) markDirty(q *queue) {
	if !q.dirty {
		q.dirty = true
		e.dirty = append(e.dirty, q)
	}
}

func (e *Entry) report(now time.Time, r Report) {
	model := e.table.ApplyReport(now, r.Upstream, r.Model, r.Running, r.Waiting, r.Slots, r.At)
	if q := e.queues[model]; q != nil {
		q.freedUpstream = r.Upstream
		e.checkEngineQueue(now, q, r)
		e.markDirty(q)
	}
}

func (e *Entry) viewChanged(v *spec.View) {
	e.view = v
	e.table.SetView(v)
	e.quota.Configure(v)
	e.markAllDirty()
}
