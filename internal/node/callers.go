package node

import (
	"context"
	"io"
	"net"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/fireflycleat/fireflycleat/internal/intake"
	"github.com/fireflycleat/fireflycleat/internal/relay"
)

const (
	// headPollInterval is the time between checks of whether connections without a complete request have ended.
	headPollInterval = 5 * time.Millisecond
	// lastHeadsTime is how long a stop waits for the rest of a request's head; callers send a head at once.
	lastHeadsTime = 500 * time.Millisecond
)

type (
	// callerServer serves callers' connections. Its stop closes none on which a request was read: between that moment and the end of the
	// request's head, net/http takes a kept connection for idle.
	callerServer struct {
		http.Server
		gate     *intake.Gate // nil means that connections have no limits
		mu       sync.Mutex
		stopping bool
		conns    map[*callerConn]http.ConnState
	}

	// callerListener accepts callers' connections as callerConn.
	callerListener struct {
		net.Listener
		server *callerServer
	}

	// callerConn is a caller's connection that records how its input ended: net/http tells its handlers only that it did.
	callerConn struct {
		*intake.NetConn
		server   *callerServer
		inputErr atomic.Pointer[error]
		idle     bool // whether nothing was read since the last response; guarded by server.mu
		late     bool // whether the connection was opened after the stop began; guarded by server.mu
	}

	callerConnKey struct{}
)

// newCallerServer returns a server of connections that the gate limits, unless it is nil.
func newCallerServer(h http.Handler, g *intake.Gate) *callerServer {
	s := &callerServer{gate: g, conns: make(map[*callerConn]http.ConnState)}
	s.Handler, s.ConnState = g.Handler(h), s.setState
	s.ConnContext = func(ctx context.Context, c net.Conn) context.Context {
		return context.WithValue(intake.ConnContext(ctx, c), callerConnKey{}, c)
	}
	return s
}

// setState records the state of a connection.
func (s *callerServer) setState(conn net.Conn, state http.ConnState) {
	c, ok := conn.(*callerConn)
	if !ok {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	switch state {
	case http.StateClosed, http.StateHijacked:
		delete(s.conns, c)
	case http.StateActive:
		if s.stopping {
			_ = c.SetReadDeadline(time.Time{}) // The body is read up to its end.
		}
		fallthrough
	default:
		if _, known := s.conns[c]; !known {
			c.late = s.stopping
		}
		s.conns[c] = state
		c.idle = state == http.StateIdle
		intake.ConnState(c, state)
	}
}

// stop ends the idle connections, and after lastHeadsTime those without a complete request, and waits until the requests in progress have ended.
// It returns the error of the context if that ends first.
func (s *callerServer) stop(ctx context.Context) error {
	s.mu.Lock()
	s.stopping = true
	for c := range s.conns {
		if c.idle {
			_ = c.SetReadDeadline(time.Unix(1, 0)) // A read that has already got bytes returns them.
		}
	}
	s.mu.Unlock()
	start := time.Now()
	for s.checkHeads(time.Since(start) >= lastHeadsTime) {
		if !sleep(ctx, headPollInterval) {
			break
		}
	}
	return s.Shutdown(ctx)
}

// checkHeads reports whether there are connections without a complete request, which net/http would close, and makes their next reads fail if end
// is true. It leaves out those opened after the stop began: net/http closes a new connection only after 5 s.
func (s *callerServer) checkHeads(end bool) (found bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c, state := range s.conns {
		if state == http.StateActive || c.late && state == http.StateNew {
			continue
		}
		found = true
		if end {
			_ = c.SetReadDeadline(time.Unix(1, 0)) // A read that has already got bytes returns them.
		}
	}
	return found
}

// Accept implements net.Listener. It closes connections for which there is no room.
func (l callerListener) Accept() (net.Conn, error) {
	for {
		conn, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if c, ok := l.server.gate.Wrap(conn); ok {
			return &callerConn{NetConn: c, server: l.server}, nil
		}
		_ = conn.Close()
	}
}

// Read implements net.Conn.
func (c *callerConn) Read(b []byte) (int, error) {
	if c.isClosing() {
		return 0, io.EOF
	}
	n, err := c.NetConn.Read(b)
	if n > 0 {
		c.begin()
	}
	if err != nil && !errors.Is(err, os.ErrDeadlineExceeded) {
		c.inputErr.CompareAndSwap(nil, &err)
	}
	return n, err
}

// isClosing reports whether the connection is idle and its server stops.
func (c *callerConn) isClosing() bool {
	c.server.mu.Lock()
	defer c.server.mu.Unlock()
	return c.idle && c.server.stopping
}

// begin records that bytes of a request were read.
func (c *callerConn) begin() {
	c.server.mu.Lock()
	defer c.server.mu.Unlock()
	if c.idle && c.server.stopping {
		_ = c.SetReadDeadline(time.Time{}) // An error shows at the next read.
	}
	c.idle = false
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
