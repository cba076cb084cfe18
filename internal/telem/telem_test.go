package telem

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/cockroachdb/errors"
	qt "github.com/frankban/quicktest"
)

// TestTraceThroughHops guards against a trace that is lost on its way: from the request header, between daemons, to the header sent
// upstream, or in the OTLP export.
func TestTraceThroughHops(t *testing.T) {
	c := qt.New(t)
	var exports atomic.Int64
	s := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		if b, _ := io.ReadAll(r.Body); r.URL.Path == "/v1/traces" && bytes.Contains(b, []byte("hop two")) {
			exports.Add(1)
		}
	}))
	defer s.Close()
	x, err := NewTraces(t.Context(), "h", strings.TrimPrefix(s.URL, "http://"))
	c.Assert(err, qt.IsNil)
	in := http.Header{"Traceparent": {"00-4bf92f3577b34da6a3ce929d0e0e4736-00f067aa0ba902b7-01"}}
	ctx, first := x.Start(x.FromHeader(context.Background(), in), "hop one")
	ctx, second := x.Start(x.FromText(context.Background(), x.ToText(ctx)), "hop two")
	out := http.Header{}
	x.ToHeader(ctx, out)
	c.Assert(out.Get("Traceparent"), qt.Contains, "4bf92f3577b34da6a3ce929d0e0e4736")
	End(second, errors.New("x"))
	End(first, nil)
	c.Assert(x.Close(t.Context()), qt.IsNil)
	c.Assert(exports.Load(), qt.Equals, int64(1))
}

// TestLogs guards against lines without the prefix of their part, and against a level that does not change at run time.
func TestLogs(t *testing.T) {
	c := qt.New(t)
	var b bytes.Buffer
	l := NewLogs(&b, "h")
	l.For("cell").With("x", 1).Debug("hidden")
	c.Assert(l.SetLevel("debug"), qt.IsNil)
	l.For("cell").With("x", 1).Debug("shown", "err", errors.New("e"))
	c.Assert(l.SetLevel("loud"), qt.ErrorMatches, ".*level.*")
	c.Assert(b.String(), qt.Contains, `msg="cell: shown" host=h x=1 err=e`+"\n")
	c.Assert(strings.Contains(b.String(), "hidden"), qt.IsFalse)
}
