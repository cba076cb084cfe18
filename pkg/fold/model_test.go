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

	// simulation is a log with its daemons. The reference state applies each record as it is appended. The maps are the oracle,
	// which is derived from the accepted records only. violation is the first one found.
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
		fences            map[string]int64 // By cell; that of the template is under "m".
		released          map[int64]bool
		keyRange          KeyRange
		violation         error
	}
)

func newSimulation(pick func(n int) int, disabled disabledChecks) *simulation {
	m := &simulation{
		pick: pick, disabled: disabled, now: epoch, firstRetained: 1, nodes: make([]*node, 3), reference: New(), results: map[string]Result{},
		accepted: map[string]int{}, permits: map[string]int{}, fences: map[string]int64{}, released: map[int64]bool{},
	}
	m.reference.disabled = disabled
	for i := range m.nodes {
		m.restart(i)
	}
	return m
}

// assert records a violation unless the condition holds.
func (m *simulation) assert(holds bool, format string, args ...any) {
	if !holds && m.violation == nil {
		m.violation = errors.Newf(format, args...)
	}
}

func (m *simulation) newID() string {
	m.ids++
	return fmt.Sprintf("i%d", m.ids)
}

// restart starts a new incarnation of a host, without any state. The old one still handles the answers to its appends, as a
// paused process would.
func (m *simulation) restart(i int) {
	d := &node{host: fmt.Sprintf("h%d", i), incarnation: m.newID(), connected: true, state: New()}
	m.nodes[i] = d
	d.state.disabled = m.disabled
	d.planner = NewPlanner(0, rand.New(rand.NewPCG(uint64(m.ids), 0)))
	d.planner.disabled = m.disabled
	d.planner.MayPublish = func(time.Time) error { return []error{nil, errors.New("no majority")}[m.pick(2)] }
	m.catchUp(d)
	r := d.state.Register(m.newID(), d.incarnation, d.host, "dc1", Addresses{Callers: d.host, Peers: d.host})
	m.handle(d, Submit{r, m.now.Add(time.Hour)})
}

func (m *simulation) handle(d *node, e Event) {
	for _, a := range d.planner.Handle(m.now, e) {
		switch a := a.(type) {
		case Append:
			f := inFlightAppend{sender: d, data: a.Data, delay: m.pick(4), answer: AppendAnswered{a.ID}}
			switch n := m.pick(8); {
			case !d.connected || n == 0:
				f.dropped, f.answer = true, AppendRefused{a.ID}
			case n <= 3:
				f.dropped, f.answer = n == 1, AppendLost{a.ID}
				if n == 3 {
					m.inFlight = append(m.inFlight, inFlightAppend{sender: d, data: a.Data, delay: 20})
				}
			}
			m.inFlight = append(m.inFlight, f)
		case Done:
			m.results[a.ID] = a.Result
		}
	}
}

// catchUp applies the rest of the log to the daemon's state. If its next record is no longer retained, the daemon starts from
// a snapshot in the log.
func (m *simulation) catchUp(d *node) {
	if d.state.offset+1 < m.firstRetained {
		f := NewFinder()
		for o := m.firstRetained; o <= int64(len(m.log)); o++ {
			f.Add(m.log[o-1])
		}
		d.state = f.State()
		d.state.disabled = m.disabled
		m.handle(d, Restored{d.state})
	}
	for o := d.state.offset + 1; o <= int64(len(m.log)); o++ {
		m.handle(d, Applied{d.state.Apply(o, m.times[o-1], m.log[o-1])})
	}
}

func (m *simulation) step() {
	m.now = m.now.Add(time.Duration(m.pick(400)) * time.Millisecond)
	i := m.pick(len(m.nodes))
	d := m.nodes[i]
	switch n := m.pick(16); {
	case n <= 7 && d.connected:
		m.handle(d, Submit{m.drawRecord(d), m.now.Add(time.Duration(m.pick(4000)) * time.Millisecond)})
	case n == 8:
		d.connected = !d.connected
	case n == 9 && m.pick(4) == 0:
		m.restart(i)
	case n == 10:
		// A peer's snapshot replaces the state only if it is ahead.
		s, err := d.state.Merge(m.nodes[m.pick(len(m.nodes))].state.Snapshot())
		m.assert(err == nil && s.offset >= d.state.offset, "merge went back: %v", err)
		if s != d.state {
			d.state = s
			m.handle(d, Restored{s})
		}
	case n == 11 && d.state.offset > 0 && m.pick(4) == 0:
		m.truncateLog(d)
	}
	for _, d := range m.nodes {
		if d.connected {
			m.catchUp(d)
		}
		m.handle(d, Tick{})
	}
	m.deliver()
}

// truncateLog appends a snapshot and then drops the records that it covers from the log.
func (m *simulation) truncateLog(d *node) {
	parts, err := d.state.Parts(d.incarnation, m.newID())
	m.assert(err == nil, "%v", err)
	for _, r := range parts {
		data, _ := Encode(r)
		m.appendRecord(data)
	}
	m.firstRetained = max(m.firstRetained, d.state.offset+1)
}

func (m *simulation) deliver() {
	due := m.inFlight
	m.inFlight = nil
	for _, f := range due {
		if f.delay--; f.delay > 0 {
			m.inFlight = append(m.inFlight, f)
			continue
		}
		if !f.dropped {
			m.appendRecord(f.data)
		}
		if f.answer != nil {
			m.handle(f.sender, f.answer)
		}
	}
}

// drawRecord draws a change that the daemon could make from its state, which may be outdated.
func (m *simulation) drawRecord(d *node) Record {
	cell := fmt.Sprintf("c%d", m.pick(2))
	l := d.state.leases[cell]
	switch m.pick(12) {
	case 0, 1:
		return SetTemplate(m.newID(), d.incarnation, d.state.TemplateOffset("m"), *modelTemplate("m", 1+m.pick(4)))
	case 2:
		return DeleteTemplate(m.newID(), d.incarnation, d.state.TemplateOffset("m"), "m")
	case 3, 4:
		return TakeLease(m.newID(), Member{Incarnation: d.incarnation, Host: d.host}, cell, d.state.leases[cell].Offset)
	case 5:
		l.Offset = max(1, l.Offset)
		return ReleaseLease(m.newID(), cell, Holder{d.host, d.incarnation, l.Offset})
	case 6, 7:
		backup := m.nodes[m.pick(len(m.nodes))].incarnation
		if backup == d.incarnation {
			backup = ""
		}
		return d.state.AssignRanges(m.newID(), d.incarnation, d.incarnation, backup, m.pick(4) == 0, 3)
	}
	return SetPermits(m.newID(), d.incarnation, cell, max(1, l.Offset), "m", d.state.Permit("m", cell).Offset, m.pick(4))
}

// appendRecord appends a record to the log and checks the result of the reference state against the oracle.
func (m *simulation) appendRecord(data []byte) {
	m.log, m.times = append(m.log, data), append(m.times, m.now)
	o := int64(len(m.log))
	v := m.reference.Apply(o, m.now, data)
	r := v.Record
	if v.Outcome != Accepted {
		lost := r.Template != nil && v.Outcome == Rejected && v.Err.Field() == "base"
		m.assert(!lost || r.Template.Base != m.fences["m"] && v.LostTo == m.fences["m"],
			"offset %d was rejected for its base, but did not lose to the last change", o)
		return
	}
	m.accepted[r.ID]++
	m.assert(m.accepted[r.ID] == 1, "change %s was accepted twice", r.ID)
	if c := r.Template; c != nil {
		m.assert(c.Base == m.fences["m"], "offset %d reverts the change at %d", o, m.fences["m"])
		m.fences["m"], m.maxReplicas = o, 0
		if !c.Delete {
			m.maxReplicas = c.Set.Model.MaxReplicas
		}
	}
	for _, c := range r.KeyRange {
		hasTable := c.StateLost || m.keyRange.Epoch == 0 || r.By == m.keyRange.Holder || r.By == m.keyRange.Backup
		m.assert(c.Base == m.keyRange.Epoch && hasTable, "key range at %d was assigned without the table of epoch %d", o, m.keyRange.Epoch)
		m.keyRange = KeyRange{Holder: c.Holder, Backup: c.Backup, Epoch: o}
	}
	for _, c := range r.CellLease {
		m.assert(!c.Release || !m.released[c.Base], "lease %d was released twice", c.Base)
		if m.released[c.Base] = m.released[c.Base] || c.Release; !c.Release {
			m.assert(c.Base == m.fences[c.Cell], "takeover at %d ended a lease other than its base", o)
			m.fences[c.Cell] = o
		}
	}
	for _, c := range r.Permit {
		m.assert(c.Lease == m.fences[c.Cell] && !m.released[c.Lease], "permit at %d is under a lease that has ended", o)
		raised := c.Count > m.permits[c.Cell]
		m.permits[c.Cell] = c.Count
		m.assert(!raised || m.permits["c0"]+m.permits["c1"] <= m.maxReplicas, "permits at %d exceed maxReplicas %d: %v", o, m.maxReplicas, m.permits)
	}
}

// run runs the steps, reconnects all daemons, lets all appends finish, and checks that all states are equal and that the
// reported results are right.
func (m *simulation) run(steps int) error {
	for i := 0; i < steps && m.violation == nil; i++ {
		m.step()
	}
	for range 200 {
		m.now = m.now.Add(time.Second)
		for _, d := range m.nodes {
			d.connected = true
			m.catchUp(d)
			m.handle(d, Tick{})
		}
		m.deliver()
	}
	for _, d := range m.nodes {
		m.catchUp(d)
		m.assert(bytes.Equal(d.state.Snapshot(), m.reference.Snapshot()), "the state of %s differs from the reference state", d.host)
		m.assert(d.planner.Pending() == 0, "%s still has %d changes without a result", d.host, d.planner.Pending())
	}
	for id, v := range m.results {
		m.assert((v.Outcome == Accepted) == (m.accepted[id] == 1), "change %s was reported as %v: %v", id, v.Outcome, v.Err)
	}
	return m.violation
}

// Guards against a state that depends on where a daemon starts reading, a change that reverts another or is accepted twice,
// concurrent changes of which none or more than one is accepted, a takeover from a stale base, permits above maxReplicas, and
// a planner that reports a wrong result.
func TestModel(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		pick := func(n int) int { return rapid.IntRange(0, n-1).Draw(rt, "pick") }
		if err := newSimulation(pick, disabledChecks{}).run(150); err != nil {
			rt.Fatal(err)
		}
	})
}

// Guards against a simulation that can't detect a violation: with any one of the checks disabled, some seed must find one.
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
