package route

import (
	"math"
	"slices"
	"time"

	"github.com/fireflycleat/fireflycleat/pkg/spec"
)

const (
	few       = 4  // Up to this many candidates are all compared.
	moreDraws = 16 // Further draws if two random candidates have no free slot.
	// As a share of the time of a request: the queue at a full replica is known exactly only at the homes of this host. At
	// twice the capacity, 0.73% of urgent work was refused with 0.4, 1.2% with none and 1.2% with 0.8.
	awayPenalty    = 0.4
	doubtPenalty   = 0.02 // In seconds: while some upstreams are slowed, those that this host used lately are preferred.
	sampleLife     = 5 * time.Second
	ejectPenalty   = 1.0              // In seconds: an ejected upstream is chosen only if the others are this much worse.
	fullPenalty    = 0.003            // In seconds: two one-way delays, so a nearly full replica loses to an empty one in another centre.
	leastShort     = 0.5              // Other hosts may have sent a request that no report shows yet.
	sureDeviations = 2.0              // The load of other hosts varies like a Poisson variable.
	probeWait      = 30 * time.Second // A call itself probes an upstream if no spare attempt could for this long.
	lightLoad      = 0.7              // Below this share of slots a replica in the own data centre is taken without further draws.
)

type (
	// Query describes the call for which an upstream is chosen.
	Query struct {
		Model   string
		Adapter string
		Urgency spec.Urgency
		// Aged lets bulk work take reserved slots.
		Aged bool
		// Repeatable allows the call to probe an upstream that was slowed.
		Repeatable bool
		// Exclude names an upstream that is not chosen, such as the one of the first attempt.
		Exclude string
	}

	// Choice is a chosen replica.
	Choice struct {
		Upstream string
		Wait     time.Duration // Wait is the predicted wait for a slot.
		First    time.Duration // First is the predicted time from the start to the first token.
		Free     bool          // Free tells that a slot is predicted free for the class.
		Sure     bool          // Sure tells that a slot is free even if the load of other hosts is underestimated.

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
		avoid bool // avoid tells that the replica is only a last resort.
		hosts int
	}
)

// Pick chooses a ready replica by predicted wait: the best of all if they are few, otherwise the better of two random ones.
// The homes of this host go first, then the own data centre, then all.
func (t *Table) Pick(now time.Time, q Query) (Choice, bool) {
	g := t.groups[key{q.Model, q.Adapter}]
	if g == nil || len(g.nodes) == 0 {
		return Choice{}, false
	}
	best := scored{score: math.Inf(1)}
	t.draw(now, &q, g, t.homes(g), 2, few, &best)
	if best.good() {
		return best.choice()
	}
	if len(g.nodes) > few && g.near > 0 {
		t.draw(now, &q, g, g.nodes[:g.near], 2, few, &best)
		if best.good() && float64(best.node.load()) < lightLoad*float64(best.node.Slots) {
			return best.choice()
		}
	}
	// Load figures are up to 2 s old. Hosts that compare all candidates would follow the same old figures to the same replica,
	// so also a few are drawn by chance.
	t.draw(now, &q, g, g.nodes, 2, 2, &best)
	if !best.good() {
		t.draw(now, &q, g, g.nodes, moreDraws, moreDraws, &best)
	}
	return best.choice()
}

// Probe returns an upstream that was slowed and that a spare attempt for the call should try now.
func (t *Table) Probe(now time.Time, q Query) (Choice, bool) {
	g := t.groups[key{q.Model, q.Adapter}]
	if g == nil || g.ejected == 0 || !q.Repeatable {
		return Choice{}, false
	}
	for _, n := range g.nodes {
		if n.up.ejected && !n.up.probing && !now.Before(n.up.until) && !now.Before(n.shunned) && n.Upstream != q.Exclude {
			s := scored{node: n, hosts: t.hosts.Live, probe: true}
			s.wait, s.free = n.wait(q.Urgency, q.Aged, t.hosts.Live)
			s.first = n.model.first.or(defaultFirst.Seconds()) * n.up.slowness(n.model)
			return s.choice()
		}
	}
	return Choice{}, false
}

// At returns the choice of the given upstream for the query; ok is false if it is no candidate.
func (t *Table) At(now time.Time, q Query, upstream string) (Choice, bool) {
	n := t.nodes[place{upstream, q.Model}]
	g := t.groups[key{q.Model, q.Adapter}]
	if n == nil || g == nil || !n.active {
		return Choice{}, false
	}
	for _, o := range n.groups {
		if o == g {
			best := scored{score: math.Inf(1)}
			t.try(now, &q, g, n, &best)
			return best.choice()
		}
	}
	return Choice{}, false
}

// draw compares random candidates, or all of them if they are at most the given number.
func (t *Table) draw(now time.Time, q *Query, g *group, nodes []*node, draws, all int, best *scored) {
	if len(nodes) == 0 {
		return
	}
	if len(nodes) <= all {
		// Equal candidates are taken in turn by chance; otherwise all hosts would take the same first one.
		first := t.random.IntN(len(nodes))
		for i := range nodes {
			t.try(now, q, g, nodes[(first+i)%len(nodes)], best)
		}
		return
	}
	for range draws {
		t.try(now, q, g, nodes[t.random.IntN(len(nodes))], best)
	}
}

func (t *Table) try(now time.Time, q *Query, g *group, n *node, best *scored) {
	if n.Upstream == q.Exclude {
		return
	}
	s := scored{node: n, hosts: t.hosts.Live}
	s.wait, s.free = n.wait(q.Urgency, q.Aged, t.hosts.Live)
	base := n.model.first.or(defaultFirst.Seconds())
	s.first = base * n.up.slowness(n.model)
	fill := float64(n.load()) / float64(n.Slots)
	s.score = s.wait + n.distance.Seconds() + fullPenalty*fill*fill
	s.probe = n.up.ejected && q.Repeatable && !n.up.probing && !now.Before(n.up.until.Add(probeWait))
	if g.ejected > 0 && now.Sub(n.up.sampled) > sampleLife {
		s.score += doubtPenalty
	}
	if !s.free && !slices.Contains(g.homes, n) {
		s.score += awayPenalty * n.model.service(q.Urgency)
	}
	if !s.probe {
		s.score += s.first - base
	}
	s.avoid = n.up.ejected && !s.probe || now.Before(n.shunned)
	if s.avoid {
		s.score += ejectPenalty
	}
	if s.score < best.score {
		*best = s
	}
}

// good reports whether further candidates need not be compared.
func (s *scored) good() bool { return s.node != nil && s.free && !s.avoid }

// sure allows for the deviation of the short requests of other hosts from their mean, which is about that of a Poisson
// variable. Long requests do not vary within the lag of reports.
func (n *node) sure(hosts int) bool {
	short := min(float64(n.others), n.model.front*n.share()*float64(hosts-1))
	return float64(n.load())+sureDeviations*math.Sqrt(max(short, leastShort)) < float64(n.Slots)
}

// share returns the replica's part of the slots of its model.
func (n *node) share() float64 { return float64(n.Slots) / float64(max(n.model.slotSum, 1)) }

func (s *scored) choice() (Choice, bool) {
	if s.node == nil {
		return Choice{}, false
	}
	return Choice{
		Upstream: s.node.Upstream, Wait: seconds(s.wait), First: seconds(s.first), Free: s.free, Sure: s.free && s.node.sure(s.hosts),
		node: s.node, probe: s.probe,
	}, true
}
