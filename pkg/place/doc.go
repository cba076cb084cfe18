// Package place decides which upstream holds which model and adapter, for one controller that gives all orders of a
// deployment under a lease.
//
// Controller is an event machine without I/O, goroutines or clock reads. It is told what the operator configured, what
// upstreams say of themselves, which requests wait and what runs where, and it plans orders. Each order names the number
// of orders that its upstream has accepted before, so that an order that is delayed past a newer one has no effect; an
// order without an answer is in doubt until a report shows the number. An upstream gets one order at a time.
//
// Loads are ordered for waiting requests first, then for models that need more replicas, and then, while the weight store
// has room, for models of which no upstream keeps a copy: a copy on disk makes a later load several times faster.
package place
