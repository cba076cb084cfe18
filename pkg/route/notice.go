package route

import (
	"cmp"
	"slices"
	"time"
)

const (
	noticeLife  = 20 * time.Second       // Longer than the longest eject time, so that peers know of it until the next probe.
	maxNotices  = 8                      // A notice takes 52 B, so a daemon with 8 peers sends at most 3.3 KB a second of them.
	sameFinding = 500 * time.Millisecond // A repeated notice seems younger than it is by the time that it was under way.
	maxFactor   = 100                    // A larger factor on the times of an upstream is taken for this one.
	// Hosts that learned of a slowed upstream from another one probe it later, so that usually one of them does.
	probeSpread = 2 * time.Second
)

// Notice tells the other hosts what this one has found out about the speed of an upstream. Times are relative, because the
// clocks of hosts differ.
type Notice struct {
	Upstream string
	Slow     bool
	Age      time.Duration // Age is the time since the finding.
	Left     time.Duration // Left is the time until a slowed upstream may be probed.
	Strikes  int           // Strikes is the number of probes in a row that found the upstream slow.
	Token    float64       // Token is the time between tokens as a ratio to the configured one; zero means unknown.
	First    float64       // First is the time to the first token as a ratio to the mean of the model; zero means unknown.
}

// found notes a finding of this host for the others.
func (t *Table) found(now time.Time, u *upstream, tell bool) {
	if !tell {
		return
	}
	u.found, u.own, u.told = now, true, u.ejected
	t.news = true
}

// News reports whether this host has found out something since the last call that the other hosts should know at once.
func (t *Table) News() bool {
	news := t.news
	t.news = false
	return news
}

// Notices returns the recent findings of this host, the latest first.
func (t *Table) Notices(now time.Time) []Notice {
	var list []Notice
	for _, u := range t.upstreams {
		if !u.own || now.Sub(u.found) > noticeLife {
			continue
		}
		list = append(list, Notice{
			Upstream: u.name, Slow: u.ejected, Age: now.Sub(u.found), Left: max(u.until.Sub(now), 0), Strikes: u.strikes,
			Token: u.token.value, First: u.first.value,
		})
	}
	slices.SortFunc(list, func(a, b Notice) int {
		return cmp.Or(cmp.Compare(a.Age, b.Age), cmp.Compare(a.Upstream, b.Upstream))
	})
	return list[:min(len(list), maxNotices)]
}

// Notice takes over a finding of another host and reports whether it did: a later one or the same may be known already.
func (t *Table) Notice(now time.Time, x Notice) bool {
	u := t.upstreams[x.Upstream]
	at := now.Add(-max(x.Age, 0))
	if u == nil || !at.After(u.found) || x.Age > noticeLife {
		return false
	}
	if x.Slow == u.told && at.Sub(u.found) < sameFinding {
		return false
	}
	u.found, u.own, u.told, u.sampled = at, false, x.Slow, now
	// What this host measured before the finding is older, and would undo it with the next sample.
	u.token.replace(x.Token)
	u.first.replace(x.First)
	u.strikes = min(max(x.Strikes, 0), maxStrikes)
	if !x.Slow {
		t.restore(u)
		return true
	}
	t.eject(u)
	u.until = now.Add(min(max(x.Left, 0), t.settings.EjectTime<<maxStrikes) + time.Duration(t.random.Int64N(int64(probeSpread))))
	return true
}

// replace takes over the mean of another host; zero means that it has none.
func (m *meter) replace(v float64) {
	if v > 0 {
		m.value, m.count = min(v, maxFactor), max(m.count, minSamples)
	}
}
