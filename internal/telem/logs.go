package telem

import (
	"context"
	"io"
	"log/slog"
	"strings"

	"github.com/fireflycleat/fireflycleat/pkg/codes"
)

type (
	// Logs creates loggers that share one output and one level.
	Logs struct {
		level   *slog.LevelVar
		handler slog.Handler
	}

	prefixHandler struct {
		slog.Handler
		prefix string
	}
)

// NewLogs returns loggers that write lines of text to the writer.
func NewLogs(w io.Writer, host string) *Logs {
	level := new(slog.LevelVar)
	h := slog.NewTextHandler(w, &slog.HandlerOptions{Level: level, ReplaceAttr: errorMessageOnly})
	return &Logs{level: level, handler: h.WithAttrs([]slog.Attr{slog.String("host", host)})}
}

// NewJSONLogs returns loggers that write one JSON object per line to the writer.
func NewJSONLogs(w io.Writer, host string) *Logs {
	level := new(slog.LevelVar)
	h := slog.NewJSONHandler(w, &slog.HandlerOptions{Level: level, ReplaceAttr: errorMessageOnly})
	return &Logs{level: level, handler: h.WithAttrs([]slog.Attr{slog.String("host", host)})}
}

// errorMessageOnly replaces an error by its message. The errors library's own format includes a stack trace.
func errorMessageOnly(_ []string, a slog.Attr) slog.Attr {
	if err, ok := a.Value.Any().(error); ok {
		return slog.String(a.Key, err.Error())
	}
	return a
}

// For returns a logger that prefixes its messages with the name of a part of the daemon.
func (l *Logs) For(part string) *slog.Logger {
	return slog.New(prefixHandler{l.handler, part + ": "})
}

// SetLevel changes the level of all loggers. An unknown name is a BadArgument error.
func (l *Logs) SetLevel(name string) error {
	var level slog.Level
	if err := level.UnmarshalText([]byte(name)); err != nil {
		return codes.New(codes.BadArgument, "must be debug, info, warn or error").WithField("level")
	}
	l.level.Set(level)
	return nil
}

// Level returns the name of the current level.
func (l *Logs) Level() string { return strings.ToLower(l.level.Level().String()) }

// Handle writes the record with the prefix of the part.
func (p prefixHandler) Handle(c context.Context, r slog.Record) error {
	r.Message = p.prefix + r.Message
	return p.Handler.Handle(c, r)
}

// WithAttrs keeps the prefix on derived loggers.
func (p prefixHandler) WithAttrs(attrs []slog.Attr) slog.Handler {
	return prefixHandler{p.Handler.WithAttrs(attrs), p.prefix}
}

// WithGroup keeps the prefix on derived loggers.
func (p prefixHandler) WithGroup(name string) slog.Handler {
	return prefixHandler{p.Handler.WithGroup(name), p.prefix}
}
