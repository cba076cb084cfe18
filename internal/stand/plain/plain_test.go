package plain

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/fireflycleat/fireflycleat/internal/stand"
	"github.com/fireflycleat/fireflycleat/internal/wire"
)

// call returns the status of the response, or 0 if the connection was aborted.
func call(s *Service, method, path, key string) (status int, body string, notRun bool) {
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	r := httptest.NewRequestWithContext(ctx, method, path, strings.NewReader("{}"))
	if key != "" {
		r.Header.Set(HeaderKey, key)
	}
	w := httptest.NewRecorder()
	defer func() {
		if recover() != nil {
			status = 0
		}
	}()
	s.Handler().ServeHTTP(w, r)
	return w.Code, strings.TrimSpace(w.Body.String()), w.Header().Get(wire.HeaderNotRun) == "true"
}

// Whatever the response, the count must show whether the call ran, since tests use it to detect lost and repeated calls.
func TestFaults(t *testing.T) {
	for _, ts := range []struct {
		name   string
		faults Faults
		status int
		notRun bool
		runs   int
		took   time.Duration
	}{
		{"none", Faults{}, 200, false, 1, 100 * time.Millisecond},
		{"delay", Faults{DelayMillis: 50}, 200, false, 1, 150 * time.Millisecond},
		{"lost answer", Faults{LostAnswers: stand.FaultTrigger{Next: 1}}, 0, false, 1, 100 * time.Millisecond},
		{"refused", Faults{Refuse: stand.FaultTrigger{Next: 1}}, 503, true, 0, 0},
		{"hang before", Faults{HangBefore: true}, 0, false, 0, 10 * time.Second},
		{"hang after", Faults{HangAfter: true}, 0, false, 1, 10 * time.Second},
	} {
		t.Run(ts.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := New(Settings{Delay: 100 * time.Millisecond})
				defer s.Close()
				qt.Assert(t, s.SetFaults(ts.faults), qt.IsNil)
				start := time.Now()
				status, _, notRun := call(s, http.MethodPost, "/visits", "k")
				qt.Check(t, []any{status, notRun, s.Runs("k"), time.Since(start)}, qt.DeepEquals, []any{ts.status, ts.notRun, ts.runs, ts.took})
			})
		})
	}
}

// The runs of each key, of calls without a key and of repeated keys must be counted separately.
func TestCounts(t *testing.T) {
	c, s := qt.New(t), New(Settings{})
	for _, key := range []string{"a", "b", "a", ""} {
		status, _, _ := call(s, http.MethodPost, "/visits/1", key)
		c.Assert(status, qt.Equals, 200)
	}
	for path, want := range map[string]string{
		"/v1/runs?key=a": `{"runs":2}`, "/v1/runs?key=b": `{"runs":1}`, "/v1/runs?key=c": `{"runs":0}`,
		"/v1/runs": `{"runs":4,"keys":2,"unkeyed":1,"repeated":1}`,
	} {
		_, body, _ := call(s, http.MethodGet, path, "")
		c.Check(body, qt.Equals, want)
	}
}
