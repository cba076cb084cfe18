package relay_test

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"strconv"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/fireflycleat/fireflycleat/internal/conns"
	"github.com/fireflycleat/fireflycleat/internal/relay"
	"github.com/fireflycleat/fireflycleat/pkg/codes"
	"github.com/fireflycleat/fireflycleat/pkg/fleet"
	"github.com/fireflycleat/fireflycleat/pkg/pick"
)

// startRelay starts a relay with one route and returns its URL. Functions of c that are nil do nothing and allow everything.
func startRelay(t *testing.T, r fleet.Route, c relay.Control) string {
	r.Name, r.Host, r.Prefix, r.MaxAttempts, r.Targets = "r", "127.0.0.1", "/", 2, []fleet.Target{{Service: "s", Weight: 1}}
	cfg, err := fleet.NewConfig(1, []fleet.Route{r}, []fleet.Service{{Name: "s"}}, fleet.Limits{})
	qt.Assert(t, err, qt.IsNil)
	c.Config = func() *fleet.Config { return cfg }
	c.CountRequest = func(string) {}
	c.Stopping = func(*relay.Call) (time.Time, bool) { return time.Time{}, false }
	c.Guard = func(*relay.Call, context.CancelCauseFunc) func() { return func() {} }
	c.Retried = func(*relay.Call, relay.Ticket, error) {}
	c.RecordFirst, c.Sound, c.RequestEnded = func(relay.Ticket) {}, func(*relay.Call, relay.Ticket, relay.Completion) {}, func(relay.RequestSummary) {}
	c.Broken = func(*relay.Call, relay.Ticket, relay.Progress) bool { return true }
	c.Signs = func(relay.Ticket, relay.Signs) {}
	c.CallerInput, c.Ending = func(*http.Request) string { return "" }, context.Background()
	if c.AllowRepeat == nil {
		c.AllowRepeat = func(string) bool { return true }
	}
	if c.Paused == nil {
		c.Paused = func(*relay.Call) error { return nil }
	}
	d := relay.Dialect{
		Decode:   func(http.Header) (relay.RequestHeaders, error) { return relay.RequestHeaders{}, nil },
		Encode:   func(http.Header, relay.UpstreamHeaders) {},
		Classify: classify,
		Signs: func(_ string, _ int, h http.Header) relay.Signs {
			s, _ := strconv.Atoi(h.Get("Retry-After"))
			return relay.Signs{Pause: time.Duration(s) * time.Second}
		},
	}
	pool := conns.New(conns.Settings{DialTimeout: time.Second, UserTimeout: time.Second})
	t.Cleanup(pool.Close)
	s := httptest.NewServer(relay.New(d, c, pool))
	t.Cleanup(s.Close)
	return s.URL
}

// classify treats 429 as not run and other errors as failed.
func classify(status int, _ http.Header) relay.ResponseClass {
	switch {
	case status == http.StatusTooManyRequests:
		return relay.NotRun
	case status >= http.StatusInternalServerError:
		return relay.Failed
	}
	return relay.Final
}

// startUpstreams starts upstreams a and b. It returns a table with both, and the addresses of the requests that they receive.
func startUpstreams(t *testing.T, respond http.HandlerFunc) (*pick.Table, chan string) {
	received := make(chan string, 100)
	list := make(map[string]fleet.Upstream)
	for _, id := range []string{"a", "b"} {
		s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
			received <- id
			respond(w, q)
		}))
		t.Cleanup(s.Close)
		list[id] = fleet.Upstream{ID: id, Born: 1, Service: "s", Address: s.Listener.Addr().String(), Slots: 8}
	}
	table := pick.New("")
	table.Replace(list)
	return table, received
}

// start starts an attempt at the upstream that the table chooses.
func start(table *pick.Table, exclude map[string]bool) relay.Ticket {
	q := pick.Query{Service: "s", Exclude: exclude}
	c, _ := table.Choose(time.Now(), q)
	return relay.Ticket{Choice: c, Attempt: table.StartAttempt(time.Now(), c, q)}
}

// TestRequestIsNotSentAfterASign guards against a request that is sent to an upstream which said after the request had been assigned to it,
// while a connection was opened or the host was paused, that it leaves or wants no requests.
func TestRequestIsNotSentAfterASign(t *testing.T) {
	t.Parallel()
	a := pick.Process{Upstream: "a", Born: 1}
	for name, sign := range map[string]func(*pick.Table){
		"leaving": func(table *pick.Table) { table.RecordLeaving(time.Now(), a) },
		"pause":   func(table *pick.Table) { table.RecordPause(time.Now(), a, time.Minute) },
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			table, received := startUpstreams(t, func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "done") })
			results := make(chan pick.Result, 2)
			url := startRelay(t, fleet.Route{Kind: fleet.Unsafe, Timeout: 5 * time.Second}, relay.Control{
				Choose: func(_ context.Context, _ *relay.Call, exclude map[string]bool) (relay.Ticket, error) {
					ticket := start(table, exclude)
					if ticket.Choice.Upstream == "a" {
						sign(table)
					}
					return ticket, nil
				},
				EndAttempt: func(_ relay.Ticket, r pick.Result) { results <- r },
			})
			r, err := http.Get(url + "/x")
			qt.Assert(t, err, qt.IsNil)
			defer r.Body.Close()
			qt.Assert(t, r.StatusCode, qt.Equals, http.StatusOK)
			qt.Assert(t, <-received, qt.Equals, "b")
			qt.Assert(t, received, qt.HasLen, 0)
			qt.Assert(t, <-results, qt.Equals, pick.Abandoned, qt.Commentf("no failure of the upstream"))
			qt.Assert(t, <-results, qt.Equals, pick.Served)
		})
	}
}

// TestBrokenRequestWaitsForAPause guards against a request that may have run, and can no longer be refused, which fails because all
// upstreams want no requests for a moment, and against one that waits for longer than its caller does.
func TestBrokenRequestWaitsForAPause(t *testing.T) {
	t.Parallel()
	for _, x := range []struct {
		pause time.Duration
		want  int
	}{{200 * time.Millisecond, http.StatusOK}, {time.Minute, http.StatusGatewayTimeout}} {
		broken := make(chan bool, 1)
		broken <- true
		table, received := startUpstreams(t, func(w http.ResponseWriter, _ *http.Request) {
			select {
			case <-broken:
				panic(http.ErrAbortHandler)
			default:
				_, _ = io.WriteString(w, "done")
			}
		})
		choices := 0
		url := startRelay(t, fleet.Route{Kind: fleet.Safe, Timeout: 3 * time.Second}, relay.Control{
			Choose: func(_ context.Context, _ *relay.Call, exclude map[string]bool) (relay.Ticket, error) {
				if choices++; choices == 2 {
					return relay.Ticket{}, codes.New(codes.UpstreamsPaused, "").WithRetryAfter(x.pause)
				}
				return start(table, exclude), nil
			},
			EndAttempt: func(relay.Ticket, pick.Result) {},
		})
		begin := time.Now()
		r, err := http.Get(url + "/x")
		qt.Assert(t, err, qt.IsNil)
		defer r.Body.Close()
		qt.Check(t, r.StatusCode, qt.Equals, x.want)
		qt.Check(t, time.Since(begin) < time.Second, qt.IsTrue)
		qt.Check(t, len(received), qt.Equals, map[int]int{http.StatusOK: 2, http.StatusGatewayTimeout: 1}[x.want])
	}
}

// TestRefusedWhileAllPause guards against a wrong time to return, or a repeat taken from the common quota in vain, for a request that was
// refused by the last upstream which did not pause.
func TestRefusedWhileAllPause(t *testing.T) {
	t.Parallel()
	table, received := startUpstreams(t, func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusTooManyRequests) })
	url := startRelay(t, fleet.Route{Kind: fleet.Unsafe, Timeout: 3 * time.Second}, relay.Control{
		Choose: func(_ context.Context, _ *relay.Call, exclude map[string]bool) (relay.Ticket, error) {
			return start(table, exclude), nil
		},
		EndAttempt: func(relay.Ticket, pick.Result) {},
		Paused:     func(*relay.Call) error { return codes.New(codes.UpstreamsPaused, "").WithRetryAfter(7 * time.Second) },
		AllowRepeat: func(string) bool {
			t.Error("repeat taken")
			return true
		},
	})
	r, err := http.Get(url + "/x")
	qt.Assert(t, err, qt.IsNil)
	defer r.Body.Close()
	qt.Assert(t, r.StatusCode, qt.Equals, http.StatusServiceUnavailable)
	qt.Assert(t, r.Header.Get("Retry-After"), qt.Equals, "7.00")
	qt.Assert(t, received, qt.HasLen, 1)
}

// TestPauseIsNoFailure guards against an upstream that counts as failing because it answered 503 to get a pause.
func TestPauseIsNoFailure(t *testing.T) {
	t.Parallel()
	for _, x := range []struct {
		retryAfter string
		want       pick.Result
	}{{"3", pick.Refused}, {"", pick.Errored}} {
		table, _ := startUpstreams(t, func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Retry-After", x.retryAfter)
			w.WriteHeader(http.StatusServiceUnavailable)
		})
		results := make(chan pick.Result, 9)
		url := startRelay(t, fleet.Route{Kind: fleet.Safe, Timeout: 3 * time.Second}, relay.Control{
			Choose: func(_ context.Context, _ *relay.Call, exclude map[string]bool) (relay.Ticket, error) {
				return start(table, exclude), nil
			},
			EndAttempt: func(_ relay.Ticket, r pick.Result) { results <- r },
		})
		r, err := http.Get(url + "/x")
		qt.Assert(t, err, qt.IsNil)
		qt.Check(t, r.Body.Close(), qt.IsNil)
		qt.Check(t, r.StatusCode, qt.Equals, http.StatusServiceUnavailable, qt.Commentf("the last answer is passed on"))
		for range 2 {
			qt.Check(t, <-results, qt.Equals, x.want)
		}
	}
}

// TestUnknownRouteOfAnOldConfiguration guards against a 404 for a route that was added while the host could not read the configuration: callers
// do not send such a request again.
func TestUnknownRouteOfAnOldConfiguration(t *testing.T) {
	t.Parallel()
	for _, x := range []struct {
		old    func() bool
		status int
	}{
		{nil, http.StatusNotFound},
		{func() bool { return false }, http.StatusNotFound},
		{func() bool { return true }, http.StatusServiceUnavailable},
	} {
		url := startRelay(t, fleet.Route{Kind: fleet.Safe, Timeout: 3 * time.Second}, relay.Control{ConfigOld: x.old})
		q, err := http.NewRequestWithContext(t.Context(), http.MethodGet, url+"/x", http.NoBody)
		qt.Assert(t, err, qt.IsNil)
		q.Host = "other.example"
		r, err := http.DefaultClient.Do(q)
		qt.Assert(t, err, qt.IsNil)
		_ = r.Body.Close()
		qt.Check(t, r.StatusCode, qt.Equals, x.status)
		qt.Check(t, r.Header.Get("Retry-After") != "", qt.Equals, x.status == http.StatusServiceUnavailable)
	}
}
