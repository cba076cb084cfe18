package route

import (
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// homes returns the replicas that this host prefers. The replicas in the own data centre are dealt to the hosts there. A
// host then knows most of the load of its homes exactly, from its own requests, and hosts with the same old reports do not
// follow them to the same replica. When the homes have no free slot, all replicas are candidates.
func (t *Table) homes(g *group) []*node {
	if !g.stale {
		return g.homes
	}
	g.stale = false
	g.homes = g.homes[:0]
	if t.hosts.Near < 2 || g.near == 0 {
		return nil
	}
	near := slices.Clone(g.nodes[:g.near])
	slices.SortFunc(near, func(a, b *node) int { return strings.Compare(a.Upstream, b.Upstream) })
	// The offset keeps the first hosts from getting the only replica of every model.
	offset := int(xxhash.Sum64String(near[0].Model) % uint64(t.hosts.Near))
	first := (t.hosts.Index + offset) % t.hosts.Near
	if len(near) < t.hosts.Near {
		g.homes = append(g.homes, near[first%len(near)])
		return g.homes
	}
	for i := first; i < len(near); i += t.hosts.Near {
		g.homes = append(g.homes, near[i])
	}
	return g.homes
}
