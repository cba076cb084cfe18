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

func rangeMovingError(detail string) *codes.Error {
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
	// A released key may start again at once: the new start follows the release in the numbered changes, so the backup has
	// applied both when it acknowledges the start.
	if e, ok := r.table[b.Key]; ok && e.State != Released {
		h.answerKnown(now, r, e, b)
		return
	}
	if err := h.startError(now, r, b.Key); err != nil {
		h.refuse(b.ID, err)
		return
	}
	h.startAttempt(now, r, b)
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

// redirect refuses or forwards a Begin that this daemon cannot handle, and reports whether it did.
func (h *Host) redirect(r *keyRange, b Begin) bool {
	a := r.assignment
	switch {
	case a.Epoch == 0:
		h.refuse(b.ID, rangeMovingError("range has no holder yet"))
	case a.Holder != h.cfg.Incarnation && h.lost(a.Holder):
		h.refuse(b.ID, rangeMovingError("holder of the range is unreachable"))
	case a.Holder != h.cfg.Incarnation && b.Forwarded:
		h.refuse(b.ID, rangeMovingError("range moved while the request was forwarded"))
	case a.Holder != h.cfg.Incarnation:
		h.emit(Forward{ID: b.ID, To: a.Holder})
	case !r.tableValid:
		h.refuse(b.ID, rangeMovingError("holder has no valid table for the range"))
	default:
		return false
	}
	return true
}

// startError returns why a key that is not in the table cannot be started, or nil if it can.
func (h *Host) startError(now time.Time, r *keyRange, key string) *codes.Error {
	epoch, isMinted := MintedEpoch(key, h.cfg.Ranges)
	switch {
	case isMinted && epoch > r.assignment.Epoch:
		return rangeMovingError("key was minted in a later epoch than the holder's")
	case h.stateLost(now, r.assignment) && !(isMinted && epoch >= r.assignment.StateLostEpoch):
		return codes.New(codes.KeyOutcomeLost, "state of earlier keys was lost; use a key from POST /v1/keys").
			WithRetryAfter(r.assignment.StateLostSince.Add(h.cfg.KeyLifetime + resetMargin).Sub(h.logClock.Earliest(now)))
	case !h.canStart(r):
		return rangeMovingError("backup of the range is not ready")
	case len(r.table) >= h.cfg.MaxKeys:
		return codes.New(codes.OverCapacity, "key range is full").WithRetryAfter(retryFull)
	}
	return nil
}

// stateLost reports whether keys from before the last reset may not have expired yet. It compares only times of the log's
// clock, because this daemon's clock may be hours ahead of it.
func (h *Host) stateLost(now time.Time, a Assignment) bool {
	if h.faults.useLocalClock {
		return a.StateLostEpoch > 0 && now.Before(a.StateLostSince.Add(h.cfg.KeyLifetime+resetMargin))
	}
	return a.StateLostEpoch > 0 && h.logClock.Earliest(now).Before(a.StateLostSince.Add(h.cfg.KeyLifetime+resetMargin)) && !h.faults.ignoreStateLoss
}

// canStart reports whether this daemon is the holder of the range and can start new keys.
func (h *Host) canStart(r *keyRange) bool {
	return r.assignment.Holder == h.cfg.Incarnation && r.tableValid && r.backupSynced && !r.superseded && !h.lost(r.assignment.Backup)
}

// answerKnown answers a Begin whose key is in the table.
func (h *Host) answerKnown(now time.Time, r *keyRange, e Entry, b Begin) {
	if e.Digest != b.Digest {
		h.refuse(b.ID, codes.New(codes.KeyConflict, ""))
		return
	}
	if e.State == Started && h.outcomeUnavailable(now, e) {
		// Lost keeps a later outcome from releasing the key, because the answer to this caller says that the key is never run
		// again.
		e.State = Lost
		h.update(r, e)
	}
	switch e.State {
	case Ran:
		if e.Stored.BodyOmitted {
			// The stored status with an empty body would look like a complete answer.
			h.refuse(b.ID, codes.Newf(codes.KeyOutcomeLost, "call ran with status %d; its answer exceeded the size limit and was not stored",
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

// outcomeUnavailable reports whether no outcome can be expected any more for a started key of another daemon.
func (h *Host) outcomeUnavailable(now time.Time, e Entry) bool {
	if e.Attempt.Incarnation == h.cfg.Incarnation {
		return false
	}
	return h.lost(e.Attempt.Incarnation) || now.Sub(e.StartedAt) >= inProgressLimit
}

// startAttempt records a new attempt and runs it once the backup has acknowledged it, or at once if there is no backup.
func (h *Host) startAttempt(now time.Time, r *keyRange, b Begin) {
	h.lastAttempt++
	e := Entry{
		Key: b.Key, State: Started, Digest: b.Digest, StartedAt: now,
		Attempt: Attempt{Incarnation: h.cfg.Incarnation, Number: h.lastAttempt},
	}
	c := call{id: b.ID, entry: e}
	if r.assignment.Backup == "" || h.faults.skipBackup {
		h.update(r, e)
		h.run(r, c)
		return
	}
	r.waiting = append(r.waiting, waitingCall{call: c, deadline: now.Add(ackTimeout)})
	h.update(r, e)
}

func (h *Host) run(r *keyRange, c call) {
	h.running[c.entry.Attempt] = c
	h.emit(Run{ID: c.id, Range: r.index, Key: c.entry.Key, Attempt: c.entry.Attempt})
}
