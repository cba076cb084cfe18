package fold

import "github.com/fireflycleat/fireflycleat/pkg/spec"

// SetTemplate returns a record that sets a template; base is the offset of the version that it replaces, zero for none.
func SetTemplate(id, by string, base int64, t spec.Template) Record {
	return Record{Kind: TemplateKind, ID: id, By: by, Template: &TemplateChange{Name: t.Name, Base: base, Set: &t}}
}

// DeleteTemplate returns a record that deletes the version of a template at the offset base.
func DeleteTemplate(id, by string, base int64, name string) Record {
	return Record{Kind: TemplateKind, ID: id, By: by, Template: &TemplateChange{Name: name, Base: base, Delete: true}}
}

// SetTeam returns a record that sets a team; base is the offset of the version that it replaces, zero for none.
func SetTeam(id, by string, base int64, t spec.Team) Record {
	return Record{Kind: TeamKind, ID: id, By: by, Team: &TeamChange{Name: t.Name, Base: base, Set: &t}}
}

// DeleteTeam returns a record that deletes the version of a team at the offset base.
func DeleteTeam(id, by string, base int64, name string) Record {
	return Record{Kind: TeamKind, ID: id, By: by, Team: &TeamChange{Name: name, Base: base, Delete: true}}
}

// Gone returns a record that says that the incarnations are proven gone.
func Gone(id, by string, incarnations ...string) Record {
	return Record{Kind: MemberGoneKind, ID: id, By: by, MemberGone: incarnations}
}

// Register returns a record that registers the incarnation by, which replaces what the state knows of the host.
func (s *State) Register(id, by, host, dataCentre string, a Addresses) Record {
	up := &MemberUp{Host: host, Base: s.hosts[host].Offset, DataCentre: dataCentre, Addresses: a}
	return Record{Kind: MemberUpKind, ID: id, By: by, MemberUp: up}
}

// TakeLease returns a record by which the member, its author, takes over the lease of the cell that it has seen at the base. The
// base is that of the decision: the state may have a later lease by now, of a holder that works.
func TakeLease(id string, m Member, cell string, base int64) Record {
	c := LeaseChange{Cell: cell, Base: base, Host: m.Host, Incarnation: m.Incarnation}
	return Record{Kind: CellLeaseKind, ID: id, By: m.Incarnation, CellLease: []LeaseChange{c}}
}

// ReleaseLease returns a record by which the holder of a lease, its author, releases it with no order in flight.
func ReleaseLease(id, cell string, h Holder) Record {
	c := LeaseChange{Cell: cell, Base: h.Offset, Host: h.Host, Incarnation: h.Incarnation, Release: true}
	return Record{Kind: CellLeaseKind, ID: id, By: h.Incarnation, CellLease: []LeaseChange{c}}
}

// Claim returns a record by which the controller of a cell, its author, sets the cell's number of permits of a model; the
// lease is the one under which the controller acts, and base the offset of the record that it replaces, zero for none.
func Claim(id, by, cell string, lease int64, model string, base int64, count int) Record {
	c := PermitChange{Cell: cell, Lease: lease, Model: model, Base: base, Count: count}
	return Record{Kind: PermitKind, ID: id, By: by, Permit: []PermitChange{c}}
}

// TakeRanges returns a record that ends the epochs which the state knows of the key ranges and assigns holder and backup.
func (s *State) TakeRanges(id, by, holder, backup string, blind bool, ranges ...int) Record {
	r := Record{Kind: KeyRangeKind, ID: id, By: by}
	for _, i := range ranges {
		r.KeyRange = append(r.KeyRange, RangeChange{
			Range: i, Base: s.ranges[i].Epoch, Holder: holder, Backup: backup, Blind: blind,
		})
	}
	return r
}
