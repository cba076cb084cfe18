package entry

import (
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/fireflycleat/fireflycleat/pkg/retry"
	"github.com/fireflycleat/fireflycleat/pkg/route"
	"github.com/fireflycleat/fireflycleat/pkg/spec"
)

// TestBulkIsRefusedWhenSaturated guards against bulk work that is queued until shortly before its deadline although urgent work
// permanently takes all slots, and against bulk work that is refused although it could start.
func TestBulkIsRefusedWhenSaturated(t *testing.T) {
	for _, x := range []struct {
		urgent  int // slots, of four, that urgent work takes permanently
		sent    bool
		refused bool
	}{{0, true, false}, {2, false, false}, {4, false, true}} {
		e := New(Defaults("c0", "dc0"), testView("m0"), rand.New(rand.NewPCG(1, 1)))
		now := epoch
		e.Handle(now, Directory{Cell: "c0", Seq: 1, Replicas: []route.Replica{
			{Upstream: "u0", DataCentre: "dc0", Model: "m0", Slots: 4, Ready: true},
		}})
		id := uint64(0)
		for range 30 {
			first := id + 1
			for range x.urgent {
				id++
				e.Handle(now, Arrive{ID: id, Request: Request{Team: "t2", Model: "m0", Deadline: now.Add(time.Second), Repeatable: true}})
				e.Handle(now, FirstToken{ID: id, Attempt: 1})
			}
			now = now.Add(time.Second)
			for ; first <= id && now.Before(epoch.Add(30*time.Second)); first++ {
				e.Handle(now, AttemptEnded{ID: first, Attempt: 1, Result: retry.Done, Tokens: 100})
			}
		}
		sent, refused := false, false
		for _, a := range e.Handle(now, Arrive{ID: 1000, Request: Request{
			Team: "t2", Model: "m0", Urgency: spec.Bulk, Deadline: now.Add(20 * time.Second), Repeatable: true,
		}}) {
			switch a := a.(type) {
			case Send:
				sent = true
			case Refuse:
				refused = true
				qt.Check(t, a.RetryAfter > 0, qt.IsTrue)
			}
		}
		qt.Check(t, sent, qt.Equals, x.sent, qt.Commentf("%v", x))
		qt.Check(t, refused, qt.Equals, x.refused, qt.Commentf("%v", x))
	}
}
