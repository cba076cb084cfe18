package relay_test

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/fireflycleat/fireflycleat/internal/conns"
	"github.com/fireflycleat/fireflycleat/internal/relay"
	"github.com/fireflycleat/fireflycleat/pkg/fleet"
)

// TestCancelledPartsAreEvidence guards against evidence about a crash that lacks the request at fault: a host that knew only the other
// requests there cancelled it, and the others were blamed.
func TestCancelledPartsAreEvidence(t *testing.T) {
	c := qt.New(t)
	for _, head := range []bool{false, true} {
		running, headRead := make(chan struct{}), make(chan struct{})
		upstream := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
			_, _ = io.Copy(io.Discard, q.Body)
			if head {
				w.WriteHeader(http.StatusOK)
				w.(http.Flusher).Flush()
			}
			close(running)
			<-q.Context().Done()
		}))
		k := newControl(c, fleet.Stream, upstream.Listener.Addr().String())
		k.Guard = func(_ *relay.Call, cancel context.CancelCauseFunc) func() {
			go func() {
				<-running
				if head {
					<-headRead
				}
				cancel(relay.ErrPartsRefused)
			}()
			return func() {}
		}
		var broken []relay.Progress
		k.Broken = func(_ *relay.Call, _ relay.Ticket, p relay.Progress) bool {
			broken = append(broken, p)
			return false
		}
		k.RequestEnded = func(relay.RequestSummary) {}
		pool := conns.New(conns.Settings{DialTimeout: time.Second, UserTimeout: time.Second})
		d := dialect
		d.Classify = func(int, http.Header) relay.ResponseClass {
			close(headRead)
			return relay.Final
		}
		host := httptest.NewServer(relay.New(d, k, pool))
		q, err := http.NewRequest(http.MethodPost, host.URL+"/x", strings.NewReader("x"))
		c.Assert(err, qt.IsNil)
		q.Host = "a"
		r, err := http.DefaultClient.Do(q)
		c.Assert(err, qt.IsNil)
		r.Body.Close()
		host.Close()
		pool.Close()
		upstream.Close()
		c.Check(broken, qt.DeepEquals, []relay.Progress{{Head: head}})
	}
}
