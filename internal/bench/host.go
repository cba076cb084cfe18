package bench

import (
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/fireflycleat/fireflycleat/pkg/cell"
	"github.com/fireflycleat/fireflycleat/pkg/codes"
	"github.com/fireflycleat/fireflycleat/pkg/entry"
	"github.com/fireflycleat/fireflycleat/pkg/locate"
	"github.com/fireflycleat/fireflycleat/pkg/retry"
	"github.com/fireflycleat/fireflycleat/pkg/route"
	"github.com/fireflycleat/fireflycleat/pkg/spec"
)

const heartbeatInterval = time.Second // interval at which directories are repeated, as in the daemon

type (
	// fleet runs the entry and controller state machines of all daemons on the fakes.
	fleet struct {
		*simulation
		hosts       []*host
		controllers []*controller
		permits     map[string]map[string]int
		offset      int64
	}

	// host runs the entry state machine of one daemon.
	host struct {
		fleet          *fleet
		name           string
		centre         string
		machine        *entry.Entry
		timer          timer
		calls          map[uint64]*Call
		attempts       map[attemptKey]*runningAttempt
		inFlight       map[uint64]int      // number of attempts in progress, by request ID
		useCounts      map[useKey]useCount // attempts in progress, by cell and model
		preferredCells *locate.Table
		sentDemand     map[demandKey]cell.Demand // latest non-zero demand sent to a controller
	}

	attemptKey struct {
		id     uint64
		number int
	}

	runningAttempt struct {
		job    *job
		engine *engine
	}

	useKey struct{ centre, model string }

	useCount struct{ total, urgent int }

	demandKey struct{ model, adapter string }
)

// newFleet returns a simulation that runs the system itself as its policy.
func newFleet(d Deployment, seed uint64) *simulation {
	sm := newSimulation(d, seed)
	f := &fleet{simulation: sm, permits: make(map[string]map[string]int)}
	for i := range hostCount {
		centre := centreName(i % dataCentres)
		h := &host{
			fleet: f, name: "h" + string(rune('1'+i)), centre: centre, calls: make(map[uint64]*Call),
			attempts: make(map[attemptKey]*runningAttempt), inFlight: make(map[uint64]int), useCounts: make(map[useKey]useCount),
			preferredCells: locate.New(), sentDemand: make(map[demandKey]cell.Demand),
		}
		s := entry.Defaults(centre, centre)
		s.PreferredCell = func(model string) string { return h.preferredCell(model) }
		s.OneWay = func(other string) time.Duration { return d.oneWayDelay(centre, other) }
		h.machine = entry.New(s, sm.view, rand.New(rand.NewPCG(seed, uint64(100+i))))
		h.timer = timer{clock: sm.clock, run: func() { h.handle(entry.Tick{}) }}
		f.hosts = append(f.hosts, h)
	}
	for i := range dataCentres {
		f.controllers = append(f.controllers, newController(f, i))
	}
	sm.onArrival = func(c *Call) { f.hosts[c.Host].arrive(c) }
	sm.startPolicy = func(*simulation) { f.start() }
	return sm
}

func (f *fleet) start() {
	for i, h := range f.hosts {
		h.handle(entry.Hosts{Live: hostCount, Near: hostCount / dataCentres, Index: i / dataCentres})
		f.every(time.Duration(i)*statusInterval/hostCount, statusInterval, h.sendHeartbeat)
	}
	for _, c := range f.controllers {
		c.start()
	}
}

// preferredCell returns the cell that demand for the model is sent to, chosen as in the daemon.
func (h *host) preferredCell(model string) string {
	return h.preferredCells.Choose(h.fleet.now, model, h.cellChoices(model))
}

func (h *host) cellChoices(model string) locate.Cells {
	x := locate.Cells{Local: h.centre, Usable: centreNames()}
	for _, n := range x.Usable {
		if h.fleet.permits[model][n] > 0 {
			x.Holders = append(x.Holders, n)
		}
	}
	return x
}

// applyForecast passes a forecast to the entry machine. As in the daemon, a refusal for lack of memory is not passed on if
// the demand can be sent to another cell.
func (h *host) applyForecast(centre string, a cell.Forecast) {
	if a.Refused && a.Code == codes.OverCapacity {
		h.preferredCells.RecordRefusal(h.fleet.now, a.Model, centre)
		next := h.preferredCell(a.Model)
		if e, ok := h.sentDemand[demandKey{a.Model, a.Adapter}]; ok && next != "" {
			e.Elsewhere = h.preferredCells.HasAlternative(h.fleet.now, a.Model, h.cellChoices(a.Model), next)
			h.sendToController(next, e)
			return
		}
	}
	h.handle(entry.Forecast{
		Model: a.Model, Adapter: a.Adapter, ReadyAt: a.ReadyAt, Refused: a.Refused, Code: a.Code, RetryAfter: a.RetryAfter,
		PeerRequests: a.Others,
	})
}

func (h *host) sendToController(centre string, e cell.Event) {
	c := h.fleet.controller(centre)
	h.fleet.after(h.fleet.deploy.oneWayDelay(h.centre, centre), func() { c.handle(e) })
}

func (f *fleet) controller(centre string) *controller {
	return f.controllers[slices.IndexFunc(f.controllers, func(c *controller) bool { return c.centre == centre })]
}

func (h *host) arrive(c *Call) {
	h.calls[c.ID] = c
	h.handle(entry.Arrive{ID: c.ID, Request: entry.Request{
		Team: "depot", Model: c.Model, Adapter: c.Adapter, Urgency: c.Urgency, Deadline: c.SentAt.Add(c.Deadline),
		PromptTokens: c.Prompt, MaxTokens: c.Answer, Repeatable: true, Fingerprint: xxhash.Sum64String(c.Key),
	}})
}

func (h *host) handle(e entry.Event) {
	for _, a := range h.machine.Handle(h.fleet.now, e) {
		h.execute(a)
	}
}

func (h *host) execute(a entry.Action) {
	sm := h.fleet.simulation
	switch a := a.(type) {
	case entry.Send:
		h.send(a)
	case entry.Cancel:
		if r := h.attempts[attemptKey{a.ID, a.Attempt}]; r != nil {
			sm.after(sm.deploy.oneWayDelay(h.centre, r.engine.centre), func() { r.engine.cancel(r.job) })
		}
	case entry.Deliver:
		if c := h.calls[a.ID]; c != nil {
			sm.recordFirstToken(c)
		}
	case entry.Complete:
		h.finish(a.ID, true, "", 0)
	case entry.Refuse:
		h.finish(a.ID, false, a.Code.Title(), a.RetryAfter)
	case entry.Demand:
		e := cell.Demand{
			Host: h.name, Model: a.Model, Adapter: a.Adapter, Urgent: a.Urgent, Normal: a.Normal, Bulk: a.Bulk,
			EarliestDeadline: a.EarliestDeadline,
			Elsewhere:        h.preferredCells.HasAlternative(sm.now, a.Model, h.cellChoices(a.Model), a.Cell),
		}
		k := demandKey{a.Model, a.Adapter}
		h.sentDemand[k] = e
		if e.Urgent+e.Normal+e.Bulk == 0 {
			delete(h.sentDemand, k)
		}
		h.sendToController(a.Cell, e)
	case entry.SendNotices:
		h.sendNotices(a)
	case entry.Wake:
		h.timer.reset(a.At)
	}
}

// sendNotices sends notices to the peers, as the daemon's heartbeats do.
func (h *host) sendNotices(a entry.SendNotices) {
	for _, o := range h.fleet.hosts {
		if o != h {
			h.fleet.after(h.fleet.deploy.oneWayDelay(h.centre, o.centre), func() { o.handle(entry.PeerNotices(a)) })
		}
	}
}

func (h *host) finish(id uint64, done bool, code string, retryAfter time.Duration) {
	c := h.calls[id]
	if c == nil {
		h.fleet.outcome.Safety.Ends++ // The request has already ended.
		return
	}
	delete(h.calls, id)
	h.fleet.finish(c, done, code, retryAfter)
}

// send starts an attempt on an engine and delivers its events to the entry machine.
func (h *host) send(a entry.Send) {
	sm := h.fleet.simulation
	e, c := sm.engine(a.Upstream), h.calls[a.ID]
	sm.outcome.Sends++
	c.LastUpstream = e.name
	if h.inFlight[a.ID] > 0 { // An attempt that is not a hedge starts only after the previous one has ended.
		sm.outcome.Hedges++
	}
	h.inFlight[a.ID]++
	k := attemptKey{a.ID, a.Attempt}
	delay := sm.deploy.oneWayDelay(h.centre, e.centre)
	delayed := func(run func()) { sm.after(delay, run) }
	j := &job{priority: a.Priority, adapter: c.Adapter, prompt: c.Prompt, total: c.Answer, resumeFrom: a.ResumeFrom}
	j.onFirstToken = func() { delayed(func() { h.handle(entry.FirstToken{ID: a.ID, Attempt: a.Attempt}) }) }
	j.onProgress = func(n int) {
		delayed(func() { h.handle(entry.Progress{ID: a.ID, Attempt: a.Attempt, Tokens: n}) })
	}
	j.onEnd = func(r retry.Result, n int) {
		delayed(func() {
			delete(h.attempts, k)
			if h.inFlight[a.ID]--; h.inFlight[a.ID] == 0 {
				delete(h.inFlight, a.ID)
			}
			h.countAttempt(useKey{e.centre, c.Model}, a.Priority, -1)
			h.handle(entry.AttemptEnded{ID: a.ID, Attempt: a.Attempt, Result: r, Tokens: n})
		})
	}
	h.attempts[k] = &runningAttempt{job: j, engine: e}
	h.countAttempt(useKey{e.centre, c.Model}, a.Priority, 1)
	sm.after(delay, func() { e.submit(c.Model, j, false) })
}

// sendHeartbeat reports the attempts in progress to the controllers, as the daemon's heartbeat does.
func (h *host) sendHeartbeat() {
	keys := slices.SortedFunc(maps.Keys(h.useCounts), func(a, b useKey) int {
		if a.centre != b.centre {
			return compareStrings(a.centre, b.centre)
		}
		return compareStrings(a.model, b.model)
	})
	for _, k := range keys {
		h.sendUse(k)
	}
}

// countAttempt updates the number of attempts in progress. As in the daemon, the end of a model's last attempt is reported at once.
func (h *host) countAttempt(k useKey, u spec.Urgency, delta int) {
	x := h.useCounts[k]
	x.total += delta
	if u == spec.Urgent {
		x.urgent += delta
	}
	h.useCounts[k] = x
	if x.total == 0 {
		h.sendUse(k)
		delete(h.useCounts, k)
	}
}

func (h *host) sendUse(k useKey) {
	n := h.useCounts[k]
	h.sendToController(k.centre, cell.Use{Host: h.name, Model: k.model, InFlight: n.total, Urgent: n.urgent})
}

// applyDirectory passes a directory and the load figures received with it to the entry machine.
func (h *host) applyDirectory(p cell.Publish, centre string, loads []entry.Report) {
	e := entry.Directory{Cell: centre, Fence: p.Fence, Seq: int64(p.Seq)}
	for _, r := range p.Replicas {
		e.Replicas = append(e.Replicas, route.Replica{
			Upstream: r.Upstream, DataCentre: centre, Model: r.Model, Version: r.Version, Adapters: r.Adapters,
			Slots: r.Slots, Ready: r.Ready, ReadyAt: r.ReadyAt,
		})
	}
	h.handle(e)
	for _, l := range loads {
		h.handle(l)
	}
}
