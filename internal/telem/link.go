package telem

import (
	"context"
	"net"

	"github.com/prometheus/client_golang/prometheus"
)

// Links between a daemon and others that carry control; docs/CAPACITY.md bounds what they carry.
const (
	PeerLink   = "peers"
	LogLink    = "log"
	EngineLink = "engines"
)

type (
	// Link counts the bytes that the connections of one kind carry. The zero value counts nothing.
	Link struct{ read, written prometheus.Counter }

	meteredConn struct {
		net.Conn
		link Link
	}
)

// Link returns the counters of a kind of link.
func (m *Metrics) Link(name string) Link {
	return Link{m.controlBytes.WithLabelValues(name, "read"), m.controlBytes.WithLabelValues(name, "written")}
}

// Wrap returns the connection with its bytes counted.
func (l Link) Wrap(conn net.Conn) net.Conn {
	if l.read == nil {
		return conn
	}
	return &meteredConn{conn, l}
}

// Dial returns a function that opens connections with their bytes counted.
func (l Link) Dial(d *net.Dialer) func(ctx context.Context, network, address string) (net.Conn, error) {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := d.DialContext(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return l.Wrap(conn), nil
	}
}

// Read counts what was read, also when the read ended with an error.
func (c *meteredConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.link.read.Add(float64(n))
	return n, err
}

// Write counts what was written, also when the write ended with an error.
func (c *meteredConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.link.written.Add(float64(n))
	return n, err
}
