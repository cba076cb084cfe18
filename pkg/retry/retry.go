package retry

import (
	"math/rand/v2"
	"time"
)

// Decisions about a failed attempt.
const (
	// Stop means that the request ends with the result of the attempt.
	Stop Decision = iota
	// Restart means that the request may be sent again from its start.
	Restart
	// Resume means that the request may be continued from the index of the next token.
	Resume
)

const (
	burst        = 10 // capacity of a budget in tokens, and the initial tokens of a retry budget
	baseBackoff  = 20 * time.Millisecond
	maxBackoff   = time.Second
	maxDoublings = 6 // maximum number of times that baseBackoff is doubled
)

type (
	// Decision is the decision about a failed attempt.
	Decision int

	// Budget is a token bucket that gains a share of a token for each event and loses one for each retry or hedge.
	Budget struct {
		share  float64
		limit  float64
		tokens float64
	}
)

// NewBudget returns a retry budget that gains the share of a token for each success. It starts full.
func NewBudget(share float64) Budget { return Budget{share: share, limit: burst, tokens: burst} }

// NewHedgeBudget returns a budget that gains the share of a token for each request sent. It starts empty, so that hedges never
// exceed the share of the requests sent.
func NewHedgeBudget(share float64) Budget { return Budget{share: share, limit: burst} }

// Earn adds the share of a token for one event.
func (b *Budget) Earn() { b.tokens = min(b.tokens+b.share, b.limit) }

// Available reports whether Take would succeed.
func (b *Budget) Available() bool { return b.tokens >= 1 }

// Take removes one token, or returns false if there is none.
func (b *Budget) Take() bool {
	if !b.Available() {
		return false
	}
	b.tokens--
	return true
}

// Decide returns what may follow an attempt that ended before the complete answer; delivered is the number of tokens that the
// caller has received.
func Decide(r Result, repeatable bool, delivered int) Decision {
	switch {
	case r == Done:
		return Stop
	case delivered > 0:
		// The tokens prove that the request, or an earlier part of it, ran.
		if repeatable {
			return Resume
		}
		return Stop
	case r == NotRun || repeatable:
		return Restart
	}
	return Stop
}

// Backoff returns the delay before a retry, with full jitter. Retries are numbered from 1.
func Backoff(number int, r *rand.Rand) time.Duration {
	ceiling := min(baseBackoff<<min(max(number-1, 0), maxDoublings), maxBackoff)
	return time.Duration(r.Int64N(int64(ceiling)) + 1)
}
