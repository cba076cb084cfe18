package node

import (
	"io"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/fireflycleat/fireflycleat/internal/conns"
	"github.com/fireflycleat/fireflycleat/internal/telem"
)

// TestSilentHubInAnOutage guards against a host that goes on relying on a hub that does not answer, and so learns seconds late what
// the store tells after an outage.
func TestSilentHubInAnOutage(t *testing.T) {
	t.Parallel()
	n := New(Settings{}, Platform{}, conns.New(conns.Settings{}), telem.NewJSONLogs(io.Discard, "h"))
	n.parent, n.listed = "hub", true
	n.members["hub"] = &member{Member: Member{Name: "hub"}}
	n.listAt = time.Now().Add(-time.Minute)
	n.chooseSource()
	qt.Assert(t, n.direct.Load(), qt.IsTrue)
	for range outageFailures {
		n.outage.failed(time.Now())
	}
	n.stale("hub")
	qt.Assert(t, n.direct.Load(), qt.IsFalse, qt.Commentf("a hub that answers tells of the end"))
	qt.Assert(t, n.members["hub"].staleAt.IsZero(), qt.IsTrue)
	n.silent("hub")
	qt.Assert(t, n.direct.Load(), qt.IsTrue)
	qt.Assert(t, n.members["hub"].staleAt.IsZero(), qt.IsFalse)
}
