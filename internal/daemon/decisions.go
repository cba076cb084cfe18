package daemon

import (
	"sync"
	"time"

	"github.com/fireflycleat/fireflycleat/internal/wire"
)

const maxDecisions = 1000

type (
	// decisionHistory is a ring buffer of the latest decisions, for operators.
	decisionHistory struct {
		mu   sync.Mutex
		list []wire.Decision
		next int
	}
)

func (d *decisionHistory) add(decision wire.Decision) {
	decision.At = time.Now()
	d.mu.Lock()
	defer d.mu.Unlock()
	if len(d.list) < maxDecisions {
		d.list = append(d.list, decision)
		return
	}
	d.list[d.next] = decision
	d.next = (d.next + 1) % maxDecisions
}

// forRequest returns the decisions on a request, oldest first. An empty request selects all decisions.
func (d *decisionHistory) forRequest(request string) []wire.Decision {
	d.mu.Lock()
	defer d.mu.Unlock()
	matches := []wire.Decision{}
	for i := range d.list {
		x := d.list[(d.next+i)%len(d.list)]
		if request == "" || x.Request == request {
			matches = append(matches, x)
		}
	}
	return matches
}
