// Package lease decides who holds a lease that is kept as one record in a log with compare-and-append.
//
// The newest record names the holder. A holder renews by appending again, always on the condition that nothing else was
// appended meanwhile, so that two hosts can never both believe in the same end of the log. The fence of a tenure is the
// offset after its first record and grows with every change of the holder.
//
// Time passes in two ways. The holder stops using the lease HoldTime after it sent the last renewal that was confirmed.
// Another host takes the lease over only after it has seen no new record for TakeTime, which is longer. Times are given by
// a clock that counts a suspension of the machine. Where orders are fenced, the holder goes on during an outage of the log
// until it learns of a newer record.
package lease
