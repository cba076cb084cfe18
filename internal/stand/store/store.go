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
		LoadsPerSecond float64 // LoadsPerSecond limits the starts of model loads; zero means no limit.
		Slots          int     // Slots is the number of model loads at once at full speed.
		AdapterSlots   int     // AdapterSlots is the number of adapter loads at once at full speed.
	}

	// Faults are the faults of a weight store.
	Faults struct {
		// Slowdown divides the speed of all loads; zero means 1.
		Slowdown float64 `json:"slowdown,omitempty"`
		Outage   bool    `json:"outage,omitempty"` // Outage refuses new loads with 503.
	}

	// Store is a weight store.
	Store struct {
		set      Settings
		faults   *stand.Faults[Faults]
		ctx      context.Context // ctx ends when the store is closed.
		stop     context.CancelFunc
		models   *share
		adapters *share
		mu       sync.Mutex
		bucket   *stand.Bucket
	}
)

var errOutage = errors.New("weight store is down")

// New returns an idle store.
func New(set Settings) *Store {
	ctx, stop := context.WithCancel(context.Background())
	s := &Store{
		set: set, ctx: ctx, stop: stop,
		models: newShare(set.Slots), adapters: newShare(set.AdapterSlots),
		bucket: stand.NewBucket(set.LoadsPerSecond, 1),
	}
	s.faults = stand.NewFaults(s.apply)
	return s
}

// Close ends all loads.
func (s *Store) Close() { s.stop() }

// SetFaults replaces the faults.
func (s *Store) SetFaults(f Faults) error { return s.faults.Set(f) }

// apply puts the slowdown into force for loads in progress too.
func (s *Store) apply(f Faults) error {
	if f.Slowdown != 0 && f.Slowdown < 1 {
		return errors.New("slowdown is below 1")
	}
	s.models.setSlowdown(f.Slowdown)
	s.adapters.setSlowdown(f.Slowdown)
	return nil
}

// Load takes the time of a load, and fails during an outage or when the context or the store ends.
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
	arrived, sh := time.Now(), s.adapters
	if l.Adapter == "" {
		sh = s.models
		s.mu.Lock()
		due := s.bucket.Reserve(arrived)
		s.mu.Unlock()
		if !stand.Sleep(ctx, due) {
			return wire.StoreLoadResponse{}, ctx.Err()
		}
	}
	started := time.Now()
	err := sh.run(ctx, time.Duration(l.Micros)*time.Microsecond)
	return wire.StoreLoadResponse{
		WaitedMicros: started.Sub(arrived).Microseconds(), TookMicros: time.Since(started).Microseconds(),
	}, err
}

// Status returns the present use of the store.
func (s *Store) Status() wire.StoreStatus {
	return wire.StoreStatus{
		LoadsPerSecond: s.set.LoadsPerSecond, Slots: s.set.Slots,
		InUse: s.models.inUse(), Slowdown: max(1, s.faults.Get().Slowdown),
	}
}

// Handler returns the HTTP interface of the store.
func (s *Store) Handler() http.Handler {
	m := http.NewServeMux()
	s.faults.Register(m)
	m.HandleFunc("GET /v1/status", func(w http.ResponseWriter, _ *http.Request) {
		stand.Reply(w, http.StatusOK, s.Status())
	})
	m.HandleFunc("POST /v1/loads", s.postLoad)
	return stand.ReadBodies(m)
}

func (s *Store) postLoad(w http.ResponseWriter, r *http.Request) {
	var l wire.StoreLoadRequest
	if err := stand.Decode(r.Body, &l); err != nil || l.Model == "" || l.Micros < 0 {
		stand.Fail(w, http.StatusBadRequest, "not a load with a model and a time")
		return
	}
	done, err := s.load(r.Context(), l)
	switch {
	case errors.Is(err, errOutage):
		stand.Fail(w, http.StatusServiceUnavailable, err.Error())
	case err != nil:
		stand.Drop()
	default:
		stand.Reply(w, http.StatusOK, done)
	}
}
