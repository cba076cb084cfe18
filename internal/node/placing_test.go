package node

import (
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// TestUpdatesEndAfterTwoHops guards against two hosts that forward the same update to each other endlessly, because each counts as
// dependent on the other.
func TestUpdatesEndAfterTwoHops(t *testing.T) {
	t.Parallel()
	now := time.Now()
	n := &Node{hubs: map[string]bool{"hub": true, "both": true}, members: map[string]*member{
		"hub":    {Member: Member{Name: "hub"}, lastSeen: now},
		"both":   {Member: Member{Name: "both"}, lastSeen: now, lastQuery: now},
		"child":  {Member: Member{Name: "child"}, lastSeen: now, lastQuery: now},
		"other":  {Member: Member{Name: "other"}, lastSeen: now},
		"silent": {Member: Member{Name: "silent"}, lastSeen: now.Add(-livenessTimeout), lastQuery: now},
	}}
	for hops, want := range []struct{ hubs, children []string }{{[]string{"both", "hub"}, []string{"child"}}, {nil, []string{"both", "child"}}, {}} {
		hubs, children := n.recipients(now, hops)
		qt.Assert(t, names(hubs), qt.DeepEquals, want.hubs)
		qt.Assert(t, names(children), qt.DeepEquals, want.children)
	}
}

func names(list []Member) []string {
	var names []string
	for _, m := range list {
		names = append(names, m.Name)
	}
	slices.Sort(names)
	return names
}
