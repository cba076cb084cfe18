package front

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"regexp"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/fireflycleat/fireflycleat/internal/engine"
	"github.com/fireflycleat/fireflycleat/internal/telem"
	"github.com/fireflycleat/fireflycleat/internal/wire"
	"github.com/fireflycleat/fireflycleat/pkg/codes"
	"github.com/fireflycleat/fireflycleat/pkg/spec"
)

const testKey = "test-key"

func testView() *spec.View {
	digest := sha256.Sum256([]byte(testKey))
	return spec.NewView(1, []spec.Template{
		{Name: "m", Kind: spec.ModelTemplate, Model: &spec.Model{Adapters: []spec.Adapter{{Name: "a"}}}},
		{Name: "other", Kind: spec.ModelTemplate, Model: &spec.Model{}},
		{Name: "booking", Kind: spec.ServiceTemplate, Service: &spec.Service{Repeatable: []string{"GET"}}},
	}, []spec.Team{{
		Name: "t", KeyDigests: []string{hex.EncodeToString(digest[:])}, Models: []string{"m"}, Adapters: []string{"*"},
		Services: []string{"*"}, Urgency: spec.Normal, MaxUrgency: spec.Normal,
	}})
}

func testCallers(t testing.TB) (*Callers, http.Handler) {
	traces, err := telem.NewTraces(context.Background(), "h", "")
	qt.Assert(t, err, qt.IsNil)
	c := &Callers{
		Limits: Limits{RequestBytes: 1000, BodyTimeout: 200 * time.Millisecond, InFlight: 10}, Traces: traces,
		Metrics: telem.NewMetrics(), Ready: func() error { return nil }, View: testView,
		Address:   func(string) wire.AddressResponse { return wire.AddressResponse{} },
		CallModel: func(context.Context, ModelCall, func([]byte) error) error { return codes.New(codes.OverCapacity, "") },
		CallPlain: func(context.Context, PlainCall) (engine.PlainResponse, error) {
			return engine.PlainResponse{Status: http.StatusTeapot, Body: []byte("x")}, nil
		},
		MintKey: func(context.Context) (string, error) { return "k", nil },
	}
	h, err := c.Handler()
	qt.Assert(t, err, qt.IsNil)
	return c, h
}

// TestBadInput guards against invalid input that is passed on, or rejected without its code, outcome and field.
func TestBadInput(t *testing.T) {
	_, h := testCallers(t)
	chat := `{"model":"m","messages":[{"role":"user","content":"x"}]`
	for _, tc := range []struct {
		name, method, path, body, header, value string
		code                                    codes.Code
		field                                   string
	}{
		{"no key", "POST", "/v1/chat/completions", chat + "}", "Authorization", "", codes.Unauthorized, "Authorization"},
		{"unknown key", "POST", "/v1/chat/completions", chat + "}", "Authorization", "Bearer x", codes.Unauthorized, "Authorization"},
		{"not JSON", "POST", "/v1/chat/completions", "{", "", "", codes.BadRequest, ""},
		{"wrong type", "POST", "/v1/chat/completions", `{"model":7}`, "", "", codes.BadRequest, "model"},
		{"no messages", "POST", "/v1/chat/completions", `{"model":"m"}`, "", "", codes.BadRequest, "messages"},
		{"no model", "POST", "/v1/chat/completions", `{"messages":[{"role":"user","content":"x"}]}`, "", "", codes.BadRequest, "model"},
		{"unknown model", "POST", "/v1/chat/completions", strings.Replace(chat, `"m"`, `"z"`, 1) + "}", "", "", codes.UnknownModel, "model"},
		{"unknown adapter", "POST", "/v1/chat/completions", strings.Replace(chat, `"m"`, `"m:z"`, 1) + "}", "", "", codes.UnknownModel, "model"},
		{"forbidden model", "POST", "/v1/chat/completions", strings.Replace(chat, `"m"`, `"other"`, 1) + "}", "", "", codes.Forbidden, "model"},
		{"tokens", "POST", "/v1/chat/completions", chat + `,"max_tokens":-1}`, "", "", codes.BadRequest, "max_tokens"},
		{"urgency", "POST", "/v1/chat/completions", chat + "}", "X-Urgency", "asap", codes.BadRequest, "X-Urgency"},
		{"timeout", "POST", "/v1/chat/completions", chat + "}", "X-Request-Timeout", "-3", codes.BadRequest, "X-Request-Timeout"},
		{"timeout NaN", "POST", "/v1/chat/completions", chat + "}", "X-Request-Timeout", "NaN", codes.BadRequest, "X-Request-Timeout"},
		{"no prompt", "POST", "/v1/completions", `{"model":"m"}`, "", "", codes.BadRequest, "prompt"},
		{"too large", "POST", "/v1/chat/completions", strings.Repeat(" ", 2000), "", "", codes.TooLarge, ""},
		{"refused", "POST", "/v1/chat/completions", chat + "}", "", "", codes.OverCapacity, ""},
		{"unknown service", "POST", "/v1/services/z/x", "", "", "", codes.NotFound, ""},
		{"no idempotency key", "POST", "/v1/services/booking/x", "", "", "", codes.KeyMissing, "Idempotency-Key"},
		{"long idempotency key", "POST", "/v1/services/booking/x", "", "Idempotency-Key", strings.Repeat("k", 256), codes.BadRequest, "Idempotency-Key"},
		{"unknown path", "GET", "/v2/x", "", "", "", codes.NotFound, ""},
	} {
		t.Run(tc.name, func(t *testing.T) {
			r := httptest.NewRequest(tc.method, tc.path, strings.NewReader(tc.body))
			r.Header.Set("Authorization", "Bearer "+testKey)
			if tc.header != "" {
				r.Header.Set(tc.header, tc.value)
			}
			w := httptest.NewRecorder()
			h.ServeHTTP(w, r)
			var p wire.Problem
			qt.Assert(t, json.Unmarshal(w.Body.Bytes(), &p), qt.IsNil, qt.Commentf("%s", w.Body))
			qt.Assert(t, codes.Code(p.Code), qt.Equals, tc.code)
			qt.Assert(t, p.Field, qt.Equals, tc.field)
			qt.Assert(t, p.Outcome, qt.Equals, "notRun")
			qt.Assert(t, w.Code, qt.Equals, tc.code.HTTPStatus())
			qt.Assert(t, w.Header().Get("Content-Type"), qt.Equals, "application/problem+json")
		})
	}
}

// TestServiceAnswer guards against changes to the status or body of a service's response.
func TestServiceAnswer(t *testing.T) {
	_, h := testCallers(t)
	r := httptest.NewRequest("GET", "/v1/services/booking/a/b?c=d", nil)
	r.Header.Set("Authorization", "Bearer "+testKey)
	w := httptest.NewRecorder()
	h.ServeHTTP(w, r)
	qt.Assert(t, w.Code, qt.Equals, http.StatusTeapot)
	qt.Assert(t, w.Body.String(), qt.Equals, "x")
}

// TestRequestID guards against a response that operators cannot match to its decisions, because it has no request ID or a
// different one than the call.
func TestRequestID(t *testing.T) {
	c, h := testCallers(t)
	for _, tc := range []struct {
		name, path, body string
		chunk            bool
		err              error
		instance         bool
	}{
		{"whole", "chat/completions", `{"model":"m","messages":[{"role":"user","content":"x"}]}`, true, nil, false},
		{"whole text", "completions", `{"model":"m","prompt":"x"}`, true, nil, false},
		{"streamed", "completions", `{"model":"m","prompt":"x","stream":true}`, true, nil, false},
		{"refused", "completions", `{"model":"m","prompt":"x"}`, false, codes.New(codes.OverCapacity, ""), true},
		{"refused stream", "chat/completions", `{"model":"m","stream":true,"messages":[{"role":"user"}]}`, false, codes.New(codes.TeamLimit, ""), true},
		{"broken stream", "completions", `{"model":"m","prompt":"x","stream":true}`, true, codes.New(codes.StreamBroken, ""), true},
		{"bad request", "completions", `{"model":"m"}`, false, nil, true},
	} {
		id := ""
		c.CallModel = func(_ context.Context, call ModelCall, sink func([]byte) error) error {
			if id = call.ID; tc.chunk {
				_ = sink([]byte(`{"choices":[]}`))
			}
			return tc.err
		}
		r := httptest.NewRequest("POST", "/v1/"+tc.path, strings.NewReader(tc.body))
		r.Header.Set("Authorization", "Bearer "+testKey)
		w := httptest.NewRecorder()
		h.ServeHTTP(w, r)
		sent := w.Header().Get("X-Request-Id")
		qt.Check(t, sent, qt.Matches, "req-.+", qt.Commentf(tc.name))
		qt.Check(t, id == "" || id == sent, qt.IsTrue, qt.Commentf("%s: %s for %s", tc.name, sent, id))
		member := `"instance":"urn:fireflycleat:request:` + sent + `"`
		qt.Check(t, strings.Contains(w.Body.String(), member), qt.Equals, tc.instance, qt.Commentf("%s: %s", tc.name, w.Body))
	}
}

// TestOperators guards against serving an operators' path without the token, and against an error for an invalid name that
// quotes a regular expression instead of describing the rule.
func TestOperators(t *testing.T) {
	c, _ := testCallers(t)
	h, err := (&Operators{Limits: c.Limits, Traces: c.Traces, Metrics: c.Metrics, Token: "secret"}).Handler()
	qt.Assert(t, err, qt.IsNil)
	for _, tc := range []struct{ method, path, token, body, want string }{
		{"GET", "/metrics", "", "", `"code":2001`},
		{"GET", "/metrics", "Bearer x", "", `"code":2001`},
		{"GET", "/metrics", "Bearer secret", "", "go_goroutines"},
		{"PUT", "/v1/templates/A", "Bearer secret", `{"template":{"name":"A"}}`, `"template.name: must have 1 to 63 lower-case`},
		{"PUT", "/v1/teams/A", "Bearer secret", `{"team":{"name":"A"}}`, `"team.name: must have 1 to 63 lower-case`},
	} {
		r := httptest.NewRequest(tc.method, tc.path, strings.NewReader(tc.body))
		r.Header.Set("Authorization", tc.token)
		w := httptest.NewRecorder()
		h.ServeHTTP(w, r)
		text := strings.ReplaceAll(w.Body.String(), "request is invalid: ", "")
		qt.Check(t, text, qt.Contains, tc.want)
		qt.Check(t, w.Code == 200, qt.Equals, strings.Contains(text, "go_goroutines"))
	}
}

// TestGauges guards against a gauge with a wrong value, a help text that differs from the operators' page, and a gauge that the
// page omits.
func TestGauges(t *testing.T) {
	c, h := testCallers(t)
	page, err := os.ReadFile("../../docs/operators.md")
	qt.Assert(t, err, qt.IsNil)
	c.Metrics.Load(2, 5)
	c.Metrics.State(7, true)
	w := httptest.NewRecorder()
	h.ServeHTTP(w, httptest.NewRequest("GET", "/metrics", nil))
	gauges := regexp.MustCompile(`# HELP (fireflycleat_\w+) (.)(.*)\.\n# TYPE \w+ gauge\n`).FindAllStringSubmatch(w.Body.String(), -1)
	qt.Assert(t, gauges, qt.HasLen, 4)
	for _, g := range gauges {
		qt.Check(t, string(page), qt.Contains, "| `"+g[1]+"` | gauge | "+strings.ToLower(g[2])+g[3]+" |")
	}
	for _, want := range []string{"model_calls_in_flight 2\n", "in_flight_requests 5\n", "log_offset 7\n", "ready 1\n"} {
		qt.Check(t, w.Body.String(), qt.Contains, "\nfireflycleat_"+want)
	}
}

// TestSlowBodyAndBrokenAnswer guards against a caller that occupies a connection forever by sending its body slowly, and
// against a failed stream that ends like a complete one.
func TestSlowBodyAndBrokenAnswer(t *testing.T) {
	c, h := testCallers(t)
	c.CallModel = func(_ context.Context, _ ModelCall, sink func([]byte) error) error {
		_ = sink([]byte(`{"id":"x"}`))
		return codes.New(codes.StreamBroken, "")
	}
	s := httptest.NewServer(h)
	defer s.Close()
	send := func(body *slowBody) (*http.Response, error) {
		r, err := http.NewRequest("POST", s.URL+"/v1/chat/completions", body)
		qt.Assert(t, err, qt.IsNil)
		r.Header.Set("Authorization", "Bearer "+testKey)
		return http.DefaultClient.Do(r)
	}
	resp, err := send(&slowBody{text: "{", delay: time.Second})
	if err == nil { // The server may also close the connection before the client has read the response.
		qt.Assert(t, resp.StatusCode, qt.Equals, codes.TooSlow.HTTPStatus())
	}
	resp, err = send(&slowBody{text: `{"model":"m","stream":true,"messages":[{"role":"user","content":"x"}]}`})
	qt.Assert(t, err, qt.IsNil)
	text, err := io.ReadAll(resp.Body)
	qt.Assert(t, err, qt.ErrorMatches, "unexpected EOF")
	qt.Assert(t, string(text), qt.Contains, `"code":4003`)
	qt.Assert(t, strings.Contains(string(text), "[DONE]"), qt.IsFalse)
}

// slowBody is a request body whose end is delayed.
type slowBody struct {
	text  string
	delay time.Duration
}

// Read returns the text followed by io.EOF. If a delay is set, it instead waits after the text and returns io.ErrUnexpectedEOF.
func (s *slowBody) Read(p []byte) (int, error) {
	if s.text == "" {
		time.Sleep(s.delay)
		return 0, io.ErrUnexpectedEOF
	}
	n := copy(p, s.text)
	s.text = s.text[n:]
	if s.text == "" && s.delay == 0 {
		return n, io.EOF
	}
	return n, nil
}

// FuzzBodies guards against a panic or an internal error on a malformed body of a model call.
func FuzzBodies(f *testing.F) {
	_, h := testCallers(f)
	f.Add("/v1/chat/completions", `{"model":"m","messages":[{"role":"user","content":"x"}]}`)
	f.Add("/v1/completions", `{"model":"m","prompt":["a"]}`)
	f.Fuzz(func(t *testing.T, path, body string) {
		if path != "/v1/chat/completions" && path != "/v1/completions" {
			return
		}
		r := httptest.NewRequest("POST", path, strings.NewReader(body))
		r.Header.Set("Authorization", "Bearer "+testKey)
		w := httptest.NewRecorder()
		h.ServeHTTP(w, r)
		qt.Assert(t, w.Code >= 400 && w.Code != 500, qt.IsTrue, qt.Commentf("%d %s", w.Code, w.Body))
	})
}

// errorIfInvalid returns an internal error, which fails the test, if the handler passed on an invalid change.
func errorIfInvalid(nameMatches bool, err error) error {
	if !nameMatches || err != nil {
		return codes.New(codes.Internal, "change was not validated")
	}
	return nil
}

// FuzzOperatorBodies guards against a panic on a malformed body from an operator, and against accepting an invalid change.
func FuzzOperatorBodies(f *testing.F) {
	traces, err := telem.NewTraces(context.Background(), "h", "")
	qt.Assert(f, err, qt.IsNil)
	o := &Operators{
		Limits: Limits{RequestBytes: 1 << 16, BodyTimeout: time.Second}, Traces: traces, Metrics: telem.NewMetrics(),
		SetTemplate: func(_ context.Context, name string, c wire.TemplateChange) (wire.Change, error) {
			return wire.Change{}, errorIfInvalid(c.Template.Name == name, c.Template.Check())
		},
		SetTeam: func(_ context.Context, name string, c wire.TeamChange) (wire.Change, error) {
			return wire.Change{}, errorIfInvalid(c.Team.Name == name, c.Team.Check())
		},
	}
	h, err := o.Handler()
	qt.Assert(f, err, qt.IsNil)
	f.Add(true, `{"base":0,"template":{"name":"x","kind":"service","service":{"timeoutMillis":1}}}`)
	f.Add(false, `{"base":1,"team":{"name":"x","keyDigests":["00"]}}`)
	f.Fuzz(func(t *testing.T, template bool, body string) {
		path := "/v1/teams/x"
		if template {
			path = "/v1/templates/x"
		}
		w := httptest.NewRecorder()
		h.ServeHTTP(w, httptest.NewRequest("PUT", path, strings.NewReader(body)))
		qt.Assert(t, w.Code == 200 || w.Code >= 400 && w.Code < 500, qt.IsTrue, qt.Commentf("%d %s", w.Code, w.Body))
	})
}
