package front

import (
	"encoding/json"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	openai "github.com/sashabaranov/go-openai"

	"github.com/fireflycleat/fireflycleat/pkg/codes"
	"github.com/fireflycleat/fireflycleat/pkg/spec"
)

const (
	urgencyHeader     = "X-Urgency"
	timeoutHeader     = "X-Request-Timeout" // in seconds
	requestHeader     = "X-Request-Id"
	bytesPerToken     = 4   // estimate, for the length of a prompt
	defaultMaxTokens  = 256 // applies to calls that do not set a limit
	maxTokens         = 1 << 20
	chatPath          = "/v1/chat/completions"
	completionsPath   = "/v1/completions"
	maxTimeoutSeconds = 24 * 60 * 60
)

// midStreamError is an error that occurred after the response had started. It has already been sent to the caller as the last
// event.
type midStreamError struct{ error }

// Unwrap returns the underlying error.
func (b midStreamError) Unwrap() error { return b.error }

func responseStarted(err error) bool {
	var b midStreamError
	return errors.As(err, &b)
}

func (c *Callers) listModels(w http.ResponseWriter, _ *http.Request, t spec.Team) error {
	list := openai.ModelsList{Models: []openai.Model{}}
	for _, name := range c.View().Models() {
		if t.MayCallModel(name, "") {
			list.Models = append(list.Models, openai.Model{ID: name, Object: "model", OwnedBy: t.Name})
		}
	}
	writeJSON(w, http.StatusOK, list)
	return nil
}

func (c *Callers) chat(w http.ResponseWriter, r *http.Request, t spec.Team) error {
	body, err := readBody(w, r, c.Limits, modelCopies)
	if err != nil {
		return err
	}
	var req openai.ChatCompletionRequest
	if err := json.Unmarshal(body, &req); err != nil {
		return jsonError(err)
	}
	if len(req.Messages) == 0 {
		return codes.New(codes.BadRequest, "must not be empty").WithField("messages")
	}
	tokens := req.MaxTokens
	if tokens == 0 {
		tokens = req.MaxCompletionTokens
	}
	call, err := c.modelCall(w, r, t, req.Model, tokens, body)
	if err != nil {
		return err
	}
	call.Path = chatPath
	if req.Stream {
		return c.streamResponse(w, r, call)
	}
	return c.collectResponse(w, r, call, newChatCollector(call))
}

func (c *Callers) completions(w http.ResponseWriter, r *http.Request, t spec.Team) error {
	body, err := readBody(w, r, c.Limits, modelCopies)
	if err != nil {
		return err
	}
	var req openai.CompletionRequest
	if err := json.Unmarshal(body, &req); err != nil {
		return jsonError(err)
	}
	if req.Prompt == nil {
		return codes.New(codes.BadRequest, "is missing").WithField("prompt")
	}
	call, err := c.modelCall(w, r, t, req.Model, req.MaxTokens, body)
	if err != nil {
		return err
	}
	call.Path = completionsPath
	if req.Stream {
		return c.streamResponse(w, r, call)
	}
	return c.collectResponse(w, r, call, newCompletionCollector(call))
}

// modelCall validates the properties that chat and text completions share, and returns the call without its path.
func (c *Callers) modelCall(
	w http.ResponseWriter, r *http.Request, t spec.Team, name string, tokens int, body []byte,
) (ModelCall, error) {
	model, adapter, _ := strings.Cut(name, ":")
	m, ok := c.View().Model(model)
	switch {
	case model == "":
		return ModelCall{}, codes.New(codes.BadRequest, "is missing").WithField("model")
	case !ok:
		return ModelCall{}, codes.New(codes.UnknownModel, model).WithField("model")
	case !t.MayCallModel(model, adapter):
		return ModelCall{}, codes.New(codes.Forbidden, name).WithField("model")
	case tokens < 0 || tokens > maxTokens:
		return ModelCall{}, codes.New(codes.BadRequest, "is out of range").WithField("max_tokens")
	}
	if _, ok := m.Adapter(adapter); adapter != "" && !ok {
		return ModelCall{}, codes.New(codes.UnknownModel, "adapter "+adapter).WithField("model")
	}
	urgency, err := parseUrgency(r, t)
	if err != nil {
		return ModelCall{}, err
	}
	timeout, err := parseTimeout(r)
	if err != nil {
		return ModelCall{}, err
	}
	streamBody, err := enableStreaming(body)
	if err != nil {
		return ModelCall{}, err
	}
	if tokens == 0 {
		tokens = defaultMaxTokens
	}
	return ModelCall{
		ID: requestID(w), Team: t, Model: model, Adapter: adapter, Urgency: urgency, Timeout: timeout,
		Body: streamBody, PromptTokens: len(body) / bytesPerToken, MaxTokens: tokens,
	}, nil
}

func parseUrgency(r *http.Request, t spec.Team) (spec.Urgency, error) {
	text := r.Header.Get(urgencyHeader)
	if text == "" {
		return t.Urgency, nil
	}
	u, ok := spec.ParseUrgency(text)
	if !ok {
		return 0, codes.New(codes.BadRequest, "must be urgent, normal or bulk").WithField(urgencyHeader)
	}
	return max(u, t.MaxUrgency), nil
}

func parseTimeout(r *http.Request) (time.Duration, error) {
	text := r.Header.Get(timeoutHeader)
	if text == "" {
		return 0, nil
	}
	seconds, err := strconv.ParseFloat(text, 64)
	if err != nil || !(seconds > 0 && seconds <= maxTimeoutSeconds) {
		return 0, codes.New(codes.BadRequest, "must be a number of seconds above 0").WithField(timeoutHeader)
	}
	return time.Duration(seconds * float64(time.Second)), nil
}

// enableStreaming returns the body with the stream field set to true. All other fields, including unknown ones, stay unchanged.
func enableStreaming(body []byte) ([]byte, error) {
	fields := make(map[string]json.RawMessage)
	if err := json.Unmarshal(body, &fields); err != nil {
		return nil, jsonError(err)
	}
	fields["stream"] = json.RawMessage("true")
	return json.Marshal(fields)
}
