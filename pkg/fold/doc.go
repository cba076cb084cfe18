// Package fold decodes the records of the control stream and applies them to the control state. Applying records is
// deterministic: every daemon that applies the same records, or starts from a snapshot of them, holds the same state.
//
// # When a record is accepted
//
// Every record needs a new change id, a [Record.Seen] offset that is at most [ChangeWindow] records old, and, except for
// memberUp and snapshot, an author that is a live member. A record with several entries is accepted as a whole or not at all.
//
//   - template, team: the base is the offset at which the current version was set or deleted, and no member record was
//     accepted after Seen, because the publisher's majority (package stale) was counted from the members as of Seen.
//   - memberUp: the base is the offset of the host's last member record, and the incarnation is new. Earlier incarnations
//     of the host, or at the same peer address, are then recorded as gone.
//   - memberGone: at least one of the incarnations is a live member. The author must have proof that they are gone.
//   - cellLease: a take-over names the current lease as base, and the new holder is a live member. A release comes from the
//     holder, or from an earlier holder that is still listed as unsettled; it does not change the fencing number.
//   - permit: the author holds the cell's current lease, and an increase keeps the sum within maxReplicas. Lower counts are
//     always accepted.
//   - keyRange: the base is the current epoch. Unless the record declares the state of the range lost, or the range was never
//     assigned, the author is the holder or the backup.
//   - withdraw: the change with the given id has not been applied. If that change arrives later, it is rejected.
//
// # What is retained
//
// Change ids with a digest of the change, deleted templates and teams, and hosts that are gone are retained for
// [ChangeWindow] offsets. Removing them after that is safe: any record that could depend on an older one has a Seen that is
// too old and is rejected. A record with a known change id is not applied: it gets the result of the first record with that
// id, or KeyConflict if its content differs.
//
// # Where a reader starts
//
// A reader that begins at the first retained record first scans the log with a [SnapshotFinder], and then applies the records
// after the snapshot that it found. [State.Apply] does not apply records after a gap. [State.SnapshotDue] determines which
// member writes a snapshot and when.
//
// # How a record is appended
//
// [Planner] accepts a record ([Submit]) and requests appends until the result is certain ([Done]). The caller reports each
// append as [AppendAnswered], [AppendRefused] (no effect, for example no connection) or [AppendLost] (anything else), and
// sends [Applied] for every result and [Restored] after it has replaced the state by a snapshot.
//
//   - Before the first append, the record cannot have taken effect: at the deadline the result is an error with outcome NotRun.
//   - While an answer is missing, the same bytes are appended again after a backoff of 0.1 to 2 s.
//   - At the deadline, [InDoubt] reports AppendInDoubt. The planner then appends withdraw records until one of them or the
//     change itself has been applied, so that the result is known as soon as the log can be read.
//   - A template or team change that is rejected with NoMajority lost to a member record and may be submitted again with a
//     new id.
package fold
