package idemp

import "time"

// The causes of a proposal.
const (
	noCause            cause = iota
	firstHolder              // The range was never assigned.
	newBackup                // The backup is lost or draining, or there is none although a member could be the backup.
	handOver                 // The holder is draining.
	takeOver                 // The holder is lost, and this daemon, the backup, has the whole table.
	provenLossReset          // No daemon has a valid table: those that had it are proven gone, or the holder missed an epoch.
	suspectedLossReset       // No reachable daemon has the table, but one that had it is only suspected to be gone.
)

const (
	proposeInterval = time.Second
	provenLossDelay = 2 * time.Second

	// rankDelay is the delay of a proposal per rank of the daemon for the range, so that usually only one daemon proposes.
	rankDelay = 2 * time.Second

	// suspectedLossDelay is longer than network partitions between data centres usually last (minutes). Daemons that merely
	// cannot reach the holder and the backup wait for it, because keys chosen by callers are refused for a day after a reset.
	suspectedLossDelay = 5 * time.Minute
)

type cause int

// String returns the text of Propose.Reason.
func (c cause) String() string {
	return [...]string{
		"none", "first holder", "new backup", "hand-over", "take-over", "table is lost", "table is unreachable",
	}[c]
}

// proposeDue updates the cause of a proposal for each range and emits the proposals whose delay has passed.
func (h *Host) proposeDue(now time.Time) {
	if !h.membersKnown {
		return
	}
	for _, r := range h.ranges {
		c := h.causeFor(r)
		if c != r.cause {
			r.cause, r.causeSince, r.proposeAt = c, now, now.Add(h.proposeDelay(r, c))
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

// causeFor returns why this daemon should propose a new assignment of the range, or noCause.
func (h *Host) causeFor(r *keyRange) cause {
	a, self := r.assignment, h.cfg.Incarnation
	switch {
	case a.Epoch == 0 && !h.draining:
		return firstHolder
	case a.Epoch == 0:
		return noCause
	case a.Holder == self:
		return h.holderCause(r)
	case !h.lost(a.Holder):
		return noCause
	case a.Backup == self && r.transferComplete:
		return takeOver
	case a.Backup != self && a.Backup != "" && !h.lost(a.Backup), h.draining:
		return noCause
	case h.gone(a.Holder) && (a.Backup == self || a.Backup == "" || h.gone(a.Backup)):
		return provenLossReset
	case !h.majority():
		return noCause
	}
	return suspectedLossReset
}

// majority reports whether this daemon can reach most members. Without this condition, the minority side of a network
// partition would reset ranges that the other side serves.
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
	backup := r.assignment.Backup
	needsBackup := backup == "" || h.lost(backup) || h.members[backup].Draining
	switch {
	case !r.tableValid:
		return provenLossReset
	case needsBackup && (h.candidate(r) != "" || backup != "" && h.noOtherMember(h.cfg.Incarnation)):
		return newBackup
	case h.draining && !needsBackup && r.backupSynced:
		return handOver
	}
	return noCause
}

func (h *Host) proposeDelay(r *keyRange, c cause) time.Duration {
	switch c {
	case firstHolder:
		return h.rank(r) * rankDelay
	case provenLossReset:
		return provenLossDelay + h.rank(r)*rankDelay
	case suspectedLossReset:
		return suspectedLossDelay + h.rank(r)*rankDelay
	case noCause, newBackup, handOver, takeOver:
	}
	return 0
}

// proposal returns the record for a cause and reports whether it may be proposed. An empty backup makes the holder run
// without one, so it is proposed only if the log lists no other member that could be the backup.
func (h *Host) proposal(r *keyRange, c cause) (Propose, bool) {
	p := Propose{
		Range: r.index, Base: r.assignment.Epoch, Holder: h.cfg.Incarnation, Backup: h.candidate(r), Reason: c.String(),
	}
	switch c {
	case handOver:
		p.Holder = r.assignment.Backup
	case provenLossReset, suspectedLossReset:
		p.StateLost = true
	case noCause, firstHolder, newBackup, takeOver:
	}
	return p, p.Backup != "" || h.noOtherMember(p.Holder)
}

// noOtherMember reports whether the log lists no member other than this daemon and the holder.
func (h *Host) noOtherMember(holder string) bool {
	for _, m := range h.members {
		if m.Incarnation != h.cfg.Incarnation && m.Incarnation != holder {
			return false
		}
	}
	return true
}

// candidate returns the reachable member with the highest score as backup for a range, or an empty string if there is none.
func (h *Host) candidate(r *keyRange) string {
	best, bestScore := "", uint64(0)
	for _, m := range h.members {
		if m.Lost || m.Draining || m.Incarnation == h.cfg.Incarnation {
			continue
		}
		// When a holder hands over, its current backup becomes the holder and needs another backup.
		if h.draining && m.Incarnation == r.assignment.Backup {
			continue
		}
		if s := score(r.index, m.Incarnation); best == "" || s > bestScore {
			best, bestScore = m.Incarnation, s
		}
	}
	return best
}

// rank returns the number of reachable members with a higher score for a range than this daemon.
func (h *Host) rank(r *keyRange) time.Duration {
	n, ownScore := time.Duration(0), score(r.index, h.cfg.Incarnation)
	for _, m := range h.members {
		if !m.Lost && !m.Draining && m.Incarnation != h.cfg.Incarnation && score(r.index, m.Incarnation) > ownScore {
			n++
		}
	}
	return n
}
