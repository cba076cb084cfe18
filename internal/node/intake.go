package node

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strconv"
	"time"

	"golang.org/x/sys/unix"

	"github.com/fireflycleat/fireflycleat/internal/intake"
	"github.com/fireflycleat/fireflycleat/pkg/codes"
	"github.com/fireflycleat/fireflycleat/pkg/ledger"
)

const (
	// clientShare is the share of the host's memory for what clients send and what is held for them. gcShare is the soft limit of the Go
	// runtime, close to which the garbage collector works harder; it leaves room for garbage beside the clients' share, and at least
	// programBytes for the pages of the program and socketShare for what the kernel holds of connections, which are not the runtime's.
	clientShare  = 0.25
	gcShare      = 0.7
	socketShare  = clientShare / 2
	bytesPerMB   = 1 << 20
	programBytes = 26 * bytesPerMB
	// defaultClientBytes is the memory for clients of a host without memory limit.
	defaultClientBytes = 256 * bytesPerMB
	// connectionShare is the share of the descriptors for clients' connections; each request needs one to an upstream too. reservedFiles are
	// left out, or a quarter of the descriptors if there are few.
	connectionShare = 0.6
	reservedFiles   = 200
	// expiryTicks is the number of ticks between two searches for connections that exceeded a time-out.
	expiryTicks = 5
	// headerSlack is added to the configured time for a head: the host may read it late.
	headerSlack = time.Second
	// refusalTime limits how long a refused client may take to read the response before its connection is closed.
	refusalTime = 500 * time.Millisecond
)

// GCLimit returns the soft memory limit of the Go runtime for the host, or zero if there is none.
func (h HostSettings) GCLimit() int64 {
	memory := h.MemoryMB * bytesPerMB
	return int64(max(min(memory*gcShare, memory*(1-socketShare)-programBytes), memory/2))
}

// clientLimits returns the limits on what clients may occupy.
func (h HostSettings) clientLimits() ledger.Limits {
	budget := int64(h.MemoryMB * clientShare * bytesPerMB)
	if budget <= 0 {
		budget = defaultClientBytes
	}
	files := h.MaxFiles
	if files == 0 {
		var limit unix.Rlimit
		if unix.Getrlimit(unix.RLIMIT_NOFILE, &limit) == nil {
			files = int(min(limit.Cur, 1<<20)) //nolint:gosec // bounded
		}
	}
	return ledger.NewLimits(budget, max(1, int(connectionShare*float64(files-min(reservedFiles, files/4)))))
}

// reportRefusal logs and counts a client that was refused or interrupted.
func (n *Node) reportRefusal(r intake.Refusal) {
	n.metrics.ClientRefused(r.Reason)
	n.log("node").Warn("client refused", "event", eventClientRefused, "reason", r.Reason, "address", r.Address.String(), "bytes", r.Held)
}

// expireClients ends connections that exceed the time-outs of the configuration.
func (n *Node) expireClients() {
	head, idle := headerTimeout, idleTimeout
	if c := n.config.Load(); c != nil {
		if l := c.Limits(); l.HeaderTimeout > 0 {
			head = l.HeaderTimeout
		}
		if l := c.Limits(); l.IdleTimeout > 0 {
			idle = l.IdleTimeout
		}
	}
	n.gate.Expire(head+headerSlack, idle)
}

// open opens the account of the connection, and reports false if there is no room for it.
func (c *callerConn) open() (ok bool) {
	var address netip.Addr
	if a, isTCP := c.RemoteAddr().(*net.TCPAddr); isTCP {
		address = a.AddrPort().Addr().Unmap()
	}
	c.account, ok = c.server.gate.Open(address, func() { _ = c.SetReadDeadline(time.Unix(1, 0)) })
	return ok
}

// Close implements net.Conn.
func (c *callerConn) Close() error {
	c.account.Close()
	return c.Conn.Close()
}

// refuse sends an error response before the head of a request is complete, which net/http could not, and reads on for a while without keeping
// anything, because a connection that is closed with unread bytes is reset.
func (c *callerConn) refuse(err error, buffer []byte) {
	end := time.Now().Add(refusalTime)
	_ = c.SetDeadline(end)
	e := codes.From(err)
	header := ""
	if e.RetryAfter() > 0 {
		header = retryAfterHeader(e)
	}
	body := refusalBody(e)
	_, writeErr := fmt.Fprintf(c.Conn, "HTTP/1.1 %d %s\r\nContent-Type: application/json\r\nConnection: close\r\n%sContent-Length: %d\r\n\r\n%s",
		e.Code().HTTPStatus(), http.StatusText(e.Code().HTTPStatus()), header, len(body), body)
	if writeErr != nil || c.CloseWrite() != nil {
		return
	}
	for err := error(nil); err == nil && time.Now().Before(end); {
		_, err = c.Conn.Read(buffer)
	}
}

func retryAfterHeader(e *codes.Error) string {
	return "Retry-After: " + strconv.FormatFloat(e.RetryAfter().Seconds(), 'f', 2, 64) + "\r\n"
}

func refusalBody(e *codes.Error) string {
	return fmt.Sprintf("{\"code\":%d,\"title\":%q,\"outcome\":%q}\n", e.Code(), e.Code().Title(), e.Outcome())
}

// limitRequests returns the handler with the limits on heads. What a request holds is released when it ends.
func limitRequests(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
		a := intakeOf(q)
		defer a.EndRequest()
		if err := a.BeginRequest(headSize(q), q.Body != http.NoBody); err != nil {
			e := codes.From(err)
			w.Header().Set("Content-Type", "application/json")
			w.Header().Set("Connection", "close")
			w.WriteHeader(e.Code().HTTPStatus())
			_, _ = io.WriteString(w, refusalBody(e)) // The caller may have disconnected.
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

// intakeOf returns the account of the request's connection, which may be nil.
func intakeOf(q *http.Request) *intake.Conn {
	if c, ok := q.Context().Value(callerConnKey{}).(*callerConn); ok {
		return c.account
	}
	return nil
}
