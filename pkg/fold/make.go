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

// MembersGone returns a record that removes members whose incarnations are proven gone.
func MembersGone(id, by string, incarnations ...string) Record {
	return Record{Kind: MemberGoneKind, ID: id, By: by, MemberGone: incarnations}
}

// Register returns a record that registers the incarnation by on the host. It replaces the last member record of the host.
func (s *State) Register(id, by, host, dataCentre string, a Addresses) Record {
	up := &MemberUp{Host: host, Base: s.hosts[host].Offset, DataCentre: dataCentre, Addresses: a}
	return Record{Kind: MemberUpKind, ID: id, By: by, MemberUp: up}
}

// TakeLease returns a record by which the member, its author, takes over the lease of the cell at the offset base. The base
// must be the one on which the decision was made, not the current one: another member may have taken over the lease since.
func TakeLease(id string, m Member, cell string, base int64) Record {
	c := LeaseChange{Cell: cell, Base: base, Host: m.Host, Incarnation: m.Incarnation}
	return Record{Kind: CellLeaseKind, ID: id, By: m.Incarnation, CellLease: []LeaseChange{c}}
}

// ReleaseLease returns a record by which the holder of a lease, its author, releases it. None of its orders may be in flight.
func ReleaseLease(id, cell string, h Holder) Record {
	c := LeaseChange{Cell: cell, Base: h.Offset, Host: h.Host, Incarnation: h.Incarnation, Release: true}
	return Record{Kind: CellLeaseKind, ID: id, By: h.Incarnation, CellLease: []LeaseChange{c}}
}

// SetPermits returns a record by which the controller of a cell, its author, sets the cell's number of permits of a model.
// The lease is the offset of the controller's lease, and base the offset of the record that it replaces, zero for none.
func SetPermits(id, by, cell string, lease int64, model string, base int64, count int) Record {
	c := PermitChange{Cell: cell, Lease: lease, Model: model, Base: base, Count: count}
	return Record{Kind: PermitKind, ID: id, By: by, Permit: []PermitChange{c}}
}

// AssignRanges returns a record that assigns a holder and a backup to the key ranges and ends their current epochs. If
// stateLost is set, the record declares the earlier state of the ranges lost.
func (s *State) AssignRanges(id, by, holder, backup string, stateLost bool, ranges ...int) Record {
	r := Record{Kind: KeyRangeKind, ID: id, By: by}
	for _, i := range ranges {
		r.KeyRange = append(r.KeyRange, RangeChange{
			Range: i, Base: s.keyRanges[i].Epoch, Holder: holder, Backup: backup, StateLost: stateLost,
		})
	}
	return r
}
