package route

import (
	"cmp"
	"slices"
	"time"
)

const (
	noticeTTL            = 20 * time.Second       // Longer than the longest eject time, so that peers know of an ejection until the next probe.
	maxNotices           = 8                      // A notice takes 52 bytes, so a daemon with 8 peers sends at most 3.3 kB/s of notices.
	duplicateFindingSpan = 500 * time.Millisecond // Ages are relative, so a notice that arrives again can appear newer by its transit time.
	maxRatio             = 100                    // Upper bound of the ratios that are accepted from peers.
	// Hosts that learned of a slow upstream from a peer probe it with a random delay up to this, so that usually only one host
	// does.
	probeSpread = 2 * time.Second
)

// Notice informs peers of what this host measured of the speed of an upstream. Times are relative, because the clocks of hosts
// differ.
type Notice struct {
	Upstream string
	Slow     bool
	Age      time.Duration // Age is the time since the measurement.
	Left     time.Duration // Left is the time until an ejected upstream may be probed.
	Strikes  int           // Strikes is the number of consecutive probes that found the upstream slow.
	Token    float64       // Token is the time between tokens relative to the configured one; zero means unknown.
	First    float64       // First is the time to the first token relative to the model's mean; zero means unknown.
}

// recordFinding marks a change of the upstream's state for sending to the peers, unless notify is false.
func (t *Table) recordFinding(now time.Time, u *upstream, notify bool) {
	if !notify {
		return
	}
	u.findingAt, u.foundLocally, u.reportedSlow = now, true, u.ejected
	t.updatePending = true
}

// TakeUpdate reports whether a finding that should be sent to the peers at once was recorded since the last call.
func (t *Table) TakeUpdate() bool {
	pending := t.updatePending
	t.updatePending = false
	return pending
}

// Notices returns the recent findings of this host as notices, the latest first.
func (t *Table) Notices(now time.Time) []Notice {
	var list []Notice
	for _, u := range t.upstreams {
		if !u.foundLocally || now.Sub(u.findingAt) > noticeTTL {
			continue
		}
		list = append(list, Notice{
			Upstream: u.name, Slow: u.ejected, Age: now.Sub(u.findingAt), Left: max(u.probeAt.Sub(now), 0), Strikes: u.slowProbes,
			Token: u.tokenRatio.value, First: u.firstRatio.value,
		})
	}
	slices.SortFunc(list, func(a, b Notice) int {
		return cmp.Or(cmp.Compare(a.Age, b.Age), cmp.Compare(a.Upstream, b.Upstream))
	})
	return list[:min(len(list), maxNotices)]
}

// ApplyNotice applies a peer's finding and reports whether it did. It ignores findings that are outdated or already known.
func (t *Table) ApplyNotice(now time.Time, x Notice) bool {
	u := t.upstreams[x.Upstream]
	at := now.Add(-max(x.Age, 0))
	if u == nil || !at.After(u.findingAt) || x.Age > noticeTTL {
		return false
	}
	if x.Slow == u.reportedSlow && at.Sub(u.findingAt) < duplicateFindingSpan {
		return false
	}
	u.findingAt, u.foundLocally, u.reportedSlow, u.sampledAt = at, false, x.Slow, now
	// This host's own samples are older than the finding and would revert it with the next sample.
	u.tokenRatio.replace(x.Token)
	u.firstRatio.replace(x.First)
	u.slowProbes = min(max(x.Strikes, 0), maxSlowProbes)
	if !x.Slow {
		t.readmit(u)
		return true
	}
	t.eject(u)
	u.probeAt = now.Add(min(max(x.Left, 0), t.settings.EjectTime<<maxSlowProbes) + time.Duration(t.random.Int64N(int64(probeSpread))))
	return true
}

// replace sets the average to that of a peer; zero means that the peer has none.
func (m *ewma) replace(v float64) {
	if v > 0 {
		m.value, m.count = min(v, maxRatio), max(m.count, minSamples)
	}
}
