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
	classes       = int(spec.Bulk) + 1
	otherCentre   = 1500 * time.Microsecond // One way between the data centres of the first users.
	defaultTokens = 100                     // Used until answers of a model were seen.
	defaultFirst  = 50 * time.Millisecond   // Used until first tokens of a model were seen.
	defaultToken  = 20 * time.Millisecond   // Used for a model without configuration.
)

type (
	state int8

	key struct{ model, adapter string }

	place struct{ upstream, model string }

	// Table holds the replicas of all cells and chooses among them.
	Table struct {
		settings   Settings
		dataCentre string
		oneWay     func(string) time.Duration
		random     *rand.Rand
		view       *spec.View
		hosts      Hosts
		upstreams  map[string]*upstream
		nodes      map[place]*node
		groups     map[key]*group
		models     map[string]*model
		cells      map[string]*cell
		news       bool // news tells that the other hosts do not know the last finding yet.
		mutant     mutant
	}

	// mutant switches off single rules; only tests set it.
	mutant struct{ keepLeaving, noCorrection, noFloor, exactOthers bool }

	cell struct {
		fence, seq int64
		nodes      []*node
	}

	upstream struct {
		name    string
		state   state
		nodes   []*node
		token   meter // token is the time between tokens as a ratio to the configured one.
		first   meter // first is the time to the first token as a ratio to the mean of the model.
		ejected bool
		probing bool
		until   time.Time
		sampled time.Time // sampled is the time of the last sample.
		strikes int
		found   time.Time // found is the time of the last finding about the speed, by this host or another.
		told    bool      // told tells that the hosts know the upstream as slow.
		own     bool      // own tells that this host made it.
	}

	node struct {
		Replica
		up            *upstream
		model         *model
		groups        []*group
		distance      time.Duration
		reserve       int
		own           [classes]int
		ownAll        int
		pending       int // pending counts the own urgent requests without a first token.
		others        int
		othersWaiting int
		usual         meter // usual is the mean load of other hosts.
		reported      time.Time
		past          history
		cell          string
		shunned       time.Time // shunned is the end of the time in which the replica is avoided after a refusal.
		listed        bool
		active        bool
	}

	// group holds the ready replicas for a model and adapter; those in the own data centre come first.
	group struct {
		nodes   []*node
		near    int
		ejected int
		homes   []*node // homes are the replicas in the own data centre that this host prefers.
		stale   bool    // stale tells that homes has to be computed again.
	}

	model struct {
		tokenTime float64 // tokenTime is the configured time between tokens, in seconds.
		slots     int
		nodes     []*node // nodes are all known replicas, also those that are loading.
		pace      meter   // pace is the observed time between tokens as a ratio to the configured one.
		first     meter   // first is the time to the first token at a free replica, in seconds.
		front     float64 // front is the mean number of own requests in flight that are not bulk.
		frontAt   time.Time
		tokens    [classes]meter // tokens is the length of answers by urgency.
		own       [classes]int
		ownAll    int
		slotSum   int
		load      int
	}
)

// New returns an empty table; oneWay may be nil.
func New(s Settings, dataCentre string, oneWay func(string) time.Duration, v *spec.View, r *rand.Rand) *Table {
	if oneWay == nil {
		oneWay = func(other string) time.Duration {
			if other == dataCentre {
				return 0
			}
			return otherCentre
		}
	}
	return &Table{
		settings: s, dataCentre: dataCentre, oneWay: oneWay, random: r, view: v, hosts: Hosts{Live: 1},
		upstreams: make(map[string]*upstream), nodes: make(map[place]*node),
		groups: make(map[key]*group), models: make(map[string]*model), cells: make(map[string]*cell),
	}
}

// SetView replaces the configuration and drops what was learned about removed models without replicas.
func (t *Table) SetView(v *spec.View) {
	t.view = v
	for name, m := range t.models {
		if _, ok := v.Model(name); !ok && len(m.nodes) == 0 {
			delete(t.models, name)
			continue
		}
		m.configure(v, name)
	}
}

// SetHosts sets the number of live entry hosts, which are taken to send about as much as this one.
func (t *Table) SetHosts(h Hosts) {
	h.Live = max(h.Live, 1)
	t.hosts = h
	for _, g := range t.groups {
		g.stale = true
	}
}

// Replace sets the replicas of a cell and returns the models whose candidates changed; ok is false for an old list.
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
	for _, n := range c.nodes {
		n.listed = false
	}
	old := c.nodes
	c.nodes = nil
	for _, r := range replicas {
		n := t.node(r)
		if n.listed { // Another line of this list, or of another cell, has the replica already.
			continue
		}
		n.listed, n.cell = true, name
		c.nodes = append(c.nodes, n)
		if t.update(n, r) {
			changed = append(changed, r.Model)
		}
	}
	for _, n := range old {
		if !n.listed {
			t.deactivate(n)
			changed = append(changed, n.Model)
			t.forget(n)
		}
	}
	return changed, true
}

// Leaving excludes an upstream from new work and returns the models whose candidates changed.
func (t *Table) Leaving(name string) []string { return t.setState(name, leaving) }

// Gone excludes an upstream like Leaving; a gone upstream does not become leaving again.
func (t *Table) Gone(name string) []string { return t.setState(name, gone) }

// Live readmits an upstream after a new incarnation registered and returns the models whose candidates changed.
func (t *Table) Live(name string) []string {
	u := t.upstreams[name]
	if u == nil || u.state == live {
		return nil
	}
	t.restore(u)
	u.state, u.token, u.first, u.strikes = live, meter{}, meter{}, 0
	var changed []string
	for _, n := range u.nodes {
		n.others, n.othersWaiting = 0, 0
		t.activate(n)
		changed = append(changed, n.Model)
	}
	t.prune(u)
	return changed
}

// Usable reports whether new work may go to the upstream.
func (t *Table) Usable(name string) bool {
	u := t.upstreams[name]
	return u == nil || u.state == live
}

// Candidates returns the number of ready replicas for the model and adapter.
func (t *Table) Candidates(modelName, adapter string) int {
	if g := t.groups[key{modelName, adapter}]; g != nil {
		return len(g.nodes)
	}
	return 0
}

// Cell returns the cell that lists a replica of the model, or an empty string. Ready replicas go first.
func (t *Table) Cell(modelName string) string {
	best, ready := "", false
	for _, n := range t.replicas(modelName) {
		if best == "" || n.Ready && !ready || n.Ready == ready && n.cell < best {
			best, ready = n.cell, n.Ready
		}
	}
	return best
}

// Loading returns the earliest expected time at which a listed replica becomes ready; the zero time means none.
func (t *Table) Loading(modelName string) time.Time {
	var at time.Time
	for _, n := range t.replicas(modelName) {
		if !n.Ready && !n.ReadyAt.IsZero() && (at.IsZero() || n.ReadyAt.Before(at)) {
			at = n.ReadyAt
		}
	}
	return at
}

// replicas returns the listed replicas of the model at usable upstreams.
func (t *Table) replicas(modelName string) []*node {
	m := t.models[modelName]
	if m == nil {
		return nil
	}
	usable := make([]*node, 0, len(m.nodes))
	for _, n := range m.nodes {
		if n.listed && n.up.state == live {
			usable = append(usable, n)
		}
	}
	return usable
}

func (t *Table) setState(name string, s state) []string {
	u := t.upstreams[name]
	if u == nil {
		// The state is kept without replicas, because a directory that lists the upstream may still be under way.
		t.upstreams[name] = &upstream{name: name, state: s}
		return nil
	}
	u.state = max(u.state, s)
	var changed []string
	for _, n := range slices.Clone(u.nodes) {
		if !t.mutant.keepLeaving {
			t.deactivate(n)
		}
		changed = append(changed, n.Model)
	}
	return changed
}

func (t *Table) node(r Replica) *node {
	if n := t.nodes[place{r.Upstream, r.Model}]; n != nil {
		return n
	}
	u := t.upstreams[r.Upstream]
	if u == nil {
		u = &upstream{name: r.Upstream}
		t.upstreams[r.Upstream] = u
	}
	n := &node{up: u, model: t.model(r.Model)}
	n.Upstream, n.Model = r.Upstream, r.Model
	u.nodes = append(u.nodes, n)
	n.model.nodes = append(n.model.nodes, n)
	t.nodes[place{r.Upstream, r.Model}] = n
	return n
}

// update takes over a line of the directory and reports whether the candidates changed.
func (t *Table) update(n *node, r Replica) bool {
	r.Slots = max(r.Slots, 1)
	same := n.Ready == r.Ready && n.Slots == r.Slots && n.DataCentre == r.DataCentre && slices.Equal(n.Adapters, r.Adapters)
	if same && n.active == (r.Ready && n.up.state == live) {
		moved := !n.ReadyAt.Equal(r.ReadyAt)
		n.Replica = r
		return moved && !n.Ready
	}
	was := t.deactivate(n)
	n.Replica, n.distance = r, t.oneWay(r.DataCentre)
	n.reserve = 0
	if r.Slots > 1 {
		n.reserve = min(int(float64(r.Slots)*t.settings.UrgentReserve+0.999), r.Slots-1)
	}
	return t.activate(n) || was || !n.Ready
}

func (t *Table) activate(n *node) bool {
	if n.active || !n.Ready || !n.listed || n.up.state != live && !t.mutant.keepLeaving {
		return false
	}
	n.active = true
	n.model.slotSum += n.Slots
	n.model.load += n.load()
	t.join(n, "")
	for _, a := range n.Adapters {
		t.join(n, a)
	}
	return true
}

func (t *Table) deactivate(n *node) bool {
	if !n.active {
		return false
	}
	n.active = false
	n.model.slotSum -= n.Slots
	n.model.load -= n.load()
	for _, g := range n.groups {
		g.remove(n)
		t.enforceFloor(g)
	}
	for _, a := range append([]string{""}, n.Adapters...) {
		if g := t.groups[key{n.Model, a}]; g != nil && len(g.nodes) == 0 {
			delete(t.groups, key{n.Model, a})
		}
	}
	n.groups = nil
	return true
}

func (t *Table) join(n *node, adapter string) {
	k := key{n.Model, adapter}
	g := t.groups[k]
	if g == nil {
		g = &group{}
		t.groups[k] = g
	}
	if slices.Contains(n.groups, g) {
		return
	}
	n.groups = append(n.groups, g)
	g.stale = true
	g.nodes = append(g.nodes, n)
	if n.DataCentre == t.dataCentre {
		last := len(g.nodes) - 1
		g.nodes[g.near], g.nodes[last] = g.nodes[last], g.nodes[g.near]
		g.near++
	}
	if n.up.ejected {
		g.ejected++
		t.enforceFloor(g)
	}
}

// forget drops a replica that no list and no request refers to.
func (t *Table) forget(n *node) {
	if n.listed || n.ownAll > 0 || t.nodes[place{n.Upstream, n.Model}] != n {
		return
	}
	delete(t.nodes, place{n.Upstream, n.Model})
	same := func(o *node) bool { return o == n }
	n.up.nodes = slices.DeleteFunc(n.up.nodes, same)
	n.model.nodes = slices.DeleteFunc(n.model.nodes, same)
	t.prune(n.up)
}

// prune drops a live upstream without replicas; the names of leaving and gone ones are kept against late directories.
func (t *Table) prune(u *upstream) {
	if u.state == live && len(u.nodes) == 0 && t.upstreams[u.name] == u {
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
	m.tokenTime, m.slots = defaultToken.Seconds(), 1
	if v == nil {
		return
	}
	if s, ok := v.Model(name); ok {
		m.tokenTime, m.slots = s.TokenTime().Seconds(), s.Slots
	}
}

func (g *group) remove(n *node) {
	i := slices.Index(g.nodes, n)
	if i < 0 {
		return
	}
	if i < g.near {
		g.near--
		g.nodes[i] = g.nodes[g.near]
		i = g.near
	}
	g.stale = true
	last := len(g.nodes) - 1
	g.nodes[i] = g.nodes[last]
	g.nodes[last] = nil
	g.nodes = g.nodes[:last]
	if n.up.ejected {
		g.ejected--
	}
}
