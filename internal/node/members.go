package node

import (
	"context"
	"slices"
	"time"

	"github.com/fireflycleat/fireflycleat/internal/peers"
	"github.com/fireflycleat/fireflycleat/pkg/hubs"
	"github.com/fireflycleat/fireflycleat/pkg/lease"
	"github.com/fireflycleat/fireflycleat/pkg/place"
)

const (
	beatInterval = 600 * time.Millisecond
	beatTimeout  = 500 * time.Millisecond
	// firstReads is the number of readings of the members after a start, when other hosts start too, and firstInterval the
	// time between them.
	firstReads    = 2
	firstInterval = time.Second
	// heardLife is how long a member counts as alive after its last sign of life.
	heardLife = 2400 * time.Millisecond // three heartbeats, one of them passed on by a hub
	// usesLife is how long what a host told of its requests counts.
	usesLife = 3 * time.Second
	// quietBeats is the number of beats after which a silent member is asked less often, and quietEvery how often then.
	quietBeats = 6
	// directTime is how long a host reads the store itself after its hub had nothing fresh, and staleTime how long it does not
	// turn to that hub.
	directTime = 1500 * time.Millisecond
	staleTime  = 5 * time.Second
	// recentList is the age of a list from a hub up to which no outage is assumed; entries last longer than that without a sign of
	// their upstream.
	recentList = 3 * time.Second
	// seedDelay is the age of the process from which on it asks seeds; a store that is up has answered by then.
	seedDelay = 500 * time.Millisecond
	// unusableBeats is the number of missed heartbeats from which on a host is no hub.
	unusableBeats = 2
	quietEvery    = 5
	// nearEnough is the number of hosts in the caller's data centre from which on no others are named to it.
	nearEnough = 2
	maxNamed   = 64
)

type (
	// member is what this host knows of another one.
	member struct {
		Member
		heard    time.Time
		ready    bool
		stopping bool
		missed   int
		usesAt   time.Time   // usesAt is when the host last told of its requests.
		staleAt  time.Time   // staleAt is when the host, as a hub, had nothing fresh to pass on.
		childAt  time.Time   // childAt is when the host last asked this one for a feed.
		uses     []place.Use // uses are those of a host that depends on this one.
	}

	// service holds the methods that other hosts call.
	service struct{ n *Node }

	// Beat is a heartbeat.
	Beat struct {
		From     Member
		Ready    bool
		Stopping bool
		Uses     []place.Use
		Lease    LeaseNews
		Children []Sign     // Children are the hosts that depend on a hub.
		Query    *FeedQuery // Query asks a hub for what is new; it is nil in heartbeats between hubs.
		Feed     *Feed      // Feed answers a Query.
	}

	// LeaseNews is the newest lease record that a host knows.
	LeaseNews struct {
		Known  bool
		Newest lease.Newest
		Age    time.Duration // Age is the time for which the record has been known to exist.
		Holder Member        // Holder is the host that holds the lease, if it is known.
	}
)

// watchMembers publishes this host and reads who else was published.
func (n *Node) watchMembers(ctx context.Context) {
	for failed := 1; ctx.Err() == nil; failed++ {
		limited, cancel := context.WithTimeout(ctx, storeTimeout)
		err := n.platform.Announce(limited, n.self)
		cancel()
		if err == nil {
			break
		}
		n.control.Post(func() { n.depends("members", err) })
		sleep(ctx, backoff(failed))
	}
	for reads := 0; ctx.Err() == nil; reads++ {
		if reads >= firstReads && !n.direct.Load() {
			sleep(ctx, membersInterval)
			continue
		}
		limited, cancel := context.WithTimeout(ctx, storeTimeout)
		list, err := n.platform.Members(limited)
		cancel()
		n.control.Post(func() {
			n.depends("members", err)
			for _, m := range list {
				n.meet(m)
			}
		})
		switch {
		case err != nil:
			sleep(ctx, 2*retryTime)
		case reads < firstReads:
			sleep(ctx, firstInterval)
		default:
			sleep(ctx, membersInterval)
		}
	}
}

// meet takes over that a host exists; it does not prove that it is alive.
func (n *Node) meet(m Member) *member {
	if m.Name == n.self.Name {
		return nil
	}
	x, ok := n.members[m.Name]
	if !ok {
		x = new(member)
		n.members[m.Name] = x
		n.log("members").Info("member", "event", eventMember, "member", m.Name, "peers", m.Peers)
	}
	if x.Incarnation != m.Incarnation {
		x.Member, x.missed = m, 0
	}
	return x
}

func (m *member) alive(now time.Time) bool { return now.Sub(m.heard) < heardLife && !m.stopping }

// beats sends heartbeats: between hubs to all others, and from the other hosts to one hub.
func (n *Node) beats(ctx context.Context) {
	for round := 0; ctx.Err() == nil; round++ {
		var beat Beat
		var to []Member
		var seeds []Member
		n.control.Ask(func() {
			beat, to = n.beat(round)
			seeds = n.seeds()
		})
		for _, m := range to {
			n.background(func(ctx context.Context) { n.call(ctx, m, &beat) })
		}
		query := beat
		query.Query = &FeedQuery{}
		for _, m := range seeds {
			n.background(func(ctx context.Context) { n.call(ctx, m, &query) })
		}
		sleep(ctx, beatInterval)
	}
}

// seeds returns the hosts to ask for what the store did not tell soon after the start.
func (n *Node) seeds() []Member {
	if n.config.Load() != nil && n.listed || time.Since(n.began) < seedDelay {
		return nil
	}
	var list []Member
	for _, address := range n.settings.Platform.Seeds {
		if address != n.self.Peers {
			list = append(list, Member{Peers: address})
		}
	}
	return list
}

// candidates returns all known hosts for the choice of hubs; with patient, those that missed heartbeats too.
func (n *Node) candidates(patient bool) []hubs.Host {
	now := time.Now()
	_, stopping := n.stop.state()
	outage := n.outage.lasts(now)
	list := []hubs.Host{{Name: n.self.Name, DataCentre: n.self.DataCentre, Capacity: n.self.Capacity, Usable: !stopping}}
	for name, m := range n.members {
		list = append(list, hubs.Host{
			Name: name, DataCentre: m.DataCentre, Capacity: m.Capacity,
			Usable: patient || m.missed < unusableBeats && !m.stopping && (outage || now.Sub(m.staleAt) > staleTime),
		})
	}
	return list
}

// beat returns the heartbeat and those that get it.
func (n *Node) beat(round int) (Beat, []Member) {
	now := time.Now()
	uses := n.merged(now)
	n.placing.Use(now, n.self.Name, uses)
	_, stopping := n.stop.state()
	b := Beat{From: n.self, Ready: n.ready.Load(), Stopping: stopping, Uses: uses, Lease: n.leaseNews()}
	near := hubs.Choose(n.candidates(false), n.self.DataCentre)
	n.parent = hubs.Parent(near, n.self.Name)
	n.chooseSource()
	if _, holds := n.lease.Held(n.now()); n.parent != "" && !holds {
		n.lease.SetRank(len(n.chooseHubs(false))) // Hubs hear of all requests already and have more processor time.
		b.Query = &FeedQuery{From: n.fedBy, Generation: n.fedTo}
		if c := n.config.Load(); c != nil {
			b.Query.Version = c.Version()
		}
		return b, []Member{n.members[n.parent].Member}
	}
	b.Children = n.children(now)
	n.hubs = n.chooseHubs(false)
	rank, to := 0, []Member(nil)
	for name := range n.hubs {
		if m := n.members[name]; m != nil && name < n.self.Name && m.alive(now) {
			rank++
		}
	}
	n.lease.SetRank(rank)
	chosen := n.chooseHubs(round%quietEvery == 0)
	if holder := n.lease.Holder(); holder != "" {
		chosen[holder] = true // The controller needs the uses of all hosts, also where it is no hub.
	}
	for name := range chosen {
		if m, ok := n.members[name]; ok {
			to = append(to, m.Member)
		}
	}
	return b, to
}

// chooseHubs returns the hubs of all data centres; with patient, hosts that missed heartbeats may be among them.
func (n *Node) chooseHubs(patient bool) map[string]bool {
	all := n.candidates(patient)
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

// expireUses drops what hosts told of their requests long ago, because they ended or report to another host now.
func (n *Node) expireUses(now time.Time) {
	for name, m := range n.members {
		if !m.usesAt.IsZero() && now.Sub(m.usesAt) > usesLife {
			m.usesAt = time.Time{}
			n.table.Others(name, nil)
			n.placing.Forget(name)
		}
	}
}

// stale takes over that a hub is silent or has nothing fresh: this host reads the store for a while, and turns to another hub.
func (n *Node) stale(hub string) {
	now := time.Now()
	n.staleAt = now
	if m, ok := n.members[hub]; ok && !n.outage.lasts(now) {
		m.staleAt = now
	}
	n.chooseSource()
}

// silent takes over that a hub does not answer. It would not tell this host of the end of an outage, so that the host reads the
// store itself.
func (n *Node) silent(hub string) {
	n.outage.ended()
	n.stale(hub)
}

// chooseSource decides whether this host reads the store itself: as a hub or as the controller, or if what its hub told is old and
// the store is not believed to answer nobody. In an outage the calls of all hosts would only load the store.
func (n *Node) chooseSource() {
	now := time.Now()
	_, holds := n.lease.Held(n.now())
	old := now.Sub(n.staleAt) < directTime || now.Sub(n.listAt) > n.pace.listLife+beatInterval
	n.setDirect(n.parent == "" || holds || old && !n.outage.lasts(now))
}

// setDirect makes this host read the store itself, or stop doing so.
func (n *Node) setDirect(direct bool) {
	if n.direct.Swap(direct) == direct {
		return
	}
	n.log("members").Info("source of configuration and list", "event", eventSource, "store", direct)
	switch {
	case !direct:
		n.list.Down() // Entries that lapse until the store is read again are not known to be gone.
	case n.listed && time.Since(n.listAt) < recentList:
		n.list.Adopt(n.upstreams)
	}
}

// children returns the signs of life of the hosts that depend on this one.
func (n *Node) children(now time.Time) []Sign {
	var list []Sign
	for name, m := range n.members {
		if now.Sub(m.childAt) < heardLife {
			list = append(list, Sign{name, m.Incarnation, now.Sub(m.heard), m.ready, m.stopping})
		}
	}
	return list
}

func (n *Node) leaseNews() LeaseNews {
	newest, age, ok := n.lease.Newest(n.now())
	news := LeaseNews{Known: ok, Newest: newest, Age: age}
	switch holder := n.lease.Holder(); {
	case holder == n.self.Name:
		news.Holder = n.self
	case n.members[holder] != nil:
		news.Holder = n.members[holder].Member
	}
	return news
}

// call sends a heartbeat to a member.
func (n *Node) call(ctx context.Context, m Member, b *Beat) {
	reply := new(Beat)
	err := n.peerClient.CallWithin(ctx, beatTimeout, m.Peers, peers.ServiceName+".Beat", b, reply)
	n.control.Post(func() {
		if err == nil {
			n.heard(reply)
			if reply.Feed != nil && !n.fed(reply.From, reply.Feed) {
				n.stale(reply.From.Name)
			}
			return
		}
		if b.Query != nil {
			n.silent(m.Name)
		}
		x, ok := n.members[m.Name]
		if !ok || x.Incarnation != m.Incarnation {
			return
		}
		x.missed++
		if peers.Refused(err) {
			x.heard = time.Time{}
		}
		if x.missed == quietBeats {
			n.table.Others(m.Name, nil)
			n.placing.Forget(m.Name)
		}
	})
}

// Beat answers the heartbeat of another host.
func (s *service) Beat(b *Beat, reply *Beat) error {
	if !s.n.control.Ask(func() {
		s.n.heard(b)
		_, stopping := s.n.stop.state()
		*reply = Beat{From: s.n.self, Ready: s.n.ready.Load(), Stopping: stopping, Lease: s.n.leaseNews()}
		if m, ok := s.n.members[b.From.Name]; ok && b.Query != nil {
			if now := time.Now(); now.Sub(m.childAt) > heardLife {
				s.n.placing.Forget(b.From.Name) // From now on its requests are among those of this host.
			}
			m.childAt, m.uses = time.Now(), b.Uses
			f := s.n.feedFor(b.From.Name, *b.Query)
			reply.Feed = &f
		}
	}) {
		return context.Canceled
	}
	return nil
}

// heard takes over a heartbeat or the answer to one.
func (n *Node) heard(b *Beat) {
	m := n.meet(b.From)
	if m == nil {
		return
	}
	now := time.Now()
	m.heard, m.ready, m.stopping, m.missed = now, b.Ready, b.Stopping, 0
	if b.Lease.Known {
		boot := n.now()
		n.lease.Saw(boot, b.Lease.Newest, b.Lease.Age)
	}
	for _, c := range b.Children {
		n.sign(now, c)
	}
	if b.Lease.Holder.Name != "" {
		n.meet(b.Lease.Holder)
	}
	if b.Feed != nil || len(b.Uses) == 0 {
		return
	}
	m.usesAt = now
	running := make(map[string]int, len(b.Uses))
	for _, u := range b.Uses {
		running[u.Upstream] += u.Running
	}
	n.table.Others(m.Name, running)
	if b.Query == nil {
		n.placing.Use(now, m.Name, b.Uses)
	}
}

// hosts returns the number of hosts that may be at work.
func (n *Node) hosts() int { return len(n.members) + 1 }

// addresses returns where callers of a data centre should connect, and for how long they may keep the answer.
func (n *Node) addresses(dataCentre string) ([]string, time.Duration) {
	var near, all []string
	life := time.Duration(0)
	n.control.Ask(func() {
		life = seconds(n.settings.Limits.AddressLifetimeS)
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
	if len(near) >= nearEnough {
		all = near
	}
	slices.Sort(all)
	return all[:min(len(all), maxNamed)], life
}
