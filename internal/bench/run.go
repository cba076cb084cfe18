package bench

import (
	"cmp"
	"math"
	"slices"
	"sync"
)

// parallel limits the runs at once; each run has its own clock, so their number does not change any result.
const parallel = 4

type (
	// Row is one measure of one trace.
	Row struct {
		Deployment string
		Trace      string
		Measure    string
		About      string
		AtMost     bool
		Target     float64
		Result     float64
		Baseline   float64
		Bound      float64
		// Over and Under are the figures of which the result is the quotient, in seconds, hours or calls.
		Over  float64
		Under float64
	}

	// Result is everything that the runs of one trace in one deployment gave.
	Result struct {
		Deployment Deployment
		Trace      *Trace
		Rows       []Row
		System     *Outcome
		Baseline   *Outcome
		Safety     Safety // Safety sums the violations of all runs of the system.
	}
)

// Met reports whether the result meets the target, which a figure without any case does.
func (r Row) Met() bool {
	if math.IsNaN(r.Result) {
		return true
	}
	if r.AtMost {
		return r.Result <= r.Target
	}
	return r.Result >= r.Target
}

// Sum returns the number of violations.
func (s Safety) Sum() int { return s.Permits + s.Memory + s.Ends }

// Run plays each trace in each deployment with the system and with the baseline. The results are in the order of the
// arguments and depend on nothing but them.
func Run(deployments []Deployment, traces []*Trace, seed uint64) []*Result {
	var all []*Result
	gate := make(chan struct{}, parallel)
	var group sync.WaitGroup
	for _, d := range deployments {
		for _, t := range traces {
			r := &Result{Deployment: d, Trace: t}
			all = append(all, r)
			group.Go(func() { r.play(seed, gate) })
		}
	}
	group.Wait()
	return all
}

// play makes all runs of a trace.
func (r *Result) play(seed uint64, gate chan struct{}) {
	var group sync.WaitGroup
	samples := [2]*sample{}
	for i, policy := range []func(Deployment, uint64) *world{newFleet, newBaseline} {
		s := &sample{deploy: r.Deployment, trace: r.Trace, view: r.Deployment.view()}
		s.plans = r.Trace.Plans(r.Deployment, seed, "")
		samples[i] = s
		one := func(to **Outcome, t *Trace, plans []Plan) {
			group.Go(func() {
				gate <- struct{}{}
				defer func() { <-gate }()
				*to = policy(r.Deployment, seed).run(t, plans)
			})
		}
		one(&s.with, r.Trace, s.plans)
		switch tag := r.Trace.Compare; tag {
		case "":
		case compareSpeed:
			still := *r.Trace
			still.Speeds = nil
			one(&s.without, &still, s.plans)
		default:
			one(&s.without, r.Trace, r.Trace.Plans(r.Deployment, seed, tag))
		}
	}
	group.Wait()
	system, base := samples[0], samples[1]
	r.System, r.Baseline = system.with, base.with
	r.Safety = system.with.Safety
	if system.without != nil {
		r.Safety.add(system.without.Safety)
	}
	for _, x := range r.Trace.Expects {
		m := measures[slices.IndexFunc(measures, func(m measure) bool { return m.name == x.Measure })]
		f := m.value(system, base)
		r.Rows = append(r.Rows, Row{
			Deployment: r.Deployment.Name, Trace: r.Trace.Name, Measure: m.name, About: m.about, AtMost: x.AtMost,
			Target: x.Target, Result: f.value, Over: f.over, Under: f.under, Baseline: m.value(base, base).value, Bound: m.bound(system, base),
		})
	}
}

func (s *Safety) add(o Safety) {
	s.Permits += o.Permits
	s.Memory += o.Memory
	s.Ends += o.Ends
}

// Rows returns the rows of all results, by deployment and trace.
func Rows(all []*Result) []Row {
	var rows []Row
	for _, r := range all {
		rows = append(rows, r.Rows...)
	}
	slices.SortStableFunc(rows, func(a, b Row) int {
		return cmp.Or(cmp.Compare(b.Deployment, a.Deployment), cmp.Compare(a.Trace, b.Trace))
	})
	return rows
}
