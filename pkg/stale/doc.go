// Package stale decides whether a daemon's configuration is current, so that it may accept work, and whether a daemon may
// publish a change of configuration. It has no clock and does no I/O.
//
// The rules guarantee that no daemon accepts work on a configuration that is more than [MaxProofAge] behind an accepted change.
// A log read by the daemon or by a peer proves that a daemon at the same offset has every change up to the start of that
// read. During a log outage the proof is a majority: before a change is appended, a majority of the members acknowledges
// that the publisher has a prepared change, and a member that has acknowledged an open prepared change does not count in
// any other majority until it knows the outcome. The two majorities intersect.
//
// # Requirements on the caller
//
//   - Call [Tracker.AdvanceMembers] or [Tracker.Advance] after each record, and [Tracker.RecordRead] after the records of
//     a log read are applied. RecordRead takes the time at which the read started, so a long poll should wait for at
//     most a second.
//   - Call each peer every second. The request and the response carry a heartbeat for the other side. The callee passes
//     the request to [Tracker.ReceiveCall] before it builds the response, and the caller passes the response to
//     [Tracker.ReceiveAnswer] with the time at which the call started.
//   - Fetch records from the peer that [Tracker.Ahead] returns while the log cannot be read.
//   - Call [Tracker.SetPublishing] after each event of the append planner, with the result of its method
//     Publishing. Append a template or team only if [Tracker.MayPublish] returns nil at that moment, and with the offset
//     of the last applied record.
//
// A change in doubt at the start of a log outage keeps the members that have acknowledged it from being current by
// majority. They refuse new work until the log, or a peer that has read it, reports the outcome: the change may be in
// force elsewhere.
package stale
