// Package idemp makes calls with an idempotency key run at most once. Keys hash to ranges; a range has a holder, which
// runs the calls, and a backup, which must know of a start before the holder may run it.
package idemp
