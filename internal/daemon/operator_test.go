package daemon

import (
	"io"
	"net"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/fireflycleat/fireflycleat/internal/setup"
	"github.com/fireflycleat/fireflycleat/internal/telem"
	"github.com/fireflycleat/fireflycleat/pkg/fold"
	"github.com/fireflycleat/fireflycleat/pkg/spec"
)

func freeAddress(c *qt.C) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	defer func() { _ = l.Close() }()
	return l.Addr().String()
}

// TestAcceptedChangeIsInForce guards against a change that is answered as accepted before it is in force at the same host: a caller's
// request with the key of a team that had just been published ended with code 2001.
func TestAcceptedChangeIsInForce(t *testing.T) {
	c := qt.New(t)
	s, problems := setup.Parse("test.toml", []byte(`
[host]
name = "h"
dataCentre = "a"
[listen]
traffic = "`+freeAddress(c)+`"
peers = "`+freeAddress(c)+`"
operator = "`+freeAddress(c)+`"
[platform]
log = "`+freeAddress(c)+`"
hostList = "`+freeAddress(c)+`"
[store]
loadsPerSecond = 4
slots = 4
adaptersInFlight = 30
`))
	c.Assert(problems, qt.HasLen, 0)
	d, err := New(s, telem.NewJSONLogs(io.Discard, "h"))
	c.Assert(err, qt.IsNil)
	go func() { _ = d.control.Run() }()
	c.Cleanup(func() {
		d.control.Stop()
		d.close()
	})

	var inForce atomic.Bool
	answered := make(chan bool)
	go func() {
		_, err := d.appendChange(t.Context(), fold.SetTeam("change", d.incarnation, 0, spec.Team{Name: "team"}))
		answered <- err == nil && inForce.Load()
	}()
	for accepted := false; !accepted; {
		d.control.Ask(func() {
			if _, accepted = d.appender.pending["change"]; !accepted {
				return
			}
			d.appender.finish("change", 1, nil)
			time.Sleep(50 * time.Millisecond) // the rest of the step, in which the view is stored
			inForce.Store(true)
		})
	}
	c.Assert(<-answered, qt.IsTrue)
}
