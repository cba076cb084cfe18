package daemon

import (
	"slices"
	"strings"
	"time"

	"github.com/fireflycleat/fireflycleat/internal/ctrl"
	"github.com/fireflycleat/fireflycleat/internal/wire"
	"github.com/fireflycleat/fireflycleat/pkg/cell"
	"github.com/fireflycleat/fireflycleat/pkg/entry"
	"github.com/fireflycleat/fireflycleat/pkg/fold"
	"github.com/fireflycleat/fireflycleat/pkg/fresh"
	"github.com/fireflycleat/fireflycleat/pkg/idemp"
	"github.com/fireflycleat/fireflycleat/pkg/member"
)

const maxAddresses = 8

// members is what this daemon knows of the others, and the proof that its state is current. It belongs to the control
// thread.
type members struct {
	d           *Daemon
	list        *member.List
	fresh       *fresh.Tracker
	alarm       *ctrl.Alarm
	told        map[string]bool // told holds the incarnations that the list knows to be recorded.
	membership  int64
	everCurrent bool
	evicted     bool
	logContact  time.Time
	peersTold   []idemp.Member
}

func newMembers(d *Daemon) *members {
	s := d.settings
	m := &members{d: d, fresh: fresh.New(d.incarnation), told: make(map[string]bool)}
	m.list = member.New(member.Identity{
		Incarnation: d.incarnation, Host: s.Host.Name, Address: s.PeerAddress().String(), CallerURL: s.Listen.Traffic.String(),
		DataCentre: s.Host.DataCentre,
	}, s.Caller.AddressLifetime.Value())
	m.alarm = ctrl.NewAlarm(d.control, func() { m.handle(member.Tick{}) })
	return m
}

func (m *members) handle(e member.Event) {
	for _, a := range m.list.Handle(time.Now(), e) {
		switch a := a.(type) {
		case member.Beat:
			m.beat(a)
		case member.RecordGone:
			m.recordGone(a)
		case member.TakeOver:
			m.takeOver(a)
		case member.LeavingChanged:
			m.d.upstreams.leavingChanged(a.Upstream, a.Leaving)
		case member.Evicted:
			m.evicted = true
			m.d.log("membership").Error("this incarnation is recorded as gone")
			m.d.stopping.begin()
		case member.Wake:
			m.alarm.Set(a.At)
		}
	}
}

func (m *members) recordGone(a member.RecordGone) {
	m.d.log("membership").Info("member is gone", "incarnation", a.Incarnation, "proof", a.Proof)
	m.d.appends.add(fold.Gone("", m.d.incarnation, a.Incarnation), nil)
}

func (m *members) takeOver(a member.TakeOver) {
	self := fold.Member{Host: m.d.settings.Host.Name, Incarnation: m.d.incarnation}
	m.d.appends.add(fold.TakeLease("", self, a.Cell, a.Base), nil)
}

// current reports whether the state is proven current, and why or why not.
func (m *members) current(now time.Time) (bool, string) {
	if m.evicted {
		return false, "this incarnation is recorded as gone"
	}
	ok, why := m.fresh.Current(now)
	return ok, string(why)
}

func (m *members) setIntent(publishing bool) {
	m.fresh.SetIntent(time.Now(), publishing)
	if publishing {
		m.urge()
	}
}

// urge sends a heartbeat at once, because peers have to note a change before it may be published.
func (m *members) urge() {
	now := time.Now()
	for _, p := range m.list.Peers(now) {
		if p.Address != "" && !p.Gone {
			m.d.heartbeat(p.Incarnation, p.Address, m.heartbeat(now))
		}
	}
}

// heartbeat returns what a heartbeat says outside the list's own schedule.
func (m *members) heartbeat(now time.Time) member.Heartbeat {
	s := m.d.settings
	// Callers see the published readiness, so peers must not be told of a newer one.
	ok := m.d.snapshot.Load().ready == nil
	return member.Heartbeat{
		Identity: member.Identity{
			Incarnation: m.d.incarnation, Host: s.Host.Name, Address: s.PeerAddress().String(), CallerURL: s.Listen.Traffic.String(),
			DataCentre: s.Host.DataCentre,
		},
		Offset: m.d.state.Offset(), LogContactAge: now.Sub(m.logContact), Current: ok, Draining: m.d.stopping.asked,
	}
}

func (m *members) beat(a member.Beat) {
	byAddress := make(map[string]string)
	for _, p := range m.list.Peers(time.Now()) {
		byAddress[p.Address] = p.Incarnation
	}
	for _, to := range a.To {
		m.d.heartbeat(byAddress[to], to, a.Heartbeat)
	}
}

// sync reacts to changes of the fold: it tells the list who is recorded, and the other parts who the members are.
func (m *members) sync() {
	d := m.d
	if d.state.MembershipOffset() != m.membership {
		m.membership = d.state.MembershipOffset()
		m.syncMembers()
	} else {
		m.fresh.Advance(d.state.Offset())
	}
	m.syncLeases()
}

// syncLeases tells the list who holds the lease of each cell.
func (m *members) syncLeases() {
	d := m.d
	for _, name := range d.upstreams.cells {
		l, ok := d.state.Lease(name)
		x := member.Lease{Cell: name, DataCentre: name, Offset: l.Offset}
		if ok && !l.Released {
			x.Holder = l.Incarnation
		}
		m.handle(x)
	}
}

func (m *members) syncMembers() {
	live := m.d.state.Members()
	list := make([]fresh.Member, len(live))
	present := make(map[string]bool, len(live))
	for i, x := range live {
		list[i] = fresh.Member{Incarnation: x.Incarnation, Offset: x.Offset, Up: x.Up}
		present[x.Incarnation] = true
		if !m.told[x.Incarnation] {
			m.told[x.Incarnation] = true
			m.handle(member.Up{Identity: member.Identity{
				Incarnation: x.Incarnation, Host: x.Host, Address: x.Addresses.Peers, CallerURL: x.Addresses.Callers,
				DataCentre: x.DataCentre,
			}, Offset: x.Offset})
		}
	}
	for i := range m.told {
		if !present[i] {
			delete(m.told, i)
			m.handle(member.Down{Incarnation: i})
		}
	}
	m.fresh.Folded(time.Now(), m.d.state.Offset(), list)
}

// tellPeers passes the state of the members on to the key ranges when it has changed.
func (m *members) tellPeers() {
	now := time.Now()
	var list []idemp.Member
	draining := make(map[string]bool)
	for _, p := range m.list.Peers(now) {
		draining[p.Incarnation] = p.Draining
	}
	for _, x := range m.d.state.Members() {
		list = append(list, idemp.Member{
			Incarnation: x.Incarnation, Lost: m.list.Lost(now, x.Incarnation),
			Draining: draining[x.Incarnation] || x.Incarnation == m.d.incarnation && m.d.stopping.asked,
		})
	}
	if !slices.Equal(list, m.peersTold) {
		m.peersTold = list
		m.d.bookings.handle(idemp.Peers{Members: list})
		m.d.models.handle(m.hosts(list))
	}
}

// hosts counts the hosts that serve and tells the place of this one among those of its data centre.
func (m *members) hosts(list []idemp.Member) entry.Hosts {
	own := m.d.settings.Host.DataCentre
	var h entry.Hosts
	for _, x := range list {
		if x.Lost || x.Draining {
			continue
		}
		h.Live++
		y, _ := m.d.state.Member(x.Incarnation)
		if y.DataCentre != own {
			continue
		}
		h.Near++
		if y.Host < m.d.settings.Host.Name {
			h.Index++
		}
	}
	h.Live, h.Near = max(1, h.Live), max(1, h.Near)
	return h
}

// join registers this daemon once the state is known.
func (m *members) join() {
	d := m.d
	if _, ok := d.state.Member(d.incarnation); ok || d.appends.appending(fold.MemberUpKind) || d.stopping.asked {
		return
	}
	l := d.settings.Listen
	addresses := fold.Addresses{Callers: l.Traffic.String(), Peers: d.settings.PeerAddress().String(), Operators: l.Operator.String()}
	d.appends.add(d.state.Register("", d.incarnation, d.settings.Host.Name, d.settings.Host.DataCentre, addresses), nil)
}

// confirm tells the controllers until when their leases are proven to be held.
func (m *members) confirm(now time.Time) {
	at := m.fresh.ProvenAt(now)
	for _, r := range m.d.cells.byName {
		if r.held && !at.IsZero() {
			r.handle(cell.LeaseConfirmed{At: at})
		}
	}
}

func (m *members) reports(now time.Time) []wire.HostReport {
	ok, _ := m.current(now)
	s := m.d.settings
	list := []wire.HostReport{{
		Host: s.Host.Name, Incarnation: m.d.incarnation, DataCentre: s.Host.DataCentre, Traffic: s.Listen.Traffic.String(),
		Offset: m.d.state.Offset(), Current: ok, Draining: m.d.stopping.asked,
	}}
	for _, p := range m.list.Peers(now) {
		list = append(list, wire.HostReport{
			Host: p.Host, Incarnation: p.Incarnation, DataCentre: p.DataCentre, Traffic: p.CallerURL, Offset: p.Offset,
			Current: p.Current, Draining: p.Draining, Suspect: p.Lost, AgeSeconds: age(now, p.LastHeard),
		})
	}
	slices.SortFunc(list, func(a, b wire.HostReport) int { return strings.Compare(a.Host+a.Incarnation, b.Host+b.Incarnation) })
	return list
}

// age is the time since then in seconds, or -1 if it never was.
func age(now, then time.Time) float64 {
	if then.IsZero() {
		return -1
	}
	return now.Sub(then).Seconds()
}

// address answers which hosts a caller in the data centre should use.
func (d *Daemon) address(dataCentre string) wire.AddressAnswer {
	var a member.Addresses
	d.control.Ask(func() { a = d.members.list.Addresses(time.Now(), dataCentre, maxAddresses) })
	return wire.AddressAnswer{Addresses: a.URLs, LifetimeSeconds: a.Lifetime.Seconds()}
}
