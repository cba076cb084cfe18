package scene

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/fireflycleat/fireflycleat/internal/wire"
)

// load is callers that keep an address for its lifetime and send calls one after the other.
type load struct {
	stop    chan struct{}
	done    sync.WaitGroup
	mu      sync.Mutex
	whole   int
	faults  []string
	refused int
	reasons map[string]int
}

// traffic start|stop runs callers=N against the model; stop reports calls that were cut off. A refusal that says "not run"
// with a retry time is not a cut, and at most refused=N of them are allowed.
func (w *world) traffic(a args) error {
	if a.words[0] == "start" {
		l := &load{stop: make(chan struct{}), reasons: make(map[string]int)}
		for i := range a.number("callers", 4) {
			l.done.Go(func() { w.caller(l, i, a) })
		}
		w.load = l
		return nil
	}
	l := w.load
	close(l.stop)
	l.done.Wait()
	if len(l.faults) > 0 {
		return fmt.Errorf("%d calls whole, %d refused, %d faults: %s", l.whole, l.refused, len(l.faults), strings.Join(l.faults, "; "))
	}
	if l.whole < a.number("atLeast", 1) || l.refused > a.number("refused", 0) {
		return fmt.Errorf("%d calls whole, %d refused: %v", l.whole, l.refused, l.reasons)
	}
	return nil
}

func (w *world) caller(l *load, index int, a args) {
	var host string
	var until time.Time
	for n := 0; ; n++ {
		select {
		case <-l.stop:
			return
		default:
		}
		if time.Now().After(until) {
			if h, life := w.freshAddress(); h != "" {
				host, until = h, time.Now().Add(life)
			}
		}
		if host == "" {
			time.Sleep(100 * time.Millisecond)
			continue
		}
		var c *call
		if a.named["book"] == "yes" {
			c = w.book(host, fmt.Sprintf("t%d-%d", index, n), "visit")
		} else {
			c = w.chat(host, a.text("model", "m1"), fmt.Sprintf("caller %d call %d", index, n), a.number("tokens", 30), nil)
		}
		<-c.done
		l.mu.Lock()
		switch {
		case c.whole:
			l.whole++
		case c.out == "notRun":
			l.refused++
			l.reasons[fmt.Sprintf("%d %s at %s", c.code, c.detail, host)]++
		default:
			l.faults = append(l.faults, fmt.Sprintf("%s: code %d %s %s after %s", host, c.code, c.out, c.detail, c.took))
		}
		l.mu.Unlock()
		time.Sleep(20 * time.Millisecond)
	}
}

// freshAddress asks a living host which address to use, and returns the name of the host behind it.
func (w *world) freshAddress() (string, time.Duration) {
	hosts := w.names("host")
	rand.Shuffle(len(hosts), func(i, j int) { hosts[i], hosts[j] = hosts[j], hosts[i] })
	client := http.Client{Timeout: time.Second}
	for _, h := range hosts {
		answer, err := client.Get("http://" + w.proc(h).address + "/v1/address?dataCentre=" + w.centres[0])
		if err != nil {
			continue
		}
		var x wire.AddressAnswer
		err = json.NewDecoder(answer.Body).Decode(&x)
		_ = answer.Body.Close()
		if err != nil || len(x.Addresses) == 0 {
			continue
		}
		for _, name := range hosts {
			if w.proc(name).address == x.Addresses[0] {
				return name, time.Duration(x.LifetimeSeconds * float64(time.Second))
			}
		}
	}
	return "", 0
}
