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
	// Faults holds the current fault document of a stand-in; the zero document means no faults. It is safe for concurrent use.
	Faults[T any] struct {
		mu       sync.Mutex
		current  T
		replaced chan struct{}
		validate func(T) error
	}

	// FaultTrigger decides when a fault occurs: on the next Next occasions, and after that with the probability.
	FaultTrigger struct {
		Next        int     `json:"next,omitempty"`
		Probability float64 `json:"probability,omitempty"`
	}
)

// NewFaults returns a Faults with the zero document. Set rejects the documents for which validate returns an error; validate
// may be nil.
func NewFaults[T any](validate func(T) error) *Faults[T] {
	return &Faults[T]{replaced: make(chan struct{}), validate: validate}
}

// Get returns the current fault document.
func (f *Faults[T]) Get() T {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.current
}

// Watch returns the current document and a channel that is closed when the document is replaced.
func (f *Faults[T]) Watch() (T, <-chan struct{}) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.current, f.replaced
}

// Set validates and replaces the document.
func (f *Faults[T]) Set(t T) error {
	if f.validate != nil {
		if err := f.validate(t); err != nil {
			return err
		}
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.current = t
	close(f.replaced)
	f.replaced = make(chan struct{})
	return nil
}

// Update changes the document in place, for faults that count down, and returns the result of update. It does not wake watchers.
func (f *Faults[T]) Update(update func(*T) bool) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return update(&f.current)
}

// WaitWhile blocks while the condition holds for the document. It returns false if the context ends first.
func (f *Faults[T]) WaitWhile(ctx context.Context, condition func(T) bool) bool {
	for {
		t, replaced := f.Watch()
		if !condition(t) {
			return ctx.Err() == nil
		}
		select {
		case <-replaced:
		case <-ctx.Done():
			return false
		}
	}
}

// Register adds the routes POST /faults, which replaces the document, and GET /faults, which returns it.
func (f *Faults[T]) Register(m *http.ServeMux) {
	m.HandleFunc("GET /faults", func(w http.ResponseWriter, _ *http.Request) {
		WriteJSON(w, http.StatusOK, f.Get())
	})
	m.HandleFunc("POST /faults", func(w http.ResponseWriter, r *http.Request) {
		var t T
		err := DecodeStrict(r.Body, &t)
		if err == nil {
			err = f.Set(t)
		}
		if err != nil {
			WriteProblem(w, http.StatusBadRequest, err.Error())
			return
		}
		WriteJSON(w, http.StatusOK, t)
	})
}

// Validate returns an error for a negative count or a probability outside 0 to 1.
func (t FaultTrigger) Validate() error {
	if t.Next < 0 || t.Probability < 0 || t.Probability > 1 {
		return errors.New("next must not be negative and probability must be from 0 to 1")
	}
	return nil
}

// Fire reports whether the fault occurs now, and decrements Next if it is positive.
func (t *FaultTrigger) Fire() bool {
	if t.Next > 0 {
		t.Next--
		return true
	}
	return rand.Float64() < t.Probability
}

// Sleep waits for the duration. It returns false if the context ends first.
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

// Milliseconds returns the duration of n milliseconds.
func Milliseconds(n int64) time.Duration {
	return time.Duration(n) * time.Millisecond
}
