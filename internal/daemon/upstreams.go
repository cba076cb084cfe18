package daemon

import (
	"context"
	"maps"
	"slices"
	"time"

	"github.com/fireflycleat/fireflycleat/internal/wire"
	"github.com/fireflycleat/fireflycleat/pkg/cell"
	"github.com/fireflycleat/fireflycleat/pkg/clocks"
	"github.com/fireflycleat/fireflycleat/pkg/entry"
	"github.com/fireflycleat/fireflycleat/pkg/member"
)

const (
	hostListInterval = 500 * time.Millisecond
	dateStep         = time.Second // dateStep is the resolution of Date headers.
)

type (
	// upstreams is what the host list, the engines and the peers say of upstreams. It belongs to the control thread.
	upstreams struct {
		d       *Daemon
		hosts   map[string]wire.Host
		leaving map[string]bool
		polling map[string]bool
		status  map[string]wire.EngineStatus
		clocks  map[string]*clocks.Remote // Clocks are those of the engines.
		cells   []string                  // Cells are those with an engine that is not gone.
		usable  []string                  // Usable cells have an engine that takes loads.
	}
)

func newUpstreams(d *Daemon) *upstreams {
	return &upstreams{
		d: d, hosts: make(map[string]wire.Host), leaving: make(map[string]bool), polling: make(map[string]bool),
		status: make(map[string]wire.EngineStatus), clocks: make(map[string]*clocks.Remote),
	}
}

// address returns IP:port of the upstream, or an empty string.
func (u *upstreams) address(name string) string { return u.hosts[name].Address }

// cell returns the cell of the upstream. There is one cell in each data centre so far.
func (u *upstreams) cell(name string) string { return u.hosts[name].DataCentre }

// service returns the names of live hosts of the plain service that are not leaving, in ascending order.
func (u *upstreams) service(name string) []string {
	var found []string
	for _, n := range slices.Sorted(maps.Keys(u.hosts)) {
		h := u.hosts[n]
		if h.Kind == wire.KindService && h.Service == name && h.State == wire.HostLive && !u.leaving[n] {
			found = append(found, n)
		}
	}
	return found
}

// update takes over a host list.
func (u *upstreams) update(asked time.Time, l wire.HostList) {
	seen := make(map[string]bool, len(l.Hosts))
	for _, h := range l.Hosts {
		seen[h.Name] = true
		u.entry(h)
	}
	for name, h := range u.hosts {
		if !seen[name] && h.State != wire.HostGone {
			h.State = wire.HostGone
			u.entry(h)
		}
	}
	u.count()
	u.d.members.handle(listEvent(asked, l))
	u.d.members.syncLeases()
}

// count finds the cells and those that take loads.
func (u *upstreams) count() {
	cells, usable := make(map[string]bool), make(map[string]bool)
	for n, h := range u.hosts {
		if h.Kind == wire.KindEngine && h.State != wire.HostGone {
			cells[h.DataCentre] = true
			if !u.leaving[n] {
				usable[h.DataCentre] = true
			}
		}
	}
	u.cells, u.usable = slices.Sorted(maps.Keys(cells)), slices.Sorted(maps.Keys(usable))
}

func listEvent(asked time.Time, l wire.HostList) member.HostList {
	states := map[wire.HostState]member.HostState{wire.HostLive: member.Live, wire.HostLeaving: member.Leaving, wire.HostGone: member.Gone}
	e := member.HostList{AsOf: l.AsOf, AskedAt: asked}
	if !l.Date.IsZero() {
		e.Earliest, e.Latest = l.Date, l.Date.Add(dateStep)
	}
	for _, h := range l.Hosts {
		e.Hosts = append(e.Hosts, member.ListedHost{Name: h.Name, Upstream: h.Kind != wire.KindEntry, State: states[h.State]})
	}
	return e
}

// entryHosts returns the peer addresses of entry hosts that the host list does not call gone.
func (u *upstreams) entryHosts() []string {
	var list []string
	for _, h := range u.hosts {
		if h.Kind == wire.KindEntry && h.State != wire.HostGone {
			list = append(list, h.Address)
		}
	}
	return list
}

func (u *upstreams) entry(h wire.Host) {
	old, known := u.hosts[h.Name]
	u.hosts[h.Name] = h
	switch {
	case h.Kind == wire.KindEntry:
	case h.State == wire.HostGone:
		if known && old.State != wire.HostGone {
			u.gone(h)
		}
	case h.Kind == wire.KindEngine && (!known || old != h):
		u.d.cells.get(h.DataCentre).handle(cell.UpstreamAdded{Upstream: h.Name, ChecksFence: h.ChecksFence})
		if known && old.State == wire.HostGone {
			u.d.models.handle(entry.UpstreamLive{Upstream: h.Name})
		}
	}
}

func (u *upstreams) gone(h wire.Host) {
	u.d.log("membership").Info("upstream is gone", "upstream", h.Name)
	delete(u.status, h.Name)
	delete(u.clocks, h.Name)
	u.d.models.handle(entry.UpstreamGone{Upstream: h.Name})
	if h.Kind == wire.KindEngine {
		u.d.cells.get(h.DataCentre).handle(cell.UpstreamGone{Upstream: h.Name})
	}
}

// leavingChanged takes the evidence of this daemon and its peers on whether new work may go to the upstream.
func (u *upstreams) leavingChanged(name string, leaving bool) {
	h := u.hosts[name]
	u.leaving[name] = leaving
	u.count()
	u.d.log("membership").Info("upstream changed", "upstream", name, "leaving", leaving)
	if !leaving {
		u.d.models.handle(entry.UpstreamLive{Upstream: name})
		if h.Kind == wire.KindEngine {
			u.d.cells.get(h.DataCentre).handle(cell.UpstreamAdded{Upstream: name, ChecksFence: h.ChecksFence})
		}
		return
	}
	u.d.models.handle(entry.UpstreamLeaving{Upstream: name})
	if h.Kind == wire.KindEngine {
		u.d.cells.get(h.DataCentre).handle(cell.UpstreamLeaving{Upstream: name})
	}
}

// refused asks an engine that refused a request for its status at once: it may be leaving or may have restarted.
func (u *upstreams) refused(name string) { u.poll(name) }

// pollHeld asks the engines of the cells that this daemon controls for their status.
func (u *upstreams) pollHeld() {
	for name, h := range u.hosts {
		if h.Kind == wire.KindEngine && h.State != wire.HostGone && u.d.cells.get(h.DataCentre).held {
			u.poll(name)
		}
	}
}

func (u *upstreams) poll(name string) {
	h := u.hosts[name]
	if u.polling[name] || h.Kind != wire.KindEngine {
		return
	}
	u.polling[name] = true
	asked := time.Now()
	u.d.background(func(ctx context.Context) {
		s, err := u.d.engines.Status(ctx, h.Address)
		answered := time.Now()
		u.d.control.Post(func() {
			delete(u.polling, name)
			if err == nil && s.Name == name {
				u.reported(h, asked, answered, s)
			}
		})
	})
}

func (u *upstreams) reported(h wire.Host, asked, answered time.Time, s wire.EngineStatus) {
	u.status[h.Name] = s
	if u.clocks[h.Name] == nil {
		u.clocks[h.Name] = new(clocks.Remote)
	}
	k := u.clocks[h.Name]
	if !s.Date.IsZero() {
		k.Observe(asked, answered, s.Date, s.Date.Add(dateStep))
	}
	u.d.members.handle(member.UpstreamSeen{Upstream: h.Name, Incarnation: s.Incarnation, AskedAt: asked})
	if s.Leaving {
		u.d.members.handle(member.UpstreamRefused{Upstream: h.Name, Incarnation: s.Incarnation})
	}
	u.d.cells.get(h.DataCentre).status(h, asked, k, s)
}

// pollHostList reads the host list until the daemon stops.
func (d *Daemon) pollHostList(ctx context.Context) error {
	t := time.NewTicker(hostListInterval)
	defer t.Stop()
	var l wire.HostList
	for {
		asked := time.Now()
		var err error
		if l, err = d.engines.Hosts(ctx, d.settings.Platform.HostList.String(), l); err == nil {
			read := l
			d.control.Post(func() { d.upstreams.update(asked, read) })
		}
		select {
		case <-t.C:
		case <-ctx.Done():
			return nil
		}
	}
}

// reports describes all upstreams for operators, in the order of their names.
func (u *upstreams) reports() []wire.UpstreamReport {
	list := []wire.UpstreamReport{}
	for _, n := range slices.Sorted(maps.Keys(u.hosts)) {
		h := u.hosts[n]
		if h.Kind == wire.KindEntry {
			continue
		}
		s := u.status[n]
		list = append(list, wire.UpstreamReport{
			Upstream: n, Kind: string(h.Kind), DataCentre: h.DataCentre, State: string(h.State), Leaving: u.leaving[n],
			ChecksFence: h.ChecksFence, CapacityBytes: s.CapacityBytes, UsedBytes: s.UsedBytes,
		})
	}
	return list
}
