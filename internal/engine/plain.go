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

const idempotencyKeyHeader = "Idempotency-Key"

type (
	// PlainRequest is one call to a plain service.
	PlainRequest struct {
		Address        string
		Method         string
		Path           string // includes the query string
		ContentType    string
		IdempotencyKey string // may be empty
		Body           []byte
		Timeout        time.Duration
		MaxReplyBytes  int64 // maximum size of the response body
	}

	// PlainResponse is the complete response of a plain service.
	PlainResponse struct {
		Status      int
		ContentType string
		Body        []byte
	}

	// opaqueReader hides the type of the body from net/http, which could otherwise rewind it and retry the request.
	opaqueReader struct{ io.Reader }
)

// CallPlain sends the call at most once. The outcome of an error states whether the service may have run the call.
func (c *Client) CallPlain(ctx context.Context, q PlainRequest) (PlainResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, q.Timeout)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, q.Method, "http://"+q.Address+q.Path, opaqueReader{bytes.NewReader(q.Body)})
	if err != nil {
		return PlainResponse{}, errors.Wrap(err, "create service request")
	}
	r.ContentLength = int64(len(q.Body))
	if len(q.Body) == 0 {
		r.Body = http.NoBody
	}
	if q.ContentType != "" {
		r.Header.Set("Content-Type", q.ContentType)
	}
	if q.IdempotencyKey != "" {
		r.Header.Set(idempotencyKeyHeader, q.IdempotencyKey)
	}
	c.injectTrace(ctx, r.Header)
	resp, err := c.plain.Do(r)
	if err != nil {
		return PlainResponse{}, Classify(err)
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.Header.Get(wire.HeaderNotRun) == "true" {
		return PlainResponse{}, codes.New(codes.UpstreamRefused, resp.Status).WithRetryAfter(wire.RetryAfter(resp.Header))
	}
	b, err := io.ReadAll(io.LimitReader(resp.Body, q.MaxReplyBytes+1))
	if err != nil {
		return PlainResponse{}, codes.New(codes.UpstreamUnknown, err.Error())
	}
	if int64(len(b)) > q.MaxReplyBytes {
		return PlainResponse{}, codes.New(codes.UpstreamFailed, "response of the service is too large")
	}
	return PlainResponse{resp.StatusCode, resp.Header.Get("Content-Type"), b}, nil
}
