package place

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/fireflycleat/fireflycleat/pkg/fleet"
)

// modelIndex maps models to upstreams, so that a plan need not scan all upstreams for each model. The lists are sorted by ID.
type modelIndex struct {
	holders map[string][]*upstream // upstreams that hold the model
	copies  map[string][]*upstream // upstreams that have the weights in host memory or on disk
}

func newModelIndex() modelIndex {
	return modelIndex{make(map[string][]*upstream), make(map[string][]*upstream)}
}

func insertUpstream(lists map[string][]*upstream, model string, u *upstream) {
	list := lists[model]
	if i, ok := slices.BinarySearchFunc(list, u, compareIDs); !ok {
		lists[model] = slices.Insert(list, i, u)
	}
}

func deleteUpstream(lists map[string][]*upstream, model string, u *upstream) {
	list := lists[model]
	i, ok := slices.BinarySearchFunc(list, u, compareIDs)
	switch {
	case !ok:
	case len(list) == 1:
		delete(lists, model)
	default:
		lists[model] = slices.Delete(list, i, i+1)
	}
}

func compareIDs(a, b *upstream) int { return cmp.Compare(a.entry.ID, b.entry.ID) }

// addUpstream adds an upstream that is not known yet.
func (c *Controller) addUpstream(e fleet.Upstream) *upstream {
	u := &upstream{entry: e}
	c.upstreams[e.ID] = u
	c.sorted = nil
	c.adopt(u, e.Held)
	c.setCopies(u, e.InMemory, e.OnDisk)
	return u
}

func (c *Controller) removeUpstream(u *upstream) {
	c.adopt(u, nil)
	c.setCopies(u, nil, nil)
	delete(c.upstreams, u.entry.ID)
	c.sorted = nil
}

// sortedUpstreams returns all upstreams, sorted by ID.
func (c *Controller) sortedUpstreams() []*upstream {
	if c.sorted == nil {
		for _, u := range c.upstreams {
			c.sorted = append(c.sorted, u)
		}
		slices.SortFunc(c.sorted, compareIDs)
	}
	return c.sorted
}

// addReplica records that the upstream holds the model.
func (c *Controller) addReplica(u *upstream, model string, r *replica) {
	u.replicas[model] = r
	insertUpstream(c.index.holders, model, u)
	c.changed[model] = true
}

// removeReplica records that the upstream does not hold the model any more.
func (c *Controller) removeReplica(u *upstream, model string) {
	delete(u.replicas, model)
	deleteUpstream(c.index.holders, model, u)
}

// adopt replaces the upstream's replicas with those listed, without the model that is being unloaded: it accepts no requests any more.
func (c *Controller) adopt(u *upstream, held []fleet.Held) {
	before := u.replicas
	u.replicas = make(map[string]*replica, len(held))
	for _, h := range held {
		if h.Model == u.unloading {
			continue
		}
		r := &replica{adapters: make(map[string]time.Time, len(h.Adapters))}
		prev := before[h.Model]
		if prev != nil {
			r.lastUsed, r.loadedAt, r.since = prev.lastUsed, prev.loadedAt, prev.since
		}
		for _, a := range h.Adapters {
			r.adapters[a] = time.Time{}
			if prev != nil && prev.adapters[a].Equal(unloading) {
				r.adapters[a] = unloading
			}
		}
		c.addReplica(u, h.Model, r)
	}
	for m := range before {
		if _, ok := u.replicas[m]; !ok {
			deleteUpstream(c.index.holders, m, u)
		}
	}
}

// setCopies replaces the lists of models whose weights the upstream has in host memory and on disk.
func (c *Controller) setCopies(u *upstream, memory, disk []string) {
	if u.memory != nil && containsExactly(u.memory, memory) && containsExactly(u.disk, disk) {
		return
	}
	for _, set := range []map[string]bool{u.memory, u.disk} {
		for m := range set {
			deleteUpstream(c.index.copies, m, u)
		}
	}
	u.memory, u.disk = setOf(memory), setOf(disk)
	for _, set := range []map[string]bool{u.memory, u.disk} {
		for m := range set {
			insertUpstream(c.index.copies, m, u)
		}
	}
}

// forgetMemory drops what the upstream has in host memory when it accepts a load: the load evicts the least recently used weights, and
// a forecast by the time of a load from memory would be too early. The next report tells what is left.
func (c *Controller) forgetMemory(now time.Time, u *upstream) {
	u.lastLoadAt = now
	c.setCopies(u, nil, slices.Collect(maps.Keys(u.disk)))
}

// addDiskCopy records that the upstream has the weights of the model on disk.
func (c *Controller) addDiskCopy(u *upstream, model string) {
	u.disk[model] = true
	insertUpstream(c.index.copies, model, u)
}

func containsExactly(set map[string]bool, names []string) bool {
	if len(set) != len(names) {
		return false
	}
	for _, n := range names {
		if !set[n] {
			return false
		}
	}
	return true
}
