package bench

import (
	"math"
	"slices"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/fireflycleat/fireflycleat/pkg/spec"
)

const (
	maxRefusalDelay = 100 * time.Millisecond // limit for a refusal to count as immediate, without the caller's network delay
	histMax         = int64(24 * time.Hour / time.Microsecond)
	histDigits      = 3
	burstTag        = "burst"
	reportTag       = "report"
	tailQuantile    = 0.99
)

type (
	// policyRuns holds the runs of one policy on one trace.
	policyRuns struct {
		deploy     Deployment
		trace      *Trace
		view       *spec.View
		plans      []Plan
		outcome    *Outcome
		comparison *Outcome // run without the disturbance, or nil
	}

	// measurement is the result of a measure and the numerator and denominator that it is computed from.
	measurement struct{ value, numerator, denominator float64 }

	// measure computes a figure from the runs of a policy; base holds those of the baseline on the same trace.
	measure struct {
		name  string
		about string
		value func(s, base *policyRuns) measurement
		bound func(s, base *policyRuns) float64
	}
)

// quotient divides two figures; the value is zero if the denominator is zero.
func quotient(numerator, denominator float64) measurement {
	return measurement{ratio(numerator, denominator, 0), numerator, denominator}
}

func boundOne(_, _ *policyRuns) float64  { return 1 }
func boundZero(_, _ *policyRuns) float64 { return 0 }

// measures lists the five measures of section 1.3 of the design page and their parts.
var measures = []measure{
	{"inTime", "calls with first token in time and whole answer, share", inTime, boundOne},
	{"coldStart", "first token p99 of the burst / best possible load", coldStart, boundOne},
	{"loadsPerReplica", "loads / decided replicas that were loaded", loadsPerReplica, boundOne},
	{"goodput", "goodput at the peak / capacity", goodput, boundOne},
	{"urgentInTime", "urgent work served in time at the peak, share", urgentInTime, boundOne},
	{"refusedAtOnce", "refusals within 100 ms, share", refusedAtOnce, boundOne},
	{"retrySuccess", "callers who obeyed the retry time and succeeded, share", retrySuccess, boundOne},
	{"headOfLine", "p99 wait of short urgent work, with / without reports", headOfLine, boundOne},
	{"reportsFinished", "reports finished, share", reportsFinished, boundOne},
	{"idleHours", "idle accelerator hours / hindsight-optimal", idleHours, boundOne},
	{"coldVersusTimeout", "first token p99 / that of the fixed time-out", coldVersusTimeout, idealFirstVersusTimeout},
	{"slowedFirst", "first token p99, with / without slowed upstreams", slowedFirst, boundOne},
	{"slowedWhole", "whole answer p99, with / without slowed upstreams", slowedWhole, boundOne},
	{"restLoad", "work on the other upstreams, with / without, the largest", restLoad, restBound},
	{"hedgeShare", "hedges / sends", hedgeShare, boundZero},
}

func measureNames() []string {
	var names []string
	for _, m := range measures {
		names = append(names, m.name)
	}
	return names
}

// quantile returns a quantile of the times, to three significant digits.
func quantile(times []time.Duration, q float64) time.Duration {
	h := hdrhistogram.New(1, histMax, histDigits)
	for _, t := range times {
		// RecordValue fails only for values out of range; the value is clamped.
		_ = h.RecordValue(min(max(t.Microseconds(), 1), histMax))
	}
	return time.Duration(h.ValueAtQuantile(q*100)) * time.Microsecond
}

// measured reports whether the call was sent in the measured part of the trace.
func (s *policyRuns) measured(c *Call) bool {
	at := c.SentAt.Sub(epoch.Add(warmUpTime)).Seconds()
	return at >= s.trace.From && at < s.trace.To
}

func (c *Call) inTime() bool {
	return c.Done && !c.First.IsZero() && c.First.Sub(c.SentAt) <= c.Deadline
}

// firstTokenTimes returns the first-token times of the measured calls; a call that was not served in time counts with its deadline.
func (s *policyRuns) firstTokenTimes(o *Outcome, selected func(*Call) bool) []time.Duration {
	var times []time.Duration
	for _, c := range o.Calls {
		if c.Retry || !s.measured(c) || !selected(c) {
			continue
		}
		t := c.Deadline
		if c.inTime() {
			t = c.First.Sub(c.SentAt)
		}
		times = append(times, t)
	}
	return times
}

// completionTimes returns the times to the whole answer of the measured calls that were served.
func (s *policyRuns) completionTimes(o *Outcome, selected func(*Call) bool) []time.Duration {
	var times []time.Duration
	for _, c := range o.Calls {
		if !c.Retry && s.measured(c) && selected(c) && c.Done {
			times = append(times, c.Ended.Sub(c.SentAt))
		}
	}
	return times
}

func everyCall(*Call) bool     { return true }
func interactive(c *Call) bool { return c.Urgency != spec.Bulk }
func urgent(c *Call) bool      { return c.Urgency == spec.Urgent }

// fraction returns the share of the selected calls for which the condition holds, or NaN if none is selected.
func (s *policyRuns) fraction(selected, holds func(*Call) bool) measurement {
	all, good := 0, 0
	for _, c := range s.outcome.Calls {
		if s.measured(c) && selected(c) {
			all++
			if holds(c) {
				good++
			}
		}
	}
	return measurement{ratio(float64(good), float64(all), math.NaN()), float64(good), float64(all)}
}

func ratio(a, b, fallback float64) float64 {
	if b == 0 {
		return fallback
	}
	return a / b
}

func (s *policyRuns) burst() []Plan {
	return slices.DeleteFunc(slices.Clone(s.plans), func(p Plan) bool {
		at := p.At.Seconds()
		return p.Tag != burstTag || at < s.trace.From || at >= s.trace.To
	})
}

func inTime(s, _ *policyRuns) measurement {
	return s.fraction(func(c *Call) bool { return !c.Retry }, (*Call).inTime)
}

func coldStart(s, _ *policyRuns) measurement {
	times := s.firstTokenTimes(s.outcome, func(c *Call) bool { return c.Tag == burstTag })
	best := s.trace.bestColdStart(s.deploy, s.view, s.burst())
	return quotient(quantile(times, tailQuantile).Seconds(), quantile(best, tailQuantile).Seconds())
}

func loadsPerReplica(s, _ *policyRuns) measurement {
	return quotient(float64(s.outcome.Loads), float64(s.outcome.PeakReplicas))
}

// goodput returns the work of the calls that were served in time, relative to the capacity of the configured replicas of
// the hot models. The work of a call is spread evenly over its run time, and only the measured part of the trace counts.
func goodput(s, _ *policyRuns) measurement {
	from, to := epoch.Add(warmUpTime).Add(seconds(s.trace.From)), epoch.Add(warmUpTime).Add(seconds(s.trace.To))
	good := 0.0
	for _, c := range s.outcome.Calls {
		if !c.inTime() {
			continue
		}
		begin := c.First.Add(-time.Duration(c.Prompt) * prefillTime)
		span := c.Ended.Sub(begin).Seconds()
		inside := min(c.Ended.Sub(from).Seconds(), span, to.Sub(begin).Seconds(), to.Sub(from).Seconds())
		good += max(inside, 0) / span * fullBatchTime(c.Prompt, c.Answer).Seconds()
	}
	g := generator{Flow: Flow{Models: hotModels}, deploy: s.deploy, view: s.view}
	return quotient(good, g.slots()*(s.trace.To-s.trace.From))
}

func urgentInTime(s, _ *policyRuns) measurement {
	return s.fraction(func(c *Call) bool { return urgent(c) && !c.Retry }, (*Call).inTime)
}

func refusedAtOnce(s, _ *policyRuns) measurement {
	return s.fraction(func(c *Call) bool { return c.Refused },
		func(c *Call) bool { return c.Ended.Sub(c.SentAt) <= maxRefusalDelay+2*s.deploy.ClientDelay })
}

func retrySuccess(s, _ *policyRuns) measurement {
	return s.fraction(func(c *Call) bool { return c.RetryCall != nil }, func(c *Call) bool { return c.RetryCall.inTime() })
}

func headOfLine(s, _ *policyRuns) measurement { return s.compareFirst(urgent) }

// compareFirst divides the p99 of the first-token time by that of the run without the disturbance. It returns infinity if
// more than one call in a hundred misses its deadline in that run too, because both figures are then the deadline.
func (s *policyRuns) compareFirst(selected func(*Call) bool) measurement {
	f := quotient(quantile(s.firstTokenTimes(s.outcome, selected), tailQuantile).Seconds(),
		quantile(s.firstTokenTimes(s.comparison, selected), tailQuantile).Seconds())
	all, missed := 0, 0
	for _, c := range s.comparison.Calls {
		if !c.Retry && s.measured(c) && selected(c) {
			all++
			if !c.inTime() {
				missed++
			}
		}
	}
	if float64(missed) > (1-tailQuantile)*float64(all) {
		f.value = math.Inf(1)
	}
	return f
}

func reportsFinished(s, _ *policyRuns) measurement {
	return s.fraction(func(c *Call) bool { return c.Tag == reportTag && !c.Retry },
		func(c *Call) bool { return c.Done || c.RetryCall != nil && c.RetryCall.Done })
}

func idleHours(s, _ *policyRuns) measurement {
	return quotient((s.outcome.IdleTime + s.outcome.LoadTime).Hours(), bestIdle(s.view, s.plans).Hours())
}

func coldVersusTimeout(s, base *policyRuns) measurement {
	return quotient(quantile(s.firstTokenTimes(s.outcome, everyCall), tailQuantile).Seconds(),
		quantile(base.firstTokenTimes(base.outcome, everyCall), tailQuantile).Seconds())
}

func idealFirstVersusTimeout(s, base *policyRuns) float64 {
	var times []time.Duration
	for _, p := range s.plans {
		times = append(times, s.deploy.idealFirstToken(p))
	}
	return ratio(quantile(times, tailQuantile).Seconds(), quantile(base.firstTokenTimes(base.outcome, everyCall), tailQuantile).Seconds(), 0)
}

func slowedFirst(s, _ *policyRuns) measurement { return s.compareFirst(interactive) }

func slowedWhole(s, _ *policyRuns) measurement {
	return quotient(quantile(s.completionTimes(s.outcome, interactive), tailQuantile).Seconds(),
		quantile(s.completionTimes(s.comparison, interactive), tailQuantile).Seconds())
}

// restLoad returns the largest ratio, among the upstreams that were not slowed, of the work in the run with slowed upstreams
// to the work in the run without. Upstreams with less than half the mean work are left out, because their load varies by
// chance.
func restLoad(s, _ *policyRuns) measurement {
	sum := 0.0
	for _, b := range s.comparison.BusyTime {
		sum += b.Seconds()
	}
	mean := sum / float64(len(s.comparison.BusyTime))
	var largest measurement
	for name, b := range s.outcome.BusyTime {
		if unslowedSeconds := s.comparison.BusyTime[name].Seconds(); !slices.Contains(s.outcome.Slowed, name) && unslowedSeconds > mean/2 &&
			b.Seconds()/unslowedSeconds > largest.value {
			largest = quotient(b.Seconds(), unslowedSeconds)
		}
	}
	return largest
}

// restBound returns the load on the other upstreams if each upstream gets work in proportion to its speed.
func restBound(s, _ *policyRuns) float64 {
	if len(s.trace.UpstreamSlowdowns) == 0 {
		return 1
	}
	x := s.trace.UpstreamSlowdowns[0]
	return 1 / (1 - x.Share + x.Share/x.Factor)
}

func hedgeShare(s, _ *policyRuns) measurement {
	return quotient(float64(s.outcome.Hedges), float64(s.outcome.Sends))
}
