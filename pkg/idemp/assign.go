package idemp

import "time"

// applyAssignment applies an accepted keyRange record; records of epochs that are not newer are ignored.
func (h *Host) applyAssignment(now time.Time, a Assignment) {
	r := h.rangeAt(a.Range)
	if r == nil || a.Epoch <= r.assignment.Epoch {
		return
	}
	h.logClock.ObserveLowerBound(now, a.StateLostSince)
	self, old := h.cfg.Incarnation, r.assignment
	wasHolder := old.Holder == self && r.tableValid
	wasBackup := old.Backup == self && r.transferComplete
	h.refuseWaiting(r)
	unacked := r.unackedChanges
	r.assignment = a
	r.backupSynced, r.superseded, r.transferComplete = false, false, false
	r.unackedChunks, r.unackedChanges, r.lastAcked, r.lastApplied, r.receivedChunks = nil, nil, 0, 0, make(map[int]bool)
	r.cause, r.proposeAt = noCause, time.Time{}
	noEarlierKeys := a.StateLostEpoch == a.Epoch || a.isFirst(old)
	r.tableValid = a.Holder == self && (noEarlierKeys || (wasHolder || wasBackup) && a.follows(old))
	if !r.tableValid || noEarlierKeys {
		r.clearTable()
	}
	switch {
	case a.Holder != self:
		h.forwardOutcomes(now, r, unacked)
	case r.tableValid:
		r.dropReleased()
		h.startEpoch(r)
	}
	h.proposeDue(now)
}

// follows reports whether no epoch lies between two assignments: another daemon may have run keys in a missed epoch. If the
// base is unknown, a daemon that had the table still has a valid one unless a reset lies in between: apart from resets, a
// daemon becomes or stays holder only by its own proposal or after it acknowledged the table in the previous epoch.
func (a Assignment) follows(old Assignment) bool {
	return a.Base == old.Epoch || a.Base < 0 && a.StateLostEpoch <= old.Epoch
}

// isFirst reports whether a range had no keys before the assignment. If the base is unknown and this daemon has received no
// earlier assignment, it can be holder only by its own proposal of a first holder or by a reset, for the reason given at
// follows.
func (a Assignment) isFirst(old Assignment) bool {
	return a.Base == 0 || a.Base < 0 && old.Epoch == 0 && a.StateLostEpoch == 0
}

// startEpoch starts an epoch as holder. Without a backup, keys can start at once, otherwise once the backup has the whole table.
func (h *Host) startEpoch(r *keyRange) {
	if r.assignment.Backup == "" {
		r.backupSynced = true
		return
	}
	r.unackedChunks = r.tableChunks(h.cfg.Incarnation)
	for _, t := range r.unackedChunks {
		h.send(r.assignment.Backup, t)
	}
}

// forwardOutcomes sends the new holder those outcomes that the previous backup had not acknowledged.
func (h *Host) forwardOutcomes(now time.Time, r *keyRange, unacked []Entry) {
	for _, e := range unacked {
		if e.State != Started && e.Attempt.Incarnation == h.cfg.Incarnation {
			h.addLate(now, r, e)
		}
	}
}

// dropReleased deletes keys that are proven not to have run, before the table is sent to the new backup.
func (r *keyRange) dropReleased() {
	for key, e := range r.table {
		if e.State == Released {
			delete(r.table, key)
		}
	}
}
