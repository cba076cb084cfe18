package relay

import (
	"context"
	"io"
	"mime"
	"net/http"
	"runtime/debug"
	"strconv"
	"sync"
	"sync/atomic"
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
	errNotStream    = errors.New("response cannot continue the stream")
	errEndlessBody  = codes.Newf(codes.EndlessResponse, "body exceeds %d bytes", maxRelayedBody)
)

type (
	// exchange is a caller's request with all its attempts.
	exchange struct {
		relay         *Relay
		writer        http.ResponseWriter
		request       *http.Request
		caller        *caller
		body          [][]byte // parts of the request's body
		call          *Call
		headSent      bool   // whether the status line and headers have been sent to the caller
		mayHaveRun    bool   // whether an upstream may have run the request
		possibleRuns  int    // number of attempts that may have run
		repeatGranted bool   // whether the next attempt needs no further permission to repeat the request
		next          Ticket // reserved upstream for the next attempt; empty unless the last attempt was moved
		movedFrom     string // upstream of the last attempt that this host ended because the upstream was silent
		events        events
		lastSent      time.Time // when the last part of a stream was sent to the caller
		summary       RequestSummary
	}

	// attempt is one attempt to send the request to an upstream.
	attempt struct {
		*exchange
		ticket       Ticket
		cancel       context.CancelCauseFunc
		ctx          context.Context
		headAt       time.Time // when the head of the response arrived
		firstAt      time.Time // when the first event arrived; zero before it
		eventsBefore int       // number of events of earlier attempts
		moving       sync.Mutex
		ended        bool        // whether the attempt has ended and can't be moved any more; guarded by moving
		staysLogged  bool        // whether it was recorded that the request stays at its silent upstream; guarded by moving
		resumable    atomic.Bool // whether another upstream could continue the stream
		release      func()      // ends the guard of the attempt
		harmful      bool        // whether the request may have ended its upstream and must not be sent to another one
		signs        Signs       // what the upstream said about itself
	}
)

// sendAttempt sends the request to an upstream and relays the response. If again is true, the request may be sent to another
// upstream, and err is the reason.
func (x *exchange) sendAttempt(ctx context.Context, t Ticket) (again bool, err error) {
	if x.caller.gone() {
		x.relay.control.EndAttempt(t, pick.Abandoned)
		return false, x.callerLeft("before an attempt")
	}
	defer x.caller.release()
	remaining := time.Until(x.call.Deadline)
	if remaining < minBudget {
		x.relay.control.EndAttempt(t, pick.Abandoned)
		return false, x.deadlineError()
	}
	returned := false
	defer func() {
		if !returned { // The attempt panicked.
			x.relay.control.EndAttempt(t, pick.Abandoned)
		}
	}()
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
		again, err = a.handleFailure(err)
	} else {
		defer r.Close()
		again, err = a.handleResponse(r)
	}
	returned = true
	return again, err
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
	x.relay.dialect.Encode(h, UpstreamHeaders{
		Upstream: t.Choice.Upstream, Budget: remaining, Urgency: x.call.Urgency, Team: x.call.Team.Name, LastEvent: lastEvent,
	})
	maxIdle := time.Duration(maxIdleRepeatable)
	if !x.call.Route.Repeatable() {
		maxIdle = maxIdleUnrepeatable
	}
	stays := func() bool { return !x.caller.gone() }
	if x.call.Route.Kind == fleet.Unsafe {
		stays = x.caller.keep // An upstream may drop the work on a request whose connection ends, and it may not be repeated.
	}
	// The upstream may have said while the connection was opened that it leaves or wants no requests.
	permit := func() bool { return t.Attempt.Permitted(time.Now()) && stays() }
	return &conns.Request{
		Address: t.Choice.Address, Method: x.request.Method, Target: x.request.RequestURI, Host: x.request.Host, Header: h, Body: x.body,
		HasBody: x.request.ContentLength != 0, MaxIdle: maxIdle, Echo: x.relay.dialect.Echo, Permit: permit,
	}
}

// watchStuck cancels the attempt if a resumable stream is stuck at its upstream and another upstream is reserved for it. A silent upstream may
// be sound, so that the attempt goes on unless its successor is certain.
func (a *attempt) watchStuck() (stop func()) {
	route := a.call.Route
	if route.Kind != fleet.Stream || !route.Resumable || a.possibleRuns+1 >= route.MaxAttempts {
		return func() {}
	}
	var timer *time.Timer
	a.resumable.Store(a.events.resumable())
	timer = time.AfterFunc(max(minStuckFirst, stuckObjectives*route.Objective), func() {
		if !a.move() {
			timer.Reset(stuckCheckInterval)
		}
	})
	a.events.onEvent = func() {
		a.resumable.Store(a.events.resumable())
		timer.Reset(max(minStuckPause, stuckPauses*route.MaxPause))
	}
	return func() {
		timer.Stop()
		a.moving.Lock()
		defer a.moving.Unlock()
		a.ended = true
		a.events.onEvent = nil
	}
}

// move ends the attempt if its upstream is silent and another one is reserved for the request. It reports whether no further check is needed:
// the attempt has ended, or the check panicked.
func (a *attempt) move() (done bool) {
	a.moving.Lock()
	defer a.moving.Unlock()
	defer func() {
		if value := recover(); value != nil { // The timer's goroutine has no handler of panics, and the upstream may still respond.
			a.relay.control.Panicked(a.call, value, debug.Stack())
			done = true
		}
	}()
	if a.ended || !a.resumable.Load() {
		return a.ended
	}
	next, err := a.relay.control.Move(a.ticket, a.call)
	if err != nil {
		if !errors.Is(err, ErrNotStuck) && !a.staysLogged {
			a.staysLogged = true
			a.relay.control.Silent(a.call, a.ticket, next, err)
		}
		return false
	}
	a.next, a.ended = next, true
	a.cancel(errEventTimeout)
	a.relay.control.Silent(a.call, a.ticket, next, nil)
	return true
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
	if sent && (result == pick.Broken || a.partsRefused()) {
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

// partsRefused reports whether the attempt was cancelled because of its parts. Its upstream may have ended at the same time, and the evidence
// of an end is wrong without the requests at fault.
func (a *attempt) partsRefused() bool { return errors.Is(context.Cause(a.ctx), ErrPartsRefused) }

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
	case a.caller.gone():
		a.relay.control.EndAttempt(a.ticket, pick.Abandoned)
		return a.callerLeft("during an attempt")
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
	return !a.headSent || a.events.count > 0 && a.events.resumable()
}

// handleResponse relays the response, or reports why another upstream should be tried.
func (a *attempt) handleResponse(r *conns.Response) (bool, error) {
	a.headAt = time.Now()
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
	stream := a.call.Route.Kind == fleet.Stream && r.Status < http.StatusMultipleChoices && isEventStream(r.Header)
	switch {
	case a.headSent && !stream:
		// The caller has the head of an earlier response and can get neither the status nor the body of this one.
		return a.handleWrongStream(errors.Wrapf(errNotStream, "status %d", r.Status))
	case stream:
		return a.relayStream(r)
	}
	return a.relayBuffered(r, class)
}

// isEventStream reports whether the headers of a response announce events. Those without a content type count as such.
func isEventStream(h http.Header) bool {
	contentType := h.Get("Content-Type")
	mediaType, _, err := mime.ParseMediaType(contentType)
	return contentType == "" || err == nil && mediaType == "text/event-stream"
}

// handleWrongStream ends an attempt whose response cannot be, or continue, the stream that the caller receives. Its connection has not
// failed, so that the attempt is no evidence of a crash.
func (a *attempt) handleWrongStream(err error) (bool, error) {
	if abandoned := a.abandonedError(); abandoned != nil {
		return false, abandoned
	}
	a.relay.control.EndAttempt(a.ticket, pick.Errored)
	switch {
	case a.mayRepeat():
		a.summary.Resumed++
		return true, codes.New(codes.StreamBroken, err.Error())
	case a.headSent:
		return false, codes.New(codes.StreamBroken, err.Error())
	}
	return false, codes.New(codes.UpstreamFailed, err.Error())
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
	if result == pick.Broken || a.partsRefused() {
		p := Progress{Head: true, Events: a.events.count - a.eventsBefore}
		if !a.firstAt.IsZero() {
			p.Streaming = time.Since(a.firstAt)
		}
		a.harmful = !a.relay.control.Broken(a.call, a.ticket, p)
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

// relayBuffered relays a response that is not a stream. Up to maxBufferedBody it is read completely first, unless the host is
// short of memory, so that the caller never receives a truncated response as a complete one.
func (a *attempt) relayBuffered(r *conns.Response, class ResponseClass) (bool, error) {
	body, complete, err := a.readBuffered(r)
	if err == nil {
		err = r.CheckTrailingData()
	}
	if err != nil {
		return a.handleBroken(err)
	}
	a.writeHead(r, complete, int64(len(body)))
	if _, err := a.writer.Write(body); err != nil {
		a.relay.control.EndAttempt(a.ticket, pick.Served)
		return false, codes.New(codes.CallerLeft, err.Error())
	}
	if !complete {
		caller, limit := &errorWriter{Writer: a.writer}, int64(maxRelayedBody-len(body))
		body = nil
		rest, err := io.Copy(caller, io.LimitReader(r, limit))
		if caller.err != nil {
			a.relay.control.EndAttempt(a.ticket, pick.Abandoned)
			return false, codes.New(codes.CallerLeft, caller.err.Error())
		}
		if err == nil && rest == limit {
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
		a.relay.control.Sound(a.call, a.ticket, Completion{HeadLead: time.Since(a.headAt), CloseDelimited: r.CloseDelimited})
	}
	a.relay.control.RecordFirst(a.ticket)
	a.relay.control.EndAttempt(a.ticket, result)
	return false, nil
}

// errorWriter keeps the error of a failed write, to tell it from the error of a read.
type errorWriter struct {
	io.Writer
	err error
}

// Write implements io.Writer.
func (w *errorWriter) Write(b []byte) (n int, err error) {
	n, err = w.Writer.Write(b)
	w.err = errors.CombineErrors(w.err, err)
	return n, err
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
	a.call.AbandonAt = a.call.Deadline
	a.summary.Status = r.Status
	a.summary.First = time.Since(a.call.Arrived)
}
