package peers

import (
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"net/rpc"
	"regexp"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/fireflycleat/fireflycleat/internal/telem"
	"github.com/fireflycleat/fireflycleat/pkg/codes"
	"github.com/fireflycleat/fireflycleat/pkg/route"
)

type (
	echo  struct{}
	delay struct{}
)

// Wait replies after the given duration.
func (delay) Wait(d time.Duration, _ *int) error {
	time.Sleep(d)
	return nil
}

// Echo returns its argument.
func (echo) Echo(text string, reply *string) error {
	*reply = text
	return nil
}

// Heartbeat returns its argument.
func (echo) Heartbeat(a Heartbeat, reply *Heartbeat) error {
	*reply = a
	return nil
}

// startEcho returns a running echo server and a client for it. Both are closed at the end of the test.
func startEcho(c *qt.C, server, client telem.Link) (*Server, *Client) {
	s, err := Listen("127.0.0.1:0", echo{}, server)
	c.Assert(err, qt.IsNil)
	go func() { _ = s.Serve() }()
	c.Cleanup(s.Close)
	p := NewClient(netip.MustParseAddr("127.0.0.1"), client)
	c.Cleanup(p.Close)
	return s, p
}

// TestNoticesOnTheWire guards against notices about slow upstreams that are lost or changed on the wire.
func TestNoticesOnTheWire(t *testing.T) {
	c := qt.New(t)
	s, p := startEcho(c, telem.Link{}, telem.Link{})
	sent := Heartbeat{Speeds: []route.Notice{{
		Upstream: "u0", Slow: true, Age: time.Second, Left: 4 * time.Second, Strikes: 1, Token: 5.1, First: 3.2,
	}}}
	var got Heartbeat
	c.Assert(p.Call(context.Background(), s.Address(), "Peer.Heartbeat", sent, &got), qt.IsNil)
	c.Assert(got.Speeds, qt.DeepEquals, sent.Speeds)
}

// TestSizeLimit guards against reading an oversized message into memory, and against keeping the broken connection.
func TestSizeLimit(t *testing.T) {
	c := qt.New(t)
	s, p := startEcho(c, telem.Link{}, telem.Link{})
	var reply string
	for _, size := range []int{10, MaxMessageBytes / 2, 2 * MaxMessageBytes, 10} {
		err := p.Call(context.Background(), s.Address(), "Peer.Echo", strings.Repeat("x", size), &reply)
		if size > MaxMessageBytes {
			c.Assert(codes.From(err).Code(), qt.Equals, codes.PeerUnavailable)
			continue
		}
		c.Assert(err, qt.IsNil)
		c.Assert(len(reply), qt.Equals, size)
	}
}

// TestBytesAreCounted guards against control traffic that the metrics omit: both ends must count the bytes of each message.
func TestBytesAreCounted(t *testing.T) {
	c := qt.New(t)
	server, client := telem.NewMetrics(), telem.NewMetrics()
	s, p := startEcho(c, server.Link(telem.PeerLink), client.Link(telem.PeerLink))
	var reply string
	c.Assert(p.Call(context.Background(), s.Address(), "Peer.Echo", strings.Repeat("x", 1000), &reply), qt.IsNil)
	for _, m := range []*telem.Metrics{server, client} {
		for _, direction := range []string{"read", "written"} {
			pattern := `(?s).*control_bytes_total\{direction="` + direction + `",link="peers"\} 1[0-9]{3}\n.*`
			counted := regexp.MustCompile("^(" + pattern + ")$")
			// A connection counts bytes after its write has returned, so the client may have the reply before the server has
			// counted it.
			for limit := time.Now().Add(5 * time.Second); !counted.MatchString(metricsText(m)) && time.Now().Before(limit); {
				time.Sleep(time.Millisecond)
			}
			c.Check(metricsText(m), qt.Matches, pattern)
		}
	}
}

// metricsText returns the metrics in the text format that a scrape gets.
func metricsText(m *telem.Metrics) string {
	text := httptest.NewRecorder()
	m.Handler().ServeHTTP(text, httptest.NewRequest(http.MethodGet, "/metrics", nil))
	return text.Body.String()
}

// TestRefused guards against a server that crashes on bytes that are not gob, and against a timeout classified as a refused
// connection.
func TestRefused(t *testing.T) {
	c := qt.New(t)
	s, err := Listen("127.0.0.1:0", echo{}, telem.Link{})
	c.Assert(err, qt.IsNil)
	go func() { _ = s.Serve() }()
	raw, err := net.Dial("tcp", s.Address())
	c.Assert(err, qt.IsNil)
	_, err = raw.Write([]byte("GET / HTTP/1.1\r\n\r\n"))
	c.Assert(err, qt.IsNil)
	_ = raw.Close()
	p := NewClient(netip.MustParseAddr("127.0.0.1"), telem.Link{})
	var reply string
	c.Assert(p.Call(context.Background(), s.Address(), "Peer.Echo", "x", &reply), qt.IsNil)
	p.Close()
	s.Close()
	err = p.Call(context.Background(), s.Address(), "Peer.Echo", "x", &reply)
	c.Assert(Refused(err), qt.IsTrue)
	c.Assert(Refused(codes.New(codes.PeerUnavailable, "timeout")), qt.IsFalse)
}

// TestStalledConnectionIsReplaced guards against calls that keep using a connection on which the network delivers nothing, and
// against losing a late response on the replaced connection.
func TestStalledConnectionIsReplaced(t *testing.T) {
	c := qt.New(t)
	s, err := Listen("127.0.0.1:0", delay{}, telem.Link{})
	c.Assert(err, qt.IsNil)
	go func() { _ = s.Serve() }()
	t.Cleanup(s.Close)
	p := NewClient(netip.MustParseAddr("127.0.0.1"), telem.Link{})
	t.Cleanup(p.Close)
	const limit = 50 * time.Millisecond
	late := make(chan error, 1)
	go func() {
		var reply int
		late <- p.CallWithin(context.Background(), time.Minute, s.Address(), "Peer.Wait", 10*limit, &reply)
	}()
	for conns := 0; conns == 0; time.Sleep(time.Millisecond) {
		p.mu.Lock()
		conns = len(p.conns)
		p.mu.Unlock()
	}
	replaced := p.conns[s.Address()]
	var reply int
	c.Assert(p.CallWithin(context.Background(), limit, s.Address(), "Peer.Wait", time.Minute, &reply), qt.IsNotNil)
	c.Assert(p.CallWithin(context.Background(), time.Minute, s.Address(), "Peer.Wait", time.Duration(0), &reply), qt.IsNil)
	p.mu.Lock()
	c.Assert(p.conns[s.Address()] != replaced, qt.IsTrue)
	p.mu.Unlock()
	c.Assert(<-late, qt.IsNil)
	// The last response closes the old connection, so its client rejects further calls.
	c.Assert(replaced.Call("Peer.Wait", time.Duration(0), &reply), qt.Equals, rpc.ErrShutdown)
}

// FuzzServer guards against a panic or an unbounded read on malformed bytes from a peer.
func FuzzServer(f *testing.F) {
	f.Add([]byte("GET / HTTP/1.1\r\n\r\n"))
	f.Add([]byte{0x7f, 0xff, 0xff, 0xff, 0xff})
	f.Fuzz(func(_ *testing.T, data []byte) {
		server := rpc.NewServer()
		_ = server.RegisterName(ServiceName, echo{})
		near, far := net.Pipe()
		go func() {
			_, _ = far.Write(data)
			_ = far.Close()
		}()
		server.ServeCodec(&serverCodec{newCodec(near)})
	})
}
