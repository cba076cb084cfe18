package engine

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/fireflycleat/fireflycleat/internal/telem"
	"github.com/fireflycleat/fireflycleat/internal/wire"
	"github.com/fireflycleat/fireflycleat/pkg/codes"
)

const (
	controlTimeout = 2 * time.Second
	dialTimeout    = time.Second
	maxStatusBytes = 4 << 20
	idlePerHost    = 256
	jsonType       = "application/json"
)

// Client talks to upstreams. It is safe for concurrent use.
type Client struct {
	control *http.Client
	traffic *http.Client
	plain   *http.Client
	inject  func(context.Context, http.Header)
}

// New returns a client; inject writes the trace context into each request, and control counts the
// bytes of orders, statuses and the host list.
func New(inject func(context.Context, http.Header), control telem.Link) *Client {
	dialer := &net.Dialer{Timeout: dialTimeout}
	dial := dialer.DialContext
	return &Client{
		control: &http.Client{Transport: &http.Transport{DialContext: control.Dial(dialer), MaxIdleConnsPerHost: 4}},
		traffic: &http.Client{Transport: &http.Transport{DialContext: dial, MaxIdleConnsPerHost: idlePerHost}},
		// Connections to plain services are not reused: net/http sends a request with an Idempotency-Key header again when
		// a reused connection breaks, which could run a booking twice.
		plain:  &http.Client{Transport: &http.Transport{DialContext: dial, DisableKeepAlives: true}},
		inject: inject,
	}
}

// Close closes idle connections.
func (c *Client) Close() {
	c.control.CloseIdleConnections()
	c.traffic.CloseIdleConnections()
}

// Order sends an order and returns its state; an error means that the order is in doubt, or NotRun if it never left.
func (c *Client) Order(ctx context.Context, address string, o wire.Order) (wire.OrderState, error) {
	body, err := json.Marshal(o)
	if err != nil {
		return "", errors.Wrap(err, "order")
	}
	var a wire.OrderAnswer
	status, _, err := c.call(ctx, http.MethodPost, address, "/v1/orders", body, &a)
	if err != nil {
		return "", err
	}
	if status == http.StatusConflict {
		return wire.OrderStale, nil
	}
	return a.State, nil
}

// Query returns the state of an order; wire.OrderUnknown means that the engine never saw it.
func (c *Client) Query(ctx context.Context, address, id string) (wire.OrderState, error) {
	var a wire.OrderAnswer
	status, _, err := c.call(ctx, http.MethodGet, address, "/v1/orders/"+url.PathEscape(id), nil, &a)
	if err != nil {
		return "", err
	}
	if status == http.StatusNotFound {
		return wire.OrderUnknown, nil
	}
	return a.State, nil
}

// Status returns the status of an engine.
func (c *Client) Status(ctx context.Context, address string) (wire.EngineStatus, error) {
	var s wire.EngineStatus
	status, date, err := c.call(ctx, http.MethodGet, address, "/v1/status", nil, &s)
	s.Date = date
	if err == nil && status != http.StatusOK {
		err = codes.New(codes.UpstreamFailed, http.StatusText(status))
	}
	return s, err
}

// Hosts returns the host list of the platform; last is the list that was read before, which is sent again only if it has
// changed: read whole twice a second, a list of 29 hosts took 8 KB/s.
func (c *Client) Hosts(ctx context.Context, address string, last wire.HostList) (wire.HostList, error) {
	var next wire.HostList
	header := make(http.Header)
	if last.Tag != "" {
		header.Set("If-None-Match", last.Tag)
	}
	status, answer, err := c.callWith(ctx, header, http.MethodGet, address, "/v1/hosts", nil, &next)
	switch {
	case err != nil:
		return last, err
	case status == http.StatusNotModified:
		next = last
	case status != http.StatusOK:
		return last, codes.New(codes.UpstreamFailed, http.StatusText(status))
	}
	age, err := strconv.ParseUint(answer.Get("Age"), 10, 31)
	if err != nil {
		return last, codes.New(codes.UpstreamFailed, "host list has no valid Age header")
	}
	if next.Date, err = http.ParseTime(answer.Get("Date")); err != nil {
		return last, codes.New(codes.UpstreamFailed, "host list has no valid Date header")
	}
	next.AsOf, next.Tag = next.Date.Add(-time.Duration(age)*time.Second), answer.Get("ETag")
	return next, nil
}

// Cancel cancels a request at an engine.
func (c *Client) Cancel(ctx context.Context, address, requestID string) error {
	_, _, err := c.call(ctx, http.MethodDelete, address, "/v1/requests/"+url.PathEscape(requestID), nil, nil)
	return err
}

// call returns the status and the Date of the answer; the date is zero where the answer has none.
func (c *Client) call(ctx context.Context, method, address, path string, body []byte, into any) (status int, date time.Time, err error) {
	status, header, err := c.callWith(ctx, make(http.Header), method, address, path, body, into)
	if err != nil {
		return status, date, err
	}
	date, _ = http.ParseTime(header.Get("Date"))
	return status, date, nil
}

// callWith sends the request with the header and returns the status and the header of the answer.
func (c *Client) callWith(
	ctx context.Context, header http.Header, method, address, path string, body []byte, into any,
) (int, http.Header, error) {
	ctx, cancel := context.WithTimeout(ctx, controlTimeout)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, method, "http://"+address+path, bytes.NewReader(body))
	if err != nil {
		return 0, nil, errors.Wrap(err, "upstream request")
	}
	r.Header = header
	r.Header.Set("Content-Type", jsonType)
	c.inject(ctx, r.Header)
	answer, err := c.control.Do(r)
	if err != nil {
		return 0, nil, Classify(err)
	}
	defer func() { _ = answer.Body.Close() }()
	b, err := io.ReadAll(io.LimitReader(answer.Body, maxStatusBytes))
	if err != nil {
		return 0, nil, codes.New(codes.UpstreamUnknown, err.Error())
	}
	if into != nil && answer.StatusCode < http.StatusMultipleChoices {
		if err := json.Unmarshal(b, into); err != nil {
			return 0, nil, codes.New(codes.UpstreamUnknown, err.Error())
		}
	}
	return answer.StatusCode, answer.Header, nil
}

// Classify turns a transport error into UpstreamRefused when no byte was sent, else into UpstreamUnknown.
func Classify(err error) error {
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return codes.New(codes.UpstreamRefused, err.Error())
	}
	return codes.New(codes.UpstreamUnknown, err.Error())
}
