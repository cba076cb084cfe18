package stand

import "time"

// Bucket is a token bucket; its user serializes the calls.
type Bucket struct {
	rate   float64 // rate is in tokens a second; zero or less means no limit.
	burst  float64
	tokens float64
	at     time.Time
}

// NewBucket returns a full bucket with the rate in tokens a second; a rate of zero means no limit.
func NewBucket(rate, burst float64) *Bucket {
	return &Bucket{rate: rate, burst: max(burst, 1), tokens: max(burst, 1), at: time.Now()}
}

// Take takes a token if there is one, and otherwise returns the time until there will be one.
func (b *Bucket) Take(now time.Time) (bool, time.Duration) {
	if b.rate <= 0 {
		return true, 0
	}
	b.fill(now)
	if b.tokens >= 1 {
		b.tokens--
		return true, 0
	}
	return false, b.due(1 - b.tokens)
}

// Reserve takes a token even if there is none yet, and returns the time until it is due.
func (b *Bucket) Reserve(now time.Time) time.Duration {
	if b.rate <= 0 {
		return 0
	}
	b.fill(now)
	b.tokens--
	return b.due(max(0, -b.tokens))
}

func (b *Bucket) fill(now time.Time) {
	b.tokens = min(b.burst, b.tokens+now.Sub(b.at).Seconds()*b.rate)
	b.at = now
}

func (b *Bucket) due(tokens float64) time.Duration {
	return time.Duration(tokens / b.rate * float64(time.Second))
}
