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

const bearer = "Bearer "

type (
	// ModelCall is a checked call to a model.
	ModelCall struct {
		ID           string
		Team         spec.Team
		Model        string
		Adapter      string
		Urgency      spec.Urgency
		Timeout      time.Duration // Timeout is the longest time to the first token; zero means the team's.
		Path         string
		Body         []byte // Body asks for a streamed answer, whatever the caller asked for.
		PromptTokens int
		MaxTokens    int
	}

	// PlainCall is a checked call to a plain service.
	PlainCall struct {
		Team        spec.Team
		Service     string
		Method      string
		Path        string
		ContentType string
		Key         string
		Body        []byte
	}

	// Callers serves the callers' API. The function fields carry out what it has checked.
	Callers struct {
		Limits  Limits
		Traces  *telem.Traces
		Metrics *telem.Metrics
		// Ready returns why the daemon is not able to serve, or nil.
		Ready func() error
		// Address returns the addresses to use for a caller in the data centre.
		Address func(dataCentre string) wire.AddressAnswer
		// View returns the configuration in force.
		View func() *spec.View
		// Model runs a call and passes the data of each chunk to sink; nil means that the answer is whole.
		Model func(ctx context.Context, call ModelCall, sink func(data []byte) error) error
		// Plain runs a call to a plain service.
		Plain func(ctx context.Context, call PlainCall) (engine.PlainAnswer, error)
		// MintKey returns an idempotency key that is known to be new.
		MintKey func(ctx context.Context) (string, error)

		inFlight atomic.Int64
	}

	keyAnswer struct {
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
	app.Get("/v1/models", c.door("models", c.models))
	app.Post("/v1/keys", c.door("keys", c.keys))
	app.Post("/v1/chat/completions", c.modelDoor("chat", c.chat))
	app.Post("/v1/completions", c.modelDoor("completions", c.completions))
	app.Any("/v1/services/{service}/{path:path}", c.door("services", c.services))
	app.OnAnyErrorCode(unknownPath)
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
		writeProblem(x.ResponseWriter(), codes.New(codes.NotReady, "no host is able to serve").WithRetryAfter(time.Second))
		return
	}
	writeJSON(x.ResponseWriter(), http.StatusOK, a)
}

// modelDoor is the door of calls to models. Each answer names the request, so that operators can look it up in the decisions.
func (c *Callers) modelDoor(name string, serve func(http.ResponseWriter, *http.Request, spec.Team) error) iris.Handler {
	door := c.door(name, serve)
	return func(x iris.Context) {
		x.ResponseWriter().Header().Set(requestHeader, "req-"+uuid.NewString())
		door(x)
	}
}

// door wraps a handler with the span, the limit of requests in progress, the caller's team and the metrics.
func (c *Callers) door(name string, serve func(http.ResponseWriter, *http.Request, spec.Team) error) iris.Handler {
	return func(x iris.Context) {
		w, r := x.ResponseWriter(), x.Request()
		ctx, span := c.Traces.Start(c.Traces.FromHeader(r.Context(), r.Header), "front "+name)
		err := c.guard(w, r.WithContext(ctx), serve)
		telem.End(span, err)
		code := codes.OK
		if err != nil {
			code = codes.From(err).Code()
		}
		c.Metrics.Request(name, code)
	}
}

func (c *Callers) guard(w http.ResponseWriter, r *http.Request, serve func(http.ResponseWriter, *http.Request, spec.Team) error) error {
	defer c.inFlight.Add(-1)
	if c.inFlight.Add(1) > int64(c.Limits.InFlight) {
		err := codes.New(codes.OverCapacity, "too many requests in progress at this host").WithRetryAfter(time.Second)
		writeProblem(w, err)
		return err
	}
	team, err := c.team(r)
	if err == nil {
		err = serve(w, r, team)
	}
	if err != nil && !answered(err) {
		writeProblem(w, err)
	}
	return err
}

func (c *Callers) team(r *http.Request) (spec.Team, error) {
	if err := c.Ready(); err != nil {
		return spec.Team{}, err
	}
	key, ok := strings.CutPrefix(r.Header.Get("Authorization"), bearer)
	if !ok {
		return spec.Team{}, codes.New(codes.Unauthorized, "an API key is needed").WithField("Authorization")
	}
	digest := sha256.Sum256([]byte(key))
	t, ok := c.View().TeamByKey(hex.EncodeToString(digest[:]))
	if !ok {
		return spec.Team{}, codes.New(codes.Unauthorized, "the API key is unknown").WithField("Authorization")
	}
	return t, nil
}

func (c *Callers) keys(w http.ResponseWriter, r *http.Request, _ spec.Team) error {
	key, err := c.MintKey(r.Context())
	if err != nil {
		return err
	}
	writeJSON(w, http.StatusCreated, keyAnswer{key})
	return nil
}
