package fleet

import (
	"maps"
	"time"
)

const (
	// reregisterTime is how long missing entries are retained after an outage of the platform's list, so that their upstreams
	// have time to register again.
	reregisterTime = 2200 * time.Millisecond
	// minWriteRatio is the share of the usual number of writes that distinguishes an outage of the list from a failure of this
	// host alone: if at least this share was written while this host could not read, the list was available to the upstreams.
	minWriteRatio = 0.5
	// writeRateDecay is the weight of the previous value in the moving average of the write rate.
	writeRateDecay = 0.8
)

type (
	// List is one host's copy of the published list of upstreams. An entry that disappears during or right after an outage
	// of the list is retained until the upstream has had time to register again.
	List struct {
		live        map[string]Upstream
		retained    map[string]Upstream
		unreadable  bool
		recoveredAt time.Time // when the list became readable after its last outage

		position  int64     // number of entries ever written, as of the last read
		readAt    time.Time // time of the last read; zero means never
		writeRate float64   // number of entries written per second; zero means unknown
	}
)

// NewList returns an empty list.
func NewList() *List {
	return &List{live: make(map[string]Upstream), retained: make(map[string]Upstream)}
}

// MarkUnreadable records that the list cannot be read.
func (l *List) MarkUnreadable() { l.unreadable = true }

// MarkRead records that the list was read up to the position, which is the number of entries ever written. If the upstreams kept
// writing while this host could not read, the list itself had no outage, and missing entries are not retained.
func (l *List) MarkRead(now time.Time, position int64) {
	elapsed := now.Sub(l.readAt).Seconds()
	written := float64(position - l.position)
	switch known := !l.readAt.IsZero() && elapsed > 0; {
	case l.unreadable && (!known || l.writeRate == 0 || written < minWriteRatio*l.writeRate*elapsed):
		l.recoveredAt = now
	case !l.unreadable && known && l.writeRate == 0:
		l.writeRate = written / elapsed
	case !l.unreadable && known:
		l.writeRate = writeRateDecay*l.writeRate + (1-writeRateDecay)*written/elapsed
	}
	l.unreadable, l.position, l.readAt = false, position, now
}

// Adopt replaces the list with one that another host has just read. The adopted list is current, so entries that are missing at this
// host's next read were not lost in an outage and are not retained.
func (l *List) Adopt(all map[string]Upstream) {
	l.live = maps.Clone(all)
	clear(l.retained)
	l.unreadable, l.recoveredAt, l.readAt = false, time.Time{}, time.Time{}
}

// Put adds or replaces an entry unless the list has a newer one, and reports whether it did.
func (l *List) Put(u Upstream) bool {
	old, ok := l.live[u.ID]
	if ok && !u.Newer(old) {
		return false
	}
	delete(l.retained, u.ID)
	l.live[u.ID] = u
	return true
}

// Remove deletes an entry that has disappeared; around an outage the entry is retained for a while.
func (l *List) Remove(now time.Time, id string) {
	u, ok := l.live[id]
	if !ok {
		return
	}
	delete(l.live, id)
	if !u.Leaving && (l.unreadable || !l.recoveredAt.IsZero() && now.Sub(l.recoveredAt) < reregisterTime) {
		l.retained[id] = u
	}
}

// Reset applies a complete list: entries that it lacks are removed.
func (l *List) Reset(now time.Time, all []Upstream) {
	keep := make(map[string]bool, len(all))
	for _, u := range all {
		keep[u.ID] = true
	}
	for id := range l.live {
		if !keep[id] {
			l.Remove(now, id)
		}
	}
	for _, u := range all {
		l.Put(u)
	}
}

// Current returns all entries, including the retained ones.
func (l *List) Current(now time.Time) map[string]Upstream {
	m := maps.Clone(l.live)
	for id, u := range l.retained {
		if !l.unreadable && now.Sub(l.recoveredAt) >= reregisterTime {
			delete(l.retained, id)
			continue
		}
		m[id] = u
	}
	return m
}
