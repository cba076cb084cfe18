//go:build review

package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	heartbeat = 1200 * time.Millisecond
	// headToCrash is the time from the head of an answer to the crash of its server.
	headToCrash = 5 * time.Millisecond
)

type (
	// engine describes a service of the servers, as the configuration does.
	engine struct {
		prefill, gap time.Duration // time to the first event and between two of them
		events       int
		disk, store  time.Duration // time of a load from the server's disk and from the weight store
		back         time.Duration // time from a crash to the next start
		// lateHead is set if the head of an answer is written with its first event.
		lateHead bool
		// oneEvent is set if the first event of an answer gets out before its server crashes.
		oneEvent bool
	}

	// server is a stand-in for a server. With an engine it holds models and answers with streams.
	server struct {
		store                  *store
		record                 *record
		service, zone, address string
		engine                 *engine
		mu                     sync.Mutex
		http                   *http.Server
		id                     string
		starts                 int
		born                   int64
		beat, accepted         int
		fence                  float64
		held, disk             []string
		busy                   bool
		answer                 func(w http.ResponseWriter, q *http.Request, body []byte) // of a service without models
	}
)

// newServer starts a server that holds the models.
func newServer(st *store, r *record, service, zone, ip string, e *engine, models ...string) *server {
	l := listen(ip + ":0")
	s := &server{store: st, record: r, service: service, zone: zone, address: l.Addr().String(), engine: e, held: models, disk: slices.Clone(models)}
	s.serve(l)
	go s.beatLoop()
	return s
}

// serve begins an incarnation of the server.
func (s *server) serve(l net.Listener) {
	s.mu.Lock()
	s.starts++
	s.born = time.Now().UnixMilli()
	s.id = fmt.Sprintf("i-%s-%d", s.address[strings.LastIndexByte(s.address, 58)+1:], s.starts)
	s.beat, s.accepted, s.fence, s.busy = 0, 0, 0, false
	h := &http.Server{ReadHeaderTimeout: time.Minute}
	h.Handler = http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) { s.handle(h, w, q) })
	s.http = h
	s.mu.Unlock()
	go func() { _ = h.Serve(l) }()
	s.publish()
}

// publish writes the entry of the server to the store.
func (s *server) publish() {
	s.mu.Lock()
	if s.http == nil {
		s.mu.Unlock()
		return
	}
	s.beat++
	id := s.id
	entry := map[string]any{
		"service": s.service, "address": s.address, "zone": s.zone, "version": "v1", "slotCount": 32, "state": "ready", "coldLeftMs": 0,
		"seq": s.beat, "born": s.born,
	}
	if s.engine != nil {
		entry["models"], entry["available"] = heldModels(s.held), map[string]any{"inMemory": []string{}, "onDisk": s.disk}
	}
	s.mu.Unlock()
	s.store.put("keyed.servers", id, entry)
}

func heldModels(names []string) []map[string]any {
	list := []map[string]any{}
	for _, n := range names {
		list = append(list, map[string]any{"name": n, "version": 1, "adapters": []string{}})
	}
	return list
}

func (s *server) beatLoop() {
	for range time.Tick(heartbeat) {
		s.publish()
	}
}

// crash ends the server: all connections are reset. It is back after a while, empty, under another id.
func (s *server) crash(h *http.Server) {
	s.mu.Lock()
	if s.http != h {
		s.mu.Unlock()
		return
	}
	s.http = nil
	id := s.id
	s.held = nil
	s.mu.Unlock()
	_ = h.Close()
	s.record.write("crash", "server %s (%s)", id, s.address)
	time.AfterFunc(3*heartbeat, func() { s.store.put("keyed.servers", id, nil) })
	time.AfterFunc(s.engine.back, func() {
		l := listen(s.address)
		s.serve(l)
		s.mu.Lock()
		id := s.id
		s.mu.Unlock()
		s.record.write("back", "server %s (%s)", id, s.address)
	})
}

func (s *server) handle(h *http.Server, w http.ResponseWriter, q *http.Request) {
	body, err := io.ReadAll(q.Body)
	if err != nil {
		return
	}
	s.mu.Lock()
	id, born, current := s.id, s.born, s.http == h
	s.mu.Unlock()
	if !current {
		return
	}
	if e := q.Header.Get("Expect-Instance"); e != "" && e != id {
		w.Header().Set("Request-Id", q.Header.Get("Request-Id"))
		w.Header().Set("Not-Executed", "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	switch q.URL.Path {
	case "/report":
		s.mu.Lock()
		answer := map[string]any{
			"serveStage": "unified", "models": heldModels(s.held), "busy": s.busy, "seq": s.accepted, "queued": 0, "running": 0, "kvUsed": 0,
			"kvTotal": 100000, "handleCount": 0, "born": born, "available": map[string]any{"inMemory": []string{}, "onDisk": s.disk},
		}
		s.mu.Unlock()
		_ = json.NewEncoder(w).Encode(answer)
	case "/order":
		s.order(h, w, body)
	default:
		s.run(h, w, q, body)
	}
}

// order carries out an order to load or unload a model.
func (s *server) order(h *http.Server, w http.ResponseWriter, body []byte) {
	var o struct {
		OpKind, ModelID string
		Precondition    *int
		FenceToken      float64
	}
	if json.Unmarshal(body, &o) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	held := slices.Contains(s.held, o.ModelID)
	switch {
	case o.FenceToken < s.fence:
		w.WriteHeader(http.StatusPreconditionFailed)
		return
	case s.busy || o.Precondition != nil && *o.Precondition != s.accepted:
		w.WriteHeader(http.StatusConflict)
		return
	case held == (o.OpKind == "load"):
		w.WriteHeader(http.StatusOK)
		return
	}
	s.fence = o.FenceToken
	s.accepted++
	w.WriteHeader(http.StatusAccepted)
	if o.OpKind != "load" {
		s.held = slices.DeleteFunc(s.held, func(m string) bool { return m == o.ModelID })
		go s.publish()
		return
	}
	s.busy = true
	loadTime := s.engine.store
	if slices.Contains(s.disk, o.ModelID) {
		loadTime = s.engine.disk
	}
	s.record.write("load", "server %s loads %s in %v", s.id, o.ModelID, loadTime)
	time.AfterFunc(loadTime, func() {
		s.mu.Lock()
		if s.http == h {
			s.busy = false
			s.held = append(s.held, o.ModelID)
			if !slices.Contains(s.disk, o.ModelID) {
				s.disk = append(s.disk, o.ModelID)
			}
		}
		s.mu.Unlock()
		s.publish()
	})
}

// run runs a request of a client.
func (s *server) run(h *http.Server, w http.ResponseWriter, q *http.Request, body []byte) {
	id, model := q.Header.Get("Request-Id"), q.Header.Get("Model")
	w.Header().Set("Request-Id", id)
	if s.engine == nil {
		w.Header().Set("Response-Stamp", "stamp-"+id)
		s.record.began(id)
		s.answer(w, q, body)
		return
	}
	s.mu.Lock()
	held := slices.Contains(s.held, model)
	s.mu.Unlock()
	if !held {
		w.Header().Set("Not-Executed", "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	w.Header().Set("Response-Stamp", "stamp-"+id)
	w.Header().Set("Content-Type", "text/event-stream")
	w.WriteHeader(http.StatusOK)
	flush := w.(http.Flusher).Flush
	crashDelay := s.engine.prefill
	if !s.engine.lateHead {
		flush()
	}
	if !s.engine.lateHead && !s.engine.oneEvent {
		crashDelay = headToCrash
	}
	if hasDeadlyPart(q.Header.Get("Prompt-Prefix")) {
		s.record.write("deadly", "%s reaches server %s", id, s.address)
		time.Sleep(crashDelay)
		s.record.began(id)
		if s.engine.oneEvent {
			from, _ := strconv.Atoi(q.Header.Get("Last-Event-Id"))
			_, _ = fmt.Fprintf(w, "id: %d\ndata: %s\n\n", from+1, id)
			flush()
			time.Sleep(headToCrash)
		}
		s.crash(h)
		return
	}
	from, _ := strconv.Atoi(q.Header.Get("Last-Event-Id"))
	wait := s.engine.prefill
	for i := from + 1; i <= s.engine.events; i++ {
		select {
		case <-time.After(wait):
		case <-q.Context().Done():
			return
		}
		wait = s.engine.gap
		if i == from+1 {
			s.record.began(id)
		}
		_, _ = fmt.Fprintf(w, "id: %d\ndata: %s-%d\n\n", i, id, i)
		flush()
	}
}

// deadlyPart is the part of a prompt that crashes each server that begins to write an answer on it.
const deadlyPart = "dead01"

// hasDeadlyPart reports whether one of the parts but the last is the deadly one.
func hasDeadlyPart(prefix string) bool {
	parts := strings.Split(prefix, ",")
	return slices.ContainsFunc(parts[:len(parts)-1], func(p string) bool { return strings.HasPrefix(p, deadlyPart+":") })
}
