package conns_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"runtime"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/fireflycleat/fireflycleat/pkg/codes"
)

// serveEndless answers the first request with the prefix and then repeats the unit until the connection is closed. It counts the
// bytes sent.
func serveEndless(t *testing.T, prefix, unit string) (address string, sent *atomic.Int64) {
	sent = new(atomic.Int64)
	repeated := []byte(strings.Repeat(unit, max(1, 4096/len(unit))))
	address = listen(t, func(c net.Conn) {
		q, err := http.ReadRequest(bufio.NewReader(c))
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, q.Body)
		for chunk := []byte(prefix); err == nil; chunk = repeated {
			var n int
			n, err = c.Write(chunk)
			sent.Add(int64(n))
		}
	})
	return address, sent
}

// listen accepts connections, and handles and closes each of them in a goroutine.
func listen(t *testing.T, handle func(net.Conn)) (address string) {
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
				handle(c)
			}()
		}
	}()
	return l.Addr().String()
}

// TestEndlessHead guards against an upstream that sends the head of a response without end: the host would read it into memory until
// the process is killed.
func TestEndlessHead(t *testing.T) {
	for name, x := range map[string]struct{ prefix, unit string }{
		"headers":        {"HTTP/1.1 200 OK\r\n", "A: b\r\n"},
		"one header":     {"HTTP/1.1 200 OK\r\nA: ", "b"},
		"status line":    {"HTTP/1.1 200 ", "O"},
		"no answer":      {"", "x"},
		"blank lines":    {"", "\r\n"},
		"interim":        {"", "HTTP/1.1 100 Continue\r\n\r\n"},
		"interim header": {"HTTP/1.1 103 Early Hints\r\n", "Link: x\r\n"},
		"stale answer":   {"HTTP/1.1 200 OK\r\nId: 0\r\nTransfer-Encoding: chunked\r\n\r\n", "1\r\nx\r\n"},
	} {
		t.Run(name, func(t *testing.T) {
			address, sent := serveEndless(t, x.prefix, x.unit)
			ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
			defer cancel()
			var before, after runtime.MemStats
			runtime.ReadMemStats(&before)
			_, err := newPool(t).Do(ctx, newRequest(address))
			runtime.ReadMemStats(&after)
			qt.Assert(t, err, qt.IsNotNil)
			qt.Assert(t, ctx.Err(), qt.IsNil, qt.Commentf("ended only by the deadline, after %d bytes", sent.Load()))
			// A host has 184 MB and may have many such connections.
			qt.Check(t, after.TotalAlloc-before.TotalAlloc < 2<<20, qt.IsTrue, qt.Commentf("%d bytes allocated", after.TotalAlloc-before.TotalAlloc))
		})
	}
}

// TestEndlessBody guards against a body without end that is to be read whole, such as a report or records of the store.
func TestEndlessBody(t *testing.T) {
	for name, prefix := range map[string]string{
		"without length": "HTTP/1.1 200 OK\r\nId: 1\r\n\r\n",
		"with length":    "HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 9000000000\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			address, _ := serveEndless(t, prefix, "x")
			r, err := newPool(t).Do(t.Context(), newRequest(address))
			qt.Assert(t, err, qt.IsNil)
			defer r.Close()
			_, err = r.ReadAll(64 << 10)
			qt.Assert(t, codes.Is(err, codes.EndlessResponse), qt.IsTrue, qt.Commentf("%v", err))
		})
	}
}

// TestEndlessTrailer guards against a chunked body whose chunk extensions or trailers never end.
func TestEndlessTrailer(t *testing.T) {
	for name, prefix := range map[string]string{
		"trailer":         "HTTP/1.1 200 OK\r\nId: 1\r\nTransfer-Encoding: chunked\r\n\r\n0\r\nA: ",
		"chunk extension": "HTTP/1.1 200 OK\r\nId: 1\r\nTransfer-Encoding: chunked\r\n\r\n1;",
	} {
		t.Run(name, func(t *testing.T) {
			address, sent := serveEndless(t, prefix, "x")
			ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
			defer cancel()
			r, err := newPool(t).Do(ctx, newRequest(address))
			qt.Assert(t, err, qt.IsNil)
			defer r.Close()
			_, err = r.ReadAll(64 << 10)
			qt.Assert(t, err, qt.IsNotNil)
			qt.Assert(t, ctx.Err(), qt.IsNil, qt.Commentf("ended only by the deadline, after %d bytes", sent.Load()))
		})
	}
}
