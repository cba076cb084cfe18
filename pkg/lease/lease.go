package lease

import "time"

// Kinds of actions.
const (
	// Nothing means that no call is due.
	Nothing Kind = iota
	// Read requests the newest record.
	Read
	// Append requests an append on the condition that the log ends at the given offset.
	Append
)

type (
	// Kind is the kind of call that an Action requests.
	Kind int

	// Record is a record of the log; the newest one names the holder.
	Record struct {
		Holder      string `json:"holder"`      // host name
		Incarnation string `json:"incarnation"` // distinguishes processes of one host
		Fence       int64  `json:"fence"`       // zero in the first record of a term that an earlier version wrote
		Released    bool   `json:"released"`
	}

	// Newest is the newest record of the log; it is zero if the log has no record.
	Newest struct {
		Record Record
		Era    int64 // of the log; it rises when the log comes back from a copy and gives offsets out again
		Offset int64
		End    int64 // offset at which the log ends
	}

	// Action is a call that the driver must make; the driver reports its result to the Lease.
	Action struct {
		Kind        Kind
		Era         int64 // of the log that an Append expects; an append in another era must be reported as failed
		ExpectedEnd int64 // end of the log that an Append expects
		Record      Record
	}

	// Settings are the times of a lease.
	Settings struct {
		RenewInterval time.Duration // time between two renewals
		HoldTime      time.Duration // how long after sending a renewal the holder may use the lease
		TakeOverTime  time.Duration // how long without a new record before another host takes over
		// OverdueTime is how long without a new record before the first candidates for a take-over read the log: the holder may
		// have failed after a renewal that it reported to no other host.
		OverdueTime time.Duration
		Stagger     time.Duration // added to the take-over time for each rank, so that hosts do not try at the same time
		RetryDelay  time.Duration // delay after a failed call
		// OrderTime is how long after sending a renewal the holder may give orders: an order that is delayed must arrive before another host
		// takes over. It is not used if orders are fenced.
		OrderTime time.Duration
		// Fenced is set when receivers of orders reject fences older than the newest they have seen. A holder that cannot reach
		// the log then keeps the lease until it receives a record of another holder, because no host can take over during an
		// outage of the log.
		Fenced bool
		// OrderLifetime is how long an order that was given up without an answer may still reach its receiver, and TurnTime the shortest
		// time between two orders of this host if another host may have given one in between. Neither is used if orders are fenced.
		OrderLifetime time.Duration
		TurnTime      time.Duration
		// Joins is set when the host joins a system that has been running: a log without a record has lost them if it ever came back
		// from a copy.
		Joins bool
	}

	// Lease is one host's view of the lease.
	Lease struct {
		settings    Settings
		self        Record
		rank        int
		known       bool
		mustRead    bool // whether the log must be read before the next append
		readAgain   bool // whether it must be read after the pending call
		overdueRead bool // whether the log was read since a new record became overdue
		newest      Newest
		knownSince  time.Time // when the newest record was first known to exist
		lastCall    time.Time // when the last call was sent
		callPending bool
		notBefore   time.Time
		heldUntil   time.Time
		releasing   bool  // whether this host stops: it gives no more orders, and releases the lease
		reclaim     bool  // whether this host held the lease when the log came back from a copy
		lostRecords bool  // whether the log came back from a copy and has no record of a term that began since
		refused     int64 // highest own fence that a receiver of orders refused
		orders      orders
	}
)

// eraBits is the number of bits of a fence below the era of its term. Other programs read fences as floating-point numbers, which are
// exact up to 53 bits: the rest is enough for 8,000 eras.
const eraBits = 40

// overdueReaders is the number of hosts, by rank, that read the log when a new record is overdue.
const overdueReaders = 2

// DefaultSettings returns times that keep at least one second between the end of one term and the start of the next.
func DefaultSettings() Settings {
	return Settings{
		RenewInterval: time.Second,
		HoldTime:      2 * time.Second,
		OrderTime:     2 * time.Second,
		TakeOverTime:  3200 * time.Millisecond,
		OverdueTime:   1800 * time.Millisecond, // allows for a renewal and the heartbeat between hubs that reports it
		Stagger:       150 * time.Millisecond,
		RetryDelay:    300 * time.Millisecond,
	}
}

// New returns the view of a host that has not read the log yet.
func New(s Settings, holder, incarnation string) *Lease {
	return &Lease{settings: s, self: Record{Holder: holder, Incarnation: incarnation}}
}

// SetRank sets the position of this host, from 0, among those that may take over the lease.
func (l *Lease) SetRank(rank int) { l.rank = rank }

// Held returns the newest known fence and reports whether this host may use the lease now.
func (l *Lease) Held(now time.Time) (int64, bool) {
	return l.Fence(), l.isHolder() && !l.releasing && (now.Before(l.heldUntil) || l.settings.Fenced && !l.heldUntil.IsZero())
}

// MayOrder reports whether this host may give orders under the lease now.
func (l *Lease) MayOrder(now time.Time) bool {
	_, held := l.Held(now)
	return held && (l.settings.Fenced || now.Before(l.heldUntil.Add(l.settings.OrderTime-l.settings.HoldTime)))
}

// Confirmed reports whether this host holds the lease and no other host can hold it, whatever the state of the log is.
func (l *Lease) Confirmed(now time.Time) bool {
	return l.isHolder() && !l.releasing && now.Before(l.heldUntil)
}

// Leads reports whether the newest known term is that of this host and was not released. The lease may be in doubt, so that another host can
// have taken it over.
func (l *Lease) Leads() bool { return l.isHolder() && !l.releasing }

// Fence returns the fence of the newest known term, or zero if none is known.
func (l *Lease) Fence() int64 {
	if !l.known {
		return 0
	}
	return l.newest.fence()
}

// Holder returns the name of the holder according to the newest known record, or an empty string if there is none.
func (l *Lease) Holder() string {
	if !l.known || l.newest.Record.Released {
		return ""
	}
	return l.newest.Record.Holder
}

// Newest returns the newest known record and how long it has been known to exist; ok is false if no record is known.
func (l *Lease) Newest(now time.Time) (n Newest, age time.Duration, ok bool) {
	return l.newest, now.Sub(l.knownSince), l.known
}

// Invalidate ends the use of the lease until its record has been read again, for example after the machine was suspended.
func (l *Lease) Invalidate() {
	l.heldUntil = time.Time{}
	l.known, l.reclaim = false, false
	l.notBefore = time.Time{}
}

// Step returns the call to make now. No other call is due until its result has been reported.
func (l *Lease) Step(now time.Time) Action {
	if l.callPending || now.Before(l.notBefore) {
		return Action{}
	}
	a := l.next(now)
	if a.Kind != Nothing {
		l.callPending = true
		l.lastCall = now
	}
	return a
}

func (l *Lease) next(now time.Time) Action {
	switch {
	case l.releasing && !l.isHolder():
		return Action{}
	case !l.known || l.mustRead:
		return Action{Kind: Read}
	case l.releasing && !l.settings.Fenced && now.Before(l.lastArrival(now)):
		return Action{}
	case l.releasing:
		return l.append(l.newest.fence(), true)
	case l.isHolder():
		if now.Sub(l.lastCall) < l.settings.RenewInterval {
			return Action{}
		}
		return l.append(l.newest.fence(), false)
	case now.Sub(l.knownSince) < l.takeOverDelay() || now.Before(l.earliestTerm(now)):
		if now.Sub(l.knownSince) >= l.settings.OverdueTime && !l.overdueRead && l.rank < overdueReaders {
			l.overdueRead = true
			return Action{Kind: Read}
		}
		return Action{}
	}
	return l.append(l.newFence(), false)
}

// newFence returns the fence of a term that begins at the end of the log. It is higher than that of each earlier term, also of those
// that the log lost.
func (l *Lease) newFence() int64 {
	highest := max(l.newest.Era<<eraBits|l.newest.End, l.refused)
	// A fence of a later era, as in a record that no host has written, would keep each further term from being in force.
	if f := l.newest.fence(); f < highestFence(l.newest.Era) {
		highest = max(highest, f)
	}
	return highest + 1
}

// highestFence returns the highest fence of a term in the era.
func highestFence(era int64) int64 { return (era+1)<<eraBits - 1 }

// takeOverDelay returns how long after the newest record this host may take over the lease.
func (l *Lease) takeOverDelay() time.Duration {
	r := l.newest.Record
	stagger := time.Duration(l.rank) * l.settings.Stagger
	switch {
	case l.reclaim:
		return 0
	case l.lostRecords || r.Holder != "" && !l.newest.inForce() || r.Holder == "" && l.settings.Joins && l.newest.Era > 0:
		// The log may have lost the record of a holder that has not noticed it yet.
		return l.settings.TakeOverTime + stagger
	case r.Holder == l.self.Holder:
		return 0 // The holder was an earlier process of this host, which has ended.
	case r.Holder == "" || r.Released:
		return stagger
	}
	return l.settings.TakeOverTime + stagger
}

func (l *Lease) append(fence int64, released bool) Action {
	r := l.self
	r.Fence, r.Released = fence, released
	return Action{Kind: Append, Era: l.newest.Era, ExpectedEnd: l.newest.End, Record: r}
}

// Release ends the use of the lease and returns the call that is due to release it, like Step. The driver gives no more orders and calls Release
// again until the host stops: the lease is released when no call is pending and, unless orders are fenced, no order can arrive any more.
func (l *Lease) Release(now time.Time) Action {
	l.heldUntil = time.Time{}
	l.releasing = true
	return l.Step(now)
}

// FenceRefused handles the answer of a receiver of orders that has seen a higher fence than the given one. A term with that fence no
// longer counts: if the log names no other holder, this host begins a new one. An answer to an order of an earlier term says nothing.
func (l *Lease) FenceRefused(now time.Time, fence int64) {
	if l.known && fence < l.newest.fence() {
		return
	}
	l.refused = max(l.refused, fence)
	l.Invalidate()
	l.mustRead, l.notBefore = true, now.Add(l.settings.RetryDelay)
}

// Reread makes the next call read the log, whatever the answer to a pending call is: the log may have sent it before.
func (l *Lease) Reread() { l.mustRead, l.readAgain = true, l.callPending }

// Observe applies the newest record, which has existed for at least the given age. It ignores a record older than the newest known
// one, and any record of an earlier era.
func (l *Lease) Observe(now time.Time, n Newest, age time.Duration) {
	if n.Era < l.newest.Era || l.known && n.before(l.newest) {
		return
	}
	if n.Era > l.newest.Era && !l.knownSince.IsZero() {
		// Another return may come before this host has begun its new term.
		_, held := l.Held(now)
		l.reclaim = held || l.reclaim && (l.settings.Fenced || now.Before(l.heldUntil))
		l.lostRecords = true
	}
	if n.inForce() {
		l.reclaim, l.lostRecords = false, false
	}
	if !l.known || l.newest.before(n) {
		seen := now.Add(-age)
		if !l.known && !n.before(l.newest) && !l.newest.before(n) && !l.knownSince.IsZero() {
			seen = l.knownSince // The same record was known before the view was invalidated.
		}
		l.knownSince, l.overdueRead = seen, false
	}
	l.known = true
	l.newest = n
}

// ReadDone applies the answer to a Read. A record of this process proves that an append in doubt took effect.
func (l *Lease) ReadDone(now time.Time, n Newest) {
	l.endCall()
	l.Observe(now, n, 0)
}

// Appended applies a successful append at the offset.
func (l *Lease) Appended(now time.Time, a Action, offset int64) {
	l.endCall()
	l.Observe(now, Newest{Record: a.Record, Era: a.Era, Offset: offset, End: offset + 1}, 0)
	if l.isHolder() {
		l.heldUntil = l.lastCall.Add(l.settings.HoldTime)
	}
}

// endCall ends a call that was answered.
func (l *Lease) endCall() {
	l.callPending, l.mustRead, l.readAgain = false, l.readAgain, false
}

// Refused handles an append that the log rejected because it ends at another offset. Reports from other hosts may be as old as
// this host's view, so the next call reads the log itself.
func (l *Lease) Refused() {
	l.callPending, l.known, l.mustRead, l.readAgain = false, false, true, false
	l.heldUntil = time.Time{}
}

// Failed handles a call that got no answer or an error. An append is then in doubt, so the log is read after the retry delay.
func (l *Lease) Failed(now time.Time) {
	l.callPending, l.mustRead, l.readAgain = false, true, false
	l.notBefore = now.Add(l.settings.RetryDelay)
}

func (l *Lease) isHolder() bool {
	r := l.newest.Record
	return l.known && !r.Released && r.Holder == l.self.Holder && r.Incarnation == l.self.Incarnation &&
		l.newest.inForce() && l.newest.fence() > l.refused
}

// before reports whether the record is at an earlier place of the log than another one.
func (n Newest) before(o Newest) bool {
	return n.Era < o.Era || n.Era == o.Era && n.End < o.End
}

func (n Newest) fence() int64 {
	if n.Record.Fence == 0 && n.Record.Holder != "" {
		return (n.Era<<eraBits | n.Offset) + 1
	}
	return n.Record.Fence
}

// inForce reports whether the record belongs to a term of the log's era. A record from a copy of the log, or one that was appended in an
// earlier era and written in this one, does not: the log may have lost a later term.
func (n Newest) inForce() bool {
	fence := n.fence()
	return fence != 0 && fence>>eraBits == n.Era
}
