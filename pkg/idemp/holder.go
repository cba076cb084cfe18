package idemp

import (
	"time"

	"github.com/fireflycleat/fireflycleat/pkg/codes"
)

// update changes the holder's table and sends the change to the backup. A released key stays in the table until the backup
// has acknowledged the release or a new start replaces it.
func (h *Host) update(r *keyRange, e Entry) {
	if r.assignment.Backup == "" {
		r.apply(e)
		return
	}
	r.put(e)
	r.unackedChanges = append(r.unackedChanges, e)
	if r.backupSynced && !r.superseded {
		h.sendChanges(r, max(0, len(r.unackedChanges)-repeatedEntries))
	}
}

func (h *Host) sendChanges(r *keyRange, from int) {
	// The entries are copied because the receiver keeps the slice while unackedChanges still changes.
	entries := append([]Entry(nil), batch(r.unackedChanges[from:])...)
	h.send(r.assignment.Backup, Replicate{
		From: h.cfg.Incarnation, Range: r.index, Epoch: r.assignment.Epoch,
		First: r.lastAcked + uint64(from) + 1, Entries: entries,
	})
}

// resend resends the chunks and changes that the backup has not acknowledged.
func (h *Host) resend(r *keyRange) {
	if r.assignment.Holder != h.cfg.Incarnation || r.superseded || h.lost(r.assignment.Backup) {
		return
	}
	for _, t := range r.unackedChunks {
		h.send(r.assignment.Backup, t)
	}
	if r.backupSynced && len(r.unackedChanges) > 0 {
		h.sendChanges(r, 0)
	}
}

func (h *Host) replicateAck(m ReplicateAck) {
	r := h.rangeAt(m.Range)
	if r == nil || !h.fromBackup(r, m.From, m.Epoch) || !r.backupSynced {
		return
	}
	for len(r.unackedChanges) > 0 && r.lastAcked < m.Seq {
		e := r.unackedChanges[0]
		r.unackedChanges = r.unackedChanges[1:]
		r.lastAcked++
		switch e.State {
		case Started:
			if c, ok := r.removeWaiting(e.Attempt); ok {
				h.run(r, c)
			}
		case Released:
			if old := r.table[e.Key]; old.Attempt == e.Attempt && old.State == Released {
				delete(r.table, e.Key)
			}
		case Ran, Lost:
		}
	}
}

func (h *Host) fromBackup(r *keyRange, from string, epoch int64) bool {
	return r.assignment.Epoch == epoch && r.assignment.Holder == h.cfg.Incarnation && r.assignment.Backup == from
}

func (r *keyRange) removeWaiting(a Attempt) (call, bool) {
	for i, w := range r.waiting {
		if w.entry.Attempt == a {
			r.waiting = append(r.waiting[:i:i], r.waiting[i+1:]...)
			return w.call, true
		}
	}
	return call{}, false
}

// replicateRefused stops the holder of an old epoch from starting keys; the newer assignment arrives through the log.
func (h *Host) replicateRefused(_ time.Time, m ReplicateRefused) {
	r := h.rangeAt(m.Range)
	if r == nil || !h.fromBackup(r, m.From, m.Epoch) || m.Newer <= m.Epoch {
		return
	}
	r.superseded = true
	h.refuseWaiting(r)
}

// refuseWaiting refuses the calls whose start the backup has not acknowledged. They are never sent to a service.
func (h *Host) refuseWaiting(r *keyRange) {
	for _, w := range r.waiting {
		h.refuseWaitingCall(r, w)
	}
	r.waiting = nil
}

func (h *Host) expireWaiting(now time.Time, r *keyRange) {
	kept := r.waiting[:0:0]
	for _, w := range r.waiting {
		if now.Before(w.deadline) {
			kept = append(kept, w)
			continue
		}
		h.refuseWaitingCall(r, w)
	}
	r.waiting = kept
}

func (h *Host) refuseWaitingCall(r *keyRange, w waitingCall) {
	h.refuse(w.id, rangeMovingError("backup of the range did not acknowledge the start of the key"))
	e := w.entry
	e.State = Released
	h.update(r, e)
}

// outcome answers the caller of a finished call and records the result, or sends it to the current holder of the range.
func (h *Host) outcome(now time.Time, o Outcome) {
	c, ok := h.running[o.Attempt]
	if !ok {
		return
	}
	delete(h.running, o.Attempt)
	e := c.entry
	switch {
	case o.Result == codes.Ran:
		e.State, e.Stored = Ran, h.limitBody(o.Stored)
		h.emit(Answer{ID: c.id, Stored: o.Stored})
	case o.Result == codes.NotRun && o.Proof != NoProof || h.faults.releaseWithoutProof:
		e.State = Released
		h.refuse(c.id, codes.New(codes.UpstreamRefused, "").WithRetryAfter(retryMoving))
	default:
		e.State = Lost
		h.refuse(c.id, codes.New(codes.UpstreamUnknown, ""))
	}
	r := h.ranges[h.RangeOf(e.Key)]
	if r.assignment.Holder == h.cfg.Incarnation {
		h.recordOutcome(r, e)
		return
	}
	h.addLate(now, r, e)
}

func (h *Host) limitBody(a StoredAnswer) StoredAnswer {
	if len(a.Body) > h.cfg.BodyLimit {
		a.Body, a.BodyOmitted = nil, true
	}
	return a
}

// recordOutcome records the outcome of an attempt if the table still has that attempt without one. A key that was reported
// to callers as lost may still get its answer, but is never released.
func (h *Host) recordOutcome(r *keyRange, e Entry) {
	old, ok := r.table[e.Key]
	if !r.tableValid || !ok || old.Attempt != e.Attempt {
		return
	}
	if old.State == Started || old.State == Lost && e.State == Ran {
		h.update(r, e)
	}
}

// addLate stores an outcome until the current holder of the range acknowledges it, and sends it.
func (h *Host) addLate(now time.Time, r *keyRange, e Entry) {
	h.late = append(h.late, lateOutcome{keyRange: r.index, entry: e, since: now})
	h.sendLate(r, e)
}

func (h *Host) sendLate(r *keyRange, e Entry) {
	h.send(r.assignment.Holder, Late{From: h.cfg.Incarnation, Range: r.index, Entry: e})
}

func (h *Host) resendLate(now time.Time) {
	kept := h.late[:0:0]
	for _, l := range h.late {
		r := h.ranges[l.keyRange]
		switch {
		case now.Sub(l.since) >= lateLifetime:
		case r.assignment.Holder == h.cfg.Incarnation:
			h.recordOutcome(r, l.entry)
		default:
			kept = append(kept, l)
			h.sendLate(r, l.entry)
		}
	}
	h.late = kept
}

func (h *Host) lateOutcomeReceived(m Late) {
	r := h.rangeAt(m.Range)
	if r == nil || r.assignment.Holder != h.cfg.Incarnation || !r.tableValid || !validEntries([]Entry{m.Entry}, m.Range, h.cfg.Ranges) {
		return
	}
	h.recordOutcome(r, m.Entry)
	h.send(m.From, LateAck{From: h.cfg.Incarnation, Attempt: m.Entry.Attempt})
}

func (h *Host) lateAck(m LateAck) {
	for i, l := range h.late {
		if l.entry.Attempt == m.Attempt {
			h.late = append(h.late[:i:i], h.late[i+1:]...)
			return
		}
	}
}
