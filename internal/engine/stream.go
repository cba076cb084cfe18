package engine

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strconv"

	"github.com/cockroachdb/errors"
	openai "github.com/sashabaranov/go-openai"

	"github.com/fireflycleat/fireflycleat/internal/wire"
	"github.com/fireflycleat/fireflycleat/pkg/codes"
	"github.com/fireflycleat/fireflycleat/pkg/stream"
)

const (
	readBytes      = 4 << 10
	maxRefusalSize = 16 << 10
	doneMarker     = "[DONE]"
)

type (
	// Request is one attempt at an engine.
	Request struct {
		ID         string
		Address    string
		Path       string // Path is /v1/chat/completions or /v1/completions.
		Body       []byte
		Priority   int
		ResumeFrom int
	}

	// Chunk is one event of a streamed answer. Done marks the end of a whole answer and carries no data.
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

// Open sends the request and returns its stream. The outcome class of an error tells whether the engine ran it.
func (c *Client) Open(ctx context.Context, q Request) (*Stream, error) {
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+q.Address+q.Path, bytes.NewReader(q.Body))
	if err != nil {
		return nil, errors.Wrap(err, "engine request")
	}
	r.Header.Set("Content-Type", jsonType)
	r.Header.Set("Accept", "text/event-stream")
	r.Header.Set(wire.HeaderRequestID, q.ID)
	r.Header.Set(wire.HeaderPriority, strconv.Itoa(q.Priority))
	if q.ResumeFrom > 0 {
		r.Header.Set(wire.HeaderResumeFrom, strconv.Itoa(q.ResumeFrom))
	}
	c.inject(ctx, r.Header)
	answer, err := c.traffic.Do(r)
	if err != nil {
		return nil, Classify(err)
	}
	if answer.StatusCode != http.StatusOK {
		defer func() { _ = answer.Body.Close() }()
		return nil, refusal(answer)
	}
	return &Stream{body: answer.Body, buffer: make([]byte, readBytes)}, nil
}

// Next returns the next chunk; a stream that ends without its end marker returns StreamBroken.
func (s *Stream) Next() (Chunk, error) {
	for len(s.events) == 0 {
		n, err := s.body.Read(s.buffer)
		events, fault := s.decoder.Feed(s.buffer[:n])
		s.events = events
		switch {
		case fault != nil:
			return Chunk{}, fault
		case err != nil && len(events) == 0:
			return Chunk{}, codes.New(codes.StreamBroken, err.Error())
		}
	}
	e := s.events[0]
	s.events = s.events[1:]
	return parseChunk(e)
}

// Close ends the attempt; an engine cancels a request whose connection is closed.
func (s *Stream) Close() { _ = s.body.Close() }

func parseChunk(e stream.Event) (Chunk, error) {
	if e.Data == doneMarker {
		return Chunk{Done: true}, nil
	}
	index, err := strconv.ParseInt(e.ID, 10, 64)
	if err != nil {
		return Chunk{}, codes.New(codes.StreamBroken, "token index is not a number")
	}
	var id chunkID
	if err := json.Unmarshal([]byte(e.Data), &id); err != nil {
		return Chunk{}, codes.New(codes.StreamBroken, "chunk is not JSON")
	}
	return Chunk{RequestID: id.ID, Index: index, Data: e.Data}, nil
}

func refusal(answer *http.Response) error {
	b, _ := io.ReadAll(io.LimitReader(answer.Body, maxRefusalSize))
	detail := answer.Status
	var e openai.ErrorResponse
	if json.Unmarshal(b, &e) == nil && e.Error != nil {
		detail += ": " + e.Error.Message
	}
	switch {
	case answer.Header.Get(wire.HeaderNotRun) == "true":
		return codes.New(codes.UpstreamRefused, detail).WithRetryAfter(wire.RetryAfter(answer.Header))
	case answer.StatusCode/100 == 4:
		return codes.New(codes.BadRequest, detail)
	}
	return codes.New(codes.UpstreamFailed, detail).WithOutcome(codes.Unknown)
}
