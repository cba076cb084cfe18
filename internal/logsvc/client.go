package logsvc

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/fireflycleat/fireflycleat/internal/telem"
	"github.com/fireflycleat/fireflycleat/internal/wire"
	"github.com/fireflycleat/fireflycleat/pkg/codes"
)

const (
	appendTimeout = 2 * time.Second
	readSlack     = 2 * time.Second // readSlack is added to the long-poll time before a read counts as lost.
	readLimit     = 1000
	dialTimeout   = time.Second
	maxReadBytes  = 64 << 20
	clientHeader  = "X-Client"
)

type (
	// Client reads and appends one stream of the log service.
	Client struct {
		base   string
		client *http.Client
		name   string
	}

	// Batch is the result of a read. Truncated tells that records before First have been removed by retention.
	Batch struct {
		records   []wire.LogRecord
		first     int64
		end       int64
		truncated bool
	}
)

// New returns a client of the stream at the address (IP:port); name identifies this host to the service,
// and link counts the bytes.
func New(address, stream, name string, link telem.Link) *Client {
	u := url.URL{Scheme: "http", Host: address, Path: "/v1/streams/" + stream + "/records"}
	return &Client{base: u.String(), client: &http.Client{Transport: &http.Transport{
		DialContext: link.Dial(&net.Dialer{Timeout: dialTimeout}), MaxIdleConnsPerHost: 8,
	}}, name: name}
}

// Close closes idle connections.
func (c *Client) Close() { c.client.CloseIdleConnections() }

// Append appends one record and returns its offset. A LogUnavailable error means that the record was refused; an
// AppendInDoubt error means that it may have been appended.
func (c *Client) Append(ctx context.Context, data []byte) (int64, error) {
	ctx, cancel := context.WithTimeout(ctx, appendTimeout)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, c.base, bytes.NewReader(data))
	if err != nil {
		return 0, errors.Wrap(err, "append request")
	}
	r.Header.Set("Content-Type", "application/json")
	r.Header.Set(clientHeader, c.name)
	answer, err := c.client.Do(r)
	if err != nil {
		return 0, codes.New(codes.AppendInDoubt, err.Error())
	}
	defer func() { _ = answer.Body.Close() }()
	switch {
	case answer.StatusCode == http.StatusTooManyRequests || answer.StatusCode == http.StatusServiceUnavailable:
		return 0, codes.New(codes.LogUnavailable, answer.Status).WithRetryAfter(wire.RetryAfter(answer.Header))
	case answer.StatusCode/100 == 4:
		return 0, codes.New(codes.BadRecord, answer.Status)
	case answer.StatusCode/100 != 2:
		return 0, codes.New(codes.AppendInDoubt, answer.Status)
	}
	var a wire.AppendAnswer
	if err := json.NewDecoder(io.LimitReader(answer.Body, maxReadBytes)).Decode(&a); err != nil {
		return 0, codes.New(codes.AppendInDoubt, err.Error())
	}
	return a.Offset, nil
}

// Read returns the records from the offset on; with none it waits for as long as wait. Errors are LogUnavailable.
func (c *Client) Read(ctx context.Context, from int64, wait time.Duration) (Batch, error) {
	ctx, cancel := context.WithTimeout(ctx, wait+readSlack)
	defer cancel()
	u := fmt.Sprintf("%s?from=%d&limit=%d&waitMillis=%d", c.base, from, readLimit, wait.Milliseconds())
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, u, nil)
	if err != nil {
		return Batch{}, errors.Wrap(err, "read request")
	}
	r.Header.Set(clientHeader, c.name)
	answer, err := c.client.Do(r)
	if err != nil {
		return Batch{}, codes.New(codes.LogUnavailable, err.Error())
	}
	defer func() { _ = answer.Body.Close() }()
	if answer.StatusCode != http.StatusOK && answer.StatusCode != http.StatusGone {
		return Batch{}, codes.New(codes.LogUnavailable, answer.Status)
	}
	var a wire.ReadAnswer
	if err := json.NewDecoder(io.LimitReader(answer.Body, maxReadBytes)).Decode(&a); err != nil {
		return Batch{}, codes.New(codes.LogUnavailable, err.Error())
	}
	return Batch{a.Records, a.First, a.End, answer.StatusCode == http.StatusGone}, nil
}

// Records returns the records in order of their offsets.
func (b Batch) Records() []wire.LogRecord { return b.records }

// First returns the offset of the oldest record that the service keeps.
func (b Batch) First() int64 { return b.first }

// End returns the offset that the next append will get.
func (b Batch) End() int64 { return b.end }

// Truncated reports that records from the requested offset up to First are gone.
func (b Batch) Truncated() bool { return b.truncated }
