package route

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/fireflycleat/fireflycleat/pkg/spec"
)

// The states of an upstream.
const (
	live state = iota
	leaving
	gone
)

const (
	classCount        = int(spec.Bulk) + 1
	remoteCentreDelay = 1500 * time.Microsecond // one-way delay between the data centres of the first users
	defaultTokens     = 100                     // used until a model has sampled answers
	defaultFirstToken = 50 * time.Millisecond   // used until a model has sampled first tokens
	defaultTokenTime  = 20 * time.Millisecond   // used for a model without configuration
)

type (
	state int8

	groupKey struct{ model, adapter string }

	replicaKey struct{ upstream, model string }

	// Table holds the replicas of all cells and chooses among them.
	Table struct {
		settings      Settings
		dataCentre    string
		oneWay        func(string) time.Duration
		random        *rand.Rand
		view          *spec.View
		hosts         Hosts
		upstreams     map[string]*upstream
		replicas      map[replicaKey]*replica
		groups        map[groupKey]*group
		models        map[string]*model
		cells         map[string]*cell
		updatePending bool // set while the last finding has not been sent to the peers
		mutant        mutant
	}

	// mutant disables single rules; only tests set it.
	mutant struct{ keepLeaving, noCorrection, noEjectLimit, exactRemote bool }

	cell struct {
		fence, seq int64
		replicas   []*replica
	}

	upstream struct {
		name         string
		state        state
		replicas     []*replica
		tokenRatio   ewma // time between tokens relative to the configured one
		firstRatio   ewma // time to the first token relative to the model's mean
		ejected      bool
		probing      bool
		probeAt      time.Time
		sampledAt    time.Time
		slowProbes   int
		findingAt    time.Time // time of the last finding about the speed, by this host or a peer
		reportedSlow bool      // set when the last finding sent or received was that the upstream is slow
		foundLocally bool      // set when this host made the last finding
	}

	// replica is a Replica with the state that this host keeps for it.
	replica struct {
		Replica
		up                  *upstream
		model               *model
		groups              []*group
		distance            time.Duration
		reserve             int
		local               [classCount]int
		localTotal          int
		urgentPending       int // this host's urgent requests without a first token
		remote              int // estimated requests in flight from other hosts
		remoteUrgentWaiting int
		meanRemote          ewma // mean load of other hosts
		reported            time.Time
		localHistory        history
		cell                string
		avoidUntil          time.Time // set after a refusal; the replica is a last resort until then
		listed              bool      // set while the directory of a cell lists the replica
		active              bool      // set while the replica is a candidate: listed, ready and at a live upstream
	}

	// group holds the ready replicas for a model and adapter. The first near ones are in this host's data centre.
	group struct {
		replicas       []*replica
		near           int
		ejected        int
		preferred      []*replica // replicas in the same data centre that this host prefers
		preferredStale bool       // set when preferred has to be computed again
	}

	model struct {
		tokenTime     float64 // configured time between tokens, in seconds
		slots         int
		replicas      []*replica // all known replicas, including those that are loading
		tokenRatio    ewma       // observed time between tokens relative to the configured one
		first         ewma       // time to the first token at a free replica, in seconds
		meanNonBulk   float64    // mean number of this host's requests in flight that are not bulk
		meanNonBulkAt time.Time
		tokens        [classCount]ewma // length of answers in tokens, by urgency
		local         [classCount]int
		localTotal    int
		slotSum       int
		load          int
	}
)

// New returns an empty table. A nil oneWay uses remoteCentreDelay for every other data centre.
func New(s Settings, dataCentre string, oneWay func(string) time.Duration, v *spec.View, r *rand.Rand) *Table {
	if oneWay == nil {
		oneWay = func(other string) time.Duration {
			if other == dataCentre {
				return 0
			}
			return remoteCentreDelay
		}
	}
	return &Table{
		settings: s, dataCentre: dataCentre, oneWay: oneWay, random: r, view: v, hosts: Hosts{Live: 1},
		upstreams: make(map[string]*upstream), replicas: make(map[replicaKey]*replica),
		groups: make(map[groupKey]*group), models: make(map[string]*model), cells: make(map[string]*cell),
	}
}

// SetView replaces the configuration and drops what was learned about removed models without replicas.
func (t *Table) SetView(v *spec.View) {
	t.view = v
	for name, m := range t.models {
		if _, ok := v.Model(name); !ok && len(m.replicas) == 0 {
			delete(t.models, name)
			continue
		}
		m.configure(v, name)
	}
}

// SetHosts sets the number of live entry hosts, each of which is assumed to send about as many requests as this one.
func (t *Table) SetHosts(h Hosts) {
	h.Live = max(h.Live, 1)
	t.hosts = h
	for _, g := range t.groups {
		g.preferredStale = true
	}
}

// Replace sets the replicas of a cell and returns the models whose candidates changed; ok is false for an outdated list.
func (t *Table) Replace(name string, fence, seq int64, replicas []Replica) (changed []string, ok bool) {
	c := t.cells[name]
	if c == nil {
		c = &cell{fence: -1}
		t.cells[name] = c
	}
	if fence < c.fence || fence == c.fence && seq <= c.seq {
		return nil, false
	}
	c.fence, c.seq = fence, seq
	for _, r := range c.replicas {
		r.listed = false
	}
	old := c.replicas
	c.replicas = nil
	for _, line := range replicas {
		r := t.replica(line)
		if r.listed { // The replica is listed twice, here or by another cell.
			continue
		}
		r.listed, r.cell = true, name
		c.replicas = append(c.replicas, r)
		if t.update(r, line) {
			changed = append(changed, line.Model)
		}
	}
	for _, r := range old {
		if !r.listed {
			t.deactivate(r)
			changed = append(changed, r.Model)
			t.dropUnused(r)
		}
	}
	return changed, true
}

// SetLeaving excludes an upstream from new work and returns the models whose candidates changed.
func (t *Table) SetLeaving(name string) []string { return t.setState(name, leaving) }

// SetGone excludes an upstream like SetLeaving. A gone upstream does not become leaving again.
func (t *Table) SetGone(name string) []string { return t.setState(name, gone) }

// SetLive readmits an upstream after a new incarnation has registered and returns the models whose candidates changed.
func (t *Table) SetLive(name string) []string {
	u := t.upstreams[name]
	if u == nil || u.state == live {
		return nil
	}
	t.readmit(u)
	u.state, u.tokenRatio, u.firstRatio, u.slowProbes = live, ewma{}, ewma{}, 0
	var changed []string
	for _, r := range u.replicas {
		r.remote, r.remoteUrgentWaiting = 0, 0
		t.activate(r)
		changed = append(changed, r.Model)
	}
	t.prune(u)
	return changed
}

// Usable reports whether new work may be sent to the upstream.
func (t *Table) Usable(name string) bool {
	u := t.upstreams[name]
	return u == nil || u.state == live
}

// Candidates returns the number of ready replicas for the model and adapter.
func (t *Table) Candidates(modelName, adapter string) int {
	if g := t.groups[groupKey{modelName, adapter}]; g != nil {
		return len(g.replicas)
	}
	return 0
}

// Cell returns the cell that lists a replica of the model, or an empty string. It prefers cells with a ready replica.
func (t *Table) Cell(modelName string) string {
	best, ready := "", false
	for _, r := range t.usableReplicas(modelName) {
		if best == "" || r.Ready && !ready || r.Ready == ready && r.cell < best {
			best, ready = r.cell, r.Ready
		}
	}
	return best
}

// EarliestReady returns the earliest time at which a listed replica is expected to be ready; the zero time means none.
func (t *Table) EarliestReady(modelName string) time.Time {
	var at time.Time
	for _, r := range t.usableReplicas(modelName) {
		if !r.Ready && !r.ReadyAt.IsZero() && (at.IsZero() || r.ReadyAt.Before(at)) {
			at = r.ReadyAt
		}
	}
	return at
}

// usableReplicas returns the listed replicas of the model at usable upstreams.
func (t *Table) usableReplicas(modelName string) []*replica {
	m := t.models[modelName]
	if m == nil {
		return nil
	}
	usable := make([]*replica, 0, len(m.replicas))
	for _, r := range m.replicas {
		if r.listed && r.up.state == live {
			usable = append(usable, r)
		}
	}
	return usable
}

func (t *Table) setState(name string, s state) []string {
	u := t.upstreams[name]
	if u == nil {
		// The state is kept even without replicas, because a directory that lists the upstream may still arrive.
		t.upstreams[name] = &upstream{name: name, state: s}
		return nil
	}
	u.state = max(u.state, s)
	var changed []string
	for _, r := range slices.Clone(u.replicas) {
		if !t.mutant.keepLeaving {
			t.deactivate(r)
		}
		changed = append(changed, r.Model)
	}
	return changed
}

// replica returns the state of the replica in a line of a directory, and creates it if needed.
func (t *Table) replica(line Replica) *replica {
	if r := t.replicas[replicaKey{line.Upstream, line.Model}]; r != nil {
		return r
	}
	u := t.upstreams[line.Upstream]
	if u == nil {
		u = &upstream{name: line.Upstream}
		t.upstreams[line.Upstream] = u
	}
	r := &replica{up: u, model: t.model(line.Model)}
	r.Upstream, r.Model = line.Upstream, line.Model
	u.replicas = append(u.replicas, r)
	r.model.replicas = append(r.model.replicas, r)
	t.replicas[replicaKey{line.Upstream, line.Model}] = r
	return r
}

// update applies a line of the directory and reports whether the candidates changed.
func (t *Table) update(r *replica, line Replica) bool {
	line.Slots = max(line.Slots, 1)
	same := r.Ready == line.Ready && r.Slots == line.Slots && r.DataCentre == line.DataCentre && slices.Equal(r.Adapters, line.Adapters)
	if same && r.active == (line.Ready && r.up.state == live) {
		readyAtChanged := !r.ReadyAt.Equal(line.ReadyAt)
		r.Replica = line
		return readyAtChanged && !r.Ready
	}
	wasActive := t.deactivate(r)
	r.Replica, r.distance = line, t.oneWay(line.DataCentre)
	r.reserve = 0
	if line.Slots > 1 {
		r.reserve = min(int(float64(line.Slots)*t.settings.UrgentReserve+0.999), line.Slots-1)
	}
	return t.activate(r) || wasActive || !r.Ready
}

func (t *Table) activate(r *replica) bool {
	if r.active || !r.Ready || !r.listed || r.up.state != live && !t.mutant.keepLeaving {
		return false
	}
	r.active = true
	r.model.slotSum += r.Slots
	r.model.load += r.load()
	t.join(r, "")
	for _, a := range r.Adapters {
		t.join(r, a)
	}
	return true
}

func (t *Table) deactivate(r *replica) bool {
	if !r.active {
		return false
	}
	r.active = false
	r.model.slotSum -= r.Slots
	r.model.load -= r.load()
	for _, g := range r.groups {
		g.remove(r)
		t.enforceEjectLimit(g)
	}
	for _, a := range append([]string{""}, r.Adapters...) {
		if g := t.groups[groupKey{r.Model, a}]; g != nil && len(g.replicas) == 0 {
			delete(t.groups, groupKey{r.Model, a})
		}
	}
	r.groups = nil
	return true
}

func (t *Table) join(r *replica, adapter string) {
	k := groupKey{r.Model, adapter}
	g := t.groups[k]
	if g == nil {
		g = &group{}
		t.groups[k] = g
	}
	if slices.Contains(r.groups, g) {
		return
	}
	r.groups = append(r.groups, g)
	g.preferredStale = true
	g.replicas = append(g.replicas, r)
	if r.DataCentre == t.dataCentre {
		last := len(g.replicas) - 1
		g.replicas[g.near], g.replicas[last] = g.replicas[last], g.replicas[g.near]
		g.near++
	}
	if r.up.ejected {
		g.ejected++
		t.enforceEjectLimit(g)
	}
}

// dropUnused removes a replica that no directory lists and no request uses.
func (t *Table) dropUnused(r *replica) {
	if r.listed || r.localTotal > 0 || t.replicas[replicaKey{r.Upstream, r.Model}] != r {
		return
	}
	delete(t.replicas, replicaKey{r.Upstream, r.Model})
	same := func(o *replica) bool { return o == r }
	r.up.replicas = slices.DeleteFunc(r.up.replicas, same)
	r.model.replicas = slices.DeleteFunc(r.model.replicas, same)
	t.prune(r.up)
}

// prune removes a live upstream without replicas. Leaving and gone ones are kept, because an outdated directory may still list
// them.
func (t *Table) prune(u *upstream) {
	if u.state == live && len(u.replicas) == 0 && t.upstreams[u.name] == u {
		delete(t.upstreams, u.name)
	}
}

func (t *Table) model(name string) *model {
	m := t.models[name]
	if m == nil {
		m = &model{}
		m.configure(t.view, name)
		t.models[name] = m
	}
	return m
}

func (m *model) configure(v *spec.View, name string) {
	m.tokenTime, m.slots = defaultTokenTime.Seconds(), 1
	if v == nil {
		return
	}
	if s, ok := v.Model(name); ok {
		m.tokenTime, m.slots = s.TokenTime().Seconds(), s.Slots
	}
}

func (g *group) remove(r *replica) {
	i := slices.Index(g.replicas, r)
	if i < 0 {
		return
	}
	if i < g.near {
		g.near--
		g.replicas[i] = g.replicas[g.near]
		i = g.near
	}
	g.preferredStale = true
	last := len(g.replicas) - 1
	g.replicas[i] = g.replicas[last]
	g.replicas[last] = nil
	g.replicas = g.replicas[:last]
	if r.up.ejected {
		g.ejected--
	}
}
