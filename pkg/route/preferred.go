package route

import (
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// preferredReplicas returns the replicas that this host prefers. The replicas in its data centre are divided among the hosts
// there. Each host then knows most of the load of its preferred replicas exactly, from its own requests, and hosts that have
// the same delayed reports do not all choose the same replica. If no preferred replica has a free slot, all replicas are
// candidates.
func (t *Table) preferredReplicas(g *group) []*replica {
	if !g.preferredStale {
		return g.preferred
	}
	g.preferredStale = false
	g.preferred = g.preferred[:0]
	if t.hosts.Near < 2 || g.near == 0 {
		return nil
	}
	near := slices.Clone(g.replicas[:g.near])
	slices.SortFunc(near, func(a, b *replica) int { return strings.Compare(a.Upstream, b.Upstream) })
	// The offset, which differs by model, keeps the first hosts from getting the only replica of every model.
	offset := int(xxhash.Sum64String(near[0].Model) % uint64(t.hosts.Near))
	first := (t.hosts.Index + offset) % t.hosts.Near
	if len(near) < t.hosts.Near {
		g.preferred = append(g.preferred, near[first%len(near)])
		return g.preferred
	}
	for i := first; i < len(near); i += t.hosts.Near {
		g.preferred = append(g.preferred, near[i])
	}
	return g.preferred
}
