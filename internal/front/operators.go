package front

import (
	"context"
	"crypto/subtle"
	"net/http"
	"strconv"
	"strings"

	"github.com/kataras/iris/v12"

	"github.com/fireflycleat/fireflycleat/internal/telem"
	"github.com/fireflycleat/fireflycleat/internal/wire"
	"github.com/fireflycleat/fireflycleat/pkg/codes"
)

// Operators serves the operators' API. It passes validated requests to its function fields.
type Operators struct {
	Limits  Limits
	Traces  *telem.Traces
	Metrics *telem.Metrics
	// Token is the bearer token that each request must carry; if it is empty, requests are not authenticated.
	Token          string
	SetTemplate    func(ctx context.Context, name string, c wire.TemplateChange) (wire.Change, error)
	DeleteTemplate func(ctx context.Context, name, changeID string, base int64) (wire.Change, error)
	Templates      func() []wire.TemplateState
	SetTeam        func(ctx context.Context, name string, c wire.TeamChange) (wire.Change, error)
	DeleteTeam     func(ctx context.Context, name, changeID string, base int64) (wire.Change, error)
	Teams          func() []wire.TeamState
	Hosts          func() []wire.HostReport
	Status         func() wire.Status
	Decisions      func(request string) []wire.Decision
	Stop           func()
	SetLogLevel    func(level string) error
}

// Handler returns the HTTP handler of the operators' API.
func (o *Operators) Handler() (http.Handler, error) {
	app := newApp()
	app.Get("/v1/templates", o.endpoint(func(*http.Request, iris.Context) (any, error) { return o.Templates(), nil }))
	app.Put("/v1/templates/{name}", o.endpoint(o.putTemplate))
	app.Delete("/v1/templates/{name}", o.endpoint(o.deleteHandler(func(c context.Context, n, id string, b int64) (wire.Change, error) {
		return o.DeleteTemplate(c, n, id, b)
	})))
	app.Get("/v1/teams", o.endpoint(func(*http.Request, iris.Context) (any, error) { return o.Teams(), nil }))
	app.Put("/v1/teams/{name}", o.endpoint(o.putTeam))
	app.Delete("/v1/teams/{name}", o.endpoint(o.deleteHandler(func(c context.Context, n, id string, b int64) (wire.Change, error) {
		return o.DeleteTeam(c, n, id, b)
	})))
	app.Get("/v1/hosts", o.endpoint(func(*http.Request, iris.Context) (any, error) { return o.Hosts(), nil }))
	app.Get("/v1/status", o.endpoint(func(*http.Request, iris.Context) (any, error) { return o.Status(), nil }))
	app.Get("/v1/decisions", o.endpoint(func(r *http.Request, _ iris.Context) (any, error) {
		return o.Decisions(r.URL.Query().Get("request")), nil
	}))
	app.Post("/v1/stop", o.endpoint(func(*http.Request, iris.Context) (any, error) {
		o.Stop()
		return struct{}{}, nil
	}))
	app.Put("/v1/logLevel", o.endpoint(o.putLogLevel))
	app.Get("/metrics", o.metrics)
	app.OnAnyErrorCode(notFound)
	if err := app.Build(); err != nil {
		return nil, err
	}
	return app, nil
}

// notFound sends a problem document for a request that matches no route. Handlers write the response to all other errors.
func notFound(x iris.Context) {
	if x.ResponseWriter().Written() <= 0 {
		writeProblem(x.ResponseWriter(), codes.New(codes.NotFound, x.Path()))
	}
}

// endpoint wraps a handler with tracing, metrics and authentication, and writes its result or error.
func (o *Operators) endpoint(serve func(*http.Request, iris.Context) (any, error)) iris.Handler {
	return func(x iris.Context) {
		w, r := x.ResponseWriter(), x.Request()
		ctx, span := o.Traces.Start(o.Traces.FromHeader(r.Context(), r.Header), "operator "+r.Method+" "+x.Path())
		var response any
		err := o.authorize(r)
		if err == nil {
			response, err = serve(r.WithContext(ctx), x)
		}
		telem.End(span, err)
		if err != nil {
			o.Metrics.Request("operator", codes.From(err).Code())
			writeProblem(w, err)
			return
		}
		o.Metrics.Request("operator", codes.OK)
		writeJSON(w, http.StatusOK, response)
	}
}

// metrics serves the metrics with authentication; the callers' API serves them without.
func (o *Operators) metrics(x iris.Context) {
	if err := o.authorize(x.Request()); err != nil {
		writeProblem(x.ResponseWriter(), err)
		return
	}
	o.Metrics.Handler().ServeHTTP(x.ResponseWriter(), x.Request())
}

// authorize returns an Unauthorized error unless the request carries the operator token or none is set.
func (o *Operators) authorize(r *http.Request) error {
	token, _ := strings.CutPrefix(r.Header.Get("Authorization"), bearerPrefix)
	if o.Token != "" && subtle.ConstantTimeCompare([]byte(token), []byte(o.Token)) != 1 {
		return codes.New(codes.Unauthorized, "the operator token is required").WithField("Authorization")
	}
	return nil
}

func (o *Operators) putTemplate(r *http.Request, x iris.Context) (any, error) {
	var c wire.TemplateChange
	if err := o.decode(r, x, &c); err != nil {
		return nil, err
	}
	name := x.Params().Get("name")
	if c.Template.Name != name {
		return nil, codes.New(codes.BadRequest, "must equal the name in the path").WithField("template.name")
	}
	if err := CheckName("template.name", name); err != nil {
		return nil, err
	}
	if err := c.Template.Check(); err != nil {
		return nil, err
	}
	return o.SetTemplate(r.Context(), name, c)
}

func (o *Operators) putTeam(r *http.Request, x iris.Context) (any, error) {
	var c wire.TeamChange
	if err := o.decode(r, x, &c); err != nil {
		return nil, err
	}
	name := x.Params().Get("name")
	if c.Team.Name != name {
		return nil, codes.New(codes.BadRequest, "must equal the name in the path").WithField("team.name")
	}
	if err := CheckName("team.name", name); err != nil {
		return nil, err
	}
	if err := c.Team.Check(); err != nil {
		return nil, err
	}
	return o.SetTeam(r.Context(), name, c)
}

// deleteHandler returns a handler that parses the base version and the change ID of a deletion and passes them to deleteFn.
func (o *Operators) deleteHandler(
	deleteFn func(context.Context, string, string, int64) (wire.Change, error),
) func(*http.Request, iris.Context) (any, error) {
	return func(r *http.Request, x iris.Context) (any, error) {
		base, err := strconv.ParseInt(r.URL.Query().Get("base"), 10, 64)
		if err != nil || base < 1 {
			return nil, codes.New(codes.BadRequest, "must be the offset of the version to delete").WithField("base")
		}
		return deleteFn(r.Context(), x.Params().Get("name"), r.URL.Query().Get("changeId"), base)
	}
}

func (o *Operators) putLogLevel(r *http.Request, x iris.Context) (any, error) {
	var l wire.LogLevel
	if err := o.decode(r, x, &l); err != nil {
		return nil, err
	}
	return l, o.SetLogLevel(l.Level)
}

func (o *Operators) decode(r *http.Request, x iris.Context, dst any) error {
	body, err := readBody(x.ResponseWriter(), r, o.Limits, plainCopies)
	if err != nil {
		return err
	}
	return decodeStrict(body, dst)
}
