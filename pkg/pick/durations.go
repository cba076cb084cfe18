package pick

import "time"

// durationWeight is the weight of one response in the mean. A host of a large deployment sees about one response a second.
const durationWeight = 0.1

// Durations learns how long the responses of services with models take, so that a request is not kept waiting for a model when
// its response could not be complete before the deadline. It is not safe for concurrent use.
type Durations struct {
	perToken map[string]float64 // seconds by service
}

// NewDurations returns Durations without observations.
func NewDurations() *Durations { return &Durations{make(map[string]float64)} }

// Record records a complete response to a request that allowed the given number of tokens, and the time from its first event to its
// end.
func (d *Durations) Record(service string, tokens int, took time.Duration) {
	if tokens <= 0 {
		return
	}
	x := took.Seconds() / float64(tokens)
	mean, ok := d.perToken[service]
	if !ok {
		d.perToken[service] = x
		return
	}
	d.perToken[service] = mean + durationWeight*(x-mean)
}

// Expected returns the mean time from the first event to the end of a response to a request that allows the given number of tokens.
// It is zero for a service without observations. Responses may be shorter than a request allows, which the mean reflects.
func (d *Durations) Expected(service string, tokens int) time.Duration {
	return time.Duration(d.perToken[service] * float64(tokens) * float64(time.Second))
}
