package node

import (
	"bytes"
	"encoding/gob"
	"encoding/json"
	"fmt"
	"testing"
	"time"

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
	f := hub.buildFeed("h", FeedQuery{Version: 6, Packed: true})
	qt.Assert(t, f.Config, qt.HasLen, 0)
	qt.Assert(t, 5*len(f.ConfigPacked) < len(record), qt.IsTrue, qt.Commentf("%d of %d bytes", len(f.ConfigPacked), len(record)))
	n := newRecordNode()
	n.applyFeed(Member{Name: "hub"}, &f, bootNow())
	qt.Assert(t, n.configVersion(), qt.Equals, int64(7))
	qt.Assert(t, n.record.plain, qt.DeepEquals, record, qt.Commentf("it may have to send the record on"))
	f = hub.buildFeed("h", FeedQuery{Version: 6})
	qt.Assert(t, f.Config, qt.DeepEquals, record)
	qt.Assert(t, f.ConfigPacked, qt.HasLen, 0)
	f = hub.buildFeed("h", FeedQuery{Version: 7, Packed: true})
	qt.Assert(t, len(f.Config)+len(f.ConfigPacked), qt.Equals, 0)
	small := []byte(`{"version":8}`)
	hub.applyConfigRecord(small)
	f = hub.buildFeed("h", FeedQuery{Version: 7, Packed: true})
	qt.Assert(t, f.Config, qt.DeepEquals, small, qt.Commentf("a small record is not worth a compressor"))
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
	bomb := configRecord{plain: make([]byte, 2*maxRecordBytes)}
	next := configRecord{plain: largeRecord(8)}
	for _, packed := range [][]byte{{0xff}, next.pack()[:100], bomb.pack()} {
		n.applySentRecord(nil, packed)
		qt.Assert(t, n.configVersion(), qt.Equals, int64(7))
	}
	n.applySentRecord(nil, next.pack())
	qt.Assert(t, n.configVersion(), qt.Equals, int64(8))
}

// TestHubSendsSmallLists guards against a small hub that can't send the list to all hosts that turn to it when another hub stops, so that they take
// it for silent and turn to the store. An earlier build still gets the list as it is.
func TestHubSendsSmallLists(t *testing.T) {
	t.Parallel()
	at := bootNow()
	newHost := func() *Node {
		n := newRecordNode()
		n.bootNow = func() time.Time { return at }
		n.listAt, n.configAt = at.Add(-time.Second), at
		return n
	}
	hub := newHost()
	hub.self = Member{Name: "hub", Incarnation: "hub.1"}
	runControl(t, hub)
	packed := func() (f Feed) {
		hub.packList(FeedQuery{Packed: true})
		hub.control.Ask(func() { f = hub.buildFeed("h", FeedQuery{Packed: true}) })
		return f
	}
	size := func(f Feed) int {
		var b bytes.Buffer
		qt.Assert(t, gob.NewEncoder(&b).Encode(f), qt.IsNil)
		return b.Len()
	}
	var list []fleet.Upstream
	for i := range 150 {
		u := fleet.Upstream{ID: fmt.Sprintf("i-%010x", i*2654435761), Born: 1, Service: "clock", Address: fmt.Sprint("10.128.0.", i, ":8080"), Slots: 12}
		for j := range 15 {
			u.OnDisk = append(u.OnDisk, fmt.Sprintf("dial-%05d", (i*7+j*j)%500))
		}
		list = append(list, u)
	}
	hub.applyListRead(at, ListChanges{Complete: true, Put: list, Cursor: Cursor{Next: 1000}})
	plain := hub.buildFeed("h", FeedQuery{})
	qt.Assert(t, plain.Put, qt.HasLen, 150)
	f := packed()
	qt.Assert(t, 3*size(f) < size(plain), qt.IsTrue, qt.Commentf("%d of %d bytes", size(f), size(plain)))
	for _, f := range []Feed{plain, f} {
		n := newHost()
		qt.Assert(t, f.unpack(), qt.IsNil)
		qt.Assert(t, n.applyFeed(hub.self, &f, at), qt.IsTrue)
		qt.Assert(t, n.upstreams, qt.DeepEquals, hub.upstreams)
	}
	hub.applyListRead(at, ListChanges{Put: []fleet.Upstream{{ID: list[0].ID, Born: 1, Beat: 1, Leaving: true}}, Cursor: Cursor{Next: 1001}})
	f = packed()
	n := newHost()
	qt.Assert(t, f.unpack(), qt.IsNil)
	n.applyFeed(hub.self, &f, at)
	qt.Assert(t, n.upstreams[list[0].ID].Leaving, qt.IsTrue, qt.Commentf("the list of a later read is sent"))
	f = hub.buildFeed("h", FeedQuery{From: hub.self.Incarnation, Generation: hub.changes.generation - 1, Packed: true})
	qt.Assert(t, f.Put, qt.HasLen, 1)
	broken := Feed{Whole: true, Packed: []byte{0xff}}
	qt.Assert(t, broken.unpack(), qt.IsNotNil)
}
