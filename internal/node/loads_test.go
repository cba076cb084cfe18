package node

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"github.com/fireflycleat/fireflycleat/pkg/fleet"
	"github.com/fireflycleat/fireflycleat/pkg/place"
)

// TestLoadsOfThousandsAreSmall guards against heartbeats of which a hub's link and processor can't carry enough: the requests at each of
// 3,000 upstreams went to each dependent host under the upstream's ID.
func TestLoadsOfThousandsAreSmall(t *testing.T) {
	t.Parallel()
	hub, n := benchHub(), newTestNode(Settings{Limits: LimitSettings{LeaveMS: 3000, ConfigMS: 3000}})
	runControl(t, hub)
	query(t, n, hub, true)
	l, _ := hub.loads(time.Now(), "h", n.query())
	qt.Check(t, len(l.Data) < 3*benchUpstreams, qt.IsTrue)
	qt.Check(t, l.IDs, qt.HasLen, 0)
}

// TestLoadsReachDependentHosts guards against requests that a host counts at the wrong upstream, or not at all, after its hub has restarted, has
// numbered upstreams anew or has answered two queries in the other order.
func TestLoadsReachDependentHosts(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(r *rapid.T) {
		s := Settings{Limits: LimitSettings{LeaveMS: 3000, ConfigMS: 3000}}
		hub, n := newTestNode(s), newTestNode(s)
		hub.self = Member{Name: "hub", Incarnation: "hub.1"}
		born, queries := 0, []FeedQuery{n.query()}
		for range rapid.IntRange(1, 20).Draw(r, "steps") {
			list := make(map[string]fleet.Upstream)
			born += rapid.IntRange(0, 3).Draw(r, "replaced")
			for i := range 4 {
				u := benchUpstream(born+i, 1)
				list[u.ID] = u
			}
			hub.applyList(time.Now(), list)
			var uses []place.Use
			for id := range list {
				uses = append(uses, place.Use{Upstream: id, Running: rapid.IntRange(1, 300).Draw(r, "running")})
			}
			hub.applyHeartbeat(&Heartbeat{From: Member{Name: "hub2", Incarnation: "hub2.1"}, Uses: uses})
			hub.table.SetSpeeds(map[string]int{benchID(born): rapid.SampledFrom([]int{0, 40, 100, 180}).Draw(r, "speed")})
			if rapid.IntRange(0, 9).Draw(r, "restart") == 0 {
				hub.self.Incarnation += "1"
				hub.numbered = numbering{}
				hub.numbered.assign(list)
			}
			queries = append(queries, n.query())
			q := queries[len(queries)-rapid.IntRange(1, min(2, len(queries))).Draw(r, "late")]
			var f Feed
			f.Loads, _ = hub.loads(time.Now().Add(time.Duration(len(queries))*maxLoadsAge), "h", q)
			f.Loads.IDs = append([]string(nil), f.Loads.IDs...)
			running, speeds := n.decodeLoads(hub.self, &f)
			if running == nil {
				qt.Assert(t, n.query().NumbersKnown, qt.Equals, 0, qt.Commentf("the next answer contains all numbers"))
				continue
			}
			qt.Assert(t, running, qt.DeepEquals, hub.table.Running("h"))
			qt.Assert(t, speeds, qt.DeepEquals, hub.table.Speeds())
		}
	})
}

// TestMalformedLoads guards against a panic, and against an endless loop, on loads that are cut off.
func TestMalformedLoads(t *testing.T) {
	t.Parallel()
	x := numbering{ids: []string{"a", "b", "c"}}
	data := []byte{0, 5, 40, 1, 2, 1, 0xff, 0x03, 90}
	_, _, err := x.decode(data)
	qt.Assert(t, err, qt.IsNil)
	for i := range data {
		_, _, err := x.decode(data[:i])
		qt.Check(t, err == nil, qt.Equals, i == 0 || i == 3 || i == 5, qt.Commentf("%d bytes", i))
	}
	_, _, err = x.decode([]byte{3, 2})
	qt.Check(t, err, qt.IsNotNil, qt.Commentf("unknown number"))
}
