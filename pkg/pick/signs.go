package pick

import (
	"maps"
	"slices"
	"sync/atomic"
	"time"

	"github.com/fireflycleat/fireflycleat/pkg/fleet"
	"github.com/fireflycleat/fireflycleat/pkg/pace"
)

const (
	// signRetention is how long a sign is kept after its upstream was last listed, because an older list may bring the upstream back.
	signRetention = 10 * time.Minute
	// recentSignTime is how long a sign is sent again after this host learned it.
	recentSignTime = 10 * time.Second
	// maxLearnedSigns limits the signs that a host keeps before it ignores those of other hosts.
	maxLearnedSigns = 4096
)

type (
	// Process identifies one start of an upstream.
	Process struct {
		Upstream string
		Born     int64 // as in Choice
	}

	// LeavingSign reports to another host that an upstream said in an answer that it leaves. The age is relative to the moment of sending,
	// because the clocks of hosts differ.
	LeavingSign struct {
		Upstream string
		Born     int64
		Age      time.Duration
	}

	// gate is what a process of an upstream said about itself. Attempts read it when they are sent, from any goroutine.
	gate struct {
		leaving     atomic.Bool
		pausedUntil atomic.Pointer[time.Time] // nil means that the upstream never paused
		limit       atomic.Pointer[limit]     // nil means that the upstream never named a limit
		bucket      *pace.Bucket              // credit of all hosts, used if this one owns it; nil means that there has been no limit
		deniedUntil time.Time                 // until when there is no credit for this host
		leavingAt   time.Time                 // when the upstream said that it leaves
		learnedAt   time.Time                 // when this host learned of the last sign
		listedAt    time.Time                 // when the upstream was last listed with a sign
	}
)

// RecordLeaving records that an upstream said in an answer that it leaves, and reports whether that is new. The published list can't undo
// it.
func (t *Table) RecordLeaving(now time.Time, p Process) bool { return t.recordLeaving(now, now, p) }

func (t *Table) recordLeaving(now, at time.Time, p Process) bool {
	g := t.gate(p)
	if g.leaving.Load() {
		return false
	}
	g.leavingAt, g.learnedAt = at, now
	g.leaving.Store(true)
	t.signed[p] = g
	return true
}

// RecordPause records that an upstream wants no requests of this host for the given time. An earlier pause that ends later stays in force.
func (t *Table) RecordPause(now time.Time, p Process, d time.Duration) {
	g, until := t.gate(p), now.Add(d)
	if old := g.pausedUntil.Load(); old != nil && old.After(until) {
		return
	}
	g.learnedAt = now
	g.pausedUntil.Store(&until)
	t.signed[p] = g
}

// gate returns the signs of the process, which are empty for one that is unknown.
func (t *Table) gate(p Process) *gate {
	if s, ok := t.upstreams[p.Upstream]; ok && s.entry.Born == p.Born {
		return s.gate
	}
	if g, ok := t.signed[p]; ok {
		return g
	}
	return new(gate)
}

// MarkLeaving sets Leaving in the entries of upstreams that said in an answer that they leave, and reports whether any entry has changed.
func (t *Table) MarkLeaving(list map[string]fleet.Upstream) bool {
	changed := false
	for p, g := range t.signed {
		if u, ok := list[p.Upstream]; ok && u.Born == p.Born && g.leaving.Load() && !u.Leaving {
			u.Leaving, changed = true, true
			list[p.Upstream] = u
		}
	}
	return changed
}

// Pause returns the shortest time until an upstream accepts the request, and its ID, if all that could serve it want no requests for now;
// otherwise the time is zero. limited is set if that upstream does not pause, but has a limit without credit.
func (t *Table) Pause(now time.Time, q Query) (shortest time.Duration, first string, limited bool) {
	for id, s := range t.upstreams {
		if !s.serves(now, q) {
			continue
		}
		d := s.gate.wait(now)
		if d == 0 {
			return 0, "", false
		}
		if first == "" || d < shortest || d == shortest && id < first {
			shortest, first, limited = d, id, s.gate.pause(now) == 0
		}
	}
	return shortest, first, limited
}

// Closed returns the IDs of the upstreams of the service that must get no requests because of what they said in answers, in order.
func (t *Table) Closed(now time.Time, service string) []string {
	var list []string
	for p, g := range t.signed {
		if s, ok := t.upstreams[p.Upstream]; ok && s.gate == g && s.entry.Service == service && !g.open(now) {
			list = append(list, p.Upstream)
		}
	}
	slices.Sort(list)
	return list
}

// ExportLeaving returns the signs to send to another host: all of them, or only those learned lately.
func (t *Table) ExportLeaving(now time.Time, all bool) []LeavingSign {
	var list []LeavingSign
	for p, g := range t.signed {
		if g.leaving.Load() && (all || now.Sub(g.learnedAt) < recentSignTime) {
			list = append(list, LeavingSign{p.Upstream, p.Born, now.Sub(g.leavingAt)})
		}
	}
	return list
}

// MergeLeaving adds the signs of another host and returns the number of new ones.
func (t *Table) MergeLeaving(now time.Time, list []LeavingSign) int {
	added := 0
	for _, s := range list {
		if s.Age >= 0 && s.Age < signRetention && len(t.signed) < maxLearnedSigns && t.recordLeaving(now, now.Add(-s.Age), Process{s.Upstream, s.Born}) {
			added++
		}
	}
	return added
}

// expireSigns drops the signs of processes that have not been listed for a while, and pauses that have ended.
func (t *Table) expireSigns(now time.Time) {
	maps.DeleteFunc(t.signed, func(p Process, g *gate) bool {
		if s, ok := t.upstreams[p.Upstream]; ok && s.gate == g {
			g.listedAt = now
		}
		if !g.leaving.Load() && g.limit.Load() == nil {
			return g.open(now)
		}
		return now.Sub(g.listedAt) > signRetention && now.Sub(g.learnedAt) > signRetention
	})
}

// open reports whether requests may be sent to the upstream.
func (g *gate) open(now time.Time) bool { return !g.leaving.Load() && g.wait(now) == 0 }

// wait returns the time until the upstream may accept a request of this host.
func (g *gate) wait(now time.Time) time.Duration { return max(g.pause(now), g.denied(now)) }

// pause returns for how long the upstream wants no requests.
func (g *gate) pause(now time.Time) time.Duration {
	until := g.pausedUntil.Load()
	if until == nil {
		return 0
	}
	return max(until.Sub(now), 0)
}

// Permitted reports whether the request may be sent now: the upstream may have said since it was chosen that it leaves, wants no
// requests, or has a limit. It may be called from any goroutine.
func (a *Attempt) Permitted(now time.Time) bool {
	return !a.gate.leaving.Load() && a.gate.pause(now) == 0 && (a.hasCredit || !a.Limited())
}

// SaidLeaving reports whether the upstream is known to have said in an answer that it leaves. It may be called from any goroutine.
func (a *Attempt) SaidLeaving() bool { return a.gate.leaving.Load() }
