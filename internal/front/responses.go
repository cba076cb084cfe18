package front

import (
	"encoding/json"
	"net/http"
	"strings"
	"time"

	openai "github.com/sashabaranov/go-openai"

	"github.com/fireflycleat/fireflycleat/pkg/codes"
	"github.com/fireflycleat/fireflycleat/pkg/stream"
)

type (
	// collector joins the chunks of a response into one document, for callers that did not request a stream.
	collector interface {
		add(data []byte) error
		response() any
	}

	chatCollector struct {
		call         ModelCall
		text         strings.Builder
		finishReason openai.FinishReason
		tokens       int
	}

	completionCollector struct {
		call         ModelCall
		text         strings.Builder
		finishReason string
		tokens       int
	}
)

func newChatCollector(call ModelCall) *chatCollector { return &chatCollector{call: call} }

func newCompletionCollector(call ModelCall) *completionCollector {
	return &completionCollector{call: call}
}

// streamResponse sends the response as server-sent events. A response that fails midway ends with an error event and a closed
// connection without the final chunk, so that a caller cannot mistake it for a complete one.
func (c *Callers) streamResponse(w http.ResponseWriter, r *http.Request, call ModelCall) error {
	controller := http.NewResponseController(w)
	started := false
	err := c.CallModel(r.Context(), call, func(data []byte) error {
		if !started {
			started = true
			w.Header().Set("Content-Type", "text/event-stream")
			w.Header().Set("Cache-Control", "no-store")
			w.WriteHeader(http.StatusOK)
		}
		return writeEvent(w, controller, data)
	})
	if err == nil {
		return writeEvent(w, controller, []byte("[DONE]"))
	}
	if !started {
		return err
	}
	if data, e := json.Marshal(newProblem(err, call.ID)); e == nil {
		_ = writeEvent(w, controller, data) // ignored: if the write fails, the aborted connection still reports the failure
	}
	abort(controller)
	return midStreamError{err}
}

// abort closes the connection without sending the final chunk of the body.
func abort(controller *http.ResponseController) {
	if conn, _, err := controller.Hijack(); err == nil {
		_ = conn.Close()
	}
}

func writeEvent(w http.ResponseWriter, controller *http.ResponseController, data []byte) error {
	if _, err := w.Write(stream.AppendEvent(nil, stream.Event{Data: string(data)})); err != nil {
		return codes.New(codes.CallerLeft, err.Error())
	}
	if err := controller.Flush(); err != nil {
		return codes.New(codes.CallerLeft, err.Error())
	}
	return nil
}

// collectResponse sends the response as one document once it is complete. After a failure it returns the error and sends
// nothing, so that the caller gets a problem document.
func (c *Callers) collectResponse(w http.ResponseWriter, r *http.Request, call ModelCall, result collector) error {
	if err := c.CallModel(r.Context(), call, result.add); err != nil {
		return err
	}
	writeJSON(w, http.StatusOK, result.response())
	return nil
}

func (a *chatCollector) add(data []byte) error {
	var chunk openai.ChatCompletionStreamResponse
	if err := json.Unmarshal(data, &chunk); err != nil {
		return codes.New(codes.StreamBroken, err.Error())
	}
	a.tokens++
	for _, choice := range chunk.Choices {
		a.text.WriteString(choice.Delta.Content)
		if choice.FinishReason != "" {
			a.finishReason = choice.FinishReason
		}
	}
	return nil
}

func (a *chatCollector) response() any {
	return openai.ChatCompletionResponse{
		ID: a.call.ID, Object: "chat.completion", Created: time.Now().Unix(), Model: a.call.Model,
		Choices: []openai.ChatCompletionChoice{{
			Message:      openai.ChatCompletionMessage{Role: openai.ChatMessageRoleAssistant, Content: a.text.String()},
			FinishReason: a.finishReason,
		}},
		Usage: openai.Usage{
			PromptTokens: a.call.PromptTokens, CompletionTokens: a.tokens, TotalTokens: a.call.PromptTokens + a.tokens,
		},
	}
}

func (a *completionCollector) add(data []byte) error {
	var chunk openai.CompletionResponse
	if err := json.Unmarshal(data, &chunk); err != nil {
		return codes.New(codes.StreamBroken, err.Error())
	}
	a.tokens++
	for _, choice := range chunk.Choices {
		a.text.WriteString(choice.Text)
		if choice.FinishReason != "" {
			a.finishReason = choice.FinishReason
		}
	}
	return nil
}

func (a *completionCollector) response() any {
	return openai.CompletionResponse{
		ID: a.call.ID, Object: "text_completion", Created: time.Now().Unix(), Model: a.call.Model,
		Choices: []openai.CompletionChoice{{Text: a.text.String(), FinishReason: a.finishReason}},
		Usage: &openai.Usage{
			PromptTokens: a.call.PromptTokens, CompletionTokens: a.tokens, TotalTokens: a.call.PromptTokens + a.tokens,
		},
	}
}
