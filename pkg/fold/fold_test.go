package fold

import (
	"bytes"
	"crypto/sha512"
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/fireflycleat/fireflycleat/pkg/codes"
	"github.com/fireflycleat/fireflycleat/pkg/spec"
)

var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// tape is a log in memory with the state that folds it.
type tape struct {
	s    *State
	data [][]byte
}

func newTape(members ...string) *tape {
	t := &tape{s: New()}
	for _, m := range members {
		t.put(t.s.up("", m, m))
	}
	return t
}

// put appends the record; an empty id becomes unique, and Seen becomes the state's offset unless it is set.
func (t *tape) put(r Record) Verdict {
	if r.ID == "" {
		r.ID = fmt.Sprintf("id%d", t.s.offset+1)
	}
	if r.Seen == 0 {
		r.Seen = t.s.offset
	}
	data, _ := Encode(r) // An invalid record gives an empty one, which is skipped.
	return t.raw(data)
}

func (t *tape) raw(data []byte) Verdict {
	t.data = append(t.data, data)
	o := int64(len(t.data))
	return t.s.Apply(o, epoch.Add(time.Duration(o)*time.Second), data)
}

func (s *State) up(id, by, host string) Record {
	return s.Register(id, by, host, "dc1", Addresses{Callers: host + ":1", Peers: host + ":2"})
}

func model(name string, replicas int) *spec.Template {
	return &spec.Template{Name: name, Kind: spec.ModelTemplate, Model: &spec.Model{
		Version: "v1", MaxReplicas: replicas, WeightBytes: 1, Slots: 1, LoadMillis: 1, TokenMicros: 1,
	}}
}

func set(by, name string, base int64, replicas int) Record {
	return SetTemplate("", by, base, *model(name, replicas))
}

func lease(by, cell string, base int64) Record {
	return TakeLease("", Member{Host: by, Incarnation: by}, cell, base)
}

func claim(by string, fence, base int64, count int) Record {
	return Claim("", by, "c1", fence, "m", base, count)
}

func keys(by, holder, backup string, base int64, blind bool) Record {
	return Record{Kind: KeyRangeKind, By: by, KeyRange: []RangeChange{{3, base, holder, backup, blind}}}
}

// Guards against a yield that arrives late and takes back a permit under which the controller has loaded a replica since.
func TestLateYield(t *testing.T) {
	c := qt.New(t)
	p := newTape("a")
	p.put(set("a", "m", 0, 2))
	p.put(lease("a", "c1", 0))
	c.Assert(p.put(claim("a", 3, 0, 2)).Err == nil, qt.IsTrue)
	c.Assert(p.put(claim("a", 3, 4, 1)).Err == nil, qt.IsTrue)
	c.Assert(p.put(claim("a", 3, 5, 2)).Err == nil, qt.IsTrue)
	c.Assert(codes.Is(p.put(claim("a", 3, 5, 1)).Err, codes.StaleBase), qt.IsTrue)
	c.Assert(p.s.Permit("m", "c1"), qt.Equals, Permits{"c1", "m", 2, 6})
}

// verdicts returns a log with each situation that the design names, after it has checked whether the record is accepted
// or with which code it is rejected. The members a, b and c are at offsets 1 to 3.
func verdicts(c *qt.C) *tape {
	p := newTape("a", "b", "c")
	old, up, before := p.s.up("", "a2", "a"), p.s.up("", "a2", "a"), DeleteTemplate("", "b", 14, "m")
	up.MemberUp.Base, before.Seen = 26, 28
	steps := []struct {
		r    Record
		want codes.Code
	}{
		{set("a", "m", 0, 2), codes.OK},                                  // 4
		{set("b", "m", 0, 3), codes.StaleBase},                           // 5: lost the race to 4
		{set("b", "m", 4, 3), codes.OK},                                  // 6
		{set("x", "m", 6, 3), codes.StaleLease},                          // 7: not a member
		{lease("a", "c1", 0), codes.OK},                                  // 8
		{lease("b", "c1", 0), codes.StaleBase},                           // 9
		{claim("a", 8, 0, 3), codes.OK},                                  // 10
		{claim("a", 8, 10, 4), codes.OverCapacity},                       // 11
		{lease("b", "c1", 8), codes.OK},                                  // 12: a is unsettled
		{claim("a", 8, 10, 1), codes.StaleLease},                         // 13
		{set("a", "m", 6, 1), codes.OK},                                  // 14: maxReplicas falls below the sum
		{claim("b", 12, 10, 2), codes.OK},                                // 15: lowering is accepted above the maximum
		{claim("b", 12, 15, 3), codes.OverCapacity},                      // 16
		{ReleaseLease("", "c1", Holder{"a", "a", 12}), codes.StaleLease}, // 17: not a's lease
		{ReleaseLease("", "c1", Holder{"a", "a", 8}), codes.OK},          // 18: a is settled
		{ReleaseLease("", "c1", Holder{"b", "b", 12}), codes.OK},         // 19
		{claim("b", 12, 15, 1), codes.StaleLease},                        // 20: released
		{keys("a", "a", "b", 0, false), codes.OK},                        // 21
		{keys("c", "c", "a", 21, false), codes.StaleLease},
		{keys("b", "b", "c", 0, false), codes.StaleBase},
		{keys("b", "b", "c", 21, false), codes.OK}, // 24
		{keys("a", "a", "c", 24, true), codes.OK},  // 25
		{Gone("", "b", "a", "x"), codes.OK},
		{Gone("", "c", "a"), codes.StaleBase},
		{old, codes.StaleBase}, // 28: a late registration
		{up, codes.OK},         // 29
		{before, codes.NoMajority},
		{DeleteTemplate("", "b", 14, "m"), codes.OK},
		{Record{Kind: WithdrawKind, By: "b", Withdraw: &Withdraw{ID: "w"}}, codes.OK}, // 32
		{Gone("w", "b", "c"), codes.AppendInDoubt},
		{set("a2", "m", 0, 3), codes.StaleBase}, // The tombstone keeps the base check.
		{SetTeam("", "b", 0, spec.Team{Name: "t"}), codes.OK},
	}
	for i, s := range steps {
		v := p.put(s.r)
		got := codes.OK
		if v.Err != nil {
			got = v.Err.Code()
		}
		c.Assert(got, qt.Equals, s.want, qt.Commentf("offset %d: %v", i+4, v.Err))
		c.Assert(v.Outcome == Accepted, qt.Equals, s.want == codes.OK)
	}
	return p
}

// Guards against a wrong verdict, or a state that does not follow from the verdicts.
func TestVerdicts(t *testing.T) {
	c := qt.New(t)
	p := verdicts(c)
	l, _ := p.s.Lease("c1")
	c.Assert(l, qt.DeepEquals, Lease{Cell: "c1", Holder: Holder{"b", "b", 12}, Released: true, Unsettled: []Holder{}})
	c.Assert(p.s.KeyRange(3), qt.Equals, KeyRange{3, "a", "c", 25, epoch.Add(25 * time.Second), 25})
	c.Assert(p.s.Permit("m", "c1").Count, qt.Equals, 2)
	c.Assert(p.s.TemplateOffset("m"), qt.Equals, int64(31))
	c.Assert(p.s.View().Models(), qt.HasLen, 0)
	c.Assert(p.s.View(), qt.Equals, p.s.View())
	c.Assert(p.s.Apply(3, epoch, nil).Outcome, qt.Equals, Old)
	c.Assert(p.s.Apply(99, epoch, nil).Outcome, qt.Equals, Gap)
}

// Guards against a decoder that lets a fault pass or does not name the field.
func TestDecodeNamesTheField(t *testing.T) {
	c := qt.New(t)
	good, _ := Encode(SetTemplate("i", "a", 0, *model("m", 2)))
	for _, s := range []struct{ old, next, field string }{
		{`"seen":0`, `"seen":"0"`, "seen"},
		{`"seen":0`, `"seen":null`, "seen"},
		{`"seen":0`, `"Seen":0`, "Seen"},
		{`"seen":0`, `"seen":0,"seen":1`, "seen"},
		{`"seen":0`, `"seen":-1`, "seen"},
		{`"seen":0,`, ``, "seen"},
		{`"id":"i"`, `"id":""`, "id"},
		{`"by":"a"`, `"by":"` + strings.Repeat("a", 65) + `"`, "by"},
		{`"kind":"template"`, `"kind":"team"`, "team"},
		{`"kind":"template"`, `"kind":"x"`, "kind"},
		{`"base":0,`, ``, "template.base"},
		{`"slots":1`, `"slots":1.5`, "template.set.model.slots"},
		{`"slots":1`, `"slots":0`, "template.set.model.slots"},
		{`"slots":1`, `"slots":1,"x":{"y":[1]}`, "template.set.model.x"},
		{`"slots":1,`, ``, "template.set.model.slots"},
		{`"delete":false`, `"delete":true`, "template.set"},
		{`"name":"m","kind"`, `"name":"n","kind"`, "template.set.name"},
		{`}`, ``, "record"},
		{`"i"`, `"` + strings.Repeat("i", MaxRecordBytes) + `"`, "record"},
	} {
		p := newTape("a")
		v := p.raw([]byte(strings.Replace(string(good), s.old, s.next, 1)))
		c.Assert(v.Outcome, qt.Equals, Skipped, qt.Commentf("%s for %s", s.next, s.old))
		c.Assert(v.Err.Code(), qt.Equals, codes.BadRecord)
		c.Assert(v.Err.Field(), qt.Equals, s.field, qt.Commentf("%v", v.Err))
		c.Assert(p.s.BadRecords(), qt.Equals, int64(1))
		c.Assert(p.put(set("a", "m", 0, 1)).Outcome, qt.Equals, Accepted)
	}
}

// Guards against a resend or a late first arrival being accepted once its change id is forgotten, and against memory
// growing with the log.
func TestWindow(t *testing.T) {
	c := qt.New(t)
	c.Assert(resendForgotten(c, guards{}).Err.Code(), qt.Equals, codes.StaleBase)
	c.Assert(resendForgotten(c, guards{noWindow: true}).Outcome, qt.Equals, Accepted)
}

func resendForgotten(c *qt.C, off guards) Verdict {
	p := newTape("a")
	p.s.off = off
	late := set("a", "m", 0, 2)
	late.ID = "late"
	c.Assert(p.put(late).Outcome, qt.Equals, Accepted)
	late.Seen = 1
	v := p.put(late)
	c.Assert(v.Outcome, qt.Equals, Duplicate)
	c.Assert(v.First, qt.Equals, int64(2))
	p.put(DeleteTemplate("", "a", 2, "m"))
	for range ChangeWindow * 5 / 4 {
		p.raw([]byte(`{}`))
	}
	c.Assert(p.s.changes, qt.HasLen, 0)
	c.Assert(p.s.templates, qt.HasLen, 0)
	return p.put(late)
}

// Guards against a snapshot in the log that a later reader cannot use, and against a merge that goes back.
func TestSnapshotRecords(t *testing.T) {
	c := qt.New(t)
	p := newTape("a", "b")
	for i := range 3000 {
		r := set("a", fmt.Sprintf("m%d", i), 0, 2)
		r.Template.Set.Model.Version = fmt.Sprintf("%x", sha512.Sum512([]byte{byte(i), byte(i >> 8)}))
		p.put(r)
	}
	old := p.s.Snapshot()
	parts, err := p.s.Parts("b", "snap")
	c.Assert(err == nil && len(parts) > 1, qt.IsTrue)
	f := NewFinder()
	p.put(set("a", "x", 0, 2))
	for _, r := range parts {
		c.Assert(f.State(), qt.IsNil)
		c.Assert(p.put(r).Outcome, qt.Equals, Accepted)
		c.Assert(f.Add([]byte(`{}`)), qt.IsFalse)
		f.Add(p.data[len(p.data)-1])
	}
	s := f.State()
	for o := s.Offset() + 1; o <= p.s.Offset(); o++ {
		s.Apply(o, epoch.Add(time.Duration(o)*time.Second), p.data[o-1])
	}
	c.Assert(bytes.Equal(s.Snapshot(), p.s.Snapshot()), qt.IsTrue)
	c.Assert(p.s.SnapshotAsOf(), qt.Equals, int64(3002))
	first, _ := p.s.SnapshotDue(p.s.Clock().Add(time.Hour), "a", time.Hour)
	second, next := p.s.SnapshotDue(p.s.Clock().Add(time.Hour), "b", time.Hour)
	c.Assert(first && !second && next.Equal(p.s.Clock().Add(time.Hour+snapshotStagger)), qt.IsTrue)
	m, err := s.Merge(old)
	c.Assert(err, qt.IsNil)
	c.Assert(m, qt.Equals, s)
	_, err = s.Merge(old[:len(old)-2])
	c.Assert(codes.From(err).Code(), qt.Equals, codes.BadRecord)
	e, _ := Restore(old)
	m, _ = e.Merge(s.Snapshot())
	c.Assert(m.Offset(), qt.Equals, s.Offset())
}

// Guards against a template that is sent without permission, a refusal that does not say that nothing was sent, and a Seen
// that the daemon has not folded.
func TestPlannerAsksFirst(t *testing.T) {
	c := qt.New(t)
	p := NewPlanner(5, rand.New(rand.NewPCG(1, 1)))
	p.MayPublish = func(time.Time) error { return codes.New(codes.NoMajority, "") }
	r := set("a", "m", 0, 1)
	r.ID = "i"
	out := p.Handle(epoch, Submit{r, epoch.Add(time.Second)})
	c.Assert(out, qt.DeepEquals, []Action{Wake{epoch.Add(permissionInterval)}})
	p.Handle(epoch, Folded{Verdict{Outcome: Gap, Offset: 9}})
	done := p.Handle(epoch.Add(time.Second), Tick{})[0].(Done)
	c.Assert(done.Verdict.Err.Code(), qt.Equals, codes.NoMajority)
	c.Assert(done.Verdict.Err.Outcome(), qt.Equals, codes.NotRun)
	p.MayPublish = nil
	sent, err := Decode(p.Handle(epoch, Submit{r, epoch.Add(time.Second)})[0].(Append).Data)
	c.Assert(err, qt.IsNil)
	c.Assert(sent.Seen, qt.Equals, int64(5))
}

// Guards against a reused change id that reports success although its other content was not applied, in the fold, in a
// snapshot and in the planner, and against a resend being taken for another change.
func TestChangeIDReused(t *testing.T) {
	c := qt.New(t)
	p := newTape("a", "b")
	name := func(r Record, id string) Record { r.ID = id; return r }
	first := name(set("a", "m", 0, 2), "i")
	c.Assert(p.put(first).Outcome, qt.Equals, Accepted)
	restored, err := Restore(p.s.Snapshot())
	c.Assert(err, qt.IsNil)
	for _, tc := range []struct {
		what string
		r    Record
		same bool
	}{
		{"resend", first, true},
		{"resend through another host, from the present offset", set("b", "m", 3, 2), true},
		{"other value", set("a", "m", 3, 4), false},
		{"other name", set("a", "n", 0, 2), false},
		{"deletion", DeleteTemplate("", "a", 3, "m"), false},
		{"other kind", SetTeam("", "a", 0, spec.Team{Name: "m"}), false},
	} {
		r := name(tc.r, "i")
		planner := func(e Event) Verdict {
			l := NewPlanner(2, rand.New(rand.NewPCG(1, 1)))
			l.Handle(epoch, Submit{r, epoch.Add(time.Second)})
			return l.Handle(epoch, e)[0].(Done).Verdict
		}
		seen, _ := restored.Known(r)
		for _, v := range []Verdict{
			p.put(r), seen, planner(Folded{Verdict{Outcome: Accepted, Record: first, Offset: 3, First: 3}}), planner(Restored{restored}),
		} {
			c.Check(v.Err == nil, qt.Equals, tc.same, qt.Commentf("%s: %v", tc.what, v.Err))
			c.Check(v.First, qt.Equals, int64(3))
			c.Check(tc.same || v.Outcome == Rejected && v.Err.Code() == codes.KeyConflict, qt.IsTrue, qt.Commentf("%s: %v", tc.what, v))
		}
		c.Check(p.s.TemplateOffset("m"), qt.Equals, int64(3))
	}
}
