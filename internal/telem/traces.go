package telem

import (
	"context"
	"net/http"

	"github.com/cockroachdb/errors"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/codes"
	"go.opentelemetry.io/otel/exporters/otlp/otlptrace/otlptracehttp"
	"go.opentelemetry.io/otel/propagation"
	"go.opentelemetry.io/otel/sdk/resource"
	sdktrace "go.opentelemetry.io/otel/sdk/trace"
	"go.opentelemetry.io/otel/trace"
)

const (
	traceparent = "traceparent"
	tracerName  = "fireflycleat"
)

// Traces creates the spans of requests and propagates the W3C trace context.
type Traces struct {
	provider *sdktrace.TracerProvider
	tracer   trace.Tracer
	context  propagation.TraceContext
}

// NewTraces returns traces that are exported to the OTLP endpoint (IP:PORT). Without an endpoint nothing is exported, but trace
// contexts are still propagated.
func NewTraces(ctx context.Context, host, endpoint string, processors ...sdktrace.SpanProcessor) (*Traces, error) {
	options := []sdktrace.TracerProviderOption{
		sdktrace.WithResource(resource.NewSchemaless(
			attribute.String("service.name", "fireflycleat"), attribute.String("host.name", host))),
	}
	if endpoint != "" {
		e, err := otlptracehttp.New(ctx, otlptracehttp.WithEndpoint(endpoint), otlptracehttp.WithInsecure())
		if err != nil {
			return nil, errors.Wrap(err, "create trace exporter")
		}
		options = append(options, sdktrace.WithBatcher(e))
	}
	for _, p := range processors {
		options = append(options, sdktrace.WithSpanProcessor(p))
	}
	p := sdktrace.NewTracerProvider(options...)
	return &Traces{provider: p, tracer: p.Tracer(tracerName)}, nil
}

// Close exports the remaining spans and stops the export.
func (t *Traces) Close(ctx context.Context) error { return t.provider.Shutdown(ctx) }

// Start starts a span that the caller must end.
func (t *Traces) Start(ctx context.Context, name string, attrs ...attribute.KeyValue) (context.Context, trace.Span) {
	return t.tracer.Start(ctx, name, trace.WithAttributes(attrs...))
}

// FromHeader returns a context with the trace context in the header.
func (t *Traces) FromHeader(ctx context.Context, h http.Header) context.Context {
	return t.context.Extract(ctx, propagation.HeaderCarrier(h))
}

// ToHeader writes the trace context into the header.
func (t *Traces) ToHeader(ctx context.Context, h http.Header) {
	t.context.Inject(ctx, propagation.HeaderCarrier(h))
}

// FromText returns a context with the trace context in a traceparent value, as sent between daemons.
func (t *Traces) FromText(ctx context.Context, text string) context.Context {
	return t.context.Extract(ctx, propagation.MapCarrier{traceparent: text})
}

// ToText returns the trace context as a traceparent value, as sent between daemons.
func (t *Traces) ToText(ctx context.Context) string {
	c := propagation.MapCarrier{}
	t.context.Inject(ctx, c)
	return c[traceparent]
}

// End ends the span, and marks it as failed if err is not nil.
func End(s trace.Span, err error) {
	if err != nil {
		s.SetStatus(codes.Error, err.Error())
	}
	s.End()
}
