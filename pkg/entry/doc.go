// Package entry is the event machine of one entry host for calls to models: admission by prediction, the queue, attempts,
// hedges, preemption and resume. The caller of Handle performs all I/O.
package entry
