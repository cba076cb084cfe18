package telem_test

import (
	"bytes"
	"strings"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/fireflycleat/fireflycleat/internal/telem"
)

// stuckWriter takes nothing until it is released, like standard output whose reader has stopped.
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

// TestStuckReaderDoesNotBlock guards against requests that wait because nobody reads standard output.
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
