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

// call is a request together with the format of its response.
type call struct {
	request
	stream       bool
	chunk        func(c *call, token string, last bool) any
	fullResponse func(c *call, text string) any
}

func (e *Engine) postChat(w http.ResponseWriter, r *http.Request) {
	var in openai.ChatCompletionRequest
	if err := json.NewDecoder(r.Body).Decode(&in); err != nil {
		writeError(w, true, http.StatusBadRequest, err.Error())
		return
	}
	c := &call{stream: in.Stream, chunk: chatChunk, fullResponse: chatResponse}
	c.model, c.prompt = in.Model, stand.ChatPrompt(in.Messages)
	e.serve(w, r, c, max(in.MaxTokens, in.MaxCompletionTokens))
}

func (e *Engine) postCompletion(w http.ResponseWriter, r *http.Request) {
	var in openai.CompletionRequest
	if err := json.NewDecoder(r.Body).Decode(&in); err != nil {
		writeError(w, true, http.StatusBadRequest, err.Error())
		return
	}
	c := &call{stream: in.Stream, chunk: completionChunk, fullResponse: completionResponse}
	c.model, c.prompt = in.Model, stand.TextPrompt(in.Prompt)
	e.serve(w, r, c, in.MaxTokens)
}

func (e *Engine) serve(w http.ResponseWriter, r *http.Request, c *call, maxTokens int) {
	if id := r.Header.Get(wire.HeaderRequestID); id != "" {
		w.Header().Set(wire.HeaderRequestID, id)
	}
	if maxTokens <= 0 {
		maxTokens = e.settings.DefaultTokens
	}
	if err := c.parseHeaders(r.Header, maxTokens); err != nil {
		writeError(w, true, http.StatusBadRequest, err.Error())
		return
	}
	c.tokens = stand.AnswerTokens(c.model, c.prompt, maxTokens)
	if status, detail := e.dispatch(&c.request); status != 0 {
		writeError(w, true, status, detail)
		return
	}
	defer func() {
		e.mu.Lock()
		defer e.mu.Unlock()
		e.finish(&c.request)
	}()
	if c.stream {
		e.writeStream(w, r, c)
	} else {
		e.writeFullResponse(w, r, c)
	}
}

// parseHeaders sets the request's fields from the headers; n is the length of the whole answer.
func (c *call) parseHeaders(h http.Header, n int) error {
	c.id = h.Get(wire.HeaderRequestID) // The response repeats it in its id field.
	if c.id == "" {
		c.id = fmt.Sprintf("unnamed-%016x", rand.Uint64())
	}
	c.priority = defaultPriority
	var err error
	if s := h.Get(wire.HeaderPriority); s != "" {
		if c.priority, err = strconv.Atoi(s); err != nil || c.priority < 0 || c.priority > maxPriority {
			return errors.New("priority must be 0, 1 or 2")
		}
	}
	if s := h.Get(wire.HeaderResumeFrom); s != "" {
		if c.resumeFrom, err = strconv.Atoi(s); err != nil || c.resumeFrom < 0 || c.resumeFrom >= n {
			return errors.New("resume index is outside the answer")
		}
	}
	return nil
}

// dispatch queues the request at the least loaded replica, or returns the status and detail of the rejection.
func (e *Engine) dispatch(r *request) (int, string) {
	f := e.faults.Get()
	if f.Leaving || f.Refuse {
		return http.StatusServiceUnavailable, "engine does not accept new requests"
	}
	model, adapter, _ := strings.Cut(r.model, ":")
	e.mu.Lock()
	defer e.mu.Unlock()
	var best *replica
	status, detail := http.StatusNotFound, "model is not loaded"
	for _, p := range e.replicas {
		switch {
		case p.model != model:
		case !p.ready || p.unloadOrder != nil:
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
	e.enqueue(best, r)
	return 0, ""
}

func (p *replica) inFlight() int { return len(p.running) + len(p.waiting) }

// waitForTokens returns when more than sent tokens are available or the request has finished. It aborts the connection if the
// incarnation ends or the caller disconnects.
func (e *Engine) waitForTokens(r *http.Request, c *call, sent int) (next int, finished bool) {
	for {
		e.mu.Lock()
		next, finished = c.nextToken, c.finished
		e.mu.Unlock()
		if next > sent || finished {
			return next, finished
		}
		select {
		case <-c.progressed:
		case <-c.incarnation.ctx.Done():
			stand.AbortConnection()
		case <-r.Context().Done():
			stand.AbortConnection()
		}
	}
}

func (e *Engine) writeStream(w http.ResponseWriter, r *http.Request, c *call) {
	dropLimit, sent := e.takeDropLimit(), c.resumeFrom
	for {
		next, finished := e.waitForTokens(r, c, sent)
		if sent == c.resumeFrom && next == sent {
			e.writeCancelled(w, c)
			return
		}
		if sent == c.resumeFrom {
			w.Header().Set("Content-Type", "text/event-stream")
			w.Header().Set("Cache-Control", "no-cache")
		}
		for ; sent < next; sent++ {
			b, _ := json.Marshal(c.chunk(c, c.tokens[sent], sent == len(c.tokens)-1)) // Marshalling these types never fails.
			fmt.Fprintf(w, "id: %d\ndata: %s\n\n", sent, b)
			// A flush fails only if the connection is closed, which cancels the request's context.
			_ = http.NewResponseController(w).Flush()
			if dropLimit > 0 && sent+1-c.resumeFrom >= dropLimit {
				stand.AbortConnection()
			}
		}
		if sent == len(c.tokens) {
			fmt.Fprint(w, "data: [DONE]\n\n")
			return
		}
		if finished {
			return // A cancelled stream ends without [DONE].
		}
	}
}

func (e *Engine) writeFullResponse(w http.ResponseWriter, r *http.Request, c *call) {
	next, finished := c.resumeFrom, false
	for !finished {
		next, finished = e.waitForTokens(r, c, next)
	}
	if next < len(c.tokens) {
		e.writeCancelled(w, c)
		return
	}
	stand.WriteJSON(w, http.StatusOK, c.fullResponse(c, strings.Join(c.tokens[c.resumeFrom:], "")))
}

// writeCancelled writes the response to a cancelled request of which no token was sent.
func (e *Engine) writeCancelled(w http.ResponseWriter, c *call) {
	e.mu.Lock()
	started := c.started
	e.mu.Unlock()
	writeError(w, !started, http.StatusServiceUnavailable, "request was cancelled")
}

// writeError writes an error in the format of the OpenAI protocol.
func writeError(w http.ResponseWriter, notRun bool, status int, detail string) {
	if notRun {
		w.Header().Set(wire.HeaderNotRun, "true")
	}
	kind := "server_error"
	if status/100 == 4 {
		kind = "invalid_request_error"
	}
	stand.WriteJSON(w, status, openai.ErrorResponse{Error: &openai.APIError{Message: detail, Type: kind}})
}
