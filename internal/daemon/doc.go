// Package daemon runs an entry host: it feeds the decision packages with events from the log, peers, upstreams and callers
// on one control thread, and carries out their actions on others.
package daemon
