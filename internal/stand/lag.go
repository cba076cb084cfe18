package stand

import (
	"slices"
	"time"
)

type (
	// Lag keeps the recent versions of a value so that an older one can be shown; its user serializes the calls.
	Lag[T any] struct {
		age      time.Duration
		versions []version[T]
	}

	version[T any] struct {
		at    time.Time
		value T
	}
)

// NewLag returns a value that is shown as of age ago, and as first while nothing older is known.
func NewLag[T any](age time.Duration, first T) *Lag[T] {
	return &Lag[T]{age: age, versions: []version[T]{{time.Now(), first}}}
}

// Put records the value as of now.
func (l *Lag[T]) Put(now time.Time, t T) {
	l.prune(now)
	l.versions = append(l.versions, version[T]{now, t})
}

// Shown returns the value that is shown now, and the time that it reflects.
func (l *Lag[T]) Shown(now time.Time) (T, time.Time) {
	l.prune(now)
	asOf := now.Add(-l.age)
	if first := l.versions[0].at; asOf.Before(first) {
		asOf = first
	}
	return l.versions[0].value, asOf
}

func (l *Lag[T]) prune(now time.Time) {
	limit := now.Add(-l.age)
	last := 0
	for i, v := range l.versions {
		if !v.at.After(limit) {
			last = i
		}
	}
	l.versions = slices.Delete(l.versions, 0, last)
}
