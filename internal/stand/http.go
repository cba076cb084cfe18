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

// MaxBodyBytes is the largest request body that a stand-in reads.
const MaxBodyBytes = 16 << 20

// Decode reads one JSON document strictly: unknown fields and trailing data are errors.
func Decode(r io.Reader, v any) error {
	d := json.NewDecoder(r)
	d.DisallowUnknownFields()
	if err := d.Decode(v); err != nil {
		return err
	}
	if _, err := d.Token(); !errors.Is(err, io.EOF) {
		return errors.New("data after the JSON document")
	}
	return nil
}

// Reply writes v as the JSON answer with the status.
func Reply(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v) // The client may have left; there is nobody to tell.
}

// Fail writes a problem document with the status and the detail.
func Fail(w http.ResponseWriter, status int, detail string) {
	w.Header().Set("Content-Type", "application/problem+json")
	w.WriteHeader(status)
	p := wire.Problem{Type: "about:blank", Title: http.StatusText(status), Status: status, Detail: detail}
	_ = json.NewEncoder(w).Encode(p)
}

// NotRun refuses a request that was not started, with the status and the detail.
func NotRun(w http.ResponseWriter, status int, detail string) {
	w.Header().Set(wire.HeaderNotRun, "true")
	Fail(w, status, detail)
}

// RetryAfter sets the Retry-After header to the duration, rounded up to whole seconds.
func RetryAfter(w http.ResponseWriter, d time.Duration) {
	w.Header().Set("Retry-After", strconv.FormatInt(int64((d+time.Second-1)/time.Second), 10))
}

// Drop closes the connection without finishing the answer; it does not return.
func Drop() {
	panic(http.ErrAbortHandler)
}

// ReadBodies returns a handler that reads the whole request body before it calls h.
func ReadBodies(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		// net/http notices a closed connection only after the body was read to its end.
		b, err := io.ReadAll(http.MaxBytesReader(w, r.Body, MaxBodyBytes))
		if err != nil {
			Fail(w, http.StatusRequestEntityTooLarge, err.Error())
			return
		}
		r.Body = io.NopCloser(bytes.NewReader(b))
		h.ServeHTTP(w, r)
	})
}

// QueryInt returns the integer query parameter, or the fallback when it is absent.
func QueryInt(r *http.Request, name string, fallback int64) (int64, error) {
	s := r.URL.Query().Get(name)
	if s == "" {
		return fallback, nil
	}
	n, err := strconv.ParseInt(s, 10, 64)
	if err != nil || n < 0 {
		return 0, errors.New("query parameter " + name + " is not a non-negative integer")
	}
	return n, nil
}
