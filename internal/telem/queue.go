package telem

import (
	"fmt"
	"io"
	"sync"
	"sync/atomic"
	"time"
)

const (
	queuedLines = 2048 // queuedLines bounds what waits for a slow reader; at 400 bytes a line it is below 1 MB.
	batchBytes  = 32 << 10
	flushTime   = 500 * time.Millisecond // flushTime is how long the last lines may take when the process ends.
)

// Queue writes log lines in a goroutine of its own and drops lines rather than wait for a slow reader.
type Queue struct {
	lines    chan []byte
	out      io.Writer
	dropped  atomic.Int64
	reported int64 // reported is used by the writing goroutine only.
	closing  chan struct{}
	done     chan struct{}
	once     sync.Once
}

// NewQueue returns a queue that writes to the writer until Close.
func NewQueue(w io.Writer) *Queue {
	q := &Queue{lines: make(chan []byte, queuedLines), out: w, closing: make(chan struct{}), done: make(chan struct{})}
	go q.run()
	return q
}

// Write queues a line; it never blocks and never fails.
func (q *Queue) Write(line []byte) (int, error) {
	select {
	case q.lines <- append([]byte(nil), line...):
	default:
		q.dropped.Add(1)
	}
	return len(line), nil
}

// Dropped returns the number of lines dropped so far.
func (q *Queue) Dropped() int64 { return q.dropped.Load() }

// Close writes what is queued, for half a second at most.
func (q *Queue) Close() {
	q.once.Do(func() { close(q.closing) })
	select {
	case <-q.done:
	case <-time.After(flushTime):
	}
}

func (q *Queue) run() {
	defer close(q.done)
	for {
		select {
		case line := <-q.lines:
			q.flush(line)
		case <-q.closing:
			q.drain()
			q.report()
			return
		}
		if len(q.lines) < queuedLines/2 {
			q.report()
		}
	}
}

// report writes how many lines were dropped since the last report.
func (q *Queue) report() {
	n := q.dropped.Load()
	if n == q.reported {
		return
	}
	// A reader that fails gets no line about its own failure.
	_, _ = fmt.Fprintf(q.out, "{\"level\":\"WARN\",\"msg\":\"logs: lines were dropped\",\"event\":1,\"count\":%d}\n", n-q.reported)
	q.reported = n
}

// flush writes the line and those that wait behind it in one call.
func (q *Queue) flush(batch []byte) {
	for len(batch) < batchBytes {
		select {
		case more := <-q.lines:
			batch = append(batch, more...)
			continue
		default:
		}
		break
	}
	_, _ = q.out.Write(batch) // There is nowhere to report a failure of the log itself.
}

func (q *Queue) drain() {
	for {
		select {
		case line := <-q.lines:
			q.flush(line)
		default:
			return
		}
	}
}
