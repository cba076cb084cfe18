package node

import (
	"io"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/fireflycleat/fireflycleat/internal/conns"
	"github.com/fireflycleat/fireflycleat/internal/telem"
)

// TestSilentHubInAnOutage guards against a host that keeps relying on a hub that doesn't answer. After an outage of the store,
// such a host received updates seconds late.
func TestSilentHubInAnOutage(t *testing.T) {
	t.Parallel()
	n := New(Settings{}, Platform{}, conns.New(conns.Settings{}), telem.NewJSONLogs(io.Discard, "h"))
	n.parent, n.hasList = "hub", true
	n.members["hub"] = &member{Member: Member{Name: "hub"}}
	n.listAt = time.Now().Add(-time.Minute)
	n.chooseSource()
	qt.Assert(t, n.direct.Load(), qt.IsTrue)
	for range outageFailures {
		n.outage.recordFailure(time.Now())
	}
	n.markHubStale("hub")
	qt.Assert(t, n.direct.Load(), qt.IsFalse, qt.Commentf("a hub that answers reports the end of the outage"))
	qt.Assert(t, n.members["hub"].staleAt.IsZero(), qt.IsTrue)
	n.markHubSilent("hub")
	qt.Assert(t, n.direct.Load(), qt.IsTrue)
	qt.Assert(t, n.members["hub"].staleAt.IsZero(), qt.IsFalse)
}
