package idemp

import "time"

// assign applies an accepted record of the log.
func (h *Host) assign(now time.Time, a Assignment) {
	r := h.at(a.Range)
	if r == nil || a.Epoch <= r.assign.Epoch {
		return
	}
	self, old := h.cfg.Incarnation, r.assign
	held := old.Holder == self && r.valid
	backed := old.Backup == self && r.complete
	h.abandonWaiting(r)
	pending := r.pending
	r.assign = a
	r.ready, r.deposed, r.complete = false, false, false
	r.unsent, r.pending, r.acked, r.applied, r.chunks = nil, nil, 0, 0, make(map[int]bool)
	r.cause, r.proposeAt = noCause, time.Time{}
	// A table is whole only if no epoch was missed in between: another daemon may have run keys in a missed one.
	follows := a.Base == old.Epoch && (held || backed)
	fresh := a.Base == 0 || a.BlindEpoch == a.Epoch
	r.valid = a.Holder == self && (follows || fresh)
	if !r.valid || fresh {
		r.reset()
	}
	switch {
	case a.Holder != self:
		h.passOn(now, r, pending)
	case r.valid:
		r.dropReleased()
		h.open(r)
	}
	h.govern(now)
}

// open starts an epoch as holder: alone at once, otherwise after the backup has the table.
func (h *Host) open(r *keyRange) {
	if r.assign.Backup == "" {
		r.ready = true
		return
	}
	r.unsent = r.snapshot(h.cfg.Incarnation)
	for _, t := range r.unsent {
		h.send(r.assign.Backup, t)
	}
}

// passOn gives the outcomes that the backup had not confirmed to the new holder.
func (h *Host) passOn(now time.Time, r *keyRange, pending []Entry) {
	for _, e := range pending {
		if e.State != Started && e.Attempt.Incarnation == h.cfg.Incarnation {
			h.addLate(now, r, e)
		}
	}
}

// dropReleased deletes keys that are proven not to have run; the new backup gets the table without them.
func (r *keyRange) dropReleased() {
	for key, e := range r.table {
		if e.State == Released {
			delete(r.table, key)
		}
	}
}
