package idemp

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/fireflycleat/fireflycleat/pkg/clocks"
	"github.com/fireflycleat/fireflycleat/pkg/codes"
	"github.com/fireflycleat/fireflycleat/pkg/stale"
)

const inOrder = -1 // fate of the oldest packet when it is delivered without faults

// logClockOffset is the offset of the log's clock from the time of the simulation.
const logClockOffset = -2 * time.Hour

var simulationStart = time.Unix(1_700_000_000, 0)

type (
	// simulation holds a few hosts with a log, a network and a service; draw returns a number below n and decides every step.
	simulation struct {
		draw               func(n int) int
		faults             faults
		now                time.Time
		nodes              []*node
		log                []Assignment
		recordTimes        []time.Time // times of the records in log, by the log's clock
		assigned           map[int]Assignment
		packets            []packet
		proposals          []Propose
		calls              []serviceCall
		logDown            bool
		acceptWhenStale    bool // set when hosts with stale state accept work, to check that refusing it is necessary
		lifetimeNearlyOver bool // set when most of the lifetime of the keys has passed
		lastHost           int
		runCount           int
		resets             int
		keys               []string
		runs               map[string]int    // number of calls that the service ran, by key
		answers            map[string]string // last answer of the service, by key
		begins             map[string]*beginRecord
		err                error
	}

	// beginRecord holds the key and the result of one Begin.
	beginRecord struct {
		key         string
		ran, notRun bool
	}

	node struct {
		name          string
		h             *Host
		clockOffset   time.Duration // time by which the host's clock was ahead at the start
		clockDrift    float64       // time that the host's clock gains per unit of time
		alive, paused bool
		partitioned   bool // set when the host reaches only other partitioned hosts, callers and the service
		partitionedAt time.Time
		gone          bool
		draining      bool
		recordsRead   int
	}

	packet struct {
		from  *node
		to    string
		event Event
	}

	serviceCall struct {
		at  *node
		run Run
	}
)

func newSimulation(hosts int, f faults, draw func(n int) int) *simulation {
	s := &simulation{
		draw: draw, faults: f, now: simulationStart, assigned: make(map[int]Assignment),
		runs: make(map[string]int), answers: make(map[string]string), begins: make(map[string]*beginRecord),
	}
	for range hosts {
		s.nodes = append(s.nodes, s.startHost())
	}
	s.newKeys()
	return s
}

func (s *simulation) startHost() *node {
	s.lastHost++
	n := &node{name: fmt.Sprintf("h%d", s.lastHost), alive: true}
	n.clockOffset, n.clockDrift = time.Duration(s.draw(13)-6)*time.Hour, float64(s.draw(3)-1)/1000
	n.h = New(Config{Incarnation: n.name, Ranges: 2, MaxKeys: 50}, rand.New(rand.NewPCG(uint64(s.lastHost), 1)))
	n.h.faults = s.faults
	return n
}

func (s *simulation) newKeys() {
	s.keys, s.lifetimeNearlyOver = nil, false
	for i := range 8 {
		s.keys = append(s.keys, fmt.Sprintf("key-%d-%d", len(s.begins), i))
	}
}

func (s *simulation) fail(format string, args ...any) {
	if s.err == nil {
		s.err = errors.Newf(format, args...)
	}
}

func (s *simulation) findNode(name string) *node {
	for _, n := range s.nodes {
		if n.name == name {
			return n
		}
	}
	return nil
}

// localTime returns the time of the host's clock; the clocks of hosts differ by hours and drift by up to 0.1%.
func (n *node) localTime(now time.Time) time.Time {
	elapsed := now.Sub(simulationStart)
	return now.Add(n.clockOffset + time.Duration(n.clockDrift*float64(elapsed)))
}

func (s *simulation) handle(n *node, e Event) {
	for _, a := range n.h.Handle(n.localTime(s.now), e) {
		switch m := a.(type) {
		case Send:
			s.packets = append(s.packets, packet{n, m.To, Rebased(m.Message, n.localTime(s.now), clocks.Epoch)})
		case Run:
			s.calls = append(s.calls, serviceCall{n, m})
		case Propose:
			if n.partitioned {
				continue // The proposal does not reach the log.
			}
			s.proposals = append(s.proposals, m)
		case Forward:
			s.packets = append(s.packets, packet{n, m.To, Begin{ID: m.ID, Key: s.begins[m.ID].key, Digest: "d", Forwarded: true}})
		case Answer:
			s.checkAnswer(m)
		}
	}
}

func (s *simulation) checkAnswer(a Answer) {
	b := s.begins[a.ID]
	switch {
	case a.Err == nil && string(a.Stored.Body) != s.answers[b.key]:
		s.fail("%s got the answer %q of another request", a.ID, a.Stored.Body)
	case a.Err != nil && a.Err.Outcome() == codes.NotRun:
		if b.notRun = true; b.ran {
			s.fail("%s ran but was answered as not run: %v", a.ID, a.Err)
		}
	}
}

// acceptsWork applies the rule of package stale: a host that can reach neither the log nor a majority accepts work for a limited
// time only.
func (s *simulation) acceptsWork(n *node) bool {
	return !n.partitioned || s.acceptWhenStale || n.localTime(s.now).Sub(n.localTime(n.partitionedAt)) <= stale.MaxProofAge
}

// partitionPair separates the holder and the backup of a range from the log and the other hosts, which then reset the range.
func (s *simulation) partitionPair(keyRange int) {
	a := s.assigned[keyRange]
	for _, n := range s.nodes {
		if n.alive && (n.name == a.Holder || n.name == a.Backup) {
			n.partitioned, n.partitionedAt = true, s.now
		}
	}
}

// advance moves the time forward by d, such as the delay of a reset without proof, and runs rounds without new faults.
func (s *simulation) advance(d time.Duration) {
	s.runRounds(8)
	s.now = s.now.Add(d)
	s.runRounds(60)
}

func (s *simulation) begin(n *node, key string) string {
	id := fmt.Sprintf("b%d", len(s.begins)+1)
	s.begins[id] = &beginRecord{key: key}
	if !s.acceptsWork(n) {
		s.begins[id].notRun = true
		return id
	}
	s.handle(n, Begin{ID: id, Key: key, Digest: "d"})
	return id
}

// serve runs a call at the service; it is the only function that counts runs.
func (s *simulation) serve(r Run) StoredAnswer {
	s.runs[r.Key]++
	s.runCount++
	s.begins[r.ID].ran = true
	s.answers[r.Key] = "answer to " + r.ID
	if s.runs[r.Key] > 1 {
		s.fail("%s ran %d times", r.Key, s.runs[r.Key])
	}
	if s.begins[r.ID].notRun {
		s.fail("%s ran after it was answered as not run", r.ID)
	}
	return StoredAnswer{Status: 200, Body: []byte(s.answers[r.Key])}
}

// finishCall ends a call in progress; how selects whether it ran and whether its outcome is reported.
func (s *simulation) finishCall(i, how int) {
	c := s.calls[i]
	s.calls = append(s.calls[:i:i], s.calls[i+1:]...)
	o := Outcome{Attempt: c.run.Attempt, Result: codes.Unknown}
	switch how {
	case 0:
		o.Result, o.Proof = codes.NotRun, NoByteSent
	case 1:
		o.Result, o.Proof = codes.NotRun, ServiceConfirmed
	case 2:
		o.Result = codes.NotRun // reported without proof although the service ran the call
		s.serve(c.run)
	case 3:
		s.serve(c.run) // The answer is lost.
	case 4: // neither ran nor answered
	default:
		o.Result, o.Stored = codes.Ran, s.serve(c.run)
	}
	if c.at.alive {
		s.handle(c.at, o)
	}
}

// appendRecord appends a proposal to the log, which accepts it only if it is based on the current epoch.
func (s *simulation) appendRecord(i int, keep bool) {
	p := s.proposals[i]
	if !keep {
		s.proposals = append(s.proposals[:i:i], s.proposals[i+1:]...)
	}
	cur := s.assigned[p.Range]
	if p.Base != cur.Epoch {
		return
	}
	a := Assignment{
		Range: p.Range, Epoch: int64(len(s.log) + 1), Base: p.Base, Holder: p.Holder, Backup: p.Backup,
		StateLostEpoch: cur.StateLostEpoch, StateLostSince: cur.StateLostSince,
	}
	if p.StateLost {
		a.StateLostEpoch, a.StateLostSince = a.Epoch, s.now.Add(logClockOffset)
		s.resets++
	}
	s.assigned[p.Range] = a
	s.log, s.recordTimes = append(s.log, a), append(s.recordTimes, s.now.Add(logClockOffset))
}

// deliver delivers a random packet, or the oldest one if the fate is inOrder; fate 0 loses the packet and 1 duplicates it.
// A Begin is never duplicated, because each one is a separate call.
func (s *simulation) deliver(fate int) {
	if len(s.packets) == 0 {
		return
	}
	i := 0
	if fate != inOrder {
		i = s.draw(len(s.packets))
	}
	p := s.packets[i]
	if _, isBegin := p.event.(Begin); fate != 1 || isBegin {
		s.packets = append(s.packets[:i:i], s.packets[i+1:]...)
	}
	if n := s.findNode(p.to); fate != 0 && n != nil && n.alive && !n.paused && n.partitioned == p.from.partitioned {
		s.handle(n, Rebased(p.event, clocks.Epoch, n.localTime(s.now)))
	}
}

// sendPeers sends a node the list of members; if noisy, some are wrongly reported as lost or reachable.
func (s *simulation) sendPeers(n *node, noisy bool) {
	var members []Member
	for _, o := range s.nodes {
		if o.gone {
			continue
		}
		lost := !o.alive || o.paused || o.partitioned != n.partitioned
		if noisy && s.draw(12) == 0 {
			lost = !lost
		}
		members = append(members, Member{Incarnation: o.name, Lost: lost && o != n, Draining: o.draining})
	}
	s.handle(n, Peers{Members: members})
}

func (s *simulation) applyRecords(n *node, limit int) {
	for ; limit > 0 && n.recordsRead < len(s.log) && !n.partitioned; limit-- {
		n.recordsRead++
		s.handle(n, LogTime{At: s.recordTimes[n.recordsRead-1]})
		s.handle(n, s.log[n.recordsRead-1])
	}
}

// kill ends the process of a host; calls that it had sent may still reach the service.
func (s *simulation) kill(n *node) {
	n.alive, n.paused = false, false
	for i := len(s.calls) - 1; i >= 0; i-- {
		if s.calls[i].at == n {
			s.finishCall(i, 3+s.draw(2))
		}
	}
}

// restart starts a new host in place of a stopped one, or sometimes only removes it while others are up.
func (s *simulation) restart(n *node) {
	n.gone = true
	others := slices.ContainsFunc(s.nodes, func(o *node) bool { return o.alive })
	if !others || s.draw(5) > 0 {
		s.nodes = append(s.nodes, s.startHost())
	}
}

// loadSnapshot restores a host that fell behind from a snapshot, without the records in between and possibly without bases.
func (s *simulation) loadSnapshot(n *node) {
	n.recordsRead = len(s.log)
	for keyRange := range 2 {
		if a, ok := s.assigned[keyRange]; ok {
			if s.draw(2) == 0 {
				a.Base = -1
			}
			s.handle(n, a)
		}
	}
}

// runRounds runs the hosts that are up for some rounds of half a second without new faults.
func (s *simulation) runRounds(rounds int) {
	for range rounds {
		s.now = s.now.Add(500 * time.Millisecond)
		for _, n := range s.nodes {
			if !n.alive || n.paused {
				continue
			}
			if !s.logDown {
				s.applyRecords(n, len(s.log))
			}
			s.sendPeers(n, false)
			s.handle(n, Tick{})
		}
		for len(s.packets) > 0 {
			s.deliver(inOrder)
		}
		for i := len(s.calls) - 1; i >= 0; i-- {
			if !s.calls[i].at.paused {
				s.finishCall(i, 9)
			}
		}
		for len(s.proposals) > 0 && !s.logDown {
			s.appendRecord(0, false)
		}
		s.proposals = nil
	}
}

// endFaults ends all faults and restarts stopped hosts.
func (s *simulation) endFaults() {
	s.logDown = false
	for _, n := range append([]*node(nil), s.nodes...) {
		n.paused, n.partitioned = false, false
		if n.draining && n.alive {
			s.kill(n)
		}
		if !n.alive && !n.gone {
			s.restart(n)
		}
	}
	s.runRounds(60)
}

// newKeysRun reports whether a new minted key of each range runs through every live node.
func (s *simulation) newKeysRun() bool {
	for i := range 2 * len(s.nodes) {
		n := s.nodes[i/2]
		if !n.alive {
			continue
		}
		key, err := n.h.Mint(i % 2)
		if err != nil {
			return false
		}
		s.begin(n, key)
		if s.runRounds(2); s.runs[key] != 1 {
			return false
		}
	}
	return true
}
