package entry

import (
	"container/heap"
	"time"
)

type (
	// timer belongs to one call or one queue; index is its position in the heap, or -1 if it is stopped.
	timer struct {
		at    time.Time
		index int
		call  *call
		queue *queue
	}

	timers []*timer
)

// Len implements heap.Interface.
func (h timers) Len() int { return len(h) }

// Less implements heap.Interface.
func (h timers) Less(i, j int) bool { return h[i].at.Before(h[j].at) }

// Swap implements heap.Interface.
func (h timers) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index, h[j].index = i, j
}

// Push implements heap.Interface.
func (h *timers) Push(x any) {
	t := x.(*timer)
	t.index = len(*h)
	*h = append(*h, t)
}

// Pop implements heap.Interface.
func (h *timers) Pop() any {
	old := *h
	last := len(old) - 1
	t := old[last]
	old[last] = nil
	*h = old[:last]
	t.index = -1
	return t
}

// set starts the timer or moves it to another time; the zero time stops it.
func (h *timers) set(t *timer, at time.Time) {
	switch {
	case at.IsZero():
		if t.index >= 0 {
			heap.Remove(h, t.index)
		}
	case t.index < 0:
		t.at = at
		heap.Push(h, t)
	case !t.at.Equal(at):
		t.at = at
		heap.Fix(h, t.index)
	}
}

// popDue removes and returns the earliest due timer, or nil.
func (h *timers) popDue(now time.Time) *timer {
	if len(*h) == 0 || (*h)[0].at.After(now) {
		return nil
	}
	return heap.Pop(h).(*timer)
}

// earlier returns the earlier of two times; the zero time means never.
func earlier(a, b time.Time) time.Time {
	if a.IsZero() || !b.IsZero() && b.Before(a) {
		return b
	}
	return a
}
