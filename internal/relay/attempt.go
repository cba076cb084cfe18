package relay

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/fireflycleat/fireflycleat/internal/conns"
	"github.com/fireflycleat/fireflycleat/pkg/codes"
	"github.com/fireflycleat/fireflycleat/pkg/fleet"
	"github.com/fireflycleat/fireflycleat/pkg/pick"
)

const (
	// bufferedAnswer is the size up to which an answer that is not a stream is read whole before it is passed on.
	bufferedAnswer = 256 << 10
	// unsafeIdle and safeIdle limit the idle time of a connection that is used again. An upstream may close a connection at
	// the moment at which a request is sent, and a request that may not be repeated is lost then.
	unsafeIdle = time.Second
	safeIdle   = 30 * time.Second
	// minBudget is the least time with which a request is sent.
	minBudget = 5 * time.Millisecond
	// firstFloor, firstRatio, pauseFloor and silentPauses give the time without an event after which it is asked whether a
	// stream that may be resumed is stuck.
	firstFloor   = 1100 * time.Millisecond
	firstRatio   = 2
	pauseFloor   = 1200 * time.Millisecond
	silentPauses = 4
	// stuckInterval is the time between two looks at a stream without an event.
	stuckInterval = 250 * time.Millisecond
)

var (
	errSilent  = errors.New("no event in time")
	errGarbled = errors.New("answer is not the upstream's whole answer")
	errMissing = errors.New("answer ended early")
)

type (
	// exchange is one request with its attempts.
	exchange struct {
		relay  *Relay
		writer http.ResponseWriter
		query  *http.Request
		body   []byte
		call   *Call
		begun  bool // begun tells that the head of the answer was sent.
		ran    bool // ran tells that an upstream may have run the request.
		sent   int  // sent counts the attempts that may have run.
		// granted tells that the next attempt needs no further leave to repeat the request.
		granted bool
		events  events
		passed  time.Time // passed is when the last piece of a stream was sent.
		end     Ended
	}

	// try is one attempt.
	try struct {
		*exchange
		ticket Ticket
		cancel context.CancelCauseFunc
		ctx    context.Context
		first  bool
	}
)

// attempt sends the request to an upstream and passes the answer on. If again is true, the request may be sent to another
// one, and the error says why.
func (x *exchange) attempt(ctx context.Context, t Ticket) (again bool, err error) {
	if x.query.Context().Err() != nil {
		x.relay.control.End(t, pick.Left)
		return false, codes.New(codes.CallerLeft, "before an attempt")
	}
	left := time.Until(x.call.Deadline)
	if left < minBudget {
		x.relay.control.End(t, pick.Left)
		return false, x.late()
	}
	if x.end.Attempts++; x.end.Attempts == 1 {
		x.end.Waited = time.Since(x.call.Arrived)
	}
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	a := &try{exchange: x, ticket: t, cancel: cancel, ctx: ctx}
	stop := a.watch()
	defer stop()
	r, err := x.relay.pool.Do(ctx, x.request(t, left))
	if err != nil {
		return a.failed(err)
	}
	defer r.Close()
	return a.answered(r)
}

// late returns the error of a request whose deadline passed before an attempt.
func (x *exchange) late() error {
	if x.ran {
		return codes.New(codes.UpstreamUnknown, "deadline passed")
	}
	return codes.New(codes.DeadlineMissed, "before it could be sent")
}

func (x *exchange) request(t Ticket, left time.Duration) *conns.Request {
	h := x.query.Header.Clone()
	conns.StripHop(h)
	last := x.events.last
	if last == "" {
		last = x.call.LastEvent
	}
	x.relay.dialect.Encode(h, Outgoing{Upstream: t.Choice.Upstream, Budget: left, Urgency: x.call.Route.Priority, LastEvent: last})
	idle := time.Duration(safeIdle)
	if !x.call.Route.Repeatable() {
		idle = unsafeIdle
	}
	return &conns.Request{
		Address: t.Choice.Address, Method: x.query.Method, Target: x.query.RequestURI, Host: x.query.Host, Header: h, Body: x.body,
		Framed: x.query.ContentLength != 0, MaxIdle: idle, Echo: x.relay.dialect.Echo,
	}
}

// watch ends the attempt at a stream that may be resumed when it is stuck at its upstream.
func (a *try) watch() (stop func()) {
	route := a.call.Route
	if route.Kind != fleet.Stream || !route.Resumable || a.sent+1 >= route.MaxAttempts {
		return func() {}
	}
	var timer *time.Timer
	timer = time.AfterFunc(max(firstFloor, firstRatio*route.Objective), func() {
		if a.relay.control.Stuck(a.ticket, a.call) {
			a.cancel(errSilent)
			return
		}
		timer.Reset(stuckInterval)
	})
	a.events.onEvent = func() { timer.Reset(max(pauseFloor, silentPauses*route.MaxPause)) }
	return func() {
		timer.Stop()
		a.events.onEvent = nil
	}
}

// failed decides on an attempt without an answer.
func (a *try) failed(err error) (bool, error) {
	var f *conns.Failure
	sent := !errors.As(err, &f) || f.Sent
	if sent {
		a.ran = true
		a.sent++
	}
	if left := a.left(); left != nil {
		return false, left
	}
	result := pick.Broken
	if errors.Is(context.Cause(a.ctx), errSilent) {
		result = pick.Silent
	}
	a.relay.control.End(a.ticket, result)
	switch {
	case !sent:
		return true, codes.New(codes.NoUpstream, err.Error())
	case a.mayRepeat():
		return true, codes.New(codes.UpstreamUnknown, err.Error())
	case a.begun:
		return false, codes.New(codes.StreamBroken, err.Error())
	}
	return false, codes.New(codes.UpstreamUnknown, err.Error())
}

// left returns the error of an attempt that ended because the caller left or the deadline passed; nil means neither.
func (a *try) left() error {
	switch {
	case a.query.Context().Err() != nil:
		a.relay.control.End(a.ticket, pick.Left)
		return codes.New(codes.CallerLeft, "during an attempt")
	case !time.Now().Before(a.call.Deadline):
		a.relay.control.End(a.ticket, pick.Left)
		if a.begun {
			return codes.New(codes.StreamBroken, "deadline passed")
		}
		if !a.ran {
			return codes.New(codes.DeadlineMissed, "while connecting")
		}
		return codes.New(codes.UpstreamUnknown, "deadline passed")
	}
	return nil
}

// mayRepeat reports whether the request may be sent to another upstream although this one may have run it.
func (a *try) mayRepeat() bool {
	r := a.call.Route
	if !r.Repeatable() || a.sent >= r.MaxAttempts {
		return false
	}
	return !a.begun || r.Kind == fleet.Stream && a.events.resumable()
}

// answered passes the answer on, or decides what follows from it.
func (a *try) answered(r *conns.Response) (bool, error) {
	verdict := a.relay.dialect.Judge(r.Status, r.Header)
	if verdict == NotRun || verdict == Misplaced {
		_, err := io.Copy(io.Discard, io.LimitReader(r, bufferedAnswer))
		result := pick.Refused
		if verdict == Misplaced {
			result = pick.Missing
		}
		a.relay.control.End(a.ticket, result)
		detail := "status " + strconv.Itoa(r.Status)
		if err != nil {
			detail += ": " + err.Error()
		}
		return true, codes.New(codes.UpstreamRefused, detail)
	}
	a.ran = true
	a.sent++
	if verdict == Garbled {
		return a.broken(errGarbled)
	}
	if verdict == Failing && a.mayRepeat() && a.relay.control.Repeat(a.call.Service) {
		a.granted = true
		a.relay.control.End(a.ticket, pick.Errored)
		return true, codes.New(codes.UpstreamFailed, "status "+strconv.Itoa(r.Status))
	}
	if a.call.Route.Kind == fleet.Stream && r.Status < http.StatusMultipleChoices {
		return a.stream(r)
	}
	return a.whole(r, verdict)
}

// broken decides on an answer that is not whole.
func (a *try) broken(err error) (bool, error) {
	if left := a.left(); left != nil {
		return false, left
	}
	result := pick.Broken
	if errors.Is(context.Cause(a.ctx), errSilent) {
		result, err = pick.Silent, errSilent
	}
	a.relay.control.End(a.ticket, result)
	if a.mayRepeat() {
		a.end.Resumed++
		return true, codes.New(codes.StreamBroken, err.Error())
	}
	if a.begun {
		return false, codes.New(codes.StreamBroken, err.Error())
	}
	return false, codes.New(codes.UpstreamFailed, err.Error())
}

// whole passes on an answer that is not a stream. It is read to its end first, so that a broken one never looks whole.
func (a *try) whole(r *conns.Response, verdict Verdict) (bool, error) {
	body, err := io.ReadAll(io.LimitReader(r, bufferedAnswer))
	if err == nil {
		err = r.Surplus()
	}
	if err != nil {
		return a.broken(err)
	}
	a.head(r, int64(len(body)) < bufferedAnswer, int64(len(body)))
	if _, err := a.writer.Write(body); err != nil {
		a.relay.control.End(a.ticket, pick.Served)
		return false, codes.New(codes.CallerLeft, err.Error())
	}
	if len(body) == bufferedAnswer {
		if _, err := io.Copy(a.writer, r); err != nil {
			return a.broken(err)
		}
	}
	result := pick.Served
	if verdict == Failing {
		result = pick.Errored
	}
	a.relay.control.First(a.ticket)
	a.relay.control.End(a.ticket, result)
	return false, nil
}

// head sends the head of the upstream's answer.
func (a *try) head(r *conns.Response, whole bool, length int64) {
	h := a.writer.Header()
	closing := h.Get("Connection")
	clear(h)
	for name, values := range r.Header {
		h[name] = values
	}
	framed := h.Get("Content-Length")
	conns.StripHop(h)
	switch {
	case whole:
		h.Set("Content-Length", strconv.FormatInt(length, 10))
		if a.query.Method == http.MethodHead && framed != "" {
			h.Set("Content-Length", framed)
		}
	case framed != "" && a.call.Route.Kind != fleet.Stream: // A stream that is resumed may be framed otherwise.
		h.Set("Content-Length", framed)
	}
	if _, ok := h["Content-Type"]; !ok {
		h["Content-Type"] = nil // The server would guess one.
	}
	if closing != "" {
		h.Set("Connection", closing)
	}
	a.writer.WriteHeader(r.Status)
	a.begun = true
	a.end.Status = r.Status
	a.end.First = time.Since(a.call.Arrived)
}
