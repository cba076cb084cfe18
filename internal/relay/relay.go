package relay

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/fireflycleat/fireflycleat/internal/conns"
	"github.com/fireflycleat/fireflycleat/pkg/codes"
	"github.com/fireflycleat/fireflycleat/pkg/fleet"
)

const (
	// notReadyRetry is when a caller may come back if this host has no configuration; outages of the store last seconds.
	notReadyRetry = 2 * time.Second
	// stoppingRetry is when a caller may come back after a refusal by a host that stops; another host takes the request.
	stoppingRetry = 50 * time.Millisecond
	// exhaustedRetry is when a caller may come back after upstreams refused it; their queues last about as long.
	exhaustedRetry = time.Second
	// repeatPause is the wait before a request that may have run asks again for leave to be repeated.
	repeatPause = 150 * time.Millisecond
	// maxRefusals is the number of upstreams that may refuse a request before it is refused itself.
	maxRefusals = 4
	// defaultBody bounds a request body until a configuration says otherwise.
	defaultBody = 4 << 20
	// patienceFloor, patienceRatio and pauseRatio give the time after which callers give up a stream without an event.
	patienceFloor = 2 * time.Second
	patienceRatio = 4
	pauseRatio    = 8
)

// Relay serves callers.
type Relay struct {
	dialect Dialect
	control Control
	pool    *conns.Pool
}

// New returns a relay that sends requests over the pool.
func New(d Dialect, c Control, p *conns.Pool) *Relay { return &Relay{d, c, p} }

// ServeHTTP serves one request.
func (r *Relay) ServeHTTP(w http.ResponseWriter, q *http.Request) {
	arrived := time.Now()
	x := &exchange{relay: r, writer: w, query: q, end: Ended{Code: codes.OK, Outcome: codes.Ran}}
	x.call = &Call{Arrived: arrived}
	x.call.ID = q.Header.Get(r.dialect.Echo)
	err := x.prepare()
	if err == nil {
		err = x.run()
	}
	x.finish(err)
}

// prepare reads the request and finds its route.
func (x *exchange) prepare() error {
	cfg := x.relay.control.Config()
	limit := int64(defaultBody)
	if cfg != nil && cfg.Limits().BodyBytes > 0 {
		limit = cfg.Limits().BodyBytes
	}
	body, err := io.ReadAll(http.MaxBytesReader(x.writer, x.query.Body, limit))
	if err != nil {
		return bodyError(err)
	}
	x.body = body
	if cfg == nil {
		return codes.New(codes.NotReady, "no configuration").WithRetryAfter(notReadyRetry)
	}
	c := x.call
	c.Version = cfg.Version()
	route, ok := cfg.Match(x.query.Host, x.query.URL.Path)
	if !ok {
		return codes.Newf(codes.NotFound, "no route in version %d", cfg.Version())
	}
	c.Route = route
	if c.Facts, err = x.relay.dialect.Decode(x.query.Header); err != nil {
		return err
	}
	c.Service = route.Pick(rand.Float64()) //nolint:gosec // a split needs no secrecy
	c.Deadline = c.Arrived.Add(route.Timeout)
	if c.Budget > 0 && c.Budget < route.Timeout {
		c.Deadline = c.Arrived.Add(c.Budget)
	}
	c.Patience = c.Deadline
	if route.Kind == fleet.Stream {
		p := max(patienceFloor, patienceRatio*route.Objective, pauseRatio*route.MaxPause)
		if at := c.Arrived.Add(p); at.Before(c.Deadline) {
			c.Patience = at
		}
	}
	x.relay.control.Count(c.Service)
	return nil
}

func bodyError(err error) error {
	var large *http.MaxBytesError
	if errors.As(err, &large) {
		return codes.New(codes.TooLarge, err.Error()).WithField("body")
	}
	return codes.New(codes.BadRequest, err.Error()).WithField("body")
}

// run makes attempts until the request has its answer.
func (x *exchange) run() error {
	ctx, cancel := context.WithDeadline(x.query.Context(), x.call.Deadline)
	defer cancel()
	if err := x.stopping(); err != nil {
		return err
	}
	exclude := make(map[string]bool)
	for refusals := 0; ; {
		x.granted = false
		t, err := x.relay.control.Choose(ctx, x.call, exclude)
		if err != nil {
			return x.unserved(ctx, err)
		}
		x.end.Upstream = t.Choice.Upstream
		again, err := x.attempt(ctx, t)
		if !again {
			return err
		}
		exclude[t.Choice.Upstream] = true
		switch {
		case codes.Is(err, codes.UpstreamRefused):
			refusals++
		case codes.Is(err, codes.NoUpstream):
			x.granted = true // Nothing reached an upstream, so that the next attempt repeats nothing.
		}
		if !x.granted && !x.awaitRepeat(ctx, refusals) {
			return x.exhausted(err)
		}
		x.relay.control.Retried(x.call, t, err)
	}
}

// awaitRepeat reports whether the request may be sent once more. One that may have run cannot be refused any more, so that it
// waits for its turn as long as its caller does.
func (x *exchange) awaitRepeat(ctx context.Context, refusals int) bool {
	for {
		if refusals <= maxRefusals && x.relay.control.Repeat(x.call.Service) {
			return true
		}
		if !x.ran || time.Now().After(x.call.Patience) {
			return false
		}
		refusals = 0
		select {
		case <-time.After(repeatPause):
		case <-ctx.Done():
			return false
		}
	}
}

// stopping refuses a request that cannot end before the process does.
func (x *exchange) stopping() error {
	until, stopping := x.relay.control.Stopping()
	if !stopping {
		return nil
	}
	x.writer.Header().Set("Connection", "close")
	if time.Now().Before(until) {
		return nil
	}
	return codes.New(codes.Draining, "the host stops").WithRetryAfter(stoppingRetry)
}

// unserved returns the error of a request for which no upstream was found.
func (x *exchange) unserved(ctx context.Context, err error) error {
	switch {
	case x.query.Context().Err() != nil:
		return codes.New(codes.CallerLeft, "while waiting")
	case ctx.Err() != nil && !codes.Is(err, codes.NoTimeToLoad):
		err = codes.New(codes.DeadlineMissed, "while waiting")
	}
	if x.ran {
		return codes.New(codes.UpstreamUnknown, err.Error())
	}
	return err
}

// exhausted returns the error of a request that may not be repeated once more.
func (x *exchange) exhausted(err error) error {
	if x.ran {
		return codes.New(codes.UpstreamUnknown, err.Error())
	}
	return codes.New(codes.OverCapacity, "repeats are used up: "+err.Error()).WithRetryAfter(exhaustedRetry)
}

// finish sends the final answer of a request that has none yet, and reports the end.
func (x *exchange) finish(err error) {
	e := codes.From(err)
	if e != nil {
		x.end.Code, x.end.Outcome, x.end.Retry, x.end.Detail = e.Code(), e.Outcome(), e.RetryAfter(), e.Detail()
	}
	x.end.Call = x.call
	if e != nil && !x.begun && e.Code() != codes.CallerLeft {
		x.refuse(e)
	}
	x.relay.control.Ended(x.end)
	if e != nil && (x.begun || e.Code() == codes.CallerLeft) {
		panic(http.ErrAbortHandler) // Closing the connection is the only way to end an answer so that it does not look whole.
	}
}

func (x *exchange) refuse(e *codes.Error) {
	status := e.Code().HTTPStatus()
	if e.Outcome() != codes.NotRun && status == http.StatusServiceUnavailable {
		status = http.StatusBadGateway // 503 promises that the request has not run.
	}
	x.end.Status = status
	h := x.writer.Header()
	h.Set("Content-Type", "application/json")
	if id := x.query.Header.Get(x.relay.dialect.Echo); id != "" {
		h.Set(x.relay.dialect.Echo, id)
	}
	if e.RetryAfter() > 0 {
		h.Set("Retry-After", strconv.FormatFloat(e.RetryAfter().Seconds(), 'f', 2, 64))
	}
	body := fmt.Sprintf("{\"code\":%d,\"title\":%q,\"outcome\":%q}\n", e.Code(), e.Code().Title(), e.Outcome())
	h.Set("Content-Length", strconv.Itoa(len(body)))
	x.writer.WriteHeader(status)
	_, _ = io.WriteString(x.writer, body) // The caller may have left.
}
