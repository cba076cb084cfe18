package bench

import (
	"bytes"
	"os"
	"path/filepath"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"github.com/fireflycleat/fireflycleat/pkg/cell"
	"github.com/fireflycleat/fireflycleat/pkg/retry"
	"github.com/fireflycleat/fireflycleat/pkg/spec"
)

// testSeconds is the maximum length of a trace in tests.
const testSeconds = 900

// shortened returns the embedded traces, cut to testSeconds.
func shortened(t *testing.T) []*Trace {
	all, err := Traces()
	qt.Assert(t, err, qt.IsNil)
	for _, x := range all {
		if x.Seconds > testSeconds {
			x.Seconds, x.From, x.To = testSeconds, 60, testSeconds
			for i := range x.Flows {
				x.Flows[i].To = min(x.Flows[i].To, testSeconds)
			}
		}
	}
	return all
}

// TestSafetyOnEveryTrace guards against loads that exceed permits or memory, and against requests that are lost or answered
// twice, on every trace.
func TestSafetyOnEveryTrace(t *testing.T) {
	for _, r := range Run(Deployments(), shortened(t), 3) {
		t.Run(r.Deployment.Name+"/"+r.Trace.Name, func(t *testing.T) {
			qt.Check(t, r.Safety, qt.Equals, Safety{})
			qt.Check(t, len(r.System.Calls) > 100, qt.IsTrue)
			qt.Check(t, len(r.Rows), qt.Equals, len(r.Trace.Expects))
			for _, x := range r.Rows {
				if x.Measure == "coldStart" {
					// A result better than the bound means that the bound or a fake is wrong.
					qt.Check(t, x.Result >= 1, qt.IsTrue, qt.Commentf("%v", x.Result))
				}
			}
		})
	}
}

// TestSameSeedSameRun guards against results that depend on map order or on other runs, and against a seed that has no
// effect.
func TestSameSeedSameRun(t *testing.T) {
	d := Deployments()[0]
	for _, x := range shortened(t) {
		if x.Name != "clock" && x.Name != "storm" {
			continue
		}
		run := func(policy func(Deployment, uint64) *simulation, seed uint64) []Call {
			var calls []Call
			for _, c := range policy(d, seed).run(x, x.Plans(d, seed, "")).Calls {
				flat := *c
				flat.RetryCall = nil
				calls = append(calls, flat)
			}
			return calls
		}
		for _, policy := range []func(Deployment, uint64) *simulation{newFleet, newBaseline} {
			first := run(policy, 5)
			qt.Check(t, slices.Equal(first, run(policy, 5)), qt.IsTrue, qt.Commentf(x.Name))
			qt.Check(t, slices.Equal(first, run(policy, 6)), qt.IsFalse, qt.Commentf(x.Name))
		}
	}
}

// TestFakesSeeViolations guards against fakes that miss a violation: each counter must detect a deliberate fault.
func TestFakesSeeViolations(t *testing.T) {
	sm := newSimulation(Deployments()[0], 1)
	for range 2 { // The model may have one replica.
		sm.engines[0].load(modelName(hotModels), func() {})
	}
	qt.Check(t, sm.outcome.Safety.Permits, qt.Equals, 1)
	for i := range 4 {
		sm.engines[1].load(modelName(i), func() {})
	}
	qt.Check(t, sm.outcome.Safety.Memory > 0, qt.IsTrue)
	sm.onArrival = func(*Call) {}
	sm.sendCall(Plan{Model: modelName(0)}, 0, sm.now, nil)
	sm.collect()
	qt.Check(t, sm.outcome.Safety.Ends, qt.Equals, 1)
}

// TestEngineTimes guards against a fake engine whose answer times ignore batch size, speed or priority.
func TestEngineTimes(t *testing.T) {
	const answer = 40
	solo := seconds(answer * soloTokenSeconds())
	for _, x := range []struct {
		name     string
		jobs     int
		slow     float64
		duration time.Duration // time until the last answer
	}{
		{"alone", 1, 1, solo},
		{"full batch", slots, 1, answer * tokenTime},
		{"slowed", 1, 5, 5 * solo},
		{"two batches", 2 * slots, 1, 2 * answer * tokenTime},
	} {
		t.Run(x.name, func(t *testing.T) {
			sm := newSimulation(Deployments()[0], 1)
			e := sm.engines[0]
			e.load(modelName(0), func() {})
			sm.runUntil(sm.now.Add(time.Minute))
			e.setSlowdown(x.slow)
			start := sm.now
			var last time.Time
			ended, firstTokens, urgentEnd := 0, 0, 0
			for i := range x.jobs {
				u := spec.Bulk
				if i == x.jobs-1 {
					u = spec.Urgent
				}
				e.submit(modelName(0), &job{
					priority: u, total: answer, onFirstToken: func() { firstTokens++ }, onProgress: func(int) {},
					onEnd: func(r retry.Result, n int) {
						qt.Check(t, r, qt.Equals, retry.Done)
						qt.Check(t, n, qt.Equals, answer)
						last, ended = sm.now, ended+1
						if u == spec.Urgent {
							urgentEnd = ended
						}
					},
				}, false)
			}
			sm.runUntil(sm.now.Add(time.Minute))
			qt.Check(t, ended, qt.Equals, x.jobs)
			qt.Check(t, firstTokens, qt.Equals, x.jobs)
			deviation := last.Sub(start) - x.duration
			qt.Check(t, deviation.Abs() < 10*time.Millisecond, qt.IsTrue, qt.Commentf("%v", deviation))
			// The urgent job is submitted last and overtakes the queued bulk jobs.
			qt.Check(t, urgentEnd <= x.jobs && (x.jobs <= slots || urgentEnd <= slots+1), qt.IsTrue)
		})
	}
}

// TestStoreKeepsSlotsAndRate guards against a store that loads faster than its slots and rate allow, or that is idle while
// loads are pending.
func TestStoreKeepsSlotsAndRate(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		storeSlots, rate := rapid.IntRange(1, 4).Draw(t, "slots"), rapid.Float64Range(1, 8).Draw(t, "rate")
		jobs, workMillis := rapid.IntRange(1, 20).Draw(t, "jobs"), rapid.IntRange(100, 2000).Draw(t, "millis")
		c := newClock()
		s := newStore(c, rate, storeSlots)
		var last time.Time
		n := 0
		for range jobs {
			s.load(time.Duration(workMillis)*time.Millisecond, func() { n, last = n+1, c.now })
		}
		c.runUntil(epoch.Add(time.Hour))
		bySlots := float64(jobs*workMillis) / 1000 / float64(storeSlots)
		byRate := float64(jobs)/rate - 1
		took := last.Sub(epoch).Seconds()
		if n != jobs || took < max(bySlots, byRate)-0.01 || took > bySlots+max(byRate, 0)+float64(workMillis)/1000+0.01 {
			t.Fatalf("%d of %d loads took %.3f s; slots %.3f, rate %.3f", n, jobs, took, bySlots, byRate)
		}
	})
}

// TestDecodeRejects guards against a decoder that accepts traces that the generator can't use.
func TestDecodeRejects(t *testing.T) {
	const head = `{"kind":"trace","name":"x","seconds":10,"from":0,"to":10}` + "\n"
	const flow = `{"kind":"flow","from":0,"to":5,"perSecond":1,"models":1,"urgency":"urgent","promptTokens":1,"answerTokens":1,"deadlineMillis":1}`
	_, err := Decode(bytes.NewReader([]byte(head + flow)))
	qt.Assert(t, err, qt.IsNil)
	for name, text := range map[string]string{
		"empty":          "",
		"no header":      flow,
		"two headers":    head + head,
		"unknown kind":   head + `{"kind":"tide"}`,
		"unknown field":  head + `{"kind":"store","from":0,"to":5,"factor":2,"colour":1}`,
		"not JSON":       head + `{`,
		"end too late":   head + `{"kind":"store","from":0,"to":50,"factor":2}`,
		"faster":         head + `{"kind":"speed","from":0,"to":5,"share":0.2,"factor":0.5}`,
		"two rates":      head + flow[:len(flow)-1] + `,"load":0.5}`,
		"no rate":        head + `{"kind":"flow","from":0,"to":5,"models":1,"urgency":"urgent","answerTokens":1,"deadlineMillis":1}`,
		"bad urgency":    head + `{"kind":"call","urgency":"soon","answerTokens":1,"deadlineMillis":1}`,
		"host":           head + `{"kind":"call","urgency":"bulk","host":6,"answerTokens":1,"deadlineMillis":1}`,
		"unknown target": head + `{"kind":"expect","measure":"joy"}`,
	} {
		_, err := Decode(bytes.NewReader([]byte(text)))
		qt.Check(t, err, qt.IsNotNil, qt.Commentf(name))
	}
}

// FuzzDecode guards against panics of the decoder and of the generator on any input that the decoder accepts.
func FuzzDecode(f *testing.F) {
	names, err := filepath.Glob("traces/*.jsonl")
	qt.Assert(f, err, qt.IsNil)
	for _, n := range names {
		data, err := os.ReadFile(n)
		qt.Assert(f, err, qt.IsNil)
		f.Add(data)
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		x, err := Decode(bytes.NewReader(data))
		if err != nil {
			return
		}
		expectedCalls := 0.0
		for _, flow := range x.Flows {
			expectedCalls += (flow.To-flow.From)*(flow.PerSecond+1600*float64(flow.Models)*flow.Load/float64(flow.Answer)) + float64(flow.Count*flow.Models*hostCount)
		}
		if expectedCalls > 3000 {
			return // Generating the calls would take too long.
		}
		for _, p := range x.Plans(Deployments()[0], 1, "") {
			if p.At < 0 || p.At > x.duration()+time.Second || p.Answer < 1 || p.Host < 0 || p.Host >= hostCount {
				t.Fatalf("call is out of range: %+v", p)
			}
		}
	})
}

// TestBestCold guards against a bound that ignores caches or the slots or rate of the store; the expected times are
// computed by hand.
func TestBestCold(t *testing.T) {
	d := Deployment{StoreRate: 2, StoreSlots: 1}
	calls := func(n int) []Plan { return make([]Plan, n) }
	loads := []*modelLoad{
		{loadTime: time.Second, fromStore: true, calls: calls(1)},
		{loadTime: time.Second, fromStore: true, calls: calls(1)},
		{loadTime: tierLoadTime(time.Second, cell.TierDisk), calls: calls(1)},
	}
	base := d.idealFirstToken(Plan{})
	qt.Check(t, listSchedule(d, loads), qt.DeepEquals, []time.Duration{
		time.Second + base, 2*time.Second + base, 400*time.Millisecond + base,
	})
}

// TestReport guards against a report that cannot be written or misses a row.
func TestReport(t *testing.T) {
	dir := t.TempDir()
	all := Run(Deployments()[1:], shortened(t)[:1], 1)
	file := filepath.Join(dir, "figures.json")
	qt.Assert(t, NewFigures(1, "v9", all).Write(file), qt.IsNil)
	previous, err := ReadFigures(file)
	qt.Assert(t, err, qt.IsNil)
	for _, r := range all[0].Rows {
		qt.Check(t, previous.resultText(r), qt.Equals, figureText(r.Result))
	}
	qt.Assert(t, WriteReport(dir, 1, previous, all), qt.IsNil)
	data, err := os.ReadFile(filepath.Join(dir, reportFile))
	qt.Assert(t, err, qt.IsNil)
	qt.Check(t, bytes.Count(data, []byte("<svg")), qt.Equals, 2)
	qt.Check(t, bytes.Count(data, []byte(`<td class=`)), qt.Equals, len(all[0].Rows))
	var table bytes.Buffer
	qt.Assert(t, WriteTable(&table, previous, all), qt.IsNil)
	qt.Check(t, table.String(), qt.Contains, "coldStart")
	_, err = ReadFigures(filepath.Join(dir, reportFile))
	qt.Check(t, err, qt.ErrorMatches, "(?s).*figures cannot be read.*")
}

// TestPreviousFigures guards against embedded figures of the previous version that can't be read, belong to another seed or
// lack a measure.
func TestPreviousFigures(t *testing.T) {
	traces, err := Traces()
	qt.Assert(t, err, qt.IsNil)
	for seed := uint64(1); seed <= 3; seed++ {
		f, err := PreviousFigures(seed)
		qt.Assert(t, err, qt.IsNil)
		qt.Check(t, f.Seed, qt.Equals, seed)
		for _, d := range Deployments() {
			for _, x := range traces {
				for _, e := range x.Expects {
					r := Row{Deployment: d.Name, Trace: x.Name, Measure: e.Measure}
					qt.Check(t, f.resultText(r), qt.Not(qt.Equals), "none", qt.Commentf(r.key()))
				}
			}
		}
	}
}
