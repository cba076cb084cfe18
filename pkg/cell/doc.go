// Package cell is the controller of one cell. It decides loads and unloads on the upstreams of the cell within the limits
// of replica permits and a memory ledger, publishes the directory of replicas, and forecasts when a model will be ready.
//
// Controller is an event-driven state machine without I/O, goroutines or clock reads. Its driver must guarantee the
// following:
//   - Lease and permit events arrive in log order.
//   - Each Order is answered by an OrderResult with the same Attempt once the sender will not deliver the order again.
//     OrderUnknown then means that no answer arrived. An order that a sender still holds has no result yet.
//   - With Settings.PinnedOrders, a sender delivers an Order only to the incarnation that the order names. Without this
//     setting, an engine that checks fences counts as quiesced only after the earlier holders have released the lease,
//     because an engine forgets its fence when it restarts.
//   - Each Query is answered by an OrderResult with the Attempt of the query, or not at all.
//   - At most one Claim per model is being appended to the log at a time; other claims for the model are dropped
//     meanwhile. A Claim whose Base is not the offset of the latest permit record is dropped too. Otherwise a late
//     repetition could lower permits that are in use again.
//   - UpstreamStatus carries the time at which the status was requested, not the time at which it arrived.
//   - Before a new holder receives LeaseGained, it has been notified of every upstream to which the previous holder could
//     send orders.
//
// The controller assumes that engines treat orders as idempotent by ID within an incarnation, and that an engine lists an
// accepted load in its status from the time of acceptance.
package cell
