package route

import (
	"math"
	"time"

	"github.com/fireflycleat/fireflycleat/pkg/spec"
)

const (
	nonBulkTimeConstant = 10 * time.Second // time constant of meanNonBulk: several times the duration of short requests
	avoidTime           = time.Second      // Updates about unloaded models and leaving upstreams arrive within about this time.
	reportTTL           = 10 * time.Second // five times the longest usual delay of reports
	// bulkDeviations is the number of standard deviations for which bulk work leaves slots free, beyond the mean number of other
	// requests. With 3.0, 1.6% of urgent calls beside long bulk requests found two full replicas in a row.
	bulkDeviations = 3.5
	minBulk        = 1 // bulk requests that a replica accepts regardless of bulkDeviations, so that bulk work does not starve
	// duplicateReportSpan is the difference in time up to which two reports count as the same one. A report may arrive twice with
	// times that differ by the message delay; engines report at most a few times a second.
	duplicateReportSpan = 20 * time.Millisecond
)

type (
	// Load is the state of a model over all its ready replicas, as this host estimates it.
	Load struct {
		Slots    int // sum over ready replicas
		InFlight int // requests in flight at the ready replicas, from all hosts
		Local    int // requests in flight from this host
		// Rate is the number of slots that become free per second when all are in use; without replicas, that of one replica.
		Rate float64
		// First is the mean time to the first token at a free replica.
		First time.Duration
		// BulkAllowed reports whether the mean number of other requests leaves slots for bulk work.
		BulkAllowed bool
	}

	// Attempt is one attempt of a call at a replica. The zero Attempt is a finished one.
	Attempt struct {
		replica    *replica
		urgency    spec.Urgency
		sent       time.Time
		first      time.Time // time of the first token
		sampledAt  time.Time // end of the last sample of the token rate
		tokens     int       // the answer's token index at sampledAt
		tokenRatio float64   // last time between tokens relative to the configured one
		// straggling is set when tokenRatio is far above the model's ratio. It is computed before the sample is added to the
		// model's ratio, which the sample raises.
		straggling bool
		free       bool
		sure       bool
		probe      bool
	}
)

// Probe reports whether the attempt probes an ejected upstream.
func (a *Attempt) Probe() bool { return a.probe }

// Open reports whether the attempt is in flight.
func (a *Attempt) Open() bool { return a.replica != nil }

// Upstream returns the name of the attempt's upstream, or an empty string after its end.
func (a *Attempt) Upstream() string {
	if a.replica == nil {
		return ""
	}
	return a.replica.Upstream
}

// ApplyReport applies a load report and returns the model that it concerns. It ignores reports that are not newer than the last
// one and those of unknown replicas, and returns an empty name for them.
func (t *Table) ApplyReport(now time.Time, upstream, modelName string, running, waiting, slots int, at time.Time) string {
	if modelName == "" {
		u := t.upstreams[upstream]
		if u == nil || len(u.replicas) != 1 {
			return ""
		}
		modelName = u.replicas[0].Model
	}
	r := t.replicas[replicaKey{upstream, modelName}]
	if r == nil || at.Sub(r.reported) <= duplicateReportSpan {
		return ""
	}
	if at.After(now) { // Report times are estimates, because the clocks of upstreams differ.
		at = now
	}
	r.reported = at
	total := max(running, 0) + max(waiting, 0)
	others := max(total-r.localHistory.at(at), 0)
	if t.mutant.noCorrection {
		others = max(total-r.localTotal, 0)
	}
	if !t.mutant.exactRemote {
		others = r.estimateRemote(others, now.Sub(at))
	}
	if r.active {
		r.model.load += others - r.remote
	}
	r.remote, r.remoteUrgentWaiting = others, 0
	if total > 0 {
		// A report does not give the urgency of waiting requests, so they are assumed to have the mix of this host's requests.
		urgent := float64(r.model.local[spec.Urgent]) / float64(max(r.model.localTotal, 1))
		r.remoteUrgentWaiting = int(float64(max(waiting, 0)*others)/float64(total)*urgent + 0.5)
	}
	if slots > 0 && slots != r.Slots {
		if r.active {
			r.model.slotSum += slots - r.Slots
		}
		r.Slots = slots
		r.reserve = min(r.reserve, slots-1)
	}
	return modelName
}

// ExpireReports drops the load of other hosts where the last report is older than reportTTL. Without reports, calls would
// otherwise wait for slots that may have become free long ago.
func (t *Table) ExpireReports(now time.Time, modelName string) {
	for _, r := range t.model(modelName).replicas {
		if r.remote == 0 || now.Sub(r.reported) < reportTTL {
			continue
		}
		if r.active {
			r.model.load -= r.remote
		}
		r.remote, r.remoteUrgentWaiting, r.meanRemote = 0, 0, ewma{}
	}
}

// estimateRemote estimates the current load of other hosts from a report with the given delay. Some requests that the report
// counts have ended since and others have started, so the older a report is, the less its deviation from the mean counts.
// Otherwise all hosts would react to the same outdated deviations at once.
func (r *replica) estimateRemote(others int, lag time.Duration) int {
	r.meanRemote.add(float64(others), remoteWeight)
	remaining := math.Exp(-lag.Seconds() * r.model.localEndRate())
	return int(r.meanRemote.value + (float64(others)-r.meanRemote.value)*remaining + 0.5)
}

// StartAttempt records the start of an attempt at the chosen replica. resumeFrom is the number of tokens that the caller already
// has.
func (t *Table) StartAttempt(now time.Time, c Choice, u spec.Urgency, resumeFrom int) Attempt {
	r := c.replica
	if c.probe {
		r.up.probing = true
	}
	t.addInFlight(now, r, u, 1)
	if u == spec.Urgent {
		r.urgentPending++
	}
	return Attempt{replica: r, urgency: u, sent: now, tokens: resumeFrom, free: c.Free, sure: c.Sure, probe: c.probe}
}

// RecordFirstToken records the first token of an attempt and returns the time to it.
func (t *Table) RecordFirstToken(now time.Time, a *Attempt) time.Duration {
	if a.replica == nil || !a.first.IsZero() {
		return 0
	}
	a.first, a.sampledAt = now, now
	if a.urgency == spec.Urgent {
		a.replica.urgentPending--
	}
	took := now.Sub(a.sent)
	if a.free {
		t.recordFirst(now, a, took.Seconds(), false)
	}
	return took
}

// RecordLateFirstToken records that the first token of an attempt is late. The delay so far is taken as a sample if it is longer
// than usual. If beaten is set, the call continues without this attempt; its delay so far is far below the real one and is
// doubled.
func (t *Table) RecordLateFirstToken(now time.Time, a *Attempt, beaten bool) {
	if a.replica == nil || !a.first.IsZero() || !a.free {
		return
	}
	took := now.Sub(a.sent).Seconds()
	if took > minSlowness*a.replica.model.first.valueOr(defaultFirstToken.Seconds()) {
		if beaten {
			took *= 2
		}
		t.recordFirst(now, a, took, true)
	}
}

// RecordFull records that the first token of an attempt is late because all slots of its replica are in use. The slots not held by
// this host count as load of other hosts until the next report.
func (t *Table) RecordFull(a *Attempt) {
	r := a.replica
	if r == nil || !a.first.IsZero() {
		return
	}
	if others := r.Slots + 1 - r.localTotal; others > r.remote {
		if r.active {
			r.model.load += others - r.remote
		}
		r.remote = others
	}
}

// RecordProgress records that the attempt has reached the token index.
func (t *Table) RecordProgress(now time.Time, a *Attempt, tokens int) {
	if a.replica == nil || a.first.IsZero() || tokens-a.tokens < minTokens {
		return
	}
	took := now.Sub(a.sampledAt).Seconds() / float64(tokens-a.tokens)
	a.tokenRatio = took / a.replica.model.tokenTime
	a.straggling = a.tokenRatio > moveRatio*a.replica.model.tokenRatio.valueOr(1)
	t.recordTokenTime(now, a, took)
	a.sampledAt, a.tokens = now, tokens
}

// IsStraggling reports whether the last tokens of an attempt were so much slower than the model's that moving the rest of the
// answer to another upstream may pay off.
func (a *Attempt) IsStraggling() bool { return a.straggling }

// WouldGain reports whether a straggling attempt would run clearly faster at the chosen upstream, without waiting there.
func (t *Table) WouldGain(a *Attempt, c Choice) bool {
	return a.replica != nil && c.replica != nil && c.Free && a.tokenRatio > moveRatio*c.replica.up.tokenRatio.valueOr(1)
}

// Avoid makes the replica of an attempt a last resort for a short time, after the upstream refused the attempt or could not be
// reached. Possibly the replica was unloaded or its upstream is leaving, and the update has not arrived yet.
func (t *Table) Avoid(now time.Time, a *Attempt) {
	if a.replica != nil {
		a.replica.avoidUntil = now.Add(avoidTime)
	}
}

// EndAttempt records the end of an attempt. If done is set, the complete answer has arrived, with the given number of tokens.
func (t *Table) EndAttempt(now time.Time, a *Attempt, tokens int, done bool) {
	r := a.replica
	if r == nil {
		return
	}
	if done {
		t.RecordProgress(now, a, tokens)
		r.model.tokens[a.urgency].add(float64(tokens), modelWeight)
	}
	if a.first.IsZero() && a.urgency == spec.Urgent {
		r.urgentPending--
	}
	if a.probe {
		if a.first.IsZero() {
			t.RecordLateFirstToken(now, a, false)
		}
		r.up.probing = false
	}
	t.addInFlight(now, r, a.urgency, -1)
	*a = Attempt{}
	t.dropUnused(r)
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
	r := t.replicas[replicaKey{upstream, modelName}]
	if r == nil {
		return 0
	}
	return float64(r.Slots) * r.endRate()
}

// RequestTime returns the expected time of a request at a replica of average speed, from start to end.
func (t *Table) RequestTime(modelName string, u spec.Urgency) time.Duration {
	return seconds(t.model(modelName).requestTime(u))
}

// Size returns the number of known upstreams, replicas and groups.
func (t *Table) Size() (upstreams, replicas, groups int) {
	return len(t.upstreams), len(t.replicas), len(t.groups)
}

func (t *Table) addInFlight(now time.Time, r *replica, u spec.Urgency, by int) {
	r.model.updateMean(now)
	r.local[u] += by
	r.localTotal += by
	r.model.local[u] += by
	r.model.localTotal += by
	if r.active {
		r.model.load += by
	}
	r.localHistory.set(now, r.localTotal)
}

func (r *replica) load() int { return r.localTotal + r.remote }

// wait returns the expected wait for a slot in seconds, and whether a slot is free for the class.
func (r *replica) wait(u spec.Urgency, aged bool, hosts int) (float64, bool) {
	limit := r.Slots
	if u == spec.Bulk && !aged {
		limit -= r.bulkReserve(hosts)
	}
	load := r.load()
	if load < limit && (u != spec.Bulk || aged || r.hasRoomForBulk(hosts)) {
		return 0, true
	}
	ahead := max(load-limit, 0) + 1
	if u == spec.Urgent {
		// Engines start waiting requests by priority, so only other urgent requests are ahead. Waiting requests of other hosts
		// count in full, because hosts do not queue less urgent requests at engines.
		ahead = min(ahead, r.urgentPending+r.remoteUrgentWaiting+1)
	}
	return float64(ahead) / (float64(r.Slots) * r.endRate()), false
}

// endRate returns the rate per second at which one slot in use becomes free. Slots held by other hosts are assumed to have the
// mix of this host's requests for the model.
func (r *replica) endRate() float64 {
	rate := r.model.localEndRate()
	if load := r.load(); load > 0 {
		rate = (r.model.endRate(&r.local)*float64(r.localTotal) + rate*float64(r.remote)) / float64(load)
	}
	return rate * r.model.tokenRatio.valueOr(1) / r.up.tokenRatio.valueOr(r.model.tokenRatio.valueOr(1))
}

// bulkReserve returns the number of slots that must stay free when a bulk request starts: the mean number held by other
// requests but at most half, and at least the configured reserve.
func (r *replica) bulkReserve(hosts int) int {
	mean := int(math.Ceil(r.model.meanNonBulk * r.slotShare() * float64(hosts)))
	return max(r.reserve, min(mean, r.Slots/2))
}

// hasRoomForBulk reports whether one more bulk request leaves slots for the mean number of other requests and its deviation,
// which the replicas of the model share. The current load cannot be used instead, because long bulk requests would start
// whenever it is low for a moment, and stay.
func (r *replica) hasRoomForBulk(hosts int) bool {
	nonBulk := r.model.meanNonBulk * float64(hosts) // of all hosts at all replicas
	remoteBulk := max(r.meanRemote.value-r.model.meanNonBulk*r.slotShare()*float64(hosts-1), 0)
	reserve := float64(r.reserve)
	meanFree := float64(r.Slots) - nonBulk*r.slotShare()
	limit := meanFree - max(reserve, bulkDeviations*math.Sqrt(nonBulk)*r.slotShare())
	return float64(r.local[spec.Bulk])+remoteBulk+1 <= max(limit, min(meanFree-reserve, minBulk))
}

// updateMean updates the mean number of this host's requests that are not bulk.
func (m *model) updateMean(now time.Time) {
	nonBulk := float64(m.local[spec.Urgent] + m.local[spec.Normal])
	m.meanNonBulk += (nonBulk - m.meanNonBulk) * (1 - math.Exp(-now.Sub(m.meanNonBulkAt).Seconds()/nonBulkTimeConstant.Seconds()))
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
func (m *model) endRate(inFlight *[classCount]int) float64 {
	rate, total := 0.0, 0
	for c, k := range inFlight {
		if k > 0 {
			rate += float64(k) / m.requestTime(spec.Urgency(c))
			total += k
		}
	}
	return rate / float64(max(total, 1))
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
