package idemp

import (
	"time"

	"github.com/fireflycleat/fireflycleat/pkg/codes"
)

const (
	retryMoving     = 2 * time.Second
	retryInProgress = time.Second
	retryFull       = time.Minute
)

func moving(detail string) *codes.Error {
	return codes.New(codes.KeyRangeMoving, detail).WithRetryAfter(retryMoving)
}

func (h *Host) begin(now time.Time, b Begin) {
	if err := checkKey(b.Key); err != nil {
		h.refuse(b.ID, err)
		return
	}
	r := h.ranges[h.RangeOf(b.Key)]
	if h.redirect(r, b) {
		return
	}
	r.expire(now, h.cfg.KeyLifetime)
	// A released key starts again at once: the new start follows the release in the numbered changes, so the backup has
	// applied both when it acknowledges the start.
	if e, ok := r.table[b.Key]; ok && e.State != Released {
		h.repeat(now, r, e, b)
		return
	}
	if err := h.refusal(now, r, b.Key); err != nil {
		h.refuse(b.ID, err)
		return
	}
	h.start(now, r, b)
}

func checkKey(key string) *codes.Error {
	switch {
	case key == "":
		return codes.New(codes.KeyMissing, "")
	case len(key) > MaxKeyLength:
		return codes.Newf(codes.BadRequest, "key is longer than %d bytes", MaxKeyLength)
	}
	return nil
}

// redirect answers or forwards a Begin that this daemon cannot decide.
func (h *Host) redirect(r *keyRange, b Begin) bool {
	a := r.assign
	switch {
	case a.Epoch == 0:
		h.refuse(b.ID, moving("range has no holder yet"))
	case a.Holder != h.cfg.Incarnation && h.lost(a.Holder):
		h.refuse(b.ID, moving("holder of the range is lost"))
	case a.Holder != h.cfg.Incarnation && b.Forwarded:
		h.refuse(b.ID, moving("range moved while the request was forwarded"))
	case a.Holder != h.cfg.Incarnation:
		h.emit(Forward{ID: b.ID, To: a.Holder})
	case !r.valid:
		h.refuse(b.ID, moving("holder has no table"))
	default:
		return false
	}
	return true
}

// refusal returns why a key that is not in the table cannot be started, or nil.
func (h *Host) refusal(now time.Time, r *keyRange, key string) *codes.Error {
	epoch, isMinted := Minted(key, h.cfg.Ranges)
	switch {
	case isMinted && epoch > r.assign.Epoch:
		return moving("key is newer than this holder")
	case h.blind(now, r.assign) && !(isMinted && epoch >= r.assign.BlindEpoch):
		return codes.New(codes.KeyOutcomeLost, "keys from before a restart are unknown; use a key from POST /v1/keys").
			WithRetryAfter(r.assign.BlindSince.Add(h.cfg.KeyLifetime + blindSlack).Sub(h.clock.Earliest(now)))
	case !h.canStart(r):
		return moving("backup of the range is not ready")
	case len(r.table) >= h.cfg.MaxKeys:
		return codes.New(codes.OverCapacity, "key range is full").WithRetryAfter(retryFull)
	}
	return nil
}

// blind compares times of the log only; this daemon's clock may be hours ahead of the log's.
func (h *Host) blind(now time.Time, a Assignment) bool {
	if h.faults.ownClock {
		return a.BlindEpoch > 0 && now.Before(a.BlindSince.Add(h.cfg.KeyLifetime+blindSlack))
	}
	return a.BlindEpoch > 0 && h.clock.Earliest(now).Before(a.BlindSince.Add(h.cfg.KeyLifetime+blindSlack)) && !h.faults.ignoreBlind
}

func (h *Host) canStart(r *keyRange) bool {
	return r.assign.Holder == h.cfg.Incarnation && r.valid && r.ready && !r.deposed && !h.lost(r.assign.Backup)
}

// repeat answers a Begin whose key is known.
func (h *Host) repeat(now time.Time, r *keyRange, e Entry, b Begin) {
	if e.Digest != b.Digest {
		h.refuse(b.ID, codes.New(codes.KeyConflict, ""))
		return
	}
	if e.State == Started && h.abandoned(now, e) {
		// The mark keeps a later outcome from releasing a key whose caller was told that it is never run again.
		e.State = Lost
		h.update(r, e)
	}
	switch e.State {
	case Ran:
		if e.Stored.BodyOmitted {
			// An empty body under the stored status would look like a short success.
			h.refuse(b.ID, codes.Newf(codes.KeyOutcomeLost, "call ran with status %d; its answer was too long to be kept",
				e.Stored.Status).WithOutcome(codes.Ran))
			return
		}
		h.emit(Answer{ID: b.ID, Stored: e.Stored, Repeated: true})
	case Lost:
		h.refuse(b.ID, codes.New(codes.KeyOutcomeLost, ""))
	default:
		h.refuse(b.ID, codes.New(codes.KeyInProgress, "").WithRetryAfter(retryInProgress))
	}
}

// abandoned reports whether a started key can expect no outcome.
func (h *Host) abandoned(now time.Time, e Entry) bool {
	if e.Attempt.Incarnation == h.cfg.Incarnation {
		return false
	}
	return h.lost(e.Attempt.Incarnation) || now.Sub(e.StartedAt) >= inProgressLimit
}

// start records the attempt and runs it once the backup knows of it, or at once where the assignment names no backup.
func (h *Host) start(now time.Time, r *keyRange, b Begin) {
	h.number++
	e := Entry{
		Key: b.Key, State: Started, Digest: b.Digest, StartedAt: now,
		Attempt: Attempt{Incarnation: h.cfg.Incarnation, Number: h.number},
	}
	c := call{id: b.ID, entry: e}
	if r.assign.Backup == "" || h.faults.skipBackup {
		h.update(r, e)
		h.run(r, c)
		return
	}
	r.waiting = append(r.waiting, waitingCall{call: c, until: now.Add(ackTimeout)})
	h.update(r, e)
}

func (h *Host) run(r *keyRange, c call) {
	h.running[c.entry.Attempt] = c
	h.emit(Run{ID: c.id, Range: r.index, Key: c.entry.Key, Attempt: c.entry.Attempt})
}
