package logs

import (
	"context"
	"encoding/json"
	"errors"
	"sync"
	"time"

	"github.com/fireflycleat/fireflycleat/internal/stand"
	"github.com/fireflycleat/fireflycleat/internal/wire"
)

// HeaderClient names the client of a request, for faults that cut off single clients.
const HeaderClient = "X-Client"

// The kinds of outage.
const (
	OutageNone   Outage = ""
	OutageRefuse Outage = "refuse" // OutageRefuse answers every request with 503.
	OutageHang   Outage = "hang"   // OutageHang answers nothing until the outage ends.
)

type (
	// Outage is the way in which the service is down.
	Outage string

	// Settings are the fixed properties of the service; a limit of zero means no limit.
	Settings struct {
		KeepRecords      int // KeepRecords is the number of records kept in each stream.
		KeepFor          time.Duration
		AppendsPerSecond float64 // AppendsPerSecond limits the appends to all streams together.
	}

	// Faults are the faults of the service.
	Faults struct {
		Outage      Outage `json:"outage,omitempty"`
		DelayMillis int64  `json:"delayMillis,omitempty"`
		// LostAnswers applies appends and closes the connection without an answer.
		LostAnswers stand.Loss `json:"lostAnswers"`
		// Cut lists the clients, by X-Client header, whose connections are closed.
		Cut []string `json:"cut,omitempty"`
	}

	// Service is a log service.
	Service struct {
		set     Settings
		faults  *stand.Faults[Faults]
		ctx     context.Context // ctx ends when the service is closed.
		stop    context.CancelFunc
		mu      sync.Mutex
		bucket  *stand.Bucket
		streams map[string]*stream
	}

	stream struct {
		first   int64
		records []wire.LogRecord
		changed chan struct{} // changed is closed at the next append.
	}
)

// New returns an empty log service.
func New(set Settings) *Service {
	ctx, stop := context.WithCancel(context.Background())
	return &Service{
		set:    set,
		faults: stand.NewFaults(Faults.check),
		ctx:    ctx, stop: stop,
		bucket:  stand.NewBucket(set.AppendsPerSecond, set.AppendsPerSecond/10),
		streams: make(map[string]*stream),
	}
}

// Close ends all waiting requests.
func (s *Service) Close() { s.stop() }

// SetFaults replaces the faults.
func (s *Service) SetFaults(f Faults) error { return s.faults.Set(f) }

// Append adds a record to a stream and returns its offset, past all limits and faults.
func (s *Service) Append(name string, data json.RawMessage) int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.append(name, data)
}

func (f Faults) check() error {
	switch {
	case f.Outage != OutageNone && f.Outage != OutageRefuse && f.Outage != OutageHang:
		return errors.New("outage is not one of refuse and hang")
	case f.DelayMillis < 0:
		return errors.New("delayMillis is negative")
	}
	return f.LostAnswers.Check()
}

func (s *Service) append(name string, data json.RawMessage) int64 {
	st := s.stream(name)
	r := wire.LogRecord{Offset: st.end(), At: time.Now(), Data: data}
	st.records = append(st.records, r)
	close(st.changed)
	st.changed = make(chan struct{})
	return r.Offset
}

func (s *Service) stream(name string) *stream {
	st, ok := s.streams[name]
	if !ok {
		st = &stream{first: 1, changed: make(chan struct{})}
		s.streams[name] = st
	}
	return st
}

// read returns the records from the offset, and a channel that is closed at the next append.
func (s *Service) read(name string, from, limit int64) (wire.ReadResponse, <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	st := s.stream(name)
	st.expire(s.set, time.Now())
	a := wire.ReadResponse{First: st.first, End: st.end(), Records: []wire.LogRecord{}}
	if from >= st.first && from < a.End {
		last := min(a.End, from+limit)
		// The slice is shared; records are never changed after they were appended.
		a.Records = st.records[from-st.first : last-st.first : last-st.first]
	}
	return a, st.changed
}

func (st *stream) end() int64 { return st.first + int64(len(st.records)) }

func (st *stream) expire(set Settings, now time.Time) {
	n := 0
	if set.KeepRecords > 0 {
		n = max(0, len(st.records)-set.KeepRecords)
	}
	for set.KeepFor > 0 && n < len(st.records) && now.Sub(st.records[n].At) > set.KeepFor {
		n++
	}
	st.first += int64(n)
	st.records = st.records[n:]
}
