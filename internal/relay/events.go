package relay

import (
	"bytes"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/fireflycleat/fireflycleat/internal/conns"
	"github.com/fireflycleat/fireflycleat/pkg/codes"
	"github.com/fireflycleat/fireflycleat/pkg/pick"
)

const (
	streamBufferSize = 4 << 10
	maxEventSize     = 256 << 10
	// smallEvent is the size up to which an event is not charged, and largeEventBytes what is charged for a larger one: its bytes are held twice.
	smallEvent      = 16 << 10
	largeEventBytes = 2 * maxEventSize
	// minRegularIDs is the number of ids in equal steps after which a resumed stream has to go on by the same step. Ids only have to
	// increase, so that few equal steps may be chance.
	minRegularIDs = 4
)

// events splits a stream into complete events, so that a stream that breaks within an event can be resumed at another
// upstream.
type events struct {
	partial   []byte
	lastID    string // id of the last complete event
	count     int    // number of complete events
	missingID bool   // whether an event without an id was sent to the caller; the stream cannot be resumed then
	onEvent   func() // called for each chunk that completes an event with a new id; may be nil
	joining   bool   // whether the next event is the first one of an attempt to resume
	idCount   int    // number of ids
	step      int64  // difference of successive ids; zero if it is unknown or varies
}

var (
	errEventTooLong = codes.Newf(codes.EndlessResponse, "event exceeds %d bytes", maxEventSize)
	errNoEvent      = errors.New("stream contains bytes that are not an event")
	errWrongEvent   = errors.New("resumed stream does not continue after the last event")
	idPrefix        = []byte("id:")
	lineEnd         = []byte("\n")
	byteOrderMark   = []byte("\xef\xbb\xbf")
)

// push appends a chunk and returns the events that it completes.
func (e *events) push(b []byte) ([]byte, error) {
	e.partial = append(e.partial, b...)
	end := completeLength(e.partial)
	if end == 0 {
		if len(e.partial) > maxEventSize {
			return nil, errEventTooLong
		}
		return nil, nil
	}
	complete := bytes.Clone(e.partial[:end])
	if err := e.checkEvents(complete); err != nil {
		return nil, err
	}
	e.partial = append(e.partial[:0], e.partial[end:]...)
	last, count := e.lastID, e.count
	e.recordIDs(complete)
	// Comments, blank lines and repeated ids are no progress: a stalled stream may consist of them.
	if e.onEvent != nil && e.count > count && (e.lastID != last || e.missingID) {
		e.onEvent()
	}
	return complete, nil
}

// checkEvents returns an error for complete events that must not be sent to the caller.
func (e *events) checkEvents(b []byte) error {
	last, hasLast := eventNumber(e.lastID)
	hasID, hasField := false, false
	if e.count == 0 {
		b = bytes.TrimPrefix(b, byteOrderMark)
	}
	for line := range bytes.SplitSeq(b, lineEnd) {
		line = bytes.TrimSuffix(line, []byte("\r"))
		if !validLine(line) {
			return errNoEvent
		}
		if !e.joining {
			continue
		}
		switch {
		case len(line) == 0 && hasField:
			if !hasID {
				return errWrongEvent
			}
			e.joining = false
		case bytes.HasPrefix(line, idPrefix):
			hasID, hasField = true, true
			id := string(bytes.TrimSpace(line[len(idPrefix):]))
			next, ok := eventNumber(id)
			if id == e.lastID || hasLast && (!ok || next <= last || e.step > 0 && e.idCount >= minRegularIDs && next != last+e.step) {
				return errWrongEvent
			}
		case len(line) > 0 && line[0] != ':':
			hasField = true
		}
	}
	return nil
}

// validLine reports whether a line is blank, a comment or a field. The head of another response, which an upstream may write into a stream
// without chunks, consists of none of these.
func validLine(line []byte) bool {
	name, _, _ := bytes.Cut(line, []byte(":"))
	return !bytes.ContainsFunc(name, func(r rune) bool { return (r < 'a' || r > 'z') && (r < '0' || r > '9') && r != '-' && r != '_' })
}

// insideEvent reports whether b, which follows complete events, contains a part of an event.
func insideEvent(b []byte) bool {
	for line := range bytes.SplitSeq(b, lineEnd) {
		if line = bytes.TrimSuffix(line, []byte("\r")); len(line) > 0 && line[0] != ':' {
			return true
		}
	}
	return false
}

func eventNumber(id string) (int64, bool) {
	n, err := strconv.ParseInt(id, 10, 64)
	return n, err == nil
}

// completeLength returns the length of the complete events at the start of b.
func completeLength(b []byte) int {
	end := 0
	if i := bytes.LastIndex(b, []byte("\n\n")); i >= 0 {
		end = i + 2
	}
	if i := bytes.LastIndex(b, []byte("\n\r\n")); i >= 0 {
		end = max(end, i+3)
	}
	return end
}

// recordIDs counts complete events and records the last id.
func (e *events) recordIDs(b []byte) {
	hasID, hasField := false, false
	for line := range bytes.SplitSeq(b, lineEnd) {
		line = bytes.TrimSuffix(line, []byte("\r"))
		switch {
		case len(line) == 0:
			if hasField {
				e.count++
				e.missingID = e.missingID || !hasID
			}
			hasID, hasField = false, false
		case bytes.HasPrefix(line, idPrefix):
			e.recordID(string(bytes.TrimSpace(line[len(idPrefix):])))
			hasID, hasField = true, true
		case line[0] != ':':
			hasField = true
		}
	}
}

// recordID records the id of the next event and learns the step between ids.
func (e *events) recordID(id string) {
	last, hadLast := eventNumber(e.lastID)
	next, ok := eventNumber(id)
	switch {
	case !hadLast:
	case !ok || e.idCount > 1 && next-last != e.step:
		e.step = 0
	default:
		e.step = next - last
	}
	e.lastID = id
	e.idCount++
}

// resumable reports whether another upstream can continue after the events sent so far.
func (e *events) resumable() bool { return !e.missingID && (e.count == 0 || e.lastID != "") }

// beginAttempt discards the incomplete event of an earlier attempt and expects the events after its last complete one.
func (e *events) beginAttempt() {
	e.partial, e.joining = e.partial[:0], e.count > 0
}

// relayStream relays the events of a response as they arrive. The headers are sent with the first event, so that an upstream
// that fails before its first event can be replaced without the caller noticing.
func (a *attempt) relayStream(r *conns.Response) (bool, error) {
	a.events.beginAttempt()
	flush := http.NewResponseController(a.writer).Flush
	buffer := make([]byte, streamBufferSize)
	charged := false
	defer func() {
		if charged {
			a.intakeOf().ReleaseResponse(largeEventBytes)
		}
	}()
	for {
		n, err := r.Read(buffer)
		if n > 0 {
			if !charged && len(a.events.partial)+n > smallEvent {
				if waitErr := a.intakeOf().AwaitResponse(a.ctx, largeEventBytes); waitErr != nil {
					return a.handleBroken(waitErr)
				}
				charged = true
			}
			complete, pushErr := a.events.push(buffer[:n])
			switch {
			case errors.Is(pushErr, errNoEvent) || errors.Is(pushErr, errWrongEvent):
				return a.handleWrongStream(pushErr)
			case pushErr != nil:
				return a.handleBroken(pushErr)
			}
			if len(complete) > 0 {
				if sendErr := a.sendEvents(r, complete, flush); sendErr != nil {
					return false, sendErr
				}
			}
			if charged && len(a.events.partial) <= smallEvent {
				a.events.partial = bytes.Clone(a.events.partial) // Its capacity is that of the large event.
				a.intakeOf().ReleaseResponse(largeEventBytes)
				charged = false
			}
		}
		switch {
		case errors.Is(err, io.EOF):
			return a.finishStream(r)
		case err != nil:
			return a.handleBroken(errors.Wrap(err, errTruncated.Error()))
		}
	}
}

// sendEvents sends complete events to the caller and flushes them.
func (a *attempt) sendEvents(r *conns.Response, complete []byte, flush func() error) error {
	if a.firstAt.IsZero() {
		a.firstAt = time.Now()
		a.release()
		a.relay.control.RecordFirst(a.ticket)
	}
	a.caller.touch()
	if !a.headSent {
		a.writeHead(r, false, 0)
	}
	_, err := a.writer.Write(complete)
	if err == nil {
		err = flush()
	}
	now := time.Now()
	a.ticket.Attempt.Touch(now)
	if !a.lastSent.IsZero() {
		a.summary.LongestPause = max(a.summary.LongestPause, now.Sub(a.lastSent))
	}
	a.lastSent = now
	a.summary.Events = a.events.count
	if err != nil {
		a.relay.control.EndAttempt(a.ticket, pick.Abandoned)
		return codes.New(codes.CallerLeft, err.Error())
	}
	return nil
}

// finishStream ends a stream after the end of the response body.
func (a *attempt) finishStream(r *conns.Response) (bool, error) {
	// Without a length or chunks, a response that broke off before its first event looks like one without events.
	if insideEvent(a.events.partial) || r.CloseDelimited && a.events.count == a.eventsBefore {
		return a.handleBroken(errTruncated)
	}
	if err := r.CheckTrailingData(); err != nil && !a.headSent {
		return a.handleBroken(err)
	}
	if !a.headSent {
		a.writeHead(r, false, 0)
	}
	if _, err := a.writer.Write(a.events.partial); err != nil {
		a.relay.control.EndAttempt(a.ticket, pick.Abandoned)
		return false, codes.New(codes.CallerLeft, err.Error())
	}
	a.relay.control.EndAttempt(a.ticket, pick.Served)
	if a.events.count > a.eventsBefore {
		a.relay.control.Sound(a.call, a.ticket, Completion{a.firstAt.Sub(a.headAt), time.Since(a.firstAt), r.CloseDelimited})
	}
	return false, nil
}
