//go:build review

package main

import (
	"encoding/base64"
	"encoding/binary"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"
)

// pollInterval is how often a waiting read of the store looks for new records.
const pollInterval = 5 * time.Millisecond

type (
	// store is a stand-in for the platform's metadata store.
	store struct {
		address string
		mu      sync.Mutex
		topics  map[string]*topic
	}

	topic struct {
		records [][]byte
		newest  map[string]int
	}
)

func newStore() *store {
	l := listen("127.0.0.1:0")
	s := &store{address: l.Addr().String(), topics: make(map[string]*topic)}
	go func() { _ = (&http.Server{Handler: s, ReadHeaderTimeout: time.Minute}).Serve(l) }()
	return s
}

func listen(address string) net.Listener {
	l, err := net.Listen("tcp", address)
	if err != nil {
		fail("listen: %v", err)
	}
	return l
}

func (s *store) topic(name string) *topic {
	t, ok := s.topics[name]
	if !ok {
		t = &topic{newest: make(map[string]int)}
		s.topics[name] = t
	}
	return t
}

func (t *topic) add(content []byte) {
	n := 1 + int(content[0])
	key := string(content[1:n])
	t.newest[key] = len(t.records)
	if len(content) == n {
		delete(t.newest, key)
	}
	t.records = append(t.records, content)
}

// put appends a record as the operator or a server does; a nil value removes the key.
func (s *store) put(name, key string, value any) {
	content := append([]byte{byte(len(key))}, key...)
	if value != nil {
		data, err := json.Marshal(value)
		if err != nil {
			fail("record: %v", err)
		}
		content = append(content, data...)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.topic(name).add(content)
}

// ServeHTTP implements http.Handler.
func (s *store) ServeHTTP(w http.ResponseWriter, q *http.Request) {
	body, err := io.ReadAll(q.Body)
	if err != nil {
		return
	}
	w.Header().Set("Store-Era", "0")
	v := q.URL.Query()
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.topic(v.Get("topic"))
	switch q.URL.Path {
	case "/log-append":
		end := len(t.records)
		if at := v.Get("at"); at != "" && at != strconv.Itoa(end) {
			w.WriteHeader(http.StatusPreconditionFailed)
			_ = json.NewEncoder(w).Encode(map[string]int{"endOffset": end})
			return
		}
		for len(body) >= 4 {
			n := int(binary.BigEndian.Uint32(body))
			t.add(slices.Clone(body[4 : 4+n]))
			body = body[4+n:]
		}
		_ = json.NewEncoder(w).Encode(map[string]int{"offset": end, "endOffset": len(t.records)})
	case "/log-read":
		s.read(w, v.Get("fromRev"), v.Get("waitMs"), t)
	case "/log-newest":
		items := []map[string]any{}
		for key, i := range t.newest {
			items = append(items, map[string]any{"key": key, "offset": i, "value": base64.StdEncoding.EncodeToString(t.records[i][1+len(key):])})
		}
		_ = json.NewEncoder(w).Encode(map[string]any{"items": items, "hasMore": false, "endOffset": len(t.records)})
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

// read answers a read with the records from the offset on, and waits for one. It is called with the lock held.
func (s *store) read(w http.ResponseWriter, fromText, waitText string, t *topic) {
	from, _ := strconv.Atoi(fromText)
	wait, _ := strconv.Atoi(waitText)
	for until := time.Now().Add(time.Duration(wait) * time.Millisecond); from >= len(t.records) && time.Now().Before(until); {
		s.mu.Unlock()
		time.Sleep(pollInterval)
		s.mu.Lock()
	}
	if from > len(t.records) {
		w.WriteHeader(http.StatusGone)
		return
	}
	out := binary.BigEndian.AppendUint64(nil, uint64(len(t.records)))
	out = binary.BigEndian.AppendUint64(out, 0)
	for _, r := range t.records[from:] {
		out = append(binary.BigEndian.AppendUint32(out, uint32(len(r))), r...)
	}
	_, _ = w.Write(out)
}
