package route

import (
	"math"
	"time"

	"github.com/fireflycleat/fireflycleat/pkg/spec"
)

const (
	frontSpan  = 10 * time.Second // Several times the length of short requests.
	shunTime   = time.Second      // News of unloads and of leaving upstreams arrive within about this time.
	reportLife = 10 * time.Second // Five times the longest usual lag of reports.
	// Bulk work leaves room for the usual number of other requests and this multiple of its deviation. With 3.0, 1.6% of urgent
	// calls beside long reports found two full replicas in turn.
	roomDeviations = 3.5
	leastBulk      = 1 // Bulk requests that a replica takes even if the deviation leaves no room, so that bulk work does not starve.
	// A report may come twice with times that differ by the delay of the messages; engines report at most a few times a second.
	sameReport = 20 * time.Millisecond
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
		// BulkRoom tells that the usual number of other requests leaves slots for bulk work.
		BulkRoom bool
	}

	// Flight is the record of one attempt; the zero Flight is over.
	Flight struct {
		node    *node
		urgency spec.Urgency
		sent    time.Time
		first   time.Time // first is the time of the first token.
		mark    time.Time // mark is the time up to which the token rate was sampled.
		tokens  int       // tokens is the answer index at mark.
		pace    float64   // pace is the last token time as a ratio to the configured one.
		// straggles compares pace with that of the model before the sample, which is itself part of the model's pace later.
		straggles bool
		free      bool
		sure      bool
		probe     bool
	}
)

// Probe reports whether the attempt tries an upstream that was slowed.
func (f *Flight) Probe() bool { return f.probe }

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
	if n == nil || at.Sub(n.reported) <= sameReport {
		return ""
	}
	if at.After(now) { // The time of a report is an estimate: clocks of upstreams differ.
		at = now
	}
	n.reported = at
	total := max(running, 0) + max(waiting, 0)
	others := max(total-n.past.at(at), 0)
	if t.mutant.noCorrection {
		others = max(total-n.ownAll, 0)
	}
	if !t.mutant.exactOthers {
		others = n.smooth(others, now.Sub(at))
	}
	if n.active {
		n.model.load += others - n.others
	}
	n.others, n.othersWaiting = others, 0
	if total > 0 {
		// A report does not tell the urgency of waiting requests; the mix of this host's own requests stands in for it.
		urgent := float64(n.model.own[spec.Urgent]) / float64(max(n.model.ownAll, 1))
		n.othersWaiting = int(float64(max(waiting, 0)*others)/float64(total)*urgent + 0.5)
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

// Refresh drops the load of other hosts that reports older than reportLife told. Without reports, calls would otherwise
// wait for slots that may have been free for long.
func (t *Table) Refresh(now time.Time, modelName string) {
	for _, n := range t.model(modelName).nodes {
		if n.others == 0 || now.Sub(n.reported) < reportLife {
			continue
		}
		if n.active {
			n.model.load -= n.others
		}
		n.others, n.othersWaiting, n.usual = 0, 0, meter{}
	}
}

// smooth estimates the present load of other hosts from a report with the given lag. Short requests that the report counts
// have ended since, and others have come, so its deviation from the usual level says less the older it is. All hosts would
// otherwise follow the same past deviations at once.
func (n *node) smooth(others int, lag time.Duration) int {
	n.usual.add(float64(others), usualWeight)
	left := math.Exp(-lag.Seconds() * n.model.ownRate())
	return int(n.usual.value + (float64(others)-n.usual.value)*left + 0.5)
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
	return Flight{node: n, urgency: u, sent: now, tokens: resumeFrom, free: c.Free, sure: c.Sure, probe: c.probe}
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
	if f.free {
		t.learnFirst(now, f, took.Seconds(), false)
	}
	return took
}

// Overdue records that the first token of an attempt is late, or, if beaten, that a later attempt was faster. The delay so
// far counts as a sample if it is longer than usual; that of a beaten attempt is known to be far too low and counts double.
func (t *Table) Overdue(now time.Time, f *Flight, beaten bool) {
	if f.node == nil || !f.first.IsZero() || !f.free {
		return
	}
	took := now.Sub(f.sent).Seconds()
	if took > noticeable*f.node.model.first.or(defaultFirst.Seconds()) {
		if beaten {
			took *= 2
		}
		t.learnFirst(now, f, took, true)
	}
}

// Full records that the first token of an attempt is late because all slots of its replica are taken. What other hosts hold
// there counts as so much until the next report.
func (t *Table) Full(f *Flight) {
	n := f.node
	if n == nil || !f.first.IsZero() {
		return
	}
	if others := n.Slots + 1 - n.ownAll; others > n.others {
		if n.active {
			n.model.load += others - n.others
		}
		n.others = others
	}
}

// Progress records that the attempt has reached the token index.
func (t *Table) Progress(now time.Time, f *Flight, tokens int) {
	if f.node == nil || f.first.IsZero() || tokens-f.tokens < minTokens {
		return
	}
	took := now.Sub(f.mark).Seconds() / float64(tokens-f.tokens)
	f.pace = took / f.node.model.tokenTime
	f.straggles = f.pace > moveRatio*f.node.model.pace.or(1)
	t.learnTokens(now, f, took)
	f.mark, f.tokens = now, tokens
}

// Straggles reports whether the last tokens of an attempt took so much longer than those of the model that the rest of the
// answer may be worth a move.
func (f *Flight) Straggles() bool { return f.straggles }

// Gains reports whether a straggling attempt would run clearly faster at the chosen upstream, without a wait.
func (t *Table) Gains(f *Flight, c Choice) bool {
	return f.node != nil && c.node != nil && c.Free && f.pace > moveRatio*c.node.up.token.or(1)
}

// Shun avoids the replica of an attempt for a short time, because the upstream refused it or could not be reached. The
// replica may be unloaded or its upstream leaving, and the news still be under way.
func (t *Table) Shun(now time.Time, f *Flight) {
	if f.node != nil {
		f.node.shunned = now.Add(shunTime)
	}
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
		if f.first.IsZero() {
			t.Overdue(now, f, false)
		}
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
	l.Rate = float64(slots) * m.ownRate()
	l.BulkRoom = m.slotSum == 0 || m.front*float64(t.hosts.Live) < (1-t.settings.UrgentReserve)*float64(m.slotSum)
	return l
}

// EndRate returns the number of slots of a replica that become free each second if all are taken; zero means unknown.
func (t *Table) EndRate(upstream, modelName string) float64 {
	n := t.nodes[place{upstream, modelName}]
	if n == nil {
		return 0
	}
	return float64(n.Slots) * n.rate()
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
	n.model.average(now)
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
func (n *node) wait(u spec.Urgency, aged bool, hosts int) (float64, bool) {
	limit := n.Slots
	if u == spec.Bulk && !aged {
		limit -= n.kept(hosts)
	}
	load := n.load()
	if load < limit && (u != spec.Bulk || aged || n.bulkRoom(hosts)) {
		return 0, true
	}
	ahead := max(load-limit, 0) + 1
	if u == spec.Urgent {
		// Engines start waiting requests by priority, so only other urgent ones are ahead. Those of other hosts count in
		// full, because hosts do not let less urgent requests wait at engines.
		ahead = min(ahead, n.pending+n.othersWaiting+1)
	}
	return float64(ahead) / (float64(n.Slots) * n.rate()), false
}

// rate returns the rate at which one taken slot becomes free. Slots held by other hosts are taken to have the mix of this
// host's requests for the model.
func (n *node) rate() float64 {
	rate := n.model.ownRate()
	if load := n.load(); load > 0 {
		rate = (n.model.endRate(&n.own)*float64(n.ownAll) + rate*float64(n.others)) / float64(load)
	}
	return rate * n.model.pace.or(1) / n.up.token.or(n.model.pace.or(1))
}

// kept returns the slots that must stay free when a bulk request starts: as many as other requests usually hold, but not more
// than half.
func (n *node) kept(hosts int) int {
	usual := int(math.Ceil(n.model.front * n.share() * float64(hosts)))
	return max(n.reserve, min(usual, n.Slots/2))
}

// bulkRoom reports whether one more bulk request leaves room for the usual number of other requests and its deviation, which
// the replicas of the model share. The momentary load is no measure: long requests would fill each dip of it and stay.
func (n *node) bulkRoom(hosts int) bool {
	front := n.model.front * float64(hosts) // Of all hosts at all replicas.
	others := max(n.usual.value-n.model.front*n.share()*float64(hosts-1), 0)
	reserve := float64(n.reserve)
	mean := float64(n.Slots) - front*n.share()
	room := mean - max(reserve, roomDeviations*math.Sqrt(front)*n.share())
	return float64(n.own[spec.Bulk])+others+1 <= max(room, min(mean-reserve, leastBulk))
}

// average brings the mean number of own requests that are not bulk up to date.
func (m *model) average(now time.Time) {
	level := float64(m.own[spec.Urgent] + m.own[spec.Normal])
	m.front += (level - m.front) * (1 - math.Exp(-now.Sub(m.frontAt).Seconds()/frontSpan.Seconds()))
	m.frontAt = now
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

// ownRate returns the rate at which one taken slot becomes free, for the mix of this host's requests in flight.
func (m *model) ownRate() float64 {
	if m.ownAll == 0 {
		return 1 / m.service(spec.Normal)
	}
	return m.endRate(&m.own)
}

// endRate returns the rate at which one taken slot becomes free, for the mix of classes; it is zero for no requests.
func (m *model) endRate(own *[classes]int) float64 {
	rate, all := 0.0, 0
	for c, k := range own {
		if k > 0 {
			rate += float64(k) / m.service(spec.Urgency(c))
			all += k
		}
	}
	return rate / float64(max(all, 1))
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
