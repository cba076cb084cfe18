package member

import "time"

// The stages of a planned stop, in order.
const (
	Running     Stage = iota
	Announcing        // Announcing daemons are draining but accept requests of callers that still have their address.
	Finishing         // Finishing daemons accept nothing new and wait for their requests to end.
	HandingOver       // HandingOver daemons pass on cell leases and key ranges.
	Stopped
)

type (
	// Stage is a stage of a planned stop.
	Stage int

	// StopConfig holds the times of a planned stop.
	StopConfig struct {
		AddressLifetime time.Duration
		FinishLimit     time.Duration // FinishLimit is how long requests may take to end.
		HandOverLimit   time.Duration // HandOverLimit is how long leases and ranges may take to move.
	}

	// Load is what a stopping daemon still has.
	Load struct {
		Requests int // Requests counts the requests in progress, queued ones included.
		Leases   int
		Ranges   int // Ranges counts the key ranges that it holds or backs and the calls whose outcome it still owes.
		Behind   int // Behind counts the peers that may not know yet who has the leases and ranges now.
	}

	// Done is the result of a planned stop.
	Done struct {
		Interrupted int // Interrupted counts the requests that were cut off.
		Kept        int // Kept counts the leases and ranges that were not handed over.
	}

	// Stop is the state of a planned stop.
	Stop struct {
		cfg   StopConfig
		stage Stage
		until time.Time
		done  Done
		off   stopFaults
	}

	// stopFaults switches single rules off; only tests set it, to show that their checks notice.
	stopFaults struct {
		noLifetime, noBeat, noAccept, cutRequests, keepLoad, noBehind, noLimit, noCount bool
	}
)

// String returns the name of the stage as operators see it.
func (s Stage) String() string {
	if s < Running || s > Stopped {
		return "invalid"
	}
	return [...]string{"running", "announcing", "finishing", "handingOver", "stopped"}[s]
}

// NewStop returns a planned stop that has not begun.
func NewStop(cfg StopConfig) *Stop { return &Stop{cfg: cfg} }

// Begin starts the stop; a second call changes nothing.
func (s *Stop) Begin(now time.Time) {
	if s.stage == Running {
		s.stage = Announcing
		// A peer may answer with this address until it hears of the draining, and the answer is then kept.
		s.until = now.Add(s.announcing())
	}
}

func (s *Stop) announcing() time.Duration {
	switch {
	case s.off.noLifetime:
		return HeartbeatInterval
	case s.off.noBeat:
		return s.cfg.AddressLifetime
	}
	return s.cfg.AddressLifetime + HeartbeatInterval
}

// Advance moves to the stage that the time and the remaining load allow, and returns it with the time of the next call.
func (s *Stop) Advance(now time.Time, load Load) (Stage, time.Time) {
	if s.stage == Announcing && !now.Before(s.until) {
		s.stage, s.until = Finishing, now.Add(s.cfg.FinishLimit)
	}
	late := !now.Before(s.until) && !s.off.noLimit
	if s.stage == Finishing && (load.Requests == 0 || late || s.off.cutRequests) {
		if !s.off.noCount {
			s.done.Interrupted = load.Requests
		}
		s.stage, s.until = HandingOver, now.Add(s.cfg.HandOverLimit)
	}
	late = !now.Before(s.until) && !s.off.noLimit
	// A peer that has not read of the hand-over still sends calls here; after the exit their outcome would be unknown.
	known := load.Behind == 0 || s.off.noBehind
	if s.stage == HandingOver && (load.Leases+load.Ranges == 0 && known || late || s.off.keepLoad) {
		s.done.Kept = load.Leases + load.Ranges
		s.stage = Stopped
	}
	return s.stage, s.until
}

// Stage returns the present stage.
func (s *Stop) Stage() Stage { return s.stage }

// Accepts reports whether new requests may still be accepted.
func (s *Stop) Accepts() bool {
	return s.stage <= Announcing && (s.stage == Running || !s.off.noAccept)
}

// Done returns the result and whether the stop has ended.
func (s *Stop) Done() (Done, bool) { return s.done, s.stage == Stopped }
