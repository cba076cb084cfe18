package peers

import (
	"net"
	"syscall"
	"testing"

	qt "github.com/frankban/quicktest"
)

// failingListener fails the first accepts with EMFILE.
type failingListener struct {
	net.Listener
	failures int
}

func (l *failingListener) Accept() (net.Conn, error) {
	if l.failures > 0 {
		l.failures--
		return nil, &net.OpError{Op: "accept", Err: syscall.EMFILE}
	}
	return nil, net.ErrClosed
}

// TestServeRetriesOnDescriptorShortage guards against a server that stops because file descriptors run out for a short time.
func TestServeRetriesOnDescriptorShortage(t *testing.T) {
	l := &failingListener{failures: 3}
	s := &Server{listener: l}
	qt.Assert(t, s.Serve(), qt.ErrorIs, net.ErrClosed)
	qt.Assert(t, l.failures, qt.Equals, 0)
}
