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
	calmTime    = 6 * time.Second         // before each disruption
	storeCut    = 3400 * time.Millisecond // of the controller's link to the store
	stopDelay   = 100 * time.Millisecond  // from the end of the cut to the planned stop
	afterStop   = 3 * time.Second
	roundCount  = 6
	callerCount = 12
	leaseTime   = 3000 * time.Millisecond // leaseMs
	thawSlack   = 300 * time.Millisecond  // thawSlackMs
)

// heal is the end of a disruption of a host's link or process.
type heal struct {
	host string
	at   time.Time
}

// runTurns cuts the link of the controller to the store, and stops the next controller as planned.
func runTurns(r *run, trouble bool) bool {
	r.startAll(3)
	ctx, cancel := context.WithCancel(context.Background())
	var callers sync.WaitGroup
	for i := range callerCount {
		callers.Add(1)
		go func() {
			defer callers.Done()
			r.call(ctx, i)
		}()
	}
	var heals []heal
	for round := 0; round < roundCount; round++ {
		time.Sleep(calmTime)
		first := r.lastHolder()
		if first == nil {
			fail("no order was given")
		}
		if !trouble {
			time.Sleep(storeCut + afterStop)
			continue
		}
		r.log("%s is cut off from the store", first.name)
		first.link.setCut(true)
		time.Sleep(storeCut)
		first.link.setCut(false)
		heals = append(heals, heal{first.name, time.Now()})
		r.log("%s reaches the store again", first.name)
		time.Sleep(stopDelay)
		second := r.lastHolder()
		r.log("planned stop of %s", second.name)
		second.signal(syscall.SIGTERM)
		time.Sleep(afterStop)
		second.awaitEnd()
		second.start(r)
		if len(r.turns(heals)) > 0 {
			break
		}
	}
	cancel()
	callers.Wait()
	broken := r.turns(heals)
	for _, line := range broken {
		r.log("%s", line)
	}
	return len(broken) == 0
}

// startAll starts a deployment of three data centres with a host each, and engines that ignore fencing tokens.
func (r *run) startAll(engines int) {
	r.store.put("keyed.op", "config", config())
	zones := []string{"a", "b", "c"}
	for i := range engines {
		newEngine(r, fmt.Sprintf("i-%d", i+1), zones[i%len(zones)], 16, false)
	}
	for _, zone := range zones {
		r.addHost(fmt.Sprintf("front-%s-1", zone), zone, false)
	}
	time.Sleep(200 * time.Millisecond)
	for _, h := range r.hosts {
		h.start(r)
	}
	r.awaitReady()
}

// turns describes, for each engine, the first order whose holder had given an order to it within leaseTime, with one of another holder in
// between. Orders that arrive within thawSlack after a link of their sender healed don't count.
func (r *run) turns(heals []heal) []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	byEngine := make(map[string][]given)
	for _, o := range r.orders {
		excused := false
		for _, h := range heals {
			since := o.at.Sub(h.at)
			excused = excused || h.host == o.holder && since >= 0 && since <= thawSlack
		}
		if !excused {
			byEngine[o.engine] = append(byEngine[o.engine], o)
		}
	}
	var broken []string
	for _, list := range byEngine {
		for k, c := range list {
			if a, b, found := turn(list[:k], c); found {
				broken = append(broken, fmt.Sprintf("ONE: at %s orders of %s at %.3f, %s at %.3f and %s at %.3f", c.engine,
					a.holder, a.at.Sub(r.began).Seconds(), b.holder, b.at.Sub(r.began).Seconds(), c.holder, c.at.Sub(r.began).Seconds()))
				break
			}
		}
	}
	return broken
}

// turn finds an earlier order of the holder of c within leaseTime, and one of another holder after it.
func turn(list []given, c given) (a, b given, found bool) {
	for i := len(list) - 1; i >= 0 && c.at.Sub(list[i].at) <= leaseTime; i-- {
		switch {
		case list[i].holder != c.holder:
			b = list[i]
		case b.holder != "":
			return list[i], b, true
		}
	}
	return a, b, false
}

// call sends requests for adapters at random to random hosts, one after the other.
func (r *run) call(ctx context.Context, caller int) {
	for n := 0; ctx.Err() == nil; n++ {
		h := r.hosts[rand.IntN(len(r.hosts))]
		adapter := fmt.Sprintf("%s/a%d", modelName, 1+rand.IntN(adapterCount))
		id := fmt.Sprintf("%02x%014x", caller, n)
		q, cancel := context.WithTimeout(ctx, 5*time.Second)
		status, _, err := h.send(q, "POST", "/chat/x", id, "prompt", "Model", adapter, "Token-Count", "10,3",
			"Prompt-Prefix", fmt.Sprintf("a1:5,%x:5", rand.Uint32()), "Time-Budget-Ms", "5000")
		cancel()
		r.log("request %s (%s) at %s: status %d, error %v", id, adapter, h.name, status, err)
		if err != nil || status != 200 {
			time.Sleep(100 * time.Millisecond)
		}
	}
}

// config returns the configuration of the operator.
func config() map[string]any {
	return map[string]any{
		"version": 3,
		"routes": []map[string]any{{
			"name": "chat", "host": hostName, "pathPrefix": "/chat/", "routeKind": "stream", "timeoutMs": 15000, "goalMs": 600, "priority": 1,
			"service": "models", "maxAttempts": 2, "sessionAffinity": true, "resumable": true, "gapAimMs": 250,
		}},
		"services": []map[string]any{{
			"name": "models", "healthPath": "/health", "maxConns": 600,
			"engineKind": map[string]any{
				"slotCount": 16, "kvCapacity": 100000, "mb": 83000, "adapterSlots": adapterSlots, "loadsPerS": 3,
				"models": []map[string]any{{
					"name": modelName, "mb": 20000, "loadS": 6, "adapters": adapterCount, "adapterMb": 100, "warmS": 1, "diskS": 2,
				}},
			},
		}},
		"limits": map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 1048576, "headerTimeoutMs": 5000, "idleTimeoutMs": 20000},
	}
}
