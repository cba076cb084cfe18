package telem

import (
	"context"
	"net"

	"github.com/prometheus/client_golang/prometheus"
)

// Kinds of links that carry control traffic of a daemon. docs/CAPACITY.md states how much they carry at most.
const (
	PeerLink   = "peers"
	LogLink    = "log"
	EngineLink = "engines"
)

type (
	// Link counts the bytes read and written on the connections of one kind. The zero value counts nothing.
	Link struct{ read, written prometheus.Counter }

	meteredConn struct {
		net.Conn
		link Link
	}
)

// Link returns the byte counters of the named kind of link.
func (m *Metrics) Link(name string) Link {
	return Link{m.controlBytes.WithLabelValues(name, "read"), m.controlBytes.WithLabelValues(name, "written")}
}

// Wrap returns a connection that counts the bytes of conn.
func (l Link) Wrap(conn net.Conn) net.Conn {
	if l.read == nil {
		return conn
	}
	return &meteredConn{conn, l}
}

// Dial returns a dial function whose connections count their bytes.
func (l Link) Dial(d *net.Dialer) func(ctx context.Context, network, address string) (net.Conn, error) {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := d.DialContext(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return l.Wrap(conn), nil
	}
}

// Read counts the bytes read, even if the read fails.
func (c *meteredConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.link.read.Add(float64(n))
	return n, err
}

// Write counts the bytes written, even if the write fails.
func (c *meteredConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.link.written.Add(float64(n))
	return n, err
}
