package place

import (
	"math"
	"slices"
	"time"

	"github.com/fireflycleat/fireflycleat/pkg/fleet"
)

const (
	// idleUnloadDelay is the time from the acceptance of an unload without requests in progress to the next order.
	idleUnloadDelay = 50 * time.Millisecond
	conflictBackoff = 60 * time.Millisecond  // delay after a conflict; an unload of an idle model takes a few milliseconds
	drainWeight     = 0.3                    // weight of the last unload in the expected drain time
	maxConflicts    = 3                      // number of consecutive conflicts after which a report is requested
	reportRetry     = 250 * time.Millisecond // interval between requests for a report from one upstream
	// drainPoll replaces reportRetry while an unload waits for requests in progress: the upstream takes no other order meanwhile.
	drainPoll      = 100 * time.Millisecond
	maxUnanswered  = 2               // number of consecutive unanswered orders after which a report is requested
	reservationTTL = 3 * time.Second // how long an upstream stays reserved for a load that needs an unload first
)

// unloading replaces the time at which an adapter becomes usable while its unload waits for its last requests. The adapter
// occupies its slot until a report no longer lists it.
var unloading = time.Unix(math.MaxInt32, 0)

type (
	// upstream is the controller's view of one upstream.
	upstream struct {
		entry         fleet.Upstream
		accepted      int64 // number of orders that the upstream has accepted; valid if known is set
		known         bool  // set while the state is known from a report
		counted       bool  // whether accepted was reported in this term; it stays set while known is cleared
		replicas      map[string]*replica
		memory        map[string]bool // models cached in host memory; see Controller.forgetMemory
		disk          map[string]bool // models cached on disk
		order         *Order
		lastOrderAt   time.Time // when the last order was sent or answered
		inDoubt       bool      // set when an order got no answer, so that a report is needed
		unreachable   bool      // set when the last request for a report failed; cleared by the next report
		load          *load
		reservedFor   string // model that is about to be loaded, while memory is freed for it
		reservedUntil time.Time
		conflicts     int
		unanswered    int       // number of consecutive orders without an answer
		notBefore     time.Time // earliest time of the next order
		pausedUntil   time.Time // until when the upstream wants neither orders nor requests for reports
		reportAt      time.Time // when to request the next report; zero means none
		requestedAt   time.Time // when the outstanding report was requested; zero means none
		failedAt      time.Time // when a load last failed or an order was last refused
		lastLoadAt    time.Time // when the upstream last accepted a load of a model
		assumedAt     time.Time // when the end of a load was assumed; zero once the upstream accepted a later order for a model
		unloading     string    // model whose unload was accepted and may still wait for requests in progress; reports list it until it ends
		drainingSince time.Time // when an unload was accepted that waits for requests in progress; zero if there is none
		busySince     time.Time // since when reports show the upstream busy with an order that this controller doesn't know; zero if they don't
		victims       []victim  // result of Controller.victims in the plan victimsPlan
		victimsPlan   int
	}

	replica struct {
		adapters map[string]time.Time // time when each adapter becomes usable, or unloading
		lastUsed time.Time
		loadedAt time.Time // when the model was loaded or last assigned; zero once a host has reported a request for it
		since    time.Time // when the model was loaded; zero if it was loaded before this controller's term
	}

	load struct {
		model         string
		fromStore     bool
		acceptedAt    time.Time
		due           time.Time     // expected end
		fullSpeedTime time.Duration // duration of the load at full speed
		concurrent    int           // number of loads from the weight store at the start of this one, including itself
	}

	// rate is an exponentially decaying average of a request rate.
	rate struct {
		value float64 // in requests per second
		at    time.Time
	}

	// planState holds values that are computed at most once per plan, because each pending model is matched against many upstreams.
	planState struct {
		number     int             // increases with each plan
		storeLoads int             // number of loads from the weight store that are ordered or in progress
		loads      map[string]int  // number of usable upstreams that load a model
		loading    map[string]int  // number of loads of a model that are in progress, ordered or have an upstream reserved
		copying    map[string]bool // models that some upstream loads or is reserved for
		needed     map[string]int  // number of replicas that the load of a model requires
		candidates map[string][]candidate
		onlyCopies map[string]int // number of models whose only copy is on an upstream; nil until it is needed
		deadlines  map[string][]modelDeadline
		shortages  []shortage // result of Controller.shortages; nil until it is needed
		holderSums map[string]holderSums
		rareRates  map[*fleet.Engine]float64
		rates      map[*upstream]float64 // result of Controller.upstreamRate; nil until it is needed
	}

	// candidate is an upstream with a lower bound of the cost of a load from the weight store, without the time of the load.
	candidate struct {
		upstream *upstream
		bound    float64
		ready    bool // whether the upstream accepts an order at once
	}

	// modelDeadline is the earliest deadline of the pending requests for a model that no upstream has a copy of.
	modelDeadline struct {
		model    string
		deadline time.Time
	}

	// requestCounts counts the requests in progress by upstream, by model, and by upstream and model or adapter.
	requestCounts struct {
		upstream map[string]int
		model    map[string]int
		replica  map[upstreamKey]int
		adapter  map[upstreamKey]int
	}

	upstreamKey struct {
		upstream string
		key      Key
	}
)

func newRequestCounts() requestCounts {
	return requestCounts{make(map[string]int), make(map[string]int), make(map[upstreamKey]int), make(map[upstreamKey]int)}
}

// add adds the uses if sign is 1 and subtracts them if it is -1.
func (s *requestCounts) add(uses []Use, sign int) {
	for _, u := range uses {
		n := sign * u.Running
		s.upstream[u.Upstream] += n
		s.model[u.Key.Model] += n
		s.replica[upstreamKey{u.Upstream, Key{Model: u.Key.Model}}] += n
		s.adapter[upstreamKey{u.Upstream, u.Key}] += n
	}
}

// differs reports whether the listed models and adapters differ from the upstream's replicas.
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

func setOf(names []string) map[string]bool {
	m := make(map[string]bool, len(names))
	for _, n := range names {
		m[n] = true
	}
	return m
}

// ready reports whether the upstream can serve the model or adapter now.
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

// usable reports whether the upstream accepts new requests and orders.
func (u *upstream) usable() bool { return !u.entry.Leaving && !u.unreachable }

// paused reports whether the upstream wants neither orders nor requests for reports.
func (u *upstream) paused(now time.Time) bool { return now.Before(u.pausedUntil) }

// hasUnloadingAdapter reports whether the unload of any adapter waits for the adapter's last requests.
func (u *upstream) hasUnloadingAdapter() bool {
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

// usedMemory returns the memory taken by models that are loaded or being loaded, in MB, without adapters. The weights of a model that is
// not configured are unknown, so that it takes the rest of the capacity.
func (u *upstream) usedMemory(e *fleet.Engine, capacity float64) float64 {
	sum, unknown := 0.0, false
	add := func(model string) {
		m, ok := e.Models[model]
		sum += m.WeightMB
		unknown = unknown || !ok
	}
	for m := range u.replicas {
		add(m)
	}
	if u.load != nil {
		if _, held := u.replicas[u.load.model]; !held {
			add(u.load.model)
		}
	}
	if unknown {
		return max(sum, capacity)
	}
	return sum
}

// freedBy returns the memory in MB that the unload of the model frees at least, if it is the only model with unknown weights.
func (u *upstream) freedBy(e *fleet.Engine, capacity float64, model string) float64 {
	if m, ok := e.Models[model]; ok {
		return m.WeightMB
	}
	rest := capacity
	for m := range u.replicas {
		rest -= e.Models[m].WeightMB
	}
	return max(rest, 0)
}

func hasModel(e *fleet.Engine, model string) bool {
	_, ok := e.Models[model]
	return ok
}

// capacity returns the memory for model weights in MB. The rest is reserved for a full set of adapters.
func capacity(e *fleet.Engine) float64 {
	largest := 0.0
	for _, m := range e.Models {
		if m.Adapters > 0 {
			largest = max(largest, m.AdapterMB)
		}
	}
	return e.MemoryMB - largest*float64(e.AdapterSlots)
}

// loadTime returns the expected time of a load at full speed, and whether it reads from the weight store.
func (u *upstream) loadTime(m fleet.Model) (d time.Duration, fromStore bool) {
	switch {
	case u.memory[m.Name] && m.FromMemory > 0:
		return m.FromMemory, false
	case u.disk[m.Name] && m.FromDisk > 0:
		return m.FromDisk, false
	}
	return m.FromStore, true
}

func (r *rate) add(now time.Time, n int, timeConstant time.Duration) {
	r.decay(now, timeConstant)
	r.value += float64(n) / timeConstant.Seconds()
}

// remove takes back a request that was added at the given time.
func (r *rate) remove(now, added time.Time, timeConstant time.Duration) {
	r.decay(now, timeConstant)
	r.value = max(r.value-math.Exp(-now.Sub(added).Seconds()/timeConstant.Seconds())/timeConstant.Seconds(), 0)
}

func (r *rate) decay(now time.Time, timeConstant time.Duration) {
	if d := now.Sub(r.at); d > 0 {
		r.value *= math.Exp(-d.Seconds() / timeConstant.Seconds())
		r.at = now
	}
}

func heldModels(held []fleet.Held) []string {
	names := make([]string, len(held))
	for i, h := range held {
		names[i] = h.Model
	}
	slices.Sort(names)
	return names
}
