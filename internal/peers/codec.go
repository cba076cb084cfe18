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

// MaxMessageBytes bounds one message between daemons.
const MaxMessageBytes = 1 << 20

// idleTimeout ends a connection whose peer sends nothing; heartbeats come each second.
const idleTimeout = 30 * time.Second

var errMessageTooLarge = errors.New("peer message is too large")

type (
	// boundedReader fails once a message has taken more bytes than allowed; the codec resets it between messages.
	boundedReader struct {
		reader io.Reader
		left   int
	}

	codec struct {
		conn    net.Conn
		bounded *boundedReader
		decoder *gob.Decoder
		buffer  *bufio.Writer
		encoder *gob.Encoder
	}

	serverCodec struct{ codec }

	clientCodec struct {
		codec
		answers atomic.Uint64 // Answers counts what has arrived.
	}
)

func newCodec(conn net.Conn) codec {
	b := &boundedReader{reader: bufio.NewReader(conn), left: MaxMessageBytes}
	w := bufio.NewWriter(conn)
	return codec{conn, b, gob.NewDecoder(b), w, gob.NewEncoder(w)}
}

// Read reads at most what is left of the bound.
func (b *boundedReader) Read(p []byte) (int, error) {
	if b.left <= 0 {
		return 0, errMessageTooLarge
	}
	n, err := b.reader.Read(p[:min(len(p), b.left)])
	b.left -= n
	return n, err
}

// ReadByte lets gob read without a buffer of its own, which would take bytes of the next message.
func (b *boundedReader) ReadByte() (byte, error) {
	var one [1]byte
	_, err := io.ReadFull(b, one[:])
	return one[0], err
}

func (c *codec) readHeader(header any) error {
	c.bounded.left = MaxMessageBytes
	return c.decode(header)
}

func (c *codec) readBody(body any) error { return c.decode(body) }

// decode turns a panic of gob into an error: on some malformed messages gob panics while it skips a value (found by
// FuzzServer), and a faulty peer must not end the daemon.
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
	return c.buffer.Flush()
}

// Close closes the connection.
func (c *codec) Close() error { return c.conn.Close() }

// ReadRequestHeader waits for the next request.
func (c *serverCodec) ReadRequestHeader(r *rpc.Request) error {
	_ = c.conn.SetReadDeadline(time.Now().Add(idleTimeout))
	return c.readHeader(r)
}

// ReadRequestBody reads the argument of a request. After a fault the place of the next message is unknown, so the
// connection ends.
func (c *serverCodec) ReadRequestBody(body any) error {
	err := c.readBody(body)
	if err != nil {
		_ = c.Close()
	}
	return err
}

// WriteResponse sends an answer.
func (c *serverCodec) WriteResponse(r *rpc.Response, body any) error {
	_ = c.conn.SetWriteDeadline(time.Now().Add(CallTimeout))
	return c.write(r, body)
}

// WriteRequest sends a request.
func (c *clientCodec) WriteRequest(r *rpc.Request, body any) error {
	_ = c.conn.SetWriteDeadline(time.Now().Add(CallTimeout))
	return c.write(r, body)
}

// ReadResponseHeader waits for the next answer.
func (c *clientCodec) ReadResponseHeader(r *rpc.Response) error {
	err := c.readHeader(r)
	if err == nil {
		c.answers.Add(1)
	}
	return err
}

// ReadResponseBody reads the value of an answer.
func (c *clientCodec) ReadResponseBody(body any) error { return c.readBody(body) }
