package stale

import (
	"cmp"
	"slices"
	"time"

	"github.com/fireflycleat/fireflycleat/pkg/clocks"
	"github.com/fireflycleat/fireflycleat/pkg/codes"
)

const (
	// MaxProofAge is the maximum age of evidence that proves a configuration current.
	MaxProofAge = 5 * time.Second

	// maxContactAge is the maximum age of the last log read for a daemon to count as connected to the log. It is below
	// [MaxProofAge] by more than a heartbeat interval. With equal limits every daemon would refuse work for up to a second at the
	// start of an outage: its own proof has lapsed and its peers have not yet reported that theirs have.
	maxContactAge = 3 * time.Second

	// memberHistory is how long a daemon that cannot reach the log may still know an old member set: 24 h, plus 10 minutes
	// for delays and clock drift.
	memberHistory = 24*time.Hour + 10*time.Minute
)

// Reasons returned by Current. Operators see these texts in the status of a host.
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
	// Reason states why a daemon is current or not.
	Reason string

	// Member is a daemon that is registered in the log and not recorded as gone.
	Member struct {
		Incarnation  string
		Offset       int64     // log offset of the registration
		RegisteredAt time.Time // time of the registration by the log's clock
	}

	// PreparedChange announces that a daemon may append a change of configuration. It is open until the outcome is known.
	PreparedChange struct {
		Serial uint64 // increases with each prepared change of the daemon
		Open   bool
	}

	// Heartbeat is the state of the sender that a heartbeat reports to one receiver.
	Heartbeat struct {
		Incarnation string
		Offset      int64          // offset of the last record that the sender has applied
		Known       int64          // highest offset that the sender knows to be in the log
		HasRead     bool           // whether the sender has ever read the log to its end
		LogAge      time.Duration  // time since the sender last read the log to its end
		Intent      PreparedChange // the sender's own prepared change
		Noted       uint64         // serial of the receiver's prepared change that the sender acknowledges
		// Blocked is set while the sender has, or has acknowledged, an open prepared change whose outcome it does not know.
		Blocked bool
	}

	// peerChange is the prepared change of a peer and the offset that the peer had applied when it sent it.
	peerChange struct {
		change PreparedChange
		offset int64
	}

	// peerAnswer is the last answer of a peer and the start of the call.
	peerAnswer struct {
		heartbeat   Heartbeat
		requestedAt time.Time
	}

	// disabledChecks disables single checks, so that tests can show that the bound depends on them.
	disabledChecks struct {
		majority, acknowledgement, age, known, history, contact, logClock bool
	}

	// Tracker holds the evidence from which one daemon decides whether its configuration is current.
	Tracker struct {
		self        string
		clock       clocks.Remote // estimates the log's clock
		offset      int64
		knownOffset int64
		hasRead     bool
		readAt      time.Time // start of the last read to the end of the log
		members     []Member
		live        map[string]bool // incarnations of members
		isMember    map[string]bool
		answers     map[string]peerAnswer
		peerChanges map[string]peerChange
		change      PreparedChange
		// permitted is set once MayPublish has allowed an append of the open change, which may be in doubt from then on.
		permitted bool
		disabled  disabledChecks
	}
)

// New returns the tracker of the daemon with the given incarnation. It has no evidence yet, so it is not current.
func New(incarnation string) *Tracker {
	return &Tracker{self: incarnation, answers: make(map[string]peerAnswer), peerChanges: make(map[string]peerChange)}
}

// AdvanceMembers records the offset of the last record that the daemon has applied and the members as of that offset.
func (t *Tracker) AdvanceMembers(now time.Time, offset int64, members []Member) {
	t.offset, t.knownOffset = max(t.offset, offset), max(t.knownOffset, offset)
	t.members = slices.SortedFunc(slices.Values(members), func(a, b Member) int { return cmp.Compare(a.Offset, b.Offset) })
	t.live = make(map[string]bool, len(members))
	var newest time.Time
	for _, m := range members {
		if m.RegisteredAt.After(newest) {
			newest = m.RegisteredAt
		}
		t.live[m.Incarnation] = true
	}
	t.clock.ObserveLowerBound(now, newest)
	for i := range t.answers {
		if !t.live[i] {
			delete(t.answers, i)
		}
	}
	for i, c := range t.peerChanges {
		// The peer was a member when it sent the change, so it is gone now, and package fold rejects its late appends.
		if t.offset >= c.offset && !t.live[i] {
			delete(t.peerChanges, i)
		}
	}
}

// Advance records the offset of the last applied record when the members are unchanged.
func (t *Tracker) Advance(offset int64) {
	t.offset, t.knownOffset = max(t.offset, offset), max(t.knownOffset, offset)
}

// RecordRead records a log read that started at startedAt and found the last record of the log at offset last. It must be called
// after the returned records are applied.
func (t *Tracker) RecordRead(startedAt time.Time, last int64) {
	t.knownOffset = max(t.knownOffset, last)
	if t.offset >= last && (!t.hasRead || startedAt.After(t.readAt)) {
		t.hasRead, t.readAt = true, startedAt
	}
}

// ReceiveCall processes a heartbeat of unknown age, such as the request of a peer's call.
func (t *Tracker) ReceiveCall(h Heartbeat) {
	t.knownOffset = max(t.knownOffset, h.Known)
	old, ok := t.peerChanges[h.Incarnation]
	// Calls can arrive out of order. A change that was closed stays closed.
	if ok && (h.Intent.Serial < old.change.Serial || h.Intent.Serial == old.change.Serial && !old.change.Open) {
		return
	}
	if h.Intent.Serial > 0 && h.Incarnation != t.self {
		t.peerChanges[h.Incarnation] = peerChange{h.Intent, h.Offset}
	}
}

// ReceiveAnswer processes a peer's answer to a call that started at startedAt. The answer was made at that time or later.
func (t *Tracker) ReceiveAnswer(startedAt time.Time, h Heartbeat) {
	t.ReceiveCall(h)
	if old, ok := t.answers[h.Incarnation]; !ok || !startedAt.Before(old.requestedAt) {
		t.answers[h.Incarnation] = peerAnswer{h, startedAt}
	}
}

// Heartbeat returns the state that the daemon reports to the receiver now.
func (t *Tracker) Heartbeat(now time.Time, receiver string) Heartbeat {
	h := Heartbeat{
		Incarnation: t.self, Offset: t.offset, Known: t.knownOffset, HasRead: t.hasRead, Intent: t.change, Blocked: t.blocked(),
	}
	if t.hasRead {
		h.LogAge = now.Sub(t.readAt)
	}
	h.Noted = t.peerChanges[receiver].change.Serial
	return h
}

// Ahead returns the peer with the highest applied offset, if that is above the daemon's. Its records bring the daemon up
// to date without the log.
func (t *Tracker) Ahead() (incarnation string, offset int64, ok bool) {
	offset = t.offset
	for i, a := range t.answers {
		if o := a.heartbeat.Offset; o > offset || ok && o == offset && i < incarnation {
			incarnation, offset, ok = i, o, true
		}
	}
	return incarnation, offset, ok
}

// Current reports whether the configuration is current, and the reason.
func (t *Tracker) Current(now time.Time) (bool, Reason) {
	if t.hasRead && now.Sub(t.readAt) <= MaxProofAge {
		return true, ByLog
	}
	for _, a := range t.answers {
		if a.heartbeat.HasRead && a.heartbeat.Offset <= t.offset && t.logReadAge(now, a) <= MaxProofAge {
			return true, ByPeer
		}
	}
	return t.majority(now)
}

// ProvenAt returns the latest time at which the configuration is proven to have been current, or the zero time.
func (t *Tracker) ProvenAt(now time.Time) time.Time {
	var at time.Time
	if t.hasRead {
		at = t.readAt
	}
	for _, a := range t.answers {
		if read := a.requestedAt.Add(-a.heartbeat.LogAge); a.heartbeat.HasRead && a.heartbeat.Offset <= t.offset && read.After(at) {
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

// majorityAt returns the latest time such that a majority of the members has answered calls that started at or after it.
func (t *Tracker) majorityAt(now time.Time) time.Time {
	times := []time.Time{now}
	for _, m := range t.members {
		if a, ok := t.answers[m.Incarnation]; ok && m.Incarnation != t.self && t.supports(now, a) {
			times = append(times, a.requestedAt)
		}
	}
	slices.SortFunc(times, func(a, b time.Time) int { return b.Compare(a) })
	return times[len(t.members)/2]
}

// logReadAge returns the time since the start of the peer's last read to the end of the log. The age in the heartbeat
// counts from when the answer was made, which is not before the call started.
func (t *Tracker) logReadAge(now time.Time, a peerAnswer) time.Duration {
	if t.disabled.age {
		return max(a.heartbeat.LogAge, now.Sub(a.requestedAt))
	}
	return a.heartbeat.LogAge + now.Sub(a.requestedAt)
}

// majority reports whether the daemon is current by majority: it is a member, has all records that it knows of and no change
// in doubt, and more than half of the members support this state.
func (t *Tracker) majority(now time.Time) (bool, Reason) {
	switch {
	case !t.live[t.self]:
		return false, Unregistered
	case t.knownOffset > t.offset && !t.disabled.known:
		return false, Behind
	case t.blocked():
		return false, InDoubt
	}
	count := 0
	for _, m := range t.members {
		if a, ok := t.answers[m.Incarnation]; m.Incarnation == t.self || ok && t.supports(now, a) {
			count++
		}
	}
	if 2*count <= len(t.members) {
		return false, NoContact
	}
	return true, ByMajority
}

// supports reports whether a peer's answer counts towards a majority: it is recent, shows no newer record and no change in
// doubt, and the peer had no contact with the log.
func (t *Tracker) supports(now time.Time, a peerAnswer) bool {
	hasLog := a.heartbeat.HasRead && a.heartbeat.LogAge <= maxContactAge
	return now.Sub(a.requestedAt) <= MaxProofAge && !hasLog && (a.heartbeat.Known <= t.offset || t.disabled.known) && !a.heartbeat.Blocked
}

// blocked reports whether a prepared change of a peer or of the daemon itself is open. The daemon's own change counts too,
// because its record may be in the log although the answer is missing.
func (t *Tracker) blocked() bool {
	if t.disabled.acknowledgement {
		return false
	}
	for _, c := range t.peerChanges {
		if c.change.Open {
			return true
		}
	}
	return t.change.Open
}

// SetPublishing opens or closes the prepared change. The parameter publishing is true while the daemon has changes of
// configuration to append, or changes whose outcome it has not applied yet. When the prepared change opens, the caller
// should send heartbeats at once and wait for MayPublish. The prepared change opens only once the daemon is registered and
// connected to the log, and closes again if the connection is lost before MayPublish has allowed an append: a change that
// cannot be appended must not keep the members that acknowledge it from serving in a log outage.
func (t *Tracker) SetPublishing(now time.Time, publishing bool) {
	canOpen := t.live[t.self] && (t.hasLogContact(now) || t.disabled.contact)
	switch {
	case !publishing, !canOpen && t.change.Open && !t.permitted:
		t.change.Open = false
	case !t.change.Open && canOpen:
		t.change, t.permitted = PreparedChange{Serial: t.change.Serial + 1, Open: true}, false
	}
}

// hasLogContact reports whether the daemon has read the log to its end within maxContactAge.
func (t *Tracker) hasLogContact(now time.Time) bool {
	return t.hasRead && now.Sub(t.readAt) <= maxContactAge
}

// MayPublish returns nil if a change of configuration may be appended now, or a NotCurrent or NoMajority error. The change
// must carry the daemon's applied offset, and package fold must reject it if the members have changed since that offset.
func (t *Tracker) MayPublish(now time.Time) error {
	if !t.hasLogContact(now) {
		return codes.New(codes.NotCurrent, "the log was not read to its end recently enough")
	}
	if !t.live[t.self] {
		return codes.New(codes.NotCurrent, string(Unregistered))
	}
	if t.disabled.majority {
		t.permitted = true
		return nil
	}
	// A daemon that cannot reach the log may know an older member set, so each set that was in force within memberHistory
	// needs a majority. Leaving out members that have gone since, these sets are prefixes of the members in the order of
	// registration.
	count := 0
	for i, m := range t.members {
		if t.acknowledged(now, m.Incarnation) {
			count++
		}
		last := i == len(t.members)-1
		inForce := last || !t.disabled.history && t.logTime(now).Sub(t.members[i+1].RegisteredAt) < memberHistory
		if inForce && 2*count <= i+1 {
			return codes.Newf(codes.NoMajority, "%d of the %d oldest members have acknowledged the change", count, i+1)
		}
	}
	t.permitted = true
	return nil
}

// logTime returns the time by the log's clock, or slightly before it. The daemon's own clock may be hours ahead of the
// log's; with it, a publisher would ignore member sets that a daemon without access to the log still knows. The daemon's
// own registration keeps the estimate close.
func (t *Tracker) logTime(now time.Time) time.Time {
	if t.disabled.logClock {
		return now
	}
	return t.clock.Earliest(now)
}

// acknowledged reports whether the member answered recently and has acknowledged the open prepared change.
func (t *Tracker) acknowledged(now time.Time, incarnation string) bool {
	if incarnation == t.self {
		return t.change.Open || t.disabled.acknowledgement
	}
	a, ok := t.answers[incarnation]
	noted := t.change.Open && a.heartbeat.Noted == t.change.Serial
	return ok && now.Sub(a.requestedAt) <= MaxProofAge && (noted || t.disabled.acknowledgement)
}
