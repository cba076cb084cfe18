package daemon

import (
	"sync"
	"time"

	"github.com/fireflycleat/fireflycleat/internal/wire"
)

const keptDecisions = 1000

type (
	// decisions keeps the last decisions for operators.
	decisions struct {
		mu   sync.Mutex
		list []wire.Decision
		next int
	}
)

func (d *decisions) add(x wire.Decision) {
	x.At = time.Now()
	d.mu.Lock()
	defer d.mu.Unlock()
	if len(d.list) < keptDecisions {
		d.list = append(d.list, x)
		return
	}
	d.list[d.next] = x
	d.next = (d.next + 1) % keptDecisions
}

// of returns the decisions on a request, or all when the request is empty, oldest first.
func (d *decisions) of(request string) []wire.Decision {
	d.mu.Lock()
	defer d.mu.Unlock()
	found := []wire.Decision{}
	for i := range d.list {
		x := d.list[(d.next+i)%len(d.list)]
		if request == "" || x.Request == request {
			found = append(found, x)
		}
	}
	return found
}
