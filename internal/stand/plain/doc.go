// Package plain is the stand-in of a plain service such as booking; it counts how often each idempotency key runs.
package plain
