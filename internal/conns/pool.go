package conns

import (
	"bufio"
	"context"
	"net"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sys/unix"
)

const (
	maxIdlePerAddress = 16
	// keepAliveMargin is subtracted from the idle time that the other side states in whole seconds.
	keepAliveMargin = 700 * time.Millisecond
	// defaultIdle is how long a connection is kept if the other side states no idle time.
	defaultIdle = 2 * time.Second
	readBuffer  = 4 << 10
)

type (
	// Settings are the times of a pool.
	Settings struct {
		DialTimeout time.Duration // DialTimeout limits the opening of a connection.
		UserTimeout time.Duration // UserTimeout limits how long sent data may stay unacknowledged; it finds silent connections.
	}

	// Pool keeps idle connections to many addresses; it is safe for concurrent use.
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
		reader  *bufio.Reader
		address string
		used    time.Time     // used is when the last answer ended.
		keep    time.Duration // keep is how long the connection may stay idle.
		fresh   bool
	}
)

// New returns an empty pool.
func New(s Settings) *Pool {
	p := &Pool{settings: s, idle: make(map[string][]*conn)}
	p.dialer = net.Dialer{
		Timeout:         s.DialTimeout,
		KeepAliveConfig: KeepAlive(),
		Control: func(_, _ string, c syscall.RawConn) error {
			return UserTimeout(c, s.UserTimeout)
		},
	}
	return p
}

// KeepAlive returns probes that find a silent connection within three seconds.
func KeepAlive() net.KeepAliveConfig {
	return net.KeepAliveConfig{Enable: true, Idle: time.Second, Interval: time.Second, Count: 2}
}

// UserTimeout sets how long sent data may stay unacknowledged on the socket.
func UserTimeout(c syscall.RawConn, d time.Duration) error {
	var failed error
	err := c.Control(func(fd uintptr) {
		failed = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(d.Milliseconds()))
	})
	return errors.CombineErrors(err, failed)
}

// Opened returns the number of connections opened so far, and how often an idle one was used again.
func (p *Pool) Opened() (opened, reused int64) { return p.opened.Load(), p.reused.Load() }

// Drop closes the idle connections to the address.
func (p *Pool) Drop(address string) {
	p.mu.Lock()
	list := p.idle[address]
	delete(p.idle, address)
	p.mu.Unlock()
	for _, c := range list {
		_ = c.Close()
	}
}

// Close closes all idle connections and keeps none from now on.
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

// take returns a connection that was idle for less than maxIdle, or opens one.
func (p *Pool) take(ctx context.Context, address string, maxIdle time.Duration) (*conn, error) {
	for {
		c := p.pop(address)
		if c == nil {
			break
		}
		if time.Since(c.used) < min(c.keep, maxIdle) && c.quiet() {
			c.fresh = false
			p.reused.Add(1)
			return c, nil
		}
		_ = c.Close()
	}
	raw, err := p.dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	p.opened.Add(1)
	return &conn{Conn: raw, reader: bufio.NewReaderSize(raw, readBuffer), address: address, keep: defaultIdle, fresh: true}, nil
}

func (p *Pool) pop(address string) *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := p.idle[address]
	if len(list) == 0 {
		return nil
	}
	c := list[len(list)-1]
	p.idle[address] = list[:len(list)-1]
	return c
}

// give keeps the connection for another request.
func (p *Pool) give(c *conn) {
	c.used = time.Now()
	p.mu.Lock()
	list := p.idle[c.address]
	var drop *conn
	if p.closed {
		drop = c
	} else {
		if len(list) >= maxIdlePerAddress {
			drop = list[0]
			list = slices.Delete(list, 0, 1)
		}
		p.idle[c.address] = append(list, c)
	}
	p.mu.Unlock()
	if drop != nil {
		_ = drop.Close()
	}
}

// quiet reports whether nothing has arrived on an idle connection: neither its end nor bytes that belong to no request.
func (c *conn) quiet() bool {
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
	quiet := false
	err = raw.Read(func(fd uintptr) bool {
		var b [1]byte
		_, _, err := unix.Recvfrom(int(fd), b[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		quiet = errors.Is(err, unix.EAGAIN)
		return true
	})
	return err == nil && quiet
}

// keepTime returns how long the connection may stay idle after an answer with the header value.
func keepTime(header string) time.Duration {
	for part := range strings.SplitSeq(header, ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(part), "=")
		if strings.EqualFold(name, "timeout") {
			if n, err := strconv.Atoi(value); err == nil && n > 0 {
				return max(time.Duration(n)*time.Second-keepAliveMargin, 0)
			}
		}
	}
	return defaultIdle
}
