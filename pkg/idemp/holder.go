package idemp

import (
	"time"

	"github.com/fireflycleat/fireflycleat/pkg/codes"
)

// update changes the holder's table and tells the backup. A released key stays in the table until the backup knows of
// the release or of a new start after it.
func (h *Host) update(r *keyRange, e Entry) {
	if r.assign.Backup == "" {
		r.apply(e)
		return
	}
	r.put(e)
	r.pending = append(r.pending, e)
	if r.ready && !r.deposed {
		h.sendPending(r, max(0, len(r.pending)-repeatedEntries))
	}
}

func (h *Host) sendPending(r *keyRange, from int) {
	// The receiver keeps the slice, while pending goes on to change.
	entries := append([]Entry(nil), batch(r.pending[from:])...)
	h.send(r.assign.Backup, Replicate{
		From: h.cfg.Incarnation, Range: r.index, Epoch: r.assign.Epoch,
		First: r.acked + uint64(from) + 1, Entries: entries,
	})
}

// resend repeats what the backup has not confirmed.
func (h *Host) resend(r *keyRange) {
	if r.assign.Holder != h.cfg.Incarnation || r.deposed || h.lost(r.assign.Backup) {
		return
	}
	for _, t := range r.unsent {
		h.send(r.assign.Backup, t)
	}
	if r.ready && len(r.pending) > 0 {
		h.sendPending(r, 0)
	}
}

func (h *Host) replicateAck(m ReplicateAck) {
	r := h.at(m.Range)
	if r == nil || !h.fromBackup(r, m.From, m.Epoch) || !r.ready {
		return
	}
	for len(r.pending) > 0 && r.acked < m.Seq {
		e := r.pending[0]
		r.pending = r.pending[1:]
		r.acked++
		switch e.State {
		case Started:
			if c, ok := r.takeWaiting(e.Attempt); ok {
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
	return r.assign.Epoch == epoch && r.assign.Holder == h.cfg.Incarnation && r.assign.Backup == from
}

func (r *keyRange) takeWaiting(a Attempt) (call, bool) {
	for i, w := range r.waiting {
		if w.entry.Attempt == a {
			r.waiting = append(r.waiting[:i:i], r.waiting[i+1:]...)
			return w.call, true
		}
	}
	return call{}, false
}

// replicateRefused stops the holder of an old epoch; the assignment that ended it follows from the log.
func (h *Host) replicateRefused(_ time.Time, m ReplicateRefused) {
	r := h.at(m.Range)
	if r == nil || !h.fromBackup(r, m.From, m.Epoch) || m.Newer <= m.Epoch {
		return
	}
	r.deposed = true
	h.abandonWaiting(r)
}

// abandonWaiting refuses the calls that wait for the backup. They were not sent to a service and never will be.
func (h *Host) abandonWaiting(r *keyRange) {
	for _, w := range r.waiting {
		h.abandon(r, w)
	}
	r.waiting = nil
}

func (h *Host) timeoutWaiting(now time.Time, r *keyRange) {
	kept := r.waiting[:0:0]
	for _, w := range r.waiting {
		if now.Before(w.until) {
			kept = append(kept, w)
			continue
		}
		h.abandon(r, w)
	}
	r.waiting = kept
}

func (h *Host) abandon(r *keyRange, w waitingCall) {
	h.refuse(w.id, moving("backup of the range did not answer"))
	e := w.entry
	e.State = Released
	h.update(r, e)
}

// outcome answers the caller of a finished call and records the result.
func (h *Host) outcome(now time.Time, o Outcome) {
	c, ok := h.running[o.Attempt]
	if !ok {
		return
	}
	delete(h.running, o.Attempt)
	e := c.entry
	switch {
	case o.Result == codes.Ran:
		e.State, e.Stored = Ran, h.trim(o.Stored)
		h.emit(Answer{ID: c.id, Stored: o.Stored})
	case o.Result == codes.NotRun && o.Proof != NoProof || h.faults.releaseAlways:
		e.State = Released
		h.refuse(c.id, codes.New(codes.UpstreamRefused, "").WithRetryAfter(retryMoving))
	default:
		e.State = Lost
		h.refuse(c.id, codes.New(codes.UpstreamUnknown, ""))
	}
	r := h.ranges[h.RangeOf(e.Key)]
	if r.assign.Holder == h.cfg.Incarnation {
		h.settle(r, e)
		return
	}
	h.addLate(now, r, e)
}

func (h *Host) trim(s Stored) Stored {
	if len(s.Body) > h.cfg.BodyLimit {
		s.Body, s.BodyOmitted = nil, true
	}
	return s
}

// settle records how an attempt ended, if the table still has that attempt without an outcome. A key that callers were
// told is lost may still get its answer, but is never released.
func (h *Host) settle(r *keyRange, e Entry) {
	old, ok := r.table[e.Key]
	if !r.valid || !ok || old.Attempt != e.Attempt {
		return
	}
	if old.State == Started || old.State == Lost && e.State == Ran {
		h.update(r, e)
	}
}

// addLate keeps an outcome for the present holder of the range.
func (h *Host) addLate(now time.Time, r *keyRange, e Entry) {
	h.late = append(h.late, lateOutcome{keyRange: r.index, entry: e, since: now})
	h.sendLate(r, e)
}

func (h *Host) sendLate(r *keyRange, e Entry) {
	h.send(r.assign.Holder, Late{From: h.cfg.Incarnation, Range: r.index, Entry: e})
}

func (h *Host) resendLate(now time.Time) {
	kept := h.late[:0:0]
	for _, l := range h.late {
		r := h.ranges[l.keyRange]
		switch {
		case now.Sub(l.since) >= lateLifetime:
		case r.assign.Holder == h.cfg.Incarnation:
			h.settle(r, l.entry)
		default:
			kept = append(kept, l)
			h.sendLate(r, l.entry)
		}
	}
	h.late = kept
}

func (h *Host) lateArrived(m Late) {
	r := h.at(m.Range)
	if r == nil || r.assign.Holder != h.cfg.Incarnation || !r.valid || !acceptable([]Entry{m.Entry}, m.Range, h.cfg.Ranges) {
		return
	}
	h.settle(r, m.Entry)
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
