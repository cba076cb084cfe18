package node

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

type (
	// pausedListener accepts connections whose process is paused after a read.
	pausedListener struct {
		net.Listener
		pause *atomic.Bool
		read  chan struct{} // receives a value when a read is followed by a pause
	}

	pausedConn struct {
		net.Conn
		listener pausedListener
	}
)

const testPause = 300 * time.Millisecond

func (l pausedListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	return pausedConn{c, l}, err
}

func (c pausedConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if n > 0 && c.listener.pause.Load() {
		c.listener.read <- struct{}{}
		time.Sleep(testPause)
	}
	return n, err
}

// TestStopKeepsConnectionWithRequest guards against a planned stop that closes a kept connection on which the process has just read a
// request, but not yet parsed its head.
func TestStopKeepsConnectionWithRequest(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	l := pausedListener{inner, new(atomic.Bool), make(chan struct{}, 10)}
	s := newCallerServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "ok") }), nil)
	served := make(chan error, 1)
	go func() { served <- s.Serve(callerListener{l, s}) }()
	busy, idle := dialCaller(c, inner), dialCaller(c, inner)
	for _, x := range []*caller{busy, idle} {
		c.Assert(x.request(), qt.IsNil)
		c.Assert(x.response(), qt.Equals, "ok")
	}
	for s.idleConns() < 2 { // Until then, net/http may read the first byte of the next request beside the handler.
		time.Sleep(time.Millisecond)
	}
	l.pause.Store(true)
	c.Assert(busy.request(), qt.IsNil)
	<-l.read
	l.pause.Store(false)
	ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
	defer cancel()
	c.Assert(s.stop(ctx), qt.IsNil)
	c.Assert(busy.response(), qt.Equals, "ok")
	c.Assert(idle.response(), qt.Equals, "")
	c.Assert(<-served, qt.Equals, http.ErrServerClosed)
}

// TestStopOfOldNewConnection guards against a planned stop that closes a connection on which the first request was just read, because the
// connection was opened more than 5 s before.
func TestStopOfOldNewConnection(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	l := pausedListener{inner, new(atomic.Bool), make(chan struct{}, 10)}
	s := newCallerServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "ok") }), nil)
	go func() { _ = s.Serve(callerListener{l, s}) }()
	busy, silent := dialCaller(c, inner), dialCaller(c, inner)
	time.Sleep(6500 * time.Millisecond)
	l.pause.Store(true)
	c.Assert(busy.request(), qt.IsNil)
	<-l.read
	l.pause.Store(false)
	ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
	defer cancel()
	c.Assert(s.stop(ctx), qt.IsNil)
	c.Assert(busy.response(), qt.Equals, "ok")
	c.Assert(silent.response(), qt.Equals, "")
}

// TestStopKeepsHeadReadAtTheEnd guards against a planned stop that closes a connection on which the rest of a request's head was read just before
// the wait for heads ended.
func TestStopKeepsHeadReadAtTheEnd(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	l := pausedListener{inner, new(atomic.Bool), make(chan struct{}, 10)}
	s := newCallerServer(http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
		if q.URL.Path == "/late" {
			time.Sleep(100 * time.Millisecond)
		}
		_, _ = fmt.Fprint(w, q.Context().Err())
	}), nil)
	go func() { _ = s.Serve(callerListener{l, s}) }()
	x := dialCaller(c, inner)
	c.Assert(x.request(), qt.IsNil)
	c.Assert(x.response(), qt.Equals, "<nil>")
	for s.idleConns() == 0 {
		time.Sleep(time.Millisecond)
	}
	_, err = io.WriteString(x, "GET /late HT")
	c.Assert(err, qt.IsNil)
	for s.idleConns() > 0 { // The part has not been read.
		time.Sleep(time.Millisecond)
	}
	l.pause.Store(true)
	_, err = io.WriteString(x, "TP/1.1\r\nHost: a\r\n\r\n")
	c.Assert(err, qt.IsNil)
	<-l.read // The process is paused across the end of the wait.
	c.Assert(s.checkHeads(true), qt.IsTrue)
	c.Assert(x.response(), qt.Equals, "<nil>")
	ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
	defer cancel()
	c.Assert(s.stop(ctx), qt.IsNil)
}

// idleConns returns the number of connections that net/http reported as idle.
func (s *callerServer) idleConns() (n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		if c.idle {
			n++
		}
	}
	return n
}

// caller is a connection of a caller.
type caller struct {
	net.Conn
	reader *bufio.Reader
}

func dialCaller(c *qt.C, l net.Listener) *caller {
	conn, err := net.Dial("tcp", l.Addr().String())
	c.Assert(err, qt.IsNil)
	c.Cleanup(func() { conn.Close() })
	return &caller{conn, bufio.NewReader(conn)}
}

func (x *caller) request() error {
	_, err := io.WriteString(x, "GET / HTTP/1.1\r\nHost: a\r\n\r\n")
	return err
}

// response returns the body of the next response, or nothing if the connection ends first.
func (x *caller) response() string {
	r, err := http.ReadResponse(x.reader, nil)
	if err != nil {
		return ""
	}
	defer r.Body.Close()
	b, _ := io.ReadAll(r.Body)
	return string(b)
}
