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

// Operators serves the operators' API. The function fields carry out what it has checked.
type Operators struct {
	Limits  Limits
	Traces  *telem.Traces
	Metrics *telem.Metrics
	// Token is needed in each request unless it is empty.
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
	app.Get("/v1/templates", o.door(func(*http.Request, iris.Context) (any, error) { return o.Templates(), nil }))
	app.Put("/v1/templates/{name}", o.door(o.putTemplate))
	app.Delete("/v1/templates/{name}", o.door(o.remove(func(c context.Context, n, id string, b int64) (wire.Change, error) {
		return o.DeleteTemplate(c, n, id, b)
	})))
	app.Get("/v1/teams", o.door(func(*http.Request, iris.Context) (any, error) { return o.Teams(), nil }))
	app.Put("/v1/teams/{name}", o.door(o.putTeam))
	app.Delete("/v1/teams/{name}", o.door(o.remove(func(c context.Context, n, id string, b int64) (wire.Change, error) {
		return o.DeleteTeam(c, n, id, b)
	})))
	app.Get("/v1/hosts", o.door(func(*http.Request, iris.Context) (any, error) { return o.Hosts(), nil }))
	app.Get("/v1/status", o.door(func(*http.Request, iris.Context) (any, error) { return o.Status(), nil }))
	app.Get("/v1/decisions", o.door(func(r *http.Request, _ iris.Context) (any, error) {
		return o.Decisions(r.URL.Query().Get("request")), nil
	}))
	app.Post("/v1/stop", o.door(func(*http.Request, iris.Context) (any, error) {
		o.Stop()
		return struct{}{}, nil
	}))
	app.Put("/v1/logLevel", o.door(o.putLogLevel))
	app.Get("/metrics", o.metrics)
	app.OnAnyErrorCode(unknownPath)
	if err := app.Build(); err != nil {
		return nil, err
	}
	return app, nil
}

// unknownPath answers requests that no route takes; other errors have been answered already.
func unknownPath(x iris.Context) {
	if x.ResponseWriter().Written() <= 0 {
		writeProblem(x.ResponseWriter(), codes.New(codes.NotFound, x.Path()))
	}
}

func (o *Operators) door(serve func(*http.Request, iris.Context) (any, error)) iris.Handler {
	return func(x iris.Context) {
		w, r := x.ResponseWriter(), x.Request()
		ctx, span := o.Traces.Start(o.Traces.FromHeader(r.Context(), r.Header), "operator "+r.Method+" "+x.Path())
		var answer any
		err := o.allowed(r)
		if err == nil {
			answer, err = serve(r.WithContext(ctx), x)
		}
		telem.End(span, err)
		if err != nil {
			o.Metrics.Request("operator", codes.From(err).Code())
			writeProblem(w, err)
			return
		}
		o.Metrics.Request("operator", codes.OK)
		writeJSON(w, http.StatusOK, answer)
	}
}

// metrics serves the metrics to operators; the callers' address serves them to everybody.
func (o *Operators) metrics(x iris.Context) {
	if err := o.allowed(x.Request()); err != nil {
		writeProblem(x.ResponseWriter(), err)
		return
	}
	o.Metrics.Handler().ServeHTTP(x.ResponseWriter(), x.Request())
}

func (o *Operators) allowed(r *http.Request) error {
	token, _ := strings.CutPrefix(r.Header.Get("Authorization"), bearer)
	if o.Token != "" && subtle.ConstantTimeCompare([]byte(token), []byte(o.Token)) != 1 {
		return codes.New(codes.Unauthorized, "an operator's token is needed").WithField("Authorization")
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
		return nil, codes.New(codes.BadRequest, "must be the name in the path").WithField("template.name")
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
		return nil, codes.New(codes.BadRequest, "must be the name in the path").WithField("team.name")
	}
	if err := CheckName("team.name", name); err != nil {
		return nil, err
	}
	if err := c.Team.Check(); err != nil {
		return nil, err
	}
	return o.SetTeam(r.Context(), name, c)
}

func (o *Operators) remove(carryOut func(context.Context, string, string, int64) (wire.Change, error)) func(*http.Request, iris.Context) (any, error) {
	return func(r *http.Request, x iris.Context) (any, error) {
		base, err := strconv.ParseInt(r.URL.Query().Get("base"), 10, 64)
		if err != nil || base < 1 {
			return nil, codes.New(codes.BadRequest, "must be the offset of the version to delete").WithField("base")
		}
		return carryOut(r.Context(), x.Params().Get("name"), r.URL.Query().Get("changeId"), base)
	}
}

func (o *Operators) putLogLevel(r *http.Request, x iris.Context) (any, error) {
	var l wire.LogLevel
	if err := o.decode(r, x, &l); err != nil {
		return nil, err
	}
	return l, o.SetLogLevel(l.Level)
}

func (o *Operators) decode(r *http.Request, x iris.Context, into any) error {
	b, err := readBody(x.ResponseWriter(), r, o.Limits)
	if err != nil {
		return err
	}
	return decodeStrict(b, into)
}
