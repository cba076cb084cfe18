package idemp

import (
	"math/rand/v2"
	"time"

	"github.com/fireflycleat/fireflycleat/pkg/clocks"
	"github.com/fireflycleat/fireflycleat/pkg/codes"
)

const (
	defaultKeyLifetime = 24 * time.Hour
	defaultBodyLimit   = 16 << 10
	defaultMaxKeys     = 20_000

	resendInterval = 200 * time.Millisecond
	idleInterval   = 5 * time.Second // between Ticks while nothing is pending

	// ackTimeout is the time within which the backup must acknowledge the start of a call. After that, the call is refused
	// with a retry time.
	ackTimeout = time.Second

	// lateLifetime is the time after which a late outcome that no holder has acknowledged is dropped. The key stays lost,
	// which is safe.
	lateLifetime = 10 * time.Minute

	// inProgressLimit is the maximum time for which a call started by a former holder that is still reachable counts as in
	// progress.
	inProgressLimit = 5 * time.Minute

	// resetMargin is added to the key lifetime to get the time for which earlier keys are refused after a reset: a replaced
	// holder and its backup may run calls until they learn of the reset. The margin exceeds the time after which a daemon with
	// stale state refuses work.
	resetMargin = time.Minute
)

type (
	// Config holds the parameters of a Host; zero values select the defaults.
	Config struct {
		Incarnation string        // identifies this run of the daemon process
		Ranges      int           // number of key ranges, 64 by default
		KeyLifetime time.Duration // time after which a key is forgotten, 24 h by default
		BodyLimit   int           // size limit of a stored body in bytes, 16 KiB by default
		MaxKeys     int           // maximum number of keys of one range, 20,000 by default
	}

	// Host is the state of one daemon incarnation for all key ranges.
	Host struct {
		cfg          Config
		logClock     clocks.Remote // estimates the time of the log's clock
		rng          *rand.Rand
		ranges       []*keyRange
		members      map[string]Member
		membersKnown bool // whether a list of members has been received
		draining     bool
		lastAttempt  uint64
		running      map[Attempt]call
		late         []lateOutcome
		wakeAt       time.Time
		actions      []Action
		faults       faults
	}

	call struct {
		id    string
		entry Entry
	}

	lateOutcome struct {
		keyRange int
		entry    Entry
		since    time.Time
	}

	// faults disables single rules; only tests set it, to verify that their checks detect each violation.
	faults struct {
		skipBackup          bool
		acceptAnyEpoch      bool
		ignoreStateLoss     bool
		releaseWithoutProof bool
		useLocalClock       bool
	}
)

// New returns a Host without assignments and members.
func New(cfg Config, rng *rand.Rand) *Host {
	if cfg.Ranges <= 0 {
		cfg.Ranges = DefaultRanges
	}
	if cfg.KeyLifetime <= 0 {
		cfg.KeyLifetime = defaultKeyLifetime
	}
	if cfg.BodyLimit <= 0 {
		cfg.BodyLimit = defaultBodyLimit
	}
	if cfg.MaxKeys <= 0 {
		cfg.MaxKeys = defaultMaxKeys
	}
	h := &Host{cfg: cfg, rng: rng, members: make(map[string]Member), running: make(map[Attempt]call)}
	for i := range cfg.Ranges {
		h.ranges = append(h.ranges, &keyRange{index: i})
	}
	return h
}

// Handle applies an event and returns the actions that follow from it.
func (h *Host) Handle(now time.Time, e Event) []Action {
	h.actions = nil
	switch m := e.(type) {
	case Assignment:
		h.applyAssignment(now, m)
	case Peers:
		h.setPeers(now, m)
	case LogTime:
		h.logClock.ObserveLowerBound(now, m.At)
	case Drain:
		h.draining = true
		h.proposeDue(now)
	case Begin:
		h.begin(now, m)
	case Outcome:
		h.outcome(now, m)
	case Replicate:
		h.replicate(m)
	case ReplicateAck:
		h.replicateAck(m)
	case ReplicateRefused:
		h.replicateRefused(now, m)
	case Transfer:
		h.transfer(m)
	case TransferAck:
		h.transferAck(m)
	case Late:
		h.lateOutcomeReceived(m)
	case LateAck:
		h.lateAck(m)
	case Tick:
		h.tick(now)
	}
	h.scheduleWake(now)
	return h.actions
}

// Mint returns a new key of the range; it fails with KeyRangeMoving while the range has no known assignment.
func (h *Host) Mint(keyRange int) (string, error) {
	if keyRange < 0 || keyRange >= len(h.ranges) {
		return "", codes.Newf(codes.BadArgument, "range %d does not exist", keyRange)
	}
	epoch := h.ranges[keyRange].assignment.Epoch
	if epoch == 0 {
		return "", rangeMovingError("range has no holder yet")
	}
	return mintKey(keyRange, epoch, h.rng), nil
}

// RangeOf returns the range of a key.
func (h *Host) RangeOf(key string) int { return RangeOf(key, h.cfg.Ranges) }

// Assignment returns the newest assignment of a range that this daemon has read; its epoch is zero if there is none.
func (h *Host) Assignment(keyRange int) Assignment { return h.ranges[keyRange].assignment }

// HeldRanges returns the number of ranges that this daemon holds.
func (h *Host) HeldRanges() int {
	return h.countRanges(func(r *keyRange) bool { return r.assignment.Holder == h.cfg.Incarnation })
}

// BackupRanges returns the number of ranges that this daemon is the backup of.
func (h *Host) BackupRanges() int {
	return h.countRanges(func(r *keyRange) bool { return r.assignment.Backup == h.cfg.Incarnation })
}

// ReadyRanges returns the number of ranges that this daemon holds and in which it can start new keys.
func (h *Host) ReadyRanges() int { return h.countRanges(h.canStart) }

// InProgress returns the number of calls that were sent and have no outcome, plus the number of outcomes that the current
// holder has not acknowledged.
func (h *Host) InProgress() int { return len(h.running) + len(h.late) }

// KeyCount returns the number of keys in the tables of this daemon.
func (h *Host) KeyCount() int {
	n := 0
	for _, r := range h.ranges {
		n += len(r.table)
	}
	return n
}

func (h *Host) countRanges(match func(*keyRange) bool) int {
	n := 0
	for _, r := range h.ranges {
		if match(r) {
			n++
		}
	}
	return n
}

func (h *Host) emit(a Action) { h.actions = append(h.actions, a) }

func (h *Host) send(to string, message Event) { h.emit(Send{To: to, Message: message}) }

func (h *Host) refuse(id string, err *codes.Error) { h.emit(Answer{ID: id, Err: err}) }

// rangeAt returns the range with this index, or nil if it does not exist, as in a message of a faulty peer.
func (h *Host) rangeAt(index int) *keyRange {
	if index < 0 || index >= len(h.ranges) {
		return nil
	}
	return h.ranges[index]
}

func (h *Host) setPeers(now time.Time, m Peers) {
	h.membersKnown = true
	clear(h.members)
	for _, p := range m.Members {
		h.members[p.Incarnation] = p
	}
	for _, r := range h.ranges {
		if r.assignment.Holder == h.cfg.Incarnation && h.lost(r.assignment.Backup) {
			h.refuseWaiting(r)
		}
	}
	h.proposeDue(now)
}

// lost reports whether an incarnation is gone or suspected to be gone. Before the first list of members is received, no
// incarnation counts as lost.
func (h *Host) lost(incarnation string) bool {
	if !h.membersKnown || incarnation == "" || incarnation == h.cfg.Incarnation {
		return false
	}
	p, listed := h.members[incarnation]
	return !listed || p.Lost
}

// gone reports whether an incarnation is not in the list of members.
func (h *Host) gone(incarnation string) bool {
	_, listed := h.members[incarnation]
	return h.membersKnown && !listed
}

func (h *Host) tick(now time.Time) {
	for _, r := range h.ranges {
		r.expire(now, h.cfg.KeyLifetime)
		h.expireWaiting(now, r)
		h.resend(r)
	}
	h.resendLate(now)
	h.proposeDue(now)
}

func (h *Host) scheduleWake(now time.Time) {
	if h.wakeAt.After(now) && !(h.busy() && h.wakeAt.After(now.Add(resendInterval))) {
		return
	}
	h.wakeAt = now.Add(idleInterval)
	if h.busy() {
		h.wakeAt = now.Add(resendInterval)
	}
	h.emit(Wake{At: h.wakeAt})
}

// busy reports whether an acknowledgement or the delay of a proposal is pending.
func (h *Host) busy() bool {
	return len(h.late) > 0 || h.countRanges(func(r *keyRange) bool {
		return len(r.unackedChanges) > 0 || len(r.unackedChunks) > 0 || r.cause != noCause
	}) > 0
}
