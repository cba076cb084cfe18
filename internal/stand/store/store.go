package store

import (
	"context"
	"errors"
	"net/http"
	"sync"
	"time"

	"github.com/fireflycleat/fireflycleat/internal/stand"
	"github.com/fireflycleat/fireflycleat/internal/wire"
)

type (
	// Settings are the fixed properties of a weight store.
	Settings struct {
		LoadsPerSecond float64 // limit for the starts of model loads; zero means no limit
		Slots          int     // number of concurrent model loads that run at full speed
		AdapterSlots   int     // number of concurrent adapter loads that run at full speed
	}

	// Faults is the fault document of a weight store.
	Faults struct {
		// Slowdown divides the speed of all loads; zero means 1.
		Slowdown float64 `json:"slowdown,omitempty"`
		Outage   bool    `json:"outage,omitempty"` // whether to reject new loads with status 503
	}

	// Store simulates a weight store: a load takes its time but transfers no data.
	Store struct {
		settings Settings
		faults   *stand.Faults[Faults]
		ctx      context.Context // ends when the store is closed
		cancel   context.CancelFunc
		models   *sharedCapacity
		adapters *sharedCapacity
		mu       sync.Mutex
		bucket   *stand.TokenBucket
	}
)

var errOutage = errors.New("weight store is unavailable")

// New returns a store with no loads in progress.
func New(settings Settings) *Store {
	ctx, cancel := context.WithCancel(context.Background())
	s := &Store{
		settings: settings, ctx: ctx, cancel: cancel,
		models: newSharedCapacity(settings.Slots), adapters: newSharedCapacity(settings.AdapterSlots),
		bucket: stand.NewTokenBucket(settings.LoadsPerSecond, 1),
	}
	s.faults = stand.NewFaults(s.applySlowdown)
	return s
}

// Close ends all loads.
func (s *Store) Close() { s.cancel() }

// SetFaults replaces the fault document.
func (s *Store) SetFaults(f Faults) error { return s.faults.Set(f) }

// applySlowdown validates the slowdown and applies it, also to loads in progress.
func (s *Store) applySlowdown(f Faults) error {
	if f.Slowdown != 0 && f.Slowdown < 1 {
		return errors.New("slowdown must be zero or at least 1")
	}
	s.models.setSlowdown(f.Slowdown)
	s.adapters.setSlowdown(f.Slowdown)
	return nil
}

// Load blocks for the duration of a load. It returns an error during an outage, or if the context or the store ends first.
func (s *Store) Load(ctx context.Context, l wire.StoreLoadRequest) error {
	_, err := s.load(ctx, l)
	return err
}

func (s *Store) load(ctx context.Context, l wire.StoreLoadRequest) (wire.StoreLoadResponse, error) {
	if s.faults.Get().Outage {
		return wire.StoreLoadResponse{}, errOutage
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	defer context.AfterFunc(s.ctx, cancel)()
	arrived, capacity := time.Now(), s.adapters
	if l.Adapter == "" {
		capacity = s.models
		s.mu.Lock()
		due := s.bucket.Reserve(arrived)
		s.mu.Unlock()
		if !stand.Sleep(ctx, due) {
			return wire.StoreLoadResponse{}, ctx.Err()
		}
	}
	started := time.Now()
	err := capacity.run(ctx, time.Duration(l.Micros)*time.Microsecond)
	return wire.StoreLoadResponse{
		WaitedMicros: started.Sub(arrived).Microseconds(), TookMicros: time.Since(started).Microseconds(),
	}, err
}

// Status returns the current usage of the store.
func (s *Store) Status() wire.StoreStatus {
	return wire.StoreStatus{
		LoadsPerSecond: s.settings.LoadsPerSecond, Slots: s.settings.Slots,
		InUse: s.models.activeJobs(), Slowdown: max(1, s.faults.Get().Slowdown),
	}
}

// Handler returns the HTTP interface of the store.
func (s *Store) Handler() http.Handler {
	m := http.NewServeMux()
	s.faults.Register(m)
	m.HandleFunc("GET /v1/status", func(w http.ResponseWriter, _ *http.Request) {
		stand.WriteJSON(w, http.StatusOK, s.Status())
	})
	m.HandleFunc("POST /v1/loads", s.postLoad)
	return stand.BufferBodies(m)
}

func (s *Store) postLoad(w http.ResponseWriter, r *http.Request) {
	var l wire.StoreLoadRequest
	if err := stand.DecodeStrict(r.Body, &l); err != nil || l.Model == "" || l.Micros < 0 {
		stand.WriteProblem(w, http.StatusBadRequest, "load must have a model and a non-negative time")
		return
	}
	done, err := s.load(r.Context(), l)
	switch {
	case errors.Is(err, errOutage):
		stand.WriteProblem(w, http.StatusServiceUnavailable, err.Error())
	case err != nil:
		stand.AbortConnection()
	default:
		stand.WriteJSON(w, http.StatusOK, done)
	}
}
