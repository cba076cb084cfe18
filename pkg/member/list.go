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

	// New evidence of a leaving upstream is repeated soon, so that lost messages on two links in a row cost less than the
	// 3 s in which every daemon must know.
	urgentInterval = 300 * time.Millisecond
	urgentRepeats  = 3

	// SuspectAfter is the time without a heartbeat after which a daemon counts as lost.
	SuspectAfter = 3 * time.Second

	// Several daemons usually have the same proof; each waits for those before it and repeats in case an append failed.
	recordRankDelay = time.Second
	recordInterval  = 5 * time.Second

	// Bounds on what a peer may send: a message is at most 1 MiB, and no name of the platform is longer than 255 bytes.
	maxLeaving = 4096
	maxText    = 255

	// A process that is recorded as gone may still send for a while when it was only paused.
	forgetPeer = 24 * time.Hour

	proofRefused = "address refuses connections"
	proofNewer   = "newer incarnation at the same host"
	proofListed  = "host list says gone"
)

type (
	// List is the state of peers and upstreams at one daemon.
	List struct {
		self      Identity
		state     Self
		peers     map[string]*peer
		upstreams map[string]*upstream
		leases    map[string]*lease
		listAsOf  time.Time
		platform  clocks.Remote // Platform is the clock of the host list.
		nextBeat  time.Time
		beatNow   bool
		urgent    int    // urgent counts the heartbeats that still follow at the short interval.
		turn      uint64 // turn rotates the address answers.
		lifetime  time.Duration
		evicted   bool
		// CurrentSince is when this daemon became current the last time.
		currentSince time.Time
		actions      []Action
		faults       faults
	}

	peer struct {
		Identity
		upOffset   int64
		since      time.Time // since is when this daemon first knew of the peer.
		heard      time.Time
		offset     int64
		logContact time.Time
		current    bool
		draining   bool
		proof      string // proof tells why the peer is gone; empty means that it is not proven.
		recordAt   time.Time
		downAt     time.Time // downAt is when the memberGone record was read; zero means that there is none.
	}

	// faults switches single rules off; only tests set it, to show that their checks notice.
	faults struct {
		waitForBeat bool
		noRelay     bool
		trustList   bool
	}
)

// New returns the list of a daemon that knows nobody yet; address answers are valid for the lifetime.
func New(self Identity, lifetime time.Duration) *List {
	return &List{
		self: self, lifetime: lifetime, turn: xxhash.Sum64String(self.Incarnation),
		peers: make(map[string]*peer), upstreams: make(map[string]*upstream), leases: make(map[string]*lease),
	}
}

// Handle applies an event and returns the actions that follow from it.
func (l *List) Handle(now time.Time, e Event) []Action {
	l.actions = nil
	switch m := e.(type) {
	case Up:
		l.up(now, m)
	case Down:
		l.downed(now, m.Incarnation)
	case Self:
		l.setSelf(now, m)
	case Heartbeat:
		l.heartbeat(now, m, true)
	case Called:
		l.heartbeat(now, m.Heartbeat, false)
	case Refused:
		if p, ok := l.peers[m.Incarnation]; ok {
			l.prove(now, p, proofRefused)
		}
	case HostList:
		l.hostList(now, m)
	case UpstreamSeen:
		l.upstreamSeen(now, m)
	case UpstreamRefused:
		at := l.platformTime(now)
		l.evidence(now, Evidence{Upstream: m.Upstream, Incarnation: m.Incarnation, First: at, Last: at}, true)
	case Lease:
		l.setLease(now, m)
	case Tick:
	}
	l.recordGone(now)
	l.takeOver(now)
	l.beat(now)
	l.emit(Wake{At: l.nextBeat})
	return l.actions
}

// Peers returns the other daemons that the log does not record as gone, in order of incarnation.
func (l *List) Peers(now time.Time) []Peer {
	var all []Peer
	for _, p := range l.sorted() {
		if !p.downAt.IsZero() {
			continue
		}
		all = append(all, Peer{
			Identity: p.Identity, Offset: p.offset, LogContact: p.logContact, LastHeard: p.heard, Current: p.current,
			Draining: p.draining, Recorded: p.upOffset > 0, Lost: p.lost(now), Gone: p.proof != "",
		})
	}
	return all
}

// Lost reports whether an incarnation is suspected, proven gone or not known.
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

// sorted returns the peers in a fixed order, so that equal inputs give equal actions.
func (l *List) sorted() []*peer {
	all := make([]*peer, 0, len(l.peers))
	for _, p := range l.peers {
		all = append(all, p)
	}
	slices.SortFunc(all, func(a, b *peer) int { return strings.Compare(a.Incarnation, b.Incarnation) })
	return all
}

// lost reports whether a peer is suspected or proven gone; one that was never heard counts from when it became known.
func (p *peer) lost(now time.Time) bool {
	return p.proof != "" || now.Sub(p.lastHeard()) > SuspectAfter
}

func (p *peer) lastHeard() time.Time {
	if p.heard.IsZero() {
		return p.since
	}
	return p.heard
}

// stale reports whether a peer can be forgotten: recorded as gone long ago, or never recorded and silent.
func (p *peer) stale(now time.Time) bool {
	if !p.downAt.IsZero() {
		return now.Sub(p.downAt) > forgetPeer
	}
	return p.upOffset == 0 && p.lost(now) && now.Sub(p.since) > forgetPeer && now.Sub(p.heard) > forgetPeer
}

func (l *List) setSelf(now time.Time, m Self) {
	// Peers must stop giving this address away without waiting for the next second.
	if m.Draining && !l.state.Draining {
		l.hurry()
	}
	if m.Current && !l.state.Current {
		l.currentSince = now
	}
	l.state = m
}

func (l *List) known(now time.Time, id Identity) *peer {
	p, ok := l.peers[id.Incarnation]
	if !ok {
		p = &peer{Identity: id, since: now}
		l.peers[id.Incarnation] = p
	}
	return p
}

// up records a member; an older incarnation at the same host or address has ended, because a host runs one daemon.
func (l *List) up(now time.Time, m Up) {
	if m.Incarnation != l.self.Incarnation {
		p := l.known(now, m.Identity)
		p.Identity, p.upOffset = m.Identity, m.Offset
	}
	for _, o := range l.sorted() {
		same := o.Host == m.Host || o.Address != "" && o.Address == m.Address
		if same && o.Incarnation != m.Incarnation && o.upOffset > 0 && o.upOffset < m.Offset {
			l.prove(now, o, proofNewer)
		}
	}
}

func (l *List) downed(now time.Time, incarnation string) {
	if incarnation == l.self.Incarnation {
		if !l.evicted {
			l.evicted = true
			l.emit(Evicted{})
		}
		return
	}
	p := l.known(now, Identity{Incarnation: incarnation})
	l.prove(now, p, "recorded")
	p.downAt = now
}

// prove marks a peer as gone for good; a process that is proven gone does not come back under its incarnation.
func (l *List) prove(now time.Time, p *peer, proof string) {
	if p.proof == "" {
		p.proof = proof
		p.recordAt = now.Add(time.Duration(l.rank(now, p.Incarnation, "")) * recordRankDelay)
	}
}

func (l *List) recordGone(now time.Time) {
	for _, p := range l.sorted() {
		if p.stale(now) {
			delete(l.peers, p.Incarnation)
			continue
		}
		if p.proof == "" || !p.downAt.IsZero() || p.upOffset == 0 || now.Before(p.recordAt) {
			continue
		}
		p.recordAt = now.Add(recordInterval)
		l.emit(RecordGone{Incarnation: p.Incarnation, Proof: p.proof})
	}
}

func (l *List) heartbeat(now time.Time, m Heartbeat, answer bool) {
	if m.Incarnation == l.self.Incarnation || !m.acceptable() {
		return
	}
	p := l.known(now, m.Identity)
	if p.proof == "" {
		if answer {
			p.heard = now
		}
		p.current, p.draining = m.Current, m.Draining
		p.offset = max(p.offset, m.Offset)
		if contact := now.Add(-m.LogContactAge); contact.After(p.logContact) {
			p.logContact = contact
		}
	}
	for _, e := range m.Leaving {
		l.evidence(now, e, false)
	}
}

// hurry sends a heartbeat at once and repeats it soon.
func (l *List) hurry() { l.beatNow, l.urgent = true, urgentRepeats }

// acceptable reports whether a heartbeat is within the bounds of what a daemon sends.
func (m Heartbeat) acceptable() bool {
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

func (l *List) beat(now time.Time) {
	if now.Before(l.nextBeat) && !l.beatNow {
		return
	}
	l.nextBeat = now.Add(HeartbeatInterval)
	if l.urgent > 0 {
		l.nextBeat = now.Add(urgentInterval)
		l.urgent--
	}
	l.beatNow = false
	h := Heartbeat{
		Identity: l.self, Offset: l.state.Offset, LogContactAge: now.Sub(l.state.LogContact),
		Current: l.state.Current, Draining: l.state.Draining, Leaving: l.gossip(),
	}
	var to []string
	for _, p := range l.sorted() {
		if p.proof == "" && p.Address != "" {
			to = append(to, p.Address)
		}
	}
	l.emit(Beat{To: to, Heartbeat: h})
}
