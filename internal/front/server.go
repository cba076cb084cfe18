package front

import (
	"encoding/json"
	"math"
	"net/http"
	"strconv"
	"time"

	"github.com/fireflycleat/fireflycleat/internal/intake"
	"github.com/fireflycleat/fireflycleat/pkg/codes"
)

const (
	// IdleTimeout is how long a connection without a request is kept.
	IdleTimeout    = 2 * time.Minute
	maxHeaderBytes = 64 << 10
)

// NewServer returns an HTTP server with timeouts and a header size limit for untrusted clients, whose connections have accounts at the gate.
func NewServer(h http.Handler, headerTimeout time.Duration, g *intake.Gate) *http.Server {
	return &http.Server{
		Handler: g.Handler(h), ReadHeaderTimeout: headerTimeout, MaxHeaderBytes: maxHeaderBytes, IdleTimeout: IdleTimeout,
		ConnContext: intake.ConnContext, ConnState: intake.ConnState,
	}
}

// RefusalResponse returns what a client gets whose request was refused before its handler got it.
func RefusalResponse(e *codes.Error) intake.Response {
	r := intake.Response{ContentType: problemType}
	if b, err := json.Marshal(newProblem(e, "")); err == nil {
		r.Body = string(b) + "\n"
	}
	if e.RetryAfter() > 0 {
		r.RetryAfter = retryAfterSeconds(e.RetryAfter().Seconds())
	}
	return r
}

// retryAfterSeconds returns the value of the Retry-After header, which has whole seconds.
func retryAfterSeconds(seconds float64) string { return strconv.Itoa(int(math.Ceil(seconds))) }
