package scene

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"time"

	openai "github.com/sashabaranov/go-openai"

	"github.com/fireflycleat/fireflycleat/internal/stand"
	"github.com/fireflycleat/fireflycleat/internal/wire"
)

// call is one request of a caller and its result.
type call struct {
	done             chan struct{}
	started          time.Time
	timeToFirstChunk time.Duration
	duration         time.Duration
	complete         bool
	code             int // result code; -1 if the call failed without one
	outcome          string
	detail           string
}

// chat streams an answer through the client library and checks that the answer is complete and belongs to the prompt.
func (sc *scenario) chat(host, model, prompt string, tokens int, header http.Header) *call {
	c := &call{done: make(chan struct{}), started: time.Now()}
	go func() {
		defer close(c.done)
		text, err := sc.stream(c, sc.proc(host).address, model, prompt, tokens, header)
		c.duration = time.Since(c.started)
		if err != nil {
			c.code, c.outcome, c.detail = parseClientError(err)
			return
		}
		want := stand.AnswerText(model, stand.ChatPrompt(messages(prompt)), tokens)
		c.complete = text == want
		if !c.complete {
			c.detail = fmt.Sprintf("got %d bytes, want %d", len(text), len(want))
		}
	}()
	return c
}

func messages(prompt string) []openai.ChatCompletionMessage {
	return []openai.ChatCompletionMessage{{Role: openai.ChatMessageRoleUser, Content: prompt}}
}

// headerTransport is an http.RoundTripper that adds header fields to each request of the client library.
type headerTransport struct {
	header http.Header
}

// RoundTrip implements http.RoundTripper.
func (h headerTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	for k, v := range h.header {
		r.Header[k] = v
	}
	return http.DefaultTransport.RoundTrip(r)
}

func (sc *scenario) stream(c *call, address, model, prompt string, tokens int, header http.Header) (string, error) {
	config := openai.DefaultConfig(apiKey)
	config.BaseURL = "http://" + address + "/v1"
	config.HTTPClient = &http.Client{Transport: headerTransport{header}}
	r, err := openai.NewClientWithConfig(config).CreateChatCompletionStream(context.Background(), openai.ChatCompletionRequest{
		Model: model, MaxTokens: tokens, Messages: messages(prompt), Stream: true,
	})
	if err != nil {
		return "", err
	}
	defer func() { _ = r.Close() }()
	text := ""
	for {
		chunk, err := r.Recv()
		if errors.Is(err, io.EOF) {
			return text, nil
		}
		if err != nil {
			return text, err
		}
		if c.timeToFirstChunk == 0 {
			c.timeToFirstChunk = time.Since(c.started)
		}
		for _, x := range chunk.Choices {
			text += x.Delta.Content
		}
	}
}

func parseClientError(err error) (code int, outcome, detail string) {
	var api *openai.APIError
	if errors.As(err, &api) {
		_, _ = fmt.Sscan(fmt.Sprint(api.Code), &code)
		return code, api.Type, api.Message
	}
	return -1, "", err.Error()
}

// book sends a booking with an idempotency key to a host.
func (sc *scenario) book(host, key, body string) *call {
	c := &call{done: make(chan struct{}), started: time.Now()}
	go func() {
		defer close(c.done)
		defer func() { c.duration = time.Since(c.started) }()
		r, err := http.NewRequest(http.MethodPost, "http://"+sc.proc(host).address+"/v1/services/booking/visits", bytes.NewBufferString(body))
		if err != nil {
			c.code, c.detail = -1, err.Error()
			return
		}
		r.Header.Set("Authorization", "Bearer "+apiKey)
		r.Header.Set("Idempotency-Key", key)
		// net/http retries requests with an Idempotency-Key on a reused connection; without keep-alives it never does.
		client := http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: time.Minute}
		response, err := client.Do(r)
		if err != nil {
			c.code, c.detail = -1, err.Error()
			return
		}
		defer func() { _ = response.Body.Close() }()
		b, _ := io.ReadAll(response.Body)
		if response.StatusCode == http.StatusOK {
			c.complete = true
			return
		}
		var p wire.Problem
		_ = json.Unmarshal(b, &p)
		c.code, c.outcome, c.detail = p.Code, p.Outcome, p.Title+": "+p.Detail
	}()
	return c
}
