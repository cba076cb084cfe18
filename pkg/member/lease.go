package member

import (
	"maps"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// leaseRankDelay separates the proposals of candidates by rank, so that usually only one of them proposes. An append
	// takes well under a second.
	leaseRankDelay = time.Second
	// partitionDelay applies where missing heartbeats are weak evidence, because the holder may be alive behind a network
	// partition: a serving daemon in the holder's data centre would have acted already, several daemons of one data centre
	// were lost together, or the holder wrote to the log while this daemon received no heartbeats from it. After a take-over
	// from a live holder, upstreams are not quiesced until the link is back. With short delays both sides of a partition
	// would take the leases from each other every second.
	partitionDelay = time.Minute
	// remoteDelay gives the daemons of the lease's data centre precedence: daemons that start together become ready within
	// this time of each other.
	remoteDelay      = time.Second
	proposalInterval = 2 * time.Second
	// minLostForPartition is the number of lost daemons in a data centre that indicates a partition; a single one indicates
	// a failed host.
	minLostForPartition  = 2
	missedHeartbeatAfter = 3 * HeartbeatInterval / 2
)

// lease is a cell lease as recorded in the log, with the state of this daemon's proposals to take it over.
type lease struct {
	Lease
	vacantSince  time.Time // zero while the lease has a holder that is not lost
	nextProposal time.Time
	// takenUnseenAt is when this daemon read that the holder took the lease, if heartbeats of the holder were missing then;
	// zero otherwise.
	takenUnseenAt time.Time
}

func (l *List) setLease(now time.Time, m Lease) {
	old, ok := l.leases[m.Cell]
	if ok && (m.Offset < old.Offset || m == old.Lease) {
		return
	}
	c := &lease{Lease: m}
	// A daemon that is not current reads old records, which do not show that the holder is alive. Two daemons on either side
	// of a partition suspect each other up to one heartbeat interval apart, so the limit is well below SuspectAfter.
	if p := l.peers[m.Holder]; p != nil && l.state.Current && now.Sub(p.silentSince()) > missedHeartbeatAfter {
		c.takenUnseenAt = now
	}
	l.leases[m.Cell] = c
}

// holderUnseen reports whether the holder took the lease while this daemon was missing its heartbeats, and none has
// arrived since.
func (l *List) holderUnseen(c *lease) bool {
	p := l.peers[c.Holder]
	return p != nil && p.proof == "" && !c.takenUnseenAt.IsZero() && !p.lastSeen.After(c.takenUnseenAt)
}

func (l *List) checkLeases(now time.Time) {
	for _, cell := range slices.Sorted(maps.Keys(l.leases)) {
		l.checkLease(now, l.leases[cell])
	}
}

// checkLease proposes to take over a vacant lease once this daemon's delay has passed.
func (l *List) checkLease(now time.Time, c *lease) {
	switch vacant := c.Holder == "" || l.Lost(now, c.Holder); {
	case !vacant:
		c.vacantSince = time.Time{}
		return
	case c.vacantSince.IsZero():
		c.vacantSince = now
	}
	// A daemon whose links were just restored reads the log before its peers have answered, so all of them look lost.
	if c.Holder != "" && !l.Gone(c.Holder) && now.Sub(l.currentSince) <= SuspectAfter {
		return
	}
	// The delay is computed anew each time, since other daemons can become lost or gone while this one waits.
	due := c.vacantSince.Add(l.leaseDelay(now, c))
	if now.Before(due) || now.Before(c.nextProposal) || !l.state.Current || l.state.Draining || l.evicted {
		return
	}
	c.nextProposal = now.Add(proposalInterval)
	l.emit(TakeOver{Cell: c.Cell, Base: c.Offset})
}

// leaseDelay returns how long a lease must be vacant before this daemon proposes to take it over.
func (l *List) leaseDelay(now time.Time, c *lease) time.Duration {
	d := time.Duration(l.rank(now, c.Cell, c.DataCentre)) * leaseRankDelay
	local := l.self.DataCentre == c.DataCentre
	switch {
	case l.holderUnseen(c), !local && (l.hasServingPeer(now, c.DataCentre) || l.countLostPeers(now, c.DataCentre) >= minLostForPartition):
		d += partitionDelay
	case !local:
		d += remoteDelay
	}
	return d
}

// countLostPeers returns the number of registered peers in the data centre that are lost but not proven gone.
func (l *List) countLostPeers(now time.Time, dataCentre string) int {
	n := 0
	for _, p := range l.peers {
		if p.DataCentre == dataCentre && p.registeredOffset > 0 && p.proof == "" && p.lost(now) {
			n++
		}
	}
	return n
}

// hasServingPeer reports whether a peer in the data centre could take over the data centre's lease.
func (l *List) hasServingPeer(now time.Time, dataCentre string) bool {
	for _, p := range l.peers {
		if p.DataCentre == dataCentre && p.serving(now) {
			return true
		}
	}
	return false
}

// rank returns the number of serving peers that rank before this daemon for a subject, by rendezvous hashing. If a data
// centre is given, its daemons rank before all others.
func (l *List) rank(now time.Time, subject, dataCentre string) int {
	n, selfScore := 0, score(subject, l.self.Incarnation)
	local := l.self.DataCentre == dataCentre
	for _, p := range l.peers {
		if !p.serving(now) {
			continue
		}
		if peerLocal := p.DataCentre == dataCentre; dataCentre != "" && peerLocal != local {
			if peerLocal {
				n++
			}
			continue
		}
		if score(subject, p.Incarnation) > selfScore {
			n++
		}
	}
	return n
}

func (p *peer) serving(now time.Time) bool { return p.current && !p.draining && !p.lost(now) }

func score(subject, incarnation string) uint64 {
	return xxhash.Sum64String(subject + "/" + incarnation)
}
