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

func TestStream(t *testing.T) {
	run(t, nil, func(b *bench) {
		b.load("m", 100)
		for _, from := range []int{0, 1, 7} {
			a := b.chat(b.Context(), "m", "a b", 8, wire.HeaderResumeFrom, strconv.Itoa(from))
			got, done := b.tokens(a, from)
			b.Check([]any{got, done}, qt.DeepEquals, []any{answer("m", "a b", 8)[from:], true})
			b.Check([]any{a.first, a.took}, qt.DeepEquals, []any{10 * time.Millisecond, time.Duration(8-from) * 10 * time.Millisecond})
		}
		a := b.call(http.MethodPost, "/v1/completions", `{"model":"m","prompt":"p"}`, wire.HeaderRequestID, "r")
		text, _, _ := strings.Cut(stand.Text("m", "p", 5), "\n")
		b.Check(strings.Contains(a.body, text) && strings.Contains(a.body, `"id":"r"`), qt.IsTrue, qt.Commentf("%s", a.body))
		for _, h := range [][2]string{{wire.HeaderResumeFrom, "8"}, {wire.HeaderResumeFrom, "-1"}, {wire.HeaderPriority, "3"}} {
			a := b.chat(b.Context(), "m", "a b", 8, h[0], h[1])
			b.Check([]any{a.status, a.notRun}, qt.DeepEquals, []any{400, true})
		}
	})
}

// A refusal says "not run" only when nothing ran, and the audit must agree.
func TestRefusals(t *testing.T) {
	run(t, nil, func(b *bench) {
		b.load("m", 100)
		b.order(wire.Order{ID: "slow", Fence: 1, Op: wire.OpLoad, Model: "loading", Bytes: 4000})
		check := func(model string, want int) {
			a := b.chat(b.Context(), model, "p", 2)
			b.Check([]any{a.status, a.notRun}, qt.DeepEquals, []any{want, want != 200}, qt.Commentf("%s", model))
		}
		check("other", 404)
		check("m:a", 404)
		check("loading", 503)
		b.faults(Faults{Refuse: true})
		check("m", 503)
		b.faults(Faults{Leaving: true})
		check("m", 503)
		b.Check(b.e.Status().Leaving, qt.IsTrue)
		_, o := b.order(wire.Order{ID: "late", Fence: 1, Op: wire.OpLoad, Model: "x"})
		b.Check(o.State, qt.Equals, wire.OrderFailed)
		b.Check(b.e.Audit().Requests, qt.HasLen, 0)
		b.faults(Faults{})
		check("m", 200)
		b.Check(b.e.Audit().Requests, qt.HasLen, 1)
	})
}

// Running requests must share the batch, and waiting ones must start by priority and then by arrival.
func TestBatchAndPriority(t *testing.T) {
	run(t, func(s *Settings) { s.BatchSlope = 0.5 }, func(b *bench) {
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
		s := b.e.Status()
		b.Check([]int{s.Running, s.Waiting}, qt.DeepEquals, []int{2, 4})
		g.Wait()
		// Pairs may end in either order within a step.
		b.Check(len(finish), qt.Equals, 6)
		for i, pair := range []string{"a b", "urgent1 urgent2", "normal bulk"} {
			b.Check(strings.Contains(pair, finish[2*i]) && strings.Contains(pair, finish[2*i+1]), qt.IsTrue, qt.Commentf("%v", finish))
		}
		// The first step began with one request and took 10 ms; the others with two in the batch took 15 ms.
		b.Check(took["a"], qt.Equals, 145*time.Millisecond)
		b.Check(took["urgent2"] > took["a"], qt.IsTrue)
	})
}

func TestCancel(t *testing.T) {
	run(t, nil, func(b *bench) {
		b.load("m", 100)
		replies := make(map[string]reply)
		var (
			g  sync.WaitGroup
			mu sync.Mutex
		)
		ctx, leave := context.WithCancel(b.Context())
		for _, id := range []string{"run", "leaver", "wait", "next"} {
			g.Go(func() {
				a := b.chat(map[bool]context.Context{true: ctx, false: b.Context()}[id == "leaver"], "m", "p", 20, wire.HeaderRequestID, id)
				mu.Lock()
				defer mu.Unlock()
				replies[id] = a
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
		leave()
		synctest.Wait()
		b.Check(b.e.Status().Running+b.e.Status().Waiting, qt.Equals, 1)
		g.Wait()
		got, done := b.tokens(replies["run"], 0)
		b.Check([]any{len(got), done, replies["run"].dropped}, qt.DeepEquals, []any{5, false, false})
		b.Check([]any{replies["wait"].status, replies["wait"].notRun}, qt.DeepEquals, []any{503, true})
		b.Check(replies["leaver"].dropped, qt.IsTrue)
		_, done = b.tokens(replies["next"], 0)
		b.Check(done, qt.IsTrue)
		b.Check(len(b.e.Audit().Requests), qt.Equals, 3, qt.Commentf("the cancelled waiting request must not count as started"))
	})
}

func TestStreamFaults(t *testing.T) {
	run(t, nil, func(b *bench) {
		b.load("m", 100)
		b.faults(Faults{DropAfterTokens: 3, DropStreams: 1})
		a := b.chat(b.Context(), "m", "p", 8)
		got, done := b.tokens(a, 0)
		b.Check([]any{len(got), done, a.dropped}, qt.DeepEquals, []any{3, false, true})
		a = b.chat(b.Context(), "m", "p", 8, wire.HeaderResumeFrom, "3")
		rest, done := b.tokens(a, 3)
		b.Check([]any{append(got, rest...), done}, qt.DeepEquals, []any{answer("m", "p", 8), true})

		b.faults(Faults{Slow: 5})
		b.Check(b.chat(b.Context(), "m", "p", 8).took, qt.Equals, 400*time.Millisecond)

		b.faults(Faults{})
		time.AfterFunc(25*time.Millisecond, func() { _ = b.e.SetFaults(Faults{Hang: true}) })
		time.AfterFunc(5*time.Second, func() { _ = b.e.SetFaults(Faults{}) })
		a = b.chat(b.Context(), "m", "p", 8)
		b.Check(a.took >= 5*time.Second && a.took < 5100*time.Millisecond, qt.IsTrue, qt.Commentf("%v", a.took))

		time.AfterFunc(25*time.Millisecond, b.e.Restart)
		a = b.chat(b.Context(), "m", "p", 8)
		b.Check([]any{a.dropped, b.chat(b.Context(), "m", "p", 8).status}, qt.DeepEquals, []any{true, 404})
	})
}

// The prompt's time must shrink by what is cached, or prefix-aware routing would gain nothing.
func TestPrefill(t *testing.T) {
	run(t, func(s *Settings) { s.PrefillTime = 10 * time.Millisecond }, func(b *bench) {
		b.load("m", 100)
		words := strings.Repeat("w ", 63)
		first := func(headers ...string) time.Duration { return b.chat(b.Context(), "m", words, 40, headers...).first }
		b.Check(first(), qt.Equals, 640*time.Millisecond)
		b.Check(first(), qt.Equals, 10*time.Millisecond) // All 4 blocks of 16 words are cached.
		b.Check(first(wire.HeaderResumeFrom, "30"), qt.Equals, 300*time.Millisecond)

		done := make(chan reply)
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

// The protocol must be that of a published client, over real connections.
func TestPublishedClient(t *testing.T) {
	c, e := qt.New(t), New(Settings{Slots: 4, TokenTime: time.Millisecond})
	srv := httptest.NewServer(stand.Latency(2*time.Millisecond, e.Handler()))
	defer srv.Close()
	defer e.Close()
	_, status := e.Order(wire.Order{ID: "1", Op: wire.OpLoad, Model: "m"})
	c.Assert(status, qt.Equals, 202)
	for e.OrderState("1").State == wire.OrderPending {
		time.Sleep(time.Millisecond)
	}
	conf := openai.DefaultConfig("")
	conf.BaseURL = srv.URL + "/v1"
	client := openai.NewClientWithConfig(conf)
	q := openai.ChatCompletionRequest{Model: "m", MaxTokens: 30, Messages: []openai.ChatCompletionMessage{{Role: "user", Content: "p"}}}
	want := strings.Join(answer("m", "p", 30), "")
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
	c.Check(s.Close(), qt.IsNil) // A closed connection cancels the request.
	for deadline := time.Now().Add(5 * time.Second); e.Status().Running > 0; time.Sleep(time.Millisecond) {
		c.Assert(time.Now().Before(deadline), qt.IsTrue, qt.Commentf("request goes on after its caller left"))
	}
	q.Model = "other"
	_, err = client.CreateChatCompletion(t.Context(), q)
	c.Check(err, qt.ErrorMatches, ".*404.*model is not loaded.*")
}
