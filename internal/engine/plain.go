package engine

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/fireflycleat/fireflycleat/internal/wire"
	"github.com/fireflycleat/fireflycleat/pkg/codes"
)

const keyHeader = "Idempotency-Key"

type (
	// PlainRequest is one call to a plain service.
	PlainRequest struct {
		Address     string
		Method      string
		Path        string // Path includes the query.
		ContentType string
		Key         string
		Body        []byte
		Timeout     time.Duration
		MaxReply    int64
	}

	// PlainAnswer is the whole answer of a plain service.
	PlainAnswer struct {
		Status      int
		ContentType string
		Body        []byte
	}

	// onceReader hides the concrete reader from net/http, which otherwise could send the body again by itself.
	onceReader struct{ io.Reader }
)

// Plain sends the call exactly once. The outcome class of an error tells whether the service ran it.
func (c *Client) Plain(ctx context.Context, q PlainRequest) (PlainAnswer, error) {
	ctx, cancel := context.WithTimeout(ctx, q.Timeout)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, q.Method, "http://"+q.Address+q.Path, onceReader{bytes.NewReader(q.Body)})
	if err != nil {
		return PlainAnswer{}, errors.Wrap(err, "service request")
	}
	r.ContentLength = int64(len(q.Body))
	if len(q.Body) == 0 {
		r.Body = http.NoBody
	}
	if q.ContentType != "" {
		r.Header.Set("Content-Type", q.ContentType)
	}
	if q.Key != "" {
		r.Header.Set(keyHeader, q.Key)
	}
	c.inject(ctx, r.Header)
	answer, err := c.plain.Do(r)
	if err != nil {
		return PlainAnswer{}, Classify(err)
	}
	defer func() { _ = answer.Body.Close() }()
	if answer.Header.Get(wire.HeaderNotRun) == "true" {
		return PlainAnswer{}, codes.New(codes.UpstreamRefused, answer.Status).WithRetryAfter(wire.RetryAfter(answer.Header))
	}
	b, err := io.ReadAll(io.LimitReader(answer.Body, q.MaxReply+1))
	if err != nil {
		return PlainAnswer{}, codes.New(codes.UpstreamUnknown, err.Error())
	}
	if int64(len(b)) > q.MaxReply {
		return PlainAnswer{}, codes.New(codes.UpstreamFailed, "answer of the service is too large")
	}
	return PlainAnswer{answer.StatusCode, answer.Header.Get("Content-Type"), b}, nil
}
