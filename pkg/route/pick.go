package route

import (
	"math"
	"slices"
	"time"

	"github.com/fireflycleat/fireflycleat/pkg/spec"
)

const (
	compareAllLimit = 4  // Up to this many candidates are all compared.
	extraDraws      = 16 // Further draws if two random candidates have no free slot.
	// Share of the request time added for full replicas that are not preferred: only at preferred replicas does this host know
	// the queue exactly. At twice the capacity, 0.73% of urgent work was refused with 0.4, 1.2% with none and 1.2% with 0.8.
	nonPreferredPenalty = 0.4
	unsampledPenalty    = 0.02 // In seconds: while some upstreams are ejected, those with recent samples are preferred.
	sampleLifetime      = 5 * time.Second
	ejectPenalty        = 1.0              // In seconds: an ejected upstream is chosen only if the others are worse by this much.
	fullPenalty         = 0.003            // In seconds: two one-way delays, so that a nearly full replica loses to an empty one in another data centre.
	minShort            = 0.5              // Other hosts may have sent a request that is not in any report yet.
	sureDeviations      = 2.0              // Standard deviations of the load of other hosts, which varies like a Poisson variable.
	probeWait           = 30 * time.Second // A call itself probes an ejected upstream if no hedge attempt has done so for this long.
	lightLoadShare      = 0.7              // Below this share of used slots, a replica in the same data centre is chosen without further draws.
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
		Wait     time.Duration // Wait is the predicted wait for a slot.
		First    time.Duration // First is the predicted time from the start to the first token.
		Free     bool          // Free is set when a slot is predicted to be free for the class.
		Sure     bool          // Sure is set when a slot is free even if the load of other hosts is underestimated.

		node  *node
		probe bool
	}

	scored struct {
		node  *node
		score float64
		wait  float64
		first float64
		free  bool
		probe bool
		avoid bool // avoid is set when the replica is only a last resort.
		hosts int
	}
)

// Pick chooses a ready replica by predicted wait: the best of all if they are few, otherwise the better of two random ones.
// The preferred replicas of this host are tried first, then those in its data centre, then all.
func (t *Table) Pick(now time.Time, q Query) (Choice, bool) {
	g := t.groups[groupKey{q.Model, q.Adapter}]
	if g == nil || len(g.nodes) == 0 {
		return Choice{}, false
	}
	best := scored{score: math.Inf(1)}
	t.compareCandidates(now, &q, g, t.preferredReplicas(g), 2, compareAllLimit, &best)
	if best.acceptable() {
		return best.choice()
	}
	if len(g.nodes) > compareAllLimit && g.near > 0 {
		t.compareCandidates(now, &q, g, g.nodes[:g.near], 2, compareAllLimit, &best)
		if best.acceptable() && float64(best.node.load()) < lightLoadShare*float64(best.node.Slots) {
			return best.choice()
		}
	}
	// Load figures are up to 2 s old. If hosts compared all candidates, they would all choose the same replica by the same old
	// figures, so only a few random ones are compared here as well.
	t.compareCandidates(now, &q, g, g.nodes, 2, 2, &best)
	if !best.acceptable() {
		t.compareCandidates(now, &q, g, g.nodes, extraDraws, extraDraws, &best)
	}
	return best.choice()
}

// Probe returns an ejected upstream that is due for a probe by a hedge attempt for the call.
func (t *Table) Probe(now time.Time, q Query) (Choice, bool) {
	g := t.groups[groupKey{q.Model, q.Adapter}]
	if g == nil || g.ejected == 0 || !q.Repeatable {
		return Choice{}, false
	}
	for _, n := range g.nodes {
		if n.up.ejected && !n.up.probing && !now.Before(n.up.probeAt) && !now.Before(n.avoidUntil) && n.Upstream != q.Exclude {
			s := scored{node: n, hosts: t.hosts.Live, probe: true}
			s.wait, s.free = n.wait(q.Urgency, q.Aged, t.hosts.Live)
			s.first = n.model.first.valueOr(defaultFirstToken.Seconds()) * n.up.slowness(n.model)
			return s.choice()
		}
	}
	return Choice{}, false
}

// At returns the choice of the given upstream for the query; ok is false if it is not a candidate.
func (t *Table) At(now time.Time, q Query, upstream string) (Choice, bool) {
	n := t.nodes[replicaKey{upstream, q.Model}]
	g := t.groups[groupKey{q.Model, q.Adapter}]
	if n == nil || g == nil || !n.active {
		return Choice{}, false
	}
	for _, o := range n.groups {
		if o == g {
			best := scored{score: math.Inf(1)}
			t.scoreCandidate(now, &q, g, n, &best)
			return best.choice()
		}
	}
	return Choice{}, false
}

// compareCandidates compares the given number of random candidates, or all of them if there are no more than the limit all.
func (t *Table) compareCandidates(now time.Time, q *Query, g *group, nodes []*node, draws, all int, best *scored) {
	if len(nodes) == 0 {
		return
	}
	if len(nodes) <= all {
		// Starts at a random candidate. Otherwise all hosts would choose the first of equal ones.
		first := t.random.IntN(len(nodes))
		for i := range nodes {
			t.scoreCandidate(now, q, g, nodes[(first+i)%len(nodes)], best)
		}
		return
	}
	for range draws {
		t.scoreCandidate(now, q, g, nodes[t.random.IntN(len(nodes))], best)
	}
}

func (t *Table) scoreCandidate(now time.Time, q *Query, g *group, n *node, best *scored) {
	if n.Upstream == q.Exclude {
		return
	}
	s := scored{node: n, hosts: t.hosts.Live}
	s.wait, s.free = n.wait(q.Urgency, q.Aged, t.hosts.Live)
	base := n.model.first.valueOr(defaultFirstToken.Seconds())
	s.first = base * n.up.slowness(n.model)
	fill := float64(n.load()) / float64(n.Slots)
	s.score = s.wait + n.distance.Seconds() + fullPenalty*fill*fill
	s.probe = n.up.ejected && q.Repeatable && !n.up.probing && !now.Before(n.up.probeAt.Add(probeWait))
	if g.ejected > 0 && now.Sub(n.up.sampledAt) > sampleLifetime {
		s.score += unsampledPenalty
	}
	if !s.free && !slices.Contains(g.preferred, n) {
		s.score += nonPreferredPenalty * n.model.requestTime(q.Urgency)
	}
	if !s.probe {
		s.score += s.first - base
	}
	s.avoid = n.up.ejected && !s.probe || now.Before(n.avoidUntil)
	if s.avoid {
		s.score += ejectPenalty
	}
	if s.score < best.score {
		*best = s
	}
}

// acceptable reports whether no further candidates need to be compared.
func (s *scored) acceptable() bool { return s.node != nil && s.free && !s.avoid }

// surelyFree allows for the deviation of other hosts' short requests from their mean, which is about that of a Poisson
// variable. The number of long requests does not change within the delay of reports.
func (n *node) surelyFree(hosts int) bool {
	short := min(float64(n.remote), n.model.meanNonBulk*n.slotShare()*float64(hosts-1))
	return float64(n.load())+sureDeviations*math.Sqrt(max(short, minShort)) < float64(n.Slots)
}

// slotShare returns the replica's share of the slots of its model.
func (n *node) slotShare() float64 { return float64(n.Slots) / float64(max(n.model.slotSum, 1)) }

func (s *scored) choice() (Choice, bool) {
	if s.node == nil {
		return Choice{}, false
	}
	return Choice{
		Upstream: s.node.Upstream, Wait: seconds(s.wait), First: seconds(s.first), Free: s.free, Sure: s.free && s.node.surelyFree(s.hosts),
		node: s.node, probe: s.probe,
	}, true
}
