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
	// node is a simulated daemon with its own fold and planner.
	node struct {
		host, incarnation string
		state             *State
		planner           *Planner
		connected         bool
	}

	// inFlightAppend is an append on its way to the log; late is the number of steps until it arrives.
	inFlightAppend struct {
		sender  *node
		data    []byte
		delay   int
		answer  Event
		dropped bool
	}

	// simulation is a log with its daemons. truth folds each record as it arrives; the maps are the oracle, which is kept from
	// the accepted records alone. err is the first violation.
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
		results           map[string]Verdict
		accepted, permits map[string]int
		fences            map[string]int64 // By cell; that of the template is under "m".
		released          map[int64]bool
		keyRange          KeyRange
		violation         error
	}
)

func newSimulation(pick func(n int) int, off disabledChecks) *simulation {
	w := &simulation{
		pick: pick, disabled: off, now: epoch, firstRetained: 1, nodes: make([]*node, 3), reference: New(), results: map[string]Verdict{},
		accepted: map[string]int{}, permits: map[string]int{}, fences: map[string]int64{}, released: map[int64]bool{},
	}
	w.reference.disabled = off
	for i := range w.nodes {
		w.restart(i)
	}
	return w
}

// assert records a violation unless the condition holds.
func (w *simulation) assert(holds bool, format string, args ...any) {
	if !holds && w.violation == nil {
		w.violation = errors.Newf(format, args...)
	}
}

func (w *simulation) newID() string {
	w.ids++
	return fmt.Sprintf("i%d", w.ids)
}

// restart starts a new incarnation, which knows nothing; the old one, as a paused process would, still
// handles the answers to its appends.
func (w *simulation) restart(i int) {
	d := &node{host: fmt.Sprintf("h%d", i), incarnation: w.newID(), connected: true, state: New()}
	w.nodes[i] = d
	d.state.disabled = w.disabled
	d.planner = NewPlanner(0, rand.New(rand.NewPCG(uint64(w.ids), 0)))
	d.planner.disabled = w.disabled
	d.planner.MayPublish = func(time.Time) error { return []error{nil, errors.New("no majority")}[w.pick(2)] }
	w.catchUp(d)
	r := d.state.Register(w.newID(), d.incarnation, d.host, "dc1", Addresses{Callers: d.host, Peers: d.host})
	w.handle(d, Submit{r, w.now.Add(time.Hour)})
}

func (w *simulation) handle(d *node, e Event) {
	for _, a := range d.planner.Handle(w.now, e) {
		switch a := a.(type) {
		case Append:
			f := inFlightAppend{sender: d, data: a.Data, delay: w.pick(4), answer: AppendAnswered{a.ID}}
			switch n := w.pick(8); {
			case !d.connected || n == 0:
				f.dropped, f.answer = true, AppendRefused{a.ID}
			case n <= 3:
				f.dropped, f.answer = n == 1, AppendLost{a.ID}
				if n == 3 {
					w.inFlight = append(w.inFlight, inFlightAppend{sender: d, data: a.Data, delay: 20})
				}
			}
			w.inFlight = append(w.inFlight, f)
		case Done:
			w.results[a.ID] = a.Verdict
		}
	}
}

// catchUp lets the daemon fold what the log holds; one that is behind retention starts at a snapshot in the log.
func (w *simulation) catchUp(d *node) {
	if d.state.offset+1 < w.firstRetained {
		f := NewFinder()
		for o := w.firstRetained; o <= int64(len(w.log)); o++ {
			f.Add(w.log[o-1])
		}
		d.state = f.State()
		d.state.disabled = w.disabled
		w.handle(d, Restored{d.state})
	}
	for o := d.state.offset + 1; o <= int64(len(w.log)); o++ {
		w.handle(d, Folded{d.state.Apply(o, w.times[o-1], w.log[o-1])})
	}
}

func (w *simulation) step() {
	w.now = w.now.Add(time.Duration(w.pick(400)) * time.Millisecond)
	i := w.pick(len(w.nodes))
	d := w.nodes[i]
	switch n := w.pick(16); {
	case n <= 7 && d.connected:
		w.handle(d, Submit{w.drawRecord(d), w.now.Add(time.Duration(w.pick(4000)) * time.Millisecond)})
	case n == 8:
		d.connected = !d.connected
	case n == 9 && w.pick(4) == 0:
		w.restart(i)
	case n == 10:
		// A peer's snapshot replaces the state only if it is ahead.
		s, err := d.state.Merge(w.nodes[w.pick(len(w.nodes))].state.Snapshot())
		w.assert(err == nil && s.offset >= d.state.offset, "merge went back: %v", err)
		if s != d.state {
			d.state = s
			w.handle(d, Restored{s})
		}
	case n == 11 && d.state.offset > 0 && w.pick(4) == 0:
		w.truncateLog(d)
	}
	for _, d := range w.nodes {
		if d.connected {
			w.catchUp(d)
		}
		w.handle(d, Tick{})
	}
	w.deliver()
}

// truncateLog writes a snapshot and then lets the log drop what it covers.
func (w *simulation) truncateLog(d *node) {
	parts, err := d.state.Parts(d.incarnation, w.newID())
	w.assert(err == nil, "%v", err)
	for _, r := range parts {
		data, _ := Encode(r)
		w.appendRecord(data)
	}
	w.firstRetained = max(w.firstRetained, d.state.offset+1)
}

func (w *simulation) deliver() {
	due := w.inFlight
	w.inFlight = nil
	for _, f := range due {
		if f.delay--; f.delay > 0 {
			w.inFlight = append(w.inFlight, f)
			continue
		}
		if !f.dropped {
			w.appendRecord(f.data)
		}
		if f.answer != nil {
			w.handle(f.sender, f.answer)
		}
	}
}

// drawRecord draws a change that the daemon could make from its own, possibly old, state.
func (w *simulation) drawRecord(d *node) Record {
	cell := fmt.Sprintf("c%d", w.pick(2))
	l := d.state.leases[cell]
	switch w.pick(12) {
	case 0, 1:
		return SetTemplate(w.newID(), d.incarnation, d.state.TemplateOffset("m"), *modelTemplate("m", 1+w.pick(4)))
	case 2:
		return DeleteTemplate(w.newID(), d.incarnation, d.state.TemplateOffset("m"), "m")
	case 3, 4:
		return TakeLease(w.newID(), Member{Incarnation: d.incarnation, Host: d.host}, cell, d.state.leases[cell].Offset)
	case 5:
		l.Offset = max(1, l.Offset)
		return ReleaseLease(w.newID(), cell, Holder{d.host, d.incarnation, l.Offset})
	case 6, 7:
		backup := w.nodes[w.pick(len(w.nodes))].incarnation
		if backup == d.incarnation {
			backup = ""
		}
		return d.state.AssignRanges(w.newID(), d.incarnation, d.incarnation, backup, w.pick(4) == 0, 3)
	}
	return SetPermits(w.newID(), d.incarnation, cell, max(1, l.Offset), "m", d.state.Permit("m", cell).Offset, w.pick(4))
}

// appendRecord appends a record and checks the verdict of the fold against the oracle.
func (w *simulation) appendRecord(data []byte) {
	w.log, w.times = append(w.log, data), append(w.times, w.now)
	o := int64(len(w.log))
	v := w.reference.Apply(o, w.now, data)
	r := v.Record
	if v.Outcome != Accepted {
		lost := r.Template != nil && v.Outcome == Rejected && v.Err.Field() == "base"
		w.assert(!lost || r.Template.Base != w.fences["m"] && v.LostTo == w.fences["m"], "%d lost a race that nobody won", o)
		return
	}
	w.accepted[r.ID]++
	w.assert(w.accepted[r.ID] == 1, "change %s was accepted twice", r.ID)
	if c := r.Template; c != nil {
		w.assert(c.Base == w.fences["m"], "offset %d reverts the change at %d", o, w.fences["m"])
		w.fences["m"], w.maxReplicas = o, 0
		if !c.Delete {
			w.maxReplicas = c.Set.Model.MaxReplicas
		}
	}
	for _, c := range r.KeyRange {
		table := c.Blind || w.keyRange.Epoch == 0 || r.By == w.keyRange.Holder || r.By == w.keyRange.Backup
		w.assert(c.Base == w.keyRange.Epoch && table, "key range at %d was taken without the table of %d", o, w.keyRange.Epoch)
		w.keyRange = KeyRange{Holder: c.Holder, Backup: c.Backup, Epoch: o}
	}
	for _, c := range r.CellLease {
		w.assert(!c.Release || !w.released[c.Base], "lease %d was released twice", c.Base)
		if w.released[c.Base] = w.released[c.Base] || c.Release; !c.Release {
			w.assert(c.Base == w.fences[c.Cell], "takeover at %d ended a lease that it did not name", o)
			w.fences[c.Cell] = o
		}
	}
	for _, c := range r.Permit {
		w.assert(c.Lease == w.fences[c.Cell] && !w.released[c.Lease], "permit at %d is of an ended lease", o)
		raised := c.Count > w.permits[c.Cell]
		w.permits[c.Cell] = c.Count
		w.assert(!raised || w.permits["c0"]+w.permits["c1"] <= w.maxReplicas, "claim at %d exceeds %d: %v", o, w.maxReplicas, w.permits)
	}
}

// run takes the steps, heals everything, waits, and checks that all daemons agree and that no result was wrong.
func (w *simulation) run(steps int) error {
	for i := 0; i < steps && w.violation == nil; i++ {
		w.step()
	}
	for range 200 {
		w.now = w.now.Add(time.Second)
		for _, d := range w.nodes {
			d.connected = true
			w.catchUp(d)
			w.handle(d, Tick{})
		}
		w.deliver()
	}
	for _, d := range w.nodes {
		w.catchUp(d)
		w.assert(bytes.Equal(d.state.Snapshot(), w.reference.Snapshot()), "%s has another state than the fold of the log", d.host)
		w.assert(d.planner.Pending() == 0, "%s still has %d changes without a result", d.host, d.planner.Pending())
	}
	for id, v := range w.results {
		w.assert((v.Outcome == Accepted) == (w.accepted[id] == 1), "change %s was reported as %v: %v", id, v.Outcome, v.Err)
	}
	return w.violation
}

// Guards against a fold that depends on where a daemon starts, a change that reverts or is accepted twice, a race with no
// or two winners, a takeover from a stale base, a claim above maxReplicas, and a planner that reports a wrong result.
func TestModel(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		pick := func(n int) int { return rapid.IntRange(0, n-1).Draw(rt, "pick") }
		if err := newSimulation(pick, disabledChecks{}).run(150); err != nil {
			rt.Fatal(err)
		}
	})
}

// Guards against a model that cannot fail: without any one of the checks, some seed must find a violation.
func TestModelFindsMutants(t *testing.T) {
	for name, off := range map[string]disabledChecks{
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
				found = newSimulation(rand.New(rand.NewPCG(seed, 7)).IntN, off).run(300)
			}
			t.Logf("%d seeds: %v", seed, found)
			c.Assert(found != nil, qt.Equals, name != "sound", qt.Commentf("%v", found))
		})
	}
}
