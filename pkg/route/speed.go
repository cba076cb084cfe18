package route

import (
	"math"
	"slices"
	"time"
)

const (
	minTokens         = 4    // Fewer tokens give a noisy rate.
	minSamples        = 3    // An upstream with fewer samples is not compared with its peers.
	upstreamWeight    = 0.3  // Weight of a sample of an upstream: a change of speed shows within about five samples.
	probeWeight       = 0.9  // Weight of a probe's sample, which is rare and replaces older ones.
	modelWeight       = 0.05 // Weight of a sample of a model, which gets many.
	firstMargin       = 1.5  // First-token times vary more than token times, so they need a larger ratio to count as slow.
	readmitRatio      = 0.75 // An ejected upstream is readmitted only this far below the ratio, so that it does not flap.
	maxSampleRatio    = 3    // First-token samples beyond this multiple of the mean do not raise the mean further.
	minFirst          = 1e-4 // In seconds: lower bound for samples of events that arrive together.
	minTokenRatio     = 1e-2
	longSampleDivisor = 4
	remoteWeight      = 0.25 // With two reports a second, the mean covers about two seconds.
	maxSlowProbes     = 3    // The eject time doubles at most three times.
	maxMedianSample   = 15   // With more candidates, the median is estimated from this many.
	minSlowness       = 1.5  // Slowness below this factor does not affect the choice.
	moveRatio         = 2.5  // Moving an answer computes its prompt again, so the rest of the answer must gain clearly more than that.
	ejectShare        = 3    // At most one candidate in three is ejected.
)

// recordFirst records a time to the first token in seconds, or a lower bound of it.
func (t *Table) recordFirst(now time.Time, a *Attempt, took float64, bound bool) {
	n := a.node
	m := n.model
	took = max(took, minFirst)
	base := m.first.valueOr(took)
	if !bound || took/base > n.up.firstRatio.value {
		n.up.firstRatio.add(took/base, a.weight(now))
	}
	if bound || !a.sure && m.first.count >= minSamples {
		t.checkSpeed(now, n)
		return
	}
	// A slot predicted to be free may be in use, so the sample may contain a wait. Longer samples therefore weigh less, which
	// makes the mean a low quantile.
	if took > base {
		took = base + (min(took, maxSampleRatio*base)-base)/longSampleDivisor
	}
	m.first.add(took, modelWeight)
	t.checkSpeed(now, n)
}

func (t *Table) recordTokenTime(now time.Time, a *Attempt, took float64) {
	n := a.node
	ratio := max(took/n.model.tokenTime, minTokenRatio)
	n.up.tokenRatio.add(ratio, a.weight(now))
	if !n.up.ejected {
		n.model.tokenRatio.add(ratio, modelWeight)
	}
	if n.up.firstRatio.value > minSlowness && n.up.tokenRatio.count >= minSamples &&
		max(ratio, n.up.tokenRatio.value) < minSlowness*n.model.tokenRatio.valueOr(1) {
		// The upstream produces tokens at the usual speed, so its late first tokens were waiting for a slot.
		n.up.firstRatio = ewma{}
	}
	t.checkSpeed(now, n)
}

// weight returns the weight of a sample of an upstream. The older the last sample is, the less the average indicates the
// current speed.
func (a *Attempt) weight(now time.Time) float64 {
	if a.probe {
		return probeWeight
	}
	return max(upstreamWeight, 1-math.Exp(-now.Sub(a.node.up.sampledAt).Seconds()/sampleLifetime.Seconds()))
}

// checkSpeed ejects the upstream if it is slower than its peers, and readmits it when it no longer is.
func (t *Table) checkSpeed(now time.Time, n *node) {
	u := n.up
	u.sampledAt = now
	if !n.active {
		return
	}
	limit := t.settings.SlowRatio
	token := t.ratioToMedian(n, func(o *upstream) *ewma { return &o.tokenRatio })
	ratio := max(token, t.ratioToMedian(n, func(o *upstream) *ewma { return &o.firstRatio })/firstMargin)
	notify := token >= limit
	switch {
	case !u.ejected && ratio >= limit:
		if t.eject(u) {
			u.probeAt = now.Add(t.settings.EjectTime << u.slowProbes)
			t.recordFinding(now, u, notify)
		}
	case u.ejected && ratio > 0 && ratio < limit*readmitRatio: // Zero means that there is nothing to compare with.
		t.readmit(u)
		u.slowProbes = 0
		t.recordFinding(now, u, u.reportedSlow)
	case u.ejected && !now.Before(u.probeAt):
		u.slowProbes = min(u.slowProbes+1, maxSlowProbes)
		u.probeAt = now.Add(t.settings.EjectTime << u.slowProbes)
		t.recordFinding(now, u, notify || u.reportedSlow)
	}
}

// ratioToMedian returns the ratio of an upstream's average to the median of the other candidates; zero means unknown.
func (t *Table) ratioToMedian(n *node, of func(*upstream) *ewma) float64 {
	average := of(n.up)
	if average.count < minSamples {
		return 0
	}
	var buffer [maxMedianSample]float64
	others := buffer[:0]
	nodes := n.groups[0].nodes
	start, step := 0, 1
	if len(nodes) > maxMedianSample {
		start, step = t.random.IntN(len(nodes)), max(len(nodes)/(maxMedianSample+1), 1)
	}
	for i := 0; i < len(nodes) && i < 2*maxMedianSample && len(others) < maxMedianSample; i++ {
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
	return average.value / math.Max(median, 1e-9)
}

// slowness returns the factor by which first tokens of the upstream take longer. Small differences are ignored, so that noise
// does not outweigh distance and load.
func (u *upstream) slowness(m *model) float64 {
	ratio := 1.0
	if u.firstRatio.count >= minSamples {
		ratio = u.firstRatio.value
	}
	if u.tokenRatio.count >= minSamples {
		ratio = max(ratio, u.tokenRatio.value/m.tokenRatio.valueOr(1))
	}
	if ratio < minSlowness {
		return 1
	}
	return ratio
}

// eject ejects the upstream, unless that would eject too many candidates of one of its models. It reports whether the upstream
// is ejected.
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

func (t *Table) readmit(u *upstream) {
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

// enforceFloor readmits upstreams when the ejected ones have become too large a share, because other candidates were removed.
func (t *Table) enforceFloor(g *group) {
	for i := 0; i < len(g.nodes) && g.ejected*ejectShare > len(g.nodes) && !t.mutant.noFloor; i++ {
		t.readmit(g.nodes[i].up)
	}
}

// Ejected returns the number of ejected candidates for the model and adapter.
func (t *Table) Ejected(modelName, adapter string) int {
	if g := t.groups[groupKey{modelName, adapter}]; g != nil {
		return g.ejected
	}
	return 0
}
