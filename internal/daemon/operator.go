package daemon

import (
	"context"
	"slices"
	"time"

	"github.com/fireflycleat/fireflycleat/internal/front"
	"github.com/fireflycleat/fireflycleat/internal/wire"
	"github.com/fireflycleat/fireflycleat/pkg/codes"
	"github.com/fireflycleat/fireflycleat/pkg/fold"
	"github.com/fireflycleat/fireflycleat/pkg/spec"
)

func (d *Daemon) newOperatorAPI() *front.Operators {
	l := d.settings.Limits
	return &front.Operators{
		Limits: front.Limits{RequestBytes: l.RequestBytes.Bytes(), BodyTimeout: l.BodyTimeout.Value(), InFlight: l.InFlight},
		Traces: d.traces, Metrics: d.metrics, Token: d.settings.Operator.Token,
		SetTemplate: func(ctx context.Context, _ string, c wire.TemplateChange) (wire.Change, error) {
			return d.appendChange(ctx, fold.SetTemplate(c.ChangeID, d.incarnation, c.Base, c.Template))
		},
		DeleteTemplate: func(ctx context.Context, name, changeID string, base int64) (wire.Change, error) {
			return d.appendChange(ctx, fold.DeleteTemplate(changeID, d.incarnation, base, name))
		},
		SetTeam: func(ctx context.Context, _ string, c wire.TeamChange) (wire.Change, error) {
			return d.appendChange(ctx, fold.SetTeam(c.ChangeID, d.incarnation, c.Base, c.Team))
		},
		DeleteTeam: func(ctx context.Context, name, changeID string, base int64) (wire.Change, error) {
			return d.appendChange(ctx, fold.DeleteTeam(changeID, d.incarnation, base, name))
		},
		Templates:   d.templateStates,
		Teams:       d.teamStates,
		Hosts:       d.hostReports,
		Status:      d.status,
		Decisions:   d.decisionHistory.forRequest,
		Stop:        func() { d.control.Post(d.stopping.begin) },
		SetLogLevel: d.logger.SetLevel,
	}
}

// appendChange appends a configuration change and waits until it is accepted or rejected, and in force at this host. An AppendInDoubt
// error means that it may still be accepted.
func (d *Daemon) appendChange(ctx context.Context, r fold.Record) (wire.Change, error) {
	type result struct {
		offset int64
		err    error
	}
	results := make(chan result, 1)
	d.control.Post(func() {
		d.appender.add(r, func(offset int64, err error) { results <- result{offset, err} })
	})
	select {
	case res := <-results:
		// The result comes while the record is applied, before the view with the change is stored.
		d.control.Ask(d.publish)
		return wire.Change{Offset: res.offset}, res.err
	case <-ctx.Done():
		return wire.Change{}, codes.New(codes.AppendInDoubt, ctx.Err().Error())
	case <-d.control.Stopped():
		return wire.Change{}, codes.New(codes.AppendInDoubt, "host stopped")
	}
}

func (d *Daemon) templateStates() []wire.TemplateState {
	return listStates(d, (*spec.View).Templates, func(v *spec.View, name string) wire.TemplateState {
		t, _ := v.Template(name)
		return wire.TemplateState{Offset: d.state.TemplateOffset(name), Template: t}
	})
}

func (d *Daemon) teamStates() []wire.TeamState {
	return listStates(d, (*spec.View).Teams, func(v *spec.View, name string) wire.TeamState {
		t, _ := v.Team(name)
		return wire.TeamState{Offset: d.state.TeamOffset(name), Team: t}
	})
}

// listStates returns the state of each named object in the current view. The result is never nil, so that JSON shows an empty
// list.
func listStates[S any](d *Daemon, names func(*spec.View) []string, state func(*spec.View, string) S) []S {
	list := []S{}
	d.control.Ask(func() {
		v := d.state.View()
		for _, n := range names(v) {
			list = append(list, state(v, n))
		}
	})
	return list
}

func (d *Daemon) hostReports() []wire.HostReport {
	var list []wire.HostReport
	d.control.Ask(func() { list = d.members.hostReports(time.Now()) })
	return list
}

func (d *Daemon) status() wire.Status {
	s := wire.Status{Host: d.settings.Host.Name, Incarnation: d.incarnation}
	if err := d.published.Load().readyErr; err != nil {
		s.Reason = err.Error()
	} else {
		s.Ready = true
	}
	d.control.Ask(func() {
		s.Stage = d.stopping.stage.String()
		s.Offset = d.state.Offset()
		s.InFlight = len(d.modelCalls.calls) + len(d.serviceCalls.pending)
		s.Cells = d.cellReports()
		s.Upstreams = d.upstreams.reports()
		s.Permits = []wire.PermitReport{}
		for _, m := range d.state.View().Models() {
			for _, p := range d.state.Permits(m) {
				s.Permits = append(s.Permits, wire.PermitReport{Model: m, Cell: p.Cell, Count: p.Count})
			}
		}
		s.KeyRanges = d.rangeReports()
		s.Queue = d.queueReports()
	})
	return s
}

func (d *Daemon) cellReports() []wire.CellReport {
	list := []wire.CellReport{}
	for _, l := range d.state.Leases() {
		r := wire.CellReport{Cell: l.Cell, Holder: l.Incarnation, Fence: l.Offset, Released: l.Released}
		for _, x := range d.cells.get(l.Cell).directory.Replicas {
			r.Replicas = append(r.Replicas, wire.ReplicaReport{
				Upstream: x.Upstream, Model: x.Model, Version: x.Version, Ready: x.Ready, ReadyAt: x.ReadyAt,
			})
		}
		if runner := d.cells.get(l.Cell); runner.leaseHeld {
			stats := runner.controller.Stats()
			r.Ledger = &wire.LedgerReport{
				UsedBytes: stats.UsedBytes, CapacityBytes: stats.CapacityBytes, Loading: stats.Loading, Queued: stats.Queued,
				InDoubt: stats.InDoubt, Unsettled: stats.NotQuiesced,
			}
		}
		list = append(list, r)
	}
	return list
}

func (d *Daemon) queueReports() []wire.QueueReport {
	list := []wire.QueueReport{}
	for _, m := range d.state.View().Models() {
		if n := d.modelCalls.entry.Queued(m); n > 0 {
			list = append(list, wire.QueueReport{Model: m, Waiting: n})
		}
	}
	return list
}

func (d *Daemon) rangeReports() []wire.RangeReport {
	list := []wire.RangeReport{}
	for i := range fold.KeyRanges {
		k := d.state.KeyRange(i)
		i := slices.IndexFunc(list, func(r wire.RangeReport) bool { return r.Holder == k.Holder && r.Backup == k.Backup })
		if i < 0 {
			list = append(list, wire.RangeReport{Holder: k.Holder, Backup: k.Backup, Ranges: 1})
			continue
		}
		list[i].Ranges++
	}
	return list
}
