package hubs_test

import (
	"fmt"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/fireflycleat/fireflycleat/pkg/hubs"
)

// TestChoose guards against a hub that has little capacity, is unusable or belongs to another data centre.
func TestChoose(t *testing.T) {
	list := []hubs.Host{
		{"a", "x", 200, true}, {"b", "x", 800, true}, {"c", "x", 800, false}, {"d", "x", 200, true}, {"e", "y", 900, true}, {"f", "x", 100, true}, {"g", "x", 100, true},
	}
	qt.Assert(t, hubs.Choose(list, "x"), qt.DeepEquals, []string{"b", "a"})
	qt.Assert(t, hubs.Choose(list[:4], "x"), qt.DeepEquals, []string{"b", "a", "d"}, qt.Commentf("only three hosts are usable"))
	qt.Assert(t, hubs.Choose(list, "y"), qt.DeepEquals, []string{"e"})
	qt.Assert(t, hubs.Choose(list, "z"), qt.HasLen, 0)
	qt.Assert(t, hubs.Parent(list, "x", "b"), qt.Equals, "")
	qt.Assert(t, hubs.Parent(nil, "x", "b"), qt.Equals, "")
}

// TestParentsAreSpread guards against a single hub that serves most hosts of its data centre.
func TestParentsAreSpread(t *testing.T) {
	counts := make(map[string]int)
	list := []hubs.Host{{"a", "x", 800, true}, {"b", "x", 800, true}, {"c", "x", 200, true}, {"d", "x", 200, true}}
	for i := range 300 {
		counts[hubs.Parent(list, "x", fmt.Sprint("host", i))]++
	}
	for _, h := range []string{"a", "b"} {
		qt.Check(t, counts[h] > 120, qt.IsTrue, qt.Commentf("%v", counts))
	}
}

// TestSmallHubHasFewHosts guards against hosts that turn to the store because their hub is a small host, in place of a large one that restarts,
// and half of the data centre waits for its answers.
func TestSmallHubHasFewHosts(t *testing.T) {
	list := []hubs.Host{{"a", "x", 800, true}, {"b", "x", 800, false}, {"c", "x", 200, true}, {"d", "x", 200, true}, {"e", "x", 0, true}}
	counts := make(map[string]int)
	for i := range 300 {
		counts[hubs.Parent(list, "x", fmt.Sprint("host", i))]++
	}
	qt.Assert(t, counts["c"] > 40 && counts["c"] < 80, qt.IsTrue, qt.Commentf("%v", counts))
	qt.Assert(t, counts["a"]+counts["c"], qt.Equals, 300)
}
