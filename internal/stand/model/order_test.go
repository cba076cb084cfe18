package model

import (
	"context"
	"encoding/json"
	"net/http"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/fireflycleat/fireflycleat/internal/stand"
	"github.com/fireflycleat/fireflycleat/internal/wire"
)

func loadOrder(id string, fence int64, model string, bytes int64) wire.Order {
	return wire.Order{ID: id, Fence: fence, Op: wire.OpLoad, Model: model, Version: "1", Bytes: bytes}
}

// An order with a fence below the highest one must be rejected, unless the engine does not check fences.
func TestFencing(t *testing.T) {
	for _, checks := range []bool{true, false} {
		runEngineTest(t, func(s *Settings) { s.ChecksFence = checks }, func(b *engineTest) {
			status, _ := b.order(wire.Order{ID: "f", Fence: 7, Op: wire.OpFence})
			b.Check(status, qt.Equals, 202)
			status, a := b.order(loadOrder("old", 6, "m", 1))
			if !checks {
				b.Check([]any{status, a.State, b.engine.Status().HighestFence}, qt.DeepEquals, []any{202, wire.OrderPending, int64(0)})
				return
			}
			b.Check([]any{status, a.State, b.engine.Status().HighestFence}, qt.DeepEquals, []any{409, wire.OrderStale, int64(7)})
			b.Check([]any{b.state("old"), b.engine.Audit().StaleOrders, len(b.engine.Status().Replicas)}, qt.DeepEquals, []any{wire.OrderStale, 1, 0})
			status, _ = b.order(loadOrder("same", 7, "m", 1))
			b.Check(status, qt.Equals, 202)
		})
	}
}

// A repeated order must not load twice, and an order whose answer was lost must remain applied.
func TestOrdersAreIdempotent(t *testing.T) {
	runEngineTest(t, nil, func(b *engineTest) {
		b.setFaults(Faults{LostAnswers: stand.FaultTrigger{Next: 1}})
		status, _ := b.order(loadOrder("1", 1, "m", 1000))
		b.Check([]any{status, b.state("1")}, qt.DeepEquals, []any{0, wire.OrderPending})
		b.Check(b.engine.Status().OrdersPending, qt.Equals, 1)
		for _, want := range []wire.OrderState{wire.OrderPending, wire.OrderDone} {
			status, a := b.order(loadOrder("1", 1, "m", 1000))
			b.Check([]any{status, a.State}, qt.DeepEquals, []any{202, want})
			time.Sleep(1100 * time.Millisecond)
		}
		status, _ = b.order(loadOrder("1", 1, "m", 999))
		b.Check(status, qt.Equals, 400)
		a := b.engine.Audit()
		b.Check([]any{a.Loads, a.UsedBytesMax, a.Models}, qt.DeepEquals, []any{1, int64(1000), []wire.ModelAudit{{Model: "m", MaxReplicas: 1}}})
		b.Check([]any{b.state("none"), b.call(http.MethodGet, "/v1/orders/none", "").status}, qt.DeepEquals, []any{wire.OrderUnknown, 404})
		for _, bad := range []string{`{}`, `{"id":"x","op":"dance","model":"m"}`, `{"id":"x","op":"load"}`, `{"id":"x","op":"loadAdapter","model":"m"}`, `{"id":"x","op":"load","model":"m","bytes":-1}`, `{"idd":"x"}`} {
			b.Check(b.call(http.MethodPost, "/v1/orders", bad).status, qt.Equals, 400, qt.Commentf("%s", bad))
		}
	})
}

// The audit must count a second replica and overcommitted memory, since the engine itself allows both.
func TestViolationsAreCounted(t *testing.T) {
	runEngineTest(t, nil, func(b *engineTest) {
		b.load("m", 3000)
		b.Check(b.engine.Audit().CapacityExceeded, qt.Equals, 0)
		b.load("m", 3000)
		a := b.engine.Audit()
		b.Check([]any{a.Loads, a.CapacityExceeded, a.UsedBytesMax, a.Models[0].MaxReplicas}, qt.DeepEquals, []any{2, 1, int64(6000), 2})
		b.order(wire.Order{ID: "u", Fence: 1, Op: wire.OpUnload, Model: "m"})
		a = b.engine.Audit()
		b.Check([]any{b.engine.Status().UsedBytes, a.Replicas[0].To.IsZero(), a.Replicas[1].To.IsZero()}, qt.DeepEquals, []any{int64(3000), false, true})
	})
}

// A failed load must release its memory, and a crash during a load must start a new incarnation without orders, fence and replicas.
func TestLoadFaults(t *testing.T) {
	runEngineTest(t, nil, func(b *engineTest) {
		first := b.engine.Status().Incarnation
		b.setFaults(Faults{LoadFails: stand.FaultTrigger{Next: 1}})
		b.order(loadOrder("fails", 1, "m", 2000))
		time.Sleep(990 * time.Millisecond)
		b.Check([]any{b.state("fails"), b.engine.Status().UsedBytes}, qt.DeepEquals, []any{wire.OrderPending, int64(2000)})
		time.Sleep(20 * time.Millisecond)
		b.Check([]any{b.state("fails"), b.engine.Status().UsedBytes}, qt.DeepEquals, []any{wire.OrderFailed, int64(0)})

		b.load("kept", 100)
		b.setFaults(Faults{CrashDuringLoad: stand.FaultTrigger{Next: 1}})
		b.order(loadOrder("dies", 1, "m", 2000))
		time.Sleep(1010 * time.Millisecond)
		s := b.engine.Status()
		b.Check([]any{b.state("dies"), s.UsedBytes, s.HighestFence, len(s.Replicas)}, qt.DeepEquals, []any{wire.OrderUnknown, int64(0), int64(0), 0})
		b.Check([]any{s.Incarnation != first, b.engine.Audit().Restarts}, qt.DeepEquals, []any{true, 1})
		for _, span := range b.engine.Audit().Replicas {
			b.Check(span.To.IsZero(), qt.IsFalse, qt.Commentf("%v", span))
		}
		b.load("m", 2000)
	})
}

// An unload must let accepted requests finish, reject new ones, and free the memory only afterwards.
func TestUnloadDrains(t *testing.T) {
	runEngineTest(t, func(s *Settings) { s.Slots = 1 }, func(b *engineTest) {
		b.load("m", 1000)
		var g sync.WaitGroup
		for range 2 {
			g.Go(func() {
				_, done := b.tokens(b.chat(b.Context(), "m", "p", 10), 0)
				b.Check(done, qt.IsTrue)
			})
		}
		time.Sleep(time.Millisecond)
		b.order(wire.Order{ID: "u", Fence: 1, Op: wire.OpUnload, Model: "m", Version: "1"})
		a := b.chat(b.Context(), "m", "p", 1)
		b.Check([]any{a.status, a.notRun}, qt.DeepEquals, []any{503, true})
		time.Sleep(190 * time.Millisecond)
		b.Check([]any{b.state("u"), b.engine.Status().UsedBytes}, qt.DeepEquals, []any{wire.OrderPending, int64(1000)})
		g.Wait()
		b.Check([]any{b.state("u"), b.engine.Status().UsedBytes}, qt.DeepEquals, []any{wire.OrderDone, int64(0)})

		b.order(loadOrder("l", 1, "n", 3000))
		b.order(wire.Order{ID: "u2", Fence: 1, Op: wire.OpUnload, Model: "n"})
		b.Check([]any{b.state("l"), b.state("u2"), b.engine.Status().UsedBytes}, qt.DeepEquals, []any{wire.OrderFailed, wire.OrderDone, int64(0)})
		time.Sleep(5 * time.Second)
		b.Check([]any{b.state("l"), b.engine.Audit().Loads}, qt.DeepEquals, []any{wire.OrderFailed, 1})
	})
}

// A load must take the time of the fastest tier that has the checkpoint, and a restart must clear only the memory tier.
func TestTiers(t *testing.T) {
	var remote []wire.StoreLoadRequest
	runEngineTest(t, func(s *Settings) {
		s.Cached = []wire.CachedCopy{{Model: "d", Version: "1", Tier: wire.TierDisk}}
		s.Remote = func(ctx context.Context, l wire.StoreLoadRequest) error {
			remote = append(remote, l)
			stand.Sleep(ctx, 2*time.Duration(l.Micros)*time.Microsecond)
			return nil
		}
	}, func(b *engineTest) {
		for _, ts := range []struct {
			model string
			want  time.Duration
		}{
			{"d", 500 * time.Millisecond}, {"d", 250 * time.Millisecond}, // from disk, then from memory
			{"r", 2 * time.Second}, {"r", 250 * time.Millisecond}, // from the store at half speed
			{"d", 500 * time.Millisecond},                  // evicted from memory by r
			{"x", 2 * time.Second}, {"r", 2 * time.Second}, // evicted from disk by d and x
		} {
			start := time.Now()
			b.load(ts.model, 1000)
			b.Check(time.Since(start), qt.Equals, ts.want, qt.Commentf("%v", ts))
			b.order(wire.Order{ID: start.String(), Fence: 1, Op: wire.OpUnload, Model: ts.model})
		}
		b.Check(remote[0], qt.Equals, wire.StoreLoadRequest{Model: "r", Version: "1", Micros: 1e6})
		b.engine.Restart()
		b.Check(b.engine.Status().Cached, qt.DeepEquals, []wire.CachedCopy{{Model: "r", Version: "1", Tier: wire.TierDisk}, {Model: "x", Version: "1", Tier: wire.TierDisk}})
	})
}

// An adapter must load only onto a loaded model, and requests for it must fail after its unload.
func TestAdapters(t *testing.T) {
	runEngineTest(t, nil, func(b *engineTest) {
		adapter := wire.Order{ID: "early", Fence: 1, Op: wire.OpLoadAdapter, Model: "m", Adapter: "a"}
		_, a := b.order(adapter)
		b.Check(a.State, qt.Equals, wire.OrderFailed)
		b.load("m", 100)
		adapter.ID = "a"
		b.order(adapter)
		time.Sleep(5 * time.Millisecond)
		b.Check(b.state("a"), qt.Equals, wire.OrderPending)
		time.Sleep(16 * time.Millisecond)
		b.Check([]any{b.state("a"), b.engine.Status().Replicas[0].Adapters, b.engine.Audit().AdapterLoads}, qt.DeepEquals, []any{wire.OrderDone, []string{"a"}, 1})
		got, _ := b.tokens(b.chat(b.Context(), "m:a", "p", 5), 0)
		b.Check(got, qt.DeepEquals, expectedTokens("m:a", "p", 5))
		b.order(wire.Order{ID: "u", Fence: 1, Op: wire.OpUnloadAdapter, Model: "m", Adapter: "a"})
		b.Check(b.chat(b.Context(), "m:a", "p", 5).status, qt.Equals, 404)
	})
}

// Load figures must be delayed but replicas must not; cache events must be delayed and have gaps.
func TestReportsAreDelayed(t *testing.T) {
	runEngineTest(t, func(s *Settings) {
		s.StatusLag, s.EventLag, s.EventLoss, s.PrefixBlocks = 100*time.Millisecond, time.Second, 0.5, 20
	}, func(b *engineTest) {
		b.load("m", 100)
		go b.chat(b.Context(), "m", strings.Repeat("w ", 16*40), 15)
		for _, want := range []int{0, 1, 0} {
			time.Sleep(99 * time.Millisecond)
			synctest.Wait()
			s := b.engine.Status()
			b.Check([]any{s.Running, s.Replicas[0].Running, s.Replicas[0].Ready}, qt.DeepEquals, []any{want, want, true})
			b.Check(time.Since(s.ReportedAt), qt.Equals, 100*time.Millisecond)
		}
		events := func(path string) (a wire.EventsResponse) {
			b.Assert(json.Unmarshal([]byte(b.call(http.MethodGet, path, "").body), &a), qt.IsNil)
			return a
		}
		b.Check(events("/v1/events").Events, qt.HasLen, 0)
		time.Sleep(time.Second)
		a := events("/v1/events?from=1")
		n := len(a.Events) // There are 60 events: 40 blocks stored and 20 evicted.
		b.Check(n > 5 && n < 55 && a.Next > int64(n), qt.IsTrue, qt.Commentf("%d events, next %d", n, a.Next))
		b.Check(events("/v1/events?from=1&limit=3").Events, qt.DeepEquals, a.Events[:3])
		b.setFaults(Faults{StatusDelayMillis: 300})
		b.Check(b.call(http.MethodGet, "/v1/status", "").took, qt.Equals, 300*time.Millisecond)
	})
}
