package daemon

import (
	"context"
	"time"

	"github.com/fireflycleat/fireflycleat/pkg/codes"
	"github.com/fireflycleat/fireflycleat/pkg/entry"
	"github.com/fireflycleat/fireflycleat/pkg/fold"
	"github.com/fireflycleat/fireflycleat/pkg/idemp"
)

const (
	// handOverLimit bounds the hand-over of leases and key ranges; during a log outage they cannot be handed over and the
	// others take them later.
	handOverLimit = 5 * time.Second
	// drainLimit bounds the time for streams to finish. Reports run for minutes.
	drainLimit   = 15 * time.Minute
	stopInterval = 50 * time.Millisecond
)

// The stages of a planned stop.
const (
	serving stopStage = iota
	draining
	finishing
	handingOver
)

type (
	stopStage int

	// stopping is a planned stop. Its fields belong to the control thread.
	stopping struct {
		d         *Daemon
		requested chan struct{}
		asked     bool
		stage     stopStage
		idle      bool
	}
)

func newStopping(d *Daemon) *stopping { return &stopping{d: d, requested: make(chan struct{})} }

// String returns the name of the stage as operators see it.
func (s stopStage) String() string {
	return [...]string{"serving", "draining", "finishing", "handingOver"}[s]
}

// begin marks the daemon as draining. It may be called more than once.
func (s *stopping) begin() {
	if s.asked {
		return
	}
	s.asked = true
	close(s.requested)
}

// wait returns when a planned stop is done. The end of the context begins one.
func (s *stopping) wait(ctx context.Context) error {
	select {
	case <-ctx.Done():
		s.d.control.ask(s.begin)
	case <-s.requested:
	case <-s.d.control.stopped:
		return nil
	}
	s.d.log("stop").Info("draining")
	s.d.control.ask(func() {
		s.stage = draining
		s.d.models.idle = func() { s.idle = true }
		s.d.beatNow()
	})
	// Callers keep an address for its lifetime, and peers hand it out until they learn of the stop by a heartbeat.
	time.Sleep(s.d.settings.Caller.AddressLifetime.Value() + 2*beatInterval)
	s.d.control.ask(func() {
		s.stage = finishing
		s.d.models.handle(entry.Drain{})
		s.d.bookings.handle(idemp.Drain{})
	})
	// Idle connections are closed and new ones refused; requests in progress go on.
	ended, cancel := context.WithTimeout(context.Background(), drainLimit)
	defer cancel()
	err := s.d.callers.Shutdown(ended)
	s.handOver()
	if err != nil {
		return codes.New(codes.StreamBroken, "requests were cut off: "+err.Error())
	}
	return nil
}

// handOver gives up the cell leases and key ranges.
func (s *stopping) handOver() {
	s.d.control.ask(func() {
		s.stage = handingOver
		for _, r := range s.d.cells.byName {
			if r.held {
				r.lose()
			}
		}
	})
	for deadline := time.Now().Add(handOverLimit); time.Now().Before(deadline); time.Sleep(stopInterval) {
		done := false
		s.d.control.ask(func() { done = s.handedOver() })
		if done {
			return
		}
	}
	s.d.log("stop").Warn("leases or key ranges were not handed over in time")
}

func (s *stopping) handedOver() bool {
	for _, l := range s.d.state.Leases() {
		if l.Incarnation == s.d.incarnation && !l.Released {
			return false
		}
	}
	for i := range fold.KeyRanges {
		if s.d.state.KeyRange(i).Holder == s.d.incarnation && len(s.d.state.Members()) > 1 {
			return false
		}
	}
	return len(s.d.appends.pending) == 0
}

// leaseReleased records that no order under the lost lease is in flight any more.
func (d *Daemon) leaseReleased(name string, fence int64) {
	l, ok := d.state.Lease(name)
	if !ok || l.Incarnation != d.incarnation || l.Offset != fence || l.Released {
		return
	}
	d.appends.add(fold.Record{Kind: fold.CellLeaseKind, CellLease: []fold.LeaseChange{{
		Cell: name, Base: fence, Host: d.settings.Host.Name, Incarnation: d.incarnation, Release: true,
	}}}, nil)
}
