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

// HeaderKey names the idempotency key of a call.
const HeaderKey = "Idempotency-Key"

type (
	// Settings are the fixed properties of a service.
	Settings struct {
		Delay time.Duration // Delay is the time that a call takes.
	}

	// Faults are the faults of a service.
	Faults struct {
		DelayMillis int64      `json:"delayMillis,omitempty"` // DelayMillis is added to the time of a call.
		LostAnswers stand.Loss `json:"lostAnswers"`           // LostAnswers runs calls and closes the connection.
		Refuse      stand.Loss `json:"refuse"`                // Refuse refuses calls before they run.
		HangBefore  bool       `json:"hangBefore,omitempty"`  // HangBefore holds calls before they run.
		HangAfter   bool       `json:"hangAfter,omitempty"`   // HangAfter holds the answers of calls that ran.
	}

	// Answer answers a call that ran.
	Answer struct {
		Path string `json:"path"`
		Run  int    `json:"run"` // Run is the number of runs of the service so far.
	}

	// Service is a plain service.
	Service struct {
		set     Settings
		faults  *stand.Faults[Faults]
		ctx     context.Context // ctx ends when the service is closed.
		stop    context.CancelFunc
		mu      sync.Mutex
		runs    map[string]int
		unkeyed int
		total   int
	}
)

// New returns a service that ran nothing yet.
func New(set Settings) *Service {
	ctx, stop := context.WithCancel(context.Background())
	return &Service{
		set: set, faults: stand.NewFaults(Faults.check),
		ctx: ctx, stop: stop, runs: make(map[string]int),
	}
}

// Close ends all calls.
func (s *Service) Close() { s.stop() }

// SetFaults replaces the faults.
func (s *Service) SetFaults(f Faults) error { return s.faults.Set(f) }

// Runs returns how often the key ran.
func (s *Service) Runs(key string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.runs[key]
}

// Totals returns the counts over all keys.
func (s *Service) Totals() wire.PlainTotals {
	s.mu.Lock()
	defer s.mu.Unlock()
	t := wire.PlainTotals{Runs: s.total, Keys: len(s.runs), Unkeyed: s.unkeyed}
	for _, n := range s.runs {
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
			stand.Reply(w, http.StatusOK, wire.PlainRuns{Runs: s.Runs(q.Get("key"))})
			return
		}
		stand.Reply(w, http.StatusOK, s.Totals())
	})
	m.HandleFunc("/{path...}", s.call)
	return stand.ReadBodies(m)
}

func (s *Service) call(w http.ResponseWriter, r *http.Request) {
	ctx, cancel := context.WithCancel(r.Context())
	defer cancel()
	defer context.AfterFunc(s.ctx, cancel)()
	if !s.faults.Hold(ctx, func(f Faults) bool { return f.HangBefore }) {
		stand.Drop()
	}
	if s.faults.Spend(func(f *Faults) bool { return f.Refuse.Hit() }) {
		stand.NotRun(w, http.StatusServiceUnavailable, "service refuses calls")
		return
	}
	run := s.count(r.Header.Get(HeaderKey))
	f := s.faults.Get()
	ok := stand.Sleep(ctx, s.set.Delay+stand.Millis(f.DelayMillis)) &&
		s.faults.Hold(ctx, func(f Faults) bool { return f.HangAfter })
	if !ok || s.faults.Spend(func(f *Faults) bool { return f.LostAnswers.Hit() }) {
		stand.Drop()
	}
	stand.Reply(w, http.StatusOK, Answer{Path: r.URL.Path, Run: run})
}

func (s *Service) count(key string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.total++
	if key == "" {
		s.unkeyed++
	} else {
		s.runs[key]++
	}
	return s.total
}

func (f Faults) check() error {
	if f.DelayMillis < 0 {
		return errors.New("delayMillis is negative")
	}
	return errors.Join(f.LostAnswers.Check(), f.Refuse.Check())
}
