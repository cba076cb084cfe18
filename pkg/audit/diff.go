package audit

import (
	"fmt"
	"maps"
	"reflect"
	"slices"
	"strings"
	"unicode"

	"github.com/fireflycleat/fireflycleat/pkg/fleet"
)

// Operations of a Change.
const (
	Added   Op = "added"
	Removed Op = "removed"
	Changed Op = "changed"
)

type (
	// Op is what happens to an entry.
	Op string

	// Change is a difference between two configurations.
	Change struct {
		Op      Op     `json:"op"`
		Subject string `json:"subject"`
		Detail  string `json:"detail,omitempty"` // the fields that change, with their values before and after
	}
)

// Diff returns what a configuration changes in the one before, ordered by subjects.
func Diff(before, after *fleet.Config) []Change {
	old, current := entries(before), entries(after)
	var list []Change
	for subject, x := range current {
		y, ok := old[subject]
		switch {
		case !ok:
			list = append(list, Change{Added, subject, ""})
		case !reflect.DeepEqual(x, y):
			list = append(list, Change{Changed, subject, describe(y, x)})
		}
	}
	for subject := range old {
		if _, ok := current[subject]; !ok {
			list = append(list, Change{Removed, subject, ""})
		}
	}
	slices.SortFunc(list, func(a, b Change) int { return strings.Compare(a.Subject, b.Subject) })
	return list
}

// Supersedes returns a finding if hosts would not apply the configuration in place of the one in force.
func Supersedes(inForce, c *fleet.Config) []Finding {
	if c.Version() > inForce.Version() {
		return nil
	}
	return []Finding{{Dead, "version", fmt.Sprintf("%d is not higher than %d in force, which hosts keep", c.Version(), inForce.Version())}}
}

// entries returns the parts of a configuration by their subjects.
func entries(c *fleet.Config) map[string]any {
	all := map[string]any{"limits": c.Limits()}
	for _, r := range c.Routes() {
		all["route "+r.Name] = r
	}
	for name, s := range c.Services() {
		if s.Engine != nil {
			for _, m := range s.Engine.Models {
				all["model "+name+"/"+m.Name] = m
			}
			e := *s.Engine
			e.Models = nil
			all["engines of "+name] = e
			s.Engine = nil
		}
		all["service "+name] = s
	}
	for name, t := range c.Teams() {
		all["keys of team "+name] = keySet(t.Keys)
		t.Keys = nil
		all["team "+name] = t
	}
	return all
}

func keySet(keys []fleet.KeyDigest) map[fleet.KeyDigest]bool {
	set := make(map[fleet.KeyDigest]bool, len(keys))
	for _, k := range keys {
		set[k] = true
	}
	return set
}

// describe returns the fields of two structs that differ. Of keys it returns only numbers, because their digests tell an operator nothing.
func describe(before, after any) string {
	if old, ok := before.(map[fleet.KeyDigest]bool); ok {
		current := after.(map[fleet.KeyDigest]bool)
		return fmt.Sprintf("%d added, %d removed", countMissing(current, old), countMissing(old, current))
	}
	return strings.Join(changedFields("", reflect.ValueOf(before), reflect.ValueOf(after)), ", ")
}

// changedFields returns the fields of two structs of the same type that differ, with their values before and after.
func changedFields(prefix string, before, after reflect.Value) []string {
	var fields []string
	for i := range before.NumField() {
		a, b := before.Field(i), after.Field(i)
		name := prefix + fieldName(before.Type().Field(i).Name)
		switch {
		case reflect.DeepEqual(a.Interface(), b.Interface()):
		case a.Kind() == reflect.Struct:
			fields = append(fields, changedFields(name+".", a, b)...)
		default:
			fields = append(fields, fmt.Sprintf("%s %+v -> %+v", name, a.Interface(), b.Interface()))
		}
	}
	return fields
}

func countMissing(set, in map[fleet.KeyDigest]bool) int {
	n := 0
	for k := range maps.Keys(set) {
		if !in[k] {
			n++
		}
	}
	return n
}

// fieldName returns the name of a field as the project's formats spell it.
func fieldName(name string) string {
	runes := []rune(name)
	for i := 0; i < len(runes) && unicode.IsUpper(runes[i]) && (i == 0 || i+1 == len(runes) || unicode.IsUpper(runes[i+1])); i++ {
		runes[i] = unicode.ToLower(runes[i])
	}
	return string(runes)
}
