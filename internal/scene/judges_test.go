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

// bookingsRunOnce lets the services' own counts decide: no key ran twice, and key=KEY ran runs=N times over all services.
func (w *world) bookingsRunOnce(a args) error {
	runs := 0
	for _, s := range w.names("service") {
		var t wire.PlainTotals
		if err := w.request(http.MethodGet, s, "/v1/runs", nil, &t); err != nil {
			return err
		}
		if t.Repeated > 0 {
			return fmt.Errorf("%s ran %d keys more than once", s, t.Repeated)
		}
		if key, ok := a.named["key"]; ok {
			var r wire.PlainRuns
			if err := w.request(http.MethodGet, s, "/v1/runs?key="+key, nil, &r); err != nil {
				return err
			}
			runs += r.Runs
		} else {
			runs += t.Runs
		}
	}
	if want, ok := a.named["runs"]; ok && want != strconv.Itoa(runs) {
		return fmt.Errorf("%d runs, want %s", runs, want)
	}
	if most := a.number("atMost", -1); most >= 0 && runs > most {
		return fmt.Errorf("%d runs, at most %d allowed", runs, most)
	}
	return nil
}

// audit lets the engines' own counts decide: memory never exceeded, and at no time more than maxReplicas of a model.
func (w *world) audit(a args) error {
	type edge struct {
		at    time.Time
		delta int
	}
	edges := make(map[string][]edge)
	loads := 0
	for _, e := range w.names("engine") {
		var x wire.EngineAudit
		if err := w.request(http.MethodGet, e, "/v1/audit", nil, &x); err != nil {
			return err
		}
		if x.CapacityExceeded > 0 {
			return fmt.Errorf("%s exceeded its memory %d times", e, x.CapacityExceeded)
		}
		loads += x.Loads
		for _, r := range x.Replicas {
			edges[r.Model] = append(edges[r.Model], edge{r.From, 1})
			if !r.To.IsZero() {
				edges[r.Model] = append(edges[r.Model], edge{r.To, -1})
			}
		}
	}
	limit := a.number("maxReplicas", 2)
	for model, list := range edges {
		sort.SliceStable(list, func(i, j int) bool {
			return list[i].at.Before(list[j].at) || list[i].at.Equal(list[j].at) && list[i].delta < list[j].delta
		})
		n := 0
		for _, x := range list {
			if n += x.delta; n > limit {
				return fmt.Errorf("%d replicas of %s at once, decided were %d", n, model, limit)
			}
		}
	}
	if most := a.number("loads", -1); most >= 0 && loads > most {
		return fmt.Errorf("%d loads, at most %d expected", loads, most)
	}
	return nil
}

// loaded MODEL waits until an engine has the model; with count=0 until none has.
func (w *world) loaded(a args) error {
	return await(a.duration("within", readyTimeout), func() error {
		n := 0
		for _, e := range w.names("engine") {
			var s wire.EngineStatus
			if err := w.request(http.MethodGet, e, "/v1/status", nil, &s); err != nil {
				return err
			}
			for _, r := range s.Replicas {
				if r.Model == a.words[0] && r.Ready {
					n++
				}
			}
		}
		if n != a.number("count", 1) {
			return fmt.Errorf("%d replicas of %s are ready", n, a.words[0])
		}
		return nil
	})
}

// inForce waits until each living host has reached offset=N by its own account; except=NAME leaves a host out.
func (w *world) inForce(a args) error {
	offset, err := strconv.ParseInt(a.named["offset"], 10, 64)
	if err != nil {
		return err
	}
	return await(a.duration("within", 7*time.Second), func() error {
		for _, name := range w.names("host") {
			var s wire.Status
			if !w.alive(name) || name == a.named["except"] {
				continue
			}
			if err := w.request(http.MethodGet, name, "/v1/status", nil, &s); err != nil {
				return err
			}
			if s.Offset < offset {
				return fmt.Errorf("%s is at offset %d, want %d", name, s.Offset, offset)
			}
		}
		return nil
	})
}

// publish MODEL HOST... changes a model at several hosts at once from the same base: want=N are accepted, and every
// accepted change is in force everywhere within 7 s.
func (w *world) publish(a args) error {
	var base int64
	var list []wire.TemplateState
	if err := w.request(http.MethodGet, a.words[1], "/v1/templates", nil, &list); err != nil {
		return err
	}
	for _, t := range list {
		if t.Template.Name == a.words[0] {
			base = t.Offset
		}
	}
	var accepted atomic.Int64
	var offset atomic.Int64
	var group sync.WaitGroup
	var mu sync.Mutex
	var reasons []string
	for i, host := range a.words[1:] {
		group.Go(func() {
			x := args{named: map[string]string{"maxReplicas": strconv.Itoa(i + 1)}}
			var done wire.Change
			err := w.request(http.MethodPut, host, "/v1/templates/"+a.words[0], wire.TemplateChange{
				Base: base, ChangeID: a.named["id"], Template: modelTemplate(x, a.words[0]),
			}, &done)
			if err == nil {
				accepted.Add(1)
				offset.Store(done.Offset)
				return
			}
			mu.Lock()
			defer mu.Unlock()
			reasons = append(reasons, err.Error())
		})
	}
	group.Wait()
	if want := a.number("want", 1); int(accepted.Load()) != want {
		return fmt.Errorf("%d changes accepted, want %d: %s", accepted.Load(), want, strings.Join(reasons, "; "))
	}
	if code := a.named["reason"]; code != "" && !strings.Contains(strings.Join(reasons, ";"), `"code":`+code) {
		return fmt.Errorf("no refusal has code %s: %v", code, reasons)
	}
	if accepted.Load() == 0 {
		return nil
	}
	return w.inForce(args{named: map[string]string{"offset": strconv.FormatInt(offset.Load(), 10), "except": a.named["except"]}})
}

// newWork NAME counts requests that the engine starts within=2s; none may start.
func (w *world) newWork(a args) error {
	count := func() (int, error) {
		var x wire.EngineAudit
		err := w.request(http.MethodGet, a.words[0], "/v1/audit", nil, &x)
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
		return fmt.Errorf("%s started %d requests", a.words[0], after-before)
	}
	return err
}

// appends start|stop counts the records that the log gets in between. With atMost=N it checks their number, with perSecond=N
// their rate; what was counted is logged, because docs/measures.md reports it.
func (w *world) appends(a args) error {
	var r wire.ReadResponse
	if err := w.request(http.MethodGet, "log", "/v1/streams/control/records?from=1&limit=1", nil, &r); err != nil {
		return err
	}
	if a.words[0] == "start" {
		w.logEnd, w.logCounted = r.End, time.Now()
		return nil
	}
	count, span := r.End-w.logEnd, time.Since(w.logCounted).Seconds()
	w.env.T().Log(fmt.Sprintf("log use: %d appends in %.1f s, %.1f a second", count, span, float64(count)/span))
	if most := a.number("atMost", -1); most >= 0 && count > int64(most) {
		return fmt.Errorf("%d appends, at most %d allowed", count, most)
	}
	if most := a.number("perSecond", -1); most >= 0 && float64(count) > float64(most)*span {
		return fmt.Errorf("%.1f appends a second, at most %d allowed", float64(count)/span, most)
	}
	return nil
}

// controlBytes logs what a host and link carry for control on average, in bytes a second over=10s; docs/CAPACITY.md reports it.
func (w *world) controlBytes(a args) error {
	before, err := w.countControl()
	if err != nil {
		return err
	}
	span := a.duration("over", 10*time.Second)
	time.Sleep(span)
	after, err := w.countControl()
	if err != nil {
		return err
	}
	for _, link := range []string{telem.PeerLink, telem.EngineLink, telem.LogLink} {
		rate := (after[link] - before[link]) / span.Seconds() / float64(len(w.names("host")))
		w.env.T().Log(fmt.Sprintf("control: %d hosts, %s: %.1f KB/s for each", len(w.names("host")), link, rate/1000))
	}
	return nil
}

// countControl sums the bytes of all hosts, by link.
func (w *world) countControl() (map[string]float64, error) {
	sums := make(map[string]float64)
	for _, name := range w.names("host") {
		answer, err := http.Get("http://" + w.procs[name].address + "/metrics")
		if err != nil {
			return nil, err
		}
		text, err := io.ReadAll(answer.Body)
		_ = answer.Body.Close()
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

// watch records the offsets of a host; a lower one after a higher one is a reversion.
type watch struct {
	stop    chan struct{}
	done    sync.WaitGroup
	reverts atomic.Int64
	samples atomic.Int64
	except  string // Except is a host that need not be ready.
	unready atomic.Int64
	mu      sync.Mutex
	leases  map[string]int64 // The last fencing number of each cell.
	changes map[string]int   // Changes counts lease records after the first of a cell.
}

// monotone start|stop watches the offset of each living host; a restarted host begins anew. With unready=N it also fails when
// a host was not ready in more than N samples, with leases=N when the lease of a cell changed more often.
func (w *world) monotone(a args) error {
	if a.words[0] == "start" {
		x := &watch{stop: make(chan struct{}), leases: make(map[string]int64), changes: make(map[string]int), except: a.named["except"]}
		for _, name := range w.names("host") {
			x.done.Go(func() { w.follow(x, name) })
		}
		w.watch = x
		return nil
	}
	close(w.watch.stop)
	w.watch.done.Wait()
	if n := w.watch.reverts.Load(); n > 0 || w.watch.samples.Load() == 0 {
		return fmt.Errorf("%d reversions in %d samples", n, w.watch.samples.Load())
	}
	if most := a.number("unready", -1); most >= 0 && int(w.watch.unready.Load()) > most {
		return fmt.Errorf("not ready in %d of %d samples", w.watch.unready.Load(), w.watch.samples.Load())
	}
	for cell, n := range w.watch.changes {
		if most := a.number("leases", -1); most >= 0 && n > most {
			return fmt.Errorf("the lease of cell %s changed %d times, at most %d allowed", cell, n, most)
		}
	}
	return nil
}

// sawLeases counts the changes of the cells' leases.
func (x *watch) sawLeases(s wire.Status) {
	x.mu.Lock()
	defer x.mu.Unlock()
	for _, c := range s.Cells {
		if last := x.leases[c.Cell]; c.Fence > last {
			x.leases[c.Cell] = c.Fence
			x.changes[c.Cell] += min(1, int(last))
		}
	}
}

func (w *world) follow(x *watch, name string) {
	last, incarnation := int64(0), ""
	for {
		var s wire.Status
		if w.request(http.MethodGet, name, "/v1/status", nil, &s) == nil {
			x.samples.Add(1)
			x.sawLeases(s)
			if !s.Ready && name != x.except {
				x.unready.Add(1)
			}
			if s.Incarnation == incarnation && s.Offset < last {
				x.reverts.Add(1)
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
