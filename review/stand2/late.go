//go:build review2

package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"syscall"
	"time"
)

const (
	lossyTime  = 2 * time.Second // before the planned stop
	lossyAfter = 3 * time.Second // after it
	lateRounds = 8
	lateCalm   = 5 * time.Second

	// lossyEngine is one of five engines.
	lossyEngine = "i-1"

	packetLoss = 0.3 // of the packets of a harmed link
	// firstRetransmission is the time after which TCP sends a lost packet again; each further time doubles it.
	firstRetransmission = 200 * time.Millisecond
	// maxRetransmissions is the number of times until the limit on unacknowledged bytes that hosts set, 1.5 s, ends the connection.
	maxRetransmissions = 3
)

// pass lets an order of the holder pass its link to the engine. A lost packet is sent again after a while, also if the sender has closed the connection
// meanwhile. It reports false if all transmissions are lost.
func (r *run) pass(holder, engine string) bool {
	r.mu.Lock()
	isLossy := r.lossy == holder && engine == lossyEngine
	r.mu.Unlock()
	if !isLossy {
		return true
	}
	wait := firstRetransmission
	for n := 0; rand.Float64() < packetLoss; n++ {
		if n == maxRetransmissions {
			return false
		}
		time.Sleep(wait)
		wait *= 2
	}
	return true
}

func (r *run) setLossy(host string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.lossy = host
}

// runLate makes the link between the controller and one engine lose packets, and stops the controller as planned.
func runLate(r *run, trouble bool) bool {
	r.startAll(5)
	ctx, cancel := context.WithCancel(context.Background())
	var callers sync.WaitGroup
	for i := range callerCount {
		callers.Add(1)
		go func() {
			defer callers.Done()
			r.call(ctx, i)
		}()
	}
	for round := 0; round < lateRounds && len(r.lowerFences()) == 0; round++ {
		time.Sleep(lateCalm)
		first := r.lastHolder()
		if first == nil {
			fail("no order was given")
		}
		if trouble {
			r.log("link between %s and %s loses packets", first.name, lossyEngine)
			r.setLossy(first.name)
		}
		time.Sleep(lossyTime)
		r.log("planned stop of %s", first.name)
		first.signal(syscall.SIGTERM)
		time.Sleep(lossyAfter)
		r.setLossy("")
		first.awaitEnd()
		first.start(r)
	}
	cancel()
	callers.Wait()
	broken := r.lowerFences()
	for _, line := range broken {
		r.log("%s", line)
	}
	return len(broken) == 0
}

// lowerFences describes the orders with a lower fence than one that reached the same engine before.
func (r *run) lowerFences() []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	highest := make(map[string]given)
	var broken []string
	for _, o := range r.orders {
		h := highest[o.engine]
		if o.fence >= h.fence {
			highest[o.engine] = o
			continue
		}
		broken = append(broken, fmt.Sprintf("ONE: at %s order of %s with fence %d at %.3f, after fence %d of %s at %.3f",
			o.engine, o.holder, o.fence, o.at.Sub(r.began).Seconds(), h.fence, h.holder, h.at.Sub(r.began).Seconds()))
	}
	return broken
}
