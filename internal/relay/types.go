package relay

import (
	"context"
	"net/http"
	"time"

	"github.com/fireflycleat/fireflycleat/pkg/codes"
	"github.com/fireflycleat/fireflycleat/pkg/fleet"
	"github.com/fireflycleat/fireflycleat/pkg/pick"
	"github.com/fireflycleat/fireflycleat/pkg/place"
)

// The verdicts on an upstream's answer.
const (
	// Final means that the answer is the upstream's result and goes to the caller.
	Final Verdict = iota
	// NotRun means that the upstream did not run the request, because it is full or too late.
	NotRun
	// Misplaced means that the upstream did not run the request, because it is another one or does not hold the model.
	Misplaced
	// Failing means that the upstream ran the request and failed; the answer goes to the caller unless a repeat is allowed.
	Failing
	// Garbled means that the answer cannot be the upstream's whole answer.
	Garbled
)

type (
	// Verdict is what an upstream's answer says about the request.
	Verdict int

	// Facts is what a caller says about a request in its headers.
	Facts struct {
		ID        string
		Budget    time.Duration // Budget is how long the caller waits; zero means that it does not say.
		Key       place.Key
		Prompt    int // Prompt is the number of prompt tokens.
		Output    int // Output is the largest number of tokens of the answer.
		Session   uint64
		LastEvent string // LastEvent is the id of the last event that the caller has; empty means none.
	}

	// Outgoing is what the system says about a request to an upstream.
	Outgoing struct {
		Upstream  string
		Budget    time.Duration
		Urgency   int
		LastEvent string
	}

	// Dialect translates the headers of callers and upstreams.
	Dialect struct {
		// Echo is the header with the request's id, which an answer repeats.
		Echo string
		// Decode reads the headers of a caller; a fault is a BadRequest error.
		Decode func(h http.Header) (Facts, error)
		// Encode removes the headers that callers must not set and sets those of the system.
		Encode func(h http.Header, o Outgoing)
		// Judge classifies an upstream's answer by its status and headers.
		Judge func(status int, h http.Header) Verdict
	}

	// Control is what the relay asks of the control thread.
	Control struct {
		// Config returns the configuration in force, or nil.
		Config func() *fleet.Config
		// Choose returns an upstream, or waits for one; a refusal is a coded error with a time after which to come back.
		Choose func(ctx context.Context, c *Call, exclude map[string]bool) (Ticket, error)
		// First records the first event of an attempt.
		First func(t Ticket)
		// End records the end of an attempt.
		End func(t Ticket, r pick.Result)
		// Stuck reports whether the request had better be moved to another upstream.
		Stuck func(t Ticket, c *Call) bool
		// Repeat asks for leave to send the request once more.
		Repeat func(service string) bool
		// Count records a request to a service.
		Count func(service string)
		// Stopping returns the time after which no request can be finished any more, and whether a stop has begun.
		Stopping func() (until time.Time, stopping bool)
		// Retried reports an attempt after which the request is sent once more.
		Retried func(c *Call, t Ticket, err error)
		// Ended reports the end of a request.
		Ended func(e Ended)
	}

	// Ticket is an attempt in flight.
	Ticket struct {
		Choice pick.Choice
		Flight *pick.Flight
	}

	// Call is a request in progress.
	Call struct {
		Facts
		Route    fleet.Route
		Service  string
		Arrived  time.Time
		Deadline time.Time // Deadline is the latest time of the whole answer.
		Patience time.Time // Patience is the time at which the caller gives up without a first event.
		Version  int64     // Version is that of the configuration.
		Rounds   int       // Rounds counts how often all upstreams of a service without models were tried in vain.
	}

	// Ended describes a request that ended.
	Ended struct {
		Call     *Call
		Code     codes.Code
		Outcome  codes.Outcome
		Status   int // Status is what the caller got; zero means that the connection was closed.
		Attempts int
		Resumed  int
		Upstream string // Upstream is the last one that was tried.
		Events   int
		Waited   time.Duration // Waited is the time to the first attempt.
		First    time.Duration // First is the time to the first byte of the answer; zero means none.
		Pause    time.Duration // Pause is the longest time between two pieces of a stream.
		Retry    time.Duration
		Detail   string
	}
)
