package front

import (
	"net/http"
	"slices"
	"strings"

	"github.com/fireflycleat/fireflycleat/pkg/codes"
	"github.com/fireflycleat/fireflycleat/pkg/spec"
)

const (
	servicesPrefix       = "/v1/services/"
	idempotencyKeyHeader = "Idempotency-Key"
	maxKeyBytes          = 255
)

// callService forwards a call to a plain service. A call with a method that must not be repeated requires an idempotency key.
func (c *Callers) callService(w http.ResponseWriter, r *http.Request, t spec.Team) error {
	name, path, _ := strings.Cut(strings.TrimPrefix(r.URL.Path, servicesPrefix), "/")
	s, ok := c.View().Service(name)
	switch {
	case !ok:
		return codes.New(codes.NotFound, "service "+name)
	case !t.MayCallService(name):
		return codes.New(codes.Forbidden, "service "+name)
	}
	key := r.Header.Get(idempotencyKeyHeader)
	switch {
	case key == "" && !slices.Contains(s.Repeatable, r.Method):
		return codes.New(codes.KeyMissing, "is required for methods that must not be repeated").WithField(idempotencyKeyHeader)
	case len(key) > maxKeyBytes || strings.ContainsFunc(key, notPrintable):
		return codes.Newf(codes.BadRequest, "must have at most %d printable ASCII characters", maxKeyBytes).WithField(idempotencyKeyHeader)
	}
	body, err := readBody(w, r, c.Limits, plainCopies)
	if err != nil {
		return err
	}
	target := "/" + path
	if r.URL.RawQuery != "" {
		target += "?" + r.URL.RawQuery
	}
	resp, err := c.CallPlain(r.Context(), PlainCall{
		Team: t, Service: name, Method: r.Method, Path: target, ContentType: r.Header.Get("Content-Type"), IdempotencyKey: key, Body: body,
	})
	if err != nil {
		return err
	}
	if resp.ContentType != "" {
		w.Header().Set("Content-Type", resp.ContentType)
	}
	w.WriteHeader(resp.Status)
	_, _ = w.Write(resp.Body) // ignored: the response is stored under the key, so that the caller can repeat the request
	return nil
}

func notPrintable(r rune) bool { return r <= ' ' || r > '~' }
