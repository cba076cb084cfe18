package route

import (
	"time"

	"github.com/fireflycleat/fireflycleat/pkg/spec"
)

type (
	// Load is the state of a model over all its ready replicas, as this host sees it.
	Load struct {
		Slots int // Slots is the sum over ready replicas.
		All   int // All is the number of requests in flight at them, from all hosts.
		Own   int // Own is the number of requests in flight from this host.
		// Rate is the number of slots that become free each second if all are taken; without replicas, that of one replica.
		Rate float64
		// First is the mean time to the first token at a free replica.
		First time.Duration
	}

	// Flight is the record of one attempt; the zero Flight is over.
	Flight struct {
		node    *node
		urgency spec.Urgency
		sent    time.Time
		first   time.Time // first is the time of the first token.
		mark    time.Time // mark is the time up to which the token rate was sampled.
		tokens  int       // tokens is the answer index at mark.
		free    bool
		probe   bool
		overdue bool
	}
)

// Open reports whether the attempt is in flight.
func (f *Flight) Open() bool { return f.node != nil }

// Upstream returns the name of the attempt's upstream.
func (f *Flight) Upstream() string {
	if f.node == nil {
		return ""
	}
	return f.node.Upstream
}

// Report takes over a load report and returns the model that it concerns. Reports older than the last one and those of
// unknown replicas are ignored and return an empty name.
func (t *Table) Report(now time.Time, upstream, modelName string, running, waiting, slots int, at time.Time) string {
	if modelName == "" {
		u := t.upstreams[upstream]
		if u == nil || len(u.nodes) != 1 {
			return ""
		}
		modelName = u.nodes[0].Model
	}
	n := t.nodes[place{upstream, modelName}]
	if n == nil || !at.After(n.reported) {
		return ""
	}
	if at.After(now) { // The clock of the upstream may be ahead.
		at = now
	}
	n.reported = at
	total := max(running, 0) + max(waiting, 0)
	others := max(total-n.past.at(at), 0)
	if t.mutant.noCorrection {
		others = max(total-n.ownAll, 0)
	}
	if n.active {
		n.model.load += others - n.others
	}
	n.others, n.othersWaiting = others, 0
	if total > 0 {
		n.othersWaiting = max(waiting, 0) * others / total
	}
	if slots > 0 && slots != n.Slots {
		if n.active {
			n.model.slotSum += slots - n.Slots
		}
		n.Slots = slots
		n.reserve = min(n.reserve, slots-1)
	}
	return modelName
}

// Sent records an attempt at the chosen replica.
func (t *Table) Sent(now time.Time, c Choice, u spec.Urgency, resumeFrom int) Flight {
	n := c.node
	if c.probe {
		n.up.probing = true
	}
	t.count(now, n, u, 1)
	if u == spec.Urgent {
		n.pending++
	}
	return Flight{node: n, urgency: u, sent: now, tokens: resumeFrom, free: c.Free, probe: c.probe}
}

// First records the first token of an attempt and returns the time that it took.
func (t *Table) First(now time.Time, f *Flight) time.Duration {
	if f.node == nil || !f.first.IsZero() {
		return 0
	}
	f.first, f.mark = now, now
	if f.urgency == spec.Urgent {
		f.node.pending--
	}
	took := now.Sub(f.sent)
	if f.free && !f.overdue {
		t.learnFirst(now, f, took.Seconds())
	}
	return took
}

// Overdue records that the first token of an attempt is late; the delay so far counts as a sample.
func (t *Table) Overdue(now time.Time, f *Flight) {
	if f.node == nil || !f.first.IsZero() || f.overdue || !f.free {
		return
	}
	f.overdue = true
	t.learnFirst(now, f, now.Sub(f.sent).Seconds())
}

// Progress records that the attempt has reached the token index.
func (t *Table) Progress(now time.Time, f *Flight, tokens int) {
	if f.node == nil || f.first.IsZero() || tokens-f.tokens < minTokens {
		return
	}
	t.learnTokens(now, f, now.Sub(f.mark).Seconds()/float64(tokens-f.tokens))
	f.mark, f.tokens = now, tokens
}

// Ended records the end of an attempt; done tells that the whole answer of the given length arrived.
func (t *Table) Ended(now time.Time, f *Flight, tokens int, done bool) {
	n := f.node
	if n == nil {
		return
	}
	if done {
		t.Progress(now, f, tokens)
		n.model.tokens[f.urgency].add(float64(tokens), slowWeight)
	}
	if f.first.IsZero() && f.urgency == spec.Urgent {
		n.pending--
	}
	if f.probe {
		n.up.probing = false
	}
	t.count(now, n, f.urgency, -1)
	*f = Flight{}
	t.forget(n)
}

// Load returns the state of the model.
func (t *Table) Load(modelName string) Load {
	m := t.model(modelName)
	l := Load{Slots: m.slotSum, All: m.load, Own: m.ownAll, First: seconds(m.first.or(defaultFirst.Seconds()))}
	slots := m.slotSum
	if slots == 0 {
		slots = m.slots
	}
	l.Rate = float64(slots) * m.endRate(&m.own, m.ownAll)
	return l
}

// Service returns the expected time of a request at a replica of usual speed, from its start to its end.
func (t *Table) Service(modelName string, u spec.Urgency) time.Duration {
	return seconds(t.model(modelName).service(u))
}

// Size returns the numbers of known upstreams, replicas and groups.
func (t *Table) Size() (upstreams, replicas, groups int) {
	return len(t.upstreams), len(t.nodes), len(t.groups)
}

func (t *Table) count(now time.Time, n *node, u spec.Urgency, by int) {
	n.own[u] += by
	n.ownAll += by
	n.model.own[u] += by
	n.model.ownAll += by
	if n.active {
		n.model.load += by
	}
	n.past.set(now, n.ownAll)
}

func (n *node) load() int { return n.ownAll + n.others }

// wait returns the expected wait for a slot, in seconds, and whether one is free for the class.
func (n *node) wait(u spec.Urgency, aged bool) (float64, bool) {
	limit := n.Slots
	if u == spec.Bulk && !aged {
		limit -= n.reserve
	}
	load := n.load()
	if load < limit {
		return 0, true
	}
	ahead := load - limit + 1
	if u == spec.Urgent {
		// Engines start waiting requests by priority, so only other urgent ones are ahead. Those of other hosts count in
		// full, because hosts do not let less urgent requests wait at engines.
		ahead = min(ahead, n.pending+n.othersWaiting+1)
	}
	rate := n.model.endRate(&n.own, n.ownAll) / n.up.token.or(n.model.pace.or(1)) * n.model.pace.or(1)
	return float64(ahead) / (float64(n.Slots) * rate), false
}

// service returns the expected time of a request from start to end, in seconds.
func (m *model) service(u spec.Urgency) float64 {
	return m.first.or(defaultFirst.Seconds()) + m.length(u)*m.tokenTime*m.pace.or(1)
}

// length returns the expected length of an answer; a class without samples takes that of another.
func (m *model) length(u spec.Urgency) float64 {
	for _, c := range [...]spec.Urgency{u, spec.Normal, spec.Urgent, spec.Bulk} {
		if m.tokens[c].count > 0 {
			return m.tokens[c].value
		}
	}
	return defaultTokens
}

// endRate returns the rate at which one taken slot becomes free, for the mix of classes in flight.
func (m *model) endRate(own *[classes]int, all int) float64 {
	if all == 0 {
		own, all = &m.own, m.ownAll
	}
	if all == 0 {
		return 1 / m.service(spec.Normal)
	}
	rate := 0.0
	for c, k := range own {
		if k > 0 {
			rate += float64(k) / m.service(spec.Urgency(c))
		}
	}
	return rate / float64(all)
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
