package pick

import (
	"math"
	"time"
)

// reportedDifference is the least difference of a speed from the mean of its service, in percent, that hosts report to each other.
const reportedDifference = 10

// RecordServed records requests of another host that an upstream served.
func (t *Table) RecordServed(upstream string, n int) {
	if _, ok := t.upstreams[upstream]; ok && n > 0 {
		t.rates.Served(upstream, n)
	}
}

// UpdateRates records the requests in flight of all hosts since the last call.
func (t *Table) UpdateRates(now time.Time) { t.rates.Update(now, t.Running("")) }

// LearnSpeeds derives the speeds of the upstreams from the requests of all hosts.
func (t *Table) LearnSpeeds() {
	for _, service := range t.services {
		ids := make([]string, len(service.upstreams))
		for i, s := range service.upstreams {
			ids[i] = s.entry.ID
		}
		for i, speed := range t.rates.Speeds(ids) {
			service.upstreams[i].speed = speed
		}
	}
}

// Speeds returns the speeds of the upstreams that differ from the mean of their service, in percent of it.
func (t *Table) Speeds() map[string]int {
	speeds := make(map[string]int)
	for id, s := range t.upstreams {
		if x := s.reportedSpeed(); x != 100 {
			speeds[id] = x
		}
	}
	return speeds
}

// SetSpeeds replaces the speeds by those that another host returned from Speeds.
func (t *Table) SetSpeeds(speeds map[string]int) {
	for id, s := range t.upstreams {
		s.speed = 1
		if x := speeds[id]; x > 0 {
			s.speed = float64(x) / 100
		}
	}
}

// VisitLoads calls visit with the index of each of the upstreams that has requests in flight, except those of one host, or a speed that
// differs from the mean of its service, with these requests and the speed in percent of the mean.
func (t *Table) VisitLoads(except string, upstreams []string, visit func(index, running, speed int)) {
	own := t.peers[except].running
	for i, id := range upstreams {
		running, speed := t.peerTotals[id]-own[id], 100
		if s, ok := t.upstreams[id]; ok {
			running += len(s.inFlight)
			speed = s.reportedSpeed()
		}
		if running > 0 || speed != 100 {
			visit(i, running, speed)
		}
	}
}

// reportedSpeed returns the speed in percent of the mean of the service, of which it is 100 percent if it differs little.
func (s *upstreamState) reportedSpeed() int {
	if x := int(math.Round(100 * s.speed)); x <= 100-reportedDifference || x >= 100+reportedDifference {
		return x
	}
	return 100
}
