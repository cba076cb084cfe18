// Package fresh decides whether a daemon's configuration is current, so that it may accept work, and whether a daemon may
// publish a change of configuration. It has no clock and no I/O.
//
// The rules make sure that no daemon accepts work on a configuration that is more than Bound behind an accepted change.
// A read of the log, or a peer's read, proves that a daemon has every change up to the start of that read. During a log
// outage the proof is a majority: before a change is appended, a majority of the members notes that the publisher has an
// intent to publish, and a member that has noted an open intent does not count in any other majority until it knows the
// outcome. The two majorities intersect.
//
// # What the caller must do
//
//   - Call Folded or Advance after each record, and Read after the records of a read's answer are folded. The time given to
//     Read is that of the start of the call, so a long poll should wait for at most a second.
//   - Call each peer every second. The argument and the answer of the call carry a Beat for the other side; the callee
//     passes the argument to Note before it makes its answer, and the caller passes the answer to Heard with the time at
//     which the call began.
//   - Fetch records from the peer that Ahead names when the log cannot be read.
//   - Call SetIntent after each event of the append planner, with Planner.Publishing. Append a template or team only if
//     MayPublish returns nil at that moment, and with the offset that was given to Folded or Advance last.
//
// A change in doubt at the start of a log outage keeps the members that have noted it from being current by majority. They
// refuse new work until the log, or a peer that has read it, tells the outcome: the change may be in force elsewhere.
package fresh
