// Package retry decides which failed attempts may be repeated and limits the extra work: a retry budget earned by
// successes, a hedge budget as a share of all work, learned first-token quantiles and backoff with jitter.
package retry
