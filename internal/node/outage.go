package node

import "time"

const (
	// outageFailures is the number of readings in a row that fail before a host with a stale hub believes in an outage of the
	// store; one may be lost.
	outageFailures = 2
	// probeInterval is the time between two readings of a host that believes in an outage. Its hub reads more often and tells it of
	// the end; the host's own reading finds out that only the hub is cut off.
	probeInterval = 3 * time.Second
)

// outage counts the readings of the list that failed in a row.
type outage struct {
	failures int
	failedAt time.Time
}

func (o *outage) failed(now time.Time) {
	o.failures++
	o.failedAt = now
}

// ended takes over that the store has answered this host or its hub.
func (o *outage) ended() { *o = outage{} }

// lasts reports whether the store is believed to answer nobody.
func (o *outage) lasts(now time.Time) bool {
	return o.failures >= outageFailures && now.Sub(o.failedAt) < probeInterval
}
