package fleet

import (
	"maps"
	"time"
)

const (
	// lapseTime is how long after an outage of the platform's list an entry that lapsed meanwhile may still come back.
	lapseTime = 2200 * time.Millisecond
	// servedShare is the share of the usual number of entries above which the list was served to upstreams while this host
	// could not read it.
	servedShare = 0.5
	// paceDecay is the weight of the past in the number of entries written a second.
	paceDecay = 0.8
)

type (
	// List is the published list of upstreams as one host has read it. An entry that disappears around an outage of the
	// list is kept until the upstream has had time to register again.
	List struct {
		live   map[string]Upstream
		lapsed map[string]Upstream
		down   bool
		back   time.Time // back is when the list could be read again after the last outage.

		position int64     // position is the number of entries ever written, as of the last reading.
		readAt   time.Time // readAt is when the list was read last; zero means never.
		pace     float64   // pace is the number of entries written a second; zero means unknown.
	}
)

// NewList returns an empty list.
func NewList() *List {
	return &List{live: make(map[string]Upstream), lapsed: make(map[string]Upstream)}
}

// Down takes over that the list cannot be read.
func (l *List) Down() { l.down = true }

// Up takes over that the list was read up to the position, which is the number of entries ever written. Upstreams that went on
// writing while this host could not read had no outage, so that entries which are missing now have not lapsed for one.
func (l *List) Up(now time.Time, position int64) {
	elapsed := now.Sub(l.readAt).Seconds()
	written := float64(position - l.position)
	switch known := !l.readAt.IsZero() && elapsed > 0; {
	case l.down && (!known || l.pace == 0 || written < servedShare*l.pace*elapsed):
		l.back = now
	case !l.down && known && l.pace == 0:
		l.pace = written / elapsed
	case !l.down && known:
		l.pace = paceDecay*l.pace + (1-paceDecay)*written/elapsed
	}
	l.down, l.position, l.readAt = false, position, now
}

// Adopt takes over the list that another host has read a moment ago. This host was not blind then, so that an entry which is missing
// in its own next reading has not lapsed for an outage.
func (l *List) Adopt(all map[string]Upstream) {
	l.live = maps.Clone(all)
	clear(l.lapsed)
	l.down, l.back, l.readAt = false, time.Time{}, time.Time{}
}

// Put takes over an entry, and reports whether it changed anything but its count of messages.
func (l *List) Put(u Upstream) bool {
	old, ok := l.live[u.ID]
	if ok && !u.Newer(old) {
		return false
	}
	delete(l.lapsed, u.ID)
	l.live[u.ID] = u
	return true
}

// Remove takes over that an entry has disappeared.
func (l *List) Remove(now time.Time, id string) {
	u, ok := l.live[id]
	if !ok {
		return
	}
	delete(l.live, id)
	if !u.Leaving && (l.down || !l.back.IsZero() && now.Sub(l.back) < lapseTime) {
		l.lapsed[id] = u
	}
}

// Reset takes over a complete list.
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

// Current returns all entries that count now.
func (l *List) Current(now time.Time) map[string]Upstream {
	m := maps.Clone(l.live)
	for id, u := range l.lapsed {
		if !l.down && now.Sub(l.back) >= lapseTime {
			delete(l.lapsed, id)
			continue
		}
		m[id] = u
	}
	return m
}
