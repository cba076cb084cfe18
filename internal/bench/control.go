package bench

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/fireflycleat/fireflycleat/pkg/cell"
	"github.com/fireflycleat/fireflycleat/pkg/entry"
	"github.com/fireflycleat/fireflycleat/pkg/locate"
)

const (
	statusInterval  = 500 * time.Millisecond // As in the daemon.
	confirmInterval = 500 * time.Millisecond
	loadPoll        = 50 * time.Millisecond // As in the daemon, for engines that load a model.
	leaseFence      = 1
)

// control is the controller of a data centre, on its first host.
type control struct {
	fleet   *fleet
	centre  string
	machine *cell.Controller
	alarm   alarm
	loads   map[string][]entry.Report
	latest  cell.Publish
}

func compare(a, b string) int { return cmp.Compare(a, b) }

func newControl(f *fleet, i int) *control {
	d := f.deploy
	c := &control{fleet: f, centre: centreName(i), loads: make(map[string][]entry.Report)}
	// The shares are those that the daemon sets.
	s := cell.DefaultSettings()
	s.Cell = c.centre
	s.IsPreferred = func(model string) bool { return locate.PreferredCell(model, centreNames()) == c.centre }
	s.StoreLoadsPerSecond, s.StoreSlots = d.StoreRate, d.StoreSlots
	s.AdaptersInFlight = max(1, d.AdapterLoad/dataCentres)
	c.machine = cell.New(s)
	c.alarm = alarm{clock: f.clock, run: func() { c.handle(cell.Tick{}) }}
	return c
}

func (c *control) begin() {
	w := c.fleet.world
	c.handle(cell.ViewChanged{View: w.view})
	for i, e := range w.engines {
		if e.centre != c.centre {
			continue
		}
		c.handle(cell.UpstreamAdded{Upstream: e.name, CapacityBytes: capacity, ChecksFence: true})
		w.every(time.Duration(i)*statusInterval/time.Duration(len(w.engines)), statusInterval, func() { c.readStatus(e) })
	}
	c.handle(cell.LeaseGained{Fence: leaseFence})
	w.every(0, confirmInterval, func() { c.handle(cell.LeaseConfirmed{At: w.now}) })
	w.every(beatInterval/2, beatInterval, c.spread)
	w.every(0, loadPoll, c.pollLoading)
}

func (c *control) handle(e cell.Event) {
	for _, a := range c.machine.Handle(c.fleet.now, e) {
		c.act(a)
	}
}

func (c *control) act(a cell.Action) {
	w := c.fleet.world
	switch a := a.(type) {
	case cell.Order:
		c.ask(a.Upstream, a.OrderID, a.Attempt, func(e *engine) cell.OrderState { return e.order(a) })
	case cell.Query:
		c.ask(a.Upstream, a.OrderID, a.Attempt, func(e *engine) cell.OrderState { return e.query(a.OrderID) })
	case cell.ReadStatus:
		c.readStatus(w.engine(a.Upstream))
	case cell.Claim:
		w.after(0, func() { c.claim(a) })
	case cell.Publish:
		c.latest = a
		c.spread()
	case cell.Forecast:
		h := c.fleet.hosts[slices.IndexFunc(c.fleet.hosts, func(h *host) bool { return h.name == a.Host })]
		w.after(w.deploy.between(c.centre, h.centre), func() {
			h.forecast(c.centre, a)
		})
	case cell.Wake:
		c.alarm.reset(a.At)
	}
}

// ask carries an order or query to the engine and its answer back.
func (c *control) ask(upstream, id string, attempt int, apply func(*engine) cell.OrderState) {
	w := c.fleet.world
	w.after(sameCentre, func() {
		state := apply(w.engine(upstream))
		w.after(sameCentre, func() { c.handle(cell.OrderResult{OrderID: id, Attempt: attempt, State: state}) })
	})
}

func (c *control) readStatus(e *engine) {
	w := c.fleet.world
	asked := w.now
	w.after(sameCentre, func() {
		s := e.status()
		w.after(sameCentre, func() { c.status(e, asked, s) })
	})
}

// status passes a status to the controller, and its load figures to the entry machine of the same daemon.
func (c *control) status(e *engine, asked time.Time, s cell.Status) {
	c.handle(cell.UpstreamStatus{Upstream: e.name, AskedAt: asked, Status: s})
	var loads []entry.Report
	for _, r := range s.Replicas {
		loads = append(loads, entry.Report{
			Upstream: e.name, Model: r.Model, Running: r.Running, Waiting: r.Waiting, Slots: r.Slots, At: s.ReportedAt,
		})
	}
	c.loads[e.name] = loads
	for _, l := range loads {
		c.host().handle(l)
	}
}

// host returns the daemon that holds the lease.
func (c *control) host() *host {
	return c.fleet.hosts[slices.IndexFunc(c.fleet.hosts, func(h *host) bool { return h.centre == c.centre })]
}

// pollLoading asks the engines that load a model for their status.
func (c *control) pollLoading() {
	for _, e := range c.fleet.engines {
		if e.centre == c.centre && slices.ContainsFunc(e.replicas, func(r *replica) bool { return !r.ready }) {
			c.readStatus(e)
		}
	}
}

// spread sends the directory with the load figures to all hosts.
func (c *control) spread() {
	w := c.fleet.world
	var loads []entry.Report
	for _, name := range slices.Sorted(maps.Keys(c.loads)) {
		loads = append(loads, c.loads[name]...)
	}
	p := c.latest
	for _, h := range c.fleet.hosts {
		if h == c.host() {
			w.after(0, func() { h.directory(p, c.centre, nil) })
			continue
		}
		w.after(w.deploy.between(c.centre, h.centre), func() { h.directory(p, c.centre, loads) })
	}
}

// claim grants permits at once while their sum allows it, and otherwise asks the cell with the most to give one up.
func (c *control) claim(a cell.Claim) {
	f := c.fleet
	m, _ := f.view.Model(a.Model)
	held := f.permits[a.Model]
	if held == nil {
		held = make(map[string]int)
		f.permits[a.Model] = held
	}
	others, most, owner := 0, 0, ""
	for i := range dataCentres {
		name := centreName(i)
		if name == c.centre {
			continue
		}
		others += held[name]
		if held[name] > most {
			most, owner = held[name], name
		}
	}
	if others+a.Count > m.MaxReplicas {
		if owner != "" {
			o := f.control(owner)
			f.after(f.deploy.between(c.centre, owner), func() { o.handle(cell.PermitAsked{Model: a.Model, Count: most - 1, Distance: a.Distance}) })
		}
		return
	}
	held[c.centre] = a.Count
	f.offset++
	c.handle(cell.PermitChanged{Model: a.Model, Count: a.Count, Offset: f.offset})
}
