package node

import (
	"maps"
	"slices"
	"time"

	"github.com/fireflycleat/fireflycleat/pkg/fleet"
	"github.com/fireflycleat/fireflycleat/pkg/place"
)

const (
	// removalRetention is how long a hub keeps the removal of an upstream; a host that queries later gets the whole list.
	removalRetention = 30 * time.Second
	// wholeList is a generation before all others, so that hubs answer a query that states it with the whole list.
	wholeList = -1
)

type (
	// changeLog assigns generations to changes of the list, so that a hub sends dependent hosts only the changes they lack.
	changeLog struct {
		generation int64
		pruned     int64              // generation up to which removals have been dropped
		changed    map[string]int64   // generation of the last change, by upstream ID
		removed    map[string]removal // by upstream ID
	}

	removal struct {
		generation int64
		at         time.Time
	}

	// FeedQuery requests updates from a hub. It states what the host already has.
	FeedQuery struct {
		Version    int64  // version of the host's configuration
		From       string // incarnation of the hub whose list the host applied last, up to Generation
		Generation int64
		// MembersFrom is the incarnation of the hub whose members the host applied last, up to MembersGeneration.
		MembersFrom       string
		MembersGeneration int64
		Packed            bool // whether the host understands Feed.Packed, Feed.ConfigPacked and Feed.Loads
		// NumbersFrom is the incarnation of the hub whose numbering the host knows, up to NumbersKnown in NumbersEpoch.
		NumbersFrom  string
		NumbersEpoch int64
		NumbersKnown int
	}

	// Feed contains the updates that a hub sends to a dependent host.
	Feed struct {
		Config []byte // configuration record, if it is newer than that of the host
		// ConfigPacked is the configuration record in DEFLATE format, in place of Config.
		ConfigPacked []byte
		ConfigAge    time.Duration
		ListAge      time.Duration // time since the request for the hub's list was sent
		// Era, Position and Rate are the progress of the published list when the hub's list was read. Era is zero if the hub does not
		// know it.
		Era        int64
		Position   int64
		Rate       float64
		Recovered  time.Duration // time since the list became readable after an outage; zero means that no outage is known
		Whole      bool          // whether Put is the complete list, or Packed with the changes in Put and Removed
		Packed     []byte        // in the form of packUpstreams: the complete list if Whole is set, otherwise what Put contains; only for a host that understands it
		ListBytes  int           // size of the complete list when it is read from the store; zero means unknown
		Generation int64
		Put        []fleet.Upstream
		Removed    []string
		Running    map[string]int // requests of all other hosts at each upstream, by its ID
		RunningAge time.Duration  // mean age of Running
		Speeds     map[string]int // of the upstreams that differ from the mean of their service, in percent of it
		Loads      *Loads         // in place of Running and Speeds, for a host that understands it
		Alive      []HostStatus
		// Members are the hosts that were added or restarted since the query's MembersGeneration.
		Members           []Member
		MembersGeneration int64
	}

	// HostStatus is the state of a host as reported by another host.
	HostStatus struct {
		Name        string
		Incarnation string
		Age         time.Duration // time since the host was last seen
		Ready       bool
		Stopping    bool
	}
)

// recordChanges adds the differences between two lists as a new generation and drops expired removals.
func (f *changeLog) recordChanges(before, after map[string]fleet.Upstream) {
	if f.changed == nil {
		f.changed, f.removed = make(map[string]int64), make(map[string]removal)
	}
	f.generation++
	now := time.Now()
	for id, u := range after {
		if old, ok := before[id]; !ok || !old.EqualExceptBeat(u) {
			f.changed[id] = f.generation
			delete(f.removed, id)
		}
	}
	for id := range before {
		if _, ok := after[id]; !ok {
			delete(f.changed, id)
			f.removed[id] = removal{f.generation, now}
		}
	}
	for id, r := range f.removed {
		if now.Sub(r.at) > removalRetention {
			delete(f.removed, id)
			f.pruned = max(f.pruned, r.generation)
		}
	}
}

// countSince returns the number of upstreams that changed or were removed after a generation.
func (f *changeLog) countSince(generation int64) int {
	count := 0
	for _, g := range f.changed {
		if g > generation {
			count++
		}
	}
	for _, r := range f.removed {
		if r.generation > generation {
			count++
		}
	}
	return count
}

// query returns the query of this host to its hub.
func (n *Node) query() FeedQuery {
	return FeedQuery{
		Version: n.configVersion(), From: n.feedHub, Generation: n.feedGeneration, MembersFrom: n.membersHub, MembersGeneration: n.membersGeneration,
		Packed: true, NumbersFrom: n.known.hub, NumbersEpoch: n.known.epoch, NumbersKnown: len(n.known.ids),
	}
}

// buildFeed returns the updates that a host lacks.
func (n *Node) buildFeed(host string, q FeedQuery) Feed {
	now := time.Now()
	bootTime := n.bootNow()
	f := Feed{
		ConfigAge: bootTime.Sub(n.configAt), ListAge: bootTime.Sub(n.listAt), Generation: n.changes.generation,
		Era: n.progress.Era, Position: n.progress.Position, Rate: n.progress.Rate,
	}
	if q.Packed {
		f.Loads, f.RunningAge = n.loads(now, host, q)
	} else {
		f.Running, f.Speeds, f.RunningAge = n.table.Running(host), n.table.Speeds(), n.table.ReportAge(now)
	}
	if at := n.progress.RecoveredAt; !at.IsZero() {
		f.Recovered = now.Sub(at)
	}
	f.ListBytes = int(n.listBytes.Load())
	if c := n.config.Load(); c != nil && c.Version() > q.Version {
		f.Config, f.ConfigPacked = n.record.forHost(q.Packed)
	}
	f.Whole = n.needsWhole(q)
	since, all := q.Generation, f.Whole
	if f.Whole && q.Packed && n.packedUsable() {
		f.Packed, since, all = n.packed.bytes, n.packed.generation, false
	}
	if all {
		f.Put = slices.AppendSeq(f.Put, maps.Values(n.upstreams))
	}
	if !all && !(q.Packed && n.addPackedChanges(&f, since)) {
		f.Put = n.changedSince(since)
		if q.Packed && !f.Whole && len(f.Put) >= minPackedChanges {
			n.packChanges(&f, since)
		}
	}
	for id, r := range n.changes.removed {
		if !all && r.generation > since {
			f.Removed = append(f.Removed, id)
		}
	}
	f.Alive = n.hostStatuses(now, n.self.DataCentre)
	f.MembersGeneration = n.memberGeneration
	for name, m := range n.members {
		if name != host && (q.MembersFrom != n.self.Incarnation || m.changed > q.MembersGeneration) {
			f.Members = append(f.Members, m.Member)
		}
	}
	return f
}

// applyFeed applies the updates of a hub and reports whether they are current enough to rely on. The ages in them are those at the hub,
// which may have built the feed at any moment after queriedAt, the boot time of the query.
func (n *Node) applyFeed(hub Member, f *Feed, queriedAt time.Time) bool {
	now := time.Now()
	listAt, configAt, bootTime := queriedAt.Add(-f.ListAge), queriedAt.Add(-f.ConfigAge), n.bootNow()
	n.applySentRecord(f.Config, f.ConfigPacked)
	for _, m := range f.Members {
		// The hub may not know yet that a host restarted from which this one has received a heartbeat.
		if x, ok := n.members[m.Name]; !ok || now.Sub(x.lastSeen) > livenessTimeout {
			n.addMember(m)
		}
	}
	n.membersHub, n.membersGeneration = hub.Incarnation, f.MembersGeneration
	if f.ListBytes > 0 {
		n.listBytes.Store(int64(f.ListBytes))
	}
	for _, s := range f.Alive {
		n.applyHostStatus(now, s)
	}
	current := bootTime.Sub(listAt) <= n.poll.maxListAge && bootTime.Sub(configAt) <= n.poll.maxConfigAge
	if !current && !n.hasList && (!f.Whole || len(f.Put) == 0) {
		return false
	}
	// A host applies even a stale list if it has none, because during an outage of the store no host has a newer one, or only an older one.
	// Otherwise a host that gets a long list late would get the whole list again with each answer, and each time late.
	n.configAt = later(n.configAt, configAt)
	if current {
		n.outage.reset()
	}
	running, speeds := n.decodeLoads(hub, f)
	n.table.SetPeerRequests(now.Add(-f.RunningAge), hub.Name, running)
	if m, ok := n.members[hub.Name]; ok {
		m.usesAt = now
	}
	// Otherwise this host has read the list from the store later than the hub, or since the query to which these changes are the answer.
	if !listAt.Before(n.listAt) && (f.Whole || n.feedHub == hub.Incarnation) {
		n.listAt, n.feedHub, n.feedGeneration = listAt, hub.Incarnation, f.Generation
		n.progress = fleet.Progress{Era: f.Era, Position: f.Position, Rate: f.Rate, ReadAt: now.Add(listAt.Sub(bootTime))}
		if f.Recovered > 0 {
			n.progress.RecoveredAt = now.Add(queriedAt.Sub(bootTime) - f.Recovered)
		}
		n.applyListFeed(now, f)
	}
	n.table.SetSpeeds(speeds)
	return current
}

// applyListFeed applies the list, or its changes, that a hub sends.
func (n *Node) applyListFeed(now time.Time, f *Feed) {
	next := make(map[string]fleet.Upstream, len(f.Put))
	if !f.Whole {
		maps.Copy(next, n.upstreams)
	}
	for _, u := range f.Put {
		// The hub may have read an older list than this host knows, from a store that came back from a copy. It does not send the next entry
		// if that differs from the older one in its beat only, so that the next feed has to be whole.
		if old, ok := n.upstreams[u.ID]; ok && old.Born == u.Born && old.Beat > u.Beat {
			if !old.EqualExceptBeat(u) {
				n.feedGeneration = wholeList
			}
			u = old
		}
		if n.list.Outdated(u) {
			n.feedGeneration = wholeList
			continue
		}
		next[u.ID] = u
	}
	for _, id := range f.Removed {
		delete(next, id)
	}
	if f.Whole || len(f.Put)+len(f.Removed) > 0 || !n.hasList {
		n.applyList(now, next)
	}
}

// hostStatuses returns the status of this host and of the live hosts of a data centre.
func (n *Node) hostStatuses(now time.Time, dataCentre string) []HostStatus {
	_, stopping := n.stop.state()
	list := []HostStatus{{n.self.Name, n.self.Incarnation, 0, n.ready.Load(), stopping}}
	for name, m := range n.members {
		if m.DataCentre == dataCentre && now.Sub(m.lastSeen) < livenessTimeout {
			list = append(list, HostStatus{name, m.Incarnation, now.Sub(m.lastSeen), m.ready, m.stopping})
		}
	}
	return list
}

// applyHostStatus applies a reported status, unless a newer one is known or the host has another incarnation.
func (n *Node) applyHostStatus(now time.Time, s HostStatus) {
	m, ok := n.members[s.Name]
	if !ok || m.Incarnation != s.Incarnation || !now.Add(-s.Age).After(m.lastSeen) {
		return
	}
	m.lastSeen, m.ready, m.stopping, m.missedHeartbeats = now.Add(-s.Age), s.Ready, s.Stopping, 0
}

// mergedUses returns the summed uses of this host and of the hosts that depend on it, and the mean age of the requests in them.
func (n *Node) mergedUses(now time.Time) ([]place.Use, time.Duration) {
	type key struct {
		upstream string
		key      place.Key
	}
	sums := make(map[key]place.Use)
	total, ages := 0, time.Duration(0)
	add := func(list []place.Use, age time.Duration) {
		for _, u := range list {
			total += u.Running
			ages += time.Duration(u.Running) * age
			k := key{u.Upstream, u.Key}
			x := sums[k]
			x.Upstream, x.Key = u.Upstream, u.Key
			x.Running += u.Running
			x.Started += u.Started
			x.Served += u.Served
			sums[k] = x
		}
	}
	add(n.table.Uses(), 0)
	for _, m := range n.members {
		if now.Sub(m.lastQuery) < livenessTimeout {
			add(m.uses, now.Sub(m.lastQuery))
			for i := range m.uses {
				m.uses[i].Started, m.uses[i].Served = 0, 0 // These are reported only once.
			}
		}
	}
	list := make([]place.Use, 0, len(sums))
	for _, u := range sums {
		list = append(list, u)
	}
	return list, ages / time.Duration(max(total, 1))
}
