package peers

import (
	"context"
	"net"
	"net/netip"
	"net/rpc"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/fireflycleat/fireflycleat/internal/telem"
	"github.com/fireflycleat/fireflycleat/pkg/codes"
)

const (
	// CallTimeout limits a call between daemons, including the time to connect.
	CallTimeout = 2 * time.Second
	dialTimeout = time.Second
)

type (
	// Client calls the methods of other daemons. It keeps one connection to each and is safe for concurrent use.
	Client struct {
		source netip.Addr
		link   telem.Link
		mu     sync.Mutex
		conns  map[string]*connection
	}

	connection struct {
		*rpc.Client
		codec    *clientCodec
		pending  int  // calls without a response
		replaced bool // whether the connection takes no new calls; it is closed once none is pending
	}
)

// NewClient returns a client without open connections. It connects from the source address, so that peers and packet filters see
// a host with several addresses under the address that it listens on.
func NewClient(source netip.Addr, link telem.Link) *Client {
	return &Client{source: source, link: link, conns: make(map[string]*connection)}
}

// Call calls the method of the daemon at the address. The reply must not be read after an error, because a late response
// may still be written into it. A PeerUnavailable error has the outcome NotRun if the connection was refused or could not be
// opened, otherwise Unknown.
func (c *Client) Call(ctx context.Context, address, method string, args, reply any) error {
	return c.CallWithin(ctx, CallTimeout, address, method, args, reply)
}

// CallWithin is Call with the given time limit in place of CallTimeout.
func (c *Client) CallWithin(ctx context.Context, limit time.Duration, address, method string, args, reply any) error {
	start := time.Now()
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	conn, err := c.connect(ctx, address)
	if err != nil {
		return err
	}
	responses := conn.codec.responses.Load()
	call := conn.Go(method, args, reply, make(chan *rpc.Call, 1))
	select {
	case <-call.Done:
		c.release(conn)
		return c.result(address, conn, call.Error)
	case <-ctx.Done():
		if time.Since(start) >= limit && conn.codec.responses.Load() == responses {
			c.replace(address, conn)
		}
		c.release(conn)
		return codes.New(codes.PeerUnavailable, ctx.Err().Error())
	}
}

// Refused reports whether the error proves that no process listens at the address.
func Refused(err error) bool {
	return codes.Is(err, codes.PeerUnavailable) && codes.From(err).Field() == refusedField
}

// Close closes all connections.
func (c *Client) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, conn := range c.conns {
		_ = conn.Close()
	}
	clear(c.conns)
}

// connect returns a connection to the address, opening one if necessary, and adds a pending call to it.
func (c *Client) connect(ctx context.Context, address string) (*connection, error) {
	c.mu.Lock()
	conn, ok := c.conns[address]
	if ok {
		conn.pending++
	}
	c.mu.Unlock()
	if ok {
		return conn, nil
	}
	raw, err := c.link.Dial(c.dialer(address))(ctx, "tcp", address)
	if err != nil {
		return nil, dialError(err)
	}
	codec := &clientCodec{codec: newCodec(raw)}
	created := &connection{Client: rpc.NewClientWithCodec(codec), codec: codec, pending: 1}
	c.mu.Lock()
	defer c.mu.Unlock()
	if conn, ok := c.conns[address]; ok {
		_ = created.Close()
		conn.pending++
		return conn, nil
	}
	c.conns[address] = created
	return created, nil
}

// replace makes the next call open a new connection. TCP retransmits a lost packet at doubling intervals, so after an outage of
// 20 s a connection may stall for up to 5 s more, while a new one works at once. The calls pending on the old connection can
// still receive their responses.
func (c *Client) replace(address string, conn *connection) {
	c.mu.Lock()
	defer c.mu.Unlock()
	conn.replaced = true
	if c.conns[address] == conn {
		delete(c.conns, address)
	}
}

// release removes a pending call from the connection, and closes a replaced connection after its last call.
func (c *Client) release(conn *connection) {
	c.mu.Lock()
	conn.pending--
	last := conn.replaced && conn.pending == 0
	c.mu.Unlock()
	if last {
		_ = conn.Close()
	}
}

// dialer returns a dialer that is bound to the client's source address. If that address cannot reach the target, because they
// differ in family or only one is a loopback address, the operating system chooses the source address.
func (c *Client) dialer(address string) *net.Dialer {
	d := &net.Dialer{Timeout: dialTimeout}
	target, err := netip.ParseAddrPort(address)
	if err == nil && c.source.Is4() == target.Addr().Is4() && c.source.IsLoopback() == target.Addr().IsLoopback() {
		d.LocalAddr = net.TCPAddrFromAddrPort(netip.AddrPortFrom(c.source, 0))
	}
	return d
}

// result returns the coded error of a finished call, and closes the connection if that failed.
func (c *Client) result(address string, conn *connection, err error) error {
	var remote rpc.ServerError
	switch {
	case err == nil:
		return nil
	case errors.As(err, &remote):
		return codes.New(codes.BadPeerMessage, string(remote))
	}
	c.mu.Lock()
	if c.conns[address] == conn {
		delete(c.conns, address)
	}
	c.mu.Unlock()
	_ = conn.Close()
	return codes.New(codes.PeerUnavailable, err.Error())
}
