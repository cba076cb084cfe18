package stand

import (
	"slices"
	"time"
)

type (
	// DelayedValue keeps recent versions of a value and returns them with a delay. It is not safe for concurrent use.
	DelayedValue[T any] struct {
		delay    time.Duration
		versions []version[T]
	}

	version[T any] struct {
		at    time.Time
		value T
	}
)

// NewDelayedValue returns a DelayedValue whose first version is visible at once; each later version becomes visible after
// the delay.
func NewDelayedValue[T any](delay time.Duration, first T) *DelayedValue[T] {
	return &DelayedValue[T]{delay: delay, versions: []version[T]{{time.Now(), first}}}
}

// Put records the value as the latest version at time now.
func (d *DelayedValue[T]) Put(now time.Time, t T) {
	d.prune(now)
	d.versions = append(d.versions, version[T]{now, t})
}

// Visible returns the version that is visible at time now, and the time as of which it is current.
func (d *DelayedValue[T]) Visible(now time.Time) (T, time.Time) {
	d.prune(now)
	asOf := now.Add(-d.delay)
	if first := d.versions[0].at; asOf.Before(first) {
		asOf = first
	}
	return d.versions[0].value, asOf
}

func (d *DelayedValue[T]) prune(now time.Time) {
	limit := now.Add(-d.delay)
	last := 0
	for i, v := range d.versions {
		if !v.at.After(limit) {
			last = i
		}
	}
	d.versions = slices.Delete(d.versions, 0, last)
}
