package relay_test

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/fireflycleat/fireflycleat/internal/conns"
	"github.com/fireflycleat/fireflycleat/internal/relay"
	"github.com/fireflycleat/fireflycleat/pkg/codes"
	"github.com/fireflycleat/fireflycleat/pkg/fleet"
	"github.com/fireflycleat/fireflycleat/pkg/pick"
)

// newControl returns the functions of a host with one route, whose attempts go to the address.
func newControl(c *qt.C, address string) relay.Control {
	cfg, err := fleet.NewConfig(1, []fleet.Route{{
		Name: "r", Prefix: "/", Host: "a", Kind: fleet.Safe, Timeout: time.Second, MaxAttempts: 2, Targets: []fleet.Target{{Service: "s", Weight: 1}},
	}}, []fleet.Service{{Name: "s"}}, fleet.Limits{})
	c.Assert(err, qt.IsNil)
	return relay.Control{
		Config: func() *fleet.Config { return cfg },
		Choose: func(context.Context, *relay.Call, map[string]bool) (relay.Ticket, error) {
			return relay.Ticket{Choice: pick.Choice{Upstream: "u", Address: address}, Attempt: new(pick.Attempt)}, nil
		},
		RecordFirst: func(relay.Ticket) {}, EndAttempt: func(relay.Ticket, pick.Result) {}, AllowRepeat: func(string) bool { return false },
		CountRequest: func(string) {}, Stopping: func() (time.Time, bool) { return time.Time{}, false },
		Retried:     func(*relay.Call, relay.Ticket, error) {},
		Broken:      func(*relay.Call, relay.Ticket, relay.Progress) bool { return true },
		Sound:       func(*relay.Call) {},
		Guard:       func(*relay.Call, context.CancelCauseFunc) func() { return func() {} },
		CallerInput: func(*http.Request) string { return "" },
	}
}

// TestPanicIsAnswered guards against a request whose handler panics: net/http closes its connection without a response, its upstream seems to
// work on it for good, and nothing counts it.
func TestPanicIsAnswered(t *testing.T) {
	c := qt.New(t)
	upstream := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "ok") }))
	defer upstream.Close()
	for _, x := range []struct {
		name   string
		change func(k *relay.Control)
	}{
		{"choice", func(k *relay.Control) {
			k.Choose = func(context.Context, *relay.Call, map[string]bool) (relay.Ticket, error) { panic("choice") }
		}},
		{"attempt", func(k *relay.Control) { k.Sound = func(*relay.Call) { panic("attempt") } }},
	} {
		c.Run(x.name, func(c *qt.C) {
			k := newControl(c, upstream.Listener.Addr().String())
			var ended []relay.RequestSummary
			var panics, attempts int
			k.RequestEnded = func(s relay.RequestSummary) { ended = append(ended, s) }
			k.Panicked = func(_ *relay.Call, _ any, stack []byte) {
				panics++
				c.Check(string(stack), qt.Contains, "relay_test.go")
			}
			k.EndAttempt = func(relay.Ticket, pick.Result) { attempts-- }
			choose := k.Choose
			k.Choose = func(ctx context.Context, call *relay.Call, exclude map[string]bool) (relay.Ticket, error) {
				attempts++
				return choose(ctx, call, exclude)
			}
			x.change(&k)
			pool := conns.New(conns.Settings{DialTimeout: time.Second, UserTimeout: time.Second})
			defer pool.Close()
			host := httptest.NewServer(relay.New(relay.Dialect{
				Decode:   func(http.Header) (relay.RequestHeaders, error) { return relay.RequestHeaders{}, nil },
				Encode:   func(http.Header, relay.UpstreamHeaders) {},
				Classify: func(int, http.Header) relay.ResponseClass { return relay.Final },
			}, k, pool))
			q, err := http.NewRequest(http.MethodGet, host.URL+"/x", strings.NewReader("x"))
			c.Assert(err, qt.IsNil)
			q.Host = "a"
			r, err := http.DefaultClient.Do(q)
			if x.name == "choice" {
				c.Assert(err, qt.IsNil)
				c.Check(r.StatusCode, qt.Equals, http.StatusInternalServerError)
				r.Body.Close()
			}
			host.Close()
			c.Check(panics, qt.Equals, 1)
			c.Assert(ended, qt.HasLen, 1)
			c.Check(ended[0].Code, qt.Equals, codes.Internal)
			c.Check(attempts, qt.Equals, 0)
		})
	}
}
