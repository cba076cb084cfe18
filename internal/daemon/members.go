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
	"github.com/fireflycleat/fireflycleat/pkg/idemp"
	"github.com/fireflycleat/fireflycleat/pkg/member"
	"github.com/fireflycleat/fireflycleat/pkg/stale"
)

const maxAddresses = 8

// members holds the known peers and the evidence that this daemon's state is current. It is used only on the control thread.
type members struct {
	d                *Daemon
	list             *member.List
	tracker          *stale.Tracker
	alarm            *ctrl.Alarm
	knownToList      map[string]bool // incarnations in the log that the list has been notified of
	membershipOffset int64
	everCurrent      bool
	evicted          bool
	logContact       time.Time
	reportedMembers  []idemp.Member
}

func newMembers(d *Daemon) *members {
	s := d.settings
	m := &members{d: d, tracker: stale.New(d.incarnation), knownToList: make(map[string]bool)}
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
		case member.SendHeartbeat:
			m.sendScheduledHeartbeats(a)
		case member.RecordGone:
			m.appendGone(a)
		case member.TakeOver:
			m.takeOver(a)
		case member.LeavingChanged:
			m.d.upstreams.applyLeaving(a.Upstream, a.Leaving)
		case member.Evicted:
			m.evicted = true
			m.d.log("membership").Error("this incarnation is recorded as gone")
			m.d.stopping.begin()
		case member.Wake:
			m.alarm.Set(a.At)
		}
	}
}

func (m *members) appendGone(a member.RecordGone) {
	m.d.log("membership").Info("recording member as gone", "incarnation", a.Incarnation, "proof", a.Proof)
	m.d.appender.add(fold.MembersGone("", m.d.incarnation, a.Incarnation), nil)
}

func (m *members) takeOver(a member.TakeOver) {
	self := fold.Member{Host: m.d.settings.Host.Name, Incarnation: m.d.incarnation}
	m.d.appender.add(fold.TakeLease("", self, a.Cell, a.Base), nil)
}

// current reports whether the state is proven current, and the reason.
func (m *members) current(now time.Time) (bool, string) {
	if m.evicted {
		return false, "this incarnation is recorded as gone"
	}
	ok, reason := m.tracker.Current(now)
	return ok, string(reason)
}

// setPublishing sets whether a configuration change is prepared or being appended, and if so announces it to the peers.
func (m *members) setPublishing(publishing bool) {
	m.tracker.SetPublishing(time.Now(), publishing)
	if publishing {
		m.sendHeartbeatsNow()
	}
}

// sendHeartbeatsNow sends a heartbeat to all peers outside the schedule. A prepared change may be appended only after peers have
// acknowledged it.
func (m *members) sendHeartbeatsNow() {
	now := time.Now()
	for _, p := range m.list.Peers(now) {
		if p.Address != "" && !p.Gone {
			m.d.sendHeartbeat(p.Incarnation, p.Address, m.currentHeartbeat(now))
		}
	}
}

// currentHeartbeat returns the content of a heartbeat that is sent outside the member list's schedule.
func (m *members) currentHeartbeat(now time.Time) member.Heartbeat {
	s := m.d.settings
	// Callers see the published readiness, so a heartbeat must not report a newer one.
	ready := m.d.published.Load().readyErr == nil
	return member.Heartbeat{
		Identity: member.Identity{
			Incarnation: m.d.incarnation, Host: s.Host.Name, Address: s.PeerAddress().String(), CallerURL: s.Listen.Traffic.String(),
			DataCentre: s.Host.DataCentre,
		},
		Offset: m.d.state.Offset(), LogContactAge: now.Sub(m.logContact), Current: ready, Draining: m.d.stopping.draining,
	}
}

func (m *members) sendScheduledHeartbeats(a member.SendHeartbeat) {
	byAddress := make(map[string]string)
	for _, p := range m.list.Peers(time.Now()) {
		byAddress[p.Address] = p.Incarnation
	}
	for _, to := range a.To {
		m.d.sendHeartbeat(byAddress[to], to, a.Heartbeat)
	}
}

// sync passes the members and leases in the log to the member list and the tracker.
func (m *members) sync() {
	d := m.d
	if d.state.MembershipOffset() != m.membershipOffset {
		m.membershipOffset = d.state.MembershipOffset()
		m.syncMembers()
	} else {
		m.tracker.Advance(d.state.Offset())
	}
	m.syncLeases()
}

// syncLeases passes the lease holder of each cell to the member list.
func (m *members) syncLeases() {
	d := m.d
	for _, name := range d.upstreams.cells {
		l, ok := d.state.Lease(name)
		lease := member.Lease{Cell: name, DataCentre: name, Offset: l.Offset}
		if ok && !l.Released {
			lease.Holder = l.Incarnation
		}
		m.handle(lease)
	}
}

func (m *members) syncMembers() {
	live := m.d.state.Members()
	list := make([]stale.Member, len(live))
	present := make(map[string]bool, len(live))
	for i, x := range live {
		list[i] = stale.Member{Incarnation: x.Incarnation, Offset: x.Offset, RegisteredAt: x.RegisteredAt}
		present[x.Incarnation] = true
		if !m.knownToList[x.Incarnation] {
			m.knownToList[x.Incarnation] = true
			m.handle(member.Registered{Identity: member.Identity{
				Incarnation: x.Incarnation, Host: x.Host, Address: x.Addresses.Peers, CallerURL: x.Addresses.Callers,
				DataCentre: x.DataCentre,
			}, Offset: x.Offset})
		}
	}
	for i := range m.knownToList {
		if !present[i] {
			delete(m.knownToList, i)
			m.handle(member.RecordedGone{Incarnation: i})
		}
	}
	m.tracker.AdvanceMembers(time.Now(), m.d.state.Offset(), list)
}

// reportMembers passes the state of the members to the key range and entry state machines when it has changed.
func (m *members) reportMembers() {
	now := time.Now()
	var list []idemp.Member
	draining := make(map[string]bool)
	for _, p := range m.list.Peers(now) {
		draining[p.Incarnation] = p.Draining
	}
	for _, x := range m.d.state.Members() {
		list = append(list, idemp.Member{
			Incarnation: x.Incarnation, Lost: m.list.Lost(now, x.Incarnation),
			Draining: draining[x.Incarnation] || x.Incarnation == m.d.incarnation && m.d.stopping.draining,
		})
	}
	if !slices.Equal(list, m.reportedMembers) {
		m.reportedMembers = list
		m.d.serviceCalls.handle(idemp.Peers{Members: list})
		m.d.modelCalls.handle(m.countHosts(list))
	}
}

// countHosts counts the live hosts that are not draining, in total and in this data centre, and returns this host's position among
// those of its data centre in order of name.
func (m *members) countHosts(list []idemp.Member) entry.Hosts {
	dataCentre := m.d.settings.Host.DataCentre
	var h entry.Hosts
	for _, x := range list {
		if x.Lost || x.Draining {
			continue
		}
		h.Live++
		registration, _ := m.d.state.Member(x.Incarnation)
		if registration.DataCentre != dataCentre {
			continue
		}
		h.Near++
		if registration.Host < m.d.settings.Host.Name {
			h.Index++
		}
	}
	h.Live, h.Near = max(1, h.Live), max(1, h.Near)
	return h
}

// register appends this daemon's registration unless it is registered, registering or draining. It is called once the state has
// been read from the log.
func (m *members) register() {
	d := m.d
	if _, ok := d.state.Member(d.incarnation); ok || d.appender.isPending(fold.MemberUpKind) || d.stopping.draining {
		return
	}
	l := d.settings.Listen
	addresses := fold.Addresses{Callers: l.Traffic.String(), Peers: d.settings.PeerAddress().String(), Operators: l.Operator.String()}
	d.appender.add(d.state.Register("", d.incarnation, d.settings.Host.Name, d.settings.Host.DataCentre, addresses), nil)
}

// confirmLeases reports to each controller the latest time at which its lease is proven to be held.
func (m *members) confirmLeases(now time.Time) {
	at := m.tracker.ProvenAt(now)
	for _, r := range m.d.cells.byName {
		if r.leaseHeld && !at.IsZero() {
			r.handle(cell.LeaseConfirmed{At: at})
		}
	}
}

func (m *members) hostReports(now time.Time) []wire.HostReport {
	current, _ := m.current(now)
	s := m.d.settings
	list := []wire.HostReport{{
		Host: s.Host.Name, Incarnation: m.d.incarnation, DataCentre: s.Host.DataCentre, Traffic: s.Listen.Traffic.String(),
		Offset: m.d.state.Offset(), Current: current, Draining: m.d.stopping.draining,
	}}
	for _, p := range m.list.Peers(now) {
		list = append(list, wire.HostReport{
			Host: p.Host, Incarnation: p.Incarnation, DataCentre: p.DataCentre, Traffic: p.CallerURL, Offset: p.Offset,
			Current: p.Current, Draining: p.Draining, Suspect: p.Lost, AgeSeconds: ageSeconds(now, p.LastSeen),
		})
	}
	slices.SortFunc(list, func(a, b wire.HostReport) int { return strings.Compare(a.Host+a.Incarnation, b.Host+b.Incarnation) })
	return list
}

// ageSeconds returns the number of seconds from then to now, or -1 if then is zero.
func ageSeconds(now, then time.Time) float64 {
	if then.IsZero() {
		return -1
	}
	return now.Sub(then).Seconds()
}

// address returns the addresses that a caller in the data centre should use.
func (d *Daemon) address(dataCentre string) wire.AddressResponse {
	var a member.Addresses
	d.control.Ask(func() { a = d.members.list.Addresses(time.Now(), dataCentre, maxAddresses) })
	return wire.AddressResponse{Addresses: a.URLs, LifetimeSeconds: a.Lifetime.Seconds()}
}
