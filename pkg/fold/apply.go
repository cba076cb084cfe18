package fold

import (
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/fireflycleat/fireflycleat/pkg/codes"
	"github.com/fireflycleat/fireflycleat/pkg/spec"
)

// Apply folds the record that the log holds at the offset since the time at, and returns the verdict on it.
func (s *State) Apply(offset int64, at time.Time, data []byte) Verdict {
	v := Verdict{Offset: offset, First: offset}
	switch {
	case offset <= s.offset:
		v.Outcome = Old
		return v
	case offset > s.offset+1:
		v.Outcome, v.Err = Gap, codes.Newf(codes.BadRecord, "records %d to %d are missing", s.offset+1, offset-1)
		return v
	}
	s.offset = offset
	// The clock of the log service may step back; times in the state may not.
	if at = at.UTC().Round(0); at.After(s.clock) {
		s.clock = at
	}
	s.forget()
	r, err := Decode(data)
	if err != nil {
		s.bad++
		v.Outcome, v.Err = Skipped, codes.From(err)
		return v
	}
	return s.fold(v, r)
}

func (s *State) fold(v Verdict, r Record) Verdict {
	v.Record = r
	if c, ok := s.changes[r.ID]; ok && !s.off.noChangeID {
		first := c.verdict(v.Offset, r)
		first.Record = r
		return first
	}
	if err := s.admit(r); err != nil {
		v.Outcome, v.Err = Rejected, codes.From(err)
		var lost *rejection
		if errors.As(err, &lost) {
			v.LostTo = lost.lostTo
		}
	}
	c := change{ID: r.ID, Offset: v.Offset, Digest: r.digest(), LostTo: v.LostTo}
	if v.Err != nil {
		c.Code, c.Field, c.Detail = v.Err.Code(), v.Err.Field(), v.Err.Detail()
	}
	s.remember(c)
	return v
}

// admit checks a record that is not a duplicate and changes the state if it returns nil.
func (s *State) admit(r Record) error {
	if r.Seen >= s.offset {
		return codes.New(codes.BadRecord, "is not yet in the log").WithField("seen")
	}
	// An older record could be a resend whose change id is forgotten.
	if s.offset-r.Seen > ChangeWindow && !s.off.noWindow {
		return codes.Newf(codes.StaleBase, "the change was made at offset %d, more than %d records ago", r.Seen, ChangeWindow)
	}
	// A late append of a daemon that is recorded as gone must not take effect, so that others can stop waiting for it.
	if _, ok := s.members[r.By]; !ok && r.Kind != MemberUpKind && r.Kind != SnapshotKind {
		return codes.New(codes.StaleLease, "the author is not a member").WithField("by")
	}
	switch r.Kind {
	case TemplateKind:
		return s.setTemplate(r, r.Template)
	case TeamKind:
		return s.setTeam(r, r.Team)
	case MemberUpKind:
		return s.memberUp(r)
	case MemberGoneKind:
		return s.memberGone(r.MemberGone)
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
			s.snapshotAt, s.snapshotOn = max(s.snapshotAt, min(p.AsOf, s.offset-1)), s.clock
		}
		return nil
	}
}

func (s *State) setTemplate(r Record, c *TemplateChange) error {
	if err := s.checkBase(r, c.Base, s.templates[c.Name].Offset); err != nil {
		return err
	}
	next := Version[spec.Template]{Offset: s.offset, Deleted: c.Delete}
	if !c.Delete {
		next.Value = *c.Set
	}
	s.templates[c.Name], s.view, s.configured = next, nil, s.offset
	return nil
}

func (s *State) setTeam(r Record, c *TeamChange) error {
	if err := s.checkBase(r, c.Base, s.teams[c.Name].Offset); err != nil {
		return err
	}
	next := Version[spec.Team]{Offset: s.offset, Deleted: c.Delete}
	if !c.Delete {
		next.Value = *c.Set
	}
	s.teams[c.Name], s.view, s.configured = next, nil, s.offset
	return nil
}

// checkBase also rejects a change whose author had not folded the last member record: its majority may then miss the
// daemons that joined since, and those could serve the older version during a log outage (package fresh).
func (s *State) checkBase(r Record, base, current int64) error {
	if err := s.stale(base, current); err != nil {
		return err
	}
	if r.Seen < s.membership {
		return codes.Newf(codes.NoMajority, "the members changed at offset %d, after the majority was counted", s.membership)
	}
	return nil
}

func (s *State) stale(base, current int64) error {
	if base == current || s.off.noBase {
		return nil
	}
	err := codes.Newf(codes.StaleBase, "the change was based on offset %d and lost to offset %d", base, current)
	return &rejection{err.WithField("base"), current}
}

func (s *State) memberUp(r Record) error {
	u := r.MemberUp
	if err := s.stale(u.Base, s.hosts[u.Host].Offset); err != nil {
		return err
	}
	// An incarnation that is gone stays gone, because others rely on its late appends being rejected.
	for _, h := range s.hosts {
		if h.Incarnation == r.By {
			return codes.New(codes.StaleBase, "the incarnation was registered before").WithField("by")
		}
	}
	// One process at a time can listen at an address, so a new incarnation proves that the one before is gone.
	for i, m := range s.members {
		if m.Host == u.Host || m.Addresses.Peers == u.Addresses.Peers {
			s.remove(i)
		}
	}
	s.members[r.By] = Member{
		Incarnation: r.By, Host: u.Host, DataCentre: u.DataCentre, Addresses: u.Addresses, Offset: s.offset, Up: s.clock,
	}
	s.hosts[u.Host] = hostVersion{Host: u.Host, Offset: s.offset, Incarnation: r.By}
	s.membership = s.offset
	return nil
}

// memberGone accepts a batch of which some are gone already, because several daemons report the same loss.
func (s *State) memberGone(incarnations []string) error {
	removed := false
	for _, i := range incarnations {
		if _, ok := s.members[i]; ok {
			s.remove(i)
			removed = true
		}
	}
	if !removed {
		return codes.New(codes.StaleBase, "no such member is left").WithField("memberGone")
	}
	s.membership = s.offset
	return nil
}

func (s *State) remove(incarnation string) {
	h := s.members[incarnation].Host
	s.hosts[h] = hostVersion{Host: h, Offset: s.offset, Incarnation: incarnation, Gone: true}
	delete(s.members, incarnation)
	for cell, l := range s.leases {
		s.leases[cell] = l.settle(incarnation, 0)
	}
}

func (s *State) withdraw(id string) error {
	if c, ok := s.changes[id]; ok {
		return codes.Newf(codes.StaleBase, "the change was folded at offset %d", c.Offset).WithField("withdraw.id")
	}
	s.remember(change{ID: id, Offset: s.offset, Code: codes.AppendInDoubt, Detail: "the author withdrew the change"})
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
			s.leases[c.Cell] = l.settle(c.Incarnation, c.Base)
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
		if s.off.noLease {
			return nil
		}
		return s.stale(c.Base, l.Offset)
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

// settle removes the earlier holder; an offset of zero means all its leases of the cell.
func (l Lease) settle(incarnation string, offset int64) Lease {
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
		if (l.Offset != c.Lease || l.Incarnation != r.By || l.Released) && !s.off.noLease {
			err := codes.Newf(codes.StaleLease, "the lease of %s is at offset %d", c.Cell, l.Offset)
			return &rejection{err.WithField("permit.lease"), l.Offset}
		}
		held := s.permits[c.Model][c.Cell]
		// A late record must not take back a permit under which the controller has loaded a replica since.
		if err := s.stale(c.Base, held.Offset); err != nil {
			return err
		}
		sums[c.Model] += c.Count - held.Count
		raised[c.Model] = raised[c.Model] || c.Count > held.Count
	}
	// Only a claim is bound by maxReplicas: counts must be able to fall while the sum is above a lowered maximum.
	for model := range raised {
		sum, limit := s.PermitSum(model)
		if raised[model] && sum+sums[model] > limit && !s.off.noPermitSum {
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
		k := s.ranges[c.Range]
		if err := s.stale(c.Base, k.Epoch); err != nil {
			return err
		}
		// Only holder and backup have the table, so only they can pass it on.
		if k.Epoch > 0 && !c.Blind && r.By != k.Holder && r.By != k.Backup {
			return codes.New(codes.StaleLease, "the author neither holds nor backs up the range").WithField("by")
		}
		for _, i := range []string{c.Holder, c.Backup} {
			if _, ok := s.members[i]; !ok && i != "" {
				return codes.New(codes.StaleLease, "holder and backup must be members").WithField("keyRange.holder")
			}
		}
	}
	for _, c := range r.KeyRange {
		next := s.ranges[c.Range]
		next.Holder, next.Backup, next.Epoch = c.Holder, c.Backup, s.offset
		if c.Blind {
			next.BlindAt, next.BlindEpoch = s.clock, s.offset
		}
		s.ranges[c.Range] = next
	}
	return nil
}

func (s *State) remember(c change) {
	if _, ok := s.changes[c.ID]; ok {
		return
	}
	s.changes[c.ID] = c
	s.order = append(s.order, c)
}

// forget drops change ids and tombstones of which no record can be accepted any more, because it would have been made
// more than ChangeWindow records ago.
func (s *State) forget() {
	limit := s.offset - ChangeWindow
	n := 0
	for n < len(s.order) && s.order[n].Offset < limit {
		delete(s.changes, s.order[n].ID)
		n++
	}
	s.order = s.order[n:]
	if s.offset%(ChangeWindow/8) != 0 {
		return
	}
	forgetDeleted(s.templates, limit)
	forgetDeleted(s.teams, limit)
	for name, h := range s.hosts {
		if h.Gone && h.Offset < limit {
			delete(s.hosts, name)
		}
	}
}

func forgetDeleted[T any](m map[string]Version[T], limit int64) {
	for name, v := range m {
		if v.Deleted && v.Offset < limit {
			delete(m, name)
		}
	}
}
