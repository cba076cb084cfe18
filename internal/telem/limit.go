package telem

import (
	"context"
	"log/slog"
	"sync"
	"time"
)

const (
	// linesPerSecond bounds the lines of one event; a host that serves 100 requests a second stays below it.
	linesPerSecond = 100
	// droppedEvent is the number of the event that tells of dropped lines.
	droppedEvent = 2
)

type (
	// limiter drops lines of an event that is logged too often, and says how many when it ends.
	limiter struct {
		slog.Handler
		state *limits
	}

	limits struct {
		mu     sync.Mutex
		counts map[int64]*eventCount
	}

	eventCount struct {
		second  int64
		lines   int
		dropped int
	}
)

// Limited returns loggers that write at most 100 lines a second of each event, which the attribute "event" numbers.
func (l *Logs) Limited() *Logs {
	return &Logs{level: l.level, handler: limiter{l.handler, &limits{counts: make(map[int64]*eventCount)}}}
}

// Handle writes the record unless its event was logged too often within the second.
func (l limiter) Handle(c context.Context, r slog.Record) error {
	event := int64(0)
	r.Attrs(func(a slog.Attr) bool {
		if a.Key != "event" {
			return true
		}
		event = a.Value.Int64()
		return false
	})
	keep, dropped := l.state.take(event, r.Time)
	if dropped > 0 {
		d := slog.NewRecord(r.Time, slog.LevelWarn, "logs: lines were dropped", 0)
		d.AddAttrs(slog.Int("event", droppedEvent), slog.Int64("of", event), slog.Int("count", dropped))
		if err := l.Handler.Handle(c, d); err != nil {
			return err
		}
	}
	if !keep {
		return nil
	}
	return l.Handler.Handle(c, r)
}

// WithAttrs keeps the limit on derived loggers.
func (l limiter) WithAttrs(attrs []slog.Attr) slog.Handler {
	return limiter{l.Handler.WithAttrs(attrs), l.state}
}

// WithGroup keeps the limit on derived loggers.
func (l limiter) WithGroup(name string) slog.Handler {
	return limiter{l.Handler.WithGroup(name), l.state}
}

// take counts a line and reports whether it is kept, and how many were dropped in an earlier second.
func (l *limits) take(event int64, at time.Time) (keep bool, dropped int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	n, ok := l.counts[event]
	if !ok {
		n = new(eventCount)
		l.counts[event] = n
	}
	if second := at.Unix(); second != n.second {
		dropped = n.dropped
		*n = eventCount{second: second}
	}
	if n.lines >= linesPerSecond {
		n.dropped++
		return false, dropped
	}
	n.lines++
	return true, dropped
}
