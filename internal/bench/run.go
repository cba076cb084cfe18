package bench

import (
	"cmp"
	"math"
	"slices"
	"sync"
)

// maxParallelRuns limits concurrent runs. Each run has its own clock, so the limit doesn't affect results.
const maxParallelRuns = 4

type (
	// Row is the result of one measure on one trace.
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
		// Over and Under are the numerator and denominator of the result, in the unit of the measure, such as seconds or calls.
		Over  float64
		Under float64
	}

	// Result holds the outcome of all runs of one trace in one deployment.
	Result struct {
		Deployment Deployment
		Trace      *Trace
		Rows       []Row
		System     *Outcome
		Baseline   *Outcome
		Safety     Safety // sum over all runs of the system
	}
)

// Met reports whether the result meets the target. NaN, the result of a measure without any case, meets every target.
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

// Run simulates each trace in each deployment with the system and with the baseline. The results are in the order of the
// arguments and depend only on them.
func Run(deployments []Deployment, traces []*Trace, seed uint64) []*Result {
	var all []*Result
	limit := make(chan struct{}, maxParallelRuns)
	var group sync.WaitGroup
	for _, d := range deployments {
		for _, t := range traces {
			r := &Result{Deployment: d, Trace: t}
			all = append(all, r)
			group.Go(func() { r.run(seed, limit) })
		}
	}
	group.Wait()
	return all
}

// run executes all runs of a trace and computes its rows.
func (r *Result) run(seed uint64, limit chan struct{}) {
	var group sync.WaitGroup
	policies := [2]*policyRuns{}
	for i, policy := range []func(Deployment, uint64) *simulation{newFleet, newBaseline} {
		s := &policyRuns{deploy: r.Deployment, trace: r.Trace, view: r.Deployment.view()}
		s.plans = r.Trace.Plans(r.Deployment, seed, "")
		policies[i] = s
		start := func(to **Outcome, t *Trace, plans []Plan) {
			group.Go(func() {
				limit <- struct{}{}
				defer func() { <-limit }()
				*to = policy(r.Deployment, seed).run(t, plans)
			})
		}
		start(&s.outcome, r.Trace, s.plans)
		switch tag := r.Trace.Compare; tag {
		case "":
		case compareSpeed:
			unslowed := *r.Trace
			unslowed.UpstreamSlowdowns = nil
			start(&s.comparison, &unslowed, s.plans)
		default:
			start(&s.comparison, r.Trace, r.Trace.Plans(r.Deployment, seed, tag))
		}
	}
	group.Wait()
	system, base := policies[0], policies[1]
	r.System, r.Baseline = system.outcome, base.outcome
	r.Safety = system.outcome.Safety
	if system.comparison != nil {
		r.Safety.add(system.comparison.Safety)
	}
	for _, x := range r.Trace.Expects {
		m := measures[slices.IndexFunc(measures, func(m measure) bool { return m.name == x.Measure })]
		f := m.value(system, base)
		r.Rows = append(r.Rows, Row{
			Deployment: r.Deployment.Name, Trace: r.Trace.Name, Measure: m.name, About: m.about, AtMost: x.AtMost,
			Target: x.Target, Result: f.value, Over: f.numerator, Under: f.denominator, Baseline: m.value(base, base).value, Bound: m.bound(system, base),
		})
	}
}

func (s *Safety) add(o Safety) {
	s.Permits += o.Permits
	s.Memory += o.Memory
	s.Ends += o.Ends
}

// Rows returns the rows of all results, sorted by deployment in descending order and then by trace.
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
