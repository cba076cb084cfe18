package blame

import (
	"slices"
	"time"
)

const (
	// Each crash counts fullWeight against the parts that were beginning to be answered there, and waitingWeight against those of requests
	// that had probably not begun.
	fullWeight    = 2
	waitingWeight = 1
	// requiredWeight is the weight of two crashes. One upstream may have ended for another reason just as it began to answer.
	requiredWeight = 2 * fullWeight
	// knownWeight is the weight of five crashes, which is needed against a part that had been answered before: it is at many crashes as a
	// bystander, and cannot be answered while the upstreams that could are away. Upstreams that end together count once against it.
	knownWeight = 5 * fullWeight
	// separateWeight is the weight of three crashes, which is needed if parts of different requests explain the same crashes: two crashes often
	// have bystanders in common, because callers repeat what the first one cut.
	separateWeight = 3 * fullWeight
	// requestWeight is the weight of three crashes, which is needed against a whole request: a sound one that its caller repeats meets two
	// upstreams that end for other reasons more often than two requests share a part by chance.
	requestWeight = 3 * fullWeight
	// requestRefusal is how long a whole request is refused after the last crash; each further crash makes it requestGrowth times as long. Without
	// an answer, a sound one that many callers send looks the same, and a trial shows that soon. A request at fault ends three upstreams in the
	// ten minutes after that.
	requestRefusal = 30 * time.Second
	requestGrowth  = 4
	// togetherTime is the time within which upstreams that are lost together end, for example with their machine or in a roll-out.
	togetherTime = 2 * time.Second
	// refusalTime is how long requests are refused after the last crash; each further crash doubles it up to maxRefusalTime.
	refusalTime    = 2 * time.Minute
	maxRefusalTime = 30 * time.Minute
	// briefRefusal is that time, and each further crash triples it, if sound requests may be refused as well: only requests that are refused
	// could then show that they are sound.
	briefRefusal = 10 * time.Second
	briefGrowth  = 3
)

// conviction is a set of parts that explains crashes. Requests that have all of them are refused.
type conviction struct {
	parts     []uint64
	crashes   []*crash // by time
	toldApart bool     // whether requests without these parts were answered
	single    bool     // whether the part is a whole request
	surplus   int      // number of times that upstreams ended after the crashes that were required
}

// until returns the time until which requests are refused.
func (v *conviction) until() time.Time {
	last := v.crashes[len(v.crashes)-1].at
	if v.toldApart && !v.single {
		return last.Add(min(refusalTime<<min(v.surplus, 8), maxRefusalTime))
	}
	d, growth := time.Duration(briefRefusal), time.Duration(briefGrowth)
	if v.toldApart {
		d, growth = requestRefusal, requestGrowth
	}
	for range min(v.surplus, 8) {
		d = min(growth*d, maxRefusalTime)
	}
	return last.Add(d)
}

// record is what the crashes that no conviction explains yet say about a part.
type record struct {
	part    uint64
	known   bool // whether the part had been answered before
	crashes []*crash
	weights []int
	total   int       // sum of the weights
	last    time.Time // last crash with a weight
}

// update determines the convictions again if the evidence has changed. The part that explains the most crashes is convicted first, and its
// crashes count against no other part. Parts without an answer go before those that had been answered.
func (l *Ledger) update() {
	if !l.stale {
		return
	}
	l.stale, l.convictions = false, nil
	open := make(map[*crash]bool, len(l.crashes))
	for _, c := range l.crashes {
		open[c] = true
	}
	for _, known := range []bool{false, true} {
		for {
			list := l.convict(open, known)
			if len(list) == 0 {
				break
			}
			l.convictions = append(l.convictions, list...)
			for _, c := range list[0].crashes {
				delete(open, c)
			}
		}
	}
	l.convictRepeated()
}

// convictRepeated convicts, for a short time, the parts without an answer that weigh as much as five crashes, also if other parts explain these
// crashes: a sound part that was there by chance may explain more of them than the one at fault.
func (l *Ledger) convictRepeated() {
	all := make(map[*crash]bool, len(l.crashes))
	for _, c := range l.crashes {
		all[c] = true
	}
	for _, r := range l.records(all, false) {
		convicted := slices.ContainsFunc(l.convictions, func(v conviction) bool { return len(v.parts) == 1 && v.parts[0] == r.part })
		if !convicted && l.proves(r, all, knownWeight) {
			l.convictions = append(l.convictions, conviction{parts: []uint64{r.part}, crashes: r.crashes, surplus: r.surplus(knownWeight)})
		}
	}
}

// convict returns the convictions that explain the most open crashes by parts that were, or were not, answered before. There are several if
// parts of different requests were at the same crashes; all but one of them are bystanders.
func (l *Ledger) convict(open map[*crash]bool, known bool) []conviction {
	var best *record
	required := l.required
	if known {
		required = knownWeight
	}
	records := l.records(open, known)
	for _, r := range records {
		if (best == nil || r.total > best.total || r.total == best.total && r.part < best.part) && l.proves(r, open, required) {
			best = r
		}
	}
	if best == nil {
		return nil
	}
	v := conviction{crashes: best.crashes, toldApart: !known && (l.single || l.toldApart(best)), single: l.single, surplus: best.surplus(required)}
	var parts []uint64
	for _, r := range records {
		if slices.Equal(r.crashes, best.crashes) && slices.Equal(r.weights, best.weights) {
			parts = append(parts, r.part)
		}
	}
	groups := l.groupByRequest(best.crashes, parts)
	if len(groups) > 1 {
		if best.total < separateWeight {
			return nil
		}
		v.toldApart, v.surplus = false, 0
	}
	list := make([]conviction, len(groups))
	for i, g := range groups {
		list[i] = v
		list[i].parts = g
	}
	return list
}

// groupByRequest divides parts that were at the same crashes into groups whose parts were in one request at each of these crashes. Such parts
// can't be told apart: requests with all of them are refused, and one with some of them will show which it is.
func (l *Ledger) groupByRequest(crashes []*crash, parts []uint64) [][]uint64 {
	slices.Sort(parts)
	var groups [][]uint64
	if l.single {
		for _, p := range parts {
			groups = append(groups, []uint64{p})
		}
		return groups
	}
	for _, p := range parts {
		group := []uint64{p} // The requests of a crash may be incomplete.
		for _, q := range parts {
			if q != p && !slices.ContainsFunc(crashes, func(c *crash) bool { return !c.hasRequestWith(p, q) }) {
				group = append(group, q)
			}
		}
		slices.Sort(group)
		inOneRequest := len(group) == 1 || !slices.ContainsFunc(crashes, func(c *crash) bool { return !c.hasRequestWith(group...) })
		if inOneRequest && !slices.ContainsFunc(groups, func(g []uint64) bool { return slices.Equal(g, group) }) {
			groups = append(groups, group)
		}
	}
	if len(groups) == 0 {
		return [][]uint64{parts}
	}
	return groups
}

// hasRequestWith reports whether one request at the crash may have had all of the parts.
func (c *crash) hasRequestWith(parts ...uint64) bool {
	return len(c.requests) == 0 || slices.ContainsFunc(c.requests, func(r []uint64) bool {
		return !slices.ContainsFunc(parts, func(p uint64) bool { return !slices.Contains(r, p) })
	})
}

// add adds a crash with the part.
func (r *record) add(c *crash, waiting bool) {
	weight := fullWeight
	switch {
	case r.known && len(r.crashes) > 0 && c.at.Sub(r.last) < togetherTime:
		weight = 0
	case waiting:
		weight = waitingWeight
	}
	if weight > 0 {
		r.last = c.at
	}
	r.crashes, r.weights, r.total = append(r.crashes, c), append(r.weights, weight), r.total+weight
}

// surplus returns the number of times that upstreams ended after the crashes that the required weight takes.
func (r *record) surplus(required int) int {
	n, weight := 0, 0
	var last time.Time
	for i, c := range r.crashes {
		if weight >= required && c.at.Sub(last) >= togetherTime {
			n++
			last = c.at
		}
		if weight < required {
			last = c.at
		}
		weight += r.weights[i]
	}
	return n
}

// records returns the records of all parts that were, or were not, answered before.
func (l *Ledger) records(open map[*crash]bool, known bool) map[uint64]*record {
	records := make(map[uint64]*record)
	for _, c := range l.crashes {
		if !open[c] {
			continue
		}
		for _, s := range c.parts {
			if _, answered := l.sound[s.part]; answered != known || !l.suspected(c, s.part) {
				continue
			}
			r := records[s.part]
			if r == nil {
				r = &record{part: s.part, known: known}
				records[s.part] = r
			}
			r.add(c, s.waiting)
		}
	}
	return records
}

// proves reports whether the crashes of a part from some moment on weigh enough and are most of those at the time, so that chance does not
// explain that the part was there. With the weight of five crashes, an eighth of them suffices.
func (l *Ledger) proves(r *record, open map[*crash]bool, required int) bool {
	last := r.crashes[len(r.crashes)-1].at.Add(togetherTime)
	weight := r.total
	for i, c := range r.crashes {
		if weight < required {
			return false
		}
		first, all, with := c.at.Add(-togetherTime), 0, len(r.crashes)-i
		for _, x := range l.crashes {
			if open[x] && !x.at.Before(first) && !x.at.After(last) {
				all++
			}
		}
		if 2*with >= all || !r.known && weight >= knownWeight && 8*with >= all {
			return true
		}
		weight -= r.weights[i]
	}
	return false
}

// toldApart reports whether another part at each crash of the record is known to be sound, so that other requests can show that upstreams
// answer.
func (l *Ledger) toldApart(r *record) bool {
	return !slices.ContainsFunc(r.crashes, func(c *crash) bool {
		return !slices.ContainsFunc(c.parts, func(s suspect) bool {
			_, answered := l.sound[s.part]
			return answered
		})
	})
}
