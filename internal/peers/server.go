package peers

import (
	"net"
	"net/rpc"
	"sync"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/fireflycleat/fireflycleat/internal/telem"
)

const (
	// ServiceName is the net/rpc service name of a daemon's methods.
	ServiceName = "Peer"
	// acceptRetryDelay is the delay before the next accept after file descriptors ran out.
	acceptRetryDelay = 100 * time.Millisecond
)

// Server accepts calls from other daemons.
type Server struct {
	listener net.Listener
	link     telem.Link
	rpc      *rpc.Server
	limits   Limits
	mu       sync.Mutex
	conns    map[*serverConn]bool
	used     int64 // sum of serverConn.held
}

// Listen returns a server that listens on the address and serves the methods of the service.
func Listen(address string, service any, link telem.Link) (*Server, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, errors.Wrap(err, "listen for peers")
	}
	s := &Server{listener: l, link: link, rpc: rpc.NewServer(), conns: make(map[*serverConn]bool)}
	if err := s.rpc.RegisterName(ServiceName, service); err != nil {
		_ = l.Close()
		return nil, errors.Wrap(err, "register peer service")
	}
	return s, nil
}

// Address returns the address that the server listens on.
func (s *Server) Address() string { return s.listener.Addr().String() }

// Serve accepts connections until Close is called. When file descriptors run out, it retries and accepts the waiting connections
// later.
func (s *Server) Serve() error {
	for {
		conn, err := s.listener.Accept()
		if errors.Is(err, syscall.EMFILE) || errors.Is(err, syscall.ENFILE) {
			time.Sleep(acceptRetryDelay)
			continue
		}
		if err != nil {
			return err
		}
		go s.serve(s.add(conn))
	}
}

// Close stops accepting and closes all connections.
func (s *Server) Close() {
	_ = s.listener.Close()
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		_ = c.Close()
	}
}

func (s *Server) serve(c *serverConn) {
	codec := newCodec(s.link.Wrap(c))
	codec.bounded.reserve, codec.bounded.release = c.reserve, c.release
	s.rpc.ServeCodec(&serverCodec{codec})
	c.release()
	s.mu.Lock()
	delete(s.conns, c)
	s.mu.Unlock()
}
