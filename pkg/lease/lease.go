package lease

import "time"

// The kinds of an action.
const (
	// Nothing asks for no call.
	Nothing Kind = iota
	// Read asks for the newest record.
	Read
	// Append asks for an append on the condition that the log ends at the given offset.
	Append
)

type (
	// Kind is what an Action asks for.
	Kind int

	// Record is the record that names the holder.
	Record struct {
		Holder      string `json:"holder"`      // Holder is the name of the host.
		Incarnation string `json:"incarnation"` // Incarnation tells two processes of one host apart.
		Fence       int64  `json:"fence"`       // Fence is zero in the first record of a tenure, which defines it by its offset.
		Released    bool   `json:"released"`
	}

	// Newest is the newest record of the log.
	Newest struct {
		Record Record
		Offset int64
		End    int64 // End is the offset at which the log ends.
	}

	// Action is a call that the driver makes; it reports the result by Saw, Appended, Refused or Failed.
	Action struct {
		Kind   Kind
		At     int64
		Record Record
	}

	// Settings are the times of a lease.
	Settings struct {
		Renew    time.Duration // Renew is the time between two renewals.
		HoldTime time.Duration // HoldTime is how long after a renewal was sent the holder may use the lease.
		TakeTime time.Duration // TakeTime is how long without a new record another host waits before it takes over.
		// CheckTime is how long without a new record the first of those that may take over read the log: the holder may have
		// ended after a renewal of which it told nobody.
		CheckTime time.Duration
		Stagger   time.Duration // Stagger is added to TakeTime for each rank, so that hosts do not try at once.
		Retry     time.Duration // Retry is the time between two calls after one failed.
		// Fenced tells that whoever is ordered to do something refuses an older fence than it has seen. A holder that cannot
		// reach the log then goes on until it learns of another one, because nobody can take over during an outage of the log.
		Fenced bool
	}

	// Lease is the view that one host has of the lease.
	Lease struct {
		settings  Settings
		self      Record
		rank      int
		known     bool
		verify    bool // verify tells that the newest record must be read again.
		checked   bool // checked tells that the log was read when a new record was overdue.
		newest    Newest
		seen      time.Time // seen is when the newest record was first known to exist.
		sent      time.Time // sent is when the last append was sent.
		calling   bool
		notBefore time.Time
		heldUntil time.Time
		released  bool
	}
)

// checkRanks is the number of hosts that read the log when a record is overdue.
const checkRanks = 2

// DefaultSettings returns times that keep at least one second between the end of one tenure and the start of the next.
func DefaultSettings() Settings {
	return Settings{
		Renew:     time.Second,
		HoldTime:  2 * time.Second,
		TakeTime:  3200 * time.Millisecond,
		CheckTime: 1800 * time.Millisecond, // a renewal, and a heartbeat between hubs that tells of it
		Stagger:   150 * time.Millisecond,
		Retry:     300 * time.Millisecond,
	}
}

// New returns the view of a host that has read nothing yet.
func New(s Settings, holder, incarnation string) *Lease {
	return &Lease{settings: s, self: Record{Holder: holder, Incarnation: incarnation}}
}

// SetRank sets the position of this host among those that may take the lease over.
func (l *Lease) SetRank(rank int) { l.rank = rank }

// Held returns the fence if this host may use the lease now.
func (l *Lease) Held(now time.Time) (int64, bool) {
	return l.Fence(), l.mine() && !l.released && (now.Before(l.heldUntil) || l.settings.Fenced && !l.heldUntil.IsZero())
}

// Fence returns the fence of the newest known tenure; zero means that none is known.
func (l *Lease) Fence() int64 {
	if !l.known {
		return 0
	}
	return l.newest.fence()
}

// Holder returns the host that holds the lease by the newest known record; it is empty if none does.
func (l *Lease) Holder() string {
	if !l.known || l.newest.Record.Released {
		return ""
	}
	return l.newest.Record.Holder
}

// Newest returns the newest known record and the time for which it has been known to exist.
func (l *Lease) Newest(now time.Time) (n Newest, age time.Duration, ok bool) {
	return l.newest, now.Sub(l.seen), l.known
}

// Doubt ends the use of the lease until its record was read again, for example after the machine was suspended.
func (l *Lease) Doubt() {
	l.heldUntil = time.Time{}
	l.known = false
	l.notBefore = time.Time{}
}

// Step returns the call to make now.
func (l *Lease) Step(now time.Time) Action {
	if l.calling || now.Before(l.notBefore) {
		return Action{}
	}
	a := l.next(now)
	if a.Kind != Nothing {
		l.calling = true
		l.sent = now
	}
	return a
}

func (l *Lease) next(now time.Time) Action {
	switch {
	case !l.known || l.verify:
		return Action{Kind: Read}
	case l.released:
		return Action{}
	case l.mine():
		if now.Sub(l.sent) < l.settings.Renew {
			return Action{}
		}
		return l.append(l.newest.fence(), false)
	case now.Sub(l.seen) < l.wait():
		if now.Sub(l.seen) >= l.settings.CheckTime && !l.checked && l.rank < checkRanks {
			l.checked = true
			return Action{Kind: Read}
		}
		return Action{}
	}
	return l.append(0, false)
}

// wait returns how long after the newest record this host may take the lease over.
func (l *Lease) wait() time.Duration {
	r := l.newest.Record
	stagger := time.Duration(l.rank) * l.settings.Stagger
	switch {
	case r.Holder == l.self.Holder:
		return 0 // An earlier process of this host held it and has ended.
	case r.Holder == "" || r.Released:
		return stagger
	}
	return l.settings.TakeTime + stagger
}

func (l *Lease) append(fence int64, released bool) Action {
	r := l.self
	r.Fence, r.Released = fence, released
	return Action{Kind: Append, At: l.newest.End, Record: r}
}

// Release returns the append that gives the lease up, or Nothing if this host does not hold it. The driver calls it when
// none of its orders is in flight.
func (l *Lease) Release(now time.Time) Action {
	held := l.mine() && !l.calling
	l.heldUntil = time.Time{}
	l.released = true
	if !held {
		return Action{}
	}
	l.calling, l.sent = true, now
	return l.append(l.newest.fence(), true)
}

// Saw takes over the newest record, which has existed for at least the age; a log without a record has a zero Newest.
func (l *Lease) Saw(now time.Time, n Newest, age time.Duration) {
	if l.known && n.End < l.newest.End {
		return
	}
	if !l.known || n.End > l.newest.End {
		seen := now.Add(-age)
		if !l.known && n.End == l.newest.End && !l.seen.IsZero() {
			seen = l.seen // The record is the one that was known before the doubt.
		}
		l.seen, l.checked = seen, false
	}
	l.known = true
	l.newest = n
}

// Confirmed takes over the answer to a Read; a record of this process that is found proves the append that was in doubt.
func (l *Lease) Confirmed(now time.Time, n Newest) {
	l.calling, l.verify = false, false
	l.Saw(now, n, 0)
}

// Appended takes over that the append took effect at the offset.
func (l *Lease) Appended(now time.Time, a Action, offset int64) {
	l.calling, l.verify = false, false
	l.Saw(now, Newest{Record: a.Record, Offset: offset, End: offset + 1}, 0)
	if l.mine() {
		l.heldUntil = l.sent.Add(l.settings.HoldTime)
	}
}

// Refused takes over that the log does not end where the append expected. What other hosts tell may be as old as what this one
// knew, so that the log itself is read.
func (l *Lease) Refused() {
	l.calling, l.known, l.verify = false, false, true
	l.heldUntil = time.Time{}
}

// Failed takes over that a call has no answer or was refused, so that an append is in doubt.
func (l *Lease) Failed(now time.Time) {
	l.calling, l.verify = false, true
	l.notBefore = now.Add(l.settings.Retry)
}

func (l *Lease) mine() bool {
	r := l.newest.Record
	return l.known && !r.Released && r.Holder == l.self.Holder && r.Incarnation == l.self.Incarnation
}

func (n Newest) fence() int64 {
	if n.Record.Fence == 0 && n.Record.Holder != "" {
		return n.Offset + 1
	}
	return n.Record.Fence
}
