package member

import "time"

// Stages of a planned stop, in order.
const (
	Running     Stage = iota
	Announcing        // draining, but still accepting requests of callers that use this daemon's address
	Finishing         // accepting no new requests and waiting for those in progress
	HandingOver       // handing over cell leases and key ranges
	Stopped
)

type (
	// Stage is a stage of a planned stop.
	Stage int

	// StopConfig holds the time limits of a planned stop.
	StopConfig struct {
		AddressLifetime time.Duration // how long callers may use an address answer
		FinishLimit     time.Duration // maximum time for requests in progress to end
		HandOverLimit   time.Duration // maximum time for the hand-over of leases and ranges
	}

	// Load is the remaining work of a stopping daemon.
	Load struct {
		Requests        int // requests in progress, queued ones included
		Leases          int
		Ranges          int // key ranges held as owner or backup, and calls whose outcome is still to be reported
		UninformedPeers int // peers that may not know the new holders of the leases and ranges yet
	}

	// StopResult is the result of a planned stop.
	StopResult struct {
		Interrupted   int // requests that were cut off at the limit
		NotHandedOver int // leases and ranges that were not handed over
	}

	// Stop is the state of a planned stop.
	Stop struct {
		cfg      StopConfig
		stage    Stage
		stageEnd time.Time
		result   StopResult
		disabled disabledStopRules
	}

	// disabledStopRules disables individual rules. Only tests set it, to show that they detect a missing rule.
	disabledStopRules struct {
		lifetime, heartbeat, accept, finishRequests, handOver, informPeers, limit, count bool
	}
)

// String returns the name of the stage as operators see it.
func (s Stage) String() string {
	if s < Running || s > Stopped {
		return "invalid"
	}
	return [...]string{"running", "announcing", "finishing", "handingOver", "stopped"}[s]
}

// NewStop returns a planned stop that has not started.
func NewStop(cfg StopConfig) *Stop { return &Stop{cfg: cfg} }

// Begin starts the stop. A second call has no effect.
func (s *Stop) Begin(now time.Time) {
	if s.stage == Running {
		s.stage = Announcing
		// A peer may hand out this address until a heartbeat reports the draining, and callers use the answer for its lifetime.
		s.stageEnd = now.Add(s.announcingTime())
	}
}

func (s *Stop) announcingTime() time.Duration {
	switch {
	case s.disabled.lifetime:
		return HeartbeatInterval
	case s.disabled.heartbeat:
		return s.cfg.AddressLifetime
	}
	return s.cfg.AddressLifetime + HeartbeatInterval
}

// Advance moves to the stage that the time and the remaining load allow. It returns the stage and the time by which Advance
// should be called again.
func (s *Stop) Advance(now time.Time, load Load) (Stage, time.Time) {
	if s.stage == Announcing && !now.Before(s.stageEnd) {
		s.stage, s.stageEnd = Finishing, now.Add(s.cfg.FinishLimit)
	}
	late := !now.Before(s.stageEnd) && !s.disabled.limit
	if s.stage == Finishing && (load.Requests == 0 || late || s.disabled.finishRequests) {
		if !s.disabled.count {
			s.result.Interrupted = load.Requests
		}
		s.stage, s.stageEnd = HandingOver, now.Add(s.cfg.HandOverLimit)
	}
	late = !now.Before(s.stageEnd) && !s.disabled.limit
	// A peer that has not read the records of the hand-over still sends calls to this daemon. If the daemon exited, the
	// outcome of these calls would be unknown.
	peersInformed := load.UninformedPeers == 0 || s.disabled.informPeers
	if s.stage == HandingOver && (load.Leases+load.Ranges == 0 && peersInformed || late || s.disabled.handOver) {
		s.result.NotHandedOver = load.Leases + load.Ranges
		s.stage = Stopped
	}
	return s.stage, s.stageEnd
}

// Stage returns the current stage.
func (s *Stop) Stage() Stage { return s.stage }

// Accepts reports whether new requests may still be accepted.
func (s *Stop) Accepts() bool {
	return s.stage <= Announcing && (s.stage == Running || !s.disabled.accept)
}

// Done returns the result and reports whether the stop has finished.
func (s *Stop) Done() (StopResult, bool) { return s.result, s.stage == Stopped }
