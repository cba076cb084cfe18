package engine

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/url"
	"time"

	"github.com/cockroachdb/errors"

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

// New returns a client; inject writes the trace context into each request.
func New(inject func(context.Context, http.Header)) *Client {
	dial := (&net.Dialer{Timeout: dialTimeout}).DialContext
	return &Client{
		control: &http.Client{Transport: &http.Transport{DialContext: dial, MaxIdleConnsPerHost: 4}},
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

// Hosts returns the host list of the platform.
func (c *Client) Hosts(ctx context.Context, address string) (wire.HostList, error) {
	var l wire.HostList
	status, date, err := c.call(ctx, http.MethodGet, address, "/v1/hosts", nil, &l)
	l.Date = date
	if err == nil && status != http.StatusOK {
		err = codes.New(codes.UpstreamFailed, http.StatusText(status))
	}
	return l, err
}

// Cancel cancels a request at an engine.
func (c *Client) Cancel(ctx context.Context, address, requestID string) error {
	_, _, err := c.call(ctx, http.MethodDelete, address, "/v1/requests/"+url.PathEscape(requestID), nil, nil)
	return err
}

// call returns the status and the Date of the answer; the date is zero where the answer has none.
func (c *Client) call(ctx context.Context, method, address, path string, body []byte, into any) (status int, date time.Time, err error) {
	ctx, cancel := context.WithTimeout(ctx, controlTimeout)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, method, "http://"+address+path, bytes.NewReader(body))
	if err != nil {
		return 0, date, errors.Wrap(err, "upstream request")
	}
	r.Header.Set("Content-Type", jsonType)
	c.inject(ctx, r.Header)
	answer, err := c.control.Do(r)
	if err != nil {
		return 0, date, Classify(err)
	}
	defer func() { _ = answer.Body.Close() }()
	b, err := io.ReadAll(io.LimitReader(answer.Body, maxStatusBytes))
	if err != nil {
		return 0, date, codes.New(codes.UpstreamUnknown, err.Error())
	}
	if into != nil && answer.StatusCode < http.StatusMultipleChoices {
		if err := json.Unmarshal(b, into); err != nil {
			return 0, date, codes.New(codes.UpstreamUnknown, err.Error())
		}
	}
	date, _ = http.ParseTime(answer.Header.Get("Date"))
	return answer.StatusCode, date, nil
}

// Classify turns a transport error into UpstreamRefused when no byte was sent, else into UpstreamUnknown.
func Classify(err error) error {
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return codes.New(codes.UpstreamRefused, err.Error())
	}
	return codes.New(codes.UpstreamUnknown, err.Error())
}
