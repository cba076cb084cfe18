package route

import (
	"cmp"
	"slices"
	"time"
)

const (
	noticeTTL            = 20 * time.Second       // longer than the longest eject time, so that peers know of an ejection until the next probe
	maxNotices           = 8                      // A notice takes 52 bytes, so a host with 8 peers sends at most 3.3 kB/s of notices.
	duplicateFindingSpan = 500 * time.Millisecond // Ages are relative, so a notice that arrives again can appear newer by its transit time.
	maxRatio             = 100                    // upper bound of the ratios that are accepted from peers
	// probeSpread is the maximum random delay after which a host probes an upstream that a peer found slow, so that usually only
	// one host does.
	probeSpread = 2 * time.Second
)

// Notice reports to peers what this host measured about the speed of an upstream. Times are relative, because the clocks of hosts
// differ.
type Notice struct {
	Upstream string
	Slow     bool
	Age      time.Duration // time since the measurement
	Left     time.Duration // time until an ejected upstream may be probed
	Strikes  int           // consecutive probes that found the upstream slow
	Token    float64       // time between tokens relative to the configured one; zero means unknown
	First    float64       // time to the first token relative to the model's mean; zero means unknown
}

// recordFinding records a change of the upstream's state that is to be sent to the peers. It does nothing if notify is false.
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
func (t *Table) ApplyNotice(now time.Time, notice Notice) bool {
	u := t.upstreams[notice.Upstream]
	at := now.Add(-max(notice.Age, 0))
	if u == nil || !at.After(u.findingAt) || notice.Age > noticeTTL {
		return false
	}
	if notice.Slow == u.reportedSlow && at.Sub(u.findingAt) < duplicateFindingSpan {
		return false
	}
	u.findingAt, u.foundLocally, u.reportedSlow, u.sampledAt = at, false, notice.Slow, now
	// This host's own samples are older than the finding and would revert it with the next sample.
	u.tokenRatio.replace(notice.Token)
	u.firstRatio.replace(notice.First)
	u.slowProbes = min(max(notice.Strikes, 0), maxSlowProbes)
	if !notice.Slow {
		t.readmit(u)
		return true
	}
	t.eject(u)
	u.probeAt = now.Add(min(max(notice.Left, 0), t.settings.EjectTime<<maxSlowProbes) + time.Duration(t.random.Int64N(int64(probeSpread))))
	return true
}

// replace sets the average to that of a peer; zero means that the peer has none.
func (m *ewma) replace(v float64) {
	if v > 0 {
		m.value, m.count = min(v, maxRatio), max(m.count, minSamples)
	}
}
