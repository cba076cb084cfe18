package relay

import (
	"context"
	"net/http"
	"net/http/httptest"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/fireflycleat/fireflycleat/internal/conns"
	"github.com/fireflycleat/fireflycleat/pkg/pick"
)

// TestCallerThatClosedItsInput guards against a caller that counts as gone although its stream goes on or its request may not be repeated, and
// against one that left and whose upstream goes on for more than half a second.
func TestCallerThatClosedItsInput(t *testing.T) {
	watchOn := func(t *testing.T, host context.Context, input string) (*caller, context.CancelCauseFunc) {
		ctx, cancel := context.WithCancelCause(t.Context())
		q, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://a/", nil)
		qt.Assert(t, err, qt.IsNil)
		c, stop := watchCaller(host, q, func(*http.Request) string { return input })
		t.Cleanup(stop)
		return c, cancel
	}
	watch := func(t *testing.T, input string) (*caller, context.CancelCauseFunc) {
		return watchOn(t, t.Context(), input)
	}
	gone := func(c *caller) bool {
		synctest.Wait()
		return c.gone()
	}
	for name, run := range map[string]func(t *testing.T){
		"nothing sent": func(t *testing.T) {
			c, end := watch(t, InputClosed)
			end(nil)
			time.Sleep(closedInputGrace - time.Millisecond)
			qt.Check(t, gone(c), qt.IsFalse)
			time.Sleep(2 * time.Millisecond)
			qt.Check(t, gone(c), qt.IsTrue)
			qt.Check(t, c.keep(), qt.IsFalse)
		},
		"stream": func(t *testing.T) {
			c, end := watch(t, InputClosed)
			end(nil)
			for range 20 {
				time.Sleep(closedInputGrace - time.Millisecond)
				qt.Check(t, gone(c), qt.IsFalse)
				c.touch()
			}
			time.Sleep(closedInputGrace + time.Millisecond)
			qt.Check(t, gone(c), qt.IsTrue)
		},
		"not repeatable": func(t *testing.T) {
			c, end := watch(t, InputClosed)
			qt.Check(t, c.keep(), qt.IsTrue)
			end(nil)
			time.Sleep(time.Minute)
			qt.Check(t, gone(c), qt.IsFalse)
			c.release()
			qt.Check(t, gone(c), qt.IsTrue)
		},
		"reset": func(t *testing.T) {
			c, end := watch(t, "reset")
			qt.Check(t, c.keep(), qt.IsTrue)
			end(nil)
			qt.Check(t, gone(c), qt.IsTrue)
		},
		"host stops": func(t *testing.T) {
			host, stop := context.WithCancel(t.Context())
			c, end := watchOn(t, host, InputClosed)
			qt.Check(t, c.keep(), qt.IsTrue)
			end(nil)
			qt.Check(t, gone(c), qt.IsFalse)
			stop()
			qt.Check(t, gone(c), qt.IsTrue)
			qt.Check(t, context.Cause(c.ctx), qt.Equals, ErrStopping)
		},
	} {
		t.Run(name, func(t *testing.T) { synctest.Test(t, run) })
	}
}

// TestEventsKeepHalfClosedCaller guards against a stream that ends 0.25 s after its caller closed the sending side, although events are sent.
func TestEventsKeepHalfClosedCaller(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, end := context.WithCancel(t.Context())
		q := httptest.NewRequestWithContext(ctx, http.MethodPost, "http://a/", nil)
		c, stop := watchCaller(t.Context(), q, func(*http.Request) string { return InputClosed })
		defer stop()
		w := httptest.NewRecorder()
		a := &attempt{
			exchange: &exchange{relay: New(Dialect{}, Control{RecordFirst: func(Ticket) {}}, nil), writer: w, request: q, caller: c, call: new(Call)},
			ticket:   Ticket{Attempt: pick.New("").StartAttempt(time.Now(), pick.Choice{}, pick.Query{})}, release: func() {},
		}
		end()
		for range 8 {
			time.Sleep(100 * time.Millisecond)
			synctest.Wait()
			qt.Assert(t, c.gone(), qt.IsFalse)
			qt.Assert(t, a.sendEvents(&conns.Response{Status: http.StatusOK}, []byte("data: x\n\n"), func() error { return nil }), qt.IsNil)
		}
		time.Sleep(closedInputGrace + time.Millisecond)
		synctest.Wait()
		qt.Assert(t, c.gone(), qt.IsTrue)
	})
}
