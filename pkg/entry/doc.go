// Package entry implements the state machine of an entry host for calls to models: admission control based on predicted
// start times, per-model queues, attempts, hedging, preemption and resumption. It performs no I/O: the caller of Handle
// delivers events and executes the returned actions.
package entry
