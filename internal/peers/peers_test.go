package peers

import (
	"context"
	"net"
	"net/rpc"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/fireflycleat/fireflycleat/pkg/codes"
	"github.com/fireflycleat/fireflycleat/pkg/route"
)

type echo struct{}

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

// Guards against findings about slowed upstreams that are lost or changed on the wire.
func TestNoticesOnTheWire(t *testing.T) {
	c := qt.New(t)
	s, err := Listen("127.0.0.1:0", echo{})
	c.Assert(err, qt.IsNil)
	go func() { _ = s.Serve() }()
	t.Cleanup(s.Close)
	p := NewClient()
	t.Cleanup(p.Close)
	sent := Heartbeat{Speeds: []route.Notice{{
		Upstream: "u0", Slow: true, Age: time.Second, Left: 4 * time.Second, Strikes: 1, Token: 5.1, First: 3.2,
	}}}
	var got Heartbeat
	c.Assert(p.Call(context.Background(), s.Address(), "Peer.Heartbeat", sent, &got), qt.IsNil)
	c.Assert(got.Speeds, qt.DeepEquals, sent.Speeds)
}

// Guards against an oversized message being read into memory, and against a broken connection being kept.
func TestSizeLimit(t *testing.T) {
	c := qt.New(t)
	s, err := Listen("127.0.0.1:0", echo{})
	c.Assert(err, qt.IsNil)
	go func() { _ = s.Serve() }()
	t.Cleanup(s.Close)
	p := NewClient()
	t.Cleanup(p.Close)
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

// Guards against bytes that are not gob taking the server down, and against a time-out being read as a refusal.
func TestRefusedIsProof(t *testing.T) {
	c := qt.New(t)
	s, err := Listen("127.0.0.1:0", echo{})
	c.Assert(err, qt.IsNil)
	go func() { _ = s.Serve() }()
	raw, err := net.Dial("tcp", s.Address())
	c.Assert(err, qt.IsNil)
	_, err = raw.Write([]byte("GET / HTTP/1.1\r\n\r\n"))
	c.Assert(err, qt.IsNil)
	_ = raw.Close()
	p := NewClient()
	var reply string
	c.Assert(p.Call(context.Background(), s.Address(), "Peer.Echo", "x", &reply), qt.IsNil)
	p.Close()
	s.Close()
	err = p.Call(context.Background(), s.Address(), "Peer.Echo", "x", &reply)
	c.Assert(Refused(err), qt.IsTrue)
	c.Assert(Refused(codes.New(codes.PeerUnavailable, "timeout")), qt.IsFalse)
}

// Guards against a panic or an unbounded read on hostile bytes from a peer.
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
