package bench

import (
	"math"
	"slices"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/fireflycleat/fireflycleat/pkg/spec"
)

const (
	atOnce     = 100 * time.Millisecond // A refusal later than this after the request was not sent at once.
	histMax    = int64(24 * time.Hour / time.Microsecond)
	histDigits = 3
	burstTag   = "burst"
	reportTag  = "report"
	rank       = 0.99
)

type (
	// sample is the runs of one policy on one trace.
	sample struct {
		deploy  Deployment
		trace   *Trace
		view    *spec.View
		plans   []Plan
		with    *Outcome
		without *Outcome // without is the comparison run, or nil.
	}

	// figures is the result of a measure, and the two figures of which it is the quotient.
	figures struct{ value, over, under float64 }

	// measure computes a figure of a sample; base is that of the baseline on the same trace.
	measure struct {
		name  string
		about string
		value func(s, base *sample) figures
		bound func(s, base *sample) float64
	}
)

// quotient is zero where the divisor is.
func quotient(over, under float64) figures { return figures{ratio(over, under, 0), over, under} }

func one(_, _ *sample) float64  { return 1 }
func zero(_, _ *sample) float64 { return 0 }

// measures are the five measures of section 1.3 and their parts.
var measures = []measure{
	{"inTime", "calls with first token in time and whole answer, share", inTime, one},
	{"coldStart", "first token p99 of the burst / best possible load", coldStart, one},
	{"loadsPerReplica", "loads / decided replicas that were loaded", loadsPerReplica, one},
	{"goodput", "goodput at the peak / capacity", goodput, one},
	{"urgentInTime", "urgent work served in time at the peak, share", urgentInTime, one},
	{"refusedAtOnce", "refusals within 100 ms, share", refusedAtOnce, one},
	{"retrySuccess", "callers who obeyed the retry time and succeeded, share", retrySuccess, one},
	{"headOfLine", "p99 wait of short urgent work, with / without reports", headOfLine, one},
	{"reportsFinished", "reports finished, share", reportsFinished, one},
	{"idleHours", "idle accelerator hours / hindsight-optimal", idleHours, one},
	{"coldVersusTimeout", "first token p99 / that of the fixed time-out", coldVersusTimeout, idealVersusTimeout},
	{"slowedFirst", "first token p99, with / without slowed upstreams", slowedFirst, one},
	{"slowedWhole", "whole answer p99, with / without slowed upstreams", slowedWhole, one},
	{"restLoad", "work on the other upstreams, with / without, the largest", restLoad, restBound},
	{"hedgeShare", "hedges / sends", hedgeShare, zero},
}

func measureNames() []string {
	var names []string
	for _, m := range measures {
		names = append(names, m.name)
	}
	return names
}

// quantile returns the quantile of the times by an HDR histogram with three digits.
func quantile(times []time.Duration, q float64) time.Duration {
	h := hdrhistogram.New(1, histMax, histDigits)
	for _, t := range times {
		// The error says that a value is out of range, which the bounds exclude.
		_ = h.RecordValue(min(max(t.Microseconds(), 1), histMax))
	}
	return time.Duration(h.ValueAtQuantile(q*100)) * time.Microsecond
}

// measured reports whether the call arrived in the measured part of the trace.
func (s *sample) measured(c *Call) bool {
	at := c.Arrived.Sub(epoch.Add(settleTime)).Seconds()
	return at >= s.trace.From && at < s.trace.To
}

func (c *Call) inTime() bool {
	return c.Done && !c.First.IsZero() && c.First.Sub(c.Arrived) <= c.Deadline
}

// firstTimes returns the first-token times of the measured calls; a call that was not served counts with its deadline.
func (s *sample) firstTimes(o *Outcome, pick func(*Call) bool) []time.Duration {
	var times []time.Duration
	for _, c := range o.Calls {
		if c.Retry || !s.measured(c) || !pick(c) {
			continue
		}
		t := c.Deadline
		if c.inTime() {
			t = c.First.Sub(c.Arrived)
		}
		times = append(times, t)
	}
	return times
}

// wholeTimes returns the times to the end of the measured calls that were served.
func (s *sample) wholeTimes(o *Outcome, pick func(*Call) bool) []time.Duration {
	var times []time.Duration
	for _, c := range o.Calls {
		if !c.Retry && s.measured(c) && pick(c) && c.Done {
			times = append(times, c.Ended.Sub(c.Arrived))
		}
	}
	return times
}

func everyCall(*Call) bool     { return true }
func interactive(c *Call) bool { return c.Urgency != spec.Bulk }
func urgent(c *Call) bool      { return c.Urgency == spec.Urgent }

// fraction returns the share of the calls that hold; it is not a number without calls.
func (s *sample) fraction(of, holds func(*Call) bool) figures {
	all, good := 0, 0
	for _, c := range s.with.Calls {
		if s.measured(c) && of(c) {
			all++
			if holds(c) {
				good++
			}
		}
	}
	return figures{ratio(float64(good), float64(all), math.NaN()), float64(good), float64(all)}
}

func ratio(a, b, none float64) float64 {
	if b == 0 {
		return none
	}
	return a / b
}

func (s *sample) burst() []Plan {
	return slices.DeleteFunc(slices.Clone(s.plans), func(p Plan) bool {
		at := p.At.Seconds()
		return p.Tag != burstTag || at < s.trace.From || at >= s.trace.To
	})
}

func inTime(s, _ *sample) figures {
	return s.fraction(func(c *Call) bool { return !c.Retry }, (*Call).inTime)
}

func coldStart(s, _ *sample) figures {
	times := s.firstTimes(s.with, func(c *Call) bool { return c.Tag == burstTag })
	best := s.trace.bestCold(s.deploy, s.view, s.burst())
	return quotient(quantile(times, rank).Seconds(), quantile(best, rank).Seconds())
}

func loadsPerReplica(s, _ *sample) figures {
	return quotient(float64(s.with.Loads), float64(s.with.Replicas))
}

// goodput is the work of the calls that were served in time, spread over the time that they ran, within the measured part
// of the trace, relative to the capacity of the decided replicas of the hot models.
func goodput(s, _ *sample) figures {
	from, to := epoch.Add(settleTime).Add(seconds(s.trace.From)), epoch.Add(settleTime).Add(seconds(s.trace.To))
	good := 0.0
	for _, c := range s.with.Calls {
		if !c.inTime() {
			continue
		}
		begin := c.First.Add(-time.Duration(c.Prompt) * prefillTime)
		span := c.Ended.Sub(begin).Seconds()
		inside := min(c.Ended.Sub(from).Seconds(), span, to.Sub(begin).Seconds(), to.Sub(from).Seconds())
		good += max(inside, 0) / span * workOf(c.Prompt, c.Answer).Seconds()
	}
	g := generator{Flow: Flow{Models: hotModels}, deploy: s.deploy, view: s.view}
	return quotient(good, g.slots()*(s.trace.To-s.trace.From))
}

func urgentInTime(s, _ *sample) figures {
	return s.fraction(func(c *Call) bool { return urgent(c) && !c.Retry }, (*Call).inTime)
}

func refusedAtOnce(s, _ *sample) figures {
	return s.fraction(func(c *Call) bool { return c.Refused },
		func(c *Call) bool { return c.Ended.Sub(c.Arrived) <= atOnce+2*s.deploy.Client })
}

func retrySuccess(s, _ *sample) figures {
	return s.fraction(func(c *Call) bool { return c.Again != nil }, func(c *Call) bool { return c.Again.inTime() })
}

func headOfLine(s, _ *sample) figures { return s.compareFirst(urgent) }

// compareFirst divides p99 of the first-token time by that of the run without the disturbance. It is infinite if more than
// one call in a hundred is not served even there, because both figures are then the deadline.
func (s *sample) compareFirst(pick func(*Call) bool) figures {
	f := quotient(quantile(s.firstTimes(s.with, pick), rank).Seconds(),
		quantile(s.firstTimes(s.without, pick), rank).Seconds())
	all, lost := 0, 0
	for _, c := range s.without.Calls {
		if !c.Retry && s.measured(c) && pick(c) {
			all++
			if !c.inTime() {
				lost++
			}
		}
	}
	if float64(lost) > (1-rank)*float64(all) {
		f.value = math.Inf(1)
	}
	return f
}

func reportsFinished(s, _ *sample) figures {
	return s.fraction(func(c *Call) bool { return c.Tag == reportTag && !c.Retry },
		func(c *Call) bool { return c.Done || c.Again != nil && c.Again.Done })
}

func idleHours(s, _ *sample) figures {
	return quotient((s.with.Idle + s.with.LoadTime).Hours(), bestIdle(s.view, s.plans).Hours())
}

func coldVersusTimeout(s, base *sample) figures {
	return quotient(quantile(s.firstTimes(s.with, everyCall), rank).Seconds(),
		quantile(base.firstTimes(base.with, everyCall), rank).Seconds())
}

func idealVersusTimeout(s, base *sample) float64 {
	var times []time.Duration
	for _, p := range s.plans {
		times = append(times, s.deploy.idealFirst(p))
	}
	return ratio(quantile(times, rank).Seconds(), quantile(base.firstTimes(base.with, everyCall), rank).Seconds(), 0)
}

func slowedFirst(s, _ *sample) figures { return s.compareFirst(interactive) }

func slowedWhole(s, _ *sample) figures {
	return quotient(quantile(s.wholeTimes(s.with, interactive), rank).Seconds(),
		quantile(s.wholeTimes(s.without, interactive), rank).Seconds())
}

// restLoad is the largest ratio of an upstream's work with slowed upstreams to its work without, among the others. Upstreams
// that did little without are left out, because loads fall on them by chance.
func restLoad(s, _ *sample) figures {
	sum := 0.0
	for _, b := range s.without.Busy {
		sum += b.Seconds()
	}
	mean := sum / float64(len(s.without.Busy))
	var most figures
	for name, b := range s.with.Busy {
		if before := s.without.Busy[name].Seconds(); !slices.Contains(s.with.Slowed, name) && before > mean/2 &&
			b.Seconds()/before > most.value {
			most = quotient(b.Seconds(), before)
		}
	}
	return most
}

// restBound is the load on the others when each upstream gets work in proportion to its speed.
func restBound(s, _ *sample) float64 {
	if len(s.trace.Speeds) == 0 {
		return 1
	}
	x := s.trace.Speeds[0]
	return 1 / (1 - x.Share + x.Share/x.Factor)
}

func hedgeShare(s, _ *sample) figures {
	return quotient(float64(s.with.Hedges), float64(s.with.Sends))
}
