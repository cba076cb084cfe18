package route

import (
	"math"
	"slices"
	"time"

	"github.com/fireflycleat/fireflycleat/pkg/spec"
)

const (
	compareAllLimit = 4  // number of candidates up to which all are compared
	extraDraws      = 16 // further draws if two random candidates have no free slot
	// nonPreferredPenalty is the share of the request time that is added to the score of full replicas that are not preferred,
	// because this host knows the queue exactly only at preferred replicas. At twice the capacity, 0.73% of urgent work was refused
	// with 0.4, 1.2% with none and 1.2% with 0.8.
	nonPreferredPenalty = 0.4
	unsampledPenalty    = 0.02 // in seconds; prefers upstreams with recent samples while others are ejected
	sampleLifetime      = 5 * time.Second
	ejectPenalty        = 1.0 // in seconds; an ejected upstream is chosen only if the others are worse by this much
	// fullPenalty, in seconds, is two one-way delays, so that a nearly full replica loses to an empty one in another data centre.
	fullPenalty    = 0.003
	minShort       = 0.5              // lower bound of the short requests of other hosts, because one may not be in any report yet
	sureDeviations = 2.0              // standard deviations of the load of other hosts, which varies like a Poisson variable
	probeWait      = 30 * time.Second // A call itself probes an ejected upstream if no hedge attempt has done so for this long.
	lightLoadShare = 0.7              // share of used slots below which a replica in the same data centre is chosen without further draws
)

type (
	// Query describes the call for which an upstream is chosen.
	Query struct {
		Model   string
		Adapter string
		Urgency spec.Urgency
		// Aged allows bulk work to use reserved slots.
		Aged bool
		// Repeatable allows the call to probe an ejected upstream.
		Repeatable bool
		// Exclude names an upstream that must not be chosen, such as that of the first attempt.
		Exclude string
	}

	// Choice is a chosen replica.
	Choice struct {
		Upstream string
		Wait     time.Duration // predicted wait for a slot
		First    time.Duration // predicted time from the start to the first token
		Free     bool          // set when a slot is predicted to be free for the class
		Sure     bool          // set when a slot is free even if the load of other hosts is underestimated

		replica *replica
		probe   bool
	}

	// candidate is a replica with its score for a query; the lowest score is the best.
	candidate struct {
		replica *replica
		score   float64
		wait    float64
		first   float64
		free    bool
		probe   bool
		avoid   bool // set when the replica is only a last resort
		hosts   int
	}
)

// Pick chooses a ready replica by predicted wait: the best of all if they are few, otherwise the better of two random ones.
// The preferred replicas of this host are tried first, then those in its data centre, then all.
func (t *Table) Pick(now time.Time, q Query) (Choice, bool) {
	g := t.groups[groupKey{q.Model, q.Adapter}]
	if g == nil || len(g.replicas) == 0 {
		return Choice{}, false
	}
	best := candidate{score: math.Inf(1)}
	t.compareCandidates(now, &q, g, t.preferredReplicas(g), 2, compareAllLimit, &best)
	if best.acceptable() {
		return best.choice()
	}
	if len(g.replicas) > compareAllLimit && g.near > 0 {
		t.compareCandidates(now, &q, g, g.replicas[:g.near], 2, compareAllLimit, &best)
		if best.acceptable() && float64(best.replica.load()) < lightLoadShare*float64(best.replica.Slots) {
			return best.choice()
		}
	}
	// Load figures are up to 2 s old. If hosts compared all candidates, they would all choose the same replica by the same old
	// figures, so only a few random ones are compared here as well.
	t.compareCandidates(now, &q, g, g.replicas, 2, 2, &best)
	if !best.acceptable() {
		t.compareCandidates(now, &q, g, g.replicas, extraDraws, extraDraws, &best)
	}
	return best.choice()
}

// Probe returns an ejected upstream that is due for a probe by a hedge attempt for the call.
func (t *Table) Probe(now time.Time, q Query) (Choice, bool) {
	g := t.groups[groupKey{q.Model, q.Adapter}]
	if g == nil || g.ejected == 0 || !q.Repeatable {
		return Choice{}, false
	}
	for _, r := range g.replicas {
		if r.up.ejected && !r.up.probing && !now.Before(r.up.probeAt) && !now.Before(r.avoidUntil) && r.Upstream != q.Exclude {
			s := candidate{replica: r, hosts: t.hosts.Live, probe: true}
			s.wait, s.free = r.wait(q.Urgency, q.Aged, t.hosts.Live)
			s.first = r.model.first.valueOr(defaultFirstToken.Seconds()) * r.up.slowness(r.model)
			return s.choice()
		}
	}
	return Choice{}, false
}

// At returns the choice of the given upstream for the query, and false if the upstream is not a candidate.
func (t *Table) At(now time.Time, q Query, upstream string) (Choice, bool) {
	r := t.replicas[replicaKey{upstream, q.Model}]
	g := t.groups[groupKey{q.Model, q.Adapter}]
	if r == nil || g == nil || !r.active {
		return Choice{}, false
	}
	for _, o := range r.groups {
		if o == g {
			best := candidate{score: math.Inf(1)}
			t.scoreCandidate(now, &q, g, r, &best)
			return best.choice()
		}
	}
	return Choice{}, false
}

// compareCandidates compares the given number of random candidates, or all of them if there are at most allLimit.
func (t *Table) compareCandidates(now time.Time, q *Query, g *group, replicas []*replica, draws, allLimit int, best *candidate) {
	if len(replicas) == 0 {
		return
	}
	if len(replicas) <= allLimit {
		// Starts at a random candidate. Otherwise all hosts would choose the first of equal ones.
		first := t.random.IntN(len(replicas))
		for i := range replicas {
			t.scoreCandidate(now, q, g, replicas[(first+i)%len(replicas)], best)
		}
		return
	}
	for range draws {
		t.scoreCandidate(now, q, g, replicas[t.random.IntN(len(replicas))], best)
	}
}

func (t *Table) scoreCandidate(now time.Time, q *Query, g *group, r *replica, best *candidate) {
	if r.Upstream == q.Exclude {
		return
	}
	s := candidate{replica: r, hosts: t.hosts.Live}
	s.wait, s.free = r.wait(q.Urgency, q.Aged, t.hosts.Live)
	base := r.model.first.valueOr(defaultFirstToken.Seconds())
	s.first = base * r.up.slowness(r.model)
	fill := float64(r.load()) / float64(r.Slots)
	s.score = s.wait + r.distance.Seconds() + fullPenalty*fill*fill
	s.probe = r.up.ejected && q.Repeatable && !r.up.probing && !now.Before(r.up.probeAt.Add(probeWait))
	if g.ejected > 0 && now.Sub(r.up.sampledAt) > sampleLifetime {
		s.score += unsampledPenalty
	}
	if !s.free && !slices.Contains(g.preferred, r) {
		s.score += nonPreferredPenalty * r.model.requestTime(q.Urgency)
	}
	if !s.probe {
		s.score += s.first - base
	}
	s.avoid = r.up.ejected && !s.probe || now.Before(r.avoidUntil)
	if s.avoid {
		s.score += ejectPenalty
	}
	if s.score < best.score {
		*best = s
	}
}

// acceptable reports whether no further candidates need to be compared.
func (s *candidate) acceptable() bool { return s.replica != nil && s.free && !s.avoid }

// surelyFree reports whether a slot is free even if other hosts have more requests in flight than estimated. The number of their
// short requests deviates from its mean about like a Poisson variable; that of long requests does not change within the delay of
// reports.
func (r *replica) surelyFree(hosts int) bool {
	short := min(float64(r.remote), r.model.meanNonBulk*r.slotShare()*float64(hosts-1))
	return float64(r.load())+sureDeviations*math.Sqrt(max(short, minShort)) < float64(r.Slots)
}

// slotShare returns the replica's share of the slots of its model.
func (r *replica) slotShare() float64 { return float64(r.Slots) / float64(max(r.model.slotSum, 1)) }

func (s *candidate) choice() (Choice, bool) {
	if s.replica == nil {
		return Choice{}, false
	}
	return Choice{
		Upstream: s.replica.Upstream, Wait: seconds(s.wait), First: seconds(s.first), Free: s.free, Sure: s.free && s.replica.surelyFree(s.hosts),
		replica: s.replica, probe: s.probe,
	}, true
}
