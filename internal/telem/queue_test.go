package telem_test

import (
	"bytes"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/fireflycleat/fireflycleat/internal/telem"
)

// stuckWriter blocks until it is released, like standard output whose reader has stopped.
type stuckWriter struct {
	release chan struct{}
	mu      sync.Mutex
	b       bytes.Buffer
}

func (w *stuckWriter) Write(p []byte) (int, error) {
	<-w.release
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.b.Write(p)
}

// TestStuckReaderDoesNotBlock guards against requests that block because standard output is not read.
func TestStuckReaderDoesNotBlock(t *testing.T) {
	w := &stuckWriter{release: make(chan struct{})}
	q := telem.NewQueue(w)
	began := time.Now()
	for range 10_000 {
		_, err := q.Write([]byte("line\n"))
		qt.Assert(t, err, qt.IsNil)
	}
	qt.Assert(t, time.Since(began) < time.Second, qt.IsTrue)
	qt.Assert(t, q.Dropped() > 0, qt.IsTrue)
	close(w.release)
	q.Close()
	w.mu.Lock()
	defer w.mu.Unlock()
	qt.Assert(t, strings.Contains(w.b.String(), "lines were dropped"), qt.IsTrue)
}

// TestLimitedLogs guards against a log that grows with the load, and against lines that are dropped without a report.
func TestLimitedLogs(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var b bytes.Buffer
		log := telem.NewJSONLogs(&b, "h").Limited().For("x")
		for range 500 {
			log.Info("often", "event", 200)
		}
		log.Info("seldom", "event", 201)
		qt.Assert(t, strings.Count(b.String(), "\n"), qt.Equals, 101)
		time.Sleep(time.Second)
		log.Info("often", "event", 200)
		qt.Assert(t, strings.Contains(b.String(), `"of":200,"count":400`), qt.IsTrue)
	})
}
