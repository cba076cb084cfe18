package engine

import (
	"context"
	"io"
	"maps"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/fireflycleat/fireflycleat/internal/stand/hosts"
	"github.com/fireflycleat/fireflycleat/internal/telem"
	"github.com/fireflycleat/fireflycleat/internal/wire"
	"github.com/fireflycleat/fireflycleat/pkg/codes"
	"github.com/fireflycleat/fireflycleat/pkg/stream"
)

func noTrace(context.Context, http.Header) {}

// TestPlainIsSentOnce guards against net/http retrying a call with an idempotency key when a reused connection breaks.
func TestPlainIsSentOnce(t *testing.T) {
	c := qt.New(t)
	var runs atomic.Int64
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.ReadAll(r.Body)
		if runs.Add(1) == 1 {
			return
		}
		conn, _, _ := w.(http.Hijacker).Hijack()
		_ = conn.Close()
	}))
	defer s.Close()
	e := New(noTrace, telem.Link{})
	q := PlainRequest{
		Address: strings.TrimPrefix(s.URL, "http://"), Method: http.MethodPost, Path: "/x", IdempotencyKey: "k", Body: []byte("b"),
		Timeout: time.Second, MaxReplyBytes: 10,
	}
	_, err := e.CallPlain(t.Context(), q)
	c.Assert(err, qt.IsNil)
	_, err = e.CallPlain(t.Context(), q)
	c.Assert(codes.From(err).Outcome(), qt.Equals, codes.Unknown)
	c.Assert(runs.Load(), qt.Equals, int64(2))
}

// TestDate guards against an invented date when a response has no Date header. In that case the date of a status is zero, and a
// host list is rejected, because its age is unknown.
func TestDate(t *testing.T) {
	date := time.Date(2026, 1, 1, 6, 0, 0, 0, time.UTC)
	for _, header := range [][]string{nil, {date.Format(http.TimeFormat)}} {
		c := qt.New(t)
		s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			w.Header()["Date"], w.Header()["Age"] = header, []string{"2"}
			_, _ = w.Write([]byte(`{}`))
		}))
		defer s.Close()
		address := strings.TrimPrefix(s.URL, "http://")
		status, err := New(noTrace, telem.Link{}).Status(t.Context(), address)
		c.Assert(err, qt.IsNil)
		hosts, err := New(noTrace, telem.Link{}).Hosts(t.Context(), address, wire.HostList{})
		if header == nil {
			c.Assert(err, qt.ErrorMatches, ".*no valid Date.*")
			c.Assert(status.Date.IsZero(), qt.IsTrue)
			continue
		}
		c.Assert(err, qt.IsNil)
		c.Assert([]time.Time{status.Date, hosts.Date, hosts.AsOf}, qt.DeepEquals, []time.Time{date, date, date.Add(-2 * time.Second)})
	}
}

// TestOutcomeOfTransportErrors guards against the outcome NotRun for a call that was sent, and the outcome Unknown for one
// whose connection was refused.
func TestOutcomeOfTransportErrors(t *testing.T) {
	c := qt.New(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	q := Request{ID: "r", Address: l.Addr().String(), Path: "/", Body: []byte("{}")}
	go func() {
		if conn, err := l.Accept(); err == nil {
			_ = conn.Close()
		}
	}()
	e := New(noTrace, telem.Link{})
	_, err = e.Open(t.Context(), q)
	c.Assert(codes.From(err).Outcome(), qt.Equals, codes.Unknown)
	c.Assert(l.Close(), qt.IsNil)
	_, err = e.Open(t.Context(), q)
	c.Assert(codes.From(err).Outcome(), qt.Equals, codes.NotRun)
}

// TestStreamNeedsItsEnd guards against treating a stream as complete although its end marker is missing or a chunk is
// malformed.
func TestStreamNeedsItsEnd(t *testing.T) {
	for name, tc := range map[string]struct {
		body string
		ok   bool
	}{
		"whole":     {"id: 0\ndata: {\"id\":\"r\"}\n\ndata: [DONE]\n\n", true},
		"no end":    {"id: 0\ndata: {\"id\":\"r\"}\n\n", false},
		"no index":  {"data: {\"id\":\"r\"}\n\ndata: [DONE]\n\n", false},
		"not JSON":  {"id: 0\ndata: x\n\ndata: [DONE]\n\n", false},
		"half line": {"id: 0\ndata: {\"id\":\"r\"}\n\ndata: [DO", false},
	} {
		t.Run(name, func(t *testing.T) {
			s := Stream{body: io.NopCloser(strings.NewReader(tc.body)), buffer: make([]byte, 7)}
			var last Chunk
			var err error
			for err == nil && !last.Done {
				last, err = s.Next()
			}
			qt.Assert(t, last.Done, qt.Equals, tc.ok)
			qt.Assert(t, codes.Is(err, codes.StreamBroken), qt.Equals, !tc.ok)
		})
	}
}

// FuzzParseChunk guards against a panic on a malformed chunk.
func FuzzParseChunk(f *testing.F) {
	f.Add("0", `{"id":"r"}`)
	f.Add("x", "[DONE]")
	f.Fuzz(func(_ *testing.T, id, data string) { _, _ = parseChunk(stream.Event{ID: id, Data: data}) })
}

// BenchmarkStatus measures one status call to a stand-in with eight replicas; the estimates in docs/CAPACITY.md are based on it.
func BenchmarkStatus(b *testing.B) {
	status := `{"name":"e","incarnation":"e-1","capacityBytes":1,"usedBytes":1,"highestFence":9,"replicas":[` +
		strings.Repeat(`{"model":"dial-train-01","version":"v1","bytes":1,"slots":8,"ready":true,"running":3,"waiting":1,"adapters":["a"]},`, 7) +
		`{"model":"m","version":"v1","ready":true}],"cached":[]}`
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, status) }))
	defer s.Close()
	e := New(noTrace, telem.Link{})
	b.ReportMetric(float64(len(status)), "body-B")
	b.ReportAllocs()
	for b.Loop() {
		if _, err := e.Status(b.Context(), strings.TrimPrefix(s.URL, "http://")); err != nil {
			b.Fatal(err)
		}
	}
}

// TestHosts guards against a host list whose AsOf is later than its content, against transferring an unchanged list again, and
// against keeping the previous list after a change.
func TestHosts(t *testing.T) {
	c := qt.New(t)
	list := hosts.New(hosts.Settings{Lag: 1500 * time.Millisecond})
	defer list.Close()
	sentBytes := 0
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		rec := httptest.NewRecorder()
		list.Handler().ServeHTTP(rec, r)
		sentBytes = rec.Body.Len()
		maps.Copy(w.Header(), rec.Header())
		w.WriteHeader(rec.Code)
		_, _ = w.Write(rec.Body.Bytes())
	}))
	defer s.Close()
	e, address := New(noTrace, telem.Link{}), strings.TrimPrefix(s.URL, "http://")
	c.Assert(list.Put(wire.Host{Name: "a", Address: "127.0.0.1:1", State: wire.HostLive}), qt.IsNil)
	time.Sleep(1600 * time.Millisecond)
	first, err := e.Hosts(t.Context(), address, wire.HostList{})
	c.Assert(err, qt.IsNil)
	c.Assert(first.Hosts, qt.HasLen, 1)
	c.Check(time.Since(first.AsOf) >= 1500*time.Millisecond, qt.IsTrue)
	second, err := e.Hosts(t.Context(), address, first)
	c.Assert(err, qt.IsNil)
	c.Check(second.Hosts, qt.DeepEquals, first.Hosts)
	c.Check(second.AsOf.Before(first.AsOf), qt.IsFalse)
	c.Check(sentBytes, qt.Equals, 0)
	c.Assert(list.SetState("a", wire.HostGone), qt.IsTrue)
	time.Sleep(1600 * time.Millisecond)
	third, err := e.Hosts(t.Context(), address, second)
	c.Assert(err, qt.IsNil)
	c.Check(third.Hosts[0].State, qt.Equals, wire.HostGone)
	c.Check(third.AsOf.After(first.AsOf), qt.IsTrue)
	c.Assert(list.SetFaults(hosts.Faults{Outage: true}), qt.IsNil)
	kept, err := e.Hosts(t.Context(), address, third)
	c.Check(err, qt.IsNotNil)
	c.Check(kept, qt.DeepEquals, third)
}

// TestEndlessHead guards against an upstream that sends the head of a response without end: each such request would take 10 MB of
// the daemon's memory before it fails.
func TestEndlessHead(t *testing.T) {
	for name, unit := range map[string]string{"headers": "A: b\r\n", "interim": "\r\nHTTP/1.1 103 Early Hints\r\nA: b\r\n"} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			var sent atomic.Int64
			s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				conn, _, _ := w.(http.Hijacker).Hijack()
				defer conn.Close()
				_, _ = io.WriteString(conn, "HTTP/1.1 103 Early Hints\r\n")
				for chunk := []byte(strings.Repeat(unit, 100)); ; {
					n, err := conn.Write(chunk)
					if sent.Add(int64(n)); err != nil {
						return
					}
				}
			}))
			defer s.Close()
			e := New(noTrace, telem.Link{})
			address := strings.TrimPrefix(s.URL, "http://")
			ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
			defer cancel()
			_, err := e.Open(ctx, Request{ID: "1", Address: address, Path: "/x"})
			c.Assert(err, qt.IsNotNil)
			_, err = e.CallPlain(ctx, PlainRequest{Address: address, Method: http.MethodPost, Path: "/x", Timeout: 10 * time.Second, MaxReplyBytes: 10})
			c.Assert(codes.From(err).Outcome(), qt.Equals, codes.Unknown)
			c.Assert(e.Cancel(ctx, address, "1"), qt.IsNotNil)
			c.Assert(ctx.Err(), qt.IsNil)
			s.CloseClientConnections()
			// Sockets buffer up to a few megabytes on the way; three requests with the default limit read 30 MB.
			c.Assert(sent.Load() < 24<<20, qt.IsTrue, qt.Commentf("%d bytes sent", sent.Load()))
		})
	}
}
