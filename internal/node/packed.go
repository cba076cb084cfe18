package node

import (
	"bytes"
	"cmp"
	"encoding/gob"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/fireflycleat/fireflycleat/internal/peers"
	"github.com/fireflycleat/fireflycleat/pkg/fleet"
)

const (
	// maxListBytes limits the memory that a packed list can allocate.
	maxListBytes = 64 << 20
	// repackShare is the share of the upstreams whose entries may differ from a packed list before it is packed again.
	repackShare = 0.1
	// maxPackedAge is the age at which a list is packed again. A host that has seen an upstream disappear ignores entries with an earlier heartbeat
	// of it, which a packed list has if only the heartbeat changed since.
	maxPackedAge = 2 * time.Second
	// minPackedChanges is the number of changed entries from which they are packed; few entries repeat little.
	minPackedChanges = 16
)

// packedList is a complete list that a hub has packed for the hosts that need it. All get the same bytes, together with the changes since.
type packedList struct {
	packing    sync.Mutex // held while a list is packed, so that hosts that need it at the same time wait for one packing
	generation int64      // generation of the list in bytes
	at         time.Time  // when the list in bytes had been packed

	changes   map[int64][]byte // packed changes since earlier generations, by these
	changesTo int64            // generation up to which changes go
	bytes     []byte           // empty if no list has been packed
}

// packUpstreams encodes the upstreams in a compressed form.
func packUpstreams(list map[string]fleet.Upstream) ([]byte, error) {
	// Upstreams of a service have similar entries, which compress better side by side.
	sorted := slices.SortedFunc(maps.Values(list), func(a, b fleet.Upstream) int {
		return cmp.Or(cmp.Compare(a.Service, b.Service), cmp.Compare(a.ID, b.ID))
	})
	var b bytes.Buffer
	if err := gob.NewEncoder(&b).Encode(sorted); err != nil {
		return nil, errors.Wrap(err, "encode the list")
	}
	return deflate(listPackers, b.Bytes()), nil
}

// unpackUpstreams is the inverse of packUpstreams.
func unpackUpstreams(packed []byte) ([]fleet.Upstream, error) {
	data, err := inflate(packed, maxListBytes)
	if err != nil {
		return nil, errors.Wrap(err, "unpack the list")
	}
	var list []fleet.Upstream
	if err := peers.Decode(data, &list); err != nil {
		return nil, errors.Wrap(err, "decode the list")
	}
	return list, nil
}

// needsWhole reports whether the sender of the query needs the complete list.
func (n *Node) needsWhole(q FeedQuery) bool {
	return q.From != n.self.Incarnation || q.Generation < n.changes.pruned
}

// packList packs the list if the sender of the query needs the complete list and none has been packed that differs little from the current one. It
// must not run on the control thread, which packing would block for some tens of milliseconds with thousands of upstreams.
func (n *Node) packList(q FeedQuery) {
	if !q.Packed {
		return
	}
	needed := false
	n.control.Ask(func() { needed = n.needsWhole(q) && !n.packedUsable() })
	if !needed {
		return
	}
	n.packed.packing.Lock()
	defer n.packed.packing.Unlock()
	var list map[string]fleet.Upstream
	var generation int64
	n.control.Ask(func() {
		if !n.packedUsable() {
			list, generation = n.upstreams, n.changes.generation
		}
	})
	if len(list) == 0 {
		return
	}
	packed, err := packUpstreams(list)
	if err != nil {
		n.log("list").Warn("list can't be packed", "event", eventSkipped, "err", err)
		return
	}
	// The age counts from the end of the packing, which may take longer than maxPackedAge on a busy host.
	n.control.Ask(func() { n.packed.bytes, n.packed.generation, n.packed.at = packed, generation, time.Now() })
}

// packedUsable reports whether the packed list and the changes since make up the current one, and the list is recent and the changes are few.
func (n *Node) packedUsable() bool {
	if len(n.packed.bytes) == 0 || n.packed.generation < n.changes.pruned || time.Since(n.packed.at) > maxPackedAge {
		return false
	}
	return float64(n.changes.countSince(n.packed.generation)) <= repackShare*float64(len(n.upstreams))
}

// changedSince returns the upstreams that changed after a generation.
func (n *Node) changedSince(generation int64) []fleet.Upstream {
	var list []fleet.Upstream
	for id, g := range n.changes.changed {
		if g > generation {
			list = append(list, n.upstreams[id])
		}
	}
	return list
}

// packChanges packs the changes in a feed, and keeps them for the other hosts that lack the same ones.
func (n *Node) packChanges(f *Feed, since int64) {
	changed := make(map[string]fleet.Upstream, len(f.Put))
	for _, u := range f.Put {
		changed[u.ID] = u
	}
	packed, err := packUpstreams(changed)
	if err != nil {
		return // They remain in the feed as they are.
	}
	if n.packed.changes == nil || n.packed.changesTo != n.changes.generation {
		n.packed.changes, n.packed.changesTo = make(map[int64][]byte), n.changes.generation
	}
	n.packed.changes[since] = packed
	f.Packed, f.Put = packed, nil
}

// addPackedChanges adds packed changes to a feed if they have been packed for another host.
func (n *Node) addPackedChanges(f *Feed, since int64) bool {
	if f.Whole || n.packed.changesTo != n.changes.generation || len(n.packed.changes[since]) == 0 {
		return false
	}
	f.Packed = n.packed.changes[since]
	return true
}

// unpack replaces what is packed in a feed by the entries in it, a complete list with the changes that the feed contains beside it.
func (f *Feed) unpack() error {
	if len(f.Packed) == 0 {
		return nil
	}
	list, err := unpackUpstreams(f.Packed)
	if err != nil {
		return err
	}
	if !f.Whole {
		f.Put, f.Packed = append(f.Put, list...), nil
		return nil
	}
	all := make(map[string]fleet.Upstream, len(list))
	for _, u := range list {
		all[u.ID] = u
	}
	for _, u := range f.Put {
		all[u.ID] = u
	}
	for _, id := range f.Removed {
		delete(all, id)
	}
	f.Put, f.Removed, f.Packed = slices.Collect(maps.Values(all)), nil, nil
	return nil
}
