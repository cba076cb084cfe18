//go:build review2

package main

import (
	"encoding/base64"
	"encoding/binary"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// storeDelay is the time that an answer of the store takes.
const storeDelay = 4 * time.Millisecond

type (
	// store is a stand-in of the platform's metadata store, without expiry of records.
	store struct {
		listener net.Listener
		mu       sync.Mutex
		topics   map[string]*topic
	}

	topic struct {
		records [][]byte
		newest  map[string]int // offset of the newest record of each key
	}
)

func newStore() *store {
	s := &store{listener: listen(), topics: make(map[string]*topic)}
	go func() { _ = http.Serve(s.listener, s) }()
	return s
}

func (s *store) address() string { return s.listener.Addr().String() }

func (s *store) topic(name string) *topic {
	x, ok := s.topics[name]
	if !ok {
		x = &topic{newest: make(map[string]int)}
		s.topics[name] = x
	}
	return x
}

// put appends a record as the operator or a server does. A nil value deletes the key.
func (s *store) put(name, key string, value any) {
	var data []byte
	if value != nil {
		data, _ = json.Marshal(value)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.topic(name).add(append(append([]byte{byte(len(key))}, key...), data...))
}

func (x *topic) add(content []byte) {
	n := int(content[0])
	key := string(content[1 : 1+n])
	x.newest[key] = len(x.records)
	if len(content) == 1+n {
		delete(x.newest, key)
	}
	x.records = append(x.records, content)
}

// ServeHTTP implements http.Handler.
func (s *store) ServeHTTP(w http.ResponseWriter, q *http.Request) {
	body, err := io.ReadAll(q.Body)
	if err != nil {
		return
	}
	time.Sleep(storeDelay)
	w.Header().Set("Store-Era", "1")
	query := q.URL.Query()
	switch q.URL.Path {
	case "/log-append":
		s.append(w, query.Get("topic"), query.Get("at"), body)
	case "/log-read":
		s.read(w, q, query.Get("topic"), query.Get("fromRev"), query.Get("waitMs"))
	case "/log-newest":
		s.listNewest(w, query.Get("topic"))
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

func (s *store) append(w http.ResponseWriter, name, at string, body []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	x := s.topic(name)
	offset := len(x.records)
	if at != "" && at != strconv.Itoa(offset) {
		w.WriteHeader(http.StatusPreconditionFailed)
		writeJSON(w, map[string]int{"endOffset": offset})
		return
	}
	for len(body) >= 4 {
		n := int(binary.BigEndian.Uint32(body))
		x.add(body[4 : 4+n])
		body = body[4+n:]
	}
	writeJSON(w, map[string]int{"offset": offset, "endOffset": len(x.records)})
}

func (s *store) read(w http.ResponseWriter, q *http.Request, name, fromRev, waitMS string) {
	from, _ := strconv.Atoi(fromRev)
	wait, _ := strconv.Atoi(waitMS)
	s.mu.Lock()
	defer s.mu.Unlock()
	x := s.topic(name)
	for until := time.Now().Add(time.Duration(wait) * time.Millisecond); from >= len(x.records) && time.Now().Before(until) && q.Context().Err() == nil; {
		s.mu.Unlock()
		time.Sleep(5 * time.Millisecond)
		s.mu.Lock()
	}
	if from > len(x.records) {
		w.WriteHeader(http.StatusGone)
		writeJSON(w, map[string]int{"firstOffset": 0})
		return
	}
	out := binary.BigEndian.AppendUint64(nil, uint64(len(x.records)))
	out = binary.BigEndian.AppendUint64(out, 0)
	for _, r := range x.records[from:] {
		out = append(binary.BigEndian.AppendUint32(out, uint32(len(r))), r...)
	}
	_, _ = w.Write(out)
}

func (s *store) listNewest(w http.ResponseWriter, name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	x := s.topic(name)
	items := []map[string]any{}
	for key, i := range x.newest {
		items = append(items, map[string]any{
			"key": key, "offset": i, "value": base64.StdEncoding.EncodeToString(x.records[i][1+len(key):]),
		})
	}
	writeJSON(w, map[string]any{"items": items, "hasMore": false, "endOffset": len(x.records)})
}

func writeJSON(w io.Writer, value any) { _ = json.NewEncoder(w).Encode(value) }
