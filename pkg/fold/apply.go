package fold

import (
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/fireflycleat/fireflycleat/pkg/codes"
	"github.com/fireflycleat/fireflycleat/pkg/spec"
)

// Apply applies the record at the offset, which the log received at the given time, and returns the result.
func (s *State) Apply(offset int64, at time.Time, data []byte) Result {
	res := Result{Offset: offset, First: offset}
	switch {
	case offset <= s.offset:
		res.Outcome = AlreadyApplied
		return res
	case offset > s.offset+1:
		res.Outcome, res.Err = Gap, codes.Newf(codes.BadRecord, "records %d to %d are missing", s.offset+1, offset-1)
		return res
	}
	s.offset = offset
	// The clock of the log service may step back; times in the state must not.
	if at = at.UTC().Round(0); at.After(s.clock) {
		s.clock = at
	}
	s.dropExpired()
	r, err := Decode(data)
	if err != nil {
		s.badRecords++
		res.Outcome, res.Err = Skipped, codes.From(err)
		return res
	}
	return s.applyRecord(res, r)
}

func (s *State) applyRecord(res Result, r Record) Result {
	res.Record = r
	if c, ok := s.changes[r.ID]; ok && !s.disabled.noChangeID {
		earlier := c.resultFor(res.Offset, r)
		earlier.Record = r
		return earlier
	}
	if err := s.checkAndApply(r); err != nil {
		res.Outcome, res.Err = Rejected, codes.From(err)
		var rejected *rejection
		if errors.As(err, &rejected) {
			res.LostTo = rejected.lostTo
		}
	}
	c := changeEntry{ID: r.ID, Offset: res.Offset, Digest: r.digest(), LostTo: res.LostTo}
	if res.Err != nil {
		c.Code, c.Field, c.Detail = res.Err.Code(), res.Err.Field(), res.Err.Detail()
	}
	s.addChange(c)
	return res
}

// checkAndApply applies a record that is not a duplicate, or returns why the record is rejected.
func (s *State) checkAndApply(r Record) error {
	if r.Seen >= s.offset {
		return codes.New(codes.BadRecord, "is not yet in the log").WithField("seen")
	}
	// An older record could be a resend whose change id has expired.
	if s.offset-r.Seen > ChangeWindow && !s.disabled.noWindow {
		return codes.Newf(codes.StaleBase, "the change was made at offset %d, more than %d records ago", r.Seen, ChangeWindow)
	}
	// A late append of a daemon that is recorded as gone must not take effect: other daemons no longer wait for it.
	if _, ok := s.members[r.By]; !ok && r.Kind != MemberUpKind && r.Kind != SnapshotKind {
		return codes.New(codes.StaleLease, "the author is not a member").WithField("by")
	}
	switch r.Kind {
	case TemplateKind:
		return s.setTemplate(r, r.Template)
	case TeamKind:
		return s.setTeam(r, r.Team)
	case MemberUpKind:
		return s.registerMember(r)
	case MemberGoneKind:
		return s.removeMembers(r.MemberGone)
	case CellLeaseKind:
		return s.changeLeases(r)
	case PermitKind:
		return s.changePermits(r)
	case KeyRangeKind:
		return s.changeRanges(r)
	case WithdrawKind:
		return s.withdraw(r.Withdraw.ID)
	default:
		if p := r.Snapshot; p.Part == p.Parts-1 {
			s.snapshotOffset, s.snapshotTime = max(s.snapshotOffset, min(p.AsOf, s.offset-1)), s.clock
		}
		return nil
	}
}

func (s *State) setTemplate(r Record, c *TemplateChange) error {
	if err := s.checkPublication(r, c.Base, s.templates[c.Name].Offset); err != nil {
		return err
	}
	next := Version[spec.Template]{Offset: s.offset, Deleted: c.Delete}
	if !c.Delete {
		next.Value = *c.Set
	}
	s.templates[c.Name], s.view, s.configuredOffset = next, nil, s.offset
	return nil
}

func (s *State) setTeam(r Record, c *TeamChange) error {
	if err := s.checkPublication(r, c.Base, s.teams[c.Name].Offset); err != nil {
		return err
	}
	next := Version[spec.Team]{Offset: s.offset, Deleted: c.Delete}
	if !c.Delete {
		next.Value = *c.Set
	}
	s.teams[c.Name], s.view, s.configuredOffset = next, nil, s.offset
	return nil
}

// checkPublication checks the base, and that the author had applied the last member record. Otherwise its majority may not
// include the daemons that have joined since, and they could use the older version during a log outage (package stale).
func (s *State) checkPublication(r Record, base, current int64) error {
	if err := s.checkBase(base, current); err != nil {
		return err
	}
	if r.Seen < s.membershipOffset {
		return codes.Newf(codes.NoMajority, "the members changed at offset %d, after the majority was counted", s.membershipOffset)
	}
	return nil
}

func (s *State) checkBase(base, current int64) error {
	if base == current || s.disabled.noBase {
		return nil
	}
	err := codes.Newf(codes.StaleBase, "the change was based on offset %d and lost to offset %d", base, current)
	return &rejection{err.WithField("base"), current}
}

func (s *State) registerMember(r Record) error {
	u := r.MemberUp
	if err := s.checkBase(u.Base, s.hosts[u.Host].Offset); err != nil {
		return err
	}
	// An incarnation that is gone can't register again, because other daemons rely on its late appends being rejected.
	for _, h := range s.hosts {
		if h.Incarnation == r.By {
			return codes.New(codes.StaleBase, "the incarnation was registered before").WithField("by")
		}
	}
	// Only one process at a time can listen on an address, so a new incarnation proves that the previous one is gone.
	for i, m := range s.members {
		if m.Host == u.Host || m.Addresses.Peers == u.Addresses.Peers {
			s.removeMember(i)
		}
	}
	s.members[r.By] = Member{
		Incarnation: r.By, Host: u.Host, DataCentre: u.DataCentre, Addresses: u.Addresses, Offset: s.offset, RegisteredAt: s.clock,
	}
	s.hosts[u.Host] = hostRecord{Host: u.Host, Offset: s.offset, Incarnation: r.By}
	s.membershipOffset = s.offset
	return nil
}

// removeMembers accepts a batch if at least one member is live, because several daemons may report the same loss.
func (s *State) removeMembers(incarnations []string) error {
	removed := false
	for _, i := range incarnations {
		if _, ok := s.members[i]; ok {
			s.removeMember(i)
			removed = true
		}
	}
	if !removed {
		return codes.New(codes.StaleBase, "no such member is left").WithField("memberGone")
	}
	s.membershipOffset = s.offset
	return nil
}

func (s *State) removeMember(incarnation string) {
	h := s.members[incarnation].Host
	s.hosts[h] = hostRecord{Host: h, Offset: s.offset, Incarnation: incarnation, Gone: true}
	delete(s.members, incarnation)
	for cell, l := range s.leases {
		s.leases[cell] = l.withoutUnsettled(incarnation, 0)
	}
}

func (s *State) withdraw(id string) error {
	if c, ok := s.changes[id]; ok {
		return codes.Newf(codes.StaleBase, "the change was folded at offset %d", c.Offset).WithField("withdraw.id")
	}
	s.addChange(changeEntry{ID: id, Offset: s.offset, Code: codes.AppendInDoubt, Detail: "the author withdrew the change"})
	return nil
}

func (s *State) changeLeases(r Record) error {
	for _, c := range r.CellLease {
		if err := s.checkLease(r, c); err != nil {
			return err
		}
	}
	for _, c := range r.CellLease {
		l := s.leases[c.Cell]
		switch {
		case !c.Release:
			next := Lease{Cell: c.Cell, Holder: Holder{Host: c.Host, Incarnation: c.Incarnation, Offset: s.offset}}
			next.Unsettled = l.Unsettled
			if _, live := s.members[l.Incarnation]; live && !l.Released {
				next.Unsettled = append(slices.Clone(l.Unsettled), l.Holder)
			}
			s.leases[c.Cell] = next
		case l.Offset == c.Base:
			l.Released = true
			s.leases[c.Cell] = l
		default:
			s.leases[c.Cell] = l.withoutUnsettled(c.Incarnation, c.Base)
		}
	}
	return nil
}

func (s *State) checkLease(r Record, c LeaseChange) error {
	l := s.leases[c.Cell]
	if !c.Release {
		if m, ok := s.members[c.Incarnation]; !ok || m.Host != c.Host {
			return codes.New(codes.StaleLease, "the new holder is not a member").WithField("cellLease.incarnation")
		}
		if s.disabled.noLease {
			return nil
		}
		return s.checkBase(c.Base, l.Offset)
	}
	if c.Incarnation != r.By {
		return codes.New(codes.StaleLease, "only the holder can release a lease").WithField("cellLease.incarnation")
	}
	if l.Incarnation == c.Incarnation && l.Offset == c.Base && !l.Released {
		return nil
	}
	if slices.ContainsFunc(l.Unsettled, func(h Holder) bool { return h.Offset == c.Base && h.Incarnation == c.Incarnation }) {
		return nil
	}
	return codes.Newf(codes.StaleLease, "the lease of %s at offset %d is not held", c.Cell, c.Base).WithField("cellLease.base")
}

// withoutUnsettled returns the lease without the unsettled holder that has the incarnation and the offset. If the offset is
// zero, all unsettled holders with the incarnation are removed.
func (l Lease) withoutUnsettled(incarnation string, offset int64) Lease {
	drop := func(h Holder) bool { return h.Incarnation == incarnation && (offset == 0 || h.Offset == offset) }
	if slices.ContainsFunc(l.Unsettled, drop) {
		l.Unsettled = slices.DeleteFunc(slices.Clone(l.Unsettled), drop)
	}
	return l
}

func (s *State) changePermits(r Record) error {
	sums := make(map[string]int)
	raised := make(map[string]bool)
	for _, c := range r.Permit {
		l := s.leases[c.Cell]
		if (l.Offset != c.Lease || l.Incarnation != r.By || l.Released) && !s.disabled.noLease {
			err := codes.Newf(codes.StaleLease, "the lease of %s is at offset %d", c.Cell, l.Offset)
			return &rejection{err.WithField("permit.lease"), l.Offset}
		}
		held := s.permits[c.Model][c.Cell]
		// A late record must not withdraw a permit under which the controller has loaded a replica since.
		if err := s.checkBase(c.Base, held.Offset); err != nil {
			return err
		}
		sums[c.Model] += c.Count - held.Count
		raised[c.Model] = raised[c.Model] || c.Count > held.Count
	}
	// Only an increase is limited by maxReplicas: it must be possible to lower counts while the sum exceeds a lowered maximum.
	for model := range raised {
		sum, limit := s.PermitSum(model)
		if raised[model] && sum+sums[model] > limit && !s.disabled.noPermitSum {
			return codes.New(codes.OverCapacity, "the claim exceeds maxReplicas").WithField("permit.count")
		}
	}
	for _, c := range r.Permit {
		if s.permits[c.Model] == nil {
			s.permits[c.Model] = make(map[string]Permits)
		}
		s.permits[c.Model][c.Cell] = Permits{Cell: c.Cell, Model: c.Model, Count: c.Count, Offset: s.offset}
		if c.Count == 0 {
			delete(s.permits[c.Model], c.Cell)
		}
		if len(s.permits[c.Model]) == 0 {
			delete(s.permits, c.Model)
		}
	}
	return nil
}

func (s *State) changeRanges(r Record) error {
	for _, c := range r.KeyRange {
		k := s.keyRanges[c.Range]
		if err := s.checkBase(c.Base, k.Epoch); err != nil {
			return err
		}
		// Only the holder and the backup have the table of keys, so only they can pass it on.
		if k.Epoch > 0 && !c.StateLost && r.By != k.Holder && r.By != k.Backup {
			return codes.New(codes.StaleLease, "the author neither holds nor backs up the range").WithField("by")
		}
		for _, i := range []string{c.Holder, c.Backup} {
			if _, ok := s.members[i]; !ok && i != "" {
				return codes.New(codes.StaleLease, "holder and backup must be members").WithField("keyRange.holder")
			}
		}
	}
	for _, c := range r.KeyRange {
		next := s.keyRanges[c.Range]
		next.Holder, next.Backup, next.Epoch = c.Holder, c.Backup, s.offset
		if c.StateLost {
			next.StateLostAt, next.StateLostEpoch = s.clock, s.offset
		}
		s.keyRanges[c.Range] = next
	}
	return nil
}

func (s *State) addChange(c changeEntry) {
	if _, ok := s.changes[c.ID]; ok {
		return
	}
	s.changes[c.ID] = c
	s.changeOrder = append(s.changeOrder, c)
}

// dropExpired removes change ids and tombstones that are older than ChangeWindow records: a record that depends on one of
// them would be rejected for its age.
func (s *State) dropExpired() {
	limit := s.offset - ChangeWindow
	n := 0
	for n < len(s.changeOrder) && s.changeOrder[n].Offset < limit {
		delete(s.changes, s.changeOrder[n].ID)
		n++
	}
	s.changeOrder = s.changeOrder[n:]
	if s.offset%(ChangeWindow/8) != 0 {
		return
	}
	dropTombstones(s.templates, limit)
	dropTombstones(s.teams, limit)
	for name, h := range s.hosts {
		if h.Gone && h.Offset < limit {
			delete(s.hosts, name)
		}
	}
}

func dropTombstones[T any](m map[string]Version[T], limit int64) {
	for name, v := range m {
		if v.Deleted && v.Offset < limit {
			delete(m, name)
		}
	}
}
