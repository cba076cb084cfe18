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

const beatInterval = time.Second // Directories are repeated so often, as in the daemon.

type (
	// fleet runs the event machines of all daemons over the fakes.
	fleet struct {
		*world
		hosts    []*host
		controls []*control
		permits  map[string]map[string]int
		offset   int64
	}

	// host is a daemon's entry machine.
	host struct {
		fleet   *fleet
		name    string
		centre  string
		machine *entry.Entry
		alarm   alarm
		calls   map[uint64]*Call
		jobs    map[attempt]*flight
		open    map[uint64]int // open counts the attempts in flight by request.
		use     map[modelUse]useCount
		homes   *locate.Table
		asked   map[demandKey]cell.Demand // asked is the demand that controllers know.
	}

	attempt struct {
		id     uint64
		number int
	}

	flight struct {
		job    *job
		engine *engine
	}

	modelUse struct{ centre, model string }

	useCount struct{ all, urgent int }

	demandKey struct{ model, adapter string }
)

// newFleet returns the world with the system as its policy.
func newFleet(d Deployment, seed uint64) *world {
	w := newWorld(d, seed)
	f := &fleet{world: w, permits: make(map[string]map[string]int)}
	for i := range hostCount {
		centre := centreName(i % dataCentres)
		h := &host{
			fleet: f, name: "h" + string(rune('1'+i)), centre: centre, calls: make(map[uint64]*Call),
			jobs: make(map[attempt]*flight), open: make(map[uint64]int), use: make(map[modelUse]useCount),
			homes: locate.New(), asked: make(map[demandKey]cell.Demand),
		}
		s := entry.Defaults(centre, centre)
		s.PreferredCell = func(model string) string { return h.cellOf(model) }
		s.OneWay = func(other string) time.Duration { return d.between(centre, other) }
		h.machine = entry.New(s, w.view, rand.New(rand.NewPCG(seed, uint64(100+i))))
		h.alarm = alarm{clock: w.clock, run: func() { h.handle(entry.Tick{}) }}
		f.hosts = append(f.hosts, h)
	}
	for i := range dataCentres {
		f.controls = append(f.controls, newControl(f, i))
	}
	w.arrive = func(c *Call) { f.hosts[c.Host].arrive(c) }
	w.begin = func(*world) { f.begin() }
	return w
}

func (f *fleet) begin() {
	for i, h := range f.hosts {
		h.handle(entry.Hosts{Live: hostCount, Near: hostCount / dataCentres, Index: i / dataCentres})
		f.every(time.Duration(i)*statusInterval/hostCount, statusInterval, h.beat)
	}
	for _, c := range f.controls {
		c.begin()
	}
}

// cellOf returns the cell that is asked to load a model, by the rule of the daemon.
func (h *host) cellOf(model string) string {
	return h.homes.Choose(h.fleet.now, model, h.cells(model))
}

func (h *host) cells(model string) locate.Cells {
	x := locate.Cells{Local: h.centre, Usable: centreNames()}
	for _, n := range x.Usable {
		if h.fleet.permits[model][n] > 0 {
			x.Holders = append(x.Holders, n)
		}
	}
	return x
}

// forecast passes a forecast to the entry machine; as in the daemon, the demand that a cell without memory refuses goes to
// another cell first.
func (h *host) forecast(centre string, a cell.Forecast) {
	if a.Refused && a.Code == codes.OverCapacity {
		h.homes.RecordRefusal(h.fleet.now, a.Model, centre)
		next := h.cellOf(a.Model)
		if e, ok := h.asked[demandKey{a.Model, a.Adapter}]; ok && next != "" {
			e.Elsewhere = h.homes.HasAlternative(h.fleet.now, a.Model, h.cells(a.Model), next)
			h.toController(next, e)
			return
		}
	}
	h.handle(entry.Forecast{
		Model: a.Model, Adapter: a.Adapter, ReadyAt: a.ReadyAt, Refused: a.Refused, Code: a.Code, RetryAfter: a.RetryAfter,
		PeerRequests: a.Others,
	})
}

func (h *host) toController(centre string, e cell.Event) {
	c := h.fleet.control(centre)
	h.fleet.after(h.fleet.deploy.between(h.centre, centre), func() { c.handle(e) })
}

func (f *fleet) control(centre string) *control {
	return f.controls[slices.IndexFunc(f.controls, func(c *control) bool { return c.centre == centre })]
}

func (h *host) arrive(c *Call) {
	h.calls[c.ID] = c
	h.handle(entry.Arrive{ID: c.ID, Request: entry.Request{
		Team: "depot", Model: c.Model, Adapter: c.Adapter, Urgency: c.Urgency, Deadline: c.Arrived.Add(c.Deadline),
		PromptTokens: c.Prompt, MaxTokens: c.Answer, Repeatable: true, Fingerprint: xxhash.Sum64String(c.Key),
	}})
}

func (h *host) handle(e entry.Event) {
	for _, a := range h.machine.Handle(h.fleet.now, e) {
		h.act(a)
	}
}

func (h *host) act(a entry.Action) {
	w := h.fleet.world
	switch a := a.(type) {
	case entry.Send:
		h.send(a)
	case entry.Cancel:
		if f := h.jobs[attempt{a.ID, a.Attempt}]; f != nil {
			w.after(w.deploy.between(h.centre, f.engine.centre), func() { f.engine.cancel(f.job) })
		}
	case entry.Deliver:
		if c := h.calls[a.ID]; c != nil {
			w.first(c)
		}
	case entry.Complete:
		h.finish(a.ID, true, "", 0)
	case entry.Refuse:
		h.finish(a.ID, false, a.Code.Title(), a.RetryAfter)
	case entry.Demand:
		e := cell.Demand{
			Host: h.name, Model: a.Model, Adapter: a.Adapter, Urgent: a.Urgent, Normal: a.Normal, Bulk: a.Bulk,
			EarliestDeadline: a.EarliestDeadline,
			Elsewhere:        h.homes.HasAlternative(w.now, a.Model, h.cells(a.Model), a.Cell),
		}
		k := demandKey{a.Model, a.Adapter}
		h.asked[k] = e
		if e.Urgent+e.Normal+e.Bulk == 0 {
			delete(h.asked, k)
		}
		h.toController(a.Cell, e)
	case entry.SendNotices:
		h.tell(a)
	case entry.Wake:
		h.alarm.reset(a.At)
	}
}

// tell passes findings to the other hosts, as the daemon's heartbeats do.
func (h *host) tell(a entry.SendNotices) {
	for _, o := range h.fleet.hosts {
		if o != h {
			h.fleet.after(h.fleet.deploy.between(h.centre, o.centre), func() { o.handle(entry.PeerNotices(a)) })
		}
	}
}

func (h *host) finish(id uint64, done bool, code string, retryAfter time.Duration) {
	c := h.calls[id]
	if c == nil {
		h.fleet.out.Safety.Ends++ // A second end.
		return
	}
	delete(h.calls, id)
	h.fleet.finish(c, done, code, retryAfter)
}

// send starts an attempt at an engine and passes its events back.
func (h *host) send(a entry.Send) {
	w := h.fleet.world
	e, c := w.engine(a.Upstream), h.calls[a.ID]
	w.out.Sends++
	c.Via = e.name
	if h.open[a.ID] > 0 { // Every other attempt follows the end of the one before.
		w.out.Hedges++
	}
	h.open[a.ID]++
	k := attempt{a.ID, a.Attempt}
	delay := w.deploy.between(h.centre, e.centre)
	back := func(run func()) { w.after(delay, run) }
	j := &job{priority: a.Priority, adapter: c.Adapter, prompt: c.Prompt, total: c.Answer, from: a.ResumeFrom}
	j.first = func() { back(func() { h.handle(entry.FirstToken{ID: a.ID, Attempt: a.Attempt}) }) }
	j.progress = func(n int) {
		back(func() { h.handle(entry.Progress{ID: a.ID, Attempt: a.Attempt, Tokens: n}) })
	}
	j.ended = func(r retry.Result, n int) {
		back(func() {
			delete(h.jobs, k)
			if h.open[a.ID]--; h.open[a.ID] == 0 {
				delete(h.open, a.ID)
			}
			h.count(modelUse{e.centre, c.Model}, a.Priority, -1)
			h.handle(entry.AttemptEnded{ID: a.ID, Attempt: a.Attempt, Result: r, Tokens: n})
		})
	}
	h.jobs[k] = &flight{job: j, engine: e}
	h.count(modelUse{e.centre, c.Model}, a.Priority, 1)
	w.after(delay, func() { e.submit(c.Model, j, false) })
}

// beat tells the controllers how many attempts are in progress, as the daemon's heartbeat does.
func (h *host) beat() {
	keys := slices.SortedFunc(maps.Keys(h.use), func(a, b modelUse) int {
		if a.centre != b.centre {
			return compare(a.centre, b.centre)
		}
		return compare(a.model, b.model)
	})
	for _, k := range keys {
		h.tellUse(k)
	}
}

// count counts attempts in progress; as in the daemon, the last end of a model is told at once.
func (h *host) count(k modelUse, u spec.Urgency, by int) {
	x := h.use[k]
	x.all += by
	if u == spec.Urgent {
		x.urgent += by
	}
	h.use[k] = x
	if x.all == 0 {
		h.tellUse(k)
		delete(h.use, k)
	}
}

func (h *host) tellUse(k modelUse) {
	n := h.use[k]
	h.toController(k.centre, cell.Use{Host: h.name, Model: k.model, InFlight: n.all, Urgent: n.urgent})
}

// directory passes a directory to the entry machine, and the load figures that came with it.
func (h *host) directory(p cell.Publish, centre string, loads []entry.Report) {
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
