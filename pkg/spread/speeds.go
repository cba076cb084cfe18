package spread

const (
	priorSamples = 3   // weight of the mean of the service in the estimate for an upstream, in samples
	maxSamples   = 30  // Older samples count less, because speeds change.
	maxRatio     = 4.0 // limit of a single sample, relative to the mean of the service
	meanWeight   = 0.05
)

type (
	// Speeds learns the speeds of the upstreams of a service from the run times of their requests. It is not safe for concurrent use.
	Speeds struct {
		mean      float64 // of run times per unit of work, in seconds; zero means unknown
		upstreams map[string]*samples
	}

	samples struct{ count, sum float64 }
)

// NewSpeeds returns Speeds without samples.
func NewSpeeds() *Speeds { return &Speeds{upstreams: make(map[string]*samples)} }

// Record records that a request ran for the given time, without the time in a queue; work is its size in any unit.
func (s *Speeds) Record(upstream string, seconds, work float64) {
	if seconds <= 0 || work <= 0 {
		return
	}
	x := seconds / work
	if s.mean == 0 {
		s.mean = x
	}
	ratio := min(max(x/s.mean, 1/maxRatio), maxRatio)
	s.mean *= 1 + meanWeight*(ratio-1)
	u, ok := s.upstreams[upstream]
	if !ok {
		u = new(samples)
		s.upstreams[upstream] = u
	}
	if u.count >= maxSamples {
		u.sum *= (maxSamples - 1) / u.count
		u.count = maxSamples - 1
	}
	u.count++
	u.sum += ratio
}

// Forget drops the samples of an upstream.
func (s *Speeds) Forget(upstream string) { delete(s.upstreams, upstream) }

// Of returns the speed of an upstream relative to the mean of the service, which is also the estimate before the first samples.
func (s *Speeds) Of(upstream string) float64 {
	u, ok := s.upstreams[upstream]
	if !ok {
		return 1
	}
	return (priorSamples + u.count) / (priorSamples + u.sum)
}
