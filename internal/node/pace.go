package node

import "time"

const (
	// The shares of the bounds leave time for one lost question, a heartbeat from the hub, and a late timer.
	listShare       = 0.35
	listLifeShare   = 0.65
	configShare     = 0.45
	configLifeShare = 0.65
	// longestPace limits the times that follow from generous bounds: the list also tells of upstreams that crashed.
	longestPace = 1500 * time.Millisecond
)

// pace holds the times of reading the store. They follow from the bounds that the operator sets, since each call has a price.
type pace struct {
	listInterval time.Duration // listInterval is the time between two readings of the list.
	listLife     time.Duration // listLife is the age of a list from a hub above which a host reads the store itself.
	configWait   time.Duration // configWait is how long a question for a newer configuration waits at the store.
	configLife   time.Duration // configLife is the age of a configuration from a hub above which a host reads the store itself.
}

func newPace(l LimitSettings) pace {
	leave, apply := time.Duration(l.LeaveMS)*time.Millisecond, time.Duration(l.ConfigMS)*time.Millisecond
	interval, wait := min(share(leave, listShare), longestPace), min(share(apply, configShare), longestPace)
	return pace{
		listInterval: interval, listLife: min(share(leave, listLifeShare), interval+longestPace),
		configWait: wait, configLife: min(share(apply, configLifeShare), wait+longestPace),
	}
}

func share(d time.Duration, part float64) time.Duration { return time.Duration(part * float64(d)) }
