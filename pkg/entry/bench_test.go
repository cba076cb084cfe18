package entry

import (
	"testing"
	"time"

	"github.com/fireflycleat/fireflycleat/pkg/retry"
	"github.com/fireflycleat/fireflycleat/pkg/spec"
)

// BenchmarkCall measures all events of a call that finds a free slot: arrival, first token and end.
func BenchmarkCall(b *testing.B) {
	s := newSim(1, 1, 20, 8)
	e, now := s.hosts[0], s.now
	b.ReportAllocs()
	for i := range b.N {
		now = now.Add(time.Millisecond)
		id := uint64(i + 1)
		e.Handle(now, Arrive{id, Request{Model: "m0", Urgency: spec.Normal, Deadline: now.Add(time.Second), Repeatable: true}})
		e.Handle(now.Add(50*time.Millisecond), FirstToken{id, 1})
		e.Handle(now.Add(time.Second), AttemptEnded{id, 1, retry.Done, 100})
	}
}

// BenchmarkRefusal measures an arrival that is refused immediately while 100 calls wait, the most frequent event under overload.
func BenchmarkRefusal(b *testing.B) {
	s := newSim(1, 1, 1, 8)
	e, now := s.hosts[0], s.now
	for i := range 108 {
		e.Handle(now, Arrive{uint64(i + 1), Request{Model: "m0", Urgency: spec.Normal, Deadline: now.Add(time.Minute)}})
	}
	b.ReportAllocs()
	for i := range b.N {
		e.Handle(now, Arrive{uint64(i + 1000), Request{Model: "m0", Urgency: spec.Normal, Deadline: now.Add(5 * time.Second)}})
	}
}
