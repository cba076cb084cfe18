package telem

import (
	"context"
	"log/slog"
	"sync"
	"time"
)

const (
	// maxLinesPerSecond limits the lines of one event. A host that serves 100 requests a second stays below it.
	maxLinesPerSecond = 100
	// droppedLinesEvent is the number of the event that reports dropped lines.
	droppedLinesEvent = 2
)

type (
	// limitHandler drops lines of an event above maxLinesPerSecond. With the first line of the event in a later second it logs how
	// many were dropped.
	limitHandler struct {
		slog.Handler
		counts *eventCounts
	}

	eventCounts struct {
		mu      sync.Mutex
		byEvent map[int64]*eventCount
	}

	eventCount struct {
		second  int64 // Unix time of the second in which lines are counted
		lines   int
		dropped int
	}
)

// Limited returns loggers that write at most 100 lines a second of each event, which the attribute "event" identifies.
func (l *Logs) Limited() *Logs {
	return &Logs{level: l.level, handler: limitHandler{l.handler, &eventCounts{byEvent: make(map[int64]*eventCount)}}}
}

// Handle writes the record unless its event has reached the limit of this second, and reports lines dropped earlier.
func (l limitHandler) Handle(c context.Context, r slog.Record) error {
	event := int64(0)
	r.Attrs(func(a slog.Attr) bool {
		if a.Key != "event" {
			return true
		}
		event = a.Value.Int64()
		return false
	})
	keep, dropped := l.counts.add(event, r.Time)
	if dropped > 0 {
		d := slog.NewRecord(r.Time, slog.LevelWarn, "logs: lines were dropped", 0)
		d.AddAttrs(slog.Int("event", droppedLinesEvent), slog.Int64("of", event), slog.Int("count", dropped))
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
func (l limitHandler) WithAttrs(attrs []slog.Attr) slog.Handler {
	return limitHandler{l.Handler.WithAttrs(attrs), l.counts}
}

// WithGroup keeps the limit on derived loggers.
func (l limitHandler) WithGroup(name string) slog.Handler {
	return limitHandler{l.Handler.WithGroup(name), l.counts}
}

// add counts a line of the event. It returns whether to write the line, and how many lines were dropped in the last earlier second
// that had lines of the event; that number is returned once.
func (l *eventCounts) add(event int64, at time.Time) (keep bool, dropped int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	n, ok := l.byEvent[event]
	if !ok {
		n = new(eventCount)
		l.byEvent[event] = n
	}
	if second := at.Unix(); second != n.second {
		dropped = n.dropped
		*n = eventCount{second: second}
	}
	if n.lines >= maxLinesPerSecond {
		n.dropped++
		return false, dropped
	}
	n.lines++
	return true, dropped
}
