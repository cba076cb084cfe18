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
	// collector joins the chunks of an answer that was not asked for as a stream.
	collector interface {
		add(data []byte) error
		answer() any
	}

	chatAnswer struct {
		call   ModelCall
		text   strings.Builder
		finish openai.FinishReason
		tokens int
	}

	textAnswer struct {
		call   ModelCall
		text   strings.Builder
		finish string
		tokens int
	}
)

func newChatAnswer(call ModelCall) *chatAnswer { return &chatAnswer{call: call} }

func newTextAnswer(call ModelCall) *textAnswer { return &textAnswer{call: call} }

// stream answers with server-sent events. An answer that breaks ends with an error event and a broken connection, so that
// no caller can take it for whole.
func (c *Callers) stream(w http.ResponseWriter, r *http.Request, call ModelCall) error {
	controller := http.NewResponseController(w)
	begun := false
	err := c.Model(r.Context(), call, func(data []byte) error {
		if !begun {
			begun = true
			w.Header().Set("Content-Type", "text/event-stream")
			w.Header().Set("Cache-Control", "no-store")
			w.WriteHeader(http.StatusOK)
		}
		return writeEvent(w, controller, data)
	})
	if err == nil {
		return writeEvent(w, controller, []byte("[DONE]"))
	}
	if !begun {
		return err
	}
	if data, e := json.Marshal(problem(err, call.ID)); e == nil {
		_ = writeEvent(w, controller, data) // the caller may have left; the broken connection says the same
	}
	abort(controller)
	return brokenError{err}
}

// abort closes the connection without the end of the chunked body.
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

// whole collects the answer and sends it at once; a broken answer is sent as a problem.
func (c *Callers) whole(w http.ResponseWriter, r *http.Request, call ModelCall, into collector) error {
	if err := c.Model(r.Context(), call, into.add); err != nil {
		return err
	}
	writeJSON(w, http.StatusOK, into.answer())
	return nil
}

func (a *chatAnswer) add(data []byte) error {
	var chunk openai.ChatCompletionStreamResponse
	if err := json.Unmarshal(data, &chunk); err != nil {
		return codes.New(codes.StreamBroken, err.Error())
	}
	a.tokens++
	for _, choice := range chunk.Choices {
		a.text.WriteString(choice.Delta.Content)
		if choice.FinishReason != "" {
			a.finish = choice.FinishReason
		}
	}
	return nil
}

func (a *chatAnswer) answer() any {
	return openai.ChatCompletionResponse{
		ID: a.call.ID, Object: "chat.completion", Created: time.Now().Unix(), Model: a.call.Model,
		Choices: []openai.ChatCompletionChoice{{
			Message:      openai.ChatCompletionMessage{Role: openai.ChatMessageRoleAssistant, Content: a.text.String()},
			FinishReason: a.finish,
		}},
		Usage: openai.Usage{
			PromptTokens: a.call.PromptTokens, CompletionTokens: a.tokens, TotalTokens: a.call.PromptTokens + a.tokens,
		},
	}
}

func (a *textAnswer) add(data []byte) error {
	var chunk openai.CompletionResponse
	if err := json.Unmarshal(data, &chunk); err != nil {
		return codes.New(codes.StreamBroken, err.Error())
	}
	a.tokens++
	for _, choice := range chunk.Choices {
		a.text.WriteString(choice.Text)
		if choice.FinishReason != "" {
			a.finish = choice.FinishReason
		}
	}
	return nil
}

func (a *textAnswer) answer() any {
	return openai.CompletionResponse{
		ID: a.call.ID, Object: "text_completion", Created: time.Now().Unix(), Model: a.call.Model,
		Choices: []openai.CompletionChoice{{Text: a.text.String(), FinishReason: a.finish}},
		Usage: &openai.Usage{
			PromptTokens: a.call.PromptTokens, CompletionTokens: a.tokens, TotalTokens: a.call.PromptTokens + a.tokens,
		},
	}
}
