package daemon

import (
	"context"
	"time"

	"github.com/fireflycleat/fireflycleat/pkg/codes"
	"github.com/fireflycleat/fireflycleat/pkg/entry"
	"github.com/fireflycleat/fireflycleat/pkg/fold"
	"github.com/fireflycleat/fireflycleat/pkg/idemp"
	"github.com/fireflycleat/fireflycleat/pkg/member"
)

const (
	// handOverTimeout limits the hand-over of leases and key ranges. During a log outage they cannot be handed over, and peers
	// take them over later.
	handOverTimeout = 5 * time.Second
	// finishTimeout limits the wait for requests in progress. Requests that generate reports run for minutes.
	finishTimeout = 15 * time.Minute
	stopInterval  = 50 * time.Millisecond
)

// stopping carries out a planned stop. Its fields other than d and requested are used only on the control thread.
type stopping struct {
	d              *Daemon
	requested      chan struct{}
	draining       bool
	sequence       *member.Stop
	stage          member.Stage
	handOverOffset int64 // log offset at which everything had been handed over; zero before
}

func newStopping(d *Daemon) *stopping {
	return &stopping{d: d, requested: make(chan struct{}), sequence: member.NewStop(member.StopConfig{
		AddressLifetime: d.settings.Caller.AddressLifetime.Value(), FinishLimit: finishTimeout, HandOverLimit: handOverTimeout,
	})}
}

// begin starts the planned stop and marks the daemon as draining. Further calls have no effect.
func (s *stopping) begin() {
	if s.draining {
		return
	}
	s.draining = true
	s.sequence.Begin(time.Now())
	s.stage = s.sequence.Stage()
	s.d.log("stop").Info("draining started")
	s.d.refresh()
	close(s.requested)
}

// wait returns when a planned stop is done. Cancelling the context starts one.
func (s *stopping) wait(ctx context.Context) error {
	select {
	case <-ctx.Done():
		s.d.control.Ask(s.begin)
	case <-s.requested:
	case <-s.d.control.Stopped():
		return nil
	}
	for {
		var result member.StopResult
		finished := false
		if !s.d.control.Ask(func() { result, finished = s.advance() }) {
			return nil
		}
		if finished {
			return s.stopError(result)
		}
		time.Sleep(stopInterval)
	}
}

func (s *stopping) stopError(result member.StopResult) error {
	if result.NotHandedOver > 0 {
		s.d.log("stop").Warn("leases or key ranges were not handed over in time", "count", result.NotHandedOver)
	}
	if result.Interrupted > 0 {
		return codes.Newf(codes.StreamBroken, "%d requests were interrupted", result.Interrupted)
	}
	return nil
}

// advance moves the stop to its next stage if that is due and carries out the stage's actions.
func (s *stopping) advance() (member.StopResult, bool) {
	stage, _ := s.sequence.Advance(time.Now(), s.remainingLoad())
	if stage != s.stage {
		s.stage = stage
		s.d.log("stop").Info("entered the next stage", "stage", stage.String())
		switch stage {
		case member.Finishing:
			s.d.modelCalls.handle(entry.Drain{})
			// Shutdown closes idle connections and refuses new ones; requests in progress continue.
			s.d.background(func(ctx context.Context) { _ = s.d.callerServer.Shutdown(ctx) })
		case member.HandingOver:
			s.d.serviceCalls.handle(idemp.Drain{})
			for _, r := range s.d.cells.byName {
				if r.leaseHeld {
					r.loseLease()
				}
			}
		}
	}
	return s.sequence.Done()
}

// remainingLoad returns the requests, leases and key ranges that the daemon still has. Without other members there is no host to
// hand key ranges over to, so key ranges are not counted then.
func (s *stopping) remainingLoad() member.Load {
	d := s.d
	load := member.Load{Requests: int(d.callerAPI.InFlight()) + d.serviceCalls.keyRanges.InProgress()}
	for _, x := range d.state.Leases() {
		if x.Incarnation == d.incarnation && !x.Released {
			load.Leases++
		}
	}
	if len(d.state.Members()) == 1 {
		return load
	}
	for i := range fold.KeyRanges {
		if k := d.state.KeyRange(i); k.Holder == d.incarnation || k.Backup == d.incarnation {
			load.Ranges++
		}
	}
	if load.Leases+load.Ranges == 0 {
		load.UninformedPeers = s.countUninformedPeers()
	}
	load.Ranges += d.serviceCalls.keyRanges.InProgress()
	return load
}

// countUninformedPeers returns the number of live peers whose last reported offset does not include the hand-over.
func (s *stopping) countUninformedPeers() int {
	if s.handOverOffset == 0 {
		s.handOverOffset = s.d.state.Offset()
	}
	n := 0
	for _, p := range s.d.members.list.Peers(time.Now()) {
		if p.Recorded && !p.Lost && !p.Gone && p.Offset < s.handOverOffset {
			n++
		}
	}
	return n
}

// leaseReleased appends the release of a lease that this daemon lost. The controller reports it released when no order under
// the lease is in flight.
func (d *Daemon) leaseReleased(name string, fence int64) {
	l, ok := d.state.Lease(name)
	if !ok || l.Incarnation != d.incarnation || l.Offset != fence || l.Released {
		return
	}
	d.appender.add(fold.ReleaseLease("", name, l.Holder), nil)
}
