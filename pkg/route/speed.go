package route

import (
	"math"
	"slices"
	"time"
)

const (
	minTokens    = 4    // Fewer tokens give a noisy rate.
	minSamples   = 3    // An upstream is not judged by fewer samples.
	fastWeight   = 0.3  // Weight of a sample of an upstream: a change of speed shows within about five samples.
	probeWeight  = 0.9  // Weight of a sample of a probe, which is rare and replaces what was known.
	slowWeight   = 0.05 // Weight of a sample of a model, which gets many.
	firstMargin  = 1.5  // First-token times vary more than token times, so they need a larger ratio to count as slow.
	clearRatio   = 0.75 // An ejected upstream must be this far below the ratio, so that it does not flap.
	clampRatio   = 3    // Samples of first-token times beyond this multiple of the mean do not raise the mean further.
	leastFirst   = 1e-4 // In seconds: bounds samples of events that arrive together.
	leastRatio   = 1e-2
	longDiscount = 4
	usualWeight  = 0.25 // With two reports a second, the mean covers about two seconds.
	maxStrikes   = 3    // The eject time doubles at most three times.
	medianSample = 15   // The median of more candidates is estimated from this many.
	noticeable   = 1.5  // Slowness below this factor is ignored by the choice.
	moveRatio    = 2.5  // A move computes the prompt again, so the rest of the answer must gain clearly more than that.
	ejectShare   = 3    // At most one candidate in three is ejected.
)

// learnFirst takes over the time to a first token, or a lower bound of it.
func (t *Table) learnFirst(now time.Time, f *Flight, took float64, bound bool) {
	n := f.node
	m := n.model
	took = max(took, leastFirst)
	base := m.first.or(took)
	if !bound || took/base > n.up.first.value {
		n.up.first.add(took/base, f.weight(now))
	}
	if bound || !f.sure && m.first.count >= minSamples {
		t.judge(now, n)
		return
	}
	// A slot that was predicted free may be taken, and the sample contains a wait. Longer samples therefore weigh less, which
	// makes the mean a low quantile.
	if took > base {
		took = base + (min(took, clampRatio*base)-base)/longDiscount
	}
	m.first.add(took, slowWeight)
	t.judge(now, n)
}

func (t *Table) learnTokens(now time.Time, f *Flight, took float64) {
	n := f.node
	ratio := max(took/n.model.tokenTime, leastRatio)
	n.up.token.add(ratio, f.weight(now))
	if !n.up.ejected {
		n.model.pace.add(ratio, slowWeight)
	}
	if n.up.first.value > noticeable && n.up.token.count >= minSamples && max(ratio, n.up.token.value) < noticeable*n.model.pace.or(1) {
		// The upstream computes tokens at the usual speed, so its late first tokens waited for a slot.
		n.up.first = meter{}
	}
	t.judge(now, n)
}

// weight returns the weight of a sample of an upstream. What was learned long ago says little about its present speed.
func (f *Flight) weight(now time.Time) float64 {
	if f.probe {
		return probeWeight
	}
	return max(fastWeight, 1-math.Exp(-now.Sub(f.node.up.sampled).Seconds()/sampleLife.Seconds()))
}

// judge ejects the upstream if it is slower than its peers, and readmits it if it is not any more.
func (t *Table) judge(now time.Time, n *node) {
	u := n.up
	u.sampled = now
	if !n.active {
		return
	}
	limit := t.settings.SlowRatio
	token := t.compare(n, func(o *upstream) *meter { return &o.token })
	ratio := max(token, t.compare(n, func(o *upstream) *meter { return &o.first })/firstMargin)
	tell := token >= limit
	switch {
	case !u.ejected && ratio >= limit:
		if t.eject(u) {
			u.until = now.Add(t.settings.EjectTime << u.strikes)
			t.found(now, u, tell)
		}
	case u.ejected && ratio > 0 && ratio < limit*clearRatio: // Zero means that there is nothing to compare with.
		t.restore(u)
		u.strikes = 0
		t.found(now, u, u.told)
	case u.ejected && !now.Before(u.until):
		u.strikes = min(u.strikes+1, maxStrikes)
		u.until = now.Add(t.settings.EjectTime << u.strikes)
		t.found(now, u, tell || u.told)
	}
}

// compare returns the ratio of an upstream's meter to the median of the other candidates; zero means unknown.
func (t *Table) compare(n *node, of func(*upstream) *meter) float64 {
	mine := of(n.up)
	if mine.count < minSamples {
		return 0
	}
	var buffer [medianSample]float64
	others := buffer[:0]
	nodes := n.groups[0].nodes
	start, step := 0, 1
	if len(nodes) > medianSample {
		start, step = t.random.IntN(len(nodes)), max(len(nodes)/(medianSample+1), 1)
	}
	for i := 0; i < len(nodes) && i < 2*medianSample && len(others) < medianSample; i++ {
		o := nodes[(start+i*step)%len(nodes)].up
		if o != n.up && of(o).count > 0 {
			others = append(others, of(o).value)
		}
	}
	if len(others) == 0 {
		return 0
	}
	slices.Sort(others)
	median := others[(len(others)-1)/2]
	return mine.value / math.Max(median, 1e-9)
}

// slowness returns the factor by which first tokens of the upstream take longer; small differences count as none, so that
// noise does not outweigh distance and load.
func (u *upstream) slowness(m *model) float64 {
	ratio := 1.0
	if u.first.count >= minSamples {
		ratio = u.first.value
	}
	if u.token.count >= minSamples {
		ratio = max(ratio, u.token.value/m.pace.or(1))
	}
	if ratio < noticeable {
		return 1
	}
	return ratio
}

// eject avoids the upstream unless too many candidates of one of its models would be ejected, and reports whether it does.
func (t *Table) eject(u *upstream) bool {
	if u.ejected {
		return true
	}
	for _, n := range u.nodes {
		for _, g := range n.groups {
			if (g.ejected+1)*ejectShare > len(g.nodes) && !t.mutant.noFloor {
				return false
			}
		}
	}
	u.ejected = true
	for _, n := range u.nodes {
		for _, g := range n.groups {
			g.ejected++
		}
	}
	return true
}

func (t *Table) restore(u *upstream) {
	if !u.ejected {
		return
	}
	u.ejected = false
	for _, n := range u.nodes {
		for _, g := range n.groups {
			g.ejected--
		}
	}
}

// enforceFloor readmits upstreams when the loss of other candidates makes the ejected ones too many.
func (t *Table) enforceFloor(g *group) {
	for i := 0; i < len(g.nodes) && g.ejected*ejectShare > len(g.nodes) && !t.mutant.noFloor; i++ {
		t.restore(g.nodes[i].up)
	}
}

// Ejected returns the number of ejected candidates for the model and adapter.
func (t *Table) Ejected(modelName, adapter string) int {
	if g := t.groups[key{modelName, adapter}]; g != nil {
		return g.ejected
	}
	return 0
}
