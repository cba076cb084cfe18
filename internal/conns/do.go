package conns

import (
	"context"
	"io"
	"net/http"
	"net/textproto"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/fireflycleat/fireflycleat/pkg/codes"
)

const (
	// maxMismatched is the number of responses to earlier requests that are discarded before the connection is closed.
	maxMismatched = 2
	// maxMismatchedBytes limits how much of the body of such a response is read.
	maxMismatchedBytes = 1 << 20
	// maxHeadBytes limits the bytes of a response before its body, interim (1xx) responses included. An upstream in trouble may send
	// a head without end, which would otherwise fill the memory of the host.
	maxHeadBytes = 64 << 10
	// maxStatus is the highest status of HTTP.
	maxStatus = 599
	// maxCopiedBody is the size up to which a body is copied behind the head of its request, which saves writes.
	maxCopiedBody = 64 << 10
)

type (
	// Request is an HTTP request. It is sent at most once.
	Request struct {
		Address string
		Method  string
		Target  string // path and query, encoded as sent
		Host    string
		Header  http.Header
		Body    [][]byte      // parts of the body
		HasBody bool          // whether the request has a body, possibly an empty one; Content-Length is then always sent
		MaxIdle time.Duration // maximum idle time of a reused connection; zero always opens a new one
		// Echo is the name of a header with an id that the response must return with the same value as in the request. If the request has
		// no such header, the response must have none either, and the connection must not have carried another such response. Empty
		// disables the check.
		Echo string
		// AllowEarlier lets a request without an id use a connection that has carried a response without one. If the upstream writes that
		// response once more, it is taken for the response to this request.
		AllowEarlier bool
		// Permit is called when a connection is ready, just before the first byte is sent. If it returns false, nothing is sent. It may
		// be nil. A process may be paused between the decision to send a request and this moment.
		Permit func() bool
	}

	// Response is a response whose body is still to be read. The caller must call Close.
	Response struct {
		Status int
		Header http.Header
		// Length is the body length in bytes, or -1 if it is unknown before the end of the body.
		Length int64
		// CloseDelimited is set when the body ends with the connection. A truncated body cannot be recognised then.
		CloseDelimited bool

		body       io.ReadCloser
		conn       *conn
		pool       *Pool
		stopCancel func() bool
		complete   bool
		reusable   bool
		closed     bool
	}

	// Failure is the error of a request without a usable response.
	Failure struct {
		Sent bool // whether at least one byte of the request may have reached the upstream
		err  error
	}
)

// ErrNotPermitted is the cause of a Failure when Request.Permit returned false; nothing was sent.
var ErrNotPermitted = errors.New("request is no longer permitted")

var (
	errMismatched   = errors.New("responses belong to other requests")
	errTrailingData = errors.New("unexpected data after the response body")
	errEndlessHead  = codes.Newf(codes.EndlessResponse, "head of the response exceeds %d bytes", maxHeadBytes)
	errEndlessBody  = codes.Newf(codes.EndlessResponse, "body of a response to an earlier request exceeds %d bytes", maxMismatchedBytes)
)

// Error returns the message of the cause.
func (f *Failure) Error() string { return f.err.Error() }

// Unwrap returns the cause.
func (f *Failure) Unwrap() error { return f.err }

// Do sends the request and returns the response. Every error is a *Failure. When ctx ends, the connection is closed, even
// while the body is being read.
func (p *Pool) Do(ctx context.Context, q *Request) (*Response, error) {
	c, err := p.get(ctx, q)
	if err != nil {
		return nil, &Failure{false, err}
	}
	stop := context.AfterFunc(ctx, func() { _ = c.Close() })
	fail := func(sent bool, err error) (*Response, error) {
		stop()
		_ = c.Close()
		if ctx.Err() != nil {
			err = ctx.Err()
		}
		return nil, &Failure{sent, err}
	}
	message, rest := q.encode()
	if q.Permit != nil && !q.Permit() {
		return fail(false, ErrNotPermitted)
	}
	n, err := c.Write(message)
	if err != nil {
		return fail(n > 0, err)
	}
	for _, part := range rest {
		if _, err := c.Write(part); err != nil {
			return fail(true, err)
		}
	}
	for mismatched := 0; ; mismatched++ {
		r, err := c.readResponse(q)
		if err != nil {
			return fail(true, err)
		}
		matches := q.Echo == "" || r.Header.Get(q.Echo) == q.id()
		if matches {
			c.recordResponse(q, r.StatusCode)
			return p.newResponse(c, r, stop, mismatched == 0), nil
		}
		if mismatched == maxMismatched {
			return fail(true, errMismatched)
		}
		skipped, err := io.Copy(io.Discard, io.LimitReader(r.Body, maxMismatchedBytes))
		if skipped == maxMismatchedBytes {
			return fail(true, errEndlessBody)
		}
		if err != nil || r.Close {
			return fail(true, errors.CombineErrors(errMismatched, err))
		}
	}
}

// id returns the value of the request's Echo header.
func (q *Request) id() string { return q.Header.Get(q.Echo) }

// CheckStatus returns an UpstreamUnknown error for a status that no final response has. What came with such a status is no response.
func CheckStatus(status int) error {
	if status < http.StatusOK || status > maxStatus {
		return codes.Newf(codes.UpstreamUnknown, "response has the status %03d", status)
	}
	return nil
}

// readResponse reads the status line and headers of the next response and skips interim (1xx) ones. It fails with errEndlessHead if
// they exceed maxHeadBytes.
func (c *conn) readResponse(q *Request) (*http.Response, error) {
	c.input.headBytes = maxHeadBytes
	defer func() { c.input.headBytes = unlimited }()
	for {
		r, err := http.ReadResponse(c.reader, &http.Request{Method: q.Method})
		if err != nil {
			return nil, err
		}
		isInterim := r.StatusCode >= http.StatusContinue && r.StatusCode < http.StatusOK
		if isInterim && r.StatusCode != http.StatusSwitchingProtocols { // No request asks to switch protocols.
			continue
		}
		return r, CheckStatus(r.StatusCode)
	}
}

func (p *Pool) newResponse(c *conn, r *http.Response, stop func() bool, reusable bool) *Response {
	c.idleLimit = parseKeepAlive(r.Header.Get("Keep-Alive"))
	closeDelimited := r.ContentLength < 0 && len(r.TransferEncoding) == 0 && r.Body != http.NoBody
	return &Response{
		Status: r.StatusCode, Header: r.Header, Length: r.ContentLength, CloseDelimited: closeDelimited,
		body: r.Body, conn: c, pool: p, stopCancel: stop, reusable: reusable && !r.Close && !closeDelimited, complete: r.Body == http.NoBody,
	}
}

// Read reads the body. It returns io.EOF only after the complete body.
func (r *Response) Read(b []byte) (int, error) {
	n, err := r.body.Read(b)
	if errors.Is(err, io.EOF) {
		r.complete = true
	}
	return n, err
}

// ReadAll reads the whole body. It fails with an EndlessResponse error if the body has more than limit bytes.
func (r *Response) ReadAll(limit int64) ([]byte, error) {
	data, err := io.ReadAll(io.LimitReader(r, limit+1))
	if err == nil && int64(len(data)) > limit {
		err = codes.Newf(codes.EndlessResponse, "body exceeds %d bytes", limit)
	}
	return data, err
}

// Close releases the response. The connection returns to the pool if the complete body was read, nothing follows it and the
// context has not ended; otherwise it is closed.
func (r *Response) Close() {
	if r.closed {
		return
	}
	r.closed = true
	active := r.stopCancel()
	if active && r.complete && r.reusable && r.conn.reader.Buffered() == 0 {
		r.pool.put(r.conn)
		return
	}
	_ = r.conn.Close()
}

// CheckTrailingData returns an error if the complete body is followed by bytes, which then belong to no request.
func (r *Response) CheckTrailingData() error {
	if r.complete && r.conn.reader.Buffered() > 0 {
		return errTrailingData
	}
	return nil
}

// encode returns the request in the wire format of HTTP/1.1, without the parts of the body that are returned as rest: a large body is not copied.
func (q *Request) encode() (message []byte, rest [][]byte) {
	length := 0
	for _, part := range q.Body {
		length += len(part)
	}
	copied := length
	if length > maxCopiedBody {
		copied = 0
	}
	b := make([]byte, 0, 512+copied)
	b = append(b, q.Method...)
	b = append(b, ' ')
	b = append(b, q.Target...)
	b = append(b, " HTTP/1.1\r\nHost: "...)
	b = append(b, q.Host...)
	b = append(b, "\r\n"...)
	for name, values := range q.Header {
		for _, v := range values {
			b = append(b, name...)
			b = append(b, ": "...)
			b = append(b, v...)
			b = append(b, "\r\n"...)
		}
	}
	if q.HasBody || length > 0 {
		b = append(b, "Content-Length: "...)
		b = strconv.AppendInt(b, int64(length), 10)
		b = append(b, "\r\n"...)
	}
	b = append(b, "\r\n"...)
	if copied < length {
		return b, q.Body
	}
	for _, part := range q.Body {
		b = append(b, part...)
	}
	return b, nil
}

// StripHop removes the hop-by-hop headers and those that define the length of a body.
func StripHop(h http.Header) {
	for _, list := range h["Connection"] {
		for name := range strings.SplitSeq(list, ",") {
			if name = textproto.TrimString(name); name != "" {
				h.Del(name)
			}
		}
	}
	for _, name := range []string{
		"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate", "Proxy-Authorization", "Te", "Trailer",
		"Transfer-Encoding", "Upgrade", "Content-Length", "Expect",
	} {
		delete(h, name)
	}
}
