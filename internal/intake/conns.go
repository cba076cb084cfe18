package intake

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"os"
	"time"

	"golang.org/x/sys/unix"

	"github.com/fireflycleat/fireflycleat/pkg/codes"
)

// refusalTime limits how long a refused client may take to read the response before its connection is closed.
const refusalTime = 500 * time.Millisecond

type (
	// Response is what a refused client gets beside the status.
	Response struct {
		ContentType string
		RetryAfter  string // value of the header; empty means none
		Body        string
	}

	// NetConn is a client's connection whose bytes are charged to its account.
	NetConn struct {
		net.Conn
		gate    *Gate
		account *Conn // nil if the connection has no limits
	}

	// Listener accepts connections that have an account, and closes those for which there is no room.
	Listener struct {
		net.Listener
		Gate *Gate // nil means that connections have no limits
	}

	accountKey struct{}
)

// Wrap returns the connection with an account, or false if there is no room for it.
func (g *Gate) Wrap(conn net.Conn) (c *NetConn, ok bool) {
	c = &NetConn{Conn: conn, gate: g}
	if g == nil {
		return c, true
	}
	c.account, ok = g.Open(AddressOf(conn.RemoteAddr()), func() { _ = conn.SetReadDeadline(time.Unix(1, 0)) })
	return c, ok
}

// AddressOf returns the IP address of a client.
func AddressOf(address net.Addr) netip.Addr {
	if a, isTCP := address.(*net.TCPAddr); isTCP {
		return a.AddrPort().Addr().Unmap()
	}
	return netip.Addr{}
}

// Accept implements net.Listener.
func (l Listener) Accept() (net.Conn, error) {
	for {
		conn, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if c, ok := l.Gate.Wrap(conn); ok {
			return c, nil
		}
		_ = conn.Close()
	}
}

// Account returns the account of the connection, which may be nil.
func (c *NetConn) Account() *Conn { return c.account }

// Read implements net.Conn.
func (c *NetConn) Read(b []byte) (int, error) {
	if c.account.Interrupted() {
		return 0, os.ErrDeadlineExceeded
	}
	n, err := c.Conn.Read(b)
	if n > 0 {
		if refusal := c.account.Receive(b[:n]); refusal != nil {
			c.refuse(refusal, b)
			return 0, io.EOF
		}
	}
	return n, err
}

// Close implements net.Conn.
func (c *NetConn) Close() error {
	c.account.Close()
	return c.Conn.Close()
}

// CloseWrite closes the sending side of the connection. net/http calls it so that a client can read a response before the connection is reset.
func (c *NetConn) CloseWrite() error {
	if t, ok := c.Conn.(*net.TCPConn); ok {
		return t.CloseWrite()
	}
	return nil
}

// refuse sends an error response before the head of a request is complete, which net/http could not, and reads on for a while without keeping
// anything, because a connection that is closed with unread bytes is reset.
func (c *NetConn) refuse(err error, buffer []byte) {
	end := time.Now().Add(refusalTime)
	_ = c.SetDeadline(end)
	e := codes.From(err)
	r := c.gate.format(e)
	header := ""
	if r.RetryAfter != "" {
		header = "Retry-After: " + r.RetryAfter + "\r\n"
	}
	_, writeErr := fmt.Fprintf(c.Conn, "HTTP/1.1 %d %s\r\nContent-Type: %s\r\nConnection: close\r\n%sContent-Length: %d\r\n\r\n%s",
		e.Code().HTTPStatus(), http.StatusText(e.Code().HTTPStatus()), r.ContentType, header, len(r.Body), r.Body)
	if writeErr != nil || c.CloseWrite() != nil {
		return
	}
	for err := error(nil); err == nil && time.Now().Before(end); {
		_, err = c.Conn.Read(buffer)
	}
}

// MaxFiles returns the limit on the open descriptors of the process.
func MaxFiles() int {
	var limit unix.Rlimit
	if unix.Getrlimit(unix.RLIMIT_NOFILE, &limit) != nil {
		return 0
	}
	return int(min(limit.Cur, 1<<20)) //nolint:gosec // bounded
}

// ConnContext is a function for http.Server.ConnContext that makes the account of a connection known to AccountOf.
func ConnContext(ctx context.Context, conn net.Conn) context.Context {
	if c, ok := conn.(interface{ Account() *Conn }); ok {
		return context.WithValue(ctx, accountKey{}, c.Account())
	}
	return ctx
}

// ConnState is a function for http.Server.ConnState that records which connections are idle.
func ConnState(conn net.Conn, state http.ConnState) {
	if c, ok := conn.(interface{ Account() *Conn }); ok && state == http.StateIdle {
		c.Account().SetIdle()
	}
}

// AccountOf returns the account of the request's connection, which may be nil.
func AccountOf(q *http.Request) *Conn {
	c, _ := q.Context().Value(accountKey{}).(*Conn)
	return c
}

// Handler returns the handler with the limits on heads. What a request holds is released when it ends.
func (g *Gate) Handler(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
		a := AccountOf(q)
		defer a.EndRequest()
		if err := a.BeginRequest(headSize(q), q.Body != http.NoBody); err != nil {
			e := codes.From(err)
			r := g.format(e)
			w.Header().Set("Content-Type", r.ContentType)
			w.Header().Set("Connection", "close")
			w.WriteHeader(e.Code().HTTPStatus())
			_, _ = io.WriteString(w, r.Body) // The client may have disconnected.
			a.Refuse()
			return
		}
		h.ServeHTTP(w, q)
	})
}

// headSize returns the least number of bytes that the head of the request had.
func headSize(q *http.Request) int64 {
	n := len(q.Method) + len(q.RequestURI) + len(q.Proto) + len(q.Host) + len("  \r\nHost:\r\n\r\n")
	for name, values := range q.Header {
		for _, v := range values {
			n += len(name) + len(v) + len(":\r\n")
		}
	}
	return int64(n)
}
