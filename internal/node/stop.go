package node

import (
	"context"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/fireflycleat/fireflycleat/pkg/codes"
	"github.com/fireflycleat/fireflycleat/pkg/lease"
)

const (
	// stopAccept is how long after SIGTERM requests are still served: callers keep an address for its lifetime.
	stopAccept = 3 * time.Second
	// stopMargin is kept at the end of the grace for closing connections.
	stopMargin = 300 * time.Millisecond
	stopPoll   = 50 * time.Millisecond
)

// stopping is the state of a planned stop, which is read by all goroutines.
type stopping struct {
	begun  atomic.Int64 // begun is the start of the stop in Unix nanoseconds; zero means none.
	active atomic.Int64
	server *http.Server
}

// state returns the time after which no request is taken any more, and whether a stop has begun.
func (s *stopping) state() (time.Time, bool) {
	at := s.begun.Load()
	if at == 0 {
		return time.Time{}, false
	}
	return time.Unix(0, at).Add(stopAccept), true
}

// awaitStop waits for the end of the context and then for the requests in progress.
func (n *Node) awaitStop(ctx context.Context) error {
	<-ctx.Done()
	began := time.Now()
	n.stop.begun.Store(began.UnixNano())
	n.log("node").Info("stopping", "event", eventStopping, "requests", n.stop.active.Load())
	var beat Beat
	var to []Member
	end := began
	n.control.Ask(func() {
		n.updateReady()
		n.release()
		beat, to = n.beat(0)
		end = began.Add(seconds(n.settings.Limits.GraceS) - stopMargin)
	})
	for _, m := range to {
		n.background(func(ctx context.Context) { n.call(ctx, m, &beat) })
	}
	for time.Now().Before(end) {
		if time.Since(began) > stopAccept && n.stop.active.Load() == 0 {
			break
		}
		time.Sleep(stopPoll)
	}
	ctx, cancel := context.WithDeadline(context.Background(), end)
	defer cancel()
	if n.stop.server == nil {
		return nil
	}
	if err := n.stop.server.Shutdown(ctx); err != nil {
		return codes.Newf(codes.DeadlineMissed, "%d requests are cut off at the end of the grace", n.stop.active.Load())
	}
	return nil
}

// release gives the lease up, so that another host need not wait for its end.
func (n *Node) release() {
	now := n.now()
	a := n.lease.Release(now)
	n.tend()
	if a.Kind == lease.Append {
		n.callLease(a)
	}
}
