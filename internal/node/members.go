package node

import (
	"context"
	"slices"
	"time"

	"github.com/fireflycleat/fireflycleat/internal/peers"
	"github.com/fireflycleat/fireflycleat/pkg/lease"
	"github.com/fireflycleat/fireflycleat/pkg/place"
)

const (
	beatInterval = 600 * time.Millisecond
	beatTimeout  = 500 * time.Millisecond
	// heardLife is how long a member counts as alive after its last sign of life.
	heardLife = 1800 * time.Millisecond
	// quietBeats is the number of beats after which a silent member is asked less often, and quietEvery how often then.
	quietBeats = 6
	quietEvery = 5
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
	}

	// LeaseNews is the newest lease record that a host knows.
	LeaseNews struct {
		Known  bool
		Newest lease.Newest
		Age    time.Duration // Age is the time for which the record has been known to exist.
	}
)

// watchMembers publishes this host and reads who else was published.
func (n *Node) watchMembers(ctx context.Context) {
	for ctx.Err() == nil {
		limited, cancel := context.WithTimeout(ctx, storeTimeout)
		err := n.platform.Announce(limited, n.self)
		cancel()
		if err == nil {
			break
		}
		n.control.Post(func() { n.depends("members", err) })
		sleep(ctx, retryTime)
	}
	for ctx.Err() == nil {
		limited, cancel := context.WithTimeout(ctx, storeTimeout)
		list, err := n.platform.Members(limited)
		cancel()
		n.control.Post(func() {
			n.depends("members", err)
			for _, m := range list {
				n.meet(m)
			}
		})
		if err != nil {
			sleep(ctx, 2*retryTime)
			continue
		}
		sleep(ctx, membersInterval)
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
	n.rank()
	return x
}

// rank orders the hosts that may take the lease over by their names.
func (n *Node) rank() {
	rank := 0
	now := time.Now()
	for name, m := range n.members {
		if name < n.self.Name && m.alive(now) {
			rank++
		}
	}
	n.lease.SetRank(rank)
}

func (m *member) alive(now time.Time) bool { return now.Sub(m.heard) < heardLife && !m.stopping }

// beats sends heartbeats to all members.
func (n *Node) beats(ctx context.Context) {
	for round := 0; ctx.Err() == nil; round++ {
		var beat Beat
		var to []Member
		n.control.Ask(func() { beat, to = n.beat(round) })
		for _, m := range to {
			n.background(func(ctx context.Context) { n.call(ctx, m, &beat) })
		}
		sleep(ctx, beatInterval)
	}
}

func (n *Node) beat(round int) (Beat, []Member) {
	uses := n.table.Uses()
	n.placing.Use(time.Now(), n.self.Name, uses)
	_, stopping := n.stop.state()
	var to []Member
	for _, m := range n.members {
		if m.missed < quietBeats || round%quietEvery == 0 {
			to = append(to, m.Member)
		}
	}
	return Beat{From: n.self, Ready: n.ready.Load(), Stopping: stopping, Uses: uses, Lease: n.leaseNews()}, to
}

func (n *Node) leaseNews() LeaseNews {
	now := n.now()
	newest, age, ok := n.lease.Newest(now)
	return LeaseNews{ok, newest, age}
}

// call sends a heartbeat to a member.
func (n *Node) call(ctx context.Context, m Member, b *Beat) {
	reply := new(Beat)
	err := n.peerClient.CallWithin(ctx, beatTimeout, m.Peers, peers.ServiceName+".Beat", b, reply)
	n.control.Post(func() {
		if err == nil {
			n.heard(reply)
			return
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
	if len(b.Uses) == 0 {
		return
	}
	running := make(map[string]int, len(b.Uses))
	for _, u := range b.Uses {
		running[u.Upstream] += u.Running
	}
	n.table.Others(m.Name, running)
	n.placing.Use(now, m.Name, b.Uses)
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
