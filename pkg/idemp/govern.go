package idemp

import "time"

// The causes of a proposal, in the order in which a daemon considers them.
const (
	noCause     cause = iota
	firstHolder       // The range was never assigned.
	newBackup         // The holder's backup is lost or stops, or the holder runs alone and need not.
	handOver          // The holder stops.
	takeOver          // The holder is lost and this backup has the table.
	goneReset         // Nobody has the table, and the daemons that had it are proven gone.
	lostReset         // Nobody has the table as far as is known here, but one that had it is only suspected.
)

const (
	proposeInterval = time.Second
	// Daemons propose in the order of their rank for a range, so that usually only one of them does.
	rankDelay = 2 * time.Second
	// A blind reset costs callers their own keys for a day, so the daemons that are merely out of contact with holder and
	// backup wait longer than data centres usually are cut from each other (minutes).
	goneDelay = 2 * time.Second
	lostDelay = 5 * time.Minute
)

type cause int

// String returns the reason that a proposal gives.
func (c cause) String() string {
	return [...]string{
		"none", "first holder", "new backup", "hand-over", "take-over", "table is lost", "table is out of contact",
	}[c]
}

// govern proposes the assignments that are due.
func (h *Host) govern(now time.Time) {
	if !h.known {
		return
	}
	for _, r := range h.ranges {
		c := h.causeFor(r)
		if c != r.cause {
			r.cause, r.since, r.proposeAt = c, now, now.Add(h.delay(r, c))
		}
		if c == noCause || now.Before(r.proposeAt) {
			continue
		}
		if p, ok := h.proposal(r, c); ok {
			r.proposeAt = now.Add(proposeInterval)
			h.emit(p)
		}
	}
}

func (h *Host) causeFor(r *keyRange) cause {
	a, self := r.assign, h.cfg.Incarnation
	switch {
	case a.Epoch == 0 && !h.draining:
		return firstHolder
	case a.Epoch == 0:
		return noCause
	case a.Holder == self:
		return h.holderCause(r)
	case !h.lost(a.Holder):
		return noCause
	case a.Backup == self && r.complete:
		return takeOver
	case a.Backup != self && a.Backup != "" && !h.lost(a.Backup), h.draining:
		return noCause
	case h.gone(a.Holder) && (a.Backup == self || a.Backup == "" || h.gone(a.Backup)):
		return goneReset
	case !h.majority():
		return noCause
	}
	return lostReset
}

// majority reports whether this daemon is in contact with most members. Without this condition the smaller part of a cut
// network resets ranges that the other part serves.
func (h *Host) majority() bool {
	n := 0
	for _, m := range h.members {
		if !m.Lost {
			n++
		}
	}
	return 2*n > len(h.members)
}

func (h *Host) holderCause(r *keyRange) cause {
	backup := r.assign.Backup
	poor := backup == "" || h.lost(backup) || h.members[backup].Draining
	switch {
	case !r.valid:
		return goneReset
	case poor && (h.candidate(r) != "" || backup != "" && h.solitary(h.cfg.Incarnation)):
		return newBackup
	case h.draining && !poor && r.ready:
		return handOver
	}
	return noCause
}

func (h *Host) delay(r *keyRange, c cause) time.Duration {
	switch c {
	case firstHolder:
		return h.rank(r) * rankDelay
	case goneReset:
		return goneDelay + h.rank(r)*rankDelay
	case lostReset:
		return lostDelay + h.rank(r)*rankDelay
	case noCause, newBackup, handOver, takeOver:
	}
	return 0
}

// proposal returns the record for a cause. An empty backup lets the holder run alone, so it is proposed only where the
// log knows no other member that could be the backup.
func (h *Host) proposal(r *keyRange, c cause) (Propose, bool) {
	p := Propose{
		Range: r.index, Base: r.assign.Epoch, Holder: h.cfg.Incarnation, Backup: h.candidate(r), Reason: c.String(),
	}
	switch c {
	case handOver:
		p.Holder = r.assign.Backup
	case goneReset, lostReset:
		p.Blind = true
	case noCause, firstHolder, newBackup, takeOver:
	}
	return p, p.Backup != "" || h.solitary(p.Holder)
}

// solitary reports whether the log knows no member other than this daemon and the holder.
func (h *Host) solitary(holder string) bool {
	for _, m := range h.members {
		if m.Incarnation != h.cfg.Incarnation && m.Incarnation != holder {
			return false
		}
	}
	return true
}

// candidate returns the best backup for a range among the members that this daemon is in contact with.
func (h *Host) candidate(r *keyRange) string {
	best, bestScore := "", uint64(0)
	for _, m := range h.members {
		if m.Lost || m.Draining || m.Incarnation == h.cfg.Incarnation {
			continue
		}
		// A holder that hands over keeps its present backup as holder, which needs another backup.
		if h.draining && m.Incarnation == r.assign.Backup {
			continue
		}
		if s := score(r.index, m.Incarnation); best == "" || s > bestScore {
			best, bestScore = m.Incarnation, s
		}
	}
	return best
}

// rank counts the members in contact that come before this daemon for a range.
func (h *Host) rank(r *keyRange) time.Duration {
	n, own := time.Duration(0), score(r.index, h.cfg.Incarnation)
	for _, m := range h.members {
		if !m.Lost && !m.Draining && m.Incarnation != h.cfg.Incarnation && score(r.index, m.Incarnation) > own {
			n++
		}
	}
	return n
}
