package relay

import (
	"io"
	"net/http"

	"github.com/cockroachdb/errors"

	"github.com/fireflycleat/fireflycleat/internal/conns"
	"github.com/fireflycleat/fireflycleat/internal/intake"
	"github.com/fireflycleat/fireflycleat/pkg/codes"
)

const (
	// firstBodyPart is the size of the first part of a body; each further one is larger by bodyPartGrowth, up to maxBodyPart. A body is
	// charged part by part: its announced length says nothing about what the client will send.
	firstBodyPart  = 4 << 10
	bodyPartGrowth = 4
	maxBodyPart    = 64 << 10
	// firstResponsePart is the size of the first buffer for a response of unknown length; it is not charged.
	firstResponsePart = 2 << 10
)

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
	c := x.intakeOf()
	err := x.readParts(c, limit)
	if in := c.EndBody(); !in && !codes.Is(err, codes.OverMemory) {
		err = codes.New(codes.TooSlow, "body made no progress").WithField("body")
	}
	if err != nil {
		x.body = nil
		x.writer.Header().Set("Connection", "close")
		c.Refuse()
	}
	return err
}

func (x *exchange) readParts(c *intake.Conn, limit int64) error {
	length := x.request.ContentLength
	if length > limit {
		return tooLarge(limit)
	}
	remaining := limit + 1
	if length >= 0 {
		remaining = length + 1 // One byte more than expected shows the end of the body.
	}
	for size := int64(firstBodyPart); ; size = min(size*bodyPartGrowth, maxBodyPart) {
		size = min(size, remaining)
		if err := c.Reserve(x.caller.ctx, size); err != nil {
			return err
		}
		part := make([]byte, size)
		filled := 0
		for filled < len(part) {
			n, err := x.request.Body.Read(part[filled:])
			filled += n
			if errors.Is(err, io.EOF) {
				x.body = append(x.body, part[:filled])
				return nil
			}
			if err != nil {
				return codes.New(codes.BadRequest, err.Error()).WithField("body")
			}
		}
		x.body = append(x.body, part)
		if remaining -= size; remaining == 0 {
			return tooLarge(limit)
		}
	}
}

func tooLarge(limit int64) error {
	return codes.Newf(codes.TooLarge, "more than %d bytes", limit).WithField("body")
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
