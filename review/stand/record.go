//go:build review

package main

import (
	"fmt"
	"os"
	"sync"
	"time"
)

// record is the account of a run: what was sent, answered and run.
type record struct {
	mu    sync.Mutex
	file  *os.File
	start time.Time
	begun map[string][]time.Time
	kinds map[string][]time.Time // when lines of a kind were written
}

func newRecord(path string) *record {
	f, err := os.Create(path)
	if err != nil {
		fail("record: %v", err)
	}
	return &record{file: f, start: time.Now(), begun: make(map[string][]time.Time), kinds: make(map[string][]time.Time)}
}

// write writes a line with the time since the start in seconds.
func (r *record) write(kind, format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.kinds[kind] = append(r.kinds[kind], time.Now())
	_, _ = fmt.Fprintf(r.file, "%8.3f %-7s %s\n", time.Since(r.start).Seconds(), kind, fmt.Sprintf(format, args...))
}

// began records that a server began to work on a request.
func (r *record) began(id string) {
	r.write("run", "%s begins", id)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.begun[id] = append(r.begun[id], time.Now())
}

// runs returns how often a server began to work on a request.
func (r *record) runs(id string) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.begun[id])
}

// times returns when lines of the kind were written.
func (r *record) times(kind string) []time.Time {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.kinds[kind]
}
