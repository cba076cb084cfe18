package cell

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// Guards against a drain of a busy replica and against a kept permit while another cell may have memory for a model, and
// against a model that fits nowhere and gets no drain at all.
func TestNoMemoryPassesWorkOn(t *testing.T) {
	for _, elsewhere := range []bool{true, false} {
		c := qt.New(t)
		p := newPlant(1, testModel("a", 80*gib, 1), testModel("b", 80*gib, 1))
		p.do(Demand{Host: "h", Model: "a", Normal: 1, EarliestDeadline: p.now.Add(time.Minute)})
		p.run(4 * time.Second)
		p.do(Demand{Host: "h", Model: "a"})
		p.running["a"] = 1
		p.run(4 * time.Second)
		d := Demand{Host: "h", Model: "b", Urgent: 9, EarliestDeadline: p.now.Add(time.Minute), Elsewhere: elsewhere}
		p.do(d)
		c.Assert(p.answers[len(p.answers)-1].Refused, qt.Equals, elsewhere)
		c.Assert(p.lists("a"), qt.Equals, elsewhere)
		p.claims = nil
		p.do(PermitAsked{Model: "b"})
		c.Assert(len(p.claims) == 1, qt.Equals, elsewhere, qt.Commentf("the permit goes where the work went"))
	}
}

// Guards against a permit that stays in a cell without a copy of the checkpoint although another cell has one, against two
// cells that yield an idle model to each other in turn, and against a home cell that takes a yielded permit back at once.
func TestPermitGoesToNearestCopy(t *testing.T) {
	for name, x := range map[string]struct {
		home    bool
		cached  []CachedCopy
		asked   int
		yields  bool
		attract bool // attract tells that the cell claims the permit in advance if it has none.
	}{
		"work waits elsewhere":            {true, []CachedCopy{{"a", "v1", TierMemory}}, 0, true, true},
		"copy elsewhere":                  {true, nil, 2, true, true},
		"no copy anywhere, asked by home": {false, nil, 5, true, false},
		"no copy anywhere, at home":       {true, nil, 6, false, true},
		"nearer copy here":                {false, []CachedCopy{{"a", "v1", TierMemory}}, 3, false, true},
		"same copy, asked by home":        {false, []CachedCopy{{"a", "v1", TierDisk}}, 3, true, true},
		"same copy, both not home":        {false, []CachedCopy{{"a", "v1", TierDisk}}, 4, false, true},
		"copy of another version":         {true, []CachedCopy{{"a", "v0", TierMemory}}, 4, true, true},
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			model := testModel("a", 10*gib, 1)
			model.Model.MaxReplicas = 1
			p := newPlant(2, model)
			p.c.settings.Home = func(string) bool { return x.home }
			for _, s := range p.statuses {
				s.Cached = x.cached
			}
			p.run(5 * time.Second)
			p.do(PermitAsked{Model: "a", Distance: x.asked})
			p.run(time.Minute)
			c.Assert(len(p.claims) > 0, qt.Equals, x.yields)
			if !x.yields {
				return
			}
			p.do(PermitChanged{Model: "a", Offset: 9})
			p.claims = nil
			p.run(2 * time.Second)
			c.Assert(p.claims, qt.HasLen, 0, qt.Commentf("the other cell goes first"))
			p.run(2 * time.Minute)
			c.Assert(len(p.claims) > 0, qt.Equals, x.attract)
			for _, a := range p.claims {
				c.Assert(a, qt.Equals, Claim{Fence: 7, Base: 9, Model: "a", Count: 1, Distance: p.c.distance(p.c.model("a"))})
			}
			p.do(Demand{Host: "h", Model: "a", Normal: 1, EarliestDeadline: p.now.Add(time.Minute)})
			p.run(3 * time.Second)
			c.Assert(p.claims[len(p.claims)-1], qt.Equals, Claim{Fence: 7, Base: 9, Model: "a", Count: 1})
		})
	}
}
