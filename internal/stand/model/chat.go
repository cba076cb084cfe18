package model

import (
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"

	openai "github.com/sashabaranov/go-openai"

	"github.com/fireflycleat/fireflycleat/internal/stand"
	"github.com/fireflycleat/fireflycleat/internal/wire"
)

const (
	maxPriority     = 2
	defaultPriority = 1
)

// call is a request on its way to the batch, and how to write its answer.
type call struct {
	request
	stream bool
	chunk  func(c *call, token string, last bool) any
	whole  func(c *call, text string) any
}

func (e *Engine) postChat(w http.ResponseWriter, r *http.Request) {
	var in openai.ChatCompletionRequest
	if err := json.NewDecoder(r.Body).Decode(&in); err != nil {
		refuse(w, true, http.StatusBadRequest, err.Error())
		return
	}
	c := &call{stream: in.Stream, chunk: chatChunk, whole: chatAnswer}
	c.model, c.prompt = in.Model, stand.ChatPrompt(in.Messages)
	e.serve(w, r, c, max(in.MaxTokens, in.MaxCompletionTokens))
}

func (e *Engine) postCompletion(w http.ResponseWriter, r *http.Request) {
	var in openai.CompletionRequest
	if err := json.NewDecoder(r.Body).Decode(&in); err != nil {
		refuse(w, true, http.StatusBadRequest, err.Error())
		return
	}
	c := &call{stream: in.Stream, chunk: completionChunk, whole: completionAnswer}
	c.model, c.prompt = in.Model, stand.TextPrompt(in.Prompt)
	e.serve(w, r, c, in.MaxTokens)
}

func (e *Engine) serve(w http.ResponseWriter, r *http.Request, c *call, maxTokens int) {
	if maxTokens <= 0 {
		maxTokens = e.set.DefaultTokens
	}
	if err := c.headers(r.Header, maxTokens); err != nil {
		refuse(w, true, http.StatusBadRequest, err.Error())
		return
	}
	c.tokens = stand.Answer(c.model, c.prompt, maxTokens)
	if status, detail := e.start(&c.request); status != 0 {
		refuse(w, true, status, detail)
		return
	}
	defer func() {
		e.mu.Lock()
		defer e.mu.Unlock()
		e.end(&c.request)
	}()
	if c.stream {
		e.writeStream(w, r, c)
	} else {
		e.writeWhole(w, r, c)
	}
}

// headers reads the engine's request headers; n is the length of the whole answer.
func (c *call) headers(h http.Header, n int) error {
	c.id = h.Get(wire.HeaderRequestID) // The answer's id field repeats it.
	if c.id == "" {
		c.id = fmt.Sprintf("unnamed-%016x", rand.Uint64())
	}
	c.priority = defaultPriority
	var err error
	if s := h.Get(wire.HeaderPriority); s != "" {
		if c.priority, err = strconv.Atoi(s); err != nil || c.priority < 0 || c.priority > maxPriority {
			return errors.New("priority is not 0, 1 or 2")
		}
	}
	if s := h.Get(wire.HeaderResumeFrom); s != "" {
		if c.from, err = strconv.Atoi(s); err != nil || c.from < 0 || c.from >= n {
			return errors.New("resume index is not within the answer")
		}
	}
	return nil
}

// start queues the request at the least loaded replica, or returns the status and detail of a refusal.
func (e *Engine) start(r *request) (int, string) {
	f := e.faults.Get()
	if f.Leaving || f.Refuse {
		return http.StatusServiceUnavailable, "engine takes no new requests"
	}
	model, adapter, _ := strings.Cut(r.model, ":")
	e.mu.Lock()
	defer e.mu.Unlock()
	var best *replica
	status, detail := http.StatusNotFound, "model is not loaded"
	for _, p := range e.replicas {
		switch {
		case p.model != model:
		case !p.ready || p.unload != nil:
			status, detail = http.StatusServiceUnavailable, "model is being loaded or unloaded"
		case adapter != "" && !p.adapters[adapter]:
			status, detail = http.StatusNotFound, "adapter is not loaded"
		case best == nil || p.inFlight() < best.inFlight():
			best = p
		}
	}
	if best == nil {
		return status, detail
	}
	e.accept(best, r)
	return 0, ""
}

func (p *replica) inFlight() int { return len(p.running) + len(p.waiting) }

// wait returns once there are tokens past the index, or the request ended. It drops the connection when the incarnation
// or the caller is gone.
func (e *Engine) wait(r *http.Request, c *call, past int) (next int, ended bool) {
	for {
		e.mu.Lock()
		next, ended = c.next, c.ended
		e.mu.Unlock()
		if next > past || ended {
			return next, ended
		}
		select {
		case <-c.more:
		case <-c.life.ctx.Done():
			stand.Drop()
		case <-r.Context().Done():
			stand.Drop()
		}
	}
}

func (e *Engine) writeStream(w http.ResponseWriter, r *http.Request, c *call) {
	drop, sent := e.dropAfter(), c.from
	for {
		next, ended := e.wait(r, c, sent)
		if sent == c.from && next == sent {
			e.writeCancelled(w, c)
			return
		}
		if sent == c.from {
			w.Header().Set("Content-Type", "text/event-stream")
			w.Header().Set("Cache-Control", "no-cache")
		}
		for ; sent < next; sent++ {
			b, _ := json.Marshal(c.chunk(c, c.tokens[sent], sent == len(c.tokens)-1)) // The types always marshal.
			fmt.Fprintf(w, "id: %d\ndata: %s\n\n", sent, b)
			_ = http.NewResponseController(w).Flush() // A failed flush shows as a closed connection.
			if drop > 0 && sent+1-c.from >= drop {
				stand.Drop()
			}
		}
		if sent == len(c.tokens) {
			fmt.Fprint(w, "data: [DONE]\n\n")
			return
		}
		if ended {
			return // A cancelled stream ends without [DONE].
		}
	}
}

func (e *Engine) writeWhole(w http.ResponseWriter, r *http.Request, c *call) {
	next, ended := c.from, false
	for !ended {
		next, ended = e.wait(r, c, next)
	}
	if next < len(c.tokens) {
		e.writeCancelled(w, c)
		return
	}
	stand.Reply(w, http.StatusOK, c.whole(c, strings.Join(c.tokens[c.from:], "")))
}

// writeCancelled answers a cancelled request of which nothing was sent.
func (e *Engine) writeCancelled(w http.ResponseWriter, c *call) {
	e.mu.Lock()
	started := c.started
	e.mu.Unlock()
	refuse(w, !started, http.StatusServiceUnavailable, "request was cancelled")
}

// refuse answers with an error of the OpenAI protocol.
func refuse(w http.ResponseWriter, notRun bool, status int, detail string) {
	if notRun {
		w.Header().Set(wire.HeaderNotRun, "true")
	}
	kind := "server_error"
	if status/100 == 4 {
		kind = "invalid_request_error"
	}
	stand.Reply(w, status, openai.ErrorResponse{Error: &openai.APIError{Message: detail, Type: kind}})
}
