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

	// A backup that has not acknowledged a start within ackTimeout costs the caller a refusal with a retry time.
	ackTimeout     = time.Second
	resendInterval = 200 * time.Millisecond
	idleInterval   = 5 * time.Second
	// A late outcome that no holder took within lateLifetime is dropped; the key stays lost, which is safe.
	lateLifetime = 10 * time.Minute
	// A call of a former holder that still lives is in progress for this long at most.
	inProgressLimit = 5 * time.Minute
	// A replaced pair of holder and backup may run calls until it learns of the reset, so blindness lasts longer than
	// keys by more than the time after which a daemon that is not current refuses work.
	blindSlack = time.Minute
)

type (
	// Config holds the parameters of a Host; zero values select the defaults.
	Config struct {
		Incarnation string        // Incarnation identifies this start of the daemon.
		Ranges      int           // Ranges is the number of key ranges, 64 by default.
		KeyLifetime time.Duration // KeyLifetime is how long a key is known, 24 h by default.
		BodyLimit   int           // BodyLimit is the longest stored body in bytes, 16 KiB by default.
		MaxKeys     int           // MaxKeys limits the keys of one range, 20,000 by default.
	}

	// Host is the state of one daemon incarnation for all key ranges.
	Host struct {
		cfg      Config
		clock    clocks.Remote // clock is the log's.
		rng      *rand.Rand
		ranges   []*keyRange
		members  map[string]Member
		known    bool // known tells that the list of members has arrived.
		draining bool
		number   uint64
		running  map[Attempt]call
		late     []lateOutcome
		wakeAt   time.Time
		actions  []Action
		faults   faults
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

	// faults switches single rules off; only tests set it, to show that their checks notice.
	faults struct {
		skipBackup    bool
		anyEpoch      bool
		ignoreBlind   bool
		releaseAlways bool
		ownClock      bool
	}
)

// New returns the state of a daemon incarnation that knows no assignment yet.
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
		h.assign(now, m)
	case Peers:
		h.setPeers(now, m)
	case LogTime:
		h.clock.Passed(now, m.At)
	case Drain:
		h.draining = true
		h.govern(now)
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
		h.lateArrived(m)
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
	epoch := h.ranges[keyRange].assign.Epoch
	if epoch == 0 {
		return "", moving("range has no holder yet")
	}
	return mintKey(keyRange, epoch, h.rng), nil
}

// RangeOf returns the range of a key.
func (h *Host) RangeOf(key string) int { return RangeOf(key, h.cfg.Ranges) }

// Assignment returns the assignment of a range as this daemon knows it; its epoch is zero if there is none.
func (h *Host) Assignment(keyRange int) Assignment { return h.ranges[keyRange].assign }

// Holds returns the number of ranges that this daemon holds.
func (h *Host) Holds() int {
	return h.count(func(r *keyRange) bool { return r.assign.Holder == h.cfg.Incarnation })
}

// Backs returns the number of ranges that this daemon is the backup of.
func (h *Host) Backs() int {
	return h.count(func(r *keyRange) bool { return r.assign.Backup == h.cfg.Incarnation })
}

// Ready returns the number of ranges that this daemon holds and can run new keys of.
func (h *Host) Ready() int { return h.count(h.canStart) }

// InProgress returns the number of calls that were sent and have no outcome, and of outcomes that the present holder
// has not confirmed.
func (h *Host) InProgress() int { return len(h.running) + len(h.late) }

// Keys returns the number of keys in the tables of this daemon.
func (h *Host) Keys() int {
	n := 0
	for _, r := range h.ranges {
		n += len(r.table)
	}
	return n
}

func (h *Host) count(match func(*keyRange) bool) int {
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

// at returns the range of a message, or nil when the peer named one that does not exist.
func (h *Host) at(index int) *keyRange {
	if index < 0 || index >= len(h.ranges) {
		return nil
	}
	return h.ranges[index]
}

func (h *Host) setPeers(now time.Time, m Peers) {
	h.known = true
	clear(h.members)
	for _, p := range m.Members {
		h.members[p.Incarnation] = p
	}
	for _, r := range h.ranges {
		if r.assign.Holder == h.cfg.Incarnation && h.lost(r.assign.Backup) {
			h.abandonWaiting(r)
		}
	}
	h.govern(now)
}

// lost reports whether an incarnation is suspected or gone; nothing is lost before the list of members has arrived.
func (h *Host) lost(incarnation string) bool {
	if !h.known || incarnation == "" || incarnation == h.cfg.Incarnation {
		return false
	}
	p, listed := h.members[incarnation]
	return !listed || p.Lost
}

func (h *Host) gone(incarnation string) bool {
	_, listed := h.members[incarnation]
	return h.known && !listed
}

func (h *Host) tick(now time.Time) {
	for _, r := range h.ranges {
		r.expire(now, h.cfg.KeyLifetime)
		h.timeoutWaiting(now, r)
		h.resend(r)
	}
	h.resendLate(now)
	h.govern(now)
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

// busy reports whether something waits for an answer or a delay.
func (h *Host) busy() bool {
	return len(h.late) > 0 || h.count(func(r *keyRange) bool {
		return len(r.pending) > 0 || len(r.unsent) > 0 || r.cause != noCause
	}) > 0
}
