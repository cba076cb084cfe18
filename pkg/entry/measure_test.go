package entry

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/fireflycleat/fireflycleat/pkg/route"
	"github.com/fireflycleat/fireflycleat/pkg/spec"
)

// simCapacity is in requests per second: ten engines with 8 slots start 80 requests of 1.05 s each in 1.05 s.
const simCapacity = 76.0

func overload(seed uint64, factor float64, m mutant) (goodput float64, urgent, normal tally) {
	s := newSim(seed, 6, 10, 8)
	for _, e := range s.hosts {
		e.mutant = m
	}
	s.retryRefused = true
	s.load(simCapacity*factor*0.3, time.Minute, spec.Urgent, 100, time.Second)
	s.load(simCapacity*factor*0.7, time.Minute, spec.Normal, 100, 3*time.Second)
	s.run(time.Minute)
	urgent, normal = s.tally(spec.Urgent, 10*time.Second, time.Minute), s.tally(spec.Normal, 10*time.Second, time.Minute)
	return (urgent.work + normal.work) / 100 / 50 / simCapacity, urgent, normal
}

// TestOverload guards against a collapse at twice the capacity: goodput falls, urgent work is refused, answers are late, or
// callers who retry at the given time are refused again.
func TestOverload(t *testing.T) {
	c := qt.New(t)
	refused, calls, retried, served := 0, 0, 0, 0
	for seed := range uint64(8) {
		goodput, urgent, normal := overload(seed, 2, mutant{})
		t.Logf("goodput %.3f; urgent: %v; normal: %v", goodput, urgent, normal)
		c.Check(goodput > 0.95, qt.IsTrue)
		c.Check(urgent.late+normal.late, qt.Equals, 0)
		refused, calls = refused+urgent.refused, calls+urgent.calls
		retried, served = retried+normal.retried, served+normal.servedOnRetry
	}
	t.Logf("urgent refused %d of %d; retried %d, served on retry %d", refused, calls, retried, served)
	c.Check(float64(refused) < 0.01*float64(calls), qt.IsTrue)
	c.Check(float64(served) > 0.8*float64(retried), qt.IsTrue)
	_, urgent, normal := overload(1, 2, mutant{noRetrySpread: true})
	c.Check(float64(normal.servedOnRetry) < 0.8*float64(normal.retried), qt.IsTrue, qt.Commentf("%v %v", urgent, normal))
}

// TestBlocking guards against urgent work that waits behind long bulk streams, and against bulk streams that never finish.
func TestBlocking(t *testing.T) {
	c := qt.New(t)
	var urgentOnly, withBulk time.Duration
	for seed := range uint64(3) {
		for _, bulkRate := range []float64{0, 2} {
			// 20 servers and 6 entry hosts, the size of the first deployments. Urgent work uses 40% of the slots, bulk work 38%.
			s := newSim(seed, 6, 20, 8)
			s.load(2*simCapacity*0.4, 2*time.Minute, spec.Urgent, 100, time.Second)
			if bulkRate > 0 {
				s.load(bulkRate, time.Minute, spec.Bulk, 3000, time.Minute)
			}
			s.run(10 * time.Minute)
			urgent, bulk := s.tally(spec.Urgent, 10*time.Second, 2*time.Minute), s.tally(spec.Bulk, 0, time.Minute)
			t.Logf("bulk %v: urgent: %v; bulk: %v", bulkRate, urgent, bulk)
			c.Check(urgent.refused, qt.Equals, 0)
			c.Check(bulk.done, qt.Equals, bulk.calls)
			if bulkRate == 0 {
				urgentOnly += urgent.quantile(0.99)
			} else {
				withBulk += urgent.quantile(0.99)
			}
		}
	}
	c.Check(float64(withBulk) < 1.2*float64(urgentOnly), qt.IsTrue, qt.Commentf("%v %v", withBulk, urgentOnly))
}

func bulkResumes(m mutant) (int, bool) {
	s := newSim(1, 1, 1, 2)
	s.hosts[0].mutant = m
	id := s.arrive(job{Request: Request{Model: "m0", Urgency: spec.Bulk, Repeatable: true}, tokens: 3000, timeout: time.Minute})
	s.load(4, 5*time.Minute, spec.Urgent, 100, time.Second)
	s.run(5 * time.Minute)
	return s.jobs[id].resumes, s.jobs[id].done
}

// TestBulkProgress guards against a bulk stream that never finishes because urgent work preempts it repeatedly.
func TestBulkProgress(t *testing.T) {
	c := qt.New(t)
	limit := Defaults("", "").MaxPreemptions
	resumes, done := bulkResumes(mutant{})
	t.Log("resumes", resumes)
	c.Check(resumes > 0 && resumes <= limit && done, qt.IsTrue)
	resumes, done = bulkResumes(mutant{unlimitedPreemption: true})
	c.Check(resumes > limit || !done, qt.IsTrue, qt.Commentf("%d", resumes))
}

// TestSlowUpstreams guards against slow upstreams that keep their share of the work, and against hedges beyond their share.
func TestSlowUpstreams(t *testing.T) {
	c := qt.New(t)
	var normalSpeed, slowed time.Duration
	for seed := range uint64(3) {
		for _, slowdown := range []float64{1, 5} {
			s := newSim(seed, 6, 20, 8)
			s.load(simCapacity, time.Minute, spec.Urgent, 100, 5*time.Second)
			s.run(20 * time.Second)
			for i := 0; i < len(s.engines); i += 5 {
				s.engines[i].slowdown = slowdown
			}
			s.run(time.Minute)
			urgent := s.tally(spec.Urgent, 20*time.Second, time.Minute)
			t.Logf("slowed %v: %v, %d hedges in %d sends", slowdown, urgent, s.hedges, s.sends)
			c.Check(urgent.refused, qt.Equals, 0)
			c.Check(float64(s.hedges) < 0.05*float64(s.sends), qt.IsTrue)
			if slowdown == 1 {
				normalSpeed += urgent.quantile(0.99)
			} else {
				slowed += urgent.quantile(0.99)
			}
		}
	}
	c.Check(float64(slowed) <= 1.5*float64(normalSpeed), qt.IsTrue, qt.Commentf("%v %v", slowed, normalSpeed))
}

// TestColdStart guards against a cold start that refuses calls that could start in time once the model is loaded, or queues
// calls that could not.
func TestColdStart(t *testing.T) {
	c := qt.New(t)
	s := newSim(1, 2, 0, 8)
	for i := range 20 {
		s.arrive(job{Request: Request{Model: "m0"}, tokens: 10, timeout: time.Duration(1+i%2*9) * time.Second, host: i % 2})
	}
	ready := s.now.Add(3 * time.Second)
	for h := range s.hosts {
		s.handle(h, Forecast{Model: "m0", ReadyAt: ready})
		c.Check(s.hosts[h].Queued("m0"), qt.Equals, 10*h) // Host 1 has the calls with the late deadline.
	}
	s.run(2900 * time.Millisecond)
	s.engines = append(s.engines, &engine{s: s, name: "u0", slots: 8, slowdown: 1})
	for h := range s.hosts {
		s.handle(h, Directory{Cell: "c0", Seq: 1, Replicas: []route.Replica{{Upstream: "u0", Model: "m0", Slots: 8, Ready: true}}})
	}
	s.run(time.Minute)
	y := s.tally(spec.Urgent, 0, time.Second)
	c.Check([]int{y.inTime, y.refused, y.late}, qt.DeepEquals, []int{10, 10, 0})
	for _, j := range s.jobs {
		if j.refused > 0 {
			c.Check(j.refused >= 3*time.Second, qt.IsTrue, qt.Commentf("retry before the model is ready: %v", j.refused))
		}
	}
}

// TestColdBurst guards against late refusals, or too few calls left to serve, after a burst at all hosts while a model loads.
// They come about when each host counts only its own calls.
func TestColdBurst(t *testing.T) {
	c := qt.New(t)
	s := newSim(1, 6, 0, 4)
	for i := range 60 {
		s.arrive(job{Request: Request{Model: "m0", Repeatable: true}, tokens: 100, timeout: 6 * time.Second, host: i % 6})
	}
	for h := range s.hosts {
		s.handle(h, Forecast{Model: "m0", ReadyAt: s.now.Add(3 * time.Second), PeerRequests: 50})
	}
	refused := s.tally(spec.Urgent, 0, time.Second).refused
	s.run(3 * time.Second)
	s.engines = append(s.engines, &engine{s: s, name: "u0", slots: 4, slowdown: 1})
	s.after(simReportInterval, s.engines[0].report)
	for h := range s.hosts {
		s.handle(h, Directory{Cell: "c0", Seq: 1, Replicas: []route.Replica{{Upstream: "u0", Model: "m0", Slots: 4, Ready: true}}})
	}
	s.run(time.Minute)
	y := s.tally(spec.Urgent, 0, time.Second)
	t.Logf("refused on arrival %d; %v", refused, y)
	// The engine can start at most 12 requests in the remaining 3 s.
	c.Check(y.inTime >= 10 && y.late == 0 && refused >= 40, qt.IsTrue)
}
