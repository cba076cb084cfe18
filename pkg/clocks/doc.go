// Package clocks keeps the clocks of different hosts apart. Clocks of hosts differ by any amount and drift by up to 0.1%, and
// the wall clock of a host may step; durations on one host do not. Daemons therefore send each other ages: an instant in a
// message is moved to Epoch by the sender and back from it by the receiver. Times of the platform, such as those of log
// records, are compared with each other only, or with the bounds that a Remote derives from answers of the platform.
package clocks
