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

// workload is a group of callers, each of which keeps an address for its lifetime and sends one call after the other.
type workload struct {
	stop        chan struct{}
	callers     sync.WaitGroup
	mu          sync.Mutex
	complete    int
	failures    []string
	refused     int
	reasons     map[string]int
	unknown     int
	slowest     time.Duration
	slowestCall string            // description of the slowest call
	allowedRuns map[string][2]int // minimum and maximum number of runs that the answers allow, by booking key
}

// traffic start|stop runs callers=N that send calls in between, and fails if a call was cut off. A refusal with the outcome notRun
// is not a failure, but at most refused=N are allowed, and at most unknown=N bookings with an unknown outcome. At least atLeast=N
// calls must be complete. The services' counts are compared with the answers to bookings, including notRun. With at=HOST,... the
// callers use these hosts. With slowest=10s each call has to end within that time. With again=yes each booking is also sent to
// the next of these hosts with the same key, whatever the first answer was.
func (sc *scenario) traffic(a args) error {
	if a.positional[0] == "start" {
		l := &workload{stop: make(chan struct{}), reasons: make(map[string]int), allowedRuns: make(map[string][2]int)}
		for i := range a.number("callers", 4) {
			l.callers.Go(func() { sc.runCaller(l, i, a) })
		}
		sc.workloads[a.named["name"]] = l
		return nil
	}
	l := sc.workloads[a.named["name"]]
	close(l.stop)
	l.callers.Wait()
	if len(l.failures) > 0 {
		return fmt.Errorf("%d calls complete, %d refused, %d failed: %s", l.complete, l.refused, len(l.failures), strings.Join(l.failures, "; "))
	}
	if bound := a.duration("slowest", time.Hour); l.slowest > bound {
		return fmt.Errorf("a call took %s, at most %s allowed: %s", l.slowest, bound, l.slowestCall)
	}
	if err := sc.checkRuns(l); err != nil {
		return err
	}
	if l.unknown > a.number("unknown", 0) {
		return fmt.Errorf("%d calls complete, %d with unknown outcome: %v", l.complete, l.unknown, l.reasons)
	}
	if l.complete < a.number("atLeast", 1) || l.refused > a.number("refused", 0) {
		return fmt.Errorf("%d calls complete, %d refused: %v", l.complete, l.refused, l.reasons)
	}
	return nil
}

func (sc *scenario) runCaller(l *workload, index int, a args) {
	var host string
	var validUntil time.Time
	for n := 0; ; n++ {
		select {
		case <-l.stop:
			return
		default:
		}
		if at := a.named["at"]; at != "" {
			hosts := strings.Split(at, ",")
			host = hosts[index%len(hosts)]
		} else if time.Now().After(validUntil) {
			if h, lifetime := sc.lookUpAddress(); h != "" {
				host, validUntil = h, time.Now().Add(lifetime)
			}
		}
		if host == "" {
			time.Sleep(100 * time.Millisecond)
			continue
		}
		var c *call
		key := fmt.Sprintf("t%s%d-%d", a.named["name"], index, n)
		if a.named["book"] == "yes" {
			c = sc.book(host, key, "visit")
			if a.named["again"] == "yes" {
				<-c.done
				l.record(c, host, key, true)
				hosts := strings.Split(a.named["at"], ",")
				host = hosts[(index+1)%len(hosts)]
				c = sc.book(host, key, "visit")
			}
		} else {
			c = sc.chat(host, a.text("model", "m1"), fmt.Sprintf("caller %d call %d", index, n), a.number("tokens", 30), nil)
		}
		<-c.done
		l.record(c, host, key, a.named["book"] == "yes")
		time.Sleep(20 * time.Millisecond)
	}
}

// record counts a call by its result and updates the number of runs that the answers for its key allow.
func (l *workload) record(c *call, host, key string, booking bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if c.duration > l.slowest {
		l.slowest, l.slowestCall = c.duration, fmt.Sprintf("%s: complete %t, code %d %s", host, c.complete, c.code, c.detail)
	}
	runs := [2]int{0, 1}
	switch {
	case c.complete:
		l.complete++
		runs = [2]int{1, 1}
	case c.outcome == "notRun":
		l.refused++
		l.reasons[fmt.Sprintf("%d %s at %s", c.code, c.detail, host)]++
		runs = [2]int{0, 0}
	case booking && c.outcome == "unknown":
		l.unknown++
		l.reasons[fmt.Sprintf("%d %s at %s", c.code, c.detail, host)]++
	default:
		l.failures = append(l.failures, fmt.Sprintf("%s: code %d %s %s after %s", host, c.code, c.outcome, c.detail, c.duration))
	}
	if earlier, ok := l.allowedRuns[key]; booking && ok {
		runs = [2]int{max(earlier[0], runs[0]), max(earlier[1], runs[1])}
	}
	if booking {
		l.allowedRuns[key] = runs
	}
}

// again NAME HOST resends bookings of a stopped workload with the same keys, and compares the services' runs with both answers. It
// sends at most 100 keys, evenly chosen, all at the same time, because a host that can't reach the holder of a key range answers
// only after some seconds.
func (sc *scenario) again(a args) error {
	l := sc.workloads[a.positional[0]]
	keys := slices.Sorted(maps.Keys(l.allowedRuns))
	var group sync.WaitGroup
	for i := 0; i < len(keys); i += len(keys)/100 + 1 {
		group.Go(func() {
			c := sc.book(a.positional[1], keys[i], "visit")
			<-c.done
			l.record(c, a.positional[1], keys[i], true)
		})
	}
	group.Wait()
	if len(keys) == 0 || len(l.failures) > 0 {
		return fmt.Errorf("%d keys sent again, failed calls: %s", len(keys), strings.Join(l.failures, "; "))
	}
	return sc.checkRuns(l)
}

// checkRuns checks that the services ran each booking as often as the answers to it allow.
func (sc *scenario) checkRuns(l *workload) error {
	for key, allowed := range l.allowedRuns {
		runs := 0
		for _, s := range sc.processNames("service") {
			var r wire.PlainRuns
			if err := sc.request(http.MethodGet, s, "/v1/runs?key="+key, nil, &r); err != nil {
				return err
			}
			runs += r.Runs
		}
		if runs < allowed[0] || runs > allowed[1] {
			return fmt.Errorf("booking %s ran %d times, its answers allow %d to %d", key, runs, allowed[0], allowed[1])
		}
	}
	return nil
}

// lookUpAddress requests the address to use from the hosts in random order, until one answers. It returns the name of the host at
// that address and the lifetime of the answer.
func (sc *scenario) lookUpAddress() (string, time.Duration) {
	hosts := sc.processNames("host")
	rand.Shuffle(len(hosts), func(i, j int) { hosts[i], hosts[j] = hosts[j], hosts[i] })
	client := http.Client{Timeout: time.Second}
	for _, h := range hosts {
		response, err := client.Get("http://" + sc.proc(h).address + "/v1/address?dataCentre=" + sc.dataCentres[0])
		if err != nil {
			continue
		}
		var x wire.AddressResponse
		err = json.NewDecoder(response.Body).Decode(&x)
		_ = response.Body.Close()
		if err != nil || len(x.Addresses) == 0 {
			continue
		}
		for _, name := range hosts {
			if sc.proc(name).address == x.Addresses[0] {
				return name, time.Duration(x.LifetimeSeconds * float64(time.Second))
			}
		}
	}
	return "", 0
}
