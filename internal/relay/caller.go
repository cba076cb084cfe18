package relay

import (
	"context"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
)

// closedInputGrace is how long a request goes on without an event for its caller after the caller closed the sending side of the connection.
// The caller may only have finished sending, or have left: then the upstream's work on the request has to end within half a second. While
// events are sent, a caller that left shows by a failed write.
const closedInputGrace = 250 * time.Millisecond

// InputClosed is the result of Control.CallerInput for a caller that closed the sending side of its connection.
const InputClosed = "closed"

// ErrStopping is the cause with which the context of a request ends when the host can no longer wait for its response.
var ErrStopping = errors.New("host is stopping")

var errCallerLeft = errors.New("caller left")

// caller tells whether the caller of a request still waits for the response. net/http ends the context of a request at any end of the
// connection's input, also if the caller only closed its sending side.
type caller struct {
	ctx    context.Context // ends when the caller counts as gone
	cancel context.CancelCauseFunc
	sentAt atomic.Int64 // when events were last sent to the caller, in Unix nanoseconds
	mu     sync.Mutex
	kept   bool // whether the request goes on after the end of the input
	late   bool // whether closedInputGrace has passed since the end of the input
}

// watchCaller returns the caller of a request. The function stop ends its context.
func watchCaller(q *http.Request, input func(*http.Request) string) (c *caller, stop func()) {
	c = new(caller)
	c.ctx, c.cancel = context.WithCancelCause(context.WithoutCancel(q.Context()))
	unwatch := context.AfterFunc(q.Context(), func() {
		switch {
		case errors.Is(context.Cause(q.Context()), ErrStopping):
			c.cancel(ErrStopping)
			return
		case input(q) != InputClosed:
			c.cancel(errCallerLeft)
			return
		}
		for wait := closedInputGrace; wait > 0; wait = time.Until(time.Unix(0, c.sentAt.Load()).Add(closedInputGrace)) {
			select {
			case <-time.After(wait):
			case <-c.ctx.Done():
				return
			}
		}
		c.expire()
	})
	return c, func() {
		unwatch()
		c.cancel(nil)
	}
}

func (c *caller) expire() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.late = true
	if !c.kept {
		c.cancel(errCallerLeft)
	}
}

// touch records that events are sent to the caller.
func (c *caller) touch() { c.sentAt.Store(time.Now().UnixNano()) }

// keep lets the request go on after the end of the caller's input, until release is called. It reports false if the caller counts as gone.
func (c *caller) keep() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.kept = c.ctx.Err() == nil
	return c.kept
}

func (c *caller) release() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.kept = false; c.late {
		c.cancel(errCallerLeft)
	}
}

// gone reports whether the caller counts as gone, or the host can no longer wait for the response.
func (c *caller) gone() bool { return c.ctx.Err() != nil }
