package entry

import (
	"maps"
	"slices"
	"time"

	"github.com/fireflycleat/fireflycleat/pkg/spec"
)

const demandRefresh = time.Second // interval at which unchanged demand is resent, because a new controller has not received it

// demand is the number of pending requests for a model and adapter, and what was last reported to the controller.
type demand struct {
	waiting   [classCount]int // queued calls plus outstanding retry slots, by urgency
	sent      Demand
	sentAt    time.Time
	nextCheck time.Time // when updateDemand must run again; zero means only after a change
}

// adjustDemand adds the given number, which may be negative, to the pending requests.
func (q *queue) adjustDemand(adapter string, u spec.Urgency, by int) {
	d := q.demands[adapter]
	if d == nil {
		d = &demand{sent: Demand{Model: q.model, Adapter: adapter}}
		q.demands[adapter] = d
	}
	d.waiting[u] += by
}

// updateDemands reports changed demand to the controllers, at most once per DemandInterval, and resends unchanged demand.
func (e *Entry) updateDemands(now time.Time, q *queue) {
	if len(q.demands) == 1 { // common case: no sorting needed
		for _, d := range q.demands {
			e.updateDemand(now, q, d)
		}
		return
	}
	for _, adapter := range slices.Sorted(maps.Keys(q.demands)) {
		e.updateDemand(now, q, q.demands[adapter])
	}
}

func (e *Entry) updateDemand(now time.Time, q *queue, d *demand) {
	s := &d.sent
	idle := d.waiting == [classCount]int{}
	changed := d.waiting != [classCount]int{s.Urgent, s.Normal, s.Bulk}
	switch {
	case changed && now.Sub(d.sentAt) >= e.settings.DemandInterval, !idle && now.Sub(d.sentAt) >= demandRefresh:
		e.sendDemand(now, q, d)
		d.nextCheck = now.Add(demandRefresh)
		if idle {
			d.nextCheck = now.Add(e.settings.DemandInterval)
		}
	case changed:
		d.nextCheck = d.sentAt.Add(e.settings.DemandInterval)
	case !idle:
		d.nextCheck = d.sentAt.Add(demandRefresh)
	case now.Sub(d.sentAt) >= e.settings.DemandInterval:
		// The controller has been notified that no request is pending, and the record no longer limits the rate of reports.
		delete(q.demands, s.Adapter)
	default:
		d.nextCheck = d.sentAt.Add(e.settings.DemandInterval)
	}
}

func (e *Entry) sendDemand(now time.Time, q *queue, d *demand) {
	s := &d.sent
	s.Cell, s.Urgent, s.Normal, s.Bulk = e.demandCell(q.model), d.waiting[0], d.waiting[1], d.waiting[2]
	s.EarliestDeadline = time.Time{}
	for _, c := range q.calls {
		if c.Adapter == s.Adapter && c.deadlineApplies() {
			s.EarliestDeadline = earlier(s.EarliestDeadline, c.Deadline)
		}
	}
	d.sentAt = now
	e.emit(*s)
}

// demandCell returns the cell whose controller receives the demand for a model.
func (e *Entry) demandCell(model string) string {
	if e.settings.PreferredCell != nil {
		if cell := e.settings.PreferredCell(model); cell != "" {
			return cell
		}
	}
	if cell := e.table.Cell(model); cell != "" {
		return cell
	}
	return e.settings.Cell
}
