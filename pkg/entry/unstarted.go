package entry

import (
	"cmp"
	"slices"
	"time"

	"github.com/fireflycleat/fireflycleat/pkg/codes"
)

// addUnstarted records that a call waits for its first token at an upstream.
func (q *queue) addUnstarted(upstream string, c *call) {
	q.unstarted[upstream] = append(q.unstarted[upstream], c)
}

// removeUnstarted records that a call no longer waits for its first token at an upstream.
func (q *queue) removeUnstarted(upstream string, c *call) {
	list := q.unstarted[upstream]
	i := slices.Index(list, c)
	switch {
	case i < 0:
	case len(list) == 1:
		delete(q.unstarted, upstream)
	default:
		q.unstarted[upstream] = slices.Delete(list, i, i+1)
	}
}

// checkEngineQueue refuses the calls in an engine's queue that, according to its report, cannot start in time; urgent calls move
// to another replica if they can start in time there. The positions in the engine's queue are unknown; the calls of all hosts are
// assumed to be evenly interleaved within a class.
func (e *Entry) checkEngineQueue(now time.Time, q *queue, r Report) {
	waiting := slices.Clone(q.unstarted[r.Upstream])
	rate := e.table.EndRate(r.Upstream, q.model)
	if len(waiting) == 0 || r.Waiting == 0 || rate <= 0 {
		return
	}
	slices.SortStableFunc(waiting, func(a, b *call) int { return cmp.Compare(a.Urgency, b.Urgency) })
	waiting = waiting[max(len(waiting)-r.Waiting, 0):] // Calls beyond the reported number have started.
	ended := rate * now.Sub(r.At).Seconds()
	first := e.table.Load(q.model).First
	for i, c := range waiting {
		ahead := float64((i+1)*r.Waiting)/float64(len(waiting)) - ended
		start := now.Add(time.Duration(max(ahead, 0) / rate * keepMargin * float64(time.Second)))
		if len(c.attempts) == 1 && start.Add(first).After(c.Deadline) && !e.relocate(now, c) {
			e.refuse(c, codes.OverCapacity, e.reserveRetry(now, c))
		}
	}
}
