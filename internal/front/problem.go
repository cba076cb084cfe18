package front

import (
	"encoding/json"
	"math"
	"net/http"
	"strconv"

	"github.com/fireflycleat/fireflycleat/internal/wire"
	"github.com/fireflycleat/fireflycleat/pkg/codes"
)

const (
	problemType = "application/problem+json"
	typePrefix  = "urn:fireflycleat:code:"

	instancePrefix = "urn:fireflycleat:request:"
)

type (
	// apiProblem adds the error member that OpenAI client libraries read to a problem document.
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

// requestID returns the id that the answer names, or an empty string.
func requestID(w http.ResponseWriter) string { return w.Header().Get(requestHeader) }

// problem returns the RFC 9457 document of the error; an empty request id is left out.
func problem(err error, request string) apiProblem {
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

// writeProblem answers with the problem document of the error and a Retry-After header where a time is known.
func writeProblem(w http.ResponseWriter, err error) {
	p := problem(err, requestID(w))
	w.Header().Set("Content-Type", problemType)
	if p.RetryAfterSeconds > 0 {
		w.Header().Set("Retry-After", strconv.Itoa(int(math.Ceil(p.RetryAfterSeconds))))
	}
	w.WriteHeader(p.Status)
	_ = json.NewEncoder(w).Encode(p) // the caller may have left; nothing else can be said to it
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v) // the caller may have left; nothing else can be said to it
}
