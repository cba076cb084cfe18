package relay

import (
	"context"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
)

// TestCallerThatClosedItsInput guards against a caller that counts as gone although its stream goes on or its request may not be repeated, and
// against one that left and whose upstream goes on for more than half a second.
func TestCallerThatClosedItsInput(t *testing.T) {
	watch := func(t *testing.T, input string) (*caller, context.CancelCauseFunc) {
		ctx, cancel := context.WithCancelCause(t.Context())
		q, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://a/", nil)
		qt.Assert(t, err, qt.IsNil)
		c, stop := watchCaller(q, func(*http.Request) string { return input })
		t.Cleanup(stop)
		return c, cancel
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
			c, end := watch(t, InputClosed)
			qt.Check(t, c.keep(), qt.IsTrue)
			end(ErrStopping)
			qt.Check(t, gone(c), qt.IsTrue)
			qt.Check(t, context.Cause(c.ctx), qt.Equals, ErrStopping)
		},
	} {
		t.Run(name, func(t *testing.T) { synctest.Test(t, run) })
	}
}
