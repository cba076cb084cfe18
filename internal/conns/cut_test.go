package conns_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/fireflycleat/fireflycleat/internal/conns"
)

// TestResponseCutAtEachByte guards against a response that breaks off in its head, or in a framed body, and is taken for a whole one with an
// empty or short body. Only a body that ends with its connection can't be recognised as cut; such responses are marked.
func TestResponseCutAtEachByte(t *testing.T) {
	t.Parallel()
	heads := map[string]string{
		"length":   "HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 10\r\nX: y\r\n\r\n",
		"folded":   "HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 10\r\nX: y\r\n z\r\n\r\n",
		"bareLF":   "HTTP/1.1 200 OK\nId: 1\nContent-Length: 10\n\n",
		"chunked":  "HTTP/1.1 200 OK\r\nId: 1\r\nTransfer-Encoding: chunked\r\n\r\n",
		"trailer":  "HTTP/1.1 200 OK\r\nId: 1\r\nTransfer-Encoding: chunked\r\nTrailer: Sum\r\n\r\n",
		"unframed": "HTTP/1.1 200 OK\r\nId: 1\r\nContent-Type: text/plain\r\n\r\n",
		"http10":   "HTTP/1.0 200 OK\r\nId: 1\r\nX: y\r\n\r\n",
		"interim":  "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: z\r\n\r\nHTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 10\r\n\r\n",
		"empty":    "HTTP/1.1 204 No Content\r\nId: 1\r\n\r\n",
	}
	bodies := map[string]string{
		"chunked": "4\r\n0123\r\n6\r\n456789\r\n0\r\n\r\n", "trailer": "a\r\n0123456789\r\n0\r\nSum: 1\r\n\r\n", "empty": "",
	}
	for name, head := range heads {
		body, ok := bodies[name]
		if !ok {
			body = "0123456789"
		}
		whole := head + body
		for n := 0; n <= len(whole); n++ {
			read, marked, err := readCut(t, whole[:n])
			switch {
			case n == len(whole):
				qt.Check(t, err, qt.IsNil, qt.Commentf("%s, whole", name))
				qt.Check(t, read, qt.Equals, strings.Repeat("0123456789", min(1, len(body))))
			case n >= len(head) && marked:
			default:
				qt.Check(t, err, qt.IsNotNil, qt.Commentf("%s, cut after %q", name, whole[:n]))
			}
		}
	}
}

// readCut returns the body of a response of which an upstream sends only the given bytes before it closes, and whether the body is marked as one
// that ends with the connection.
func readCut(t *testing.T, sent string) (body string, marked bool, err error) {
	address := listen(t, func(c net.Conn) {
		if q, err := http.ReadRequest(bufio.NewReader(c)); err == nil {
			_, _ = io.Copy(io.Discard, q.Body)
			_, _ = io.WriteString(c, sent)
		}
	})
	pool := conns.New(conns.Settings{DialTimeout: time.Second, UserTimeout: time.Second})
	defer pool.Close()
	ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
	defer cancel()
	r, err := pool.Do(ctx, &conns.Request{
		Address: address, Method: http.MethodGet, Target: "/", Host: "h", Header: http.Header{"Id": {"1"}}, Echo: "Id",
	})
	if err != nil {
		return "", false, err
	}
	defer r.Close()
	data, err := r.ReadAll(1 << 20)
	return string(data), r.CloseDelimited, err
}
