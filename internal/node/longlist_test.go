package node

import (
	"context"
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
		reads := 0 // one that ends early, one of the complete list, and the next one
		n.platform.Upstreams = func(ctx context.Context, _ Cursor) (ListChanges, error) {
			reads++
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
		qt.Check(t, reads <= 3, qt.IsTrue, qt.Commentf("%d reads", reads))
		cancel()
		n.control.Stop()
		synctest.Wait()
	})
}
