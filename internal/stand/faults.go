package stand

import (
	"context"
	"errors"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"
)

type (
	// Faults holds the current fault document of a stand-in; the zero document means no faults.
	Faults[T any] struct {
		mu      sync.Mutex
		current T
		changed chan struct{}
		check   func(T) error
	}

	// Loss says which answers are lost: the next Next ones, and others with the probability.
	Loss struct {
		Next        int     `json:"next,omitempty"`
		Probability float64 `json:"probability,omitempty"`
	}
)

// NewFaults returns a holder without faults; check may be nil.
func NewFaults[T any](check func(T) error) *Faults[T] {
	return &Faults[T]{changed: make(chan struct{}), check: check}
}

// Get returns the current document.
func (f *Faults[T]) Get() T {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.current
}

// Watch returns the current document and a channel that is closed when it is replaced.
func (f *Faults[T]) Watch() (T, <-chan struct{}) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.current, f.changed
}

// Set replaces the document.
func (f *Faults[T]) Set(t T) error {
	if f.check != nil {
		if err := f.check(t); err != nil {
			return err
		}
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.current = t
	close(f.changed)
	f.changed = make(chan struct{})
	return nil
}

// Spend changes the document in place, for faults that count down, and returns what use returns.
func (f *Faults[T]) Spend(use func(*T) bool) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return use(&f.current)
}

// Hold waits while hung reports true; it returns false when the context ended first.
func (f *Faults[T]) Hold(ctx context.Context, hung func(T) bool) bool {
	for {
		t, changed := f.Watch()
		if !hung(t) {
			return ctx.Err() == nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return false
		}
	}
}

// Register serves POST /faults, which replaces the document, and GET /faults, which shows it.
func (f *Faults[T]) Register(m *http.ServeMux) {
	m.HandleFunc("GET /faults", func(w http.ResponseWriter, _ *http.Request) {
		Reply(w, http.StatusOK, f.Get())
	})
	m.HandleFunc("POST /faults", func(w http.ResponseWriter, r *http.Request) {
		var t T
		err := Decode(r.Body, &t)
		if err == nil {
			err = f.Set(t)
		}
		if err != nil {
			Fail(w, http.StatusBadRequest, err.Error())
			return
		}
		Reply(w, http.StatusOK, t)
	})
}

// Check returns an error for a negative count or a probability outside 0 to 1.
func (l Loss) Check() error {
	if l.Next < 0 || l.Probability < 0 || l.Probability > 1 {
		return errors.New("next must not be negative and probability must be from 0 to 1")
	}
	return nil
}

// Hit tells whether the fault strikes now, and counts it down.
func (l *Loss) Hit() bool {
	if l.Next > 0 {
		l.Next--
		return true
	}
	return rand.Float64() < l.Probability
}

// Sleep waits for the duration; it returns false when the context ended first.
func Sleep(ctx context.Context, d time.Duration) bool {
	if d <= 0 {
		return ctx.Err() == nil
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// Millis returns the duration of n milliseconds.
func Millis(n int64) time.Duration {
	return time.Duration(n) * time.Millisecond
}
