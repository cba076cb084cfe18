package rates

import "time"

type (
	// State is what a lender knows, for the lender that follows it. Times are relative to the export.
	State struct {
		Hosts  map[string]HostState
		Levels map[string]float64 // credit left at the lender, by team
		// KnownIn is the time until the loans of all other hosts have expired.
		KnownIn time.Duration
		// Count is the number of all hosts, and Unheard that of the hosts whose loans are not known.
		Count, Unheard int
	}

	// HostState is the part of a State that describes a host.
	HostState struct {
		Incarnation string
		Started     int64
		Seq         int64
		Loans       map[string]LoanState // by team
	}

	// LoanState is what a host may hold of one team.
	LoanState struct {
		Rate, Capacity, Granted float64
		GrantFor, For           time.Duration
	}
)

// Export returns the state of this lender, which must not answer any call after that. It reports false if other lenders could have lent since.
func (l *Lender) Export(now time.Time, hosts int, confirmed bool) (State, bool) {
	if !l.isReady(now) || !confirmed && !l.Followed(now, hosts) {
		return State{}, false
	}
	l.sweep(now)
	s := State{
		Hosts: make(map[string]HostState, len(l.hosts)), Levels: make(map[string]float64, len(l.pools)), KnownIn: max(l.knownAt.Sub(now), 0),
		Count: l.count, Unheard: l.unheard,
	}
	for name, b := range l.hosts {
		h := HostState{b.incarnation, b.started, b.seq, make(map[string]LoanState, len(b.loans))}
		for team, x := range b.loans {
			h.Loans[team] = LoanState{x.rate, x.capacity, x.granted, x.grantUntil.Sub(now), x.until.Sub(now)}
		}
		s.Hosts[name] = h
	}
	for team, p := range l.pools {
		l.accrue(now, p)
		s.Levels[team] = roundDown(p.level, creditUnit)
	}
	return s, true
}

// Import continues with the state of the lender before this one. It reports false if this lender lends already.
func (l *Lender) Import(now time.Time, s State) bool {
	if l.isReady(now) {
		return false
	}
	for name, h := range s.Hosts {
		if b := l.hosts[name]; b != nil && b.started >= h.Started {
			continue // It has reported what it holds, and takes nothing from the earlier lender since.
		}
		b := &borrower{
			incarnation: h.Incarnation, started: h.Started, seq: h.Seq, lastCall: now.Add(-2 * reporterTime), loans: make(map[string]*loan, len(h.Loans)),
		}
		for team, x := range h.Loans {
			b.loans[team] = &loan{
				rate: x.Rate, capacity: x.Capacity, granted: x.Granted, grantUntil: now.Add(x.GrantFor), until: now.Add(x.For),
			}
		}
		l.hosts[name] = b
	}
	l.readyAt, l.knownAt, l.count, l.unheard = now, now.Add(s.KnownIn), s.Count, s.Unheard
	for team, p := range l.pools {
		p.level, p.at = max(s.Levels[team], 0), now
	}
	l.sweptAt = time.Time{}
	l.sweep(now)
	for _, p := range l.pools {
		p.level = min(p.level, l.room(now, p))
	}
	return true
}
