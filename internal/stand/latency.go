package stand

import (
	"net/http"
	"time"
)

type (
	// delayed sends what a handler writes after the latency, in order and without slowing the handler.
	delayed struct {
		header http.Header
		oneWay time.Duration
		wrote  bool
		out    chan piece
	}

	// piece is one step of an answer: a status with its header, some body, or a flush.
	piece struct {
		due    time.Time
		status int
		header http.Header
		body   []byte
		flush  bool
	}
)

// pieces is the number of steps of an answer that may be under way.
const pieces = 1024

// Latency returns a handler that delays each request and each part of its answer by the one-way latency.
func Latency(oneWay time.Duration, h http.Handler) http.Handler {
	if oneWay <= 0 {
		return h
	}
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if !Sleep(r.Context(), oneWay) {
			Drop()
		}
		d := &delayed{header: make(http.Header), oneWay: oneWay, out: make(chan piece, pieces)}
		done := make(chan struct{})
		go func() {
			defer close(done)
			for p := range d.out {
				time.Sleep(time.Until(p.due))
				p.send(w)
			}
		}()
		// A handler that drops the connection panics; what it wrote before still arrives.
		defer func() {
			close(d.out)
			<-done
		}()
		h.ServeHTTP(d, r)
		if !d.wrote {
			d.WriteHeader(http.StatusOK)
		}
	})
}

// Header returns the header of the answer.
func (d *delayed) Header() http.Header { return d.header }

// WriteHeader sends the status and the header.
func (d *delayed) WriteHeader(status int) {
	if d.wrote {
		return
	}
	d.wrote = true
	d.out <- piece{due: time.Now().Add(d.oneWay), status: status, header: d.header.Clone()}
}

// Write sends a part of the body.
func (d *delayed) Write(b []byte) (int, error) {
	d.WriteHeader(http.StatusOK)
	d.out <- piece{due: time.Now().Add(d.oneWay), body: append([]byte(nil), b...)}
	return len(b), nil
}

// Flush sends what was written so far.
func (d *delayed) Flush() {
	d.WriteHeader(http.StatusOK)
	d.out <- piece{due: time.Now().Add(d.oneWay), flush: true}
}

func (p piece) send(w http.ResponseWriter) {
	switch {
	case p.status != 0:
		for k, v := range p.header {
			w.Header()[k] = v
		}
		w.WriteHeader(p.status)
	case p.flush:
		_ = http.NewResponseController(w).Flush() // A failed flush shows as a closed connection.
	default:
		_, _ = w.Write(p.body) // The client may have left; the handler's context tells it.
	}
}
