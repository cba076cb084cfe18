package node

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/fireflycleat/fireflycleat/pkg/fleet"
)

// TestLongListIsReadInTheEnd guards against a hub that never gets the list of thousands of upstreams from a busy store: each read ended in the
// middle of the list, and the next one had no more time.
func TestLongListIsReadInTheEnd(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := newTestNode(Settings{Limits: LimitSettings{LeaveMS: 3000, ConfigMS: 3000}})
		n.bootNow, n.hasList, n.parent = time.Now, false, ""
		var reads atomic.Int64 // one that ends early, one of the complete list, and the next one
		n.platform.Upstreams = func(ctx context.Context, _ Cursor) (ListChanges, error) {
			reads.Add(1)
			if !sleep(ctx, time.Second) {
				return ListChanges{Begun: true}, ctx.Err()
			}
			return ListChanges{Complete: true, Put: []fleet.Upstream{{ID: "u"}}, Cursor: Cursor{Era: 1, Next: 2}}, nil
		}
		n.direct.Store(true)
		ctx, cancel := context.WithCancel(t.Context())
		go func() { _ = n.control.Run() }()
		go n.watchList(ctx)
		time.Sleep(1800 * time.Millisecond)
		has := false
		n.control.Ask(func() { has = n.hasList })
		qt.Check(t, has, qt.IsTrue)
		qt.Check(t, reads.Load() <= 3, qt.IsTrue, qt.Commentf("%d reads", reads.Load()))
		cancel()
		n.control.Stop()
		synctest.Wait()
	})
}

// TestHostWithASlowLinkLeavesALongListToHubs guards against hundreds of hosts that read a list from the store, because their hubs are stale, which their
// links of 10 Mbit/s can't carry in the time of a read: they learned of a configuration more than 4 s late, and hubs got no list either.
func TestHostWithASlowLinkLeavesALongListToHubs(t *testing.T) {
	for _, x := range []struct {
		mbps          float64
		bytes         int
		dependent, to bool
	}{{10, 2_800_000, true, false}, {10, 2_800_000, false, true}, {200, 2_800_000, true, true}, {10, 60_000, true, true}, {0, 2_800_000, true, true}} {
		synctest.Test(t, func(t *testing.T) {
			n := newTestNode(Settings{Host: HostSettings{LinkMbps: x.mbps}, Limits: LimitSettings{LeaveMS: 3000, ConfigMS: 3000, ContactMS: 4000}})
			n.bootNow = time.Now
			var lists, configs atomic.Int64
			n.platform.Upstreams = func(context.Context, Cursor) (ListChanges, error) {
				lists.Add(1)
				return ListChanges{}, context.DeadlineExceeded
			}
			n.platform.Config = func(context.Context, Cursor, time.Duration) ([]byte, Cursor, error) {
				configs.Add(1)
				return nil, Cursor{}, context.DeadlineExceeded
			}
			n.applyFeed(Member{Name: "hub", Incarnation: "hub.1"}, &Feed{ListBytes: x.bytes}, time.Now())
			n.direct.Store(true)
			n.dependent.Store(x.dependent)
			ctx, cancel := context.WithCancel(t.Context())
			go func() { _ = n.control.Run() }()
			go n.watchList(ctx)
			go n.watchConfig(ctx)
			time.Sleep(time.Second)
			qt.Check(t, lists.Load() > 0, qt.Equals, x.to, qt.Commentf("%+v", x))
			active := false
			n.control.Ask(func() { active = n.outage.active(time.Now()) })
			qt.Check(t, active || x.to, qt.IsTrue, qt.Commentf("%d failed reads of the configuration show an outage", configs.Load()))
			cancel()
			n.control.Stop()
			synctest.Wait()
		})
	}
}
