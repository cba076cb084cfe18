package engine

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptrace"
	"strconv"

	"github.com/cockroachdb/errors"
	openai "github.com/sashabaranov/go-openai"

	"github.com/fireflycleat/fireflycleat/internal/wire"
	"github.com/fireflycleat/fireflycleat/pkg/codes"
	"github.com/fireflycleat/fireflycleat/pkg/stream"
)

const (
	readBufferBytes   = 4 << 10
	maxErrorBodyBytes = 16 << 10
	doneMarker        = "[DONE]"
)

type (
	// Request is one attempt to run a request at an engine.
	Request struct {
		ID         string
		Address    string
		Path       string // /v1/chat/completions or /v1/completions
		Body       []byte
		Priority   int // 0 (urgent), 1 (normal) or 2 (bulk)
		ResumeFrom int // index of the first token to send; if zero, the header is omitted
	}

	// Chunk is one event of a streamed response. Done is set on the end marker, which carries no data.
	Chunk struct {
		RequestID string
		Index     int64
		Data      string
		Done      bool
	}

	// Stream reads the chunks of one attempt.
	Stream struct {
		body    io.ReadCloser
		buffer  []byte
		decoder stream.Decoder
		events  []stream.Event
	}

	chunkID struct {
		ID string `json:"id"`
	}
)

// Open sends the request and returns the stream of its response. The outcome of an error states whether the engine may have
// run the request.
func (c *Client) Open(ctx context.Context, q Request) (*Stream, error) {
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+q.Address+q.Path, bytes.NewReader(q.Body))
	if err != nil {
		return nil, errors.Wrap(err, "create engine request")
	}
	r.Header.Set("Content-Type", contentTypeJSON)
	r.Header.Set("Accept", "text/event-stream")
	r.Header.Set(wire.HeaderRequestID, q.ID)
	r.Header.Set(wire.HeaderPriority, strconv.Itoa(q.Priority))
	if q.ResumeFrom > 0 {
		r.Header.Set(wire.HeaderResumeFrom, strconv.Itoa(q.ResumeFrom))
	}
	c.injectTrace(ctx, r.Header)
	reused := false
	trace := &httptrace.ClientTrace{GotConn: func(i httptrace.GotConnInfo) { reused = i.Reused }}
	resp, err := c.traffic.Do(r.WithContext(httptrace.WithClientTrace(ctx, trace)))
	if err != nil {
		return nil, Classify(err)
	}
	if resp.StatusCode != http.StatusOK {
		defer func() { _ = resp.Body.Close() }()
		// An engine in trouble may write an earlier response once more on a kept connection. Only a refusal promises something, so that
		// engines need not return the id with other errors.
		refused := resp.Header.Get(wire.HeaderNotRun) == "true"
		if id := resp.Header.Get(wire.HeaderRequestID); id != q.ID && (id != "" || reused && refused) {
			return nil, codes.Newf(codes.UpstreamUnknown, "%s names request %q instead of %q", resp.Status, id, q.ID)
		}
		return nil, responseError(resp)
	}
	return &Stream{body: resp.Body, buffer: make([]byte, readBufferBytes)}, nil
}

// Next returns the next chunk, or a StreamBroken error if the stream ends before its end marker.
func (s *Stream) Next() (Chunk, error) {
	for len(s.events) == 0 {
		n, err := s.body.Read(s.buffer)
		events, decodeErr := s.decoder.Feed(s.buffer[:n])
		s.events = events
		switch {
		case decodeErr != nil:
			return Chunk{}, decodeErr
		case err != nil && len(events) == 0:
			return Chunk{}, codes.New(codes.StreamBroken, err.Error())
		}
	}
	e := s.events[0]
	s.events = s.events[1:]
	return parseChunk(e)
}

// Close closes the connection, which makes the engine cancel the request.
func (s *Stream) Close() { _ = s.body.Close() }

func parseChunk(e stream.Event) (Chunk, error) {
	if e.Data == doneMarker {
		return Chunk{Done: true}, nil
	}
	index, err := strconv.ParseInt(e.ID, 10, 64)
	if err != nil {
		return Chunk{}, codes.New(codes.StreamBroken, "token index of the chunk is not a number")
	}
	var id chunkID
	if err := json.Unmarshal([]byte(e.Data), &id); err != nil {
		return Chunk{}, codes.New(codes.StreamBroken, "chunk is not valid JSON")
	}
	return Chunk{RequestID: id.ID, Index: index, Data: e.Data}, nil
}

func responseError(resp *http.Response) error {
	b, _ := io.ReadAll(io.LimitReader(resp.Body, maxErrorBodyBytes))
	detail := resp.Status
	var e openai.ErrorResponse
	if json.Unmarshal(b, &e) == nil && e.Error != nil {
		detail += ": " + e.Error.Message
	}
	switch {
	case resp.Header.Get(wire.HeaderNotRun) == "true":
		return codes.New(codes.UpstreamRefused, detail).WithRetryAfter(wire.RetryAfter(resp.Header))
	case resp.StatusCode/100 == 4:
		return codes.New(codes.BadRequest, detail)
	}
	return codes.New(codes.UpstreamFailed, detail).WithOutcome(codes.Unknown)
}
