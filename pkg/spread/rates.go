package spread

import (
	"math"
	"time"
)

const (
	// rateMemory is the time after which samples count for 1/e.
	rateMemory = 10 * time.Second
	// priorRequests is the weight of the mean of the service in the estimate for an upstream, in requests.
	priorRequests = 6
	// maxSpeed limits the estimates, also from below by its inverse.
	maxSpeed = 4
)

type (
	// Rates learns at which rate requests end at each upstream, from the requests in flight and those served by all hosts together. It is
	// not safe for concurrent use.
	Rates struct {
		upstreams map[string]*sample
		updatedAt time.Time
	}

	sample struct {
		served  float64
		running float64 // integral of the requests in flight over time, in seconds
	}
)

// NewRates returns Rates without samples.
func NewRates() *Rates { return &Rates{upstreams: make(map[string]*sample)} }

// Served records requests that an upstream served.
func (r *Rates) Served(upstream string, n int) { r.sample(upstream).served += float64(n) }

// Update records the requests in flight since the last update.
func (r *Rates) Update(now time.Time, running map[string]int) {
	passed := min(max(now.Sub(r.updatedAt), 0), rateMemory)
	if r.updatedAt.IsZero() {
		passed = 0
	}
	r.updatedAt = now
	kept := math.Exp(-passed.Seconds() / rateMemory.Seconds())
	for _, s := range r.upstreams {
		s.served *= kept
		s.running *= kept
	}
	for id, n := range running {
		r.sample(id).running += float64(n) * passed.Seconds()
	}
}

// Forget drops the samples of an upstream.
func (r *Rates) Forget(upstream string) { delete(r.upstreams, upstream) }

// Speeds returns the rates of the upstreams, which should be of one service, relative to their mean. An upstream with few samples has
// nearly the mean.
func (r *Rates) Speeds(upstreams []string) []float64 {
	var total sample
	for _, id := range upstreams {
		if s, ok := r.upstreams[id]; ok {
			total.served += s.served
			total.running += s.running
		}
	}
	speeds := make([]float64, len(upstreams))
	for i, id := range upstreams {
		speeds[i] = 1
		if s, ok := r.upstreams[id]; ok && total.served > 0 && total.running > 0 {
			expected := s.running * total.served / total.running
			speeds[i] = min(max((s.served+priorRequests)/(expected+priorRequests), 1.0/maxSpeed), maxSpeed)
		}
	}
	return speeds
}

func (r *Rates) sample(upstream string) *sample {
	s, ok := r.upstreams[upstream]
	if !ok {
		s = new(sample)
		r.upstreams[upstream] = s
	}
	return s
}
