package telem

import (
	"context"
	"io"
	"log/slog"
	"strings"

	"github.com/fireflycleat/fireflycleat/pkg/codes"
)

type (
	// Logs makes loggers that share one output and one level.
	Logs struct {
		level   *slog.LevelVar
		handler slog.Handler
	}

	prefixed struct {
		slog.Handler
		prefix string
	}
)

// NewLogs returns loggers that write text lines to the writer.
func NewLogs(w io.Writer, host string) *Logs {
	level := new(slog.LevelVar)
	h := slog.NewTextHandler(w, &slog.HandlerOptions{Level: level, ReplaceAttr: shortError})
	return &Logs{level: level, handler: h.WithAttrs([]slog.Attr{slog.String("host", host)})}
}

// NewJSONLogs returns loggers that write a JSON object a line to the writer.
func NewJSONLogs(w io.Writer, host string) *Logs {
	level := new(slog.LevelVar)
	h := slog.NewJSONHandler(w, &slog.HandlerOptions{Level: level, ReplaceAttr: shortError})
	return &Logs{level: level, handler: h.WithAttrs([]slog.Attr{slog.String("host", host)})}
}

// shortError logs the message of an error only; the errors library would add a stack trace of many lines.
func shortError(_ []string, a slog.Attr) slog.Attr {
	if err, ok := a.Value.Any().(error); ok {
		return slog.String(a.Key, err.Error())
	}
	return a
}

// For returns the logger of a part; each of its messages starts with the name of the part.
func (l *Logs) For(part string) *slog.Logger {
	return slog.New(prefixed{l.handler, part + ": "})
}

// SetLevel changes the level at run time; an unknown name is a BadArgument error.
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
func (p prefixed) Handle(c context.Context, r slog.Record) error {
	r.Message = p.prefix + r.Message
	return p.Handler.Handle(c, r)
}

// WithAttrs keeps the prefix on derived loggers.
func (p prefixed) WithAttrs(attrs []slog.Attr) slog.Handler {
	return prefixed{p.Handler.WithAttrs(attrs), p.prefix}
}

// WithGroup keeps the prefix on derived loggers.
func (p prefixed) WithGroup(name string) slog.Handler {
	return prefixed{p.Handler.WithGroup(name), p.prefix}
}
