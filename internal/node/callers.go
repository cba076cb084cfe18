package node

import (
	"context"
	"io"
	"net"
	"net/http"
	"os"
	"sync/atomic"
	"syscall"

	"github.com/cockroachdb/errors"

	"github.com/fireflycleat/fireflycleat/internal/relay"
)

type (
	// callerListener accepts callers' connections as callerConn.
	callerListener struct{ net.Listener }

	// callerConn is a caller's connection that records how its input ended: net/http tells its handlers only that it did.
	callerConn struct {
		net.Conn
		inputErr atomic.Pointer[error]
	}

	callerConnKey struct{}
)

// Accept implements net.Listener.
func (l callerListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &callerConn{Conn: c}, nil
}

// Read implements net.Conn.
func (c *callerConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if err != nil && !errors.Is(err, os.ErrDeadlineExceeded) {
		c.inputErr.CompareAndSwap(nil, &err)
	}
	return n, err
}

// CloseWrite closes the sending side of the connection. net/http calls it so that a caller can read a response before the connection
// is reset.
func (c *callerConn) CloseWrite() error {
	if t, ok := c.Conn.(*net.TCPConn); ok {
		return t.CloseWrite()
	}
	return nil
}

// withCallerConn is the http.Server.ConnContext of callers' connections.
func withCallerConn(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, callerConnKey{}, c)
}

// callerInput returns how the input of the caller's connection ended: relay.InputClosed, "reset" or another error. It is empty while the input
// is open. A caller that closed only its sending side is "closed" too.
func callerInput(q *http.Request) string {
	c, ok := q.Context().Value(callerConnKey{}).(*callerConn)
	if !ok {
		return ""
	}
	err := c.inputErr.Load()
	switch {
	case err == nil:
		return ""
	case errors.Is(*err, io.EOF):
		return relay.InputClosed
	case errors.Is(*err, syscall.ECONNRESET):
		return "reset"
	}
	return (*err).Error()
}
