package stand

import (
	"bytes"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/fireflycleat/fireflycleat/internal/wire"
)

// MaxBodyBytes is the maximum size of a request body that a stand-in reads.
const MaxBodyBytes = 16 << 20

// DecodeStrict decodes a single JSON document; unknown fields and trailing data are errors.
func DecodeStrict(r io.Reader, v any) error {
	d := json.NewDecoder(r)
	d.DisallowUnknownFields()
	if err := d.Decode(v); err != nil {
		return err
	}
	if _, err := d.Token(); !errors.Is(err, io.EOF) {
		return errors.New("unexpected data after the JSON document")
	}
	return nil
}

// WriteJSON writes v as a JSON response with the status.
func WriteJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v) // The client may have disconnected; the error cannot be reported to it.
}

// WriteProblem writes a problem document (RFC 9457) with the status and the detail.
func WriteProblem(w http.ResponseWriter, status int, detail string) {
	w.Header().Set("Content-Type", "application/problem+json")
	w.WriteHeader(status)
	p := wire.Problem{Type: "about:blank", Title: http.StatusText(status), Status: status, Detail: detail}
	_ = json.NewEncoder(w).Encode(p)
}

// RejectNotRun writes a problem document for a request that was rejected before it ran, and marks it as not run.
func RejectNotRun(w http.ResponseWriter, status int, detail string) {
	w.Header().Set(wire.HeaderNotRun, "true")
	WriteProblem(w, status, detail)
}

// SetRetryAfter sets the Retry-After header to the duration, rounded up to whole seconds.
func SetRetryAfter(w http.ResponseWriter, d time.Duration) {
	w.Header().Set("Retry-After", strconv.FormatInt(int64((d+time.Second-1)/time.Second), 10))
}

// AbortConnection closes the connection without finishing the response. It does not return: it panics with http.ErrAbortHandler.
func AbortConnection() {
	panic(http.ErrAbortHandler)
}

// BufferBodies returns a handler that reads the whole request body before it calls h.
func BufferBodies(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		// net/http detects that the client closed the connection only after the body has been read completely.
		b, err := io.ReadAll(http.MaxBytesReader(w, r.Body, MaxBodyBytes))
		if err != nil {
			WriteProblem(w, http.StatusRequestEntityTooLarge, err.Error())
			return
		}
		r.Body = io.NopCloser(bytes.NewReader(b))
		h.ServeHTTP(w, r)
	})
}

// QueryInt returns the non-negative integer query parameter, or the fallback if it is absent.
func QueryInt(r *http.Request, name string, fallback int64) (int64, error) {
	s := r.URL.Query().Get(name)
	if s == "" {
		return fallback, nil
	}
	n, err := strconv.ParseInt(s, 10, 64)
	if err != nil || n < 0 {
		return 0, errors.New("query parameter " + name + " must be a non-negative integer")
	}
	return n, nil
}
