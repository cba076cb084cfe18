package relay

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/fireflycleat/fireflycleat/internal/conns"
	"github.com/fireflycleat/fireflycleat/pkg/codes"
	"github.com/fireflycleat/fireflycleat/pkg/fleet"
	"github.com/fireflycleat/fireflycleat/pkg/pick"
)

const (
	// maxBufferedBody is the size up to which a response that is not a stream is read completely before it is sent to the
	// caller.
	maxBufferedBody = 256 << 10
	// maxRelayedBody limits a response that is not a stream, beyond which its upstream counts as sending without end.
	maxRelayedBody = 64 << 20
	// maxIdleUnrepeatable and maxIdleRepeatable limit the idle time of a reused connection. An upstream may close a connection
	// just as a request is sent; a request that must not be repeated is then lost.
	maxIdleUnrepeatable = time.Second
	maxIdleRepeatable   = 30 * time.Second
	// minBudget is the least remaining time with which an attempt is started.
	minBudget = 5 * time.Millisecond
	// minStuckFirst and stuckObjectives set the time without a first event after which a resumable stream is checked for being
	// stuck: the longer of the minimum and the multiple of the route's objective. In the same way, minStuckPause and stuckPauses
	// set the time between events, from the route's longest pause.
	minStuckFirst   = 1100 * time.Millisecond
	stuckObjectives = 2
	minStuckPause   = 1200 * time.Millisecond
	stuckPauses     = 4
	// stuckCheckInterval is the time between checks of a stream without an event.
	stuckCheckInterval = 250 * time.Millisecond
)

var (
	errEventTimeout = errors.New("no event from the upstream in time")
	errMalformed    = errors.New("response is malformed or incomplete")
	errTruncated    = errors.New("response ended early")
	errEndlessBody  = codes.Newf(codes.EndlessResponse, "body exceeds %d bytes", maxRelayedBody)
)

type (
	// exchange is a caller's request with all its attempts.
	exchange struct {
		relay         *Relay
		writer        http.ResponseWriter
		request       *http.Request
		body          []byte
		call          *Call
		headSent      bool // whether the status line and headers have been sent to the caller
		mayHaveRun    bool // whether an upstream may have run the request
		possibleRuns  int  // number of attempts that may have run
		repeatGranted bool // whether the next attempt needs no further permission to repeat the request
		events        events
		lastSent      time.Time // when the last part of a stream was sent to the caller
		summary       RequestSummary
	}

	// attempt is one attempt to send the request to an upstream.
	attempt struct {
		*exchange
		ticket        Ticket
		cancel        context.CancelCauseFunc
		ctx           context.Context
		firstReported bool
		eventsBefore  int    // number of events of earlier attempts
		release       func() // ends the guard of the attempt
		harmful       bool   // whether the request may have ended its upstream and must not be sent to another one
		signs         Signs  // what the upstream said about itself
	}
)

// sendAttempt sends the request to an upstream and relays the response. If again is true, the request may be sent to another
// upstream, and err is the reason.
func (x *exchange) sendAttempt(ctx context.Context, t Ticket) (again bool, err error) {
	if x.request.Context().Err() != nil {
		x.relay.control.EndAttempt(t, pick.Abandoned)
		return false, codes.New(codes.CallerLeft, "before an attempt")
	}
	remaining := time.Until(x.call.Deadline)
	if remaining < minBudget {
		x.relay.control.EndAttempt(t, pick.Abandoned)
		return false, x.deadlineError()
	}
	if x.summary.Attempts++; x.summary.Attempts == 1 {
		x.summary.Waited = time.Since(x.call.Arrived)
	}
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	a := &attempt{exchange: x, ticket: t, cancel: cancel, ctx: ctx, eventsBefore: x.events.count}
	stop := a.watchStuck()
	defer stop()
	a.release = sync.OnceFunc(x.relay.control.Guard(x.call, cancel))
	defer a.release()
	r, err := x.relay.pool.Do(ctx, x.upstreamRequest(t, remaining))
	if err != nil {
		return a.handleFailure(err)
	}
	defer r.Close()
	return a.handleResponse(r)
}

// deadlineError returns the error of a request whose deadline passed before an attempt.
func (x *exchange) deadlineError() error {
	if x.mayHaveRun {
		return codes.New(codes.UpstreamUnknown, "deadline passed before another attempt")
	}
	return codes.New(codes.DeadlineMissed, "too little time left to send the request")
}

func (x *exchange) upstreamRequest(t Ticket, remaining time.Duration) *conns.Request {
	h := x.request.Header.Clone()
	conns.StripHop(h)
	lastEvent := x.events.lastID
	if lastEvent == "" {
		lastEvent = x.call.LastEvent
	}
	x.relay.dialect.Encode(h, UpstreamHeaders{Upstream: t.Choice.Upstream, Budget: remaining, Urgency: x.call.Route.Priority, LastEvent: lastEvent})
	maxIdle := time.Duration(maxIdleRepeatable)
	if !x.call.Route.Repeatable() {
		maxIdle = maxIdleUnrepeatable
	}
	return &conns.Request{
		Address: t.Choice.Address, Method: x.request.Method, Target: x.request.RequestURI, Host: x.request.Host, Header: h, Body: x.body,
		HasBody: x.request.ContentLength != 0, MaxIdle: maxIdle, Echo: x.relay.dialect.Echo,
		// The upstream may have said while the connection was opened that it leaves or wants no requests.
		Permit: func() bool { return t.Attempt.Permitted(time.Now()) },
	}
}

// watchStuck cancels the attempt if a resumable stream is stuck at its upstream.
func (a *attempt) watchStuck() (stop func()) {
	route := a.call.Route
	if route.Kind != fleet.Stream || !route.Resumable || a.possibleRuns+1 >= route.MaxAttempts {
		return func() {}
	}
	var timer *time.Timer
	timer = time.AfterFunc(max(minStuckFirst, stuckObjectives*route.Objective), func() {
		if a.relay.control.Stuck(a.ticket, a.call) {
			a.cancel(errEventTimeout)
			return
		}
		timer.Reset(stuckCheckInterval)
	})
	a.events.onEvent = func() { timer.Reset(max(minStuckPause, stuckPauses*route.MaxPause)) }
	return func() {
		timer.Stop()
		a.events.onEvent = nil
	}
}

// handleFailure classifies an attempt without a response.
func (a *attempt) handleFailure(err error) (bool, error) {
	var f *conns.Failure
	sent := !errors.As(err, &f) || f.Sent
	if sent {
		a.mayHaveRun = true
		a.possibleRuns++
	}
	if abandoned := a.abandonedError(); abandoned != nil {
		return false, abandoned
	}
	result := a.brokenResult()
	if errors.Is(err, conns.ErrNotPermitted) {
		result = pick.Abandoned
	}
	a.relay.control.EndAttempt(a.ticket, result)
	if sent && result == pick.Broken {
		a.harmful = !a.relay.control.Broken(a.call, a.ticket, Progress{})
	}
	switch {
	case !sent:
		return true, codes.New(codes.NoUpstream, err.Error())
	case a.mayRepeat():
		return true, attemptError(codes.UpstreamUnknown, err)
	case a.headSent:
		return false, attemptError(codes.StreamBroken, err)
	}
	return false, attemptError(codes.UpstreamUnknown, err)
}

// brokenResult returns the result of an attempt whose connection ended. If this host closed it, that says nothing about the upstream.
func (a *attempt) brokenResult() pick.Result {
	switch cause := context.Cause(a.ctx); {
	case errors.Is(cause, errEventTimeout):
		return pick.TimedOut
	case cause != nil:
		return pick.Abandoned
	}
	return pick.Broken
}

// attemptError returns the error of a failed attempt with the given code, or with that of an endless response.
func attemptError(c codes.Code, err error) error {
	if codes.Is(err, codes.EndlessResponse) {
		c = codes.EndlessResponse
	}
	return codes.New(c, err.Error())
}

// abandonedError ends the attempt and returns its error if the caller left or the deadline passed; otherwise it returns nil.
func (a *attempt) abandonedError() error {
	switch {
	case a.request.Context().Err() != nil:
		a.relay.control.EndAttempt(a.ticket, pick.Abandoned)
		return codes.New(codes.CallerLeft, "during an attempt")
	case !time.Now().Before(a.call.Deadline):
		a.relay.control.EndAttempt(a.ticket, pick.Abandoned)
		if a.headSent {
			return codes.New(codes.StreamBroken, "deadline passed before the end of the response")
		}
		if !a.mayHaveRun {
			return codes.New(codes.DeadlineMissed, "while connecting to the upstream")
		}
		return codes.New(codes.UpstreamUnknown, "deadline passed during an attempt")
	}
	return nil
}

// mayRepeat reports whether the request may be sent to another upstream although this one may have run it.
func (a *attempt) mayRepeat() bool {
	r := a.call.Route
	if a.harmful || !r.Repeatable() || a.possibleRuns >= r.MaxAttempts {
		return false
	}
	return !a.headSent || r.Kind == fleet.Stream && a.events.resumable()
}

// handleResponse relays the response, or reports why another upstream should be tried.
func (a *attempt) handleResponse(r *conns.Response) (bool, error) {
	class := a.relay.dialect.Classify(r.Status, r.Header)
	if a.signs = a.relay.dialect.Signs(a.ticket.Choice.Upstream, r.Status, r.Header); a.signs != (Signs{}) {
		a.relay.control.Signs(a.ticket, a.signs)
	}
	if class == NotRun || class == Misdirected {
		_, err := io.Copy(io.Discard, io.LimitReader(r, maxBufferedBody))
		result := pick.Refused
		if class == Misdirected {
			result = pick.Missing
		}
		a.relay.control.EndAttempt(a.ticket, result)
		detail := "status " + strconv.Itoa(r.Status)
		if err != nil {
			detail += ": " + err.Error()
		}
		return true, codes.New(codes.UpstreamRefused, detail)
	}
	a.mayHaveRun = true
	a.possibleRuns++
	if class == Malformed {
		return a.handleBroken(errMalformed)
	}
	if class == Failed && a.mayRepeat() && a.relay.control.AllowRepeat(a.call.Service) {
		a.repeatGranted = true
		a.relay.control.EndAttempt(a.ticket, a.failedResult())
		return true, codes.New(codes.UpstreamFailed, "status "+strconv.Itoa(r.Status))
	}
	if a.call.Route.Kind == fleet.Stream && r.Status < http.StatusMultipleChoices {
		return a.relayStream(r)
	}
	return a.relayBuffered(r, class)
}

// failedResult returns the result of an attempt whose response is an error. An upstream that only wants a pause has not failed.
func (a *attempt) failedResult() pick.Result {
	if a.signs.Pause > 0 {
		return pick.Refused
	}
	return pick.Errored
}

// handleBroken classifies an incomplete or malformed response.
func (a *attempt) handleBroken(err error) (bool, error) {
	if abandoned := a.abandonedError(); abandoned != nil {
		return false, abandoned
	}
	result := a.brokenResult()
	if result == pick.TimedOut {
		err = errEventTimeout
	}
	a.relay.control.EndAttempt(a.ticket, result)
	if result == pick.Broken {
		a.harmful = !a.relay.control.Broken(a.call, a.ticket, Progress{Head: true, Events: a.events.count - a.eventsBefore})
	}
	if a.mayRepeat() {
		a.summary.Resumed++
		return true, attemptError(codes.StreamBroken, err)
	}
	if a.headSent {
		return false, attemptError(codes.StreamBroken, err)
	}
	return false, attemptError(codes.UpstreamFailed, err)
}

// relayBuffered relays a response that is not a stream. Up to maxBufferedBody it is read completely first, so that the caller
// never receives a truncated response as a complete one.
func (a *attempt) relayBuffered(r *conns.Response, class ResponseClass) (bool, error) {
	body, err := io.ReadAll(io.LimitReader(r, maxBufferedBody))
	if err == nil {
		err = r.CheckTrailingData()
	}
	if err != nil {
		return a.handleBroken(err)
	}
	a.writeHead(r, int64(len(body)) < maxBufferedBody, int64(len(body)))
	if _, err := a.writer.Write(body); err != nil {
		a.relay.control.EndAttempt(a.ticket, pick.Served)
		return false, codes.New(codes.CallerLeft, err.Error())
	}
	if len(body) == maxBufferedBody {
		rest, err := io.Copy(a.writer, io.LimitReader(r, maxRelayedBody-maxBufferedBody))
		if err == nil && rest == maxRelayedBody-maxBufferedBody {
			err = errEndlessBody
		}
		if err != nil {
			return a.handleBroken(err)
		}
	}
	result := pick.Served
	if class == Failed {
		result = a.failedResult()
	} else {
		a.relay.control.Sound(a.call)
	}
	a.relay.control.RecordFirst(a.ticket)
	a.relay.control.EndAttempt(a.ticket, result)
	return false, nil
}

// writeHead sends the upstream's status and headers to the caller. With complete, length is the length of the whole body; otherwise
// length is ignored.
func (a *attempt) writeHead(r *conns.Response, complete bool, length int64) {
	h := a.writer.Header()
	connection := h.Get("Connection")
	clear(h)
	for name, values := range r.Header {
		h[name] = values
	}
	contentLength := h.Get("Content-Length")
	conns.StripHop(h)
	switch {
	case complete:
		h.Set("Content-Length", strconv.FormatInt(length, 10))
		if a.request.Method == http.MethodHead && contentLength != "" {
			h.Set("Content-Length", contentLength)
		}
	case contentLength != "" && a.call.Route.Kind != fleet.Stream: // A resumed stream may have a different length.
		h.Set("Content-Length", contentLength)
	}
	if _, ok := h["Content-Type"]; !ok {
		h["Content-Type"] = nil // keeps net/http from guessing a content type
	}
	if connection != "" {
		h.Set("Connection", connection)
	}
	a.writer.WriteHeader(r.Status)
	a.headSent = true
	a.summary.Status = r.Status
	a.summary.First = time.Since(a.call.Arrived)
}
