package stand

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	openai "github.com/sashabaranov/go-openai"
	"pgregory.net/rapid"
)

// A damaged answer must fail the checksum, or the end-to-end tests could not detect lost, repeated or foreign tokens.
func TestChecksumDetectsDamage(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		model, prompt := rapid.String().Draw(t, "model"), rapid.String().Draw(t, "prompt")
		n := rapid.IntRange(2, 60).Draw(t, "n")
		a := AnswerTokens(model, prompt, n)
		if len(a) != n || !HasValidChecksum(strings.Join(a, "")) || AnswerText(model, prompt, n) != strings.Join(a, "") {
			t.Fatalf("answer is incomplete: %q", a)
		}
		i := rapid.IntRange(0, n-1).Draw(t, "i")
		lost := strings.Join(a[:i], "") + strings.Join(a[i+1:], "")
		twice := strings.Join(a[:i+1], "") + strings.Join(a[i:], "")
		foreign := strings.Join(a[:i], "") + strings.Join(AnswerTokens(model, prompt+"x", n)[i:i+1], "") + strings.Join(a[i+1:], "")
		for name, text := range map[string]string{"lost": lost, "twice": twice, "foreign": foreign} {
			// Repeating the checksum token leaves the answer before it intact; the token's index in the stream reveals the repetition.
			if text == strings.Join(a, "") || (name == "twice" && i == n-1) {
				continue
			}
			if HasValidChecksum(text) {
				t.Fatalf("answer with %s token %d passed the checksum", name, i)
			}
		}
	})
}

// The prompt built from a request must contain all of its parts, since the answer, which tests compare, depends on it.
func TestPrompts(t *testing.T) {
	c := qt.New(t)
	parts := []openai.ChatMessagePart{{Text: "b"}, {Text: "c"}}
	c.Check(ChatPrompt([]openai.ChatCompletionMessage{{Role: "user", Content: "a"}, {Role: "user", MultiContent: parts}}), qt.Equals, "user: a\nuser: bc\n")
	c.Check(TextPrompt("a b"), qt.Equals, "a b")
	c.Check(TextPrompt([]any{"a", "b"}), qt.Equals, "[a b]")
}

// A delayed value must be visible exactly after its delay, neither earlier nor later.
func TestDelayedValue(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		start := time.Now()
		l := NewDelayedValue(350*time.Millisecond, 0)
		for i := 1; i <= 20; i++ {
			time.Sleep(100 * time.Millisecond)
			l.Put(time.Now(), i)
			got, asOf := l.Visible(time.Now())
			qt.Check(t, got, qt.Equals, max(0, i-4))
			qt.Check(t, asOf.Sub(start), qt.Equals, max(0, time.Duration(i)*100*time.Millisecond-350*time.Millisecond))
		}
		qt.Check(t, len(l.versions) <= 5, qt.IsTrue, qt.Commentf("old versions are kept"))
	})
}

// The bucket must allow its burst, then exactly its rate; Reserve must space its callers instead of rejecting them.
func TestTokenBucket(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := NewTokenBucket(10, 2)
		for range 2 {
			ok, _ := b.Take(time.Now())
			qt.Assert(t, ok, qt.IsTrue)
		}
		ok, wait := b.Take(time.Now())
		qt.Assert(t, ok, qt.IsFalse)
		qt.Assert(t, wait, qt.Equals, 100*time.Millisecond)
		time.Sleep(wait)
		ok, _ = b.Take(time.Now())
		qt.Assert(t, ok, qt.IsTrue)
		for i := 1; i <= 3; i++ {
			qt.Assert(t, b.Reserve(time.Now()), qt.Equals, time.Duration(i)*100*time.Millisecond)
		}
		ok, _ = NewTokenBucket(0, 0).Take(time.Now())
		qt.Assert(t, ok, qt.IsTrue)
	})
}

type timestampRecorder struct {
	*httptest.ResponseRecorder
	start  time.Time
	writes []string
}

func (s *timestampRecorder) Write(b []byte) (int, error) {
	s.writes = append(s.writes, fmt.Sprintf("%s@%d", b, time.Since(s.start).Milliseconds()))
	return s.ResponseRecorder.Write(b)
}

// Latency must delay a stream without slowing it, and must send what was written before an aborted connection.
func TestLatency(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := Latency(50*time.Millisecond, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("X-A", "1")
			for i := range 3 {
				fmt.Fprint(w, i)
				w.(http.Flusher).Flush()
				time.Sleep(10 * time.Millisecond)
			}
			AbortConnection()
		}))
		w := &timestampRecorder{ResponseRecorder: httptest.NewRecorder(), start: time.Now()}
		qt.Check(t, func() { h.ServeHTTP(w, httptest.NewRequest(http.MethodGet, "/", nil)) }, qt.PanicMatches, ".*abort.*")
		qt.Check(t, w.writes, qt.DeepEquals, []string{"0@100", "1@110", "2@120"})
		qt.Check(t, w.Result().Header.Get("X-A"), qt.Equals, "1")
	})
}

// A misspelt fault must be rejected, or a test would silently run without its fault.
func TestFaultsAreStrict(t *testing.T) {
	type doc struct {
		Slow int          `json:"slow"`
		Lost FaultTrigger `json:"lost"`
	}
	f := NewFaults(func(d doc) error { return d.Lost.Validate() })
	m := http.NewServeMux()
	f.Register(m)
	for body, want := range map[string]int{
		`{"slow":2}`: 200, `{"slwo":3}`: 400, `{"slow":3} x`: 400, `{"slow":3}{}`: 400, `[]`: 400, ``: 400,
		`{"lost":{"probability":2}}`: 400, `{"lost":{"next":-1}}`: 400,
	} {
		w := httptest.NewRecorder()
		m.ServeHTTP(w, httptest.NewRequest(http.MethodPost, "/faults", strings.NewReader(body)))
		qt.Check(t, w.Code, qt.Equals, want, qt.Commentf("%s", body))
	}
	w := httptest.NewRecorder()
	m.ServeHTTP(w, httptest.NewRequest(http.MethodGet, "/faults", nil))
	qt.Check(t, strings.TrimSpace(w.Body.String()), qt.Equals, `{"slow":2,"lost":{}}`)
	l := FaultTrigger{Next: 2}
	qt.Check(t, []bool{l.Fire(), l.Fire(), l.Fire()}, qt.DeepEquals, []bool{true, true, false})
	l = FaultTrigger{Probability: 1}
	qt.Check(t, l.Fire(), qt.IsTrue)
}
