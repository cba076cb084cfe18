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

// memoryLog is a log in memory, with the state to which its records are applied.
type memoryLog struct {
	state   *State
	records [][]byte
}

func newMemoryLog(members ...string) *memoryLog {
	l := &memoryLog{state: New()}
	for _, m := range members {
		l.appendRecord(l.state.registration("", m, m))
	}
	return l
}

// appendRecord appends the record; an empty id becomes unique, and Seen becomes the state's offset unless it is set.
func (l *memoryLog) appendRecord(r Record) Result {
	if r.ID == "" {
		r.ID = fmt.Sprintf("id%d", l.state.offset+1)
	}
	if r.Seen == 0 {
		r.Seen = l.state.offset
	}
	data, _ := Encode(r) // An invalid record is appended as an empty one, which is skipped.
	return l.appendRaw(data)
}

func (l *memoryLog) appendRaw(data []byte) Result {
	l.records = append(l.records, data)
	o := int64(len(l.records))
	return l.state.Apply(o, epoch.Add(time.Duration(o)*time.Second), data)
}

func (s *State) registration(id, by, host string) Record {
	return s.Register(id, by, host, "dc1", Addresses{Callers: host + ":1", Peers: host + ":2"})
}

func modelTemplate(name string, replicas int) *spec.Template {
	return &spec.Template{Name: name, Kind: spec.ModelTemplate, Model: &spec.Model{
		Version: "v1", MaxReplicas: replicas, WeightBytes: 1, Slots: 1, LoadMillis: 1, TokenMicros: 1,
	}}
}

func setModel(by, name string, base int64, replicas int) Record {
	return SetTemplate("", by, base, *modelTemplate(name, replicas))
}

func takeLease(by, cell string, base int64) Record {
	return TakeLease("", Member{Host: by, Incarnation: by}, cell, base)
}

func setPermits(by string, lease, base int64, count int) Record {
	return SetPermits("", by, "c1", lease, "m", base, count)
}

func assignRange(by, holder, backup string, base int64, stateLost bool) Record {
	return Record{Kind: KeyRangeKind, By: by, KeyRange: []RangeChange{{3, base, holder, backup, stateLost}}}
}

// TestLatePermitDecrease guards against a lower count that arrives late and withdraws a permit under which the controller has
// loaded a replica since.
func TestLatePermitDecrease(t *testing.T) {
	c := qt.New(t)
	log := newMemoryLog("a")
	log.appendRecord(setModel("a", "m", 0, 2))
	log.appendRecord(takeLease("a", "c1", 0))
	c.Assert(log.appendRecord(setPermits("a", 3, 0, 2)).Err == nil, qt.IsTrue)
	c.Assert(log.appendRecord(setPermits("a", 3, 4, 1)).Err == nil, qt.IsTrue)
	c.Assert(log.appendRecord(setPermits("a", 3, 5, 2)).Err == nil, qt.IsTrue)
	c.Assert(codes.Is(log.appendRecord(setPermits("a", 3, 5, 1)).Err, codes.StaleBase), qt.IsTrue)
	c.Assert(log.state.Permit("m", "c1"), qt.Equals, Permits{"c1", "m", 2, 6})
}

// logWithEveryOutcome returns a log with records for the rules in the package comment. It checks that each record is accepted,
// or rejected with the expected code. The members a, b and c are at offsets 1 to 3.
func logWithEveryOutcome(c *qt.C) *memoryLog {
	log := newMemoryLog("a", "b", "c")
	lateUp, up, staleDelete := log.state.registration("", "a2", "a"), log.state.registration("", "a2", "a"), DeleteTemplate("", "b", 14, "m")
	up.MemberUp.Base, staleDelete.Seen = 26, 28
	steps := []struct {
		r    Record
		want codes.Code
	}{
		{setModel("a", "m", 0, 2), codes.OK},                             // 4
		{setModel("b", "m", 0, 3), codes.StaleBase},                      // 5: lost to 4
		{setModel("b", "m", 4, 3), codes.OK},                             // 6
		{setModel("x", "m", 6, 3), codes.StaleLease},                     // 7: not a member
		{takeLease("a", "c1", 0), codes.OK},                              // 8
		{takeLease("b", "c1", 0), codes.StaleBase},                       // 9
		{setPermits("a", 8, 0, 3), codes.OK},                             // 10
		{setPermits("a", 8, 10, 4), codes.OverCapacity},                  // 11
		{takeLease("b", "c1", 8), codes.OK},                              // 12: a left unsettled
		{setPermits("a", 8, 10, 1), codes.StaleLease},                    // 13
		{setModel("a", "m", 6, 1), codes.OK},                             // 14: maxReplicas below the sum
		{setPermits("b", 12, 10, 2), codes.OK},                           // 15: decrease accepted above the maximum
		{setPermits("b", 12, 15, 3), codes.OverCapacity},                 // 16
		{ReleaseLease("", "c1", Holder{"a", "a", 12}), codes.StaleLease}, // 17: lease held by b
		{ReleaseLease("", "c1", Holder{"a", "a", 8}), codes.OK},          // 18: a no longer unsettled
		{ReleaseLease("", "c1", Holder{"b", "b", 12}), codes.OK},         // 19
		{setPermits("b", 12, 15, 1), codes.StaleLease},                   // 20: released
		{assignRange("a", "a", "b", 0, false), codes.OK},                 // 21
		{assignRange("c", "c", "a", 21, false), codes.StaleLease},
		{assignRange("b", "b", "c", 0, false), codes.StaleBase},
		{assignRange("b", "b", "c", 21, false), codes.OK}, // 24
		{assignRange("a", "a", "c", 24, true), codes.OK},  // 25
		{MembersGone("", "b", "a", "x"), codes.OK},
		{MembersGone("", "c", "a"), codes.StaleBase},
		{lateUp, codes.StaleBase}, // 28: a late registration
		{up, codes.OK},            // 29
		{staleDelete, codes.NoMajority},
		{DeleteTemplate("", "b", 14, "m"), codes.OK},
		{Record{Kind: WithdrawKind, By: "b", Withdraw: &Withdraw{ID: "w"}}, codes.OK}, // 32
		{MembersGone("w", "b", "c"), codes.AppendInDoubt},
		{setModel("a2", "m", 0, 3), codes.StaleBase}, // base checked against the tombstone
		{SetTeam("", "b", 0, spec.Team{Name: "t"}), codes.OK},
	}
	for i, s := range steps {
		res := log.appendRecord(s.r)
		got := codes.OK
		if res.Err != nil {
			got = res.Err.Code()
		}
		c.Assert(got, qt.Equals, s.want, qt.Commentf("offset %d: %v", i+4, res.Err))
		c.Assert(res.Outcome == Accepted, qt.Equals, s.want == codes.OK)
	}
	return log
}

// TestApplyOutcomes guards against a wrong result of Apply, or a state that does not match the accepted records.
func TestApplyOutcomes(t *testing.T) {
	c := qt.New(t)
	log := logWithEveryOutcome(c)
	l, _ := log.state.Lease("c1")
	c.Assert(l, qt.DeepEquals, Lease{Cell: "c1", Holder: Holder{"b", "b", 12}, Released: true, Unsettled: []Holder{}})
	c.Assert(log.state.KeyRange(3), qt.Equals, KeyRange{3, "a", "c", 25, epoch.Add(25 * time.Second), 25})
	c.Assert(log.state.Permit("m", "c1").Count, qt.Equals, 2)
	c.Assert(log.state.TemplateOffset("m"), qt.Equals, int64(31))
	c.Assert(log.state.View().Models(), qt.HasLen, 0)
	c.Assert(log.state.View(), qt.Equals, log.state.View())
	c.Assert(log.state.Apply(3, epoch, nil).Outcome, qt.Equals, AlreadyApplied)
	c.Assert(log.state.Apply(99, epoch, nil).Outcome, qt.Equals, Gap)
}

// TestDecodeNamesTheField guards against a decoder that accepts an invalid record or does not name the invalid field.
func TestDecodeNamesTheField(t *testing.T) {
	c := qt.New(t)
	good, _ := Encode(SetTemplate("i", "a", 0, *modelTemplate("m", 2)))
	for _, s := range []struct{ old, replacement, field string }{
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
		log := newMemoryLog("a")
		res := log.appendRaw([]byte(strings.Replace(string(good), s.old, s.replacement, 1)))
		c.Assert(res.Outcome, qt.Equals, Skipped, qt.Commentf("%s for %s", s.replacement, s.old))
		c.Assert(res.Err.Code(), qt.Equals, codes.BadRecord)
		c.Assert(res.Err.Field(), qt.Equals, s.field, qt.Commentf("%v", res.Err))
		c.Assert(log.state.BadRecords(), qt.Equals, int64(1))
		c.Assert(log.appendRecord(setModel("a", "m", 0, 1)).Outcome, qt.Equals, Accepted)
	}
}

// TestWindow guards against a resend, or a first append that arrives late, that is accepted after its change id has expired, and
// against change ids and tombstones that are retained forever, so that memory grows with the log.
func TestWindow(t *testing.T) {
	c := qt.New(t)
	c.Assert(resendAfterWindow(c, disabledChecks{}).Err.Code(), qt.Equals, codes.StaleBase)
	c.Assert(resendAfterWindow(c, disabledChecks{noWindow: true}).Outcome, qt.Equals, Accepted)
}

func resendAfterWindow(c *qt.C, disabled disabledChecks) Result {
	log := newMemoryLog("a")
	log.state.disabled = disabled
	late := setModel("a", "m", 0, 2)
	late.ID = "late"
	c.Assert(log.appendRecord(late).Outcome, qt.Equals, Accepted)
	late.Seen = 1
	res := log.appendRecord(late)
	c.Assert(res.Outcome, qt.Equals, Duplicate)
	c.Assert(res.First, qt.Equals, int64(2))
	log.appendRecord(DeleteTemplate("", "a", 2, "m"))
	for range ChangeWindow * 5 / 4 {
		log.appendRaw([]byte(`{}`))
	}
	c.Assert(log.state.changes, qt.HasLen, 0)
	c.Assert(log.state.templates, qt.HasLen, 0)
	return log.appendRecord(late)
}

// TestSnapshotRecords guards against a snapshot in the log from which a reader can't restore the state, and against a merge with an
// older snapshot that replaces a newer state.
func TestSnapshotRecords(t *testing.T) {
	c := qt.New(t)
	log := newMemoryLog("a", "b")
	for i := range 3000 {
		r := setModel("a", fmt.Sprintf("m%d", i), 0, 2)
		r.Template.Set.Model.Version = fmt.Sprintf("%x", sha512.Sum512([]byte{byte(i), byte(i >> 8)}))
		log.appendRecord(r)
	}
	old := log.state.Snapshot()
	parts, err := log.state.Parts("b", "snap")
	c.Assert(err == nil && len(parts) > 1, qt.IsTrue)
	f := NewSnapshotFinder()
	log.appendRecord(setModel("a", "x", 0, 2))
	for _, r := range parts {
		c.Assert(f.State(), qt.IsNil)
		c.Assert(log.appendRecord(r).Outcome, qt.Equals, Accepted)
		c.Assert(f.Add([]byte(`{}`)), qt.IsFalse)
		f.Add(log.records[len(log.records)-1])
	}
	s := f.State()
	for o := s.Offset() + 1; o <= log.state.Offset(); o++ {
		s.Apply(o, epoch.Add(time.Duration(o)*time.Second), log.records[o-1])
	}
	c.Assert(bytes.Equal(s.Snapshot(), log.state.Snapshot()), qt.IsTrue)
	c.Assert(log.state.SnapshotAsOf(), qt.Equals, int64(3002))
	first, _ := log.state.SnapshotDue(log.state.Clock().Add(time.Hour), "a", time.Hour)
	second, next := log.state.SnapshotDue(log.state.Clock().Add(time.Hour), "b", time.Hour)
	c.Assert(first && !second && next.Equal(log.state.Clock().Add(time.Hour+snapshotStagger)), qt.IsTrue)
	m, err := s.Merge(old)
	c.Assert(err, qt.IsNil)
	c.Assert(m, qt.Equals, s)
	_, err = s.Merge(old[:len(old)-2])
	c.Assert(codes.From(err).Code(), qt.Equals, codes.BadRecord)
	e, _ := Restore(old)
	m, _ = e.Merge(s.Snapshot())
	c.Assert(m.Offset(), qt.Equals, s.Offset())
}

// TestPlannerRequiresPermission guards against a template that is sent without permission, a refusal whose outcome is not NotRun
// although nothing was sent, and a Seen offset up to which the daemon has not applied the log.
func TestPlannerRequiresPermission(t *testing.T) {
	c := qt.New(t)
	p := NewPlanner(5, rand.New(rand.NewPCG(1, 1)))
	p.MayPublish = func(time.Time) error { return codes.New(codes.NoMajority, "") }
	r := setModel("a", "m", 0, 1)
	r.ID = "i"
	out := p.Handle(epoch, Submit{r, epoch.Add(time.Second)})
	c.Assert(out, qt.DeepEquals, []Action{Wake{epoch.Add(permissionInterval)}})
	p.Handle(epoch, Applied{Result{Outcome: Gap, Offset: 9}})
	done := p.Handle(epoch.Add(time.Second), Tick{})[0].(Done)
	c.Assert(done.Result.Err.Code(), qt.Equals, codes.NoMajority)
	c.Assert(done.Result.Err.Outcome(), qt.Equals, codes.NotRun)
	p.MayPublish = nil
	sent, err := Decode(p.Handle(epoch, Submit{r, epoch.Add(time.Second)})[0].(Append).Data)
	c.Assert(err, qt.IsNil)
	c.Assert(sent.Seen, qt.Equals, int64(5))
}

// TestChangeIDReused guards against a change with a reused id but different content that is reported as accepted although it was
// not applied, and against a resend that is rejected as a different change. Both are checked in the state, a snapshot and the
// planner.
func TestChangeIDReused(t *testing.T) {
	c := qt.New(t)
	log := newMemoryLog("a", "b")
	withID := func(r Record, id string) Record { r.ID = id; return r }
	first := withID(setModel("a", "m", 0, 2), "i")
	c.Assert(log.appendRecord(first).Outcome, qt.Equals, Accepted)
	restored, err := Restore(log.state.Snapshot())
	c.Assert(err, qt.IsNil)
	for _, tc := range []struct {
		name string
		r    Record
		same bool
	}{
		{"resend", first, true},
		{"resend through another host, from the current offset", setModel("b", "m", 3, 2), true},
		{"other value", setModel("a", "m", 3, 4), false},
		{"other name", setModel("a", "n", 0, 2), false},
		{"deletion", DeleteTemplate("", "a", 3, "m"), false},
		{"other kind", SetTeam("", "a", 0, spec.Team{Name: "m"}), false},
	} {
		r := withID(tc.r, "i")
		planner := func(e Event) Result {
			p := NewPlanner(2, rand.New(rand.NewPCG(1, 1)))
			p.Handle(epoch, Submit{r, epoch.Add(time.Second)})
			return p.Handle(epoch, e)[0].(Done).Result
		}
		retained, _ := restored.DuplicateResult(r)
		for _, res := range []Result{
			log.appendRecord(r), retained, planner(Applied{Result{Outcome: Accepted, Record: first, Offset: 3, First: 3}}), planner(Restored{restored}),
		} {
			c.Check(res.Err == nil, qt.Equals, tc.same, qt.Commentf("%s: %v", tc.name, res.Err))
			c.Check(res.First, qt.Equals, int64(3))
			c.Check(tc.same || res.Outcome == Rejected && res.Err.Code() == codes.KeyConflict, qt.IsTrue, qt.Commentf("%s: %v", tc.name, res))
		}
		c.Check(log.state.TemplateOffset("m"), qt.Equals, int64(3))
	}
}
