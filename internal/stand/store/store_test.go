package store

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"github.com/fireflycleat/fireflycleat/internal/wire"
)

func within(got, want time.Duration) bool { return (got - want).Abs() <= time.Millisecond }

// Loads that start together must share the speed of the slots, also when there are more loads than slots.
func TestSharing(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		slots := rapid.IntRange(1, 5).Draw(r, "slots")
		loads := rapid.IntRange(1, 12).Draw(r, "loads")
		adapter := rapid.SampledFrom([]string{"", "a"}).Draw(r, "adapter")
		slowdown := rapid.Float64Range(1, 4).Draw(r, "slowdown")
		synctest.Test(t, func(t *testing.T) {
			s := New(Settings{Slots: slots, AdapterSlots: slots})
			defer s.Close()
			qt.Assert(t, s.SetFaults(Faults{Slowdown: slowdown}), qt.IsNil)
			start := time.Now()
			var g sync.WaitGroup
			for range loads {
				g.Go(func() {
					if err := s.Load(t.Context(), wire.StoreLoadRequest{Model: "m", Adapter: adapter, Micros: 1e6}); err != nil {
						t.Error(err)
					}
				})
			}
			g.Wait()
			want := time.Duration(slowdown * max(1, float64(loads)/float64(slots)) * float64(time.Second))
			if got := time.Since(start); !within(got, want) {
				t.Errorf("%d loads on %d slots took %v, want %v", loads, slots, got, want)
			}
		})
	})
}

// A slowdown must also apply to loads in progress, and starts must keep to the rate.
func TestRateAndSlowdownInProgress(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := New(Settings{LoadsPerSecond: 2, Slots: 4})
		defer s.Close()
		start, ends := time.Now(), make([]time.Duration, 3)
		var g sync.WaitGroup
		for i := range ends {
			time.Sleep(time.Millisecond) // Loads start in the order of arrival.
			g.Go(func() {
				_ = s.Load(t.Context(), wire.StoreLoadRequest{Model: "m", Micros: 2e6})
				ends[i] = time.Since(start)
			})
		}
		time.Sleep(999 * time.Millisecond)
		_ = s.SetFaults(Faults{Slowdown: 2}) // At 1 s all three loads have started: at 0, 0.5 and 1.0 s.
		qt.Check(t, s.Status().InUse, qt.Equals, 3)
		g.Wait()
		for i, want := range []time.Duration{3000, 4000, 5000} {
			qt.Check(t, (ends[i]-want*time.Millisecond).Abs() < 10*time.Millisecond, qt.IsTrue, qt.Commentf("%d: %v", i, ends[i]))
		}
	})
}

// A load whose caller cancels it must release its share of the speed, or later loads would stay slow.
func TestAbandonedLoad(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := New(Settings{Slots: 1})
		defer s.Close()
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		go func() { _ = s.Load(ctx, wire.StoreLoadRequest{Model: "m", Micros: 60e6}) }()
		start := time.Now()
		qt.Assert(t, s.Load(t.Context(), wire.StoreLoadRequest{Model: "n", Micros: 2e6}), qt.IsNil)
		qt.Check(t, within(time.Since(start), 2500*time.Millisecond), qt.IsTrue, qt.Commentf("%v", time.Since(start)))
	})
}

// The client must return an error for a rejected load, or an engine would consider the model loaded.
func TestOverHTTP(t *testing.T) {
	c, s := qt.New(t), New(Settings{Slots: 1})
	srv := httptest.NewServer(s.Handler())
	defer srv.Close()
	defer s.Close()
	cl := NewClient(strings.TrimPrefix(srv.URL, "http://"))
	c.Check(cl.Load(t.Context(), wire.StoreLoadRequest{Model: "m", Micros: 1000}), qt.IsNil)
	c.Check(cl.Load(t.Context(), wire.StoreLoadRequest{Micros: 1000}), qt.ErrorMatches, ".*400.*")
	a, err := http.Post(srv.URL+"/faults", "", strings.NewReader(`{"outage":true}`))
	c.Assert(err, qt.IsNil)
	c.Check(a.Body.Close(), qt.IsNil)
	c.Check(cl.Load(t.Context(), wire.StoreLoadRequest{Model: "m", Micros: 1000}), qt.ErrorMatches, ".*503.*")
	c.Check(s.SetFaults(Faults{Slowdown: 0.5}), qt.IsNotNil)
}
