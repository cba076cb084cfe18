package fold

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"
)

type (
	// node is a simulated daemon with its state and planner.
	node struct {
		host, incarnation string
		state             *State
		planner           *Planner
		connected         bool
	}

	// inFlightAppend is an append on its way to the log; delay is the number of steps until it arrives.
	inFlightAppend struct {
		sender  *node
		data    []byte
		delay   int
		answer  Event
		dropped bool
	}

	// simulation is a log with its daemons. The reference state applies each record as it is appended. The fields
	// maxReplicas, accepted, permits, currentOffsets, released and keyRange are the oracle, which is derived from the accepted
	// records only.
	simulation struct {
		pick              func(n int) int
		disabled          disabledChecks
		now               time.Time
		log               [][]byte
		times             []time.Time
		firstRetained     int64
		reference         *State
		nodes             []*node
		inFlight          []inFlightAppend
		ids, maxReplicas  int
		results           map[string]Result
		accepted, permits map[string]int
		currentOffsets    map[string]int64 // of the leases by cell, and of the template under "m"
		released          map[int64]bool
		keyRange          KeyRange
		violation         error // the first one found
	}
)

func newSimulation(pick func(n int) int, disabled disabledChecks) *simulation {
	s := &simulation{
		pick: pick, disabled: disabled, now: epoch, firstRetained: 1, nodes: make([]*node, 3), reference: New(), results: map[string]Result{},
		accepted: map[string]int{}, permits: map[string]int{}, currentOffsets: map[string]int64{}, released: map[int64]bool{},
	}
	s.reference.disabled = disabled
	for i := range s.nodes {
		s.restart(i)
	}
	return s
}

// assert records a violation unless the condition holds.
func (s *simulation) assert(holds bool, format string, args ...any) {
	if !holds && s.violation == nil {
		s.violation = errors.Newf(format, args...)
	}
}

func (s *simulation) newID() string {
	s.ids++
	return fmt.Sprintf("i%d", s.ids)
}

// restart starts a new incarnation of a host, without any state. The old one still handles the answers to its appends, as a
// paused process would.
func (s *simulation) restart(i int) {
	d := &node{host: fmt.Sprintf("h%d", i), incarnation: s.newID(), connected: true, state: New()}
	s.nodes[i] = d
	d.state.disabled = s.disabled
	d.planner = NewPlanner(0, rand.New(rand.NewPCG(uint64(s.ids), 0)))
	d.planner.disabled = s.disabled
	d.planner.MayPublish = func(time.Time) error { return []error{nil, errors.New("no majority")}[s.pick(2)] }
	s.catchUp(d)
	r := d.state.Register(s.newID(), d.incarnation, d.host, "dc1", Addresses{Callers: d.host, Peers: d.host})
	s.handle(d, Submit{r, s.now.Add(time.Hour)})
}

func (s *simulation) handle(d *node, e Event) {
	for _, a := range d.planner.Handle(s.now, e) {
		switch a := a.(type) {
		case Append:
			f := inFlightAppend{sender: d, data: a.Data, delay: s.pick(4), answer: AppendAnswered{a.ID}}
			switch n := s.pick(8); {
			case !d.connected || n == 0:
				f.dropped, f.answer = true, AppendRefused{a.ID}
			case n <= 3:
				f.dropped, f.answer = n == 1, AppendLost{a.ID}
				if n == 3 {
					s.inFlight = append(s.inFlight, inFlightAppend{sender: d, data: a.Data, delay: 20})
				}
			}
			s.inFlight = append(s.inFlight, f)
		case Done:
			s.results[a.ID] = a.Result
		}
	}
}

// catchUp applies the rest of the log to the daemon's state. If its next record is no longer retained, the daemon starts from
// a snapshot in the log.
func (s *simulation) catchUp(d *node) {
	if d.state.offset+1 < s.firstRetained {
		f := NewSnapshotFinder()
		for o := s.firstRetained; o <= int64(len(s.log)); o++ {
			f.Add(s.log[o-1])
		}
		d.state = f.State()
		d.state.disabled = s.disabled
		s.handle(d, Restored{d.state})
	}
	for o := d.state.offset + 1; o <= int64(len(s.log)); o++ {
		s.handle(d, Applied{d.state.Apply(o, s.times[o-1], s.log[o-1])})
	}
}

func (s *simulation) step() {
	s.now = s.now.Add(time.Duration(s.pick(400)) * time.Millisecond)
	i := s.pick(len(s.nodes))
	d := s.nodes[i]
	switch n := s.pick(16); {
	case n <= 7 && d.connected:
		s.handle(d, Submit{s.drawRecord(d), s.now.Add(time.Duration(s.pick(4000)) * time.Millisecond)})
	case n == 8:
		d.connected = !d.connected
	case n == 9 && s.pick(4) == 0:
		s.restart(i)
	case n == 10:
		// A peer's snapshot replaces the state only if it is ahead.
		merged, err := d.state.Merge(s.nodes[s.pick(len(s.nodes))].state.Snapshot())
		s.assert(err == nil && merged.offset >= d.state.offset, "the merge failed or returned an older state: %v", err)
		if merged != d.state {
			d.state = merged
			s.handle(d, Restored{merged})
		}
	case n == 11 && d.state.offset > 0 && s.pick(4) == 0:
		s.truncateLog(d)
	}
	for _, d := range s.nodes {
		if d.connected {
			s.catchUp(d)
		}
		s.handle(d, Tick{})
	}
	s.deliver()
}

// truncateLog appends a snapshot and then drops the records that it covers from the log.
func (s *simulation) truncateLog(d *node) {
	parts, err := d.state.Parts(d.incarnation, s.newID())
	s.assert(err == nil, "the parts of a snapshot were not created: %v", err)
	for _, r := range parts {
		data, _ := Encode(r)
		s.appendRecord(data)
	}
	s.firstRetained = max(s.firstRetained, d.state.offset+1)
}

func (s *simulation) deliver() {
	due := s.inFlight
	s.inFlight = nil
	for _, f := range due {
		if f.delay--; f.delay > 0 {
			s.inFlight = append(s.inFlight, f)
			continue
		}
		if !f.dropped {
			s.appendRecord(f.data)
		}
		if f.answer != nil {
			s.handle(f.sender, f.answer)
		}
	}
}

// drawRecord draws a change that the daemon could make from its state, which may be outdated.
func (s *simulation) drawRecord(d *node) Record {
	cell := fmt.Sprintf("c%d", s.pick(2))
	l := d.state.leases[cell]
	switch s.pick(12) {
	case 0, 1:
		return SetTemplate(s.newID(), d.incarnation, d.state.TemplateOffset("m"), *modelTemplate("m", 1+s.pick(4)))
	case 2:
		return DeleteTemplate(s.newID(), d.incarnation, d.state.TemplateOffset("m"), "m")
	case 3, 4:
		return TakeLease(s.newID(), Member{Incarnation: d.incarnation, Host: d.host}, cell, d.state.leases[cell].Offset)
	case 5:
		l.Offset = max(1, l.Offset)
		return ReleaseLease(s.newID(), cell, Holder{d.host, d.incarnation, l.Offset})
	case 6, 7:
		backup := s.nodes[s.pick(len(s.nodes))].incarnation
		if backup == d.incarnation {
			backup = ""
		}
		return d.state.AssignRanges(s.newID(), d.incarnation, d.incarnation, backup, s.pick(4) == 0, 3)
	}
	return SetPermits(s.newID(), d.incarnation, cell, max(1, l.Offset), "m", d.state.Permit("m", cell).Offset, s.pick(4))
}

// appendRecord appends a record to the log and checks the result of the reference state against the oracle.
func (s *simulation) appendRecord(data []byte) {
	s.log, s.times = append(s.log, data), append(s.times, s.now)
	o := int64(len(s.log))
	res := s.reference.Apply(o, s.now, data)
	r := res.Record
	if res.Outcome != Accepted {
		lost := r.Template != nil && res.Outcome == Rejected && res.Err.Field() == "base"
		s.assert(!lost || r.Template.Base != s.currentOffsets["m"] && res.LostTo == s.currentOffsets["m"],
			"offset %d was rejected for its base, but did not lose to the last change", o)
		return
	}
	s.accepted[r.ID]++
	s.assert(s.accepted[r.ID] == 1, "change %s was accepted twice", r.ID)
	if c := r.Template; c != nil {
		s.assert(c.Base == s.currentOffsets["m"], "offset %d reverts the change at %d", o, s.currentOffsets["m"])
		s.currentOffsets["m"], s.maxReplicas = o, 0
		if !c.Delete {
			s.maxReplicas = c.Set.Model.MaxReplicas
		}
	}
	for _, c := range r.KeyRange {
		hasTable := c.StateLost || s.keyRange.Epoch == 0 || r.By == s.keyRange.Holder || r.By == s.keyRange.Backup
		s.assert(c.Base == s.keyRange.Epoch && hasTable, "key range at %d was assigned without the table of epoch %d", o, s.keyRange.Epoch)
		s.keyRange = KeyRange{Holder: c.Holder, Backup: c.Backup, Epoch: o}
	}
	for _, c := range r.CellLease {
		s.assert(!c.Release || !s.released[c.Base], "lease %d was released twice", c.Base)
		if s.released[c.Base] = s.released[c.Base] || c.Release; !c.Release {
			s.assert(c.Base == s.currentOffsets[c.Cell], "take-over at %d ended a lease other than its base", o)
			s.currentOffsets[c.Cell] = o
		}
	}
	for _, c := range r.Permit {
		s.assert(c.Lease == s.currentOffsets[c.Cell] && !s.released[c.Lease], "permit at %d is under a lease that has ended", o)
		raised := c.Count > s.permits[c.Cell]
		s.permits[c.Cell] = c.Count
		s.assert(!raised || s.permits["c0"]+s.permits["c1"] <= s.maxReplicas, "permits at %d exceed maxReplicas %d: %v", o, s.maxReplicas, s.permits)
	}
}

// run runs the steps, reconnects all daemons, lets all appends finish, and checks that all states are equal and that the
// reported results are right.
func (s *simulation) run(steps int) error {
	for i := 0; i < steps && s.violation == nil; i++ {
		s.step()
	}
	for range 200 {
		s.now = s.now.Add(time.Second)
		for _, d := range s.nodes {
			d.connected = true
			s.catchUp(d)
			s.handle(d, Tick{})
		}
		s.deliver()
	}
	for _, d := range s.nodes {
		s.catchUp(d)
		s.assert(bytes.Equal(d.state.Snapshot(), s.reference.Snapshot()), "the state of %s differs from the reference state", d.host)
		s.assert(d.planner.Pending() == 0, "%s still has %d changes without a result", d.host, d.planner.Pending())
	}
	for id, res := range s.results {
		s.assert((res.Outcome == Accepted) == (s.accepted[id] == 1), "change %s was reported as %v: %v", id, res.Outcome, res.Err)
	}
	return s.violation
}

// TestModel guards against a state that depends on where a daemon starts reading, a change that reverts another or is accepted
// twice, concurrent changes of which none or more than one is accepted, a take-over from a stale base, permits above maxReplicas,
// and a planner that reports a wrong result.
func TestModel(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		pick := func(n int) int { return rapid.IntRange(0, n-1).Draw(rt, "pick") }
		if err := newSimulation(pick, disabledChecks{}).run(150); err != nil {
			rt.Fatal(err)
		}
	})
}

// TestModelFindsMutants guards against a simulation that can't detect a violation: with any one of the checks disabled, some seed
// must find one.
func TestModelFindsMutants(t *testing.T) {
	for name, disabled := range map[string]disabledChecks{
		"sound":         {},
		"base":          {noBase: true},
		"lease":         {noLease: true},
		"changeID":      {noChangeID: true},
		"permitSum":     {noPermitSum: true},
		"lostIsRefused": {lostIsRefused: true},
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			var found error
			seed := uint64(0)
			for ; seed < 40 && found == nil; seed++ {
				found = newSimulation(rand.New(rand.NewPCG(seed, 7)).IntN, disabled).run(300)
			}
			t.Logf("%d seeds: %v", seed, found)
			c.Assert(found != nil, qt.Equals, name != "sound", qt.Commentf("%v", found))
		})
	}
}
