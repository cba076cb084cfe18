package fresh

import (
	"cmp"
	"slices"
	"time"

	"github.com/fireflycleat/fireflycleat/pkg/clocks"
	"github.com/fireflycleat/fireflycleat/pkg/codes"
)

const (
	// Bound is the age of the oldest evidence that proves a configuration current.
	Bound = 5 * time.Second

	// contactAge is the age of the last log read at which a daemon still has contact with the log. It is below Bound by more
	// than a heartbeat interval: with equal limits every daemon refused work for up to a second at the start of an outage,
	// when its own proof had lapsed and its peers had not yet said that theirs had.
	contactAge = 3 * time.Second

	// memberHistory covers the member sets that a daemon without log may still know: 24 h, and 10 minutes for the delay and
	// the drift of clocks.
	memberHistory = 24*time.Hour + 10*time.Minute
)

// The reasons that Current returns.
const (
	ByLog      Reason = "log read to its end"
	ByPeer     Reason = "peer read the log to its end"
	ByMajority Reason = "majority without log"

	Unregistered Reason = "not a recorded member"
	Behind       Reason = "newer records are known"
	InDoubt      Reason = "a change may be in the log"
	NoContact    Reason = "too few members in contact"
)

type (
	// Reason tells why a daemon is current or not.
	Reason string

	// Member is a daemon that is registered and not gone, in the order of Offset.
	Member struct {
		Incarnation string
		Offset      int64     // Offset is the offset of the registration.
		Up          time.Time // Up is the log's time of the registration.
	}

	// Intent tells whether a daemon may have an append of a configuration change under way; Serial rises with each.
	Intent struct {
		Serial uint64
		Open   bool
	}

	// Beat is what a heartbeat says about its sender to one receiver.
	Beat struct {
		Incarnation string
		Offset      int64         // Offset is the offset of the last record that the sender has folded.
		Known       int64         // Known is the highest offset that the sender knows to be in the log.
		HasRead     bool          // HasRead says that the sender has read the log to its end at least once.
		LogAge      time.Duration // LogAge is the age of the sender's last read to the end.
		Intent      Intent        // Intent is the sender's own.
		Noted       uint64        // Noted is the serial of the receiver's intent that the sender has noted.
		// Blocked says that the sender has noted an open intent, or has one, whose outcome it does not know.
		Blocked bool
	}

	// note is an intent of a peer and the offset that the peer had folded.
	note struct {
		intent Intent
		offset int64
	}

	// heard is the last answer of a peer, and when the call was begun.
	heard struct {
		beat Beat
		at   time.Time
	}

	// guards switches single checks off, so that tests can show that the bound depends on them.
	guards struct {
		noMajority, noNotes, noAge, noKnown, noHistory, noContact, ownClock bool
	}

	// Tracker holds the evidence of one daemon.
	Tracker struct {
		self     string
		clock    clocks.Remote // clock is the log's.
		offset   int64
		known    int64
		hasRead  bool
		readAt   time.Time
		members  []Member
		live     map[string]bool // The incarnations of members.
		isMember map[string]bool
		peers    map[string]heard
		notes    map[string]note
		intent   Intent
		granted  bool // MayPublish has permitted an append under the intent, whose outcome may be unknown from then on.
		off      guards
	}
)

// New returns a tracker for the daemon with the incarnation; it is not current.
func New(incarnation string) *Tracker {
	return &Tracker{self: incarnation, peers: make(map[string]heard), notes: make(map[string]note)}
}

// Folded takes the offset of the last record that the daemon has folded by now and the members as of that offset.
func (t *Tracker) Folded(now time.Time, offset int64, members []Member) {
	t.offset, t.known = max(t.offset, offset), max(t.known, offset)
	t.members = slices.SortedFunc(slices.Values(members), func(a, b Member) int { return cmp.Compare(a.Offset, b.Offset) })
	t.live = make(map[string]bool, len(members))
	var newest time.Time
	for _, m := range members {
		if m.Up.After(newest) {
			newest = m.Up
		}
		t.live[m.Incarnation] = true
	}
	t.clock.Passed(now, newest)
	for i := range t.peers {
		if !t.live[i] {
			delete(t.peers, i)
		}
	}
	for i, n := range t.notes {
		// The peer was a member when it sent the note, so it is gone now, and the fold rejects its late appends.
		if t.offset >= n.offset && !t.live[i] {
			delete(t.notes, i)
		}
	}
}

// Advance takes the offset of the last folded record when the members are unchanged.
func (t *Tracker) Advance(offset int64) {
	t.offset, t.known = max(t.offset, offset), max(t.known, offset)
}

// Read takes the result of a log read that began at the time: the offset of the last record in the log. It must be called
// after the records of the answer are folded.
func (t *Tracker) Read(began time.Time, last int64) {
	t.known = max(t.known, last)
	if t.offset >= last && (!t.hasRead || began.After(t.readAt)) {
		t.hasRead, t.readAt = true, began
	}
}

// Note takes a heartbeat whose age is unknown, such as the argument of a peer's call.
func (t *Tracker) Note(b Beat) {
	t.known = max(t.known, b.Known)
	old, ok := t.notes[b.Incarnation]
	// Calls can arrive out of order; an intent that was closed stays closed.
	if ok && (b.Intent.Serial < old.intent.Serial || b.Intent.Serial == old.intent.Serial && !old.intent.Open) {
		return
	}
	if b.Intent.Serial > 0 && b.Incarnation != t.self {
		t.notes[b.Incarnation] = note{b.Intent, b.Offset}
	}
}

// Heard takes a peer's answer to a call that began at the time, which is when the answer was made at the earliest.
func (t *Tracker) Heard(began time.Time, b Beat) {
	t.Note(b)
	if old, ok := t.peers[b.Incarnation]; !ok || !began.Before(old.at) {
		t.peers[b.Incarnation] = heard{b, began}
	}
}

// Beat returns what the daemon says to the receiver now.
func (t *Tracker) Beat(now time.Time, receiver string) Beat {
	b := Beat{
		Incarnation: t.self, Offset: t.offset, Known: t.known, HasRead: t.hasRead, Intent: t.intent, Blocked: t.blocked(),
	}
	if t.hasRead {
		b.LogAge = now.Sub(t.readAt)
	}
	b.Noted = t.notes[receiver].intent.Serial
	return b
}

// Ahead returns the peer that has folded the highest offset above the daemon's own; its records bring the daemon up to
// date without the log.
func (t *Tracker) Ahead() (incarnation string, offset int64, ok bool) {
	offset = t.offset
	for i, h := range t.peers {
		if o := h.beat.Offset; o > offset || ok && o == offset && i < incarnation {
			incarnation, offset, ok = i, o, true
		}
	}
	return incarnation, offset, ok
}

// Current reports whether the configuration is current, and why.
func (t *Tracker) Current(now time.Time) (bool, Reason) {
	if t.hasRead && now.Sub(t.readAt) <= Bound {
		return true, ByLog
	}
	for _, h := range t.peers {
		if h.beat.HasRead && h.beat.Offset <= t.offset && t.age(now, h) <= Bound {
			return true, ByPeer
		}
	}
	return t.majority(now)
}

// ProvenAt returns the latest time at which the state is proven to have been current, or zero without a proof.
func (t *Tracker) ProvenAt(now time.Time) time.Time {
	var at time.Time
	if t.hasRead {
		at = t.readAt
	}
	for _, h := range t.peers {
		if read := h.at.Add(-h.beat.LogAge); h.beat.HasRead && h.beat.Offset <= t.offset && read.After(at) {
			at = read
		}
	}
	if ok, _ := t.majority(now); ok {
		if m := t.majorityAt(now); m.After(at) {
			at = m
		}
	}
	return at
}

// majorityAt returns the time since which a majority has been heard from.
func (t *Tracker) majorityAt(now time.Time) time.Time {
	times := []time.Time{now}
	for _, m := range t.members {
		if h, ok := t.peers[m.Incarnation]; ok && m.Incarnation != t.self && t.supports(now, h) {
			times = append(times, h.at)
		}
	}
	slices.SortFunc(times, func(a, b time.Time) int { return b.Compare(a) })
	return times[len(t.members)/2]
}

// age is how long ago the peer's last read to the end began.
func (t *Tracker) age(now time.Time, h heard) time.Duration {
	if t.off.noAge {
		return max(h.beat.LogAge, now.Sub(h.at))
	}
	return h.beat.LogAge + now.Sub(h.at)
}

func (t *Tracker) majority(now time.Time) (bool, Reason) {
	switch {
	case !t.live[t.self]:
		return false, Unregistered
	case t.known > t.offset && !t.off.noKnown:
		return false, Behind
	case t.blocked():
		return false, InDoubt
	}
	count := 0
	for _, m := range t.members {
		if h, ok := t.peers[m.Incarnation]; m.Incarnation == t.self || ok && t.supports(now, h) {
			count++
		}
	}
	if 2*count <= len(t.members) {
		return false, NoContact
	}
	return true, ByMajority
}

func (t *Tracker) supports(now time.Time, h heard) bool {
	hasLog := h.beat.HasRead && h.beat.LogAge <= contactAge
	return now.Sub(h.at) <= Bound && !hasLog && (h.beat.Known <= t.offset || t.off.noKnown) && !h.beat.Blocked
}

// blocked also holds for the daemon's own intent: the record may be in the log although the answer is missing.
func (t *Tracker) blocked() bool {
	if t.off.noNotes {
		return false
	}
	for _, n := range t.notes {
		if n.intent.Open {
			return true
		}
	}
	return t.intent.Open
}

// SetIntent says whether the daemon has changes of configuration to append, or whose outcome is not folded yet. When the
// intent opens, heartbeats should be sent at once, and MayPublish awaited. It stays closed until the daemon is registered and
// in contact with the log, and closes again when the contact is lost before MayPublish has permitted an append: an intent
// that cannot be published must not keep the members that note it from serving in a log outage.
func (t *Tracker) SetIntent(now time.Time, publishing bool) {
	able := t.live[t.self] && (t.contactsLog(now) || t.off.noContact)
	switch {
	case !publishing, !able && t.intent.Open && !t.granted:
		t.intent.Open = false
	case !t.intent.Open && able:
		t.intent, t.granted = Intent{Serial: t.intent.Serial + 1, Open: true}, false
	}
}

func (t *Tracker) contactsLog(now time.Time) bool {
	return t.hasRead && now.Sub(t.readAt) <= contactAge
}

// MayPublish returns nil if a change of configuration may be appended now, or a NotCurrent or NoMajority error. The change
// must carry the offset that the daemon has folded, and the fold must reject it if the members have changed since.
func (t *Tracker) MayPublish(now time.Time) error {
	if !t.contactsLog(now) {
		return codes.New(codes.NotCurrent, "the log has not been read to its end")
	}
	if !t.live[t.self] {
		return codes.New(codes.NotCurrent, string(Unregistered))
	}
	if t.off.noMajority {
		t.granted = true
		return nil
	}
	// A daemon without log may know an older member set. Without the members that are gone since, the sets that were in
	// force are the first members in the order of registration, for each length that was reached within the history.
	count := 0
	for i, m := range t.members {
		if t.contact(now, m.Incarnation) {
			count++
		}
		last := i == len(t.members)-1
		inForce := last || !t.off.noHistory && t.logTime(now).Sub(t.members[i+1].Up) < memberHistory
		if inForce && 2*count <= i+1 {
			return codes.Newf(codes.NoMajority, "%d of the %d oldest members have noted the change", count, i+1)
		}
	}
	t.granted = true
	return nil
}

// logTime is the time by the log's clock, or somewhat before it. The own clock may be hours ahead of the log's: it made a
// publisher forget member sets that a daemon without log still knew. The own registration keeps the estimate close.
func (t *Tracker) logTime(now time.Time) time.Time {
	if t.off.ownClock {
		return now
	}
	return t.clock.Earliest(now)
}

// contact reports whether the member was heard from and has noted the open intent.
func (t *Tracker) contact(now time.Time, incarnation string) bool {
	if incarnation == t.self {
		return t.intent.Open || t.off.noNotes
	}
	h, ok := t.peers[incarnation]
	noted := t.intent.Open && h.beat.Noted == t.intent.Serial
	return ok && now.Sub(h.at) <= Bound && (noted || t.off.noNotes)
}
