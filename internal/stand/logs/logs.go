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

// HeaderClient is the header that identifies the client, for faults that cut off single clients.
const HeaderClient = "X-Client"

// The kinds of outages.
const (
	OutageNone   Outage = ""
	OutageRefuse Outage = "refuse" // rejects every request with status 503
	OutageHang   Outage = "hang"   // blocks every request until the outage ends
)

type (
	// Outage is the way in which the service is unavailable.
	Outage string

	// Settings are the fixed properties of a log service; a limit of zero means no limit.
	Settings struct {
		KeepRecords      int // number of records kept in each stream
		KeepFor          time.Duration
		AppendsPerSecond float64 // limit for the appends to all streams together
	}

	// Faults is the fault document of a log service.
	Faults struct {
		Outage      Outage             `json:"outage,omitempty"`
		DelayMillis int64              `json:"delayMillis,omitempty"`
		LostAnswers stand.FaultTrigger `json:"lostAnswers"`   // appends the record and closes the connection without a response
		CutClients  []string           `json:"cut,omitempty"` // clients, by X-Client header, whose connections are closed
	}

	// Service is an in-memory log service.
	Service struct {
		settings Settings
		faults   *stand.Faults[Faults]
		ctx      context.Context // ends when the service is closed
		cancel   context.CancelFunc
		mu       sync.Mutex
		bucket   *stand.TokenBucket
		streams  map[string]*stream
	}

	stream struct {
		first    int64
		records  []wire.LogRecord
		appended chan struct{} // closed at the next append
	}
)

// New returns an empty log service.
func New(settings Settings) *Service {
	ctx, cancel := context.WithCancel(context.Background())
	return &Service{
		settings: settings,
		faults:   stand.NewFaults(Faults.validate),
		ctx:      ctx, cancel: cancel,
		bucket:  stand.NewTokenBucket(settings.AppendsPerSecond, settings.AppendsPerSecond/10),
		streams: make(map[string]*stream),
	}
}

// Close ends all blocked requests.
func (s *Service) Close() { s.cancel() }

// SetFaults replaces the fault document.
func (s *Service) SetFaults(f Faults) error { return s.faults.Set(f) }

// Append adds a record to a stream and returns its offset; limits and faults do not apply.
func (s *Service) Append(name string, data json.RawMessage) int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.append(name, data)
}

func (f Faults) validate() error {
	switch {
	case f.Outage != OutageNone && f.Outage != OutageRefuse && f.Outage != OutageHang:
		return errors.New("outage must be empty, refuse or hang")
	case f.DelayMillis < 0:
		return errors.New("delayMillis must not be negative")
	}
	return f.LostAnswers.Validate()
}

func (s *Service) append(name string, data json.RawMessage) int64 {
	st := s.stream(name)
	r := wire.LogRecord{Offset: st.end(), At: time.Now(), Data: data}
	st.records = append(st.records, r)
	close(st.appended)
	st.appended = make(chan struct{})
	return r.Offset
}

func (s *Service) stream(name string) *stream {
	st, ok := s.streams[name]
	if !ok {
		st = &stream{first: 1, appended: make(chan struct{})}
		s.streams[name] = st
	}
	return st
}

// read returns at most limit records, starting at the offset, and a channel that is closed at the next append.
func (s *Service) read(name string, from, limit int64) (wire.ReadResponse, <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	st := s.stream(name)
	st.expire(s.settings, time.Now())
	a := wire.ReadResponse{First: st.first, End: st.end(), Records: []wire.LogRecord{}}
	if from >= st.first && from < a.End {
		last := min(a.End, from+limit)
		// The slice is shared with readers; records do not change after they are appended.
		a.Records = st.records[from-st.first : last-st.first : last-st.first]
	}
	return a, st.appended
}

func (st *stream) end() int64 { return st.first + int64(len(st.records)) }

func (st *stream) expire(settings Settings, now time.Time) {
	n := 0
	if settings.KeepRecords > 0 {
		n = max(0, len(st.records)-settings.KeepRecords)
	}
	for settings.KeepFor > 0 && n < len(st.records) && now.Sub(st.records[n].At) > settings.KeepFor {
		n++
	}
	st.first += int64(n)
	st.records = st.records[n:]
}
