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
)

const (
	// maxStrays is the number of answers to earlier requests that are passed over on one connection.
	maxStrays = 2
	// strayBytes bounds what is read of such an answer.
	strayBytes = 1 << 20
)

type (
	// Request is a request that is sent once.
	Request struct {
		Address string
		Method  string
		Target  string // Target is the path and query as they go on the wire.
		Host    string
		Header  http.Header
		Body    []byte
		Framed  bool          // Framed tells that the request has a body, which may be empty.
		MaxIdle time.Duration // MaxIdle limits the idle time of a connection that is used again; zero opens a new one.
		// Echo is the name of a header that the answer must repeat with the request's value; empty means none.
		Echo string
	}

	// Response is an answer whose body has not been read. Close must be called.
	Response struct {
		Status int
		Header http.Header
		// Length is the length of the body, or -1 if it is not known before its end.
		Length int64
		// Unframed tells that the body ends with the connection, so that an early end cannot be told from its end.
		Unframed bool

		body   io.ReadCloser
		conn   *conn
		pool   *Pool
		stop   func() bool
		whole  bool
		reuse  bool
		closed bool
	}

	// Failure is the error of a request without a usable answer.
	Failure struct {
		Sent bool // Sent tells that at least one byte of the request may have reached the other side.
		err  error
	}
)

var (
	errStrays  = errors.New("answers belong to other requests")
	errSurplus = errors.New("bytes after the answer")
)

// Error returns the cause.
func (f *Failure) Error() string { return f.err.Error() }

// Unwrap returns the cause.
func (f *Failure) Unwrap() error { return f.err }

// Do sends the request and returns its answer. Every error is a *Failure. The end of the context closes the connection, also
// while the body is read.
func (p *Pool) Do(ctx context.Context, q *Request) (*Response, error) {
	c, err := p.take(ctx, q.Address, q.MaxIdle)
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
	n, err := c.Write(q.encode())
	if err != nil {
		return fail(n > 0, err)
	}
	for strays := 0; ; strays++ {
		r, err := c.answer(q)
		if err != nil {
			return fail(true, err)
		}
		mine := q.Echo == "" || r.Header.Get(q.Echo) == q.Header.Get(q.Echo)
		if mine {
			return p.response(c, r, stop, strays == 0), nil
		}
		if strays == maxStrays {
			return fail(true, errStrays)
		}
		if _, err := io.Copy(io.Discard, io.LimitReader(r.Body, strayBytes)); err != nil || r.Close {
			return fail(true, errors.CombineErrors(errStrays, err))
		}
	}
}

// answer reads the head of the next answer that is not an interim one.
func (c *conn) answer(q *Request) (*http.Response, error) {
	for {
		r, err := http.ReadResponse(c.reader, &http.Request{Method: q.Method})
		if err != nil {
			return nil, err
		}
		if r.StatusCode >= http.StatusOK {
			return r, nil
		}
	}
}

func (p *Pool) response(c *conn, r *http.Response, stop func() bool, sound bool) *Response {
	c.keep = keepTime(r.Header.Get("Keep-Alive"))
	unframed := r.ContentLength < 0 && len(r.TransferEncoding) == 0 && r.Body != http.NoBody
	return &Response{
		Status: r.StatusCode, Header: r.Header, Length: r.ContentLength, Unframed: unframed,
		body: r.Body, conn: c, pool: p, stop: stop, reuse: sound && !r.Close && !unframed, whole: r.Body == http.NoBody,
	}
}

// Read reads the body. It returns io.EOF only at the end of a whole body.
func (r *Response) Read(b []byte) (int, error) {
	n, err := r.body.Read(b)
	if errors.Is(err, io.EOF) {
		r.whole = true
	}
	return n, err
}

// Close ends the use of the answer. A connection whose answer was read to its end is kept.
func (r *Response) Close() {
	if r.closed {
		return
	}
	r.closed = true
	inTime := r.stop()
	if inTime && r.whole && r.reuse && r.conn.reader.Buffered() == 0 {
		r.pool.give(r.conn)
		return
	}
	_ = r.conn.Close()
}

// Surplus reports whether bytes follow the body, which no request has asked for.
func (r *Response) Surplus() error {
	if r.whole && r.conn.reader.Buffered() > 0 {
		return errSurplus
	}
	return nil
}

// encode returns the bytes of the request.
func (q *Request) encode() []byte {
	b := make([]byte, 0, 512+len(q.Body))
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
	if q.Framed || len(q.Body) > 0 {
		b = append(b, "Content-Length: "...)
		b = strconv.AppendInt(b, int64(len(q.Body)), 10)
		b = append(b, "\r\n"...)
	}
	b = append(b, "\r\n"...)
	return append(b, q.Body...)
}

// StripHop removes the headers that concern one connection only, and those that frame a body.
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
