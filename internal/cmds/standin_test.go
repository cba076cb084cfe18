package cmds

import (
	"bufio"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/fireflycleat/fireflycleat/internal/wire"
)

// startStandin runs a stand-in on a free port and returns its address. The function stop stops the stand-in and returns the error
// of its command.
func startStandin(c *qt.C, args ...string) (address string, stop func() error) {
	ctx, cancel := context.WithCancel(context.Background())
	r, w := io.Pipe()
	root := newRoot()
	root.SetArgs(append([]string{"standin"}, args...))
	root.SetOut(w)
	finished := make(chan error, 1)
	go func() {
		err := root.ExecuteContext(ctx)
		_ = w.CloseWithError(io.ErrClosedPipe) // unblocks the reader if the command fails before it listens
		finished <- err
	}()
	line, _ := bufio.NewReader(r).ReadString('\n')
	address, ok := strings.CutPrefix(strings.TrimSpace(line), "listening on ")
	c.Assert(ok, qt.IsTrue, qt.Commentf("first line %q", line))
	return address, func() error { cancel(); return <-finished }
}

func post(c *qt.C, url, body string) int {
	a, err := http.Post(url, "application/json", strings.NewReader(body))
	c.Assert(err, qt.IsNil)
	defer a.Body.Close()
	return a.StatusCode
}

// TestStandinCommands guards against stand-in commands that do not print their address, do not accept faults, or do not stop
// while a call is held open.
func TestStandinCommands(t *testing.T) {
	for _, name := range []string{"log", "store", "hosts", "engine", "service"} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			address, stop := startStandin(c, name, "--one-way", "1ms")
			c.Check(post(c, "http://"+address+"/faults", `{}`), qt.Equals, 200)
			c.Check(post(c, "http://"+address+"/faults", `{"noSuchFault":1}`), qt.Equals, 400)
			go func() {
				if a, err := http.Get("http://" + address + "/v1/streams/s/records?waitMillis=60000"); err == nil {
					_ = a.Body.Close()
				}
			}()
			time.Sleep(20 * time.Millisecond)
			start := time.Now()
			c.Check(stop(), qt.IsNil)
			c.Check(time.Since(start) < 5*time.Second, qt.IsTrue)
		})
	}
}

// TestEngineUsesStore guards against engines that load weights without calling the store, so that the limits of the store would
// not apply to all its engines together.
func TestEngineUsesStore(t *testing.T) {
	c := qt.New(t)
	storeAddress, stopStore := startStandin(c, "store", "--slots", "1", "--loads", "0")
	engine, stopEngine := startStandin(c, "engine", "--store", storeAddress, "--remote-rate", "10000", "--cached", "d:1:disk")
	start := time.Now()
	c.Assert(post(c, "http://"+storeAddress+"/faults", `{"slowdown":3}`), qt.Equals, 200)
	c.Assert(post(c, "http://"+engine+"/v1/orders", `{"id":"1","op":"load","model":"m","version":"1","bytes":1000}`), qt.Equals, 202)
	c.Assert(post(c, "http://"+engine+"/v1/orders", `{"id":"2","op":"load","model":"d","version":"1","bytes":1000}`), qt.Equals, 202)
	var s wire.EngineStatus
	ready := func() (n int) {
		a, err := http.Get("http://" + engine + "/v1/status")
		c.Assert(err, qt.IsNil)
		defer a.Body.Close()
		c.Assert(json.NewDecoder(a.Body).Decode(&s), qt.IsNil)
		for _, r := range s.Replicas {
			if r.Ready {
				n++
			}
		}
		return n
	}
	for ready() < 1 {
		time.Sleep(5 * time.Millisecond)
	}
	c.Check(s.Replicas[1].Ready && !s.Replicas[0].Ready, qt.IsTrue, qt.Commentf("the cached model is ready first"))
	for ready() < 2 {
		time.Sleep(5 * time.Millisecond)
	}
	c.Check(time.Since(start) >= 300*time.Millisecond, qt.IsTrue, qt.Commentf("100 ms at a third of the speed took %v", time.Since(start)))
	c.Check(stopEngine(), qt.IsNil)
	c.Check(stopStore(), qt.IsNil)
}

// TestStandinArguments guards against invalid arguments of stand-ins that are accepted.
func TestStandinArguments(t *testing.T) {
	for _, args := range []string{"engine --cached m", "engine --cached m:1:remote", "engine --slots x", "log --listen nowhere", "log extra"} {
		root := newRoot()
		root.SetArgs(append([]string{"standin"}, strings.Fields(args)...))
		root.SetOut(io.Discard)
		qt.Check(t, root.Execute(), qt.IsNotNil, qt.Commentf("%s", args))
	}
}
