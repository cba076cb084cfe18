package pick

import (
	"math/rand/v2"
	"time"

	"github.com/fireflycleat/fireflycleat/pkg/pace"
)

const (
	// maxLimit is the highest limit that is accepted from another host, in requests a second.
	maxLimit = 1e9
	// minDenial is the shortest time without further requests for credit after one was refused.
	minDenial = 10 * time.Millisecond
)

type (
	// LimitSign reports to another host what was last learned about the limit of an upstream. The age is relative to the moment of sending.
	LimitSign struct {
		Upstream  string
		Born      int64
		PerSecond float64 // requests that it takes from all hosts together; zero means that it has no limit any more
		Response  uint64  // identifies the response that showed it, so that it grows no younger on its way between hosts
		Age       time.Duration
	}

	// limit is what is known about the limit of a process. It is not changed once attempts can read it.
	limit struct {
		perSecond float64
		response  uint64
		at        time.Time // when the response arrived
	}
)

// RecordLimit records a response in which an upstream names a limit, in requests a second, and reports whether that changes its limit.
func (t *Table) RecordLimit(now time.Time, p Process, perSecond float64) bool {
	return t.setLimit(now, p, limit{perSecond, newResponseID(), now})
}

// RecordUnlimited records a response without a limit to a request that was sent at the given time, and reports whether that ends a limit. The
// response to an earlier request may have been on its way when the limit was named.
func (t *Table) RecordUnlimited(now time.Time, p Process, sentAt time.Time) bool {
	l := t.gate(p).limit.Load()
	if l == nil || l.perSecond == 0 || !sentAt.After(l.at) {
		return false
	}
	return t.setLimit(now, p, limit{0, newResponseID(), now})
}

func newResponseID() uint64 { return rand.Uint64() } //nolint:gosec // an id need not be unpredictable

// setLimit applies what a response showed, and reports whether the limit has changed.
func (t *Table) setLimit(now time.Time, p Process, l limit) bool {
	g := t.gate(p)
	old := g.limit.Load()
	changed := l.perSecond != g.perSecond()
	if changed && l.perSecond > 0 {
		if g.bucket == nil || old.perSecond == 0 {
			g.bucket, g.deniedUntil = pace.NewBucket(now, l.perSecond), time.Time{}
		}
		g.bucket.SetLimit(now, l.perSecond)
	}
	g.limit.Store(&l)
	g.learnedAt = now
	t.signed[p] = g
	return changed
}

// TakeCredit takes the credit of one request from the bucket of this host, which must be the owner of the limit, and returns zero, or else the
// time after which the requesting host may ask again.
func (t *Table) TakeCredit(now time.Time, p Process) time.Duration {
	if g := t.gate(p); g.perSecond() > 0 {
		return g.bucket.Take(now)
	}
	return 0
}

// DenyCredit records that there is no credit for requests of this host to the upstream for the given time.
func (t *Table) DenyCredit(now time.Time, p Process, wait time.Duration) {
	t.gate(p).deniedUntil = now.Add(max(wait, minDenial))
}

// ExportLimit returns what is known about the limit of the process, as a list with at most one element.
func (t *Table) ExportLimit(now time.Time, p Process) []LimitSign {
	if l := t.gate(p).limit.Load(); l != nil {
		return []LimitSign{{p.Upstream, p.Born, l.perSecond, l.response, now.Sub(l.at)}}
	}
	return nil
}

// ExportLimits returns the limits to send to another host: all of them, or only those of which this host learned lately.
func (t *Table) ExportLimits(now time.Time, all bool) []LimitSign {
	var list []LimitSign
	for p, g := range t.signed {
		if all || now.Sub(g.learnedAt) < recentSignTime {
			list = append(list, t.ExportLimit(now, p)...)
		}
	}
	return list
}

// MergeLimits adds what another host learned about limits and returns the number of limits that it changes. The newest response counts.
func (t *Table) MergeLimits(now time.Time, list []LimitSign) int {
	changed := 0
	for _, s := range list {
		p := Process{s.Upstream, s.Born}
		old, at := t.gate(p).limit.Load(), now.Add(-s.Age)
		switch {
		case s.Age < 0 || s.Age >= signRetention || !(s.PerSecond >= 0 && s.PerSecond <= maxLimit):
		case old == nil && len(t.signed) >= maxLearnedSigns:
		case old != nil && (s.Response == old.response || !at.After(old.at)):
		case t.setLimit(now, p, limit{s.PerSecond, s.Response, at}):
			changed++
		}
	}
	return changed
}

// Limits returns the limits of the listed upstreams, in requests a second.
func (t *Table) Limits() map[string]float64 {
	limits := make(map[string]float64)
	for p, g := range t.signed {
		if s, ok := t.upstreams[p.Upstream]; ok && s.gate == g && g.perSecond() > 0 {
			limits[p.Upstream] = g.perSecond()
		}
	}
	return limits
}

// perSecond returns the limit, or zero if there is none.
func (g *gate) perSecond() float64 {
	if l := g.limit.Load(); l != nil {
		return l.perSecond
	}
	return 0
}

// denied returns for how long there is no credit for requests of this host.
func (g *gate) denied(now time.Time) time.Duration {
	if g.perSecond() == 0 {
		return 0
	}
	return max(g.deniedUntil.Sub(now), 0)
}

// Limited reports whether the upstream is known to have a limit. It may be called from any goroutine.
func (a *Attempt) Limited() bool { return a.gate.perSecond() > 0 }

// SetCredit records that the attempt has the credit that it needs if its upstream has a limit. It must be called before the attempt is sent.
func (a *Attempt) SetCredit() { a.hasCredit = true }

// StartedAt returns when the attempt was started.
func (a *Attempt) StartedAt() time.Time { return a.startedAt }
