package member

import (
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

var start = time.Unix(1_700_000_000, 0)

// actionsOf returns the actions of type A.
func actionsOf[A Action](actions []Action) []A {
	var found []A
	for _, a := range actions {
		if m, ok := a.(A); ok {
			found = append(found, m)
		}
	}
	return found
}

// connectedLists returns the lists of daemons 0 to n-1, each with a heartbeat from every other at the start.
func connectedLists(n int) []*List {
	var lists []*List
	for i := range n {
		l := New(identity(i), 10*time.Second)
		l.Handle(start, LocalState{Current: true, LogContact: start})
		for k := range n {
			l.Handle(start, Registered{Identity: identity(k), Offset: int64(k + 1)})
			l.Handle(start, Heartbeat{Identity: identity(k), Current: true})
		}
		lists = append(lists, l)
	}
	return lists
}

// TestProofOfGone guards against a peer that is marked as gone on weak evidence, or is not marked on proof.
func TestProofOfGone(t *testing.T) {
	id, newer := identity(1), identity(1)
	newer.Incarnation = "h1.2"
	moved := newer
	moved.Host, moved.Address = "h9", "h9"
	late := start.Add(time.Minute)
	listed := func(after time.Duration, s HostState) Event {
		return HostList{AsOf: start.Add(after), AskedAt: late, Earliest: late, Latest: late, Hosts: []ListedHost{{Name: id.Host, State: s}}}
	}
	for _, test := range []struct {
		name  string
		e     Event
		proof string
	}{
		{"silence", Tick{}, ""},
		{"refused", Refused{id.Incarnation}, proofRefused},
		{"newer at host", Registered{Identity: newer, Offset: 50}, proofNewer},
		{"older at host", Registered{Identity: newer, Offset: 1}, ""},
		{"newer elsewhere", Registered{Identity: moved, Offset: 50}, ""},
		{"listed", listed(time.Second, Gone), proofListed},
		{"listed before its start", listed(0, Gone), ""},
		{"leaving", listed(time.Second, Leaving), ""},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			l := connectedLists(3)[0]
			actions := l.Handle(late, test.e)
			c.Assert(l.Lost(late, id.Incarnation), qt.IsTrue)
			c.Assert(l.Gone(id.Incarnation), qt.Equals, test.proof != "")
			// The other peers are lost too, so this daemon ranks first and records at once.
			recorded := actionsOf[RecordGone](actions)
			c.Assert(len(recorded), qt.Equals, min(1, len(test.proof)))
			if test.proof == "" {
				return
			}
			c.Assert(recorded[0], qt.Equals, RecordGone{id.Incarnation, test.proof})
			l.Handle(late, Heartbeat{Identity: id, Current: true})
			c.Assert(l.Lost(late, id.Incarnation), qt.IsTrue)
			c.Assert(actionsOf[RecordGone](l.Handle(late.Add(time.Second), Tick{})), qt.HasLen, 0)
			c.Assert(actionsOf[RecordGone](l.Handle(late.Add(recordInterval), Tick{})), qt.HasLen, 1)
			l.Handle(late, RecordedGone{id.Incarnation})
			c.Assert(actionsOf[RecordGone](l.Handle(late.Add(time.Minute), Tick{})), qt.HasLen, 0)
			l.Handle(late.Add(25*time.Hour), Tick{})
			c.Assert(l.peers[id.Incarnation], qt.IsNil)
		})
	}
}

// TestPeers guards against wrong peer states, on which hand-overs, key ranges and the status answer depend.
func TestPeers(t *testing.T) {
	c := qt.New(t)
	l := connectedLists(3)[0]
	at := start.Add(SuspectAfter)
	h := Heartbeat{Identity: identity(2), Offset: 9, LogContactAge: time.Second, Draining: true}
	l.Handle(at, h)
	h.Offset, h.LogContactAge = 8, time.Minute // an older heartbeat that arrives later
	l.Handle(at, h)
	c.Assert(l.Peers(at.Add(1)), qt.DeepEquals, []Peer{
		{Identity: identity(1), LogContact: start, LastSeen: start, Current: true, Recorded: true, Lost: true},
		{Identity: identity(2), Offset: 9, LogContact: at.Add(-time.Second), LastSeen: at, Draining: true, Recorded: true},
	})
	l.Handle(at, RecordedGone{identity(1).Incarnation})
	c.Assert(l.Peers(at), qt.HasLen, 1)
}

// TestIncomingCallIsNotProofOfReachability guards against a peer that counts as reachable because its calls arrive, while calls
// to it are lost.
func TestIncomingCallIsNotProofOfReachability(t *testing.T) {
	c := qt.New(t)
	l := connectedLists(2)[0]
	at, id := start.Add(SuspectAfter+1), identity(1)
	l.Handle(at, HeartbeatCall{Heartbeat{Identity: id, Draining: true}})
	c.Assert(l.Lost(at, id.Incarnation), qt.IsTrue)
	c.Assert(l.Peers(at)[0].Draining, qt.IsTrue)
	l.Handle(at, Heartbeat{Identity: id})
	c.Assert(l.Lost(at, id.Incarnation), qt.IsFalse)
}

// TestEvicted guards against a daemon that continues to serve after the log recorded it as gone.
func TestEvicted(t *testing.T) {
	c := qt.New(t)
	l := connectedLists(2)[0]
	c.Assert(actionsOf[Evicted](l.Handle(start, RecordedGone{identity(0).Incarnation})), qt.HasLen, 1)
	c.Assert(l.Addresses(start, "dc0", 9).URLs, qt.DeepEquals, []string{"http://h1"})
}

// TestTakeOver guards against a take-over before the holder is lost, and against several daemons that propose at the same time.
func TestTakeOver(t *testing.T) {
	c := qt.New(t)
	const n = 7
	for holder := range n {
		lists := connectedLists(n)
		held := Lease{Cell: "dc0", DataCentre: "dc0", Offset: 20, Holder: identity(holder).Incarnation}
		var proposed []time.Duration
		for age := time.Duration(0); age <= 6*time.Second; age += simStep {
			now := start.Add(age)
			for i, l := range lists {
				if i == holder {
					continue
				}
				actions := l.Handle(now, held)
				for k := range n {
					if k != holder {
						actions = append(actions, l.Handle(now, Heartbeat{Identity: identity(k), Current: true})...)
					}
				}
				for _, p := range actionsOf[TakeOver](actions) {
					c.Assert(p, qt.Equals, TakeOver{Cell: "dc0", Base: 20})
					c.Assert(i%3, qt.Equals, 0)
					proposed = append(proposed, age)
				}
			}
		}
		c.Assert(proposed[0], qt.Equals, SuspectAfter+simStep)
		c.Assert(proposed[1]-proposed[0], qt.Equals, leaseRankDelay)
	}
}

// TestAddresses guards against address answers that contain daemons which cannot serve, send all callers to one daemon, or are
// empty.
func TestAddresses(t *testing.T) {
	c := qt.New(t)
	l := connectedLists(6)[0]
	firsts := map[string]int{}
	for range 40 {
		got := l.Addresses(start, "dc1", 9)
		c.Assert(got.URLs, qt.HasLen, 6)
		c.Assert(got.Lifetime, qt.Equals, 10*time.Second)
		firsts[got.URLs[0]]++
	}
	c.Assert(firsts, qt.DeepEquals, map[string]int{"http://h1": 20, "http://h4": 20})
	c.Assert(l.Addresses(start, "dc1", 2).URLs, qt.HasLen, 2)
	l.Handle(start, Heartbeat{Identity: identity(1), Current: true, Draining: true})
	l.Handle(start, Heartbeat{Identity: identity(4)})
	l.Handle(start, Refused{identity(2).Incarnation})
	l.Handle(start, Refused{identity(5).Incarnation})
	c.Assert(l.Addresses(start, "dc3", 9).URLs, qt.ContentEquals, []string{"http://h0", "http://h3"})
	silent := start.Add(SuspectAfter + 1)
	c.Assert(l.Addresses(silent, "dc1", 9).URLs, qt.DeepEquals, []string{"http://h0"})
	heartbeats := actionsOf[SendHeartbeat](l.Handle(start, LocalState{Current: true, Draining: true}))
	c.Assert(heartbeats, qt.HasLen, 1)
	c.Assert(heartbeats[0].Heartbeat.Draining, qt.IsTrue)
	c.Assert(l.Addresses(silent, "dc1", 9).URLs, qt.HasLen, 0)
}

// TestNewerIncarnation guards against a late answer of an old incarnation that ends evidence, and against evidence that
// outlives a restart of the upstream.
func TestNewerIncarnation(t *testing.T) {
	c := qt.New(t)
	l := connectedLists(2)[0]
	at := func(s int) time.Time { return start.Add(time.Duration(s) * time.Second) }
	seen := func(now, asked int, inc string) { l.Handle(at(now), UpstreamSeen{simTarget, inc, at(asked)}) }
	l.Handle(start, HostList{AsOf: start, AskedAt: start, Earliest: start, Latest: start})
	seen(1, 0, "a")
	seen(4, 3, "b")
	seen(5, 0, "a") // late answer of the first incarnation
	l.Handle(at(6), UpstreamRefused{simTarget, "b"})
	c.Assert(l.Leaving(simTarget), qt.IsTrue)
	seen(7, 5, "b")
	seen(7, 5, "c") // The request was sent before the evidence, so any incarnation may have answered.
	seen(8, 7, "b")
	c.Assert(l.Leaving(simTarget), qt.IsTrue)
	seen(10, 9, "c")
	c.Assert(l.Leaving(simTarget), qt.IsFalse)
	old := Evidence{Upstream: simTarget, Incarnation: "b", First: at(6), Last: at(11)}
	l.Handle(at(11), Heartbeat{Identity: identity(1), Leaving: []Evidence{old}})
	c.Assert(l.Leaving(simTarget), qt.IsFalse)
	old.Incarnation, old.Last = "c", at(1000)
	changed := actionsOf[LeavingChanged](l.Handle(at(12), Heartbeat{Identity: identity(1), Leaving: []Evidence{old}}))
	c.Assert(changed, qt.DeepEquals, []LeavingChanged{{Upstream: simTarget, Leaving: true, First: at(6)}})
	l.Handle(at(20), HostList{AsOf: at(13), Hosts: []ListedHost{{Name: simTarget, Upstream: true}}})
	c.Assert(l.Leaving(simTarget), qt.IsFalse)
}

// TestStop guards against a planned stop that refuses callers who may still use the address, or that counts interrupted
// requests wrongly.
func TestStop(t *testing.T) {
	c := qt.New(t)
	s := NewStop(StopConfig{AddressLifetime: 10 * time.Second, FinishLimit: time.Minute, HandOverLimit: 5 * time.Second})
	s.Advance(start, Load{})
	c.Assert(s.Stage(), qt.Equals, Running)
	s.Begin(start)
	s.Begin(start.Add(time.Hour))
	for _, step := range []struct {
		at      time.Duration
		load    Load
		stage   Stage
		accepts bool
	}{
		{0, Load{}, Announcing, true},
		{11*time.Second - 1, Load{}, Announcing, true},
		{11 * time.Second, Load{2, 1, 3, 0}, Finishing, false},
		{71*time.Second - 1, Load{2, 1, 3, 0}, Finishing, false},
		{71 * time.Second, Load{1, 1, 3, 0}, HandingOver, false},
		{75 * time.Second, Load{0, 0, 1, 0}, HandingOver, false},
		{76 * time.Second, Load{0, 0, 1, 0}, Stopped, false},
	} {
		stage, _ := s.Advance(start.Add(step.at), step.load)
		c.Assert(stage, qt.Equals, step.stage, qt.Commentf("%v", step.at))
		c.Assert(s.Accepts(), qt.Equals, step.accepts)
		_, finished := s.Done()
		c.Assert(finished, qt.Equals, step.stage == Stopped)
	}
	result, _ := s.Done()
	c.Assert(result, qt.Equals, StopResult{Interrupted: 1, NotHandedOver: 1})
}

// TestHeartbeatBounds guards against a faulty peer whose heartbeats exhaust memory or make the heartbeats of others too large.
func TestHeartbeatBounds(t *testing.T) {
	l := New(identity(0), time.Second)
	long := strings.Repeat("x", maxText+1)
	for _, h := range []Heartbeat{
		{},
		{Identity: Identity{Incarnation: long}},
		{Identity: identity(1), LogContactAge: -1},
		{Identity: identity(1), Leaving: []Evidence{{Upstream: long, Last: start}}},
		{Identity: identity(1), Leaving: make([]Evidence, maxLeaving+1)},
	} {
		l.Handle(start, h)
		qt.Check(t, l.Peers(start), qt.HasLen, 0)
	}
}

// TestNoTakeOverAfterPartition guards against a daemon that takes a lease back when its links are restored: it reads the log
// before its peers have answered, so the holder looks lost.
func TestNoTakeOverAfterPartition(t *testing.T) {
	c := qt.New(t)
	l := connectedLists(4)[0]
	held := Lease{Cell: "dc0", DataCentre: "dc0", Offset: 20, Holder: identity(3).Incarnation}
	l.Handle(start, LocalState{})
	restored := start.Add(10 * time.Second)
	l.Handle(restored, held)
	for age := time.Duration(0); age <= SuspectAfter; age += simStep {
		c.Assert(actionsOf[TakeOver](l.Handle(restored.Add(age), LocalState{Current: true})), qt.HasLen, 0)
	}
	c.Assert(actionsOf[TakeOver](l.Handle(restored.Add(SuspectAfter+simStep), Tick{})), qt.HasLen, 1)
	held.Offset, held.Holder = 21, ""
	l.Handle(restored.Add(time.Minute), LocalState{})
	l.Handle(restored.Add(time.Minute), LocalState{Current: true})
	c.Assert(actionsOf[TakeOver](l.Handle(restored.Add(time.Minute), held)), qt.HasLen, 1)
}

// TestTakeOverDuringPartition guards against daemons that take a lease from each other repeatedly during a partition, while all
// of them read the log.
func TestTakeOverDuringPartition(t *testing.T) {
	// Daemons 0 and 3 are in dc0. Heartbeats are a second apart, at a different time for each pair.
	const n, isolated = 6, 0
	for _, test := range []struct {
		name  string
		phase int                 // determines which of two daemons misses the other's heartbeat first
		cut   func(i, k int) bool // reports whether calls of daemon i do not reach daemon k
		want  int                 // number of take-overs in 50 s
	}{
		{"data centre", 0, func(i, k int) bool { return (i%3 == isolated) != (k%3 == isolated) }, 0},
		{"every data centre", 0, func(i, k int) bool { return i%3 != k%3 }, 0},
		{"one link between data centres", 0, func(i, k int) bool { return min(i, k) == 0 && max(i, k) == 1 }, 0},
		{"link within the data centre", 0, func(i, k int) bool { return min(i, k) == 0 && max(i, k) == 3 }, 1},
		{"link within the data centre, other phase", 2, func(i, k int) bool { return min(i, k) == 0 && max(i, k) == 3 }, 1},
		{"link within the data centre, one way", 0, func(i, k int) bool { return i == 0 && k == 3 }, 1},
		{"holder", 0, func(i, k int) bool { return i == 0 || k == 0 }, 1},
	} {
		t.Run(test.name, func(t *testing.T) {
			lists := connectedLists(n)
			held := Lease{Cell: "dc0", DataCentre: "dc0", Offset: 20, Holder: identity(0).Incarnation}
			taken := 0
			for age := time.Duration(0); age <= 50*time.Second; age += simStep {
				now := start.Add(age)
				for k, l := range lists {
					actions := l.Handle(now, held)
					for i := range n {
						due := (age+time.Duration(i+test.phase*k)*simStep)%HeartbeatInterval == 0
						up := age < 2*HeartbeatInterval || !test.cut(i, k) && !test.cut(k, i)
						if i != k && due && up {
							actions = append(actions, l.Handle(now, Heartbeat{Identity: identity(i), Current: true})...)
						}
					}
					for _, p := range actionsOf[TakeOver](actions) {
						if p.Base == held.Offset {
							taken++
							held.Offset, held.Holder = held.Offset+1, identity(k).Incarnation
						}
					}
				}
			}
			qt.Assert(t, taken, qt.Equals, test.want)
			qt.Assert(t, held.Holder, qt.Equals, identity(3*test.want).Incarnation)
		})
	}
}
