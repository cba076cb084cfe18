package plain

import (
	"context"
	"errors"
	"net/http"
	"sync"
	"time"

	"github.com/fireflycleat/fireflycleat/internal/stand"
	"github.com/fireflycleat/fireflycleat/internal/wire"
)

// HeaderKey is the header that carries the idempotency key of a call.
const HeaderKey = "Idempotency-Key"

type (
	// Settings are the fixed properties of a plain service.
	Settings struct {
		Delay time.Duration // duration of a call
	}

	// Faults is the fault document of a plain service.
	Faults struct {
		DelayMillis int64              `json:"delayMillis,omitempty"` // added to the duration of a call
		LostAnswers stand.FaultTrigger `json:"lostAnswers"`           // runs the call and closes the connection without a response
		Refuse      stand.FaultTrigger `json:"refuse"`                // rejects calls before they run
		HangBefore  bool               `json:"hangBefore,omitempty"`  // whether to block calls before they run
		HangAfter   bool               `json:"hangAfter,omitempty"`   // whether to block the responses of calls that ran
	}

	// Answer is the response to a call that ran.
	Answer struct {
		Path string `json:"path"`
		Run  int    `json:"run"` // number of calls that the service has run so far, including this one
	}

	// Service is a plain service that counts its calls.
	Service struct {
		settings    Settings
		faults      *stand.Faults[Faults]
		ctx         context.Context // ends when the service is closed
		cancel      context.CancelFunc
		mu          sync.Mutex
		runsByKey   map[string]int
		unkeyedRuns int
		totalRuns   int
	}
)

// New returns a service that has run no calls.
func New(settings Settings) *Service {
	ctx, cancel := context.WithCancel(context.Background())
	return &Service{
		settings: settings, faults: stand.NewFaults(Faults.validate),
		ctx: ctx, cancel: cancel, runsByKey: make(map[string]int),
	}
}

// Close ends all calls in progress.
func (s *Service) Close() { s.cancel() }

// SetFaults replaces the fault document.
func (s *Service) SetFaults(f Faults) error { return s.faults.Set(f) }

// Runs returns the number of calls that ran with the key.
func (s *Service) Runs(key string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.runsByKey[key]
}

// Totals returns the counts over all keys.
func (s *Service) Totals() wire.PlainTotals {
	s.mu.Lock()
	defer s.mu.Unlock()
	t := wire.PlainTotals{Runs: s.totalRuns, Keys: len(s.runsByKey), Unkeyed: s.unkeyedRuns}
	for _, n := range s.runsByKey {
		if n > 1 {
			t.Repeated++
		}
	}
	return t
}

// Handler returns the HTTP interface of the service.
func (s *Service) Handler() http.Handler {
	m := http.NewServeMux()
	s.faults.Register(m)
	m.HandleFunc("GET /v1/runs", func(w http.ResponseWriter, r *http.Request) {
		if q := r.URL.Query(); q.Has("key") {
			stand.WriteJSON(w, http.StatusOK, wire.PlainRuns{Runs: s.Runs(q.Get("key"))})
			return
		}
		stand.WriteJSON(w, http.StatusOK, s.Totals())
	})
	m.HandleFunc("/{path...}", s.call)
	return stand.BufferBodies(m)
}

func (s *Service) call(w http.ResponseWriter, r *http.Request) {
	ctx, cancel := context.WithCancel(r.Context())
	defer cancel()
	defer context.AfterFunc(s.ctx, cancel)()
	if !s.faults.WaitWhile(ctx, func(f Faults) bool { return f.HangBefore }) {
		stand.AbortConnection()
	}
	if s.faults.Update(func(f *Faults) bool { return f.Refuse.Fire() }) {
		stand.RejectNotRun(w, http.StatusServiceUnavailable, "service rejects calls")
		return
	}
	run := s.recordRun(r.Header.Get(HeaderKey))
	f := s.faults.Get()
	ok := stand.Sleep(ctx, s.settings.Delay+stand.Milliseconds(f.DelayMillis)) &&
		s.faults.WaitWhile(ctx, func(f Faults) bool { return f.HangAfter })
	if !ok || s.faults.Update(func(f *Faults) bool { return f.LostAnswers.Fire() }) {
		stand.AbortConnection()
	}
	stand.WriteJSON(w, http.StatusOK, Answer{Path: r.URL.Path, Run: run})
}

func (s *Service) recordRun(key string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.totalRuns++
	if key == "" {
		s.unkeyedRuns++
	} else {
		s.runsByKey[key]++
	}
	return s.totalRuns
}

func (f Faults) validate() error {
	if f.DelayMillis < 0 {
		return errors.New("delayMillis must not be negative")
	}
	return errors.Join(f.LostAnswers.Validate(), f.Refuse.Validate())
}
