// Package cell is the controller of one cell: it decides loads and unloads on the upstreams of the cell under replica
// permits and a memory ledger, publishes the replica directory and forecasts when a model is ready.
//
// Controller is an event machine without I/O, goroutines or clock reads. The driver owes it the following:
//   - Lease and permit events arrive in log order.
//   - Each Order is answered by an OrderResult with the same Attempt once the sender will not deliver the order again;
//     OrderUnknown then means that no answer came. An order that is still held by a sender has no result yet.
//   - With Settings.PinnedOrders, a sender delivers an Order only to the incarnation that it names. Without, an engine that
//     checks fences is settled only when the earlier holders released, because a restart makes it forget its fence.
//   - Each Query is answered by an OrderResult with the Attempt of the query, or not at all.
//   - At most one Claim of a model is being appended; later ones are dropped meanwhile, and so is a Claim whose Base is not
//     the offset of the latest permit record. Otherwise a late repetition could lower permits that are in use again.
//   - UpstreamStatus carries the time at which the status was requested, not the time at which it arrived.
//   - A new holder knows every upstream that the previous holder could order on before it receives LeaseGained.
//
// Of engines it assumes that orders are idempotent by ID within an incarnation, and that an accepted load is listed in the
// status from its acceptance on.
package cell
