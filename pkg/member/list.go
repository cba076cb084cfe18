package member

import (
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/fireflycleat/fireflycleat/pkg/clocks"
)

const (
	// HeartbeatInterval is the time between two heartbeats.
	HeartbeatInterval = time.Second

	// urgentInterval and urgentRepeats apply to urgent heartbeats, such as those with new evidence of a leaving upstream. They
	// are repeated at a short interval, so that the loss of messages on two links in a row costs less than the 3 s within
	// which every daemon must have the evidence.
	urgentInterval = 300 * time.Millisecond
	urgentRepeats  = 3

	// SuspectAfter is the time without a heartbeat after which a daemon counts as lost.
	SuspectAfter = 3 * time.Second

	// recordRankDelay and recordInterval apply to memberGone records. Several daemons usually have the same proof that a peer
	// is gone. They append the record in order of rank, recordRankDelay apart, and repeat the append after recordInterval in
	// case it failed.
	recordRankDelay = time.Second
	recordInterval  = 5 * time.Second

	// maxLeaving and maxText bound a heartbeat: a message is at most 1 MiB, and the platform's names are at most 255 bytes.
	maxLeaving = 4096
	maxText    = 255

	// peerRetention is how long a peer is kept after its memberGone record: a process that was only paused may still send
	// for a while. Peers that never registered are removed after the same time without contact.
	peerRetention = 24 * time.Hour

	proofRefused = "address refuses connections"
	proofNewer   = "newer incarnation at the same host"
	proofListed  = "host list says gone"
)

type (
	// List holds the peers, upstreams and leases as one daemon sees them.
	List struct {
		self            Identity
		state           LocalState
		peers           map[string]*peer
		upstreams       map[string]*upstream
		leases          map[string]*lease
		listAsOf        time.Time
		platformClock   clocks.Remote // estimated from host lists
		nextHeartbeat   time.Time
		heartbeatNow    bool
		urgentLeft      int    // number of heartbeats still to send at the short interval
		rotation        uint64 // position at which address answers start
		addressLifetime time.Duration
		evicted         bool
		currentSince    time.Time // when this daemon last became current
		actions         []Action
		disabled        disabledRules
	}

	// peer is the state of another daemon.
	peer struct {
		Identity
		registeredOffset int64
		knownSince       time.Time // when this daemon first saw the peer's record or heartbeat
		lastSeen         time.Time
		offset           int64
		logContact       time.Time
		current          bool
		draining         bool
		proof            string // why the peer is gone; empty without a proof
		nextRecordAt     time.Time
		goneAt           time.Time // when the memberGone record was read; zero without a record
	}

	// disabledRules disables individual rules. Only tests set it, to show that they detect a missing rule.
	disabledRules struct {
		urgentHeartbeat bool
		relay           bool
		staleListCheck  bool
	}
)

// New returns the list of a daemon that knows no peers yet. Callers may use an address answer for the given lifetime.
func New(self Identity, lifetime time.Duration) *List {
	return &List{
		self: self, addressLifetime: lifetime, rotation: xxhash.Sum64String(self.Incarnation),
		peers: make(map[string]*peer), upstreams: make(map[string]*upstream), leases: make(map[string]*lease),
	}
}

// Handle applies an event and returns the resulting actions.
func (l *List) Handle(now time.Time, e Event) []Action {
	l.actions = nil
	switch m := e.(type) {
	case Registered:
		l.memberUp(now, m)
	case RecordedGone:
		l.memberGone(now, m.Incarnation)
	case LocalState:
		l.setLocalState(now, m)
	case Heartbeat:
		l.heartbeat(now, m, true)
	case HeartbeatCall:
		l.heartbeat(now, m.Heartbeat, false)
	case Refused:
		if p, ok := l.peers[m.Incarnation]; ok {
			l.markGone(now, p, proofRefused)
		}
	case HostList:
		l.applyHostList(now, m)
	case UpstreamSeen:
		l.upstreamSeen(now, m)
	case UpstreamRefused:
		at := l.platformTime(now)
		l.addEvidence(now, Evidence{Upstream: m.Upstream, Incarnation: m.Incarnation, First: at, Last: at}, true)
	case Lease:
		l.setLease(now, m)
	case Tick:
	}
	l.recordGone(now)
	l.checkLeases(now)
	l.sendHeartbeat(now)
	l.emit(Wake{At: l.nextHeartbeat})
	return l.actions
}

// Peers returns the other daemons that are not recorded as gone, in order of incarnation.
func (l *List) Peers(now time.Time) []Peer {
	var all []Peer
	for _, p := range l.sorted() {
		if !p.goneAt.IsZero() {
			continue
		}
		all = append(all, Peer{
			Identity: p.Identity, Offset: p.offset, LogContact: p.logContact, LastSeen: p.lastSeen, Current: p.current,
			Draining: p.draining, Recorded: p.registeredOffset > 0, Lost: p.lost(now), Gone: p.proof != "",
		})
	}
	return all
}

// Lost reports whether an incarnation missed its heartbeats, is proven gone or is unknown.
func (l *List) Lost(now time.Time, incarnation string) bool {
	if incarnation == l.self.Incarnation {
		return false
	}
	p, ok := l.peers[incarnation]
	return !ok || p.lost(now)
}

// Gone reports whether an incarnation is proven gone.
func (l *List) Gone(incarnation string) bool {
	p, ok := l.peers[incarnation]
	return ok && p.proof != ""
}

func (l *List) emit(a Action) { l.actions = append(l.actions, a) }

// sorted returns the peers in order of incarnation, so that equal inputs give equal actions.
func (l *List) sorted() []*peer {
	all := make([]*peer, 0, len(l.peers))
	for _, p := range l.peers {
		all = append(all, p)
	}
	slices.SortFunc(all, func(a, b *peer) int { return strings.Compare(a.Incarnation, b.Incarnation) })
	return all
}

// lost reports whether a peer missed its heartbeats or is proven gone. A peer that was never seen is lost SuspectAfter after it
// became known.
func (p *peer) lost(now time.Time) bool {
	return p.proof != "" || now.Sub(p.silentSince()) > SuspectAfter
}

// silentSince returns when the peer last answered a heartbeat, or when it became known if it never has.
func (p *peer) silentSince() time.Time {
	if p.lastSeen.IsZero() {
		return p.knownSince
	}
	return p.lastSeen
}

// expired reports whether a peer can be removed: it was recorded as gone longer than peerRetention ago, or it was never
// registered and has not been seen for that time.
func (p *peer) expired(now time.Time) bool {
	if !p.goneAt.IsZero() {
		return now.Sub(p.goneAt) > peerRetention
	}
	return p.registeredOffset == 0 && p.lost(now) && now.Sub(p.knownSince) > peerRetention && now.Sub(p.lastSeen) > peerRetention
}

func (l *List) setLocalState(now time.Time, m LocalState) {
	// Peers must stop handing out this address without waiting for the next regular heartbeat.
	if m.Draining && !l.state.Draining {
		l.sendUrgently()
	}
	if m.Current && !l.state.Current {
		l.currentSince = now
	}
	l.state = m
}

// ensurePeer returns the peer with the identity, and adds it if it is unknown.
func (l *List) ensurePeer(now time.Time, id Identity) *peer {
	p, ok := l.peers[id.Incarnation]
	if !ok {
		p = &peer{Identity: id, knownSince: now}
		l.peers[id.Incarnation] = p
	}
	return p
}

// memberUp adds a registered member. An older incarnation at the same host or address is gone, because a host runs only
// one daemon.
func (l *List) memberUp(now time.Time, m Registered) {
	if m.Incarnation != l.self.Incarnation {
		p := l.ensurePeer(now, m.Identity)
		p.Identity, p.registeredOffset = m.Identity, m.Offset
	}
	for _, o := range l.sorted() {
		sameHost := o.Host == m.Host || o.Address != "" && o.Address == m.Address
		if sameHost && o.Incarnation != m.Incarnation && o.registeredOffset > 0 && o.registeredOffset < m.Offset {
			l.markGone(now, o, proofNewer)
		}
	}
}

func (l *List) memberGone(now time.Time, incarnation string) {
	if incarnation == l.self.Incarnation {
		if !l.evicted {
			l.evicted = true
			l.emit(Evicted{})
		}
		return
	}
	p := l.ensurePeer(now, Identity{Incarnation: incarnation})
	l.markGone(now, p, "recorded")
	p.goneAt = now
}

// markGone marks a peer as gone. This is final: a process that is proven gone does not return under its incarnation.
func (l *List) markGone(now time.Time, p *peer, proof string) {
	if p.proof == "" {
		p.proof = proof
		p.nextRecordAt = now.Add(time.Duration(l.rank(now, p.Incarnation, "")) * recordRankDelay)
	}
}

// recordGone requests memberGone records for peers that are proven gone, and removes expired peers.
func (l *List) recordGone(now time.Time) {
	for _, p := range l.sorted() {
		if p.expired(now) {
			delete(l.peers, p.Incarnation)
			continue
		}
		if p.proof == "" || !p.goneAt.IsZero() || p.registeredOffset == 0 || now.Before(p.nextRecordAt) {
			continue
		}
		p.nextRecordAt = now.Add(recordInterval)
		l.emit(RecordGone{Incarnation: p.Incarnation, Proof: p.proof})
	}
}

// heartbeat applies a heartbeat. Only one that answers a call of this daemon shows that the peer can be reached.
func (l *List) heartbeat(now time.Time, m Heartbeat, answer bool) {
	if m.Incarnation == l.self.Incarnation || !m.valid() {
		return
	}
	p := l.ensurePeer(now, m.Identity)
	if p.proof == "" {
		if answer {
			p.lastSeen = now
		}
		p.current, p.draining = m.Current, m.Draining
		p.offset = max(p.offset, m.Offset)
		if contact := now.Add(-m.LogContactAge); contact.After(p.logContact) {
			p.logContact = contact
		}
	}
	for _, e := range m.Leaving {
		l.addEvidence(now, e, false)
	}
}

// sendUrgently schedules a heartbeat at once and its repetitions at the short interval.
func (l *List) sendUrgently() { l.heartbeatNow, l.urgentLeft = true, urgentRepeats }

// valid reports whether a heartbeat is within the bounds of what a daemon may send.
func (m Heartbeat) valid() bool {
	if m.Incarnation == "" || m.Offset < 0 || m.LogContactAge < 0 || len(m.Leaving) > maxLeaving {
		return false
	}
	for _, s := range []string{m.Incarnation, m.Host, m.Address, m.CallerURL, m.DataCentre} {
		if len(s) > maxText {
			return false
		}
	}
	for _, e := range m.Leaving {
		if e.Upstream == "" || len(e.Upstream) > maxText || len(e.Incarnation) > maxText || e.Last.IsZero() {
			return false
		}
	}
	return true
}

func (l *List) sendHeartbeat(now time.Time) {
	if now.Before(l.nextHeartbeat) && !l.heartbeatNow {
		return
	}
	l.nextHeartbeat = now.Add(HeartbeatInterval)
	if l.urgentLeft > 0 {
		l.nextHeartbeat = now.Add(urgentInterval)
		l.urgentLeft--
	}
	l.heartbeatNow = false
	h := Heartbeat{
		Identity: l.self, Offset: l.state.Offset, LogContactAge: now.Sub(l.state.LogContact),
		Current: l.state.Current, Draining: l.state.Draining, Leaving: l.leavingEvidence(),
	}
	var to []string
	for _, p := range l.sorted() {
		if p.proof == "" && p.Address != "" {
			to = append(to, p.Address)
		}
	}
	l.emit(SendHeartbeat{To: to, Heartbeat: h})
}
