package spec

import (
	"encoding/hex"
	"maps"
	"regexp"
	"slices"

	"github.com/fireflycleat/fireflycleat/pkg/codes"
)

const (
	maxReplicas   = 1000
	maxSlots      = 4096
	maxAdapters   = 10000
	maxMillis     = 24 * 60 * 60 * 1000
	digestBytes   = 32
	wildcard      = "*"
	maxKeyDigests = 100
)

var namePattern = regexp.MustCompile(`^[a-z0-9][a-z0-9._-]{0,62}$`)

// ValidName reports whether the text may name a template, team, adapter, host or upstream.
func ValidName(name string) bool { return namePattern.MatchString(name) }

// Check returns a BadRequest error that names the first field at fault, or nil.
func (t Template) Check() error {
	if !ValidName(t.Name) {
		return fault("name", "must be a name of lower-case letters, digits, dots, hyphens and underscores")
	}
	switch {
	case t.Kind == ModelTemplate && t.Model != nil && t.Service == nil:
		return t.Model.check()
	case t.Kind == ServiceTemplate && t.Service != nil && t.Model == nil:
		return t.Service.check()
	}
	return fault("kind", `must be "model" with the field model, or "service" with the field service`)
}

// Check returns a BadRequest error that names the first field at fault, or nil.
func (t Team) Check() error {
	if !ValidName(t.Name) {
		return fault("name", "must be a name of lower-case letters, digits, dots, hyphens and underscores")
	}
	if len(t.KeyDigests) > maxKeyDigests {
		return fault("keyDigests", "has too many entries")
	}
	for _, d := range t.KeyDigests {
		if b, err := hex.DecodeString(d); err != nil || len(b) != digestBytes {
			return fault("keyDigests", "must hold hex SHA-256 digests")
		}
	}
	if t.Urgency < Urgent || t.Urgency > Bulk {
		return fault("urgency", "must be 0, 1 or 2")
	}
	if t.MaxUrgency < Urgent || t.MaxUrgency > t.Urgency {
		return fault("maxUrgency", "must be between 0 and urgency")
	}
	if t.MaxInFlight < 0 {
		return fault("maxInFlight", "must not be negative")
	}
	if t.DeadlineMillis < 0 || t.DeadlineMillis > maxMillis {
		return fault("deadlineMillis", "must be between 0 and one day")
	}
	return nil
}

// MayCallModel reports whether the team may call the model with the adapter; an empty adapter means none.
func (t Team) MayCallModel(model, adapter string) bool {
	return allowed(t.Models, model) && (adapter == "" || allowed(t.Adapters, adapter))
}

// MayCallService reports whether the team may call the service.
func (t Team) MayCallService(service string) bool { return allowed(t.Services, service) }

func (m *Model) check() error {
	switch {
	case m.Version == "":
		return fault("model.version", "is missing")
	case m.MaxReplicas < 1 || m.MaxReplicas > maxReplicas:
		return fault("model.maxReplicas", "must be between 1 and 1000")
	case m.MinReplicas < 0 || m.MinReplicas > m.MaxReplicas:
		return fault("model.minReplicas", "must be between 0 and maxReplicas")
	case m.WeightBytes < 1:
		return fault("model.weightBytes", "must be positive")
	case m.KVBytes < 0 || m.AdapterBytes < 0:
		return fault("model.kvBytes", "must not be negative, nor adapterBytes")
	case m.Slots < 1 || m.Slots > maxSlots:
		return fault("model.slots", "must be between 1 and 4096")
	case m.LoadMillis < 1 || m.LoadMillis > maxMillis:
		return fault("model.loadMillis", "must be between 1 and one day")
	case m.TokenMicros < 1 || m.TokenMicros > maxMillis:
		return fault("model.tokenMicros", "must be positive")
	case len(m.Adapters) > maxAdapters:
		return fault("model.adapters", "has too many entries")
	}
	seen := make(map[string]bool, len(m.Adapters))
	for _, a := range m.Adapters {
		if !ValidName(a.Name) || seen[a.Name] || a.Bytes < 1 || a.Bytes > m.AdapterBytes {
			return fault("model.adapters", "needs distinct valid names and sizes that fit adapterBytes: "+a.Name)
		}
		seen[a.Name] = true
	}
	return nil
}

func (s *Service) check() error {
	if s.TimeoutMillis < 1 || s.TimeoutMillis > maxMillis {
		return fault("service.timeoutMillis", "must be between 1 and one day")
	}
	for _, m := range s.Repeatable {
		if m != "GET" && m != "HEAD" && m != "PUT" && m != "DELETE" {
			return fault("service.repeatable", "may hold GET, HEAD, PUT and DELETE only")
		}
	}
	return nil
}

func allowed(list []string, name string) bool {
	return slices.Contains(list, name) || slices.Contains(list, wildcard)
}

func fault(field, detail string) error {
	return codes.New(codes.BadRequest, detail).WithField(field)
}

func sortedKeys[T any](m map[string]T) []string { return slices.Sorted(maps.Keys(m)) }
