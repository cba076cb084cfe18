package model

import (
	"container/list"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/fireflycleat/fireflycleat/internal/wire"
)

type (
	// tiers holds the checkpoints cached on the engine's host, most recently used first.
	tiers struct {
		memory, disk       []checkpoint
		memoryMax, diskMax int
	}

	checkpoint struct{ model, version string }

	// blockCache is the prefix cache of prompt blocks; it evicts the least recently used block first.
	blockCache struct {
		settings Settings
		recent   *list.List // block names, most recently used first
		byName   map[string]*list.Element
		seq      int64
		events   []wire.CacheEvent // events that were not lost, in order
	}
)

// maxEvents is the number of cache events that are kept for readers.
const maxEvents = 10000

func newTiers(settings Settings) tiers {
	t := tiers{memoryMax: settings.MemoryCopies, diskMax: settings.DiskCopies}
	for _, c := range settings.Cached {
		k := checkpoint{c.Model, c.Version}
		switch c.Tier {
		case wire.TierMemory:
			t.memory = append(t.memory, k)
		case wire.TierDisk:
			t.disk = append(t.disk, k)
		}
	}
	return t
}

// nearest returns the fastest tier that holds the checkpoint.
func (t *tiers) nearest(c checkpoint) wire.Tier {
	switch {
	case slices.Contains(t.memory, c):
		return wire.TierMemory
	case slices.Contains(t.disk, c):
		return wire.TierDisk
	}
	return wire.TierRemote
}

// recordLoad records that the checkpoint was loaded, which leaves a copy in both tiers.
func (t *tiers) recordLoad(c checkpoint) {
	t.memory = moveToFront(t.memory, c, t.memoryMax)
	t.disk = moveToFront(t.disk, c, t.diskMax)
}

func (t *tiers) dropMemory() { t.memory = nil }

func (t *tiers) copies() []wire.CachedCopy {
	all := []wire.CachedCopy{}
	for _, c := range t.memory {
		all = append(all, wire.CachedCopy{Model: c.model, Version: c.version, Tier: wire.TierMemory})
	}
	for _, c := range t.disk {
		if !slices.Contains(t.memory, c) {
			all = append(all, wire.CachedCopy{Model: c.model, Version: c.version, Tier: wire.TierDisk})
		}
	}
	return all
}

func moveToFront(checkpoints []checkpoint, c checkpoint, limit int) []checkpoint {
	checkpoints = slices.DeleteFunc(checkpoints, func(o checkpoint) bool { return o == c })
	checkpoints = slices.Insert(checkpoints, 0, c)
	return checkpoints[:min(len(checkpoints), limit)]
}

func newBlockCache(settings Settings) *blockCache {
	return &blockCache{settings: settings, recent: list.New(), byName: make(map[string]*list.Element)}
}

// insert caches the blocks and returns the length of their longest prefix that was cached before.
func (c *blockCache) insert(blocks []string, now time.Time) int {
	hits, miss := 0, false
	for _, b := range blocks {
		el, ok := c.byName[b]
		if ok {
			c.recent.MoveToFront(el)
		} else {
			c.byName[b] = c.recent.PushFront(b)
			c.recordEvent(wire.CacheStored, b, now)
		}
		miss = miss || !ok
		if !miss {
			hits++
		}
	}
	for c.recent.Len() > c.settings.PrefixBlocks {
		b := c.recent.Remove(c.recent.Back()).(string)
		delete(c.byName, b)
		c.recordEvent(wire.CacheEvicted, b, now)
	}
	return hits
}

func (c *blockCache) recordEvent(k wire.CacheEventKind, block string, now time.Time) {
	c.seq++
	if rand.Float64() < c.settings.EventLoss {
		return
	}
	c.events = append(c.events, wire.CacheEvent{Seq: c.seq, At: now, Kind: k, Block: block})
	c.events = c.events[max(0, len(c.events)-maxEvents):]
}

// publishedEvents returns at most limit events, starting at the sequence number, that are old enough to be published.
func (c *blockCache) publishedEvents(from, limit int64, now time.Time) []wire.CacheEvent {
	out := []wire.CacheEvent{}
	for _, ev := range c.events {
		if now.Sub(ev.At) < c.settings.EventLag || int64(len(out)) >= limit {
			break
		}
		if ev.Seq >= from {
			out = append(out, ev)
		}
	}
	return out
}
