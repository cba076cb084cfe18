// Package plain is the stand-in of a plain service such as booking; it counts the runs of each idempotency key.
package plain
