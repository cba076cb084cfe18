package retry

import (
	"math/rand/v2"
	"time"
)

// The verdicts on a failed attempt.
const (
	// Stop means that the request ends with the failure.
	Stop Verdict = iota
	// Again means that the request may be sent from its start.
	Again
	// Resume means that the request may continue from the index of the next token.
	Resume
)

const (
	burst        = 10 // Retries available at the start, and the most that successes save up.
	baseBackoff  = 20 * time.Millisecond
	maxBackoff   = time.Second
	backoffSteps = 6
)

type (
	// Verdict is the decision about a failed attempt.
	Verdict int

	// Budget is a token bucket that is filled by a share of events and emptied by extra work.
	Budget struct {
		share  float64
		limit  float64
		tokens float64
	}
)

// NewBudget returns a retry budget that earns the share of each success; it starts full.
func NewBudget(share float64) Budget { return Budget{share: share, limit: burst, tokens: burst} }

// NewHedgeBudget returns a budget that earns the share of each send. It starts empty, so that the hedges never exceed the
// share of the sends.
func NewHedgeBudget(share float64) Budget { return Budget{share: share, limit: burst} }

// Earn adds the share of one event.
func (b *Budget) Earn() { b.tokens = min(b.tokens+b.share, b.limit) }

// Available reports whether Take would succeed.
func (b *Budget) Available() bool { return b.tokens >= 1 }

// Take removes one token, or reports false if there is none.
func (b *Budget) Take() bool {
	if !b.Available() {
		return false
	}
	b.tokens--
	return true
}

// Decide tells what may follow an attempt that ended before the whole answer. Delivered is the number of tokens that the
// caller has.
func Decide(r Result, repeatable bool, delivered int) Verdict {
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
		return Again
	}
	return Stop
}

// Backoff returns the delay before the retry with the number, from 1, with full jitter.
func Backoff(number int, r *rand.Rand) time.Duration {
	ceiling := min(baseBackoff<<min(max(number-1, 0), backoffSteps), maxBackoff)
	return time.Duration(r.Int64N(int64(ceiling)) + 1)
}
