package node

import "time"

const (
	// Shares of the operator's bounds. They leave time for one lost request, a heartbeat from the hub and a late timer.
	listIntervalShare = 0.35
	maxListAgeShare   = 0.65
	configPollShare   = 0.45
	maxConfigAgeShare = 0.65
	// maxPollTime caps the times derived from generous bounds, because the list also reports crashed upstreams.
	maxPollTime = 1500 * time.Millisecond
)

// pollTimes are the times for reading the store. They are derived from the operator's bounds, since each call to the store has a
// cost.
type pollTimes struct {
	listInterval   time.Duration // listInterval is the time between two readings of the list.
	maxListAge     time.Duration // maxListAge is the age of a hub's list above which a host reads the store itself.
	configPollWait time.Duration // configPollWait is how long the store holds a request for a newer configuration.
	maxConfigAge   time.Duration // maxConfigAge is the age of a hub's configuration above which a host reads the store itself.
}

func newPollTimes(l LimitSettings) pollTimes {
	leave, apply := time.Duration(l.LeaveMS)*time.Millisecond, time.Duration(l.ConfigMS)*time.Millisecond
	interval, wait := min(share(leave, listIntervalShare), maxPollTime), min(share(apply, configPollShare), maxPollTime)
	return pollTimes{
		listInterval: interval, maxListAge: min(share(leave, maxListAgeShare), interval+maxPollTime),
		configPollWait: wait, maxConfigAge: min(share(apply, maxConfigAgeShare), wait+maxPollTime),
	}
}

func share(d time.Duration, part float64) time.Duration { return time.Duration(part * float64(d)) }
