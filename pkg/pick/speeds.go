package pick

import (
	"math"
	"time"
)

const (
	// meanSpeed is the mean of a service in percent of it.
	meanSpeed = 100
	// reportedDifference is the least difference of a speed from the mean of its service, in percent, that hosts report to each other.
	reportedDifference = 10
)

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
		if x := s.reportedSpeed(); x != meanSpeed {
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

// UpstreamLoads returns the requests in flight at each of the upstreams, and their speeds in percent of the mean of their service.
func (t *Table) UpstreamLoads(upstreams []string) (running, speeds []int) {
	running, speeds = make([]int, len(upstreams)), make([]int, len(upstreams))
	for i, id := range upstreams {
		running[i], speeds[i] = t.peerTotals[id], meanSpeed
		if s, ok := t.upstreams[id]; ok {
			running[i] += len(s.inFlight)
			speeds[i] = s.reportedSpeed()
		}
	}
	return running, speeds
}

// PeerRequests returns the numbers of requests that each peer has in flight, by upstream. They must not be changed.
func (t *Table) PeerRequests() map[string]map[string]int {
	all := make(map[string]map[string]int, len(t.peers))
	for host, p := range t.peers {
		all[host] = p.running
	}
	return all
}

// reportedSpeed returns the speed in percent of the mean of the service, of which it is 100 percent if it differs little.
func (s *upstreamState) reportedSpeed() int {
	if x := int(math.Round(100 * s.speed)); x <= meanSpeed-reportedDifference || x >= meanSpeed+reportedDifference {
		return x
	}
	return meanSpeed
}
