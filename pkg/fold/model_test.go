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
		host, name string
		s          *State
		p          *Planner
		linked     bool
	}

	// flight is an append on its way to the log; late is the number of steps until it arrives.
	flight struct {
		from   *node
		data   []byte
		late   int
		answer Event
		drop   bool
	}

	// world is a log with its daemons. truth folds each record as it arrives; the maps are the oracle, which is kept from
	// the accepted records alone. err is the first violation.
	world struct {
		pick              func(n int) int
		off               guards
		now               time.Time
		log               [][]byte
		at                []time.Time
		first             int64
		truth             *State
		nodes             []*node
		flights           []flight
		ids, limit        int
		results           map[string]Verdict
		accepted, permits map[string]int
		fences            map[string]int64 // By cell; that of the template is under "m".
		released          map[int64]bool
		keys              KeyRange
		err               error
	}
)

func newWorld(pick func(n int) int, off guards) *world {
	w := &world{
		pick: pick, off: off, now: epoch, first: 1, nodes: make([]*node, 3), truth: New(), results: map[string]Verdict{},
		accepted: map[string]int{}, permits: map[string]int{}, fences: map[string]int64{}, released: map[int64]bool{},
	}
	w.truth.off = off
	for i := range w.nodes {
		w.restart(i)
	}
	return w
}

// assert records a violation unless the condition holds.
func (w *world) assert(holds bool, format string, args ...any) {
	if !holds && w.err == nil {
		w.err = errors.Newf(format, args...)
	}
}

func (w *world) id() string {
	w.ids++
	return fmt.Sprintf("i%d", w.ids)
}

// restart starts a new incarnation, which knows nothing; the old one, as a paused process would, still
// handles the answers to its appends.
func (w *world) restart(i int) {
	d := &node{host: fmt.Sprintf("h%d", i), name: w.id(), linked: true, s: New()}
	w.nodes[i] = d
	d.s.off = w.off
	d.p = NewPlanner(0, rand.New(rand.NewPCG(uint64(w.ids), 0)))
	d.p.off = w.off
	d.p.MayPublish = func(time.Time) error { return []error{nil, errors.New("no majority")}[w.pick(2)] }
	w.read(d)
	r := d.s.Register(w.id(), d.name, d.host, "dc1", Addresses{Callers: d.host, Peers: d.host})
	w.handle(d, Submit{r, w.now.Add(time.Hour)})
}

func (w *world) handle(d *node, e Event) {
	for _, a := range d.p.Handle(w.now, e) {
		switch a := a.(type) {
		case Append:
			f := flight{from: d, data: a.Data, late: w.pick(4), answer: AppendAnswered{a.ID}}
			switch n := w.pick(8); {
			case !d.linked || n == 0:
				f.drop, f.answer = true, AppendRefused{a.ID}
			case n <= 3:
				f.drop, f.answer = n == 1, AppendLost{a.ID}
				if n == 3 {
					w.flights = append(w.flights, flight{from: d, data: a.Data, late: 20})
				}
			}
			w.flights = append(w.flights, f)
		case Done:
			w.results[a.ID] = a.Verdict
		}
	}
}

// read lets the daemon fold what the log holds; one that is behind retention starts at a snapshot in the log.
func (w *world) read(d *node) {
	if d.s.offset+1 < w.first {
		f := NewFinder()
		for o := w.first; o <= int64(len(w.log)); o++ {
			f.Add(w.log[o-1])
		}
		d.s = f.State()
		d.s.off = w.off
		w.handle(d, Restored{d.s})
	}
	for o := d.s.offset + 1; o <= int64(len(w.log)); o++ {
		w.handle(d, Folded{d.s.Apply(o, w.at[o-1], w.log[o-1])})
	}
}

func (w *world) step() {
	w.now = w.now.Add(time.Duration(w.pick(400)) * time.Millisecond)
	i := w.pick(len(w.nodes))
	d := w.nodes[i]
	switch n := w.pick(16); {
	case n <= 7 && d.linked:
		w.handle(d, Submit{w.record(d), w.now.Add(time.Duration(w.pick(4000)) * time.Millisecond)})
	case n == 8:
		d.linked = !d.linked
	case n == 9 && w.pick(4) == 0:
		w.restart(i)
	case n == 10:
		// A peer's snapshot replaces the state only if it is ahead.
		s, err := d.s.Merge(w.nodes[w.pick(len(w.nodes))].s.Snapshot())
		w.assert(err == nil && s.offset >= d.s.offset, "merge went back: %v", err)
		if s != d.s {
			d.s = s
			w.handle(d, Restored{s})
		}
	case n == 11 && d.s.offset > 0 && w.pick(4) == 0:
		w.cut(d)
	}
	for _, d := range w.nodes {
		if d.linked {
			w.read(d)
		}
		w.handle(d, Tick{})
	}
	w.deliver()
}

// cut writes a snapshot and then lets the log drop what it covers.
func (w *world) cut(d *node) {
	parts, err := d.s.Parts(d.name, w.id())
	w.assert(err == nil, "%v", err)
	for _, r := range parts {
		data, _ := Encode(r)
		w.arrive(data)
	}
	w.first = max(w.first, d.s.offset+1)
}

func (w *world) deliver() {
	due := w.flights
	w.flights = nil
	for _, f := range due {
		if f.late--; f.late > 0 {
			w.flights = append(w.flights, f)
			continue
		}
		if !f.drop {
			w.arrive(f.data)
		}
		if f.answer != nil {
			w.handle(f.from, f.answer)
		}
	}
}

// record draws a change that the daemon could make from its own, possibly old, state.
func (w *world) record(d *node) Record {
	cell := fmt.Sprintf("c%d", w.pick(2))
	l := d.s.leases[cell]
	switch w.pick(12) {
	case 0, 1:
		return SetTemplate(w.id(), d.name, d.s.TemplateOffset("m"), *model("m", 1+w.pick(4)))
	case 2:
		return DeleteTemplate(w.id(), d.name, d.s.TemplateOffset("m"), "m")
	case 3, 4:
		return TakeLease(w.id(), Member{Incarnation: d.name, Host: d.host}, cell, d.s.leases[cell].Offset)
	case 5:
		l.Offset = max(1, l.Offset)
		return ReleaseLease(w.id(), cell, Holder{d.host, d.name, l.Offset})
	case 6, 7:
		backup := w.nodes[w.pick(len(w.nodes))].name
		if backup == d.name {
			backup = ""
		}
		return d.s.TakeRanges(w.id(), d.name, d.name, backup, w.pick(4) == 0, 3)
	}
	return Claim(w.id(), d.name, cell, max(1, l.Offset), "m", d.s.Permit("m", cell).Offset, w.pick(4))
}

// arrive appends a record and checks the verdict of the fold against the oracle.
func (w *world) arrive(data []byte) {
	w.log, w.at = append(w.log, data), append(w.at, w.now)
	o := int64(len(w.log))
	v := w.truth.Apply(o, w.now, data)
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
		w.fences["m"], w.limit = o, 0
		if !c.Delete {
			w.limit = c.Set.Model.MaxReplicas
		}
	}
	for _, c := range r.KeyRange {
		table := c.Blind || w.keys.Epoch == 0 || r.By == w.keys.Holder || r.By == w.keys.Backup
		w.assert(c.Base == w.keys.Epoch && table, "key range at %d was taken without the table of %d", o, w.keys.Epoch)
		w.keys = KeyRange{Holder: c.Holder, Backup: c.Backup, Epoch: o}
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
		w.assert(!raised || w.permits["c0"]+w.permits["c1"] <= w.limit, "claim at %d exceeds %d: %v", o, w.limit, w.permits)
	}
}

// run takes the steps, heals everything, waits, and checks that all daemons agree and that no result was wrong.
func (w *world) run(steps int) error {
	for i := 0; i < steps && w.err == nil; i++ {
		w.step()
	}
	for range 200 {
		w.now = w.now.Add(time.Second)
		for _, d := range w.nodes {
			d.linked = true
			w.read(d)
			w.handle(d, Tick{})
		}
		w.deliver()
	}
	for _, d := range w.nodes {
		w.read(d)
		w.assert(bytes.Equal(d.s.Snapshot(), w.truth.Snapshot()), "%s has another state than the fold of the log", d.host)
		w.assert(d.p.Pending() == 0, "%s still has %d changes without a result", d.host, d.p.Pending())
	}
	for id, v := range w.results {
		w.assert((v.Outcome == Accepted) == (w.accepted[id] == 1), "change %s was reported as %v: %v", id, v.Outcome, v.Err)
	}
	return w.err
}

// Guards against a fold that depends on where a daemon starts, a change that reverts or is accepted twice, a race with no
// or two winners, a takeover from a stale base, a claim above maxReplicas, and a planner that reports a wrong result.
func TestModel(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		pick := func(n int) int { return rapid.IntRange(0, n-1).Draw(rt, "pick") }
		if err := newWorld(pick, guards{}).run(150); err != nil {
			rt.Fatal(err)
		}
	})
}

// Guards against a model that cannot fail: without any one of the checks, some seed must find a violation.
func TestModelFindsMutants(t *testing.T) {
	for name, off := range map[string]guards{
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
				found = newWorld(rand.New(rand.NewPCG(seed, 7)).IntN, off).run(300)
			}
			t.Logf("%d seeds: %v", seed, found)
			c.Assert(found != nil, qt.Equals, name != "sound", qt.Commentf("%v", found))
		})
	}
}
