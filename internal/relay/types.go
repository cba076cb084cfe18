package relay

import (
	"context"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/fireflycleat/fireflycleat/internal/intake"
	"github.com/fireflycleat/fireflycleat/pkg/codes"
	"github.com/fireflycleat/fireflycleat/pkg/fleet"
	"github.com/fireflycleat/fireflycleat/pkg/pick"
	"github.com/fireflycleat/fireflycleat/pkg/place"
)

// Classes of upstream responses.
const (
	// Final means that the response is the upstream's result and is sent to the caller.
	Final ResponseClass = iota
	// NotRun means that the upstream did not run the request because it is overloaded or the deadline is too close.
	NotRun
	// Misdirected means that the upstream did not run the request because it is not the one addressed or does not hold the
	// model.
	Misdirected
	// Failed means that the upstream ran the request and failed. The response is sent to the caller unless the request may be
	// repeated.
	Failed
	// Malformed means that the response cannot be the complete response of the upstream.
	Malformed
)

// ErrNotStuck is the error of Control.Move if the upstream is not silent or no other one would answer earlier.
var ErrNotStuck = errors.New("request is not stuck")

// ErrPartsRefused is the cause with which Control.Guard cancels an attempt when the parts of its prompt turn out to crash upstreams.
var ErrPartsRefused = errors.New("parts of the prompt crash upstreams")

type (
	// ResponseClass is the class of an upstream's response.
	ResponseClass int

	// RequestHeaders holds the values that a caller sends in the headers of a request.
	RequestHeaders struct {
		ID        string
		Budget    time.Duration // how long the caller waits; zero means unknown
		Key       place.Key
		Prompt    int // number of prompt tokens
		Output    int // maximum number of output tokens
		Session   uint64
		Parts     []uint64 // hashes of the ids of the prompt's parts, except the last one, which is the request's own
		Whole     uint64   // hash of the ids of all parts of the prompt
		LastEvent string   // id of the last event that the caller received; empty means none
	}

	// UpstreamHeaders holds the values that are sent to an upstream in the headers of a request.
	UpstreamHeaders struct {
		Upstream  string
		Budget    time.Duration
		Urgency   int
		Team      string // name of the caller's team; empty if the request needs no API key
		LastEvent string
	}

	// Signs is what an upstream says about itself in a response, apart from the result.
	Signs struct {
		Leaving bool          // it stops soon and must get no further requests
		Pause   time.Duration // how long it wants no requests of this host; zero means that it does not pause
		// Limit is the number of requests a second that it takes from all hosts together; zero means that it names no valid limit.
		Limit     float64
		Unlimited bool // whether the response shows that it has no limit
	}

	// Dialect reads and writes the headers of callers and upstreams.
	Dialect struct {
		// Echo is the header with the request's id, which a response must return.
		Echo string
		// Credential returns the API key in the headers of a caller's request, or an empty string.
		Credential func(h http.Header) string
		// Decode parses the headers of a caller's request; invalid ones yield a BadRequest error.
		Decode func(h http.Header) (RequestHeaders, error)
		// Encode removes the headers that callers must not set and adds those for the upstream.
		Encode func(h http.Header, o UpstreamHeaders)
		// Classify classifies an upstream's response by its status and headers.
		Classify func(status int, h http.Header) ResponseClass
		// Signs reads what the upstream with the given ID says about itself in a response. They are zero if another one responded.
		Signs func(upstream string, status int, h http.Header) Signs
	}

	// Control holds the functions of the control thread that the relay calls.
	Control struct {
		// Config returns the configuration in force, or nil.
		Config func() *fleet.Config
		// ConfigOld reports whether a later configuration may have been in force for longer than the operator's bound. It may be nil.
		ConfigOld func() bool
		// Admit admits a request against the rate of its team, waiting for credit if necessary. A refusal is a coded error with a
		// Retry-After time.
		Admit func(ctx context.Context, c *Call) error
		// Settle ends the admission of a request; the credit of one that was not run is returned.
		Settle func(c *Call, ran bool)
		// Choose returns an upstream, waiting for one if necessary. A refusal is a coded error with a Retry-After time.
		Choose func(ctx context.Context, c *Call, exclude map[string]bool) (Ticket, error)
		// RecordFirst records the first event of an attempt.
		RecordFirst func(t Ticket)
		// EndAttempt records the end of an attempt.
		EndAttempt func(t Ticket, r pick.Result)
		// Signs records what the upstream of an attempt says about itself.
		Signs func(t Ticket, s Signs)
		// Paused returns an error with the Retry-After time if all upstreams that could serve the request want none for now.
		Paused func(c *Call) error
		// Move returns another upstream for a request whose upstream is silent. It has counted the repeat and reserved that upstream. It fails
		// with ErrNotStuck, or tells why the request has to stay where it is.
		Move func(t Ticket, c *Call) (Ticket, error)
		// AllowRepeat reports whether the request may be sent again, and counts it if so.
		AllowRepeat func(service string) bool
		// CountRequest records a request to a service.
		CountRequest func(service string)
		// Stopping returns the time after which the request is not accepted any more, and whether the host is stopping.
		Stopping func(c *Call) (until time.Time, stopping bool)
		// Retried records an attempt after which the request is sent again.
		Retried func(c *Call, t Ticket, err error)
		// Broken records an attempt that ended without a complete response because the connection did, or was cancelled by Guard, and how
		// far it came. It reports whether the request may be sent to another upstream.
		Broken func(c *Call, t Ticket, p Progress) (repeat bool)
		// Sound records a complete response to a request.
		Sound func(c *Call, t Ticket, p Completion)
		// Guard cancels an attempt if it becomes known, before release is called, that such requests crash upstreams.
		Guard func(c *Call, cancel context.CancelCauseFunc) (release func())
		// Ending is the context of the host, which ends when the host can no longer wait for responses.
		Ending context.Context
		// CallerInput returns how the input of the caller's connection ended, and nothing while it is open.
		CallerInput func(q *http.Request) string
		// Intake returns the account of the caller's connection. It may be nil, and so may its result.
		Intake func(q *http.Request) *intake.Conn
		// Silent records that the upstream of an attempt is silent. The request moves to another upstream unless err tells why it stays.
		Silent func(c *Call, t Ticket, next Ticket, err error)
		// Panicked records a panic in the handler of a request.
		Panicked func(c *Call, value any, stack []byte)
		// RequestEnded records the end of a request.
		RequestEnded func(e RequestSummary)
	}

	// Progress tells how far the response to an attempt came.
	Progress struct {
		Head      bool          // whether the head of the response arrived
		Events    int           // number of complete events of a stream that arrived
		Streaming time.Duration // time since the first of them; zero before it
	}

	// Completion describes a complete response.
	Completion struct {
		HeadLead       time.Duration // how long its head arrived before its first event or the end of its body
		Streaming      time.Duration // time from the first event to the end; zero for a response that is not a stream
		CloseDelimited bool          // whether only the end of the connection showed that it was complete
	}

	// Ticket is a chosen upstream with the attempt in flight there.
	Ticket struct {
		Choice  pick.Choice
		Attempt *pick.Attempt
	}

	// Call is a request in progress.
	Call struct {
		RequestHeaders
		Route   fleet.Route
		Service string
		Team    fleet.Team // zero if the request needs no API key
		Digest  uint64     // the same for all attempts of a caller to get the same request served
		// AdmittedAt is the boot time at which Control.Admit took the credit of the request.
		AdmittedAt time.Time
		Urgency    int // priority of the team, or else of the route; zero is the most urgent
		Arrived    time.Time
		Deadline   time.Time // time by which the response must be complete
		AbandonAt  time.Time // when the caller is expected to abandon the request; the deadline once the response has begun
		Version    int64     // version of the configuration
		Rounds     int       // times that every upstream of a service without models was tried without success
	}

	// RequestSummary summarises a finished request for logs and metrics.
	RequestSummary struct {
		Call         *Call
		Code         codes.Code
		Outcome      codes.Outcome
		Status       int // HTTP status sent to the caller; zero means that the connection was closed without one
		Attempts     int
		Resumed      int
		Upstream     string // last upstream tried
		Events       int
		Waited       time.Duration // time until the first attempt
		First        time.Duration // time until the first byte of the response; zero means none
		LongestPause time.Duration // longest time between two parts of a stream
		Retry        time.Duration
		CallerInput  string // how the input of the caller's connection ended; empty while it is open
		Detail       string
	}
)
