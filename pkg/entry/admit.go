package entry

import (
	"time"

	"github.com/fireflycleat/fireflycleat/pkg/codes"
)

const noDeadline = 24 * time.Hour // deadline of requests without one

// arrive adds a request to its model's queue; processQueue sends, keeps or refuses it while handling the same event.
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
	if !e.quota.Acquire(c.Team, c.Urgency, load.InFlight < load.Slots && len(q.calls) == 0) {
		requestTime := e.table.RequestTime(c.Model, c.Urgency)
		e.emit(Refuse{ID: c.id, Code: codes.TeamLimit, RetryAfter: e.jitter(requestTime/2, requestTime)})
		e.markDirty(q)
		return
	}
	e.calls[c.id] = c
	q.openCalls++
	c.hasRetrySlot = q.claimRetrySlot(now, c)
	if len(q.calls) >= e.settings.MaxQueue {
		e.refuse(c, codes.OverCapacity, e.reserveRetry(now, c))
		return
	}
	e.enqueue(c)
}

// jitter returns a random duration in [base, base+spread].
func (e *Entry) jitter(base, spread time.Duration) time.Duration {
	return base + time.Duration(e.random.Int64N(int64(max(spread, 0))+1))
}
