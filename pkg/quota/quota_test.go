package quota

import (
	"fmt"
	"testing"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"github.com/fireflycleat/fireflycleat/pkg/spec"
)

func view(limits ...int) *spec.View {
	var teams []spec.Team
	for i, l := range limits {
		teams = append(teams, spec.Team{Name: fmt.Sprintf("t%d", i), MaxInFlight: l})
	}
	return spec.NewView(1, nil, teams)
}

// TestAcquire guards against limits that are not divided among the hosts, bulk work that blocks urgent work of its team, and
// borrowing of more than the unused shares.
func TestAcquire(t *testing.T) {
	type acquisition struct {
		team     string
		urgency  spec.Urgency
		capacity bool
		times    int
		admitted int
	}
	for _, x := range []struct {
		name   string
		hosts  int
		limits []int
		calls  []acquisition
	}{
		{"divided over hosts", 4, []int{16}, []acquisition{{"t0", spec.Normal, false, 9, 4}}},
		{"at least one at each host", 6, []int{2}, []acquisition{{"t0", spec.Normal, false, 3, 1}}},
		{"no limit", 4, []int{0}, []acquisition{{"t0", spec.Bulk, false, 50, 50}, {"other", spec.Bulk, false, 50, 50}}},
		{"bulk leaves room for urgent", 1, []int{8}, []acquisition{
			{"t0", spec.Bulk, false, 9, 6},
			{"t0", spec.Urgent, false, 9, 8},
			{"t0", spec.Bulk, false, 1, 0},
		}},
		{"borrows the unused share of another team", 1, []int{4, 4}, []acquisition{
			{"t0", spec.Normal, false, 9, 4},
			{"t0", spec.Normal, true, 9, 4},
			{"t1", spec.Normal, false, 9, 4}, // A team that lends its share can still use all of it.
		}},
	} {
		t.Run(x.name, func(t *testing.T) {
			l := New()
			l.Configure(view(x.limits...))
			l.SetHosts(x.hosts)
			for _, a := range x.calls {
				n := 0
				for range a.times {
					if l.Acquire(a.team, a.urgency, a.capacity) {
						n++
					}
				}
				qt.Check(t, n, qt.Equals, a.admitted, qt.Commentf("%+v", a))
			}
		})
	}
}

// TestSums guards against sums of unused and borrowed shares that differ from the teams' counts, and against teams that are never
// removed.
func TestSums(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l := New()
		type request struct {
			team    string
			urgency spec.Urgency
		}
		var inProgress []request
		for range rapid.IntRange(1, 80).Draw(t, "steps") {
			h := request{fmt.Sprintf("t%d", rapid.IntRange(0, 4).Draw(t, "team")), spec.Urgency(rapid.IntRange(0, 2).Draw(t, "urgency"))}
			switch rapid.IntRange(0, 5).Draw(t, "op") {
			case 0:
				l.Configure(view(rapid.SliceOfN(rapid.IntRange(0, 12), 0, 4).Draw(t, "limits")...))
			case 1:
				l.SetHosts(rapid.IntRange(0, 4).Draw(t, "hosts"))
			case 2:
				if len(inProgress) > 0 {
					l.Release(inProgress[0].team, inProgress[0].urgency)
					inProgress = inProgress[1:]
				}
			default:
				if l.Acquire(h.team, h.urgency, rapid.Bool().Draw(t, "capacity")) {
					inProgress = append(inProgress, h)
				}
			}
			unused, borrowed := l.unused, l.borrowed
			l.recount()
			if unused != l.unused || borrowed != l.borrowed || l.Total() != len(inProgress) {
				t.Fatalf("got unused %d, borrowed %d, total %d; want %d, %d, %d", unused, borrowed, l.Total(), l.unused, l.borrowed, len(inProgress))
			}
		}
		for _, h := range inProgress {
			l.Release(h.team, h.urgency)
		}
		l.Configure(view())
		if len(l.teams) != 0 {
			t.Fatalf("%d teams were not removed", len(l.teams))
		}
	})
}
