package audit

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/fireflycleat/fireflycleat/pkg/fleet"
)

// Kinds of a Finding.
const (
	// Dead means that the entry never takes effect.
	Dead Kind = "dead"
	// Contradiction means that two values can't both hold.
	Contradiction Kind = "contradiction"
)

type (
	// Kind is the kind of a finding.
	Kind string

	// Finding is a part of a configuration that does not do what it says.
	Finding struct {
		Kind    Kind   `json:"kind"`
		Subject string `json:"subject"` // entry, such as "route r1"
		Detail  string `json:"detail"`
	}

	checker struct {
		config   *fleet.Config
		findings []Finding
	}
)

// Check returns the findings in a configuration, ordered by their subjects.
func Check(c *fleet.Config) []Finding {
	k := &checker{config: c}
	k.checkRoutes()
	k.checkServices()
	k.checkTeams()
	slices.SortStableFunc(k.findings, func(a, b Finding) int { return strings.Compare(a.Subject, b.Subject) })
	return k.findings
}

func (k *checker) add(kind Kind, subject, format string, args ...any) {
	k.findings = append(k.findings, Finding{kind, subject, fmt.Sprintf(format, args...)})
}

func (k *checker) checkRoutes() {
	type match struct{ host, prefix string }
	first := make(map[match]string)
	names := make(map[string]bool)
	for _, r := range k.config.Routes() {
		subject := "route " + r.Name
		if names[r.Name] {
			k.add(Contradiction, subject, "several routes have this name")
		}
		names[r.Name] = true
		m := match{strings.ToLower(r.Host), r.Prefix}
		switch other, ok := first[m]; {
		case ok:
			k.add(Dead, subject, "route %s has the same host %s and prefix %s and comes first", other, r.Host, r.Prefix)
		case r.Host == "":
			k.add(Dead, subject, "has no host, which every request names")
		default:
			first[m] = r.Name
		}
		k.checkRoute(subject, r)
	}
}

func (k *checker) checkRoute(subject string, r fleet.Route) {
	if r.Objective > r.Timeout {
		k.add(Contradiction, subject, "objective %v exceeds timeout %v", r.Objective, r.Timeout)
	}
	if r.MaxPause > r.Timeout {
		k.add(Contradiction, subject, "longest pause %v exceeds timeout %v", r.MaxPause, r.Timeout)
	}
	if r.Resumable && r.Kind != fleet.Stream {
		k.add(Dead, subject, "only a stream can be resumable")
	}
	total := 0
	for _, t := range r.Targets {
		total += t.Weight
	}
	for _, t := range r.Targets {
		if t.Weight == 0 && total > 0 {
			k.add(Dead, subject, "target %s has weight 0", t.Service)
		}
	}
	if total == 0 && len(r.Targets) > 1 {
		k.add(Contradiction, subject, "all targets have weight 0")
	}
}

func (k *checker) checkServices() {
	timeouts := make(map[string]time.Duration) // longest timeout of the routes to each service
	for _, r := range k.config.Routes() {
		for _, t := range r.Targets {
			timeouts[t.Service] = max(timeouts[t.Service], r.Timeout)
		}
	}
	for name, s := range k.config.Services() {
		timeout, used := timeouts[name]
		if !used {
			k.add(Dead, "service "+name, "no route leads to it")
		}
		if s.Engine == nil {
			continue
		}
		if s.Engine.Slots <= 0 {
			k.add(Contradiction, "service "+name, "its engines run no requests")
		}
		for _, m := range sortedModels(s.Engine) {
			k.checkModel("model "+name+"/"+m.Name, s.Engine, m, timeout)
		}
	}
}

func sortedModels(e *fleet.Engine) []fleet.Model {
	return slices.SortedFunc(maps.Values(e.Models), func(a, b fleet.Model) int { return cmp.Compare(a.Name, b.Name) })
}

// checkModel checks a model of a service whose routes have at most the given timeout.
func (k *checker) checkModel(subject string, e *fleet.Engine, m fleet.Model, timeout time.Duration) {
	switch {
	case m.WeightMB > e.MemoryMB:
		k.add(Dead, subject, "needs %g MB, but an upstream has %g MB", m.WeightMB, e.MemoryMB)
	case m.Adapters > 0 && e.AdapterSlots <= 0:
		k.add(Dead, subject, "has adapters, but upstreams have no place for one")
	case m.Adapters > 0 && m.WeightMB+m.AdapterMB > e.MemoryMB:
		k.add(Dead, subject, "needs %g MB with an adapter, but an upstream has %g MB", m.WeightMB+m.AdapterMB, e.MemoryMB)
	}
	if m.FromDisk > m.FromStore && m.FromStore > 0 {
		k.add(Contradiction, subject, "a load from disk takes %v, one from the weight store %v", m.FromDisk, m.FromStore)
	}
	if m.FromMemory > m.FromDisk && m.FromDisk > 0 {
		k.add(Contradiction, subject, "a load from memory takes %v, one from disk %v", m.FromMemory, m.FromDisk)
	}
	if timeout > 0 && m.FromStore > timeout {
		k.add(Contradiction, subject, "a load from the weight store takes %v, but every route to the service has a timeout of %v or less", m.FromStore, timeout)
	}
}

func (k *checker) checkTeams() {
	if !k.config.RequiresKey() {
		return
	}
	isPublic := !slices.ContainsFunc(k.config.Routes(), func(r fleet.Route) bool { return !r.Public })
	for name, t := range k.config.Teams() {
		subject := "team " + name
		switch {
		case isPublic:
			k.add(Dead, subject, "no route needs an API key")
		case len(t.Keys) == 0:
			k.add(Dead, subject, "has no API key")
		}
		r := t.Rate
		switch {
		case !r.Limited() && r.Burst > 0:
			k.add(Dead, subject, "has a burst of %g, but no rate limit", r.Burst)
		case r.Limited() && r.Burst <= 0:
			k.add(Contradiction, subject, "has a rate limit of %g a second, but no burst", r.PerSecond)
		case r.Limited() && r.Tokens && r.PlainTokens > r.Burst:
			k.add(Contradiction, subject, "a request without a number of tokens costs %g, but the burst is %g", r.PlainTokens, r.Burst)
		}
	}
}
