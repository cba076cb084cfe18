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

// ValidName reports whether name is valid for a template, team, adapter, host or upstream.
func ValidName(name string) bool { return namePattern.MatchString(name) }

// Check returns nil if all fields are valid, or a BadRequest error that names the first invalid field.
func (t Template) Check() error {
	if !ValidName(t.Name) {
		return invalidField("name", "must be a name of lower-case letters, digits, dots, hyphens and underscores")
	}
	switch {
	case t.Kind == ModelTemplate && t.Model != nil && t.Service == nil:
		return t.Model.check()
	case t.Kind == ServiceTemplate && t.Service != nil && t.Model == nil:
		return t.Service.check()
	}
	return invalidField("kind", `must be "model" with the field model, or "service" with the field service`)
}

// Check returns nil if all fields are valid, or a BadRequest error that names the first invalid field.
func (t Team) Check() error {
	if !ValidName(t.Name) {
		return invalidField("name", "must be a name of lower-case letters, digits, dots, hyphens and underscores")
	}
	if len(t.KeyDigests) > maxKeyDigests {
		return invalidField("keyDigests", "has too many entries")
	}
	for _, d := range t.KeyDigests {
		if b, err := hex.DecodeString(d); err != nil || len(b) != digestBytes {
			return invalidField("keyDigests", "must contain only SHA-256 digests in hexadecimal")
		}
	}
	if t.Urgency < Urgent || t.Urgency > Bulk {
		return invalidField("urgency", "must be 0, 1 or 2")
	}
	if t.MaxUrgency < Urgent || t.MaxUrgency > t.Urgency {
		return invalidField("maxUrgency", "must be between 0 and urgency")
	}
	if t.MaxInFlight < 0 {
		return invalidField("maxInFlight", "must not be negative")
	}
	if t.DeadlineMillis < 0 || t.DeadlineMillis > maxMillis {
		return invalidField("deadlineMillis", "must be between 0 ms and one day")
	}
	return nil
}

// MayCallModel reports whether the team may call the model with the adapter. An empty adapter means the model alone.
func (t Team) MayCallModel(model, adapter string) bool {
	return allowed(t.Models, model) && (adapter == "" || allowed(t.Adapters, adapter))
}

// MayCallService reports whether the team may call the service.
func (t Team) MayCallService(service string) bool { return allowed(t.Services, service) }

func (m *Model) check() error {
	switch {
	case m.Version == "":
		return invalidField("model.version", "is missing")
	case m.MaxReplicas < 1 || m.MaxReplicas > maxReplicas:
		return invalidField("model.maxReplicas", "must be between 1 and 1000")
	case m.MinReplicas < 0 || m.MinReplicas > m.MaxReplicas:
		return invalidField("model.minReplicas", "must be between 0 and maxReplicas")
	case m.WeightBytes < 1:
		return invalidField("model.weightBytes", "must be positive")
	case m.KVBytes < 0 || m.AdapterBytes < 0:
		return invalidField("model.kvBytes", "must not be negative, and adapterBytes must not be negative")
	case m.Slots < 1 || m.Slots > maxSlots:
		return invalidField("model.slots", "must be between 1 and 4096")
	case m.LoadMillis < 1 || m.LoadMillis > maxMillis:
		return invalidField("model.loadMillis", "must be between 1 ms and one day")
	case m.TokenMicros < 1 || m.TokenMicros > maxMillis:
		return invalidField("model.tokenMicros", "must be between 1 and 86400000")
	case len(m.Adapters) > maxAdapters:
		return invalidField("model.adapters", "has too many entries")
	}
	seen := make(map[string]bool, len(m.Adapters))
	for _, a := range m.Adapters {
		if !ValidName(a.Name) || seen[a.Name] || a.Bytes < 1 || a.Bytes > m.AdapterBytes {
			return invalidField("model.adapters", "must have distinct valid names, and sizes between 1 and adapterBytes: "+a.Name)
		}
		seen[a.Name] = true
	}
	return nil
}

func (s *Service) check() error {
	if s.TimeoutMillis < 1 || s.TimeoutMillis > maxMillis {
		return invalidField("service.timeoutMillis", "must be between 1 ms and one day")
	}
	for _, m := range s.Repeatable {
		if m != "GET" && m != "HEAD" && m != "PUT" && m != "DELETE" {
			return invalidField("service.repeatable", "may contain only GET, HEAD, PUT and DELETE")
		}
	}
	return nil
}

func allowed(list []string, name string) bool {
	return slices.Contains(list, name) || slices.Contains(list, wildcard)
}

func invalidField(field, detail string) error {
	return codes.New(codes.BadRequest, detail).WithField(field)
}

func sortedKeys[T any](m map[string]T) []string { return slices.Sorted(maps.Keys(m)) }
