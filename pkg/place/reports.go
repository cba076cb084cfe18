package place

import (
	"slices"
	"time"
)

// Report applies a report that was requested at the given time.
func (c *Controller) Report(now, requestedAt time.Time, id string, r Report) {
	u, ok := c.upstreams[id]
	if !ok || r.Born != 0 && u.entry.Born != 0 && r.Born != u.entry.Born {
		return
	}
	u.requestedAt = time.Time{}
	if u.unreachable {
		u.unreachable = false
		for m := range u.replicas {
			c.changed[m] = true
		}
	}
	if u.order != nil {
		return
	}
	stale := c.mayBeStale(requestedAt, u, r)
	switch {
	case u.known && r.Accepted < u.accepted:
		u.reportAt = now.Add(reportRetry) // The report is older than the last order.
		return
	case u.known && r.Accepted > u.accepted:
		// The upstream accepted an order whose answer was lost.
		u.accepted, u.inDoubt = r.Accepted, false
		if u.load != nil && !r.Busy {
			u.load = nil
		}
	case stale:
		u.reportAt = now.Add(reportRetry)
		if u.unloading != "" {
			u.reportAt = now.Add(drainPoll)
		}
		return
	}
	u.known, u.counted, u.accepted, u.inDoubt = true, true, r.Accepted, false
	if r.Busy {
		r.InMemory = nil // The end of a load evicts the least recently used weights.
	}
	c.setCopies(u, r.InMemory, r.OnDisk)
	c.reconcile(now, u, r)
}

// mayBeStale reports whether the content of the report may be from before the last order or before the assumed end of a load.
func (c *Controller) mayBeStale(requestedAt time.Time, u *upstream, r Report) bool {
	if requestedAt.Sub(u.assumedAt) < c.settings.ReportLag {
		return true
	}
	// The number of accepted orders shows that the content is from after the last one.
	counted := u.counted && !u.inDoubt && r.Accepted == u.accepted
	return !counted && requestedAt.Sub(u.lastOrderAt) < c.settings.ReportLag
}

// reconcile updates the upstream's load and replicas from the report.
func (c *Controller) reconcile(now time.Time, u *upstream, r Report) {
	held := heldModels(r.Held)
	if u.load != nil {
		switch {
		case slices.Contains(held, u.load.model):
			c.finishLoad(now, u)
		case !r.Busy && now.Sub(u.load.acceptedAt) > 2*c.settings.ReportLag:
			u.load = nil
			u.failedAt = now
		default:
			c.checkOverdue(now, u.load)
			u.reportAt = now.Add(reportRetry)
		}
	}
	if !r.Busy {
		u.unloading = ""
	}
	if u.load == nil {
		c.adopt(u, r.Held)
	}
	for _, k := range r.LoadingAdapters {
		if loaded, ok := u.replicas[k.Model]; ok {
			if _, ok := loaded.adapters[k.Adapter]; !ok {
				loaded.adapters[k.Adapter] = now.Add(c.settings.AdapterTime)
				c.changed[k.Model] = true
			}
		}
	}
	if u.hasUnloadingAdapter() {
		u.reportAt = now.Add(reportRetry)
	}
	if !r.Busy && !u.drainingSince.IsZero() {
		c.drainTime += time.Duration(drainWeight * float64(now.Sub(u.drainingSince)-c.drainTime))
		u.drainingSince = time.Time{}
	}
	if !r.Busy || u.load != nil {
		u.busySince = time.Time{}
	}
	if r.Busy && u.load == nil {
		if u.busySince.IsZero() {
			u.busySince = now
		}
		// An unload waits for requests, or another controller ordered a load. Its model is not listed until it is ready, so the free memory is unknown.
		u.known = false
		u.reportAt = now.Add(reportRetry)
		if u.unloading != "" {
			u.reportAt = now.Add(drainPoll)
		}
	}
}

func (c *Controller) finishLoad(now time.Time, u *upstream) {
	if _, ok := u.replicas[u.load.model]; !ok {
		c.addReplica(u, u.load.model, &replica{adapters: make(map[string]time.Time), lastUsed: now, loadedAt: now, since: now})
	}
	c.addDiskCopy(u, u.load.model)
	if l := u.load; l.fromStore {
		c.speed.recordFinished(l.concurrent, now.Sub(l.acceptedAt), l.fullSpeedTime)
		c.updateForecasts()
	}
	c.ready = append(c.ready, Ready{
		u.entry.ID, Key{Model: u.load.model}, u.load.fromStore, now.Sub(u.load.acceptedAt), u.load.due.Sub(u.load.acceptedAt),
	})
	u.load = nil
}

// RecordReportFailure records that a request for a report failed. The upstream counts as unreachable until its next report, unless it only
// wants no requests for now.
func (c *Controller) RecordReportFailure(now time.Time, id string) {
	if u, ok := c.upstreams[id]; ok {
		u.requestedAt = time.Time{}
		u.unreachable = u.unreachable || !u.paused(now)
		u.reportAt = now.Add(2 * reportRetry)
	}
}

// Pause records that a process of an upstream wants neither orders nor requests for reports until the given time. What it holds is known
// from the published state meanwhile.
func (c *Controller) Pause(id string, born int64, until time.Time) {
	if u, ok := c.upstreams[id]; ok && u.entry.Born == born && until.After(u.pausedUntil) {
		u.pausedUntil = until
	}
}

// checkOverdue corrects the forecasts if a load that is still in progress is overdue.
func (c *Controller) checkOverdue(now time.Time, l *load) {
	if l.fromStore && c.speed.recordOverdue(l.concurrent, now.Sub(l.acceptedAt), l.fullSpeedTime) {
		c.updateForecasts()
	}
}

// RecordRefusal records that an upstream refused a request because it may not hold the model or adapter. The model or adapter
// keeps its memory or slot until a report shows otherwise: the upstream may be full, or still be loading the adapter.
func (c *Controller) RecordRefusal(now time.Time, id string, k Key) {
	u, ok := c.upstreams[id]
	if !ok {
		return
	}
	if _, held := u.replicas[k.Model]; held && c.mayUnload(u, k) {
		u.unloading, u.drainingSince = k.Model, u.busySince
		c.removeReplica(u, k.Model)
	}
	if r, held := u.replicas[k.Model]; held {
		if at, ok := r.adapters[k.Adapter]; ok && !at.Equal(unloading) {
			r.adapters[k.Adapter] = now.Add(c.settings.ReportLag)
		}
		if u.reportAt.IsZero() {
			u.reportAt = now
		}
	}
}

// mayUnload reports whether a refusal of a request for the model shows that the upstream unloads it on the order of an earlier controller. Reports
// list the model until the responses in progress have ended. An upstream refuses others only if it has no slot.
func (c *Controller) mayUnload(u *upstream, k Key) bool {
	return !u.busySince.IsZero() && u.unloading == "" && k.Adapter == "" && c.running.upstream[u.entry.ID] < u.entry.Slots
}
