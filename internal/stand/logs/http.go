package logs

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"slices"
	"time"

	"github.com/fireflycleat/fireflycleat/internal/stand"
	"github.com/fireflycleat/fireflycleat/internal/wire"
)

const (
	maxRecordBytes = 1 << 20
	defaultLimit   = 1000
	maxLimit       = 10000
)

// Handler returns the HTTP interface of the service.
func (s *Service) Handler() http.Handler {
	m := http.NewServeMux()
	s.faults.Register(m)
	m.HandleFunc("POST /v1/streams/{stream}/records", s.gate(s.postRecord))
	m.HandleFunc("GET /v1/streams/{stream}/records", s.gate(s.getRecords))
	return stand.ReadBodies(m)
}

// gate applies the faults that strike before a request is read.
func (s *Service) gate(h http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		ctx, cancel := context.WithCancel(r.Context())
		defer cancel()
		defer context.AfterFunc(s.ctx, cancel)()
		s.pass(ctx, w, r, func() { h(w, r.WithContext(ctx)) })
	}
}

func (s *Service) pass(ctx context.Context, w http.ResponseWriter, r *http.Request, next func()) {
	hung := func(f Faults) bool { return f.Outage == OutageHang }
	if !stand.Sleep(ctx, stand.Millis(s.faults.Get().DelayMillis)) || !s.faults.Hold(ctx, hung) {
		stand.Drop()
	}
	f := s.faults.Get()
	if slices.Contains(f.Cut, r.Header.Get(HeaderClient)) {
		stand.Drop()
	}
	if f.Outage == OutageRefuse {
		stand.Fail(w, http.StatusServiceUnavailable, "log service is down")
		return
	}
	next()
}

func (s *Service) postRecord(w http.ResponseWriter, r *http.Request) {
	data, err := io.ReadAll(r.Body)
	switch {
	case err != nil:
		stand.Drop()
	case len(data) > maxRecordBytes:
		stand.Fail(w, http.StatusRequestEntityTooLarge, "record is too large")
		return
	case !json.Valid(data):
		stand.Fail(w, http.StatusBadRequest, "record is not a JSON document")
		return
	}
	offset, wait, ok := s.limited(r.PathValue("stream"), data)
	if !ok {
		stand.RetryAfter(w, wait)
		stand.Fail(w, http.StatusTooManyRequests, "append rate limit is reached")
		return
	}
	if s.faults.Spend(func(f *Faults) bool { return f.LostAnswers.Hit() }) {
		stand.Drop()
	}
	stand.Reply(w, http.StatusOK, wire.AppendResponse{Offset: offset})
}

func (s *Service) limited(name string, data json.RawMessage) (int64, time.Duration, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if ok, wait := s.bucket.Take(time.Now()); !ok {
		return 0, wait, false
	}
	return s.append(name, data), 0, true
}

func (s *Service) getRecords(w http.ResponseWriter, r *http.Request) {
	from, err1 := stand.QueryInt(r, "from", 1)
	limit, err2 := stand.QueryInt(r, "limit", defaultLimit)
	wait, err3 := stand.QueryInt(r, "waitMillis", 0)
	for _, err := range []error{err1, err2, err3} {
		if err != nil {
			stand.Fail(w, http.StatusBadRequest, err.Error())
			return
		}
	}
	t := time.NewTimer(stand.Millis(wait))
	defer t.Stop()
	for {
		f, faults := s.faults.Watch()
		if f.Outage != OutageNone || slices.Contains(f.Cut, r.Header.Get(HeaderClient)) {
			// An outage that begins during a long poll breaks the connection.
			stand.Drop()
		}
		a, appended := s.read(r.PathValue("stream"), from, min(limit, maxLimit))
		if from < a.First {
			stand.Reply(w, http.StatusGone, a)
			return
		}
		if len(a.Records) > 0 || wait == 0 {
			stand.Reply(w, http.StatusOK, a)
			return
		}
		select {
		case <-appended:
		case <-faults:
		case <-t.C:
			wait = 0
		case <-r.Context().Done():
			stand.Drop()
		}
	}
}
