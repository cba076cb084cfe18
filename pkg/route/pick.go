package route

import (
	"math"
	"time"

	"github.com/fireflycleat/fireflycleat/pkg/spec"
)

const (
	few          = 4     // Up to this many candidates are all compared.
	moreDraws    = 4     // Further draws if two random candidates have no free slot.
	ejectPenalty = 1.0   // In seconds: an ejected upstream is chosen only if the others are this much worse.
	fullPenalty  = 0.003 // In seconds: two one-way delays, so a nearly full replica loses to an empty one in another centre.
	lightLoad    = 0.7   // Below this share of slots a replica in the own data centre is taken without further draws.
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
	}
)

// Pick chooses a ready replica by predicted wait: the best of all if they are few, otherwise the better of two random ones.
func (t *Table) Pick(now time.Time, q Query) (Choice, bool) {
	g := t.groups[key{q.Model, q.Adapter}]
	if g == nil || len(g.nodes) == 0 {
		return Choice{}, false
	}
	best := scored{score: math.Inf(1)}
	if len(g.nodes) <= few {
		for _, n := range g.nodes {
			t.try(now, &q, n, &best)
		}
		return best.choice()
	}
	if g.near > 0 {
		t.draw(now, &q, g.nodes[:g.near], 2, &best)
		if best.node != nil && best.free && !best.node.up.ejected &&
			float64(best.node.load()) < lightLoad*float64(best.node.Slots) {
			return best.choice()
		}
	}
	t.draw(now, &q, g.nodes, 2, &best)
	for i := 0; i < moreDraws && (best.node == nil || !best.free || best.node.up.ejected && !best.probe); i++ {
		t.draw(now, &q, g.nodes, 1, &best)
	}
	return best.choice()
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
			t.try(now, &q, n, &best)
			return best.choice()
		}
	}
	return Choice{}, false
}

func (t *Table) draw(now time.Time, q *Query, nodes []*node, draws int, best *scored) {
	for range draws {
		t.try(now, q, nodes[t.random.IntN(len(nodes))], best)
	}
}

func (t *Table) try(now time.Time, q *Query, n *node, best *scored) {
	if n.Upstream == q.Exclude {
		return
	}
	s := scored{node: n}
	s.wait, s.free = n.wait(q.Urgency, q.Aged)
	base := n.model.first.or(defaultFirst.Seconds())
	s.first = base * n.up.slowness(n.model)
	fill := float64(n.load()) / float64(n.Slots)
	s.score = s.wait + n.distance.Seconds() + fullPenalty*fill*fill
	s.probe = n.up.ejected && q.Repeatable && !n.up.probing && !now.Before(n.up.until)
	if !s.probe {
		s.score += s.first - base
		if n.up.ejected {
			s.score += ejectPenalty
		}
	}
	if s.score < best.score {
		*best = s
	}
}

func (s *scored) choice() (Choice, bool) {
	if s.node == nil {
		return Choice{}, false
	}
	return Choice{
		Upstream: s.node.Upstream, Wait: seconds(s.wait), First: seconds(s.first), Free: s.free, node: s.node, probe: s.probe,
	}, true
}
