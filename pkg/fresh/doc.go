// Package fresh decides whether a daemon's configuration is current, so that it may accept work, and whether a daemon may
// publish a change of configuration. It has no clock and no I/O.
//
// The rules make sure that no daemon accepts work on a configuration that is more than Bound behind an accepted change.
// A read of the log, or a peer's read, proves that a daemon has every change up to the start of that read. During a log
// outage the proof is a majority: before a change is appended, a majority of the members notes that the publisher has an
// intent to publish, and a member that has noted an open intent does not count in any other majority until it knows the
// outcome. The two majorities intersect.
package fresh
