package route

import (
	"math"
	"time"

	"github.com/fireflycleat/fireflycleat/pkg/spec"
)

const (
	nonBulkSpan = 10 * time.Second // Several times the duration of short requests.
	avoidTime   = time.Second      // Updates about unloaded models and leaving upstreams arrive within about this time.
	reportTTL   = 10 * time.Second // Five times the longest usual delay of reports.
	// Bulk work leaves slots free for the mean number of other requests plus this many standard deviations. With 3.0, 1.6% of
	// urgent calls beside long bulk requests found two full replicas in a row.
	bulkDeviations = 3.5
	minBulk        = 1 // Bulk requests that a replica accepts even without room by deviation, so that bulk work does not starve.
	// The same report may arrive twice with times that differ by the message delay. Engines report at most a few times a
	// second.
	duplicateReportSpan = 20 * time.Millisecond
)

type (
	// Load is the state of a model over all its ready replicas, as this host estimates it.
	Load struct {
		Slots    int // Slots is the sum over ready replicas.
		InFlight int // InFlight is the number of requests in flight at them, from all hosts.
		Local    int // Local is the number of requests in flight from this host.
		// Rate is the number of slots that become free per second when all are in use; without replicas, that of one replica.
		Rate float64
		// First is the mean time to the first token at a free replica.
		First time.Duration
		// BulkAllowed reports whether the mean number of other requests leaves slots for bulk work.
		BulkAllowed bool
	}

	// Attempt is one attempt of a call at a replica. The zero Attempt is a finished one.
	Attempt struct {
		node       *node
		urgency    spec.Urgency
		sent       time.Time
		first      time.Time // first is the time of the first token.
		sampledAt  time.Time // sampledAt is the end of the last sample of the token rate.
		tokens     int       // tokens is the answer's token index at sampledAt.
		tokenRatio float64   // tokenRatio is the last time between tokens relative to the configured one.
		// straggling is set by comparing tokenRatio with the model's ratio before the sample, as the sample itself later
		// raises the model's ratio.
		straggling bool
		free       bool
		sure       bool
		probe      bool
	}
)

// Probe reports whether the attempt probes an ejected upstream.
func (a *Attempt) Probe() bool { return a.probe }

// Open reports whether the attempt is in flight.
func (a *Attempt) Open() bool { return a.node != nil }

// Upstream returns the name of the attempt's upstream, or an empty string after its end.
func (a *Attempt) Upstream() string {
	if a.node == nil {
		return ""
	}
	return a.node.Upstream
}

// ApplyReport applies a load report and returns the model that it concerns. It ignores reports that are not newer than the last
// one and those of unknown replicas, and returns an empty name for them.
func (t *Table) ApplyReport(now time.Time, upstream, modelName string, running, waiting, slots int, at time.Time) string {
	if modelName == "" {
		u := t.upstreams[upstream]
		if u == nil || len(u.nodes) != 1 {
			return ""
		}
		modelName = u.nodes[0].Model
	}
	n := t.nodes[replicaKey{upstream, modelName}]
	if n == nil || at.Sub(n.reported) <= duplicateReportSpan {
		return ""
	}
	if at.After(now) { // Report times are estimates, because the clocks of upstreams differ.
		at = now
	}
	n.reported = at
	total := max(running, 0) + max(waiting, 0)
	others := max(total-n.localHistory.at(at), 0)
	if t.mutant.noCorrection {
		others = max(total-n.localTotal, 0)
	}
	if !t.mutant.exactRemote {
		others = n.estimateRemote(others, now.Sub(at))
	}
	if n.active {
		n.model.load += others - n.remote
	}
	n.remote, n.remoteUrgentWaiting = others, 0
	if total > 0 {
		// A report does not give the urgency of waiting requests, so they are assumed to have the mix of this host's requests.
		urgent := float64(n.model.local[spec.Urgent]) / float64(max(n.model.localTotal, 1))
		n.remoteUrgentWaiting = int(float64(max(waiting, 0)*others)/float64(total)*urgent + 0.5)
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

// ExpireReports drops the load of other hosts where the last report is older than reportTTL. Without reports, calls would
// otherwise wait for slots that may have become free long ago.
func (t *Table) ExpireReports(now time.Time, modelName string) {
	for _, n := range t.model(modelName).nodes {
		if n.remote == 0 || now.Sub(n.reported) < reportTTL {
			continue
		}
		if n.active {
			n.model.load -= n.remote
		}
		n.remote, n.remoteUrgentWaiting, n.meanRemote = 0, 0, ewma{}
	}
}

// estimateRemote estimates the current load of other hosts from a report with the given delay. Short requests in the report
// have ended since and others have started, so the older a report is, the less its deviation from the mean counts. Otherwise
// all hosts would react to the same outdated deviations at once.
func (n *node) estimateRemote(others int, lag time.Duration) int {
	n.meanRemote.add(float64(others), remoteWeight)
	remaining := math.Exp(-lag.Seconds() * n.model.localEndRate())
	return int(n.meanRemote.value + (float64(others)-n.meanRemote.value)*remaining + 0.5)
}

// StartAttempt records the start of an attempt at the chosen replica. resumeFrom is the number of tokens that the caller already
// has.
func (t *Table) StartAttempt(now time.Time, c Choice, u spec.Urgency, resumeFrom int) Attempt {
	n := c.node
	if c.probe {
		n.up.probing = true
	}
	t.addInFlight(now, n, u, 1)
	if u == spec.Urgent {
		n.urgentPending++
	}
	return Attempt{node: n, urgency: u, sent: now, tokens: resumeFrom, free: c.Free, sure: c.Sure, probe: c.probe}
}

// RecordFirstToken records the first token of an attempt and returns the time to it.
func (t *Table) RecordFirstToken(now time.Time, a *Attempt) time.Duration {
	if a.node == nil || !a.first.IsZero() {
		return 0
	}
	a.first, a.sampledAt = now, now
	if a.urgency == spec.Urgent {
		a.node.urgentPending--
	}
	took := now.Sub(a.sent)
	if a.free {
		t.recordFirst(now, a, took.Seconds(), false)
	}
	return took
}

// RecordLateFirstToken records that the first token of an attempt is late or, if beaten is set, that a later attempt was faster.
// The delay so far is taken as a sample if it is longer than usual. A beaten attempt's delay is far below the real one and is
// doubled.
func (t *Table) RecordLateFirstToken(now time.Time, a *Attempt, beaten bool) {
	if a.node == nil || !a.first.IsZero() || !a.free {
		return
	}
	took := now.Sub(a.sent).Seconds()
	if took > minSlowness*a.node.model.first.valueOr(defaultFirstToken.Seconds()) {
		if beaten {
			took *= 2
		}
		t.recordFirst(now, a, took, true)
	}
}

// RecordFull records that the first token of an attempt is late because all slots of its replica are in use. The slots not held by
// this host count as load of other hosts until the next report.
func (t *Table) RecordFull(a *Attempt) {
	n := a.node
	if n == nil || !a.first.IsZero() {
		return
	}
	if others := n.Slots + 1 - n.localTotal; others > n.remote {
		if n.active {
			n.model.load += others - n.remote
		}
		n.remote = others
	}
}

// RecordProgress records that the attempt has reached the token index.
func (t *Table) RecordProgress(now time.Time, a *Attempt, tokens int) {
	if a.node == nil || a.first.IsZero() || tokens-a.tokens < minTokens {
		return
	}
	took := now.Sub(a.sampledAt).Seconds() / float64(tokens-a.tokens)
	a.tokenRatio = took / a.node.model.tokenTime
	a.straggling = a.tokenRatio > moveRatio*a.node.model.tokenRatio.valueOr(1)
	t.recordTokenTime(now, a, took)
	a.sampledAt, a.tokens = now, tokens
}

// IsStraggling reports whether the last tokens of an attempt were so much slower than the model's that moving the rest of the
// answer to another upstream may pay off.
func (a *Attempt) IsStraggling() bool { return a.straggling }

// WouldGain reports whether a straggling attempt would run clearly faster at the chosen upstream, without waiting there.
func (t *Table) WouldGain(a *Attempt, c Choice) bool {
	return a.node != nil && c.node != nil && c.Free && a.tokenRatio > moveRatio*c.node.up.tokenRatio.valueOr(1)
}

// Avoid avoids the replica of an attempt for a short time after the upstream refused the attempt or could not be reached. The
// replica may be unloaded or its upstream leaving, and the update not have arrived yet.
func (t *Table) Avoid(now time.Time, a *Attempt) {
	if a.node != nil {
		a.node.avoidUntil = now.Add(avoidTime)
	}
}

// EndAttempt records the end of an attempt. done is set if the complete answer arrived, which has the given number of tokens.
func (t *Table) EndAttempt(now time.Time, a *Attempt, tokens int, done bool) {
	n := a.node
	if n == nil {
		return
	}
	if done {
		t.RecordProgress(now, a, tokens)
		n.model.tokens[a.urgency].add(float64(tokens), modelWeight)
	}
	if a.first.IsZero() && a.urgency == spec.Urgent {
		n.urgentPending--
	}
	if a.probe {
		if a.first.IsZero() {
			t.RecordLateFirstToken(now, a, false)
		}
		n.up.probing = false
	}
	t.addInFlight(now, n, a.urgency, -1)
	*a = Attempt{}
	t.dropUnused(n)
}

// Load returns the state of the model.
func (t *Table) Load(modelName string) Load {
	m := t.model(modelName)
	l := Load{Slots: m.slotSum, InFlight: m.load, Local: m.localTotal, First: seconds(m.first.valueOr(defaultFirstToken.Seconds()))}
	slots := m.slotSum
	if slots == 0 {
		slots = m.slots
	}
	l.Rate = float64(slots) * m.localEndRate()
	l.BulkAllowed = m.slotSum == 0 || m.meanNonBulk*float64(t.hosts.Live) < (1-t.settings.UrgentReserve)*float64(m.slotSum)
	return l
}

// EndRate returns how many slots of a replica become free per second when all are in use; zero means unknown.
func (t *Table) EndRate(upstream, modelName string) float64 {
	n := t.nodes[replicaKey{upstream, modelName}]
	if n == nil {
		return 0
	}
	return float64(n.Slots) * n.endRate()
}

// RequestTime returns the expected time of a request at a replica of average speed, from start to end.
func (t *Table) RequestTime(modelName string, u spec.Urgency) time.Duration {
	return seconds(t.model(modelName).requestTime(u))
}

// Size returns the number of known upstreams, replicas and groups.
func (t *Table) Size() (upstreams, replicas, groups int) {
	return len(t.upstreams), len(t.nodes), len(t.groups)
}

func (t *Table) addInFlight(now time.Time, n *node, u spec.Urgency, by int) {
	n.model.updateMean(now)
	n.local[u] += by
	n.localTotal += by
	n.model.local[u] += by
	n.model.localTotal += by
	if n.active {
		n.model.load += by
	}
	n.localHistory.set(now, n.localTotal)
}

func (n *node) load() int { return n.localTotal + n.remote }

// wait returns the expected wait for a slot in seconds, and whether a slot is free for the class.
func (n *node) wait(u spec.Urgency, aged bool, hosts int) (float64, bool) {
	limit := n.Slots
	if u == spec.Bulk && !aged {
		limit -= n.bulkReserve(hosts)
	}
	load := n.load()
	if load < limit && (u != spec.Bulk || aged || n.bulkRoom(hosts)) {
		return 0, true
	}
	ahead := max(load-limit, 0) + 1
	if u == spec.Urgent {
		// Engines start waiting requests by priority, so only other urgent requests are ahead. Waiting requests of other hosts
		// count in full, because hosts do not queue less urgent requests at engines.
		ahead = min(ahead, n.urgentPending+n.remoteUrgentWaiting+1)
	}
	return float64(ahead) / (float64(n.Slots) * n.endRate()), false
}

// endRate returns the rate per second at which one slot in use becomes free. Slots held by other hosts are assumed to have the
// mix of this host's requests for the model.
func (n *node) endRate() float64 {
	rate := n.model.localEndRate()
	if load := n.load(); load > 0 {
		rate = (n.model.endRate(&n.local)*float64(n.localTotal) + rate*float64(n.remote)) / float64(load)
	}
	return rate * n.model.tokenRatio.valueOr(1) / n.up.tokenRatio.valueOr(n.model.tokenRatio.valueOr(1))
}

// bulkReserve returns the number of slots that must stay free when a bulk request starts: the mean number held by other
// requests but at most half, and at least the configured reserve.
func (n *node) bulkReserve(hosts int) int {
	mean := int(math.Ceil(n.model.meanNonBulk * n.slotShare() * float64(hosts)))
	return max(n.reserve, min(mean, n.Slots/2))
}

// bulkRoom reports whether one more bulk request leaves slots for the mean number of other requests and its deviation, which
// the replicas of the model share. The current load cannot be used instead, because long bulk requests would fill every dip in
// it and stay.
func (n *node) bulkRoom(hosts int) bool {
	nonBulk := n.model.meanNonBulk * float64(hosts) // Of all hosts at all replicas.
	others := max(n.meanRemote.value-n.model.meanNonBulk*n.slotShare()*float64(hosts-1), 0)
	reserve := float64(n.reserve)
	mean := float64(n.Slots) - nonBulk*n.slotShare()
	room := mean - max(reserve, bulkDeviations*math.Sqrt(nonBulk)*n.slotShare())
	return float64(n.local[spec.Bulk])+others+1 <= max(room, min(mean-reserve, minBulk))
}

// updateMean updates the mean number of this host's requests that are not bulk.
func (m *model) updateMean(now time.Time) {
	level := float64(m.local[spec.Urgent] + m.local[spec.Normal])
	m.meanNonBulk += (level - m.meanNonBulk) * (1 - math.Exp(-now.Sub(m.meanNonBulkAt).Seconds()/nonBulkSpan.Seconds()))
	m.meanNonBulkAt = now
}

// requestTime returns the expected time of a request from start to end, in seconds.
func (m *model) requestTime(u spec.Urgency) float64 {
	return m.first.valueOr(defaultFirstToken.Seconds()) + m.answerLength(u)*m.tokenTime*m.tokenRatio.valueOr(1)
}

// answerLength returns the expected number of tokens of an answer. A class without samples uses those of another.
func (m *model) answerLength(u spec.Urgency) float64 {
	for _, c := range [...]spec.Urgency{u, spec.Normal, spec.Urgent, spec.Bulk} {
		if m.tokens[c].count > 0 {
			return m.tokens[c].value
		}
	}
	return defaultTokens
}

// localEndRate returns the rate per second at which one slot in use becomes free, for the mix of this host's requests in
// flight.
func (m *model) localEndRate() float64 {
	if m.localTotal == 0 {
		return 1 / m.requestTime(spec.Normal)
	}
	return m.endRate(&m.local)
}

// endRate returns the rate per second at which one slot in use becomes free, for the given mix of classes; it is zero without
// requests.
func (m *model) endRate(own *[classes]int) float64 {
	rate, all := 0.0, 0
	for c, k := range own {
		if k > 0 {
			rate += float64(k) / m.requestTime(spec.Urgency(c))
			all += k
		}
	}
	return rate / float64(max(all, 1))
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
