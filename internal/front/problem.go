package front

import (
	"encoding/json"
	"net/http"
	"strconv"

	"github.com/fireflycleat/fireflycleat/internal/wire"
	"github.com/fireflycleat/fireflycleat/pkg/codes"
)

const (
	problemType    = "application/problem+json"
	typePrefix     = "urn:fireflycleat:code:"
	instancePrefix = "urn:fireflycleat:request:"
)

type (
	// apiProblem is a problem document with the additional error member that OpenAI client libraries read.
	apiProblem struct {
		wire.Problem
		Error apiError `json:"error"`
	}

	apiError struct {
		Message string `json:"message"`
		Type    string `json:"type"`
		Code    string `json:"code"`
	}
)

// requestID returns the request ID in the response header, or an empty string if there is none.
func requestID(w http.ResponseWriter) string { return w.Header().Get(requestHeader) }

// newProblem returns the RFC 9457 problem document of the error. Its instance member is left out if the request ID is empty.
func newProblem(err error, request string) apiProblem {
	e := codes.From(err)
	instance := ""
	if request != "" {
		instance = instancePrefix + request
	}
	number := strconv.Itoa(int(e.Code()))
	return apiProblem{
		Problem: wire.Problem{
			Type:              typePrefix + number,
			Title:             e.Code().Title(),
			Status:            e.Code().HTTPStatus(),
			Detail:            e.Detail(),
			Instance:          instance,
			Code:              int(e.Code()),
			Outcome:           e.Outcome().String(),
			Field:             e.Field(),
			RetryAfterSeconds: e.RetryAfter().Seconds(),
		},
		Error: apiError{Message: e.Error(), Type: e.Outcome().String(), Code: number},
	}
}

// writeProblem sends the problem document of the error, with a Retry-After header if the error has a retry time.
func writeProblem(w http.ResponseWriter, err error) {
	p := newProblem(err, requestID(w))
	w.Header().Set("Content-Type", problemType)
	if p.RetryAfterSeconds > 0 {
		w.Header().Set("Retry-After", retryAfterSeconds(p.RetryAfterSeconds))
	}
	w.WriteHeader(p.Status)
	_ = json.NewEncoder(w).Encode(p) // ignored: the caller may have disconnected
}

// writeJSON sends v as a JSON document with the status.
func writeJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v) // ignored: the caller may have disconnected
}
