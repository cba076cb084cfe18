package model

import (
	"context"
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	openai "github.com/sashabaranov/go-openai"

	"github.com/fireflycleat/fireflycleat/internal/stand"
	"github.com/fireflycleat/fireflycleat/internal/wire"
)

// A stream must contain the right tokens at the right times, also if it resumes in the middle; bad headers must be rejected.
func TestStream(t *testing.T) {
	runEngineTest(t, nil, func(b *engineTest) {
		b.load("m", 100)
		for _, from := range []int{0, 1, 7} {
			a := b.chat(b.Context(), "m", "a b", 8, wire.HeaderResumeFrom, strconv.Itoa(from))
			got, done := b.tokens(a, from)
			b.Check([]any{got, done}, qt.DeepEquals, []any{expectedTokens("m", "a b", 8)[from:], true})
			b.Check([]any{a.firstByte, a.took}, qt.DeepEquals, []any{10 * time.Millisecond, time.Duration(8-from) * 10 * time.Millisecond})
		}
		a := b.call(http.MethodPost, "/v1/completions", `{"model":"m","prompt":"p"}`, wire.HeaderRequestID, "r")
		text, _, _ := strings.Cut(stand.AnswerText("m", "p", 5), "\n")
		b.Check(strings.Contains(a.body, text) && strings.Contains(a.body, `"id":"r"`), qt.IsTrue, qt.Commentf("%s", a.body))
		for _, h := range [][2]string{{wire.HeaderResumeFrom, "8"}, {wire.HeaderResumeFrom, "-1"}, {wire.HeaderPriority, "3"}} {
			a := b.chat(b.Context(), "m", "a b", 8, h[0], h[1])
			b.Check([]any{a.status, a.notRun}, qt.DeepEquals, []any{400, true})
		}
	})
}

// A rejection must be marked as not run only if nothing ran, and the audit must agree, or callers would repeat calls that ran.
func TestRefusals(t *testing.T) {
	runEngineTest(t, nil, func(b *engineTest) {
		b.load("m", 100)
		b.order(wire.Order{ID: "slow", Fence: 1, Op: wire.OpLoad, Model: "loading", Bytes: 4000})
		check := func(model string, want int) {
			a := b.chat(b.Context(), model, "p", 2)
			b.Check([]any{a.status, a.notRun}, qt.DeepEquals, []any{want, want != 200}, qt.Commentf("%s", model))
		}
		check("other", 404)
		check("m:a", 404)
		check("loading", 503)
		b.setFaults(Faults{Refuse: true})
		check("m", 503)
		b.setFaults(Faults{Leaving: true})
		check("m", 503)
		b.Check(b.engine.Status().Leaving, qt.IsTrue)
		_, o := b.order(wire.Order{ID: "late", Fence: 1, Op: wire.OpLoad, Model: "x"})
		b.Check(o.State, qt.Equals, wire.OrderFailed)
		b.Check(b.engine.Audit().Requests, qt.HasLen, 0)
		b.setFaults(Faults{})
		check("m", 200)
		b.Check(b.engine.Audit().Requests, qt.HasLen, 1)
	})
}

// Running requests must share the batch, and waiting requests must start by priority and then by arrival.
func TestBatchAndPriority(t *testing.T) {
	runEngineTest(t, func(s *Settings) { s.BatchSlope = 0.5 }, func(b *engineTest) {
		b.load("m", 100)
		var (
			g      sync.WaitGroup
			mu     sync.Mutex
			finish []string
			took   = make(map[string]time.Duration)
		)
		for _, r := range [][2]string{{"a", "2"}, {"b", "2"}, {"bulk", "2"}, {"normal", "1"}, {"urgent1", "0"}, {"urgent2", "0"}} {
			g.Go(func() {
				a := b.chat(b.Context(), "m", "p", 10, wire.HeaderRequestID, r[0], wire.HeaderPriority, r[1])
				mu.Lock()
				defer mu.Unlock()
				took[r[0]] = a.took
				finish = append(finish, r[0])
			})
			time.Sleep(time.Microsecond)
			synctest.Wait()
		}
		s := b.engine.Status()
		b.Check([]int{s.Running, s.Waiting}, qt.DeepEquals, []int{2, 4})
		g.Wait()
		// The two requests of a pair may finish in either order within a step.
		b.Check(len(finish), qt.Equals, 6)
		for i, pair := range []string{"a b", "urgent1 urgent2", "normal bulk"} {
			b.Check(strings.Contains(pair, finish[2*i]) && strings.Contains(pair, finish[2*i+1]), qt.IsTrue, qt.Commentf("%v", finish))
		}
		// The first step started with one request and took 10 ms; the others had two in the batch and took 15 ms.
		b.Check(took["a"], qt.Equals, 145*time.Millisecond)
		b.Check(took["urgent2"] > took["a"], qt.IsTrue)
	})
}

// A request cancelled by DELETE or by its caller's disconnect must free its slot, and DELETE must report whether it started.
func TestCancel(t *testing.T) {
	runEngineTest(t, nil, func(b *engineTest) {
		b.load("m", 100)
		responses := make(map[string]response)
		var (
			g  sync.WaitGroup
			mu sync.Mutex
		)
		ctx, disconnect := context.WithCancel(b.Context())
		for _, id := range []string{"run", "leaver", "wait", "next"} {
			g.Go(func() {
				a := b.chat(map[bool]context.Context{true: ctx, false: b.Context()}[id == "leaver"], "m", "p", 20, wire.HeaderRequestID, id)
				mu.Lock()
				defer mu.Unlock()
				responses[id] = a
			})
			time.Sleep(time.Microsecond)
			synctest.Wait()
		}
		time.Sleep(55 * time.Millisecond)
		b.Check(b.call(http.MethodDelete, "/v1/requests/none", "").status, qt.Equals, 404)
		a := b.call(http.MethodDelete, "/v1/requests/wait", "")
		b.Check(strings.TrimSpace(a.body), qt.Equals, `{"id":"wait","started":false,"nextToken":0}`)
		a = b.call(http.MethodDelete, "/v1/requests/run", "")
		b.Check(strings.TrimSpace(a.body), qt.Equals, `{"id":"run","started":true,"nextToken":5}`)
		disconnect()
		synctest.Wait()
		b.Check(b.engine.Status().Running+b.engine.Status().Waiting, qt.Equals, 1)
		g.Wait()
		got, done := b.tokens(responses["run"], 0)
		b.Check([]any{len(got), done, responses["run"].dropped}, qt.DeepEquals, []any{5, false, false})
		b.Check([]any{responses["wait"].status, responses["wait"].notRun}, qt.DeepEquals, []any{503, true})
		b.Check(responses["leaver"].dropped, qt.IsTrue)
		_, done = b.tokens(responses["next"], 0)
		b.Check(done, qt.IsTrue)
		b.Check(len(b.engine.Audit().Requests), qt.Equals, 3, qt.Commentf("the cancelled waiting request must not count as started"))
	})
}

// A dropped stream must be resumable without lost or repeated tokens; slow, hanging and restarted engines must behave as such.
func TestStreamFaults(t *testing.T) {
	runEngineTest(t, nil, func(b *engineTest) {
		b.load("m", 100)
		b.setFaults(Faults{DropAfterTokens: 3, DropStreams: 1})
		a := b.chat(b.Context(), "m", "p", 8)
		got, done := b.tokens(a, 0)
		b.Check([]any{len(got), done, a.dropped}, qt.DeepEquals, []any{3, false, true})
		a = b.chat(b.Context(), "m", "p", 8, wire.HeaderResumeFrom, "3")
		rest, done := b.tokens(a, 3)
		b.Check([]any{append(got, rest...), done}, qt.DeepEquals, []any{expectedTokens("m", "p", 8), true})

		b.setFaults(Faults{Slow: 5})
		b.Check(b.chat(b.Context(), "m", "p", 8).took, qt.Equals, 400*time.Millisecond)

		b.setFaults(Faults{})
		time.AfterFunc(25*time.Millisecond, func() { _ = b.engine.SetFaults(Faults{Hang: true}) })
		time.AfterFunc(5*time.Second, func() { _ = b.engine.SetFaults(Faults{}) })
		a = b.chat(b.Context(), "m", "p", 8)
		b.Check(a.took >= 5*time.Second && a.took < 5100*time.Millisecond, qt.IsTrue, qt.Commentf("%v", a.took))

		time.AfterFunc(25*time.Millisecond, b.engine.Restart)
		a = b.chat(b.Context(), "m", "p", 8)
		b.Check([]any{a.dropped, b.chat(b.Context(), "m", "p", 8).status}, qt.DeepEquals, []any{true, 404})
	})
}

// The prefill time must decrease by the cached part of the prompt, or prefix-aware routing would have no effect.
func TestPrefill(t *testing.T) {
	runEngineTest(t, func(s *Settings) { s.PrefillTime = 10 * time.Millisecond }, func(b *engineTest) {
		b.load("m", 100)
		words := strings.Repeat("w ", 63)
		first := func(headers ...string) time.Duration {
			return b.chat(b.Context(), "m", words, 40, headers...).firstByte
		}
		b.Check(first(), qt.Equals, 640*time.Millisecond)
		b.Check(first(), qt.Equals, 10*time.Millisecond) // All 4 blocks of 16 words are cached.
		b.Check(first(wire.HeaderResumeFrom, "30"), qt.Equals, 300*time.Millisecond)

		done := make(chan response)
		go func() { done <- b.chat(b.Context(), "m", words, 40, wire.HeaderRequestID, "r") }()
		time.Sleep(305 * time.Millisecond)
		kv := b.call(http.MethodGet, "/v1/requests/r/kv", "")
		b.Assert(kv.status, qt.Equals, 200)
		<-done
		b.Check(b.call(http.MethodPost, "/v1/kv", kv.body).status, qt.Equals, 204)
		b.Check(first(wire.HeaderResumeFrom, "30"), qt.Equals, 10*time.Millisecond)
		b.Check(b.call(http.MethodGet, "/v1/requests/r/kv", "").status, qt.Equals, 404)
	})
}

// The protocol must work with a published OpenAI client over real connections.
func TestPublishedClient(t *testing.T) {
	c, e := qt.New(t), New(Settings{Slots: 4, TokenTime: time.Millisecond})
	srv := httptest.NewServer(stand.Latency(2*time.Millisecond, e.Handler()))
	defer srv.Close()
	defer e.Close()
	_, status := e.ApplyOrder(wire.Order{ID: "1", Op: wire.OpLoad, Model: "m"})
	c.Assert(status, qt.Equals, 202)
	for e.OrderState("1").State == wire.OrderPending {
		time.Sleep(time.Millisecond)
	}
	conf := openai.DefaultConfig("")
	conf.BaseURL = srv.URL + "/v1"
	client := openai.NewClientWithConfig(conf)
	q := openai.ChatCompletionRequest{Model: "m", MaxTokens: 30, Messages: []openai.ChatCompletionMessage{{Role: "user", Content: "p"}}}
	want := strings.Join(expectedTokens("m", "p", 30), "")
	whole, err := client.CreateChatCompletion(t.Context(), q)
	c.Assert(err, qt.IsNil)
	c.Check([]any{whole.Choices[0].Message.Content, whole.Usage.CompletionTokens}, qt.DeepEquals, []any{want, 30})

	s, err := client.CreateChatCompletionStream(t.Context(), q)
	c.Assert(err, qt.IsNil)
	text := ""
	for err == nil {
		var chunk openai.ChatCompletionStreamResponse
		if chunk, err = s.Recv(); err == nil {
			text += chunk.Choices[0].Delta.Content
		}
	}
	c.Check([]any{text, errors.Is(err, io.EOF)}, qt.DeepEquals, []any{want, true})

	q.MaxTokens = 100000
	s, err = client.CreateChatCompletionStream(t.Context(), q)
	c.Assert(err, qt.IsNil)
	c.Check(e.Status().Running, qt.Equals, 1)
	c.Check(s.Close(), qt.IsNil) // Closing the connection cancels the request.
	for deadline := time.Now().Add(5 * time.Second); e.Status().Running > 0; time.Sleep(time.Millisecond) {
		c.Assert(time.Now().Before(deadline), qt.IsTrue, qt.Commentf("request still runs after its caller disconnected"))
	}
	q.Model = "other"
	_, err = client.CreateChatCompletion(t.Context(), q)
	c.Check(err, qt.ErrorMatches, ".*404.*model is not loaded.*")
}
