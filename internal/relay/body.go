package relay

import (
	"io"
	"net/http"
	"strconv"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"

	"github.com/fireflycleat/fireflycleat/internal/conns"
	"github.com/fireflycleat/fireflycleat/internal/intake"
	"github.com/fireflycleat/fireflycleat/pkg/codes"
)

// firstResponsePart is the size of the first buffer for a response of unknown length; it is not charged.
const firstResponsePart = 2 << 10

// intakeOf returns the account of the caller's connection, which may be nil.
func (x *exchange) intakeOf() *intake.Conn {
	if x.relay.control.Intake == nil {
		return nil
	}
	return x.relay.control.Intake(x.request)
}

// readBody reads the body of the request. If it fails, the rest of the body is not read and the connection ends with the response.
func (x *exchange) readBody(limit int64) error {
	if x.request.Body == nil || x.request.Body == http.NoBody {
		return nil
	}
	var err error
	x.body, err = x.intakeOf().ReadBody(x.caller.ctx, intake.Body{Reader: x.request.Body, Length: x.request.ContentLength, Limit: limit})
	if err != nil {
		x.writer.Header().Set("Connection", "close")
		if !codes.Is(err, codes.OverMemory) {
			err = codes.From(err).WithField("body")
		}
	}
	return err
}

// digest returns a hash of what a caller's repeats of the request have in common: its method, host, path, query, team, model, prompt and body.
func (x *exchange) digest(h RequestHeaders) uint64 {
	var d xxhash.Digest
	d.Reset()
	prompt := strconv.FormatUint(h.Whole, 16)
	for _, text := range []string{x.request.Method, x.request.Host, x.request.RequestURI, x.call.Team.Name, h.Key.Model, h.Key.Adapter, prompt} {
		_, _ = d.WriteString(text)
		_, _ = d.WriteString("\x00")
	}
	for _, part := range x.body {
		_, _ = d.Write(part)
	}
	return d.Sum64()
}

// readBuffered reads up to maxBufferedBody bytes of a response, fewer if the host is short of memory. It reports whether that was the whole
// response.
func (x *exchange) readBuffered(r *conns.Response) (body []byte, complete bool, err error) {
	c := x.intakeOf()
	size := int64(firstResponsePart)
	if r.Length >= 0 {
		size = min(r.Length+1, maxBufferedBody) // One byte more than expected shows the end of the body.
	}
	if size > firstResponsePart && !c.ReserveResponse(size) {
		size = firstResponsePart
	}
	body = make([]byte, 0, size)
	for {
		n, err := r.Read(body[len(body):cap(body)])
		body = body[:len(body)+n]
		if errors.Is(err, io.EOF) {
			return body, true, nil
		}
		if err != nil {
			return nil, false, err
		}
		if len(body) < cap(body) {
			continue
		}
		if len(body) >= maxBufferedBody || !c.ReserveResponse(int64(len(body))) {
			return body, false, nil
		}
		grown := make([]byte, len(body), min(2*len(body), maxBufferedBody))
		copy(grown, body)
		body = grown
	}
}
