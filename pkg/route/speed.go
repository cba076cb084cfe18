package route

import (
	"math"
	"slices"
	"time"
)

const (
	minTokens         = 4    // Fewer tokens give a noisy rate.
	minSamples        = 3    // An upstream with fewer samples is not compared with its peers.
	upstreamWeight    = 0.3  // weight of a sample of an upstream; a change of speed shows within about five samples
	probeWeight       = 0.9  // weight of a probe's sample, which is rare and replaces older ones
	modelWeight       = 0.05 // weight of a sample of a model, which gets many
	firstMargin       = 1.5  // First-token times vary more than token times, so they need a larger ratio to count as slow.
	readmitRatio      = 0.75 // An ejected upstream is readmitted only below this share of SlowRatio, so that it does not flap.
	maxSampleRatio    = 3    // First-token samples beyond this multiple of the mean do not raise the mean further.
	minFirst          = 1e-4 // in seconds; lower bound for samples of events that arrive together
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
	r := a.replica
	m := r.model
	took = max(took, minFirst)
	base := m.first.valueOr(took)
	if !bound || took/base > r.up.firstRatio.value {
		r.up.firstRatio.add(took/base, a.weight(now))
	}
	if bound || !a.sure && m.first.count >= minSamples {
		t.checkSpeed(now, r)
		return
	}
	// A slot predicted to be free may be in use, so the sample may contain a wait. Longer samples therefore weigh less, which
	// makes the mean a low quantile.
	if took > base {
		took = base + (min(took, maxSampleRatio*base)-base)/longSampleDivisor
	}
	m.first.add(took, modelWeight)
	t.checkSpeed(now, r)
}

func (t *Table) recordTokenTime(now time.Time, a *Attempt, took float64) {
	r := a.replica
	ratio := max(took/r.model.tokenTime, minTokenRatio)
	r.up.tokenRatio.add(ratio, a.weight(now))
	if !r.up.ejected {
		r.model.tokenRatio.add(ratio, modelWeight)
	}
	if r.up.firstRatio.value > minSlowness && r.up.tokenRatio.count >= minSamples &&
		max(ratio, r.up.tokenRatio.value) < minSlowness*r.model.tokenRatio.valueOr(1) {
		// The upstream produces tokens at the usual speed, so its late first tokens were waiting for a slot.
		r.up.firstRatio = ewma{}
	}
	t.checkSpeed(now, r)
}

// weight returns the weight of a sample of an upstream. The older the last sample is, the less the average indicates the
// current speed.
func (a *Attempt) weight(now time.Time) float64 {
	if a.probe {
		return probeWeight
	}
	return max(upstreamWeight, 1-math.Exp(-now.Sub(a.replica.up.sampledAt).Seconds()/sampleLifetime.Seconds()))
}

// checkSpeed ejects the upstream if it is slower than its peers, and readmits it when it no longer is.
func (t *Table) checkSpeed(now time.Time, r *replica) {
	u := r.up
	u.sampledAt = now
	if !r.active {
		return
	}
	limit := t.settings.SlowRatio
	token := t.ratioToMedian(r, func(o *upstream) *ewma { return &o.tokenRatio })
	ratio := max(token, t.ratioToMedian(r, func(o *upstream) *ewma { return &o.firstRatio })/firstMargin)
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
func (t *Table) ratioToMedian(r *replica, metric func(*upstream) *ewma) float64 {
	own := metric(r.up)
	if own.count < minSamples {
		return 0
	}
	var buffer [maxMedianSample]float64
	others := buffer[:0]
	replicas := r.groups[0].replicas
	start, step := 0, 1
	if len(replicas) > maxMedianSample {
		start, step = t.random.IntN(len(replicas)), max(len(replicas)/(maxMedianSample+1), 1)
	}
	for i := 0; i < len(replicas) && i < 2*maxMedianSample && len(others) < maxMedianSample; i++ {
		o := replicas[(start+i*step)%len(replicas)].up
		if o != r.up && metric(o).count > 0 {
			others = append(others, metric(o).value)
		}
	}
	if len(others) == 0 {
		return 0
	}
	slices.Sort(others)
	median := others[(len(others)-1)/2]
	return own.value / math.Max(median, 1e-9)
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
	for _, r := range u.replicas {
		for _, g := range r.groups {
			if (g.ejected+1)*ejectShare > len(g.replicas) && !t.mutant.noEjectLimit {
				return false
			}
		}
	}
	u.ejected = true
	for _, r := range u.replicas {
		for _, g := range r.groups {
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
	for _, r := range u.replicas {
		for _, g := range r.groups {
			g.ejected--
		}
	}
}

// enforceEjectLimit readmits upstreams while too large a share of the candidates is ejected. The share grows when other
// candidates are removed or an ejected one is added.
func (t *Table) enforceEjectLimit(g *group) {
	for i := 0; i < len(g.replicas) && g.ejected*ejectShare > len(g.replicas) && !t.mutant.noEjectLimit; i++ {
		t.readmit(g.replicas[i].up)
	}
}

// Ejected returns the number of ejected candidates for the model and adapter.
func (t *Table) Ejected(modelName, adapter string) int {
	if g := t.groups[groupKey{modelName, adapter}]; g != nil {
		return g.ejected
	}
	return 0
}
