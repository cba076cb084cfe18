package member

import (
	"slices"
	"strings"
	"time"
)

// unknownTime stands in for the platform's time until the first host list arrives. It lies in the far future, so that
// observePlatformTime then replaces it with the platform's time.
var unknownTime = time.Unix(1<<40, 0).UTC()

const (
	maxRetired = 8
	// upstreamRetention is how long an upstream is kept after the host list no longer names it.
	upstreamRetention = time.Hour
)

// upstream is the state of one upstream as this daemon sees it.
type upstream struct {
	incarnation  string
	answeredAt   time.Time // when the incarnation first answered this daemon
	retired      []string  // earlier incarnations; evidence about them is ignored
	leaving      bool
	evidence     Evidence
	foundLocally bool      // whether this daemon found evidence itself
	liveAsOf     time.Time // time of the newest host list that lists the upstream as live
	listedAt     time.Time // time of the newest host list that names the upstream
}

// Leaving reports whether an upstream is known to be leaving. It must get no new work.
func (l *List) Leaving(name string) bool {
	u, ok := l.upstreams[name]
	return ok && u.leaving
}

// ensureUpstream returns the upstream with the name, and adds it if it is unknown.
func (l *List) ensureUpstream(name string) *upstream {
	u, ok := l.upstreams[name]
	if !ok {
		u = &upstream{}
		l.upstreams[name] = u
	}
	return u
}

// platformTime returns the latest time that the platform's clock can show. Evidence carries times by that clock because
// host lists do. With the clocks of daemons, which may differ by hours, a list could end evidence that is newer than the list.
func (l *List) platformTime(now time.Time) time.Time {
	if !l.platformClock.Known() {
		return unknownTime
	}
	return l.platformClock.Latest(now)
}

// addEvidence merges evidence that this daemon or a peer found. Evidence about an earlier incarnation is ignored, and so is
// evidence from before a host list that lists the upstream as live.
func (l *List) addEvidence(now time.Time, e Evidence, local bool) {
	u := l.ensureUpstream(e.Upstream)
	// A faulty sender must not create evidence from the future, which no host list would end.
	latest := l.platformTime(now)
	e.First, e.Last = earlier(e.First, latest), earlier(e.Last, latest)
	if e.Incarnation == "" {
		e.Incarnation = u.incarnation
	}
	if slices.Contains(u.retired, e.Incarnation) || e.Last.Before(u.liveAsOf) {
		return
	}
	u.foundLocally = u.foundLocally || local
	old := u.evidence
	switch {
	case !u.leaving:
		u.evidence = e
	case old.Incarnation == e.Incarnation || old.Incarnation == "" || e.Incarnation == "":
		u.evidence.First = earlier(old.First, e.First)
		if e.Last.After(old.Last) {
			u.evidence.Last = e.Last
		}
		if old.Incarnation == "" {
			u.evidence.Incarnation = e.Incarnation
		}
	case e.Last.After(old.Last):
		u.evidence = e
	}
	if !u.leaving {
		u.leaving = true
		if !l.disabled.urgentHeartbeat {
			l.sendUrgently()
		}
		l.emit(LeavingChanged{Upstream: e.Upstream, Leaving: true, First: u.evidence.First})
	}
}

func (l *List) clearLeaving(name string, u *upstream) {
	if u.leaving {
		u.leaving, u.evidence, u.foundLocally = false, Evidence{}, false
		l.emit(LeavingChanged{Upstream: name})
	}
}

// upstreamSeen detects a newer incarnation. A request that was sent after an incarnation answered, or was found to be
// leaving, is answered by that incarnation or a newer one. An answer to an earlier request may come from an older one.
func (l *List) upstreamSeen(now time.Time, m UpstreamSeen) {
	u := l.ensureUpstream(m.Upstream)
	if m.Incarnation == "" || slices.Contains(u.retired, m.Incarnation) {
		return
	}
	if u.incarnation != m.Incarnation {
		if u.incarnation != "" && !m.AskedAt.After(u.answeredAt) {
			return
		}
		u.retire(u.incarnation)
		u.incarnation, u.answeredAt = m.Incarnation, now
	}
	switch e := u.evidence; {
	case !u.leaving || e.Incarnation == m.Incarnation:
	case e.Incarnation == "":
		u.evidence.Incarnation = m.Incarnation
	case l.platformClock.Earliest(m.AskedAt).After(e.Last):
		u.retire(e.Incarnation)
		l.clearLeaving(m.Upstream, u)
	}
}

func (u *upstream) retire(incarnation string) {
	if incarnation == "" || slices.Contains(u.retired, incarnation) {
		return
	}
	u.retired = append(u.retired, incarnation)
	if len(u.retired) > maxRetired {
		u.retired = u.retired[1:]
	}
}

// applyHostList applies a host list, unless it is no newer than the last one.
func (l *List) applyHostList(now time.Time, m HostList) {
	l.observePlatformTime(now, m)
	if !m.AsOf.After(l.listAsOf) {
		return
	}
	l.listAsOf = m.AsOf
	for _, h := range m.Hosts {
		switch {
		case h.Upstream:
			l.applyListedUpstream(now, m.AsOf, h)
		case h.State == Gone:
			l.applyListedGone(now, m.AsOf, h.Name)
		}
	}
	for name, u := range l.upstreams {
		if !u.listedAt.IsZero() && m.AsOf.Sub(u.listedAt) > upstreamRetention {
			delete(l.upstreams, name)
		}
	}
}

// observePlatformTime updates the estimate of the platform's clock, and limits the times of evidence that was added before
// the first host list.
func (l *List) observePlatformTime(now time.Time, m HostList) {
	if m.Latest.IsZero() {
		return
	}
	l.platformClock.Observe(m.AskedAt, now, m.Earliest, m.Latest)
	latest := l.platformClock.Latest(now)
	for _, u := range l.upstreams {
		u.evidence.First, u.evidence.Last = earlier(u.evidence.First, latest), earlier(u.evidence.Last, latest)
	}
}

func (l *List) applyListedUpstream(now, asOf time.Time, h ListedHost) {
	u := l.ensureUpstream(h.Name)
	u.listedAt = asOf
	if h.State != Live {
		l.addEvidence(now, Evidence{Upstream: h.Name, First: l.platformTime(now), Last: asOf}, true)
		return
	}
	u.liveAsOf = asOf
	if u.leaving && (asOf.After(u.evidence.Last) || l.disabled.staleListCheck) {
		l.clearLeaving(h.Name, u)
	}
}

// applyListedGone marks the daemon at a host as gone. The list proves nothing about an incarnation that became known or was
// last seen after the time of the list.
func (l *List) applyListedGone(now, asOf time.Time, host string) {
	for _, p := range l.sorted() {
		last := p.knownSince
		if p.lastSeen.After(last) {
			last = p.lastSeen
		}
		if p.Host == host && l.platformClock.Known() && asOf.After(l.platformClock.Latest(last)) {
			l.markGone(now, p, proofListed)
		}
	}
}

// leavingEvidence returns the evidence to send in heartbeats, sorted by upstream.
func (l *List) leavingEvidence() []Evidence {
	var all []Evidence
	for _, u := range l.upstreams {
		if u.leaving && (u.foundLocally || !l.disabled.relay) {
			all = append(all, u.evidence)
		}
	}
	slices.SortFunc(all, func(a, b Evidence) int { return strings.Compare(a.Upstream, b.Upstream) })
	return all[:min(len(all), maxLeaving)]
}

func earlier(a, b time.Time) time.Time {
	if b.Before(a) {
		return b
	}
	return a
}
