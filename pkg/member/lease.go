package member

import (
	"maps"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// Candidates propose in order of rank, so that usually one of them does; an append takes well under a second.
	leaseRankDelay = time.Second
	// Daemons of other data centres serve a cell only when its own data centre has none.
	foreignDelay = 10 * time.Second
	// Daemons that start together become ready within this time of each other.
	startDelay    = time.Second
	leaseInterval = 2 * time.Second
)

// lease is a cell lease and how long it has been without a working holder.
type lease struct {
	Lease
	vacant    bool
	proposeAt time.Time
}

func (l *List) setLease(m Lease) {
	old, ok := l.leases[m.Cell]
	if ok && (m.Offset < old.Offset || m == old.Lease) {
		return
	}
	l.leases[m.Cell] = &lease{Lease: m}
}

func (l *List) takeOver(now time.Time) {
	for _, cell := range slices.Sorted(maps.Keys(l.leases)) {
		l.watch(now, l.leases[cell])
	}
}

// watch proposes a take-over of a lease whose holder is missing once this daemon's turn has come.
func (l *List) watch(now time.Time, c *lease) {
	vacant := c.Holder == "" || l.Lost(now, c.Holder)
	if vacant && !c.vacant {
		c.proposeAt = now.Add(l.leaseDelay(now, c))
	}
	c.vacant = vacant
	if !vacant || now.Before(c.proposeAt) || !l.state.Current || l.state.Draining || l.evicted {
		return
	}
	c.proposeAt = now.Add(leaseInterval)
	l.emit(TakeOver{Cell: c.Cell, Base: c.Offset})
}

func (l *List) leaseDelay(now time.Time, c *lease) time.Duration {
	d := time.Duration(l.rank(now, c.Cell, c.DataCentre)) * leaseRankDelay
	switch {
	case l.self.DataCentre == c.DataCentre:
	case l.servedAtHome(now, c.DataCentre):
		d += foreignDelay
	default:
		d += startDelay
	}
	return d
}

// servedAtHome reports whether a daemon of the data centre can take its lease.
func (l *List) servedAtHome(now time.Time, dataCentre string) bool {
	for _, p := range l.peers {
		if p.DataCentre == dataCentre && p.serving(now) {
			return true
		}
	}
	return false
}

// rank counts the daemons able to act that come before this one for a subject, by rendezvous hashing; those of the data
// centre come first if one is given.
func (l *List) rank(now time.Time, subject, dataCentre string) int {
	n, own := 0, score(subject, l.self.Incarnation)
	home := l.self.DataCentre == dataCentre
	for _, p := range l.peers {
		if !p.serving(now) {
			continue
		}
		if peerHome := p.DataCentre == dataCentre; dataCentre != "" && peerHome != home {
			if peerHome {
				n++
			}
			continue
		}
		if score(subject, p.Incarnation) > own {
			n++
		}
	}
	return n
}

func (p *peer) serving(now time.Time) bool { return p.current && !p.draining && !p.lost(now) }

func score(subject, incarnation string) uint64 {
	return xxhash.Sum64String(subject + "/" + incarnation)
}
