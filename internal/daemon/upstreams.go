package daemon

import (
	"context"
	"maps"
	"slices"
	"time"

	"github.com/fireflycleat/fireflycleat/internal/wire"
	"github.com/fireflycleat/fireflycleat/pkg/cell"
	"github.com/fireflycleat/fireflycleat/pkg/entry"
)

const hostListInterval = 500 * time.Millisecond

type (
	// upstreams is what the host list, the engines and the peers say of upstreams. It belongs to the control thread.
	upstreams struct {
		d       *Daemon
		hosts   map[string]wire.Host
		leaving map[string]bool
		polling map[string]bool
		status  map[string]wire.EngineStatus
		cells   []string
	}
)

func newUpstreams(d *Daemon) *upstreams {
	return &upstreams{
		d: d, hosts: make(map[string]wire.Host), leaving: make(map[string]bool), polling: make(map[string]bool),
		status: make(map[string]wire.EngineStatus),
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
func (u *upstreams) update(l wire.HostList) {
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
	cells := make(map[string]bool)
	for _, h := range u.hosts {
		if h.Kind == wire.KindEngine {
			cells[h.DataCentre] = true
		}
	}
	u.cells = slices.Sorted(maps.Keys(cells))
}

func (u *upstreams) entry(h wire.Host) {
	old, known := u.hosts[h.Name]
	u.hosts[h.Name] = h
	switch {
	case h.Kind == wire.KindEntry:
		u.d.hostListed(h)
	case h.State == wire.HostGone:
		if known && old.State != wire.HostGone {
			u.gone(h)
		}
	case h.State == wire.HostLeaving:
		u.left(h.Name)
	case h.Kind == wire.KindEngine && (!known || old != h):
		u.d.cells.get(h.DataCentre).handle(cell.UpstreamAdded{Upstream: h.Name, ChecksFence: h.ChecksFence})
		if known && old.State != wire.HostLive {
			delete(u.leaving, h.Name)
			u.d.models.handle(entry.UpstreamLive{Upstream: h.Name})
		}
	}
}

func (u *upstreams) gone(h wire.Host) {
	u.d.log("membership").Info("upstream is gone", "upstream", h.Name)
	delete(u.status, h.Name)
	u.d.models.handle(entry.UpstreamGone{Upstream: h.Name})
	if h.Kind == wire.KindEngine {
		u.d.cells.get(h.DataCentre).handle(cell.UpstreamGone{Upstream: h.Name})
	}
}

// left records evidence that the upstream is leaving; the evidence goes to peers with the next heartbeat.
func (u *upstreams) left(name string) {
	if u.leaving[name] {
		return
	}
	u.leaving[name] = true
	u.d.log("membership").Info("upstream is leaving", "upstream", name)
	u.d.leavingSeen(name)
	u.d.models.handle(entry.UpstreamLeaving{Upstream: name})
	if u.hosts[name].Kind == wire.KindEngine {
		u.d.cells.get(u.cell(name)).handle(cell.UpstreamLeaving{Upstream: name})
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
		u.d.control.post(func() {
			delete(u.polling, name)
			if err == nil && s.Name == name {
				u.reported(h, asked, s)
			}
		})
	})
}

func (u *upstreams) reported(h wire.Host, asked time.Time, s wire.EngineStatus) {
	u.status[h.Name] = s
	if s.Leaving {
		u.left(h.Name)
	}
	u.d.cells.get(h.DataCentre).status(h, asked, s)
}

// pollHostList reads the host list until the daemon stops.
func (d *Daemon) pollHostList(ctx context.Context) error {
	t := time.NewTicker(hostListInterval)
	defer t.Stop()
	for {
		l, err := d.engines.Hosts(ctx, d.settings.Platform.HostList.String())
		if err == nil {
			d.control.post(func() { d.upstreams.update(l) })
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
