package engine

import (
	"context"
	"fmt"
	"net/http"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/fireflycleat/fireflycleat/internal/telem"
	"github.com/fireflycleat/fireflycleat/internal/wire"
	"github.com/fireflycleat/fireflycleat/pkg/codes"
)

// TestStatusOutsideOfTheProtocol guards against a response whose status HTTP does not have: it would be passed on to a caller, whose connection
// then breaks, be believed as the answer to an order, or promise that a request has not run.
func TestStatusOutsideOfTheProtocol(t *testing.T) {
	t.Parallel()
	for _, status := range []string{"000", "050", "099", "+20", "101", "600", "999"} {
		t.Run(status, func(t *testing.T) {
			t.Parallel()
			address := repeatFirst(t, func(*http.Request) string {
				body := `{"id":"o1","state":"done"}`
				return fmt.Sprintf("HTTP/1.1 %s Odd\r\n%s: r1\r\n%s: true\r\nContent-Type: application/json\r\nAge: 0\r\nDate: Mon, 07 Dec 2026 04:00:00 GMT\r\nContent-Length: %d\r\n\r\n%s",
					status, wire.HeaderRequestID, wire.HeaderNotRun, len(body), body)
			})
			c := New(func(context.Context, http.Header) {}, telem.NewMetrics().Link("test"))
			t.Cleanup(c.Close)
			ctx := t.Context()
			check := func(name string, err error) {
				qt.Check(t, codes.Is(err, codes.UpstreamUnknown), qt.IsTrue, qt.Commentf("%s: %v", name, err))
			}
			_, err := c.CallPlain(ctx, PlainRequest{Address: address, Method: http.MethodPost, Path: "/x", Timeout: controlTimeout, MaxReplyBytes: 1 << 10})
			check("call", err)
			_, err = c.Open(ctx, Request{ID: "r1", Address: address, Path: "/v1/completions"})
			check("stream", err)
			_, err = c.Order(ctx, address, wire.Order{ID: "o1"})
			check("order", err)
			_, err = c.Query(ctx, address, "o1")
			check("query", err)
			_, err = c.Status(ctx, address)
			check("status", err)
			_, err = c.Hosts(ctx, address, wire.HostList{})
			check("hosts", err)
			check("cancel", c.Cancel(ctx, address, "r1"))
		})
	}
}
