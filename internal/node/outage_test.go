package node

import (
	"context"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/fireflycleat/fireflycleat/pkg/lease"
)

// TestHubReadsTheLeaseAfterAReturn guards against two take-over times in a row without a controller, when the store comes back from a copy and the
// holder has failed: hubs waited for the record of before, and only then read the log.
func TestHubReadsTheLeaseAfterAReturn(t *testing.T) {
	t.Parallel()
	n := newTestNode(Settings{})
	n.parent = ""
	n.direct.Store(true)
	n.platform.Announce = func(context.Context, Member) (int64, error) { return 2, nil }
	n.storeEra = 1
	n.lease.Observe(n.now(), lease.Newest{Record: lease.Record{Holder: "a", Incarnation: "a.1", Fence: 1<<40 + 1}, Era: 1, End: 1}, 0)
	n.platform.Era = func() int64 { return 2 }
	qt.Assert(t, n.lease.Step(n.now()).Kind, qt.Equals, lease.Nothing)
	n.observeEra()
	qt.Assert(t, n.lease.Step(n.now().Add(time.Millisecond)).Kind, qt.Equals, lease.Read)
}
