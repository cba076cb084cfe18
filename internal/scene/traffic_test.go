package scene

import (
	"encoding/json"
	"fmt"
	"maps"
	"math/rand/v2"
	"net/http"
	"slices"
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
	unknown int
	slowest time.Duration
	slow    string            // Slow describes the slowest call.
	keys    map[string][2]int // The least and the most runs that the answers to bookings allow, by key.
}

// traffic start|stop runs callers=N against the model; stop reports calls that were cut off. A refusal that says "not run"
// with a retry time is not a cut, and at most refused=N of them are allowed, as are unknown=N bookings whose outcome is unknown.
// The services' counts decide whether "not run" and the answers of bookings are true. With at=HOST,... the callers use these
// hosts, with slowest=10s each call has to end in that time. With
// again=yes each booking is sent with the same key to the next of the hosts as well, whatever the first answer was.
func (w *world) traffic(a args) error {
	if a.words[0] == "start" {
		l := &load{stop: make(chan struct{}), reasons: make(map[string]int), keys: make(map[string][2]int)}
		for i := range a.number("callers", 4) {
			l.done.Go(func() { w.caller(l, i, a) })
		}
		w.loads[a.named["name"]] = l
		return nil
	}
	l := w.loads[a.named["name"]]
	close(l.stop)
	l.done.Wait()
	if len(l.faults) > 0 {
		return fmt.Errorf("%d calls whole, %d refused, %d faults: %s", l.whole, l.refused, len(l.faults), strings.Join(l.faults, "; "))
	}
	if most := a.duration("slowest", time.Hour); l.slowest > most {
		return fmt.Errorf("a call took %s, at most %s allowed: %s", l.slowest, most, l.slow)
	}
	if err := w.answersTrue(l); err != nil {
		return err
	}
	if l.unknown > a.number("unknown", 0) {
		return fmt.Errorf("%d calls whole, %d unknown: %v", l.whole, l.unknown, l.reasons)
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
		if at := a.named["at"]; at != "" {
			hosts := strings.Split(at, ",")
			host = hosts[index%len(hosts)]
		} else if time.Now().After(until) {
			if h, life := w.freshAddress(); h != "" {
				host, until = h, time.Now().Add(life)
			}
		}
		if host == "" {
			time.Sleep(100 * time.Millisecond)
			continue
		}
		var c *call
		key := fmt.Sprintf("t%s%d-%d", a.named["name"], index, n)
		if a.named["book"] == "yes" {
			c = w.book(host, key, "visit")
			if a.named["again"] == "yes" {
				<-c.done
				l.ended(c, host, key, true)
				hosts := strings.Split(a.named["at"], ",")
				host = hosts[(index+1)%len(hosts)]
				c = w.book(host, key, "visit")
			}
		} else {
			c = w.chat(host, a.text("model", "m1"), fmt.Sprintf("caller %d call %d", index, n), a.number("tokens", 30), nil)
		}
		<-c.done
		l.ended(c, host, key, a.named["book"] == "yes")
		time.Sleep(20 * time.Millisecond)
	}
}

// ended counts a call by its answer.
func (l *load) ended(c *call, host, key string, booking bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if c.took > l.slowest {
		l.slowest, l.slow = c.took, fmt.Sprintf("%s: whole %t, code %d %s", host, c.whole, c.code, c.detail)
	}
	runs := [2]int{0, 1}
	switch {
	case c.whole:
		l.whole++
		runs = [2]int{1, 1}
	case c.out == "notRun":
		l.refused++
		l.reasons[fmt.Sprintf("%d %s at %s", c.code, c.detail, host)]++
		runs = [2]int{0, 0}
	case booking && c.out == "unknown":
		l.unknown++
		l.reasons[fmt.Sprintf("%d %s at %s", c.code, c.detail, host)]++
	default:
		l.faults = append(l.faults, fmt.Sprintf("%s: code %d %s %s after %s", host, c.code, c.out, c.detail, c.took))
	}
	if old, ok := l.keys[key]; booking && ok {
		runs = [2]int{max(old[0], runs[0]), max(old[1], runs[1])}
	}
	if booking {
		l.keys[key] = runs
	}
}

// again NAME HOST sends bookings of a load that has stopped once more with the same keys, and compares the runs with both
// answers. It sends at most 100 keys, evenly chosen, and all at once, because a host that cannot reach the holder of a range
// answers only after some seconds.
func (w *world) again(a args) error {
	l := w.loads[a.words[0]]
	keys := slices.Sorted(maps.Keys(l.keys))
	var group sync.WaitGroup
	for i := 0; i < len(keys); i += len(keys)/100 + 1 {
		group.Go(func() {
			c := w.book(a.words[1], keys[i], "visit")
			<-c.done
			l.ended(c, a.words[1], keys[i], true)
		})
	}
	group.Wait()
	if len(keys) == 0 || len(l.faults) > 0 {
		return fmt.Errorf("%d keys sent again, faults: %s", len(keys), strings.Join(l.faults, "; "))
	}
	return w.answersTrue(l)
}

// answersTrue compares the answers to bookings with the runs that the services counted.
func (w *world) answersTrue(l *load) error {
	for key, allowed := range l.keys {
		runs := 0
		for _, s := range w.names("service") {
			var r wire.PlainRuns
			if err := w.request(http.MethodGet, s, "/v1/runs?key="+key, nil, &r); err != nil {
				return err
			}
			runs += r.Runs
		}
		if runs < allowed[0] || runs > allowed[1] {
			return fmt.Errorf("booking %s ran %d times, its answer allows %d to %d", key, runs, allowed[0], allowed[1])
		}
	}
	return nil
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
		var x wire.AddressResponse
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
