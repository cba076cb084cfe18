package idemp

import "time"

// assign applies an accepted record of the log.
func (h *Host) assign(now time.Time, a Assignment) {
	r := h.at(a.Range)
	if r == nil || a.Epoch <= r.assign.Epoch {
		return
	}
	h.clock.Passed(now, a.BlindSince)
	self, old := h.cfg.Incarnation, r.assign
	held := old.Holder == self && r.valid
	backed := old.Backup == self && r.complete
	h.abandonWaiting(r)
	pending := r.pending
	r.assign = a
	r.ready, r.deposed, r.complete = false, false, false
	r.unsent, r.pending, r.acked, r.applied, r.chunks = nil, nil, 0, 0, make(map[int]bool)
	r.cause, r.proposeAt = noCause, time.Time{}
	fresh := a.BlindEpoch == a.Epoch || a.first(old)
	r.valid = a.Holder == self && (fresh || (held || backed) && a.follows(old))
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

// follows reports whether no epoch lies between two assignments; another daemon may have run keys in a missed one. Where
// the base is not known, a holder that had the table still has it unless a blind reset lies between: apart from resets,
// a daemon becomes or stays holder only by its own proposal or after it confirmed the table in the epoch before.
func (a Assignment) follows(old Assignment) bool {
	return a.Base == old.Epoch || a.Base < 0 && a.BlindEpoch <= old.Epoch
}

// first reports whether a range had no keys before the assignment. For a daemon that knew of none the reason given at
// follows holds too: it is holder by its own proposal of a first holder, or by a blind reset.
func (a Assignment) first(old Assignment) bool {
	return a.Base == 0 || a.Base < 0 && old.Epoch == 0 && a.BlindEpoch == 0
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
