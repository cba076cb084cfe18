package node

import (
	"encoding/json"
	"fmt"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/fireflycleat/fireflycleat/pkg/fleet"
)

// largeRecord returns a configuration record with many routes.
func largeRecord(version int64) []byte {
	record := fmt.Appendf(nil, `{"version":%d,"routes":[`, version)
	for i := range 350 {
		if i > 0 {
			record = append(record, ',')
		}
		record = fmt.Appendf(record, `{"name":"r-%07x","host":"a.example","prefix":"/%05x/","kind":"stream","timeoutMS":25000,"service":"clock","maxAttempts":2}`,
			i*2654435761%(1<<28), i*40503%(1<<20))
	}
	return append(record, "]}"...)
}

// newRecordNode returns a node that depends on a hub and decodes records of largeRecord.
func newRecordNode() *Node {
	n := newTestNode(Settings{Limits: LimitSettings{LeaveMS: 3000, ConfigMS: 3000}})
	n.platform.DecodeConfig = func(record []byte) (*fleet.Config, error) {
		var body struct{ Version int64 }
		if err := json.Unmarshal(record, &body); err != nil {
			return nil, err
		}
		return fleet.NewConfig(body.Version, nil, nil, fleet.Limits{})
	}
	return n
}

// TestHubSendsSmallRecords guards against a storm of configurations that fills the links of small hosts, so that the list of upstreams and
// heartbeats come too late: a hub sent each of its hosts the record of the store as it is. An earlier build still gets that.
func TestHubSendsSmallRecords(t *testing.T) {
	t.Parallel()
	hub := newRecordNode()
	record := largeRecord(7)
	hub.applyConfigRecord(record)
	f := hub.buildFeed("h", FeedQuery{Version: 6, Unpacks: true})
	qt.Assert(t, f.Config, qt.HasLen, 0)
	qt.Assert(t, 5*len(f.Packed) < len(record), qt.IsTrue, qt.Commentf("%d of %d bytes", len(f.Packed), len(record)))
	n := newRecordNode()
	n.applyFeed(Member{Name: "hub"}, &f, bootNow())
	qt.Assert(t, n.configVersion(), qt.Equals, int64(7))
	qt.Assert(t, n.record.plain, qt.DeepEquals, record, qt.Commentf("it may have to send the record on"))
	f = hub.buildFeed("h", FeedQuery{Version: 6})
	qt.Assert(t, f.Config, qt.DeepEquals, record)
	qt.Assert(t, f.Packed, qt.HasLen, 0)
	f = hub.buildFeed("h", FeedQuery{Version: 7, Unpacks: true})
	qt.Assert(t, len(f.Config)+len(f.Packed), qt.Equals, 0)
}

// TestHubsExchangeSmallRecords guards against the same between hosts that are no source of each other's list.
func TestHubsExchangeSmallRecords(t *testing.T) {
	t.Parallel()
	hub, n := newRecordNode(), newRecordNode()
	hub.self.Name = "other"
	go func() { _ = hub.control.Run() }()
	defer hub.control.Stop()
	hub.applyConfigRecord(largeRecord(7))
	for _, unpacks := range []bool{true, false} {
		var reply Heartbeat
		b := Heartbeat{From: Member{Name: "x", Incarnation: "x.1"}, Config: &ConfigState{Version: 6, Unpacks: unpacks}}
		qt.Assert(t, (&peerService{hub}).Beat(&b, &reply), qt.IsNil)
		qt.Assert(t, len(reply.Config.Packed) > 0, qt.Equals, unpacks)
		qt.Assert(t, len(reply.Config.Record) > 0, qt.Equals, !unpacks)
		n.applyHeartbeat(&reply)
		qt.Assert(t, n.configVersion(), qt.Equals, int64(7))
	}
}

// TestBrokenPackedRecordChangesNothing guards against a crash, or memory without bound, from what another host sends.
func TestBrokenPackedRecordChangesNothing(t *testing.T) {
	t.Parallel()
	n := newRecordNode()
	n.applyConfigRecord(largeRecord(7))
	bomb := configRecord{plain: make([]byte, 2*maxUnpackedBytes)}
	next := configRecord{plain: largeRecord(8)}
	for _, packed := range [][]byte{{0xff}, next.pack()[:100], bomb.pack()} {
		n.applySentRecord(nil, packed)
		qt.Assert(t, n.configVersion(), qt.Equals, int64(7))
	}
	n.applySentRecord(nil, next.pack())
	qt.Assert(t, n.configVersion(), qt.Equals, int64(8))
}
