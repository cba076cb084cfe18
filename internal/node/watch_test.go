package node

import (
	"context"
	"encoding/binary"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	qt "github.com/frankban/quicktest"

	"github.com/fireflycleat/fireflycleat/pkg/fleet"
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

// TestConfigurationStormLeavesRoomOnTheLink guards against reads of the store that fail because a host with a slow link reads each
// configuration of a storm of changes, so that it goes on sending to upstreams that leave.
func TestConfigurationStormLeavesRoomOnTheLink(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const size, linkMbps = 165_000, 10
		n := newTestNode(Settings{Host: HostSettings{LinkMbps: linkMbps}, Limits: LimitSettings{LeaveMS: 2000, ConfigMS: 2000, ContactMS: 3000}})
		n.bootNow = time.Now
		n.platform.DecodeConfig = func([]byte) (*fleet.Config, error) { return nil, errors.New("not decoded here") }
		start := time.Now()
		var read, reads, newest atomic.Int64 // bytes and number of reads, and the newest record that was read
		const gap = 80 * time.Millisecond
		changes := func() int64 { return int64(min(time.Since(start), 4*time.Second) / gap) } // one every gap
		record := func(i int64) []byte {
			data := make([]byte, size)
			binary.BigEndian.PutUint64(data, uint64(i))
			return data
		}
		n.platform.Config = func(ctx context.Context, c Cursor, wait time.Duration) ([]byte, Cursor, error) {
			reads.Add(1)
			count := int64(1)
			if c.Next > 0 {
				end := time.Now().Add(wait)
				for changes() < c.Next && time.Now().Before(end) && ctx.Err() == nil {
					sleep(ctx, gap/4)
				}
				count = changes() - c.Next + 1
			}
			if count <= 0 {
				return nil, c, nil
			}
			read.Add(size * count)
			i := changes()
			newest.Store(i)
			return record(i), Cursor{Next: i + 1}, nil
		}
		ctx, cancel := context.WithCancel(t.Context())
		go func() { _ = n.control.Run() }()
		go n.watchConfig(ctx)
		n.direct.Store(true)
		time.Sleep(4 * time.Second)
		share := float64(8*read.Load()) / (linkMbps * 1e6 * 4)
		qt.Check(t, share < 0.5, qt.IsTrue, qt.Commentf("%.2f of the link in %d reads", share, reads.Load()))
		time.Sleep(n.poll.configPollWait)
		qt.Check(t, newest.Load(), qt.Equals, changes())
		calm := reads.Load()
		time.Sleep(10 * time.Second)
		qt.Check(t, reads.Load()-calm <= int64(10*time.Second/n.poll.configPollWait), qt.IsTrue, qt.Commentf("%d reads in 10 s without a change", reads.Load()-calm))
		cancel()
		n.control.Stop()
		synctest.Wait()
	})
}

// TestListIsReadBeforeTheConfiguration guards against a host with a slow link that turns to the store and gets neither list nor configuration in
// time, because both large answers share the link. The configuration still doesn't wait for a list that does not come.
func TestListIsReadBeforeTheConfiguration(t *testing.T) {
	for _, x := range []struct {
		name     string
		linkMbps float64
		list     time.Duration // of a read of the list
		earliest time.Duration // of the read of the configuration, after that of the list
	}{
		{"slow link", 10, 150 * time.Millisecond, 150 * time.Millisecond},
		{"no list", 10, time.Hour, listHeadStart},
		{"fast link", 200, 150 * time.Millisecond, 0},
	} {
		t.Run(x.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				n := newTestNode(Settings{Host: HostSettings{LinkMbps: x.linkMbps}, Limits: LimitSettings{LeaveMS: 3000, ConfigMS: 3000, ContactMS: 4000}})
				n.bootNow = time.Now
				n.recordSize.Store(165_000)
				var list, config time.Time
				n.platform.Upstreams = func(ctx context.Context, _ Cursor) (ListChanges, error) {
					if list.IsZero() {
						list = time.Now()
					}
					sleep(ctx, x.list)
					return ListChanges{}, ctx.Err()
				}
				n.platform.Config = func(ctx context.Context, _ Cursor, _ time.Duration) ([]byte, Cursor, error) {
					if config.IsZero() {
						config = time.Now()
					}
					<-ctx.Done()
					return nil, Cursor{}, ctx.Err()
				}
				ctx, cancel := context.WithCancel(t.Context())
				go func() { _ = n.control.Run() }()
				go n.watchList(ctx)
				go n.watchConfig(ctx)
				n.direct.Store(true)
				time.Sleep(time.Second)
				synctest.Wait()
				wait := config.Sub(list)
				qt.Check(t, wait >= x.earliest-sourceCheckInterval && wait <= x.earliest+sourceCheckInterval, qt.IsTrue, qt.Commentf("%v", wait))
				cancel()
				n.control.Stop()
				synctest.Wait()
			})
		})
	}
}
