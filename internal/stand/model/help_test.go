package model

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	openai "github.com/sashabaranov/go-openai"

	"github.com/fireflycleat/fireflycleat/internal/stand"
	"github.com/fireflycleat/fireflycleat/internal/wire"
)

// engineTest is an engine under test, in virtual time.
type engineTest struct {
	*qt.C
	engine  *Engine
	handler http.Handler
}

// response is the response that the caller received; status is 0 if the connection was aborted before any body was received.
type response struct {
	status    int
	notRun    bool
	dropped   bool
	body      string
	firstByte time.Duration
	took      time.Duration
}

// runEngineTest runs the test with an engine that produces a token every 10 ms and loads 1 kB/s from the store, 2 from disk
// and 4 from memory.
func runEngineTest(t *testing.T, alter func(*Settings), test func(b *engineTest)) {
	synctest.Test(t, func(t *testing.T) {
		settings := Settings{
			Name: "e", CapacityBytes: 5000, Slots: 2, ChecksFence: true, TokenTime: 10 * time.Millisecond, DefaultTokens: 5,
			RemoteRate: 1000, DiskRate: 2000, MemoryRate: 4000, MemoryCopies: 1, DiskCopies: 2, PrefixBlocks: 100,
			AdapterMin: 6 * time.Millisecond, AdapterMax: 20 * time.Millisecond,
		}
		if alter != nil {
			alter(&settings)
		}
		b := &engineTest{C: qt.New(t), engine: New(settings)}
		b.handler = b.engine.Handler()
		defer synctest.Wait()
		defer b.engine.Close()
		test(b)
	})
}

func (b *engineTest) setFaults(f Faults) { b.Assert(b.engine.SetFaults(f), qt.IsNil) }

type timingRecorder struct {
	*httptest.ResponseRecorder
	start     time.Time
	firstByte time.Duration
}

func (w *timingRecorder) Write(p []byte) (int, error) {
	if w.firstByte == 0 {
		w.firstByte = time.Since(w.start)
	}
	return w.ResponseRecorder.Write(p)
}

// call makes a call with a time limit of a minute; headers are pairs of name and value.
func (b *engineTest) call(method, path, body string, headers ...string) (a response) {
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	return b.callCtx(ctx, method, path, body, headers...)
}

func (b *engineTest) callCtx(ctx context.Context, method, path, body string, headers ...string) (a response) {
	r := httptest.NewRequestWithContext(ctx, method, path, strings.NewReader(body))
	for i := 0; i+1 < len(headers); i += 2 {
		r.Header.Set(headers[i], headers[i+1])
	}
	w := &timingRecorder{ResponseRecorder: httptest.NewRecorder(), start: time.Now()}
	defer func() {
		a = response{w.Code, w.Header().Get(wire.HeaderNotRun) == "true", recover() != nil, w.Body.String(), w.firstByte, time.Since(w.start)}
		if a.dropped && a.body == "" {
			a.status = 0
		}
	}()
	b.handler.ServeHTTP(w, r)
	return a
}

// order sends an order and returns the answer, which is empty if the connection was aborted.
func (b *engineTest) order(o wire.Order) (int, wire.OrderResponse) {
	data, _ := json.Marshal(o)
	a := b.call(http.MethodPost, "/v1/orders", string(data))
	var out wire.OrderResponse
	_ = json.Unmarshal([]byte(a.body), &out) // An aborted response leaves it empty.
	return a.status, out
}

func (b *engineTest) state(id string) wire.OrderState {
	var out wire.OrderResponse
	b.Assert(json.Unmarshal([]byte(b.call(http.MethodGet, "/v1/orders/"+id, "").body), &out), qt.IsNil)
	return out.State
}

// load loads a model of the size and waits until it is loaded.
func (b *engineTest) load(model string, bytes int64) {
	id := fmt.Sprintf("load-%s-%d", model, time.Now().UnixNano())
	status, _ := b.order(wire.Order{ID: id, Fence: 1, Op: wire.OpLoad, Model: model, Version: "1", Bytes: bytes})
	b.Assert(status, qt.Equals, http.StatusAccepted)
	for b.state(id) == wire.OrderPending {
		time.Sleep(10 * time.Millisecond)
		synctest.Wait()
	}
	b.Assert(b.state(id), qt.Equals, wire.OrderDone)
}

// chat makes a streamed chat call for n tokens.
func (b *engineTest) chat(ctx context.Context, model, prompt string, n int, headers ...string) response {
	body, _ := json.Marshal(openai.ChatCompletionRequest{
		Model: model, MaxTokens: n, Stream: true, Messages: []openai.ChatCompletionMessage{{Role: "user", Content: prompt}},
	})
	return b.callCtx(ctx, http.MethodPost, "/v1/chat/completions", string(body), headers...)
}

// tokens parses the events of a stream and checks that their ids are consecutive, starting at from.
func (b *engineTest) tokens(a response, from int) (tokens []string, done bool) {
	for event := range strings.SplitSeq(strings.TrimSuffix(a.body, "\n\n"), "\n\n") {
		if event == "data: [DONE]" {
			done = true
			continue
		}
		id, data, ok := strings.Cut(event, "\ndata: ")
		b.Assert(ok && !done, qt.IsTrue, qt.Commentf("event %q", event))
		b.Assert(id, qt.Equals, fmt.Sprintf("id: %d", from+len(tokens)))
		var chunk openai.ChatCompletionStreamResponse
		b.Assert(json.Unmarshal([]byte(data), &chunk), qt.IsNil)
		tokens = append(tokens, chunk.Choices[0].Delta.Content)
	}
	return tokens, done
}

func expectedTokens(model, prompt string, n int) []string {
	return stand.AnswerTokens(model, stand.ChatPrompt([]openai.ChatCompletionMessage{{Role: "user", Content: prompt}}), n)
}
