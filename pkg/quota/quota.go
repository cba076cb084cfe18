package quota

import "github.com/fireflycleat/fireflycleat/pkg/spec"

const (
	// bulkReserveDivisor reserves a quarter of a team's share for work other than bulk, so that urgent work is admitted without
	// borrowing.
	bulkReserveDivisor = 4
)

type (
	// Ledger counts the requests in progress of each team at this host.
	Ledger struct {
		hosts    int
		teams    map[string]*team
		unused   int // sum of the unused shares of all teams with a limit
		borrowed int // sum of the requests beyond the share of their team, over all teams with a limit
	}

	team struct {
		limit    int // over all hosts; zero means none
		share    int
		inFlight int
		bulk     int
	}
)

// New returns a ledger for one live host, without limits.
func New() *Ledger { return &Ledger{hosts: 1, teams: make(map[string]*team)} }

// SetHosts sets the number of live entry hosts among which the limits are divided.
func (l *Ledger) SetHosts(live int) {
	l.hosts = max(live, 1)
	for _, t := range l.teams {
		t.setShare(l.hosts)
	}
	l.recount()
}

// Configure sets the limits of all teams of the view; teams that are not in it have no limit.
func (l *Ledger) Configure(v *spec.View) {
	for name, t := range l.teams {
		if _, ok := v.Team(name); !ok {
			t.limit = 0
			l.removeIfUnused(name, t)
		}
	}
	for _, name := range v.Teams() {
		s, _ := v.Team(name)
		if s.MaxInFlight > 0 || l.teams[name] != nil {
			l.team(name).limit = s.MaxInFlight
		}
	}
	l.SetHosts(l.hosts)
}

// Acquire admits a request of the team, or returns false. Borrowing is allowed only if hasCapacity is set, which means that the
// host has free capacity.
func (l *Ledger) Acquire(name string, u spec.Urgency, hasCapacity bool) bool {
	t := l.team(name)
	if !l.admits(t, u, hasCapacity) {
		l.removeIfUnused(name, t)
		return false
	}
	l.add(t, u, 1)
	return true
}

// Release ends a request that Acquire admitted.
func (l *Ledger) Release(name string, u spec.Urgency) {
	t := l.teams[name]
	if t == nil || t.inFlight == 0 {
		return
	}
	l.add(t, u, -1)
	l.removeIfUnused(name, t)
}

// InFlight returns the number of requests in progress of the team.
func (l *Ledger) InFlight(name string) int {
	if t := l.teams[name]; t != nil {
		return t.inFlight
	}
	return 0
}

// Total returns the number of requests in progress of all teams.
func (l *Ledger) Total() int {
	sum := 0
	for _, t := range l.teams {
		sum += t.inFlight
	}
	return sum
}

func (l *Ledger) admits(t *team, u spec.Urgency, hasCapacity bool) bool {
	if t.limit == 0 {
		return true
	}
	// Bulk work in progress does not count against the other work of its team. The excess over the share is at most this bulk
	// work and ends with it, because no further bulk work is admitted until then.
	used, limit := t.inFlight-t.bulk, t.share
	if u == spec.Bulk {
		used, limit = t.inFlight, t.share-t.share/bulkReserveDivisor
	}
	return used < limit || hasCapacity && l.borrowed < l.unused
}

func (l *Ledger) add(t *team, u spec.Urgency, delta int) {
	l.unused -= t.unused()
	l.borrowed -= t.excess()
	t.inFlight += delta
	if u == spec.Bulk {
		t.bulk += delta
	}
	l.unused += t.unused()
	l.borrowed += t.excess()
}

func (l *Ledger) recount() {
	l.unused, l.borrowed = 0, 0
	for _, t := range l.teams {
		l.unused += t.unused()
		l.borrowed += t.excess()
	}
}

func (l *Ledger) team(name string) *team {
	t := l.teams[name]
	if t == nil {
		t = &team{}
		l.teams[name] = t
	}
	return t
}

// removeIfUnused removes a team that has neither a limit nor requests in progress.
func (l *Ledger) removeIfUnused(name string, t *team) {
	if t.limit == 0 && t.inFlight == 0 {
		delete(l.teams, name)
	}
}

// setShare divides the limit among the hosts. It rounds up, so that every host admits at least one request of each team.
func (t *team) setShare(hosts int) { t.share = (t.limit + hosts - 1) / hosts }

func (t *team) unused() int {
	if t.limit == 0 {
		return 0
	}
	return max(t.share-t.inFlight, 0)
}

func (t *team) excess() int {
	if t.limit == 0 {
		return 0
	}
	return max(t.inFlight-t.share, 0)
}
