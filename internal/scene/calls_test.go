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

// call is one request of a caller and what came of it.
type call struct {
	done   chan struct{}
	began  time.Time
	first  time.Duration
	took   time.Duration
	whole  bool
	code   int
	out    string
	detail string
}

// chat streams an answer through the client library and checks that it is the whole answer to its own prompt.
func (w *world) chat(host, model, prompt string, tokens int, header http.Header) *call {
	c := &call{done: make(chan struct{}), began: time.Now()}
	go func() {
		defer close(c.done)
		text, err := w.stream(c, w.proc(host).address, model, prompt, tokens, header)
		c.took = time.Since(c.began)
		if err != nil {
			c.code, c.out, c.detail = clientCode(err)
			return
		}
		want := stand.Text(model, stand.ChatPrompt(messages(prompt)), tokens)
		c.whole = text == want
		if !c.whole {
			c.detail = fmt.Sprintf("got %d bytes, want %d", len(text), len(want))
		}
	}()
	return c
}

func messages(prompt string) []openai.ChatCompletionMessage {
	return []openai.ChatCompletionMessage{{Role: openai.ChatMessageRoleUser, Content: prompt}}
}

// headers adds header fields to each request of the client library.
type headers struct {
	header http.Header
}

// RoundTrip sends the request with the fields.
func (h headers) RoundTrip(r *http.Request) (*http.Response, error) {
	for k, v := range h.header {
		r.Header[k] = v
	}
	return http.DefaultTransport.RoundTrip(r)
}

func (w *world) stream(c *call, address, model, prompt string, tokens int, header http.Header) (string, error) {
	s := openai.DefaultConfig(apiKey)
	s.BaseURL = "http://" + address + "/v1"
	s.HTTPClient = &http.Client{Transport: headers{header}}
	r, err := openai.NewClientWithConfig(s).CreateChatCompletionStream(context.Background(), openai.ChatCompletionRequest{
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
		if c.first == 0 {
			c.first = time.Since(c.began)
		}
		for _, x := range chunk.Choices {
			text += x.Delta.Content
		}
	}
}

func clientCode(err error) (code int, outcome, detail string) {
	var api *openai.APIError
	if errors.As(err, &api) {
		_, _ = fmt.Sscan(fmt.Sprint(api.Code), &code)
		return code, api.Type, api.Message
	}
	return -1, "", err.Error()
}

// book sends a keyed booking to a host.
func (w *world) book(host, key, body string) *call {
	c := &call{done: make(chan struct{}), began: time.Now()}
	go func() {
		defer close(c.done)
		defer func() { c.took = time.Since(c.began) }()
		r, err := http.NewRequest(http.MethodPost, "http://"+w.proc(host).address+"/v1/services/booking/visits", bytes.NewBufferString(body))
		if err != nil {
			c.code, c.detail = -1, err.Error()
			return
		}
		r.Header.Set("Authorization", "Bearer "+apiKey)
		r.Header.Set("Idempotency-Key", key)
		// One connection for each booking keeps net/http from sending a keyed request again by itself.
		client := http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: time.Minute}
		answer, err := client.Do(r)
		if err != nil {
			c.code, c.detail = -1, err.Error()
			return
		}
		defer func() { _ = answer.Body.Close() }()
		b, _ := io.ReadAll(answer.Body)
		if answer.StatusCode == http.StatusOK {
			c.whole = true
			return
		}
		var p wire.Problem
		_ = json.Unmarshal(b, &p)
		c.code, c.out, c.detail = p.Code, p.Outcome, p.Title+": "+p.Detail
	}()
	return c
}
