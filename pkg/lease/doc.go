// Package lease decides which host holds a lease that is kept in a log with compare-and-append.
//
// The newest record of the log names the holder. A holder renews the lease by appending again, always on the condition that
// nothing else has been appended since the last known end of the log, so that of two hosts with the same view only one
// succeeds. The fence of a term is the place in the log after its first record and grows with every change of the holder.
//
// Two time limits prevent overlapping terms. The holder stops using the lease HoldTime after it sent the last confirmed renewal.
// Another host takes over the lease only after it has seen no new record for a longer time. Times are read from a clock that
// keeps running while the machine is suspended. If orders are fenced, the holder keeps the lease during an outage of the log
// until it receives a newer record.
//
// The log may lose its newest records when it comes back from a copy. Its offsets are then given out again, and its era rises, so that a
// place in the log is an era and an offset, and the era is part of each fence. A term ends with its era: the holder that was in office
// begins a new one at once, and other hosts wait as after a renewal.
package lease
