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
	// handOverLimit bounds the hand-over of leases and key ranges. During a log outage they cannot be handed over, and the
	// others take them over later.
	handOverLimit = 5 * time.Second
	// finishLimit bounds the time for streams to finish; reports run for minutes.
	finishLimit  = 15 * time.Minute
	stopInterval = 50 * time.Millisecond
)

// stopping is a planned stop. Its fields belong to the control thread.
type stopping struct {
	d         *Daemon
	requested chan struct{}
	asked     bool
	rules     *member.Stop
	stage     member.Stage
	handedAt  int64 // HandedAt is the log offset at which nothing was left to hand over.
}

func newStopping(d *Daemon) *stopping {
	return &stopping{d: d, requested: make(chan struct{}), rules: member.NewStop(member.StopConfig{
		AddressLifetime: d.settings.Caller.AddressLifetime.Value(), FinishLimit: finishLimit, HandOverLimit: handOverLimit,
	})}
}

// begin marks the daemon as draining. It may be called more than once.
func (s *stopping) begin() {
	if s.asked {
		return
	}
	s.asked = true
	s.rules.Begin(time.Now())
	s.stage = s.rules.Stage()
	s.d.log("stop").Info("draining")
	s.d.refresh()
	close(s.requested)
}

// wait returns when a planned stop is done. The end of the context begins one.
func (s *stopping) wait(ctx context.Context) error {
	select {
	case <-ctx.Done():
		s.d.control.Ask(s.begin)
	case <-s.requested:
	case <-s.d.control.Stopped():
		return nil
	}
	for {
		var done member.Done
		ended := false
		if !s.d.control.Ask(func() { done, ended = s.advance() }) {
			return nil
		}
		if ended {
			return s.result(done)
		}
		time.Sleep(stopInterval)
	}
}

func (s *stopping) result(done member.Done) error {
	if done.Kept > 0 {
		s.d.log("stop").Warn("leases or key ranges were not handed over in time", "count", done.Kept)
	}
	if done.Interrupted > 0 {
		return codes.Newf(codes.StreamBroken, "%d requests were cut off", done.Interrupted)
	}
	return nil
}

// advance moves the stop on and carries out what its new stage asks for.
func (s *stopping) advance() (member.Done, bool) {
	stage, _ := s.rules.Advance(time.Now(), s.load())
	if stage != s.stage {
		s.stage = stage
		s.d.log("stop").Info("stage", "stage", stage.String())
		switch stage {
		case member.Finishing:
			s.d.models.handle(entry.Drain{})
			// Shutdown closes idle connections and refuses new ones; requests in progress go on.
			s.d.background(func(ctx context.Context) { _ = s.d.callers.Shutdown(ctx) })
		case member.HandingOver:
			s.d.bookings.handle(idemp.Drain{})
			for _, r := range s.d.cells.byName {
				if r.held {
					r.lose()
				}
			}
		}
	}
	return s.rules.Done()
}

// load returns what the daemon still has. Alone it has nobody to hand key ranges over to.
func (s *stopping) load() member.Load {
	d := s.d
	l := member.Load{Requests: int(d.door.InFlight()) + d.bookings.host.InProgress()}
	for _, x := range d.state.Leases() {
		if x.Incarnation == d.incarnation && !x.Released {
			l.Leases++
		}
	}
	if len(d.state.Members()) == 1 {
		return l
	}
	for i := range fold.KeyRanges {
		if k := d.state.KeyRange(i); k.Holder == d.incarnation || k.Backup == d.incarnation {
			l.Ranges++
		}
	}
	if l.Leases+l.Ranges == 0 {
		l.Behind = s.behind()
	}
	l.Ranges += d.bookings.host.InProgress()
	return l
}

// behind counts the peers whose heartbeats do not show yet that they have read of the hand-over.
func (s *stopping) behind() int {
	if s.handedAt == 0 {
		s.handedAt = s.d.state.Offset()
	}
	n := 0
	for _, p := range s.d.members.list.Peers(time.Now()) {
		if p.Recorded && !p.Lost && !p.Gone && p.Offset < s.handedAt {
			n++
		}
	}
	return n
}

// leaseReleased records that no order under the lost lease is in flight any more.
func (d *Daemon) leaseReleased(name string, fence int64) {
	l, ok := d.state.Lease(name)
	if !ok || l.Incarnation != d.incarnation || l.Offset != fence || l.Released {
		return
	}
	d.appends.add(fold.ReleaseLease("", name, l.Holder), nil)
}
