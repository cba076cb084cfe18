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
	// Silence is weak evidence where the holder may be alive behind a cut link: a daemon at home would act if it were not, or
	// several daemons of one data centre fell silent together, or the holder wrote to the log while it was not heard. Each
	// take-over of a living holder leaves upstreams unsettled until the link is back. With short delays both sides of a cut
	// took the leases from each other each second.
	cutDelay = time.Minute
	// Daemons that start together become ready within this time of each other.
	startDelay    = time.Second
	leaseInterval = 2 * time.Second
	// As many silent daemons of a data centre are taken for a cut link, a single one for a failed host.
	silentTogether = 2
	missedAfter    = 3 * HeartbeatInterval / 2
)

// lease is a cell lease and how long it has been without a working holder.
type lease struct {
	Lease
	vacantSince time.Time // VacantSince is zero while the holder works.
	notBefore   time.Time
	// SilentAt is when the holder took the lease although this daemon had missed a heartbeat of it; zero if it had not.
	silentAt time.Time
}

func (l *List) setLease(now time.Time, m Lease) {
	old, ok := l.leases[m.Cell]
	if ok && (m.Offset < old.Offset || m == old.Lease) {
		return
	}
	c := &lease{Lease: m}
	// A daemon that is not current reads old records, which do not show that the holder is alive. Two daemons that are cut from
	// each other count each other as lost up to a heartbeat apart, so the limit is well below SuspectAfter.
	if p := l.peers[m.Holder]; p != nil && l.state.Current && now.Sub(p.lastHeard()) > missedAfter {
		c.silentAt = now
	}
	l.leases[m.Cell] = c
}

// unheard reports whether the holder took the lease while this daemon did not hear it, and it still does not.
func (l *List) unheard(c *lease) bool {
	p := l.peers[c.Holder]
	return p != nil && p.proof == "" && !c.silentAt.IsZero() && !p.heard.After(c.silentAt)
}

func (l *List) takeOver(now time.Time) {
	for _, cell := range slices.Sorted(maps.Keys(l.leases)) {
		l.watch(now, l.leases[cell])
	}
}

// watch proposes a take-over of a lease whose holder is missing once this daemon's turn has come.
func (l *List) watch(now time.Time, c *lease) {
	switch vacant := c.Holder == "" || l.Lost(now, c.Holder); {
	case !vacant:
		c.vacantSince = time.Time{}
		return
	case c.vacantSince.IsZero():
		c.vacantSince = now
	}
	// A daemon that was cut off reads the log before its peers have answered, and hears none of them at that moment.
	if c.Holder != "" && !l.Gone(c.Holder) && now.Sub(l.currentSince) <= SuspectAfter {
		return
	}
	// The delay is worked out anew, since others fall silent or are proven gone while this daemon waits.
	due := c.vacantSince.Add(l.leaseDelay(now, c))
	if now.Before(due) || now.Before(c.notBefore) || !l.state.Current || l.state.Draining || l.evicted {
		return
	}
	c.notBefore = now.Add(leaseInterval)
	l.emit(TakeOver{Cell: c.Cell, Base: c.Offset})
}

func (l *List) leaseDelay(now time.Time, c *lease) time.Duration {
	d := time.Duration(l.rank(now, c.Cell, c.DataCentre)) * leaseRankDelay
	home := l.self.DataCentre == c.DataCentre
	switch {
	case l.unheard(c), !home && (l.servedAtHome(now, c.DataCentre) || l.silent(now, c.DataCentre) >= silentTogether):
		d += cutDelay
	case !home:
		d += startDelay
	}
	return d
}

// silent counts the daemons of the data centre that are recorded and not heard, without a proof that they are gone.
func (l *List) silent(now time.Time, dataCentre string) int {
	n := 0
	for _, p := range l.peers {
		if p.DataCentre == dataCentre && p.upOffset > 0 && p.proof == "" && p.lost(now) {
			n++
		}
	}
	return n
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
