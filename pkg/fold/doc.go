// Package fold decodes the records of the control stream and folds them into the control state. The fold is
// deterministic: every daemon that applies the same records, or starts at a snapshot of them, holds the same state.
//
// # When a record is accepted
//
// Every record needs a new change id, an offset Seen that is at most ChangeWindow records old, and, except for memberUp and
// snapshot, an author that is a live member. A record with several entries is accepted as a whole or not at all.
//
//   - template, team: the base is the offset at which the version was set or deleted, and no member record was accepted
//     after Seen, because the publisher's majority (package fresh) was counted from the members as of Seen.
//   - memberUp: the base is the offset of the host's last member record, and the incarnation is new. Earlier incarnations
//     of the host, or at the same peer address, are gone from then on.
//   - memberGone: at least one of the incarnations is a live member. The author must have proof.
//   - cellLease: a takeover names the current lease as base, and the new holder is a live member. A release comes from the
//     holder, or from an earlier holder that is not settled yet; it does not change the fencing number.
//   - permit: the author holds the cell's current lease, and a claim keeps the sum within maxReplicas. Lower counts are
//     always accepted.
//   - keyRange: the base is the current epoch. Unless the start is blind or the range is new, the author is the holder or
//     the backup.
//   - withdraw: the change with the id was not folded. It is rejected if it arrives later.
//
// # What is remembered
//
// Change ids with a digest of the change, deleted templates and teams, and hosts that are gone are remembered for
// ChangeWindow offsets. Any record that could depend on an older one has a Seen that is too old and is rejected, so
// forgetting is safe. A record with a known change id is not folded: it gets the verdict on the first one, or KeyConflict
// if its content differs.
//
// # Where a reader starts
//
// A reader that begins at the first retained record first scans the log with a Finder, and then applies the records after
// the snapshot that it found. Apply refuses to go over a gap. State.SnapshotDue tells which member writes a snapshot when.
//
// # How a record is appended
//
// Planner takes a record (Submit) and asks for appends until the result is certain (Done). The caller reports each append
// as AppendAnswered, AppendRefused (no effect, for example no connection) or AppendLost (anything else), and posts Folded
// for every verdict and Restored after a jump to a snapshot.
//
//   - Until the first append, nothing can have taken effect: at the deadline the result is a refusal that is not run.
//   - While an answer is missing, the same bytes are appended again after a backoff of 0.1 to 2 s.
//   - At the deadline, GiveUp reports AppendInDoubt. The planner then appends withdraw records until the fold has seen one of
//     them or the change itself, so that the result is known as soon as the log can be read.
//   - A template or team that is rejected with NoMajority lost to a member record and may be submitted again with a new id.
package fold
