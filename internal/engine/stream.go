package engine

import (
	"bufio"
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
)

const (
	maxChunkBytes  = 256 << 10
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
		Index     int
		Data      []byte
		Done      bool
	}

	// Stream reads the chunks of one attempt.
	Stream struct {
		body    io.ReadCloser
		scanner *bufio.Scanner
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
	s := bufio.NewScanner(answer.Body)
	s.Buffer(make([]byte, 0, 4096), maxChunkBytes)
	return &Stream{body: answer.Body, scanner: s}, nil
}

// Next returns the next chunk; a stream that ends without its end marker returns StreamBroken.
func (s *Stream) Next() (Chunk, error) {
	index := -1
	for s.scanner.Scan() {
		line := s.scanner.Bytes()
		if id, ok := bytes.CutPrefix(line, []byte("id:")); ok {
			n, err := strconv.Atoi(string(bytes.TrimSpace(id)))
			if err != nil {
				return Chunk{}, codes.New(codes.StreamBroken, "chunk index is not a number")
			}
			index = n
			continue
		}
		data, ok := bytes.CutPrefix(line, []byte("data:"))
		if !ok {
			continue
		}
		return parseChunk(index, bytes.TrimSpace(data))
	}
	if err := s.scanner.Err(); err != nil {
		return Chunk{}, codes.New(codes.StreamBroken, err.Error())
	}
	return Chunk{}, codes.New(codes.StreamBroken, "engine closed the connection")
}

// Close ends the attempt; an engine cancels a request whose connection is closed.
func (s *Stream) Close() { _ = s.body.Close() }

func parseChunk(index int, data []byte) (Chunk, error) {
	if string(data) == doneMarker {
		return Chunk{Done: true}, nil
	}
	var id chunkID
	if err := json.Unmarshal(data, &id); err != nil {
		return Chunk{}, codes.New(codes.StreamBroken, "chunk is not JSON")
	}
	return Chunk{RequestID: id.ID, Index: index, Data: bytes.Clone(data)}, nil
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
		return codes.New(codes.UpstreamRefused, detail).WithRetryAfter(retryAfter(answer.Header))
	case answer.StatusCode/100 == 4:
		return codes.New(codes.BadRequest, detail)
	}
	return codes.New(codes.UpstreamFailed, detail).WithOutcome(codes.Unknown)
}
