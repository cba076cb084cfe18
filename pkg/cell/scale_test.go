package cell

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// Guards against requests that queue at one replica while memory and permits are free, whether they wait at entries or at
// the engine, and against replicas that take the memory of the next cold model only to shorten a queue.
func TestReplicaThatShortensAQueue(t *testing.T) {
	for _, x := range []struct {
		name    string
		bytes   int64 // Upstreams have 100 GiB.
		demand  int
		engine  int // engine is the number of requests that wait at the engine.
		permits int
		loads   int
	}{
		{"no queue", 10 * gib, 0, 0, 3, 1},
		{"queue at entries", 10 * gib, 2, 0, 3, 2},
		{"queue at the engine", 10 * gib, 0, 2, 3, 2},
		{"no permit", 10 * gib, 2, 0, 1, 1},
		{"room for one", 60 * gib, 2, 0, 3, 1},
		{"longer than the slots", 60 * gib, 6, 0, 3, 2},
	} {
		t.Run(x.name, func(t *testing.T) {
			p := newPlant(2, testModel("a", x.bytes, 1))
			p.do(PermitChanged{Model: "a", Count: x.permits, Offset: 1})
			p.do(Demand{Host: "h", Model: "a", Normal: 1, EarliestDeadline: p.now.Add(time.Minute)})
			for p.ready["a"].IsZero() {
				p.run(50 * time.Millisecond)
			}
			p.run(newReplicaDelay / 2)
			p.do(Use{Host: "h", Model: "a", InFlight: 1})
			p.do(Demand{Host: "h", Model: "a"})
			p.run(2 * time.Second)
			qt.Assert(t, p.count(OpLoad, "a"), qt.Equals, 1, qt.Commentf("what waited for the load is no queue"))
			p.do(Demand{Host: "h", Model: "a", Normal: x.demand, EarliestDeadline: p.now.Add(time.Minute)})
			for _, s := range p.statuses {
				for i := range s.Replicas {
					s.Replicas[i].Waiting = x.engine
				}
			}
			p.run(time.Second)
			qt.Assert(t, p.count(OpLoad, "a"), qt.Equals, x.loads)
		})
	}
}

// Guards against a replica that shortens one model's queue before another model has its first.
func TestColdModelGoesFirst(t *testing.T) {
	p := newPlant(1, testModel("a", 20*gib, 1), testModel("b", 20*gib, 1))
	m := p.c.model("a")
	p.do(PermitChanged{Model: "a", Count: 3, Offset: 1})
	p.do(Demand{Host: "h", Model: "a", Urgent: 4, EarliestDeadline: p.now.Add(time.Minute)})
	p.run(3 * time.Second)
	p.do(Demand{Host: "h", Model: "a", Urgent: 3, EarliestDeadline: p.now.Add(time.Minute)})
	p.do(Demand{Host: "h", Model: "b", Bulk: 1, EarliestDeadline: p.now.Add(time.Minute)})
	qt.Check(t, m.optional, qt.IsTrue)
	p.run(3 * time.Second)
	_, ready := p.ready["b"]
	qt.Check(t, ready, qt.IsTrue)
	qt.Check(t, p.c.predict(m), qt.Equals, p.now)
}
