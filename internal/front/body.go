package front

import (
	"bytes"
	"encoding/json"
	"io"
	"net/http"
	"os"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/fireflycleat/fireflycleat/pkg/codes"
	"github.com/fireflycleat/fireflycleat/pkg/spec"
)

// Limits bounds the size of a request body and the time in which it has to arrive.
type Limits struct {
	RequestBytes int64
	BodyTimeout  time.Duration
	InFlight     int
}

// readBody returns the whole body, or a TooLarge, TooSlow or BadRequest error.
func readBody(w http.ResponseWriter, r *http.Request, l Limits) ([]byte, error) {
	c := http.NewResponseController(w)
	// Recorders used in tests have no deadlines; a server's connection always has.
	_ = c.SetReadDeadline(time.Now().Add(l.BodyTimeout))
	b, err := io.ReadAll(http.MaxBytesReader(w, r.Body, l.RequestBytes))
	var tooLarge *http.MaxBytesError
	switch {
	case err == nil:
		_ = c.SetReadDeadline(time.Time{})
		return b, nil
	case errors.As(err, &tooLarge):
		return nil, codes.Newf(codes.TooLarge, "limit is %d bytes", l.RequestBytes)
	case errors.Is(err, os.ErrDeadlineExceeded):
		return nil, codes.Newf(codes.TooSlow, "body must arrive within %s", l.BodyTimeout)
	}
	return nil, codes.New(codes.BadRequest, err.Error())
}

// CheckName returns a BadRequest error for a missing or invalid name in the field.
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

// decodeStrict decodes a document of an own format: unknown fields and trailing data are faults.
func decodeStrict(b []byte, into any) error {
	d := json.NewDecoder(bytes.NewReader(b))
	d.DisallowUnknownFields()
	if err := d.Decode(into); err != nil {
		return jsonFault(err)
	}
	if d.More() {
		return codes.New(codes.BadRequest, "data after the document")
	}
	return nil
}

// jsonFault names the field that a JSON error is about, where it is known.
func jsonFault(err error) error {
	var kind *json.UnmarshalTypeError
	if errors.As(err, &kind) {
		return codes.New(codes.BadRequest, "has the wrong type: "+kind.Value).WithField(kind.Field)
	}
	return codes.New(codes.BadRequest, err.Error())
}
