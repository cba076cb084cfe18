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
)

// packedList is a complete list that a hub has packed for the hosts that need it. All get the same bytes, together with the changes since.
type packedList struct {
	packing    sync.Mutex // held while a list is packed, so that hosts that need it at the same time wait for one packing
	generation int64      // generation of the list in bytes
	at         time.Time  // when the list in bytes was current
	bytes      []byte     // empty if no list has been packed
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
	var at time.Time
	n.control.Ask(func() {
		if !n.packedUsable() {
			list, generation, at = n.upstreams, n.changes.generation, time.Now()
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
	n.control.Ask(func() { n.packed.bytes, n.packed.generation, n.packed.at = packed, generation, at })
}

// packedUsable reports whether the packed list and the changes since make up the current one, and the list is recent and the changes are few.
func (n *Node) packedUsable() bool {
	if len(n.packed.bytes) == 0 || n.packed.generation < n.changes.pruned || time.Since(n.packed.at) > maxPackedAge {
		return false
	}
	return float64(n.changes.countSince(n.packed.generation)) <= repackShare*float64(len(n.upstreams))
}

// unpack replaces the packed list in a feed by the entries in it, with the changes that the feed contains beside it.
func (f *Feed) unpack() error {
	if len(f.Packed) == 0 {
		return nil
	}
	list, err := unpackUpstreams(f.Packed)
	if err != nil {
		return err
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
