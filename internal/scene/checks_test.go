package scene

import (
	"fmt"
	"io"
	"net/http"
	"regexp"
	"sort"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/fireflycleat/fireflycleat/internal/telem"
	"github.com/fireflycleat/fireflycleat/internal/wire"
)

var controlMetric = regexp.MustCompile(`(?m)^fireflycleat_control_bytes_total\{direction="\w+",link="(\w+)"\} (.+)$`)

// atMostOnce implements the command atmostonce: it checks by the services' own counts that no key ran twice on a service, and that
// key=KEY, or all keys together, ran exactly runs=N or at most atMost=N times over all services.
func (sc *scenario) atMostOnce(a args) error {
	runs := 0
	for _, s := range sc.processNames("service") {
		var t wire.PlainTotals
		if err := sc.request(http.MethodGet, s, "/v1/runs", nil, &t); err != nil {
			return err
		}
		if t.Repeated > 0 {
			return fmt.Errorf("%s ran %d keys more than once", s, t.Repeated)
		}
		if key, ok := a.named["key"]; ok {
			var r wire.PlainRuns
			if err := sc.request(http.MethodGet, s, "/v1/runs?key="+key, nil, &r); err != nil {
				return err
			}
			runs += r.Runs
		} else {
			runs += t.Runs
		}
	}
	if want, ok := a.named["runs"]; ok && want != strconv.Itoa(runs) {
		return fmt.Errorf("services ran %d calls, want %s", runs, want)
	}
	if bound := a.number("atMost", -1); bound >= 0 && runs > bound {
		return fmt.Errorf("services ran %d calls, at most %d allowed", runs, bound)
	}
	return nil
}

// audit checks by the engines' own records that memory was never exceeded and that no model had more than maxReplicas=N replicas
// at any time. With loads=N it also limits the number of loads.
func (sc *scenario) audit(a args) error {
	type replicaChange struct {
		at    time.Time
		delta int
	}
	changes := make(map[string][]replicaChange)
	loads := 0
	for _, e := range sc.processNames("engine") {
		var x wire.EngineAudit
		if err := sc.request(http.MethodGet, e, "/v1/audit", nil, &x); err != nil {
			return err
		}
		if x.CapacityExceeded > 0 {
			return fmt.Errorf("%s exceeded its memory %d times", e, x.CapacityExceeded)
		}
		loads += x.Loads
		for _, r := range x.Replicas {
			changes[r.Model] = append(changes[r.Model], replicaChange{r.From, 1})
			if !r.To.IsZero() {
				changes[r.Model] = append(changes[r.Model], replicaChange{r.To, -1})
			}
		}
	}
	limit := a.number("maxReplicas", 2)
	for model, list := range changes {
		sort.SliceStable(list, func(i, j int) bool {
			return list[i].at.Before(list[j].at) || list[i].at.Equal(list[j].at) && list[i].delta < list[j].delta
		})
		n := 0
		for _, x := range list {
			if n += x.delta; n > limit {
				return fmt.Errorf("%d replicas of %s at the same time, at most %d allowed", n, model, limit)
			}
		}
	}
	if bound := a.number("loads", -1); bound >= 0 && loads > bound {
		return fmt.Errorf("engines completed %d loads, at most %d allowed", loads, bound)
	}
	return nil
}

// loaded MODEL waits until count=1 ready replicas of the model exist; with count=0 until there is none.
func (sc *scenario) loaded(a args) error {
	return await(a.duration("within", readyTimeout), func() error {
		n := 0
		for _, e := range sc.processNames("engine") {
			var s wire.EngineStatus
			if err := sc.request(http.MethodGet, e, "/v1/status", nil, &s); err != nil {
				return err
			}
			for _, r := range s.Replicas {
				if r.Model == a.positional[0] && r.Ready {
					n++
				}
			}
		}
		if n != a.number("count", 1) {
			return fmt.Errorf("%d replicas of %s are ready", n, a.positional[0])
		}
		return nil
	})
}

// inForce implements the command inforce: it waits until each running host reports that it has reached offset=N. except=NAME
// leaves a host out.
func (sc *scenario) inForce(a args) error {
	offset, err := strconv.ParseInt(a.named["offset"], 10, 64)
	if err != nil {
		return err
	}
	return await(a.duration("within", 7*time.Second), func() error {
		for _, name := range sc.processNames("host") {
			var s wire.Status
			if !sc.running(name) || name == a.named["except"] {
				continue
			}
			if err := sc.request(http.MethodGet, name, "/v1/status", nil, &s); err != nil {
				return err
			}
			if s.Offset < offset {
				return fmt.Errorf("%s is at offset %d, want %d", name, s.Offset, offset)
			}
		}
		return nil
	})
}

// publish MODEL HOST... sends conflicting changes of a model with the same base to several hosts at the same time. It checks that
// want=N are accepted, that a refusal has the result code reason=CODE, and that the accepted change is in force on every host
// within 7 s.
func (sc *scenario) publish(a args) error {
	var base int64
	var list []wire.TemplateState
	if err := sc.request(http.MethodGet, a.positional[1], "/v1/templates", nil, &list); err != nil {
		return err
	}
	for _, t := range list {
		if t.Template.Name == a.positional[0] {
			base = t.Offset
		}
	}
	var accepted atomic.Int64
	var offset atomic.Int64
	var group sync.WaitGroup
	var mu sync.Mutex
	var refusals []string
	for i, host := range a.positional[1:] {
		group.Go(func() {
			x := args{named: map[string]string{"maxReplicas": strconv.Itoa(i + 1)}}
			var done wire.Change
			err := sc.request(http.MethodPut, host, "/v1/templates/"+a.positional[0], wire.TemplateChange{
				Base: base, ChangeID: a.named["id"], Template: modelTemplate(x, a.positional[0]),
			}, &done)
			if err == nil {
				accepted.Add(1)
				offset.Store(done.Offset)
				return
			}
			mu.Lock()
			defer mu.Unlock()
			refusals = append(refusals, err.Error())
		})
	}
	group.Wait()
	if want := a.number("want", 1); int(accepted.Load()) != want {
		return fmt.Errorf("%d changes accepted, want %d: %s", accepted.Load(), want, strings.Join(refusals, "; "))
	}
	if code := a.named["reason"]; code != "" && !strings.Contains(strings.Join(refusals, ";"), `"code":`+code) {
		return fmt.Errorf("no refusal has code %s: %v", code, refusals)
	}
	if accepted.Load() == 0 {
		return nil
	}
	return sc.inForce(args{named: map[string]string{"offset": strconv.FormatInt(offset.Load(), 10), "except": a.named["except"]}})
}

// newWork implements the command newwork NAME: it checks that the engine starts no request within=2s.
func (sc *scenario) newWork(a args) error {
	count := func() (int, error) {
		var x wire.EngineAudit
		err := sc.request(http.MethodGet, a.positional[0], "/v1/audit", nil, &x)
		n := 0
		for _, r := range x.Requests {
			n += r.Starts
		}
		return n, err
	}
	before, err := count()
	if err != nil {
		return err
	}
	time.Sleep(a.duration("within", 2*time.Second))
	after, err := count()
	if err == nil && after != before {
		return fmt.Errorf("%s started %d requests", a.positional[0], after-before)
	}
	return err
}

// appends start|stop counts the records appended to the log in between. With atMost=N it checks their number, with perSecond=N
// their rate. The count is logged, because docs/measures.md reports it.
func (sc *scenario) appends(a args) error {
	var r wire.ReadResponse
	if err := sc.request(http.MethodGet, "log", "/v1/streams/control/records?from=1&limit=1", nil, &r); err != nil {
		return err
	}
	if a.positional[0] == "start" {
		sc.logEnd, sc.logCountedAt = r.End, time.Now()
		return nil
	}
	count, span := r.End-sc.logEnd, time.Since(sc.logCountedAt).Seconds()
	sc.env.T().Log(fmt.Sprintf("log use: %d appends in %.1f s, %.1f a second", count, span, float64(count)/span))
	if bound := a.number("atMost", -1); bound >= 0 && count > int64(bound) {
		return fmt.Errorf("%d records appended to the log, at most %d allowed", count, bound)
	}
	if bound := a.number("perSecond", -1); bound >= 0 && float64(count) > float64(bound)*span {
		return fmt.Errorf("%.1f records a second appended to the log, at most %d allowed", float64(count)/span, bound)
	}
	return nil
}

// controlBytes implements the command control: it logs the average control traffic of a host by kind of link, in KB/s over=10s,
// because docs/CAPACITY.md reports it.
func (sc *scenario) controlBytes(a args) error {
	before, err := sc.sumControlBytes()
	if err != nil {
		return err
	}
	span := a.duration("over", 10*time.Second)
	time.Sleep(span)
	after, err := sc.sumControlBytes()
	if err != nil {
		return err
	}
	for _, link := range []string{telem.PeerLink, telem.EngineLink, telem.LogLink} {
		rate := (after[link] - before[link]) / span.Seconds() / float64(len(sc.processNames("host")))
		sc.env.T().Log(fmt.Sprintf("control: %d hosts, %s: %.1f KB/s for each", len(sc.processNames("host")), link, rate/1000))
	}
	return nil
}

// sumControlBytes returns the control bytes of all hosts by kind of link.
func (sc *scenario) sumControlBytes() (map[string]float64, error) {
	sums := make(map[string]float64)
	for _, name := range sc.processNames("host") {
		response, err := http.Get("http://" + sc.procs[name].address + "/metrics")
		if err != nil {
			return nil, err
		}
		text, err := io.ReadAll(response.Body)
		_ = response.Body.Close()
		if err != nil {
			return nil, err
		}
		for _, m := range controlMetric.FindAllStringSubmatch(string(text), -1) {
			n, err := strconv.ParseFloat(m[2], 64)
			if err != nil {
				return nil, err
			}
			sums[m[1]] += n
		}
	}
	return sums, nil
}

// statusMonitor samples the status of the hosts. An offset that is lower than the one before it is a reversion.
type statusMonitor struct {
	stop         chan struct{}
	samplers     sync.WaitGroup
	reversions   atomic.Int64
	samples      atomic.Int64
	except       string // host that need not be ready
	unready      atomic.Int64
	mu           sync.Mutex
	lastFence    map[string]int64 // highest fencing number by cell
	leaseChanges map[string]int   // number of lease records after the first, by cell
}

// monotone start|stop checks that no host's offset goes back in between; a restarted host may start from a lower one. With
// unready=N it also fails if hosts were not ready in more than N samples, and with leases=N if the lease of a cell changed more
// than N times.
func (sc *scenario) monotone(a args) error {
	if a.positional[0] == "start" {
		x := &statusMonitor{stop: make(chan struct{}), lastFence: make(map[string]int64), leaseChanges: make(map[string]int), except: a.named["except"]}
		for _, name := range sc.processNames("host") {
			x.samplers.Go(func() { sc.sampleStatus(x, name) })
		}
		sc.monitor = x
		return nil
	}
	close(sc.monitor.stop)
	sc.monitor.samplers.Wait()
	if n := sc.monitor.reversions.Load(); n > 0 || sc.monitor.samples.Load() == 0 {
		return fmt.Errorf("%d reversions of an offset in %d samples", n, sc.monitor.samples.Load())
	}
	if bound := a.number("unready", -1); bound >= 0 && int(sc.monitor.unready.Load()) > bound {
		return fmt.Errorf("a host was not ready in %d of %d samples", sc.monitor.unready.Load(), sc.monitor.samples.Load())
	}
	for cell, n := range sc.monitor.leaseChanges {
		if bound := a.number("leases", -1); bound >= 0 && n > bound {
			return fmt.Errorf("the lease of cell %s changed %d times, at most %d allowed", cell, n, bound)
		}
	}
	return nil
}

// recordLeases counts lease changes by the cells' fencing numbers.
func (x *statusMonitor) recordLeases(s wire.Status) {
	x.mu.Lock()
	defer x.mu.Unlock()
	for _, c := range s.Cells {
		if last := x.lastFence[c.Cell]; c.Fence > last {
			x.lastFence[c.Cell] = c.Fence
			x.leaseChanges[c.Cell] += min(1, int(last))
		}
	}
}

func (sc *scenario) sampleStatus(x *statusMonitor, name string) {
	last, incarnation := int64(0), ""
	for {
		var s wire.Status
		if sc.request(http.MethodGet, name, "/v1/status", nil, &s) == nil {
			x.samples.Add(1)
			x.recordLeases(s)
			if !s.Ready && name != x.except {
				x.unready.Add(1)
			}
			if s.Incarnation == incarnation && s.Offset < last {
				x.reversions.Add(1)
			}
			last, incarnation = s.Offset, s.Incarnation
		}
		select {
		case <-x.stop:
			return
		case <-time.After(100 * time.Millisecond):
		}
	}
}
