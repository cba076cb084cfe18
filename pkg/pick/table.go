package pick

import (
	"maps"
	"sync/atomic"
	"time"

	"github.com/fireflycleat/fireflycleat/pkg/fleet"
	"github.com/fireflycleat/fireflycleat/pkg/place"
	"github.com/fireflycleat/fireflycleat/pkg/spread"
)

// Results of an attempt at an upstream.
const (
	// Served means that the upstream returned an answer.
	Served Result = iota
	// Errored means that the upstream returned an error.
	Errored
	// Refused means that the upstream did not run the request because it is full.
	Refused
	// Broken means that the connection failed or the answer was unusable.
	Broken
	// TimedOut means that no answer arrived in time.
	TimedOut
	// Abandoned means that the caller disconnected or the deadline passed before the upstream sent anything.
	Abandoned
	// Missing means that the upstream does not hold the model or adapter.
	Missing
)

const (
	centrePenalty       = 0.08                   // cost of an upstream in another data centre, as a share of slots in use
	crossingRange       = 0.4                    // difference in load over which centrePenalty ceases to apply
	errorPenalty        = 1.5                    // weight of the share of failed requests
	slowPenalty         = 0.15                   // weight of the relative excess of the mean time to the first event over that of the service
	maxSlowdown         = 4                      // upper limit of that excess
	errorDecay          = 0.8                    // weight of earlier requests in the share of failed requests
	timeDecay           = 0.8                    // weight of earlier requests in the mean time to the first event
	minAvoidance        = 400 * time.Millisecond // how long an upstream is avoided after one failure; doubles with each further one
	maxAvoidance        = 5 * time.Second
	silenceLimit        = 1200 * time.Millisecond // time without an event after which an upstream counts as silent
	learnedTTL          = 4 * time.Second         // how long learned loads and unloads override the published list
	maxDrain            = 15 * time.Second        // how long a controller's unload overrides a list that goes on showing the model; its order may fail
	maxEfficientRunning = 16                      // With more requests, an engine delays tokens noticeably, however many slots it has.
	lateFactor          = 4                       // multiple of the mean time to the first event after which an attempt is late
	preference          = 0.5                     // advantage of the upstream that the controller named, as a share of slots in use
	sessionPreference   = 0.1                     // advantage of the upstream that may have the prompt of the session cached
	stayWeight          = 0.05                    // weight of one attempt in the mean time of the attempts at a service
	refusedPenalty      = 0.5                     // cost of a refusal within the last refusedTTL
	refusedTTL          = 500 * time.Millisecond
)

type (
	// Result is how an attempt ended.
	Result int

	// Query describes a request.
	Query struct {
		Service string
		Key     place.Key       // empty for a service without models
		Exclude map[string]bool // IDs of upstreams that must not be chosen
		Prefer  string          // ID of an upstream to prefer if it can be used
		// Session identifies the part of the prompt that the request shares with others and an engine may cache; zero means none.
		Session uint64
	}

	// Choice is a chosen upstream.
	Choice struct {
		Upstream   string
		Born       int64 // start of the process of the upstream, in Unix milliseconds
		Address    string
		DataCentre string
		Running    int     // known requests in flight at the upstream, of all hosts
		expected   float64 // requests in flight that are expected by now
	}

	// Attempt is a request in progress at an upstream.
	Attempt struct {
		choice            Choice
		key               place.Key
		startedAt         time.Time
		gotFirst          bool
		firstAt           time.Time     // time of the first event
		lastEvent         atomic.Int64  // Unix nanoseconds; zero means none
		upstreamLastEvent *atomic.Int64 // of all requests of this host at the upstream; Unix nanoseconds
		gate              *gate
		hasCredit         bool // whether the credit for the request was taken, in case the upstream has a limit
	}

	// Table holds one host's view of the upstreams. It is not safe for concurrent use.
	Table struct {
		dataCentre string
		upstreams  map[string]*upstreamState
		// Random returns numbers in [0, 1) that decide between upstreams. Those of different hosts should be independent.
		Random     func() float64
		peers      map[string]peerReport
		peerTotals map[string]int      // sums of peers by upstream
		services   map[string]*service // by name
		rates      *spread.Rates
		sessions   map[sessionKey]session
		meanRun    map[string]float64 // mean time from the first event to the end of an attempt by service, in seconds
		signed     map[Process]*gate  // gates of the processes that said in an answer that they leave, pause or have a limit
	}

	// peerReport is what a peer reported about requests in flight.
	peerReport struct {
		running map[string]int // by upstream
		total   int
		at      time.Time // mean time for which the numbers hold
	}

	// service holds the upstreams of a service and what is learned about all of them.
	service struct {
		upstreams []*upstreamState // in the order of their IDs
		meanStay  float64          // mean time of an attempt, in seconds; zero means unknown
	}

	upstreamState struct {
		entry          fleet.Upstream
		removed        bool // no longer in the published list
		inFlight       map[*Attempt]bool
		started        map[place.Key]int
		served         map[place.Key]int
		speed          float64 // relative to the mean of the service
		learned        map[place.Key]learned
		errorRate      float64 // moving average
		meanFirstEvent float64 // in seconds; zero means unknown
		meanRun        float64 // as in Table; zero means unknown
		failures       int     // attempts without an answer since the last served one
		avoidedUntil   time.Time
		refusedAt      time.Time
		queuedSince    time.Time // since when more requests are in flight than it has slots; zero if there are no more
		lastEvent      *atomic.Int64
		gate           *gate
	}

	learned struct {
		holds    bool
		at       time.Time
		stamp    Stamp // of the last update of a controller
		draining bool  // whether a controller unloads the model: the list shows it until its requests have ended
	}

	// Stamp orders the updates of controllers.
	Stamp struct {
		Fence  int64 // fence of the controller's term
		Number int64 // increases with each update of a controller
	}

	sessionKey struct {
		key     place.Key
		session uint64
	}

	session struct {
		upstream string
		at       time.Time
	}
)

// New returns an empty table for a host in the data centre.
func New(dataCentre string) *Table {
	return &Table{
		dataCentre: dataCentre, upstreams: make(map[string]*upstreamState), peers: make(map[string]peerReport), peerTotals: make(map[string]int),
		services: make(map[string]*service), rates: spread.NewRates(), sessions: make(map[sessionKey]session), meanRun: make(map[string]float64),
		signed: make(map[Process]*gate), Random: NewRandom(dataCentre),
	}
}

// Replace applies the published list of all upstreams. An upstream that is no longer listed is kept until its requests end.
func (t *Table) Replace(list map[string]fleet.Upstream) {
	regroup := false
	for id, s := range t.upstreams {
		if _, ok := list[id]; !ok {
			s.removed = true
			t.rates.Forget(id)
			if len(s.inFlight) == 0 {
				delete(t.upstreams, id)
				regroup = true
			}
		}
	}
	for id, e := range list {
		s, ok := t.upstreams[id]
		regroup = regroup || !ok || s.entry.Born != e.Born || s.entry.Service != e.Service
		if !ok || s.entry.Born != e.Born {
			t.rates.Forget(id)
			s = &upstreamState{
				speed: 1, inFlight: make(map[*Attempt]bool), started: make(map[place.Key]int), served: make(map[place.Key]int), learned: make(map[place.Key]learned), lastEvent: new(atomic.Int64),
				gate: t.gate(Process{id, e.Born}),
			}
			t.upstreams[id] = s
		}
		s.entry, s.removed = e, false
	}
	grouped := 0 // also those that were deleted when their last attempt ended
	for _, s := range t.services {
		grouped += len(s.upstreams)
	}
	if regroup || grouped != len(t.upstreams) {
		t.groupUpstreams()
	}
}

// SetPeerRequests replaces the numbers of requests that a peer has in flight at each upstream, which hold for the given time.
func (t *Table) SetPeerRequests(at time.Time, host string, running map[string]int) {
	for id, n := range t.peers[host].running {
		if t.peerTotals[id] -= n; t.peerTotals[id] == 0 {
			delete(t.peerTotals, id)
		}
	}
	total := 0
	for id, n := range running {
		t.peerTotals[id] += n
		total += n
	}
	if len(running) == 0 {
		delete(t.peers, host)
		return
	}
	t.peers[host] = peerReport{running, total, at}
}

// Running returns the number of requests in flight at each upstream, except those of one host.
func (t *Table) Running(except string) map[string]int {
	sums := maps.Clone(t.peerTotals)
	for id, n := range t.peers[except].running {
		if sums[id] -= n; sums[id] == 0 {
			delete(sums, id)
		}
	}
	for id, s := range t.upstreams {
		if n := len(s.inFlight); n > 0 {
			sums[id] += n
		}
	}
	return sums
}

// Learn records that an upstream holds a model or adapter, or does not, before the published list shows it. An upstream that
// holds an adapter also holds its model.
func (t *Table) Learn(now time.Time, upstream string, k place.Key, holds bool) {
	if s, ok := t.upstreams[upstream]; ok {
		s.learned[k] = learned{holds: holds, at: now, stamp: s.learned[k].stamp}
		if holds && k.Adapter != "" {
			model := place.Key{Model: k.Model}
			s.learned[model] = learned{holds: true, at: now, stamp: s.learned[model].stamp}
		}
	}
}

// Update does the same as Learn for an update that a controller sent. Updates may arrive out of order; one with an older stamp
// than the last is ignored.
func (t *Table) Update(now time.Time, upstream string, k place.Key, holds bool, stamp Stamp) {
	s, ok := t.upstreams[upstream]
	if !ok || stamp.before(s.learned[k].stamp) {
		return
	}
	t.Learn(now, upstream, k, holds)
	l := s.learned[k]
	l.stamp, l.draining = stamp, !holds && k.Adapter == ""
	s.learned[k] = l
}

// overrides reports whether what was learned is newer than the published list.
func (l learned) overrides(now time.Time) bool {
	age := now.Sub(l.at)
	return age < learnedTTL || l.draining && age < maxDrain
}

func (s Stamp) before(o Stamp) bool {
	return s.Fence < o.Fence || s.Fence == o.Fence && s.Number < o.Number
}

// CountAccepting returns the number of upstreams of the service that accept new requests.
func (t *Table) CountAccepting(service string) int {
	n := 0
	for _, s := range t.upstreams {
		if s.entry.Service == service && !s.removed && !s.entry.Leaving {
			n++
		}
	}
	return n
}

// sessionUpstream returns the upstream that last served the session and may still have its prompt cached, or an empty string if
// there is none.
func (t *Table) sessionUpstream(now time.Time, q Query) string {
	if q.Session == 0 {
		return ""
	}
	s, ok := t.sessions[sessionKey{q.Key, q.Session}]
	if !ok || now.Sub(s.at) > time.Minute {
		return ""
	}
	return s.upstream
}

func (t *Table) running(id string) int {
	n := t.peerTotals[id]
	if s, ok := t.upstreams[id]; ok {
		n += len(s.inFlight)
	}
	return n
}

// serves reports whether the upstream is one that may get the request, apart from Query.Exclude and what it said in answers.
func (s *upstreamState) serves(now time.Time, q Query) bool {
	return s.entry.Service == q.Service && !s.removed && !s.entry.Leaving && s.holds(now, q.Key)
}

// holds reports whether the upstream serves the model and adapter.
func (s *upstreamState) holds(now time.Time, k place.Key) bool {
	if k.Model == "" {
		return true
	}
	var l learned
	ok := false
	if len(s.learned) > 0 {
		l, ok = s.learned[k]
	}
	if k.Adapter != "" {
		if m, ok := s.learned[place.Key{Model: k.Model}]; ok && m.overrides(now) && !m.holds && !m.at.Before(l.at) {
			return false // The model was unloaded after the adapter was loaded.
		}
	}
	if ok && l.overrides(now) {
		return l.holds
	}
	return s.lists(k)
}

// lists reports whether the published list shows the model or adapter at the upstream.
func (s *upstreamState) lists(k place.Key) bool {
	for _, h := range s.entry.Held {
		if h.Model != k.Model {
			continue
		}
		if k.Adapter == "" {
			return true
		}
		for _, a := range h.Adapters {
			if a == k.Adapter {
				return true
			}
		}
	}
	return false
}

// silent reports whether an attempt at the upstream has waited too long for its first event.
func (s *upstreamState) silent(now time.Time) bool {
	for f := range s.inFlight {
		if !f.gotFirst && now.Sub(f.startedAt) > silenceLimit {
			return true
		}
	}
	return false
}

// Uses returns, by upstream and key, the requests that this host has in flight and those that it started, and that were served, since the last call.
func (t *Table) Uses() []place.Use {
	var list []place.Use
	for id, s := range t.upstreams {
		counts := make(map[place.Key]*place.Use)
		use := func(k place.Key) *place.Use {
			u, ok := counts[k]
			if !ok {
				u = &place.Use{Upstream: id, Key: k}
				counts[k] = u
			}
			return u
		}
		for f := range s.inFlight {
			use(f.key).Running++
		}
		for k, n := range s.started {
			use(k).Started = n
		}
		for k, u := range counts { // Without other use of the key, the served requests are reported with the next one.
			u.Served = s.served[k]
			delete(s.served, k)
		}
		clear(s.started)
		for _, u := range counts {
			list = append(list, *u)
		}
	}
	return list
}

// Expire removes old sessions, learned loads and unloads that no longer override the published list or that it shows, and signs that no longer count.
func (t *Table) Expire(now time.Time) {
	t.expireSigns(now)
	for k, s := range t.sessions {
		if now.Sub(s.at) > time.Minute {
			delete(t.sessions, k)
		}
	}
	for id, s := range t.upstreams {
		if t.running(id) <= s.entry.Slots {
			s.queuedSince = time.Time{}
		} else if s.queuedSince.IsZero() {
			s.queuedSince = now
		}
		for k, l := range s.learned {
			if !l.overrides(now) || now.Sub(l.at) > learnedTTL && !s.lists(k) {
				delete(s.learned, k)
			}
		}
	}
}
