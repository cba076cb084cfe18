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
	qt.Assert(t, hubs.Parent([]string{"b", "a"}, "b"), qt.Equals, "")
	qt.Assert(t, hubs.Parent(nil, "b"), qt.Equals, "")
}

// TestParentsAreSpread guards against a single hub that serves most hosts of its data centre.
func TestParentsAreSpread(t *testing.T) {
	counts := make(map[string]int)
	for i := range 300 {
		counts[hubs.Parent([]string{"a", "b", "c"}, fmt.Sprint("host", i))]++
	}
	for _, h := range []string{"a", "b", "c"} {
		qt.Check(t, counts[h] > 60, qt.IsTrue, qt.Commentf("%v", counts))
	}
}
