// Package place decides which upstreams load which models and adapters. One controller per deployment, which holds a
// lease, issues all orders.
//
// Controller is a state machine without I/O, goroutines or clock reads. Its inputs are the configuration, the published
// state and the reports of the upstreams, the pending requests and the requests in progress; its outputs are orders and
// requests for reports. Each order carries the number of orders that its upstream must have accepted before, so that an order
// delayed past a newer one has no effect. An order without an answer is in doubt until a report shows how many orders the
// upstream has accepted. An upstream gets one order at a time.
//
// Loads are ordered first for models that have far too few replicas and for pending requests, then for models that need more
// replicas, and then, while the weight store has spare capacity, for models that no upstream has a copy of: a copy on disk
// makes a later load several times faster.
package place
