package peers

import (
	"bufio"
	"encoding/gob"
	"io"
	"net"
	"net/rpc"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
)

// MaxMessageBytes is the maximum size of a message between daemons.
const MaxMessageBytes = 1 << 20

// idleTimeout is the time after which a connection is closed if the peer sends nothing. Peers send a heartbeat every second.
const idleTimeout = 30 * time.Second

var errMessageTooLarge = errors.New("peer message exceeds the size limit")

type (
	// boundedReader fails when a message exceeds MaxMessageBytes. The codec resets it before each message.
	boundedReader struct {
		reader    io.Reader
		remaining int
		reserve   func(n int) error // called before a buffer for n bytes of a message is allocated; nil means that they are not counted
		release   func()            // called when a message was read; set if reserve is
		frame     frame
	}

	// frame follows the lengths that gob writes before each part of a message. Its decoder allocates a buffer as soon as it has read one.
	frame struct {
		prefix int    // bytes of the length that are missing
		length uint64 // of the current part, as far as it was read
		rest   uint64 // bytes of the current part that are missing
	}

	codec struct {
		conn    net.Conn
		bounded *boundedReader
		decoder *gob.Decoder
		writer  *bufio.Writer
		encoder *gob.Encoder
	}

	serverCodec struct{ codec }

	clientCodec struct {
		codec
		responses atomic.Uint64 // number of response headers received
	}
)

func newCodec(conn net.Conn) codec {
	b := &boundedReader{reader: bufio.NewReader(conn), remaining: MaxMessageBytes}
	w := bufio.NewWriter(conn)
	return codec{conn, b, gob.NewDecoder(b), w, gob.NewEncoder(w)}
}

// Read reads at most the remaining bytes of the message.
func (b *boundedReader) Read(p []byte) (int, error) {
	if b.remaining <= 0 {
		return 0, errMessageTooLarge
	}
	n, err := b.reader.Read(p[:min(len(p), b.remaining)])
	b.remaining -= n
	if b.reserve == nil {
		return n, err
	}
	switch length := b.frame.read(p[:n]); {
	case length > uint64(b.remaining): //nolint:gosec // not negative
		return 0, errMessageTooLarge // io.ReadFull drops an error that comes with all bytes.
	case length > 0:
		if reserveErr := b.reserve(int(length)); reserveErr != nil { //nolint:gosec // bounded
			return 0, reserveErr
		}
	}
	return n, err
}

// read follows the bytes, and returns the length of the last part whose length is among them, or zero. Lengths up to 127 are left out.
func (f *frame) read(p []byte) (length uint64) {
	for len(p) > 0 {
		switch {
		case f.rest > 0:
			n := min(f.rest, uint64(len(p)))
			f.rest, p = f.rest-n, p[n:]
			continue
		case f.prefix > 0:
			f.length = f.length<<8 | uint64(p[0])
			if f.prefix--; f.prefix == 0 {
				f.rest, length = f.length, f.length
			}
		case p[0] <= 0x7f: // The byte is the length.
			f.rest = uint64(p[0])
		default: // The byte is the negated number of bytes of the length, at most 8.
			f.prefix, f.length = -int(int8(p[0])), 0 //nolint:gosec // two's complement
		}
		p = p[1:]
	}
	return length
}

// ReadByte implements io.ByteReader. Without it gob adds its own buffer, which would consume bytes of the next message.
func (b *boundedReader) ReadByte() (byte, error) {
	var one [1]byte
	_, err := io.ReadFull(b, one[:])
	return one[0], err
}

func (c *codec) readHeader(header any) error {
	c.bounded.remaining = MaxMessageBytes
	return c.decode(header)
}

func (c *codec) readBody(body any) error { return c.decode(body) }

// decode converts a panic of gob into an error: gob panics on some malformed messages while it skips a value (found by
// FuzzServer), and a faulty peer must not crash the daemon.
func (c *codec) decode(into any) (err error) {
	defer func() {
		if r := recover(); r != nil {
			err = errors.Newf("peer message is malformed: %v", r)
		}
	}()
	return c.decoder.Decode(into)
}

func (c *codec) write(header, body any) error {
	if err := c.encoder.Encode(header); err != nil {
		return err
	}
	if err := c.encoder.Encode(body); err != nil {
		return err
	}
	return c.writer.Flush()
}

// Close closes the connection.
func (c *codec) Close() error { return c.conn.Close() }

// ReadRequestHeader waits for the next request.
func (c *serverCodec) ReadRequestHeader(r *rpc.Request) error {
	_ = c.conn.SetReadDeadline(time.Now().Add(idleTimeout))
	return c.readHeader(r)
}

// ReadRequestBody reads the argument of a request. It closes the connection after an error, because the start of the next message
// is then unknown.
func (c *serverCodec) ReadRequestBody(body any) error {
	err := c.readBody(body)
	if err != nil {
		_ = c.Close()
	}
	if c.bounded.release != nil {
		c.bounded.release()
	}
	return err
}

// WriteResponse sends a response.
func (c *serverCodec) WriteResponse(r *rpc.Response, body any) error {
	_ = c.conn.SetWriteDeadline(time.Now().Add(CallTimeout))
	return c.write(r, body)
}

// WriteRequest sends a request.
func (c *clientCodec) WriteRequest(r *rpc.Request, body any) error {
	_ = c.conn.SetWriteDeadline(time.Now().Add(CallTimeout))
	return c.write(r, body)
}

// ReadResponseHeader waits for the next response.
func (c *clientCodec) ReadResponseHeader(r *rpc.Response) error {
	err := c.readHeader(r)
	if err == nil {
		c.responses.Add(1)
	}
	return err
}

// ReadResponseBody reads the reply value of a response.
func (c *clientCodec) ReadResponseBody(body any) error { return c.readBody(body) }
