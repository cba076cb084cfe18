// Package retry decides which failed attempts may be repeated and limits the additional load: a retry budget earned by
// successes, a hedge budget as a share of all requests sent, quantiles of the time to the first token, and backoff with jitter.
package retry
