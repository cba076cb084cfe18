package rates

import (
	"math"
	"slices"
	"time"
)

const (
	// minCallGap is the time between the starts of two calls of a host, and failedCallGap that after a call without an answer.
	minCallGap    = 50 * time.Millisecond
	failedCallGap = 200 * time.Millisecond
	// refillGap is the time between two calls because the credit of a team is low.
	refillGap = 250 * time.Millisecond
	// demandTime is the time constant of the average demand.
	demandTime = 2 * time.Second
	// meanWeight is the weight of a request in the mean cost.
	meanWeight = 0.1
	// aheadTime is the demand, in time, for which a host holds credit.
	aheadTime = time.Second
	// lowShare is the share of that credit below which a host calls before the next regular call.
	lowShare = 0.25
	// surplusFactor is how much more credit than it needs a host holds before it gives the rest back.
	surplusFactor = 1.5
	// minWait and maxWait limit the time after which a host that got too little credit calls again, and the retry time of a refused request.
	minWait = 50 * time.Millisecond
	maxWait = 2 * time.Second
	// changeTime is how long the change to another lender takes after the loss of one, and noLenderWait the retry time of a refused request
	// if no lender answers for longer.
	changeTime   = 4 * time.Second
	noLenderWait = time.Second
	// slowAnswer is the time without an answer to a call after which the lender is taken for lost.
	slowAnswer = 200 * time.Millisecond
	minDemand  = 1e-3
)

// Results of an admission.
const (
	// Admitted means that the credit was taken.
	Admitted Result = iota
	// Waiting means that the request waits for credit; Host.TakeDecided returns its result.
	Waiting
	// Refused means that there is no credit.
	Refused
)

// Reasons of a refusal.
const (
	// OverLimit means that the lender has no credit.
	OverLimit Reason = iota
	// NoLender means that no lender can grant credit, and that the host has too little credit of its own.
	NoLender
)

type (
	// Result is the result of an admission.
	Result int

	// Reason tells why a request was refused.
	Reason int

	// Decision is the result of an admission with the details of a refusal.
	Decision struct {
		Result     Result
		Reason     Reason
		RetryAfter time.Duration
		At         time.Time // when the credit was taken
	}

	// Host holds the credit of one host.
	Host struct {
		call     Call
		teams    map[string]*account
		decided  map[int64]Decision
		lastID   int64
		pending  *sentCall
		lastCall time.Time
		notSoon  time.Time // before this time no call is made, because the last one failed
		lost     bool      // whether the last call failed
		stopping bool
		// beginning is set while the lender may not grant credit yet.
		beginning bool
		readyAt   time.Time // when a beginning lender may grant credit; zero if unknown
		lostAt    time.Time // when the first of the calls was made that failed since the last reply
		// answeredAt is when the last answer came, or when the first call was made; uncounted is set if its lender does not count answers.
		answeredAt time.Time
		uncounted  bool
	}

	// account is the credit of one team.
	account struct {
		limit       Limit
		rate        float64 // share of the rate
		capacity    float64 // share of the capacity
		level       float64
		ceiling     float64   // highest level of which the lender knows
		at          time.Time // time of level
		loanUntil   time.Time
		grantUntil  time.Time // when credit beyond the capacity expires
		demand      float64
		demandAt    time.Time
		mean        float64
		waiting     []request
		deniedUntil time.Time // when the lender is expected to have credit
	}

	request struct {
		id     int64
		cost   float64
		giveUp time.Time
	}

	sentCall struct {
		seq    int64
		at     time.Time
		levels map[string]float64 // as reported
	}
)

// NewHost returns a host without credit.
func NewHost(name, incarnation string, started int64) *Host {
	return &Host{
		call:  Call{Host: name, Incarnation: incarnation, Started: started},
		teams: make(map[string]*account), decided: make(map[int64]Decision),
	}
}

// SetLimits sets the limits of all teams. Credit of a team with a lower limit shrinks in proportion.
func (h *Host) SetLimits(now time.Time, limits map[string]Limit) {
	for name, a := range h.teams {
		l, ok := limits[name]
		if !ok {
			for _, r := range a.waiting {
				h.decided[r.id] = Decision{Result: Admitted, At: now}
			}
			delete(h.teams, name)
			continue
		}
		a.accrue(now)
		a.level *= scale(a.limit, l)
		a.ceiling *= scale(a.limit, l)
		a.limit = l
	}
	for name, l := range limits {
		if h.teams[name] == nil {
			h.teams[name] = &account{limit: l, at: now, demandAt: now}
		}
	}
}

// SetStopping gives up all loans. From then on the host draws only what requests that still arrive need.
func (h *Host) SetStopping(now time.Time) {
	if h.stopping {
		return
	}
	h.stopping = true
	for _, a := range h.teams {
		a.accrue(now)
		a.rate, a.capacity, a.ceiling = 0, 0, a.level
		a.grantUntil = earlier(a.loanUntil, now.Add(GrantTime))
	}
}

// Admit takes credit for a request of a team, which must have a limit. If there is none, the request waits for it up to the given time if it
// may come by then. The ID identifies a waiting request.
func (h *Host) Admit(now time.Time, team string, cost float64, wait time.Duration) (Decision, int64) {
	a := h.teams[team]
	if a == nil {
		return Decision{Result: Admitted, At: now}, 0
	}
	a.accrue(now)
	a.count(now, cost)
	if len(a.waiting) == 0 && a.take(cost) {
		return Decision{Result: Admitted, At: now}, 0
	}
	next := a.creditAt(now, a.missing()+cost)
	if h.Changing(now) {
		next = now
	} else if !h.lost && (a.deniedUntil.IsZero() || a.deniedUntil.Before(next)) {
		next = a.deniedUntil
	}
	giveUp := now.Add(wait)
	if wait <= 0 || !next.Before(giveUp) {
		return h.refusal(now, next, a, a.missing()+cost), 0
	}
	h.lastID++
	a.waiting = append(a.waiting, request{h.lastID, cost, giveUp})
	return Decision{Result: Waiting}, h.lastID
}

// Cancel ends the wait of a request. It returns false if the request has been decided.
func (h *Host) Cancel(team string, id int64) bool {
	a := h.teams[team]
	if a == nil {
		return false
	}
	i := slices.IndexFunc(a.waiting, func(r request) bool { return r.id == id })
	if i < 0 {
		return false
	}
	a.waiting = slices.Delete(a.waiting, i, i+1)
	return true
}

// Return gives back the credit of a request that did not run, unless it was admitted too long ago. It reports whether it did.
func (h *Host) Return(now time.Time, team string, cost float64, admitted time.Time) bool {
	a := h.teams[team]
	if a == nil || now.Sub(admitted) > a.limit.ReturnTime() {
		return false
	}
	a.accrue(now)
	a.level = min(a.level+cost, max(a.ceiling, a.level))
	return true
}

// TakeDecided returns the decisions on waiting requests since the last call, by ID.
func (h *Host) TakeDecided(now time.Time) map[int64]Decision {
	for _, a := range h.teams {
		h.decide(now, a)
	}
	if len(h.decided) == 0 {
		return nil
	}
	d := h.decided
	h.decided = make(map[int64]Decision)
	return d
}

// decide admits waiting requests in the order of their arrival, and refuses those whose time is over or that would wait in vain.
func (h *Host) decide(now time.Time, a *account) {
	a.accrue(now)
	for len(a.waiting) > 0 {
		r := a.waiting[0]
		next := now
		if now.Before(a.deniedUntil) {
			next = a.deniedUntil
		}
		if credit := a.creditAt(now, r.cost); credit.Before(next) || h.lost {
			next = credit
		}
		if h.Changing(now) {
			next = now
		}
		switch {
		case a.take(r.cost):
			h.decided[r.id] = Decision{Result: Admitted, At: now}
		case !now.Before(r.giveUp) || !next.Before(r.giveUp):
			h.decided[r.id] = h.refusal(now, next, a, r.cost)
		default:
			return
		}
		a.waiting = a.waiting[1:]
	}
}

// NextCall returns when the next call to the lender is due; ok is false while one is pending or if no team has a limit.
func (h *Host) NextCall(now time.Time) (at time.Time, ok bool) {
	if h.pending != nil && now.Sub(h.pending.at) < CallTimeout || len(h.teams) == 0 {
		return time.Time{}, false
	}
	at = h.lastCall.Add(CallInterval)
	for _, a := range h.teams {
		a.accrue(now)
		switch {
		case len(a.waiting) > 0 && h.beginning:
			at = earlier(at, h.lastCall.Add(refillGap)) // The lender may begin earlier than it expects.
			if now.Before(h.readyAt) {
				at = earlier(at, later(h.lastCall.Add(minCallGap), h.readyAt))
			}
		case len(a.waiting) > 0:
			at = earlier(at, later(h.lastCall.Add(minCallGap), a.deniedUntil))
		case a.level < lowShare*a.need(now):
			at = earlier(at, later(h.lastCall.Add(refillGap), a.deniedUntil))
		}
	}
	return later(at, h.notSoon), true
}

// Begin returns the next call.
func (h *Host) Begin(now time.Time) Call {
	h.call.Seq++
	c := h.call
	c.Teams = make(map[string]Report)
	if h.answeredAt.IsZero() {
		h.answeredAt = now
	}
	if !h.uncounted {
		c.SinceAnswer = now.Sub(h.answeredAt)
	}
	h.pending = &sentCall{c.Seq, now, make(map[string]float64)}
	h.lastCall = now
	for name, a := range h.teams {
		a.accrue(now)
		need := a.need(now)
		if h.stopping {
			need = 0
		}
		r := Report{Rate: a.rate, Capacity: a.capacity, Mean: math.Ceil(a.mean)}
		if need > 0 {
			r.Demand = roundUp(a.demand, creditUnit)
		}
		if keep := max(a.capacity*a.limit.Capacity(), surplusFactor*need); a.level > keep && len(a.waiting) == 0 {
			r.Returned = roundDown(a.level-keep, creditUnit)
			a.level -= r.Returned
		}
		r.Level = roundUp(a.level, creditUnit)
		a.ceiling = max(a.capacity*a.limit.Capacity(), r.Level)
		if len(a.waiting) > 0 {
			r.First, r.Must = roundUp(a.waiting[0].cost-a.level, creditUnit), roundUp(a.missing(), creditUnit)
		}
		r.Wish = roundUp(need-max(a.level-a.waitingCost(), 0), creditUnit)
		if r == (Report{Mean: r.Mean}) {
			continue
		}
		h.pending.levels[name] = r.Level
		c.Teams[name] = r
	}
	return c
}

// Apply applies the reply to a call. It ignores a reply to a call that is no longer pending.
func (h *Host) Apply(now time.Time, r Reply) {
	p := h.pending
	if p == nil || p.seq != r.Seq || now.Sub(p.at) >= CallTimeout {
		return
	}
	if r.Beginning && !h.lost && !h.beginning {
		h.lostAt = p.at
	}
	h.pending, h.lost, h.beginning, h.notSoon = nil, false, r.Beginning, time.Time{}
	if h.readyAt = (time.Time{}); r.Beginning && r.ReadyIn > 0 {
		h.readyAt = now.Add(r.ReadyIn)
	}
	h.call.Answered, h.answeredAt, h.uncounted = p.seq, now, !r.CountsAnswers
	for name, a := range h.teams {
		level, reported := p.levels[name]
		if !reported {
			continue
		}
		l := r.Teams[name]
		a.accrue(now)
		a.rate, a.capacity = l.Rate, l.Capacity
		if h.stopping {
			a.rate, a.capacity = 0, 0
		}
		a.loanUntil, a.grantUntil = p.at.Add(LoanTime), p.at.Add(GrantTime)
		a.ceiling = max(a.capacity*a.limit.Capacity(), level+l.Grant)
		a.level = min(a.level+l.Grant, a.ceiling)
		a.deniedUntil = time.Time{}
		if l.Wait > 0 {
			a.deniedUntil = now.Add(min(max(l.Wait, minWait), maxWait))
		}
	}
}

// Failed records that the pending call has no answer.
func (h *Host) Failed(now time.Time, seq int64) {
	if h.pending == nil || h.pending.seq != seq {
		return
	}
	if !h.lost && !h.beginning {
		h.lostAt = h.pending.at
	}
	h.pending, h.lost, h.notSoon = nil, true, now.Add(failedCallGap)
}

// Held returns the share of the rate, the credit and the demand of a team at this host.
func (h *Host) Held(now time.Time, team string) (rate, level, demand float64) {
	a := h.teams[team]
	if a == nil {
		return 0, 0, 0
	}
	a.accrue(now)
	return a.rate, a.level, a.demandNow(now)
}

// accrue brings the credit up to the given time.
func (a *account) accrue(now time.Time) {
	end := now
	if a.loanUntil.Before(end) {
		end = a.loanUntil
	}
	limit := a.capacity * a.limit.Capacity()
	if d := end.Sub(a.at); d > 0 && a.level < limit {
		a.level = min(limit, a.level+a.rate*a.limit.PerSecond*d.Seconds())
	}
	if now.After(a.at) {
		a.at = now
	}
	if !now.Before(a.grantUntil) {
		a.level, a.ceiling = min(a.level, limit), min(a.ceiling, limit)
	}
	if !now.Before(a.loanUntil) {
		a.rate, a.capacity, a.level, a.ceiling = 0, 0, 0, 0
	}
}

func (a *account) take(cost float64) bool {
	if a.level < cost {
		return false
	}
	a.level -= cost
	return true
}

// count adds a request to the demand.
func (a *account) count(now time.Time, cost float64) {
	a.demand = a.demandNow(now) + cost/demandTime.Seconds()
	a.demandAt = now
	if a.mean == 0 {
		a.mean = cost
	}
	a.mean += meanWeight * (cost - a.mean)
}

func (a *account) demandNow(now time.Time) float64 {
	return a.demand * math.Exp(-max(now.Sub(a.demandAt), 0).Seconds()/demandTime.Seconds())
}

// need returns the credit that the host would like to hold.
func (a *account) need(now time.Time) float64 {
	a.demand, a.demandAt = a.demandNow(now), now
	if a.demand < minDemand || a.demand*aheadTime.Seconds() < lowShare*lowShare*a.mean {
		return 0
	}
	return a.demand*aheadTime.Seconds() + a.mean
}

func (a *account) waitingCost() float64 {
	sum := 0.0
	for _, r := range a.waiting {
		sum += r.cost
	}
	return sum
}

// missing returns the credit that the waiting requests need beyond the level.
func (a *account) missing() float64 { return max(a.waitingCost()-a.level, 0) }

// creditAt returns when the rate of this host will have brought the level to the cost, or a time beyond the loan.
func (a *account) creditAt(now time.Time, cost float64) time.Time {
	rate := a.rate * a.limit.PerSecond
	if rate <= 0 || cost > a.capacity*a.limit.Capacity() {
		return now.Add(LoanTime)
	}
	return now.Add(time.Duration(max(cost-a.level, 0) / rate * float64(time.Second)))
}

func earlier(a, b time.Time) time.Time {
	if b.Before(a) {
		return b
	}
	return a
}

func later(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}
