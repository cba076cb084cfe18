package node

import (
	"maps"
	"time"

	"github.com/fireflycleat/fireflycleat/pkg/fleet"
	"github.com/fireflycleat/fireflycleat/pkg/place"
)

const (
	// keptRemovals is how long a hub remembers that an upstream has gone; a host that asks later gets the whole list.
	keptRemovals = 30 * time.Second
)

type (
	// feedLog numbers the changes of the list, so that hosts that depend on a hub get only what is new to them.
	feedLog struct {
		generation int64
		oldest     int64 // oldest is the generation up to which removals were forgotten.
		changed    map[string]int64
		removed    map[string]removal
	}

	removal struct {
		generation int64
		at         time.Time
	}

	// FeedQuery tells what a host has already.
	FeedQuery struct {
		Version    int64  // Version is that of its configuration.
		From       string // From is the incarnation of the hub whose list it took over last, up to the generation.
		Generation int64
	}

	// Feed is what a hub passes on.
	Feed struct {
		Config     []byte // Config is the record of the configuration if it is newer.
		ConfigAge  time.Duration
		ListAge    time.Duration // ListAge is the time since the hub's list was asked for.
		Whole      bool
		Generation int64
		Put        []fleet.Upstream
		Removed    []string
		Running    map[string]int // Running is the number of requests of all other hosts at each upstream.
		Alive      []Sign
	}

	// Sign is a sign of life of a host that another one passes on.
	Sign struct {
		Name        string
		Incarnation string
		Age         time.Duration // Age is the time since the host was heard.
		Ready       bool
		Stopping    bool
	}
)

// note numbers the differences between two lists.
func (f *feedLog) note(before, after map[string]fleet.Upstream) {
	if f.changed == nil {
		f.changed, f.removed = make(map[string]int64), make(map[string]removal)
	}
	f.generation++
	now := time.Now()
	for id, u := range after {
		if old, ok := before[id]; !ok || !old.Same(u) {
			f.changed[id] = f.generation
			delete(f.removed, id)
		}
	}
	for id := range before {
		if _, ok := after[id]; !ok {
			delete(f.changed, id)
			f.removed[id] = removal{f.generation, now}
		}
	}
	for id, r := range f.removed {
		if now.Sub(r.at) > keptRemovals {
			delete(f.removed, id)
			f.oldest = max(f.oldest, r.generation)
		}
	}
}

// feedFor returns what is new to a host.
func (n *Node) feedFor(host string, q FeedQuery) Feed {
	now := time.Now()
	f := Feed{ConfigAge: now.Sub(n.configAt), ListAge: now.Sub(n.listAt), Generation: n.feed.generation, Running: n.table.Running(host)}
	if c := n.config.Load(); c != nil && c.Version() > q.Version {
		f.Config = n.record
	}
	f.Whole = q.From != n.self.Incarnation || q.Generation < n.feed.oldest
	for id, u := range n.upstreams {
		if f.Whole || n.feed.changed[id] > q.Generation {
			f.Put = append(f.Put, u)
		}
	}
	for id, r := range n.feed.removed {
		if !f.Whole && r.generation > q.Generation {
			f.Removed = append(f.Removed, id)
		}
	}
	f.Alive = n.signs(now, n.self.DataCentre)
	return f
}

// fed takes over what a hub passed on, and reports whether it is fresh enough to depend on.
func (n *Node) fed(hub Member, f *Feed) bool {
	now := time.Now()
	if len(f.Config) > 0 {
		n.takeConfig(f.Config)
	}
	for _, s := range f.Alive {
		n.sign(now, s)
	}
	fresh := f.ListAge <= n.pace.listLife && f.ConfigAge <= n.pace.configLife
	if !fresh && (n.listed || !f.Whole || len(f.Put) == 0) {
		return false
	}
	// A host that has no list at all takes an old one: in an outage of the store nobody has a newer one.
	n.configAt, n.listAt = now.Add(-f.ConfigAge), now.Add(-f.ListAge)
	next := make(map[string]fleet.Upstream, len(f.Put))
	if !f.Whole {
		maps.Copy(next, n.upstreams)
	}
	for _, u := range f.Put {
		next[u.ID] = u
	}
	for _, id := range f.Removed {
		delete(next, id)
	}
	n.fedBy, n.fedTo = hub.Incarnation, f.Generation
	if fresh {
		n.outage.ended()
	}
	if f.Whole || len(f.Put)+len(f.Removed) > 0 || !n.listed {
		n.takeList(now, next)
	}
	n.table.Others(hub.Name, f.Running)
	if m, ok := n.members[hub.Name]; ok {
		m.usesAt = now
	}
	return fresh
}

// signs returns the signs of life of the hosts of a data centre that this host knows at first hand, and its own.
func (n *Node) signs(now time.Time, dataCentre string) []Sign {
	_, stopping := n.stop.state()
	list := []Sign{{n.self.Name, n.self.Incarnation, 0, n.ready.Load(), stopping}}
	for name, m := range n.members {
		if m.DataCentre == dataCentre && now.Sub(m.heard) < heardLife {
			list = append(list, Sign{name, m.Incarnation, now.Sub(m.heard), m.ready, m.stopping})
		}
	}
	return list
}

// sign takes over a sign of life; one that is older than what is known changes nothing.
func (n *Node) sign(now time.Time, s Sign) {
	m, ok := n.members[s.Name]
	if !ok || m.Incarnation != s.Incarnation || !now.Add(-s.Age).After(m.heard) {
		return
	}
	m.heard, m.ready, m.stopping, m.missed = now.Add(-s.Age), s.Ready, s.Stopping, 0
}

// merged returns the uses of this host and of those that depend on it.
func (n *Node) merged(now time.Time) []place.Use {
	type key struct {
		upstream string
		key      place.Key
	}
	sums := make(map[key]place.Use)
	add := func(list []place.Use) {
		for _, u := range list {
			k := key{u.Upstream, u.Key}
			x := sums[k]
			x.Upstream, x.Key = u.Upstream, u.Key
			x.Running += u.Running
			x.Started += u.Started
			sums[k] = x
		}
	}
	add(n.table.Uses())
	for _, m := range n.members {
		if now.Sub(m.childAt) < heardLife {
			add(m.uses)
			for i := range m.uses {
				m.uses[i].Started = 0 // It is passed on once.
			}
		}
	}
	list := make([]place.Use, 0, len(sums))
	for _, u := range sums {
		list = append(list, u)
	}
	return list
}
