package place

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"

	"github.com/fireflycleat/fireflycleat/pkg/fleet"
)

// hasCopy reports whether an upstream holds, loads or has cached the model.
func (c *Controller) hasCopy(model string) bool {
	return len(c.index.holders[model]) > 0 || len(c.index.copies[model]) > 0 || c.plan.copying[model]
}

// heldCount returns the number of usable upstreams that hold the model.
func (c *Controller) heldCount(model string) int {
	n := 0
	for _, u := range c.index.holders[model] {
		if u.usable() {
			n++
		}
	}
	return n
}

// replicaCount returns the number of usable upstreams that hold or load the model.
func (c *Controller) replicaCount(model string) int { return c.heldCount(model) + c.plan.loads[model] }

// neededReplicas returns the number of replicas that the current load of the model requires.
func (c *Controller) neededReplicas(now time.Time, e *fleet.Engine, model string) int {
	if n, ok := c.plan.needed[model]; ok {
		return n
	}
	r := c.rate(model)
	r.decay(now, c.settings.RateTimeConstant)
	n := 1
	if r.value > c.settings.SecondReplicaRate {
		n = busyReplicas
	}
	n = max(n, int(math.Ceil(r.value/c.settings.ReplicaRate)))
	requests := float64(c.running.model[model] + c.pendingRequests(model))
	n = max(n, int(math.Ceil(requests/min(c.settings.ReplicaUtilisation*float64(max(e.Slots, 1)), c.settings.ReplicaRequests))))
	c.plan.needed[model] = n
	return n
}

// shortage is a model with fewer replicas than its load requires.
type shortage struct {
	service string
	model   string
	have    int // number of replicas, including loads in progress
	needed  int
}

// urgent reports whether the model needs more than urgentRatio times its replicas.
func (s shortage) urgent() bool { return s.have*urgentRatio < s.needed }

// shortages returns the models with too few replicas, the most overloaded first. Within a plan, models only leave the list.
func (c *Controller) shortages(now time.Time) []shortage {
	if c.plan.shortages != nil {
		list := c.plan.shortages[:0]
		for _, s := range c.plan.shortages {
			if s.have = c.heldCount(s.model) + c.plan.loading[s.model]; s.have < s.needed {
				list = append(list, s)
			}
		}
		return list
	}
	list := []shortage{}
	for service, e := range c.engines {
		for model := range c.rates {
			if _, ok := e.Models[model]; !ok {
				continue
			}
			s := shortage{service, model, c.heldCount(model) + c.plan.loading[model], c.neededReplicas(now, e, model)}
			if s.have > 0 && s.have < s.needed {
				list = append(list, s)
			}
		}
	}
	slices.SortFunc(list, func(a, b shortage) int {
		return cmp.Or(cmp.Compare(b.needed*a.have, a.needed*b.have), cmp.Compare(b.needed, a.needed), cmp.Compare(a.model, b.model))
	})
	c.plan.shortages = list
	return list
}

// planReplicas orders additional replicas of models that have too few for their load. Urgent shortages are handled before
// pending requests for rarely used models, because a load from the weight store finishes too late for most of those requests.
func (c *Controller) planReplicas(now time.Time, actions []Action, urgent bool) []Action {
	maxConcurrent := c.speed.slots
	if urgent {
		maxConcurrent = c.speed.limit()
	}
	for _, s := range c.shortages(now) {
		if urgent && !s.urgent() {
			continue
		}
		e := c.engines[s.service]
		for ; s.have < s.needed && (!urgent || s.urgent()); s.have++ {
			fromStore := c.storeLoadAllowed(now, e, maxConcurrent)
			t, ok := c.bestTarget(now, s.service, e, s.model, search{fromStore: fromStore})
			gain := c.rate(s.model).value
			if !ok || t.wait > 0 || gain < minGainRatio*t.loss || t.fromStore && !fromStore {
				break
			}
			actions = c.orderLoad(now, t, s.model, actions)
		}
	}
	return actions
}

// planCopies orders loads of models that no upstream has a copy of, while the weight store has spare capacity.
func (c *Controller) planCopies(now time.Time, actions []Action) []Action {
	for _, service := range slices.Sorted(maps.Keys(c.engines)) {
		e := c.engines[service]
		for _, model := range c.models[e] {
			if !c.storeLoadAllowed(now, e, min(c.settings.BackgroundLoads, c.speed.slots)) {
				return actions
			}
			m := e.Models[model]
			if c.hasCopy(model) {
				continue
			}
			t, ok := c.bestTarget(now, service, e, model, search{fromStore: true})
			gain := c.priorRate(now, e, m) * m.FromStore.Seconds()
			if !ok || t.wait > 0 || gain < minGainRatio*t.loss {
				continue
			}
			actions = c.orderLoad(now, t, model, actions)
		}
	}
	return actions
}
