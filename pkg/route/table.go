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
	classes           = int(spec.Bulk) + 1
	remoteCentreDelay = 1500 * time.Microsecond // One-way delay between the data centres of the first users.
	defaultTokens     = 100                     // Used until a model has sampled answers.
	defaultFirstToken = 50 * time.Millisecond   // Used until a model has sampled first tokens.
	defaultTokenTime  = 20 * time.Millisecond   // Used for a model without configuration.
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
		nodes         map[replicaKey]*node
		groups        map[groupKey]*group
		models        map[string]*model
		cells         map[string]*cell
		updatePending bool // updatePending is set while the last finding has not been sent to the peers.
		mutant        mutant
	}

	// mutant disables single rules; only tests set it.
	mutant struct{ keepLeaving, noCorrection, noFloor, exactRemote bool }

	cell struct {
		fence, seq int64
		nodes      []*node
	}

	upstream struct {
		name         string
		state        state
		nodes        []*node
		tokenRatio   ewma // tokenRatio is the time between tokens relative to the configured one.
		firstRatio   ewma // firstRatio is the time to the first token relative to the model's mean.
		ejected      bool
		probing      bool
		probeAt      time.Time
		sampledAt    time.Time
		slowProbes   int
		findingAt    time.Time // findingAt is the time of the last finding about the speed, by this host or a peer.
		reportedSlow bool      // reportedSlow is set when the last finding sent or received was that the upstream is slow.
		foundLocally bool      // foundLocally is set when this host made the last finding.
	}

	node struct {
		Replica
		up                  *upstream
		model               *model
		groups              []*group
		distance            time.Duration
		reserve             int
		local               [classes]int
		localTotal          int
		urgentPending       int // urgentPending counts this host's urgent requests without a first token.
		remote              int
		remoteUrgentWaiting int
		meanRemote          ewma // meanRemote is the mean load of other hosts.
		reported            time.Time
		localHistory        history
		cell                string
		avoidUntil          time.Time // avoidUntil is set after a refusal; the replica is avoided until then.
		listed              bool
		active              bool
	}

	// group holds the ready replicas for a model and adapter. The first near ones are in this host's data centre.
	group struct {
		nodes          []*node
		near           int
		ejected        int
		preferred      []*node // preferred lists the replicas in the same data centre that this host prefers.
		preferredStale bool    // preferredStale is set when preferred has to be computed again.
	}

	model struct {
		tokenTime     float64 // tokenTime is the configured time between tokens, in seconds.
		slots         int
		nodes         []*node // nodes lists all known replicas, including those that are loading.
		tokenRatio    ewma    // tokenRatio is the observed time between tokens relative to the configured one.
		first         ewma    // first is the time to the first token at a free replica, in seconds.
		meanNonBulk   float64 // meanNonBulk is the mean number of this host's requests in flight that are not bulk.
		meanNonBulkAt time.Time
		tokens        [classes]ewma // tokens is the length of answers in tokens, by urgency.
		local         [classes]int
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
		upstreams: make(map[string]*upstream), nodes: make(map[replicaKey]*node),
		groups: make(map[groupKey]*group), models: make(map[string]*model), cells: make(map[string]*cell),
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
	for _, n := range c.nodes {
		n.listed = false
	}
	old := c.nodes
	c.nodes = nil
	for _, r := range replicas {
		n := t.node(r)
		if n.listed { // The replica is listed twice, here or by another cell.
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
			t.dropUnused(n)
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
	for _, n := range u.nodes {
		n.remote, n.remoteUrgentWaiting = 0, 0
		t.activate(n)
		changed = append(changed, n.Model)
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
		return len(g.nodes)
	}
	return 0
}

// Cell returns the cell that lists a replica of the model, or an empty string. It prefers cells with a ready replica.
func (t *Table) Cell(modelName string) string {
	best, ready := "", false
	for _, n := range t.replicas(modelName) {
		if best == "" || n.Ready && !ready || n.Ready == ready && n.cell < best {
			best, ready = n.cell, n.Ready
		}
	}
	return best
}

// EarliestReady returns the earliest time at which a listed replica is expected to be ready; the zero time means none.
func (t *Table) EarliestReady(modelName string) time.Time {
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
		// The state is kept even without replicas, because a directory that lists the upstream may still arrive.
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
	if n := t.nodes[replicaKey{r.Upstream, r.Model}]; n != nil {
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
	t.nodes[replicaKey{r.Upstream, r.Model}] = n
	return n
}

// update applies a line of the directory and reports whether the candidates changed.
func (t *Table) update(n *node, r Replica) bool {
	r.Slots = max(r.Slots, 1)
	same := n.Ready == r.Ready && n.Slots == r.Slots && n.DataCentre == r.DataCentre && slices.Equal(n.Adapters, r.Adapters)
	if same && n.active == (r.Ready && n.up.state == live) {
		moved := !n.ReadyAt.Equal(r.ReadyAt)
		n.Replica = r
		return moved && !n.Ready
	}
	wasActive := t.deactivate(n)
	n.Replica, n.distance = r, t.oneWay(r.DataCentre)
	n.reserve = 0
	if r.Slots > 1 {
		n.reserve = min(int(float64(r.Slots)*t.settings.UrgentReserve+0.999), r.Slots-1)
	}
	return t.activate(n) || wasActive || !n.Ready
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
		if g := t.groups[groupKey{n.Model, a}]; g != nil && len(g.nodes) == 0 {
			delete(t.groups, groupKey{n.Model, a})
		}
	}
	n.groups = nil
	return true
}

func (t *Table) join(n *node, adapter string) {
	k := groupKey{n.Model, adapter}
	g := t.groups[k]
	if g == nil {
		g = &group{}
		t.groups[k] = g
	}
	if slices.Contains(n.groups, g) {
		return
	}
	n.groups = append(n.groups, g)
	g.preferredStale = true
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

// dropUnused removes a replica that no list and no request refers to.
func (t *Table) dropUnused(n *node) {
	if n.listed || n.localTotal > 0 || t.nodes[replicaKey{n.Upstream, n.Model}] != n {
		return
	}
	delete(t.nodes, replicaKey{n.Upstream, n.Model})
	same := func(o *node) bool { return o == n }
	n.up.nodes = slices.DeleteFunc(n.up.nodes, same)
	n.model.nodes = slices.DeleteFunc(n.model.nodes, same)
	t.prune(n.up)
}

// prune removes a live upstream without replicas. Leaving and gone ones are kept, because an outdated directory may still list
// them.
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
	m.tokenTime, m.slots = defaultTokenTime.Seconds(), 1
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
	g.preferredStale = true
	last := len(g.nodes) - 1
	g.nodes[i] = g.nodes[last]
	g.nodes[last] = nil
	g.nodes = g.nodes[:last]
	if n.up.ejected {
		g.ejected--
	}
}
