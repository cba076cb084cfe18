package peers

import (
	"bytes"
	"encoding/gob"
	"io"
	"net"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
)

// limitedServer returns a server with room for two connections and one large message, and what it reports.
func limitedServer() (s *Server, reported *[]string) {
	s, reported = &Server{conns: make(map[*serverConn]bool)}, new([]string)
	s.Limit(Limits{Connections: 2, Bytes: MaxMessageBytes, Report: func(reason string, _ net.Addr) { *reported = append(*reported, reason) }})
	return s, reported
}

func pipe() net.Conn {
	near, _ := net.Pipe()
	return near
}

// TestOldestConnectionMakesRoom guards against connections that send nothing and keep a peer out.
func TestOldestConnectionMakesRoom(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, reported := limitedServer()
		silent := s.add(pipe())
		time.Sleep(time.Second)
		peer := s.add(pipe())
		time.Sleep(time.Second)
		silent.release() // a message has arrived
		third := s.add(pipe())
		qt.Check(t, s.conns[silent] && s.conns[third] && !s.conns[peer], qt.IsTrue)
		qt.Check(t, slices.Equal(*reported, []string{ReasonConnections}), qt.IsTrue)
		_, err := peer.Write([]byte("x"))
		qt.Check(t, err, qt.ErrorIs, io.ErrClosedPipe)
	})
}

// TestLargeMessages guards against large messages that exceed the limit together, against one that has stalled and keeps others out, and against a
// count that outlasts a message.
func TestLargeMessages(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, reported := limitedServer()
		other := s.add(pipe())
		time.Sleep(time.Millisecond) // The connection that makes room first is the older one.
		stalled := s.add(pipe())
		qt.Assert(t, stalled.reserve(MaxMessageBytes-1), qt.IsNil)
		qt.Check(t, other.reserve(smallMessage), qt.IsNil)
		qt.Check(t, other.reserve(smallMessage+1), qt.ErrorIs, errNoRoom)
		time.Sleep(CallTimeout)
		other = s.add(pipe()) // The first other connection makes room.
		qt.Check(t, other.reserve(MaxMessageBytes-1), qt.IsNil)
		qt.Check(t, slices.Equal(*reported, []string{ReasonMemory, ReasonConnections, ReasonMemory}), qt.IsTrue, qt.Commentf("%v", *reported))
		for _, c := range []*serverConn{stalled, other} {
			c.release()
		}
		qt.Check(t, s.used, qt.Equals, int64(0))
	})
}

// TestLengthsBeforeMessages guards against a message that is read into memory before its length was counted.
func TestLengthsBeforeMessages(t *testing.T) {
	var b bytes.Buffer
	e := gob.NewEncoder(&b)
	var counted []int
	r := &boundedReader{reader: &b, remaining: MaxMessageBytes, reserve: func(n int) error {
		counted = append(counted, n)
		return nil
	}}
	d := gob.NewDecoder(r)
	for _, n := range []int{1, 100, 200, 70_000} {
		qt.Assert(t, e.Encode(Directory{Cell: string(make([]byte, n))}), qt.IsNil)
		var x Directory
		qt.Assert(t, d.Decode(&x), qt.IsNil)
		qt.Check(t, len(x.Cell), qt.Equals, n)
	}
	qt.Check(t, slices.Max(counted) > 70_000 && slices.Max(counted) < 70_100, qt.IsTrue, qt.Commentf("%v", counted))
	qt.Check(t, r.frame.rest+uint64(r.frame.prefix), qt.Equals, uint64(0)) //nolint:gosec // not negative

	b.Write([]byte{0xfc, 0x7f, 0xff, 0xff, 0xff})
	r.remaining = MaxMessageBytes
	var x Directory
	qt.Check(t, d.Decode(&x), qt.ErrorIs, errMessageTooLarge)
}
