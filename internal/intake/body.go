package intake

import (
	"context"
	"io"
	"os"

	"github.com/cockroachdb/errors"

	"github.com/fireflycleat/fireflycleat/pkg/codes"
)

const (
	// firstBodyPart is the size of the first part of a body; each further one is larger by bodyPartGrowth, up to maxBodyPart. A body is
	// charged part by part: its announced length says nothing about what the client will send.
	firstBodyPart  = 4 << 10
	bodyPartGrowth = 4
	maxBodyPart    = 64 << 10
)

// Body describes the body of a request.
type Body struct {
	Reader io.Reader
	Length int64 // -1 means unknown
	Limit  int64 // maximum number of bytes
	Copies int64 // how often the body is held in memory, which is charged; at least 1
}

// ReadBody reads the whole body, each part after it was charged. If it fails, nothing more is read from the connection.
func (c *Conn) ReadBody(ctx context.Context, b Body) ([][]byte, error) {
	parts, err := c.readParts(ctx, b)
	if in := c.EndBody(); !in && !codes.Is(err, codes.OverMemory) {
		err = codes.New(codes.TooSlow, "body made no progress")
	}
	if err != nil {
		c.Refuse()
		return nil, err
	}
	return parts, nil
}

func (c *Conn) readParts(ctx context.Context, b Body) (parts [][]byte, err error) {
	if b.Length > b.Limit {
		return nil, tooLarge(b.Limit)
	}
	remaining := b.Limit + 1
	if b.Length >= 0 {
		remaining = b.Length + 1 // One byte more than expected shows the end of the body.
	}
	for size := int64(firstBodyPart); ; size = min(size*bodyPartGrowth, maxBodyPart) {
		size = min(size, remaining)
		if err := c.Reserve(ctx, size*max(1, b.Copies)); err != nil {
			return nil, err
		}
		part := make([]byte, size)
		filled := 0
		for filled < len(part) {
			n, err := b.Reader.Read(part[filled:])
			filled += n
			if errors.Is(err, io.EOF) {
				if int64(filled) == remaining { // A reader may return the end together with the last byte.
					return nil, tooLarge(b.Limit)
				}
				return append(parts, part[:filled]), nil
			}
			if errors.Is(err, os.ErrDeadlineExceeded) {
				return nil, codes.New(codes.TooSlow, "body did not arrive in time")
			}
			if err != nil {
				return nil, codes.New(codes.BadRequest, err.Error())
			}
		}
		parts = append(parts, part)
		if remaining -= size; remaining == 0 {
			return nil, tooLarge(b.Limit)
		}
	}
}

func tooLarge(limit int64) error {
	return codes.Newf(codes.TooLarge, "more than %d bytes", limit)
}
