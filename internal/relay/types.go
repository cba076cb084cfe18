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

// The classes of upstream responses.
const (
	// Final means that the response is the upstream's result and is sent to the caller.
	Final Verdict = iota
	// NotRun means that the upstream did not run the request because it is overloaded or the deadline is too close.
	NotRun
	// Misplaced means that the upstream did not run the request because it is not the one addressed or does not hold the
	// model.
	Misplaced
	// Failing means that the upstream ran the request and failed. The response is sent to the caller unless the request may be
	// repeated.
	Failing
	// Garbled means that the response cannot be the complete response of the upstream.
	Garbled
)

type (
	// Verdict is the class of an upstream's response.
	Verdict int

	// Facts holds the values that a caller sends in the headers of a request.
	Facts struct {
		ID        string
		Budget    time.Duration // Budget is how long the caller waits; zero means unknown.
		Key       place.Key
		Prompt    int // Prompt is the number of prompt tokens.
		Output    int // Output is the maximum number of output tokens.
		Session   uint64
		LastEvent string // LastEvent is the id of the last event that the caller received; empty means none.
	}

	// Outgoing holds the values that are sent to an upstream in the headers of a request.
	Outgoing struct {
		Upstream  string
		Budget    time.Duration
		Urgency   int
		LastEvent string
	}

	// Dialect reads and writes the headers of callers and upstreams.
	Dialect struct {
		// Echo is the header with the request's id, which a response must return.
		Echo string
		// Decode parses the headers of a caller's request; invalid ones yield a BadRequest error.
		Decode func(h http.Header) (Facts, error)
		// Encode removes the headers that callers must not set and adds those for the upstream.
		Encode func(h http.Header, o Outgoing)
		// Judge classifies an upstream's response by its status and headers.
		Judge func(status int, h http.Header) Verdict
	}

	// Control holds the functions of the control thread that the relay calls.
	Control struct {
		// Config returns the configuration in force, or nil.
		Config func() *fleet.Config
		// Choose returns an upstream, waiting for one if necessary. A refusal is a coded error with a Retry-After time.
		Choose func(ctx context.Context, c *Call, exclude map[string]bool) (Ticket, error)
		// First records the first event of an attempt.
		First func(t Ticket)
		// End records the end of an attempt.
		End func(t Ticket, r pick.Result)
		// Stuck reports whether the request should be moved to another upstream.
		Stuck func(t Ticket, c *Call) bool
		// Repeat reports whether the request may be sent again, and counts it if so.
		Repeat func(service string) bool
		// Count records a request to a service.
		Count func(service string)
		// Stopping returns the time from which no request can be finished, and whether the host is stopping.
		Stopping func() (until time.Time, stopping bool)
		// Retried records an attempt after which the request is sent again.
		Retried func(c *Call, t Ticket, err error)
		// Ended records the end of a request.
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
		Deadline time.Time // Deadline limits the complete response.
		Patience time.Time // Patience is when the caller is expected to abandon a request without a first event.
		Version  int64     // Version is the version of the configuration.
		Rounds   int       // Rounds counts how often every upstream of a service without models was tried without success.
	}

	// Ended is the summary of a finished request.
	Ended struct {
		Call     *Call
		Code     codes.Code
		Outcome  codes.Outcome
		Status   int // Status is the HTTP status sent to the caller; zero means that the connection was closed without one.
		Attempts int
		Resumed  int
		Upstream string // Upstream is the last one tried.
		Events   int
		Waited   time.Duration // Waited is the time until the first attempt.
		First    time.Duration // First is the time until the first byte of the response; zero means none.
		Pause    time.Duration // Pause is the longest time between two parts of a stream.
		Retry    time.Duration
		Detail   string
	}
)
