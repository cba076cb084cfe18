package front

import (
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/fireflycleat/fireflycleat/pkg/codes"
	"github.com/fireflycleat/fireflycleat/pkg/spec"
)

const (
	servicesPrefix = "/v1/services/"
	keyHeader      = "Idempotency-Key"
	maxKeyBytes    = 255
)

// services passes a call on to a plain service. A call that may not be repeated needs an idempotency key.
func (c *Callers) services(w http.ResponseWriter, r *http.Request, t spec.Team) error {
	name, path, _ := strings.Cut(strings.TrimPrefix(r.URL.Path, servicesPrefix), "/")
	s, ok := c.View().Service(name)
	switch {
	case !ok:
		return codes.New(codes.NotFound, "service "+name)
	case !t.MayCallService(name):
		return codes.New(codes.Forbidden, "service "+name)
	}
	key := r.Header.Get(keyHeader)
	switch {
	case key == "" && !slices.Contains(s.Repeatable, r.Method):
		return codes.New(codes.KeyMissing, "calls that may not be repeated need one").WithField(keyHeader)
	case len(key) > maxKeyBytes || strings.ContainsFunc(key, notPrintable):
		return codes.Newf(codes.BadRequest, "must have at most %d printable ASCII characters", maxKeyBytes).WithField(keyHeader)
	}
	body, err := readBody(w, r, c.Limits)
	if err != nil {
		return err
	}
	target := "/" + path
	if r.URL.RawQuery != "" {
		target += "?" + r.URL.RawQuery
	}
	answer, err := c.Plain(r.Context(), PlainCall{
		Team: t, Service: name, Method: r.Method, Path: target, ContentType: r.Header.Get("Content-Type"), Key: key, Body: body,
	})
	if err != nil {
		return err
	}
	if answer.ContentType != "" {
		w.Header().Set("Content-Type", answer.ContentType)
	}
	w.WriteHeader(answer.Status)
	_, _ = w.Write(answer.Body) // the outcome is recorded under the key; the caller can ask again
	return nil
}

func notPrintable(r rune) bool { return r <= ' ' || r > '~' }

// Server returns an HTTP server with the time limits of a door that faces strangers.
func Server(h http.Handler, headerTimeout time.Duration) *http.Server {
	return &http.Server{Handler: h, ReadHeaderTimeout: headerTimeout, MaxHeaderBytes: 64 << 10, IdleTimeout: 2 * time.Minute}
}
