package entry

import (
	"maps"
	"slices"
	"time"

	"github.com/fireflycleat/fireflycleat/pkg/spec"
)

const demandRefresh = time.Second // Unchanged demand is repeated at this interval, because a controller may be replaced.

// demand is what waits for a model and adapter, and what the controller was last told of it.
type demand struct {
	waiting [classes]int // waiting counts queued calls and outstanding promises by urgency.
	sent    Demand
	at      time.Time
	next    time.Time // next is when the demand has to be looked at again; zero means not before a change.
}

// count changes the number of calls or promises that wait.
func (q *queue) count(adapter string, u spec.Urgency, by int) {
	d := q.demands[adapter]
	if d == nil {
		d = &demand{sent: Demand{Model: q.model, Adapter: adapter}}
		q.demands[adapter] = d
	}
	d.waiting[u] += by
}

// updateDemands tells the controllers how many calls wait, if that changed, at most once in each interval.
func (e *Entry) updateDemands(now time.Time, q *queue) {
	if len(q.demands) == 1 { // The usual case needs no order.
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
	idle := d.waiting == [classes]int{}
	changed := d.waiting != [classes]int{s.Urgent, s.Normal, s.Bulk}
	switch {
	case changed && now.Sub(d.at) >= e.settings.DemandInterval, !idle && now.Sub(d.at) >= demandRefresh:
		e.sendDemand(now, q, d)
		d.next = now.Add(demandRefresh)
		if idle {
			d.next = now.Add(e.settings.DemandInterval)
		}
	case changed:
		d.next = d.at.Add(e.settings.DemandInterval)
	case !idle:
		d.next = d.at.Add(demandRefresh)
	case now.Sub(d.at) >= e.settings.DemandInterval:
		// The controller knows that nothing waits, and the rate limit no longer needs the record.
		delete(q.demands, s.Adapter)
	default:
		d.next = d.at.Add(e.settings.DemandInterval)
	}
}

func (e *Entry) sendDemand(now time.Time, q *queue, d *demand) {
	s := &d.sent
	s.Cell, s.Urgent, s.Normal, s.Bulk = e.cell(q.model), d.waiting[0], d.waiting[1], d.waiting[2]
	s.EarliestDeadline = time.Time{}
	for _, c := range q.calls {
		if c.Adapter == s.Adapter && c.bound() {
			s.EarliestDeadline = earlier(s.EarliestDeadline, c.Deadline)
		}
	}
	d.at = now
	e.emit(*s)
}

func (e *Entry) cell(model string) string {
	if e.settings.Home != nil {
		if cell := e.settings.Home(model); cell != "" {
			return cell
		}
	}
	if cell := e.table.Cell(model); cell != "" {
		return cell
	}
	return e.settings.Cell
}
