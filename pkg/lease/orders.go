package lease

import "time"

// orders records when orders of this host reach their receivers.
type orders struct {
	inFlight int       // orders that were sent and neither answered nor given up
	latest   time.Time // latest time at which any other order may arrive, or may have arrived
}

// BeginOrder records that an order is sent. The driver calls it before the first byte.
func (l *Lease) BeginOrder() { l.orders.inFlight++ }

// EndOrder records that an order of BeginOrder was answered, or that it was given up and may still arrive.
func (l *Lease) EndOrder(now time.Time, answered bool) {
	l.orders.inFlight--
	if !answered {
		now = now.Add(l.settings.OrderLifetime)
	}
	l.recordArrival(now)
}

// Started records that this process started at the given time. Earlier processes of this host may have given orders until then.
func (l *Lease) Started(at time.Time) { l.recordArrival(at.Add(l.settings.OrderLifetime)) }

func (l *Lease) recordArrival(at time.Time) {
	if at.After(l.orders.latest) {
		l.orders.latest = at
	}
}

// lastArrival returns the latest time at which an order of this host may arrive, or may have arrived.
func (l *Lease) lastArrival(now time.Time) time.Time {
	if l.orders.inFlight > 0 {
		return now.Add(l.settings.OrderLifetime)
	}
	return l.orders.latest
}

// earliestTerm returns the time from which the earlier orders of this host allow it to begin a term. Receivers that ignore fences would carry
// out an order of an earlier term that arrives after one of the new term, and must not get orders of two hosts in turn within TurnTime.
func (l *Lease) earliestTerm(now time.Time) time.Time {
	r, last := l.newest.Record, l.lastArrival(now)
	switch {
	case l.settings.Fenced, r.Holder == "" && l.newest.Era == 0: // No host has given orders before the first record.
		return time.Time{}
	case l.reclaim, r.Holder == l.self.Holder && l.newest.inForce():
		return last // No other host has held the lease since the last term of this one.
	}
	return last.Add(l.settings.TurnTime)
}

// Waiting returns how long this host waits to take over a free lease only because of its earlier orders; zero if it does not.
func (l *Lease) Waiting(now time.Time) time.Duration {
	if !l.known || l.isHolder() || l.releasing || now.Sub(l.knownSince) < l.takeOverDelay() {
		return 0
	}
	return max(l.earliestTerm(now).Sub(now), 0)
}
