package relay_test

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	qt "github.com/frankban/quicktest"

	"github.com/fireflycleat/fireflycleat/internal/conns"
	"github.com/fireflycleat/fireflycleat/internal/relay"
	"github.com/fireflycleat/fireflycleat/pkg/codes"
	"github.com/fireflycleat/fireflycleat/pkg/fleet"
	"github.com/fireflycleat/fireflycleat/pkg/pick"
)

var dialect = relay.Dialect{
	Decode: func(http.Header) (relay.RequestHeaders, error) { return relay.RequestHeaders{}, nil },
	Encode: func(http.Header, relay.UpstreamHeaders) {},
	Classify: func(status int, _ http.Header) relay.ResponseClass {
		if status == http.StatusServiceUnavailable {
			return relay.NotRun
		}
		return relay.Final
	},
	Signs: func(string, int, http.Header) relay.Signs { return relay.Signs{} },
}

// newControl returns the functions of a host with one route of the kind, whose attempts go to the address.
func newControl(c *qt.C, kind fleet.Kind, address string) relay.Control {
	cfg, err := fleet.NewConfig(1, []fleet.Route{{
		Name: "r", Prefix: "/", Host: "a", Kind: kind, Resumable: true, Timeout: 10 * time.Second, MaxAttempts: 3, Targets: []fleet.Target{{Service: "s", Weight: 1}},
	}}, []fleet.Service{{Name: "s"}}, fleet.Limits{})
	c.Assert(err, qt.IsNil)
	return relay.Control{
		Config: func() *fleet.Config { return cfg },
		Choose: func(context.Context, *relay.Call, map[string]bool) (relay.Ticket, error) {
			return newTicket("u", address), nil
		},
		RecordFirst: func(relay.Ticket) {}, EndAttempt: func(relay.Ticket, pick.Result) {}, AllowRepeat: func(string) bool { return false },
		CountRequest: func(string) {}, Stopping: func(*relay.Call) (time.Time, bool) { return time.Time{}, false },
		Retried:     func(*relay.Call, relay.Ticket, error) {},
		Broken:      func(*relay.Call, relay.Ticket, relay.Progress) bool { return true },
		Sound:       func(*relay.Call, relay.Ticket, relay.Completion) {},
		Guard:       func(*relay.Call, context.CancelCauseFunc) func() { return func() {} },
		CallerInput: func(*http.Request) string { return "" }, Ending: context.Background(),
		Paused: func(*relay.Call) error { return nil },
	}
}

// newTicket starts an attempt at an upstream.
func newTicket(upstream, address string) relay.Ticket {
	c := pick.Choice{Upstream: upstream, Address: address}
	return relay.Ticket{Choice: c, Attempt: pick.New("").StartAttempt(time.Now(), c, pick.Query{})}
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
		{"attempt", func(k *relay.Control) {
			k.Sound = func(*relay.Call, relay.Ticket, relay.Completion) { panic("attempt") }
		}},
	} {
		c.Run(x.name, func(c *qt.C) {
			k := newControl(c, fleet.Safe, upstream.Listener.Addr().String())
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
			host := httptest.NewServer(relay.New(dialect, k, pool))
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

// TestMovedRequestThatNobodyTakes guards against a request that was moved from a silent upstream and is held until its deadline, although it is
// known that no upstream will take it.
func TestMovedRequestThatNobodyTakes(t *testing.T) {
	c := qt.New(t)
	silent := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, q *http.Request) {
		_, _ = io.Copy(io.Discard, q.Body)
		<-q.Context().Done()
	}))
	defer silent.Close()
	full := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusServiceUnavailable) }))
	defer full.Close()
	k := newControl(c, fleet.Stream, silent.Listener.Addr().String())
	first := k.Choose
	k.Choose = func(ctx context.Context, call *relay.Call, exclude map[string]bool) (relay.Ticket, error) {
		if len(exclude) > 0 {
			return relay.Ticket{}, codes.New(codes.CrashingPart, "known by now")
		}
		return first(ctx, call, exclude)
	}
	k.Move = func(relay.Ticket, *relay.Call) (relay.Ticket, error) {
		return newTicket("full", full.Listener.Addr().String()), nil
	}
	k.AllowRepeat = func(string) bool { return true }
	k.Silent = func(*relay.Call, relay.Ticket, relay.Ticket, error) {}
	ended := make(chan relay.RequestSummary, 1)
	k.RequestEnded = func(s relay.RequestSummary) { ended <- s }
	pool := conns.New(conns.Settings{DialTimeout: time.Second, UserTimeout: time.Second})
	defer pool.Close()
	host := httptest.NewServer(relay.New(dialect, k, pool))
	defer host.Close()
	q, err := http.NewRequest(http.MethodPost, host.URL+"/x", strings.NewReader("x"))
	c.Assert(err, qt.IsNil)
	q.Host = "a"
	began := time.Now()
	r, err := http.DefaultClient.Do(q)
	c.Assert(err, qt.IsNil)
	r.Body.Close()
	c.Check(r.StatusCode, qt.Equals, http.StatusGatewayTimeout) // The silent upstream may have run it.
	c.Check(time.Since(began) < 5*time.Second, qt.IsTrue, qt.Commentf("after %v", time.Since(began)))
	c.Check((<-ended).Attempts, qt.Equals, 2)
}

// TestPanicOfAMoveKeepsTheRequest guards against a process that ends, with all its requests, because the check of a silent upstream panics on the
// goroutine of its timer.
func TestPanicOfAMoveKeepsTheRequest(t *testing.T) {
	c := qt.New(t)
	upstream := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		time.Sleep(1500 * time.Millisecond) // longer than the time without a first event after which a stream is checked
		w.Header().Set("Content-Type", "text/event-stream")
		_, _ = io.WriteString(w, "id: 1\ndata: a\n\n")
	}))
	defer upstream.Close()
	k := newControl(c, fleet.Stream, upstream.Listener.Addr().String())
	k.Move = func(relay.Ticket, *relay.Call) (relay.Ticket, error) { panic("move") }
	var panics atomic.Int64
	k.Panicked = func(*relay.Call, any, []byte) { panics.Add(1) }
	k.RequestEnded = func(relay.RequestSummary) {}
	pool := conns.New(conns.Settings{DialTimeout: time.Second, UserTimeout: time.Second})
	defer pool.Close()
	host := httptest.NewServer(relay.New(dialect, k, pool))
	defer host.Close()
	q, err := http.NewRequest(http.MethodPost, host.URL+"/x", strings.NewReader("x"))
	c.Assert(err, qt.IsNil)
	q.Host = "a"
	r, err := http.DefaultClient.Do(q)
	c.Assert(err, qt.IsNil)
	defer r.Body.Close()
	b, err := io.ReadAll(r.Body)
	c.Assert(err, qt.IsNil)
	c.Check(string(b), qt.Equals, "id: 1\ndata: a\n\n")
	c.Check(panics.Load(), qt.Equals, int64(1))
}

// lateWriter is a response writer whose caller accepts only the first bytes of a body.
type lateWriter struct {
	*httptest.ResponseRecorder
	room int
}

func (w *lateWriter) Write(b []byte) (int, error) {
	if w.room -= len(b); w.room < 0 {
		return 0, errors.New("connection timed out")
	}
	return w.ResponseRecorder.Write(b)
}

// TestFailedWriteIsNotTheUpstreams guards against an upstream that is avoided as broken because a caller stopped taking a large response.
func TestFailedWriteIsNotTheUpstreams(t *testing.T) {
	c := qt.New(t)
	const size = 1 << 20
	upstream := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write(make([]byte, size)) }))
	defer upstream.Close()
	k := newControl(c, fleet.Safe, upstream.Listener.Addr().String())
	var result pick.Result
	var ended relay.RequestSummary
	k.EndAttempt = func(_ relay.Ticket, r pick.Result) { result = r }
	k.RequestEnded = func(s relay.RequestSummary) { ended = s }
	pool := conns.New(conns.Settings{DialTimeout: time.Second, UserTimeout: time.Second})
	defer pool.Close()
	q := httptest.NewRequest(http.MethodGet, "http://a/x", nil)
	c.Check(func() {
		relay.New(dialect, k, pool).ServeHTTP(&lateWriter{httptest.NewRecorder(), size / 2}, q)
	}, qt.PanicMatches, http.ErrAbortHandler.Error())
	c.Check(result, qt.Equals, pick.Abandoned)
	c.Check(ended.Code, qt.Equals, codes.CallerLeft)
}
