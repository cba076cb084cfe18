package conns

import (
	"bufio"
	"context"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sys/unix"

	"github.com/fireflycleat/fireflycleat/pkg/ledger"
)

const (
	maxIdlePerAddress = 16
	// maxRefused is the number of refused ids that a connection remembers. Only the attempts of one request share an id.
	maxRefused = 64
	// keepAliveMargin is subtracted from the idle timeout in the Keep-Alive header, which is given in whole seconds.
	keepAliveMargin = 700 * time.Millisecond
	// defaultIdleLimit is how long an idle connection is kept if the response specifies no timeout.
	defaultIdleLimit = 2 * time.Second
	readBufferSize   = 4 << 10
	// unlimited is the value of limitedInput.headBytes while a body is read.
	unlimited = -1
)

type (
	// Settings are the timeouts of a pool.
	Settings struct {
		DialTimeout time.Duration // limit for opening a connection
		UserTimeout time.Duration // limit for sent data to stay unacknowledged, which detects dead connections
	}

	// Pool keeps idle connections by address. It is safe for concurrent use.
	Pool struct {
		settings Settings
		dialer   net.Dialer
		mu       sync.Mutex
		idle     map[string][]*conn
		closed   bool
		opened   atomic.Int64
		reused   atomic.Int64
	}

	conn struct {
		net.Conn
		input     *limitedInput
		reader    *bufio.Reader // reads from input
		address   string
		idleSince time.Time     // end of the last response
		idleLimit time.Duration // how long the connection may stay idle
		// refused holds the ids of the last requests that got another status than success, and unnamed is set after a response without
		// an id. An upstream in trouble may write such a response once more, which then cannot be told from a later one.
		refused []string
		unnamed bool
	}

	// limitedInput reads from a connection and fails when the head of a response is too long.
	limitedInput struct {
		source    net.Conn
		headBytes int // bytes that the head may still have, or unlimited
	}
)

// New returns an empty pool.
func New(s Settings) *Pool {
	p := &Pool{settings: s, idle: make(map[string][]*conn)}
	p.dialer = net.Dialer{
		Timeout:         s.DialTimeout,
		KeepAliveConfig: KeepAlive(),
		Control: func(_, _ string, c syscall.RawConn) error {
			return errors.CombineErrors(UserTimeout(c, s.UserTimeout), Buffers(c, ledger.ResponseBytes, ledger.SocketBytes))
		},
	}
	return p
}

// KeepAlive returns TCP keep-alive settings that detect a dead connection within three seconds.
func KeepAlive() net.KeepAliveConfig {
	return net.KeepAliveConfig{Enable: true, Idle: time.Second, Interval: time.Second, Count: 2}
}

// UserTimeout sets TCP_USER_TIMEOUT, which limits how long sent data may stay unacknowledged on the socket.
func UserTimeout(c syscall.RawConn, d time.Duration) error {
	var optErr error
	err := c.Control(func(fd uintptr) {
		optErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(d.Milliseconds()))
	})
	return errors.CombineErrors(err, optErr)
}

// Buffers sets the sizes of the kernel's buffers of a socket. Without a size they grow to megabytes for each connection whose
// bytes are not read. It must be called before the socket connects or listens; the connections that a listener accepts have the same size.
func Buffers(c syscall.RawConn, receive, send int) error {
	var receiveErr, sendErr error
	err := c.Control(func(fd uintptr) {
		receiveErr = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_RCVBUF, receive)
		sendErr = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_SNDBUF, send)
	})
	return errors.CombineErrors(err, errors.CombineErrors(receiveErr, sendErr))
}

// ConnCounts returns the number of connections opened and the number of times that an idle connection was reused.
func (p *Pool) ConnCounts() (opened, reused int64) { return p.opened.Load(), p.reused.Load() }

// CloseIdle closes the idle connections to the address.
func (p *Pool) CloseIdle(address string) {
	p.mu.Lock()
	list := p.idle[address]
	delete(p.idle, address)
	p.mu.Unlock()
	for _, c := range list {
		_ = c.Close()
	}
}

// Close closes all idle connections. Connections returned later are closed as well.
func (p *Pool) Close() {
	p.mu.Lock()
	lists := p.idle
	p.idle, p.closed = make(map[string][]*conn), true
	p.mu.Unlock()
	for _, list := range lists {
		for _, c := range list {
			_ = c.Close()
		}
	}
}

// get returns a connection for the request that has been idle for less than its limit, or opens one.
func (p *Pool) get(ctx context.Context, q *Request) (*conn, error) {
	for {
		c := p.pop(q)
		if c == nil {
			break
		}
		if time.Since(c.idleSince) < min(c.idleLimit, q.MaxIdle) && c.inputEmpty() {
			p.reused.Add(1)
			return c, nil
		}
		_ = c.Close()
	}
	raw, err := p.dialer.DialContext(ctx, "tcp", q.Address)
	if err != nil {
		return nil, err
	}
	p.opened.Add(1)
	input := &limitedInput{raw, unlimited}
	return &conn{Conn: raw, input: input, reader: bufio.NewReaderSize(input, readBufferSize), address: q.Address, idleLimit: defaultIdleLimit}, nil
}

// Read implements io.Reader.
func (l *limitedInput) Read(b []byte) (int, error) {
	if l.headBytes == unlimited {
		return l.source.Read(b)
	}
	if l.headBytes == 0 {
		return 0, errEndlessHead
	}
	n, err := l.source.Read(b[:min(len(b), l.headBytes)])
	l.headBytes -= n
	return n, err
}

// pop removes the idle connection to the request's address that was used last and on which its response can be told from earlier ones, or
// returns nil.
func (p *Pool) pop(q *Request) *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := p.idle[q.Address]
	for i, c := range slices.Backward(list) {
		if !c.ambiguous(q) {
			p.idle[q.Address] = slices.Delete(list, i, i+1)
			return c
		}
	}
	return nil
}

// ambiguous reports whether an earlier response on the connection, written once more, would pass for the response to the request.
func (c *conn) ambiguous(q *Request) bool {
	if q.Echo == "" {
		return false
	}
	if id := q.id(); id != "" {
		return slices.Contains(c.refused, id)
	}
	return c.unnamed && !q.AllowEarlier
}

// recordResponse records the response to a request on the connection.
func (c *conn) recordResponse(q *Request, status int) {
	switch id := q.id(); {
	case q.Echo == "":
	case id == "":
		c.unnamed = true
	case status >= http.StatusMultipleChoices:
		if len(c.refused) == maxRefused {
			c.refused = slices.Delete(c.refused, 0, 1)
		}
		c.refused = append(c.refused, id)
	}
}

// put adds an idle connection to the pool. If there are already maxIdlePerAddress connections to the address, it closes the oldest
// of them. If the pool is closed, it closes the given connection.
func (p *Pool) put(c *conn) {
	c.idleSince = time.Now()
	p.mu.Lock()
	list := p.idle[c.address]
	var evicted *conn
	if p.closed {
		evicted = c
	} else {
		if len(list) >= maxIdlePerAddress {
			evicted = list[0]
			list = slices.Delete(list, 0, 1)
		}
		p.idle[c.address] = append(list, c)
	}
	p.mu.Unlock()
	if evicted != nil {
		_ = evicted.Close()
	}
}

// inputEmpty reports whether an idle connection is still open and has received no bytes: they would belong to no request.
func (c *conn) inputEmpty() bool {
	if c.reader.Buffered() > 0 {
		return false
	}
	s, ok := c.Conn.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := s.SyscallConn()
	if err != nil {
		return false
	}
	empty := false
	err = raw.Read(func(fd uintptr) bool {
		var b [1]byte
		_, _, err := unix.Recvfrom(int(fd), b[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		empty = errors.Is(err, unix.EAGAIN)
		return true
	})
	return err == nil && empty
}

// parseKeepAlive returns how long the connection may stay idle after a response with the given Keep-Alive header.
func parseKeepAlive(header string) time.Duration {
	for part := range strings.SplitSeq(header, ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(part), "=")
		if strings.EqualFold(name, "timeout") {
			if n, err := strconv.Atoi(value); err == nil && n > 0 {
				return max(time.Duration(n)*time.Second-keepAliveMargin, 0)
			}
		}
	}
	return defaultIdleLimit
}
