package node

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/fireflycleat/fireflycleat/internal/relay"
	"github.com/fireflycleat/fireflycleat/pkg/codes"
	"github.com/fireflycleat/fireflycleat/pkg/fleet"
)

const (
	// stopAcceptTime is how long after SIGTERM new requests are still accepted, because callers cache an address for its lifetime.
	stopAcceptTime = 3 * time.Second
	// stopMargin is the part of the grace period that is reserved for closing connections.
	stopMargin = 300 * time.Millisecond
	// lastResponsesTime is the part of stopMargin in which the requests that are left get a response.
	lastResponsesTime = 200 * time.Millisecond
	stopPollInterval  = 50 * time.Millisecond
)

// stopState is the state of a planned stop. It may be read from any goroutine.
type stopState struct {
	startedAt atomic.Int64 // start of the stop in Unix nanoseconds; zero if the host is not stopping
	endsAt    atomic.Int64 // when requests in progress are cut, in Unix nanoseconds; set before startedAt
	active    atomic.Int64 // number of requests in progress
	server    *callerServer
	ctx       context.Context // ends when the host can no longer wait for the responses to its requests
	cancel    context.CancelFunc
}

// state returns the time after which no new request is accepted, and whether the host is stopping.
func (s *stopState) state() (time.Time, bool) {
	at := s.startedAt.Load()
	if at == 0 {
		return time.Time{}, false
	}
	return time.Unix(0, at).Add(stopAcceptTime), true
}

// awaitStop waits until the context is cancelled, then begins to release the lease and waits for the requests in progress. It
// returns an error if requests are cut off at the end of the grace period.
func (n *Node) awaitStop(ctx context.Context) error {
	<-ctx.Done()
	start := time.Now()
	end := start
	n.control.Ask(func() { end = start.Add(seconds(n.settings.Limits.GraceS) - stopMargin) })
	n.stop.endsAt.Store(end.UnixNano())
	n.stop.startedAt.Store(start.UnixNano())
	n.log("node").Info("stopping", "event", eventStopping, "requests", n.stop.active.Load())
	var message Heartbeat
	var to []Member
	n.control.Ask(func() {
		n.updateReady()
		n.stepLease()
		message, to = n.heartbeat(0)
	})
	for _, m := range to {
		n.background(func(ctx context.Context) { n.sendHeartbeat(ctx, m, &message) })
	}
	for time.Now().Before(end) {
		if time.Since(start) > stopAcceptTime && n.stop.active.Load() == 0 {
			break
		}
		time.Sleep(stopPollInterval)
	}
	ctx, cancel := context.WithDeadline(context.Background(), end)
	defer cancel()
	if n.stop.server == nil {
		return nil
	}
	if n.stop.server.stop(ctx) == nil {
		return nil
	}
	left := n.stop.active.Load()
	n.stop.cancel()
	ctx, cancelLast := context.WithTimeout(context.Background(), lastResponsesTime)
	defer cancelLast()
	_ = n.stop.server.Shutdown(ctx) // The process ends in any case.
	if left == 0 {
		return nil // Only connections are left on which callers have not sent a complete request.
	}
	return codes.Newf(codes.DeadlineMissed, "%d requests were left at the end of the grace period", left)
}

// acceptUntil returns the time after which the host does not accept the request any more, and whether the host is stopping. A request that would
// be cut at the end of the grace period is refused at once, so that another host can run it: one that may not be repeated unless its deadline
// comes first, another one unless its response is expected to be complete by then.
func (n *Node) acceptUntil(c *relay.Call) (until time.Time, stopping bool) {
	until, stopping = n.stop.state()
	if !stopping {
		return until, false
	}
	end := time.Unix(0, n.stop.endsAt.Load())
	latest := end.Add(-n.expectedDuration(c))
	if c.Route.Kind == fleet.Unsafe && c.Deadline.After(end) {
		latest = c.Arrived
	}
	if latest.Before(until) {
		until = latest
	}
	return until, true
}
