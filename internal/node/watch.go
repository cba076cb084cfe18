package node

import (
	"context"
	"time"

	"github.com/fireflycleat/fireflycleat/pkg/fleet"
)

const (
	// configMargin is added to the wait for a newer configuration; a connection may have gone silent.
	configMargin = 400 * time.Millisecond
	// firstTimeout limits the first questions: a host without a configuration serves nobody, and a silent store may be back.
	firstTimeout = 400 * time.Millisecond
	// patientEvery is how often the first question is given the whole time, for a store that is slow.
	patientEvery = 3
	listTimeout  = 600 * time.Millisecond
	// retryTime is the wait after a first failed call, and longestRetry that after several: refused calls have a price too.
	retryTime    = 150 * time.Millisecond
	longestRetry = 600 * time.Millisecond
	// firstRetry is the longest wait of a host without a configuration.
	firstRetry = 300 * time.Millisecond
	// idleInterval is the time between two looks whether this host has to read the store itself.
	idleInterval = 50 * time.Millisecond
	// membersInterval is the time between two readings of the members; heartbeats tell of new ones earlier.
	membersInterval = 10 * time.Second
	storeTimeout    = 600 * time.Millisecond
)

// watchConfig keeps the configuration up to date.
func (n *Node) watchConfig(ctx context.Context) {
	cursor := int64(0)
	for failed := 0; ctx.Err() == nil; {
		if !n.direct.Load() {
			cursor = 0
			sleep(ctx, idleInterval)
			continue
		}
		timeout := n.pace.configWait + configMargin
		if cursor == 0 && failed%patientEvery != patientEvery-1 {
			timeout = firstTimeout
		}
		limited, cancel := context.WithTimeout(ctx, timeout)
		record, next, err := n.platform.Config(limited, cursor, n.pace.configWait)
		cancel()
		n.control.Post(func() {
			n.depends("configuration", err)
			if err == nil {
				n.configAt = time.Now() // Up to its answer the store had no newer version.
			}
		})
		if err != nil {
			failed++
			wait := backoff(failed)
			if n.config.Load() == nil {
				wait = min(wait, firstRetry)
			}
			sleep(ctx, wait)
			continue
		}
		cursor, failed = next, 0
		if len(record) > 0 {
			n.control.Post(func() { n.takeConfig(record) })
			continue
		}
		sleep(ctx, retryTime)
	}
}

// takeConfig puts the record of a configuration in force; one that cannot be read changes nothing.
func (n *Node) takeConfig(record []byte) {
	c, err := n.platform.DecodeConfig(record)
	if err != nil {
		n.log("node").Warn("configuration cannot be read and is not used", "event", eventSkipped, "entry", "configuration", "err", err)
		return
	}
	if old := n.config.Load(); old == nil || c.Version() > old.Version() {
		n.record = record
	}
	n.configured(c)
}

// configured puts a configuration in force; versions never go back.
func (n *Node) configured(c *fleet.Config) {
	old := n.config.Load()
	if old != nil && c.Version() <= old.Version() {
		return
	}
	n.config.Store(c)
	engines := make(map[string]*fleet.Engine)
	for name, s := range c.Services() {
		if s.Engine != nil {
			engines[name] = s.Engine
		}
	}
	n.placing.Configure(engines)
	n.placing.Upstreams(time.Now(), n.upstreams)
	n.updateReady()
	n.log("node").Info("configuration in force", "event", eventConfig, "version", c.Version(), "routes", c.Routes())
}

// watchList keeps the list of upstreams up to date.
func (n *Node) watchList(ctx context.Context) {
	cursor := int64(0)
	for failed := 0; ctx.Err() == nil; {
		if !n.direct.Load() {
			cursor = 0
			sleep(ctx, idleInterval)
			continue
		}
		began := time.Now()
		limited, cancel := context.WithTimeout(ctx, listTimeout)
		changes, err := n.platform.Upstreams(limited, cursor)
		cancel()
		n.control.Post(func() {
			n.depends("list", err)
			if err != nil {
				n.list.Down()
				n.outage.failed(time.Now())
				n.chooseSource()
				return
			}
			n.outage.ended()
			n.listAt = began
			n.listChanged(changes)
		})
		if err != nil {
			failed++
			sleep(ctx, backoff(failed))
			continue
		}
		cursor, failed = changes.Cursor, 0
		sleep(ctx, n.pace.listInterval-time.Since(began))
	}
}

// backoff returns the wait after a number of failed calls in a row.
func backoff(failed int) time.Duration {
	return min(retryTime<<min(max(failed-1, 0), 8), longestRetry)
}

func (n *Node) listChanged(c Changes) {
	now := time.Now()
	n.list.Up(now, c.Cursor)
	for _, s := range c.Skipped {
		n.log("list").Warn("entry skipped", "event", eventSkipped, "entry", s)
	}
	if c.Whole {
		n.list.Reset(now, c.Put)
	} else {
		for _, u := range c.Put {
			n.list.Put(u)
		}
	}
	for _, id := range c.Removed {
		n.list.Remove(now, id)
	}
	n.takeList(now, n.list.Current(now))
}

// takeList takes over the list of all upstreams that count.
func (n *Node) takeList(now time.Time, current map[string]fleet.Upstream) {
	n.logList(n.upstreams, current)
	n.feed.note(n.upstreams, current)
	n.upstreams, n.listed = current, true
	n.table.Replace(current)
	n.placing.Upstreams(now, current)
	n.updateReady()
	n.planSoon()
}

// logList logs what the host believes of upstreams that appear, leave or disappear.
func (n *Node) logList(before, after map[string]fleet.Upstream) {
	for id, u := range after {
		if old, ok := before[id]; !ok || old.Leaving != u.Leaving || old.Born != u.Born {
			n.log("list").Info("upstream", "event", eventUpstream, "upstream", id, "service", u.Service, "leaving", u.Leaving, "timeLeft", u.TimeLeft)
		}
	}
	for id, u := range before {
		if _, ok := after[id]; !ok {
			n.pool.Drop(u.Address)
			n.log("list").Info("upstream gone", "event", eventUpstreamGone, "upstream", id)
		}
	}
}
