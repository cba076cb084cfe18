package node

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	qt "github.com/frankban/quicktest"
)

// TestReadsStartAnewWithTheSource guards against a host that turns to the store and waits seconds after one lost read, because it still
// counts the failed reads of an earlier outage.
func TestReadsStartAnewWithTheSource(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := newTestNode(Settings{Limits: LimitSettings{LeaveMS: 3000, ConfigMS: 3000, ContactMS: 4000}})
		n.bootNow = time.Now
		var lists, configs []time.Time
		n.platform.Upstreams = func(context.Context, Cursor) (ListChanges, error) {
			lists = append(lists, time.Now())
			return ListChanges{}, errors.New("refused")
		}
		n.platform.Config = func(context.Context, Cursor, time.Duration) ([]byte, Cursor, error) {
			configs = append(configs, time.Now())
			return nil, Cursor{}, errors.New("refused")
		}
		ctx, cancel := context.WithCancel(t.Context())
		go func() { _ = n.control.Run() }()
		go n.watchList(ctx)
		go n.watchConfig(ctx)
		n.dependent.Store(true)
		n.direct.Store(true)
		time.Sleep(10 * time.Second)
		n.direct.Store(false)
		time.Sleep(10 * time.Second)
		synctest.Wait()
		lists, configs = nil, nil
		turned := time.Now()
		n.direct.Store(true)
		time.Sleep(time.Second)
		synctest.Wait()
		for name, calls := range map[string][]time.Time{"list": lists, "configuration": configs} {
			qt.Assert(t, len(calls) >= 2, qt.IsTrue, qt.Commentf("%s: %d calls in 1 s", name, len(calls)))
			qt.Assert(t, calls[1].Sub(turned) <= sourceCheckInterval+retryDelay, qt.IsTrue, qt.Commentf("%s: second call after %v", name, calls[1].Sub(turned)))
		}
		cancel()
		n.control.Stop()
		synctest.Wait()
	})
}
