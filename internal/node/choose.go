package node

import (
	"context"
	"log/slog"
	"strconv"
	"time"

	"github.com/fireflycleat/fireflycleat/internal/relay"
	"github.com/fireflycleat/fireflycleat/pkg/codes"
	"github.com/fireflycleat/fireflycleat/pkg/pick"
	"github.com/fireflycleat/fireflycleat/pkg/place"
	"github.com/fireflycleat/fireflycleat/pkg/retry"
)

const (
	// noUpstreamRetry is when a caller may come back if a service has no upstream; the list is read more often.
	noUpstreamRetry = time.Second
	// maxRounds is the number of times that all upstreams of a service without models are tried before a request is refused.
	maxRounds = 3
	// refusedPause is the wait before an upstream that refused is asked again because there is no other.
	refusedPause = 100 * time.Millisecond
	// noControllerPause is the wait before a controller is looked for again.
	noControllerPause = 100 * time.Millisecond
	// firstEventTime is the expected time from a ready model to the first event.
	firstEventTime = 250 * time.Millisecond
	// tokenTime is the expected time of a token, for the least time that an answer takes.
	tokenTime = 11 * time.Millisecond
	// repeatMargin is the share of the allowed repeats that is used; hosts that start or end make the sum over all inexact.
	repeatMargin = 0.85
	// stopRetry is when a caller may come back after a refusal by a host that stops; another host takes the request at once.
	stopRetry = 50 * time.Millisecond
	// promiseMargin is added to the predicted time of readiness in a refusal.
	promiseMargin = 200 * time.Millisecond
)

// choose returns an upstream for the request, or waits until a model is loaded.
func (n *Node) choose(ctx context.Context, c *relay.Call, exclude map[string]bool) (relay.Ticket, error) {
	q := pick.Query{Service: c.Service, Key: c.Key, Exclude: exclude, Session: c.Session}
	missing := ""
	for id := range exclude {
		missing = id // The controller looks whether the upstream still holds the model and can be reached.
	}
	for {
		t, knows := n.try(q)
		if t.Flight != nil {
			return t, nil
		}
		if q.Key.Model == "" {
			if c.Rounds++; len(exclude) == 0 || knows == 0 || c.Rounds > maxRounds {
				return t, codes.Newf(codes.NoUpstream, "%d upstreams of the service", knows).WithRetryAfter(noUpstreamRetry)
			}
			if !sleep(ctx, refusedPause) {
				return t, ctx.Err()
			}
			clear(exclude)
			continue
		}
		upstream, err := n.await(ctx, c, missing)
		if err != nil {
			return t, err
		}
		if exclude[upstream] {
			missing = upstream
			if !sleep(ctx, refusedPause) {
				return t, ctx.Err()
			}
			delete(exclude, upstream)
		}
		q.Prefer = upstream
		n.control.Ask(func() { n.table.Learn(time.Now(), upstream, c.Key, true) })
	}
}

func (n *Node) try(q pick.Query) (t relay.Ticket, knows int) {
	n.control.Ask(func() {
		now := time.Now()
		choice, ok := n.table.Choose(now, q)
		if ok {
			t = relay.Ticket{Choice: choice, Flight: n.table.Begin(now, choice, q)}
		}
		knows = n.table.Knows(q.Service)
	})
	return t, knows
}

// await waits until the controller names an upstream. It refuses the request as soon as it is known that it cannot be served.
func (n *Node) await(ctx context.Context, c *relay.Call, missing string) (string, error) {
	for waits := false; ; {
		// The last moment at which an answer can begin is also bounded by the time that the answer takes.
		latest := c.Deadline.Add(-time.Duration(c.Output) * tokenTime)
		if c.Patience.Before(latest) {
			latest = c.Patience
		}
		until, stopping := n.stop.state()
		if stopping && until.Before(latest) {
			latest = until
		}
		args := WantArgs{
			Want:    place.Want{Request: c.ID, Service: c.Service, DataCentre: n.self.DataCentre, Key: c.Key},
			Left:    time.Until(latest) - firstEventTime,
			Missing: missing,
		}
		missing = ""
		reply, err := n.want(ctx, args)
		if !waits && err == nil && reply.Upstream == "" {
			waits = true
			n.log("request").Info("waits for a load", "event", eventWait, "id", c.ID, "model", c.Key.Model, "adapter", c.Key.Adapter,
				"forecast", reply.Known, "readyMS", reply.ReadyIn.Milliseconds(), "leftMS", args.Left.Milliseconds())
		}
		switch {
		case ctx.Err() != nil:
			return "", ctx.Err()
		case stopping && reply.Upstream == "" && (!time.Now().Before(latest) || reply.ReadyIn > args.Left):
			return "", codes.New(codes.Draining, "the model is not loaded before the host stops").
				WithRetryAfter(max(reply.ReadyIn, stopRetry))
		case err != nil:
			if time.Now().Add(noControllerPause).After(latest) {
				return "", codes.New(codes.NoTimeToLoad, err.Error()).WithRetryAfter(noUpstreamRetry)
			}
			sleep(ctx, noControllerPause)
		case reply.Upstream != "":
			return reply.Upstream, nil
		case reply.Known && reply.ReadyIn > args.Left:
			left := args.Left
			args.Hold = reply.ReadyIn + time.Second
			args.Left = args.Hold
			if _, err := n.want(ctx, args); err != nil {
				n.log("choose").Debug("promise not kept by the controller", "request", c.ID, "err", err)
			}
			return "", codes.Newf(codes.NoTimeToLoad, "ready in %v, %v left", reply.ReadyIn.Round(time.Millisecond), left.Round(time.Millisecond)).
				WithRetryAfter(reply.ReadyIn + promiseMargin)
		case time.Now().After(latest):
			return "", codes.New(codes.DeadlineMissed, "while waiting for a load").WithRetryAfter(noUpstreamRetry)
		}
	}
}

func (n *Node) first(t relay.Ticket) {
	n.control.Post(func() { n.table.First(time.Now(), t.Flight) })
}

func (n *Node) end(t relay.Ticket, r pick.Result) {
	n.control.Post(func() { n.table.End(time.Now(), t.Flight, r) })
}

// stuck reports whether a request had better be moved to another upstream.
func (n *Node) stuck(t relay.Ticket, c *relay.Call) bool {
	stuck := false
	n.control.Ask(func() {
		stuck = n.table.Stuck(time.Now(), t.Flight, pick.Query{Service: c.Service, Key: c.Key, Session: c.Session})
	})
	return stuck
}

// repeat takes one repeat from the limit of the service.
func (n *Node) repeat(service string) bool {
	ok := false
	n.control.Ask(func() { ok = n.window(service).Take(time.Now(), n.hosts()) })
	return ok
}

func (n *Node) count(service string) {
	n.control.Post(func() { n.window(service).Request(time.Now()) })
}

func (n *Node) window(service string) *retry.Window {
	w, ok := n.windows[service]
	if !ok {
		l := n.settings.Limits
		w = retry.NewWindow(n.began, seconds(l.RepeatWindowS), repeatMargin*l.RepeatRatio, repeatMargin*l.RepeatExtra)
		n.windows[service] = w
	}
	return w
}

// ended logs and counts the end of a request.
func (n *Node) ended(e relay.Ended) {
	n.metrics.Request("traffic", e.Code)
	if e.First > 0 {
		n.metrics.FirstToken(strconv.Itoa(e.Call.Route.Priority), e.First)
	}
	event, level := eventServed, slog.LevelInfo
	if e.Code != codes.OK {
		event, level = eventFailed, slog.LevelWarn
	}
	limit := time.Duration(0)
	if !e.Call.Deadline.IsZero() {
		limit = e.Call.Deadline.Sub(e.Call.Arrived)
	}
	n.log("request").Log(n.life, level, "ended", "event", event, "id", e.Call.ID, "route", e.Call.Route.Name, "service", e.Call.Service,
		"model", e.Call.Key.Model, "adapter", e.Call.Key.Adapter, "code", int(e.Code), "reason", e.Code.Title(), "outcome", e.Outcome.String(),
		"status", e.Status, "attempts", e.Attempts, "resumed", e.Resumed, "upstream", e.Upstream, "events", e.Events,
		"waitedMS", e.Waited.Milliseconds(), "firstMS", e.First.Milliseconds(), "pauseMS", e.Pause.Milliseconds(),
		"tookMS", time.Since(e.Call.Arrived).Milliseconds(), "limitMS", limit.Milliseconds(),
		"retryAfterMS", e.Retry.Milliseconds(), "version", e.Call.Version, "detail", e.Detail)
}

// retried logs an attempt after which the request is sent once more.
func (n *Node) retried(c *relay.Call, t relay.Ticket, err error) {
	n.metrics.Attempt("retried")
	n.log("request").Info("attempt failed", "event", eventAttempt, "id", c.ID, "upstream", t.Choice.Upstream, "running", t.Choice.Running,
		"code", int(codes.From(err).Code()), "detail", err.Error())
}
