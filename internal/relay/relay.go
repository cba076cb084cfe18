package relay

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"runtime/debug"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/fireflycleat/fireflycleat/internal/conns"
	"github.com/fireflycleat/fireflycleat/pkg/codes"
	"github.com/fireflycleat/fireflycleat/pkg/fleet"
	"github.com/fireflycleat/fireflycleat/pkg/pick"
)

const (
	// notReadyRetryAfter is sent to callers while this host has no configuration, or none that is current; outages of the store last seconds.
	notReadyRetryAfter = 2 * time.Second
	// stoppingRetryAfter is sent to callers while this host stops; another host accepts the retry.
	stoppingRetryAfter = 50 * time.Millisecond
	// exhaustedRetryAfter is sent to callers after upstreams refused the request; their queues take about that long to drain.
	exhaustedRetryAfter = time.Second
	// repeatCheckInterval is the time between checks of whether a request that may have run can be repeated.
	repeatCheckInterval = 150 * time.Millisecond
	// maxRefusals is the number of upstreams that may refuse a request before the caller gets an error.
	maxRefusals = 4
	// maxBackoffDoublings limits the time between further attempts of a request that more than maxRefusals upstreams refused to 4.8 s, so that it
	// takes about two repeats in a window of 10 s for which they are counted.
	maxBackoffDoublings = 5
	// defaultMaxBody limits the bytes of a request body if the configuration sets no limit.
	defaultMaxBody = 4 << 20
	// minFirstEventWait, firstEventObjectives and firstEventPauses set how long callers are expected to wait for the first
	// event of a stream: the longest of the minimum and these multiples of the route's objective and longest pause.
	minFirstEventWait    = 2 * time.Second
	firstEventObjectives = 4
	firstEventPauses     = 8
)

// Relay is the HTTP handler for callers' requests.
type Relay struct {
	dialect Dialect
	control Control
	pool    *conns.Pool
}

// New returns a relay that sends requests through the pool.
func New(d Dialect, c Control, p *conns.Pool) *Relay { return &Relay{d, c, p} }

// ServeHTTP implements http.Handler.
func (r *Relay) ServeHTTP(w http.ResponseWriter, q *http.Request) {
	arrived := time.Now()
	x := &exchange{relay: r, writer: w, request: q, summary: RequestSummary{Code: codes.OK, Outcome: codes.Ran}}
	x.call = &Call{Arrived: arrived}
	x.call.ID = q.Header.Get(r.dialect.Echo)
	var stop func()
	x.caller, stop = watchCaller(r.control.Ending, q, r.control.CallerInput)
	defer stop()
	x.finish(x.handle())
}

// handle reads and runs the request. A panic becomes an error: net/http would close the connection without a response.
func (x *exchange) handle() (err error) {
	defer func() {
		if value := recover(); value != nil {
			x.relay.control.Panicked(x.call, value, debug.Stack())
			err = codes.Newf(codes.Internal, "panic: %v", value)
		}
	}()
	if err := x.prepare(); err != nil {
		return err
	}
	return x.run()
}

// prepare determines the route of the request, checks its API key, reads its body and determines its service and deadlines.
func (x *exchange) prepare() error {
	cfg := x.relay.control.Config()
	if cfg == nil {
		return codes.New(codes.NotReady, "host has no configuration yet").WithRetryAfter(notReadyRetryAfter)
	}
	c := x.call
	c.Version = cfg.Version()
	route, ok := cfg.Match(x.request.Host, x.request.URL.Path)
	if !ok && x.relay.control.ConfigOld != nil && x.relay.control.ConfigOld() {
		return codes.Newf(codes.NotCurrent, "no route matches in configuration version %d, and a later one may be in force", cfg.Version()).
			WithRetryAfter(notReadyRetryAfter)
	}
	if !ok {
		return codes.Newf(codes.NotFound, "no route matches in configuration version %d", cfg.Version())
	}
	c.Route, c.Urgency = route, route.Priority
	if err := x.authorize(cfg); err != nil {
		return err
	}
	limit := int64(defaultMaxBody)
	if cfg.Limits().BodyBytes > 0 {
		limit = cfg.Limits().BodyBytes
	}
	if err := x.readBody(limit); err != nil {
		return err
	}
	headers, err := x.relay.dialect.Decode(x.request.Header)
	if err != nil {
		return err
	}
	c.RequestHeaders, c.Digest = headers, x.digest(headers)
	c.Service = route.Pick(rand.Float64()) //nolint:gosec // the choice of a service need not be unpredictable
	c.Deadline = c.Arrived.Add(route.Timeout)
	if c.Budget > 0 && c.Budget < route.Timeout {
		c.Deadline = c.Arrived.Add(c.Budget)
	}
	c.AbandonAt = c.Deadline
	if route.Kind == fleet.Stream {
		wait := max(minFirstEventWait, firstEventObjectives*route.Objective, firstEventPauses*route.MaxPause)
		if at := c.Arrived.Add(wait); at.Before(c.Deadline) {
			c.AbandonAt = at
		}
	}
	x.relay.control.CountRequest(c.Service)
	return nil
}

// authorize determines the team of a request whose route requires an API key. The request keeps it, and its priority, whatever later versions
// of the configuration say.
func (x *exchange) authorize(cfg *fleet.Config) error {
	if x.call.Route.Public || !cfg.RequiresKey() {
		return nil
	}
	key := x.relay.dialect.Credential(x.request.Header)
	if key == "" {
		return codes.New(codes.Unauthorized, "request has no API key, or several")
	}
	team, ok := cfg.TeamOf(key)
	if !ok {
		return codes.Newf(codes.Unauthorized, "API key is unknown in configuration version %d", cfg.Version())
	}
	x.call.Team, x.call.Urgency = team, team.Urgency(x.call.Route)
	return nil
}

// run makes attempts until the request has a response or may not be repeated.
func (x *exchange) run() error {
	ctx, cancel := context.WithDeadline(x.caller.ctx, x.call.Deadline)
	defer cancel()
	if err := x.checkStopping(); err != nil {
		return err
	}
	if x.call.Team.Rate.Limited() {
		if err := x.relay.control.Admit(ctx, x.call); err != nil {
			return x.noUpstreamError(ctx, err)
		}
		defer func() { x.relay.control.Settle(x.call, x.mayHaveRun) }()
	}
	exclude := make(map[string]bool)
	defer x.dropNext()
	for refusals := 0; ; {
		x.repeatGranted = false
		t, err := x.chooseNext(ctx, exclude)
		if x.awaitPause(ctx, err) {
			continue
		}
		if err != nil {
			return x.noUpstreamError(ctx, err)
		}
		x.summary.Upstream = t.Choice.Upstream
		again, err := x.sendAttempt(ctx, t)
		if !again {
			return err
		}
		delete(exclude, x.movedFrom) // It may be sound, and take the request again if its successor does not.
		exclude[t.Choice.Upstream] = true
		switch {
		case x.next.Attempt != nil:
			x.movedFrom, x.repeatGranted = t.Choice.Upstream, true
		case codes.Is(err, codes.UpstreamRefused):
			refusals++
			if paused := x.allPaused(); paused != nil {
				return paused
			}
		case codes.Is(err, codes.NoUpstream):
			x.repeatGranted = true // Nothing reached an upstream, so the next attempt is not a repeat.
		}
		if !x.repeatGranted && !x.awaitRepeat(ctx, refusals) {
			return x.repeatRefusedError(err)
		}
		x.relay.control.Retried(x.call, t, err)
	}
}

// chooseNext returns the upstream of the next attempt. A request whose last attempt this host ended is not given up before its deadline, unless
// no upstream will take it.
func (x *exchange) chooseNext(ctx context.Context, exclude map[string]bool) (Ticket, error) {
	if t := x.next; t.Attempt != nil {
		x.next = Ticket{}
		return t, nil
	}
	for {
		t, err := x.relay.control.Choose(ctx, x.call, exclude)
		if err == nil || x.movedFrom == "" || !x.mayHaveRun || ctx.Err() != nil || isFinalRefusal(err) {
			return t, err
		}
		clear(exclude)
		select {
		case <-time.After(repeatCheckInterval):
		case <-ctx.Done():
		}
	}
}

// isFinalRefusal reports whether no upstream will take the request however long it waits.
func isFinalRefusal(err error) bool {
	return codes.Is(err, codes.CrashingPart) || codes.Is(err, codes.CrashingRequest) || codes.Is(err, codes.NotConfigured)
}

// dropNext releases the upstream that was reserved for an attempt that isn't made.
func (x *exchange) dropNext() {
	if x.next.Attempt != nil {
		x.relay.control.EndAttempt(x.next, pick.Abandoned)
	}
}

// awaitRepeat reports whether the request may be sent again. A request that may have run can no longer be refused, so
// awaitRepeat then waits for permission until the caller is expected to abandon the request, or until its deadline if this host ended its
// last attempt. Each refusal beyond maxRefusals doubles the time before the next attempt.
func (x *exchange) awaitRepeat(ctx context.Context, refusals int) bool {
	delay := repeatCheckInterval << min(max(refusals-maxRefusals, 0), maxBackoffDoublings)
	for {
		if refusals <= maxRefusals && x.relay.control.AllowRepeat(x.call.Service) {
			return true
		}
		if !x.mayHaveRun || x.movedFrom == "" && time.Now().After(x.call.AbandonAt) {
			return false
		}
		refusals = 0
		select {
		case <-time.After(delay):
			delay = repeatCheckInterval
		case <-ctx.Done():
			return false
		}
	}
}

// allPaused returns an error if the request can still be refused and all upstreams want no requests for now.
func (x *exchange) allPaused() error {
	if x.mayHaveRun {
		return nil
	}
	return x.relay.control.Paused(x.call)
}

// awaitPause waits until an upstream accepts requests again, if err says when, the caller still waits then, and the request can no longer
// be refused. It reports whether another upstream should be chosen.
func (x *exchange) awaitPause(ctx context.Context, err error) bool {
	if !x.mayHaveRun || !codes.Is(err, codes.UpstreamsPaused) {
		return false
	}
	pause := codes.From(err).RetryAfter()
	if time.Now().Add(pause).After(x.call.AbandonAt) {
		return false
	}
	select {
	case <-time.After(pause):
		return true
	case <-ctx.Done():
		return false
	}
}

// checkStopping returns an error for a request that cannot be finished before the process exits.
func (x *exchange) checkStopping() error {
	until, stopping := x.relay.control.Stopping(x.call)
	if !stopping {
		return nil
	}
	x.writer.Header().Set("Connection", "close")
	if time.Now().Before(until) {
		return nil
	}
	return codes.New(codes.Draining, "host is stopping").WithRetryAfter(stoppingRetryAfter)
}

// noUpstreamError returns the error of a request for which no upstream was found.
func (x *exchange) noUpstreamError(ctx context.Context, err error) error {
	switch {
	case x.caller.gone():
		return x.callerLeft("while waiting for an upstream")
	case ctx.Err() != nil && !codes.Is(err, codes.NoTimeToLoad):
		err = codes.New(codes.DeadlineMissed, "while waiting for an upstream")
	}
	if x.mayHaveRun {
		return codes.New(codes.UpstreamUnknown, err.Error())
	}
	return err
}

// repeatRefusedError returns the error of a request that may not be sent again.
func (x *exchange) repeatRefusedError(err error) error {
	if x.mayHaveRun {
		return codes.New(codes.UpstreamUnknown, err.Error())
	}
	return codes.New(codes.OverCapacity, "no further attempt allowed: "+err.Error()).WithRetryAfter(exhaustedRetryAfter)
}

// callerLeft returns the error of a request whose caller left, or that the stop of the host ends.
func (x *exchange) callerLeft(detail string) error {
	stopping := errors.Is(context.Cause(x.caller.ctx), ErrStopping)
	switch {
	case stopping && x.headSent:
		return codes.New(codes.StreamBroken, "host stopped "+detail)
	case stopping && x.mayHaveRun:
		return codes.New(codes.UpstreamUnknown, "host stopped "+detail)
	case stopping:
		return codes.New(codes.Draining, detail).WithRetryAfter(stoppingRetryAfter)
	}
	e := codes.New(codes.CallerLeft, detail)
	if !x.mayHaveRun {
		return e.WithOutcome(codes.NotRun)
	}
	return e
}

// finish sends an error response if nothing has been sent yet, and reports the end of the request. A caller that seems to have left gets one
// too: it may only have closed its sending side.
func (x *exchange) finish(err error) {
	e := codes.From(err)
	if e != nil {
		x.summary.Code, x.summary.Outcome, x.summary.Retry, x.summary.Detail = e.Code(), e.Outcome(), e.RetryAfter(), e.Detail()
	}
	x.summary.Call, x.summary.CallerInput = x.call, x.relay.control.CallerInput(x.request)
	if e != nil && !x.headSent {
		x.writeError(e)
	}
	x.relay.control.RequestEnded(x.summary)
	if e != nil && x.headSent {
		panic(http.ErrAbortHandler) // Only closing the connection shows the caller that the response is incomplete.
	}
}

func (x *exchange) writeError(e *codes.Error) {
	status := e.Code().HTTPStatus()
	switch {
	case e.Code() == codes.CallerLeft && e.Outcome() == codes.NotRun:
		status = http.StatusServiceUnavailable
	case e.Code() == codes.CallerLeft:
		status = http.StatusGatewayTimeout
	case e.Outcome() != codes.NotRun && status == http.StatusServiceUnavailable:
		status = http.StatusBadGateway // 503 means that the request has not run.
	}
	x.summary.Status = status
	h := x.writer.Header()
	h.Set("Content-Type", "application/json")
	if id := x.request.Header.Get(x.relay.dialect.Echo); id != "" {
		h.Set(x.relay.dialect.Echo, id)
	}
	if e.RetryAfter() > 0 {
		h.Set("Retry-After", strconv.FormatFloat(e.RetryAfter().Seconds(), 'f', 2, 64))
	}
	body := fmt.Sprintf("{\"code\":%d,\"title\":%q,\"outcome\":%q}\n", e.Code(), e.Code().Title(), e.Outcome())
	h.Set("Content-Length", strconv.Itoa(len(body)))
	x.writer.WriteHeader(status)
	_, _ = io.WriteString(x.writer, body) // The caller may have disconnected.
}
