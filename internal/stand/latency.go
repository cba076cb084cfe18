package stand

import (
	"net/http"
	"time"
)

type (
	// delayedWriter is an http.ResponseWriter that sends each write after the one-way latency, in order and without slowing the handler.
	delayedWriter struct {
		header      http.Header
		oneWay      time.Duration
		wroteHeader bool
		pending     chan writeStep
	}

	// writeStep is one step of a response: the status with its header, a part of the body, or a flush.
	writeStep struct {
		due    time.Time
		status int
		header http.Header
		body   []byte
		flush  bool
	}
)

// maxPendingSteps limits the steps of a response that wait to be sent; at the limit the handler blocks.
const maxPendingSteps = 1024

// Latency returns a handler that delays each request, and each part of its response, by the one-way latency.
func Latency(oneWay time.Duration, h http.Handler) http.Handler {
	if oneWay <= 0 {
		return h
	}
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if !Sleep(r.Context(), oneWay) {
			AbortConnection()
		}
		d := &delayedWriter{header: make(http.Header), oneWay: oneWay, pending: make(chan writeStep, maxPendingSteps)}
		done := make(chan struct{})
		go func() {
			defer close(done)
			for s := range d.pending {
				time.Sleep(time.Until(s.due))
				s.applyTo(w)
			}
		}()
		// A handler that aborts the connection panics; what it wrote before must still be sent.
		defer func() {
			close(d.pending)
			<-done
		}()
		h.ServeHTTP(d, r)
		if !d.wroteHeader {
			d.WriteHeader(http.StatusOK)
		}
	})
}

// Header returns the header of the response.
func (d *delayedWriter) Header() http.Header { return d.header }

// WriteHeader queues the status and the header.
func (d *delayedWriter) WriteHeader(status int) {
	if d.wroteHeader {
		return
	}
	d.wroteHeader = true
	d.pending <- writeStep{due: time.Now().Add(d.oneWay), status: status, header: d.header.Clone()}
}

// Write queues a part of the body.
func (d *delayedWriter) Write(b []byte) (int, error) {
	d.WriteHeader(http.StatusOK)
	d.pending <- writeStep{due: time.Now().Add(d.oneWay), body: append([]byte(nil), b...)}
	return len(b), nil
}

// Flush queues a flush of the parts written so far.
func (d *delayedWriter) Flush() {
	d.WriteHeader(http.StatusOK)
	d.pending <- writeStep{due: time.Now().Add(d.oneWay), flush: true}
}

func (s writeStep) applyTo(w http.ResponseWriter) {
	switch {
	case s.status != 0:
		for k, v := range s.header {
			w.Header()[k] = v
		}
		w.WriteHeader(s.status)
	case s.flush:
		_ = http.NewResponseController(w).Flush() // A flush fails only if the connection is closed, which cancels the request's context.
	default:
		_, _ = w.Write(s.body) // A write fails only if the connection is closed, which cancels the request's context.
	}
}
