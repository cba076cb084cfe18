package node

import (
	"context"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/fireflycleat/fireflycleat/internal/relay"
	"github.com/fireflycleat/fireflycleat/pkg/codes"
	"github.com/fireflycleat/fireflycleat/pkg/pick"
	"github.com/fireflycleat/fireflycleat/pkg/place"
	"github.com/fireflycleat/fireflycleat/pkg/retry"
)

const (
	// noUpstreamRetryAfter is the retry time sent to a caller if its service has no upstream. The list of upstreams is read more
	// often than that.
	noUpstreamRetryAfter = time.Second
	// maxRounds is the number of times that all upstreams of a service without models are tried before a request is refused.
	maxRounds = 3
	// refusedRetryDelay is the delay before a request is sent again to an upstream that refused it, if there is no other.
	refusedRetryDelay = 100 * time.Millisecond
	// noControllerRetryDelay is the delay before the controller is called again after a failed call.
	noControllerRetryDelay = 100 * time.Millisecond
	// firstEventTime is the expected time from when a model is ready to the first event of a response.
	firstEventTime = 250 * time.Millisecond
	// repeatShare is the share of the allowed repeats that hosts use; the rest is a reserve, because the sum over all hosts is
	// inexact while hosts start or stop.
	repeatShare = 0.85
	// stopRetryAfter is the shortest retry time sent by a stopping host; another host accepts the request at once.
	stopRetryAfter = 50 * time.Millisecond
	// readyMargin is added to the predicted time until a model is ready to get the retry time sent to a refused caller.
	readyMargin = 200 * time.Millisecond
)

var errNoRepeats = errors.New("limit on repeats is reached")

// choose returns an upstream for the request. For a service with models it waits until the model is loaded on one.
func (n *Node) choose(ctx context.Context, c *relay.Call, exclude map[string]bool) (relay.Ticket, error) {
	q := pick.Query{Service: c.Service, Key: c.Key, Exclude: exclude, Session: c.Session}
	missing, named := "", ""
	for id := range exclude {
		missing = id // The controller checks whether the upstream still holds the model and is reachable.
	}
	for {
		t, available, after, err := n.tryChoose(q, c, n.callerWait(c, exclude))
		if t.Attempt != nil && !n.takeCredit(ctx, t) {
			continue
		}
		if t.Attempt != nil {
			return t, nil
		}
		credit := n.creditTime(c)
		if codes.Is(err, codes.UpstreamsPaused) && !credit.IsZero() && sleep(ctx, time.Until(credit)) {
			continue
		}
		if err != nil {
			return t, err
		}
		if after > 0 {
			return t, codes.Newf(codes.OverCapacity, "the queue of upstream %s is too long", t.Choice.Upstream).WithRetryAfter(jitter(after))
		}
		if available == 0 && len(exclude) == 0 {
			return t, codes.New(codes.NoUpstream, "no upstream is listed for the service").WithRetryAfter(noUpstreamRetryAfter)
		}
		if q.Key.Model == "" {
			if c.Rounds++; len(exclude) == 0 || available == 0 || c.Rounds > maxRounds {
				return t, codes.Newf(codes.NoUpstream, "no upstream can take the request, %d are listed for the service", available).
					WithRetryAfter(noUpstreamRetryAfter)
			}
			if !sleep(ctx, refusedRetryDelay) {
				return t, ctx.Err()
			}
			clear(exclude)
			continue
		}
		if named != "" { // The list of this host lacks the upstream or has it as leaving; the lists agree within seconds.
			if giveUp, _ := n.giveUpAt(c); time.Now().Add(refusedRetryDelay).After(giveUp) {
				return t, codes.Newf(codes.NoUpstream, "upstream %s has the model, but is not usable at this host", named).WithRetryAfter(noUpstreamRetryAfter)
			}
			if !sleep(ctx, refusedRetryDelay) {
				return t, ctx.Err()
			}
		}
		upstream, err := n.awaitUpstreamUntil(ctx, c, missing, credit)
		if errors.Is(err, errCreditDue) {
			continue
		}
		if err != nil {
			return t, n.creditBefore(c, err)
		}
		named = upstream
		if exclude[upstream] || n.isClosed(c.Service, upstream) {
			missing = upstream
			if !sleep(ctx, refusedRetryDelay) {
				return t, ctx.Err()
			}
			delete(exclude, upstream)
		}
		q.Prefer = upstream
		n.control.Ask(func() { n.table.Learn(time.Now(), upstream, c.Key, true) })
	}
}

// callerWait returns how long the caller of a request for a model waits for the first event. A request that was sent before joins any queue.
func (n *Node) callerWait(c *relay.Call, exclude map[string]bool) pick.Wait {
	if c.Key.Model == "" || len(exclude) > 0 {
		return pick.Wait{}
	}
	return pick.Wait{
		Patience: c.AbandonAt.Sub(c.Arrived), Left: time.Until(c.AbandonAt), Objective: time.Until(c.Arrived.Add(c.Route.Objective)),
		Ranks: n.config.Load().Ranks(c.Service, c.Urgency),
	}
}

// jitter returns a time within a quarter of d, so that callers who are refused together do not return together.
func jitter(d time.Duration) time.Duration {
	return time.Duration(float64(d) * (0.75 + 0.5*rand.Float64())) //nolint:gosec // need not be unpredictable
}

// tryChoose chooses an upstream that can take the request now, if there is one. It also returns the number of upstreams of the
// service that accept new work. If the request should not join the queue of the best upstream, it returns after what time the caller may
// return and starts no attempt.
// The error is that of a request with a part that crashes upstreams, or of one whose upstreams all want no requests for now.
func (n *Node) tryChoose(q pick.Query, c *relay.Call, w pick.Wait) (t relay.Ticket, available int, after time.Duration, err error) {
	n.control.Ask(func() {
		now := time.Now()
		if err = n.checkParts(now, c.Parts); err == nil {
			err = n.checkRepeat(now, c.Digest)
		}
		if err != nil {
			return
		}
		choice, ok := n.table.Choose(now, q)
		if ok {
			t.Choice = choice
			if after = n.table.Refuse(now, choice, w); after > 0 {
				n.table.RecordDemand(choice, q.Key)
				return
			}
			t.Attempt = n.table.StartAttempt(now, choice, q)
		} else if t.Choice.Upstream, err = n.checkPause(now, c); err != nil {
			n.table.RecordDemand(t.Choice, q.Key)
		}
		available = n.table.CountAccepting(q.Service)
	})
	return t, available, after, err
}

// awaitUpstream waits until the controller returns an upstream. It refuses the request as soon as the forecast shows that the
// model can't be ready in time, and without a forecast, or an answer of the controller, while the caller still waits for a response.
func (n *Node) awaitUpstream(ctx context.Context, c *relay.Call, missing string) (string, error) {
	for waitLogged := false; ; {
		if !n.config.Load().HasModel(c.Service, c.Key.Model) {
			return "", codes.Newf(codes.NotConfigured, "nothing loads model %s of service %s", c.Key.Model, c.Service).WithRetryAfter(noUpstreamRetryAfter)
		}
		giveUp, stopping := n.giveUpAt(c)
		args := WantArgs{
			Want: place.PendingRequest{
				Request: c.ID, Service: c.Service, DataCentre: n.self.DataCentre, Key: c.Key, Avoid: n.closedUpstreams(c.Service),
			},
			Left:    time.Until(giveUp),
			Missing: missing,
		}
		missing = ""
		askCtx, cancel := context.WithTimeout(ctx, max(args.Left, 0)+minForecastWait)
		reply, err := n.requestUpstream(askCtx, args)
		cancel()
		if !waitLogged && err == nil && reply.Upstream == "" {
			waitLogged = true
			n.log("request").Info("waits for a load", "event", eventWaiting, "id", c.ID, "model", c.Key.Model, "adapter", c.Key.Adapter,
				"forecast", reply.Known, "readyMS", reply.ReadyIn.Milliseconds(), "leftMS", args.Left.Milliseconds())
		}
		switch {
		case ctx.Err() != nil:
			return "", ctx.Err()
		case stopping && reply.Upstream == "" && (!time.Now().Before(giveUp) || reply.ReadyIn > args.Left):
			return "", codes.New(codes.Draining, "the model would not be loaded before the host stops").
				WithRetryAfter(max(reply.ReadyIn, stopRetryAfter))
		case err != nil:
			if time.Now().Add(noControllerRetryDelay).After(giveUp) {
				return "", codes.New(codes.NoTimeToLoad, err.Error()).WithRetryAfter(noUpstreamRetryAfter)
			}
			sleep(ctx, noControllerRetryDelay)
		case reply.Upstream != "":
			return reply.Upstream, nil
		case reply.Known && reply.ReadyIn > args.Left:
			left := args.Left
			args.Hold = reply.ReadyIn + time.Second
			args.Left = args.Hold
			if _, err := n.requestUpstream(ctx, args); err != nil {
				n.log("choose").Debug("controller did not hold the refused request for a retry", "request", c.ID, "err", err)
			}
			return "", codes.Newf(codes.NoTimeToLoad, "model is ready in %v, but the request has only %v left",
				reply.ReadyIn.Round(time.Millisecond), left.Round(time.Millisecond)).WithRetryAfter(reply.ReadyIn + readyMargin)
		case !time.Now().Before(giveUp):
			return "", codes.New(codes.NoTimeToLoad, "nothing tells when the model is ready").WithRetryAfter(noUpstreamRetryAfter)
		}
	}
}

// giveUpAt returns the time by which a request for a model must have an upstream, and whether the host is stopping.
func (n *Node) giveUpAt(c *relay.Call) (at time.Time, stopping bool) {
	// The response must start early enough to be complete before the deadline.
	latest := c.Deadline.Add(-n.expectedDuration(c))
	if c.AbandonAt.Before(latest) {
		latest = c.AbandonAt
	}
	until, stopping := n.stop.state()
	if stopping && until.Before(latest) {
		latest = until
	}
	return latest.Add(-firstEventTime), stopping
}

// expectedDuration returns the expected time from the first event to the end of the response.
func (n *Node) expectedDuration(c *relay.Call) time.Duration {
	d := time.Duration(0)
	n.control.Ask(func() { d = n.durations.Expected(c.Service, c.Output) })
	return d
}

func (n *Node) recordFirstEvent(t relay.Ticket) {
	n.control.Post(func() { n.table.RecordFirstEvent(time.Now(), t.Attempt) })
}

func (n *Node) recordEnd(t relay.Ticket, r pick.Result) {
	if r == pick.Refused {
		n.metrics.Attempt("refused")
	}
	n.control.Post(func() { n.table.EndAttempt(time.Now(), t.Attempt, r) })
}

// move reserves another upstream for a request whose upstream is silent. Whatever keeps the request from being sent there is found out before
// its attempt ends.
func (n *Node) move(t relay.Ticket, c *relay.Call) (next relay.Ticket, err error) {
	if !n.control.Ask(func() {
		now := time.Now()
		q := pick.Query{Service: c.Service, Key: c.Key, Session: c.Session}
		choice, stuck := n.table.Stuck(now, t.Attempt, q)
		v, repeat := n.blame.Judge(now, c.Parts), n.repeats.Judge(now, []uint64{c.Digest})
		switch {
		case !stuck:
			err = relay.ErrNotStuck
		case v.Refuse || v.Trial || repeat.Refuse || repeat.Trial:
			err = relay.ErrPartsRefused
		case !n.repeatWindow(c.Service).Take(now, n.hostCount()):
			err = errNoRepeats
		default:
			next = relay.Ticket{Choice: choice, Attempt: n.table.StartAttempt(now, choice, q)}
		}
	}) {
		return next, relay.ErrNotStuck
	}
	return next, err
}

// takeRepeat takes one repeat from the quota of the service. It reports false if the quota is exhausted.
func (n *Node) takeRepeat(service string) bool {
	ok := false
	n.control.Ask(func() { ok = n.repeatWindow(service).Take(time.Now(), n.hostCount()) })
	return ok
}

func (n *Node) countRequest(service string) {
	n.control.Post(func() { n.repeatWindow(service).Request(time.Now()) })
}

func (n *Node) repeatWindow(service string) *retry.Window {
	w, ok := n.repeatWindows[service]
	if !ok {
		l := n.settings.Limits
		w = retry.NewWindow(n.startedAt, seconds(l.RepeatWindowS), repeatShare*l.RepeatRatio, repeatShare*l.RepeatExtra)
		n.repeatWindows[service] = w
	}
	return w
}

// logEnd logs the outcome of a request and records it in the metrics.
func (n *Node) logEnd(s relay.RequestSummary) {
	n.metrics.Request("traffic", s.Code)
	n.countTeamRequest(s.Call.Team.Name, s.Code)
	if s.First > 0 {
		n.metrics.FirstToken(strconv.Itoa(s.Call.Urgency), s.First)
	}
	event, level := eventServed, slog.LevelInfo
	if s.Code != codes.OK {
		event, level = eventFailed, slog.LevelWarn
	}
	limit := time.Duration(0)
	if !s.Call.Deadline.IsZero() {
		limit = s.Call.Deadline.Sub(s.Call.Arrived)
	}
	if s.Code == codes.OK && s.First > 0 && s.Resumed == 0 {
		took := time.Since(s.Call.Arrived) - s.First
		n.control.Post(func() { n.durations.Record(s.Call.Service, s.Call.Output, took) })
	}
	n.log("request").Log(n.baseCtx, level, "ended", "event", event, "id", s.Call.ID, "route", s.Call.Route.Name, "service", s.Call.Service, "team", s.Call.Team.Name,
		"model", s.Call.Key.Model, "adapter", s.Call.Key.Adapter, "code", int(s.Code), "reason", s.Code.Title(), "outcome", s.Outcome.String(),
		"status", s.Status, "attempts", s.Attempts, "resumed", s.Resumed, "upstream", s.Upstream, "events", s.Events,
		"waitedMS", s.Waited.Milliseconds(), "firstMS", s.First.Milliseconds(), "pauseMS", s.LongestPause.Milliseconds(),
		"tookMS", time.Since(s.Call.Arrived).Milliseconds(), "limitMS", limit.Milliseconds(),
		"retryAfterMS", s.Retry.Milliseconds(), "version", s.Call.Version, "caller", s.CallerInput, "detail", s.Detail)
}

// logSilent logs that the upstream of a request is silent, and whether the request moves to another one.
func (n *Node) logSilent(c *relay.Call, t, next relay.Ticket, err error) {
	if err == nil {
		n.metrics.Attempt("moved")
	}
	n.log("request").Info("upstream is silent", "event", eventSilent, "id", c.ID, "upstream", t.Choice.Upstream, "next", next.Choice.Upstream, "err", err)
}

// logPanic logs a panic in the handler of a request.
func (n *Node) logPanic(c *relay.Call, value any, stack []byte) {
	n.log("request").Error("handler panicked", "event", eventPanic, "id", c.ID, "panic", fmt.Sprint(value), "stack", string(stack))
}

// logRetry logs a failed attempt after which the request is sent again.
func (n *Node) logRetry(c *relay.Call, t relay.Ticket, err error) {
	n.metrics.Attempt("retried")
	n.log("request").Info("attempt failed", "event", eventAttemptFailed, "id", c.ID, "upstream", t.Choice.Upstream, "running", t.Choice.Running,
		"code", int(codes.From(err).Code()), "detail", err.Error())
}
