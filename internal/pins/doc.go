// Package pins keeps the libraries of parts that are not merged yet in go.mod.
package pins

import (
	_ "github.com/HdrHistogram/hdrhistogram-go"                         // used by internal/bench
	_ "github.com/cespare/xxhash/v2"                                    // used by pkg/idemp
	_ "github.com/frankban/quicktest"                                   // used by tests
	_ "github.com/google/uuid"                                          // used by internal/daemon
	_ "github.com/kataras/iris/v12"                                     // used by internal/front
	_ "github.com/oklog/run"                                            // used by internal/daemon
	_ "github.com/pelletier/go-toml/v2"                                 // used by internal/setup
	_ "github.com/prometheus/client_golang/prometheus/promhttp"         // used by internal/telem
	_ "github.com/rogpeppe/go-internal/testscript"                      // used by scenarios
	_ "github.com/sashabaranov/go-openai"                               // used by internal/front
	_ "go.opentelemetry.io/otel"                                        // used by internal/telem
	_ "go.opentelemetry.io/otel/exporters/otlp/otlptrace/otlptracehttp" // used by internal/telem
	_ "go.opentelemetry.io/otel/sdk/trace"                              // used by internal/telem
	_ "gonum.org/v1/plot/plotter"                                       // used by internal/bench
	_ "gonum.org/v1/plot/vg/vgsvg"                                      // used by internal/bench
	_ "pgregory.net/rapid"                                              // used by tests
)
