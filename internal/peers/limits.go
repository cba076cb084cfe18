package peers

import (
	"net"
	"time"

	"github.com/cockroachdb/errors"
)

// Reasons for which a peer's connection is closed.
const (
	ReasonConnections = "peerConnections" // made room for another connection
	ReasonMemory      = "peerMemory"      // its message made room for another one, or found no room
)

const (
	// smallMessage is the size of messages that are not counted, because each connection has room for one.
	smallMessage = 16 << 10
	// fileShare is the share of the descriptors for connections of peers, and memoryShare that of the memory, for connections and for messages.
	fileShare   = 0.2
	memoryShare = 1.0 / 16
)

var errNoRoom = errors.New("too many messages from peers at once")

type (
	// Limits bound what peers may occupy. Zero values mean no limit.
	Limits struct {
		Connections int
		Bytes       int64 // messages in progress, small ones excepted
		// Report is called for each connection that is closed because of a limit; nil means that none is reported.
		Report func(reason string, address net.Addr)
	}

	// serverConn is a connection of a peer. Its fields are guarded by Server.mu.
	serverConn struct {
		net.Conn
		server *Server
		held   int64     // bytes of the current message
		since  time.Time // when the connection was opened, or its last message ended
	}
)

// LimitsFor returns limits that follow from the memory, in bytes, and the descriptors of a process.
func LimitsFor(memory int64, files int) Limits {
	bytes := int64(memoryShare * float64(memory))
	return Limits{Connections: max(1, min(int(fileShare*float64(files)), int(bytes/smallMessage))), Bytes: max(bytes, 2*MaxMessageBytes)}
}

// Limit sets the limits. It must be called before Serve.
func (s *Server) Limit(l Limits) { s.limits = l }

// add registers a connection. If there are too many, the one that has sent no complete message for longest is closed.
func (s *Server) add(conn net.Conn) *serverConn {
	c := &serverConn{Conn: conn, server: s, since: time.Now()}
	s.mu.Lock()
	var victim *serverConn
	if s.limits.Connections > 0 && len(s.conns) >= s.limits.Connections {
		victim = s.oldest(nil)
	}
	s.conns[c] = true
	if victim != nil {
		delete(s.conns, victim)
		s.used -= victim.held
		victim.held = 0
	}
	s.mu.Unlock()
	s.evict(victim, ReasonConnections)
	return c
}

// oldest returns the connection other than c that has sent no complete message for longest, or nil. The lock must be held.
func (s *Server) oldest(c *serverConn) *serverConn {
	var found *serverConn
	for x := range s.conns {
		if x != c && (c == nil || x.held > 0) && (found == nil || x.since.Before(found.since)) {
			found = x
		}
	}
	return found
}

func (s *Server) evict(c *serverConn, reason string) {
	if c == nil {
		return
	}
	_ = c.Close()
	if s.limits.Report != nil {
		s.limits.Report(reason, c.RemoteAddr())
	}
}

// reserve counts n bytes of the current message. If there is no room, the message that has taken longest is given up, unless it has taken less
// than the time limit of a call.
func (c *serverConn) reserve(n int) error {
	s, need := c.server, int64(n)
	if need <= smallMessage || s.limits.Bytes == 0 {
		return nil
	}
	for {
		s.mu.Lock()
		more := max(0, need-c.held)
		if s.used+more <= s.limits.Bytes {
			c.held += more
			s.used += more
			s.mu.Unlock()
			return nil
		}
		victim := s.oldest(c)
		if victim == nil || time.Since(victim.since) < CallTimeout {
			s.mu.Unlock()
			s.evict(c, ReasonMemory)
			return errNoRoom
		}
		s.used -= victim.held
		victim.held = 0
		s.mu.Unlock()
		s.evict(victim, ReasonMemory)
	}
}

// release records the end of a message.
func (c *serverConn) release() {
	s := c.server
	s.mu.Lock()
	defer s.mu.Unlock()
	s.used -= c.held
	c.held, c.since = 0, time.Now()
}
