package bench

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/fireflycleat/fireflycleat/pkg/spec"
)

// Plan describes one call that a trace generates for a deployment.
type Plan struct {
	Tag      string
	At       time.Duration // from the start of the trace
	Host     int
	Model    string
	Adapter  string
	Urgency  spec.Urgency
	Prompt   int
	Answer   int
	Deadline time.Duration // limit for the first token, from the time the request is sent
	Obeys    bool          // whether the caller returns at the retry time of a refusal
	Key      string        // identifies the caller's request across retries
}

// Plans generates the calls of the trace for the deployment, sorted by time. Unless excludedTag is empty, flows with that
// tag are left out.
func (t *Trace) Plans(d Deployment, seed uint64, excludedTag string) []Plan {
	var all []Plan
	v := d.view()
	for i, f := range t.Flows {
		if f.Tag == excludedTag && excludedTag != "" {
			continue
		}
		// Each flow has its own random numbers, so that leaving one out doesn't change the others.
		g := generator{Flow: f, deploy: d, view: v, random: rand.New(rand.NewPCG(seed, uint64(i+1)))}
		all = append(all, g.plans()...)
	}
	for _, l := range t.ExplicitCalls {
		u, _ := spec.ParseUrgency(l.Urgency)
		all = append(all, Plan{
			Tag: l.Tag, At: time.Duration(l.AtMicros) * time.Microsecond, Host: l.Host, Model: modelName(l.Model % d.Models),
			Adapter: l.Adapter, Urgency: u, Prompt: l.Prompt, Answer: l.Answer,
			Deadline: time.Duration(l.DeadlineMS) * time.Millisecond, Obeys: l.Obeys,
		})
	}
	slices.SortStableFunc(all, func(a, b Plan) int { return cmp.Compare(a.At, b.At) })
	for i := range all {
		all[i].Key = fmt.Sprintf("%s-%d", all[i].Tag, i)
	}
	return all
}

// generator generates the calls of one flow.
type generator struct {
	Flow
	deploy Deployment
	view   *spec.View
	random *rand.Rand
}

func (g *generator) plans() []Plan {
	var all []Plan
	if g.Count > 0 {
		for m := range g.Models {
			for n := range g.Count * hostCount {
				at := g.From + g.random.Float64()*(g.To-g.From)
				all = append(all, g.plan(at, n%hostCount, m))
			}
		}
		return all
	}
	rate := g.PerSecond
	if g.Load > 0 {
		rate = g.Load * g.slots() * slotRate(g.Prompt, g.Answer)
	}
	rate /= max(g.Session, 1)
	if rate <= 0 {
		return nil
	}
	for at := g.From + g.random.ExpFloat64()/rate; at < g.To && len(all) < maxCalls; at += g.random.ExpFloat64() / rate {
		model, host := g.random.IntN(g.Models), g.random.IntN(hostCount)
		calls := 1
		if g.Session > 0 {
			calls = 1 + int(g.random.ExpFloat64()*(g.Session-1))
		}
		next := at
		for range calls {
			if next < g.To {
				all = append(all, g.plan(next, host, model))
			}
			next += g.ThinkSeconds * g.random.ExpFloat64()
		}
	}
	return all
}

// slots returns the number of slots of all configured replicas of the flow's models.
func (g *generator) slots() float64 {
	sum := 0
	for i := range g.Models {
		m, _ := g.view.Model(modelName((g.FirstModel + i) % g.deploy.Models))
		sum += m.MaxReplicas * m.Slots
	}
	return float64(sum)
}

func (g *generator) plan(at float64, host, model int) Plan {
	u, _ := spec.ParseUrgency(g.Urgency)
	name := modelName((g.FirstModel + model) % g.deploy.Models)
	p := Plan{
		Tag: g.Tag, At: seconds(at), Host: host, Model: name, Urgency: u, Prompt: g.Prompt,
		Answer:   max(1, g.Answer/2+g.random.IntN(g.Answer+1)),
		Deadline: time.Duration(g.DeadlineMS) * time.Millisecond, Obeys: g.random.Float64() < g.Obeys,
	}
	if m, _ := g.view.Model(name); g.random.Float64() < g.AdapterShare && len(m.Adapters) > 0 {
		p.Adapter = m.Adapters[g.random.IntN(len(m.Adapters))].Name
	}
	return p
}
