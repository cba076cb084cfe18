package quota

import "github.com/fireflycleat/fireflycleat/pkg/spec"

const (
	// One slot in four of a team's share is closed to its bulk work, so that urgent work finds room without borrowing.
	bulkReserve = 4
)

type (
	// Ledger counts the requests in progress of each team at this host.
	Ledger struct {
		hosts  int
		teams  map[string]*team
		unused int // unused is the sum of the unused shares of all teams with a limit.
		lent   int // lent is the sum of the requests beyond the share of their team.
	}

	team struct {
		limit    int // limit is for all hosts; zero means none.
		share    int
		inFlight int
		bulk     int
	}
)

// New returns a ledger for one live host and no limits.
func New() *Ledger { return &Ledger{hosts: 1, teams: make(map[string]*team)} }

// Hosts sets the number of live entry hosts, which divide the limits.
func (l *Ledger) Hosts(live int) {
	l.hosts = max(live, 1)
	for _, t := range l.teams {
		t.divide(l.hosts)
	}
	l.sum()
}

// Configure sets the limits of all teams of the view; teams that are not in it have no limit.
func (l *Ledger) Configure(v *spec.View) {
	for name, t := range l.teams {
		if _, ok := v.Team(name); !ok {
			t.limit = 0
			l.drop(name, t)
		}
	}
	for _, name := range v.Teams() {
		s, _ := v.Team(name)
		if s.MaxInFlight > 0 || l.teams[name] != nil {
			l.team(name).limit = s.MaxInFlight
		}
	}
	l.Hosts(l.hosts)
}

// Acquire admits a request of the team or reports false. Capacity tells that the host has free capacity, which allows
// borrowing.
func (l *Ledger) Acquire(name string, u spec.Urgency, capacity bool) bool {
	t := l.team(name)
	if !l.admits(t, u, capacity) {
		l.drop(name, t)
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
	l.drop(name, t)
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

func (l *Ledger) admits(t *team, u spec.Urgency, capacity bool) bool {
	if t.limit == 0 {
		return true
	}
	// Bulk work in progress does not count against the team's other work. The excess is at most the team's own bulk work and
	// ends with it, because no bulk work is admitted meanwhile.
	used, limit := t.inFlight-t.bulk, t.share
	if u == spec.Bulk {
		used, limit = t.inFlight, t.share-t.share/bulkReserve
	}
	return used < limit || capacity && l.lent < l.unused
}

func (l *Ledger) add(t *team, u spec.Urgency, by int) {
	l.unused -= t.unusedShare()
	l.lent -= t.borrowed()
	t.inFlight += by
	if u == spec.Bulk {
		t.bulk += by
	}
	l.unused += t.unusedShare()
	l.lent += t.borrowed()
}

func (l *Ledger) sum() {
	l.unused, l.lent = 0, 0
	for _, t := range l.teams {
		l.unused += t.unusedShare()
		l.lent += t.borrowed()
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

// drop forgets a team without a limit and without requests.
func (l *Ledger) drop(name string, t *team) {
	if t.limit == 0 && t.inFlight == 0 {
		delete(l.teams, name)
	}
}

// divide rounds up, so that every host admits at least one request of each team.
func (t *team) divide(hosts int) { t.share = (t.limit + hosts - 1) / hosts }

func (t *team) unusedShare() int {
	if t.limit == 0 {
		return 0
	}
	return max(t.share-t.inFlight, 0)
}

func (t *team) borrowed() int {
	if t.limit == 0 {
		return 0
	}
	return max(t.inFlight-t.share, 0)
}
