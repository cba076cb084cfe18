package entry

import (
	"time"

	"github.com/fireflycleat/fireflycleat/pkg/codes"
)

const noDeadline = 24 * time.Hour

// arrive admits a request to the queue of its model, where settleQueue sends, keeps or refuses it within the same event.
func (e *Entry) arrive(now time.Time, ev Arrive) {
	if e.calls[ev.ID] != nil {
		return
	}
	if _, ok := e.view.Model(ev.Model); !ok {
		e.emit(Refuse{ID: ev.ID, Code: codes.UnknownModel})
		return
	}
	c := e.newCall(now, ev)
	if !c.Deadline.After(now) {
		e.emit(Refuse{ID: ev.ID, Code: codes.DeadlineMissed})
		return
	}
	q := e.queue(c.Model)
	c.queue = q
	load := e.table.Load(c.Model)
	if !e.quota.Acquire(c.Team, c.Urgency, load.All < load.Slots && len(q.calls) == 0) {
		after := e.table.Service(c.Model, c.Urgency)
		e.emit(Refuse{ID: c.id, Code: codes.TeamLimit, RetryAfter: e.jitter(after/2, after)})
		e.mark(q)
		return
	}
	e.calls[c.id] = c
	q.open++
	c.promised = q.redeem(now, c)
	if len(q.calls) >= e.settings.MaxQueue {
		e.refuse(c, codes.OverCapacity, e.promise(now, c))
		return
	}
	e.enqueue(c)
}

// jitter returns a random duration between base and base plus spread.
func (e *Entry) jitter(base, spread time.Duration) time.Duration {
	return base + time.Duration(e.random.Int64N(int64(max(spread, 0))+1))
}
