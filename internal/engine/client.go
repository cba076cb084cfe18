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

	"github.com/fireflycleat/fireflycleat/internal/conns"
	"github.com/fireflycleat/fireflycleat/internal/telem"
	"github.com/fireflycleat/fireflycleat/internal/wire"
	"github.com/fireflycleat/fireflycleat/pkg/codes"
)

const (
	controlTimeout   = 2 * time.Second
	dialTimeout      = time.Second
	maxResponseBytes = 4 << 20
	// maxHeadBytes limits the head of a response, interim responses included; an upstream in trouble may send one without end. The
	// default of net/http is 10 MB for each request in progress.
	maxHeadBytes    = 64 << 10
	maxIdlePerHost  = 256
	contentTypeJSON = "application/json"
)

type (
	// Client sends orders, queries and requests to upstreams. It is safe for concurrent use.
	Client struct {
		control     *http.Client
		traffic     *http.Client
		plain       *http.Client
		injectTrace func(context.Context, http.Header)
	}

	// checkedTransport rejects responses that are none.
	checkedTransport struct{ *http.Transport }
)

// New returns a client. The function injectTrace adds the trace context to the header of each request, and controlLink counts
// the bytes of orders, statuses and the host list.
func New(injectTrace func(context.Context, http.Header), controlLink telem.Link) *Client {
	dialer := &net.Dialer{Timeout: dialTimeout}
	dial := dialer.DialContext
	return &Client{
		control: newHTTPClient(&http.Transport{DialContext: controlLink.Dial(dialer), MaxIdleConnsPerHost: 4, MaxResponseHeaderBytes: maxHeadBytes}),
		traffic: newHTTPClient(&http.Transport{DialContext: dial, MaxIdleConnsPerHost: maxIdlePerHost, MaxResponseHeaderBytes: maxHeadBytes}),
		// Connections to plain services are not reused: net/http retries a request with an Idempotency-Key header when a
		// reused connection breaks, which could run a booking twice.
		plain:       newHTTPClient(&http.Transport{DialContext: dial, DisableKeepAlives: true, MaxResponseHeaderBytes: maxHeadBytes}),
		injectTrace: injectTrace,
	}
}

func newHTTPClient(t *http.Transport) *http.Client {
	return &http.Client{Transport: checkedTransport{t}}
}

// RoundTrip implements http.RoundTripper. It fails if the response has a status that HTTP does not have.
func (t checkedTransport) RoundTrip(q *http.Request) (*http.Response, error) {
	resp, err := t.Transport.RoundTrip(q)
	if err != nil {
		return nil, err
	}
	if err := conns.CheckStatus(resp.StatusCode); err != nil {
		closeErr := resp.Body.Close()
		t.CloseIdleConnections() // A connection whose response has no body is idle by now.
		return nil, errors.CombineErrors(err, closeErr)
	}
	return resp, nil
}

// Close closes idle connections.
func (c *Client) Close() {
	c.control.CloseIdleConnections()
	c.traffic.CloseIdleConnections()
}

// Order sends an order and returns its state. After an error the order is in doubt, unless the outcome of the error is NotRun,
// which means that no byte was sent.
func (c *Client) Order(ctx context.Context, address string, o wire.Order) (wire.OrderState, error) {
	body, err := json.Marshal(o)
	if err != nil {
		return "", errors.Wrap(err, "encode order")
	}
	var response wire.OrderResponse
	status, _, err := c.call(ctx, http.MethodPost, address, "/v1/orders", body, &response)
	if err == nil {
		err = checkOrderID(response, o.ID)
	}
	if err != nil {
		return "", err
	}
	if status == http.StatusConflict {
		return wire.OrderStale, nil
	}
	return response.State, nil
}

// Query returns the state of an order, which is wire.OrderUnknown if the engine never received it.
func (c *Client) Query(ctx context.Context, address, id string) (wire.OrderState, error) {
	var response wire.OrderResponse
	status, _, err := c.call(ctx, http.MethodGet, address, "/v1/orders/"+url.PathEscape(id), nil, &response)
	if err == nil {
		err = checkOrderID(response, id)
	}
	if err != nil {
		return "", err
	}
	if status == http.StatusNotFound {
		return wire.OrderUnknown, nil
	}
	return response.State, nil
}

// checkOrderID returns an UpstreamUnknown error if the response belongs to another order: an engine in trouble may write an earlier one once
// more on a kept connection.
func checkOrderID(r wire.OrderResponse, id string) error {
	if r.ID != id {
		return codes.Newf(codes.UpstreamUnknown, "response names order %q instead of %q", r.ID, id)
	}
	return nil
}

// Status returns the status of an engine.
func (c *Client) Status(ctx context.Context, address string) (wire.EngineStatus, error) {
	var s wire.EngineStatus
	status, date, err := c.call(ctx, http.MethodGet, address, "/v1/status", nil, &s)
	s.Date = date
	if err == nil && status != http.StatusOK {
		err = codes.New(codes.UpstreamFailed, "status request failed: "+http.StatusText(status))
	}
	return s, err
}

// Hosts returns the host list of the platform. The list of the previous read is passed in last, so that an unchanged list is not
// transferred again: without such a conditional request, reading a list of 29 hosts twice a second takes 8 KB/s. After an error,
// the returned list is last.
func (c *Client) Hosts(ctx context.Context, address string, last wire.HostList) (wire.HostList, error) {
	var next wire.HostList
	header := make(http.Header)
	if last.ETag != "" {
		header.Set("If-None-Match", last.ETag)
	}
	status, resp, err := c.callWithHeader(ctx, header, http.MethodGet, address, "/v1/hosts", nil, &next)
	switch {
	case err != nil:
		return last, err
	case status == http.StatusNotModified:
		next = last
	case status != http.StatusOK:
		return last, codes.New(codes.UpstreamFailed, "host list request failed: "+http.StatusText(status))
	}
	age, err := strconv.ParseUint(resp.Get("Age"), 10, 31)
	if err != nil {
		return last, codes.New(codes.UpstreamFailed, "host list has no valid Age header")
	}
	if next.Date, err = http.ParseTime(resp.Get("Date")); err != nil {
		return last, codes.New(codes.UpstreamFailed, "host list has no valid Date header")
	}
	next.AsOf, next.ETag = next.Date.Add(-time.Duration(age)*time.Second), resp.Get("ETag")
	return next, nil
}

// Cancel cancels a request at an engine.
func (c *Client) Cancel(ctx context.Context, address, requestID string) error {
	_, _, err := c.call(ctx, http.MethodDelete, address, "/v1/requests/"+url.PathEscape(requestID), nil, nil)
	return err
}

// call sends a request, decodes the JSON response into result and returns the status and the Date header of the response. The
// date is zero if the response has no valid Date header.
func (c *Client) call(ctx context.Context, method, address, path string, body []byte, result any) (status int, date time.Time, err error) {
	status, header, err := c.callWithHeader(ctx, make(http.Header), method, address, path, body, result)
	if err != nil {
		return status, date, err
	}
	date, _ = http.ParseTime(header.Get("Date"))
	return status, date, nil
}

// callWithHeader is like call, but sends the header with the request and returns the header of the response.
func (c *Client) callWithHeader(
	ctx context.Context, header http.Header, method, address, path string, body []byte, result any,
) (int, http.Header, error) {
	ctx, cancel := context.WithTimeout(ctx, controlTimeout)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, method, "http://"+address+path, bytes.NewReader(body))
	if err != nil {
		return 0, nil, errors.Wrap(err, "create upstream request")
	}
	r.Header = header
	r.Header.Set("Content-Type", contentTypeJSON)
	c.injectTrace(ctx, r.Header)
	resp, err := c.control.Do(r)
	if err != nil {
		return 0, nil, Classify(err)
	}
	defer func() { _ = resp.Body.Close() }()
	b, err := io.ReadAll(io.LimitReader(resp.Body, maxResponseBytes))
	if err != nil {
		return 0, nil, codes.New(codes.UpstreamUnknown, err.Error())
	}
	if result != nil {
		// A response with another status need not be of the same type.
		if err := json.Unmarshal(b, result); err != nil && resp.StatusCode < http.StatusMultipleChoices {
			return 0, nil, codes.New(codes.UpstreamUnknown, err.Error())
		}
	}
	return resp.StatusCode, resp.Header, nil
}

// Classify converts a transport error to UpstreamRefused if no connection was established, so that no byte was sent, and
// otherwise to UpstreamUnknown.
func Classify(err error) error {
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return codes.New(codes.UpstreamRefused, err.Error())
	}
	return codes.New(codes.UpstreamUnknown, err.Error())
}
