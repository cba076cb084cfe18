package conns_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	qt "github.com/frankban/quicktest"

	"github.com/fireflycleat/fireflycleat/internal/conns"
)

// serve answers each request on each connection with the bytes returned by answer; nil closes the connection. n counts
// requests from 1.
func serve(t *testing.T, answer func(n int64) []byte) (address string, accepted *atomic.Int64) {
	accepted = new(atomic.Int64)
	var requests atomic.Int64
	address = listen(t, func(c net.Conn) {
		accepted.Add(1)
		b := bufio.NewReader(c)
		for {
			q, err := http.ReadRequest(b)
			if err != nil {
				return
			}
			_, _ = io.Copy(io.Discard, q.Body)
			raw := answer(requests.Add(1))
			if raw == nil {
				return
			}
			if _, err := c.Write(raw); err != nil {
				return
			}
		}
	})
	return address, accepted
}

func newPool(t *testing.T) *conns.Pool {
	p := conns.New(conns.Settings{DialTimeout: time.Second, UserTimeout: time.Second})
	t.Cleanup(p.Close)
	return p
}

func newRequest(address string) *conns.Request {
	return &conns.Request{
		Address: address, Method: http.MethodPost, Target: "/x", Host: "h", Header: http.Header{"Id": {"1"}}, Body: [][]byte{[]byte("b")},
		HasBody: true, MaxIdle: time.Minute, Echo: "Id",
	}
}

func post(t *testing.T, p *conns.Pool, address string) (string, error) {
	r, err := p.Do(t.Context(), newRequest(address))
	if err != nil {
		return "", err
	}
	defer r.Close()
	b, err := io.ReadAll(r)
	return string(b), err
}

const completeResponse = "HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 2\r\n\r\nok"

// TestSurplusBytesCloseTheConnection guards against reusing a connection that has bytes left after a response: they would be
// read as the response to the next request.
func TestSurplusBytesCloseTheConnection(t *testing.T) {
	address, accepted := serve(t, func(n int64) []byte {
		if n == 1 {
			return []byte(completeResponse + "HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 3\r\n\r\nbad")
		}
		return []byte(completeResponse)
	})
	p := newPool(t)
	for range 3 {
		body, err := post(t, p, address)
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, body, qt.Equals, "ok")
	}
	qt.Assert(t, accepted.Load(), qt.Equals, int64(2))
}

// TestLateSurplusIsFoundBeforeReuse guards against reusing an idle connection on which an extra response has arrived since the
// last request.
func TestLateSurplusIsFoundBeforeReuse(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	defer l.Close()
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				b := bufio.NewReader(c)
				for {
					q, err := http.ReadRequest(b)
					if err != nil {
						return
					}
					_, _ = io.Copy(io.Discard, q.Body)
					_, _ = io.WriteString(c, completeResponse)
					time.Sleep(20 * time.Millisecond)
					_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 3\r\n\r\nbad")
				}
			}()
		}
	}()
	p := newPool(t)
	for range 3 {
		body, err := post(t, p, l.Addr().String())
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, body, qt.Equals, "ok")
		time.Sleep(60 * time.Millisecond)
	}
	opened, _ := p.ConnCounts()
	qt.Assert(t, opened, qt.Equals, int64(3))
}

// TestFailureTellsWhetherSomethingWasSent guards against reporting a request as not sent although the upstream may have run it.
func TestFailureTellsWhetherSomethingWasSent(t *testing.T) {
	address, _ := serve(t, func(int64) []byte { return nil })
	p := newPool(t)
	_, err := post(t, p, address)
	var f *conns.Failure
	qt.Assert(t, errors.As(err, &f), qt.IsTrue)
	qt.Assert(t, f.Sent, qt.IsTrue)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	l.Close()
	_, err = post(t, p, l.Addr().String())
	qt.Assert(t, errors.As(err, &f), qt.IsTrue)
	qt.Assert(t, f.Sent, qt.IsFalse)
}

// TestContextClosesTheConnection guards against an upstream that keeps working on a request after the caller has disconnected.
func TestContextClosesTheConnection(t *testing.T) {
	address, _ := serve(t, func(int64) []byte { return []byte("HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 9\r\n\r\nab") })
	ctx, cancel := context.WithCancel(t.Context())
	r, err := newPool(t).Do(ctx, newRequest(address))
	qt.Assert(t, err, qt.IsNil)
	defer r.Close()
	time.AfterFunc(30*time.Millisecond, cancel)
	_, err = io.ReadAll(r)
	qt.Assert(t, err, qt.Not(qt.IsNil))
}

// TestPermitIsCheckedBeforeSending guards against a process that was paused after its decision and then sends a request whose
// permission has run out, such as an order of a former controller.
func TestPermitIsCheckedBeforeSending(t *testing.T) {
	var received atomic.Int64
	address, _ := serve(t, func(int64) []byte {
		received.Add(1)
		return []byte(completeResponse)
	})
	p := newPool(t)
	q := newRequest(address)
	q.Permit = func() bool { return false }
	_, err := p.Do(t.Context(), q)
	var f *conns.Failure
	qt.Assert(t, errors.As(err, &f), qt.IsTrue)
	qt.Assert(t, f.Sent, qt.IsFalse)
	qt.Assert(t, errors.Is(err, conns.ErrNotPermitted), qt.IsTrue)
	q.Permit = func() bool { return true }
	r, err := p.Do(t.Context(), q)
	qt.Assert(t, err, qt.IsNil)
	r.Close()
	qt.Assert(t, received.Load(), qt.Equals, int64(1))
}
