package rates

import (
	"maps"
	"math"
	"slices"
	"time"

	"github.com/fireflycleat/fireflycleat/pkg/codes"
)

const (
	// expiryMargin is added to the times of loans and grants, because clocks drift.
	expiryMargin = 100 * time.Millisecond
	// reporterTime is how long a host counts as a reporter after its last call.
	reporterTime = CallInterval + 250*time.Millisecond
	// answerTime is how long a host counts as a reporter after its last call of which it confirmed, with the next one, that it got the answer.
	answerTime = 2*CallInterval + 250*time.Millisecond
	// demandFactor is the ratio of a lent rate to the demand, if the limit is higher.
	demandFactor = 1.25
	// reserveShare is the share of the capacity that the lender keeps for requests that have arrived, and maxWishShare the part of its other
	// credit that one call can get for those that have not.
	reserveShare = 0.25
	maxWishShare = 0.25
	// minDenial is the shortest time after which a host that got too little credit is told to call again, and overloadWait that time for a
	// team whose demand exceeds its limit by PerSecond.
	minDenial    = 100 * time.Millisecond
	overloadWait = time.Second
	// sweepInterval is the time between two searches for expired loans.
	sweepInterval = 500 * time.Millisecond
	// A loan is at most these multiples of an even share of the rate and of the capacity, so that a new lender can bound the loans of hosts that
	// it has not heard, which may be gone. It assumes the higher multiples, because the number of hosts may have changed.
	maxRateMultiple, maxCapacityMultiple         = 4, 10
	unheardRateMultiple, unheardCapacityMultiple = 5, 12
	// minRate is the lowest rate by which the time until there is credit is worked out.
	minRate = 1e-6
)

type (
	// Lender divides the limits of all teams among hosts.
	//
	// Two lenders may exist while the lease changes hands. A lender lends only while its lease is confirmed, or while most hosts report to it
	// and get its answers, which they do only if they know of no later lease. A new lender waits until most hosts have reported to it, and then for as long as an
	// earlier lender may have gone on and its grants are valid, unless that one has provably stopped. It does not know the loans of that
	// lender before all hosts have reported, or the loans have expired; until then it lends only what hosts report to hold, and what no
	// lender may lend.
	Lender struct {
		hosts   map[string]*borrower
		pools   map[string]*pool
		readyAt time.Time       // when this lender may grant credit; zero while that is unknown
		knownAt time.Time       // when all loans are known
		gone    map[string]bool // hosts that have held no loan since their process ended or began to stop, unless they called since
		sweptAt time.Time
		// answered is when each host got its last answer of an earlier lender at the latest.
		answered map[string]time.Time
		count    int // number of hosts that may hold credit; zero before the first call
		unheard  int // number of those whose loans are not known
	}

	// borrower is what the lender knows about a host.
	borrower struct {
		incarnation string
		started     int64
		seq         int64
		lastCall    time.Time
		answeredAt  time.Time // of the last call whose answer the host got
		loans       map[string]*loan
	}

	// loan is what a host may hold of one team. It holds at most the higher of what it reported and what it was lent since.
	loan struct {
		rate, capacity float64
		granted        float64 // credit beyond the capacity
		grantUntil     time.Time
		until          time.Time
		demand         float64
		need           float64 // credit that the host would like to hold
	}

	// pool is the lender's own bucket of one team, with the sums over all loans.
	pool struct {
		limit          Limit
		level          float64
		at             time.Time
		rate, capacity float64
		granted        float64
		demand, need   float64
	}

	// PoolStats are figures of one team at the lender.
	PoolStats struct {
		Rate, Capacity  float64 // sums of the shares lent
		Granted, Level  float64 // credit granted, and left at the lender
		Demand          float64
		PerSecond       float64
		CapacityInUnits float64
	}
)

// NewLender returns a lender that begins with a new lease.
func NewLender() *Lender {
	return &Lender{hosts: make(map[string]*borrower), gone: make(map[string]bool), pools: make(map[string]*pool), answered: make(map[string]time.Time)}
}

// SetLimits sets the limits of all teams. Credit of a team with a lower limit shrinks in proportion.
func (l *Lender) SetLimits(now time.Time, limits map[string]Limit) {
	l.sweep(now)
	for name, p := range l.pools {
		limit, ok := limits[name]
		if !ok {
			delete(l.pools, name)
			for _, b := range l.hosts {
				delete(b.loans, name)
			}
			continue
		}
		l.accrue(now, p)
		p.level *= scale(p.limit, limit)
		p.limit = limit
	}
	for name, limit := range limits {
		if l.pools[name] == nil {
			l.pools[name] = &pool{limit: limit, at: now}
		}
	}
}

// Answer answers a call. hosts is the number of hosts that may hold credit; confirmed is set if no other host can hold a later lease.
// The error is a StaleLease error if the lender may not lend now, or the call is older than one that was answered.
func (l *Lender) Answer(now time.Time, c Call, hosts int, confirmed bool) (Reply, error) {
	l.sweep(now)
	b := l.hosts[c.Host]
	switch {
	case b == nil || c.Started > b.started || c.Started == b.started && c.Incarnation != b.incarnation:
		if b != nil {
			l.forget(now, b) // Only one process of a host runs at a time.
		}
		b = &borrower{incarnation: c.Incarnation, started: c.Started, loans: make(map[string]*loan)}
		l.hosts[c.Host] = b
	case c.Incarnation != b.incarnation && now.Sub(b.lastCall) >= LoanTime: // The clock of the host was set back.
		l.forget(now, b)
		b = &borrower{incarnation: c.Incarnation, started: c.Started, loans: make(map[string]*loan)}
		l.hosts[c.Host] = b
	case c.Incarnation != b.incarnation || c.Seq <= b.seq:
		return Reply{}, codes.New(codes.StaleLease, "call is older than an earlier one")
	}
	if b.seq != 0 && c.Answered == b.seq {
		b.answeredAt = b.lastCall
	}
	if _, ok := l.answered[c.Host]; !ok {
		l.answered[c.Host] = now.Add(-max(c.SinceAnswer, 0))
	}
	b.seq, b.lastCall = c.Seq, now
	l.record(now, b, c)
	l.updateReady(now, hosts)
	if !confirmed && !l.Followed(now, hosts) {
		return Reply{}, codes.New(codes.StaleLease, "lease is not confirmed")
	}
	reply := Reply{Seq: c.Seq, Beginning: !l.isReady(now), Teams: make(map[string]Loan, len(c.Teams)), CountsAnswers: true}
	if reply.Beginning && !l.readyAt.IsZero() {
		reply.ReadyIn = l.readyAt.Sub(now)
	}
	for name, r := range c.Teams {
		if p := l.pools[name]; p != nil {
			reply.Teams[name] = l.lend(now, p, b.loans[name], r)
		}
	}
	return reply, nil
}

// record replaces what is known about the host by the reports of a call.
func (l *Lender) record(now time.Time, b *borrower, c Call) {
	for name, x := range b.loans {
		if _, ok := c.Teams[name]; !ok {
			l.remove(now, name, x)
			delete(b.loans, name)
		}
	}
	for name, r := range c.Teams {
		p := l.pools[name]
		if p == nil {
			continue
		}
		l.accrue(now, p)
		x := b.loans[name]
		if x == nil {
			x = new(loan)
			b.loans[name] = x
		}
		p.add(x, -1)
		capacity := p.limit.Capacity()
		x.rate, x.capacity = r.Rate, r.Capacity
		x.granted = max(r.Level-x.capacity*capacity, 0)
		x.grantUntil, x.until = now.Add(GrantTime+expiryMargin), now.Add(LoanTime+expiryMargin)
		x.demand, x.need = r.Demand, 0
		if r.Demand > 0 {
			x.need = r.Demand*aheadTime.Seconds() + r.Mean
		}
		p.add(x, 1)
		if l.isReady(now) {
			p.level += r.Returned
		}
		p.level = min(p.level, l.room(now, p))
	}
}

// lend determines the loan of a host for one team.
func (l *Lender) lend(now time.Time, p *pool, x *loan, r Report) Loan {
	unheardRate, unheardCapacity := l.unheardLoans(now)
	maxRate, maxCapacity := maxLentRate-unheardRate, maxLentCapacity-unheardCapacity
	evenShare := 1 / float64(max(l.count, 1))
	capacity := p.limit.Capacity()
	var answer Loan
	if x.need > 0 {
		rate := demandFactor * x.demand / max(p.limit.PerSecond, demandFactor*p.demand/maxRate)
		rate *= min(1, x.demand*aheadTime.Seconds()/r.Mean) // A host with rare requests would not use it.
		size := x.need / max(capacity, p.need/maxCapacity)
		if size*capacity < r.Mean {
			size = x.need / capacity // Few hosts get a loan, but one that fits a request.
		}
		answer.Rate = roundDown(min(rate, maxRate-(p.rate-x.rate), maxRateMultiple*evenShare), shareUnit)
		answer.Capacity = roundDown(min(size, maxCapacity-(p.capacity-x.capacity), maxCapacityMultiple*evenShare), shareUnit)
		if answer.Rate == 0 || answer.Capacity*capacity < r.Mean {
			answer.Rate, answer.Capacity = 0, 0
		}
	}
	// The host holds its present loan until the answer arrives, which may be never.
	p.add(x, -1)
	x.granted = max(r.Level-max(x.capacity, answer.Capacity)*capacity, 0)
	x.rate, x.capacity = max(x.rate, answer.Rate), max(x.capacity, answer.Capacity)
	p.add(x, 1)
	p.level = min(p.level, l.room(now, p))
	if !l.isReady(now) {
		if r.Must > 0 {
			answer.Wait = l.untilReady(now)
		}
		return answer
	}
	switch {
	case p.level >= r.First:
		answer.Grant = min(r.Must, p.level)
	case r.First > l.room(now, p) && p.level >= l.room(now, p):
		answer.Grant = r.First // A request that is larger than the bucket runs if the bucket is full.
	}
	spare := p.level - answer.Grant - reserveShare*capacity
	answer.Grant = roundDown(answer.Grant+max(min(r.Wish, maxWishShare*spare), 0), creditUnit)
	if answer.Grant < r.Must {
		answer.Wait = p.wait(r.First - p.level)
	}
	p.level -= answer.Grant
	p.add(x, -1)
	x.granted = max(r.Level+answer.Grant-x.capacity*capacity, 0)
	p.add(x, 1)
	return answer
}

// untilReady returns the time after which this lender is expected to grant credit.
func (l *Lender) untilReady(now time.Time) time.Duration {
	if l.readyAt.IsZero() {
		return reporterTime + GrantTime
	}
	return max(l.readyAt.Sub(now), minDenial)
}

// wait returns the time after which a host that got too little credit calls again.
func (p *pool) wait(lack float64) time.Duration {
	s := max(lack, 0) / max((1-p.rate)*p.limit.PerSecond, minRate)
	s = max(s, (p.demand/p.limit.PerSecond-1)*overloadWait.Seconds())
	return max(time.Duration(min(s, maxWait.Seconds())*float64(time.Second)), minDenial)
}

// Stats returns the figures of all teams.
func (l *Lender) Stats(now time.Time) map[string]PoolStats {
	s := make(map[string]PoolStats, len(l.pools))
	for name, p := range l.pools {
		l.accrue(now, p)
		s[name] = PoolStats{p.rate, p.capacity, p.granted, p.level, p.demand, p.limit.PerSecond, p.limit.Capacity()}
	}
	return s
}

// Ready reports whether this lender may grant credit, and whether it knows all loans.
func (l *Lender) Ready(now time.Time) (ready, known bool) { return l.isReady(now), l.isKnown(now) }

// StopPredecessor records that the earlier lender has not lent since the given time. If its process has ended, ended is the name of its host,
// and otherwise empty. Without such proof a new lender waits until most hosts have reported to it.
func (l *Lender) StopPredecessor(at time.Time, ended string) {
	if ended != "" {
		l.MarkGone(ended)
	}
	l.beginAfter(at)
}

// MarkGone records that a host has held no loan since its process ended or is stopping, so that this lender need not hear from it.
func (l *Lender) MarkGone(host string) { l.gone[host] = true }

// beginAfter sets when this lender may grant credit, given the time after which no earlier lender lends. Its own bucket fills from then on.
func (l *Lender) beginAfter(at time.Time) {
	ready := at.Add(GrantTime + expiryMargin)
	if !l.readyAt.IsZero() && !ready.Before(l.readyAt) {
		return
	}
	l.readyAt, l.knownAt = ready, at.Add(LoanTime+expiryMargin)
	for _, p := range l.pools {
		p.at = at
	}
}

// unheardLoans returns the highest shares of the rate and of the capacity that hosts may hold whose loans are not known.
func (l *Lender) unheardLoans(now time.Time) (rate, capacity float64) {
	if l.isKnown(now) {
		return 0, 0
	}
	if l.count == 0 {
		return maxLentRate, maxLentCapacity
	}
	share := float64(l.unheard) / float64(l.count)
	return min(unheardRateMultiple*share, maxLentRate), min(unheardCapacityMultiple*share, maxLentCapacity)
}

// updateReady notes when most or all hosts have reported. Once all have, they take credit from no earlier lender, and what they hold is known.
func (l *Lender) updateReady(now time.Time, hosts int) {
	if l.readyAt.IsZero() && len(l.hosts) > hosts/2 {
		l.beginAfter(now.Add(reporterTime))
	}
	if most := hosts/2 + 1; !l.isReady(now) && len(l.answered) >= most {
		// An earlier lender can lend as long as most hosts get its answers, and these hosts take none from it any more.
		times := slices.SortedFunc(maps.Values(l.answered), time.Time.Compare)
		l.beginAfter(times[most-1].Add(answerTime))
	}
	heard := len(l.hosts)
	for host := range l.gone {
		if l.hosts[host] == nil {
			heard++
		}
	}
	l.count, l.unheard = hosts, max(hosts-heard, 0)
	if l.unheard > 0 || l.isKnown(now) {
		return
	}
	for _, p := range l.pools {
		p.at = earlier(p.at, now)
	}
	l.readyAt, l.knownAt = earlier(l.readyAt, now), now
}

func (l *Lender) isReady(now time.Time) bool { return !l.readyAt.IsZero() && !now.Before(l.readyAt) }

func (l *Lender) isKnown(now time.Time) bool { return l.isReady(now) && !now.Before(l.knownAt) }

// Followed reports whether most of the given number of hosts have called recently and get the answers, which they do only if they know of no later lender.
func (l *Lender) Followed(now time.Time, hosts int) bool { return l.reporters(now) > hosts/2 }

// reporters returns the number of hosts that have called recently and get the answers.
func (l *Lender) reporters(now time.Time) int {
	count := 0
	for _, b := range l.hosts {
		if now.Sub(b.lastCall) < reporterTime && now.Sub(b.answeredAt) < answerTime {
			count++
		}
	}
	return count
}

// accrue brings the lender's credit up to the given time.
func (l *Lender) accrue(now time.Time, p *pool) {
	unheard, _ := l.unheardLoans(now)
	lent := p.rate + unheard
	if !l.isReady(now) {
		return
	}
	if d := now.Sub(p.at); d > 0 {
		p.level += max(1-lent, 0) * p.limit.PerSecond * d.Seconds()
		p.at = now
	}
	p.level = min(p.level, l.room(now, p))
}

// room returns the credit that the lender may hold beside all loans.
func (l *Lender) room(now time.Time, p *pool) float64 {
	_, unheard := l.unheardLoans(now)
	lent := p.capacity + unheard
	return max((1-lent)*p.limit.Capacity()-p.granted, 0)
}

// sweep removes expired loans, and adds the rest up again because sums of floating-point numbers drift.
func (l *Lender) sweep(now time.Time) {
	if now.Sub(l.sweptAt) < sweepInterval {
		return
	}
	l.sweptAt = now
	for _, p := range l.pools {
		l.accrue(now, p)
		p.rate, p.capacity, p.granted, p.demand, p.need = 0, 0, 0, 0, 0
	}
	for _, b := range l.hosts {
		for name, x := range b.loans {
			if !now.Before(x.until) {
				delete(b.loans, name)
				continue
			}
			if !now.Before(x.grantUntil) {
				x.granted = 0
			}
			if now.Sub(b.lastCall) > 2*reporterTime {
				x.demand, x.need = 0, 0
			}
			if p := l.pools[name]; p != nil {
				p.add(x, 1)
			}
		}
	}
}

func (l *Lender) forget(now time.Time, b *borrower) {
	for name, x := range b.loans {
		l.remove(now, name, x)
	}
}

func (l *Lender) remove(now time.Time, name string, x *loan) {
	if p := l.pools[name]; p != nil {
		l.accrue(now, p)
		p.add(x, -1)
	}
}

// add adds the loan to the sums, or removes it if the sign is negative.
func (p *pool) add(x *loan, sign float64) {
	p.rate += sign * x.rate
	p.capacity += sign * x.capacity
	p.granted += sign * x.granted
	p.demand += sign * x.demand
	p.need += sign * x.need
	for _, v := range []*float64{&p.rate, &p.capacity, &p.granted, &p.demand, &p.need} {
		if math.Abs(*v) < 1e-9 {
			*v = 0
		}
	}
}
