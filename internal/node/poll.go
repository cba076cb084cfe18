package node

import "time"

const (
	// These are shares of the operator's bounds. They leave time for one lost request, a heartbeat from the hub and a late timer.
	listIntervalShare = 0.35
	maxListAgeShare   = 0.65
	configPollShare   = 0.45
	maxConfigAgeShare = 0.65
	// ageLimitShare is the age, as a share of the bound, at which a host that depends on a hub turns to the store whatever becomes of
	// its heartbeats. The rest is for noticing it at a tick, one lost read, and the read after it.
	ageLimitShare = 0.75
	// maxPollTime limits the times derived from long bounds, because crashed upstreams are also detected from the list.
	maxPollTime = 1500 * time.Millisecond
)

// pollTimes are the intervals and limits for reading the store. They are derived from the operator's bounds and no shorter than
// these require, since each call to the store has a cost.
type pollTimes struct {
	listInterval   time.Duration // time between two reads of the list
	maxListAge     time.Duration // age of a hub's list above which a host reads the store itself
	configPollWait time.Duration // how long the store holds a request for a newer configuration
	maxConfigAge   time.Duration // age of a hub's configuration above which a host reads the store itself
	listAgeLimit   time.Duration // age at which a dependent host reads the list itself without waiting for a hub
	configAgeLimit time.Duration // age at which a dependent host reads the configuration itself without waiting for a hub
	probeInterval  time.Duration // longest time between two reads of a dependent host that the store doesn't answer
}

func newPollTimes(l LimitSettings) pollTimes {
	leaveBound, configBound := time.Duration(l.LeaveMS)*time.Millisecond, time.Duration(l.ConfigMS)*time.Millisecond
	interval, wait := min(share(leaveBound, listIntervalShare), maxPollTime), min(share(configBound, configPollShare), maxPollTime)
	return pollTimes{
		listInterval: interval, maxListAge: min(share(leaveBound, maxListAgeShare), interval+maxPollTime),
		configPollWait: wait, maxConfigAge: min(share(configBound, maxConfigAgeShare), wait+maxPollTime),
		listAgeLimit: share(leaveBound, ageLimitShare), configAgeLimit: share(configBound, ageLimitShare),
		probeInterval: min(share(time.Duration(l.ContactMS)*time.Millisecond, probeShare), maxProbeInterval),
	}
}

func share(d time.Duration, fraction float64) time.Duration {
	return time.Duration(fraction * float64(d))
}
