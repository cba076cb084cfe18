package pick

import "time"

// limitSign is what was last learned about the limit of a process.
type limitSign struct {
	perSecond float64   // requests that it takes from all hosts together; zero means that it has no limit any more
	at        time.Time // when the response arrived
}

// RecordLimit records that an upstream names a limit, in requests a second, and reports whether that changes its limit.
func (t *Table) RecordLimit(now time.Time, p Process, perSecond float64) bool {
	g := t.gate(p)
	changed := g.perSecond() != perSecond
	g.limit.Store(&limitSign{perSecond, now})
	g.learnedAt = now
	t.signed[p] = g
	return changed
}

// RecordUnlimited records a response without a limit to a request that was sent at the given time, and reports whether that ends a limit. The
// response to an earlier request may have been on its way when the limit was named.
func (t *Table) RecordUnlimited(now time.Time, p Process, sentAt time.Time) bool {
	g := t.gate(p)
	if l := g.limit.Load(); l == nil || l.perSecond == 0 || !sentAt.After(l.at) {
		return false
	}
	g.limit.Store(&limitSign{at: now})
	g.learnedAt = now
	return true
}

// CountLimited returns the number of listed upstreams that have a limit.
func (t *Table) CountLimited() int {
	n := 0
	for p, g := range t.signed {
		if s, ok := t.upstreams[p.Upstream]; ok && s.gate == g && g.perSecond() > 0 {
			n++
		}
	}
	return n
}

// perSecond returns the limit, or zero if there is none.
func (g *gate) perSecond() float64 {
	if l := g.limit.Load(); l != nil {
		return l.perSecond
	}
	return 0
}

// Limited reports whether the upstream is known to have a limit. It may be called from any goroutine.
func (a *Attempt) Limited() bool { return a.gate.perSecond() > 0 }

// StartedAt returns when the attempt was started.
func (a *Attempt) StartedAt() time.Time { return a.startedAt }
