package pick

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/fireflycleat/fireflycleat/pkg/spread"
)

// Choose draws an upstream for the request from those of the lowest expected cost, or returns false if none can be used. An upstream
// that is silent or has just failed is drawn only if no other can be used.
func (t *Table) Choose(now time.Time, q Query) (Choice, bool) {
	service := t.service(q.Service)
	usable, avoided := make([]*upstreamState, 0, len(service.upstreams)), []*upstreamState(nil)
	for _, s := range service.upstreams {
		switch {
		case !s.serves(now, q) || q.Exclude[s.entry.ID] || !s.gate.open(now):
		case now.Before(s.avoidedUntil) || s.silent(now):
			avoided = append(avoided, s)
		default:
			usable = append(usable, s)
		}
	}
	if len(usable) == 0 {
		usable = avoided
	}
	if len(usable) == 0 {
		return Choice{}, false
	}
	session, mean := t.sessionUpstream(now, q), service.meanFirstEvent()
	age := max(now.Sub(t.reportedAt()), 0)
	stay := time.Duration(service.meanStay * float64(time.Second))
	crossing, random := t.crossingCost(usable, q, t.Random())
	list := make([]spread.Upstream, len(usable))
	for i, s := range usable {
		u := spread.Upstream{
			Places: float64(s.places(q)), Speed: s.speed, Own: float64(len(s.inFlight)),
			Others: float64(t.peerTotals[s.entry.ID]), Age: age, Stay: stay, Cost: s.slowness(mean) + s.speedCost(q), Bias: s.unreliability(now),
		}
		if s.entry.DataCentre != t.dataCentre {
			u.Bias += crossing
		}
		switch s.entry.ID {
		case q.Prefer:
			u.Bias -= preference
		case session:
			u.Bias -= sessionPreference
		}
		list[i] = u
	}
	i, load := spread.Draw(list, random)
	e := usable[i].entry
	return Choice{e.ID, e.Born, e.Address, e.DataCentre, t.running(e.ID), load * list[i].Places}, true
}

// crossingCost returns the disadvantage of upstreams in other data centres, and a number that is uniform and independent of it. Reports may
// be older than the requests in them last, so that the expected loads don't show that this data centre gets more requests than others. The
// disadvantage therefore falls away for a share of the requests that rises with the difference between the reported loads.
func (t *Table) crossingCost(usable []*upstreamState, q Query, random float64) (cost, rest float64) {
	var running, places [2]float64
	for _, s := range usable {
		i := 0
		if s.entry.DataCentre != t.dataCentre {
			i = 1
		}
		running[i] += float64(t.running(s.entry.ID))
		places[i] += float64(s.places(q))
	}
	if places[0] == 0 || places[1] == 0 {
		return centrePenalty, random
	}
	excess := running[0]/places[0] - running[1]/places[1] - centrePenalty
	share := min(max(excess/crossingRange, 0), 1)
	if random < share {
		return 0, random / share
	}
	return centrePenalty, (random - share) / (1 - share)
}

// NewRandom returns a source for Table.Random. Its numbers are repeatable and independent of those for other names.
func NewRandom(name string) func() float64 {
	return rand.New(rand.NewPCG(xxhash.Sum64String(name), 0)).Float64 //nolint:gosec // need not be unpredictable
}

// service returns the service of the name, which it adds if it is unknown.
func (t *Table) service(name string) *service {
	s, ok := t.services[name]
	if !ok {
		s = new(service)
		t.services[name] = s
	}
	return s
}

// groupUpstreams updates the lists of upstreams by service.
func (t *Table) groupUpstreams() {
	for _, s := range t.services {
		s.upstreams = s.upstreams[:0]
	}
	for _, s := range t.upstreams {
		group := t.service(s.entry.Service)
		group.upstreams = append(group.upstreams, s)
	}
	for _, s := range t.services {
		slices.SortFunc(s.upstreams, func(a, b *upstreamState) int { return cmp.Compare(a.entry.ID, b.entry.ID) })
	}
}

// reportedAt returns the mean time for which the reports of the peers hold, weighted by the requests in them.
func (t *Table) reportedAt() time.Time {
	var first time.Time
	sum, total := 0.0, 0
	for _, p := range t.peers {
		if first.IsZero() {
			first = p.at
		}
		sum += p.at.Sub(first).Seconds() * float64(p.total)
		total += p.total
	}
	return first.Add(time.Duration(sum / float64(max(total, 1)) * float64(time.Second)))
}

// ReportAge returns the mean age of what is known of the requests in flight, those of this host included.
func (t *Table) ReportAge(now time.Time) time.Duration {
	own, others := 0, 0
	for _, s := range t.upstreams {
		own += len(s.inFlight)
	}
	for _, p := range t.peers {
		others += p.total
	}
	if others == 0 {
		return 0
	}
	return max(now.Sub(t.reportedAt()), 0) * time.Duration(others) / time.Duration(own+others)
}

// Loads returns the mean and the highest share of the slots in use over the upstreams that accept requests, as far as this host knows.
func (t *Table) Loads() (mean, highest float64) {
	running, slots := 0, 0
	for id, s := range t.upstreams {
		if s.removed || s.entry.Leaving || s.entry.Slots <= 0 {
			continue
		}
		n := t.running(id)
		running += n
		slots += s.entry.Slots
		highest = max(highest, float64(n)/float64(s.entry.Slots))
	}
	return float64(running) / float64(max(slots, 1)), highest
}

// meanFirstEvent returns the mean time to the first event over the upstreams, in seconds.
func (s *service) meanFirstEvent() float64 {
	sum, n := 0.0, 0
	for _, u := range s.upstreams {
		if u.meanFirstEvent > 0 {
			sum += u.meanFirstEvent
			n++
		}
	}
	if n == 0 {
		return 0
	}
	return sum / float64(n)
}

// slowness returns the disadvantage of the upstream for its times to the first event, as a share of its places.
func (s *upstreamState) slowness(serviceMean float64) float64 {
	if serviceMean <= 0 || s.meanFirstEvent <= serviceMean {
		return 0
	}
	return slowPenalty * min(s.meanFirstEvent/serviceMean-1, maxSlowdown)
}

// speedCost returns the disadvantage of the upstream for its speed, as a share of its places: the time by which a response takes longer than at
// mean speed. A slow engine also pauses the responses in progress for longer while it reads a prompt, even if few requests run there.
func (s *upstreamState) speedCost(q Query) float64 {
	if q.Key.Model == "" || s.speed <= 0 {
		return 0
	}
	return 1/s.speed - 1
}

// unreliability returns the disadvantage of the upstream for failed and refused requests of this host, as a share of its places.
func (s *upstreamState) unreliability(now time.Time) float64 {
	cost := errorPenalty * s.errorRate
	if now.Sub(s.refusedAt) < refusedTTL {
		cost += refusedPenalty
	}
	return cost
}

// places returns the number of requests that the upstream can run without delaying their events noticeably.
func (s *upstreamState) places(q Query) int {
	if q.Key.Model != "" {
		return max(min(s.entry.Slots, maxEfficientRunning), 1)
	}
	return max(s.entry.Slots, 1)
}
