package pick

import "time"

// Wait describes how long the caller of a request waits for the first event. The zero value means that it waits as long as necessary.
type Wait struct {
	Patience  time.Duration // from its arrival until the caller leaves
	Left      time.Duration // until the caller leaves
	Objective time.Duration // until the response is late; zero or negative if it is late already or never
	Ranks     int           // number of less urgent ranks, whose requests it overtakes
}

// QueueTime returns the expected time until a further request at the chosen upstream gets a slot. It is zero if a slot is free or the
// run times are unknown.
func (t *Table) QueueTime(c Choice) time.Duration {
	s, ok := t.upstreams[c.Upstream]
	if !ok || s.entry.Slots <= 0 {
		return 0
	}
	run := t.meanRun[s.entry.Service]
	if s.meanRun > 0 {
		run = min(run, s.meanRun) // Models differ in speed; the lower mean keeps a wrong estimate from refusing requests.
	}
	waiting := c.expected + 1 - float64(s.entry.Slots)
	return time.Duration(max(waiting, 0) * run / float64(s.entry.Slots) * float64(time.Second))
}

// Refuse returns the time after which a request that should not join the queue of the chosen upstream may return, or zero if it may join. It
// joins no queue that outlasts its caller's patience. A queue that has lasted for longer than that is not the rest of a burst: as many requests
// arrive as the upstream serves, and a shorter queue delays each of them less without serving fewer. Such a queue is joined only if the
// response can be on time.
func (t *Table) Refuse(now time.Time, c Choice, w Wait) time.Duration {
	queue, shares := t.QueueTime(c), time.Duration(1+w.Ranks)
	switch {
	case queue <= 0 || w.Left <= 0:
		return 0
	case w.Objective > 0 && queue > w.Objective*shares && t.queuedFor(now, c) > w.Patience:
		return max(queue, w.Patience)
	case queue > w.Left*shares:
		return queue
	}
	return 0
}

// queuedFor returns for how long the chosen upstream has had a queue, as far as Expire has noticed.
func (t *Table) queuedFor(now time.Time, c Choice) time.Duration {
	s, ok := t.upstreams[c.Upstream]
	if !ok || s.queuedSince.IsZero() {
		return 0
	}
	return now.Sub(s.queuedSince)
}
