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
	// goneMemory is how long the last entry of an upstream that has disappeared is known. It is much longer than the age of a copy from
	// which the platform's list may come back.
	goneMemory = 5 * time.Minute
)

type (
	// List is one host's copy of the published list of upstreams. An entry that disappears during or right after an outage
	// of the list is retained until the upstream has had time to register again.
	List struct {
		live       map[string]Upstream
		retained   map[string]Upstream
		gone       map[string]goneUpstream
		unreadable bool
		progress   Progress
	}

	// goneUpstream is the last entry of an upstream that has disappeared.
	goneUpstream struct {
		Upstream
		at  time.Time
		era int64 // of the last read of the published list when the upstream disappeared, or of the last complete list after that
	}

	// Progress tells how many entries are written to the published list. It distinguishes an outage of the list from a failure of the
	// hosts that read it.
	Progress struct {
		Era      int64     // of the platform's store; in a higher one, positions are given out again
		Position int64     // number of entries ever written in the log of the era, as of ReadAt
		ReadAt   time.Time // time of the last read; zero means never
		Rate     float64   // number of entries written per second; zero means unknown
		// RecoveredAt is when the list became readable after its last outage; zero means that no outage is known.
		RecoveredAt time.Time
	}
)

// NewList returns an empty list.
func NewList() *List {
	return &List{live: make(map[string]Upstream), retained: make(map[string]Upstream), gone: make(map[string]goneUpstream)}
}

// MarkUnreadable records that the list cannot be read.
func (l *List) MarkUnreadable() { l.unreadable = true }

// MarkRead records that the list was read up to the position, which is the number of entries ever written in the log of the era. If the
// upstreams kept writing while this host could not read, the list itself had no outage, and missing entries are not retained. In a new era
// the list has lost entries, which is an outage, and positions tell nothing about the rate of writing.
func (l *List) MarkRead(now time.Time, era, position int64) {
	p := &l.progress
	elapsed := now.Sub(p.ReadAt).Seconds()
	written := float64(position - p.Position)
	switch known := !p.ReadAt.IsZero() && elapsed > 0; {
	case era != p.Era && !p.ReadAt.IsZero():
		p.RecoveredAt = now
	case l.unreadable && (!known || p.Rate == 0 || written < minWriteRatio*p.Rate*elapsed):
		p.RecoveredAt = now
	case !l.unreadable && known && p.Rate == 0:
		p.Rate = written / elapsed
	case !l.unreadable && known:
		p.Rate = writeRateDecay*p.Rate + (1-writeRateDecay)*written/elapsed
	}
	l.unreadable, p.Era, p.Position, p.ReadAt = false, era, position, now
}

// Progress returns the progress of the published list as of the last read.
func (l *List) Progress() Progress { return l.progress }

// Adopt replaces the list with one that another host has read, with the progress that the other host has seen. With current, entries that
// are missing at this host's next read were not lost in an outage and are not retained. Otherwise the progress decides about that.
func (l *List) Adopt(all map[string]Upstream, p Progress, current bool) {
	l.live = maps.Clone(all)
	clear(l.retained)
	l.unreadable, l.progress = !current, p
}

// Live returns the entry of an upstream that has not disappeared.
func (l *List) Live(id string) (Upstream, bool) {
	u, ok := l.live[id]
	return u, ok
}

// Put adds or replaces an entry unless a newer one is known, also of an upstream that has disappeared, and reports whether it did.
func (l *List) Put(u Upstream) bool {
	old, ok := l.live[u.ID]
	if ok && !u.Newer(old) || l.Outdated(u) {
		return false
	}
	delete(l.gone, u.ID)
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
	if !u.Leaving && (l.unreadable || !l.progress.RecoveredAt.IsZero() && now.Sub(l.progress.RecoveredAt) < reregisterTime) {
		l.retained[id] = u
	}
}

// Outdated reports whether the entry is not newer than the last one of an upstream that has disappeared.
func (l *List) Outdated(u Upstream) bool {
	g, ok := l.gone[u.ID]
	return ok && g.Newer(u)
}

// RecordChanges records which upstreams disappeared between two lists.
func (l *List) RecordChanges(now time.Time, before, after map[string]Upstream) {
	for id, u := range before {
		if _, ok := after[id]; !ok {
			l.gone[id] = goneUpstream{u, now, l.progress.Era}
		}
	}
	for id, g := range l.gone {
		if _, ok := after[id]; ok || now.Sub(g.at) > goneMemory {
			delete(l.gone, id)
		}
	}
}

// Reset applies a complete list: entries that it lacks are removed. If the era is new since an upstream disappeared, the upstream counts
// again only from its next entry on, because the list may have come back from a copy that was made while the upstream was there.
func (l *List) Reset(now time.Time, all []Upstream) {
	for _, u := range all {
		if g, ok := l.gone[u.ID]; ok && g.Born == u.Born && g.era != l.progress.Era {
			g.Beat, g.era = max(g.Beat, u.Beat), l.progress.Era
			l.gone[u.ID] = g
		}
	}
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
		if !l.unreadable && now.Sub(l.progress.RecoveredAt) >= reregisterTime {
			delete(l.retained, id)
			continue
		}
		m[id] = u
	}
	return m
}
