package member

import (
	"slices"
	"strings"
	"time"
)

// unknownTime stands for the platform's time until the first host list; the list then limits it.
var unknownTime = time.Unix(1<<40, 0).UTC()

const (
	maxRetired = 8
	// An upstream that the host list no longer names is forgotten after this time.
	forgetAfter = time.Hour
)

// upstream is what this daemon knows of one upstream.
type upstream struct {
	incarnation string
	seenAt      time.Time // seenAt is when the incarnation first answered this daemon.
	retired     []string  // retired lists earlier incarnations; evidence about them no longer counts.
	leaving     bool
	evidence    Evidence
	local       bool      // local tells that the evidence was found by this daemon.
	liveAsOf    time.Time // liveAsOf is the time of the newest host list that said live.
	listedAt    time.Time
}

// Leaving reports whether an upstream is known to leave; new work must not go to it.
func (l *List) Leaving(name string) bool {
	u, ok := l.upstreams[name]
	return ok && u.leaving
}

func (l *List) upstream(name string) *upstream {
	u, ok := l.upstreams[name]
	if !ok {
		u = &upstream{}
		l.upstreams[name] = u
	}
	return u
}

// platformTime returns the latest time that the platform's clock can show. Evidence has that time because host lists do: by
// the clocks of daemons, which differ by hours, a list could end evidence that is newer than the list.
func (l *List) platformTime(now time.Time) time.Time {
	if !l.platform.Known() {
		return unknownTime
	}
	return l.platform.Latest(now)
}

// evidence merges what this daemon or a peer found. Evidence about an earlier incarnation, or from before a host list
// that said live, is over.
func (l *List) evidence(now time.Time, e Evidence, local bool) {
	u := l.upstream(e.Upstream)
	// A faulty sender must not make evidence that no host list can outdate.
	latest := l.platformTime(now)
	e.First, e.Last = earlier(e.First, latest), earlier(e.Last, latest)
	if e.Incarnation == "" {
		e.Incarnation = u.incarnation
	}
	if slices.Contains(u.retired, e.Incarnation) || e.Last.Before(u.liveAsOf) {
		return
	}
	u.local = u.local || local
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
		if !l.faults.waitForBeat {
			l.hurry()
		}
		l.emit(LeavingChanged{Upstream: e.Upstream, Leaving: true, First: u.evidence.First})
	}
}

func (l *List) clear(name string, u *upstream) {
	if u.leaving {
		u.leaving, u.evidence, u.local = false, Evidence{}, false
		l.emit(LeavingChanged{Upstream: name})
	}
}

// upstreamSeen notices a newer incarnation. A request that was sent after an incarnation had answered, or had been found
// leaving, is answered by that incarnation or a newer one; an answer to an earlier request may come from an older one.
func (l *List) upstreamSeen(now time.Time, m UpstreamSeen) {
	u := l.upstream(m.Upstream)
	if m.Incarnation == "" || slices.Contains(u.retired, m.Incarnation) {
		return
	}
	if u.incarnation != m.Incarnation {
		if u.incarnation != "" && !m.AskedAt.After(u.seenAt) {
			return
		}
		u.retire(u.incarnation)
		u.incarnation, u.seenAt = m.Incarnation, now
	}
	switch e := u.evidence; {
	case !u.leaving || e.Incarnation == m.Incarnation:
	case e.Incarnation == "":
		u.evidence.Incarnation = m.Incarnation
	case l.platform.Earliest(m.AskedAt).After(e.Last):
		u.retire(e.Incarnation)
		l.clear(m.Upstream, u)
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

// hostList applies a list that is newer than the last one.
func (l *List) hostList(now time.Time, m HostList) {
	l.observe(now, m)
	if !m.AsOf.After(l.listAsOf) {
		return
	}
	l.listAsOf = m.AsOf
	for _, h := range m.Hosts {
		switch {
		case h.Upstream:
			l.listedUpstream(now, m.AsOf, h)
		case h.State == Gone:
			l.listedGone(now, m.AsOf, h.Name)
		}
	}
	for name, u := range l.upstreams {
		if !u.listedAt.IsZero() && m.AsOf.Sub(u.listedAt) > forgetAfter {
			delete(l.upstreams, name)
		}
	}
}

// observe takes the platform's time from an answer, and limits evidence from before the first one.
func (l *List) observe(now time.Time, m HostList) {
	if m.Latest.IsZero() {
		return
	}
	l.platform.Observe(m.AskedAt, now, m.Earliest, m.Latest)
	latest := l.platform.Latest(now)
	for _, u := range l.upstreams {
		u.evidence.First, u.evidence.Last = earlier(u.evidence.First, latest), earlier(u.evidence.Last, latest)
	}
}

func (l *List) listedUpstream(now, asOf time.Time, h ListedHost) {
	u := l.upstream(h.Name)
	u.listedAt = asOf
	if h.State != Live {
		l.evidence(now, Evidence{Upstream: h.Name, First: l.platformTime(now), Last: asOf}, true)
		return
	}
	u.liveAsOf = asOf
	if u.leaving && (asOf.After(u.evidence.Last) || l.faults.trustList) {
		l.clear(h.Name, u)
	}
}

// listedGone takes the list as a proof only for incarnations that neither started nor were heard after it.
func (l *List) listedGone(now, asOf time.Time, host string) {
	for _, p := range l.sorted() {
		last := p.since
		if p.heard.After(last) {
			last = p.heard
		}
		if p.Host == host && l.platform.Known() && asOf.After(l.platform.Latest(last)) {
			l.prove(now, p, proofListed)
		}
	}
}

// gossip returns the evidence for heartbeats in order of upstream.
func (l *List) gossip() []Evidence {
	var all []Evidence
	for _, u := range l.upstreams {
		if u.leaving && (u.local || !l.faults.noRelay) {
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
