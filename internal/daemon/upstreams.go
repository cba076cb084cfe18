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
	dateResolution   = time.Second // resolution of HTTP Date headers
)

type (
	// upstreams holds what the host list, the engines and the peers report about upstreams. It is used only on the control thread.
	upstreams struct {
		d           *Daemon
		hosts       map[string]wire.Host
		leaving     map[string]bool
		polling     map[string]bool
		status      map[string]wire.EngineStatus
		clocks      map[string]*clocks.Remote // estimated clocks of the engines
		cells       []string                  // cells with an engine that is not gone
		usableCells []string                  // cells with an engine that is neither gone nor leaving
	}
)

func newUpstreams(d *Daemon) *upstreams {
	return &upstreams{
		d: d, hosts: make(map[string]wire.Host), leaving: make(map[string]bool), polling: make(map[string]bool),
		status: make(map[string]wire.EngineStatus), clocks: make(map[string]*clocks.Remote),
	}
}

// address returns the IP:port of the upstream, or an empty string if it is unknown.
func (u *upstreams) address(name string) string { return u.hosts[name].Address }

// cell returns the cell of the upstream. Each data centre is one cell.
func (u *upstreams) cell(name string) string { return u.hosts[name].DataCentre }

// serviceHosts returns the names of the plain service's live hosts that are not leaving, in ascending order.
func (u *upstreams) serviceHosts(name string) []string {
	var names []string
	for _, n := range slices.Sorted(maps.Keys(u.hosts)) {
		h := u.hosts[n]
		if h.Kind == wire.KindService && h.Service == name && h.State == wire.HostLive && !u.leaving[n] {
			names = append(names, n)
		}
	}
	return names
}

// applyHostList applies a host list. Known hosts that the list lacks count as gone.
func (u *upstreams) applyHostList(requestedAt time.Time, l wire.HostList) {
	seen := make(map[string]bool, len(l.Hosts))
	for _, h := range l.Hosts {
		seen[h.Name] = true
		u.applyHost(h)
	}
	for name, h := range u.hosts {
		if !seen[name] && h.State != wire.HostGone {
			h.State = wire.HostGone
			u.applyHost(h)
		}
	}
	u.updateCells()
	u.d.members.handle(hostListEvent(requestedAt, l))
	u.d.members.syncLeases()
}

// updateCells derives cells and usableCells from the known hosts.
func (u *upstreams) updateCells() {
	cells, usable := make(map[string]bool), make(map[string]bool)
	for n, h := range u.hosts {
		if h.Kind == wire.KindEngine && h.State != wire.HostGone {
			cells[h.DataCentre] = true
			if !u.leaving[n] {
				usable[h.DataCentre] = true
			}
		}
	}
	u.cells, u.usableCells = slices.Sorted(maps.Keys(cells)), slices.Sorted(maps.Keys(usable))
}

func hostListEvent(requestedAt time.Time, l wire.HostList) member.HostList {
	states := map[wire.HostState]member.HostState{wire.HostLive: member.Live, wire.HostLeaving: member.Leaving, wire.HostGone: member.Gone}
	e := member.HostList{AsOf: l.AsOf, AskedAt: requestedAt}
	if !l.Date.IsZero() {
		e.Earliest, e.Latest = l.Date, l.Date.Add(dateResolution)
	}
	for _, h := range l.Hosts {
		e.Hosts = append(e.Hosts, member.ListedHost{Name: h.Name, Upstream: h.Kind != wire.KindEntry, State: states[h.State]})
	}
	return e
}

// entryHostAddresses returns the peer addresses of entry hosts that are not gone.
func (u *upstreams) entryHostAddresses() []string {
	var list []string
	for _, h := range u.hosts {
		if h.Kind == wire.KindEntry && h.State != wire.HostGone {
			list = append(list, h.Address)
		}
	}
	return list
}

func (u *upstreams) applyHost(h wire.Host) {
	old, known := u.hosts[h.Name]
	u.hosts[h.Name] = h
	switch {
	case h.Kind == wire.KindEntry:
	case h.State == wire.HostGone:
		if known && old.State != wire.HostGone {
			u.removeGone(h)
		}
	case h.Kind == wire.KindEngine && (!known || old != h):
		u.d.cells.get(h.DataCentre).handle(cell.UpstreamAdded{Upstream: h.Name, ChecksFence: h.ChecksFence})
		if known && old.State == wire.HostGone {
			u.d.modelCalls.handle(entry.UpstreamLive{Upstream: h.Name})
		}
	}
}

func (u *upstreams) removeGone(h wire.Host) {
	u.d.log("membership").Info("upstream is gone", "upstream", h.Name)
	delete(u.status, h.Name)
	delete(u.clocks, h.Name)
	u.d.modelCalls.handle(entry.UpstreamGone{Upstream: h.Name})
	if h.Kind == wire.KindEngine {
		u.d.cells.get(h.DataCentre).handle(cell.UpstreamGone{Upstream: h.Name})
	}
}

// applyLeaving sets whether the upstream is leaving, by the evidence of this daemon and its peers. A leaving upstream gets no new
// work.
func (u *upstreams) applyLeaving(name string, leaving bool) {
	h := u.hosts[name]
	u.leaving[name] = leaving
	u.updateCells()
	u.d.log("membership").Info("leaving state of upstream changed", "upstream", name, "leaving", leaving)
	if !leaving {
		u.d.modelCalls.handle(entry.UpstreamLive{Upstream: name})
		if h.Kind == wire.KindEngine {
			u.d.cells.get(h.DataCentre).handle(cell.UpstreamAdded{Upstream: name, ChecksFence: h.ChecksFence})
		}
		return
	}
	u.d.modelCalls.handle(entry.UpstreamLeaving{Upstream: name})
	if h.Kind == wire.KindEngine {
		u.d.cells.get(h.DataCentre).handle(cell.UpstreamLeaving{Upstream: name})
	}
}

// pollRefusing polls an engine right after it refused a request, because it may be leaving or may have restarted.
func (u *upstreams) pollRefusing(name string) { u.poll(name) }

// pollHeld polls the status of the engines in the cells whose lease this daemon holds.
func (u *upstreams) pollHeld() {
	for name, h := range u.hosts {
		if h.Kind == wire.KindEngine && h.State != wire.HostGone && u.d.cells.get(h.DataCentre).leaseHeld {
			u.poll(name)
		}
	}
}

// poll requests the engine's status unless a request is in progress.
func (u *upstreams) poll(name string) {
	h := u.hosts[name]
	if u.polling[name] || h.Kind != wire.KindEngine {
		return
	}
	u.polling[name] = true
	requestedAt := time.Now()
	u.d.background(func(ctx context.Context) {
		s, err := u.d.engines.Status(ctx, h.Address)
		answeredAt := time.Now()
		u.d.control.Post(func() {
			delete(u.polling, name)
			if err == nil && s.Name == name {
				u.applyStatus(h, requestedAt, answeredAt, s)
			}
		})
	})
}

func (u *upstreams) applyStatus(h wire.Host, requestedAt, answeredAt time.Time, s wire.EngineStatus) {
	u.status[h.Name] = s
	if u.clocks[h.Name] == nil {
		u.clocks[h.Name] = new(clocks.Remote)
	}
	clock := u.clocks[h.Name]
	if !s.Date.IsZero() {
		clock.Observe(requestedAt, answeredAt, s.Date, s.Date.Add(dateResolution))
	}
	u.d.members.handle(member.UpstreamSeen{Upstream: h.Name, Incarnation: s.Incarnation, AskedAt: requestedAt})
	if s.Leaving {
		u.d.members.handle(member.UpstreamRefused{Upstream: h.Name, Incarnation: s.Incarnation})
	}
	u.d.cells.get(h.DataCentre).applyStatus(h, requestedAt, clock, s)
}

// pollHostList reads the host list until the daemon stops.
func (d *Daemon) pollHostList(ctx context.Context) error {
	t := time.NewTicker(hostListInterval)
	defer t.Stop()
	var l wire.HostList
	for {
		requestedAt := time.Now()
		var err error
		if l, err = d.engines.Hosts(ctx, d.settings.Platform.HostList.String(), l); err == nil {
			list := l
			d.control.Post(func() { d.upstreams.applyHostList(requestedAt, list) })
		}
		select {
		case <-t.C:
		case <-ctx.Done():
			return nil
		}
	}
}

// reports describes all upstreams for operators, in order of name.
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
