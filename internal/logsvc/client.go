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
	appendTimeout  = 2 * time.Second
	readGrace      = 2 * time.Second // added to the long-poll time to get the timeout of a read
	maxReadRecords = 1000
	dialTimeout    = time.Second
	maxReadBytes   = 64 << 20
	clientHeader   = "X-Client"
)

type (
	// Client reads and appends one stream of the log service.
	Client struct {
		recordsURL string
		client     *http.Client
		hostName   string
	}

	// Batch is the result of a read.
	Batch struct {
		records   []wire.LogRecord
		first     int64
		end       int64
		truncated bool
	}
)

// New returns a client for the stream of the log service at the address (IP:port). The name of this host identifies the client to
// the service, and link counts the bytes.
func New(address, stream, hostName string, link telem.Link) *Client {
	u := url.URL{Scheme: "http", Host: address, Path: "/v1/streams/" + stream + "/records"}
	return &Client{recordsURL: u.String(), client: &http.Client{Transport: &http.Transport{
		DialContext: link.Dial(&net.Dialer{Timeout: dialTimeout}), MaxIdleConnsPerHost: 8,
	}}, hostName: hostName}
}

// Close closes idle connections.
func (c *Client) Close() { c.client.CloseIdleConnections() }

// Append appends one record and returns its offset. The record was not appended if the error is LogUnavailable (refused for
// now) or BadRecord (rejected), and may have been appended if it is AppendInDoubt.
func (c *Client) Append(ctx context.Context, data []byte) (int64, error) {
	ctx, cancel := context.WithTimeout(ctx, appendTimeout)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, c.recordsURL, bytes.NewReader(data))
	if err != nil {
		return 0, errors.Wrap(err, "create append request")
	}
	r.Header.Set("Content-Type", "application/json")
	r.Header.Set(clientHeader, c.hostName)
	resp, err := c.client.Do(r)
	if err != nil {
		return 0, codes.New(codes.AppendInDoubt, err.Error())
	}
	defer func() { _ = resp.Body.Close() }()
	switch {
	case resp.StatusCode == http.StatusTooManyRequests || resp.StatusCode == http.StatusServiceUnavailable:
		return 0, codes.New(codes.LogUnavailable, resp.Status).WithRetryAfter(wire.RetryAfter(resp.Header))
	case resp.StatusCode/100 == 4:
		return 0, codes.New(codes.BadRecord, resp.Status)
	case resp.StatusCode/100 != 2:
		return 0, codes.New(codes.AppendInDoubt, resp.Status)
	}
	var response wire.AppendResponse
	if err := json.NewDecoder(io.LimitReader(resp.Body, maxReadBytes)).Decode(&response); err != nil {
		return 0, codes.New(codes.AppendInDoubt, err.Error())
	}
	return response.Offset, nil
}

// Read returns the records starting at the offset from. If there are none yet, the service waits for one, up to the time wait.
// Failed reads return a LogUnavailable error.
func (c *Client) Read(ctx context.Context, from int64, wait time.Duration) (Batch, error) {
	ctx, cancel := context.WithTimeout(ctx, wait+readGrace)
	defer cancel()
	u := fmt.Sprintf("%s?from=%d&limit=%d&waitMillis=%d", c.recordsURL, from, maxReadRecords, wait.Milliseconds())
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, u, nil)
	if err != nil {
		return Batch{}, errors.Wrap(err, "create read request")
	}
	r.Header.Set(clientHeader, c.hostName)
	resp, err := c.client.Do(r)
	if err != nil {
		return Batch{}, codes.New(codes.LogUnavailable, err.Error())
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK && resp.StatusCode != http.StatusGone {
		return Batch{}, codes.New(codes.LogUnavailable, resp.Status)
	}
	var response wire.ReadResponse
	if err := json.NewDecoder(io.LimitReader(resp.Body, maxReadBytes)).Decode(&response); err != nil {
		return Batch{}, codes.New(codes.LogUnavailable, err.Error())
	}
	return Batch{response.Records, response.First, response.End, resp.StatusCode == http.StatusGone}, nil
}

// Records returns the records in ascending order of offset.
func (b Batch) Records() []wire.LogRecord { return b.records }

// First returns the offset of the oldest record that the service still stores.
func (b Batch) First() int64 { return b.first }

// End returns the offset that the next appended record will get.
func (b Batch) End() int64 { return b.end }

// Truncated reports whether retention has removed records between the requested offset and First.
func (b Batch) Truncated() bool { return b.truncated }
