package node

import "time"

const (
	// outageFailures is the number of consecutive failed reads of the list after which a host with a stale hub assumes an outage
	// of the store. A single request may be lost without an outage.
	outageFailures = 2
	// probeInterval is the time between two reads by a host that assumes an outage. Its hub reads more often and reports the end
	// of the outage; the host's own reads show whether only the hub is cut off from the store.
	probeInterval = 3 * time.Second
	// maxProbeInterval is the time between two reads by a host whose hub reports that the store answers no hub.
	maxProbeInterval = 10 * time.Second
)

// outage counts consecutive failed reads of the list.
type outage struct {
	failures int
	failedAt time.Time // time of the last failed read
	since    time.Time // when a hub first reported that the store answers no hub; zero if none did since the last reset
}

// assume records that the hub reports an outage for all hubs. This host reads the store itself only once per maxProbeInterval.
func (o *outage) assume(now time.Time) {
	if o.since.IsZero() || now.Sub(o.since) > maxProbeInterval+probeInterval {
		o.since = now
	}
	if now.Sub(o.since) < maxProbeInterval {
		o.failures, o.failedAt = max(o.failures, outageFailures), now
	}
}

func (o *outage) recordFailure(now time.Time) {
	o.failures++
	o.failedAt = now
}

// reset ends the outage: the store has answered this host or its hub, or the hub doesn't answer.
func (o *outage) reset() { *o = outage{} }

// active reports whether the store is assumed to be unreachable for all hosts.
func (o *outage) active(now time.Time) bool {
	return o.failures >= outageFailures && now.Sub(o.failedAt) < probeInterval
}
