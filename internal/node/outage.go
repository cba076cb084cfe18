package node

import (
	"context"
	"math/rand/v2"
	"time"
)

const (
	// outageFailures is the number of consecutive failed reads of the list after which a host assumes that the store doesn't answer
	// it. A single request may be lost without an outage.
	outageFailures = 2
	// outageMemory is how long a failed read counts; it is longer than the time between two reads of a host that assumes an outage.
	outageMemory = 3 * time.Second
	// probeShare is the share of the operator's contact bound after which a host that depends on a hub reads the store again after
	// several failures. It leaves time for one lost read before the bounds on configuration and list apply to the host again.
	probeShare       = 0.4
	maxProbeInterval = 2 * time.Second
	// unknownEra is the era of the store before the first answer.
	unknownEra = -1
)

// outage counts consecutive failed reads of the list by this host. What other hosts report about the store doesn't count: it may answer
// this host all the same.
type outage struct {
	failures int
	failedAt time.Time // time of the last failed read
}

func (o *outage) recordFailure(now time.Time) {
	o.failures++
	o.failedAt = now
}

func (o *outage) reset() { *o = outage{} }

// active reports whether the store is assumed not to answer this host.
func (o *outage) active(now time.Time) bool {
	return o.failures >= outageFailures && now.Sub(o.failedAt) < outageMemory
}

// awaitConfigRetry waits after a number of consecutive failed calls for the configuration. A host that depends on a hub waits longer than
// for the list, but only until a read of the list succeeds: one call at a time shows whether the store answers again.
func (n *Node) awaitConfigRetry(ctx context.Context, failed int) {
	delay := n.storeRetryDelay(failed)
	if n.config.Load() == nil {
		delay = min(delay, maxInitialRetry)
	} else if failed >= outageFailures && n.dependent.Load() && n.listLost.Load() {
		delay = maxProbeInterval
	}
	lost := n.listLost.Load()
	for until := time.Now().Add(delay); time.Now().Before(until) && n.listLost.Load() == lost; {
		if !sleep(ctx, min(sourceCheckInterval, time.Until(until))) {
			return
		}
	}
}

// storeRetryDelay returns the delay after a number of consecutive failed calls to the store. Hosts that depend on a hub retry less
// often, because there are hundreds of them, and at random times.
func (n *Node) storeRetryDelay(failed int) time.Duration {
	if failed < outageFailures || !n.dependent.Load() {
		return backoff(failed)
	}
	return time.Duration(float64(n.poll.probeInterval) * (1 - rand.Float64()/4)) //nolint:gosec // need not be unpredictable
}

// observeEra notices when the store came back from a copy, from its answers or from what hubs have read. A holder of the lease then has to
// begin a new term, and this host has to publish itself again.
func (n *Node) observeEra() {
	era := n.storeEra
	if n.platform.Era != nil {
		era = max(era, n.platform.Era())
	}
	if newest, _, ok := n.lease.Newest(n.now()); ok {
		era = max(era, newest.Era)
	}
	if n.hasList {
		era = max(era, n.progress.Era)
	}
	if n.storeEra != unknownEra && era > n.storeEra {
		n.log("node").Warn("store came back from a copy", "event", eventReturned, "era", era, "before", n.storeEra)
		// Otherwise those that may take over would wait for the record of before first, and then for that of the copy.
		if n.term != 0 || n.mayTakeLease() {
			n.lease.Reread()
		}
	}
	n.storeEra = era
	n.announceAgain()
}
