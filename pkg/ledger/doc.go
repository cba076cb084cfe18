// Package ledger accounts for the memory that the clients of a process occupy, and decides which of them has to make room when it runs short.
// It is not safe for concurrent use.
package ledger
