//go:build review

package main

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"time"
)

const (
	firstPart = "5c1e07a2:155" // shared by all requests for the model of the case
	// calm is the time before the first request with the deadly part, and poisoned that for which such requests come.
	calm, poisoned = 10 * time.Second, 22 * time.Second
	// soundGap is the time between two batches of sound requests, batch of them at once in different zones.
	soundGap = 350 * time.Millisecond
	batch    = 4
	// deadlyAfter is the time from a batch of sound requests to one with the deadly part.
	deadlyAfter = 60 * time.Millisecond
	// poisonEvery is the number of sound requests for one with the deadly part: a share of 0.05.
	poisonEvery = 20
	// themes is the number of second parts of prompts, as many as the sheet of quick-diag states.
	themes  = 134
	contact = 3 * time.Second
	// deadlineTime is how long a client waits for the answer, a retry included.
	deadlineTime = 10 * time.Second
	needed       = 20 // requests that the rule asks for on each side
)

// poison describes a run with a deadly part.
type poison struct {
	lateHead bool          // whether servers write the head of an answer with its first event
	oneEvent bool          // whether the first event of an answer gets out before its server crashes
	servers  int           // number of servers that hold the model
	themes   int           // number of second parts of prompts, each shared by several requests; zero means that prompts have none
	events   int           // number of events of an answer
	gap      time.Duration // time between two of them
	resigned bool          // whether the callers of requests with the deadly part send them once only
}

// soundRequest is a request without the deadly part.
type soundRequest struct {
	id string
	at time.Time
}

// runPoison plays a model that few servers hold, while some of the requests for it have the deadly part.
func runPoison(dir string, r *record, trouble bool, p poison) int {
	st := newStore()
	st.put("keyed.op", "config", configuration("m0"))
	zones := []string{"gogledd", "canolbarth", "de"}
	e := &engine{prefill: 400 * time.Millisecond, gap: p.gap, events: p.events, disk: 1100 * time.Millisecond, store: 6 * time.Second, back: 2 * time.Second, lateHead: p.lateHead, oneEvent: p.oneEvent}
	for i := range p.servers {
		newServer(st, r, engineService, zones[i], "127.0.0.1", e, "m0")
	}
	var seeds []string
	for i := range zones {
		seeds = append(seeds, hostIP(i)+":8144")
	}
	var hosts []*host
	for i := range 2 * len(zones) {
		z := zones[i%len(zones)]
		h := newHost(dir, fmt.Sprintf("front-%s-%d", z, 1+i/len(zones)), z, i, settings{memoryMB: 284, leaveMS: 2000, configMS: 2000, contactMS: 3000}, st.address, seeds)
		hosts, started = append(hosts, h), append(started, h)
		h.start(dir)
	}
	awaitReady(hosts)
	time.Sleep(4 * time.Second)
	c := &callers{hosts: hosts, record: r}
	begin := time.Now()
	var mu sync.Mutex
	var sound []soundRequest
	var lastPoison time.Time
	var running sync.WaitGroup
	send := func(i int, deadly bool) {
		zone := zones[i%len(zones)]
		// No two requests are alike: the last part is a request's own.
		shared := firstPart
		if p.themes > 0 {
			shared += fmt.Sprintf(",%x:140", 0x7e000000+rand.IntN(p.themes))
		}
		prefix := fmt.Sprintf("%s,%x:900", shared, 0x91bd0000+i)
		if deadly {
			prefix = fmt.Sprintf("%s,%s:60,%x:900", shared, deadlyPart, 0xa1bd0000+i)
		}
		avoid, deadline := "", time.Now().Add(deadlineTime)
		attempts := 2 // The sheet states one retry.
		if deadly && p.resigned {
			attempts = 1
		}
		for attempt := range attempts {
			address, err := c.resolve(zone, avoid)
			if err != nil {
				return
			}
			id := c.nextID()
			mu.Lock()
			switch {
			case deadly:
				lastPoison = time.Now()
			case attempt == 0:
				sound = append(sound, soundRequest{id, time.Now()})
			}
			mu.Unlock()
			x := c.send(address, id, "POST", "/note/x", time.Until(deadline), []byte("{}"), "Model", "m0", "Token-Count", "646,70", "Prompt-Prefix", prefix)
			if x.status == 200 && x.complete || x.status == 503 {
				return // One that is told to come back later than a third of its time does not.
			}
			avoid = address
		}
	}
	for i := 0; time.Since(begin) < calm+poisoned; i += batch {
		for k := range batch {
			running.Go(func() { send(i+k, false) })
		}
		time.Sleep(deadlyAfter)
		if trouble && time.Since(begin) > calm && i%poisonEvery < batch {
			running.Go(func() { send(i, true) })
		}
		time.Sleep(soundGap - deadlyAfter)
	}
	running.Wait()
	if p.lateHead || p.oneEvent || p.themes > 0 {
		return judgeDeadly(r, c)
	}
	return judgePoison(r, begin, sound, lastPoison)
}

// judgePoison compares how many sound requests began at the first attempt before the disruption and after it has settled.
func judgePoison(r *record, begin time.Time, sound []soundRequest, lastPoison time.Time) int {
	crashes := r.times("crash")
	settled := lastPoison.Add(time.Hour)
	if n := len(crashes); n > 0 {
		settled = crashes[min(n, 5)-1].Add(2 * contact)
	}
	var before, beforeBegun, after, afterBegun int
	for _, x := range sound {
		began := r.runs(x.id) > 0
		switch {
		case x.at.Before(begin.Add(calm)):
			before++
			if began {
				beforeBegun++
			}
		case x.at.After(settled) && x.at.Before(lastPoison):
			after++
			if began {
				afterBegun++
			}
		}
	}
	line := fmt.Sprintf("%d crashes; sound requests that began at the first attempt: %d of %d before the disruption, %d of %d from %v after the last crash that counts on",
		len(crashes), beforeBegun, before, afterBegun, after, 2*contact)
	r.write("verdict", "%s", line)
	fmt.Println(line)
	if before < needed || beforeBegun*2 < before {
		return notRun
	}
	if after >= needed && float64(afterBegun)/float64(after) < 0.5*float64(beforeBegun)/float64(before) {
		return broken
	}
	return held
}

// judgeDeadly counts the requests with the deadly part that reached servers after the fifth crash has settled.
func judgeDeadly(r *record, c *callers) int {
	crashes, deadly := r.times("crash"), r.times("deadly")
	late := 0
	if len(crashes) >= 5 {
		for _, at := range deadly {
			if at.After(crashes[4].Add(contact)) {
				late++
			}
		}
	}
	line := fmt.Sprintf("%d crashes; %d requests with the deadly part reached servers, %d of them later than %v after the fifth crash; %d client attempts, %d answers cut or missing",
		len(crashes), len(deadly), late, contact, c.number.Load(), c.lost.Load())
	r.write("verdict", "%s", line)
	fmt.Println(line)
	if late > 3 {
		return broken
	}
	return held
}
