package cell

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// TestReplicaThatShortensAQueue guards against requests that queue at one replica, at hosts or at the engine, while
// memory and permits are free, and against optional replicas that take the memory of the next cold model.
func TestReplicaThatShortensAQueue(t *testing.T) {
	for _, x := range []struct {
		name    string
		bytes   int64 // size of the model; upstreams have 100 GiB
		demand  int   // requests that wait at hosts
		engine  int   // requests that wait at the engine
		permits int
		loads   int
	}{
		{"no queue", 10 * gib, 0, 0, 3, 1},
		{"queue at hosts", 10 * gib, 2, 0, 3, 2},
		{"queue at the engine", 10 * gib, 0, 2, 3, 2},
		{"no permit", 10 * gib, 2, 0, 1, 1},
		{"memory for one", 60 * gib, 2, 0, 3, 1},
		{"longer than the slots", 60 * gib, 6, 0, 3, 2},
	} {
		t.Run(x.name, func(t *testing.T) {
			tc := newTestCell(2, testModel("a", x.bytes, 1))
			tc.handle(PermitChanged{Model: "a", Count: x.permits, Offset: 1})
			tc.handle(Demand{Host: "h", Model: "a", Normal: 1, EarliestDeadline: tc.now.Add(time.Minute)})
			for tc.readyAt["a"].IsZero() {
				tc.run(50 * time.Millisecond)
			}
			tc.run(newReplicaDelay / 2)
			tc.handle(Use{Host: "h", Model: "a", InFlight: 1})
			tc.handle(Demand{Host: "h", Model: "a"})
			tc.run(2 * time.Second)
			qt.Assert(t, tc.countOrders(OpLoad, "a"), qt.Equals, 1, qt.Commentf("requests that waited for the load are not a queue"))
			tc.handle(Demand{Host: "h", Model: "a", Normal: x.demand, EarliestDeadline: tc.now.Add(time.Minute)})
			for _, s := range tc.statuses {
				for i := range s.Replicas {
					s.Replicas[i].Waiting = x.engine
				}
			}
			tc.run(time.Second)
			qt.Assert(t, tc.countOrders(OpLoad, "a"), qt.Equals, x.loads)
		})
	}
}

// TestColdModelGoesFirst guards against an additional replica that is loaded before another model has its first one.
func TestColdModelGoesFirst(t *testing.T) {
	tc := newTestCell(1, testModel("a", 20*gib, 1), testModel("b", 20*gib, 1))
	m := tc.c.model("a")
	tc.handle(PermitChanged{Model: "a", Count: 3, Offset: 1})
	tc.handle(Demand{Host: "h", Model: "a", Urgent: 4, EarliestDeadline: tc.now.Add(time.Minute)})
	tc.run(3 * time.Second)
	tc.handle(Demand{Host: "h", Model: "a", Urgent: 3, EarliestDeadline: tc.now.Add(time.Minute)})
	tc.handle(Demand{Host: "h", Model: "b", Bulk: 1, EarliestDeadline: tc.now.Add(time.Minute)})
	qt.Check(t, m.optional, qt.IsTrue)
	tc.run(3 * time.Second)
	_, ready := tc.readyAt["b"]
	qt.Check(t, ready, qt.IsTrue)
	qt.Check(t, tc.c.predict(m), qt.Equals, tc.now)
}
