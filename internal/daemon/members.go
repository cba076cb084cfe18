package daemon

import (
	"context"
	"slices"
	"strings"
	"time"

	"github.com/fireflycleat/fireflycleat/internal/peers"
	"github.com/fireflycleat/fireflycleat/internal/wire"
	"github.com/fireflycleat/fireflycleat/pkg/cell"
	"github.com/fireflycleat/fireflycleat/pkg/entry"
	"github.com/fireflycleat/fireflycleat/pkg/fold"
	"github.com/fireflycleat/fireflycleat/pkg/idemp"
)

const (
	beatInterval  = time.Second
	suspectAfter  = 3 * time.Second
	freshFor      = 5 * time.Second
	takeoverDelay = time.Second
)

type (
	// members is what this daemon knows of the others. It belongs to the control thread.
	members struct {
		d           *Daemon
		heard       map[string]heard
		leaving     map[string]time.Time
		logAt       time.Time
		everCurrent bool
		joining     bool
		gone        map[string]bool
	}

	heard struct {
		at   time.Time
		beat peers.Heartbeat
	}
)

func newMembers(d *Daemon) *members {
	return &members{d: d, heard: make(map[string]heard), leaving: make(map[string]time.Time), gone: make(map[string]bool)}
}

func (m *members) current(now time.Time) (bool, string) {
	if now.Sub(m.logAt) <= freshFor {
		return true, ""
	}
	return false, "log was not read recently"
}

func (m *members) mayPublish(time.Time) error { return nil }

// sync reacts to changes of the fold: it registers this daemon and tells the other parts who the members are.
func (m *members) sync() {
	d := m.d
	live := d.state.Members()
	list := make([]idemp.Member, 0, len(live))
	for _, x := range live {
		list = append(list, idemp.Member{Incarnation: x.Incarnation, Lost: m.suspect(x.Incarnation), Draining: m.heard[x.Incarnation].beat.Draining})
	}
	d.bookings.handle(idemp.Peers{Members: list})
	d.models.handle(entry.Hosts{Live: max(1, len(live))})
}

func (m *members) suspect(incarnation string) bool {
	if incarnation == m.d.incarnation {
		return false
	}
	x, ok := m.d.state.Member(incarnation)
	if !ok {
		return true
	}
	last := m.heard[incarnation].at
	if last.IsZero() {
		last = x.Up
	}
	return time.Since(last) > suspectAfter
}

func (m *members) join() {
	d := m.d
	if _, ok := d.state.Member(d.incarnation); ok || m.joining || m.logAt.IsZero() || d.stopping.asked {
		return
	}
	m.joining = true
	l := d.settings.Listen
	d.appends.add(fold.Record{Kind: fold.MemberUpKind, MemberUp: &fold.MemberUp{
		Host: d.settings.Host.Name, Base: d.state.HostOffset(d.settings.Host.Name), DataCentre: d.settings.Host.DataCentre,
		Addresses: fold.Addresses{Callers: l.Traffic.String(), Peers: l.Peers.String(), Operators: l.Operator.String()},
	}}, func(_ int64, err error) {
		m.joining = false
		if err != nil {
			d.log("membership").Warn("not registered", "err", err)
		}
	})
}

// takeOver proposes this daemon as the controller of cells whose holder is gone, has released or is suspected.
func (m *members) takeOver() {
	d := m.d
	if _, ok := d.state.Member(d.incarnation); !ok || d.stopping.asked {
		return
	}
	var changes []fold.LeaseChange
	for _, name := range d.upstreams.cells {
		l, ok := d.state.Lease(name)
		if ok && !l.Released && !m.suspect(l.Incarnation) {
			continue
		}
		if m.candidate(name) == d.incarnation {
			changes = append(changes, fold.LeaseChange{
				Cell: name, Base: l.Offset, Host: d.settings.Host.Name, Incarnation: d.incarnation,
			})
		}
	}
	if len(changes) > 0 && !m.proposing() {
		d.appends.add(fold.Record{Kind: fold.CellLeaseKind, CellLease: changes}, nil)
	}
}

func (m *members) proposing() bool {
	for _, p := range m.d.appends.pending {
		if p.record.Kind == fold.CellLeaseKind {
			return true
		}
	}
	return false
}

func (m *members) candidate(name string) string {
	var best fold.Member
	for _, x := range m.d.state.Members() {
		if m.suspect(x.Incarnation) || m.heard[x.Incarnation].beat.Draining {
			continue
		}
		near := x.DataCentre == name
		if best.Incarnation == "" || near && best.DataCentre != name ||
			near == (best.DataCentre == name) && home(name, []string{x.Incarnation, best.Incarnation}) == x.Incarnation {
			best = x
		}
	}
	return best.Incarnation
}

func (m *members) reports(now time.Time) []wire.HostReport {
	list := []wire.HostReport{}
	for _, x := range m.d.state.Members() {
		b := m.heard[x.Incarnation]
		r := wire.HostReport{
			Host: x.Host, Incarnation: x.Incarnation, DataCentre: x.DataCentre, Traffic: x.Addresses.Callers, Offset: b.beat.Offset,
			Current: b.beat.Current, Draining: b.beat.Draining, Suspect: m.suspect(x.Incarnation), AgeSeconds: now.Sub(b.at).Seconds(),
		}
		if x.Incarnation == m.d.incarnation {
			ok, _ := m.current(now)
			r.Offset, r.Current, r.Draining, r.AgeSeconds = m.d.state.Offset(), ok, m.d.stopping.asked, 0
		}
		list = append(list, r)
	}
	slices.SortFunc(list, func(a, b wire.HostReport) int { return strings.Compare(a.Host, b.Host) })
	return list
}

func (d *Daemon) leavingSeen(name string) { d.members.leaving[name] = time.Now() }

// logRead records that the state was as new as the log at the time.
func (d *Daemon) logRead(asked time.Time, _ int64) {
	d.members.logAt = asked
	d.members.everCurrent = true
	d.members.join()
	d.confirm()
	d.publish()
}

func (d *Daemon) readFailed(err error) {
	d.log("state").Debug("log cannot be read", "err", err)
	d.publish()
}

// confirm tells the controllers that their leases are still held.
func (d *Daemon) confirm() {
	if ok, _ := d.members.current(time.Now()); !ok {
		return
	}
	for _, r := range d.cells.byName {
		if r.held {
			r.handle(cell.LeaseConfirmed{At: d.members.logAt})
		}
	}
}

// beat sends heartbeats and repeats what peers may have missed until the daemon stops.
func (d *Daemon) beat(ctx context.Context) error {
	t := time.NewTicker(d.settings.Platform.StatusInterval.Value())
	defer t.Stop()
	last := time.Time{}
	for {
		select {
		case <-t.C:
		case <-ctx.Done():
			return nil
		}
		d.control.ask(func() {
			d.upstreams.pollHeld()
			d.cells.use(d.models.use)
			d.metrics.Load(0, len(d.models.calls))
			ok, _ := d.members.current(time.Now())
			d.metrics.State(d.state.Offset(), ok)
			if time.Since(last) >= beatInterval {
				last = time.Now()
				d.beatNow()
			}
		})
	}
}

// beatNow sends a heartbeat to all members, on the control thread.
func (d *Daemon) beatNow() {
	ok, _ := d.members.current(time.Now())
	b := peers.Heartbeat{
		Header: d.header(d.life), Host: d.settings.Host.Name, DataCentre: d.settings.Host.DataCentre, Offset: d.state.Offset(),
		LogAge: time.Since(d.members.logAt), Current: ok, Draining: d.stopping.asked,
	}
	for n, at := range d.members.leaving {
		b.Leaving = append(b.Leaving, peers.Leaving{Upstream: n, Age: time.Since(at)})
	}
	for _, x := range d.state.Members() {
		if x.Incarnation != d.incarnation {
			d.heartbeat(x, b)
		}
	}
	for _, r := range d.cells.byName {
		r.beat()
	}
	d.members.sync()
	d.members.takeOver()
	d.publish()
}

func (d *Daemon) heartbeat(x fold.Member, b peers.Heartbeat) {
	d.background(func(ctx context.Context) {
		err := d.peerClient.Call(ctx, x.Addresses.Peers, "Peer.Heartbeat", b, &peers.Nothing{})
		d.countPeerCall("Heartbeat", err)
		if peers.Refused(err) {
			d.control.post(func() { d.provenGone(x.Incarnation) })
		}
	})
}

// provenGone records that a member's process has ended: nothing listens at its address any more.
func (d *Daemon) provenGone(incarnation string) {
	if _, ok := d.state.Member(incarnation); !ok || d.members.gone[incarnation] {
		return
	}
	d.members.gone[incarnation] = true
	d.appends.add(fold.Record{Kind: fold.MemberGoneKind, MemberGone: []string{incarnation}}, func(int64, error) {
		delete(d.members.gone, incarnation)
	})
}

// heartbeatFrom takes a peer's heartbeat in.
func (d *Daemon) heartbeatFrom(b peers.Heartbeat) {
	d.members.heard[b.From] = heard{time.Now(), b}
	for _, l := range b.Leaving {
		d.upstreams.left(l.Upstream)
	}
	if x, ok := d.state.Member(b.From); ok && b.Offset > d.state.Offset() {
		after := d.state.Offset()
		d.background(func(ctx context.Context) { d.fetchState(ctx, x.Addresses.Peers, after) })
	}
}

// hostListed uses what the host list says of entry hosts.
func (d *Daemon) hostListed(h wire.Host) {
	if h.State != wire.HostGone {
		return
	}
	for _, x := range d.state.Members() {
		if x.Host == h.Name && x.Incarnation != d.incarnation {
			d.provenGone(x.Incarnation)
		}
	}
}

// address answers which hosts a caller in the data centre should use.
func (d *Daemon) address(dataCentre string) wire.AddressAnswer {
	a := wire.AddressAnswer{LifetimeSeconds: d.settings.Caller.AddressLifetime.Value().Seconds()}
	d.control.ask(func() {
		var far []string
		for _, r := range d.members.reports(time.Now()) {
			switch {
			case !r.Current || r.Draining || r.Suspect:
			case r.DataCentre == dataCentre:
				a.Addresses = append(a.Addresses, r.Traffic)
			default:
				far = append(far, r.Traffic)
			}
		}
		d.random.Shuffle(len(a.Addresses), func(i, j int) { a.Addresses[i], a.Addresses[j] = a.Addresses[j], a.Addresses[i] })
		d.random.Shuffle(len(far), func(i, j int) { far[i], far[j] = far[j], far[i] })
		a.Addresses = append(a.Addresses, far...)
	})
	return a
}
