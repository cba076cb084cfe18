package daemon

import (
	"time"

	"github.com/fireflycleat/fireflycleat/internal/ctrl"
	"github.com/fireflycleat/fireflycleat/internal/peers"
	"github.com/fireflycleat/fireflycleat/pkg/cell"
	"github.com/fireflycleat/fireflycleat/pkg/codes"
	"github.com/fireflycleat/fireflycleat/pkg/entry"
	"github.com/fireflycleat/fireflycleat/pkg/locate"
)

type (
	// cells holds a controller for each cell. Only controllers whose lease this daemon holds send orders.
	cells struct {
		d          *Daemon
		byName     map[string]*cellRunner
		chooser    *locate.Table
		lastDemand map[demandKey]cell.Demand
	}

	demandKey struct {
		model   string
		adapter string
	}

	// cellRunner carries out the actions of one cell's controller. It is used only on the control thread.
	cellRunner struct {
		d              *Daemon
		name           string
		controller     *cell.Controller
		alarm          *ctrl.Alarm
		leaseHeld      bool
		fence          int64
		priorHolders   map[string]int64
		directory      peers.Directory
		permits        map[string]permitState
		pendingClaims  map[string]cell.Claim
		claimDistances map[string]int // distance in the last claim, by model
	}

	// permitState is the state of a model's permits as last reported to the controller.
	permitState struct {
		count  int
		offset int64
		frozen bool
	}
)

func newCells(d *Daemon) *cells {
	return &cells{d: d, byName: make(map[string]*cellRunner), chooser: locate.New(), lastDemand: make(map[demandKey]cell.Demand)}
}

// get returns the runner of the cell and creates it on the first call.
func (c *cells) get(name string) *cellRunner {
	if r, ok := c.byName[name]; ok {
		return r
	}
	s := cell.DefaultSettings()
	s.Cell = name
	s.IsPreferred = func(model string) bool { return locate.PreferredCell(model, c.d.upstreams.usableCells) == name }
	// Each cell plans with the capacity of the whole store. The store enforces its own limits of rate and throughput, and a fixed
	// share per cell left slots unused when the cold models of a burst preferred the same cell (docs/trials.md, trial 2).
	s.StoreLoadsPerSecond = c.d.settings.Store.LoadsPerSecond
	s.StoreSlots = c.d.settings.Store.Slots
	s.AdaptersInFlight = max(1, c.d.settings.Store.AdaptersInFlight/max(1, len(c.d.upstreams.cells)))
	r := &cellRunner{
		d: c.d, name: name, controller: cell.New(s), priorHolders: make(map[string]int64), permits: make(map[string]permitState),
		pendingClaims: make(map[string]cell.Claim), claimDistances: make(map[string]int),
	}
	r.directory.Cell = name
	r.alarm = ctrl.NewAlarm(c.d.control, func() { r.handle(cell.Tick{}) })
	c.byName[name] = r
	r.handle(cell.ViewChanged{View: c.d.state.View()})
	return r
}

// sendDemand sends the number of pending requests to the controller of the cell chosen to load the model.
func (c *cells) sendDemand(a entry.Demand) {
	e := cell.Demand{
		Host: c.d.settings.Host.Name, Model: a.Model, Adapter: a.Adapter, Urgent: a.Urgent, Normal: a.Normal, Bulk: a.Bulk,
		EarliestDeadline: a.EarliestDeadline,
		Elsewhere:        c.chooser.HasAlternative(time.Now(), a.Model, c.candidates(a.Model), a.Cell),
	}
	c.lastDemand[demandKey{a.Model, a.Adapter}] = e
	if e.Urgent+e.Normal+e.Bulk == 0 {
		delete(c.lastDemand, demandKey{a.Model, a.Adapter})
	}
	c.sendToController(a.Cell, e)
}

// handleForecast passes a forecast to the entry state machine. When the cell has no memory for the model, the demand is sent to
// another cell that may have some, and the refusal is not passed on.
func (c *cells) handleForecast(name string, f cell.Forecast) {
	if f.Refused && f.Code == codes.OverCapacity {
		c.chooser.RecordRefusal(time.Now(), f.Model, name)
		next := c.preferredCell(f.Model)
		if e, ok := c.lastDemand[demandKey{f.Model, f.Adapter}]; ok && next != "" {
			e.Elsewhere = c.chooser.HasAlternative(time.Now(), f.Model, c.candidates(f.Model), next)
			c.sendToController(next, e)
			return
		}
	}
	c.d.modelCalls.handle(entry.Forecast{
		Model: f.Model, Adapter: f.Adapter, ReadyAt: f.ReadyAt, Refused: f.Refused, Code: f.Code, RetryAfter: f.RetryAfter,
		PeerRequests: f.Others,
	})
}

// reportInFlight reports the number of this host's attempts in progress for each model to the controllers, and then deletes
// counts of zero.
func (c *cells) reportInFlight(counts map[cellModel]inFlightCount) {
	for key, n := range counts {
		c.sendToController(key.cell, cell.Use{Host: c.d.settings.Host.Name, Model: key.model, InFlight: n.total, Urgent: n.urgent})
		if n.total == 0 {
			delete(counts, key)
		}
	}
}

// sendToController passes the event to the cell's controller, on this host or a peer. Delivery is not guaranteed; callers resend.
func (c *cells) sendToController(name string, e cell.Event) {
	if r := c.get(name); r.leaseHeld {
		r.handle(e)
		return
	}
	lease, ok := c.d.state.Lease(name)
	if !ok {
		return
	}
	c.d.sendToMember(lease.Incarnation, "CellEvent", peers.CellEvent{Header: c.d.header(c.d.ctx), Cell: name, Event: e}.ToWire(time.Now()))
}

// sync passes changed leases, permits and configuration to the controllers.
func (c *cells) sync(viewChanged bool) {
	for _, l := range c.d.state.Leases() {
		c.get(l.Cell).applyLease(l)
	}
	for _, r := range c.byName {
		if viewChanged {
			r.handle(cell.ViewChanged{View: c.d.state.View()})
		}
		r.syncPermits()
	}
}

// preferredCell returns the cell that should load the model, or an empty string if no cell has memory for it.
func (c *cells) preferredCell(model string) string {
	return c.chooser.Choose(time.Now(), model, c.candidates(model))
}

// candidates returns the inputs for choosing the cell that loads the model.
func (c *cells) candidates(model string) locate.Cells {
	candidates := locate.Cells{Local: c.d.settings.Host.DataCentre, Usable: c.d.upstreams.usableCells, PermitsFixed: c.d.logUnreachable()}
	for _, p := range c.d.state.Permits(model) {
		if p.Count > 0 {
			candidates.Holders = append(candidates.Holders, p.Cell)
		}
	}
	return candidates
}
