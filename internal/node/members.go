package node

import (
	"context"
	"slices"
	"sync/atomic"
	"time"

	"github.com/fireflycleat/fireflycleat/internal/peers"
	"github.com/fireflycleat/fireflycleat/pkg/blame"
	"github.com/fireflycleat/fireflycleat/pkg/hubs"
	"github.com/fireflycleat/fireflycleat/pkg/lease"
	"github.com/fireflycleat/fireflycleat/pkg/pick"
	"github.com/fireflycleat/fireflycleat/pkg/place"
)

const (
	heartbeatInterval = 600 * time.Millisecond
	heartbeatTimeout  = 500 * time.Millisecond
	// maxMembersWait is how long a starting host waits for the members before it reads configuration and list from the store. With
	// members it gets both from its hub.
	maxMembersWait = 600 * time.Millisecond
	// maxFirstListWait is how long a starting host waits for the first list of its hub when all hosts start, and firstListRetry the
	// interval at which it queries the hub.
	maxFirstListWait = 5 * time.Second
	firstListRetry   = 200 * time.Millisecond
	// livenessTimeout is how long a member counts as alive after it was last seen. It allows for three heartbeats, one of them
	// passed on by a hub.
	livenessTimeout = 2400 * time.Millisecond
	// usesTimeout is how long the uses reported by a host are valid.
	usesTimeout = 3 * time.Second
	// silentHeartbeats is the number of missed heartbeats after which the uses reported by a member are dropped.
	silentHeartbeats = 6
	// directDuration is how long a host reads the store itself after its hub was silent or stale, and staleHubDuration how long
	// the host avoids that hub.
	directDuration   = 1500 * time.Millisecond
	staleHubDuration = 5 * time.Second
	// recentListAge is the maximum age at which a hub's list counts as read without an outage of the store in between when a host starts
	// to read the store itself: entries last longer than that without a heartbeat from their upstream.
	recentListAge = 3 * time.Second
	// seedDelay is the time from the start until seeds are queried; a store that is up has answered by then.
	seedDelay = 500 * time.Millisecond
	// unusableHeartbeats is the number of missed heartbeats after which a host can't be a hub.
	unusableHeartbeats = 2
	// silentRetryRounds is the interval, in heartbeat rounds, at which heartbeats may also go to hosts that missed some.
	silentRetryRounds = 5
	// minNearHosts is the number of hosts in the caller's data centre that suffice: with so many, no others are returned.
	minNearHosts = 2
	maxAddresses = 64
)

type (
	// member is the state that this host keeps about another one.
	member struct {
		Member
		lastSeen         time.Time
		ready            bool
		stopping         bool
		missedHeartbeats int
		usesAt           time.Time   // when the host last reported its uses
		staleAt          time.Time   // when the host, as a hub, was last silent or stale
		lastQuery        time.Time   // when the host last queried this one for updates
		uses             []place.Use // last reported uses, if the host depends on this one
		changed          int64       // value of Node.memberGeneration when the host was added or restarted
	}

	// peerService holds the RPC methods that other hosts call.
	peerService struct{ node *Node }

	// Heartbeat is the periodic message between hosts, and the answer to it.
	Heartbeat struct {
		From     Member
		Ready    bool
		Stopping bool
		Uses     []place.Use
		UsesAge  time.Duration // mean age of Uses
		Lease    LeaseUpdate
		Children []HostStatus   // hosts that depend on the sender
		Query    *FeedQuery     // request for updates from a hub; nil in heartbeats between hubs
		Feed     *Feed          // answer to Query
		Evidence blame.Evidence // of parts of prompts that crash upstreams
		Repeats  blame.Evidence // of requests that do
		Leaving  []pick.LeavingSign
		Limits   []pick.LimitSign
		Config   *ConfigState // nil from some earlier builds
	}

	// ConfigState is the configuration of a host.
	ConfigState struct {
		Version int64
		Record  []byte // encoded configuration, only if the receiver is known to have an older one
		Unpacks bool   // whether the sender accepts Packed in place of Record
		Packed  []byte // Record in DEFLATE format
	}

	// LeaseUpdate reports the newest lease record known to a host.
	LeaseUpdate struct {
		Known  bool
		Newest lease.Newest
		Age    time.Duration // time for which the record has been known to exist
		Holder Member        // host that holds the lease; zero if unknown
	}
)

// addMember adds or updates a host that is known to exist; the host need not be alive. It returns nil for this host itself.
func (n *Node) addMember(m Member) *member {
	if m.Name == n.self.Name {
		return nil
	}
	x, ok := n.members[m.Name]
	if !ok {
		x = new(member)
		n.members[m.Name] = x
		n.log("members").Info("member found", "event", eventMemberFound, "member", m.Name, "peers", m.Peers)
	}
	if x.Incarnation != m.Incarnation {
		x.Member, x.missedHeartbeats = m, 0
		n.memberGeneration++
		x.changed = n.memberGeneration
	}
	return x
}

func (m *member) alive(now time.Time) bool {
	return now.Sub(m.lastSeen) < livenessTimeout && !m.stopping
}

// heartbeatLoop sends heartbeats: hubs and the controller send them to each other, any other host sends them to its hub.
func (n *Node) heartbeatLoop(ctx context.Context) {
	for round := 0; ctx.Err() == nil; round++ {
		var message Heartbeat
		var to []Member
		var seeds []Member
		n.control.Ask(func() {
			seeds = n.seeds()
			if n.membersKnown(time.Now()) {
				message, to = n.heartbeat(round)
			} else {
				message = Heartbeat{From: n.self}
			}
		})
		if len(to) == 0 && n.direct.Load() {
			n.peersAsked.Store(true)
		}
		failed, recipients := new(atomic.Int32), int32(len(to)) //nolint:gosec // a number of hosts
		for _, m := range to {
			n.background(func(ctx context.Context) {
				if !n.sendHeartbeat(ctx, m, &message) && failed.Add(1) == recipients {
					n.peersAsked.Store(true)
				}
			})
		}
		query := message
		query.Query = &FeedQuery{Packed: true}
		for _, m := range seeds {
			n.background(func(ctx context.Context) { n.sendHeartbeat(ctx, m, &query) })
		}
		t := time.NewTimer(heartbeatInterval)
		select {
		case <-t.C:
		case <-n.heartbeatDue:
		case <-ctx.Done():
		}
		t.Stop()
	}
}

// requestHeartbeat makes the heartbeat loop send the next heartbeat at once.
func (n *Node) requestHeartbeat() {
	select {
	case n.heartbeatDue <- struct{}{}:
	default: // A heartbeat is already due.
	}
}

// candidates returns all known hosts as candidates for hubs. With includeSilent, members count as usable even if they missed
// heartbeats, are stopping or were stale.
func (n *Node) candidates(includeSilent bool) []hubs.Host {
	now := time.Now()
	_, stopping := n.stop.state()
	outage := n.outage.active(now)
	list := []hubs.Host{{Name: n.self.Name, DataCentre: n.self.DataCentre, Capacity: n.self.Capacity, Usable: !stopping}}
	for name, m := range n.members {
		list = append(list, hubs.Host{
			Name: name, DataCentre: m.DataCentre, Capacity: m.Capacity,
			Usable: includeSilent || m.missedHeartbeats < unusableHeartbeats && !m.stopping && (outage || now.Sub(m.staleAt) > staleHubDuration),
		})
	}
	return list
}

// heartbeat returns the next heartbeat and its recipients.
func (n *Node) heartbeat(round int) (Heartbeat, []Member) {
	now := time.Now()
	uses, usesAge := n.mergedUses(now)
	n.table.UpdateRates(now)
	n.placing.SetUses(now, n.self.Name, uses)
	_, stopping := n.stop.state()
	b := Heartbeat{
		From: n.self, Ready: n.ready.Load(), Stopping: stopping, Uses: uses, UsesAge: usesAge, Lease: n.leaseUpdate(), Config: n.record.state(n.configVersion(), nil),
	}
	before := n.parent
	n.parent, n.hubsChosen = hubs.Parent(n.candidates(false), n.self.DataCentre, n.self.Name), true
	if before != "" && n.parent == "" {
		n.updatePlacing(now)
	}
	n.dependent.Store(n.parent != "")
	n.chooseSource()
	if _, holds := n.lease.Held(n.now()); n.parent != "" && !holds {
		// Hubs rank first, because they already receive the uses of all hosts and have more processor time.
		n.lease.SetRank(len(n.chooseHubs(false)))
		query := n.query()
		b.Query = &query
		if n.firstQueryAt.IsZero() {
			n.firstQueryAt = now
		}
		n.exportSigns(now, &b, false, false)
		return b, []Member{n.members[n.parent].Member}
	}
	n.table.LearnSpeeds()
	n.placing.SetSpeeds(n.table.Speeds())
	b.Children = n.childStatuses(now)
	n.exportSigns(now, &b, true, false)
	n.hubs = n.chooseHubs(false)
	rank, to := 0, []Member(nil)
	for name := range n.hubs {
		if m := n.members[name]; m != nil && name < n.self.Name && m.alive(now) {
			rank++
		}
	}
	n.lease.SetRank(rank)
	chosen := n.chooseHubs(round%silentRetryRounds == 0)
	if holder := n.lease.Holder(); holder != "" {
		chosen[holder] = true // The controller needs the uses of all hosts even if it is not a hub.
	}
	for name := range chosen {
		if m, ok := n.members[name]; ok {
			to = append(to, m.Member)
		}
	}
	return b, to
}

// exportSigns sets what the heartbeat tells about upstreams and what crashes them: all of it, or only what this host learned lately.
func (n *Node) exportSigns(now time.Time, b *Heartbeat, allCrashes, allSigns bool) {
	b.Evidence, b.Repeats = n.blame.Export(now, allCrashes), n.repeats.Export(now, allCrashes)
	b.Leaving, b.Limits = n.table.ExportLeaving(now, allSigns), n.table.ExportLimits(now, allSigns)
}

// chooseHubs returns the hubs of all data centres. With includeSilent, hosts that missed heartbeats may be among them.
func (n *Node) chooseHubs(includeSilent bool) map[string]bool {
	all := n.candidates(includeSilent)
	chosen, centres := make(map[string]bool), make(map[string]bool)
	for _, h := range all {
		if centres[h.DataCentre] {
			continue
		}
		centres[h.DataCentre] = true
		for _, name := range hubs.Choose(all, h.DataCentre) {
			chosen[name] = true
		}
	}
	return chosen
}

// expireUses drops uses that were not reported again in time: the host stopped or now reports to another one.
func (n *Node) expireUses(now time.Time) {
	for name, m := range n.members {
		if !m.usesAt.IsZero() && now.Sub(m.usesAt) > usesTimeout {
			m.usesAt = time.Time{}
			n.table.SetPeerRequests(now, name, nil)
			n.placing.RemoveHost(name)
		}
	}
}

// childStatuses returns the status of the hosts that depend on this one.
func (n *Node) childStatuses(now time.Time) []HostStatus {
	var list []HostStatus
	for name, m := range n.members {
		if now.Sub(m.lastQuery) < livenessTimeout {
			list = append(list, HostStatus{name, m.Incarnation, now.Sub(m.lastSeen), m.ready, m.stopping})
		}
	}
	return list
}

func (n *Node) leaseUpdate() LeaseUpdate {
	newest, age, ok := n.lease.Newest(n.now())
	update := LeaseUpdate{Known: ok, Newest: newest, Age: age}
	switch holder := n.lease.Holder(); {
	case holder == n.self.Name:
		update.Holder = n.self
	case n.members[holder] != nil:
		update.Holder = n.members[holder].Member
	}
	return update
}

// sendHeartbeat sends a heartbeat to a member, applies the answer, and reports whether there was one.
func (n *Node) sendHeartbeat(ctx context.Context, m Member, b *Heartbeat) bool {
	reply, start := new(Heartbeat), n.bootNow()
	err := n.peerClient.CallWithin(ctx, heartbeatTimeout, m.Peers, peers.ServiceName+".Beat", b, reply)
	if err == nil && reply.Feed != nil {
		err = reply.Feed.unpack()
	}
	n.control.Post(func() {
		if err == nil {
			n.applyHeartbeat(reply)
			n.peersAsked.Store(true)
			n.sendLackingConfig(m, b, reply)
			switch {
			case reply.Feed == nil:
			case n.applyFeed(reply.From, reply.Feed, start):
				n.hubStale = n.hubStale && reply.From.Name != n.parent
			case n.awaitsFirstList():
				time.AfterFunc(firstListRetry, n.requestHeartbeat)
			case reply.From.Name == n.parent: // The answer of a seed says nothing about the hub.
				n.markHubStale(n.parent)
			}
			return
		}
		if b.Query != nil && m.Name == n.parent && !n.awaitsFirstList() {
			n.markHubSilent(m.Name)
		}
		x, ok := n.members[m.Name]
		if !ok || x.Incarnation != m.Incarnation {
			return
		}
		x.missedHeartbeats++
		if peers.Refused(err) {
			x.lastSeen = time.Time{}
			n.observeRefusal(m.Name)
		}
		if x.missedHeartbeats == silentHeartbeats {
			n.table.SetPeerRequests(time.Now(), m.Name, nil)
			n.placing.RemoveHost(m.Name)
		}
	})
	return err == nil
}

// sendLackingConfig sends the configuration to a member whose answer to a heartbeat states an older one: the member was cut off from the
// store, which may have come back from a copy without the newest configuration. If the member does not apply it, the next heartbeat follows
// at the usual time.
func (n *Node) sendLackingConfig(m Member, b, reply *Heartbeat) {
	v := n.configVersion()
	if reply.Config == nil || reply.Config.Version == 0 || reply.Config.Version >= v || b.Config == nil || b.Config.hasRecord() {
		return
	}
	_, stopping := n.stop.state()
	update := Heartbeat{From: n.self, Ready: n.ready.Load(), Stopping: stopping, Config: n.record.state(v, reply.Config)}
	n.background(func(ctx context.Context) { n.sendHeartbeat(ctx, m, &update) })
}

// Beat handles the heartbeat of another host. It returns context.Canceled if this host has stopped.
func (s *peerService) Beat(b *Heartbeat, reply *Heartbeat) error {
	if b.Query != nil {
		s.node.packList(*b.Query)
	}
	if !s.node.control.Ask(func() {
		s.node.applyHeartbeat(b)
		_, stopping := s.node.stop.state()
		*reply = Heartbeat{From: s.node.self, Ready: s.node.ready.Load(), Stopping: stopping, Lease: s.node.leaseUpdate()}
		// Hosts that depend on this one get what is recent, unless they are new to it.
		isNew := b.Query != nil && b.Query.MembersFrom != s.node.self.Incarnation
		s.node.exportSigns(time.Now(), reply, b.Query == nil || isNew, isNew)
		if receiver := b.Config; receiver != nil {
			if b.Query != nil {
				receiver = nil // The feed contains the record.
			}
			reply.Config = s.node.record.state(s.node.configVersion(), receiver)
		}
		if m, ok := s.node.members[b.From.Name]; ok && b.Query != nil {
			if now := time.Now(); now.Sub(m.lastQuery) > livenessTimeout {
				s.node.placing.RemoveHost(b.From.Name) // This host now merges the member's uses into its own.
			}
			m.lastQuery, m.uses = time.Now(), b.Uses
			f := s.node.buildFeed(b.From.Name, *b.Query)
			reply.Feed = &f
		}
	}) {
		return context.Canceled
	}
	return nil
}

// applyHeartbeat applies a heartbeat or the answer to one.
func (n *Node) applyHeartbeat(b *Heartbeat) {
	m := n.addMember(b.From)
	if m == nil {
		return
	}
	now := time.Now()
	m.lastSeen, m.ready, m.stopping, m.missedHeartbeats = now, b.Ready, b.Stopping, 0
	if b.Lease.Known {
		bootNow := n.now()
		n.lease.Observe(bootNow, b.Lease.Newest, b.Lease.Age)
	}
	n.observeLender(b)
	if b.Config != nil {
		// The store may have come back from a copy without the newest configuration, which stays in force.
		n.applySentRecord(b.Config.Record, b.Config.Packed)
	}
	n.mergeEvidence(now, b.From.Name, b.Evidence)
	n.mergeRepeats(now, b.From.Name, b.Repeats)
	n.mergeLeaving(now, b.From.Name, b.Leaving)
	n.mergeLimits(now, b.From.Name, b.Limits)
	for _, c := range b.Children {
		n.applyHostStatus(now, c)
	}
	if b.Lease.Holder.Name != "" {
		n.addMember(b.Lease.Holder)
	}
	if b.Feed != nil || len(b.Uses) == 0 {
		return
	}
	m.usesAt = now
	running := make(map[string]int, len(b.Uses))
	for _, u := range b.Uses {
		running[u.Upstream] += u.Running
		n.table.RecordServed(u.Upstream, u.Served)
	}
	n.table.SetPeerRequests(now.Add(-b.UsesAge), m.Name, running)
	if b.Query == nil {
		n.placing.SetUses(now, m.Name, b.Uses)
	}
}

// hostCount returns the number of known hosts, this one included.
func (n *Node) hostCount() int { return len(n.members) + 1 }

// addresses returns the traffic addresses for callers of a data centre, and how long callers may cache them.
func (n *Node) addresses(dataCentre string) ([]string, time.Duration) {
	var near, all []string
	lifetime := time.Duration(0)
	n.control.Ask(func() {
		lifetime = seconds(n.settings.Limits.AddressLifetimeS)
		add := func(m Member) {
			all = append(all, m.Traffic)
			if m.DataCentre == dataCentre {
				near = append(near, m.Traffic)
			}
		}
		if n.ready.Load() {
			add(n.self)
		}
		now := time.Now()
		for _, m := range n.members {
			if m.alive(now) && m.ready {
				add(m.Member)
			}
		}
	})
	if len(near) >= minNearHosts {
		all = near
	}
	slices.Sort(all)
	return all[:min(len(all), maxAddresses)], lifetime
}
