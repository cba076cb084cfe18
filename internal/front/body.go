package front

import (
	"bytes"
	"encoding/json"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/fireflycleat/fireflycleat/internal/intake"
	"github.com/fireflycleat/fireflycleat/pkg/codes"
	"github.com/fireflycleat/fireflycleat/pkg/spec"
)

// Limits bounds the requests that a server accepts.
type Limits struct {
	RequestBytes int64         // maximum size of a request body
	BodyTimeout  time.Duration // time in which the whole body must arrive
	InFlight     int           // maximum number of callers' requests in progress
}

// Numbers of copies of a request's body that are in memory at once: its parts and their sum, and for models also the decoded document and the
// body with changed fields.
const (
	plainCopies = 2
	modelCopies = 4
)

// readBody reads the whole body, which will be held in memory the given number of times. It returns a TooLarge, TooSlow, OverMemory or BadRequest
// error if it cannot.
func readBody(w http.ResponseWriter, r *http.Request, l Limits, copies int64) ([]byte, error) {
	c := http.NewResponseController(w)
	// The error is ignored: only the response recorders of tests do not support deadlines.
	_ = c.SetReadDeadline(time.Now().Add(l.BodyTimeout))
	parts, err := intake.AccountOf(r).ReadBody(r.Context(), intake.Body{Reader: r.Body, Length: r.ContentLength, Limit: l.RequestBytes, Copies: copies})
	if err != nil {
		w.Header().Set("Connection", "close")
		return nil, err
	}
	_ = c.SetReadDeadline(time.Time{})
	return bytes.Join(parts, nil), nil
}

// CheckName returns a BadRequest error for the field if the name is empty or invalid.
func CheckName(field, name string) error {
	switch {
	case name == "":
		return codes.New(codes.BadRequest, "is missing").WithField(field)
	case !spec.ValidName(name):
		return codes.New(codes.BadRequest,
			"must have 1 to 63 lower-case letters, digits, dots, hyphens and underscores, and start with a letter or digit").WithField(field)
	}
	return nil
}

// decodeStrict decodes a JSON document of the operators' API and rejects unknown fields and trailing data.
func decodeStrict(b []byte, dst any) error {
	d := json.NewDecoder(bytes.NewReader(b))
	d.DisallowUnknownFields()
	if err := d.Decode(dst); err != nil {
		return jsonError(err)
	}
	if d.More() {
		return codes.New(codes.BadRequest, "unexpected data after the JSON document")
	}
	return nil
}

// jsonError converts an error of the JSON decoder to a BadRequest error, with the name of the field for a type mismatch.
func jsonError(err error) error {
	var typeErr *json.UnmarshalTypeError
	if errors.As(err, &typeErr) {
		return codes.New(codes.BadRequest, "has the wrong type: "+typeErr.Value).WithField(typeErr.Field)
	}
	return codes.New(codes.BadRequest, err.Error())
}
