package clocks

import "time"

// driftShare bounds the drift between two clocks, each of which drifts by up to 0.1%: one part in so many.
const driftShare = 500

// Epoch is the instant that stands for the time of sending in a message between daemons.
var Epoch = time.Unix(0, 0).UTC()

type (
	// Remote bounds what another clock shows, from observations of it. The zero value knows nothing.
	Remote struct {
		low, high anchor
	}

	// anchor pairs a local time with a bound on what the other clock showed then.
	anchor struct {
		local, remote time.Time
	}
)

// Move returns the instant that is as far from the second reference as t is from the first; a zero t stays zero.
func Move(t, from, to time.Time) time.Time {
	if t.IsZero() {
		return t
	}
	return to.Add(t.Sub(from))
}

// Observe notes that the other clock showed a time from earliest to latest at some moment between asked and now. Bounds
// from earlier observations are kept where they are tighter, unless they contradict it: then the other clock has stepped.
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

// Passed notes that the other clock had shown the time before now, as when a record of the log is read.
func (r *Remote) Passed(now, at time.Time) {
	if r.low.remote.IsZero() || !r.Earliest(now).After(at) {
		r.low = anchor{now, at}
	}
}

// Known reports whether the other clock was observed.
func (r *Remote) Known() bool { return !r.high.remote.IsZero() }

// Earliest returns the earliest time that the other clock can show at the local time, or zero if nothing is known.
func (r *Remote) Earliest(local time.Time) time.Time { return r.low.earliest(local) }

// Latest returns the latest time that the other clock can show at the local time, or zero if nothing is known.
func (r *Remote) Latest(local time.Time) time.Time { return r.high.latest(local) }

// Since returns the earliest local time at which the other clock can have shown the time, or zero if nothing is known.
func (r *Remote) Since(remote time.Time) time.Time {
	if !r.Known() || remote.IsZero() {
		return time.Time{}
	}
	d := remote.Sub(r.high.remote)
	return r.high.local.Add(d - d.Abs()/driftShare)
}

// About returns the middle of the local times at which the other clock can have shown the time, or zero if nothing is known.
func (r *Remote) About(remote time.Time) time.Time {
	since := r.Since(remote)
	if since.IsZero() {
		return since
	}
	until := r.low.local.Add(remote.Sub(r.low.remote))
	return since.Add(max(0, until.Sub(since)) / 2)
}

func (a anchor) earliest(local time.Time) time.Time {
	if a.remote.IsZero() {
		return a.remote
	}
	d := local.Sub(a.local)
	return a.remote.Add(d - d.Abs()/driftShare)
}

func (a anchor) latest(local time.Time) time.Time {
	if a.remote.IsZero() {
		return a.remote
	}
	d := local.Sub(a.local)
	return a.remote.Add(d + d.Abs()/driftShare)
}
