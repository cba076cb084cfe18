package entry

import (
	"testing"
	"time"

	"github.com/fireflycleat/fireflycleat/pkg/spec"
)

func TestTrialOverload(t *testing.T) {
	// 10 engines x 8 slots, T = 1s + 0.05 → capacity about 76/s
	for _, f := range []float64{0.5, 0.9, 1.5, 2, 3} {
		s := newSim(1, 6, 10, 8)
		s.obey = true
		c := 76.0
		s.load(c*f*0.3, 60*time.Second, spec.Urgent, 100, time.Second)
		s.load(c*f*0.7, 60*time.Second, spec.Normal, 100, 3*time.Second)
		s.run(60 * time.Second)
		y := s.tally(spec.Urgent, 10*time.Second, 60*time.Second)
		z := s.tally(spec.Normal, 10*time.Second, 60*time.Second)
		t.Logf("x%v goodput %.2f hedges %d of %d", f, (y.work+z.work)/100/50/c, s.hedges, s.sends)
		s.run(600 * time.Second)
		t.Log(s.codes)
		t.Log(" urgent ", s.tally(spec.Urgent, 10*time.Second, 60*time.Second))
		t.Log(" normal ", s.tally(spec.Normal, 10*time.Second, 60*time.Second))
	}
}

func TestTrialSlow(t *testing.T) {
	for _, slow := range []bool{false, true} {
		s := newSim(1, 6, 20, 8)
		c := 152.0
		s.load(c*0.5, 60*time.Second, spec.Urgent, 100, 5*time.Second)
		s.run(20 * time.Second)
		if slow {
			for i := range 4 {
				s.engines[i*5].slow = 5
			}
		}
		s.run(60 * time.Second)
		y := s.tally(spec.Urgent, 20*time.Second, 60*time.Second)
		t.Log(slow, y, "hedges", s.hedges, s.sends, "ejected", s.hosts[0].table.Ejected("m0", ""))
	}
}

func TestTrialBlocking(t *testing.T) {
	for _, bulk := range []float64{0, 1, 3} {
		s := newSim(1, 6, 10, 8)
		c := 76.0
		s.load(c*0.4, 120*time.Second, spec.Urgent, 100, time.Second)
		if bulk > 0 {
			s.load(bulk, 60*time.Second, spec.Bulk, 3000, 60*time.Second)
		}
		s.run(120 * time.Second)
		t.Log(s.codes)
		t.Log(bulk, s.tally(spec.Urgent, 10*time.Second, 110*time.Second))
		s.run(600 * time.Second)
		t.Log(s.tally(spec.Bulk, 0, 60*time.Second))
	}
}
