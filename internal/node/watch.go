package node

import (
	"bytes"
	"context"
	"time"

	"github.com/fireflycleat/fireflycleat/pkg/fleet"
)

const (
	// configMargin is added to configPollWait to get the timeout of the call, which detects a connection that no longer answers.
	configMargin = 400 * time.Millisecond
	// initialConfigTimeout limits the first requests for the configuration: a host without one can't serve, and a store that
	// didn't answer the last request may be back.
	initialConfigTimeout = 400 * time.Millisecond
	// configLinkShare is the share of the host's link that reads of the configuration may use.
	configLinkShare = 0.25
	// minConfigPause is the shortest pause that is made after a record; a shorter one would cost more calls than it saves bytes.
	minConfigPause = 100 * time.Millisecond
	bitsPerMegabit = 1e6
	bitsPerByte    = 8
	// listHeadStart is how long a host with a slow link lets its first read of the list go before that of the configuration. Together they
	// take longer than initialListTimeout on such a link, and requests go to upstreams that leave until the list is read.
	listHeadStart = 200 * time.Millisecond
	turnChecks    = 20 // checks of the list within listHeadStart
	// fullTimeoutEvery is the interval, in first requests, at which one gets the full timeout, in case the store is slow.
	fullTimeoutEvery = 3
	listTimeout      = 600 * time.Millisecond
	// initialListTimeout limits the first reads of a host that turns to the store: what it has may be about to be too old.
	initialListTimeout = 400 * time.Millisecond
	// longListTimeout limits a read of the complete list after one that ended within the list: the store answers, but the list is long or many
	// hosts read it.
	longListTimeout = 2 * time.Second
	// retryDelay is the delay after a first failed call, and maxRetryDelay the longest delay after several: refused calls have a
	// cost too.
	retryDelay    = 150 * time.Millisecond
	maxRetryDelay = 600 * time.Millisecond
	// maxInitialRetry is the longest retry delay of a host without a configuration.
	maxInitialRetry = 300 * time.Millisecond
	// sourceCheckInterval is the time between two checks of whether this host has to read the store itself.
	sourceCheckInterval = 50 * time.Millisecond
	// membersInterval is the time between two reads of the published members; heartbeats report new ones earlier.
	membersInterval = 10 * time.Second
	// membersRetryDelay is the delay after a failed read of them by a host that has read them before.
	membersRetryDelay = 2500 * time.Millisecond
	storeTimeout      = 600 * time.Millisecond
	// maxSkippedLogged is the number of skipped entries logged per read, and maxSkippedKnown the number remembered as logged.
	maxSkippedLogged = 8
	maxSkippedKnown  = 1000
)

// watchConfig keeps the configuration up to date.
func (n *Node) watchConfig(ctx context.Context) {
	cursor, wait := Cursor{}, n.poll.configPollWait
	var last []byte // record that was read last
	for failed := 0; ctx.Err() == nil; {
		if !n.direct.Load() || n.awaitsPeers() {
			cursor, failed, wait, last = Cursor{}, 0, n.poll.configPollWait, nil
			sleep(ctx, sourceCheckInterval)
			continue
		}
		timeout := wait + configMargin
		if cursor == (Cursor{}) && last == nil && failed%fullTimeoutEvery != fullTimeoutEvery-1 {
			timeout = initialConfigTimeout
			n.awaitListRead(ctx)
		}
		start := n.bootNow()
		callCtx, cancel := context.WithTimeout(ctx, timeout)
		record, next, err := n.platform.Config(callCtx, cursor, wait)
		cancel()
		end := n.bootNow()
		if err != nil {
			n.control.Post(func() {
				n.recordDependency("configuration", err)
				if n.listTooLong() { // Reads of the list don't show that the store is silent.
					n.outage.recordFailure(time.Now())
				}
			})
			failed++
			n.awaitConfigRetry(ctx, failed)
			continue
		}
		readAt := configReadAt(start, end, wait, len(record) > 0)
		n.control.Post(func() {
			n.recordDependency("configuration", nil)
			if n.listTooLong() {
				n.outage.reset()
			}
			if len(record) > 0 {
				n.applyConfigRecord(record)
			}
			n.configAt = later(n.configAt, readAt)
		})
		cursor, failed, wait = next, 0, n.poll.configPollWait
		if len(record) == 0 {
			sleep(ctx, retryDelay)
			continue
		}
		// The next call ends before the configuration gets older than between two calls without a record.
		wait = max(wait-end.Sub(start), 0)
		if pause := n.configPause(len(record)); pause > 0 && !bytes.Equal(record, last) {
			sleep(ctx, pause)
			wait, cursor = max(wait-pause, 0), Cursor{} // Of the records that have come meanwhile, only the newest matters.
		}
		last = record
	}
}

// awaitListRead waits until this host has read the list since it turned to the store, for listHeadStart at the most. It does not wait if the
// host has a fast link, or no configuration.
func (n *Node) awaitListRead(ctx context.Context) {
	if n.configPause(int(n.recordSize.Load())) == 0 {
		return
	}
	for until := time.Now().Add(listHeadStart); !n.listRead.Load() && time.Now().Before(until); {
		if !sleep(ctx, listHeadStart/turnChecks) {
			return
		}
	}
}

// configPause returns the pause after a configuration record of the given size, so that a storm of changes leaves room on the link of a small
// host for the list of upstreams and for callers. It is zero on a fast link.
func (n *Node) configPause(size int) time.Duration {
	bitsPerSecond := n.settings.Host.LinkMbps * bitsPerMegabit
	if bitsPerSecond <= 0 {
		return 0
	}
	pause := seconds(float64(bitsPerByte*size) / (configLinkShare * bitsPerSecond))
	if pause < minConfigPause {
		return 0
	}
	return min(pause, n.poll.configPollWait)
}

// awaitsPeers reports whether this host has to ask other hosts for the configuration first: the store may have come back from a copy, and a
// host without a configuration would take an older one than the others have in force.
func (n *Node) awaitsPeers() bool {
	return !n.peersAsked.Load() && n.config.Load() == nil && !n.settings.Host.Bootstrap
}

// configReadAt returns the time as of which a call to the store shows the configuration. The answer may have waited in a socket while this
// host was slow or stopped, so that only the time at which the store sent it at the earliest counts: a record comes as soon as there
// is one, no record only after the whole wait.
func configReadAt(start, end time.Time, wait time.Duration, hasRecord bool) time.Time {
	if sent := start.Add(wait); !hasRecord && sent.Before(end) {
		return sent
	} else if !hasRecord {
		return end
	}
	return start
}

// later returns the later of two times.
func later(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}

// applyConfigRecord decodes and applies a configuration record; one that can't be decoded is logged and ignored.
func (n *Node) applyConfigRecord(record []byte) {
	c, err := n.platform.DecodeConfig(record)
	if err != nil {
		n.log("node").Warn("configuration record is invalid, keeping the current one", "event", eventSkipped, "entry", "configuration", "err", err)
		return
	}
	switch old := n.config.Load(); {
	case old == nil || c.Version() > old.Version():
		n.record = configRecord{plain: record}
		n.recordSize.Store(int64(len(record)))
	case c.Version() < old.Version():
		n.log("node").Info("configuration is older than the one in force, keeping that", "event", eventConfigOlder, "version", c.Version(), "current", old.Version())
	}
	n.applyConfig(c)
}

// configVersion returns the version of the configuration in force, or zero if there is none.
func (n *Node) configVersion() int64 {
	if c := n.config.Load(); c != nil {
		return c.Version()
	}
	return 0
}

// applyConfig applies a configuration; an older or equal version is ignored.
func (n *Node) applyConfig(c *fleet.Config) {
	old := n.config.Load()
	if old != nil && c.Version() <= old.Version() {
		return
	}
	n.config.Store(c)
	n.gate.SetHeadBytes(c.Limits().HeaderBytes)
	engines := make(map[string]*fleet.Engine)
	for name, s := range c.Services() {
		if s.Engine != nil {
			engines[name] = s.Engine
		}
	}
	n.placing.Configure(engines)
	n.updatePlacing(time.Now())
	n.updateReady()
	n.forgetTeams(old, c)
	n.log("node").Info("configuration applied", "event", eventConfig, "version", c.Version(), "routes", c.RouteCount(), "teams", len(c.Teams()))
}

// watchList keeps the list of upstreams up to date.
func (n *Node) watchList(ctx context.Context) {
	cursor, begun := Cursor{}, false
	for failed := 0; ctx.Err() == nil; {
		if !n.direct.Load() {
			cursor, failed, begun = Cursor{}, 0, false
			n.listRead.Store(false)
			sleep(ctx, sourceCheckInterval)
			continue
		}
		if cursor == (Cursor{}) && n.listTooLong() {
			sleep(ctx, sourceCheckInterval)
			continue
		}
		start := n.bootNow()
		timeout := listTimeout
		if cursor == (Cursor{}) && failed%fullTimeoutEvery != fullTimeoutEvery-1 {
			timeout = initialListTimeout
		}
		if begun {
			timeout = longListTimeout
		}
		callCtx, cancel := context.WithTimeout(ctx, timeout)
		changes, err := n.platform.Upstreams(callCtx, cursor)
		cancel()
		n.control.Post(func() {
			n.recordDependency("list", err)
			if err != nil {
				n.list.MarkUnreadable()
				n.outage.recordFailure(time.Now())
				n.chooseSource()
				return
			}
			n.outage.reset()
			n.applyListRead(start, changes)
		})
		n.listLost.Store(err != nil)
		begun = err != nil && changes.Begun
		n.listRead.Store(true)
		if err != nil {
			failed++
			sleep(ctx, n.storeRetryDelay(failed))
			continue
		}
		cursor, failed = changes.Cursor, 0
		sleep(ctx, n.poll.listInterval-n.bootNow().Sub(start))
	}
}

// listTooLong reports whether this host depends on a hub and its link can't carry the complete list within the time of a read. Such a read would fail,
// and take the link from callers and from reads of the configuration meanwhile, and the store's link from the hubs, which can read the list.
func (n *Node) listTooLong() bool {
	bitsPerSecond := n.settings.Host.LinkMbps * bitsPerMegabit
	return n.dependent.Load() && bitsPerSecond > 0 && bitsPerByte*float64(n.listBytes.Load()) > bitsPerSecond*listTimeout.Seconds()
}

// backoff returns the delay after a number of consecutive failed calls.
func backoff(failed int) time.Duration {
	return min(retryDelay<<min(max(failed-1, 0), 8), maxRetryDelay)
}

// applyListRead applies changes of the list that this host requested from the store at the given boot time. The next feed of a hub has to be
// complete, because its changes refer to the list of the feed before.
func (n *Node) applyListRead(start time.Time, c ListChanges) {
	now := time.Now()
	n.listAt, n.feedHub = start, ""
	n.list.MarkRead(now, c.Cursor.Era, c.Cursor.Next)
	n.progress = n.list.Progress()
	n.logSkipped("list", c.Skipped)
	if c.Complete {
		for _, s := range c.Skipped {
			if u, ok := n.list.Live(s.ID); ok {
				c.Put = append(c.Put, u)
			}
		}
		n.list.Reset(now, c.Put)
		n.listBytes.Store(int64(c.Bytes))
	} else {
		for _, u := range c.Put {
			n.list.Put(u)
		}
	}
	for _, id := range c.Removed {
		n.list.Remove(now, id)
	}
	n.applyList(now, n.list.Current(now))
}

// logSkipped logs entries that could not be decoded. Each is logged once per reason, and few at a time, because another writer may write
// without end.
func (n *Node) logSkipped(list string, entries []SkippedEntry) {
	if len(n.skipped) > maxSkippedKnown {
		clear(n.skipped)
	}
	logged := 0
	for _, e := range entries {
		if n.skipped[e] || logged == maxSkippedLogged {
			continue
		}
		if n.skipped == nil {
			n.skipped = make(map[SkippedEntry]bool)
		}
		n.skipped[e] = true
		logged++
		n.log(list).Warn("entry skipped", "event", eventSkipped, "entry", e.ID, "err", e.Reason, "skipped", len(entries))
	}
}

// applyList applies the complete list of current upstreams. It sets Leaving in the entries of those that said that they leave.
func (n *Node) applyList(now time.Time, current map[string]fleet.Upstream) {
	n.table.MarkLeaving(current)
	n.logListChanges(n.upstreams, current)
	n.changes.recordChanges(n.upstreams, current)
	n.list.RecordChanges(now, n.upstreams, current)
	n.upstreams, n.hasList = current, true
	n.numbered.assign(current)
	n.table.Replace(current)
	n.updatePlacing(now)
	n.resolveUnclear(now)
	n.updateReady()
	n.schedulePlan()
}

// updatePlacing applies the list to the placement of models, unless this host depends on a hub, so that it can't become the controller: the work
// grows with the number of upstreams, and most hosts have a small share of a core.
func (n *Node) updatePlacing(now time.Time) {
	if n.parent == "" || n.term != 0 {
		n.placing.SetUpstreams(now, n.upstreams)
	}
}

// logListChanges logs upstreams that appear, start leaving or disappear, and closes the idle connections to those that are gone.
func (n *Node) logListChanges(before, after map[string]fleet.Upstream) {
	if len(before) == 0 {
		n.log("list").Info("first list of upstreams", "event", eventUpstream, "upstreams", len(after))
		return
	}
	for id, u := range after {
		if old, ok := before[id]; !ok || old.Leaving != u.Leaving || old.Born != u.Born {
			n.log("list").Info("upstream added or changed", "event", eventUpstream, "upstream", id, "service", u.Service,
				"leaving", u.Leaving, "timeLeft", u.TimeLeft)
		}
	}
	for id, u := range before {
		if _, ok := after[id]; !ok {
			n.pool.CloseIdle(u.Address)
			n.log("list").Info("upstream gone", "event", eventUpstreamGone, "upstream", id)
		}
	}
}
