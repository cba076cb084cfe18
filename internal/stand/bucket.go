package stand

import "time"

// TokenBucket is a token bucket for rate limits. It is not safe for concurrent use.
type TokenBucket struct {
	rate       float64 // tokens per second; zero or less means no limit
	burst      float64
	tokens     float64
	refilledAt time.Time
}

// NewTokenBucket returns a full bucket that refills at rate tokens per second; a rate of zero means no limit.
func NewTokenBucket(rate, burst float64) *TokenBucket {
	return &TokenBucket{rate: rate, burst: max(burst, 1), tokens: max(burst, 1), refilledAt: time.Now()}
}

// Take takes a token if one is available, and otherwise returns the time until the next one.
func (b *TokenBucket) Take(now time.Time) (bool, time.Duration) {
	if b.rate <= 0 {
		return true, 0
	}
	b.refill(now)
	if b.tokens >= 1 {
		b.tokens--
		return true, 0
	}
	return false, b.timeFor(1 - b.tokens)
}

// Reserve takes a token even if none is available yet, and returns the time until it is.
func (b *TokenBucket) Reserve(now time.Time) time.Duration {
	if b.rate <= 0 {
		return 0
	}
	b.refill(now)
	b.tokens--
	return b.timeFor(max(0, -b.tokens))
}

func (b *TokenBucket) refill(now time.Time) {
	b.tokens = min(b.burst, b.tokens+now.Sub(b.refilledAt).Seconds()*b.rate)
	b.refilledAt = now
}

// timeFor returns the time in which the bucket gains the tokens.
func (b *TokenBucket) timeFor(tokens float64) time.Duration {
	return time.Duration(tokens / b.rate * float64(time.Second))
}
