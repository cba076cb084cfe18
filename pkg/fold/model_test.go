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

	"github.com/fireflycleat/fireflycleat/pkg/codes"
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
		id     string
		data   []byte
		late   int
		answer Event
		drop   bool
	}

	// world is a log with its daemons. truth folds each record as it arrives; the maps are the oracle, which is kept from
	// the accepted records alone.
	world struct {
		pick func(n int) int
		off  guards
		// lostIsRefused is the mutant of the planner.
		lostIsRefused bool
		now           time.Time
		log           [][]byte
		at            []time.Time
		first         int64
		truth         *State
		nodes         []*node
		flights       []flight
		ids           int
		results       map[string]Verdict
		accepted      map[string]int
		versions      map[string]int64
		fences        map[string]int64
		permits       map[string]int
		released      map[int64]bool
		epoch         KeyRange
		limit         int
	}
)

func newWorld(pick func(n int) int, off guards, lostIsRefused bool) *world {
	w := &world{
		pick: pick, off: off, lostIsRefused: lostIsRefused, now: epoch, first: 1, truth: New(), results: make(map[string]Verdict),
		accepted: make(map[string]int), versions: make(map[string]int64), fences: make(map[string]int64),
		permits: make(map[string]int), released: make(map[int64]bool),
	}
	w.truth.off = off
	for i := range 3 {
		w.nodes = append(w.nodes, &node{host: fmt.Sprintf("h%d", i)})
		w.restart(w.nodes[i])
	}
	return w
}

func (w *world) id() string {
	w.ids++
	return fmt.Sprintf("i%d", w.ids)
}

// restart starts a new incarnation, which knows nothing; the answers to the old one's appends reach nobody.
func (w *world) restart(d *node) {
	for i := range w.flights {
		if w.flights[i].from == d {
			w.flights[i].from = &node{p: NewPlanner(0, rand.New(rand.NewPCG(1, 1))), s: New()}
		}
	}
	d.name, d.linked = w.id(), true
	d.s = New()
	d.s.off = w.off
	d.p = NewPlanner(0, rand.New(rand.NewPCG(uint64(w.ids), 0)))
	d.p.lostIsRefused = w.lostIsRefused
	w.read(d)
	w.handle(d, Submit{Record{Kind: MemberUpKind, ID: w.id(), By: d.name, MemberUp: up(d.host, d.s.HostOffset(d.host))}, w.now.Add(time.Hour)})
}

func (w *world) handle(d *node, e Event) {
	for _, a := range d.p.Handle(w.now, e) {
		switch a := a.(type) {
		case Append:
			f := flight{from: d, id: a.ID, data: a.Data, late: w.pick(4)}
			switch n := w.pick(8); {
			case !d.linked || n == 0:
				f.drop, f.answer = true, AppendRefused{a.ID}
			case n == 1:
				f.drop, f.answer = true, AppendLost{a.ID}
			case n <= 3:
				f.answer = AppendLost{a.ID}
				if n == 3 {
					w.flights = append(w.flights, flight{from: d, id: a.ID, data: a.Data, late: 20})
				}
			default:
				f.answer = AppendAnswered{a.ID}
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

func (w *world) step() error {
	w.now = w.now.Add(time.Duration(w.pick(400)) * time.Millisecond)
	d := w.nodes[w.pick(len(w.nodes))]
	switch n := w.pick(16); {
	case n <= 7 && d.linked:
		w.handle(d, Submit{w.record(d), w.now.Add(time.Duration(w.pick(4000)) * time.Millisecond)})
	case n == 8:
		d.linked = !d.linked
	case n == 9 && w.pick(4) == 0:
		w.restart(d)
	case n == 10:
		// A peer's snapshot replaces the state only if it is ahead.
		s, err := d.s.Merge(w.nodes[w.pick(len(w.nodes))].s.Snapshot())
		if err != nil || s.offset < d.s.offset {
			return errors.Newf("merge went back: %v", err)
		}
		if s != d.s {
			d.s = s
			w.handle(d, Restored{s})
		}
	case n == 11 && d.s.offset > 0 && w.pick(4) == 0:
		if err := w.cut(d); err != nil {
			return err
		}
	}
	for _, d := range w.nodes {
		if d.linked {
			w.read(d)
		}
		w.handle(d, Tick{})
	}
	return w.deliver()
}

// cut writes a snapshot and then lets the log drop what it covers.
func (w *world) cut(d *node) error {
	parts, err := d.s.Parts(d.name, w.id())
	for _, r := range parts {
		data, _ := Encode(r)
		if err := w.arrive(data); err != nil {
			return err
		}
	}
	w.first = max(w.first, d.s.offset+1)
	return err
}

func (w *world) deliver() error {
	due := w.flights
	w.flights = nil
	for _, f := range due {
		if f.late--; f.late > 0 {
			w.flights = append(w.flights, f)
			continue
		}
		if !f.drop {
			if err := w.arrive(f.data); err != nil {
				return err
			}
		}
		if f.answer != nil {
			w.handle(f.from, f.answer)
		}
	}
	return nil
}

// record draws a change that the daemon could make from its own, possibly old, state.
func (w *world) record(d *node) Record {
	r := Record{ID: w.id(), By: d.name}
	switch w.pick(5) {
	case 0:
		r.Kind = TemplateKind
		r.Template = &TemplateChange{Name: "m", Base: d.s.TemplateOffset("m"), Set: model("m", 1+w.pick(4))}
		if w.pick(8) == 0 {
			r.Template.Delete, r.Template.Set = true, nil
		}
	case 1:
		cell := fmt.Sprintf("c%d", w.pick(2))
		r.Kind, r.CellLease = CellLeaseKind, []LeaseChange{{cell, d.s.leases[cell].Offset, d.host, d.name, w.pick(4) == 0}}
		r.CellLease[0].Release = r.CellLease[0].Release && r.CellLease[0].Base > 0
	case 2:
		k := d.s.KeyRange(3)
		other := w.nodes[w.pick(len(w.nodes))].name
		r.Kind, r.KeyRange = KeyRangeKind, []RangeChange{{3, k.Epoch, d.name, other, w.pick(4) == 0}}
		if other == d.name {
			r.KeyRange[0].Backup = ""
		}
	default:
		cell := fmt.Sprintf("c%d", w.pick(2))
		r.Kind, r.Permit = PermitKind, []PermitChange{{cell, max(1, d.s.leases[cell].Offset), "m", w.pick(4)}}
	}
	return r
}

// arrive appends a record and checks the verdict of the fold against the oracle.
func (w *world) arrive(data []byte) error {
	w.log, w.at = append(w.log, data), append(w.at, w.now)
	o := int64(len(w.log))
	v := w.truth.Apply(o, w.now, data)
	if v.Outcome != Accepted {
		if v.Err != nil && v.Err.Code() == codes.StaleBase && v.Err.Field() == "base" && v.Record.Template != nil &&
			v.Record.Template.Base == w.versions["m"] {
			return errors.Newf("offset %d lost a race that nobody won", o)
		}
		return nil
	}
	if w.accepted[v.Record.ID]++; w.accepted[v.Record.ID] > 1 {
		return errors.Newf("change %s was accepted twice", v.Record.ID)
	}
	if c := v.Record.Template; c != nil {
		if c.Base != w.versions["m"] {
			return errors.Newf("offset %d reverts the change at %d", o, w.versions["m"])
		}
		w.versions["m"], w.limit = o, 0
		if !c.Delete {
			w.limit = c.Set.Model.MaxReplicas
		}
	}
	for _, c := range v.Record.KeyRange {
		if k := w.epoch; c.Base != k.Epoch || !c.Blind && k.Epoch > 0 && v.Record.By != k.Holder && v.Record.By != k.Backup {
			return errors.Newf("key range at %d was taken by a daemon without the table of epoch %d", o, k.Epoch)
		}
		w.epoch = KeyRange{Holder: c.Holder, Backup: c.Backup, Epoch: o}
	}
	for _, c := range v.Record.CellLease {
		if c.Release && w.released[c.Base] {
			return errors.Newf("lease %d was released twice", c.Base)
		}
		if w.released[c.Base] = w.released[c.Base] || c.Release; c.Release {
			continue
		}
		if c.Base != w.fences[c.Cell] {
			return errors.Newf("takeover at %d ended a lease that it did not name", o)
		}
		w.fences[c.Cell] = o
	}
	for _, c := range v.Record.Permit {
		if c.Lease != w.fences[c.Cell] || w.released[c.Lease] {
			return errors.Newf("permit at %d is of an ended lease", o)
		}
		held := w.permits[c.Cell]
		w.permits[c.Cell] = c.Count
		if c.Count > held && w.permits["c0"]+w.permits["c1"] > w.limit {
			return errors.Newf("claim at %d exceeds maxReplicas %d: %v", o, w.limit, w.permits)
		}
	}
	return nil
}

// finish heals everything, waits, and checks that all daemons agree and that no result was wrong.
func (w *world) finish() error {
	for _, d := range w.nodes {
		d.linked = true
	}
	for range 200 {
		w.now = w.now.Add(time.Second)
		for _, d := range w.nodes {
			w.read(d)
			w.handle(d, Tick{})
		}
		if err := w.deliver(); err != nil {
			return err
		}
	}
	for _, d := range w.nodes {
		w.read(d)
		if !bytes.Equal(d.s.Snapshot(), w.truth.Snapshot()) {
			return errors.Newf("%s has another state than the fold of the whole log", d.host)
		}
		if d.p.Pending() > 0 {
			return errors.Newf("%s still has %d changes without a result", d.host, d.p.Pending())
		}
	}
	for id, v := range w.results {
		if (v.Outcome == Accepted) != (w.accepted[id] == 1) {
			return errors.Newf("change %s was reported as %v: %v", id, v.Outcome, v.Err)
		}
	}
	return nil
}

func run(w *world, steps int) error {
	for range steps {
		if err := w.step(); err != nil {
			return err
		}
	}
	return w.finish()
}

// Guards against a fold that depends on where a daemon starts, a change that reverts or is accepted twice, a race with no
// or two winners, a takeover from a stale base, a claim above maxReplicas, and a planner that reports a wrong result.
func TestModel(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		pick := func(n int) int { return rapid.IntRange(0, n-1).Draw(rt, "pick") }
		if err := run(newWorld(pick, guards{}, false), 150); err != nil {
			rt.Fatal(err)
		}
	})
}

// Guards against a model that cannot fail: without any one of the checks, some seed must find a violation.
func TestModelFindsMutants(t *testing.T) {
	for name, m := range map[string]struct {
		off           guards
		lostIsRefused bool
	}{
		"sound":         {},
		"base":          {off: guards{noBase: true}},
		"lease":         {off: guards{noLease: true}},
		"changeID":      {off: guards{noChangeID: true}},
		"permitSum":     {off: guards{noPermitSum: true}},
		"lostIsRefused": {lostIsRefused: true},
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			var found error
			seed := uint64(0)
			for ; seed < 40 && found == nil; seed++ {
				found = run(newWorld(rand.New(rand.NewPCG(seed, 7)).IntN, m.off, m.lostIsRefused), 300)
			}
			t.Logf("%d seeds: %v", seed, found)
			c.Assert(found != nil, qt.Equals, name != "sound", qt.Commentf("%v", found))
		})
	}
}
