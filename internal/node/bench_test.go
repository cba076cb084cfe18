package node

import (
	"encoding/gob"
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"github.com/fireflycleat/fireflycleat/pkg/fleet"
	"github.com/fireflycleat/fireflycleat/pkg/place"
)

// The sizes of the deployment for the benchmarks.
const (
	benchHosts     = 300
	benchHubs      = 8
	benchUpstreams = 3000
	benchModels    = 120
	// benchRunning is the mean number of requests in progress at an upstream.
	benchRunning = 5
)

// countingWriter counts the bytes written to it.
type countingWriter struct{ bytes int }

// Write counts p and discards it.
func (w *countingWriter) Write(p []byte) (int, error) {
	w.bytes += len(p)
	return len(p), nil
}

func benchID(i int) string { return fmt.Sprintf("i-%08x", uint32(i)*2654435761) }

func benchModel(i int) string { return fmt.Sprintf("model%05x", i*7919%1048576) }

// benchUpstream returns an upstream that has one model loaded, two in memory and 20 on its disk.
func benchUpstream(i int, beat int64) fleet.Upstream {
	u := fleet.Upstream{
		ID: benchID(i), Born: 1_790_000_000_000 + int64(i)*37, Beat: beat, Service: "huvo11a", Address: fmt.Sprintf("10.%d.%d.%d:8080", 128+i%4, i/250, i%250),
		DataCentre: []string{"taipei-a", "taipei-b", "hsinchu", "taoyuan"}[i%4], Slots: 64, Held: []fleet.Held{{Model: benchModel(i % benchModels), Version: 1}},
	}
	for j := range 4 {
		u.Held[0].Adapters = append(u.Held[0].Adapters, fmt.Sprint("a", (i+j)%12))
	}
	for j := range 20 {
		m := benchModel((i + 11*j) % benchModels)
		u.OnDisk = append(u.OnDisk, m)
		if j < 2 {
			u.InMemory = append(u.InMemory, m)
		}
	}
	return u
}

// benchHub returns a hub that knows all hosts and upstreams and the requests of the other hubs, with its children's uses.
func benchHub() *Node {
	n := newTestNode(Settings{Limits: LimitSettings{LeaveMS: 3000, ConfigMS: 3000}})
	n.self = Member{Name: "hub0", Incarnation: "hub0.1a2b3c4d", DataCentre: "taipei-a", Capacity: 900}
	n.parent = ""
	list := make(map[string]fleet.Upstream)
	for i := range benchUpstreams {
		u := benchUpstream(i, 1)
		list[u.ID] = u
	}
	n.applyList(time.Now(), list)
	for i := 1; i < benchHosts; i++ {
		name := fmt.Sprintf("front-taipei-a-%d", i)
		m := n.addMember(Member{
			Name: name, Incarnation: name + ".1a2b3c4d", DataCentre: list[benchID(i)].DataCentre, Traffic: fmt.Sprintf("10.1.%d.%d:8783", i/250, i%250),
			Peers: fmt.Sprintf("10.1.%d.%d:8785", i/250, i%250), Capacity: 800,
		})
		m.lastSeen, m.ready = time.Now(), true
		if i < benchHosts/benchHubs {
			m.lastQuery, m.uses = time.Now(), benchUses(i, benchHosts)
		}
	}
	for h := 1; h < benchHubs; h++ {
		name := fmt.Sprintf("front-taipei-a-%d", benchHosts-h)
		n.applyHeartbeat(&Heartbeat{From: n.members[name].Member, Ready: true, Uses: benchUses(h, benchHubs)})
	}
	return n
}

// benchUses returns the uses of one of a number of hosts.
func benchUses(host, hosts int) []place.Use {
	var uses []place.Use
	for i := range benchUpstreams {
		for j := range benchRunning {
			if (i*benchRunning+j)*7919%10007%hosts == host%hosts {
				uses = append(uses, place.Use{Upstream: benchID(i), Key: place.Key{Model: benchModel(i % benchModels)}, Running: 1, Started: 1, Served: 1})
			}
		}
	}
	return uses
}

// encodeRepeatedly measures the time to make and encode a message and its bytes on a connection that has sent its type.
func encodeRepeatedly(b *testing.B, message func() any) {
	var w countingWriter
	e := gob.NewEncoder(&w)
	if err := e.Encode(message()); err != nil {
		b.Fatal(err)
	}
	w.bytes = 0
	b.ReportAllocs()
	for b.Loop() {
		if err := e.Encode(message()); err != nil {
			b.Fatal(err)
		}
	}
	b.ReportMetric(float64(w.bytes)/float64(b.N), "wire-B/op")
}

// BenchmarkDeployment measures the messages of a hub of 300 hosts and 3,000 upstreams. docs/CAPACITY.md is derived from its results.
func BenchmarkDeployment(b *testing.B) {
	n := benchHub()
	child := "front-taipei-a-1"
	go func() { _ = n.control.Run() }()
	defer n.control.Stop()
	b.Run("wholeFeed", func(b *testing.B) {
		encodeRepeatedly(b, func() any {
			n.packed.bytes = nil
			n.packList(FeedQuery{Packed: true})
			return n.buildFeed(child, FeedQuery{Packed: true})
		})
	})
	b.Run("feed", func(b *testing.B) {
		q := FeedQuery{From: n.self.Incarnation, Generation: n.changes.generation, MembersFrom: n.self.Incarnation, MembersGeneration: n.memberGeneration}
		q.Packed, q.NumbersFrom, q.NumbersEpoch, q.NumbersKnown = true, n.self.Incarnation, n.numbered.epoch, len(n.numbered.ids)
		encodeRepeatedly(b, func() any { return n.buildFeed(child, q) })
	})
	b.Run("heartbeatOfHub", func(b *testing.B) {
		encodeRepeatedly(b, func() any {
			for i := 1; i < benchHosts/benchHubs; i++ {
				n.members[fmt.Sprintf("front-taipei-a-%d", i)].lastQuery = time.Now()
			}
			m, _ := n.heartbeat(0)
			return m
		})
	})
	b.Run("heartbeatOfHost", func(b *testing.B) {
		encodeRepeatedly(b, func() any { return Heartbeat{From: n.self, Uses: benchUses(1, benchHosts), Query: &FeedQuery{}} })
	})
	b.Run("applyHeartbeatOfHub", func(b *testing.B) {
		m := Heartbeat{From: n.members["front-taipei-a-299"].Member, Ready: true, Uses: benchUses(1, benchHubs)}
		for b.Loop() {
			n.applyHeartbeat(&m)
		}
	})
	b.Run("applyListRead", func(b *testing.B) {
		beat := int64(1)
		for b.Loop() {
			beat++
			var put []fleet.Upstream
			for i := range benchUpstreams {
				put = append(put, benchUpstream(i, beat))
			}
			n.applyListRead(bootNow(), ListChanges{Put: put, Cursor: Cursor{Era: 1, Next: beat}})
		}
	})
	b.Run("applyFeed", func(b *testing.B) {
		host := newTestNode(Settings{Limits: LimitSettings{LeaveMS: 3000, ConfigMS: 3000}})
		f := Feed{Whole: true, Put: slices.Collect(maps.Values(n.upstreams)), Generation: 1}
		f.Loads, _ = n.loads(time.Now(), child, FeedQuery{})
		host.applyFeed(n.self, &f, bootNow())
		for beat := int64(2); b.Loop(); beat++ {
			f := Feed{Generation: beat}
			f.Loads, _ = n.loads(time.Now(), child, host.query())
			for i := range benchUpstreams / 100 {
				u := benchUpstream(i*100+int(beat)%100, beat)
				u.OnDisk = u.OnDisk[:19]
				f.Put = append(f.Put, u)
			}
			time.Sleep(time.Millisecond)
			if !host.applyFeed(n.self, &f, bootNow()) {
				b.Fatal("feed is stale")
			}
		}
	})
}
