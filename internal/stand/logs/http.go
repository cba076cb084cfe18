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
	m.HandleFunc("POST /v1/streams/{stream}/records", s.withFaults(s.postRecord))
	m.HandleFunc("GET /v1/streams/{stream}/records", s.withFaults(s.getRecords))
	return stand.BufferBodies(m)
}

// withFaults returns a handler that applies the injected faults before it calls h, and ends requests when the service is closed.
func (s *Service) withFaults(h http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		ctx, cancel := context.WithCancel(r.Context())
		defer cancel()
		defer context.AfterFunc(s.ctx, cancel)()
		s.applyFaults(ctx, w, r, func() { h(w, r.WithContext(ctx)) })
	}
}

func (s *Service) applyFaults(ctx context.Context, w http.ResponseWriter, r *http.Request, next func()) {
	hung := func(f Faults) bool { return f.Outage == OutageHang }
	if !stand.Sleep(ctx, stand.Milliseconds(s.faults.Get().DelayMillis)) || !s.faults.WaitWhile(ctx, hung) {
		stand.AbortConnection()
	}
	f := s.faults.Get()
	if slices.Contains(f.CutClients, r.Header.Get(HeaderClient)) {
		stand.AbortConnection()
	}
	if f.Outage == OutageRefuse {
		stand.WriteProblem(w, http.StatusServiceUnavailable, "log service is unavailable")
		return
	}
	next()
}

func (s *Service) postRecord(w http.ResponseWriter, r *http.Request) {
	data, err := io.ReadAll(r.Body)
	switch {
	case err != nil:
		stand.AbortConnection()
	case len(data) > maxRecordBytes:
		stand.WriteProblem(w, http.StatusRequestEntityTooLarge, "record is too large")
		return
	case !json.Valid(data):
		stand.WriteProblem(w, http.StatusBadRequest, "record is not a JSON document")
		return
	}
	offset, wait, ok := s.appendRateLimited(r.PathValue("stream"), data)
	if !ok {
		stand.SetRetryAfter(w, wait)
		stand.WriteProblem(w, http.StatusTooManyRequests, "append rate limit exceeded")
		return
	}
	if s.faults.Update(func(f *Faults) bool { return f.LostAnswers.Fire() }) {
		stand.AbortConnection()
	}
	stand.WriteJSON(w, http.StatusOK, wire.AppendResponse{Offset: offset})
}

// appendRateLimited appends a record if the rate limit allows it, and otherwise returns the time until it does.
func (s *Service) appendRateLimited(name string, data json.RawMessage) (int64, time.Duration, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if ok, wait := s.bucket.Take(time.Now()); !ok {
		return 0, wait, false
	}
	return s.append(name, data), 0, true
}

func (s *Service) getRecords(w http.ResponseWriter, r *http.Request) {
	from, fromErr := stand.QueryInt(r, "from", 1)
	limit, limitErr := stand.QueryInt(r, "limit", defaultLimit)
	wait, waitErr := stand.QueryInt(r, "waitMillis", 0)
	for _, err := range []error{fromErr, limitErr, waitErr} {
		if err != nil {
			stand.WriteProblem(w, http.StatusBadRequest, err.Error())
			return
		}
	}
	t := time.NewTimer(stand.Milliseconds(wait))
	defer t.Stop()
	for {
		f, replaced := s.faults.Watch()
		if f.Outage != OutageNone || slices.Contains(f.CutClients, r.Header.Get(HeaderClient)) {
			// An outage that starts during a long poll breaks the connection.
			stand.AbortConnection()
		}
		a, appended := s.read(r.PathValue("stream"), from, min(limit, maxLimit))
		if from < a.First {
			stand.WriteJSON(w, http.StatusGone, a)
			return
		}
		if len(a.Records) > 0 || wait == 0 {
			stand.WriteJSON(w, http.StatusOK, a)
			return
		}
		select {
		case <-appended:
		case <-replaced:
		case <-t.C:
			wait = 0
		case <-r.Context().Done():
			stand.AbortConnection()
		}
	}
}
