package daemon

import (
	"time"

	"github.com/fireflycleat/fireflycleat/internal/ctrl"
	"github.com/fireflycleat/fireflycleat/internal/peers"
	"github.com/fireflycleat/fireflycleat/pkg/cell"
	"github.com/fireflycleat/fireflycleat/pkg/codes"
	"github.com/fireflycleat/fireflycleat/pkg/entry"
	"github.com/fireflycleat/fireflycleat/pkg/homes"
)

type (
	// cells holds a controller for each cell; those whose lease this daemon holds give orders.
	cells struct {
		d      *Daemon
		byName map[string]*cellRun
		homes  *homes.Table
		asked  map[demandKey]cell.Demand // Asked holds the last demand for each model and adapter.
	}

	demandKey struct {
		model   string
		adapter string
	}

	// cellRun carries out the actions of one cell's controller. It belongs to the control thread.
	cellRun struct {
		d         *Daemon
		name      string
		control   *cell.Controller
		alarm     *ctrl.Alarm
		held      bool
		fence     int64
		earlier   map[string]int64
		directory peers.Directory
		permits   map[string]permitState
		claims    map[string]cell.Claim
		distances map[string]int // distances holds that of the last claim of each model.
	}

	permitState struct {
		count  int
		offset int64
		frozen bool
	}
)

func newCells(d *Daemon) *cells {
	return &cells{d: d, byName: make(map[string]*cellRun), homes: homes.New(), asked: make(map[demandKey]cell.Demand)}
}

// get returns the run of the cell; the first call creates it.
func (c *cells) get(name string) *cellRun {
	if r, ok := c.byName[name]; ok {
		return r
	}
	s := cell.DefaultSettings()
	s.Cell = name
	s.Home = func(model string) bool { return homes.Home(model, c.d.upstreams.usable) == name }
	// Each cell plans with the whole store: the store limits rate and speed itself, and a fixed share left slots unused when
	// the cold models of a burst had the same home (docs/trials.md, trial 2).
	s.StoreLoadsPerSecond = c.d.settings.Store.LoadsPerSecond
	s.StoreSlots = c.d.settings.Store.Slots
	s.AdaptersInFlight = max(1, c.d.settings.Store.AdaptersInFlight/max(1, len(c.d.upstreams.cells)))
	r := &cellRun{
		d: c.d, name: name, control: cell.New(s), earlier: make(map[string]int64), permits: make(map[string]permitState),
		claims: make(map[string]cell.Claim), distances: make(map[string]int),
	}
	r.directory.Cell = name
	r.alarm = ctrl.NewAlarm(c.d.control, func() { r.handle(cell.Tick{}) })
	c.byName[name] = r
	r.handle(cell.ViewChanged{View: c.d.state.View()})
	return r
}

// demand sends the number of waiting requests to the controller of the cell that is asked for the model.
func (c *cells) demand(a entry.Demand) {
	e := cell.Demand{
		Host: c.d.settings.Host.Name, Model: a.Model, Adapter: a.Adapter, Urgent: a.Urgent, Normal: a.Normal, Bulk: a.Bulk,
		EarliestDeadline: a.EarliestDeadline,
		Elsewhere:        c.homes.Elsewhere(time.Now(), a.Model, c.cellsFor(a.Model), a.Cell),
	}
	c.asked[demandKey{a.Model, a.Adapter}] = e
	if e.Urgent+e.Normal+e.Bulk == 0 {
		delete(c.asked, demandKey{a.Model, a.Adapter})
	}
	c.toController(a.Cell, e)
}

// forecast passes a forecast to the entry machine. A cell without memory is not the last word while another may have some:
// the demand goes there.
func (c *cells) forecast(name string, f cell.Forecast) {
	if f.Refused && f.Code == codes.OverCapacity {
		c.homes.Refused(time.Now(), f.Model, name)
		next := c.homeOf(f.Model)
		if e, ok := c.asked[demandKey{f.Model, f.Adapter}]; ok && next != "" {
			e.Elsewhere = c.homes.Elsewhere(time.Now(), f.Model, c.cellsFor(f.Model), next)
			c.toController(next, e)
			return
		}
	}
	c.d.models.handle(entry.Forecast{
		Model: f.Model, Adapter: f.Adapter, ReadyAt: f.ReadyAt, Refused: f.Refused, Code: f.Code, RetryAfter: f.RetryAfter,
		Others: f.Others,
	})
}

// use tells the controllers how many attempts of this host are in progress for each model.
func (c *cells) use(counts map[modelUse]useCount) {
	for key, n := range counts {
		c.toController(key.cell, cell.Use{Host: c.d.settings.Host.Name, Model: key.model, InFlight: n.all, Urgent: n.urgent})
		if n.all == 0 {
			delete(counts, key)
		}
	}
}

// toController passes the event to the cell's controller, wherever it is. What is lost on the way is repeated by its sender.
func (c *cells) toController(name string, e cell.Event) {
	if r := c.get(name); r.held {
		r.handle(e)
		return
	}
	lease, ok := c.d.state.Lease(name)
	if !ok {
		return
	}
	c.d.tellMember(lease.Incarnation, "CellEvent", peers.CellEvent{Header: c.d.header(c.d.life), Cell: name, Event: e}.Outward(time.Now()))
}

// sync compares the leases and permits of the fold with what the controllers know.
func (c *cells) sync(viewChanged bool) {
	for _, l := range c.d.state.Leases() {
		c.get(l.Cell).sync(l)
	}
	for _, r := range c.byName {
		if viewChanged {
			r.handle(cell.ViewChanged{View: c.d.state.View()})
		}
		r.syncPermits()
	}
}

// homeOf returns the cell that is asked to load a model, or an empty string if none has memory for it.
func (c *cells) homeOf(model string) string {
	return c.homes.Choose(time.Now(), model, c.cellsFor(model))
}

// cellsFor returns what is known of the cells for the choice of one that loads the model.
func (c *cells) cellsFor(model string) homes.Cells {
	x := homes.Cells{Own: c.d.settings.Host.DataCentre, Usable: c.d.upstreams.usable, Fixed: c.d.logLost()}
	for _, p := range c.d.state.Permits(model) {
		if p.Count > 0 {
			x.Holders = append(x.Holders, p.Cell)
		}
	}
	return x
}
