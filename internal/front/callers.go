package front

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"net/http"
	"strings"
	"sync/atomic"
	"time"

	"github.com/google/uuid"
	"github.com/kataras/iris/v12"

	"github.com/fireflycleat/fireflycleat/internal/engine"
	"github.com/fireflycleat/fireflycleat/internal/telem"
	"github.com/fireflycleat/fireflycleat/internal/wire"
	"github.com/fireflycleat/fireflycleat/pkg/codes"
	"github.com/fireflycleat/fireflycleat/pkg/spec"
)

const bearerPrefix = "Bearer "

type (
	// ModelCall is a validated call to a model.
	ModelCall struct {
		ID           string
		Team         spec.Team
		Model        string
		Adapter      string
		Urgency      spec.Urgency
		Timeout      time.Duration // time limit until the first token; zero means the limit of the team
		Path         string
		Body         []byte // always requests a stream, even if the caller did not
		PromptTokens int    // estimated from the size of the body
		MaxTokens    int
	}

	// PlainCall is a validated call to a plain service.
	PlainCall struct {
		Team           spec.Team
		Service        string
		Method         string
		Path           string // includes the query string
		ContentType    string
		IdempotencyKey string // may be empty
		Body           []byte
	}

	// Callers serves the callers' API. It passes validated requests to its function fields.
	Callers struct {
		Limits  Limits
		Traces  *telem.Traces
		Metrics *telem.Metrics
		// Ready returns an error with the reason if the daemon cannot serve requests.
		Ready func() error
		// Address returns the addresses that a caller in the data centre should use.
		Address func(dataCentre string) wire.AddressResponse
		// View returns the current configuration.
		View func() *spec.View
		// CallModel runs a call and passes the data of each chunk to sink. It returns nil only if the response is complete.
		CallModel func(ctx context.Context, call ModelCall, sink func(data []byte) error) error
		// CallPlain runs a call to a plain service.
		CallPlain func(ctx context.Context, call PlainCall) (engine.PlainResponse, error)
		// MintKey returns a new idempotency key that no request has used.
		MintKey func(ctx context.Context) (string, error)

		inFlight atomic.Int64
	}

	keyResponse struct {
		Key string `json:"key"`
	}
)

// Handler returns the HTTP handler of the callers' API.
func (c *Callers) Handler() (http.Handler, error) {
	app := newApp()
	app.Get("/livez", func(x iris.Context) { writeJSON(x.ResponseWriter(), http.StatusOK, struct{}{}) })
	app.Get("/readyz", c.readyz)
	app.Get("/metrics", iris.FromStd(c.Metrics.Handler()))
	app.Get("/v1/address", c.address)
	app.Get("/v1/models", c.endpoint("models", c.listModels))
	app.Post("/v1/keys", c.endpoint("keys", c.createKey))
	app.Post("/v1/chat/completions", c.modelEndpoint("chat", c.chat))
	app.Post("/v1/completions", c.modelEndpoint("completions", c.completions))
	app.Any("/v1/services/{service}/{path:path}", c.endpoint("services", c.callService))
	app.OnAnyErrorCode(notFound)
	if err := app.Build(); err != nil {
		return nil, err
	}
	return app, nil
}

// InFlight returns the number of requests in progress.
func (c *Callers) InFlight() int64 { return c.inFlight.Load() }

func newApp() *iris.Application {
	app := iris.New()
	app.Logger().SetLevel("disable")
	app.Configure(iris.WithoutStartupLog, iris.WithoutBodyConsumptionOnUnmarshal)
	return app
}

func (c *Callers) readyz(x iris.Context) {
	if err := c.Ready(); err != nil {
		writeProblem(x.ResponseWriter(), err)
		return
	}
	writeJSON(x.ResponseWriter(), http.StatusOK, struct{}{})
}

func (c *Callers) address(x iris.Context) {
	a := c.Address(x.URLParam("dataCentre"))
	if len(a.Addresses) == 0 {
		writeProblem(x.ResponseWriter(), codes.New(codes.NotReady, "no host can serve requests").WithRetryAfter(time.Second))
		return
	}
	writeJSON(x.ResponseWriter(), http.StatusOK, a)
}

// modelEndpoint is like endpoint, but also sets a request ID in the response header. Operators use the ID to look up the
// decisions on the call.
func (c *Callers) modelEndpoint(name string, serve func(http.ResponseWriter, *http.Request, spec.Team) error) iris.Handler {
	handler := c.endpoint(name, serve)
	return func(x iris.Context) {
		x.ResponseWriter().Header().Set(requestHeader, "req-"+uuid.NewString())
		handler(x)
	}
}

// endpoint wraps a handler with tracing, metrics, the limit on requests in progress and the authentication of the team.
func (c *Callers) endpoint(name string, serve func(http.ResponseWriter, *http.Request, spec.Team) error) iris.Handler {
	return func(x iris.Context) {
		w, r := x.ResponseWriter(), x.Request()
		ctx, span := c.Traces.Start(c.Traces.FromHeader(r.Context(), r.Header), "front "+name)
		err := c.handle(w, r.WithContext(ctx), serve)
		telem.End(span, err)
		code := codes.OK
		if err != nil {
			code = codes.From(err).Code()
		}
		c.Metrics.Request(name, code)
	}
}

// handle serves a request of an authenticated team within the limit of requests in progress. It sends a problem document for
// an error unless the response has already started.
func (c *Callers) handle(w http.ResponseWriter, r *http.Request, serve func(http.ResponseWriter, *http.Request, spec.Team) error) error {
	defer c.inFlight.Add(-1)
	if c.inFlight.Add(1) > int64(c.Limits.InFlight) {
		err := codes.New(codes.OverCapacity, "this host has reached its limit of requests in progress").WithRetryAfter(time.Second)
		writeProblem(w, err)
		return err
	}
	team, err := c.authenticate(r)
	if err == nil {
		err = serve(w, r, team)
	}
	if err != nil && !responseStarted(err) {
		writeProblem(w, err)
	}
	return err
}

// authenticate returns the team that the API key of the request belongs to.
func (c *Callers) authenticate(r *http.Request) (spec.Team, error) {
	if err := c.Ready(); err != nil {
		return spec.Team{}, err
	}
	key, ok := strings.CutPrefix(r.Header.Get("Authorization"), bearerPrefix)
	if !ok {
		return spec.Team{}, codes.New(codes.Unauthorized, "a bearer token with the API key is required").WithField("Authorization")
	}
	digest := sha256.Sum256([]byte(key))
	t, ok := c.View().TeamByKey(hex.EncodeToString(digest[:]))
	if !ok {
		return spec.Team{}, codes.New(codes.Unauthorized, "the API key does not belong to any team").WithField("Authorization")
	}
	return t, nil
}

func (c *Callers) createKey(w http.ResponseWriter, r *http.Request, _ spec.Team) error {
	key, err := c.MintKey(r.Context())
	if err != nil {
		return err
	}
	writeJSON(w, http.StatusCreated, keyResponse{key})
	return nil
}
