package place

import (
	"math"
	"slices"
	"time"

	"github.com/fireflycleat/fireflycleat/pkg/fleet"
)

const (
	conflictWait = 60 * time.Millisecond  // conflictWait is the pause after a conflict; an unload without runs takes a few milliseconds.
	maxConflicts = 3                      // maxConflicts in a row make a report necessary.
	reportRetry  = 250 * time.Millisecond // reportRetry is the time between two reports of one upstream.
	maxSilent    = 2                      // maxSilent orders in a row without an answer make a report necessary.
	intentLife   = 3 * time.Second        // intentLife is how long an upstream is kept free for a load that needs an unload first.
)

// unloading stands for the time of readiness of an adapter whose unload waits for its last requests. It takes its place until a
// report does not list it any more.
var unloading = time.Unix(math.MaxInt32, 0)

type (
	// upstream is what the controller believes of one upstream.
	upstream struct {
		entry     fleet.Upstream
		accepted  int64 // accepted is the number of orders accepted, if known.
		known     bool
		replicas  map[string]*replica
		memory    map[string]bool
		disk      map[string]bool
		order     *Order
		ordered   time.Time // ordered is when the last order was sent or answered.
		doubt     bool      // doubt tells that an order has no answer, so that a report is needed.
		dark      bool      // dark tells that the last report did not come, so that what the upstream holds is of no use now.
		load      *load
		intent    string // intent is the model for which room is being made.
		intentEnd time.Time
		conflicts int
		silent    int       // silent counts the orders in a row that had no answer.
		notBefore time.Time // notBefore is the earliest time of the next order.
		reportAt  time.Time // reportAt is when the next report is due; zero means none.
		asked     time.Time
		failed    time.Time // failed is when the last load failed.
	}

	replica struct {
		adapters map[string]time.Time // adapters maps each adapter to the time from which it can be used.
		used     time.Time
		fresh    time.Time // fresh is when the model was loaded; it is zero once a host has told of a request.
	}

	load struct {
		model    string
		store    bool
		accepted time.Time
		due      time.Time
		full     time.Duration // full is the time of the load at full speed.
		together int           // together is the number of loads from the weight store at its start, itself included.
	}

	rate struct {
		value float64
		at    time.Time
	}

	// round holds what is computed once for a plan: with many models that wait, each looks at all upstreams.
	round struct {
		ids      []string // ids are those of all upstreams in order.
		store    int      // store counts the loads from the weight store.
		replicas map[string]int
		held     map[string]int // held counts the upstreams that hold a model and stay.
		coming   map[string]int // coming counts the loads of a model that are under way, ordered or prepared.
		copied   map[string]int // copied counts the upstreams that hold, load or keep a copy of a model.
		victims  map[*upstream][]victim
	}

	// sums are the requests in progress by upstream, by model, and by both.
	sums struct {
		upstream map[string]int
		model    map[string]int
		replica  map[site]int
		adapter  map[site]int
	}

	site struct {
		upstream string
		key      Key
	}
)

func newSums() sums {
	return sums{make(map[string]int), make(map[string]int), make(map[site]int), make(map[site]int)}
}

// add counts uses with a sign.
func (s *sums) add(uses []Use, sign int) {
	for _, u := range uses {
		n := sign * u.Running
		s.upstream[u.Upstream] += n
		s.model[u.Key.Model] += n
		s.replica[site{u.Upstream, Key{Model: u.Key.Model}}] += n
		s.adapter[site{u.Upstream, u.Key}] += n
	}
}

func newUpstream(e fleet.Upstream) *upstream {
	u := &upstream{entry: e}
	u.adopt(e.Held)
	u.copies(e.InMemory, e.OnDisk)
	return u
}

// adopt replaces what the upstream is believed to hold.
func (u *upstream) adopt(held []fleet.Held) {
	old := u.replicas
	u.replicas = make(map[string]*replica, len(held))
	for _, h := range held {
		r := &replica{adapters: make(map[string]time.Time, len(h.Adapters))}
		was := old[h.Model]
		if was != nil {
			r.used, r.fresh = was.used, was.fresh
		}
		for _, a := range h.Adapters {
			r.adapters[a] = time.Time{}
			if was != nil && was.adapters[a].Equal(unloading) {
				r.adapters[a] = unloading
			}
		}
		u.replicas[h.Model] = r
	}
}

// differs reports whether the upstream says that it holds something else than it is believed to hold.
func (u *upstream) differs(held []fleet.Held) bool {
	if len(held) != len(u.replicas) {
		return true
	}
	for _, h := range held {
		r, ok := u.replicas[h.Model]
		if !ok || len(r.adapters) != len(h.Adapters) {
			return true
		}
		for _, a := range h.Adapters {
			if _, ok := r.adapters[a]; !ok {
				return true
			}
		}
	}
	return false
}

func (u *upstream) copies(memory, disk []string) {
	u.memory, u.disk = setOf(memory), setOf(disk)
}

func setOf(names []string) map[string]bool {
	m := make(map[string]bool, len(names))
	for _, n := range names {
		m[n] = true
	}
	return m
}

// ready reports whether the upstream serves the model and adapter now.
func (u *upstream) ready(now time.Time, k Key) bool {
	r, ok := u.replicas[k.Model]
	if !ok || !u.usable() {
		return false
	}
	if k.Adapter == "" {
		return true
	}
	at, ok := r.adapters[k.Adapter]
	return ok && !now.Before(at)
}

// usable reports whether the upstream takes new work.
func (u *upstream) usable() bool { return !u.entry.Leaving && !u.dark }

// unloads reports whether the unload of an adapter waits for its last requests.
func (u *upstream) unloads() bool {
	for _, r := range u.replicas {
		for _, at := range r.adapters {
			if at.Equal(unloading) {
				return true
			}
		}
	}
	return false
}

func (u *upstream) adapterCount() int {
	n := 0
	for _, r := range u.replicas {
		n += len(r.adapters)
	}
	return n
}

// used returns the memory that is taken or reserved, without adapters.
func (u *upstream) used(e *fleet.Engine) float64 {
	sum := 0.0
	for m := range u.replicas {
		sum += e.Models[m].WeightMB
	}
	if u.load != nil {
		if _, held := u.replicas[u.load.model]; !held {
			sum += e.Models[u.load.model].WeightMB
		}
	}
	return sum
}

// capacity returns the memory for weights. The rest is kept for as many adapters as the upstream has places for.
func capacity(e *fleet.Engine) float64 {
	largest := 0.0
	for _, m := range e.Models {
		if m.Adapters > 0 {
			largest = max(largest, m.AdapterMB)
		}
	}
	return e.MemoryMB - largest*float64(e.AdapterSlots)
}

// loadTime returns the expected time of a load at full speed and whether it uses the weight store.
func (u *upstream) loadTime(m fleet.Model) (d time.Duration, store bool) {
	switch {
	case u.memory[m.Name] && m.FromMemory > 0:
		return m.FromMemory, false
	case u.disk[m.Name] && m.FromDisk > 0:
		return m.FromDisk, false
	}
	return m.FromStore, true
}

func (r *rate) add(now time.Time, n int, window time.Duration) {
	r.decay(now, window)
	r.value += float64(n) / window.Seconds()
}

func (r *rate) decay(now time.Time, window time.Duration) {
	if d := now.Sub(r.at); d > 0 {
		r.value *= math.Exp(-d.Seconds() / window.Seconds())
		r.at = now
	}
}

func heldNames(held []fleet.Held) []string {
	names := make([]string, len(held))
	for i, h := range held {
		names[i] = h.Model
	}
	slices.Sort(names)
	return names
}

// countCopies counts the models that the upstream holds, loads or keeps a copy of.
func (u *upstream) countCopies(counts map[string]int) {
	for m := range u.replicas {
		counts[m]++
	}
	for m := range u.disk {
		counts[m]++
	}
	for m := range u.memory {
		counts[m]++
	}
	if u.load != nil {
		counts[u.load.model]++
	}
	if u.intent != "" {
		counts[u.intent]++
	}
}
