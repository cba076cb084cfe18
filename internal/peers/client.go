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
	// CallTimeout is the longest time that a call between daemons may take.
	CallTimeout = 2 * time.Second
	dialTimeout = time.Second
)

type (
	// Client calls other daemons. It keeps one connection to each and is safe for concurrent use.
	Client struct {
		source netip.Addr
		link   telem.Link
		mu     sync.Mutex
		conns  map[string]*connection
	}

	connection struct {
		*rpc.Client
		codec    *clientCodec
		calls    int  // Calls counts the calls that wait for an answer.
		replaced bool // Replaced connections take no new calls and are closed when no call waits.
	}
)

// NewClient returns a client without connections. Its connections come from the source address, so that a host with several
// addresses is known to the others, and to what filters between them, by the one that it listens on.
func NewClient(source netip.Addr, link telem.Link) *Client {
	return &Client{source: source, link: link, conns: make(map[string]*connection)}
}

// Call calls the method of the daemon at the address. The reply must not be read after an error, because a late answer may
// still be written into it. A PeerUnavailable error has the outcome NotRun when the connection
// was refused or could not be opened, else Unknown.
func (c *Client) Call(ctx context.Context, address, method string, args, reply any) error {
	return c.CallWithin(ctx, CallTimeout, address, method, args, reply)
}

// CallWithin is Call with another time limit.
func (c *Client) CallWithin(ctx context.Context, limit time.Duration, address, method string, args, reply any) error {
	began := time.Now()
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	conn, err := c.connect(ctx, address)
	if err != nil {
		return err
	}
	answers := conn.codec.answers.Load()
	call := conn.Go(method, args, reply, make(chan *rpc.Call, 1))
	select {
	case <-call.Done:
		c.release(conn)
		return c.result(address, conn, call.Error)
	case <-ctx.Done():
		if time.Since(began) >= limit && conn.codec.answers.Load() == answers {
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

// connect returns a connection that counts one more call.
func (c *Client) connect(ctx context.Context, address string) (*connection, error) {
	c.mu.Lock()
	conn, ok := c.conns[address]
	if ok {
		conn.calls++
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
	fresh := &connection{Client: rpc.NewClientWithCodec(codec), codec: codec, calls: 1}
	c.mu.Lock()
	defer c.mu.Unlock()
	if conn, ok := c.conns[address]; ok {
		_ = fresh.Close()
		conn.calls++
		return conn, nil
	}
	c.conns[address] = fresh
	return fresh, nil
}

// replace lets the next call open a new connection. After a lost packet TCP sends again at intervals that double, so a
// connection over a link that was cut for 20 s carries nothing for up to 5 s more, while a new one does at once. Calls on the
// old connection keep their chance of an answer.
func (c *Client) replace(address string, conn *connection) {
	c.mu.Lock()
	defer c.mu.Unlock()
	conn.replaced = true
	if c.conns[address] == conn {
		delete(c.conns, address)
	}
}

// release ends a call; the last one closes a connection that was replaced.
func (c *Client) release(conn *connection) {
	c.mu.Lock()
	conn.calls--
	last := conn.replaced && conn.calls == 0
	c.mu.Unlock()
	if last {
		_ = conn.Close()
	}
}

// dialer leaves the choice of the source address to the system where the client's own cannot reach the target: an address of
// the other family, or a loopback address for another machine.
func (c *Client) dialer(address string) *net.Dialer {
	d := &net.Dialer{Timeout: dialTimeout}
	to, err := netip.ParseAddrPort(address)
	if err == nil && c.source.Is4() == to.Addr().Is4() && c.source.IsLoopback() == to.Addr().IsLoopback() {
		d.LocalAddr = net.TCPAddrFromAddrPort(netip.AddrPortFrom(c.source, 0))
	}
	return d
}

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
