package engine

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/fireflycleat/fireflycleat/internal/telem"
	"github.com/fireflycleat/fireflycleat/internal/wire"
	"github.com/fireflycleat/fireflycleat/pkg/codes"
)

// repeatFirst writes the first response of each connection once more in place of each later one.
func repeatFirst(t *testing.T, response func(q *http.Request) string) (address string) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	t.Cleanup(func() { l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				b := bufio.NewReader(c)
				first := ""
				for {
					q, err := http.ReadRequest(b)
					if err != nil {
						return
					}
					_, _ = io.Copy(io.Discard, q.Body)
					if first == "" {
						first = response(q)
					}
					_, _ = io.WriteString(c, first)
				}
			}()
		}
	}()
	return l.Addr().String()
}

// TestEarlierRefusal guards against a request that counts as not run, and is sent to another engine while it runs, because the engine wrote an
// earlier refusal once more on a kept connection.
func TestEarlierRefusal(t *testing.T) {
	for _, named := range []bool{true, false} {
		address := repeatFirst(t, func(q *http.Request) string {
			name := ""
			if named {
				name = wire.HeaderRequestID + ": " + q.Header.Get(wire.HeaderRequestID) + "\r\n"
			}
			return "HTTP/1.1 503 Full\r\n" + name + wire.HeaderNotRun + ": true\r\nContent-Length: 0\r\n\r\n"
		})
		e := New(noTrace, telem.Link{})
		defer e.Close()
		for i, want := range []codes.Code{codes.UpstreamRefused, codes.UpstreamUnknown} {
			_, err := e.Open(t.Context(), Request{ID: fmt.Sprint("r", i), Address: address, Path: "/x", Body: []byte("{}")})
			qt.Check(t, codes.From(err).Code(), qt.Equals, want, qt.Commentf("named %t, request %d: %v", named, i, err))
		}
	}
}

// TestEarlierOrderResponse guards against the state of another order that an engine wrote once more on a kept connection and that is taken for
// the state of this one.
func TestEarlierOrderResponse(t *testing.T) {
	for _, status := range []string{"202 Accepted", "409 Conflict", "404 Not Found"} {
		address := repeatFirst(t, func(*http.Request) string {
			body := `{"id":"o1","state":"done"}`
			return fmt.Sprintf("HTTP/1.1 %s\r\nContent-Length: %d\r\n\r\n%s", status, len(body), body)
		})
		e := New(noTrace, telem.Link{})
		defer e.Close()
		_, err := e.Order(t.Context(), address, wire.Order{ID: "o1"})
		qt.Check(t, err, qt.IsNil, qt.Commentf(status))
		_, err = e.Order(t.Context(), address, wire.Order{ID: "o2"})
		qt.Check(t, codes.Is(err, codes.UpstreamUnknown), qt.IsTrue, qt.Commentf("order, %s: %v", status, err))
		_, err = e.Query(t.Context(), address, "o2")
		qt.Check(t, codes.Is(err, codes.UpstreamUnknown), qt.IsTrue, qt.Commentf("query, %s: %v", status, err))
	}
}
