package telem

import (
	"fmt"
	"io"
	"sync"
	"sync/atomic"
	"time"
)

const (
	maxQueuedLines = 2048 // limits the memory to below 1 MB at 400 bytes per line
	maxBatchBytes  = 32 << 10
	closeTimeout   = 500 * time.Millisecond // time to write the last lines when the process exits
)

// Queue writes log lines in a separate goroutine. It drops lines rather than block when the reader of the output is slow.
type Queue struct {
	lines         chan []byte
	out           io.Writer
	dropped       atomic.Int64
	reportedDrops int64 // accessed only by run
	closing       chan struct{}
	done          chan struct{}
	once          sync.Once
}

// NewQueue returns a queue that writes to w until Close.
func NewQueue(w io.Writer) *Queue {
	q := &Queue{lines: make(chan []byte, maxQueuedLines), out: w, closing: make(chan struct{}), done: make(chan struct{})}
	go q.run()
	return q
}

// Write queues a line, or drops it if the queue is full. It never blocks and never fails.
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

// Close writes the queued lines, and returns after closeTimeout at the latest.
func (q *Queue) Close() {
	q.once.Do(func() { close(q.closing) })
	select {
	case <-q.done:
	case <-time.After(closeTimeout):
	}
}

func (q *Queue) run() {
	defer close(q.done)
	for {
		select {
		case line := <-q.lines:
			q.writeBatch(line)
		case <-q.closing:
			q.drain()
			q.reportDropped()
			return
		}
		if len(q.lines) < maxQueuedLines/2 {
			q.reportDropped()
		}
	}
}

// reportDropped logs the number of lines dropped since its last report.
func (q *Queue) reportDropped() {
	n := q.dropped.Load()
	if n == q.reportedDrops {
		return
	}
	// A write error cannot be reported, because it concerns the log output itself.
	_, _ = fmt.Fprintf(q.out, "{\"level\":\"WARN\",\"msg\":\"logs: lines were dropped\",\"event\":1,\"count\":%d}\n", n-q.reportedDrops)
	q.reportedDrops = n
}

// writeBatch writes the line and the lines queued after it in one call.
func (q *Queue) writeBatch(batch []byte) {
	for len(batch) < maxBatchBytes {
		select {
		case more := <-q.lines:
			batch = append(batch, more...)
			continue
		default:
		}
		break
	}
	_, _ = q.out.Write(batch) // A write error cannot be reported, because it concerns the log output itself.
}

func (q *Queue) drain() {
	for {
		select {
		case line := <-q.lines:
			q.writeBatch(line)
		default:
			return
		}
	}
}
