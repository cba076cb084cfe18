package entry

import (
	"maps"
	"slices"
	"time"
)

const demandRefresh = time.Second // Unchanged demand is repeated at this interval, because a controller may be replaced.

// demand is what the controller was last told about a model and adapter.
type demand struct {
	sent Demand
	at   time.Time
	next time.Time // next is when the demand has to be looked at again.
}

// updateDemands tells the controllers how many calls wait, if that changed, at most once in each interval.
func (e *Entry) updateDemands(now time.Time, q *queue) {
	wanted := make(map[string]*Demand)
	for _, c := range q.calls {
		w := wanted[c.Adapter]
		if w == nil {
			w = &Demand{Model: q.model, Adapter: c.Adapter}
			wanted[c.Adapter] = w
		}
		*w.class(int(c.Urgency))++
		if c.bound() {
			w.EarliestDeadline = earlier(w.EarliestDeadline, c.Deadline)
		}
	}
	for u := range q.books {
		for _, p := range q.books[u].promises {
			w := wanted[p.adapter]
			if w == nil {
				w = &Demand{Model: q.model, Adapter: p.adapter}
				wanted[p.adapter] = w
			}
			*w.class(u)++
		}
	}
	for adapter := range wanted {
		if q.demands[adapter] == nil {
			q.demands[adapter] = &demand{sent: Demand{Model: q.model, Adapter: adapter}}
		}
	}
	for _, adapter := range slices.Sorted(maps.Keys(q.demands)) {
		w := wanted[adapter]
		if w == nil {
			w = &Demand{Model: q.model, Adapter: adapter}
		}
		e.updateDemand(now, q, q.demands[adapter], *w)
	}
}

func (e *Entry) updateDemand(now time.Time, q *queue, d *demand, w Demand) {
	idle := w.Urgent+w.Normal+w.Bulk == 0
	w.Cell = d.sent.Cell
	due := d.at.Add(demandRefresh)
	if w != d.sent {
		due = d.at.Add(e.settings.DemandInterval)
	} else if idle {
		// The controller knows that nothing waits; the record is kept until the rate limit allows a new message.
		if now.Sub(d.at) >= e.settings.DemandInterval {
			delete(q.demands, w.Adapter)
			return
		}
		d.next = d.at.Add(e.settings.DemandInterval)
		return
	}
	if now.Before(due) {
		d.next = due
		return
	}
	w.Cell = e.cell(q.model)
	d.sent, d.at = w, now
	d.next = now.Add(demandRefresh)
	if idle {
		d.next = now.Add(e.settings.DemandInterval)
	}
	e.emit(w)
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

func (d *Demand) class(u int) *int { return [...]*int{&d.Urgent, &d.Normal, &d.Bulk}[u] }
