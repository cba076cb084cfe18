package rates

import "time"

// Changing reports whether the lender was lost so recently that another one can be expected soon.
func (h *Host) Changing(now time.Time) bool {
	since, lost := h.lostSince(now)
	return lost && now.Sub(since) < changeTime
}

// ReadyAt returns when a lender that has just begun grants credit; ok is false if that is unknown or past.
func (h *Host) ReadyAt(now time.Time) (at time.Time, ok bool) {
	return h.readyAt, h.beginning && now.Before(h.readyAt)
}

// lostSince returns since when no lender can grant credit; lost is false if one can.
func (h *Host) lostSince(now time.Time) (since time.Time, lost bool) {
	switch {
	case h.lost || h.beginning:
		return h.lostAt, true
	case h.pending != nil:
		return h.pending.at, now.Sub(h.pending.at) >= slowAnswer
	}
	return time.Time{}, false
}

// refusal returns the decision on a request that has no credit before next. While no lender can grant credit, the caller is told to return when
// one is expected.
func (h *Host) refusal(now, next time.Time, a *account, cost float64) Decision {
	d := Decision{Result: Refused}
	since, lost := h.lostSince(now)
	if !lost {
		d.RetryAfter = min(max(next.Sub(now), minWait), maxWait)
		return d
	}
	d.Reason = NoLender
	lends := later(since.Add(changeTime), now.Add(noLenderWait))
	if at, ok := h.ReadyAt(now); ok {
		lends = at
	}
	d.RetryAfter = max(earlier(a.creditAt(now, cost), lends).Sub(now), minWait)
	return d
}

// Redirected records that the pending call reached a host that is no lender any more, but knows the present one.
func (h *Host) Redirected(seq int64) {
	if h.pending != nil && h.pending.seq == seq {
		h.pending = nil
	}
}
