package relay

import (
	"bytes"
	"io"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/fireflycleat/fireflycleat/internal/conns"
	"github.com/fireflycleat/fireflycleat/pkg/codes"
	"github.com/fireflycleat/fireflycleat/pkg/pick"
)

const (
	streamBuffer = 4 << 10
	maxEvent     = 1 << 20
)

// events splits a stream into whole events, so that a break in the middle of one can be mended by another upstream.
type events struct {
	rest    []byte
	last    string // last is the id of the last whole event.
	count   int
	broken  bool   // broken tells that an event without an id was passed on, so that the stream cannot be resumed.
	onEvent func() // onEvent is called for each piece with an event; it may be nil.
}

var (
	errLongEvent = errors.New("event is too long")
	idField      = []byte("id:")
	lineEnd      = []byte("\n")
)

// take appends bytes and returns those that complete events; they are valid until the next call.
func (e *events) take(b []byte) ([]byte, error) {
	e.rest = append(e.rest, b...)
	end := lastEvent(e.rest)
	if end == 0 {
		if len(e.rest) > maxEvent {
			return nil, errLongEvent
		}
		return nil, nil
	}
	whole := bytes.Clone(e.rest[:end])
	e.rest = append(e.rest[:0], e.rest[end:]...)
	e.scan(whole)
	if e.onEvent != nil {
		e.onEvent()
	}
	return whole, nil
}

// lastEvent returns the length of the whole events.
func lastEvent(b []byte) int {
	end := 0
	if i := bytes.LastIndex(b, []byte("\n\n")); i >= 0 {
		end = i + 2
	}
	if i := bytes.LastIndex(b, []byte("\n\r\n")); i >= 0 {
		end = max(end, i+3)
	}
	return end
}

// scan notes the ids of whole events.
func (e *events) scan(b []byte) {
	hasID, hasField := false, false
	for line := range bytes.SplitSeq(b, lineEnd) {
		line = bytes.TrimSuffix(line, []byte("\r"))
		switch {
		case len(line) == 0:
			if hasField {
				e.count++
				e.broken = e.broken || !hasID
			}
			hasID, hasField = false, false
		case bytes.HasPrefix(line, idField):
			e.last = string(bytes.TrimSpace(line[len(idField):]))
			hasID, hasField = true, true
		case line[0] != ':':
			hasField = true
		}
	}
}

// resumable reports whether another upstream can go on after the events that were passed on.
func (e *events) resumable() bool { return !e.broken && (e.count == 0 || e.last != "") }

// reset drops the part of an event that an attempt left behind.
func (e *events) reset() { e.rest = e.rest[:0] }

// stream passes the events of an answer on as they arrive. The head follows the first event, so that an upstream that fails
// before it can be replaced unseen.
func (a *try) stream(r *conns.Response) (bool, error) {
	a.events.reset()
	flush := http.NewResponseController(a.writer).Flush
	buffer := make([]byte, streamBuffer)
	for {
		n, err := r.Read(buffer)
		if n > 0 {
			whole, bad := a.events.take(buffer[:n])
			if bad != nil {
				return a.broken(bad)
			}
			if len(whole) > 0 {
				if bad := a.pass(r, whole, flush); bad != nil {
					return false, bad
				}
			}
		}
		switch {
		case errors.Is(err, io.EOF):
			return a.streamed(r)
		case err != nil:
			return a.broken(errors.Wrap(err, errMissing.Error()))
		}
	}
}

// pass sends whole events to the caller.
func (a *try) pass(r *conns.Response, whole []byte, flush func() error) error {
	if !a.first {
		a.first = true
		a.relay.control.First(a.ticket)
	}
	if !a.begun {
		a.head(r, false, 0)
	}
	_, err := a.writer.Write(whole)
	if err == nil {
		err = flush()
	}
	now := time.Now()
	a.ticket.Flight.Touch(now)
	if !a.passed.IsZero() {
		a.end.Pause = max(a.end.Pause, now.Sub(a.passed))
	}
	a.passed = now
	a.end.Events = a.events.count
	if err != nil {
		a.relay.control.End(a.ticket, pick.Left)
		return codes.New(codes.CallerLeft, err.Error())
	}
	return nil
}

// streamed ends a stream whose body is whole.
func (a *try) streamed(r *conns.Response) (bool, error) {
	if r.Unframed && len(a.events.rest) > 0 {
		return a.broken(errMissing)
	}
	if err := r.Surplus(); err != nil && !a.begun {
		return a.broken(err)
	}
	if !a.begun {
		a.head(r, false, 0)
	}
	if _, err := a.writer.Write(a.events.rest); err != nil {
		a.relay.control.End(a.ticket, pick.Left)
		return false, codes.New(codes.CallerLeft, err.Error())
	}
	a.relay.control.End(a.ticket, pick.Served)
	return false, nil
}
