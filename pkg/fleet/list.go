package fleet

import (
	"maps"
	"time"
)

// lapseTime is how long after an outage of the platform's list an entry that lapsed meanwhile may still come back.
const lapseTime = 2200 * time.Millisecond

type (
	// List is the published list of upstreams as one host has read it. An entry that disappears around an outage of the
	// list is kept until the upstream has had time to register again.
	List struct {
		live   map[string]Upstream
		lapsed map[string]Upstream
		down   bool
		back   time.Time // back is when the list could be read again after the last outage.
	}
)

// NewList returns an empty list.
func NewList() *List {
	return &List{live: make(map[string]Upstream), lapsed: make(map[string]Upstream)}
}

// Down takes over that the list cannot be read.
func (l *List) Down() { l.down = true }

// Up takes over that the list can be read, and reports whether it could not before.
func (l *List) Up(now time.Time) bool {
	was := l.down
	if was {
		l.down, l.back = false, now
	}
	return was
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
