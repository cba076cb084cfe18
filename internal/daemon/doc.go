// Package daemon runs an entry host. One control thread passes events from the log, peers, upstreams and callers to the decision
// packages; the resulting calls to other processes run in goroutines of their own.
package daemon
