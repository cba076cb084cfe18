package peers

import (
	"net"
	"syscall"
	"testing"

	qt "github.com/frankban/quicktest"
)

// scarceListener has no descriptor for the first connections.
type scarceListener struct {
	net.Listener
	failures int
}

func (l *scarceListener) Accept() (net.Conn, error) {
	if l.failures > 0 {
		l.failures--
		return nil, &net.OpError{Op: "accept", Err: syscall.EMFILE}
	}
	return nil, net.ErrClosed
}

// TestServeOutlastsAShortageOfDescriptors guards against a process that ends because connections cannot be accepted for a moment.
func TestServeOutlastsAShortageOfDescriptors(t *testing.T) {
	l := &scarceListener{failures: 3}
	s := &Server{listener: l}
	qt.Assert(t, s.Serve(), qt.ErrorIs, net.ErrClosed)
	qt.Assert(t, l.failures, qt.Equals, 0)
}
