package stale

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"github.com/fireflycleat/fireflycleat/pkg/fold"
	"github.com/fireflycleat/fireflycleat/pkg/spec"
)

const (
	tick      = 250 * time.Millisecond
	maxLag    = 7 * time.Second // time within which an accepted change must be in force everywhere
	allGroups = 99
)

type (
	// node is a simulated daemon. A dead one keeps its index until it restarts.
	node struct {
		// changeID is the id of the record in change.
		host, incarnation, changeID string
		dead, sent                  bool
		upOrDownAt, sentAt          int           // ticks of the last start or death, and of the start of change or its first append
		ahead                       time.Duration // offset of the host's clock at the start of the simulation
		drift                       float64       // relative drift of the host's clock
		tracker                     *Tracker
		state                       *fold.State
		change                      []byte // waiting to be appended or in doubt, nil if there is none
	}

	// message is delivered at a later tick. It is lost if the link is down at that tick.
	message struct {
		at       int
		from, to *node
		deliver  func()
	}

	// simulation runs daemons against a log, with random faults.
	simulation struct {
		pick           func(n int) int
		disabled       disabledChecks
		noFaults       bool // set when random faults are disabled
		falseOffsets   bool // set when authors claim the latest offset, which disables the check of the members in package fold
		changeInterval int  // mean number of ticks between the changes that a daemon starts
		tick, ids      int
		nodes          []*node
		messages       []message
		log            [][]byte
		appendedAt     []time.Time
		reference      *fold.State
		group          map[string]int // network partition of each host
		logGroup       int            // group that reaches the log, allGroups for every group, or -1 for none
		accepted       []int64
		reasons        map[Reason]int
		worstLag       time.Duration
	}
)

var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func newSimulation(pick func(n int) int, disabled disabledChecks, falseOffsets bool) *simulation {
	s := &simulation{
		pick: pick, disabled: disabled, falseOffsets: falseOffsets, reference: fold.New(), group: map[string]int{}, logGroup: allGroups,
		reasons: map[Reason]int{}, changeInterval: []int{20, 100, 500}[pick(3)],
	}
	for range 3 {
		s.start(len(s.nodes))
	}
	return s
}

func (s *simulation) now() time.Time { return epoch.Add(time.Duration(s.tick) * tick) }

// localTime returns the time by the clock of the daemon's host. These clocks differ by hours and drift by up to 0.1%.
func (s *simulation) localTime(d *node) time.Time {
	elapsed := s.now().Sub(epoch)
	return s.now().Add(d.ahead + time.Duration(d.drift*float64(elapsed)))
}

func (s *simulation) newID() string {
	s.ids++
	return fmt.Sprintf("i%d", s.ids)
}

func (s *simulation) hasLog(d *node) bool {
	return s.logGroup == allGroups || s.group[d.host] == s.logGroup
}

// start starts a new incarnation on host i. It has no state and needs the log to register.
func (s *simulation) start(i int) {
	d := &node{host: fmt.Sprintf("h%d", i), incarnation: s.newID(), upOrDownAt: s.tick, state: fold.New()}
	d.ahead, d.drift = time.Duration(s.ids*37%61-30)*time.Hour, float64(s.ids%3-1)/1000
	d.tracker = New(d.incarnation)
	d.tracker.disabled = s.disabled
	s.nodes = append(s.nodes[:i], append([]*node{d}, s.nodes[min(i+1, len(s.nodes)):]...)...)
}

func (s *simulation) send(from, to *node, delay int, deliver func()) {
	s.messages = append(s.messages, message{s.tick + delay, from, to, deliver})
}

// catchUp applies the log up to the offset.
func (s *simulation) catchUp(d *node, last int64) {
	for o := d.state.Offset() + 1; o <= last; o++ {
		d.state.Apply(o, s.appendedAt[o-1], s.log[o-1])
	}
	var members []Member
	for _, m := range d.state.Members() {
		members = append(members, Member{m.Incarnation, m.Offset, m.RegisteredAt})
	}
	d.tracker.AdvanceMembers(s.localTime(d), d.state.Offset(), members)
	if _, ok := d.state.ResultOf(d.changeID); ok && d.change != nil {
		d.change = nil
		d.tracker.SetPublishing(s.localTime(d), false)
	}
}

// heartbeat calls a peer: request, answer, and the records that the daemon lacks if the peer is ahead. Request and answer
// take up to 500 ms each.
func (s *simulation) heartbeat(d, peer *node) {
	startedAt, request := s.localTime(d), d.tracker.Heartbeat(s.localTime(d), peer.incarnation)
	s.send(d, peer, s.pick(3), func() {
		peer.tracker.ReceiveCall(request)
		answer := peer.tracker.Heartbeat(s.localTime(peer), d.incarnation)
		s.send(peer, d, s.pick(3), func() {
			d.tracker.ReceiveAnswer(startedAt, answer)
			if answer.Offset > d.state.Offset() {
				s.send(peer, d, 1, func() { s.catchUp(d, answer.Offset) })
			}
		})
	})
}

func (s *simulation) run(ticks int) error {
	for ; s.tick < ticks; s.tick++ {
		s.injectFault()
		due := s.messages
		s.messages = nil
		for _, m := range due {
			a, b := m.from, m.to
			if m.at > s.tick {
				s.messages = append(s.messages, m)
			} else if !a.dead && !b.dead && s.group[a.host] == s.group[b.host] {
				m.deliver()
			}
		}
		for i, d := range s.nodes {
			if !d.dead {
				s.step(i, d)
				if err := s.check(d); err != nil {
					return err
				}
			}
		}
	}
	return nil
}

func (s *simulation) step(i int, d *node) {
	for _, p := range s.nodes {
		if (s.tick+i)%4 == 0 && p != d && !p.dead {
			s.heartbeat(d, p)
		}
	}
	if s.hasLog(d) && s.pick(3) == 0 {
		startedAt, last := s.localTime(d), int64(len(s.log))
		s.send(d, d, s.pick(4), func() {
			s.catchUp(d, last)
			d.tracker.RecordRead(startedAt, last)
		})
	}
	if _, ok := d.state.Member(d.incarnation); ok {
		s.publish(d)
	} else if s.hasLog(d) && s.pick(4) == 0 && d.state.Offset() == s.reference.Offset() {
		s.register(d)
	}
}

func (s *simulation) register(d *node) {
	s.appendRecord(s.encode(d, d.state.Register("", d.incarnation, d.host, "dc1", fold.Addresses{Callers: d.host, Peers: d.host})))
}

// publish appends a change once MayPublish allows it, and repeats the same bytes while the answer is missing. An append may
// take effect up to 2 s later, even if the daemon is disconnected or dead by then, or never.
func (s *simulation) publish(d *node) {
	if d.change != nil {
		d.tracker.SetPublishing(s.localTime(d), true)
	}
	switch {
	case d.change == nil && s.pick(s.changeInterval) == 0:
		d.tracker.SetPublishing(s.localTime(d), true)
		d.sent, d.sentAt, d.change = false, s.tick, []byte{}
	case d.change != nil && !d.sent && s.tick-d.sentAt > 8:
		// The deadline passed before the change could be sent.
		d.tracker.SetPublishing(s.localTime(d), false)
		d.change = nil
		return
	case d.change != nil && !d.sent && d.tracker.MayPublish(s.localTime(d)) == nil:
		d.sent, d.changeID, d.sentAt = true, s.newID(), s.tick
		d.change = s.encodeChange(d)
	case d.change == nil || !d.sent || (s.tick-d.sentAt)%8 != 0:
		return
	}
	if d.sent && s.hasLog(d) && s.pick(6) > 0 {
		data, network := d.change, &node{}
		s.send(network, network, 1+s.pick(8), func() { s.appendRecord(data) })
	}
}

func (s *simulation) encodeChange(d *node) []byte {
	model := &spec.Model{Version: "v", MaxReplicas: 1, WeightBytes: 1, Slots: 1, LoadMillis: 1, TokenMicros: 1}
	t := spec.Template{Name: "m", Kind: spec.ModelTemplate, Model: model}
	return s.encode(d, fold.SetTemplate(d.changeID, d.incarnation, d.state.TemplateOffset("m"), t))
}

func (s *simulation) encode(d *node, r fold.Record) []byte {
	if r.Seen = d.state.Offset(); r.ID == "" {
		r.ID = s.newID()
	}
	data, _ := fold.Encode(r)
	return data
}

func (s *simulation) appendRecord(data []byte) {
	if r, _ := fold.Decode(data); s.falseOffsets {
		r.Seen = s.reference.Offset()
		data, _ = fold.Encode(r)
	}
	s.log, s.appendedAt = append(s.log, data), append(s.appendedAt, s.now())
	res := s.reference.Apply(int64(len(s.log)), s.now(), data)
	if res.Outcome == fold.Accepted && res.Record.Template != nil {
		s.accepted = append(s.accepted, res.Offset)
	}
}

func (s *simulation) injectFault() {
	if s.noFaults {
		return
	}
	i := s.pick(len(s.nodes))
	d := s.nodes[i]
	switch n := s.pick(160); {
	case n < 4:
		s.logGroup = []int{0, 1, -1, allGroups}[s.pick(4)]
		for _, d := range s.nodes {
			s.group[d.host] = s.pick(2)
		}
	case n < 6:
		s.logGroup = []int{0, -1, allGroups}[s.pick(3)]
		clear(s.group)
	case n == 6 && len(s.nodes) < 5:
		s.start(len(s.nodes))
	case n == 7 && !d.dead:
		d.dead, d.upOrDownAt = true, s.tick
	case d.dead && s.tick-d.upOrDownAt > 4 && n < 40:
		s.start(i)
	case d.dead && s.tick-d.upOrDownAt > 4 && n < 80:
		// A member that lists the dead daemon and reaches the log records it as gone.
		for _, p := range s.nodes {
			if _, ok := p.state.Member(d.incarnation); ok && !p.dead && s.hasLog(p) {
				s.appendRecord(s.encode(p, fold.MembersGone("", p.incarnation, d.incarnation)))
				return
			}
		}
	}
}

// check returns an error if the daemon accepts work although its configuration is more than maxLag behind.
func (s *simulation) check(d *node) error {
	ok, reason := d.tracker.Current(s.localTime(d))
	s.reasons[reason]++
	i := slices.IndexFunc(s.accepted, func(o int64) bool { return o > d.state.Offset() })
	if !ok || i < 0 {
		return nil
	}
	behind := s.now().Sub(s.appendedAt[s.accepted[i]-1])
	if s.worstLag = max(s.worstLag, behind); behind > maxLag {
		return errors.Newf("%s is current (%s) %v after offset %d", d.incarnation, reason, behind, s.accepted[i])
	}
	return nil
}

// TestBound guards against a daemon that accepts work on a configuration more than 7 s behind an accepted change.
func TestBound(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		seed := rapid.Uint64().Draw(rt, "seed")
		if err := newSimulation(rand.New(rand.NewPCG(seed, 1)).IntN, disabledChecks{}, false).run(800); err != nil {
			rt.Fatal(err)
		}
	})
}

// TestBoundFindsMutants guards against a simulation that cannot fail: with any one check disabled some seed must exceed the bound,
// and with all checks each reason to be current must occur. To keep the test short, the first seed is close to one that fails.
func TestBoundFindsMutants(t *testing.T) {
	for name, m := range map[string]struct {
		disabled disabledChecks
		first    uint64
	}{
		"sound":           {disabledChecks{}, 0},
		"majority":        {disabledChecks{majority: true}, 0},
		"acknowledgement": {disabledChecks{acknowledgement: true}, 0},
		"age":             {disabledChecks{age: true}, 100},
		"known":           {disabledChecks{known: true}, 180},
		"history":         {disabledChecks{history: true}, 80},
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			var found error
			reasons := map[Reason]int{}
			seed, worst, accepted := m.first, time.Duration(0), 0
			for ; seed < m.first+100 && found == nil; seed++ {
				s := newSimulation(rand.New(rand.NewPCG(seed, 2)).IntN, m.disabled, false)
				s.reasons = reasons
				found = s.run(800)
				worst, accepted = max(worst, s.worstLag), accepted+len(s.accepted)
			}
			t.Logf("seeds %d to %d, %d changes, worst %v, %v: %v", m.first, seed-1, accepted, worst, reasons, found)
			c.Assert(found != nil, qt.Equals, name != "sound", qt.Commentf("%v", found))
			c.Assert(found != nil || min(reasons[ByLog], reasons[ByPeer], reasons[ByMajority]) > 1000, qt.IsTrue)
		})
	}
}

// TestRestartAfterMajority guards against a change whose majority was counted before a member restarted: the new incarnation has
// not acknowledged it, and together with another member that has not done so either, it could serve the older version. Package fold
// must reject the change.
func TestRestartAfterMajority(t *testing.T) {
	for _, falseOffsets := range []bool{false, true} {
		c := qt.New(t)
		s := newSimulation(func(int) int { return 0 }, disabledChecks{}, falseOffsets)
		x, y, z := s.nodes[0], s.nodes[1], s.nodes[2]
		register := func(nodes ...*node) {
			for _, d := range nodes {
				s.catchUp(d, s.reference.Offset())
				s.register(d)
			}
			for _, d := range s.nodes {
				s.catchUp(d, s.reference.Offset())
				d.tracker.RecordRead(s.localTime(d), s.reference.Offset())
			}
		}
		register(x, y, z)
		call := func(d, peer *node) {
			peer.tracker.ReceiveCall(d.tracker.Heartbeat(s.localTime(d), peer.incarnation))
			d.tracker.ReceiveAnswer(s.localTime(d), peer.tracker.Heartbeat(s.localTime(peer), d.incarnation))
		}
		call(x, y)
		c.Assert(x.tracker.MayPublish(s.localTime(x)), qt.ErrorMatches, ".*0 of the 1 oldest.*")
		x.tracker.SetPublishing(s.localTime(x), true)
		c.Assert(x.tracker.MayPublish(s.localTime(x)), qt.ErrorMatches, ".*1 of the 2 oldest.*")
		call(x, y)
		c.Assert(x.tracker.MayPublish(s.localTime(x)), qt.IsNil)
		data := s.encodeChange(x)
		s.start(1)
		y = s.nodes[1]
		register(y)
		s.appendRecord(data)
		c.Assert(s.accepted, qt.HasLen, map[bool]int{false: 0, true: 1}[falseOffsets])
		s.tick += 32
		call(y, z)
		call(z, y)
		c.Assert(s.check(z) != nil, qt.Equals, falseOffsets)
		c.Assert(s.reasons[ByMajority], qt.Equals, 1)
	}
}

// TestNoPreparedChangeWithoutLog guards against a change that is requested during a log outage, when nothing can be appended, and
// that keeps the members that acknowledge it from serving. A prepared change that is open already closes when the log becomes
// unreachable before MayPublish has allowed an append; after that it stays open.
func TestNoPreparedChangeWithoutLog(t *testing.T) {
	c, now := qt.New(t), time.Unix(1000, 0)
	x := New("x")
	x.AdvanceMembers(now, 1, []Member{{Incarnation: "x", Offset: 1, RegisteredAt: now}})
	for _, step := range []struct {
		age  time.Duration
		open bool
	}{{maxContactAge + 1, false}, {maxContactAge, true}, {maxContactAge + 1, false}} {
		x.RecordRead(now, 1)
		x.SetPublishing(now.Add(step.age), true)
		c.Assert(x.Heartbeat(now, "y").Intent.Open, qt.Equals, step.open)
		c.Assert(x.Heartbeat(now, "y").Blocked, qt.Equals, step.open)
	}
	x.SetPublishing(now, true)
	c.Assert(x.MayPublish(now), qt.IsNil)
	x.SetPublishing(now.Add(maxContactAge+1), true)
	c.Assert(x.Heartbeat(now, "y").Intent.Open, qt.IsTrue)
	x.SetPublishing(now, false)
	c.Assert(x.Heartbeat(now, "y").Blocked, qt.IsFalse)
}

// TestClockAhead guards against a publisher that ignores a member set which a daemon without access to the log still knows, because
// the publisher's clock is ahead of the log's by more than memberHistory.
func TestClockAhead(t *testing.T) {
	for _, disabled := range []disabledChecks{{}, {logClock: true}} {
		c, now, x := qt.New(t), epoch.Add(30*time.Hour), New("c")
		x.disabled = disabled
		at := func(minutes int) time.Time { return epoch.Add(time.Duration(minutes) * time.Minute) }
		x.AdvanceMembers(now, 3, []Member{{"a", 1, at(0)}, {"b", 2, at(1)}, {"c", 3, at(2)}})
		x.RecordRead(now, 3)
		x.SetPublishing(now, true)
		x.ReceiveAnswer(now, Heartbeat{Incarnation: "b", Offset: 3, Known: 3, Noted: 1})
		c.Assert(x.MayPublish(now) == nil, qt.Equals, disabled.logClock)
		later := now.Add(memberHistory * 1003 / 1000)
		x.RecordRead(later, 3)
		x.ReceiveAnswer(later, Heartbeat{Incarnation: "b", Offset: 3, Known: 3, Noted: 1})
		c.Assert(x.MayPublish(later), qt.IsNil)
	}
}
