package place

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"

	"github.com/fireflycleat/fireflycleat/pkg/fleet"
)

// copied returns the number of upstreams that hold, load or keep a copy of the model, as of the last plan.
func (c *Controller) copied(model string) int { return c.round.copied[model] }

// needed returns the number of replicas that the present load of a model asks for.
func (c *Controller) needed(now time.Time, e *fleet.Engine, model string) int {
	r := c.rate(model)
	r.decay(now, c.settings.RateTime)
	n := 1
	if r.value > c.settings.BusyRate {
		n = busyReplicas
	}
	n = max(n, int(math.Ceil(r.value/c.settings.ReplicaRate)))
	running := float64(c.running.model[model] + c.waiters(model))
	return max(n, int(math.Ceil(running/min(c.settings.ReplicaShare*float64(max(e.Slots, 1)), c.settings.ReplicaRunning))))
}

// shortage is a model with fewer replicas than its load needs.
type shortage struct {
	service string
	model   string
	have    int // have counts the loads under way too.
	needed  int
}

// urgent reports whether the replicas have more than twice the load that is meant for them.
func (s shortage) urgent() bool { return s.have*urgentRatio < s.needed }

// shortages returns the models with too few replicas, the most overloaded first.
func (c *Controller) shortages(now time.Time) []shortage {
	var list []shortage
	for service, e := range c.engines {
		for model := range c.rates {
			if _, ok := e.Models[model]; !ok {
				continue
			}
			s := shortage{service, model, c.round.held[model] + c.round.coming[model], c.needed(now, e, model)}
			if s.have > 0 && s.have < s.needed {
				list = append(list, s)
			}
		}
	}
	slices.SortFunc(list, func(a, b shortage) int {
		return cmp.Or(cmp.Compare(b.needed*a.have, a.needed*b.have), cmp.Compare(b.needed, a.needed), cmp.Compare(a.model, b.model))
	})
	return list
}

// planReplicas orders further replicas of models whose replicas are too few for their load. Urgent ones go before requests that
// wait for rare models: a load from the weight store ends too late for most of these.
func (c *Controller) planReplicas(now time.Time, actions []Action, urgent bool) []Action {
	atOnce := c.speed.slots
	if urgent {
		atOnce += c.settings.StoreExtra
	}
	for _, s := range c.shortages(now) {
		if urgent && !s.urgent() {
			continue
		}
		e := c.engines[s.service]
		for ; s.have < s.needed && (!urgent || s.urgent()); s.have++ {
			t, ok := c.target(now, s.service, e, s.model, false)
			gain := c.rate(s.model).value
			if !ok || t.wait > 0 || gain < gainRatio*t.loss || t.store && !c.mayLoad(now, e, atOnce) {
				break
			}
			actions = c.carry(now, t, s.model, actions)
		}
	}
	return actions
}

// planCopies orders loads of models of which no upstream keeps a copy, while the weight store has room.
func (c *Controller) planCopies(now time.Time, actions []Action) []Action {
	for _, service := range slices.Sorted(maps.Keys(c.engines)) {
		e := c.engines[service]
		for _, model := range slices.Sorted(maps.Keys(e.Models)) {
			if !c.mayLoad(now, e, min(c.settings.Background, c.speed.slots)) {
				return actions
			}
			m := e.Models[model]
			if c.copied(model) > 0 {
				continue
			}
			t, ok := c.target(now, service, e, model, false)
			gain := c.prior(m) * m.FromStore.Seconds()
			if !ok || t.wait > 0 || gain < gainRatio*t.loss {
				continue
			}
			actions = c.carry(now, t, model, actions)
		}
	}
	return actions
}
