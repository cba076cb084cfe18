package clocks

import "time"

// driftDivisor bounds the drift between two clocks to 1/driftDivisor of the elapsed time, as each drifts by up to 0.1%.
const driftDivisor = 500

// Epoch is the reference for instants in messages between daemons; it stands for the time at which the message is sent.
var Epoch = time.Unix(0, 0).UTC()

type (
	// Remote bounds the reading of another clock from observations of it. The zero value has no observations.
	Remote struct {
		low, high anchor
	}

	// anchor pairs a local time with a bound on the reading of the other clock at that time.
	anchor struct {
		local, remote time.Time
	}
)

// Rebase translates t from one reference to another: the result is as far from the second as t is from the first. A zero t
// stays zero.
func Rebase(t, from, to time.Time) time.Time {
	if t.IsZero() {
		return t
	}
	return to.Add(t.Sub(from))
}

// Observe records that the other clock showed a time from earliest to latest at some moment between asked and now. Bounds
// from earlier observations are kept where they are tighter, unless they contradict this one, which means that the other clock
// was stepped.
func (r *Remote) Observe(asked, now, earliest, latest time.Time) {
	low, high := anchor{now, earliest}, anchor{asked, latest}
	if r.high.remote.IsZero() || r.Earliest(now).After(high.latest(now)) || r.Latest(asked).Before(low.earliest(asked)) {
		r.low, r.high = low, high
		return
	}
	if !r.Earliest(now).After(earliest) {
		r.low = low
	}
	if !r.Latest(asked).Before(latest) {
		r.high = high
	}
}

// ObserveLowerBound records that the other clock showed the time at before the local time now, for example when a log record with
// that time is read.
func (r *Remote) ObserveLowerBound(now, at time.Time) {
	if r.low.remote.IsZero() || !r.Earliest(now).After(at) {
		r.low = anchor{now, at}
	}
}

// Known reports whether the other clock has been observed.
func (r *Remote) Known() bool { return !r.high.remote.IsZero() }

// Earliest returns the earliest time that the other clock can show at the local time, or the zero time without a bound.
func (r *Remote) Earliest(local time.Time) time.Time { return r.low.earliest(local) }

// Latest returns the latest time that the other clock can show at the local time, or the zero time without a bound.
func (r *Remote) Latest(local time.Time) time.Time { return r.high.latest(local) }

// EarliestLocal returns the earliest local time at which the other clock can show the remote time. It returns the zero time if the
// clock has not been observed or remote is zero.
func (r *Remote) EarliestLocal(remote time.Time) time.Time {
	if !r.Known() || remote.IsZero() {
		return time.Time{}
	}
	d := remote.Sub(r.high.remote)
	return r.high.local.Add(d - d.Abs()/driftDivisor)
}

// EstimateLocal estimates the local time at which the other clock shows the remote time, as the middle of the possible range. It
// returns the zero time if the clock has not been observed or remote is zero.
func (r *Remote) EstimateLocal(remote time.Time) time.Time {
	earliest := r.EarliestLocal(remote)
	if earliest.IsZero() {
		return earliest
	}
	latest := r.low.local.Add(remote.Sub(r.low.remote))
	return earliest.Add(max(0, latest.Sub(earliest)) / 2)
}

func (a anchor) earliest(local time.Time) time.Time {
	if a.remote.IsZero() {
		return a.remote
	}
	d := local.Sub(a.local)
	return a.remote.Add(d - d.Abs()/driftDivisor)
}

func (a anchor) latest(local time.Time) time.Time {
	if a.remote.IsZero() {
		return a.remote
	}
	d := local.Sub(a.local)
	return a.remote.Add(d + d.Abs()/driftDivisor)
}
