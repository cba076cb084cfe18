package entry

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/fireflycleat/fireflycleat/pkg/route"
	"github.com/fireflycleat/fireflycleat/pkg/spec"
)

// Ten engines with 8 slots start 80 requests of 1.05 s each in 1.05 s.
const simCapacity = 76.0

func overload(seed uint64, factor float64, m mutant) (goodput float64, urgent, normal tally) {
	s := newSim(seed, 6, 10, 8)
	for _, e := range s.hosts {
		e.mutant = m
	}
	s.obey = true
	s.load(simCapacity*factor*0.3, time.Minute, spec.Urgent, 100, time.Second)
	s.load(simCapacity*factor*0.7, time.Minute, spec.Normal, 100, 3*time.Second)
	s.run(time.Minute)
	urgent, normal = s.tally(spec.Urgent, 10*time.Second, time.Minute), s.tally(spec.Normal, 10*time.Second, time.Minute)
	return (urgent.work + normal.work) / 100 / 50 / simCapacity, urgent, normal
}

// Guards against a collapse at twice the capacity: goodput falls, urgent work is refused, answers come late, or callers who
// return as told are refused again.
func TestOverload(t *testing.T) {
	c := qt.New(t)
	refused, calls, returned, helped := 0, 0, 0, 0
	for seed := range uint64(8) {
		goodput, urgent, normal := overload(seed, 2, mutant{})
		t.Logf("goodput %.3f; urgent: %v; normal: %v", goodput, urgent, normal)
		c.Check(goodput > 0.95, qt.IsTrue)
		c.Check(urgent.late+normal.late, qt.Equals, 0)
		refused, calls = refused+urgent.refused, calls+urgent.calls
		returned, helped = returned+normal.obeyed, helped+normal.helped
	}
	t.Logf("urgent refused %d of %d; returned in time %d, served %d", refused, calls, returned, helped)
	c.Check(float64(refused) < 0.01*float64(calls), qt.IsTrue)
	c.Check(float64(helped) > 0.8*float64(returned), qt.IsTrue)
	_, urgent, normal := overload(1, 2, mutant{noPromise: true})
	c.Check(float64(normal.helped) < 0.8*float64(normal.obeyed), qt.IsTrue, qt.Commentf("%v %v", urgent, normal))
}

// Guards against urgent work that waits behind long streams, and against long streams that never finish.
func TestBlocking(t *testing.T) {
	c := qt.New(t)
	var alone, beside time.Duration
	for seed := range uint64(3) {
		for _, bulk := range []float64{0, 2} {
			// The size of the first users: 20 servers and 6 entry hosts. Slots are taken to 40% by urgent work and 38% by bulk work.
			s := newSim(seed, 6, 20, 8)
			s.load(2*simCapacity*0.4, 2*time.Minute, spec.Urgent, 100, time.Second)
			if bulk > 0 {
				s.load(bulk, time.Minute, spec.Bulk, 3000, time.Minute)
			}
			s.run(10 * time.Minute)
			y, b := s.tally(spec.Urgent, 10*time.Second, 2*time.Minute), s.tally(spec.Bulk, 0, time.Minute)
			t.Logf("bulk %v: urgent: %v; bulk: %v", bulk, y, b)
			c.Check(y.refused, qt.Equals, 0)
			c.Check(b.done, qt.Equals, b.calls)
			if bulk == 0 {
				alone += y.quantile(0.99)
			} else {
				beside += y.quantile(0.99)
			}
		}
	}
	c.Check(float64(beside) < 1.2*float64(alone), qt.IsTrue, qt.Commentf("%v %v", beside, alone))
}

func bulkResumes(m mutant) (int, bool) {
	s := newSim(1, 1, 1, 2)
	s.hosts[0].mutant = m
	id := s.arrive(job{Request: Request{Model: "m0", Urgency: spec.Bulk, Repeatable: true}, tokens: 3000, slack: time.Minute})
	s.load(4, 5*time.Minute, spec.Urgent, 100, time.Second)
	s.run(5 * time.Minute)
	return s.jobs[id].resumes, s.jobs[id].done
}

// Guards against a bulk stream that never ends because urgent work preempts it again and again.
func TestBulkProgress(t *testing.T) {
	c := qt.New(t)
	limit := Defaults("", "").MaxPreemptions
	resumes, done := bulkResumes(mutant{})
	t.Log("resumes", resumes)
	c.Check(resumes > 0 && resumes <= limit && done, qt.IsTrue)
	resumes, done = bulkResumes(mutant{endlessBulk: true})
	c.Check(resumes > limit || !done, qt.IsTrue, qt.Commentf("%d", resumes))
}

// Guards against slowed upstreams that keep their share of the work, and against hedges beyond their share.
func TestSlowed(t *testing.T) {
	c := qt.New(t)
	var usual, slowed time.Duration
	for seed := range uint64(3) {
		for _, slow := range []float64{1, 5} {
			s := newSim(seed, 6, 20, 8)
			s.load(simCapacity, time.Minute, spec.Urgent, 100, 5*time.Second)
			s.run(20 * time.Second)
			for i := 0; i < len(s.engines); i += 5 {
				s.engines[i].slow = slow
			}
			s.run(time.Minute)
			y := s.tally(spec.Urgent, 20*time.Second, time.Minute)
			t.Logf("slowed %v: %v, %d hedges in %d sends", slow, y, s.hedges, s.sends)
			c.Check(y.refused, qt.Equals, 0)
			c.Check(float64(s.hedges) < 0.05*float64(s.sends), qt.IsTrue)
			if slow == 1 {
				usual += y.quantile(0.99)
			} else {
				slowed += y.quantile(0.99)
			}
		}
	}
	c.Check(float64(slowed) <= 1.5*float64(usual), qt.IsTrue, qt.Commentf("%v %v", slowed, usual))
}

// Guards against a cold start that refuses what a load in time would serve, or keeps what it would not.
func TestColdStart(t *testing.T) {
	c := qt.New(t)
	s := newSim(1, 2, 0, 8)
	for i := range 20 {
		s.arrive(job{Request: Request{Model: "m0"}, tokens: 10, slack: time.Duration(1+i%2*9) * time.Second, host: i % 2})
	}
	ready := s.now.Add(3 * time.Second)
	for h := range s.hosts {
		s.handle(h, Forecast{Model: "m0", ReadyAt: ready})
		c.Check(s.hosts[h].Queued("m0"), qt.Equals, 10*h) // Host 1 has the calls that can wait.
	}
	s.run(2900 * time.Millisecond)
	s.engines = append(s.engines, &engine{s: s, name: "u0", slots: 8, slow: 1})
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

// Guards against a burst at all hosts that each of them takes for its own alone, so that refusals come late or nothing is
// left to serve.
func TestColdBurst(t *testing.T) {
	c := qt.New(t)
	s := newSim(1, 6, 0, 4)
	for i := range 60 {
		s.arrive(job{Request: Request{Model: "m0", Repeatable: true}, tokens: 100, slack: 6 * time.Second, host: i % 6})
	}
	for h := range s.hosts {
		s.handle(h, Forecast{Model: "m0", ReadyAt: s.now.Add(3 * time.Second), Others: 50})
	}
	refused := s.tally(spec.Urgent, 0, time.Second).refused
	s.run(3 * time.Second)
	s.engines = append(s.engines, &engine{s: s, name: "u0", slots: 4, slow: 1})
	s.after(simReport, s.engines[0].report)
	for h := range s.hosts {
		s.handle(h, Directory{Cell: "c0", Seq: 1, Replicas: []route.Replica{{Upstream: "u0", Model: "m0", Slots: 4, Ready: true}}})
	}
	s.run(time.Minute)
	y := s.tally(spec.Urgent, 0, time.Second)
	t.Logf("refused at once %d; %v", refused, y)
	// The engine starts at most 12 requests within the 3 s that are left.
	c.Check(y.inTime >= 10 && y.late == 0 && refused >= 40, qt.IsTrue)
}
