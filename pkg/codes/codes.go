package codes

import (
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
)

// Result codes. The numbers are part of the public interface: a number is never changed or reused.
const (
	OK Code = 0

	BadSettings    Code = 1001
	BadArgument    Code = 1002
	BadRequest     Code = 1003
	BadRecord      Code = 1004
	BadPeerMessage Code = 1005
	TooLarge       Code = 1006
	TooSlow        Code = 1007
	HeadTooLarge   Code = 1008
	Findings       Code = 1009

	Unauthorized Code = 2001
	Forbidden    Code = 2002
	UnknownModel Code = 2003
	NotFound     Code = 2004
	KeyMissing   Code = 2005
	KeyConflict  Code = 2006

	OverCapacity    Code = 3001
	TeamLimit       Code = 3002
	NoTimeToLoad    Code = 3003
	DeadlineMissed  Code = 3004
	Draining        Code = 3005
	NotCurrent      Code = 3006
	NotReady        Code = 3007
	NoUpstream      Code = 3008
	KeyRangeMoving  Code = 3009
	KeyInProgress   Code = 3010
	KeyOutcomeLost  Code = 3011
	CallerLeft      Code = 3012
	UpstreamRefused Code = 3013
	CrashingPart    Code = 3014
	NotConfigured   Code = 3015
	UpstreamsPaused Code = 3016
	OverMemory      Code = 3017
	CrashingRequest Code = 3018

	UpstreamFailed  Code = 4001
	UpstreamUnknown Code = 4002
	StreamBroken    Code = 4003
	LogUnavailable  Code = 4004
	PeerUnavailable Code = 4005
	StaleBase       Code = 4006
	NoMajority      Code = 4007
	StaleLease      Code = 4008
	AppendInDoubt   Code = 4009
	EndlessResponse Code = 4010
	Internal        Code = 5001
)

// Outcome classes of a request: whether an upstream executed it.
const (
	NotRun Outcome = iota
	Ran
	Unknown
)

type (
	// Code is a numbered result code.
	Code int

	// Outcome is the class of a result: whether the request was executed.
	Outcome int

	// Error carries a result code, a human-readable detail and, where known, the delay after which a retry makes sense.
	Error struct {
		code       Code
		outcome    Outcome
		detail     string
		field      string
		retryAfter time.Duration
	}

	entry struct {
		code    Code
		title   string
		outcome Outcome
		status  int
		exit    int
	}
)

var (
	table = []entry{
		{OK, "ok", Ran, http.StatusOK, 0},
		{BadSettings, "settings are invalid", NotRun, http.StatusInternalServerError, 2},
		{BadArgument, "argument is invalid", NotRun, http.StatusBadRequest, 2},
		{BadRequest, "request is invalid", NotRun, http.StatusBadRequest, 2},
		{BadRecord, "log record is invalid", NotRun, http.StatusUnprocessableEntity, 2},
		{BadPeerMessage, "peer message is invalid", NotRun, http.StatusBadRequest, 2},
		{TooLarge, "request is too large", NotRun, http.StatusRequestEntityTooLarge, 2},
		{TooSlow, "request arrived too slowly", NotRun, http.StatusRequestTimeout, 2},
		{HeadTooLarge, "head of the request is too large", NotRun, http.StatusRequestHeaderFieldsTooLarge, 2},
		{Findings, "configuration has findings", NotRun, http.StatusUnprocessableEntity, 1},
		{Unauthorized, "credentials are missing or unknown", NotRun, http.StatusUnauthorized, 3},
		{Forbidden, "team may not call this model or service", NotRun, http.StatusForbidden, 3},
		{UnknownModel, "model is unknown", NotRun, http.StatusNotFound, 3},
		{NotFound, "resource is unknown", NotRun, http.StatusNotFound, 3},
		{KeyMissing, "idempotency key is missing", NotRun, http.StatusBadRequest, 2},
		{KeyConflict, "idempotency key was used with another request", NotRun, http.StatusUnprocessableEntity, 3},
		{OverCapacity, "capacity is exhausted", NotRun, http.StatusServiceUnavailable, 4},
		{TeamLimit, "team limit is reached", NotRun, http.StatusTooManyRequests, 4},
		{NoTimeToLoad, "model cannot be loaded before the deadline", NotRun, http.StatusServiceUnavailable, 4},
		{DeadlineMissed, "deadline passed before the request was sent", NotRun, http.StatusServiceUnavailable, 4},
		{Draining, "host is stopping", NotRun, http.StatusServiceUnavailable, 4},
		{NotCurrent, "host cannot prove that its configuration is current", NotRun, http.StatusServiceUnavailable, 4},
		{NotReady, "host has no configuration yet", NotRun, http.StatusServiceUnavailable, 4},
		{NoUpstream, "no upstream is available", NotRun, http.StatusServiceUnavailable, 4},
		{KeyRangeMoving, "key range is being moved to another host", NotRun, http.StatusServiceUnavailable, 4},
		{KeyInProgress, "request with this key is in progress", Unknown, http.StatusConflict, 4},
		{KeyOutcomeLost, "outcome of this key is unknown and it will not be run again", Unknown, http.StatusConflict, 5},
		{CallerLeft, "caller closed the connection", Unknown, 499, 4},
		{UpstreamRefused, "upstream refused the request without running it", NotRun, http.StatusServiceUnavailable, 4},
		{CrashingPart, "a part of the prompt crashes upstreams", NotRun, http.StatusServiceUnavailable, 4},
		{NotConfigured, "model is not in the configuration", NotRun, http.StatusServiceUnavailable, 4},
		{UpstreamsPaused, "upstreams want no requests for now", NotRun, http.StatusServiceUnavailable, 4},
		{OverMemory, "host is short of memory", NotRun, http.StatusServiceUnavailable, 4},
		{CrashingRequest, "request crashes upstreams", NotRun, http.StatusServiceUnavailable, 4},
		{UpstreamFailed, "upstream failed while running the request", Ran, http.StatusBadGateway, 5},
		{UpstreamUnknown, "upstream's answer is missing", Unknown, http.StatusGatewayTimeout, 5},
		{StreamBroken, "answer ended early", Ran, http.StatusBadGateway, 5},
		{LogUnavailable, "log service is unavailable", NotRun, http.StatusServiceUnavailable, 6},
		{PeerUnavailable, "peer is unavailable", Unknown, http.StatusServiceUnavailable, 6},
		{StaleBase, "change was based on an older version", NotRun, http.StatusConflict, 7},
		{NoMajority, "too few hosts are in contact to accept a change", NotRun, http.StatusServiceUnavailable, 6},
		{StaleLease, "lease has been taken over", NotRun, http.StatusConflict, 6},
		{AppendInDoubt, "append may have taken effect", Unknown, http.StatusGatewayTimeout, 6},
		{EndlessResponse, "response exceeds a size limit", Unknown, http.StatusBadGateway, 5},
		{Internal, "internal error", Unknown, http.StatusInternalServerError, 1},
	}
	byCode = index(table)
)

// All returns every code in ascending order.
func All() []Code {
	all := make([]Code, 0, len(table))
	for _, e := range table {
		all = append(all, e.code)
	}
	return all
}

// Title returns a short description of the code.
func (c Code) Title() string { return byCode[c].title }

// Outcome returns the outcome class of the code.
func (c Code) Outcome() Outcome { return byCode[c].outcome }

// HTTPStatus returns the HTTP status of a response with the code.
func (c Code) HTTPStatus() int { return byCode[c].status }

// ExitCode returns the process exit code of a command that ends with the code.
func (c Code) ExitCode() int { return byCode[c].exit }

// String returns the name of the outcome class as written in the documentation.
func (o Outcome) String() string { return [...]string{"notRun", "ran", "unknown"}[o] }

// New returns an error with the code and a human-readable detail.
func New(c Code, detail string) *Error {
	return &Error{code: c, outcome: c.Outcome(), detail: detail}
}

// Newf returns an error with the code and a formatted detail.
func Newf(c Code, format string, args ...any) *Error {
	return New(c, errors.Newf(format, args...).Error())
}

// WithField sets the name of the invalid input field and returns the error.
func (e *Error) WithField(field string) *Error {
	e.field = field
	return e
}

// WithRetryAfter sets the delay after which a retry makes sense and returns the error.
func (e *Error) WithRetryAfter(d time.Duration) *Error {
	e.retryAfter = d
	return e
}

// WithOutcome replaces the default outcome class of the code, for callers that know the actual one, and returns the error.
func (e *Error) WithOutcome(o Outcome) *Error {
	e.outcome = o
	return e
}

// Error returns the title of the code, the field and the detail.
func (e *Error) Error() string {
	text := e.code.Title()
	if e.field != "" {
		text += ": " + e.field
	}
	if e.detail != "" {
		text += ": " + e.detail
	}
	return text
}

// Code returns the result code.
func (e *Error) Code() Code { return e.code }

// Outcome returns the outcome class: whether the request was executed.
func (e *Error) Outcome() Outcome { return e.outcome }

// Detail returns the human-readable detail.
func (e *Error) Detail() string { return e.detail }

// Field returns the name of the invalid input field, or an empty string.
func (e *Error) Field() string { return e.field }

// RetryAfter returns the delay after which a retry makes sense; zero means unknown.
func (e *Error) RetryAfter() time.Duration { return e.retryAfter }

// From returns the first Error in the chain of err. Any other error is converted to an Error with the code Internal, and nil stays
// nil.
func From(err error) *Error {
	if err == nil {
		return nil
	}
	var coded *Error
	if errors.As(err, &coded) {
		return coded
	}
	return New(Internal, err.Error())
}

// Is reports whether err carries the code; it is false for nil.
func Is(err error, c Code) bool { return err != nil && From(err).code == c }

func index(entries []entry) map[Code]entry {
	m := make(map[Code]entry, len(entries))
	for _, e := range entries {
		m[e.code] = e
	}
	return m
}
