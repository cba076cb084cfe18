package relay_test

import (
	"context"
	"net/http"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/fireflycleat/fireflycleat/internal/relay"
	"github.com/fireflycleat/fireflycleat/pkg/codes"
	"github.com/fireflycleat/fireflycleat/pkg/fleet"
)

// TestDigestOfARequest guards against repeats of a request that can't be recognised because their body comes in other pieces, or with other
// headers, and against different requests that count as repeats of each other.
func TestDigestOfARequest(t *testing.T) {
	t.Parallel()
	var digest uint64
	url := startRelay(t, fleet.Route{Kind: fleet.Safe, Timeout: time.Second}, relay.Control{
		Choose: func(_ context.Context, c *relay.Call, _ map[string]bool) (relay.Ticket, error) {
			digest = c.Digest
			return relay.Ticket{}, codes.New(codes.NoUpstream, "")
		},
	})
	send := func(method, path, body, id string, chunked bool) uint64 {
		q, err := http.NewRequest(method, url+path, strings.NewReader(body))
		qt.Assert(t, err, qt.IsNil)
		q.Header.Set("Request-Id", id)
		if chunked {
			q.ContentLength = -1
		}
		r, err := http.DefaultClient.Do(q)
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, r.Body.Close(), qt.IsNil)
		return digest
	}
	body := strings.Repeat("visit", 1<<14)
	first := send(http.MethodPost, "/x?y=1", body, "r1", false)
	qt.Check(t, send(http.MethodPost, "/x?y=1", body, "r2", false), qt.Equals, first)
	qt.Check(t, send(http.MethodPost, "/x?y=1", body, "r3", true), qt.Equals, first)
	for _, other := range []uint64{
		send(http.MethodPut, "/x?y=1", body, "r4", false), send(http.MethodPost, "/x?y=2", body, "r5", false),
		send(http.MethodPost, "/x?y=1", body[1:], "r6", false), send(http.MethodPost, "/x?y=1", "", "r7", false),
	} {
		qt.Check(t, other, qt.Not(qt.Equals), first)
	}
}
