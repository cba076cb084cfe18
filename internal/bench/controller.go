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
	statusInterval   = 500 * time.Millisecond // as in the daemon
	confirmInterval  = 500 * time.Millisecond
	loadPollInterval = 50 * time.Millisecond // interval while an engine loads a model, as in the daemon
	leaseFence       = 1
)

// controller runs the cell.Controller of a data centre, on the centre's first host.
type controller struct {
	fleet       *fleet
	centre      string
	machine     *cell.Controller
	timer       timer
	loadFigures map[string][]entry.Report
	directory   cell.Publish
}

func compareStrings(a, b string) int { return cmp.Compare(a, b) }

func newController(f *fleet, i int) *controller {
	d := f.deploy
	c := &controller{fleet: f, centre: centreName(i), loadFigures: make(map[string][]entry.Report)}
	// Each data centre gets an equal share of the adapter loads, as in the daemon.
	s := cell.DefaultSettings()
	s.Cell = c.centre
	s.IsPreferred = func(model string) bool { return locate.PreferredCell(model, centreNames()) == c.centre }
	s.StoreLoadsPerSecond, s.StoreSlots = d.StoreRate, d.StoreSlots
	s.AdaptersInFlight = max(1, d.AdapterLoad/dataCentres)
	c.machine = cell.New(s)
	c.timer = timer{clock: f.clock, run: func() { c.handle(cell.Tick{}) }}
	return c
}

func (c *controller) start() {
	sm := c.fleet.simulation
	c.handle(cell.ViewChanged{View: sm.view})
	for i, e := range sm.engines {
		if e.centre != c.centre {
			continue
		}
		c.handle(cell.UpstreamAdded{Upstream: e.name, CapacityBytes: upstreamMemory, ChecksFence: true})
		sm.every(time.Duration(i)*statusInterval/time.Duration(len(sm.engines)), statusInterval, func() { c.readStatus(e) })
	}
	c.handle(cell.LeaseGained{Fence: leaseFence})
	sm.every(0, confirmInterval, func() { c.handle(cell.LeaseConfirmed{At: sm.now}) })
	sm.every(heartbeatInterval/2, heartbeatInterval, c.broadcastDirectory)
	sm.every(0, loadPollInterval, c.pollLoading)
}

func (c *controller) handle(e cell.Event) {
	for _, a := range c.machine.Handle(c.fleet.now, e) {
		c.execute(a)
	}
}

func (c *controller) execute(a cell.Action) {
	sm := c.fleet.simulation
	switch a := a.(type) {
	case cell.Order:
		c.callUpstream(a.Upstream, a.OrderID, a.Attempt, func(e *engine) cell.OrderState { return e.applyOrder(a) })
	case cell.Query:
		c.callUpstream(a.Upstream, a.OrderID, a.Attempt, func(e *engine) cell.OrderState { return e.orderState(a.OrderID) })
	case cell.ReadStatus:
		c.readStatus(sm.engine(a.Upstream))
	case cell.Claim:
		sm.after(0, func() { c.claim(a) })
	case cell.Publish:
		c.directory = a
		c.broadcastDirectory()
	case cell.Forecast:
		h := c.fleet.hosts[slices.IndexFunc(c.fleet.hosts, func(h *host) bool { return h.name == a.Host })]
		sm.after(sm.deploy.oneWayDelay(c.centre, h.centre), func() {
			h.applyForecast(c.centre, a)
		})
	case cell.Wake:
		c.timer.reset(a.At)
	}
}

// callUpstream delivers an order or query to the engine, and the engine's answer to the controller, each after the network
// delay.
func (c *controller) callUpstream(upstream, id string, attempt int, apply func(*engine) cell.OrderState) {
	sm := c.fleet.simulation
	sm.after(sameCentreDelay, func() {
		state := apply(sm.engine(upstream))
		sm.after(sameCentreDelay, func() { c.handle(cell.OrderResult{OrderID: id, Attempt: attempt, State: state}) })
	})
}

func (c *controller) readStatus(e *engine) {
	sm := c.fleet.simulation
	sentAt := sm.now
	sm.after(sameCentreDelay, func() {
		s := e.status()
		sm.after(sameCentreDelay, func() { c.applyStatus(e, sentAt, s) })
	})
}

// applyStatus passes a status to the controller, and its load figures to the entry machine of the same daemon.
func (c *controller) applyStatus(e *engine, sentAt time.Time, s cell.Status) {
	c.handle(cell.UpstreamStatus{Upstream: e.name, AskedAt: sentAt, Status: s})
	var loads []entry.Report
	for _, r := range s.Replicas {
		loads = append(loads, entry.Report{
			Upstream: e.name, Model: r.Model, Running: r.Running, Waiting: r.Waiting, Slots: r.Slots, At: s.ReportedAt,
		})
	}
	c.loadFigures[e.name] = loads
	for _, l := range loads {
		c.leaseHolder().handle(l)
	}
}

// leaseHolder returns the host that runs this controller.
func (c *controller) leaseHolder() *host {
	return c.fleet.hosts[slices.IndexFunc(c.fleet.hosts, func(h *host) bool { return h.centre == c.centre })]
}

// pollLoading reads the status of each engine that is loading a model.
func (c *controller) pollLoading() {
	for _, e := range c.fleet.engines {
		if e.centre == c.centre && slices.ContainsFunc(e.replicas, func(r *replica) bool { return !r.ready }) {
			c.readStatus(e)
		}
	}
}

// broadcastDirectory sends the latest directory to all hosts, and the load figures to all but the controller's own host.
func (c *controller) broadcastDirectory() {
	sm := c.fleet.simulation
	var loads []entry.Report
	for _, name := range slices.Sorted(maps.Keys(c.loadFigures)) {
		loads = append(loads, c.loadFigures[name]...)
	}
	p := c.directory
	for _, h := range c.fleet.hosts {
		if h == c.leaseHolder() {
			sm.after(0, func() { h.applyDirectory(p, c.centre, nil) })
			continue
		}
		sm.after(sm.deploy.oneWayDelay(c.centre, h.centre), func() { h.applyDirectory(p, c.centre, loads) })
	}
}

// claim grants the permits if the total stays within MaxReplicas, and otherwise sends the cell that holds the most a
// request to release one.
func (c *controller) claim(a cell.Claim) {
	f := c.fleet
	m, _ := f.view.Model(a.Model)
	held := f.permits[a.Model]
	if held == nil {
		held = make(map[string]int)
		f.permits[a.Model] = held
	}
	others, most, holder := 0, 0, ""
	for i := range dataCentres {
		name := centreName(i)
		if name == c.centre {
			continue
		}
		others += held[name]
		if held[name] > most {
			most, holder = held[name], name
		}
	}
	if others+a.Count > m.MaxReplicas {
		if holder != "" {
			o := f.controller(holder)
			f.after(f.deploy.oneWayDelay(c.centre, holder), func() { o.handle(cell.PermitAsked{Model: a.Model, Count: most - 1, Distance: a.Distance}) })
		}
		return
	}
	held[c.centre] = a.Count
	f.offset++
	c.handle(cell.PermitChanged{Model: a.Model, Count: a.Count, Offset: f.offset})
}
