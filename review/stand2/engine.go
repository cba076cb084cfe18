//go:build review2

package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	heartbeatTime = 1200 * time.Millisecond
	adapterTime   = 15 * time.Millisecond // time of a load of an adapter
	eventTime     = 30 * time.Millisecond // time between two events of a stream
	reportLag     = 200 * time.Millisecond
)

type (
	// engine is a stand-in of a model server that ignores fencing tokens. It holds one model and loads its adapters.
	engine struct {
		id, zone string
		born     int64
		slots    int
		fenced   bool
		listener net.Listener
		run      *run

		mu       sync.Mutex
		beat     int
		accepted int
		fence    int64
		adapters map[string]time.Time // when each is ready
		users    map[string]int
		running  int
	}

	// given is an order that reached an engine.
	given struct {
		at     time.Time
		engine string
		holder string
		fence  int64
		what   string
		status int
	}
)

func newEngine(r *run, id, zone string, slots int, fenced bool) *engine {
	e := &engine{
		id: id, zone: zone, born: time.Now().UnixMilli(), slots: slots, fenced: fenced, listener: listen(), run: r,
		adapters: make(map[string]time.Time), users: make(map[string]int),
	}
	go func() { _ = http.Serve(e.listener, e) }()
	go func() {
		for {
			e.register()
			time.Sleep(heartbeatTime)
		}
	}()
	return e
}

func (e *engine) ready() []string {
	list := []string{}
	for a, at := range e.adapters {
		if !time.Now().Before(at) {
			list = append(list, a)
		}
	}
	slices.Sort(list)
	return list
}

func (e *engine) models() []map[string]any {
	return []map[string]any{{"name": modelName, "version": 1, "adapters": e.ready()}}
}

// register writes the entry of the engine to the store.
func (e *engine) register() {
	e.mu.Lock()
	e.beat++
	entry := map[string]any{
		"service": "models", "address": e.listener.Addr().String(), "zone": e.zone, "version": "1", "slotCount": e.slots, "state": "ready",
		"coldLeftMs": 0, "seq": e.beat, "born": e.born, "serveStage": "unified", "models": e.models(),
		"available": map[string]any{"inMemory": []string{}, "onDisk": []string{modelName}},
	}
	e.mu.Unlock()
	e.run.store.put("keyed.servers", e.id, entry)
}

// ServeHTTP implements http.Handler.
func (e *engine) ServeHTTP(w http.ResponseWriter, q *http.Request) {
	if id := q.Header.Get("Request-Id"); id != "" {
		w.Header().Set("Request-Id", id)
	}
	if x := q.Header.Get("Expect-Instance"); x != "" && x != e.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	switch q.URL.Path {
	case "/health":
		w.Header().Set("Instance-Id", e.id)
	case "/report":
		e.mu.Lock()
		defer e.mu.Unlock()
		w.Header().Set("Content-Type", "application/json")
		writeJSON(w, map[string]any{
			"serveStage": "unified", "models": e.models(), "busy": false, "seq": e.accepted, "queued": 0, "running": e.running, "kvUsed": 0,
			"kvTotal": 100000, "handleCount": 0, "born": e.born, "coming": []string{},
			"available": map[string]any{"inMemory": []string{}, "onDisk": []string{modelName}},
		})
	case "/order":
		e.order(w, q)
	default:
		e.stream(w, q)
	}
}

func (e *engine) order(w http.ResponseWriter, q *http.Request) {
	var o struct {
		OpKind, ModelID, AdapterID, Holder string
		Precondition                       *int
		FenceToken                         int64
	}
	if json.NewDecoder(q.Body).Decode(&o) != nil || o.Holder == "" || o.FenceToken == 0 {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	if !e.run.pass(o.Holder, e.id) {
		return
	}
	at := time.Now()
	e.mu.Lock()
	status := e.apply(o.OpKind, o.ModelID, o.AdapterID, o.Precondition, o.FenceToken)
	e.mu.Unlock()
	e.run.recordOrder(given{at, e.id, o.Holder, o.FenceToken, o.OpKind + " " + o.ModelID + "/" + o.AdapterID, status})
	w.WriteHeader(status)
}

// apply carries out an order and returns the status of its answer. The lock must be held.
func (e *engine) apply(op, model, adapter string, expected *int, fence int64) int {
	if e.fenced && fence < e.fence {
		return http.StatusPreconditionFailed
	}
	e.fence = max(e.fence, fence)
	switch {
	case expected != nil && *expected != e.accepted:
		return http.StatusConflict
	case model != modelName || !strings.HasPrefix(adapter, "a"):
		return http.StatusBadRequest
	}
	_, held := e.adapters[adapter]
	switch {
	case op == "load" && held:
		return http.StatusOK
	case op == "load":
		if len(e.adapters) >= adapterSlots {
			return http.StatusConflict
		}
		e.adapters[adapter] = time.Now().Add(adapterTime)
	case held && e.users[adapter] > 0:
		return http.StatusConflict
	default:
		delete(e.adapters, adapter)
		if held {
			e.accepted++
		}
		return http.StatusOK
	}
	e.accepted++
	return http.StatusAccepted
}

func (e *engine) stream(w http.ResponseWriter, q *http.Request) {
	model, adapter, _ := strings.Cut(q.Header.Get("Model"), "/")
	e.mu.Lock()
	at, held := e.adapters[adapter]
	present := model == modelName && (adapter == "" || held && !time.Now().Before(at))
	full := e.running >= e.slots
	if present && !full {
		e.running++
		e.users[adapter]++
	}
	e.mu.Unlock()
	switch {
	case !present:
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	case full:
		w.Header().Set("Not-Executed", "full")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer func() {
		e.mu.Lock()
		e.running--
		e.users[adapter]--
		e.mu.Unlock()
	}()
	h := w.Header()
	h.Set("Content-Type", "text/event-stream")
	h.Set("Response-Stamp", "stamp."+e.id)
	flush := http.NewResponseController(w).Flush
	for i := 1; i <= 3; i++ {
		time.Sleep(eventTime)
		if _, err := fmt.Fprintf(w, "id: %s\ndata: token\n\n", strconv.Itoa(i)); err != nil || flush() != nil {
			return
		}
	}
}
